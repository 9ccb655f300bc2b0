"""HTTP/1.1 connections of servers and clients, with ``h11`` over trio.

A :class:`Connection` must be used by one task at a time. This module is
independent of routes, teams and endpoints.
"""

import contextlib
import fcntl
import functools
import re
import select
import socket
import struct
import termios

import attrs
import h11
import trio
from absl import logging

from ..errors import (
    BadRequestError,
    ExchangeError,
    OversizedAnswerError,
    TruncatedAnswerError,
)
from .delivery import MAX_BLOCKED_S, deliver, receive_some
from .framing import (
    Framing,
    ReceivedBody,
    are_pieces_too_small,
    check_status,
    response_framing,
)

RECEIVE_BYTES = 64 * 1024
# Bytes of a body after which no further piece of it is joined to those that arrived
# together.
MAX_JOINED_BYTES = 64 * 1024
LINGER_S = 1.0
_LINGER_BYTES = 1024 * 1024
# Interim responses (1xx) before a final one.
_MAX_INTERIM_RESPONSES = 16
# Requests up to this size fit the socket's send buffer, so that sending does not
# wait for the endpoint.
_MAX_UNBLOCKED_BYTES = 8 * 1024
_MAX_PAGE_REQUEST_BYTES = 64 * 1024
_PAGE_METHODS = frozenset({b"GET", b"HEAD", b"POST"})
# Events of received bytes that are handled before other tasks get a turn.
_EVENTS_PER_TURN = 64
_LINGER = struct.Struct("ii")
_COUNT = struct.Struct("i")
# A time in seconds. Longer texts are no time that anyone waits.
# Floats represent each whole number up to this one exactly.
MAX_COUNT = 2**53 - 1
_DIGITS = re.compile(r"[0-9]{1,16}", re.ASCII)
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
_MAX_LOGGED_CHARS = 64
# Interval at which a connection that is not read is looked at for its close.
_CLOSE_POLL_S = 0.1
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@attrs.define(eq=False)
class Connection:
    """One HTTP connection.

    Attributes
    ----------
    stream : trio.abc.Stream
        The transport.
    h11 : h11.Connection
        State machine of the protocol.
    is_partly_sent : bool
        True while only a part of a message has been sent.
    is_broken : bool
        True once sending or receiving has failed.
    is_writing : bool
        True from the beginning of a write until all its bytes were taken.
    has_looked : bool
        True after a receipt that was cancelled; see :func:`.receive_some`.
    """

    stream: trio.abc.Stream
    h11: h11.Connection
    is_partly_sent: bool = False
    is_broken: bool = False
    is_writing: bool = False
    has_looked: bool = False
    _resets_on_close: bool = False
    _events_in_turn: int = 0
    # What came behind the pieces of a body that were returned last: an event of
    # ``h11``, or the error that is to be raised.
    _held: object = None

    def reset_cycle(self, max_head_bytes):
        """Start a server's next message cycle after a body was sent without ``h11``.

        The body was written to the transport directly, so ``h11`` cannot know that
        the response is complete. Bytes already received are kept.
        """
        data, is_closed = self.h11.trailing_data
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        if data:
            self.h11.receive_data(data)
        if is_closed:
            self.h11.receive_data(b"")

    def is_idle(self):
        """Return whether the connection is at the start of a message cycle."""
        return self.h11.our_state is h11.IDLE and self.h11.their_state is h11.IDLE

    async def next_event(self):
        """Return the next ``h11`` event, receiving data as needed.

        An expected ``100 Continue`` is sent first.

        Raises
        ------
        ExchangeError
            If the connection fails.
        h11.RemoteProtocolError
            If the other end violates the protocol.
        """
        if self._held is not None:
            return self._take_held()
        if self._events_in_turn >= _EVENTS_PER_TURN:
            self._events_in_turn = 0
            # Bytes that have arrived are handled though a deadline passes meanwhile.
            await trio.lowlevel.cancel_shielded_checkpoint()
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                self._events_in_turn += 1
                return event
            self._events_in_turn = 0
            if self.h11.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.receive()

    def _take_held(self):
        held, self._held = self._held, None
        if isinstance(held, Exception):
            raise held
        return held

    async def receive(self):
        """Pass the next received bytes, or the end of the stream, to ``h11``.

        Raises
        ------
        ExchangeError
            If the connection has failed.
        """
        try:
            data = await receive_some(self, RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self.is_broken = True
            raise ExchangeError(_broken("receiving", exc)) from exc
        self.h11.receive_data(data)

    async def next_response(self):
        """Return the head of the next response, after any interim ones.

        Raises
        ------
        ExchangeError
            If the connection fails or ends before it, or its status is undefined.
        h11.RemoteProtocolError
            If the other end violates the protocol.
        """
        for _ in range(_MAX_INTERIM_RESPONSES):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                check_status(event.status_code)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise TruncatedAnswerError("the connection ended before an answer")
        raise OversizedAnswerError(f"over {_MAX_INTERIM_RESPONSES} interim responses")

    async def next_data(self, received=None):
        """Return the next received bytes of the body, or None at its end.

        Pieces that have arrived together are returned as one, up to
        `MAX_JOINED_BYTES` bytes and one piece more. A failure behind them is raised
        by the next call.

        Parameters
        ----------
        received : ReceivedBody or None
            Counts them; None for a body without limits.

        Raises
        ------
        ExchangeError
            If the connection fails or the body exceeds the limits of `received`.
        h11.RemoteProtocolError
            If the other end violates the protocol.
        """
        event = await self.next_event()
        if isinstance(event, h11.EndOfMessage):
            self._check_end(received)
            return None
        if not isinstance(event, h11.Data):
            raise TruncatedAnswerError(f"{type(event).__name__} inside a body")
        if received is not None:
            received.add(event.data)
        return self._join_arrived(bytes(event.data), received)

    def has_ended(self):
        """Return whether the end of a body came behind what was returned last."""
        return isinstance(self._held, h11.EndOfMessage)

    def _join_arrived(self, data, received):
        """Return a piece of a body with those behind it that have arrived."""
        pieces, size = [data], len(data)
        while size < MAX_JOINED_BYTES and self._events_in_turn < _EVENTS_PER_TURN:
            try:
                event = self.h11.next_event()
                if event is h11.NEED_DATA:
                    break
                self._events_in_turn += 1
                if not isinstance(event, h11.Data):
                    if isinstance(event, h11.EndOfMessage):
                        self._check_end(received)
                    self._held = event
                    break
                if received is not None:
                    received.add(event.data)
            except (h11.RemoteProtocolError, ExchangeError) as exc:
                self._held = exc
                break
            pieces.append(bytes(event.data))
            size += len(event.data)
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _check_end(self, received):
        """Check that a close which ends a body came after the whole request.

        Raises
        ------
        TruncatedAnswerError
            If the request was not sent whole: whoever breaks off the request has
            broken off the response as well.
        """
        is_unframed = received is not None and received.framing is Framing.CLOSE
        if is_unframed and (self.is_partly_sent or has_unsent_bytes(self.stream)):
            raise TruncatedAnswerError("the connection closed during the request")

    async def send(self, *events):
        """Send events with one write.

        Raises
        ------
        ExchangeError
            If the connection fails.
        """
        await self._send(self.stream.send_all, events)

    async def deliver(self, *events, max_blocked_s=MAX_BLOCKED_S):
        """Send events of a response, as :func:`.deliver` does.

        Raises
        ------
        AnswerCutError
            If the other end does not take them.
        ExchangeError
            If the connection fails.
        """
        write = functools.partial(deliver, self.stream, max_blocked_s=max_blocked_s)
        await self._send(write, events)

    async def _send(self, write, events):
        data = b"".join(self.h11.send(event) or b"" for event in events)
        if any(self._ends_with_connection(event) for event in events):
            self._set_reset_on_close(True)
        if data:
            await self._write(write, data)
        if self._resets_on_close and self.h11.our_state is not h11.SEND_BODY:
            self._set_reset_on_close(False)

    def _ends_with_connection(self, event):
        """Return whether an event begins a response that ends with its connection.

        Callers of HTTP/1.0 know no chunks.
        """
        return (
            isinstance(event, h11.Response)
            and self.h11.their_http_version == b"1.0"
            and header(event.headers, b"content-length") is None
        )

    def _set_reset_on_close(self, resets):
        """Let the operating system reset the connection when it is closed, or not.

        Until a response is complete whose end is that of its connection, a close would
        end it, also if this process is killed.
        """
        self._resets_on_close = resets
        sock = getattr(self.stream, "socket", None)
        if sock is not None:
            option = _LINGER.pack(int(resets), 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    async def send_bytes(self, data):
        """Send bytes that ``h11`` has encoded.

        Raises
        ------
        ExchangeError
            If the connection fails.
        """
        await self._write(self.stream.send_all, data)

    async def _write(self, write, data):
        self.is_writing = True
        try:
            await write(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self.is_broken = True
            raise ExchangeError(_broken("sending", exc)) from exc
        self.is_writing = False

    def can_respond(self):
        """Return whether no byte of a server's response has been sent."""
        is_before = self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        return is_before and not self.is_writing

    def is_response_sent(self):
        """Return whether a server's response that ``h11`` encoded was sent whole."""
        is_after = self.h11.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return is_after and not self.is_writing

    async def close(self):
        """Close the transport without waiting for the other end."""
        await trio.aclose_forcefully(self.stream)


def _broken(action, exc):
    """Return the text for a failed connection, with the operating system's reason."""
    cause = exc.__cause__
    reason = f": {cause.strerror}" if isinstance(cause, OSError) else ""
    return f"the connection broke while {action}{reason}"


def has_other_end_closed(stream):
    """Return whether the other end has closed a connection, even if that is unread.

    Parameters
    ----------
    stream : trio.abc.Stream
        The transport. One without a socket, as in tests, counts as open.
    """
    sock = getattr(stream, "socket", None)
    if sock is None or sock.fileno() < 0:
        return sock is not None
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    # Reports errors and closed connections besides.
    return bool(poller.poll(0))


def is_idle_and_open(stream):
    """Return whether a connection is open and has no received data that is unread.

    Parameters
    ----------
    stream : trio.abc.Stream
        The transport. One without a socket, as in tests, counts as such.
    """
    sock = getattr(stream, "socket", None)
    if sock is None:
        return True
    if sock.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLHUP)
    return not poller.poll(0)


def has_unsent_bytes(stream):
    """Return whether the other end has not acknowledged all that was sent to it.

    Parameters
    ----------
    stream : trio.abc.Stream
        The transport. One without a socket, as in tests, counts as acknowledged.
    """
    sock = getattr(stream, "socket", None)
    if sock is None or sock.fileno() < 0:
        return False
    count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    return _COUNT.unpack(count)[0] > 0


async def wait_other_end_closed(stream):
    """Wait until the other end has closed a connection, without reading from it."""
    while not has_other_end_closed(stream):
        await trio.sleep(_CLOSE_POLL_S)


def server_connection(stream, max_head_bytes):
    """Return a server's connection on an accepted stream."""
    return Connection(
        stream, h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
    )


def client_connection(stream):
    """Return a client's connection on an opened stream."""
    return Connection(stream, h11.Connection(h11.CLIENT))


async def read_body(conn, limit, on_data=None):
    """Read a request body to its end.

    Parameters
    ----------
    conn : Connection
        A server's connection, after the head of the request.
    limit : int
        Largest permitted body, in bytes.
    on_data : callable or None
        ``on_data(data)`` is called with each piece.

    Returns
    -------
    bytes

    Raises
    ------
    BadRequestError
        If the body is too large (413) or violates the protocol (400).
    ExchangeError
        If the connection fails or the caller closes it.
    """
    body, pieces = bytearray(), 0
    while True:
        try:
            event = await conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(400, f"the body breaks HTTP: {exc}") from exc
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise ExchangeError("the caller left before its body was complete")
        if on_data is not None:
            on_data(event.data)
        body += event.data
        pieces += 1
        if len(body) > limit:
            raise BadRequestError(413, f"the body is over {limit} bytes")
        if are_pieces_too_small(pieces, len(body)):
            raise BadRequestError(
                400, f"the body has {len(body)} bytes in {pieces} pieces"
            )


def discard_received_body(conn):
    """Discard the part of a request's body that has been received.

    Nothing is awaited. The state of the connection tells whether that was the whole
    body.

    Parameters
    ----------
    conn : Connection
        A server's connection, after the head of the request.
    """
    with contextlib.suppress(h11.RemoteProtocolError):
        while isinstance(conn.h11.next_event(), h11.Data):
            pass


async def read_page_request(conn, timeout_s):
    """Read a request for a page of this host, and discard its body.

    Parameters
    ----------
    conn : Connection
        A server's connection.
    timeout_s : float
        Longest time until the request is complete, with the idle time before it, in
        seconds.

    Returns
    -------
    h11.Request or None
        None if no complete request came in time.

    Raises
    ------
    ExchangeError
        If the connection fails.
    h11.RemoteProtocolError
        If the other end violates the protocol.
    """
    with trio.move_on_after(timeout_s):
        head = await conn.next_event()
        if not isinstance(head, h11.Request):
            return None
        with contextlib.suppress(BadRequestError):
            await read_body(conn, _MAX_PAGE_REQUEST_BYTES)
            return head
    return None


async def send_page(conn, request, status, content_type, body):
    """Send a page of this host; one that was asked for by HEAD without its body.

    Parameters
    ----------
    conn : Connection
        A server's connection.
    request : h11.Request
        Head of the request, from :func:`read_page_request`.
    status : int
        HTTP status; replaced by 405 for methods that no page has.
    content_type, body : bytes
        The page.

    Raises
    ------
    ExchangeError
        If the connection fails.
    """
    if request.method not in _PAGE_METHODS:
        status, body = 405, b""
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    data = b"" if request.method == b"HEAD" else body
    await conn.send(
        h11.Response(status_code=status, headers=headers),
        h11.Data(data=data),
        h11.EndOfMessage(),
    )


def can_go_on(conn):
    """Return whether a connection can carry another request after a response."""
    return conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE


async def lingering_close(conn):
    """Half-close the connection and discard received bytes for a while.

    Closing a socket with unread bytes sends a reset, which may discard the
    response before the caller has read it. At most `LINGER_S` seconds and
    `_LINGER_BYTES` bytes are spent on this.

    Returns
    -------
    int
        Number of bytes that were discarded.
    """
    received = 0
    with trio.move_on_after(LINGER_S), contextlib.suppress(trio.BrokenResourceError):
        await conn.stream.send_eof()
        while received < _LINGER_BYTES:
            data = await conn.stream.receive_some()
            if not data:
                break
            received += len(data)
    return received


def header(headers, name, default=None):
    """Return the value of the first header with a lower-case name, or `default`."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def parse_count(text):
    """Return a whole number from 0 to `MAX_COUNT`; None for anything else."""
    text = (text or "").strip()
    if not _DIGITS.fullmatch(text):
        return None
    number = int(text)
    return number if number <= MAX_COUNT else None


def parse_keep_alive(text):
    """Return the idle timeout in seconds of "timeout=SECONDS, ..."; None if missing."""
    for parameter in (text or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            return parse_count(value)
    return None


def parse_retry_after(headers):
    """Return the seconds of ``retry-after``, whole or with a fraction.

    Returns
    -------
    float or None
        None if it is missing, malformed, zero or repeated.
    """
    texts = [value for name, value in headers if name == b"retry-after"]
    if not texts:
        return None
    text = texts[0].decode("latin-1").strip()
    if len(texts) == 1 and _SECONDS.fullmatch(text) and float(text) > 0:
        return float(text)
    logging.warning(
        "retry-after is ignored: %d times %r", len(texts), text[:_MAX_LOGGED_CHARS]
    )
    return None


def is_chunked(headers):
    """Return whether chunked is the only transfer coding of a body."""
    return header(headers, b"transfer-encoding", "").strip().lower() == "chunked"


def end_to_end_headers(headers):
    """Return the headers that a proxy forwards, without the content length.

    Hop-by-hop headers are left out.
    """
    return [
        (k, v)
        for k, v in headers
        if k.lower() not in _HOP_BY_HOP and k.lower() != b"content-length"
    ]


async def collect_body(next_data, on_data=None):
    """Return the pieces of a body as one.

    Parameters
    ----------
    next_data : callable
        ``await next_data()`` returns the next piece, or None at the end.
    on_data : callable or None
        ``on_data(data)`` is called with each piece.
    """
    body = bytearray()
    while (data := await next_data()) is not None:
        if on_data is not None:
            on_data(data)
        body += data
    return bytes(body)


async def send_and_receive(conn, data, receive_head):
    """Send a request, and receive the head of its response meanwhile.

    The rest of a long request is not sent once the head has come. Such a connection
    stays `is_partly_sent` and must not be reused.

    Parameters
    ----------
    conn : Connection
        A client's connection, used by this request alone.
    data : bytes
        The complete request, which ``h11`` has encoded.
    receive_head : callable
        ``await receive_head()`` returns the head.

    Returns
    -------
    object
        What `receive_head` returned.

    Raises
    ------
    ExchangeError
        If the head could not be received; the endpoint may have received the request.
    """
    if len(data) <= _MAX_UNBLOCKED_BYTES:
        await _send_request(conn, data)
        return await receive_head()
    head, failure = None, None

    async def receive():
        nonlocal head, failure
        try:
            head = await receive_head()
        except ExchangeError as exc:
            failure = exc
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive)
        # Sent by this task, since another one would begin a turn later.
        await _send_request(conn, data)
    if failure is not None:
        raise failure
    return head


async def _send_request(conn, data):
    conn.is_partly_sent = True
    # An endpoint that rejects a request early may reset the connection while the
    # rest is sent. The outcome is read from its response, if there is one.
    with contextlib.suppress(ExchangeError):
        await conn.send_bytes(data)
        conn.is_partly_sent = False


async def perform_request(conn, method, target, headers, body=b""):
    """Send one request and read the complete response.

    Returns
    -------
    status : int
    headers : list of (bytes, bytes)
    body : bytes

    Raises
    ------
    ExchangeError
        If the connection fails or the response violates the protocol.
    """
    request = h11.Request(
        method=method,
        target=target,
        headers=[*headers, (b"content-length", str(len(body)).encode())],
    )
    try:
        await conn.send(request, h11.Data(data=body), h11.EndOfMessage())
        response = await conn.next_response()
        received = ReceivedBody(
            response_framing(request.method, response.status_code, response.headers)
        )
        response_body = await collect_body(lambda: conn.next_data(received))
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
    return response.status_code, list(response.headers), response_body
