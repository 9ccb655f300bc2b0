"""Requests on one connection, pipelined or alone, as their caller sees them end."""

import contextlib
import errno
import hashlib
import os
import re
import time

import attrs
import h11
import trio

from cactusmill.errors import ConnectError
from cactusmill.internal.http import header, is_idle_and_open
from cactusmill.internal.net import TCP

from ..history import Attempt, Ending

CONNECT_TIMEOUT_S = 1.0
# Part of the time after which an idle connection is closed for which it is reused.
_IDLE_PART = 0.8
_RECEIVE_BYTES = 64 * 1024
_SLOW_RECEIVE_BYTES = 512
_SLOW_PAUSE_S = 0.05
_RESETS = frozenset({errno.ECONNRESET, errno.EPIPE})
_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,15})$", re.MULTILINE)
_TIMEOUT = re.compile(r"timeout=([0-9]{1,9})")


@attrs.define(eq=False)
class CallerConnection:
    """A caller's connection to a host.

    Attributes
    ----------
    name : str
        Names it in the history.
    host, address : str
        Name and address of the host.
    stream : trio.SocketStream
    position : int
        Number of requests that were begun on it.
    is_closing : bool
        Whether a response has announced the close.
    is_over : bool
        Whether it can carry no further request.
    used_at : float
        When its last response ended.
    idle_s : float
        Time after which the host closes it when it is idle, in seconds.
    """

    name: str
    host: str
    address: str
    stream: object
    position: int = 0
    is_closing: bool = False
    is_over: bool = False
    used_at: float = 0.0
    idle_s: float = float("inf")

    def is_reusable(self, idle_timeout_s, now):
        """Return whether the next request may be sent on it."""
        limit_s = min(idle_timeout_s, self.idle_s) * _IDLE_PART
        return (
            not self.is_over
            and not self.is_closing
            and now - self.used_at < limit_s
            and is_idle_and_open(self.stream)
        )

    async def close(self):
        """Close it without waiting for the other end."""
        self.is_over = True
        await trio.aclose_forcefully(self.stream)


@attrs.define(eq=False, kw_only=True)
class Exchange:
    """One attempt while it goes on.

    Attributes
    ----------
    fields : dict
        Fields of its record that are known before it begins.
    method, target : str
    headers : list of (str, str)
    pieces : list of bytes
        The body as it is written, a piece at a time.
    deadline : float
        Time at which its caller stops waiting.
    leave_at : float
        Time at which its caller leaves by habit.
    gap_s : float
        Longest silence of a stream that its caller bears, in seconds.
    ending : Ending or None
        None until it has ended.
    last_event : int
        Number of the last event that was received.
    retry_after : float or None
        Seconds that the response asks for.
    """

    fields: dict
    method: str = "POST"
    target: str
    headers: list
    pieces: list
    deadline: float
    leave_at: float = float("inf")
    gap_s: float = float("inf")
    h11: object = attrs.field(factory=lambda: h11.Connection(h11.CLIENT))
    connection: CallerConnection | None = None
    position: int = 1
    was_closing: bool = False
    began_at: float | None = None
    sent_bytes: int = 0
    sent_at: float | None = None
    first_at: float | None = None
    ended_at: float | None = None
    ending: Ending | None = None
    reason: str = ""
    is_reset: bool = False
    response: object = None
    events: list = attrs.field(factory=list)
    _digest: object = attrs.field(factory=hashlib.sha256)
    _size: int = 0
    _rest: bytes = b""

    @property
    def status(self):
        """Status of the response; 0 without one."""
        return self.response.status_code if self.response else 0

    @property
    def announces_close(self):
        """Whether the response says that the connection ends after it."""
        if self.response is None:
            return False
        tokens = header(self.response.headers, b"connection", "").lower().split(",")
        return "close" in [token.strip() for token in tokens]

    def end(self, ending, reason=""):
        """Note how it ended, unless that is known."""
        if self.ending is None:
            self.ending, self.reason = ending, reason
            self.ended_at = time.monotonic()

    def end_by_other(self, reason=""):
        """Note that its connection ended before the response did."""
        if self.first_at is not None:
            self.end(Ending.CUT, reason)
        else:
            self.end(Ending.NOT_SENT if self.sent_at is None else Ending.NO_ANSWER)

    def add_body(self, data):
        """Take a part of the response's body."""
        self._digest.update(data)
        self._size += len(data)
        self._rest += data
        *blocks, self._rest = self._rest.split(b"\n\n")
        for block in blocks:
            if found := _EVENT_ID.search(block):
                self.events.append(int(found[1]))

    def record(self):
        """Return its record."""
        headers = self.response.headers if self.response else ()
        conn = self.connection
        return Attempt(
            **self.fields,
            connection=conn.name if conn else "",
            position=self.position,
            began_at=self.began_at,
            sent_at=self.sent_at,
            first_at=self.first_at,
            ended_at=self.ended_at,
            ending=self.ending,
            reason=self.reason,
            is_reset=self.is_reset,
            was_closing=self.was_closing,
            announces_close=self.announces_close,
            status=self.status,
            headers={k.decode("latin-1"): v.decode("latin-1") for k, v in headers},
            is_signed=header(headers, b"response-signature") is not None,
            echoed_id=header(headers, b"request-id", ""),
            digest=self._digest.hexdigest() if self.response else "",
            events=self.events,
            body_bytes=sum(map(len, self.pieces)),
            response_bytes=self._size,
        )


async def connect(name, host, address, timeout_s):
    """Return a connection to a host, or None if there was none in time."""
    try:
        stream = await TCP.connect(address, min(CONNECT_TIMEOUT_S, timeout_s))
    except ConnectError:
        return None
    return CallerConnection(name, host, address, stream)


async def converse(conn, exchanges, *, write_gap_s=0.0, is_slow_reader=False):
    """Send requests at once, and receive their responses in order.

    Those that were not begun when the connection could carry no more have no
    `began_at`. Each other one has ended, unless this was cancelled.

    Parameters
    ----------
    conn : CallerConnection
        No other task uses it meanwhile. It is closed unless it can be used again.
    exchanges : list of Exchange
    write_gap_s : float
        Pause between the pieces of a body, in seconds.
    is_slow_reader : bool
        Whether the responses are read slowly.
    """
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_write, conn, exchanges, write_gap_s)
            for exchange in exchanges:
                exchange.was_closing = conn.is_closing
                await _read(conn, exchange, is_slow_reader)
                if conn.is_over:
                    break
                _pass_on(exchange, exchanges[exchanges.index(exchange) + 1 :])
            nursery.cancel_scope.cancel()
    finally:
        if conn.is_over or any(e.ending is None for e in exchanges if e.began_at):
            await conn.close()
    has_left = any(e.ending is Ending.LEFT for e in exchanges)
    for exchange in exchanges:
        if exchange.began_at is None or exchange.ending is not None:
            continue
        exchange.was_closing = conn.is_closing
        if has_left:
            exchange.end(Ending.LEFT, "an earlier request was given up")
        else:
            exchange.end_by_other()


def _pass_on(exchange, following):
    """Give the bytes that came after a response to the next exchange."""
    data, is_ended = exchange.h11.trailing_data
    for after in following[:1]:
        if data:
            _take(after, data)
        if is_ended:
            _take(after, b"")


async def _write(conn, exchanges, gap_s):
    for exchange in exchanges:
        exchange.began_at = exchange.began_at or time.monotonic()
        conn.position += 1
        exchange.connection, exchange.position = conn, conn.position
        events = [
            h11.Request(
                method=exchange.method,
                target=exchange.target,
                headers=exchange.headers,
            ),
            *(h11.Data(data=piece) for piece in exchange.pieces),
            h11.EndOfMessage(),
        ]
        data = [exchange.h11.send(event) or b"" for event in events]
        try:
            for piece in filter(None, data) if gap_s else [b"".join(data)]:
                if exchange.sent_bytes:
                    await trio.sleep(gap_s)
                await _send(conn.stream.socket, piece, exchange)
        except OSError as exc:
            # What the host sent before can still be read.
            exchange.is_reset = exc.errno in _RESETS
            return
        exchange.sent_at = time.monotonic()


async def _send(sock, data, exchange):
    """Send bytes; with the last one, nothing else runs until its time is noted."""
    await trio.lowlevel.checkpoint()
    while data:
        try:
            size = os.write(sock.fileno(), data)
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
        else:
            data = data[size:]
            exchange.sent_bytes += size


async def _read(conn, exchange, is_slow):
    """Receive one response, or note why it did not come whole."""
    until = min(exchange.deadline, exchange.leave_at)
    with trio.move_on_after(max(0.0, until - time.monotonic())) as scope:
        await _receive_response(conn, exchange, is_slow)
    if scope.cancelled_caught:
        is_late = exchange.deadline <= exchange.leave_at
        exchange.end(Ending.LEFT, "deadline" if is_late else "habit")
    conn.used_at = time.monotonic()
    conn.is_closing = conn.is_closing or exchange.announces_close
    if exchange.ending is not Ending.COMPLETE or exchange.sent_at is None:
        conn.is_over = True
    if exchange.response is not None:
        stated = header(exchange.response.headers, b"keep-alive", "")
        if found := _TIMEOUT.search(stated):
            conn.idle_s = float(found[1])


async def _receive_response(conn, exchange, is_slow):
    while exchange.ending is None:
        try:
            event = exchange.h11.next_event()
        except h11.RemoteProtocolError as exc:
            _, is_closed = exchange.h11.trailing_data
            exchange.end_by_other("" if is_closed else f"not HTTP: {exc}")
            return
        if isinstance(event, h11.Response):
            exchange.response = event
        elif isinstance(event, h11.Data):
            exchange.add_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            exchange.end(Ending.COMPLETE)
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            exchange.end_by_other()
        elif event is h11.NEED_DATA:
            await _receive(conn, exchange, is_slow)


async def _receive(conn, exchange, is_slow):
    if is_slow:
        await trio.sleep(_SLOW_PAUSE_S)
    with trio.move_on_after(exchange.gap_s) as scope:
        size = _SLOW_RECEIVE_BYTES if is_slow else _RECEIVE_BYTES
        try:
            _take(exchange, await conn.stream.receive_some(size))
        except trio.BrokenResourceError as exc:
            exchange.is_reset = _is_reset(exc)
            exchange.end_by_other()
    if scope.cancelled_caught:
        exchange.end(Ending.LEFT, "gap")


def _take(exchange, data):
    if data and exchange.first_at is None:
        exchange.first_at = time.monotonic()
    with contextlib.suppress(h11.RemoteProtocolError):
        # Raised again by the next call for an event.
        exchange.h11.receive_data(data)


def _is_reset(exc):
    return getattr(exc.__cause__, "errno", None) in _RESETS
