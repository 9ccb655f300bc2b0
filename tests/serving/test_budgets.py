"""Budgets that hosts share without asking each other."""

import random

from hypothesis import given
from hypothesis import strategies as st

from cactusmill.serving.budgets import RetryBudgets, WarmupPacer, warmup_hosts

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0
COLD_PER_S, COLD_OVERAGE, COLD_SLACK = 3.7, 1.5, 3.0


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
            host = fleet[rng.randrange(hosts)].for_service("desk", hosts)
            host.record_request()
            requests.append(now)
            # Everything fails and is tried again.
            if host.spend():
                retries.append(now)
    for start in retries[:: max(1, len(retries) // 30)]:
        end = start + WINDOW_S
        asked = sum(start <= at <= end for at in requests)
        asked_before = sum(start - WINDOW_S <= at <= start for at in requests)
        sent = sum(start <= at <= end for at in retries)
        assert sent <= RATIO * max(asked, asked_before) + SLACK


@given(hosts=st.integers(1, 40), offset=st.floats(0, 1))
def test_cold_endpoint_gets_no_more_than_it_tolerates(hosts, offset):
    names = [f"h{n}" for n in range(hosts)]
    users = warmup_hosts("engine", names)
    paces = {name: WarmupPacer() for name in users}
    sent = []
    for tick in range(300):
        now = offset + tick / 100
        for pace in paces.values():
            if pace.may_send(now):
                pace.record_sent(COLD_PER_S, len(users), now)
                sent.append(now)
    for start in sent:
        inside = sum(start <= at < start + 1.0 for at in sent)
        assert inside <= COLD_PER_S * COLD_OVERAGE + COLD_SLACK


def test_hosts_with_the_same_view_choose_the_same_users():
    names = [f"h{n}" for n in range(20)]
    assert warmup_hosts("e", names) == warmup_hosts("e", names[::-1])
