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
# Time constant of the part that hosts have shed lately: several times the 6 s for which
# callers may use an answer, so that answers do not follow their own effects.
_AVERAGE_S = 15.0
# A host that has shed less than this part lately has room.
_ROOM_PART = 0.1
# Fewest hosts that are named to a caller, if there are as many.
_MIN_NAMED = 2


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


@attrs.define
class ShedAverage:
    """Part of its new requests that a host has refused lately, by the lags it told.

    Attributes
    ----------
    part : float
        Smoothed part, 0 to 1.
    """

    part: float = 0.0
    _updated_at: float | None = None

    def update(self, lag_s, now):
        """Take account of a lag of the event loop at a time, both in seconds."""
        if self._updated_at is not None:
            weight = 1.0 - math.exp((self._updated_at - now) / _AVERAGE_S)
            self.part += weight * (shed_fraction(lag_s) - self.part)
        self._updated_at = now


def name_with_room(hosts, parts, rng):
    """Return the hosts to name to a caller: those that shed less often than others.

    A host is left out by the part that it has shed lately, as far as others have room
    for its callers. At least two are named if there are two, so that callers do not all
    move to one.

    Parameters
    ----------
    hosts : list
        Hosts that the caller may use.
    parts : list of float
        Part that each has shed lately, see :class:`ShedAverage`.
    rng : random.Random
        Source of random choices.

    Returns
    -------
    list
    """
    if not hosts:
        return hosts
    room = sum(part < _ROOM_PART for part in parts) / len(parts)
    named = [
        host
        for host, part in zip(hosts, parts, strict=True)
        if part < _ROOM_PART or rng.random() >= part * room
    ]
    return named if len(named) >= _MIN_NAMED else hosts


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
