"""When refused callers come back, so that there is room for each of them.

The load it answers: a surge whose refused callers all return after the same
short wait, are refused again and return together. Each refusal books the work
that its caller will bring back; the next one is told to come behind it.
"""

import attrs

# Work that is booked further ahead than this will not be waited for.
_MAX_AHEAD_S = 6.0


@attrs.define
class RetrySchedule:
    """Work that refused callers will bring back.

    Attributes
    ----------
    booked : float
        Work booked ahead, as of `at`.
    at : float
        When it was brought up to date, in seconds.
    """

    booked: float = 0.0
    at: float = 0.0

    def wait_s(self, work, lacking, per_s, now):
        """Book a refused caller's return.

        Parameters
        ----------
        work : float
            What it will bring back.
        lacking : float
            What must drain before there is room for one caller.
        per_s : float
            Work that drains per second.
        now : float
            Present time, in seconds.

        Returns
        -------
        float
            When to come back, in seconds.
        """
        self.booked = max(0.0, self.booked - (now - self.at) * per_s)
        self.at = now
        wait_s = (lacking + self.booked) / per_s
        if wait_s < _MAX_AHEAD_S:
            self.booked += work
        return wait_s
