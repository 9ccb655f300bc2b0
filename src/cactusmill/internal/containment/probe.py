"""Looks whether the process of an endpoint has ended after an interruption."""

import contextlib

import trio

from ...errors import ConnectResetError

# A dying process closes its connections and its listener in any order. Until the
# listener is closed, connections to it are accepted, and reset when it is.
SECOND_LOOK_S = 0.05


async def probe_twice(connect):
    """Connect, and again a moment later if the first connection did not last.

    Parameters
    ----------
    connect : callable
        ``await connect()`` returns a stream or raises :class:`ConnectError`.

    Returns
    -------
    trio.abc.Stream or None
        The connection, if it is open. None if the endpoint is neither seen to have
        ended nor to accept connections.

    Raises
    ------
    ConnectRefusedError
        If nothing listens at the address.
    ConnectError
        If it does not accept connections for another reason, such as a silence.
    """
    try:
        stream = await connect()
    except ConnectResetError:
        await trio.sleep(SECOND_LOOK_S)
    else:
        is_open = False
        try:
            is_open = await _stays_open(stream)
        finally:
            if not is_open:
                await trio.aclose_forcefully(stream)
        if is_open:
            return stream
    try:
        return await connect()
    except ConnectResetError:
        return None


async def _stays_open(stream):
    """Return after SECOND_LOOK_S whether a connection is open and nothing arrived."""
    is_open = True
    with trio.move_on_after(SECOND_LOOK_S):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        is_open = False
        await trio.sleep_forever()
    return is_open
