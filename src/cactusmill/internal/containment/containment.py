"""The state of one host about what crashes endpoints.

It collects what this host sees and what other hosts report, decides what is held back
and says what has changed since, so that all hosts come to the same decisions.

`now` is in seconds of the process's monotonic clock.
"""

import attrs
import xxhash

from .convictions import Convictions
from .evidence import Interruptions
from .suspicion import (
    BEGIN_S,
    SETTLE_S,
    UNLIKELY,
    Candidate,
    Suspicion,
)

# Time for which something new is told to other hosts, which pass it on.
NEWS_S = 0.7
# A part that was served within this time is not a likely cause of a crash.
_PROVEN_S = 60.0
_MAX_SERVED = 8192
_MAX_NEWS = 256
# A host that knows as many crashes of something may judge any decision about it.
_ENOUGH_CRASHES = 3


@attrs.define(eq=False)
class CrashContainment:
    """What one host knows of what crashes endpoints.

    Attributes
    ----------
    interruptions : Interruptions
        Interrupted requests whose endpoints may have crashed.
    suspicion : Suspicion
        Crashes, and what was served since.
    convictions : Convictions
        What is held back.
    """

    interruptions: Interruptions = attrs.field(factory=Interruptions)
    suspicion: Suspicion = attrs.field(factory=Suspicion)
    convictions: Convictions = attrs.field(factory=Convictions)
    _served: dict = attrs.field(factory=dict)
    _unsettled: list = attrs.field(factory=list)
    _new_crashes: dict = attrs.field(factory=dict)
    _new_clearances: dict = attrs.field(factory=dict)
    _new_convictions: dict = attrs.field(factory=dict)
    _decisions: list = attrs.field(factory=list)

    # Decisions about requests.

    def crash_count(self, culprits):
        """Return how many endpoints crashed under a request since it was served."""
        return len(self.suspicion.request_weights(culprits.request))

    def judge(self, culprits, is_owner, now):
        """Return what may be done with a request, see :meth:`Convictions.judge`."""
        return self.convictions.judge(culprits, is_owner, now)

    # What this host sees.

    def count_crashes(self, endpoint_name, evidence, now):
        """Count an endpoint's crash against the requests that it interrupted.

        Parameters
        ----------
        endpoint_name : str
            The endpoint.
        evidence : Evidence
            What shows that it has ended.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of (Interruption, int)
            The interruptions that counted, and the crashes of their requests so far.
        """
        found = self.interruptions.confirm(endpoint_name, evidence, now)
        if not found:
            return []
        described = [self.describe(interruption, now) for interruption in found]
        incarnation = described[0][0]
        for interruption in found:
            if _is_well_under_way(interruption):
                self.record_begun(interruption.culprits, now)
        candidates = [candidate for _, candidate in described]
        proven = {p for c in candidates for p in c.parts if self.is_proven(p, now)}
        candidates.sort(key=lambda c: (-c.weight, proven.issuperset(c.parts)))
        crashed_at = min(interruption.broke_at for interruption in found)
        self.merge_crash(incarnation, crashed_at, candidates, proven, now)
        return [(i, self.crash_count(i.culprits)) for i in found]

    def describe(self, interruption, now):
        """Return the digest of an interruption's endpoint, and its request.

        Returns
        -------
        int, Candidate
        """
        endpoint = interruption.endpoint
        incarnation = _signed(f"{endpoint.name} {endpoint.started_ms}")
        return incarnation, self._candidate(interruption, now)

    def _candidate(self, interruption, now):
        weight = UNLIKELY if _is_well_under_way(interruption) else 1.0
        # Parts that were not served before come first, where their number is limited.
        parts = sorted(
            interruption.culprits.parts, key=lambda p: self.is_proven(p, now)
        )
        return Candidate(
            interruption.digest,
            tuple(parts),
            weight if interruption.may_block else 0.0,
        )

    def is_proven(self, part, now):
        """Return whether this host has served a part not long before."""
        return now - self._served.get(part, float("-inf")) <= _PROVEN_S

    def record_served(self, culprits, began_at, now):
        """Record that a request was served whole by an endpoint that lived on.

        Parameters
        ----------
        culprits : Culprits
            What might have been at fault in it.
        began_at : float
            When its response began, in seconds.
        now : float
            Current time, in seconds.
        """
        self.record_begun(culprits, now)
        self.interruptions.clear(culprits.request)
        for thing in (culprits.request, *culprits.parts):
            self.merge_clearance(thing, began_at, now)
        self.convictions.end_trial(culprits)

    def record_begun(self, culprits, now):
        """Record that an endpoint lives on well after it began to serve a request.

        That makes its parts unlikely causes of a crash, but clears them of none.
        """
        for part in culprits.parts:
            self._served.pop(part, None)
            self._served[part] = now
        if len(self._served) > _MAX_SERVED:
            recent = list(self._served.items())[_MAX_SERVED // 2 :]
            self._served = dict(recent)

    def release(self, thing, now):
        """Release something on an operator's word; return whether it was held back."""
        is_released = self._release(thing, "operator", now, is_sound=True)
        self.merge_clearance(thing, now, now)
        return is_released

    # What other hosts report.

    def merge_crash(self, incarnation, crashed_at, candidates, proven, now):
        """Apply a report of a crash; see :meth:`Suspicion.add_crash`."""
        crash = self.suspicion.add_crash(
            incarnation, crashed_at, candidates, proven, now
        )
        if crash is None:
            return
        self._new_crashes.pop(crash, None)
        self._new_crashes[crash] = now + NEWS_S
        self._unsettled.append(crash)
        self._decide(crash, now)

    def merge_clearance(self, thing, served_at, now):
        """Apply the report that something was served, beginning at a time."""
        held = self.convictions.held.get(thing)
        if not self.suspicion.clear(thing, served_at):
            if held is not None and served_at > held.crashed_at:
                self._release(thing, "served", now, is_sound=True)
            return
        self._new_clearances[thing] = (served_at, now + NEWS_S)
        if held is not None and not self._has_cause(held, now):
            self._release(thing, "served", now, is_sound=True)

    def merge_conviction(self, conviction, now):
        """Apply a decision of another host, unless a later one is known."""
        if not self.convictions.put(conviction):
            return
        self._tell(conviction, "told", now)
        if not conviction.is_held and not conviction.crashes:
            self.suspicion.clear(conviction.thing, conviction.since)
        self._review_crashes_with(conviction.thing)

    # Decisions.

    def review(self, now):
        """Decide again about crashes that all hosts have reported by now."""
        due = [crash for crash in self._unsettled if now - crash.at >= SETTLE_S]
        self._unsettled = [crash for crash in self._unsettled if crash not in due]
        for crash in due:
            self._decide(crash, now)
            self._reconsider(crash, now)

    def _decide(self, crash, now):
        self._record_held_crash(crash, now)
        held = self.convictions.held
        for request, candidate in list(crash.candidates.items()):
            if request in held or not held.keys().isdisjoint(candidate.parts):
                continue
            if self._is_request_guilty(request, now):
                crashes = self.suspicion.crashes_of(request)
                self._convict((request,), crashes, now)
        parts = {p for c in crash.candidates.values() if c.weight for p in c.parts}
        while (finding := self.suspicion.find(parts, held, now)) is not None:
            self._convict(finding.parts, finding.crashes, now)

    def _record_held_crash(self, crash, now):
        """Apply a crash to what is held back: it fails trials, and parts companions."""
        likely = [c for c in crash.candidates.values() if c.weight == 1.0]
        things = {t for c in likely for t in (c.request, *c.parts)}
        for thing in things & self.convictions.held.keys():
            held = self.convictions.held[thing]
            self.convictions.record_crash(thing, crash.at)
            if crash.at <= held.since:
                continue
            for other in self.convictions.companions_of(held) - things:
                self._release(other, "told apart", now)

    def _reconsider(self, crash, now):
        """Release what other things that are held back explain.

        A part is explained if each of its crashes has another one that is held back and
        stands in more of them. Nothing tells parts of the same crashes apart. A host
        that knows fewer crashes than the decision was based on does not judge it.
        """
        held = self.convictions.held
        found = {t for t in held.keys() & crash.things() if self._knows_cause(held[t])}
        requests = found & crash.candidates.keys()
        kept = set(held) - found
        parts = {part: self.suspicion.crashes_of(part) for part in found - requests}
        for part in sorted(parts, key=lambda p: (-len(parts[p]), p)):
            is_explained = all(kept.intersection(c.likely_parts()) for c in parts[part])
            if is_explained and not any(parts[part] == parts.get(k) for k in kept):
                self._release(part, "explained", now)
            else:
                kept.add(part)
        for request in requests:
            if not self._is_request_guilty(request, now):
                self._release(request, "explained", now)

    def _knows_cause(self, conviction):
        known = len(self.suspicion.crashes_with(conviction.thing))
        return known >= min(conviction.crashes, _ENOUGH_CRASHES)

    def _convict(self, things, crashes, now):
        for conviction in self.convictions.convict(
            things, len(crashes), crashes[-1].at, now
        ):
            self._tell(conviction, "crashes", now)
            self._review_crashes_with(conviction.thing)

    def _is_request_guilty(self, request, now):
        return self.suspicion.is_request_guilty(request, self.convictions.held, now)

    def _has_cause(self, conviction, now):
        """Return whether the crashes known here still suffice to hold something."""
        thing = conviction.thing
        if self._is_request_guilty(thing, now):
            return True
        others = self.convictions.held.keys() - {thing, *conviction.companions}
        return bool(self.suspicion.examine(thing, others, now))

    def _release(self, thing, why, now, is_sound=False):
        released = self.convictions.release(thing, now, is_sound)
        if released is None:
            return False
        self._tell(released, why, now)
        self._review_crashes_with(thing)
        return True

    def _review_crashes_with(self, thing):
        """Decide again about crashes that something explains, or no longer explains."""
        crashes = self.suspicion.crashes_with(thing)
        self._unsettled[:0] = [c for c in crashes if c not in self._unsettled]

    def _tell(self, conviction, why, now):
        self._decisions.append((conviction, why))
        self._new_convictions[conviction.thing] = now + NEWS_S

    def take_decisions(self):
        """Return the decisions since the last call and their reasons, for the log."""
        decisions, self._decisions = self._decisions, []
        return decisions

    # What is told to other hosts.

    def has_news(self, now):
        """Return whether anything new is to be told."""
        self._forget_old_news(now)
        return bool(self._new_crashes or self._new_clearances or self._new_convictions)

    def _forget_old_news(self, now):
        for crash, until in list(self._new_crashes.items()):
            if until <= now or len(self._new_crashes) > _MAX_NEWS:
                del self._new_crashes[crash]
        for thing, (_, until) in list(self._new_clearances.items()):
            if until <= now or len(self._new_clearances) > _MAX_NEWS:
                del self._new_clearances[thing]
        for thing, until in list(self._new_convictions.items()):
            if until <= now:
                del self._new_convictions[thing]

    def new_crashes(self):
        """Return the crashes to be told, latest report first."""
        return list(self._new_crashes)[::-1]

    def new_clearances(self):
        """Return what was served lately and when, as (thing, time)."""
        return [(t, at) for t, (at, _) in self._new_clearances.items()][::-1]

    def new_convictions(self):
        """Return the decisions to be told: first what most crashes are due to."""
        known = {c.thing: c for c in self.convictions.all()}
        found = [known[t] for t in self._new_convictions if t in known]
        return sorted(found, key=lambda c: (not c.is_held, -c.crashes))


def _is_well_under_way(interruption):
    return interruption.began_s is not None and interruption.began_s >= BEGIN_S


def _signed(text):
    digest = xxhash.xxh3_64_intdigest(text.encode())
    return digest - 2**64 if digest >= 2**63 else digest
