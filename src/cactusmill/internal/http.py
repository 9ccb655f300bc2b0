"""HTTP/1.1 over trio, by ``h11`` on both sides.

One :class:`Connection` is owned by one task at a time. Nothing here knows
about routes, teams or endpoints.
"""

import contextlib

import attrs
import h11
import trio

from ..errors import (
    BadRequestError,
    ExchangeError,
    TruncatedAnswerError,
)

RECEIVE_BYTES = 64 * 1024
LINGER_S = 1.0
_LINGER_BYTES = 1024 * 1024
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
        State of the protocol.
    is_partly_sent : bool
        True while a message has left this side only in part.
    """

    stream: trio.abc.Stream
    h11: h11.Connection
    is_partly_sent: bool = False

    def reset_cycle(self, max_head_bytes):
        """Begin the next message cycle of a server after a body passed by.

        The body was written to the transport without ``h11``, which therefore
        does not know that it has ended.
        """
        data, is_closed = self.h11.trailing_data
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        if data:
            self.h11.receive_data(data)
        if is_closed:
            self.h11.receive_data(b"")

    def is_idle(self):
        """Tell whether the connection is at the start of a message cycle."""
        return self.h11.our_state is h11.IDLE and self.h11.their_state is h11.IDLE

    async def next_event(self):
        """Return the next ``h11`` event, reading as needed."""
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.h11.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.receive()

    async def receive(self):
        """Take over what arrives next, or the end of what arrives."""
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ExchangeError("the connection broke while receiving") from exc
        self.h11.receive_data(data)

    async def next_data(self):
        """Return the body bytes that have arrived, or None at the body's end.

        All data events that one receive brought are joined, so that a burst
        of small events costs one send.
        """
        event = await self.next_event()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise TruncatedAnswerError(f"{type(event).__name__} inside a body")
        return bytes(event.data)

    async def send(self, *events):
        """Send events in one write."""
        data = b"".join(self.h11.send(event) or b"" for event in events)
        if not data:
            return
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ExchangeError("the connection broke while sending") from exc

    async def close(self):
        """Close the transport without waiting for the far side."""
        await trio.aclose_forcefully(self.stream)


def server_connection(stream, max_head_bytes):
    """Wrap an accepted stream."""
    return Connection(
        stream, h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
    )


def client_connection(stream):
    """Wrap a stream that this side opened."""
    return Connection(stream, h11.Connection(h11.CLIENT))


async def read_body(conn, limit):
    """Read a whole request body.

    Parameters
    ----------
    conn : Connection
        A server's connection, after the request's head.
    limit : int
        Largest body, in bytes.

    Returns
    -------
    bytes

    Raises
    ------
    BadRequestError
        If the body is too large (413) or breaks the protocol (400).
    """
    chunks, size = [], 0
    while True:
        try:
            event = await conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(400, f"the body breaks HTTP: {exc}") from exc
        if isinstance(event, h11.EndOfMessage):
            return b"".join(chunks)
        if not isinstance(event, h11.Data):
            raise ExchangeError("the caller left before its body was complete")
        size += len(event.data)
        if size > limit:
            raise BadRequestError(413, f"the body is over {limit} bytes")
        chunks.append(bytes(event.data))


async def lingering_close(conn):
    """Let the caller read the answer before the connection is reset.

    Closing a socket with unread bytes resets it, and the reset may overtake
    the answer.
    """
    with trio.move_on_after(LINGER_S), contextlib.suppress(trio.BrokenResourceError):
        await conn.stream.send_eof()
        received = 0
        while received < _LINGER_BYTES:
            data = await conn.stream.receive_some()
            if not data:
                return
            received += len(data)


def header(headers, name, default=None):
    """Return the first header of a lower-case name, as text."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def is_chunked(headers):
    """Tell whether a body comes in chunked transfer coding and nothing else."""
    return header(headers, b"transfer-encoding", "").strip().lower() == "chunked"


def end_to_end_headers(headers):
    """Return the headers that a gateway passes on."""
    return [
        (k, v)
        for k, v in headers
        if k.lower() not in _HOP_BY_HOP and k.lower() != b"content-length"
    ]


async def perform_request(conn, method, target, headers, body=b""):
    """Send one request and read its whole answer.

    Returns
    -------
    status : int
    headers : list of (bytes, bytes)
    body : bytes

    Raises
    ------
    ExchangeError
        If the connection fails or the answer breaks the protocol.
    """
    request = h11.Request(
        method=method,
        target=target,
        headers=[*headers, (b"content-length", str(len(body)).encode())],
    )
    try:
        await conn.send(request, h11.Data(data=body), h11.EndOfMessage())
        answer = await conn.next_event()
        while isinstance(answer, h11.InformationalResponse):
            answer = await conn.next_event()
        if not isinstance(answer, h11.Response):
            raise TruncatedAnswerError("the connection ended before an answer")
        chunks = []
        while (data := await conn.next_data()) is not None:
            chunks.append(data)
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
    return answer.status_code, list(answer.headers), b"".join(chunks)
