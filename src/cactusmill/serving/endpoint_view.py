"""What a host knows of one endpoint besides its entry: measured, and fading."""

import collections
import math

import attrs

from .budgets import WarmupPacer

_SMOOTHING = 0.15
_MIN_BIAS, _MAX_BIAS = 0.4, 8.0
# Without new answers a correction fades, so that an endpoint once slow is tried.
_BIAS_FADES_S = 4.0
_FAILURES_FADE_S = 3.0
_FIRST_BACKOFF_S = 0.25
_LAST_BACKOFF_S = 2.0
# Tokens remembered per engine, as a part of its memory: running requests use
# the rest.
_CACHE_PART = 0.6
# Hosts of a small region mostly send the same parts to the same endpoint, so that
# each may count on the whole memory; where there are more, each counts on its share.
_FEW_HOSTS = 4
# Time between two events of a stream, until measured.
FIRST_EVENT_GAP_S = 0.06
_GAP_SMOOTHING = 0.15
_GAP_FADES_S = 5.0


@attrs.define(eq=False)
class EndpointView:
    """What this host knows of one endpoint besides its entry.

    Attributes
    ----------
    name : str
        The endpoint.
    in_flight : int
        Requests of this host there.
    prompt_tokens : int
        Prompt tokens of those that have not begun to answer.
    down_until : float
        No request is sent before this time, in seconds.
    misdirected_revision : int
        Revision of the entry under which another endpoint answered.
    """

    name: str
    in_flight: int = 0
    prompt_tokens: int = 0
    down_until: float = 0.0
    misdirected_revision: int = -1
    pacer: WarmupPacer = attrs.field(factory=WarmupPacer)
    _failures: int = 0
    _failure_rate: float = 0.0
    _failure_rate_at: float = 0.0
    _bias: float = 1.0
    _bias_at: float = 0.0
    _gap_s: float = FIRST_EVENT_GAP_S
    _gap_at: float = 0.0
    _parts: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    _part_tokens: int = 0

    def record_unreachable(self, now):
        """Back off, longer with each failure in a row."""
        backoff_s = min(_LAST_BACKOFF_S, _FIRST_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self.down_until = now + backoff_s

    def record_result(self, is_failure, now):
        """Count an answer or a failure towards the failure rate."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + _SMOOTHING * (is_failure - rate)
        self._failure_rate_at = now
        if not is_failure:
            self._failures = 0
            self.down_until = 0.0

    def failure_rate(self, now):
        """Return the part of recent requests that failed, faded to a time."""
        age_s = now - self._failure_rate_at
        return self._failure_rate * math.exp(-age_s / _FAILURES_FADE_S)

    def bias(self, now):
        """Return the correction of predictions, faded to a time."""
        fade = math.exp(-(now - self._bias_at) / _BIAS_FADES_S)
        return 1.0 + (self._bias - 1.0) * fade

    def note_first_event(self, predicted_s, took_s, now):
        """Correct predictions by one answer.

        Parameters
        ----------
        predicted_s : float
            What was predicted without the correction, in seconds.
        took_s : float
            What it took, in seconds.
        now : float
            Present time, in seconds.
        """
        sample = min(_MAX_BIAS, max(_MIN_BIAS, took_s / predicted_s))
        bias = self.bias(now)
        self._bias = bias + _SMOOTHING * (sample - bias)
        self._bias_at = now

    def event_gap_s(self, now):
        """Return the time between two events of a stream, in seconds."""
        fade = math.exp(-(now - self._gap_at) / _GAP_FADES_S)
        return FIRST_EVENT_GAP_S + (self._gap_s - FIRST_EVENT_GAP_S) * fade

    def record_event_gap(self, gap_s, now):
        """Take over the time that passed between two events."""
        before_s = self.event_gap_s(now)
        self._gap_s = before_s + _GAP_SMOOTHING * (gap_s - before_s)
        self._gap_at = now

    def holds(self, part):
        """Tell whether the endpoint probably holds a prompt's part."""
        return part in self._parts

    def record_segments(self, parts, kv_cache_tokens, hosts=1):
        """Remember the parts of a prompt that the endpoint has read.

        Parameters
        ----------
        parts : iterable of (str, int)
            Names and tokens.
        kv_cache_tokens : float
            What the endpoint holds in all.
        hosts : int
            Hosts that share the endpoint and fill its memory too.
        """
        if hosts > _FEW_HOSTS:
            kv_cache_tokens /= hosts
        for part, tokens in parts:
            if part in self._parts:
                self._parts.move_to_end(part)
                continue
            self._parts[part] = tokens
            self._part_tokens += tokens
        while self._part_tokens > kv_cache_tokens * _CACHE_PART and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._part_tokens -= tokens

    def clear_segments(self):
        """Forget what it held, after it started again."""
        self._parts.clear()
        self._part_tokens = 0
