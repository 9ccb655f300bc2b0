"""Unit tests of queues, retry budgets, running suspects, routing and burn rate."""

import collections
import random

import pytest

from cactusmill.internal.burn import BurnCounter, burn_rate
from cactusmill.internal.containment.running import RunningSuspects
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


def woken(tickets):
    return [t for t in tickets if t.woken.is_set()]


def test_teams_take_turns_regardless_of_queue_length():
    queue = FairQueue()
    surging = [queue.enqueue("surging", 1.0, 1.0) for _ in range(20)]
    calm = [queue.enqueue("calm", 1.0, 1.0) for _ in range(3)]
    for _ in range(6):
        queue.wake_next()
    assert (len(woken(surging)), len(woken(calm))) == (3, 3)


def test_turns_are_proportional_to_weight():
    queue = FairQueue()
    heavy = [queue.enqueue("heavy", 1.0, 2.0) for _ in range(12)]
    light = [queue.enqueue("light", 1.0, 1.0) for _ in range(12)]
    for _ in range(9):
        queue.wake_next()
    assert (len(woken(heavy)), len(woken(light))) == (6, 3)


def test_idle_team_accumulates_no_credit():
    queue = FairQueue()
    first = [queue.enqueue("busy", 1.0, 1.0) for _ in range(10)]
    for _ in range(8):
        queue.wake_next()
    late = [queue.enqueue("late", 1.0, 1.0) for _ in range(10)]
    for _ in range(4):
        queue.wake_next()
    assert len(woken(first)) == 10
    assert len(woken(late)) == 2


def test_expected_wait_ignores_another_teams_surge():
    queue = FairQueue()
    for _ in range(100):
        queue.enqueue("surging", 1.0, 1.0)
    calm = queue.expected_wait_s("calm", 10.0, lambda team: 1.0)
    surging = queue.expected_wait_s("surging", 10.0, lambda team: 1.0)
    assert calm < surging / 10


def test_expected_wait_without_capacity_is_infinite():
    assert FairQueue().expected_wait_s("t", 0, lambda team: 1.0) == float("inf")


def test_retries_are_a_fraction_of_successes():
    budgets = RetryBudgets()
    while budgets.spend("t"):
        pass
    for _ in range(100):
        budgets.record_success("t", 0.1)
    spent = 0
    while budgets.spend("t"):
        spent += 1
    assert 9 <= spent <= 10


def test_failing_team_does_not_use_up_another_teams_retries():
    budgets = RetryBudgets()
    for _ in range(200):
        budgets.record_success("calm", 0.1)
    while budgets.spend("failing"):
        pass
    assert budgets.spend("calm")


def test_hosts_with_the_same_load_report_spread_over_endpoints():
    chosen = collections.Counter(
        choose_endpoint(candidates([0, 0, 0, 0]), "", random.Random(host)).name
        for host in range(400)
    )
    assert len(chosen) == 4
    assert max(chosen.values()) < 160


def test_affinity_holds_until_the_endpoint_is_overloaded():
    rng = random.Random(1)
    idle = candidates([0, 0, 0, 0], capacity=16)
    preferred = choose_endpoint(idle, "prefix", rng).name
    assert all(
        choose_endpoint(idle, "prefix", rng).name == preferred for _ in range(20)
    )
    loads = [12 if f"e{i}" == preferred else 1 for i in range(4)]
    assert choose_endpoint(candidates(loads, 16), "prefix", rng).name != preferred


def test_full_or_unusable_endpoints_are_not_chosen():
    full = candidates([4, 4])
    assert choose_endpoint(full, "prefix", random.Random(1)) is None
    unusable = [Candidate(endpoint("e"), 0, 0.0, False)]
    assert choose_endpoint(unusable, "", random.Random(1)) is None


def test_two_suspects_never_run_on_the_same_endpoint():
    suspects = RunningSuspects()
    suspects.start("one", "e")
    assert not suspects.may_run_on("other", "e")
    suspects.stop("one", "e")
    assert suspects.may_run_on("other", "e")


def test_burn_counter_counts_each_window_separately():
    counter = BurnCounter()
    for now, is_good in ((0.0, False), (3000.0, True), (3000.0, False)):
        counter.record("t", "chat", is_good, now)
    short, long = counter.counts(3010.0)
    assert (short.good, short.bad) == (1, 1)
    assert (long.good, long.bad) == (1, 2)


@pytest.mark.parametrize(
    ("good", "bad", "rate"), [(999, 1, 1.0), (0, 0, 0.0), (90, 10, 100.0)]
)
def test_burn_rate_is_relative_to_the_error_budget(good, bad, rate):
    assert burn_rate(good, bad, 0.999) == pytest.approx(rate)
