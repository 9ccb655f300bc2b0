"""Delivery of responses, for as long as the other end takes bytes."""

import os

import trio

from ..errors import AnswerCutError, Cut

# A socket that a poll finds unwritable this long after the one before counts as
# blocked for this time, however late the event loop polls.
_STEP_S = 0.5
# Time for which the other end may take nothing. A host whose own event loop has turns
# of 3 s still reads within it.
MAX_BLOCKED_S = 4.0
# Time for which it may take nothing in all, and the bytes with which it earns another
# second of it: they bound the time of a delivery by its size.
MAX_TOTAL_BLOCKED_S = 30.0
MIN_BYTES_PER_S = 32 * 1024
# More than a socket holds.
_MAX_ARRIVED_BYTES = 8 * 1024 * 1024
_READ_BYTES = 64 * 1024


async def deliver(stream, data, max_blocked_s=MAX_BLOCKED_S):
    """Send bytes of a response, with one write if the socket takes them.

    What the socket takes at once is sent even if the task is cancelled. The other end
    is given up once polls over `max_blocked_s` seconds have all found the socket
    unwritable, or polls over `MAX_TOTAL_BLOCKED_S` in all and one second more for each
    `MIN_BYTES_PER_S` bytes that it took. Turns of a late event loop do not count.

    Parameters
    ----------
    stream : trio.abc.Stream
        The transport.
    data : bytes
        What is ready of the response, as encoded: head, body and end if it is complete.
    max_blocked_s : float
        Time for which the other end may take nothing, in seconds.

    Raises
    ------
    AnswerCutError
        If the other end does not take the bytes.
    trio.BrokenResourceError, trio.ClosedResourceError
        If the connection fails.
    """
    sock = getattr(stream, "socket", None)
    if sock is None:
        await _deliver_in_memory(stream, data, max_blocked_s)
        return
    left, blocked_s, total_blocked_s = memoryview(data), 0.0, 0.0
    while True:
        taken = _write(sock, left)
        if taken:
            left, blocked_s = left[taken:], 0.0
        if not left:
            break
        with trio.move_on_after(_STEP_S) as scope:
            await trio.lowlevel.wait_writable(sock)
        if not scope.cancelled_caught:
            continue
        blocked_s += _STEP_S
        total_blocked_s += _STEP_S
        sent = len(data) - len(left)
        most_s = MAX_TOTAL_BLOCKED_S + sent / MIN_BYTES_PER_S
        if blocked_s >= max_blocked_s or total_blocked_s >= most_s:
            raise AnswerCutError(
                f"the other end took {sent} of the {len(data)} bytes of an answer that "
                f"were ready, none for {blocked_s:.1f} s, {total_blocked_s:.1f} in all",
                Cut.NOT_READ,
            )
    # The bytes have left: being cancelled now must not make a failure of it.
    await trio.lowlevel.cancel_shielded_checkpoint()


def _write(sock, data):
    """Write what a socket takes at once; return the number of bytes."""
    if sock.fileno() < 0:
        raise trio.ClosedResourceError("the connection was closed meanwhile")
    try:
        return os.write(sock.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as exc:
        raise trio.BrokenResourceError(f"the socket failed: {exc}") from exc


async def _deliver_in_memory(stream, data, max_blocked_s):
    """Send bytes on a transport without a socket, as in tests."""
    with trio.move_on_after(max_blocked_s) as scope:
        await stream.send_all(data)
    if scope.cancelled_caught:
        problem = f"the other end took nothing for {max_blocked_s} s"
        raise AnswerCutError(problem, Cut.NOT_READ)


async def receive_some(end, max_bytes):
    """Receive bytes; what has arrived when the task is cancelled is returned, once.

    A deadline that passes while the event loop is late must not lose what lies in the
    socket. The task is cancelled at its next checkpoint, at the latest when it receives
    again, so that bytes that trickle in do not put off the cancellation.

    Parameters
    ----------
    end : object
        Has the transport, `stream`, and two attributes that this function keeps:
        `has_looked`, true after a receipt that was cancelled, and `is_broken`, true
        once the connection has failed.
    max_bytes : int
        Limit of a receipt that is not cancelled.

    Raises
    ------
    trio.BrokenResourceError, trio.ClosedResourceError
        If the connection fails.
    """
    try:
        data = await end.stream.receive_some(max_bytes)
    except trio.Cancelled:
        data = b"" if end.has_looked else _read_arrived(end)
        end.has_looked = bool(data)
        if not data:
            raise
        await trio.lowlevel.cancel_shielded_checkpoint()
        return data
    end.has_looked = False
    if not data and end.is_broken:
        # A socket reports a reset once. After that, receiving looks as if the other
        # end had closed the connection.
        raise trio.BrokenResourceError("the connection broke before")
    return data


def _read_arrived(end):
    """Return the bytes that lie in a transport's socket; empty if there are none.

    A failure that the socket reports is kept in `end.is_broken`.
    """
    sock = getattr(end.stream, "socket", None)
    data = bytearray()
    if sock is None or sock.fileno() < 0:
        return b""
    try:
        while len(data) < _MAX_ARRIVED_BYTES:
            piece = os.read(sock.fileno(), _READ_BYTES)
            if not piece:
                break
            data += piece
    except BlockingIOError:
        pass
    except OSError:
        end.is_broken = True
    return bytes(data)
