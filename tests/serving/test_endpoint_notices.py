"""Endpoints that say in responses that they leave, or that they want no requests."""

import random

import attrs
import h11
import pytest
import trio
from hypothesis import find, given
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from cactusmill.internal.http import read_body
from cactusmill.platform.dialect import DIALECT
from cactusmill.records import Endpoint
from cactusmill.serving.connections import ConnectionPool
from cactusmill.serving.endpoint_notices import EndpointNotices
from standins.loopback import configuration, event

from .test_whole_path import BOTH, on_deployment

LEAVING = ("server-leaving", "1")
NOT_EXECUTED = ("not-executed", "1")
DESKS = (("desk-1", "east-a", "desk"), ("desk-2", "east-a", "desk"))
ENGINES = (("engine-1", "east-a", "engines"), ("engine-2", "east-a", "engines"))


def answer(status, *headers):
    """Return a handler that gives complete responses with a status and headers."""

    async def handle(endpoint, conn, request):
        await read_body(conn, 10**6)
        extra = [("content-length", "2"), *headers]
        await conn.send(
            endpoint.head(request, status, extra), h11.Data(b"ok"), h11.EndOfMessage()
        )
        return True

    return handle


def broken_off(*headers):
    """Return a handler that breaks a response off after its head and an event."""

    async def handle(endpoint, conn, request):
        await read_body(conn, 10**6)
        extra = [("transfer-encoding", "chunked"), *headers]
        await conn.send(endpoint.head(request, extra=extra), h11.Data(data=event(1)))
        return False

    return handle


def number_received(deployment, name):
    return len(deployment.endpoints[name].received)


async def send_many(deployment, path="/look/1", count=12, **options):
    """Send requests one after the other; return their statuses."""
    statuses = []
    for number in range(count):
        reply = await deployment.send_request(
            "e1", path, request_id=f"r-{number}", **options
        )
        statuses.append(reply.status)
    return statuses


@pytest.mark.parametrize("status", [200, 404, 500, 503])
@pytest.mark.parametrize("path", ["/look/1", "/order/1"])
def test_endpoint_that_leaves_by_its_response_is_not_chosen_again(status, path):
    async def scenario(deployment):
        for endpoint in deployment.endpoints.values():
            headers = [LEAVING] if endpoint.name == "desk-1" else []
            if status == 503:
                headers.append(NOT_EXECUTED)
            endpoint.handler = answer(status if headers else 200, *headers)
        await send_many(deployment, path, count=20)
        assert number_received(deployment, "desk-1") <= 1
        assert number_received(deployment, "desk-2") >= 19

    on_deployment(scenario, endpoints=DESKS)


def test_endpoint_that_leaves_by_the_head_of_a_stream_is_not_chosen_again():
    async def leaving_stream(endpoint, conn, request):
        await read_body(conn, 10**6)
        extra = [("transfer-encoding", "chunked"), LEAVING]
        await conn.send(
            endpoint.head(request, extra=extra),
            h11.Data(data=event(1)),
            h11.EndOfMessage(),
        )
        return True

    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = leaving_stream
        statuses = await send_many(deployment, "/draft/1", model="m")
        assert statuses == [200] * 12
        assert number_received(deployment, "engine-1") <= 1

    on_deployment(scenario, endpoints=ENGINES)


def test_request_that_waited_for_its_connection_is_not_sent_to_a_leaving_endpoint(
    monkeypatch,
):
    acquire = ConnectionPool.acquire

    async def scenario(deployment):
        host = deployment.hosts["e1"]

        async def acquire_late(pool, name, address, now, new_connection=False):
            result = await acquire(pool, name, address, now)
            # Another response of the endpoint says so meanwhile.
            metadata = DIALECT.read_response_head(200, [(b"server-leaving", b"1")])
            for entry in host.catalog.listed():
                if entry.endpoint.name == name == "desk-1":
                    host.record_notices(entry.endpoint, metadata)
            return result

        monkeypatch.setattr(ConnectionPool, "acquire", acquire_late)
        assert await send_many(deployment) == [200] * 12
        assert number_received(deployment, "desk-1") == 0

    on_deployment(scenario, endpoints=DESKS)


def test_retry_does_not_go_to_a_leaving_endpoint():
    async def scenario(deployment):
        deployment.endpoints["desk-1"].handler = answer(500, LEAVING)
        assert await send_many(deployment, count=1) != [200]
        assert number_received(deployment, "desk-1") == 1

    on_deployment(scenario, endpoints=DESKS[:1])


def test_stream_is_not_resumed_at_a_leaving_endpoint():
    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = broken_off(LEAVING)
        reply = await deployment.send_request("e1", "/chat/1", model="m")
        assert not reply.is_complete
        assert number_received(deployment, "engine-1") == 1

    on_deployment(scenario, endpoints=ENGINES[:1])


def test_forwarded_request_does_not_reach_a_leaving_endpoint():
    async def scenario(deployment):
        deployment.endpoints["desk-w"].handler = answer(200, LEAVING)
        statuses = await send_many(deployment, count=5)
        assert statuses == [200] + [503] * 4
        assert number_received(deployment, "desk-w") == 1

    on_deployment(scenario, hosts=BOTH, endpoints=(("desk-w", "west-a", "desk"),))


def test_next_life_of_a_leaving_endpoint_gets_requests():
    async def scenario(deployment):
        endpoint = deployment.endpoints["desk-1"]
        endpoint.handler = answer(200, LEAVING)
        assert await send_many(deployment, count=2) == [200, 503]
        endpoint.handler = None
        key, entry = "servers/desk-1", endpoint.entry()
        # Written by the same life, whatever its revision.
        deployment.store.put(key, {**entry, "seq": 2})
        await trio.sleep(0.3)
        assert await send_many(deployment, count=1) == [503]
        deployment.store.put(key, {**entry, "born": entry["born"] + 1})
        await trio.sleep(0.3)
        assert await send_many(deployment, count=2) == [200, 200]

    on_deployment(scenario, endpoints=DESKS[:1])


@pytest.mark.parametrize("path", ["/look/1", "/order/1"])
def test_endpoint_that_wants_no_requests_gets_none_until_the_time_is_over(path):
    async def scenario(deployment):
        paused = deployment.endpoints["desk-1"]
        paused.handler = answer(503, NOT_EXECUTED, ("retry-after", "0.8"))
        with trio.move_on_after(0.8):
            while True:
                await send_many(deployment, path, count=1)
        assert len(paused.received) == 1
        paused.handler = None
        with trio.fail_after(3):
            while await send_many(deployment, path, count=1) != [200]:
                pass

    on_deployment(scenario, endpoints=DESKS[:1])


def test_callers_are_told_when_the_first_endpoint_takes_requests():
    async def scenario(deployment):
        for name, wait in (("desk-1", "4.5"), ("desk-2", "1.5")):
            deployment.endpoints[name].handler = answer(
                503, NOT_EXECUTED, ("retry-after", wait)
            )
        for number in range(4):
            reply = await deployment.send_request("e1", "/order/1")
            paused = [e for e in deployment.endpoints.values() if e.received]
            # Nothing else is known while the other endpoint may take requests.
            if number and len(paused) == 2:
                assert float(reply.header(b"retry-after")) > 1.0
        began_at = trio.current_time()
        replies = [await deployment.send_request("e1", "/look/1") for _ in range(20)]
        assert trio.current_time() - began_at < 0.5
        waits_s = [float(reply.header(b"retry-after")) for reply in replies]
        assert all(0.9 < wait_s < 3.0 for wait_s in waits_s)
        assert max(waits_s) - min(waits_s) > 0.3
        assert number_received(deployment, "desk-1") <= 1
        assert number_received(deployment, "desk-2") <= 1

    on_deployment(scenario, endpoints=DESKS)


def test_another_region_is_asked_while_all_endpoints_want_no_requests():
    async def scenario(deployment):
        deployment.endpoints["desk-1"].handler = answer(
            503, NOT_EXECUTED, ("retry-after", "5")
        )
        statuses = await send_many(deployment, count=6)
        assert statuses[1:] == [200] * 5
        assert number_received(deployment, "desk-1") == 1

    endpoints = (DESKS[0], ("desk-w", "west-a", "desk"))
    on_deployment(scenario, hosts=BOTH, endpoints=endpoints)


def test_retry_after_a_refusal_counts_in_the_retry_budget():
    async def scenario(deployment):
        for endpoint in deployment.endpoints.values():
            endpoint.handler = answer(503, NOT_EXECUTED, ("retry-after", "5"))
        budget = deployment.hosts["e1"].retry_budget("desk", trio.current_time())
        before = budget.credit
        await send_many(deployment, count=1)
        assert sum(number_received(deployment, name) for name, _, _ in DESKS) == 2
        # What the request itself earned is far less than one retry.
        assert before - budget.credit > 0.8

    on_deployment(scenario, endpoints=DESKS, published=configuration())


VALID = [(b"3", 3.0), (b"0.25", 0.25), (b" 7 ", 7.0), (b"999999999", 999999999.0)]
INVALID = [b"", b"0", b"0.0", b"-1", b"nan", b"inf", b"1e3", b"9" * 5000, b"1_0"]
INVALID += [b"Wed, 21 Oct 2026 07:28:00 GMT", b"1,5", "٣".encode()]


@pytest.mark.parametrize(("text", "pause_s"), VALID + [(t, None) for t in INVALID])
def test_retry_after_of_an_endpoint_is_read_strictly(text, pause_s):
    head = [(b"retry-after", text)]
    assert DIALECT.read_response_head(503, head).pause_s == pause_s
    assert DIALECT.read_response_head(503, head * 2).pause_s is None
    assert DIALECT.read_response_head(500, head).pause_s is None


def endpoint(started_ms, name="desk-1"):
    return Endpoint(
        name=name,
        zone="east-a",
        region="east",
        address="127.0.0.1:1",
        serves=("desk",),
        started_ms=started_ms,
    )


def response(status=200, headers=()):
    return DIALECT.read_response_head(status, list(headers))


def test_response_of_another_endpoint_at_the_address_is_ignored():
    notices = EndpointNotices(random.Random(1))
    notices.record(endpoint(1), response(421, [(b"server-leaving", b"1")]), 0.0)
    assert notices.may_send(endpoint(1), 0, 1.0)


def test_load_returns_by_degrees_after_a_pause():
    notices = EndpointNotices(random.Random(1))
    notices.record(endpoint(1), response(503, [(b"retry-after", b"2")]), 0.0)
    end = notices.pause_left_s(endpoint(1), 0.0)
    assert 2.0 <= end <= 2.5
    assert not notices.may_send(endpoint(1), 0, end - 0.01)
    admitted = [
        sum(notices.may_send(endpoint(1), n, end + age_s) for n in range(100))
        for age_s in (0.0, 0.3, 0.6, 0.9, 1.0)
    ]
    assert admitted[0] == 1 and admitted[-1] == 100
    assert admitted == sorted(admitted)
    assert admitted[1] < endpoint(1).capacity


def test_log_tells_why_an_endpoint_is_left_out_and_since_when():
    notices = EndpointNotices(random.Random(1))
    assert notices.explain(endpoint(1), 0.0) is None
    notices.record(endpoint(1), response(503, [(b"retry-after", b"4")]), 1.0)
    assert notices.explain(endpoint(1), 2.5).endswith("heard 1.50 s ago")
    assert "paused" in notices.explain(endpoint(1), 2.5)
    assert notices.explain(endpoint(1), 9.0) is None
    notices.record(endpoint(1), response(200, [(b"server-leaving", b"1")]), 3.0)
    assert notices.explain(endpoint(1), 9.0) == "leaving, heard 6.00 s ago"
    assert notices.explain(endpoint(2), 9.0) is None


def test_liveness_probe_of_an_endpoint_sends_no_request():
    async def scenario(deployment):
        host, desk = deployment.hosts["e1"], deployment.endpoints["desk-1"]
        # Raises if the endpoint does not accept the connection.
        await host.pool.probe("desk-1", desk.address, host.now())
        await trio.sleep(0.1)
        assert not desk.received

    on_deployment(scenario, endpoints=DESKS[:1])


def test_hosts_do_not_return_in_the_same_moment():
    ends = set()
    for seed in range(20):
        notices = EndpointNotices(random.Random(seed))
        notices.record(endpoint(1), response(503, [(b"retry-after", b"4")]), 0.0)
        ends.add(round(notices.pause_left_s(endpoint(1), 0.0), 2))
    assert len(ends) > 10


@attrs.frozen
class Step:
    """One event of a history: a response of a life, or an entry that arrives."""

    kind: str
    life: int


STEPS = st.lists(
    st.builds(
        Step, st.sampled_from(["leaving", "sound", "entry", "send"]), st.integers(1, 3)
    ),
    max_size=12,
)


def count_sends_to_left(steps, hears):
    """Return how many sends of a history reach a life after it said that it leaves.

    Entries may arrive late, twice and in any order.
    """
    notices = EndpointNotices(random.Random(1))
    current, left, wrong = endpoint(1), set(), 0
    for now, step in enumerate(steps):
        if step.kind == "entry":
            current = endpoint(step.life)
        elif step.kind == "send":
            is_sent = notices.may_send(current, 0, float(now))
            wrong += is_sent and current.started_ms in left
        else:
            speaker = endpoint(step.life)
            headers = [(b"server-leaving", b"1")] if step.kind == "leaving" else []
            if hears:
                notices.record(speaker, response(200, headers), float(now))
            if headers:
                left.add(step.life)
    return wrong


@given(STEPS)
def test_no_history_sends_to_a_life_that_has_left(steps):
    assert count_sends_to_left(steps, hears=True) == 0


def test_late_response_of_an_earlier_life_does_not_concern_the_next():
    notices = EndpointNotices(random.Random(1))
    notices.record(endpoint(2), response(503, [(b"retry-after", b"1")]), 0.0)
    notices.record(endpoint(1), response(200, [(b"server-leaving", b"1")]), 0.5)
    assert notices.may_send(endpoint(2), 0, 9.0)


def test_histories_detect_a_host_that_does_not_hear():
    found = find(STEPS, lambda steps: count_sends_to_left(steps, hears=False) > 0)
    assert found
    with pytest.raises(NoSuchExample):
        find(STEPS, lambda steps: count_sends_to_left(steps, hears=True) > 0)
