"""An event loop whose turns are long, as on a host short of processor time."""

import contextlib
import time

import trio


class LateLoop(trio.abc.Instrument):
    """Makes each turn of the event loop last a given time.

    Parameters
    ----------
    turn_s : float
        Length of a turn, in seconds.
    wait : callable
        ``wait(seconds)`` lets the time pass; the ``jump`` of a mock clock, or a sleep.

    Attributes
    ----------
    turns : int
        Number of turns so far.
    """

    def __init__(self, turn_s, wait=time.sleep):
        self.turn_s = turn_s
        self.wait = wait
        self.turns = 0

    def before_io_wait(self, timeout):
        """Let the time of a turn pass."""
        self.turns += 1
        self.wait(self.turn_s)


@contextlib.contextmanager
def late_loop(turn_s, wait=time.sleep):
    """Make the running event loop late inside a block; yields the `LateLoop`."""
    instrument = LateLoop(turn_s, wait)
    trio.lowlevel.add_instrument(instrument)
    try:
        yield instrument
    finally:
        trio.lowlevel.remove_instrument(instrument)
