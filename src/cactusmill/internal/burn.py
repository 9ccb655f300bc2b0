"""Service-level burn: how fast each team's error budget is used up.

A request is bad if the gateway or an endpoint failed it or its answer began
later than the objective. A refusal for the caller's own fault, or above the
team's rate, is neither good nor bad.
"""

import attrs

BUCKET_S = 60.0
WINDOWS_S = (300.0, 3600.0)
_BUCKETS = int(max(WINDOWS_S) / BUCKET_S) + 1


@attrs.define
class _Bucket:
    number: int
    good: int = 0
    bad: int = 0


@attrs.frozen
class BurnCount:
    """Requests of one team on one route within a window.

    Attributes
    ----------
    team, route : str
        Who asked for what.
    window_s : float
        Length of the window, in seconds.
    good, bad : int
        Requests that met the objective, and those that did not.
    """

    team: str
    route: str
    window_s: float
    good: int
    bad: int


@attrs.define
class BurnLog:
    """Counts of good and bad requests on one host."""

    _buckets: dict = attrs.field(factory=dict)

    def record(self, team, route, is_good, now):
        """Count a request.

        Parameters
        ----------
        team, route : str
            Who asked for what.
        is_good : bool
            Whether it met the objective.
        now : float
            Present time, in seconds.
        """
        number = int(now // BUCKET_S)
        buckets = self._buckets.setdefault((team, route), [])
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
            del buckets[:-_BUCKETS]
        if is_good:
            buckets[-1].good += 1
        else:
            buckets[-1].bad += 1

    def counts(self, now):
        """Return the counts over each window.

        Parameters
        ----------
        now : float
            Present time, in seconds.

        Returns
        -------
        list of BurnCount
        """
        rows = []
        for (team, route), buckets in sorted(self._buckets.items()):
            for window_s in WINDOWS_S:
                oldest = (now - window_s) // BUCKET_S
                inside = [b for b in buckets if b.number > oldest]
                good, bad = sum(b.good for b in inside), sum(b.bad for b in inside)
                rows.append(BurnCount(team, route, window_s, good, bad))
        return rows


def burn_rate(good, bad, objective):
    """Return how many times faster than allowed the budget is used.

    Parameters
    ----------
    good, bad : int
        Requests within a window.
    objective : float
        Share of requests that must be good, below 1.

    Returns
    -------
    float
        1 uses the budget up exactly by the end of the objective's period.
    """
    total = good + bad
    return bad / total / (1.0 - objective) if total else 0.0
