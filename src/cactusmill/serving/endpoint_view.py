"""Per-endpoint measurements of this host, which decay towards their defaults.

All times are seconds of the process's monotonic clock.
"""

import collections
import math

import attrs

from ..internal.endpoints import load_key
from .budgets import WarmupPacer
from .scheduling.engine_room import EngineRoom

# Weight of a new sample in the moving averages of the bias and of the failure rate.
_SMOOTHING = 0.15
# Bounds of a sample of the bias, the factor that corrects predicted response times.
_MIN_BIAS, _MAX_BIAS = 0.4, 8.0
# Without new samples the bias decays to 1 with this time constant, so that an endpoint
# that was slow is tried again.
_BIAS_DECAY_S = 4.0
_FAILURE_DECAY_S = 3.0
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
# Fraction of an engine's KV cache that holds cached prompt segments; running
# requests use the rest.
_PREFIX_CACHE_FRACTION = 0.6
# Up to this many hosts send mostly the same segments to the same endpoint, so that
# each may count on its entire cache. With more hosts each counts on its share.
_MAX_HOSTS_WITH_COMMON_CACHE = 4
# Time between two events of a stream until it has been measured.
DEFAULT_EVENT_GAP_S = 0.06
_GAP_SMOOTHING = 0.15
_GAP_DECAY_S = 5.0


@attrs.define(eq=False)
class EndpointView:
    """State of one endpoint as this host observes it.

    Attributes
    ----------
    name : str
        Name of the endpoint.
    load_key : int
        Its key in load reports.
    in_flight : int
        Number of this host's requests in flight to the endpoint.
    prompt_tokens : int
        Uncached prompt tokens of those requests whose response has not begun.
    backoff_until : float
        No request is sent before this time, in seconds.
    misdirected_revision : int
        Revision of the entry at whose address another endpoint responded; -1 if none.
    pacer : WarmupPacer
        Limits this host's requests while the endpoint warms up.
    room : EngineRoom
        What this host's requests take of an engine of a ranked service.
    """

    name: str
    load_key: int = attrs.field(init=False)
    in_flight: int = 0
    prompt_tokens: int = 0
    backoff_until: float = 0.0
    misdirected_revision: int = -1
    pacer: WarmupPacer = attrs.field(factory=WarmupPacer)
    room: EngineRoom = attrs.field(factory=EngineRoom)
    _failures: int = 0
    _failure_rate: float = 0.0
    _failure_rate_at: float = 0.0
    _bias: float = 1.0
    _bias_at: float = 0.0
    _gap_s: float = DEFAULT_EVENT_GAP_S
    _gap_at: float = 0.0
    _segments: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    _segment_tokens: int = 0

    def __attrs_post_init__(self):
        """Derive the key from the name."""
        self.load_key = load_key(self.name)

    def record_unreachable(self, now):
        """Start an exponential backoff after a failed connection."""
        backoff_s = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self.backoff_until = now + backoff_s

    @property
    def was_unreachable(self):
        """Whether connections have failed since the last success."""
        return self._failures > 0

    def record_result(self, is_failure, now):
        """Update the failure rate; a success also ends the backoff."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + _SMOOTHING * (is_failure - rate)
        self._failure_rate_at = now
        if not is_failure:
            self._failures = 0
            self.backoff_until = 0.0

    def failure_rate(self, now):
        """Return the smoothed fraction of failed requests as of `now`, 0 to 1."""
        age_s = now - self._failure_rate_at
        return self._failure_rate * math.exp(-age_s / _FAILURE_DECAY_S)

    def bias(self, now):
        """Return the factor that corrects predictions as of `now`; 1 is neutral."""
        decay = math.exp(-(now - self._bias_at) / _BIAS_DECAY_S)
        return 1.0 + (self._bias - 1.0) * decay

    def record_ttft(self, predicted_s, took_s, now):
        """Update the bias with one measured response.

        Parameters
        ----------
        predicted_s : float
            Prediction without the correction, in seconds.
        took_s : float
            Measured time, in seconds.
        now : float
            Current time, in seconds.
        """
        sample = min(_MAX_BIAS, max(_MIN_BIAS, took_s / predicted_s))
        bias = self.bias(now)
        self._bias = bias + _SMOOTHING * (sample - bias)
        self._bias_at = now

    def event_gap_s(self, now):
        """Return the smoothed time between two events as of `now`, in seconds."""
        decay = math.exp(-(now - self._gap_at) / _GAP_DECAY_S)
        return DEFAULT_EVENT_GAP_S + (self._gap_s - DEFAULT_EVENT_GAP_S) * decay

    def record_event_gap(self, gap_s, now):
        """Update the time between two events with one sample, in seconds."""
        before_s = self.event_gap_s(now)
        self._gap_s = before_s + _GAP_SMOOTHING * (gap_s - before_s)
        self._gap_at = now

    def has_cached(self, segment):
        """Return whether the endpoint probably has a prompt segment cached."""
        return segment in self._segments

    def record_segments(self, segments, kv_cache_tokens, hosts=1):
        """Record the segments of a prompt that was sent to the endpoint.

        The least recently used segments are dropped beyond the estimated size of
        the prefix cache.

        Parameters
        ----------
        segments : iterable of (str, int)
            Identifiers and token counts.
        kv_cache_tokens : float
            Capacity of the endpoint's KV cache, in tokens.
        hosts : int
            Hosts that send requests to the endpoint and fill its cache.
        """
        if hosts > _MAX_HOSTS_WITH_COMMON_CACHE:
            kv_cache_tokens /= hosts
        for segment, tokens in segments:
            if segment in self._segments:
                self._segments.move_to_end(segment)
                continue
            self._segments[segment] = tokens
            self._segment_tokens += tokens
        while (
            self._segment_tokens > kv_cache_tokens * _PREFIX_CACHE_FRACTION
            and self._segments
        ):
            _, tokens = self._segments.popitem(last=False)
            self._segment_tokens -= tokens

    def clear_segments(self):
        """Forget all cached segments, after a restart of the endpoint."""
        self._segments.clear()
        self._segment_tokens = 0
