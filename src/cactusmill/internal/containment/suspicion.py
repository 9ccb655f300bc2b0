"""Weighs what ran on crashed endpoints against what was served without a crash.

An endpoint crashes as it begins to answer a request that is at fault. Each request that
it had just begun, or not begun yet, is a candidate. One crash does not tell which, and
endpoints also end for other reasons. A request or a prompt part is found guilty by
several crashes since the last time that it was served whole; a part only by crashes of
different requests, since a single request that comes again explains those itself.

Crashes that something held back explains are no evidence against anything else.

All times are seconds of the process's monotonic clock.
"""

import attrs

# A request whose response has been arriving for this long has not ended its endpoint:
# it is evidence only if nothing else is found.
BEGIN_S = 1.0
# Weight of a crash against what is an unlikely cause: a request whose response was well
# under way, or a part that was served not long before.
UNLIKELY = 0.6
# Weight of a crash against the only request that its endpoint was beginning, once
# other hosts would have reported theirs.
ALONE = 1.5
SETTLE_S = 1.0
# Crashes as close to each other as this count once against a part: an outage ends many
# endpoints at once, with whatever parts are common.
MIN_GAP_S = 0.25
REQUEST_THRESHOLD = 2.0
PART_THRESHOLD = 3.0
_MIN_REQUESTS = 2
# While another part stands in all but so many of the same crashes, in other requests,
# more evidence is awaited for this long after the first of them.
UNDECIDED_S = 1.5
_MIN_MARGIN = 2
# Evidence about one incarnation that is further apart is of two crashes of a process
# that does not tell its starts apart.
_SAME_CRASH_S = 0.8
CRASH_TTL_S = 600.0
MAX_CRASHES = 128
_MAX_CLEARED = 4096
MAX_CANDIDATES = 40
MAX_PARTS = 16


@attrs.frozen
class Candidate:
    """A request that a crash interrupted.

    Attributes
    ----------
    request : int
        Its digest.
    parts : tuple of int
        Digests of its prompt parts.
    weight : float
        How well it explains the crash: 1, `UNLIKELY`, or 0 if the endpoint may have
        ended before it was sent.
    """

    request: int
    parts: tuple = ()
    weight: float = 1.0


@attrs.define(eq=False)
class Crash:
    """The crash of one incarnation of an endpoint, as reported by all hosts.

    Attributes
    ----------
    incarnation : int
        Digest of the endpoint and its start.
    at : float
        When it crashed, in seconds.
    candidates : dict of int to Candidate
        By request.
    proven : set of int
        Parts among them that some host has served not long before.
    """

    incarnation: int
    at: float
    candidates: dict = attrs.field(factory=dict)
    proven: set = attrs.field(factory=set)

    def things(self):
        """Return all digests of the candidates: requests and parts."""
        found = set(self.candidates)
        for candidate in self.candidates.values():
            found.update(candidate.parts)
        return found

    def likely_parts(self):
        """Return the parts of the candidates that explain the crash best."""
        likely = [c for c in self.candidates.values() if c.weight == 1.0]
        return {part for candidate in likely for part in candidate.parts}

    def add(self, candidates, proven):
        """Add candidates of the same crash; return whether any of them was new."""
        is_new = False
        for candidate in candidates:
            known = self.candidates.get(candidate.request)
            if known is None and not self._make_room(candidate, proven):
                continue
            if known is None or known.weight < candidate.weight:
                parts = candidate.parts[:MAX_PARTS]
                self.candidates[candidate.request] = attrs.evolve(
                    candidate, parts=parts
                )
                is_new = True
        self.proven |= proven
        return is_new

    def _make_room(self, candidate, proven):
        """Return whether a candidate fits; one with proven parts only gives way."""
        if len(self.candidates) < MAX_CANDIDATES:
            return True
        proven = self.proven | proven
        if proven.issuperset(candidate.parts):
            return False
        for request, known in self.candidates.items():
            if proven.issuperset(known.parts):
                del self.candidates[request]
                return True
        return False

    def weight(self, part, now):
        """Return the weight of the crash against a part."""
        weight = max(
            (c.weight for c in self.candidates.values() if part in c.parts), default=0.0
        )
        if part in self.proven:
            return weight * UNLIKELY
        likely = sum(c.weight == 1.0 for c in self.candidates.values())
        is_alone = weight == 1.0 and likely == 1 and now - self.at >= SETTLE_S
        return ALONE if is_alone else weight


@attrs.frozen
class Finding:
    """Parts that crashes show to be at fault.

    Attributes
    ----------
    parts : tuple of int
        More than one if nothing distinguishes them.
    crashes : tuple of Crash
        The crashes, oldest first.
    """

    parts: tuple
    crashes: tuple


@attrs.define(eq=False)
class Suspicion:
    """Crashes and clearances, as known to one host."""

    _crashes: list = attrs.field(factory=list)
    _by_thing: dict = attrs.field(factory=dict)
    _cleared_at: dict = attrs.field(factory=dict)

    def __len__(self):
        """Return the number of crashes that are known."""
        return len(self._crashes)

    def add_crash(self, incarnation, at, candidates, proven, now):
        """Add a report of a crash, to those of other hosts about the same one.

        Parameters
        ----------
        incarnation : int
            Digest of the endpoint and its start.
        at : float
            When it crashed, in seconds.
        candidates : list of Candidate
            The requests that the reporting host had running there.
        proven : set of int
            The parts among them that it has served not long before.
        now : float
            Current time, in seconds.

        Returns
        -------
        Crash or None
            None if the report told nothing new.
        """
        crash = self._find(incarnation, at)
        is_known = crash is not None
        if crash is None:
            crash = Crash(incarnation, at)
        is_new = crash.add(candidates, proven)
        crash.at = min(crash.at, at)
        if not is_new:
            return None
        if not is_known:
            self._crashes.append(crash)
        for thing in crash.things():
            crashes = self._by_thing.setdefault(thing, [])
            if crash not in crashes:
                crashes.append(crash)
                crashes.sort(key=lambda c: c.at)
        self.expire(now)
        return crash

    def _find(self, incarnation, at):
        for crash in reversed(self._crashes):
            if crash.incarnation == incarnation and abs(crash.at - at) < _SAME_CRASH_S:
                return crash
        return None

    def expire(self, now):
        """Drop old crashes, and the oldest ones beyond a limit."""
        kept = [c for c in self._crashes if now - c.at <= CRASH_TTL_S][-MAX_CRASHES:]
        if len(kept) == len(self._crashes):
            return
        dropped = self._crashes[: len(self._crashes) - len(kept)]
        self._crashes = kept
        for crash in dropped:
            for thing in crash.things():
                remaining = [c for c in self._by_thing.get(thing, ()) if c in kept]
                if remaining:
                    self._by_thing[thing] = remaining
                else:
                    self._by_thing.pop(thing, None)
                    self._cleared_at.pop(thing, None)

    def crashes(self):
        """Return all crashes that are known, in the order of their first reports."""
        return list(self._crashes)

    def crashes_of(self, thing):
        """Return the crashes since a request or part was served last, oldest first."""
        cleared_at = self._cleared_at.get(thing, float("-inf"))
        return [c for c in self._by_thing.get(thing, ()) if c.at > cleared_at]

    def crashes_with(self, thing):
        """Return all crashes with a request or part, cleared or not, oldest first."""
        return list(self._by_thing.get(thing, ()))

    def clear(self, thing, served_at):
        """Record that something was served whole, beginning at `served_at`.

        Returns
        -------
        bool
            Whether that clears it of any crash.
        """
        before = self.crashes_of(thing)
        if not before or before[0].at >= served_at:
            return False
        self._cleared_at[thing] = served_at
        return True

    def expect(self, thing, served_at):
        """Remember a clearance that may have overtaken the report of its crash."""
        if thing in self._by_thing:
            return
        self._cleared_at.pop(thing, None)
        self._cleared_at[thing] = served_at
        if len(self._cleared_at) > _MAX_CLEARED:
            unknown = [t for t in self._cleared_at if t not in self._by_thing]
            for thing in unknown[: len(unknown) // 2]:
                del self._cleared_at[thing]

    def request_weights(self, request, held=()):
        """Return the weights of the crashes against a whole request, oldest first.

        The first one makes it a suspect, whatever its weight. Crashes that what is
        held back explains are left out.
        """
        found = [
            c.candidates[request].weight
            for c in self.crashes_of(request)
            if request in c.candidates and not _is_explained(c, request, held)
        ]
        weights = [weight or float(not n) for n, weight in enumerate(found)]
        return [weight for weight in weights if weight]

    def is_request_guilty(self, request, held, now):
        """Return whether a whole request is at fault.

        While a part that was not served before stands in the same crashes, in other
        requests, more evidence is awaited: that part may explain them all. Requests
        that stand in the same two crashes are told apart by a third one.

        Parameters
        ----------
        request : int
            The request.
        held : collection of int
            Parts that are held back, which explain crashes.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
        """
        score = sum(self.request_weights(request, held))
        if score < REQUEST_THRESHOLD:
            return False
        crashes = self.crashes_of(request)
        shared = set.intersection(*(set(c.candidates) for c in crashes))
        if len(shared) > 1 and score < REQUEST_THRESHOLD + 1.0:
            return False
        if now - crashes[0].at >= UNDECIDED_S:
            return True
        common = set.intersection(*(c.things() - c.proven for c in crashes))
        common -= {r for c in crashes for r in c.candidates}
        return not any(_requests_with(part, crashes) - {request} for part in common)

    def examine(self, part, held, now):
        """Return the crashes that count against a part if it is at fault, else none.

        Parameters
        ----------
        part : int
            The part.
        held : collection of int
            Other parts, which are held back and explain the crashes that they are in.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Crash
            Oldest first; empty if they do not suffice.
        """
        score, counted_at, found, requests = 0.0, float("-inf"), [], set()
        for crash in self.crashes_of(part):
            with_part = [c for c in crash.candidates.values() if part in c.parts]
            weight = crash.weight(part, now)
            if not weight or _is_explained(crash, part, held):
                continue
            found.append(crash)
            requests.update(c.request for c in with_part)
            if crash.at - counted_at >= MIN_GAP_S:
                score += weight
                counted_at = crash.at
        is_guilty = score >= PART_THRESHOLD and len(requests) >= _MIN_REQUESTS
        return found if is_guilty else []

    def find(self, parts, held, now):
        """Return the parts that are most at fault among some, or None.

        Parameters
        ----------
        parts : collection of int
            The parts to examine.
        held : collection of int
            Parts that are held back.
        now : float
            Current time, in seconds.

        Returns
        -------
        Finding or None
        """
        found = {
            part: crashes
            for part in sorted(set(parts) - set(held))
            if ALONE * len(self.crashes_of(part)) >= PART_THRESHOLD
            and (crashes := self.examine(part, held, now))
        }
        if not found:
            return None
        first, best = max(found.items(), key=lambda item: len(item[1]))
        company = _requests_with(first, best)
        same = {
            part
            for part, crashes in found.items()
            if crashes == best and _requests_with(part, crashes) == company
        }
        has_rival = any(
            part not in same and len(set(best).difference(crashes)) < _MIN_MARGIN
            for part, crashes in found.items()
        )
        if has_rival and now - best[0].at < UNDECIDED_S:
            return None
        return Finding(tuple(sorted(same)), tuple(best))


def _requests_with(part, crashes):
    """Return the requests with a part among the candidates of crashes."""
    return {
        candidate.request
        for crash in crashes
        for candidate in crash.candidates.values()
        if part in candidate.parts
    }


def _is_explained(crash, part, held):
    """Return whether another part that is held back explains a crash."""
    return any(other in held for other in crash.likely_parts() if other != part)
