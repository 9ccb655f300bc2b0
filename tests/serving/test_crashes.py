"""Crashes of endpoints on loopback, told from lost responses and silences."""

import contextlib

import pytest
import trio

from cactusmill.internal.containment.evidence import Interruptions
from cactusmill.internal.http import header, read_body
from cactusmill.serving.connections import ConnectionPool

from .test_whole_path import on_deployment

ENGINES = tuple((f"engine-{n}", "east-a", "engines") for n in range(4))
DESKS = (("desk-1", "east-a", "desk"), ("desk-2", "east-a", "desk"))


def crash_counts(host):
    suspicion = host.containment.suspicion
    requests = {r for crash in suspicion.crashes() for r in crash.candidates}
    return sorted(len(suspicion.request_weights(request)) for request in requests)


async def stop_later(deployment, endpoint, delay_s):
    await trio.sleep(delay_s)
    deployment.scopes[endpoint.name].cancel()


async def restart(deployment, endpoint, down_s):
    """Start an endpoint again at once under its name and address."""
    deployment.scopes[endpoint.name].cancel()
    await trio.sleep(down_s)
    port = int(endpoint.address.rpartition(":")[2])
    endpoint.handler = None
    scope = deployment.scopes[endpoint.name] = trio.CancelScope()
    while True:
        with contextlib.suppress(OSError):
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            break
        await trio.sleep(0.001)

    async def serve():
        with scope:
            await trio.serve_listeners(endpoint.serve, listeners)

    deployment.nursery.start_soon(serve)
    await trio.sleep(0.3)
    entry = endpoint.entry(born=1_700_000_009_000)
    deployment.store.put(f"servers/{endpoint.name}", entry)


def blocked_after(delay_s):
    """Return whether a request is blocked if listeners close this late, in seconds."""
    result = []

    async def scenario(deployment):
        host = deployment.hosts["e1"]

        async def crash(endpoint, conn, request):
            await read_body(conn, 10**6)
            endpoint.runs.append(header(request.headers, b"request-id"))
            deployment.nursery.start_soon(stop_later, deployment, endpoint, delay_s)
            return False

        for endpoint in deployment.endpoints.values():
            endpoint.handler = crash
        for number in range(6):
            reply = await deployment.send_request(
                "e1", "/chat/1", request_id=f"r-{number}", model="m"
            )
            await trio.sleep(delay_s / 2)
        assert crash_counts(host) in ([], [2], [3], [4])
        result.append(b"RequestSuspected" in reply.body)

    on_deployment(scenario, endpoints=ENGINES)
    return result[0]


@pytest.mark.parametrize("delay_s", [0.0, 0.0003, 0.001, 0.01, 0.04, 0.3])
def test_listener_may_close_around_or_after_the_probe(delay_s):
    assert blocked_after(delay_s)


def test_check_detects_unused_evidence(monkeypatch):
    monkeypatch.setattr(Interruptions, "confirm", lambda *args: [])
    assert not blocked_after(0.001)


def count_after_restart(monkeypatch, down_s, probe_delay_s):
    """Return the crashes counted against a request whose endpoint restarts at once."""
    probe_twice = ConnectionPool.probe_twice
    counts = []

    async def probe_late(pool, name, address, now):
        await trio.sleep(probe_delay_s)
        await probe_twice(pool, name, address, now)

    monkeypatch.setattr(ConnectionPool, "probe_twice", probe_late)

    async def scenario(deployment):
        async def crash(endpoint, conn, request):
            await read_body(conn, 10**6)
            deployment.nursery.start_soon(restart, deployment, endpoint, down_s)
            return False

        deployment.endpoints["desk-1"].handler = crash
        assert (await deployment.send_request("e1", "/order/1")).status == 502
        # The new incarnation answers before its entry is published.
        reply = await deployment.send_request("e1", "/order/2", request_id="r-2")
        assert reply.status == 200
        await trio.sleep(0.6)
        counts.extend(crash_counts(deployment.hosts["e1"]))

    on_deployment(scenario, endpoints=DESKS[:1])
    return counts


@pytest.mark.parametrize("down_s", [0.001, 0.01, 0.03])
def test_restart_before_the_probe_under_the_same_name_counts(monkeypatch, down_s):
    assert count_after_restart(monkeypatch, down_s, 0.1) == [1]


def test_check_detects_that_another_incarnation_is_no_evidence(monkeypatch):
    monkeypatch.setattr(Interruptions, "find_replaced", lambda *args: [])
    assert count_after_restart(monkeypatch, 0.01, 0.1) == []


def counts_after_removal(is_answering, is_store_down):
    """Return the crashes counted after a lost response and the entry's removal."""
    counts = []

    async def scenario(deployment):
        desk, host = deployment.endpoints["desk-1"], deployment.hosts["e1"]

        async def lose(endpoint, conn, request):
            await read_body(conn, 10**6)
            endpoint.handler = None
            return False

        desk.handler = lose
        assert (await deployment.send_request("e1", "/order/1")).status == 502
        if is_answering:
            await deployment.send_request("e1", "/order/2", request_id="r-2")
        if is_store_down:
            host.source_health.recovered_at = host.now()
        deployment.store.remove("servers/desk-1")
        await trio.sleep(0.3)
        counts.extend(crash_counts(host))

    on_deployment(scenario, endpoints=DESKS[:1])
    return counts


def test_removal_of_the_entry_counts():
    assert counts_after_removal(False, False) == [1]


def test_removal_after_an_answer_or_an_outage_of_the_store_does_not_count():
    assert counts_after_removal(True, False) == []
    assert counts_after_removal(False, True) == []


@pytest.mark.parametrize("seed", range(5))
def test_responses_lost_by_live_endpoints_make_no_suspects(seed):
    async def scenario(deployment):
        host = deployment.hosts["e1"]

        async def lose(endpoint, conn, request):
            await read_body(conn, 10**6)
            if host.rng.random() < 0.6:
                return False
            endpoint.handler = None
            await endpoint.run(conn, request)
            endpoint.handler = lose
            return True

        host.rng.seed(seed)
        for endpoint in deployment.endpoints.values():
            endpoint.handler = lose
        for number in range(12):
            await deployment.send_request("e1", "/look/1", request_id=f"r-{number}")
        assert crash_counts(host) == []

    on_deployment(scenario, endpoints=DESKS)


@pytest.mark.parametrize("silence_s", [0.8, 1.2, 1.9])
@pytest.mark.parametrize("route", ["look", "order"])
def test_silences_make_no_suspects(silence_s, route):
    async def scenario(deployment):
        async def be_silent(endpoint, conn, request):
            for other in deployment.endpoints.values():
                other.handler = None
            await trio.sleep(silence_s)
            await endpoint.run(conn, request)
            return True

        for endpoint in deployment.endpoints.values():
            endpoint.handler = be_silent
        assert (await deployment.send_request("e1", f"/{route}/1")).status == 200
        host = deployment.hosts["e1"]
        assert crash_counts(host) == [] and not len(host.containment.interruptions)

    on_deployment(scenario, endpoints=DESKS)
