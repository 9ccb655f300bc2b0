"""Error budget burn: counts of good and bad requests per team and route.

A request is bad if the gateway or an endpoint failed it, or if its response began
later than the latency objective. A refusal that the caller caused, or that
enforces the team's rate, counts as neither good nor bad.
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
        Team and route of the requests.
    window_s : float
        Length of the window, in seconds.
    good, bad : int
        Number of requests that met the objective, and that missed it.
    """

    team: str
    route: str
    window_s: float
    good: int
    bad: int


@attrs.define
class BurnCounter:
    """Counters of good and bad requests on one host, in buckets of `BUCKET_S`."""

    _buckets: dict = attrs.field(factory=dict)

    def record(self, team, route, is_good, now):
        """Count a request.

        Parameters
        ----------
        team, route : str
            Team and route of the request.
        is_good : bool
            Whether it met the objective.
        now : float
            Current time, in seconds.
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
            Current time, in seconds.

        Returns
        -------
        list of BurnCount
        """
        rows = []
        for (team, route), buckets in sorted(self._buckets.items()):
            for window_s in WINDOWS_S:
                last_expired_number = (now - window_s) // BUCKET_S
                in_window = [b for b in buckets if b.number > last_expired_number]
                good, bad = (
                    sum(b.good for b in in_window),
                    sum(b.bad for b in in_window),
                )
                rows.append(BurnCount(team, route, window_s, good, bad))
        return rows


def burn_rate(good, bad, objective):
    """Return the burn rate of the error budget.

    Parameters
    ----------
    good, bad : int
        Number of requests within a window.
    objective : float
        Fraction of requests that must be good, below 1.

    Returns
    -------
    float
        At 1, the budget is used up exactly at the end of the objective's period.
    """
    total = good + bad
    return bad / total / (1.0 - objective) if total else 0.0
