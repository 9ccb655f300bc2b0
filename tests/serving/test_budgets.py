"""Tests of limits that hosts share without messages."""

import random

from hypothesis import given
from hypothesis import strategies as st

from cactusmill.serving.budgets import RetryBudgets, WarmupPacer, warmup_hosts

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0
WARMUP_RATE_PER_S, WARMUP_OVERAGE, WARMUP_SLACK = 3.7, 1.5, 3.0


@given(
    seed=st.integers(0, 2**32),
    hosts=st.integers(1, 12),
    per_s=st.integers(1, 200),
    restarts=st.integers(0, 3),
)
def test_retries_of_all_hosts_stay_within_the_ratio(seed, hosts, per_s, restarts):
    rng = random.Random(seed)
    fleet = [RetryBudgets(RATIO, SLACK) for _ in range(hosts)]
    requests, retries = [], []
    restart_at = {rng.randrange(200) for _ in range(restarts)}
    for tick in range(300):
        now = tick / 10
        if tick in restart_at:
            fleet[rng.randrange(hosts)] = RetryBudgets(RATIO, SLACK)
        for _ in range(max(1, per_s // 10)):
            budget = fleet[rng.randrange(hosts)].for_service("desk", hosts)
            budget.record_request()
            requests.append(now)
            # Every request fails and is retried.
            if budget.spend():
                retries.append(now)
    for start in retries[:: max(1, len(retries) // 30)]:
        end = start + WINDOW_S
        requested = sum(start <= at <= end for at in requests)
        requested_before = sum(start - WINDOW_S <= at <= start for at in requests)
        sent = sum(start <= at <= end for at in retries)
        assert sent <= RATIO * max(requested, requested_before) + SLACK


@given(hosts=st.integers(1, 40), offset=st.floats(0, 1))
def test_warming_endpoint_receives_no_more_than_its_rate(hosts, offset):
    names = [f"h{n}" for n in range(hosts)]
    senders = warmup_hosts("engine", names)
    pacers = {name: WarmupPacer() for name in senders}
    sent = []
    for tick in range(300):
        now = offset + tick / 100
        for pacer in pacers.values():
            if pacer.may_send(now):
                pacer.record_sent(WARMUP_RATE_PER_S, len(senders), now)
                sent.append(now)
    for start in sent:
        inside = sum(start <= at < start + 1.0 for at in sent)
        assert inside <= WARMUP_RATE_PER_S * WARMUP_OVERAGE + WARMUP_SLACK


def test_hosts_with_the_same_membership_select_the_same_hosts():
    names = [f"h{n}" for n in range(20)]
    assert warmup_hosts("e", names) == warmup_hosts("e", names[::-1])


def test_retries_of_hosts_that_start_together_stay_within_the_slack():
    # A host uses its budget before it has heard of the others.
    hosts, slack = 68, 176.0
    retries = 0
    for _ in range(hosts):
        budgets = RetryBudgets(RATIO, slack)
        budgets.for_service("desk", 1)
        budget = budgets.for_service("desk", hosts)
        while budget.spend():
            retries += 1
    assert retries <= slack
