"""Retry times for refused callers, spread over the time that their work takes.

Prevents a retry storm: after a surge, callers that all got the same short retry time
would return together and be refused again. Each refusal reserves capacity for the
work that its caller will send again; the next caller gets a time after that.
"""

import attrs

# No capacity is reserved for a retry later than this: callers do not wait longer.
_MAX_RESERVED_S = 6.0


@attrs.define
class RetrySchedule:
    """Capacity reserved for the retries of refused callers.

    The unit of work is the caller's choice, such as tokens or seconds of prefill.

    Attributes
    ----------
    reserved : float
        Reserved work that has not been processed, as of `updated_at`.
    updated_at : float
        Time of the last update, in seconds.
    """

    reserved: float = 0.0
    updated_at: float = 0.0

    def reserve(self, work, shortfall, work_per_s, now):
        """Reserve capacity for a refused caller's retry.

        Parameters
        ----------
        work : float
            Work of its request.
        shortfall : float
            Work that must be processed before there is capacity for one caller.
        work_per_s : float
            Work that is processed per second.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Time until the retry, in seconds.
        """
        self.reserved = max(0.0, self.reserved - (now - self.updated_at) * work_per_s)
        self.updated_at = now
        wait_s = (shortfall + self.reserved) / work_per_s
        if wait_s < _MAX_RESERVED_S:
            self.reserved += work
        return wait_s


@attrs.define
class RankedRetries:
    """Capacity reserved for the retries of refused callers, by rank.

    A retry waits for the reserved work of its own and all more urgent ranks, so that
    the capacity for a refused urgent request is not promised to a patient one.

    Attributes
    ----------
    reserved : dict of int to float
        Reserved work that has not been processed, by priority, as of `updated_at`.
    updated_at : float
        Time of the last update, in seconds.
    """

    reserved: dict = attrs.field(factory=dict)
    updated_at: float = 0.0

    def for_priority(self, priority):
        """Return the schedule of one priority, used as a :class:`RetrySchedule`."""
        return _RankSchedule(self, priority)

    def reserve(self, priority, work, shortfall, work_per_s, now):
        """Reserve capacity for a refused caller's retry.

        Parameters
        ----------
        priority : int
            Priority of its request, 0 highest.
        work, shortfall, work_per_s, now : float
            As in :meth:`RetrySchedule.reserve`.

        Returns
        -------
        float
            Time until the retry, in seconds.
        """
        processed = (now - self.updated_at) * work_per_s
        self.updated_at = now
        # The most urgent work is processed first.
        for rank in sorted(self.reserved):
            done = min(self.reserved[rank], processed)
            processed -= done
            self.reserved[rank] -= done
        ahead = sum(w for rank, w in self.reserved.items() if rank <= priority)
        wait_s = (shortfall + ahead) / work_per_s
        if wait_s < _MAX_RESERVED_S:
            self.reserved[priority] = self.reserved.get(priority, 0.0) + work
        return wait_s


@attrs.frozen
class _RankSchedule:
    retries: RankedRetries
    priority: int

    def reserve(self, work, shortfall, work_per_s, now):
        """Reserve capacity, as :meth:`RankedRetries.reserve`."""
        return self.retries.reserve(self.priority, work, shortfall, work_per_s, now)
