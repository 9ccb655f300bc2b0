"""How long work takes on the machines of endpoints at this moment.

Answers the load pattern of endpoints that share their machines with other users: about
a seventh of the machines at a time are slowed by a factor of 2.5, for some 0.6 s each.
A pace learnt from response times follows that too late; the endpoints report it.

A pace is a factor of the usual duration of work: 1 is usual, 2.5 slow. All times are
seconds of the process's monotonic clock.
"""

import collections
import heapq
import math

import attrs

# Bounds of a pace that is used. An endpoint may report it in another unit or always the
# same; the bias of the endpoint then corrects the rest.
MIN_PACE, MAX_PACE = 0.25, 8.0
# A pace that was true longer ago says nothing more.
MAX_AGE_S = 3.0
# Bounds of the time constant with which a pace decays to 1, and its value before it has
# been learnt.
MIN_TIME_CONSTANT_S, MAX_TIME_CONSTANT_S = 0.1, 3.0
DEFAULT_TIME_CONSTANT_S = 0.6
# A pace deviates if it differs from 1 by more than this.
DEVIATION = 0.2
# A deviation has ended when less than this part of it is left.
_ENDED_PART = 0.5
# Number of ended deviations for which the default time constant counts.
_PRIOR_ENDS = 4.0
# Weight that earlier deviations keep after each that ends.
_END_RETENTION = 0.97
# Two samples further apart do not tell for how long the pace was the first one.
_MAX_PAIR_S = 1.0
# Maximum age and number of the paces in one heartbeat.
MAX_REPORT_AGE_S = 0.5
MAX_REPORTS = 16
# Added to the age of a received pace. Heartbeats wait up to 0.02 s in the receiver's
# socket, which their ages do not tell: hosts that pass a pace on to each other would
# else keep it young.
HOP_S = 0.02
# Most endpoints whose paces are kept. Heartbeats name them by a hash, so that any
# number could be received.
_MAX_ENDPOINTS = 1024


def clamp_pace(pace):
    """Return a reported pace within the bounds of what is used."""
    return min(MAX_PACE, max(MIN_PACE, pace))


def is_deviating(pace):
    """Return whether a pace differs enough from the usual to be passed on."""
    return abs(pace - 1.0) > DEVIATION


def has_ended(before, pace):
    """Return whether a deviation has ended, from its pace before and the one now."""
    return (pace - 1.0) / (before - 1.0) < _ENDED_PART


def decay_pace(pace, age_s, time_constant_s):
    """Return the pace that is expected some time after a report.

    Parameters
    ----------
    pace : float
        The reported pace.
    age_s : float
        Time since it was true, in seconds.
    time_constant_s : float
        Time constant of the decay to 1, in seconds.

    Returns
    -------
    float
        1 from `MAX_AGE_S` on.
    """
    if age_s >= MAX_AGE_S:
        return 1.0
    return 1.0 + (pace - 1.0) * math.exp(-max(0.0, age_s) / time_constant_s)


@attrs.define
class _Sample:
    """Newest pace of one endpoint.

    Attributes
    ----------
    pace : float
        The pace.
    at : float
        When it was true, in seconds.
    deviates_since : float
        Since when it has deviated, in seconds; meaningless if it does not.
    returned_at : float
        When it last returned to the usual, in seconds; minus infinity if never.
    """

    pace: float
    at: float
    deviates_since: float
    returned_at: float = float("-inf")


@attrs.define(eq=False)
class MachinePace:
    """Newest paces of the region's endpoints, by `load_key`.

    Attributes
    ----------
    malformed_reports : int
        Number of reports of endpoints that could not be read.
    """

    malformed_reports: int = 0
    _samples: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    # Sums over deviations: how long they were seen to last, and how many ended.
    _deviating_s: float = _PRIOR_ENDS * DEFAULT_TIME_CONSTANT_S
    _ends: float = _PRIOR_ENDS

    @property
    def time_constant_s(self):
        """Mean duration of a deviation, within its bounds, in seconds."""
        mean_s = self._deviating_s / self._ends
        return min(MAX_TIME_CONSTANT_S, max(MIN_TIME_CONSTANT_S, mean_s))

    def pace(self, key, now):
        """Return the expected pace of an endpoint as of `now`; 1 if it is not known."""
        sample = self._samples.get(key)
        if sample is None:
            return 1.0
        return decay_pace(sample.pace, now - sample.at, self.time_constant_s)

    def age_s(self, key, now):
        """Return the age of the newest pace of an endpoint, in seconds.

        None if the endpoint is not paced: no pace was true within `MAX_AGE_S`.
        """
        sample = self._samples.get(key)
        if sample is None or now - sample.at >= MAX_AGE_S:
            return None
        return now - sample.at

    def count_paced(self, now):
        """Return the number of endpoints with a pace that still counts."""
        return sum(now - s.at < MAX_AGE_S for s in self._samples.values())

    def record(self, key, pace, at):
        """Record a pace, unless a newer one of the endpoint is known.

        Parameters
        ----------
        key : int
            `load_key` of the endpoint.
        pace : float
            Reported pace.
        at : float
            When it was true, in seconds.
        """
        pace = clamp_pace(pace)
        sample = self._samples.get(key)
        if sample is None:
            self._make_room(at)
            self._samples[key] = _Sample(pace, at, deviates_since=at)
            return
        if at <= sample.at:
            if is_deviating(pace) and not is_deviating(sample.pace):
                # Others may still take the endpoint for slow, or for fast.
                sample.returned_at = sample.at
            return
        if is_deviating(sample.pace):
            self._learn(sample, pace, at)
            if not is_deviating(pace):
                sample.returned_at = at
            if has_ended(sample.pace, pace):
                sample.deviates_since = at
        else:
            sample.deviates_since = at
        sample.pace, sample.at = pace, at

    def _learn(self, sample, pace, at):
        """Update the time constant with two samples, of which the first deviates."""
        between_s = at - sample.at
        if between_s > _MAX_PAIR_S:
            return
        if has_ended(sample.pace, pace):
            # It ended at some time between the samples.
            lasted_s = min(between_s / 2, self.time_constant_s)
            self._deviating_s = _END_RETENTION * self._deviating_s + lasted_s
            self._ends = _END_RETENTION * self._ends + 1.0
        elif at - sample.deviates_since <= MAX_TIME_CONSTANT_S:
            # What lasts longer is the long-term speed, which the bias follows.
            self._deviating_s += between_s

    def _make_room(self, now):
        """Drop what no longer counts, or else the oldest entry, if there are many."""
        if len(self._samples) >= _MAX_ENDPOINTS:
            self._drop_expired(now)
        if len(self._samples) >= _MAX_ENDPOINTS:
            self._samples.popitem(last=False)

    def _drop_expired(self, now):
        expired = [k for k, s in self._samples.items() if now - s.at >= MAX_AGE_S]
        for key in expired:
            del self._samples[key]

    def forget(self, key):
        """Drop the pace of an endpoint that was removed or has started again."""
        self._samples.pop(key, None)

    def reports(self, now):
        """Return the paces to be passed on to the other hosts of the region.

        Returns
        -------
        list of (int, int, float)
            `load_key` of the endpoint, pace in percent and its age in seconds; the
            newest first.
        """
        self._drop_expired(now)
        oldest = now - MAX_REPORT_AGE_S
        told = (
            (sample.at, key, sample.pace)
            for key, sample in self._samples.items()
            if sample.at > oldest
            and (is_deviating(sample.pace) or sample.returned_at > oldest)
        )
        return [
            (key, round(100 * pace), now - at)
            for at, key, pace in heapq.nlargest(MAX_REPORTS, told)
        ]

    def apply_reports(self, reports, now):
        """Apply the paces that another host of the region passes on.

        Parameters
        ----------
        reports : iterable of (int, int, float)
            As :meth:`reports` returned them there.
        now : float
            Current time, in seconds.
        """
        for key, percent, age_s in reports:
            age_s += HOP_S
            if age_s < MAX_AGE_S:
                self.record(key, percent / 100, now - age_s)
