"""A revoked key is rejected on all hosts within seconds, and no key is forwarded."""

import json

import h11
import pytest
import trio

from cactusmill.internal.http import client_connection
from cactusmill.internal.key_scopes import KeyScopes
from standins.simulation import api_key_digest, api_key_of, run_simulation

pytestmark = pytest.mark.histories
TEAM = "ljubljana"
LIMIT_S = 3.0


def revoke(sim, team=TEAM):
    body = {
        "digest": api_key_digest(api_key_of(team)),
        "team": team,
        "state": "withdrawn",
    }
    sim.configuration.put("key", f"{team}-1", body)


async def open_caller_connection(sim, host):
    machine = sim.machine("open-caller", sim.settings[host]["zone"])
    network = sim.network.network_of(machine)
    stream = await network.connect(sim.settings[host]["callers"], 5.0)
    return client_connection(stream)


async def send_chat(conn, max_tokens):
    body = json.dumps(
        {
            "model": "povzetek-7b",
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": "a long answer, please"}],
        }
    ).encode()
    head = h11.Request(
        method="POST",
        target="/v1/chat/completions",
        headers=[
            ("host", "x"),
            ("authorization", f"Bearer {api_key_of(TEAM)}"),
            ("content-length", str(len(body))),
        ],
    )
    await conn.send(head, h11.Data(data=body), h11.EndOfMessage())
    return await conn.next_event()


async def stream_until_interrupted(sim, host):
    """Return the time in seconds from a key's revocation to its stream's interruption.

    None if the stream was completed.
    """
    conn = await open_caller_connection(sim, host)
    response = await send_chat(conn, max_tokens=1500)
    assert response.status_code == 200
    await trio.sleep(0.5)
    revoke(sim)
    revoked_at = trio.current_time()
    try:
        while await conn.next_data() is not None:
            pass
    except h11.RemoteProtocolError:
        return trio.current_time() - revoked_at
    return None


@pytest.mark.parametrize(
    "is_platform_partitioned", [False, True], ids=["reached", "by peers only"]
)
def test_revocation_interrupts_a_running_stream(is_platform_partitioned):
    async def scenario(sim):
        await sim.start()
        await trio.sleep(9)
        if is_platform_partitioned:
            sim.network.partition("stajerska-a", "platform")
        return await stream_until_interrupted(sim, "stajerska-1")

    assert run_simulation(scenario, 1) <= LIMIT_S


def test_check_detects_a_stream_that_continues_after_revocation(monkeypatch):
    monkeypatch.setattr(KeyScopes, "cancel_withdrawn", lambda self, records: None)

    async def scenario(sim):
        await sim.start()
        await trio.sleep(9)
        return await stream_until_interrupted(sim, "stajerska-1")

    assert run_simulation(scenario, 1) is None


def test_revocation_applies_to_an_open_connection():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(9)
        conn = await open_caller_connection(sim, "primorska-1")
        first = await send_chat(conn, max_tokens=2)
        while await conn.next_data() is not None:
            pass
        conn.h11.start_next_cycle()
        revoke(sim)
        await trio.sleep(LIMIT_S)
        second = await send_chat(conn, max_tokens=2)
        return first.status_code, second.status_code

    assert run_simulation(scenario, 1) == (200, 401)


def test_revoked_and_unknown_keys_get_the_same_response():
    async def scenario(sim):
        await sim.start()
        revoke(sim)
        await trio.sleep(LIMIT_S)
        replies = [await sim.chat("osrednja-1", t, "x") for t in (TEAM, "nobody")]
        problems = [reply.problem for reply in replies]
        for problem in problems:
            del problem["request_id"]
        return problems

    revoked, unknown = run_simulation(scenario, 1)
    assert revoked == unknown
    assert revoked["status"] == 401


def test_no_key_crosses_a_link_or_reaches_an_endpoint():
    leaks = []

    def tap(sender, receiver, data):
        if b"example-key-of" in data and not sender.name.startswith("caller"):
            leaks.append((sender.name, receiver.name))

    async def scenario(sim):
        await sim.start()
        await trio.sleep(5)
        for name in [n for n in sim.engines if "osrednja" in n]:
            sim.kill(name)
        identifier = (await sim.mint("osrednja-1", TEAM))[0]
        headers = [(b"idempotency-key", identifier.encode())]
        order = await sim.call(
            "primorska-1", "POST", "/enrolments", team=TEAM, headers=headers
        )
        spilled = await sim.chat("osrednja-1", TEAM, "to another zone")
        return order.status, spilled.status

    assert run_simulation(scenario, 1, tap=tap) == (200, 200)
    assert leaks == []


def test_key_of_one_team_cannot_use_an_identifier_of_another():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(2)
        identifier = (await sim.mint("osrednja-1", TEAM))[0]
        headers = [(b"idempotency-key", identifier.encode())]
        reply = await sim.call(
            "osrednja-1", "POST", "/enrolments", team="kranj", headers=headers
        )
        return reply.status, sim.runs(identifier)

    assert run_simulation(scenario, 1) == (422, 0)
