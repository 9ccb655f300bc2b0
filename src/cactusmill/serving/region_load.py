"""Load of a region's hosts at its endpoints, summed as their reports arrive.

Answers the load pattern of many hosts that send to few endpoints. A decision reads
one sum per endpoint, so that its cost does not grow with the number of hosts. And a
queue is processed sooner than all hosts of a large region have reported again, so
only recent reports count, each for as many hosts as there are to a recent report.

All times are seconds of the process's monotonic clock.
"""

import attrs

_NO_LOAD = (0, 0)
_NO_ROOM = (0, 0)


@attrs.define(eq=False)
class RegionLoad:
    """Sums of the newest report of every other host of the region."""

    _reports: dict = attrs.field(factory=dict)
    _totals: dict = attrs.field(factory=dict)
    _rooms: dict = attrs.field(factory=dict)

    def record(self, host_name, work, now):
        """Replace a host's report.

        Parameters
        ----------
        host_name : str
            The host.
        work : dict of int to tuple of int
            Its requests in flight and their uncached prompt tokens, by `load_key` of
            the endpoint. For engines of ranked services two more numbers follow: the
            part of the prompt tokens that is of patient requests, and the tokens of
            KV cache that the requests hold.
        now : float
            Current time, in seconds.
        """
        self.forget(host_name)
        # Moves to the end: the oldest report comes first.
        self._reports[host_name] = (now, work)
        self._add(work, 1)

    def forget(self, host_name):
        """Remove a host's report, if there is one."""
        report = self._reports.pop(host_name, None)
        if report is not None:
            self._add(report[1], -1)

    def remove_older(self, before):
        """Remove the reports that arrived before a time, in seconds."""
        while self._reports:
            host_name, (reported_at, _) = next(iter(self._reports.items()))
            if reported_at >= before:
                return
            self.forget(host_name)

    def has_any(self):
        """Return whether any report counts."""
        return bool(self._reports)

    def at(self, key, hosts=None):
        """Return the requests in flight and uncached prompt tokens at an endpoint.

        Parameters
        ----------
        key : int
            `load_key` of the endpoint.
        hosts : int or None
            Number of other hosts for which the reports stand; None for as many as
            have reported.

        Returns
        -------
        in_flight : float
        tokens : float
        """
        return self._scale(self._totals.get(key, _NO_LOAD), hosts)

    def room_at(self, key, hosts=None):
        """Return what requests of ranked services take of an engine.

        Parameters are those of :meth:`at`.

        Returns
        -------
        patient_tokens : float
            Uncached prompt tokens of patient requests whose response has not begun.
        held_tokens : float
            Tokens of KV cache that all requests in flight hold.
        """
        return self._scale(self._rooms.get(key, _NO_ROOM), hosts)

    def _scale(self, pair, hosts):
        if hosts is None or hosts <= len(self._reports):
            return pair
        scale = hosts / max(1, len(self._reports))
        return pair[0] * scale, pair[1] * scale

    def _add(self, work, sign):
        for key, load in work.items():
            _add_pair(self._totals, key, load[0], load[1], sign)
            if len(load) > 2 and (load[2] or load[3]):
                _add_pair(self._rooms, key, load[2], load[3], sign)


def _add_pair(totals, key, first, second, sign):
    """Add to two sums, or subtract; sums of 0 are removed."""
    total = totals.get(key, _NO_LOAD)
    total = (total[0] + sign * first, total[1] + sign * second)
    if total == _NO_LOAD:
        totals.pop(key, None)
    else:
        totals[key] = total
