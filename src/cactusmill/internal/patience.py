"""Waits for endpoints and hosts that may fall silent and go on."""

import trio

from ..errors import SilentEndpointError
from .http import is_idle_and_open

# Interval at which whoever is silent is looked at again.
_LOOK_AGAIN_S = 0.3


async def receive_patiently(receive, stream, limit_s, may_give_up):
    """Receive from an endpoint or host that may fall silent and go on.

    Parameters
    ----------
    receive : callable
        ``await receive()`` returns what was received. It may be cancelled and called
        again without loss.
    stream : trio.abc.Stream
        The transport. On a late event loop, bytes may wait there when the limit passes.
    limit_s : float
        Silence after which to ask whether to give up, in seconds.
    may_give_up : callable
        ``await may_give_up(is_silent)`` returns whether something else takes over. If
        not, it is asked again after `_LOOK_AGAIN_S` seconds; the caller limits the
        whole. ``is_silent()`` tells whether there is nothing to read.

    Raises
    ------
    SilentEndpointError
        Once it may be given up.
    """
    silent_s = 0.0
    while True:
        with trio.move_on_after(max(0.0, limit_s)):
            return await receive()
        silent_s += limit_s
        limit_s = _LOOK_AGAIN_S
        if await may_give_up(lambda: is_idle_and_open(stream)):
            raise SilentEndpointError(f"no progress for {silent_s:.2f} s")


async def give_up_always(is_silent):
    """Give up whatever is silent for its limit, as in :func:`receive_patiently`."""
    return is_silent()
