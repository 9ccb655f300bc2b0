"""Load shedding: a host short of processor time refuses a part of its new requests.

Refusing takes a fraction of the time that serving takes. The part that is refused
grows with the lag of the event loop, so that the host settles where the requests that
it serves and those that it refuses take the time that it has. There is no threshold
at which a host changes its behaviour, so hosts do not switch back and forth.
"""

import math

import attrs

from ..errors import Outcome, Overloaded

# Lag of the event loop up to which nothing is refused. A request takes several turns
# until its response is relayed, so that its caller waits for several times the lag.
MIN_LAG_S = 0.05
# Lag from which everything is refused.
MAX_LAG_S = 0.15
# Bounds of the retry time of shed requests. The lag settles within less than a second.
_MIN_RETRY_S = 0.3
_MAX_RETRY_S = 0.9
# A lag that another host reported this long ago tells nothing.
_REPORT_VALID_S = 2.0


def shed_fraction(lag_s):
    """Return the fraction of new requests to refuse, 0 to 1.

    Parameters
    ----------
    lag_s : float
        Lag of the event loop, in seconds.
    """
    if lag_s <= MIN_LAG_S:
        return 0.0
    return min(1.0, math.log(lag_s / MIN_LAG_S) / math.log(MAX_LAG_S / MIN_LAG_S))


def is_shed(lag_s, draw):
    """Return whether to refuse one request, by a random number from 0 to 1."""
    return draw < shed_fraction(lag_s)


def shed_retry_s(draw):
    """Return the retry time of a shed request, by a random number from 0 to 1.

    Callers that are shed together return spread over time.
    """
    return _MIN_RETRY_S + (_MAX_RETRY_S - _MIN_RETRY_S) * draw


@attrs.define(eq=False)
class Shedder:
    """Decides which new requests a host refuses, and counts them.

    Attributes
    ----------
    loop : LoopMonitor
        Measures how late the event loop is.
    rng : random.Random
        Source of random choices.
    is_on : bool
        Whether requests may be refused. False in tests whose processor time others use
        as well.
    count : int
        Number of requests refused so far.
    """

    loop: object
    rng: object
    is_on: bool = True
    count: int = 0
    _logged: int = 0

    def sheds(self, now):
        """Return whether to refuse a new request at a time, in seconds; count it."""
        if not self.is_on or not is_shed(self.loop.lag_s(now), self.rng.random()):
            return False
        self.count += 1
        return True

    def refusal(self, outcome=Outcome.NOT_RUN):
        """Return the refusal of a request that is shed, with what is known of it."""
        return Overloaded(
            detail="this host is short of processor time",
            retry_after_s=shed_retry_s(self.rng.random()),
            outcome=outcome,
        )

    def count_unlogged(self):
        """Return the number of requests refused since the last call."""
        count, self._logged = self.count - self._logged, self.count
        return count


def would_shed(member, draw, now):
    """Return whether another host would probably shed a request forwarded to it.

    Parameters
    ----------
    member : Member
        The other host, with the lag that it reported.
    draw : float
        Random number from 0 to 1.
    now : float
        Current time, in seconds.
    """
    is_known = now - member.reported_at <= _REPORT_VALID_S
    return is_known and is_shed(member.lag_s, draw)
