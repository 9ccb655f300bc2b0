"""A team's rate and burst across all hosts, with skewed demand and faults."""

import pytest
import trio

from cactusmill.internal import admission, limits
from standins.rates import send_rate_load
from standins.simulation import run_simulation

pytestmark = pytest.mark.histories
TEAM = "ljubljana"
ZONES = ("osrednja", "stajerska", "primorska")
EVEN = {f"{zone}-{n}": 1 for zone in ZONES for n in (1, 2)}
ONE_HOST = {"osrednja-1": 1}
BUCKET_FILL_S = 11


def run_rates(
    seed,
    host_weights,
    load_factor,
    duration_s=20.0,
    mean_fault_gap_s=None,
    disturbance=None,
):
    async def scenario(sim):
        await sim.start()
        await trio.sleep(BUCKET_FILL_S)
        if disturbance is not None:
            sim.nursery.start_soon(disturbance, sim)
        return await send_rate_load(
            sim,
            team=TEAM,
            load_factor=load_factor,
            host_weights=host_weights,
            duration_s=duration_s,
            mean_fault_gap_s=mean_fault_gap_s,
        )

    history = run_simulation(scenario, seed)
    print(
        f"seed {seed}: answered {history.answered} refused {history.refused} "
        f"failed {history.failed} peak usage {history.peak_usage_ratio():.3f} "
        f"faults {history.faults}"
    )
    return history


async def replace_hosts(sim):
    """Kill and restart the hosts one after the other in a loop."""
    while True:
        for name in EVEN:
            sim.kill(name)
            await trio.sleep(0.1)
            await sim.start_host(name).ready.wait()


async def no_loans(host, req, account):
    pass


@pytest.mark.parametrize("host_weights", [EVEN, ONE_HOST], ids=["even", "one host"])
def test_surge_is_limited_to_rate_and_burst(host_weights):
    history = run_rates(1, host_weights, load_factor=4.0)
    assert history.peak_usage_ratio() <= 1.0
    assert history.refused > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_surge_under_faults_is_limited_to_rate_and_burst(seed):
    history = run_rates(seed, EVEN, load_factor=3.0, mean_fault_gap_s=0.7)
    assert sum(history.faults.values()) > 10
    assert history.peak_usage_ratio() <= 1.0


def test_replaced_hosts_stay_within_rate_and_burst():
    history = run_rates(1, EVEN, load_factor=4.0, disturbance=replace_hosts)
    assert history.answered > 50
    assert history.peak_usage_ratio() <= 1.0


def test_no_refusals_within_rate_without_faults():
    assert run_rates(1, EVEN, load_factor=0.8).refused_fraction < 0.001


def test_loans_cut_refusals_of_skewed_demand_to_a_tenth(
    monkeypatch,
):
    with_loans = run_rates(1, ONE_HOST, load_factor=0.8).refused_fraction
    monkeypatch.setattr(admission, "_borrow", no_loans)
    fixed_shares = run_rates(1, ONE_HOST, load_factor=0.8).refused_fraction
    assert fixed_shares > 0.3
    assert with_loans <= 0.1 * fixed_shares


def test_check_detects_a_process_that_starts_with_a_full_bucket(monkeypatch):
    real_account = limits.RateLimiter.account

    def start_full(self, records, team, now):
        existing = self._accounts.get(team.name)
        is_new = existing is None or existing.bucket.burst == 0
        account = real_account(self, records, team, now)
        if is_new:
            account.bucket._checkpoint_level = account.bucket.burst
        return account

    monkeypatch.setattr(limits.RateLimiter, "account", start_full)
    history = run_rates(1, EVEN, load_factor=4.0, disturbance=replace_hosts)
    assert history.peak_usage_ratio() > 1.0
