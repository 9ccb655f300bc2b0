"""How late the event loop is, and when received data arrived.

A process short of processor time reads late what has long arrived: data waits in the
socket until the loop polls for it, and its task waits for its turn.
"""

import math

import attrs
import trio

# A poll that took longer has waited, so that nothing was ready when it began.
_MIN_WAIT_S = 0.001
# Time constant of the smoothed lag.
_SMOOTHING_S = 0.25
# A longer turn counts as this long, so that it is soon forgotten: the process may have
# been suspended.
_MAX_TURN_S = 0.5


@attrs.define(eq=False)
class LoopMonitor(trio.abc.Instrument):
    """Measures the turns of the event loop, from one poll for events to the next.

    Attributes
    ----------
    now : callable
        Returns the monotonic time, in seconds.
    turns : int
        Number of turns so far.
    """

    now: object = trio.current_time
    turns: int = 0
    _reported_at: float = float("inf")
    _previously_reported_at: float = float("inf")
    _poll_began_at: float = 0.0
    _polled_at: float = float("-inf")
    _lag_s: float = 0.0

    def before_io_wait(self, timeout):
        """Record that the loop begins to poll."""
        self._poll_began_at = self.now()

    def after_io_wait(self, timeout):
        """Record that a poll has returned, and a turn begins."""
        self.record_turn(self._poll_began_at, self.now())

    def record_turn(self, poll_began_at, polled_at):
        """Record one turn.

        Parameters
        ----------
        poll_began_at, polled_at : float
            When the poll at its end began and returned, in seconds.
        """
        before, self._polled_at = self._polled_at, polled_at
        if before == float("-inf"):
            before = poll_began_at
        self.turns += 1
        has_waited = polled_at - poll_began_at >= _MIN_WAIT_S
        self._previously_reported_at = self._reported_at
        self._reported_at = polled_at if has_waited else (before + polled_at) / 2
        weight = 1.0 - math.exp(-(polled_at - before) / _SMOOTHING_S)
        turn_s = min(_MAX_TURN_S, poll_began_at - before)
        self._lag_s += weight * (turn_s - self._lag_s)

    def mark_start(self):
        """Return a mark for a task that begins to run, for `estimate_arrival`."""
        return self.turns, self._previously_reported_at

    def estimate_arrival(self, start, now):
        """Estimate when the data arrived that a task has just received.

        A poll reports what arrived since the one before it. The estimate is the middle
        of that time, so that its error is at most half a turn.

        Parameters
        ----------
        start : tuple
            Mark of the task's start. What it receives in its first turn was there when
            the event that started the task was reported, one turn earlier.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Seconds; `now` if the loop has not been measured yet.
        """
        first_turn, started_at = start
        arrived_at = started_at if self.turns == first_turn else self._reported_at
        return min(arrived_at, now)

    def lag_s(self, now):
        """Return the mean length of a turn, as an event that arrives meets it.

        The present turn counts if it is longer.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        if self._polled_at == float("-inf"):
            return 0.0
        return max(self._lag_s, now - self._polled_at)
