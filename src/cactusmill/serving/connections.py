"""Connections to endpoints: opened, reused, and given up in time."""

import collections
import contextlib
import select
import socket

import attrs
import h11
import trio

from ..errors import (
    ConnectError,
    CrossedAnswerError,
    ExchangeError,
    SilentEndpointError,
    TruncatedAnswerError,
)
from ..internal.http import Connection, client_connection
from .answers import Answer

# A connection attempt crosses one region at most.
CONNECT_TIMEOUT_S = 0.6
# A host of the same region answers within a millisecond or two.
_PROBE_TIMEOUT_S = 0.1
# Data that a far side does not acknowledge for this long is lost: links inside
# a region answer in milliseconds.
_UNACKNOWLEDGED_MS = 1500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Idle connections are used for this part of the time that the endpoint names.
_IDLE_PART = 0.6
_DEFAULT_IDLE_S = 4.0
_MAX_IDLE_S = 30.0
# Part of an endpoint's connections that the hosts of a region use together.
_CONNECTION_PART = 0.8
_MAX_SKIPPED_ANSWERS = 3
# Fits the socket's buffer, so that sending does not wait for the endpoint.
_SENT_AT_ONCE_BYTES = 8 * 1024


def enable_dead_peer_detection(stream):
    """Have the system close a connection whose far side is gone.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection; streams of tests without a socket are left as they are.
    """
    sock = getattr(stream, "socket", None)
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _is_quiet(stream):
    """Tell whether an idle connection is open and has brought nothing."""
    sock = getattr(stream, "socket", None)
    if sock is None:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLHUP)
    return not poller.poll(0)


@attrs.define(eq=False)
class _Idle:
    conn: Connection
    until: float


@attrs.define(eq=False)
class ConnectionPool:
    """Connections of this host to all endpoints.

    Attributes
    ----------
    net : Network
        How to reach them.
    opened : int
        Connections opened so far.
    """

    net: object
    opened: int = 0
    _idle: dict = attrs.field(factory=dict)
    _in_use: dict = attrs.field(factory=dict)

    def has_room(self, name, max_connections, hosts):
        """Tell whether this host may use another connection to an endpoint.

        Parameters
        ----------
        name : str
            The endpoint.
        max_connections : int
            What it accepts from all hosts together.
        hosts : int
            Hosts that share it.
        """
        share = max(1, int(max_connections * _CONNECTION_PART / hosts))
        return self._in_use.get(name, 0) < share

    async def acquire(self, name, address, now):
        """Return a connection and whether it was used before.

        Raises
        ------
        ConnectError
            If none could be opened; the endpoint has received nothing.
        """
        idle = self._idle.get(name, ())
        while idle:
            entry = idle.pop()
            if now < entry.until and _is_quiet(entry.conn.stream):
                self._count(name, 1)
                return entry.conn, True
            await entry.conn.close()
        stream = await self.net.connect(address, CONNECT_TIMEOUT_S)
        enable_dead_peer_detection(stream)
        self.opened += 1
        self._count(name, 1)
        return client_connection(stream), False

    async def is_alive(self, name, address, now):
        """Tell whether an endpoint still accepts connections.

        The connection that shows it is kept for the next request.
        """
        try:
            stream = await self.net.connect(address, _PROBE_TIMEOUT_S)
        except ConnectError:
            return False
        enable_dead_peer_detection(stream)
        self.opened += 1
        self._put_idle(name, client_connection(stream), _DEFAULT_IDLE_S, now)
        return True

    def _put_idle(self, name, conn, idle_s, now):
        until = now + min(_MAX_IDLE_S, idle_s * _IDLE_PART)
        self._idle.setdefault(name, collections.deque()).append(_Idle(conn, until))

    def _count(self, name, step):
        self._in_use[name] = self._in_use.get(name, 0) + step

    def close(self, name, conn):
        """Close a connection in use."""
        self._count(name, -1)
        _close_now(conn)

    def release(self, name, conn, metadata, now):
        """Keep a connection whose answer is whole, or close it."""
        is_clean = (
            conn.h11.our_state is h11.DONE
            and conn.h11.their_state is h11.DONE
            and not conn.h11.trailing_data[0]
            and not metadata.will_close
        )
        if not is_clean:
            self.close(name, conn)
            return
        self._count(name, -1)
        conn.h11.start_next_cycle()
        idle_s = _DEFAULT_IDLE_S if metadata.idle_s is None else metadata.idle_s
        self._put_idle(name, conn, idle_s, now)

    def drop_idle(self, name):
        """Close the idle connections to an endpoint."""
        for entry in self._idle.pop(name, ()):
            _close_now(entry.conn)

    def drop_expired(self, now):
        """Close connections that have been idle for too long."""
        for name, idle in list(self._idle.items()):
            while idle and now >= idle[0].until:
                _close_now(idle.popleft().conn)
            if not idle:
                del self._idle[name]


def _close_now(conn):
    sock = getattr(conn.stream, "socket", None)
    if sock is not None:
        sock.close()


async def exchange(pool, name, conn, request, body, request_id, read_metadata, limits):
    """Send a request and receive the head of its answer.

    The answer is awaited while the body is still being sent, since an endpoint
    may answer early. Such a connection is not used again.

    Parameters
    ----------
    pool : ConnectionPool
        Where the connection came from.
    name : str
        The endpoint.
    conn : Connection
        The connection, in use by this request alone.
    request : h11.Request
        Head of the request.
    body : bytes
        Its whole body.
    request_id : str
        Whose answer it must be.
    read_metadata : callable
        ``read_metadata(status, headers)`` returns :class:`ResponseMetadata`.
    limits : tuple of (float, float)
        Longest wait for the head and longest silence inside the body, in
        seconds.

    Returns
    -------
    Answer

    Raises
    ------
    ExchangeError
        If the connection fails; any byte may have reached the endpoint.
    """
    head_s, stall_timeout_s = limits
    events = [request, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
    data = b"".join(conn.h11.send(event) or b"" for event in events)
    head = None
    with trio.move_on_after(max(0.0, head_s)):
        if len(data) <= _SENT_AT_ONCE_BYTES:
            await _send(conn, data)
            head = await _own_head(conn, request, request_id, read_metadata)
        else:
            head = await _send_and_receive(
                conn, data, request, request_id, read_metadata
            )
    if head is None:
        raise SilentEndpointError(f"no answer within {head_s:.2f} s")
    response, metadata = head

    async def next_data():
        try:
            with trio.fail_after(stall_timeout_s):
                return await conn.next_data()
        except trio.TooSlowError as exc:
            raise SilentEndpointError(
                f"no progress for {stall_timeout_s:.2f} s"
            ) from exc
        except h11.RemoteProtocolError as exc:
            raise TruncatedAnswerError(str(exc)) from exc

    async def release(now):
        if conn.is_partly_sent:
            pool.close(name, conn)
        else:
            pool.release(name, conn, metadata, now)

    return Answer(
        status=response.status_code,
        headers=list(response.headers),
        metadata=metadata,
        next_data=next_data,
        release=release,
        abort=lambda: pool.close(name, conn),
    )


async def _send_and_receive(conn, data, request, request_id, read_metadata):
    """Await the head while a long body is still being sent."""
    head, failure = None, None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, conn, data)
        try:
            head = await _own_head(conn, request, request_id, read_metadata)
        except ExchangeError as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return head


async def _send(conn, data):
    conn.is_partly_sent = True
    # An endpoint that rejects a request early may reset the connection while
    # the rest is sent. Its answer, if any, says what happened.
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await conn.stream.send_all(data)
        conn.is_partly_sent = False


async def _own_head(conn, request, request_id, read_metadata):
    """Receive the head of the answer, passing over late answers to others."""
    for _ in range(_MAX_SKIPPED_ANSWERS):
        response = await _next_head(conn)
        metadata = read_metadata(response.status_code, list(response.headers))
        if metadata.request_id is None or metadata.request_id == request_id:
            return response, metadata
        await _skip_answer(conn, request)
    raise CrossedAnswerError(f"only answers to others than {request_id!r}")


async def _next_head(conn):
    try:
        event = await conn.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await conn.next_event()
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
    if not isinstance(event, h11.Response):
        raise TruncatedAnswerError("the connection ended before an answer")
    return event


async def _skip_answer(conn, request):
    """Read past an answer to another request and expect ours behind it."""
    try:
        while await conn.next_data() is not None:
            pass
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
    rest, is_closed = conn.h11.trailing_data
    fresh = h11.Connection(h11.CLIENT)
    # What was sent stands; only the state of the protocol is made anew.
    fresh.send(h11.Request(method=request.method, target="/", headers=[("host", "-")]))
    fresh.send(h11.EndOfMessage())
    if rest:
        fresh.receive_data(rest)
    if is_closed:
        fresh.receive_data(b"")
    conn.h11 = fresh
