"""Looks whether the process of an endpoint has ended after an interruption."""

import trio

from ..errors import ConnectRefusedError, ConnectResetError
from .http import is_idle_and_open

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
    except ConnectRefusedError:
        raise
    except ConnectResetError:
        await trio.sleep(SECOND_LOOK_S)
    else:
        try:
            await trio.sleep(SECOND_LOOK_S)
        except trio.Cancelled:
            await trio.aclose_forcefully(stream)
            raise
        if is_idle_and_open(stream):
            return stream
        await trio.aclose_forcefully(stream)
    try:
        return await connect()
    except ConnectResetError:
        return None
