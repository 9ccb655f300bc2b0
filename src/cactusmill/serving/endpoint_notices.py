"""What endpoints say of themselves in their responses: leaving, and pauses.

An endpoint that leaves, or that wants no requests for a while, may say so in a
response before its entry does, or while this host is cut off from the source of
entries. What it says holds for its life, from one start to the next: a life is told by
the start time in its entry. An older entry of the same life, or a response that was
begun before, does not take it back.

All times are seconds of the process's monotonic clock.
"""

import collections
import math
import random

import attrs

from .events import log_event

# Endpoints whose notices are kept, newest first.
_MAX_ENDPOINTS = 4096
# After a pause this host's requests at the endpoint grow to its capacity in this time.
_RAMP_S = 1.0
# Random fraction that is added to a pause, and its limit, so that hosts do not return
# in the same moment.
_JITTER = 0.25
_MAX_JITTER_S = 1.0


@attrs.define
class _Notice:
    """What one life of an endpoint has said.

    Attributes
    ----------
    started_ms : int
        Its start time, in Unix milliseconds.
    leaving_since : float or None
        When it was first heard to be leaving, in seconds.
    paused_at, paused_until : float
        When it last asked for a pause, and the end of the pause, in seconds.
    """

    started_ms: int
    leaving_since: float | None = None
    paused_at: float = float("-inf")
    paused_until: float = float("-inf")


@attrs.define(eq=False)
class EndpointNotices:
    """Notices of all endpoints, by name.

    Attributes
    ----------
    rng : random.Random
        Source of the jitter of pauses.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    _notices: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)

    def record(self, endpoint, metadata, now):
        """Record what an endpoint's response says.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint, as in the entry by which the request was sent.
        metadata : ResponseMetadata
            Of the response. One of another endpoint at its address is ignored.
        now : float
            Current time, in seconds.
        """
        if metadata.is_misdirected or not (metadata.is_leaving or metadata.pause_s):
            return
        notice = self._notice(endpoint)
        if endpoint.started_ms < notice.started_ms:
            # A late response of an earlier life.
            return
        if metadata.is_leaving:
            if notice.leaving_since is None:
                notice.leaving_since = now
                log_event("endpoint_leaving", endpoint=endpoint.name)
        if metadata.pause_s is not None:
            jitter_s = min(_MAX_JITTER_S, _JITTER * metadata.pause_s)
            until = now + metadata.pause_s + jitter_s * self.rng.random()
            notice.paused_at = now
            notice.paused_until = max(notice.paused_until, until)
            log_event(
                "endpoint_paused",
                endpoint=endpoint.name,
                retry_after_s=metadata.pause_s,
                pause_s=round(notice.paused_until - now, 3),
            )

    def has_any(self):
        """Return whether any endpoint has said anything."""
        return bool(self._notices)

    def _notice(self, endpoint):
        """Return the notice of an endpoint's latest life, created on first use."""
        notice = self._notices.get(endpoint.name)
        if notice is None or endpoint.started_ms > notice.started_ms:
            notice = self._notices[endpoint.name] = _Notice(endpoint.started_ms)
            while len(self._notices) > _MAX_ENDPOINTS:
                self._notices.popitem(last=False)
        return notice

    def _current(self, endpoint):
        """Return the notice that holds for an endpoint's entry, or None.

        An entry of an earlier life than the one that spoke is out of date.
        """
        notice = self._notices.get(endpoint.name)
        if notice is None or endpoint.started_ms > notice.started_ms:
            return None
        return notice

    def may_send(self, endpoint, in_flight, now):
        """Return whether a request may be sent to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint's entry.
        in_flight : int
            This host's requests there.
        now : float
            Current time, in seconds.
        """
        notice = self._current(endpoint)
        if notice is None:
            return True
        if notice.leaving_since is not None or now < notice.paused_until:
            return False
        ramp = (now - notice.paused_until) / _RAMP_S
        return ramp >= 1.0 or in_flight < max(1, math.ceil(ramp * endpoint.capacity))

    def pause_left_s(self, endpoint, now):
        """Return the time until an endpoint takes requests, in seconds.

        0 if it is not paused, infinity if it is leaving.
        """
        notice = self._current(endpoint)
        if notice is None:
            return 0.0
        if notice.leaving_since is not None:
            return float("inf")
        return max(0.0, notice.paused_until - now)

    def explain(self, endpoint, now):
        """Return why an endpoint gets no requests, for the log; None if it does.

        With the age of what it said, in seconds.
        """
        notice = self._current(endpoint)
        if notice is None or not self.pause_left_s(endpoint, now):
            return None
        if notice.leaving_since is not None:
            return f"leaving, heard {now - notice.leaving_since:.2f} s ago"
        left_s = notice.paused_until - now
        return f"paused for {left_s:.2f} s, heard {now - notice.paused_at:.2f} s ago"

    def count(self, endpoints, now):
        """Return how many of some endpoints are leaving, and how many paused."""
        left_s = [self.pause_left_s(endpoint, now) for endpoint in endpoints]
        leaving = sum(math.isinf(s) for s in left_s)
        return leaving, sum(s > 0 for s in left_s) - leaving
