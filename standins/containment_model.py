"""A modelled fleet in which a prompt part crashes engines, in virtual time.

Each host has the product's own `CrashContainment`, and hosts exchange its messages,
encoded as between processes and on the schedule of heartbeats. Engines, callers and
the network are modelled, so that fleets of hundreds of hosts are played in seconds.
"""

import heapq
import itertools
import random

import attrs

from cactusmill.internal.containment.containment import CrashContainment
from cactusmill.internal.containment.convictions import Verdict, has_turn
from cactusmill.internal.containment.culprits import Culprits
from cactusmill.internal.containment.evidence import Evidence, Interruption
from cactusmill.internal.containment.messages import apply_news, build_news
from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire.ttypes import Frame
from cactusmill.records import Endpoint
from cactusmill.serving.gossip import (
    CROSS_REGION_HEARTBEAT_S,
    MAX_REMOTE_RECEIVERS,
    REMOTE_HEARTBEATS_PER_ROUND,
)
from cactusmill.serving.heartbeats import MAX_REGION_RECEIVERS, REGION_HEARTBEAT_S

_CRASH_DELAY_S = 0.08
_DETECTION_S = 0.003
_SERVE_S = (0.5, 3.0)
_QUEUE_S = (0.02, 0.2)
_COLD_QUEUE_S = 1.5
_NEAR_S, _FAR_S = 0.002, 0.07
_RECEIVE_S = 0.02
_DIFFERENCE_S = 0.5
_INFORM_S = 0.4
_REVIEW_S = 1.0
_REGION_SHARE_OF_CHANCE = 0.25


@attrs.frozen(kw_only=True)
class Scenario:
    """A fleet, its traffic, and what goes wrong.

    Attributes
    ----------
    hosts, regions, engines : int
        Sizes of the fleet; hosts and engines are spread evenly over the regions.
    requests_per_s, bad_per_s : float
        Sound requests, and requests with a bad part, per second.
    bad_from_s, for_s : float
        Time of the first request with a bad part, and the end.
    bad_parts : tuple of str
        Parts that crash engines.
    is_bad_first : bool
        True if the bad part is the first one of its prompt.
    companion_share : float or None
        Share of the sound requests with a sound part that each bad request has too;
        None if there is no such part.
    companion_from_s : float
        When sound requests begin to have it.
    down_s : (float, float)
        Least and longest time for which an engine is down.
    is_cold : bool
        True if an engine that was down begins its first requests late.
    kill_gap_s : float or None
        Time between engines that are killed by chance.
    outage_at_s : float or None
        When a quarter of all engines is killed at once.
    replace_gap_s : float or None
        Time between hosts that are replaced, in turn.
    parted_s : (float, float) or None
        When one region is parted from the others, and until when.
    bad_hosts : int or None
        Number of hosts to which requests with a bad part come; None for all.
    has_quarantine : bool
        True if requests with a part that their host has not served lately run on one
        engine of their region.
    """

    hosts: int = 6
    regions: int = 3
    engines: int = 12
    requests_per_s: float = 75.0
    bad_per_s: float = 3.75
    bad_from_s: float = 6.0
    for_s: float = 34.0
    bad_parts: tuple = ("bad",)
    is_bad_first: bool = False
    companion_share: float | None = None
    companion_from_s: float = 0.0
    down_s: tuple = (2.0, 4.0)
    is_cold: bool = False
    kill_gap_s: float | None = None
    outage_at_s: float | None = None
    replace_gap_s: float | None = None
    parted_s: tuple | None = None
    bad_hosts: int | None = None
    has_quarantine: bool = False


@attrs.define(eq=False)
class _Engine:
    region: int
    number: int
    starts: int = 0
    is_up: bool = True
    cold_until: float = 0.0
    running: dict = attrs.field(factory=dict)

    def entry(self):
        name = f"engine-{self.region}-{self.number}.{self.starts}"
        return Endpoint(
            name=name, zone="", region=str(self.region), address="", serves=()
        )


@attrs.define(eq=False)
class _Host:
    name: str
    region: int
    number: int
    containment: CrashContainment = attrs.field(factory=CrashContainment)
    differs_until: float = 0.0
    next_receiver: int = 0
    sent_bytes: int = 0
    told_at: float = -1.0
    informed_at: float = 0.0
    rounds: int = 0


@attrs.define(eq=False)
class _Run:
    culprits: Culprits
    host: _Host
    is_bad: bool
    attempts: int
    sent_at: float
    began_at: float | None = None
    engine: _Engine | None = None
    ended: bool = False
    is_trial: bool = False
    record: list | None = None


@attrs.define(eq=False)
class Outcome:
    """What happened in a modelled fleet.

    Attributes
    ----------
    crashes : list of float
        When engines ended under a request with a bad part, in seconds.
    bad_arrivals : list of float
        When requests with a bad part were sent to engines.
    sound : list of [float, bool, bool, bool]
        Sound requests: when they were sent, whether they have the companion, whether
        they were served at the first attempt, and whether they were refused.
    news_bytes : list of int
        Bytes of news that each host sent.
    duration_s : float
        Length of the replay.
    held : set of frozenset of int
        What the hosts hold back at the end.
    """

    crashes: list = attrs.field(factory=list)
    bad_arrivals: list = attrs.field(factory=list)
    sound: list = attrs.field(factory=list)
    news_bytes: list = attrs.field(factory=list)
    duration_s: float = 0.0
    held: set = attrs.field(factory=set)

    def arrivals_after(self, window_s):
        """Return how many bad requests were sent so long after the fifth crash."""
        if len(self.crashes) < 5:
            return 0
        limit = sorted(self.crashes)[4] + window_s
        return sum(at > limit for at in self.bad_arrivals)

    def served_share(self, begin, end, with_companion=None):
        """Return the share of sound requests that were served at the first attempt."""
        results = [
            served
            for at, companion, served, _ in self.sound
            if begin <= at < end and with_companion in (None, companion)
        ]
        return sum(results) / max(1, len(results))


class _Model:
    def __init__(self, scenario, seed):
        self.scenario, self.rng = scenario, random.Random(seed)
        self.now, self.outcome = 0.0, Outcome(duration_s=scenario.for_s)
        self._events, self._order = [], itertools.count()
        self._requests = itertools.count()
        self._digests = {}
        self.hosts = [
            _Host(f"host-{n}", n % scenario.regions, n) for n in range(scenario.hosts)
        ]
        self.engines = [
            _Engine(n % scenario.regions, n) for n in range(scenario.engines)
        ]

    def at(self, delay_s, action, *args):
        event = (self.now + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def run(self):
        scenario = self.scenario
        self.at(0.0, self.send_sound)
        self.at(scenario.bad_from_s, self.send_bad)
        for host in self.hosts:
            self.at(
                self.rng.uniform(0, REGION_HEARTBEAT_S), self.beat_near, host.number
            )
            self.at(
                self.rng.uniform(0, CROSS_REGION_HEARTBEAT_S),
                self.beat_far,
                host.number,
            )
        self.at(_REVIEW_S, self.review)
        if scenario.kill_gap_s:
            self.at(scenario.kill_gap_s, self.kill_one)
        if scenario.outage_at_s is not None:
            self.at(scenario.outage_at_s, self.kill_many)
        if scenario.replace_gap_s:
            self.at(scenario.replace_gap_s, self.replace, 0)
        while self._events and self._events[0][0] < scenario.for_s:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.outcome.news_bytes = [host.sent_bytes for host in self.hosts]
        self.outcome.held = {
            frozenset(host.containment.convictions.held) for host in self.hosts
        }
        return self.outcome

    # Callers.

    def digest(self, text):
        if text not in self._digests:
            self._digests[text] = self.rng.getrandbits(62)
        return self._digests[text]

    def send_sound(self):
        scenario, rng = self.scenario, self.rng
        self.at(rng.expovariate(scenario.requests_per_s), self.send_sound)
        parts = [f"first-{rng.randrange(4)}", f"middle-{rng.randrange(12)}"]
        share = scenario.companion_share
        has_companion = (
            share is not None
            and self.now >= scenario.companion_from_s
            and rng.random() < share
        )
        if has_companion:
            parts.append("companion")
        record = [self.now, has_companion, False, False]
        self.outcome.sound.append(record)
        self.start(parts, rng.choice(self.hosts), False, record)

    def send_bad(self):
        scenario, rng = self.scenario, self.rng
        self.at(rng.expovariate(scenario.bad_per_s), self.send_bad)
        parts = [f"first-{rng.randrange(4)}", f"middle-{rng.randrange(12)}"]
        parts.insert(0 if scenario.is_bad_first else 1, rng.choice(scenario.bad_parts))
        if scenario.companion_share is not None:
            parts.append("companion")
        hosts = self.hosts[: scenario.bad_hosts]
        self.start(parts, rng.choice(hosts), True, None)

    def start(self, parts, host, is_bad, record):
        culprits = Culprits(
            next(self._requests), tuple(self.digest(part) for part in parts)
        )
        self.attempt(_Run(culprits, host, is_bad, 2, self.now, record=record))

    # Hosts.

    def owns(self, host):
        names = [other.name for other in self.hosts if self.reaches(host, other)]

        def owner(thing, turn):
            others = [name for name in names if name != host.name]
            return has_turn(host.name, others, thing, turn)

        return owner

    def attempt(self, run):
        host = run.host
        if self.now < host.informed_at:
            self.at(_RECEIVE_S, self.attempt, run)
            return
        verdict, _ = host.containment.judge(run.culprits, self.owns(host), self.now)
        if verdict is Verdict.REFUSE:
            if run.record:
                run.record[3] = True
            return
        run.is_trial = verdict is Verdict.TRY
        if run.is_trial:
            host.containment.convictions.begin_trial(run.culprits, self.now)
        engines = [e for e in self.engines if e.region == host.region and e.is_up]
        if not engines:
            engines = [e for e in self.engines if e.is_up]
        if not engines:
            host.containment.convictions.end_trial(run.culprits)
            return
        run.engine, run.sent_at = self.choose(run, engines), self.now
        run.attempts -= 1
        run.began_at = None
        run.engine.running[id(run)] = run
        if run.is_bad:
            self.outcome.bad_arrivals.append(self.now)
        delay_s = self.rng.uniform(*_QUEUE_S)
        if self.now < run.engine.cold_until:
            delay_s += _COLD_QUEUE_S
        self.at(delay_s, self.begin, run, run.engine.entry())

    def choose(self, run, engines):
        if self.scenario.has_quarantine:
            containment = run.host.containment
            parts = run.culprits.parts
            if not all(containment.is_proven(part, self.now) for part in parts):
                return engines[0]
        return self.rng.choice(engines)

    def begin(self, run, entry):
        if not self.is_running(run, entry):
            return
        run.began_at = self.now
        if run.is_bad:
            self.at(_CRASH_DELAY_S, self.crash, run.engine, run.engine.starts, True)
            if self.rng.random() < 0.5:
                # The engine ends before the host has seen anything.
                run.began_at = None
        else:
            self.at(self.rng.uniform(*_SERVE_S), self.serve, run, entry)

    def is_running(self, run, entry):
        engine = run.engine
        return engine.is_up and engine.entry() == entry and id(run) in engine.running

    def serve(self, run, entry):
        if not self.is_running(run, entry):
            return
        del run.engine.running[id(run)]
        if run.record and run.attempts == 1:
            run.record[2] = True
        run.host.containment.record_served(run.culprits, run.began_at, self.now)
        self.tell(run.host)

    def crash(self, engine, starts, is_by_request):
        if not engine.is_up or engine.starts != starts:
            return
        if is_by_request:
            self.outcome.crashes.append(self.now)
        engine.is_up = False
        runs, engine.running = list(engine.running.values()), {}
        self.at(_DETECTION_S, self.interrupt, engine.entry(), runs, self.now)
        self.at(self.rng.uniform(*self.scenario.down_s), self.restart, engine)

    def restart(self, engine):
        engine.is_up, engine.starts = True, engine.starts + 1
        if self.scenario.is_cold:
            engine.cold_until = self.now + 2.0

    def interrupt(self, entry, runs, broke_at):
        hosts = {id(run.host): run.host for run in runs}
        for run in runs:
            run.host.containment.interruptions.record(
                Interruption(
                    culprits=run.culprits,
                    request_id="",
                    team=None,
                    route=None,
                    endpoint=entry,
                    sent_at=run.sent_at,
                    broke_at=broke_at,
                    began_s=None if run.began_at is None else broke_at - run.began_at,
                )
            )
        for host in hosts.values():
            host.containment.count_crashes(entry.name, Evidence.REFUSED, self.now)
            self.tell(host)
        for run in runs:
            if run.attempts and run.host in self.hosts:
                self.at(_RECEIVE_S, self.attempt, run)

    # What goes wrong besides.

    def kill_one(self):
        self.at(self.scenario.kill_gap_s, self.kill_one)
        engine = self.rng.choice(self.engines)
        self.crash(engine, engine.starts, False)

    def kill_many(self):
        count = max(1, round(len(self.engines) * _REGION_SHARE_OF_CHANCE))
        for engine in self.rng.sample(self.engines, count):
            self.crash(engine, engine.starts, False)

    def replace(self, number):
        self.at(
            self.scenario.replace_gap_s, self.replace, (number + 1) % len(self.hosts)
        )
        old = self.hosts[number]
        self.hosts[number] = _Host(
            f"{old.name}'",
            old.region,
            number,
            sent_bytes=old.sent_bytes,
            informed_at=self.now + _INFORM_S,
        )
        # The others answer its first heartbeat.
        near = [h for h in self.hosts if h.region == old.region and h.number != number]
        for host in self.rng.sample(near, min(3, len(near))):
            self.send(host, [self.hosts[number]], is_first=True)

    def review(self):
        self.at(_REVIEW_S, self.review)
        for host in self.hosts:
            host.containment.review(self.now)
            host.containment.take_decisions()

    # News.

    def reaches(self, host, other):
        if self.scenario.parted_s is None or host.region == other.region:
            return True
        begin, end = self.scenario.parted_s
        is_parted = begin <= self.now < end
        return not is_parted or 0 not in (host.region, other.region)

    def near(self, host):
        others = [
            h for h in self.hosts if h.region == host.region and h.number != host.number
        ]
        if len(others) <= MAX_REGION_RECEIVERS:
            return others
        start = host.next_receiver % len(others)
        host.next_receiver += MAX_REGION_RECEIVERS
        return (others + others)[start : start + MAX_REGION_RECEIVERS]

    def far(self, host):
        receivers = []
        senders = sum(h.region == host.region for h in self.hosts)
        for region in range(self.scenario.regions):
            members = [h for h in self.hosts if h.region == region != host.region]
            count = -(-REMOTE_HEARTBEATS_PER_ROUND * len(members) // senders)
            count = min(MAX_REMOTE_RECEIVERS, len(members), count)
            receivers += self.rng.sample(members, count)
        return receivers

    def beat_near(self, number):
        self.at(REGION_HEARTBEAT_S, self.beat_near, number)
        host = self.hosts[number]
        host.rounds += 1
        rounds = round(CROSS_REGION_HEARTBEAT_S / REGION_HEARTBEAT_S)
        self.send(host, self.near(host), with_hash=host.rounds % rounds == 0)

    def beat_far(self, number):
        self.at(CROSS_REGION_HEARTBEAT_S, self.beat_far, number)
        self.send(self.hosts[number], self.far(self.hosts[number]))

    def tell(self, host):
        if host.containment.take_decisions() or host.containment.has_news(self.now):
            if self.now - host.told_at >= REGION_HEARTBEAT_S / 3:
                host.told_at = self.now
                self.send(host, self.near(host) + self.far(host))

    def send(self, host, receivers, is_first=False, with_hash=True):
        differs = self.now < host.differs_until
        news = build_news(host.containment, differs, self.now, is_first, with_hash)
        data = None if news is None else encode_frame(Frame(containment=news))
        for other in receivers:
            if not self.reaches(host, other):
                continue
            if data is not None:
                host.sent_bytes += len(data)
            elif not is_first:
                continue
            delay_s = _NEAR_S if other.region == host.region else _FAR_S
            self.at(
                delay_s + self.rng.uniform(0, _RECEIVE_S), self.receive, other, data
            )

    def receive(self, host, data):
        host.informed_at = min(host.informed_at, self.now)
        if data is None:
            return
        news = decode(data).containment
        if apply_news(host.containment, news, self.now):
            host.differs_until = self.now + _DIFFERENCE_S


SCENARIOS = {
    "in-the-middle": {},
    "first-part": {"is_bad_first": True},
    "in-sound-company": {"companion_share": 0.02},
    "never-without-a-sound-part": {"companion_share": 0.1, "companion_from_s": 16.0},
    "amid-kills-and-restarts": {"kill_gap_s": 4.0, "replace_gap_s": 5.0},
    "two-parts": {"bad_parts": ("bad", "worse")},
    "at-one-host": {"bad_hosts": 1},
    "rare": {"bad_per_s": 1.0},
    "rapid": {"bad_per_s": 20.0, "down_s": (0.3, 0.3)},
    "from-the-start": {"bad_from_s": 0.0},
    "parted-region": {"parted_s": (5.0, 16.0)},
    "hosts-restarted-in-turn": {"replace_gap_s": 1.0},
    "cold-engines": {"is_cold": True},
    "amid-an-outage": {"outage_at_s": 6.2},
}


def play(scenario, seed):
    """Play a scenario.

    Parameters
    ----------
    scenario : Scenario
        The fleet, its traffic and what goes wrong.
    seed : int
        Seed of everything random.

    Returns
    -------
    Outcome
    """
    return _Model(scenario, seed).run()
