"""Partitioned regions, leaving endpoints, and requests that crash endpoints."""

import pytest
import trio

from cactusmill.internal import (
    at_most_once,
    attempts,
    endpoints,
    record_sync,
)
from cactusmill.internal.containment import evidence as crash_evidence
from cactusmill.internal.containment import probe as crash_probe
from cactusmill.internal.containment.convictions import Convictions, Verdict
from cactusmill.internal.http import client_connection, perform_request
from standins.engine import CRASH_MARKER
from standins.simulation import CallFailedError, api_key_of, run_simulation

pytestmark = pytest.mark.histories
TEAM = "ljubljana"
LEAVING_PROPAGATION_LIMIT_S = 3.0


async def send_chat(sim, host, text, statuses, max_tokens=4):
    try:
        reply = await sim.chat(host, TEAM, text, max_tokens=max_tokens)
    except CallFailedError:
        statuses.append("cut")
    else:
        statuses.append(reply.status)


def test_partitioned_region_keeps_serving_through_a_host_restart():
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
            await send_chat(sim, host, f"isolated {number}", statuses)
            identifier = (await sim.mint(host, TEAM))[0]
            headers = [(b"idempotency-key", identifier.encode())]
            order = await sim.call(
                host, "POST", "/enrolments", team=TEAM, headers=headers
            )
            statuses.append(order.status)
            await trio.sleep(0.4)
        return statuses

    assert set(run_simulation(scenario, 1)) == {200}


def test_check_detects_a_start_without_seed_peers(monkeypatch):
    async def skip_seed(host, address):
        pass

    monkeypatch.setattr(record_sync, "_sync_from_seed", skip_seed)

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


def requests_after_leaving(is_list_stale):
    """Return all statuses and the count of requests to the endpoint after the limit."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        leaving = sim.engines["engine-osrednja-1"]
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_steadily, sim, statuses, 12.0)
            await trio.sleep(3.0)
            _start_leaving(sim, "engine-osrednja-1", is_list_stale)
            await trio.sleep(LEAVING_PROPAGATION_LIMIT_S)
            received_by_then = leaving.received_requests
        return set(statuses), leaving.received_requests - received_by_then

    return run_simulation(scenario, 1)


@pytest.mark.parametrize("is_list_stale", [False, True], ids=["listed", "list lags"])
def test_leaving_endpoint_gets_no_new_requests_after_the_limit(is_list_stale):
    assert requests_after_leaving(is_list_stale) == ({200}, 0)


def test_check_detects_an_ignored_leaving_refusal(monkeypatch):
    for module in (attempts, endpoints):
        monkeypatch.setattr(module, "LEAVING_HEADER", b"x-never-sent")
    _, received = requests_after_leaving(is_list_stale=True)
    assert received > 0


async def send_steadily(sim, statuses, duration_s):
    end = trio.current_time() + duration_s
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            number += 1
            host = ("osrednja-1", "osrednja-2")[number % 2]
            nursery.start_soon(send_chat, sim, host, f"q {number}", statuses)
            await trio.sleep(0.1)


def _start_leaving(sim, name, is_list_stale):
    if is_list_stale:
        sim.engines[name].is_leaving = True
        return
    body = next(c["body"] for c in sim.host_list.changes_since(0) if c["name"] == name)
    sim.host_list.put("endpoint", name, {**body, "state": "leaving"})


def run_crashing_requests(seed, hosts, gap_s=0.5, send_others=True, listens_s=0.0):
    """Send a request that crashes engines repeatedly, among harmless ones.

    A crashed engine goes on to accept connections for `listens_s`, in seconds, and
    then closes them.

    Returns the names of the crashed engines, and the statuses of the harmless requests
    and of the crashing one.
    """

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        crashed, harmless, crashing = [], [], []
        real_kill = sim.kill

        def kill(name):
            crashed.append(name)
            for stream in list(sim.machines[name].streams):
                stream.reset()
            if listens_s:
                sim.nursery.start_soon(kill_later, name)
            else:
                real_kill(name)
                sim.nursery.start_soon(restart_soon, sim, name)

        async def kill_later(name):
            await trio.sleep(listens_s)
            real_kill(name)
            await restart_soon(sim, name)

        for name, engine in sim.engines.items():
            engine.crash = lambda name=name: kill(name)
        async with trio.open_nursery() as nursery:
            for number in range(40):
                if send_others:
                    host = sim.rng.choice(sorted(sim.settings))
                    nursery.start_soon(
                        send_chat, sim, host, f"innocent {number}", harmless, 40
                    )
                if number % 5 == 2:
                    host = hosts[(number // 5) % len(hosts)]
                    nursery.start_soon(send_chat, sim, host, CRASH_MARKER, crashing)
                await trio.sleep(gap_s)
        return crashed, harmless, crashing

    return run_simulation(scenario, seed)


async def restart_soon(sim, name):
    await trio.sleep(1.0)
    sim.restart(name)


ALL_HOSTS = [
    f"{region}-{n}" for region in ("osrednja", "stajerska", "primorska") for n in (1, 2)
]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crashing_request_is_blocked_after_two_endpoints(seed):
    crashed, harmless, crashing = run_crashing_requests(seed, ALL_HOSTS)
    print(f"seed {seed}: crashed {crashed} harmless {harmless} crashing {crashing}")
    assert len(crashed) <= 2
    assert crashing[-1] == 422
    assert harmless.count(200) >= len(harmless) - 2


@pytest.mark.parametrize("listens_s", [0.001, 0.02, 0.045])
def test_crashing_request_is_blocked_if_engines_listen_on(listens_s):
    crashed, _, crashing = run_crashing_requests(1, ALL_HOSTS, listens_s=listens_s)
    print(f"listens {listens_s} s: crashed {crashed} crashing {crashing}")
    assert len(crashed) <= 2
    assert crashing[-1] == 422


def test_crashing_request_is_blocked_once_engines_refuse_connections():
    # None of the probes finds an engine gone.
    listens_s = 6 * crash_probe.SECOND_LOOK_S
    _, _, crashing = run_crashing_requests(1, ALL_HOSTS, listens_s=listens_s)
    assert crashing[-1] == 422


def test_check_detects_a_single_probe_without_further_evidence(monkeypatch):
    monkeypatch.setattr(crash_probe, "SECOND_LOOK_S", 0.0)
    monkeypatch.setattr(crash_evidence, "EVIDENCE_WINDOW_S", 0.001)
    crashed, _, _ = run_crashing_requests(1, ALL_HOSTS, listens_s=0.02)
    assert len(crashed) > 2


def test_check_detects_a_fleet_that_blocks_no_request(monkeypatch):
    passed = Verdict.PASS, None
    monkeypatch.setattr(Convictions, "judge", lambda *args: passed)
    crashed, _, _ = run_crashing_requests(1, ALL_HOSTS)
    assert len(crashed) > 2


def test_shutdown_serves_requests_on_idle_connections():
    """A caller that keeps to the announced idle timeout never loses a request."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        host = sim.hosts["osrednja-1"]
        results = []
        async with trio.open_nursery() as nursery:
            for idle_s in (0.1, 0.9, 1.5, 2.5, 2.9):
                nursery.start_soon(
                    send_two_requests_on_one_connection, sim, idle_s, results
                )
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


async def send_two_requests_on_one_connection(sim, idle_s, results):
    """Send a request, idle for less than the announced timeout, and send another."""
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
        status, response_headers, _ = await perform_request(
            conn, "GET", "/v1/hosts", headers
        )
        statuses.append(status)
        if dict(response_headers).get(b"connection") != b"close":
            assert idle_s < float(
                dict(response_headers)[b"keep-alive"].partition(b"=")[2]
            )
            conn.h11.start_next_cycle()
    results.append(tuple(statuses))
    await trio.aclose_forcefully(stream)


def test_new_requests_spill_over_when_a_zone_with_a_queue_loses_its_endpoints():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(9)
        queued, new_requests = [], []
        async with trio.open_nursery() as nursery:
            for number in range(60):
                text = f"flood {number}"
                nursery.start_soon(send_chat, sim, "osrednja-1", text, queued, 40)
            await trio.sleep(0.1)
            assert len(sim.hosts["osrednja-1"].queue_for("povzetek-7b")) > 0
            for engine in ("engine-osrednja-1", "engine-osrednja-2"):
                sim.kill(engine)
            for number in range(20):
                await trio.sleep(0.01)
                text = f"newcomer {number}"
                nursery.start_soon(send_chat, sim, "osrednja-1", text, new_requests)
        return new_requests

    assert set(run_simulation(scenario, 1)) == {200}


def test_unreachable_endpoint_creates_no_suspects():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        host, engines = (
            sim.hosts["osrednja-1"],
            ("engine-osrednja-1", "engine-osrednja-2"),
        )
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_chat, sim, "osrednja-1", "long", statuses, 300)
            await trio.sleep(0.05)
            for engine in engines:
                sim.network.partition("osrednja-1", engine)
                for stream in list(sim.machines[engine].streams):
                    stream.reset()
        return len(host.containment.suspicion)

    assert run_simulation(scenario, 1) == 0


def test_internal_error_in_an_at_most_once_run_ends_only_that_request(monkeypatch):
    async def fail(host, req):
        raise KeyError("simulated internal error")

    monkeypatch.setattr(at_most_once, "_admit_and_send", fail)

    async def scenario(sim):
        await sim.start()
        identifier = (await sim.mint("osrednja-1", TEAM))[0]
        headers = [(b"idempotency-key", identifier.encode())]
        reply = await sim.call(
            "osrednja-1", "POST", "/enrolments", team=TEAM, headers=headers
        )
        host = sim.hosts["osrednja-1"]
        recorded_faults, host.faults = host.faults, 0
        return reply.problem["outcome"], recorded_faults

    assert run_simulation(scenario, 1) == ("unknown", 1)
