"""Bytes without end cost a host bounded memory and time, wherever they come from.

The bounds: an answer that has no end is given up well before its caller's deadline,
and other callers are served meanwhile within their latency objective.
"""

import itertools
import resource

import pytest
import trio

from cactusmill.internal.framing import MAX_BODY_BYTES, Framing
from cactusmill.internal.http import read_body
from standins.loopback import running_deployment
from standins.raw_responses import encode_response

ENDPOINTS = (
    ("engine-1", "east-a", "engines"),
    ("desk-1", "east-a", "desk"),
)
DEADLINE_S = 2.5
OBJECTIVE_S = 0.8
CHUNKED = encode_response(Framing.CHUNKED, [])[0][:-2]
CLOSE = encode_response(Framing.CLOSE, [])[0][:-2]
SIGNED = b"request-id: r-1\r\nresponse-signature: s\r\n\r\n"
# What comes first, and then again and again.
ENDLESS = {
    "head line": (b"HTTP/1.1 200 " + b"O" * 1000, b"K" * 4096),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-more: yes\r\n" * 300),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 200),
    "no HTTP": (b"", b"\x00\xffnoise" * 500),
    "body": (CLOSE + SIGNED, b"x" * 65536),
    "chunks": (CHUNKED + SIGNED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "tiny chunks": (CHUNKED + SIGNED, b"1\r\nx\r\n" * 10_000),
    "chunk extension": (CHUNKED + SIGNED, b"5;" + b"e" * 65536),
    "trailers": (CHUNKED + SIGNED + b"0\r\n", b"t: v\r\n" * 5000),
    "events": (CLOSE + SIGNED, b"id: 1\ndata: x\n\n" * 4000),
    "an event": (CLOSE + SIGNED, b"data: x\n" * 8000),
    "blank lines": (CLOSE + SIGNED, b"\n" * 65536),
    "body of a refusal": (
        b"HTTP/1.1 421 Misdirected\r\ntransfer-encoding: chunked\r\n" + SIGNED,
        b"1000\r\n" + b"x" * 4096 + b"\r\n",
    ),
    "late answer": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nrequest-id: r-0\r\n\r\n",
        b"1000\r\n" + b"x" * 4096 + b"\r\n",
    ),
}


def on_deployment(scenario, **deployment):
    async def main():
        with trio.fail_after(30):
            async with running_deployment(**deployment) as running:
                await scenario(running)

    trio.run(main)


def send_forever(first, again, pause_s=0.0):
    """Return a handler that answers with bytes until the connection is closed."""

    async def handle(endpoint, conn, request):
        await read_body(conn, 10**7)
        await conn.stream.send_all(first)
        for _ in itertools.count():
            await conn.stream.send_all(again)
            await trio.sleep(pause_s)

    return handle


def peak_memory_bytes():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


@pytest.mark.parametrize("path", ["/draft/1", "/order/1"])
@pytest.mark.parametrize("kind", list(ENDLESS))
def test_answer_without_end_is_given_up(path, kind):
    async def scenario(deployment):
        for endpoint in deployment.endpoints.values():
            endpoint.handler = send_forever(*ENDLESS[kind])
        began_at, memory = trio.current_time(), peak_memory_bytes()
        model = "m" if path == "/draft/1" else ""
        reply = await deployment.send_request("e1", path, model=model)
        assert not (reply.status == 200 and reply.is_complete)
        assert trio.current_time() - began_at < DEADLINE_S
        # The answer, its copy as one piece, and what the sockets hold.
        assert peak_memory_bytes() - memory < 3 * MAX_BODY_BYTES

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize("kind", ["tiny chunks", "events", "chunks", "trailers"])
def test_answers_without_end_do_not_delay_other_callers(kind):
    async def scenario(deployment):
        engine = deployment.endpoints["engine-1"]
        engine.handler = send_forever(*ENDLESS[kind])
        slowest_s = 0.0
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(flood, deployment, f"f-{number}")
            for number in range(20):
                began_at = trio.current_time()
                reply = await deployment.send_request(
                    "e1", "/order/1", request_id=f"r-{number}"
                )
                assert reply.status == 200
                slowest_s = max(slowest_s, trio.current_time() - began_at)
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert slowest_s < OBJECTIVE_S

    async def flood(deployment, request_id):
        await deployment.send_request(
            "e1", "/draft/1", request_id=request_id, model="m"
        )

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_request_is_refused_as_not_run_while_the_host_holds_too_much():
    async def scenario(deployment):
        desk = deployment.endpoints["desk-1"]
        host = deployment.hosts["e1"]
        with host.buffers.hold() as on_data:
            on_data(b"x" * (host.buffers.limit_bytes - 1000))
            reply = await deployment.send_request("e1", "/order/1", body=b"x" * 2000)
            assert reply.status == 503 and float(reply.header(b"retry-after")) > 0
            assert not desk.received
        reply = await deployment.send_request("e1", "/order/1", body=b"x" * 2000)
        assert reply.status == 200
        await deployment.wait_until(lambda: host.buffers.used_bytes == 0)

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_bytes_that_callers_send_ahead_stay_within_the_buffers():
    """Each pipelines 60 KB behind a request that is being served."""

    async def scenario(deployment):
        host = deployment.hosts["e1"]
        host.buffers.limit_bytes = 256 * 1024
        deployment.endpoints["desk-1"].work_s = 0.5
        replies = []

        async def call(number):
            stream = await deployment.connect("e1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.send_all, request(number) + b"x" * 60_000)
                reply = await stream.receive_some()
                replies.append(reply.split(b" ")[1])
                nursery.cancel_scope.cancel()
            await trio.aclose_forcefully(stream)

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(call, number)
            await trio.sleep(0.4)
            assert 60_000 < host.buffers.used_bytes <= host.buffers.limit_bytes
        assert set(replies) <= {b"200", b"503"} and b"200" in replies
        await deployment.wait_until(lambda: host.buffers.used_bytes == 0)

    def request(number):
        return (
            b"POST /order/1 HTTP/1.1\r\nhost: api.example\r\nrequest-id: r-%d\r\n"
            b"authorization: Token key-of-red\r\ncontent-length: 0\r\n\r\n" % number
        )

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_answers_of_many_callers_together_stay_within_the_buffers():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        host.buffers.limit_bytes = MAX_BODY_BYTES
        desk = deployment.endpoints["desk-1"]
        desk.handler = send_forever(*ENDLESS["body"])
        peak = 0

        async def watch():
            nonlocal peak
            while True:
                peak = max(peak, host.buffers.used_bytes)
                await trio.sleep(0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            async with trio.open_nursery() as callers:
                for number in range(6):
                    callers.start_soon(call, deployment, f"r-{number}")
            nursery.cancel_scope.cancel()
        assert 0 < peak <= MAX_BODY_BYTES
        assert host.buffers.used_bytes == 0

    async def call(deployment, request_id):
        reply = await deployment.send_request("e1", "/look/1", request_id=request_id)
        assert reply.status != 200

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize("kind", ["head line", "body", "chunks", "an event"])
def test_answer_that_trickles_without_end_stops_at_the_deadline(kind):
    async def scenario(deployment):
        first, again = ENDLESS[kind]
        for endpoint in deployment.endpoints.values():
            endpoint.handler = send_forever(first, again[:8], pause_s=0.02)
        began_at = trio.current_time()
        reply = await deployment.send_request(
            "e1", "/order/1", budget_ms=int(DEADLINE_S * 1000)
        )
        assert reply.status != 200
        assert trio.current_time() - began_at < DEADLINE_S + 0.5

    on_deployment(scenario, endpoints=ENDPOINTS)
