"""Fair queues ahead of the endpoints.

A request that finds no endpoint with room waits in its service's queue.
Teams take turns by weight and cost (start-time fair queueing), so a surge of
one team lengthens its own wait. A request that cannot be served before its
deadline is refused when it arrives, not when the deadline passes.
"""

import attrs
import trio

MAX_WAIT_S = 5.0
MAX_WAITING_PER_TEAM = 256
_FIRST_SERVICE_TIME_S = 0.5
_SMOOTHING = 0.1


@attrs.define(eq=False)
class Ticket:
    """A request's place in a queue.

    Attributes
    ----------
    team : str
        Whose request.
    start_tag : float
        Virtual time at which its turn comes.
    woken : trio.Event
        Set when an endpoint may have room.
    """

    team: str
    start_tag: float
    woken: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class FairQueue:
    """Waiting requests for one service on one host.

    Attributes
    ----------
    service_time_s : float
        Smoothed time that a request occupies an endpoint, in seconds.
    """

    service_time_s: float = _FIRST_SERVICE_TIME_S
    _virtual_time: float = 0.0
    _finish_tags: dict = attrs.field(factory=dict)
    _waiting: list = attrs.field(factory=list)

    def __len__(self):
        return len(self._waiting)

    def count_waiting(self, team):
        """Return how many requests of a team wait."""
        return sum(1 for t in self._waiting if t.team == team)

    def expected_wait_s(self, team, capacity, weights):
        """Estimate how long a new request of a team would wait.

        Parameters
        ----------
        team : str
            Whose request.
        capacity : float
            Requests that the endpoints work on at a time.
        weights : callable
            ``weights(team)`` returns a team's weight.

        Returns
        -------
        float
            Seconds.
        """
        if capacity <= 0:
            return float("inf")
        rivals = {t.team for t in self._waiting} | {team}
        part = weights(team) / sum(weights(r) for r in rivals)
        ahead = min(len(self._waiting), self.count_waiting(team) / part)
        return (ahead + 1) * self.service_time_s / capacity

    def enqueue(self, team, cost, weight):
        """Join the queue.

        Parameters
        ----------
        team : str
            Whose request.
        cost : float
            Work that it brings, in any unit common to all teams.
        weight : float
            The team's weight.

        Returns
        -------
        Ticket
        """
        start = max(self._virtual_time, self._finish_tags.get(team, 0.0))
        self._finish_tags[team] = start + cost / weight
        ticket = Ticket(team, start)
        self._waiting.append(ticket)
        return ticket

    def remove(self, ticket):
        """Give up a place."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def wake_next(self):
        """Wake the request whose turn it is, if any waits."""
        if not self._waiting:
            self._finish_tags.clear()
            self._virtual_time = 0.0
            return
        ticket = min(self._waiting, key=lambda t: t.start_tag)
        self._waiting.remove(ticket)
        self._virtual_time = max(self._virtual_time, ticket.start_tag)
        ticket.woken.set()

    def record_service_time(self, seconds):
        """Feed the estimate of waits with a finished request."""
        self.service_time_s += _SMOOTHING * (seconds - self.service_time_s)
