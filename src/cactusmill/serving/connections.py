"""Connections to endpoints: pooling, request exchange and failure detection."""

import collections
import socket

import attrs
import h11

from ..errors import CrossedAnswerError, TruncatedAnswerError
from ..internal.containment.probe import probe_twice
from ..internal.framing import ReceivedBody, response_framing
from ..internal.http import (
    Connection,
    client_connection,
    is_idle_and_open,
    send_and_receive,
)
from ..internal.patience import give_up_always, receive_patiently
from .responses import EndpointResponse

# Limit of a connection attempt, which crosses at most one region.
CONNECT_TIMEOUT_S = 0.6
# A host of the same region accepts a connection within a millisecond or two.
_PROBE_TIMEOUT_S = 0.1
# The operating system closes a connection whose other end has acknowledged nothing, or
# taken nothing, for this long. In use: a silence of up to two seconds may swallow a
# repetition of a segment, and the next comes when as much time has passed again.
IN_USE_SILENCE_MS = 5000
# While idle, and for connections that are replaced without harm.
IDLE_SILENCE_MS = 1500
# Probes of a connection without unacknowledged data. Their number is not limited, since
# the limits above hold for them too.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
# Fraction of the endpoint's announced idle timeout for which connections are reused.
_IDLE_FRACTION = 0.6
# Idle timeout that is assumed if the endpoint announces none.
_DEFAULT_IDLE_S = 4.0
# Longest time for which an idle connection is reused.
_MAX_IDLE_S = 30.0
# Fraction of an endpoint's connection limit that the hosts of a region use together.
_CONNECTION_FRACTION = 0.8
# Number of responses read before the exchange fails because none is its own.
_MAX_SKIPPED_RESPONSES = 3


def enable_dead_peer_detection(stream, silence_ms=IN_USE_SILENCE_MS):
    """Let the operating system close a connection whose other end is gone.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection; streams without a socket, as in tests, are left unchanged.
    silence_ms : int
        Time without acknowledgement after which it is, in milliseconds.
    """
    sock = getattr(stream, "socket", None)
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    limit_silence(stream, silence_ms)


def limit_silence(stream, silence_ms):
    """Set the time without acknowledgement after which a connection is closed.

    Parameters are those of :func:`enable_dead_peer_detection`.
    """
    sock = getattr(stream, "socket", None)
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)


@attrs.define(eq=False)
class _Idle:
    conn: Connection
    expires_at: float


@attrs.define(eq=False)
class ConnectionPool:
    """Pool of this host's connections to all endpoints.

    Attributes
    ----------
    net : Network
        Opens connections.
    opened : int
        Number of connections opened so far.
    """

    net: object
    opened: int = 0
    _idle: dict = attrs.field(factory=dict)
    _in_use: dict = attrs.field(factory=dict)

    def has_room(self, name, max_connections, hosts):
        """Return whether this host may use another connection to an endpoint.

        Parameters
        ----------
        name : str
            Name of the endpoint.
        max_connections : int
            Connections that it accepts from all hosts together.
        hosts : int
            Number of hosts that share it.
        """
        share = max(1, int(max_connections * _CONNECTION_FRACTION / hosts))
        return self._in_use.get(name, 0) < share

    async def acquire(self, name, address, now, new_connection=False):
        """Return a connection and whether it is a reused one.

        With `new_connection` it is never a reused one.

        Raises
        ------
        ConnectError
            If none could be opened; the endpoint has received nothing.
        """
        idle = self._idle.get(name, ())
        while idle and not new_connection:
            entry = idle.pop()
            if now < entry.expires_at and is_idle_and_open(entry.conn.stream):
                limit_silence(entry.conn.stream, IN_USE_SILENCE_MS)
                self._count(name, 1)
                return entry.conn, True
            await entry.conn.close()
        stream = await self.net.connect(address, CONNECT_TIMEOUT_S)
        enable_dead_peer_detection(stream)
        self.opened += 1
        self._count(name, 1)
        return client_connection(stream), False

    async def probe(self, name, address, now):
        """Connect to an endpoint, and keep the connection for the next request.

        Raises
        ------
        ConnectError
            If it does not accept the connection at once. Only
            :class:`ConnectRefusedError` is evidence that its process has ended.
        """
        self._keep(name, await self.net.connect(address, _PROBE_TIMEOUT_S), now)

    async def probe_twice(self, name, address, now):
        """Connect to an endpoint that may be dying, see :mod:`.containment.probe`.

        A connection that stays open is kept for the next request.

        Raises
        ------
        ConnectError
            As :meth:`probe` does.
        """
        stream = await probe_twice(lambda: self.net.connect(address, _PROBE_TIMEOUT_S))
        if stream is not None:
            self._keep(name, stream, now)

    def _keep(self, name, stream, now):
        enable_dead_peer_detection(stream)
        self.opened += 1
        self._put_idle(name, client_connection(stream), _DEFAULT_IDLE_S, now)

    def _put_idle(self, name, conn, idle_s, now):
        limit_silence(conn.stream, IDLE_SILENCE_MS)
        expires_at = now + min(_MAX_IDLE_S, idle_s * _IDLE_FRACTION)
        self._idle.setdefault(name, collections.deque()).append(_Idle(conn, expires_at))

    def _count(self, name, step):
        self._in_use[name] = self._in_use.get(name, 0) + step

    def close(self, name, conn):
        """Close a connection that is in use."""
        self._count(name, -1)
        _close_now(conn)

    def put_back(self, name, conn, now):
        """Return a connection on which nothing was sent to the pool."""
        self._count(name, -1)
        self._put_idle(name, conn, _DEFAULT_IDLE_S, now)

    def release(self, name, conn, metadata, now):
        """Return a connection to the pool, or close it if it cannot be reused.

        A connection can be reused if request and response are complete, nothing
        follows the response, and the endpoint does not close it.
        """
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

    def close_idle(self, name):
        """Close the idle connections to an endpoint."""
        for entry in self._idle.pop(name, ()):
            _close_now(entry.conn)

    def close_expired(self, now):
        """Close connections that have exceeded their idle time."""
        for name, idle in list(self._idle.items()):
            while idle and now >= idle[0].expires_at:
                _close_now(idle.popleft().conn)
            if not idle:
                del self._idle[name]


def _close_now(conn):
    sock = getattr(conn.stream, "socket", None)
    if sock is not None:
        sock.close()


async def exchange(
    pool,
    name,
    conn,
    request,
    body,
    request_id,
    read_metadata,
    limits,
    may_give_up=give_up_always,
):
    """Send a request and receive the head of its response.

    The response is awaited while the body is still being sent, since an endpoint
    may respond early. A connection whose request was not fully sent is not reused.

    Parameters
    ----------
    pool : ConnectionPool
        Pool of the connection.
    name : str
        Name of the endpoint.
    conn : Connection
        The connection, in use by this request alone.
    request : h11.Request
        Head of the request.
    body : bytes
        Complete body of the request.
    request_id : str
        Identifier that the response must carry, if it carries any.
    read_metadata : callable
        ``read_metadata(status, headers)`` returns :class:`ResponseMetadata`.
    limits : tuple of (float, float)
        Silence before the response head and between two chunks of the body after
        which `may_give_up` is asked, in seconds.
    may_give_up : callable
        As in :func:`.patience.receive_patiently`.

    Returns
    -------
    EndpointResponse

    Raises
    ------
    ExchangeError
        If the connection fails; the endpoint may have received the request.
    """
    ttfb_timeout_s, stall_timeout_s = limits
    events = [request, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
    data = b"".join(conn.h11.send(event) or b"" for event in events)

    def receive_before_head(receive):
        return receive_patiently(receive, conn.stream, ttfb_timeout_s, may_give_up)

    async def receive_own_head():
        return await _receive_own_head(
            conn, request, request_id, read_metadata, receive_before_head
        )

    response, metadata = await send_and_receive(conn, data, receive_own_head)
    headers = list(response.headers)
    received = ReceivedBody(
        response_framing(request.method, response.status_code, headers)
    )

    async def next_data():
        try:
            return await receive_patiently(
                lambda: conn.next_data(received),
                conn.stream,
                stall_timeout_s,
                may_give_up,
            )
        except h11.RemoteProtocolError as exc:
            raise TruncatedAnswerError(str(exc)) from exc

    async def release(now):
        if conn.is_partly_sent:
            pool.close(name, conn)
        else:
            pool.release(name, conn, metadata, now)

    return EndpointResponse(
        status=response.status_code,
        headers=headers,
        received=received,
        metadata=metadata,
        next_data=next_data,
        has_ended=conn.has_ended,
        release=release,
        abort=lambda: pool.close(name, conn),
    )


async def _receive_own_head(conn, request, request_id, read_metadata, wait):
    """Receive the response head, skipping late responses to other requests.

    ``await wait(receive)`` limits each wait for received bytes.
    """
    for _ in range(_MAX_SKIPPED_RESPONSES):
        response = await _receive_head(conn, wait)
        metadata = read_metadata(response.status_code, list(response.headers))
        if metadata.request_id is None or metadata.request_id == request_id:
            return response, metadata
        await _skip_response(conn, request, response, wait)
    raise CrossedAnswerError(f"only answers to others than {request_id!r}")


async def _receive_head(conn, wait):
    try:
        return await wait(conn.next_response)
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc


async def _skip_response(conn, request, response, wait):
    """Discard a response to another request, and prepare to receive the next."""
    received = ReceivedBody(
        response_framing(request.method, response.status_code, response.headers)
    )
    try:
        while await wait(lambda: conn.next_data(received)) is not None:
            pass
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
    rest, is_closed = conn.h11.trailing_data
    fresh = h11.Connection(h11.CLIENT)
    # The request has already been sent; only the protocol state is recreated.
    fresh.send(h11.Request(method=request.method, target="/", headers=[("host", "-")]))
    fresh.send(h11.EndOfMessage())
    if rest:
        fresh.receive_data(rest)
    if is_closed:
        fresh.receive_data(b"")
    conn.h11 = fresh
