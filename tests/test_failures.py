"""Isolated regions, leaving endpoints, and requests that stop endpoints."""

import pytest
import trio

from cactusmill.internal import at_most_once, attempts, record_sync
from cactusmill.internal.crash_suspects import CrashSuspects
from cactusmill.internal.http import client_connection, perform_request
from standins.engine import CRASH_MARKER
from standins.simulation import CallFailedError, api_key_of, run_simulation

pytestmark = pytest.mark.histories
TEAM = "ljubljana"
LIMIT_S = 3.0


async def ask(sim, host, text, statuses, max_tokens=4):
    try:
        reply = await sim.chat(host, TEAM, text, max_tokens=max_tokens)
    except CallFailedError:
        statuses.append("cut")
    else:
        statuses.append(reply.status)


def test_isolated_region_goes_on_serving_even_through_a_restart():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        for other in ("osrednja-a", "primorska-a", "platform"):
            sim.network.partition("stajerska-a", other)
        statuses = []
        for number in range(100):
            if number == 40:
                sim.kill("stajerska-2")
                await sim.start_host("stajerska-2").ready.wait()
                await trio.sleep(2)
            host = f"stajerska-{number % 2 + 1}"
            await ask(sim, host, f"isolated {number}", statuses)
            identifier = (await sim.mint(host, TEAM))[0]
            headers = [(b"idempotency-key", identifier.encode())]
            order = await sim.call(
                host, "POST", "/enrolments", team=TEAM, headers=headers
            )
            statuses.append(order.status)
            await trio.sleep(0.4)
        return statuses

    assert set(run_simulation(scenario, 1)) == {200}


def test_check_sees_a_start_that_asks_no_seeds(monkeypatch):
    async def ask_nobody(host, address):
        pass

    monkeypatch.setattr(record_sync, "_sync_from_seed", ask_nobody)

    async def scenario(sim):
        await sim.start()
        for other in ("osrednja-a", "primorska-a", "platform"):
            sim.network.partition("stajerska-a", other)
        sim.kill("stajerska-2")
        with trio.move_on_after(30):
            await sim.start_host("stajerska-2").ready.wait()
            return True
        return False

    assert run_simulation(scenario, 1) is False


def offered_after_leaving(is_list_stale):
    """Return the statuses, and what a leaving endpoint is offered too late."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        leaving = sim.engines["engine-osrednja-1"]
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_steadily, sim, statuses, 12.0)
            await trio.sleep(3.0)
            _leave(sim, "engine-osrednja-1", is_list_stale)
            await trio.sleep(LIMIT_S)
            offered_by_then = leaving.offered
        return set(statuses), leaving.offered - offered_by_then

    return run_simulation(scenario, 1)


@pytest.mark.parametrize("is_list_stale", [False, True], ids=["listed", "list lags"])
def test_leaving_endpoint_gets_nothing_new_within_the_limit(is_list_stale):
    assert offered_after_leaving(is_list_stale) == ({200}, 0)


def test_check_sees_a_refusal_that_is_not_heeded(monkeypatch):
    monkeypatch.setattr(attempts, "LEAVING_HEADER", b"x-never-sent")
    _, offered = offered_after_leaving(is_list_stale=True)
    assert offered > 0


async def ask_steadily(sim, statuses, duration_s):
    end = trio.current_time() + duration_s
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            number += 1
            host = ("osrednja-1", "osrednja-2")[number % 2]
            nursery.start_soon(ask, sim, host, f"q {number}", statuses)
            await trio.sleep(0.1)


def _leave(sim, name, is_list_stale):
    if is_list_stale:
        sim.engines[name].is_leaving = True
        return
    body = next(c["body"] for c in sim.host_list._changes(0) if c["name"] == name)
    sim.host_list.put("endpoint", name, {**body, "state": "leaving"})


def crash_storm(seed, hosts, gap_s=0.5, neighbours=True):
    """Resend a request that crashes engines, among innocent ones."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        kills, innocent, guilty = [], [], []
        real_kill = sim.kill

        def kill(name):
            kills.append(name)
            real_kill(name)
            sim.nursery.start_soon(revive_soon, sim, name)

        for name, engine in sim.engines.items():
            engine.crash = lambda name=name: kill(name)
        async with trio.open_nursery() as nursery:
            for number in range(40):
                if neighbours:
                    host = sim.rng.choice(sorted(sim.settings))
                    nursery.start_soon(
                        ask, sim, host, f"innocent {number}", innocent, 40
                    )
                if number % 5 == 2:
                    host = hosts[(number // 5) % len(hosts)]
                    nursery.start_soon(ask, sim, host, CRASH_MARKER, guilty)
                await trio.sleep(gap_s)
        return kills, innocent, guilty

    return run_simulation(scenario, seed)


async def revive_soon(sim, name):
    await trio.sleep(1.0)
    sim.restart(name)


ALL_HOSTS = [
    f"{region}-{n}" for region in ("osrednja", "stajerska", "primorska") for n in (1, 2)
]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crashing_request_stops_after_two_endpoints(seed):
    kills, innocent, guilty = crash_storm(seed, ALL_HOSTS)
    print(f"seed {seed}: kills {kills} innocent {innocent} guilty {guilty}")
    assert len(kills) <= 2
    assert guilty[-1] == 422
    assert innocent.count(200) >= len(innocent) - 2


def test_check_sees_a_fleet_without_memory_of_deaths(monkeypatch):
    monkeypatch.setattr(CrashSuspects, "is_blocked", lambda self, digest, now: False)
    kills, _, _ = crash_storm(1, ALL_HOSTS)
    assert len(kills) > 2


def test_shutdown_serves_what_arrives_on_idle_connections():
    """A caller that heeds the announced idle time is never cut off."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        host = sim.hosts["osrednja-1"]
        results = []
        async with trio.open_nursery() as nursery:
            for idle_s in (0.1, 0.9, 1.5, 2.5, 2.9):
                nursery.start_soon(use_idle_connection, sim, idle_s, results)
            await trio.sleep(0.2)
            nursery.start_soon(host.shut_down)
        ended_at = trio.current_time()
        with trio.fail_after(10):
            while host.caller_connections:
                await trio.sleep(0.1)
        return results, ended_at < 30

    results, has_ended = run_simulation(scenario, 1)
    assert results == [(200, 200)] * 5
    assert has_ended


async def use_idle_connection(sim, idle_s, results):
    """Ask, stay idle for less than the announced time, and ask again."""
    statuses = []
    machine = sim.machine("idle caller", "osrednja-a")
    network = sim.network.network_of(machine)
    stream = await network.connect(sim.settings["osrednja-1"]["callers"], 5.0)
    conn = client_connection(stream)
    headers = [
        (b"host", b"x"),
        (b"authorization", b"Bearer " + api_key_of(TEAM).encode()),
    ]
    for wait_s in (0.0, idle_s):
        await trio.sleep(wait_s)
        status, got, _ = await perform_request(conn, "GET", "/v1/hosts", headers)
        statuses.append(status)
        if dict(got).get(b"connection") != b"close":
            assert idle_s < float(dict(got)[b"keep-alive"].partition(b"=")[2])
            conn.h11.start_next_cycle()
    results.append(tuple(statuses))
    await trio.aclose_forcefully(stream)


def test_newcomers_spill_when_the_zone_loses_its_endpoints_under_a_queue():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(9)
        flood, newcomers = [], []
        async with trio.open_nursery() as nursery:
            for number in range(60):
                text = f"flood {number}"
                nursery.start_soon(ask, sim, "osrednja-1", text, flood, 40)
            await trio.sleep(0.1)
            assert len(sim.hosts["osrednja-1"].queue_for("povzetek-7b")) > 0
            for engine in ("engine-osrednja-1", "engine-osrednja-2"):
                sim.kill(engine)
            for number in range(20):
                await trio.sleep(0.01)
                text = f"newcomer {number}"
                nursery.start_soon(ask, sim, "osrednja-1", text, newcomers)
        return newcomers

    assert set(run_simulation(scenario, 1)) == {200}


def test_an_endpoint_out_of_reach_makes_no_suspects():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        host, engines = (
            sim.hosts["osrednja-1"],
            ("engine-osrednja-1", "engine-osrednja-2"),
        )
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, sim, "osrednja-1", "long", statuses, 300)
            await trio.sleep(0.05)
            for engine in engines:
                sim.network.partition("osrednja-1", engine)
                for stream in list(sim.machines[engine].streams):
                    stream.reset()
        return host.suspects._by_digest

    assert run_simulation(scenario, 1) == {}


def test_a_fault_while_running_once_ends_the_request_only(monkeypatch):
    async def fail(host, req):
        raise KeyError("a fault of the program")

    monkeypatch.setattr(at_most_once, "_admit_and_send", fail)

    async def scenario(sim):
        await sim.start()
        identifier = (await sim.mint("osrednja-1", TEAM))[0]
        headers = [(b"idempotency-key", identifier.encode())]
        reply = await sim.call(
            "osrednja-1", "POST", "/enrolments", team=TEAM, headers=headers
        )
        host = sim.hosts["osrednja-1"]
        noted, host.faults = host.faults, 0
        return reply.problem["outcome"], noted

    assert run_simulation(scenario, 1) == ("unknown", 1)
