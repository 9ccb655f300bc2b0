"""How long requests of each route took lately, to tell which ones can still end.

All times are seconds.
"""

import collections

import attrs

# Requests of a route that are remembered.
_MAX_REQUESTS = 64
# A request is not begun if more than this part of the route's latest took longer than
# the time that is left.
_TOO_LONG_PART = 0.05


@attrs.define
class Durations:
    """Durations of the latest requests that ran, by route."""

    _by_route: dict = attrs.field(factory=dict)

    def record(self, route_name, duration_s):
        """Record how long a request ran, from its arrival to its end."""
        durations = self._by_route.get(route_name)
        if durations is None:
            durations = collections.deque(maxlen=_MAX_REQUESTS)
            self._by_route[route_name] = durations
        durations.append(duration_s)

    def may_end_within(self, route_name, left_s, limit_s):
        """Return whether a request of a route will probably end in time.

        Parameters
        ----------
        route_name : str
            The route.
        left_s : float
            Time that is left.
        limit_s : float
            Time until the request's deadline, within which it ends in any case.

        Returns
        -------
        bool
        """
        if limit_s <= left_s:
            return True
        durations = self._by_route.get(route_name)
        if not durations:
            return False
        longer = sum(duration_s > left_s for duration_s in durations)
        return longer <= _TOO_LONG_PART * len(durations)
