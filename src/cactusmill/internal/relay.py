"""Moving a chunked body from an endpoint's socket to a caller's, as it comes.

One task a host waits for all such sockets together and moves what has arrived
in one step each. The framing is followed only as far as it takes to find the
body's end, and the bytes are passed on as they are: a task switch and a parse
and a rendering by ``h11`` for every token cost several times as much.
"""

import os
import select

import attrs
import trio

from ..errors import (
    CallerGoneError,
    SilentEndpointError,
    TruncatedAnswerError,
)

COALESCING_THRESHOLD = 32
COALESCING_DELAY_S = 0.002
_READ_BYTES = 64 * 1024
_MAX_LINE_BYTES = 4096
_MAX_READY = 512
_LINE_END_BYTES = 2


@attrs.define
class ChunkScanner:
    """Finds the end of a body in chunked transfer coding."""

    _skip: int = 0
    _line: bytes = b""
    _in_trailer: bool = False

    def feed(self, data):
        """Follow the framing through the next bytes.

        Parameters
        ----------
        data : bytes
            As received.

        Returns
        -------
        int or None
            Where the body ends in `data`, or None if it goes on.

        Raises
        ------
        TruncatedAnswerError
            If the framing is broken.
        """
        at, size = 0, len(data)
        while True:
            if self._skip:
                step = min(self._skip, size - at)
                at += step
                self._skip -= step
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
                continue
            self._skip = self._chunk_bytes(line)

    def _chunk_bytes(self, line):
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError as exc:
            raise TruncatedAnswerError(f"{line[:20]!r} is no chunk size") from exc
        if size == 0:
            self._in_trailer = True
            return 0
        return size + _LINE_END_BYTES


@attrs.define(eq=False)
class BodyTransfer:
    """One body on its way.

    Attributes
    ----------
    source, target : int
        File descriptors of the endpoint's and the caller's socket.
    on_data : callable or None
        ``on_data(data)`` sees what passes.
    steps : int
        Steps made so far; a flow whose steps stop is silent.
    unsent : bytes
        What the caller's socket did not take.
    is_complete : bool
        True once the body's end has been passed on or is in `unsent`.
    error : CactusmillError or None
        Why the flow ended early.
    """

    source: int
    target: int
    scanner: ChunkScanner
    on_data: object
    steps: int = 0
    unsent: bytes = b""
    is_complete: bool = False
    has_surplus: bool = False
    error: object = None
    stopped: trio.Event = attrs.field(factory=trio.Event)

    def run_step(self):
        """Move what has arrived; return whether to go on."""
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
        """Follow the framing and send; return whether to go on."""
        self.steps += 1
        try:
            end = self.scanner.feed(data)
        except TruncatedAnswerError as exc:
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
            return self._stop(CallerGoneError("the caller left"))
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
    """Moves all flows of a host."""

    _epoll: select.epoll = attrs.field(factory=select.epoll)
    _transfers: dict = attrs.field(factory=dict)

    async def run(self):
        """Move flows for ever."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for fd, _ in self._epoll.poll(0, _MAX_READY):
                transfer = self._transfers.get(fd)
                if transfer is not None and not transfer.run_step():
                    self._remove(fd)
            if len(self._transfers) >= COALESCING_THRESHOLD:
                # One wake then serves several flows. The delay is far below
                # the time between two tokens of a stream.
                await trio.sleep(COALESCING_DELAY_S)

    def _remove(self, fd):
        if self._transfers.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    async def relay(self, source, target, first, on_data, stall_limit_s):
        """Move a body to its end.

        Parameters
        ----------
        source, target : trio.SocketStream
            The endpoint's and the caller's connection.
        first : bytes
            Part of the body that has been received already.
        on_data : callable or None
            ``on_data(data)`` sees what passes.
        stall_limit_s : float
            Longest time without progress, in seconds.

        Returns
        -------
        bool
            True if nothing came behind the body, so that the endpoint's
            connection can be used again.

        Raises
        ------
        TruncatedAnswerError, SilentEndpointError
            If the endpoint's side failed.
        CallerGoneError
            If the caller's side failed.
        """
        transfer = BodyTransfer(
            source.socket.fileno(), target.socket.fileno(), ChunkScanner(), on_data
        )
        if first:
            transfer.forward(first)
        while True:
            if not transfer.stopped.is_set():
                await self._run_transfer(transfer, stall_limit_s)
            if transfer.error is not None:
                raise transfer.error
            if transfer.unsent:
                await _send_unsent(transfer, target, stall_limit_s)
            if transfer.is_complete:
                return not transfer.has_surplus
            transfer.stopped = trio.Event()

    async def _run_transfer(self, transfer, stall_limit_s):
        self._transfers[transfer.source] = transfer
        self._epoll.register(transfer.source, select.EPOLLIN)
        try:
            while not transfer.stopped.is_set():
                steps = transfer.steps
                with trio.move_on_after(stall_limit_s):
                    await transfer.stopped.wait()
                if steps == transfer.steps and not transfer.stopped.is_set():
                    raise SilentEndpointError(f"no progress for {stall_limit_s} s")
        finally:
            self._remove(transfer.source)


async def _send_unsent(transfer, target, stall_limit_s):
    """Wait for a slow caller; nothing is read from the endpoint meanwhile."""
    data, transfer.unsent = transfer.unsent, b""
    try:
        with trio.fail_after(stall_limit_s):
            await target.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
        raise CallerGoneError("the caller left") from exc
    except trio.TooSlowError as exc:
        raise CallerGoneError(f"the caller took nothing for {stall_limit_s} s") from exc
