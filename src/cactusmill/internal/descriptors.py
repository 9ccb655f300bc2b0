"""Room for connections: how near the process is to its limit of descriptors."""

import resource

import attrs

# Above this part of the limit, responses announce the close of their connections.
_ANNOUNCED_ABOVE = 3 / 4
# Above this part, each connection that is accepted ends this many idle ones.
_CLOSED_ABOVE = 7 / 8
_CLOSED_AT_ONCE = 2
# Descriptors count as short this long after a connection was accepted above the limit.
_SHORT_S = 1.0
# A caller that has just connected or got a response may send at once. Its connection is
# closed only after this long without a request.
IDLE_BEFORE_CLOSE_S = 0.5


def _soft_limit():
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return float("inf") if limit == resource.RLIM_INFINITY else limit


@attrs.define(eq=False)
class Descriptors:
    """Tells from the descriptors of accepted connections when they run short.

    The operating system gives the lowest number that is free, so that at least as many
    descriptors are open. A lower number does not tell that fewer are, but that another
    connection can be accepted.

    Attributes
    ----------
    limit : float
        Number of descriptors that the process may have.
    highest : int
        Highest number of a connection accepted since `take_counts`, 0 without one.
    closed : int
        Idle connections ended for others since then.
    """

    limit: float = attrs.field(factory=_soft_limit)
    highest: int = 0
    closed: int = 0
    _short_until: float = float("-inf")

    def record_accepted(self, number, now):
        """Record an accepted connection.

        Parameters
        ----------
        number : int
            Its descriptor.
        now : float
            Current time, in seconds.

        Returns
        -------
        int
            Number of idle connections to end, so that others can be accepted.
        """
        self.highest = max(self.highest, number)
        if number >= self.limit * _ANNOUNCED_ABOVE:
            self._short_until = now + _SHORT_S
        return _CLOSED_AT_ONCE if number >= self.limit * _CLOSED_ABOVE else 0

    def make_room(self, stream, idle, now):
        """End the longest idle connections if an accepted one shows a shortage.

        Parameters
        ----------
        stream : trio.abc.Stream
            The accepted connection; streams without a socket, as in tests, are ignored.
        idle : IdleWaits
            The connections that wait for a request.
        now : float
            Current time, in seconds.
        """
        sock = getattr(stream, "socket", None)
        if sock is None:
            return
        count = self.record_accepted(sock.fileno(), now)
        if count:
            self.closed += idle.end_since(now - IDLE_BEFORE_CLOSE_S, count)

    def is_short(self, now):
        """Return whether connections should not be kept, at a time in seconds."""
        return now < self._short_until

    def take_counts(self):
        """Return `highest` and `closed`, and begin to count anew."""
        counts = self.highest, self.closed
        self.highest = self.closed = 0
        return counts
