"""Relay of chunked bodies from endpoints' sockets to callers' sockets, unchanged.

One task per host waits for all these sockets with epoll and copies the received
bytes, one read and one write per socket. The chunk framing is parsed only to find
the end of the body. A task switch and parsing and encoding with ``h11`` for each
token would cost several times as much.
"""

import os
import re
import select

import attrs
import trio

from ..errors import (
    AnswerCutError,
    CallerGoneError,
    Cut,
    OversizedAnswerError,
    SilentEndpointError,
    TruncatedAnswerError,
)
from .delivery import deliver
from .event_stream import check_last_event, last_bytes
from .framing import MAX_BODY_BYTES, Framing, ReceivedBody
from .http import is_idle_and_open

# With at least this many transfers, the relay sleeps between its polls, so that one
# poll serves several transfers.
COALESCING_THRESHOLD = 32
COALESCING_DELAY_S = 0.002
_READ_BYTES = 64 * 1024
_MAX_LINE_BYTES = 4096
_MAX_TRAILER_LINES = 64
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")
_MAX_READY = 512


@attrs.define
class ChunkScanner:
    """Incremental search for the end of a body in chunked transfer coding.

    Attributes
    ----------
    tail : bytes
        The last bytes of the decoded body, for `check_last_event`.
    """

    tail: bytes = b""
    _skip: int = 0
    _is_in_chunk: bool = False
    _line: bytes = b""
    _trailer_lines: int = 0
    _in_trailer: bool = False

    def feed(self, data):
        """Scan the next bytes of the body.

        Parameters
        ----------
        data : bytes
            Bytes as received.

        Returns
        -------
        int or None
            Offset of the body's end in `data`, or None if the body continues.

        Raises
        ------
        TruncatedAnswerError
            If the framing is invalid.
        """
        at, size = 0, len(data)
        while True:
            if self._skip:
                skipped = min(self._skip, size - at)
                self.tail = last_bytes(self.tail, data[at : at + skipped])
                at += skipped
                self._skip -= skipped
            if at == size:
                return None
            end = data.find(b"\n", at)
            if end < 0:
                self._line += data[at:]
                if len(self._line) > _MAX_LINE_BYTES:
                    raise TruncatedAnswerError("a chunk's size line is too long")
                return None
            line = (self._line + data[at:end]).strip()
            self._line, at = b"", end + 1
            if self._in_trailer:
                if not line:
                    return at
                self._trailer_lines += 1
                if self._trailer_lines > _MAX_TRAILER_LINES:
                    raise TruncatedAnswerError("a body's trailer is too long")
                continue
            if self._is_in_chunk:
                # The end of the line that ends a chunk's data.
                if line:
                    raise TruncatedAnswerError("a chunk is longer than its size")
                self._is_in_chunk = False
                continue
            self._skip = self._chunk_bytes(line)
            self._is_in_chunk = self._skip > 0

    def _chunk_bytes(self, line):
        text = line.partition(b";")[0].strip()
        if not _CHUNK_SIZE.fullmatch(text):
            raise TruncatedAnswerError(f"{line[:20]!r} is no chunk size")
        size = int(text, 16)
        if size == 0:
            self._in_trailer = True
        return size


@attrs.define(eq=False)
class BodyTransfer:
    """State of one body that is being relayed.

    Attributes
    ----------
    source, target : int
        File descriptors of the endpoint's and the caller's socket.
    scanner : ChunkScanner
        Finds the end of the body.
    has_events : bool
        Whether the body is an event stream.
    received : ReceivedBody
        Counts the received bytes, with those of the framing.
    on_data : callable or None
        ``on_data(data)`` is called with each piece of the body.
    steps : int
        Pieces forwarded so far, by which a lack of progress is detected.
    unsent : bytes
        Bytes that the caller's socket did not accept.
    is_complete : bool
        True once the body's end has been sent or is in `unsent`.
    has_surplus : bool
        True if bytes were received after the body's end.
    error : CactusmillError or None
        Why the transfer failed.
    stopped : trio.Event
        Set when the transfer is complete, has failed or has unsent bytes.
    """

    source: int
    target: int
    scanner: ChunkScanner
    has_events: bool
    received: ReceivedBody
    on_data: object
    steps: int = 0
    unsent: bytes = b""
    is_complete: bool = False
    has_surplus: bool = False
    error: object = None
    stopped: trio.Event = attrs.field(factory=trio.Event)

    def run_step(self):
        """Forward the received bytes; return whether the transfer continues."""
        try:
            data = os.read(self.source, _READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            data = b""
        if not data:
            return self._stop(TruncatedAnswerError("the answer ended early"))
        return self.forward(data)

    def forward(self, data):
        """Scan and send bytes; return whether the transfer continues."""
        self.steps += 1
        try:
            self.received.add(data)
            end = self.scanner.feed(data)
            if end is not None and self.has_events:
                check_last_event(self.scanner.tail, Framing.CHUNKED)
        except (OversizedAnswerError, TruncatedAnswerError) as exc:
            return self._stop(exc)
        if end is not None:
            self.is_complete, self.has_surplus = True, end < len(data)
            data = data[:end]
        if self.on_data is not None:
            self.on_data(data)
        try:
            sent = os.write(self.target, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return self._stop(CallerGoneError("the caller disconnected"))
        if sent < len(data):
            self.unsent = data[sent:]
        if self.unsent or self.is_complete:
            return self._stop(None)
        return True

    def _stop(self, error):
        self.error = error
        self.stopped.set()
        return False


@attrs.define(eq=False)
class BodyRelay:
    """Relays all chunked bodies of a host."""

    _epoll: select.epoll = attrs.field(factory=select.epoll)
    _transfers: dict = attrs.field(factory=dict)

    async def run(self):
        """Run all transfers until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for fd, _ in self._epoll.poll(0, _MAX_READY):
                transfer = self._transfers.get(fd)
                if transfer is not None and not transfer.run_step():
                    self._remove(fd)
            if len(self._transfers) >= COALESCING_THRESHOLD:
                # Far shorter than the time between two tokens of a stream.
                await trio.sleep(COALESCING_DELAY_S)

    def _remove(self, fd):
        if self._transfers.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    async def relay(
        self,
        source,
        target,
        prefix,
        on_data,
        stall_limit_s,
        has_events=False,
        max_bytes=MAX_BODY_BYTES,
    ):
        """Relay a body to its end.

        Parameters
        ----------
        source, target : trio.SocketStream
            The endpoint's and the caller's connection.
        prefix : bytes
            Beginning of the body, if received already.
        on_data : callable or None
            ``on_data(data)`` is called with each piece of the body.
        stall_limit_s : float
            Longest time without progress, in seconds.
        has_events : bool
            Whether the body is an event stream. The end of one that ends inside an
            event is not relayed.
        max_bytes : int
            Limit of the body, with its framing.

        Returns
        -------
        bool
            True if no bytes were received after the body, so that the endpoint's
            connection can be reused.

        Raises
        ------
        TruncatedAnswerError, SilentEndpointError, OversizedAnswerError
            If the endpoint's connection failed or stalled, or the body has no end.
        CallerGoneError
            If the caller's connection failed or stalled.
        """
        transfer = BodyTransfer(
            source.socket.fileno(),
            target.socket.fileno(),
            ChunkScanner(),
            has_events,
            ReceivedBody(Framing.CHUNKED, max_bytes, max_small_pieces=max_bytes),
            on_data,
        )
        if prefix:
            transfer.forward(prefix)
        while True:
            if not transfer.stopped.is_set():
                await self._run_transfer(transfer, source, stall_limit_s)
            if transfer.error is not None:
                raise transfer.error
            if transfer.unsent:
                await _send_unsent(transfer, target, stall_limit_s)
            if transfer.is_complete:
                return not transfer.has_surplus
            transfer.stopped = trio.Event()

    async def _run_transfer(self, transfer, source, stall_limit_s):
        self._transfers[transfer.source] = transfer
        self._epoll.register(transfer.source, select.EPOLLIN)
        try:
            while not transfer.stopped.is_set():
                steps = transfer.steps
                with trio.move_on_after(stall_limit_s):
                    await transfer.stopped.wait()
                has_progress = steps != transfer.steps or transfer.stopped.is_set()
                # On a late loop, bytes may wait that the relay has not read yet.
                if not has_progress and is_idle_and_open(source):
                    raise SilentEndpointError(f"no progress for {stall_limit_s} s")
        finally:
            self._remove(transfer.source)


async def _send_unsent(transfer, target, stall_limit_s):
    """Send the unsent bytes to a slow caller; the endpoint is not read meanwhile."""
    data, transfer.unsent = transfer.unsent, b""
    try:
        await deliver(target, data, stall_limit_s)
    except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
        raise CallerGoneError("the caller disconnected") from exc
    except AnswerCutError as exc:
        raise CallerGoneError(str(exc), Cut.NOT_READ) from exc
