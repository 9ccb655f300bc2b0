"""Queues, retries, suspects, routing and burn: the single decisions."""

import collections
import random

import pytest

from cactusmill.internal.burn import BurnLog, burn_rate
from cactusmill.internal.crash_suspects import SUSPECT_TTL_S, CrashSuspects
from cactusmill.internal.queues import FairQueue
from cactusmill.internal.retries import RetryBudgets
from cactusmill.internal.routing import Candidate, choose_endpoint
from cactusmill.records import Endpoint


def endpoint(name, capacity=4):
    return Endpoint(
        name=name,
        zone="z",
        region="r",
        address="127.0.0.1:1",
        serves=("m",),
        capacity=capacity,
    )


def candidates(loads, capacity=4):
    return [
        Candidate(endpoint(f"e{i}", capacity), load, 0.0, True)
        for i, load in enumerate(loads)
    ]


def called(tickets):
    return [t for t in tickets if t.woken.is_set()]


def test_teams_take_turns_whatever_one_of_them_queues():
    queue = FairQueue()
    surging = [queue.enqueue("surging", 1.0, 1.0) for _ in range(20)]
    calm = [queue.enqueue("calm", 1.0, 1.0) for _ in range(3)]
    for _ in range(6):
        queue.wake_next()
    assert (len(called(surging)), len(called(calm))) == (3, 3)


def test_weight_and_cost_set_the_turns():
    queue = FairQueue()
    heavy = [queue.enqueue("heavy", 1.0, 2.0) for _ in range(12)]
    light = [queue.enqueue("light", 1.0, 1.0) for _ in range(12)]
    for _ in range(9):
        queue.wake_next()
    assert (len(called(heavy)), len(called(light))) == (6, 3)


def test_a_team_returning_after_a_pause_is_not_owed_the_past():
    queue = FairQueue()
    first = [queue.enqueue("busy", 1.0, 1.0) for _ in range(10)]
    for _ in range(8):
        queue.wake_next()
    late = [queue.enqueue("late", 1.0, 1.0) for _ in range(10)]
    for _ in range(4):
        queue.wake_next()
    assert len(called(first)) == 10
    assert len(called(late)) == 2


def test_expected_wait_of_a_calm_team_ignores_a_surge():
    queue = FairQueue()
    for _ in range(100):
        queue.enqueue("surging", 1.0, 1.0)
    calm = queue.expected_wait_s("calm", 10.0, lambda team: 1.0)
    surging = queue.expected_wait_s("surging", 10.0, lambda team: 1.0)
    assert calm < surging / 10


def test_no_capacity_means_an_endless_wait():
    assert FairQueue().expected_wait_s("t", 0, lambda team: 1.0) == float("inf")


def test_retries_are_a_share_of_successes():
    budgets = RetryBudgets()
    while budgets.spend("t"):
        pass
    for _ in range(100):
        budgets.record_success("t", 0.1)
    spent = 0
    while budgets.spend("t"):
        spent += 1
    assert 9 <= spent <= 10


def test_one_teams_failures_leave_another_its_retries():
    budgets = RetryBudgets()
    for _ in range(200):
        budgets.record_success("calm", 0.1)
    while budgets.spend("failing"):
        pass
    assert budgets.spend("calm")


def test_hosts_with_the_same_report_spread():
    chosen = collections.Counter(
        choose_endpoint(candidates([0, 0, 0, 0]), "", random.Random(host)).name
        for host in range(400)
    )
    assert len(chosen) == 4
    assert max(chosen.values()) < 160


def test_affinity_holds_until_its_endpoint_is_well_above_the_average():
    rng = random.Random(1)
    idle = candidates([0, 0, 0, 0], capacity=16)
    home = choose_endpoint(idle, "prefix", rng).name
    assert all(choose_endpoint(idle, "prefix", rng).name == home for _ in range(20))
    loads = [12 if f"e{i}" == home else 1 for i in range(4)]
    assert choose_endpoint(candidates(loads, 16), "prefix", rng).name != home


def test_full_or_unusable_endpoints_are_not_chosen():
    full = candidates([4, 4])
    assert choose_endpoint(full, "prefix", random.Random(1)) is None
    gone = [Candidate(endpoint("e"), 0, 0.0, False)]
    assert choose_endpoint(gone, "", random.Random(1)) is None


def test_two_deaths_condemn_for_a_while():
    suspects = CrashSuspects()
    assert suspects.record_crash("d", 0.0) == 1
    assert not suspects.is_blocked("d", 0.0)
    suspects.merge_crash_count("d", 2, 1.0)
    assert suspects.is_blocked("d", 2.0)
    assert not suspects.is_blocked("d", 2.0 + SUSPECT_TTL_S)


def test_suspects_do_not_share_an_endpoint():
    suspects = CrashSuspects()
    suspects.start("one", "e")
    assert not suspects.may_run_on("other", "e")
    suspects.stop("one", "e")
    assert suspects.may_run_on("other", "e")


def test_burn_counts_windows_apart():
    log = BurnLog()
    for now, is_good in ((0.0, False), (3000.0, True), (3000.0, False)):
        log.record("t", "chat", is_good, now)
    short, long = log.counts(3010.0)
    assert (short.good, short.bad) == (1, 1)
    assert (long.good, long.bad) == (1, 2)


@pytest.mark.parametrize(
    ("good", "bad", "rate"), [(999, 1, 1.0), (0, 0, 0.0), (90, 10, 100.0)]
)
def test_burn_rate_is_the_multiple_of_what_is_allowed(good, bad, rate):
    assert burn_rate(good, bad, 0.999) == pytest.approx(rate)
