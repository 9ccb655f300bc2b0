"""Fair queues for requests that wait for endpoint capacity.

A request for which no endpoint has free capacity waits in the queue of its
service. Start-time fair queueing orders the requests of the teams by weight and
cost, so that a surge of one team lengthens only its own wait. A request that
cannot be served before its deadline is refused on arrival, not when the deadline
passes.
"""

import attrs
import trio

MAX_WAIT_S = 5.0
MAX_WAITING_PER_TEAM = 256
_INITIAL_SERVICE_TIME_S = 0.5
_SMOOTHING = 0.1


@attrs.define(eq=False)
class Ticket:
    """A queued request.

    Attributes
    ----------
    team : str
        Team of the request.
    start_tag : float
        Virtual start time; the request with the lowest one is woken next.
    woken : trio.Event
        Set when an endpoint may have free capacity.
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
        Exponentially smoothed time that a request occupies an endpoint, in
        seconds.
    """

    service_time_s: float = _INITIAL_SERVICE_TIME_S
    _virtual_time: float = 0.0
    _finish_tags: dict = attrs.field(factory=dict)
    _waiting: list = attrs.field(factory=list)

    def __len__(self):
        return len(self._waiting)

    def count_waiting(self, team):
        """Return the number of queued requests of a team."""
        return sum(1 for t in self._waiting if t.team == team)

    def expected_wait_s(self, team, capacity, weights):
        """Estimate the wait of a new request of a team.

        Parameters
        ----------
        team : str
            Team of the request.
        capacity : float
            Requests that the endpoints process concurrently.
        weights : callable
            ``weights(team)`` returns a team's weight.

        Returns
        -------
        float
            Seconds; infinite if there is no capacity.
        """
        if capacity <= 0:
            return float("inf")
        competing_teams = {t.team for t in self._waiting} | {team}
        fraction = weights(team) / sum(weights(r) for r in competing_teams)
        ahead = min(len(self._waiting), self.count_waiting(team) / fraction)
        return (ahead + 1) * self.service_time_s / capacity

    def enqueue(self, team, cost, weight):
        """Add a request to the queue.

        Parameters
        ----------
        team : str
            Team of the request.
        cost : float
            Cost of the request, in any unit that is common to all teams.
        weight : float
            The team's weight.

        Returns
        -------
        Ticket
        """
        start_tag = max(self._virtual_time, self._finish_tags.get(team, 0.0))
        self._finish_tags[team] = start_tag + cost / weight
        ticket = Ticket(team, start_tag)
        self._waiting.append(ticket)
        return ticket

    def remove(self, ticket):
        """Remove a request that no longer waits; no effect once it was woken."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def wake_next(self):
        """Wake and remove the request with the lowest start tag, if any."""
        if not self._waiting:
            self._finish_tags.clear()
            self._virtual_time = 0.0
            return
        ticket = min(self._waiting, key=lambda t: t.start_tag)
        self._waiting.remove(ticket)
        self._virtual_time = max(self._virtual_time, ticket.start_tag)
        ticket.woken.set()

    def record_service_time(self, seconds):
        """Update the smoothed service time with a finished request, in seconds."""
        self.service_time_s += _SMOOTHING * (seconds - self.service_time_s)
