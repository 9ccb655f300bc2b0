"""What is held back because it crashes endpoints, and when it may be tried again.

Convictions are few and last. Each is a register with an epoch that rises whenever the
conviction or its release is decided, so that hosts that meet again after a partition
keep the later decision. Registers are never forgotten while there is room, and a hash
over all of them tells two hosts whether they hold the same ones.

Parts that only ever stood together in crashed requests are held as one another's
companions: a request with all of them is refused, and one with some of them is a trial
that tells them apart.

All times are seconds of the process's monotonic clock.
"""

import enum

import attrs
import xxhash

# Time after the last crash until something held back is tried again, and the factor
# between a trial and the next one.
FIRST_TRIAL_S = 120.0
_TRIAL_FACTOR = 8.0
# Trials that no operator asked for. With what is under way when a conviction is
# decided, they stay below three requests.
MAX_TRIALS = 2
# Time in which one host may make a due trial; then it is another one's turn.
TRIAL_TURN_S = 10.0
# A trial whose end was not seen is taken to have ended after this time.
_TRIAL_LIMIT_S = 30.0
MAX_CONVICTIONS = 256


class Verdict(enum.Enum):
    """What may be done with a request.

    Members
    -------
    PASS
        Nothing of it is held back.
    TRY
        It may be sent as a trial, by this host.
    REFUSE
        It is refused.
    """

    PASS = "pass"
    TRY = "try"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class Conviction:
    """A decision to hold something back, or to release it.

    Attributes
    ----------
    thing : int
        Digest of the request or the part.
    epoch : int
        Number of the decision about it.
    is_held : bool
        False if it was released.
    since : float
        When it was decided, in seconds.
    crashed_at : float
        When the last crash under it was seen, in seconds.
    trials : int
        Trials that failed.
    crashes : int
        Crashes that led to the decision; 0 in a release of something that no longer
        crashes endpoints.
    companions : tuple of int
        Parts that stood in all of its crashed requests.
    """

    thing: int
    epoch: int
    is_held: bool
    since: float
    crashed_at: float
    trials: int = 0
    crashes: int = 0
    companions: tuple = ()

    @property
    def rank(self):
        """Order of decisions about one thing: the highest one is in force."""
        return (self.epoch, not self.is_held, self.trials, -len(self.companions))

    @property
    def trial_due_at(self):
        """When it may be tried again, in seconds; infinity if operators must say so."""
        if self.trials >= MAX_TRIALS:
            return float("inf")
        return self.crashed_at + FIRST_TRIAL_S * _TRIAL_FACTOR**self.trials


@attrs.define(eq=False)
class Convictions:
    """All decisions that one host knows."""

    _by_thing: dict = attrs.field(factory=dict)
    _held: dict = attrs.field(factory=dict)
    _trials: dict = attrs.field(factory=dict)
    _hash: int = 0
    _next: int = 0

    def __len__(self):
        """Return how many things are held back."""
        return len(self._held)

    @property
    def is_full(self):
        """Whether older decisions are being forgotten."""
        return len(self._by_thing) >= MAX_CONVICTIONS

    @property
    def held(self):
        """The convictions in force, by thing."""
        return self._held

    @property
    def hash(self):
        """The same on hosts that know the same decisions."""
        return self._hash

    def all(self):
        """Return all decisions, held ones first."""
        return sorted(self._by_thing.values(), key=lambda c: (not c.is_held, -c.since))

    def next_round(self, count):
        """Return some decisions, in turn, for a host that knows other ones."""
        decisions = list(self._by_thing.values())
        if len(decisions) <= count:
            return decisions
        start = self._next % len(decisions)
        self._next += count
        return (decisions + decisions)[start : start + count]

    def put(self, conviction):
        """Apply a decision unless a later one is known; return whether it was new."""
        known = self._by_thing.get(conviction.thing)
        if known is not None and known.rank >= conviction.rank:
            return False
        self._replace(conviction)
        self._make_room()
        return True

    def _replace(self, conviction):
        known = self._by_thing.get(conviction.thing)
        if known is not None:
            self._hash ^= _hash_of(known)
        self._by_thing[conviction.thing] = conviction
        self._hash ^= _hash_of(conviction)
        if conviction.is_held:
            self._held[conviction.thing] = conviction
        else:
            self._held.pop(conviction.thing, None)

    def _make_room(self):
        while len(self._by_thing) > MAX_CONVICTIONS:
            oldest = min(self._by_thing.values(), key=lambda c: (c.is_held, c.since))
            del self._by_thing[oldest.thing]
            self._held.pop(oldest.thing, None)
            self._hash ^= _hash_of(oldest)

    def convict(self, things, crashes, crashed_at, now):
        """Hold things back that crashes do not tell apart; return the decisions."""
        decided = []
        for thing in things:
            known = self._by_thing.get(thing)
            conviction = Conviction(
                thing=thing,
                epoch=known.epoch + 1 if known else 1,
                is_held=True,
                since=now,
                crashed_at=crashed_at,
                trials=known.trials if known else 0,
                crashes=crashes,
                companions=tuple(other for other in things if other != thing),
            )
            self.put(conviction)
            decided.append(conviction)
        return decided

    def release(self, thing, now, is_sound=False):
        """Release something that is held back.

        Parameters
        ----------
        thing : int
            The thing.
        now : float
            Current time, in seconds.
        is_sound : bool
            True if it no longer crashes endpoints, whatever it did before.

        Returns
        -------
        Conviction or None
            None if it is not held back.
        """
        known = self._held.get(thing)
        if known is None:
            return None
        released = attrs.evolve(
            known,
            epoch=known.epoch + 1,
            is_held=False,
            since=now,
            crashes=0 if is_sound else known.crashes,
            companions=(),
        )
        self.put(released)
        self._trials.pop(thing, None)
        return released

    def companions_of(self, conviction):
        """Return the companions of something held back that are held back too."""
        return {c for c in conviction.companions if c in self._held}

    def record_crash(self, thing, at):
        """Record a crash under something held back; a trial of it has failed then."""
        known = self._held.get(thing)
        if known is None or at <= known.crashed_at:
            return
        has_failed = self._trials.pop(thing, None) is not None
        self._replace(
            attrs.evolve(known, crashed_at=at, trials=known.trials + has_failed)
        )

    def judge(self, culprits, is_owner, now):
        """Return what may be done with a request, and the thing that decides it.

        Parameters
        ----------
        culprits : Culprits
            What may be at fault in it.
        is_owner : callable
            ``is_owner(thing, turn)`` returns whether this host makes the trials of
            something in a turn.
        now : float
            Current time, in seconds.

        Returns
        -------
        Verdict, int or None
        """
        if not self._held:
            return Verdict.PASS, None
        found = [
            self._held[thing]
            for thing in (culprits.request, *culprits.parts)
            if thing in self._held
        ]
        if not found:
            return Verdict.PASS, None
        for conviction in found:
            if not self._may_try(conviction, culprits.parts, is_owner, now):
                return Verdict.REFUSE, conviction.thing
        return Verdict.TRY, found[0].thing

    def _may_try(self, conviction, parts, is_owner, now):
        started_at = self._trials.get(conviction.thing, float("-inf"))
        if now - started_at < _TRIAL_LIMIT_S:
            return False
        due_at = conviction.trial_due_at
        if not self.companions_of(conviction).issubset(parts):
            due_at = conviction.since
        if now < due_at:
            return False
        return is_owner(conviction.thing, int((now - due_at) / TRIAL_TURN_S))

    def begin_trial(self, culprits, now):
        """Record that a request with held things is sent as a trial."""
        for thing in (culprits.request, *culprits.parts):
            if thing in self._held:
                self._trials[thing] = now

    def end_trial(self, culprits):
        """Record that a trial ended without telling anything."""
        for thing in (culprits.request, *culprits.parts):
            self._trials.pop(thing, None)


def has_turn(name, others, thing, turn):
    """Return whether a host makes the trials of something in a turn.

    Parameters
    ----------
    name : str
        The host.
    others : iterable of str
        The other hosts.
    thing, turn : int
        What is held back, and the number of the turn.

    Returns
    -------
    bool
        True for one of the hosts, if they know each other.
    """

    def rank(host):
        return xxhash.xxh3_64_intdigest(f"{thing} {turn} {host}".encode())

    return min([name, *others], key=rank) == name


def _hash_of(conviction):
    text = repr((conviction.thing, conviction.rank)).encode()
    return xxhash.xxh3_64_intdigest(text) >> 1
