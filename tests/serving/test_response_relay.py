"""Tests of the relay of responses when deadlines pass at any moment."""

import types

import h11
import pytest
import trio

from cactusmill.internal.http import client_connection, header, read_body
from cactusmill.internal.request import Sink
from cactusmill.serving import events, response_relay, sending
from cactusmill.serving.connections import ConnectionPool, exchange
from cactusmill.serving.progress import Progress
from standins.late_loop import late_loop
from standins.loopback import configuration, event, not_executed, running_deployment

from .test_connections import tcp_pair

BUDGET_MS = 250
# A stream's budget covers its predicted length.
STREAM_BUDGET_MS = 2200


def after_the_deadline(function, budget_ms=BUDGET_MS):
    """Return an asynchronous function that is called once the deadline has passed."""

    async def call(*args):
        with trio.CancelScope(shield=True):
            await trio.sleep(0.1 + budget_ms / 1000)
        return await function(*args)

    return call


async def begin_stream(endpoint, conn, request):
    """Send the head and the first event of a response."""
    await read_body(conn, 10**6)
    head = h11.Response(
        status_code=200,
        headers=[
            ("content-type", "text/event-stream"),
            ("request-id", header(request.headers, b"request-id")),
            ("response-signature", endpoint.name),
        ],
    )
    await conn.send(head, h11.Data(data=b"id: 1\ndata: a\n\n"))


async def send_one(path):
    async with running_deployment(
        endpoints=(("desk-1", "east-a", "desk"),)
    ) as deployment:
        reply = await deployment.send_request("e1", path, budget_ms=BUDGET_MS)
        return reply, deployment.endpoints["desk-1"].runs


@pytest.mark.parametrize("path", ["/order/1", "/look/1"])
def test_ready_response_is_delivered_though_its_deadline_has_passed(monkeypatch, path):
    monkeypatch.setattr(
        sending, "relay_body", after_the_deadline(response_relay.relay_body)
    )
    reply, runs = trio.run(send_one, path)
    assert len(runs) == 1
    assert reply.status == 200 and reply.is_complete


def test_stream_whose_deadline_passes_before_its_head_gets_a_final_response(
    monkeypatch,
):
    async def stream(endpoint, conn, request):
        await begin_stream(endpoint, conn, request)
        await conn.send(h11.EndOfMessage())
        return True

    async def main():
        async with running_deployment(
            endpoints=(("engine-1", "east-a", "engines"),)
        ) as deployment:
            deployment.endpoints["engine-1"].handler = stream
            return await deployment.send_request(
                "e1", "/draft/1", budget_ms=STREAM_BUDGET_MS, model="m"
            )

    monkeypatch.setattr(
        response_relay,
        "_send_head",
        after_the_deadline(response_relay._send_head, STREAM_BUDGET_MS),
    )
    reply = trio.run(main)
    assert reply.status == 504 and reply.is_complete
    assert b"DeadlineExceeded" in reply.body


def test_forwarded_stream_that_breaks_off_is_no_internal_fault():
    async def break_off(endpoint, conn, request):
        await begin_stream(endpoint, conn, request)
        return False

    async def main():
        config = configuration()
        for route in config["routes"]:
            route["allowed_regions"] = ["west"]
        async with running_deployment(
            hosts=(("e1", "east-a"), ("w1", "west-a")),
            endpoints=(("engine-w", "west-a", "engines"),),
            published=config,
        ) as deployment:
            deployment.endpoints["engine-w"].handler = break_off
            return await deployment.send_request(
                "e1", "/draft/1", budget_ms=STREAM_BUDGET_MS, model="m"
            )

    events.counts.clear()
    reply = trio.run(main)
    assert reply.status == 200 and not reply.is_complete
    assert events.counts["forwarded_answer_cut"] == 1
    assert events.counts["fault"] == 0


def test_rejected_request_is_refused_after_its_deadline_as_not_run():
    async def main():
        async with running_deployment(
            endpoints=(("desk-1", "east-a", "desk"),)
        ) as deployment:
            deployment.endpoints["desk-1"].handler = not_executed
            return await deployment.send_request("e1", "/order/1", budget_ms=1)

    reply = trio.run(main)
    assert reply.status in (503, 504) and reply.is_complete


def test_stream_that_has_arrived_whole_is_relayed_within_a_few_turns():
    """On a late host, a turn for each event took it past its deadline."""
    count = 60
    pieces = [event(n) for n in range(count)]
    body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"
    head = (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    metadata = types.SimpleNamespace(request_id=None, will_close=False, idle_s=None)
    relayed = []

    async def relay(data):
        # A write to the caller takes a turn.
        await trio.lowlevel.checkpoint()
        relayed.append(data)

    async def main():
        ours, theirs = await tcp_pair()
        await theirs.send_all(head + body)
        pool = ConnectionPool(net=None)
        response = await exchange(
            pool,
            "engine-1",
            client_connection(ours),
            h11.Request(method="GET", target="/", headers=[("host", "-")]),
            b"",
            "r-1",
            lambda status, headers: metadata,
            (5.0, 1.6),
        )
        host = types.SimpleNamespace(
            now=trio.current_time,
            dialect=types.SimpleNamespace(filter_response_headers=lambda h: []),
        )
        sink = Sink(
            head=lambda status, headers, first: relay(first),
            data=relay,
            end=lambda: relay(b""),
        )
        load = types.SimpleNamespace(mark_prompt_read=lambda: None, is_complete=False)
        with late_loop(0.02) as loop:
            await response_relay.relay_stream(
                host, None, sink, Progress(1, "d"), None, response, load, 0.0
            )
        assert b"".join(relayed) == b"".join(pieces)
        assert loop.turns <= count / 3

    trio.run(main)
