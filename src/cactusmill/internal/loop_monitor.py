"""How late the event loop is, and when received data arrived.

A process short of processor time reads late what has long arrived: data waits in the
socket until the loop polls for it, and its task waits for its turn.
"""

import collections
import gc
import math
import time

import attrs
import trio

# A poll that took longer has waited, so that nothing was ready when it began.
_MIN_WAIT_S = 0.001
# Time constant of the smoothed lag.
_SMOOTHING_S = 0.25
# A longer turn counts as this long, so that it is soon forgotten: the process may have
# been suspended.
_MAX_TURN_S = 0.5
# Turns from this length are counted by what ran.
LONG_TURN_S = 0.1
# What a long turn was spent on, if not mostly in one step of one task.
COLLECTION = "garbage collection"
NO_PROCESSOR_TIME = "no processor time"
MANY_TASKS = "many tasks"


@attrs.define(eq=False)
class LoopMonitor(trio.abc.Instrument):
    """Measures the turns of the event loop, from one poll for events to the next.

    Attributes
    ----------
    now : callable
        Returns the monotonic time, in seconds.
    turns : int
        Number of turns so far.
    long_turns : Counter
        Number of turns of `LONG_TURN_S` or more by what ran for at least half of the
        turn: the name of a task, `COLLECTION`, `MANY_TASKS` if none did, or
        `NO_PROCESSOR_TIME` if the process did not run for half of the turn.
    """

    now: object = trio.current_time
    turns: int = 0
    long_turns: collections.Counter = attrs.field(factory=collections.Counter)
    _ran_until_s: float = 0.0
    _step_began_at: float = 0.0
    _task: object = None
    _longest_step_s: float = 0.0
    _longest_task: object = None
    _collection_began_at: float = 0.0
    _collected_s: float = 0.0
    _reported_at: float = float("inf")
    _previously_reported_at: float = float("inf")
    _poll_began_at: float = 0.0
    _polled_at: float = float("-inf")
    _lag_s: float = 0.0

    def before_io_wait(self, timeout):
        """Record that the loop begins to poll."""
        self._poll_began_at = self.now()
        if LONG_TURN_S <= self._poll_began_at - self._polled_at < math.inf:
            self.before_task_step(None)
            self.long_turns[self._name_turn()] += 1

    def before_task_step(self, task):
        """Record that the step of one task ends, and the step of another begins."""
        began_at = time.perf_counter()
        step_s = began_at - self._step_began_at
        if step_s > self._longest_step_s:
            self._longest_step_s, self._longest_task = step_s, self._task
        self._step_began_at, self._task = began_at, task

    def record_collection(self, phase, info):
        """Record the start or the end of a garbage collection, see `gc.callbacks`."""
        if phase == "start":
            self._collection_began_at = time.perf_counter()
        else:
            self._collected_s += time.perf_counter() - self._collection_began_at

    def _name_turn(self):
        half_s = (self._poll_began_at - self._polled_at) / 2
        if time.thread_time() - self._ran_until_s < half_s:
            return NO_PROCESSOR_TIME
        if self._collected_s >= half_s:
            return COLLECTION
        if self._longest_task is None or self._longest_step_s < half_s:
            return MANY_TASKS
        return self._longest_task.name.rpartition(".")[2]

    def install(self):
        """Begin to measure the event loop of the present task."""
        trio.lowlevel.add_instrument(self)
        gc.callbacks.append(self.record_collection)

    def remove(self):
        """End what :meth:`install` began."""
        trio.lowlevel.remove_instrument(self)
        gc.callbacks.remove(self.record_collection)

    def after_io_wait(self, timeout):
        """Record that a poll has returned, and a turn begins."""
        self._ran_until_s = time.thread_time()
        self._step_began_at = time.perf_counter()
        self._task = self._longest_task = None
        self._longest_step_s = self._collected_s = 0.0
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
