"""Interrupted requests that wait for evidence that their endpoint crashed.

A connection that breaks with a request on it may mean that the endpoint has crashed,
or that a live endpoint has lost one response. A single probe does not tell them
apart: the listener of a dying process may still accept or reset a connection, and an
endpoint may be back within milliseconds. So an interruption waits, and counts as a
crash once any of the following is observed within `EVIDENCE_WINDOW_S`, in any place:
a connection to the endpoint is refused, its entry is removed, or another incarnation
is at its address.

An endpoint that has answered a request sent after the interruption was alive then:
only another incarnation is evidence against it from then on, and only for
`RESTART_WINDOW_S`.

Times are in seconds of the process's monotonic clock.
"""

import enum

import attrs

from .culprits import Culprits

# Time after an interruption in which evidence of a crash is attributed to it. An entry
# is removed after the endpoint has been silent for three of its heartbeats.
EVIDENCE_WINDOW_S = 5.0
# The same for another incarnation of an endpoint that has answered since then.
# One that was back before that answer publishes its entry at its start; a later one is
# due to another crash.
RESTART_WINDOW_S = 1.0
_MAX_WAITING = 10_000


class Evidence(enum.Enum):
    """What shows that an endpoint has ended.

    Members
    -------
    REFUSED
        A connection to its address was refused.
    REMOVED
        Its entry was removed.
    REPLACED
        Another incarnation, or another endpoint, is at its address.
    """

    REFUSED = "refused"
    REMOVED = "removed"
    REPLACED = "replaced"


@attrs.frozen(kw_only=True)
class Interruption:
    """A connection that broke with a request on it.

    Attributes
    ----------
    culprits : Culprits
        What may be at fault in the request.
    request_id : str
        Identifier of the attempt, for the log.
    team : Team or None
        Team of the request.
    route : Route
        Its route.
    endpoint : Endpoint
        The endpoint, as published when the request was sent to it.
    sent_at, broke_at : float
        When the request was sent and when the connection broke, in seconds.
    may_block : bool
        False if the endpoint may have ended before the request was sent, so that the
        crash makes the request a suspect but is no evidence against it.
    began_s : float or None
        How long its response had been arriving, in seconds; None before its first
        data.
    """

    culprits: Culprits
    request_id: str
    team: object
    route: object
    endpoint: object
    sent_at: float
    broke_at: float
    may_block: bool = True
    began_s: float | None = None

    @property
    def digest(self):
        """Digest of the request."""
        return self.culprits.request


@attrs.define(eq=False)
class _Waiting:
    interruption: Interruption
    has_answered: bool = False


@attrs.define(eq=False)
class Interruptions:
    """Interruptions that wait for evidence, oldest first, as known to one host."""

    _by_endpoint: dict = attrs.field(factory=dict)
    _counted: dict = attrs.field(factory=dict)
    _size: int = 0

    def __len__(self):
        """Return how many interruptions wait."""
        return self._size

    def endpoint_names(self):
        """Return the names of the endpoints of the interruptions that wait."""
        return list(self._by_endpoint)

    def is_waiting(self, digest):
        """Return whether an interruption of a request waits for evidence."""
        return any(digest in by_digest for by_digest in self._by_endpoint.values())

    def record(self, interruption):
        """Add an interruption, unless its endpoint's crash has been counted.

        Equal requests at one endpoint count once for each crash.
        """
        name, digest = interruption.endpoint.name, interruption.digest
        if interruption.sent_at <= self._counted.get((name, digest), float("-inf")):
            return
        if self._size >= _MAX_WAITING:
            self.expire(interruption.broke_at)
        if self._size >= _MAX_WAITING:
            oldest = next(iter(self._by_endpoint))
            self._discard(oldest, next(iter(self._by_endpoint[oldest])))
        self._discard(name, digest)
        waiting = _Waiting(interruption)
        self._by_endpoint.setdefault(name, {})[digest] = waiting
        self._size += 1

    def record_answer(self, endpoint_name, sent_at):
        """Record that an endpoint answered a request that was sent at `sent_at`."""
        for waiting in self._by_endpoint.get(endpoint_name, {}).values():
            if sent_at > waiting.interruption.broke_at:
                waiting.has_answered = True

    def clear(self, digest):
        """Drop the interruptions of a request that was served."""
        for name in list(self._by_endpoint):
            self._discard(name, digest)

    def confirm(self, endpoint_name, evidence, now):
        """Return the interruptions that evidence against an endpoint confirms.

        Each is returned once; it no longer waits.

        Parameters
        ----------
        endpoint_name : str
            Name of the endpoint.
        evidence : Evidence
            What was observed.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Interruption
        """
        found = [
            waiting.interruption
            for waiting in self._by_endpoint.get(endpoint_name, {}).values()
            if now - waiting.interruption.broke_at <= _window_s(waiting, evidence)
        ]
        for interruption in found:
            self._discard(endpoint_name, interruption.digest)
            self._counted[endpoint_name, interruption.digest] = now
        return found

    def find_replaced(self, published):
        """Return the names of endpoints that a published entry shows to have ended.

        Parameters
        ----------
        published : Endpoint
            The entry. It shows an earlier incarnation of the same endpoint to have
            ended, or another endpoint that had its address.

        Returns
        -------
        list of str
        """
        return [
            name
            for name, by_digest in self._by_endpoint.items()
            if any(
                _is_replaced(w.interruption.endpoint, published)
                for w in by_digest.values()
            )
        ]

    def expire(self, now):
        """Drop the interruptions for which no evidence came in time."""
        for name, by_digest in list(self._by_endpoint.items()):
            for digest, waiting in list(by_digest.items()):
                if now - waiting.interruption.broke_at > EVIDENCE_WINDOW_S:
                    self._discard(name, digest)
        self._counted = {
            key: at
            for key, at in self._counted.items()
            if now - at <= EVIDENCE_WINDOW_S
        }

    def _discard(self, name, digest):
        by_digest = self._by_endpoint.get(name, {})
        if by_digest.pop(digest, None) is None:
            return
        self._size -= 1
        if not by_digest:
            del self._by_endpoint[name]


def _window_s(waiting, evidence):
    """Return for how long evidence counts after an interruption, in seconds."""
    if not waiting.has_answered:
        return EVIDENCE_WINDOW_S
    return RESTART_WINDOW_S if evidence is Evidence.REPLACED else -1.0


def _is_replaced(endpoint, published):
    """Return whether an entry is that of a later process at an endpoint's address."""
    if endpoint.name != published.name:
        return endpoint.address == published.address
    has_both = endpoint.started_ms and published.started_ms
    return bool(has_both) and endpoint.started_ms != published.started_ms
