"""A team's rate and burst across all hosts, under skew and faults."""

import pytest
import trio

from cactusmill.internal import admission, limits
from standins.rates import use_rate
from standins.simulation import run_world

pytestmark = pytest.mark.histories
TEAM = "ljubljana"
ZONES = ("osrednja", "stajerska", "primorska")
EVEN = {f"{zone}-{n}": 1 for zone in ZONES for n in (1, 2)}
ONE_HOST = {"osrednja-1": 1}
FILL_S = 11


def run_rates(seed, weights, demand, duration_s=20.0, fault_gap_s=None, disturb=None):
    async def scenario(world):
        await world.start()
        await trio.sleep(FILL_S)
        if disturb is not None:
            world.nursery.start_soon(disturb, world)
        return await use_rate(
            world,
            team=TEAM,
            demand=demand,
            weights=weights,
            duration_s=duration_s,
            fault_gap_s=fault_gap_s,
        )

    history = run_world(scenario, seed)
    print(
        f"seed {seed}: answered {history.answered} refused {history.refused} "
        f"failed {history.failed} worst use {history.worst_use():.3f} "
        f"faults {history.faults}"
    )
    return history


async def replace_hosts(world):
    """Kill and start the hosts one after the other, again and again."""
    while True:
        for name in EVEN:
            world.kill(name)
            await trio.sleep(0.1)
            await world.start_host(name).ready.wait()


async def no_loans(host, req, account):
    pass


@pytest.mark.parametrize("weights", [EVEN, ONE_HOST], ids=["even", "one host"])
def test_surge_is_held_to_rate_and_burst(weights):
    history = run_rates(1, weights, demand=4.0)
    assert history.worst_use() <= 1.0
    assert history.refused > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_surge_under_faults_is_held_to_rate_and_burst(seed):
    history = run_rates(seed, EVEN, demand=3.0, fault_gap_s=0.7)
    assert sum(history.faults.values()) > 10
    assert history.worst_use() <= 1.0


def test_replaced_hosts_keep_to_rate_and_burst():
    history = run_rates(1, EVEN, demand=4.0, disturb=replace_hosts)
    assert history.answered > 50
    assert history.worst_use() <= 1.0


def test_within_rate_nothing_is_refused_while_nothing_fails():
    assert run_rates(1, EVEN, demand=0.8).refused_share < 0.001


def test_skewed_within_rate_is_refused_a_tenth_as_often_as_by_fixed_shares(
    monkeypatch,
):
    with_loans = run_rates(1, ONE_HOST, demand=0.8).refused_share
    monkeypatch.setattr(admission, "_borrow", no_loans)
    fixed_shares = run_rates(1, ONE_HOST, demand=0.8).refused_share
    assert fixed_shares > 0.3
    assert with_loans <= 0.1 * fixed_shares


def test_check_sees_a_process_that_starts_full(monkeypatch):
    real_account = limits.RateLimiter.account

    def start_full(self, records, team, now):
        held = self._accounts.get(team.name)
        is_new = held is None or held.share.burst == 0
        account = real_account(self, records, team, now)
        if is_new:
            account.share._base_level = account.share.burst
        return account

    monkeypatch.setattr(limits.RateLimiter, "account", start_full)
    history = run_rates(1, EVEN, demand=4.0, disturb=replace_hosts)
    assert history.worst_use() > 1.0
