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


@attrs.define(eq=False)
class RunTime:
    """A request that runs.

    Attributes
    ----------
    route_name : str
        Its route.
    began_at : float
        When it arrived.
    is_whole : bool
        Whether it has ended as a whole, successful response.
    """

    route_name: str
    began_at: float
    is_whole: bool = False


@attrs.define
class Durations:
    """Durations of the latest requests that ran, by route, and those that run."""

    _by_route: dict = attrs.field(factory=dict)
    _running: dict = attrs.field(factory=dict)

    def begin(self, route_name, now):
        """Return the run time of a request that begins, for :meth:`end`."""
        run_time = RunTime(route_name, now)
        self._running.setdefault(route_name, set()).add(run_time)
        return run_time

    def end(self, run_time, now):
        """Record the end of a request; its duration counts if it was whole."""
        running = self._running[run_time.route_name]
        running.discard(run_time)
        if not running:
            del self._running[run_time.route_name]
        if run_time.is_whole:
            self.record(run_time.route_name, now - run_time.began_at)

    def record(self, route_name, duration_s):
        """Record how long a request ran, from its arrival to its end."""
        durations = self._by_route.get(route_name)
        if durations is None:
            durations = collections.deque(maxlen=_MAX_REQUESTS)
            self._by_route[route_name] = durations
        durations.append(duration_s)

    def may_end_within(self, route_name, left_s, limit_s, now):
        """Return whether a request of a route will probably end in time.

        Requests that have run for longer than that without an end count as well.

        Parameters
        ----------
        route_name : str
            The route.
        left_s : float
            Time that is left.
        limit_s : float
            Time until the request's deadline, within which it ends in any case.
        now : float
            Current time.

        Returns
        -------
        bool
        """
        if limit_s <= left_s:
            return True
        durations = list(self._by_route.get(route_name, ()))
        if not durations:
            return False
        for run_time in self._running.get(route_name, ()):
            if now - run_time.began_at > left_s:
                durations.append(now - run_time.began_at)
        longer = sum(duration_s > left_s for duration_s in durations)
        return longer <= _TOO_LONG_PART * len(durations)
