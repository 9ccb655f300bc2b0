"""Each caller receives the complete response to its own request, or an error."""

import json

import pytest
import trio

from cactusmill.errors import CrossedAnswerError
from cactusmill.internal import attempts
from standins.engine import answer_words
from standins.simulation import CallFailedError, run_simulation

pytestmark = pytest.mark.histories
TEAM = "ljubljana"
FAULTS = ("truncate", "silent", "cross", "late")


def expected_text(text, count):
    prompt = json.dumps([{"role": "user", "content": text}])
    return "".join(answer_words(prompt, count))


async def ask(sim, host, number, results):
    text = f"question {number}"
    try:
        reply = await sim.chat(host, TEAM, text, max_tokens=6, timeout_s=40)
    except CallFailedError:
        results.append("cut")
        return
    if reply.status != 200:
        results.append("refused")
        return
    content = json.loads(reply.body)["choices"][0]["message"]["content"]
    results.append("own" if content == expected_text(text, 6) else "wrong")


def count_results(seed, faults, fault_fraction=0.2, requests=80):
    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        for engine in sim.engines.values():
            engine.next_fault = lambda: (
                sim.rng.choice(faults) if sim.rng.random() < fault_fraction else None
            )
        results = []
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                host = sim.rng.choice(sorted(sim.settings))
                nursery.start_soon(ask, sim, host, number, results)
                await trio.sleep(0.1)
        return results

    results = run_simulation(scenario, seed)
    counts = {
        result: results.count(result) for result in ("own", "refused", "cut", "wrong")
    }
    print(f"seed {seed}: {counts}")
    return counts


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_faulty_engines_never_cause_a_wrong_response(seed):
    counts = count_results(seed, FAULTS)
    assert counts["wrong"] == 0
    assert counts["own"] > 50


def stream_with_fault(fault):
    """Return whether a stream reached its caller as complete, and its body."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        for engine in sim.engines.values():
            engine.next_fault = lambda: fault
        try:
            reply = await sim.chat("osrednja-1", TEAM, "question", stream=True)
        except CallFailedError:
            return False, b""
        return reply.status == 200, reply.body

    return run_simulation(scenario, 1)


def test_stream_without_length_that_ends_inside_an_event_is_not_complete():
    assert not stream_with_fault("torn")[0]


def test_stream_without_length_reaches_its_caller():
    is_complete, body = stream_with_fault("unframed")
    assert is_complete and body.endswith(b"data: [DONE]\n\n")


def test_request_is_refused_as_not_run_while_the_host_holds_too_much():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        sim.hosts["osrednja-1"].buffers.limit_bytes = 10
        refused = await sim.chat("osrednja-1", TEAM, "question")
        assert refused.status == 503 and float(refused.headers[b"retry-after"]) > 0
        assert all(e.received_requests == 0 for e in sim.engines.values())
        sim.hosts["osrednja-1"].buffers.limit_bytes = 100_000
        assert (await sim.chat("osrednja-1", TEAM, "question")).status == 200
        assert sim.hosts["osrednja-1"].buffers.used_bytes == 0

    run_simulation(scenario, 1)


def test_check_detects_responses_to_other_requests(monkeypatch):
    real = attempts.receive_head

    async def ignore_crossed_answer(exchange, req, *limits):
        try:
            await real(exchange, req, *limits)
        except CrossedAnswerError:
            pass

    monkeypatch.setattr(attempts, "receive_head", ignore_crossed_answer)
    assert count_results(1, ("cross",))["wrong"] > 0


def test_unresponsive_connections_are_replaced():
    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        results = []
        for number in range(8):
            await ask(sim, "osrednja-1", number, results)
        for engine in ("engine-osrednja-1", "engine-osrednja-2"):
            sim.network.stall_connections(
                sim.machines["osrednja-1"], sim.machines[engine]
            )
        start = trio.current_time()
        for number in range(4):
            await ask(sim, "osrednja-1", number, results)
        return results, trio.current_time() - start

    results, elapsed = run_simulation(scenario, 1)
    assert set(results) == {"own"}
    # Each of the two unresponsive connections costs at most a second.
    assert elapsed < 3.0
