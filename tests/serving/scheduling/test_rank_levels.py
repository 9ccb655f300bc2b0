"""Levels of patient requests, replayed with many hosts in simulated time.

The replay has two ranks that offer more prompt tokens than the region processes. A
request is refused by its rank's wait limit, as in ``overload.decide``, and a patient
one also by its host's level. Hosts exchange reports by the schedule of heartbeats.
"""

import collections
import random
import statistics
import sys

import attrs
import pytest

from cactusmill.records import Route, Service
from cactusmill.serving.catalog import Configuration
from cactusmill.serving.heartbeats import MAX_REGION_RECEIVERS, REGION_HEARTBEAT_S
from cactusmill.serving.scheduling import rank_levels
from cactusmill.serving.scheduling.rank_levels import (
    MAX_REPORT_AGE_S,
    MIN_LEVEL,
    RankLevels,
    RankReport,
    RegionDemand,
    find_ranks,
    next_level,
)

QUOTE = Route(
    name="quote",
    prefix="/q/",
    kind="model",
    service="engines",
    is_stream=True,
    objective_s=1.0,
    priority=0,
)
QUESTION = attrs.evolve(
    QUOTE, name="question", prefix="/a/", objective_s=4.0, priority=2
)
URGENT, PATIENT = 0, 2
# Uncached prompt tokens of a request, and the part of all offered tokens.
TOKENS = {URGENT: 2890, PATIENT: 628}
PARTS = {URGENT: 0.68, PATIENT: 0.32}
# Predicted waits above which a request is refused: 0.85 of the objectives.
WAIT_LIMITS_S = {URGENT: 0.85, PATIENT: 3.4}
CAPACITY_TOKENS_PER_S = 340_000
SIZES = (1, 6, 72, 400)


def configuration(*routes, engines=True):
    return Configuration(
        version=1,
        routes=routes,
        teams={},
        team_by_key={},
        services={"engines": Service(name="engines", is_engine=engines)},
        limits=None,
    )


RANKED = configuration(QUOTE, QUESTION)
UNRANKED = configuration(QUOTE, attrs.evolve(QUESTION, objective_s=2.0))


def make_levels(at=RANKED):
    return RankLevels().follow(at)


def entry(asked=0, refused=0, level=None, priority=URGENT, service="engines"):
    return RankReport(
        service=service,
        priority=priority,
        asked=asked,
        refused=refused,
        admitted_permille=level,
    )


@attrs.define
class Replay:
    """A region under load.

    Attributes
    ----------
    load : callable
        ``load(now)`` returns the offered tokens as a multiple of the capacity.
    with_levels : bool
        False to judge every request by its wait only.
    lost : float
        Fraction of the reports that are lost.
    counts : list of (float, int, bool)
        Time, priority and whether it was served, of each request.
    """

    hosts: int
    load: object
    with_levels: bool = True
    lost: float = 0.0
    retries: float = 0.0
    seed: int = 1
    levels: list = attrs.field(factory=list)
    counts: list = attrs.field(factory=list)
    queue_tokens: float = 0.0
    history: list = attrs.field(factory=list)

    def run(self, until_s):
        self.levels = [make_levels() for _ in range(self.hosts)]
        rng = random.Random(self.seed)
        repeated = collections.deque()
        for number in range(round(until_s / REGION_HEARTBEAT_S)):
            now = number * REGION_HEARTBEAT_S
            arrivals = []
            for priority, part in PARTS.items():
                offered = CAPACITY_TOKENS_PER_S * self.load(now) * part
                mean = offered * REGION_HEARTBEAT_S / TOKENS[priority]
                count = max(0, round(rng.gauss(mean, mean**0.5)))
                arrivals += [
                    (now + rng.random() * REGION_HEARTBEAT_S, priority)
                    for _ in range(count)
                ]
            while repeated and repeated[0][0] < now + REGION_HEARTBEAT_S:
                arrivals.append(repeated.popleft())
            last = now
            for at, priority in sorted(arrivals):
                self.drain(at - last)
                last = max(last, at)
                if not self.serve(at, priority, rng) and rng.random() < self.retries:
                    repeated.append((at + 1.0, priority))
            self.drain(now + REGION_HEARTBEAT_S - last)
            self.exchange(number, now + REGION_HEARTBEAT_S, rng)
        return self

    def drain(self, seconds):
        done = max(0.0, seconds) * CAPACITY_TOKENS_PER_S
        self.queue_tokens = max(0.0, self.queue_tokens - done)

    def serve(self, now, priority, rng):
        tokens, levels = TOKENS[priority], rng.choice(self.levels)
        levels.record_asked("engines", priority, tokens, now)
        wait_s = self.queue_tokens / CAPACITY_TOKENS_PER_S
        is_served = wait_s <= WAIT_LIMITS_S[priority] and (
            not self.with_levels
            or levels.admits("engines", priority, rng.random(), now)
        )
        if is_served:
            self.queue_tokens += tokens
        else:
            levels.record_refused("engines", priority, tokens, now)
        self.counts.append((now, priority, is_served))
        return is_served

    def exchange(self, number, now, rng):
        for levels in self.levels:
            levels.update(now)
        for sender, levels in enumerate(self.levels):
            reports = levels.reports(now)
            others = self.hosts - 1
            for step in range(min(others, MAX_REGION_RECEIVERS)):
                offset = 1 + (number * MAX_REGION_RECEIVERS + step) % others
                if rng.random() >= self.lost:
                    receiver = self.levels[(sender + offset) % self.hosts]
                    receiver.apply_report(f"host-{sender}", reports, now)
        values = [levels.level("engines") for levels in self.levels]
        self.history.append((now, values))

    def served(self, priority, start, end=float("inf")):
        """Return the fraction of the requests of a rank that was served."""
        found = [
            is_served
            for at, rank, is_served in self.counts
            if rank == priority and start <= at < end
        ]
        return sum(found) / len(found)

    def mean_level(self):
        return statistics.mean(self.history[-1][1])


def steady(load):
    return lambda now: load


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("load", [1.2, 1.8, 2.5])
def test_urgent_and_patient_requests_are_served_alike_under_overload(hosts, load):
    """Guards against the inversion, and against the refusal of too many patient ones.

    The first 7 s do not count: at 1.2 times the capacity the queue takes 4.3 s to reach
    the limit of urgent requests, and the level falls after that.
    """
    replay = Replay(hosts, steady(load)).run(15.0)
    urgent, patient = replay.served(URGENT, 7.0), replay.served(PATIENT, 7.0)
    assert abs(urgent - patient) <= 0.05
    # Capacity that levels leave unused would be refused for nothing.
    served_tokens = sum(TOKENS[p] for at, p, served in replay.counts if served)
    assert served_tokens >= 0.97 * 15.0 * CAPACITY_TOKENS_PER_S


def test_without_levels_urgent_requests_are_refused_for_patient_ones():
    replay = Replay(6, steady(1.8), with_levels=False).run(15.0)
    assert replay.served(URGENT, 3.0) < replay.served(PATIENT, 3.0) - 0.4


@pytest.mark.parametrize("hosts", SIZES)
def test_surge_of_5_s_is_shared_and_the_level_returns_to_1(hosts):
    """Guards against a level that stays low after a surge and refuses for nothing."""
    replay = Replay(hosts, lambda now: 2.0 if 2.0 <= now < 7.0 else 0.7).run(14.0)
    assert abs(replay.served(URGENT, 5.0, 7.0) - replay.served(PATIENT, 5.0, 7.0)) < 0.1
    means = [(at, statistics.mean(values)) for at, values in replay.history]
    assert min(mean for at, mean in means if at >= 13.0) >= 0.97
    # Urgent requests are still refused until the queue has drained.
    assert min(mean for at, mean in means if 7.0 <= at < 8.0) < 0.8
    before = [values for at, values in replay.history if at < 2.0]
    assert min(map(min, before)) == 1.0


@pytest.mark.parametrize(("hosts", "deviation"), [(6, 0.02), (72, 0.04), (400, 0.1)])
def test_levels_of_hosts_agree(hosts, deviation):
    """Guards against hosts that refuse what others of the region admit.

    With 400 hosts a host knows the demand of a third of them, at a few requests per
    second each.
    """
    replay = Replay(hosts, steady(1.8), lost=0.05).run(10.0)
    for at, values in replay.history:
        if at >= 3.0:
            assert statistics.pstdev(values) < deviation


def test_without_the_pull_levels_of_hosts_differ(monkeypatch):
    """A host whose reports are lost takes up the others' level with it."""
    apart = {}
    for pull in (0.0, rank_levels._PULL):
        monkeypatch.setattr(rank_levels, "_PULL", pull)
        levels = make_levels()
        press(levels, 0.0, 4.0)
        levels._levels["engines"].value = 0.9
        for tick in range(20):
            now = 4.0 + tick * REGION_HEARTBEAT_S
            report = [entry(1000, 450), entry(500, 225, 550, priority=PATIENT)]
            levels.apply_report("a", report, now)
            levels.update(now)
            if tick == 8:
                apart[pull] = levels.level("engines") - 0.55
    assert apart[rank_levels._PULL] < 0.7 * apart[0.0]


@pytest.mark.parametrize("hosts", [6, 72])
def test_repeated_requests_count_as_asked_again(hosts):
    """Half of the refused callers return after a second."""
    replay = Replay(hosts, steady(1.5), retries=0.5).run(15.0)
    assert abs(replay.served(URGENT, 7.0) - replay.served(PATIENT, 7.0)) <= 0.05


def test_level_does_not_fall_below_the_least():
    """Guards against the starvation of a class."""
    replay = Replay(6, steady(8.0)).run(12.0)
    assert min(min(values) for _, values in replay.history) >= MIN_LEVEL
    assert replay.served(PATIENT, 6.0) > 0.02


def test_level_stays_while_few_urgent_tokens_are_refused():
    demand = RegionDemand(
        urgent_asked=1000, urgent_refused=29, patient_asked=500, patient_refused=0
    )
    assert next_level(1.0, demand) == 1.0
    demand = attrs.evolve(demand, urgent_refused=200)
    assert next_level(1.0, demand) < 1.0


def test_level_rises_if_patient_requests_are_refused_more():
    demand = RegionDemand(
        urgent_asked=1000, urgent_refused=100, patient_asked=500, patient_refused=300
    )
    assert next_level(0.5, demand) > 0.5


def test_level_falls_faster_than_it_rises():
    worst = RegionDemand(
        urgent_asked=1000, urgent_refused=1000, patient_asked=500, patient_refused=0
    )
    idle = attrs.evolve(worst, urgent_refused=0)
    assert 1.0 - next_level(1.0, worst) > next_level(0.5, idle) - 0.5 > 0


def ask(levels, now, refused, priority=URGENT):
    for _ in range(20):
        levels.record_asked("engines", priority, 1000, now)
        if refused:
            levels.record_refused("engines", priority, 1000, now)


def press(levels, start, end):
    """Update levels while urgent requests are refused; return the last time."""
    now = start
    while now < end:
        ask(levels, now, refused=True)
        ask(levels, now, refused=False, priority=PATIENT)
        levels.update(now)
        now += REGION_HEARTBEAT_S
    return now


def test_starting_host_takes_the_mean_of_the_first_reports():
    levels = make_levels()
    assert levels.level("engines") == 1.0
    assert levels.admits("engines", PATIENT, 0.999, 1.0)
    levels.update(1.0)
    assert levels.reports(1.0) == []
    for host, permille in (("a", 400), ("b", 600)):
        levels.apply_report(
            host,
            [entry(1000, 500), entry(1000, 500, permille, priority=PATIENT)],
            1.1,
        )
    levels.update(1.15)
    assert abs(levels.level("engines") - 0.5) < 0.01


def test_reports_of_starting_hosts_do_not_raise_the_level_of_others():
    """Two hosts start beside one with a low level; they have none to report."""
    starting = make_levels()
    starting.update(1.0)
    ask(starting, 1.0, refused=False, priority=PATIENT)
    assert [r.admitted_permille for r in starting.reports(1.0)] == [None]


def test_hosts_that_start_together_settle_without_reports():
    levels = make_levels()
    now = press(levels, 1.0, 1.2 + MAX_REPORT_AGE_S)
    assert levels.reports(now)[0].admitted_permille < 1000


def test_late_reports_do_not_count():
    """Heartbeats are lost: old figures would hold the level down."""
    levels = make_levels()
    levels.apply_report("a", [entry(10**6, 10**6)], 1.0)
    levels.update(1.0 + MAX_REPORT_AGE_S)
    fallen = levels.level("engines")
    assert fallen < 1.0
    levels.update(1.01 + MAX_REPORT_AGE_S)
    assert levels.level("engines") > fallen
    assert not levels._totals
    assert not levels._level_totals


def test_lost_heartbeats_leave_both_ranks_served_alike():
    replay = Replay(72, steady(1.8), lost=0.5).run(12.0)
    assert abs(replay.served(URGENT, 4.0) - replay.served(PATIENT, 4.0)) <= 0.05


def test_partitioned_host_continues_with_its_own_sums():
    levels = make_levels()
    for tick in range(20):
        now = tick * REGION_HEARTBEAT_S
        levels.apply_report(
            "a", [entry(9000, 9000), entry(level=300, priority=PATIENT)], now
        )
        levels.update(now)
    assert levels.level("engines") < 0.5
    # The other host is gone, and nothing is refused here.
    for tick in range(40):
        ask(levels, 3.0 + tick * REGION_HEARTBEAT_S, refused=False)
        levels.update(3.0 + tick * REGION_HEARTBEAT_S)
    assert levels.level("engines") == 1.0


def test_level_is_dropped_with_the_rank_of_its_service():
    levels = make_levels()
    now = press(levels, 1.0, 4.0)
    assert levels.level("engines") < 0.7
    for other in (UNRANKED, configuration(QUOTE, QUESTION, engines=False), None):
        levels.follow(other)
        assert levels.level("engines") == 1.0
        assert levels.admits("engines", PATIENT, 0.999, now)
        assert levels.reports(now) == []
        assert levels.gauges(now) == {}
        levels.update(now)
        levels.follow(RANKED)
        assert levels.level("engines") == 1.0
        press(levels, now, now + 3.0)


def test_configuration_with_other_ranks_counts_by_them():
    """Ranks 0 and 2 become 1 and 3: the sums of rank 2 are then urgent."""
    levels = make_levels()
    ask(levels, 1.0, refused=True, priority=PATIENT)
    levels.follow(
        configuration(
            attrs.evolve(QUOTE, priority=1), attrs.evolve(QUESTION, priority=3)
        )
    )
    assert levels.ranks == {"engines": (1, 3)}
    levels.update(1.0)
    assert levels.level("engines") < 1.0


def test_ended_host_is_forgotten():
    levels = make_levels()
    levels.apply_report("a", [entry(10**6, 10**6, 300)], 1.0)
    levels.forget("a")
    levels.forget("a")
    levels.update(1.0)
    assert levels.level("engines") == 1.0
    assert not levels._totals
    assert not levels._level_totals


def test_level_without_rounds_does_not_refuse():
    """The process was paused; its level is older than all reports."""
    levels = make_levels()
    now = press(levels, 1.0, 4.0)
    assert not levels.admits("engines", PATIENT, 0.99, now)
    assert levels.admits("engines", PATIENT, 0.99, now + MAX_REPORT_AGE_S + 1)


def test_urgent_requests_and_other_services_are_always_admitted():
    levels = make_levels()
    now = press(levels, 1.0, 4.0)
    assert levels.admits("engines", URGENT, 0.99, now)
    assert levels.admits("engines", 1, 0.99, now)
    assert levels.admits("desk", PATIENT, 0.99, now)


def test_services_that_are_not_ranked_are_not_counted():
    levels = make_levels(UNRANKED)
    ask(levels, 1.0, refused=True)
    levels.update(1.0)
    assert levels.reports(1.0) == []
    assert levels._sums == {}
    assert levels.retry_schedule("engines", URGENT) is None
    assert not levels.is_most_urgent("engines", URGENT)


def test_split_route_ranks_each_of_its_services():
    ranked = configuration(
        QUOTE, attrs.evolve(QUESTION, service="", split=(("engines", 1.0),))
    )
    assert find_ranks(ranked) == {"engines": (0, 2)}
    assert find_ranks(UNRANKED) == find_ranks(None) == {}


def test_report_is_bounded():
    levels = make_levels()
    for priority in range(100):
        levels.record_asked("engines", priority, 2**40, 1.0)
    reports = levels.reports(1.0)
    assert len(reports) <= 16
    assert all(r.asked < 2**31 for r in reports)
    levels.apply_report("a", [entry(1, 0, priority=p) for p in range(100)], 1.0)
    assert len(levels._totals) <= 16


def test_changes_of_a_tenth_are_noted_once():
    levels = make_levels()
    press(levels, 1.0, 4.0)
    changes = levels.take_changes()
    assert len(changes) >= 3
    for change in changes:
        assert abs(change["admitted"] - change["previous"]) >= 0.099
        assert change["service"] == "engines"
        assert change["urgent_refused"] > 0
    assert levels.take_changes() == []


def count_instructions(call):
    """Return how many bytecode instructions a call runs."""
    count = 0

    def trace(frame, event, arg):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(former)
    return count


def cost_of_a_round(hosts):
    """Return the instructions of a decision, of a round and of its reports."""
    levels = make_levels()
    reports = [entry(1000, 100), entry(500, 50, 800, priority=PATIENT)]
    for number in range(hosts):
        levels.apply_report(f"host-{number}", reports, 1.0)
    ask(levels, 1.0, refused=True)
    levels.update(1.0)

    def decide():
        levels.record_asked("engines", PATIENT, 600, 1.1)
        levels.admits("engines", PATIENT, 0.5, 1.1)

    def round_of_heartbeats():
        levels.update(1.1)
        levels.reports(1.1)
        levels.apply_report("host-1", reports, 1.1)

    return count_instructions(decide), count_instructions(round_of_heartbeats)


def test_cost_does_not_grow_with_hosts():
    for small, large in zip(cost_of_a_round(6), cost_of_a_round(400), strict=True):
        assert 0 < large <= 1.1 * small
