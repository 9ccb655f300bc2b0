"""A change is in force on every reachable host within 3 s and never reverts."""

import pytest
import trio

from cactusmill.internal import host_process as host_module
from cactusmill.internal import platform_client
from cactusmill.internal.configuration import RecordStore
from cactusmill.internal.platform_client import PlatformClient
from standins.simulation import run_simulation

pytestmark = pytest.mark.histories
LIMIT_S = 3.0


def rate_of(host, team="kranj"):
    return host.records.get("team", team).rate_tokens_per_s


def put_rate(sim, rate, team="kranj"):
    body = {"rate_tokens_per_s": rate, "burst_tokens": 3000}
    return sim.configuration.put("team", team, body)


async def measure_seconds_until(condition):
    start = trio.current_time()
    while not condition():
        await trio.sleep(0.01)
        assert trio.current_time() - start < 30
    return trio.current_time() - start


def is_in_force(sim, rate):
    return lambda: all(rate_of(host) == rate for host in sim.hosts.values())


def run(step_function, seed=1):
    async def scenario(sim):
        await sim.start()
        await trio.sleep(3)
        return await step_function(sim)

    return run_simulation(scenario, seed)


def test_change_is_in_force_within_the_limit():
    async def step(sim):
        put_rate(sim, 77)
        return await measure_seconds_until(is_in_force(sim, 77))

    assert run(step) <= LIMIT_S


def test_zone_partitioned_from_the_platform_pulls_from_peers():
    async def step(sim):
        sim.network.partition("primorska-a", "platform")
        await trio.sleep(1)
        put_rate(sim, 77)
        return await measure_seconds_until(is_in_force(sim, 77))

    assert run(step) <= LIMIT_S


def seconds_until_in_force_after_silence(silent_s):
    """Return the time until a change is in force after the service was unresponsive.

    In seconds; None if that takes more than 20 s.
    """

    async def step(sim):
        sim.configuration.is_silent = True
        await trio.sleep(silent_s)
        sim.configuration.is_silent = False
        put_rate(sim, 77)
        with trio.move_on_after(20):
            return await measure_seconds_until(is_in_force(sim, 77))
        return None

    return run(step)


# Various ages of the pending watch at the time the service responds again.
@pytest.mark.parametrize("silent_s", [9.0, 9.4, 9.8, 10.2, 10.6, 11.0, 11.4, 11.8])
def test_unresponsive_watches_are_replaced(silent_s):
    assert seconds_until_in_force_after_silence(silent_s) <= LIMIT_S


def test_check_detects_watches_without_a_timeout(monkeypatch):
    monkeypatch.setattr(platform_client, "_RESPONSE_MARGIN_S", 1e6)
    assert seconds_until_in_force_after_silence(9.0) is None


def test_change_after_a_platform_outage_is_in_force_within_the_limit():
    async def step(sim):
        sim.configuration.is_down = True
        await trio.sleep(20)
        sim.configuration.is_down = False
        put_rate(sim, 77)
        return await measure_seconds_until(is_in_force(sim, 77))

    assert run(step) <= LIMIT_S


def rates_after_restart(is_platform_stale):
    """Return all rates in force on any host after a host restarts.

    The platform is stale or unreachable at the time of the restart.
    """

    async def step(sim):
        previous_version = sim.configuration.version
        put_rate(sim, 77)
        await trio.sleep(LIMIT_S)
        if is_platform_stale:
            sim.configuration.stale_at = previous_version
        else:
            sim.configuration.is_down = sim.host_list.is_down = True
        sim.kill("stajerska-1")
        host = sim.start_host("stajerska-1")
        await host.ready.wait()
        seen = [rate_of(host)]
        for _ in range(50):
            await trio.sleep(0.1)
            seen.extend(rate_of(h) for h in sim.hosts.values())
        return set(seen)

    return run(step)


@pytest.mark.parametrize("is_platform_stale", [True, False])
def test_restarted_host_never_applies_an_outdated_record(is_platform_stale):
    assert rates_after_restart(is_platform_stale) == {77}


def test_check_detects_a_host_that_does_not_ask_its_peers_first(monkeypatch):
    async def sync_with_platform_only(host):
        while not (host.records.version and host.host_list.version):
            await trio.sleep(0.0001)

    monkeypatch.setattr(host_module, "sync_initial_state", sync_with_platform_only)
    assert rates_after_restart(is_platform_stale=True) != {77}


def test_check_detects_records_that_revert(monkeypatch):
    real = RecordStore.apply

    def apply_any_version(self, changes, version, *args):
        for change in changes:
            self._changes.pop((change.kind, change.name, change.schema), None)
        self.version = version
        return real(self, changes, version, *args)

    monkeypatch.setattr(RecordStore, "apply", apply_any_version)
    monkeypatch.setattr(PlatformClient, "fetch", make_fetch_all(PlatformClient.fetch))
    assert rates_after_restart(is_platform_stale=True) != {77}


def make_fetch_all(fetch):
    async def fetch_from_start(self, since, wait_s):
        await trio.sleep(0.5)
        return await fetch(self, 0, 0.0)

    return fetch_from_start


def test_invalid_record_affects_no_other():
    async def step(sim):
        bad = {"rate_tokens_per_s": "fast", "burst_tokens": 3000}
        sim.configuration.put("team", "kranj", bad)
        sim.configuration.put("team", "kranj", {"new": "schema"}, schema=9)
        body = {"rate_tokens_per_s": 5, "burst_tokens": 50}
        sim.configuration.put("team", "koper", body)
        await trio.sleep(LIMIT_S)
        host = sim.hosts["osrednja-1"]
        return rate_of(host), rate_of(host, "koper"), str(host.records.faults()[0][1])

    kranj, koper, fault = run(step)
    assert (kranj, koper) == (300, 5)
    assert fault.startswith("team/kranj: rate_tokens_per_s: 'fast'")


def test_concurrent_changes_converge_to_the_platforms_order():
    async def step(sim):
        for rate in range(1, 60):
            put_rate(sim, rate)
            await trio.sleep(sim.rng.uniform(0, 0.1))
            if rate == 30:
                sim.network.partition("osrednja-a", "platform")
        sim.network.heal()
        await trio.sleep(LIMIT_S)
        return {rate_of(host) for host in sim.hosts.values()}

    assert run(step) == {59}


def test_platform_calls_fit_four_hundred_hosts():
    async def step(sim):
        services = (sim.configuration, sim.host_list)
        before = sum(s.calls for s in services)
        for number in range(20):
            put_rate(sim, number + 1)
            await trio.sleep(3)
        calls = sum(s.calls for s in services) - before
        return calls / 60 / len(sim.hosts)

    reads_per_s = run(step)
    print(f"{reads_per_s:.2f} reads/s per host with a change every 3 s")
    assert 400 * reads_per_s <= 2000
