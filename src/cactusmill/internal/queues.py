"""Fair queues for requests that wait for endpoint capacity.

Each host has one queue for each service. A request for which no endpoint has free
capacity waits there. Start-time fair queueing divides the capacity by weight among
the teams, the customers that callers belong to: a request starts at the virtual time
at which its team's previous request finished, or at the current virtual time if that
is later, and takes ``cost / weight``. A burst of one team therefore does not delay the
others' requests by more than the team's share.

The queue holds no deadlines. :mod:`cactusmill.internal.repeatable` refuses a request
on arrival if :meth:`FairQueue.expected_wait_s` exceeds its deadline or `MAX_WAIT_S`,
so that a caller learns early that it has to retry elsewhere or later.
"""

import attrs
import trio

# Limits of one queue, enforced by the caller of `FairQueue.enqueue`.
MAX_WAIT_S = 5.0
MAX_WAITING_PER_TEAM = 256
# Assumed until the first request has finished.
_INITIAL_SERVICE_TIME_S = 0.5
# Weight of the newest sample in the exponentially smoothed service time.
_SMOOTHING_FACTOR = 0.1


@attrs.define(eq=False)
class Ticket:
    """Place of one request in a queue.

    Attributes
    ----------
    team : str
        Name of the team; empty for a request without one.
    start_tag : float
        Virtual start time, in units of cost per weight. The request with the lowest
        one is woken next; of equal ones, the request that was queued first.
    woken : trio.Event
        Set when the request should try the endpoints again. No capacity is reserved
        for it, so it may have to be queued once more.
    """

    team: str
    start_tag: float
    woken: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class FairQueue:
    """Queued requests for one service on one host.

    Attributes
    ----------
    service_time_s : float
        Exponentially smoothed time from the start of an attempt on an endpoint to
        its end, in seconds.
    """

    # _virtual_time and the values of _finish_tags are in units of cost per weight;
    # _finish_tags has the virtual finish time of each team's last queued request.

    service_time_s: float = _INITIAL_SERVICE_TIME_S
    _virtual_time: float = 0.0
    _finish_tags: dict = attrs.field(factory=dict)
    _waiting: list = attrs.field(factory=list)

    def __len__(self):
        return len(self._waiting)

    def count_waiting(self, team):
        """Return the number of queued requests of a team."""
        return sum(1 for t in self._waiting if t.team == team)

    def expected_wait_s(self, team, capacity, weight_of):
        """Estimate the wait of a new request of a team.

        Assumes that all endpoints are busy and that queued requests cost the same.

        Parameters
        ----------
        team : str
            Team of the request.
        capacity : float
            Requests that the endpoints process concurrently. Fractional if endpoints
            are shared with other hosts.
        weight_of : callable
            ``weight_of(team)`` returns a team's weight, above 0.

        Returns
        -------
        float
            Wait in seconds; infinite if there is no capacity.
        """
        if capacity <= 0:
            return float("inf")
        competing_teams = {t.team for t in self._waiting} | {team}
        fraction = weight_of(team) / sum(weight_of(t) for t in competing_teams)
        # While the team's own queued requests are served, the other teams are served
        # in proportion to their weights.
        ahead = min(len(self._waiting), self.count_waiting(team) / fraction)
        return (ahead + 1) * self.service_time_s / capacity

    def enqueue(self, team, cost, weight):
        """Add a request to the queue.

        Parameters
        ----------
        team : str
            Team of the request.
        cost : float
            Cost of the request, above 0, in any unit that is common to all teams.
        weight : float
            The team's weight, above 0.

        Returns
        -------
        Ticket
            The caller waits for its `woken` and then calls :meth:`remove`.
        """
        start_tag = max(self._virtual_time, self._finish_tags.get(team, 0.0))
        self._finish_tags[team] = start_tag + cost / weight
        ticket = Ticket(team, start_tag)
        self._waiting.append(ticket)
        return ticket

    def remove(self, ticket):
        """Remove a request that stops waiting; no effect if it was woken already.

        The team's finish tag is not reduced by the cost of the removed request.
        """
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def wake_next(self):
        """Wake and remove the request with the lowest start tag.

        If no request waits, reset virtual time and finish tags instead: capacity is
        free, so the earlier use of a team no longer counts against it.
        """
        if not self._waiting:
            self._finish_tags.clear()
            self._virtual_time = 0.0
            return
        ticket = min(self._waiting, key=lambda t: t.start_tag)
        self._waiting.remove(ticket)
        self._virtual_time = max(self._virtual_time, ticket.start_tag)
        ticket.woken.set()

    def record_service_time(self, seconds):
        """Update the smoothed service time with the time of a finished attempt."""
        self.service_time_s += _SMOOTHING_FACTOR * (seconds - self.service_time_s)
