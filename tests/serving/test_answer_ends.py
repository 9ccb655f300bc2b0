"""What reaches a caller as a complete answer is complete, however an endpoint fails."""

import pytest
import trio

from cactusmill.internal.framing import Framing
from cactusmill.internal.http import header, read_body
from cactusmill.serving import response_relay
from standins.loopback import configuration, event, running_deployment
from standins.raw_responses import (
    EVENT_STREAM,
    Ending,
    encode_response,
    end_connection,
    end_during_request,
)

ENGINE = (("engine-1", "east-a", "engines"),)
ENGINES = (*ENGINE, ("engine-2", "east-a", "engines"))
EVENTS = [event(number) for number in range(1, 6)]
STREAM = b"".join(EVENTS)
BODY = [b"enrolled in ", b"the circle of 12 readers"]


def on_deployment(scenario, timeout_s=20, **deployment):
    async def main():
        with trio.fail_after(timeout_s):
            async with running_deployment(**deployment) as running:
                await scenario(running)

    trio.run(main)


def answer_with(framing, chunks, size=None, ending=Ending.CLOSE, headers=()):
    """Return a handler that sends the first bytes of a response's encoded body."""

    async def handle(endpoint, conn, request):
        await read_body(conn, 10**7)
        endpoint.runs.append(header(request.headers, b"request-id"))
        head, body = encode_response(
            framing, chunks, [*endpoint.head(request).headers, *headers]
        )
        await conn.stream.send_all(head + body[:size])
        await end_connection(conn.stream, ending)
        return False

    return handle


def first_answer_only(endpoints, handler):
    """Return a handler for the first request; the endpoints run the others as usual."""

    async def handle(endpoint, conn, request):
        for other in endpoints:
            other.handler = None
        return await handler(endpoint, conn, request)

    return handle


@pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH])
@pytest.mark.parametrize("tail", [b"id: 4\nda", b"id: 4\ndata: token-4\n", b"id: 4"])
def test_stream_that_ends_inside_an_event_is_not_complete(framing, tail):
    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = answer_with(
            framing, [*EVENTS[:3], tail], headers=[(b"content-type", EVENT_STREAM)]
        )
        reply = await deployment.send_request("e1", "/draft/1", model="m")
        assert reply.body == b"".join(EVENTS[:3])
        assert not reply.is_complete

    on_deployment(scenario, endpoints=ENGINE)


def test_stream_without_length_that_ends_inside_an_event_is_resumed():
    async def scenario(deployment):
        engines = [deployment.endpoints[name] for name, _, _ in ENGINES]
        broken = answer_with(Framing.CLOSE, EVENTS, size=len(b"".join(EVENTS[:3])) + 8)
        for engine in engines:
            engine.handler = first_answer_only(engines, broken)
        reply = await deployment.send_request("e1", "/chat/1", model="m")
        assert reply.body == STREAM and reply.is_complete

    on_deployment(scenario, endpoints=ENGINES)


def test_stream_without_length_and_without_an_event_is_not_complete():
    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = answer_with(Framing.CLOSE, [])
        reply = await deployment.send_request("e1", "/draft/1", model="m")
        assert not reply.is_complete or reply.status != 200

    on_deployment(scenario, endpoints=ENGINE)


def test_http_1_0_caller_of_an_answer_that_broke_off_gets_a_reset():
    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = answer_with(
            Framing.CHUNKED, EVENTS, size=60
        )
        stream = await deployment.connect("e1")
        await stream.send_all(
            b"POST /draft/1 HTTP/1.0\r\nhost: api.example\r\nrequest-id: r-1\r\n"
            b"authorization: Token key-of-red\r\nmodel: m\r\ntoken-usage: 100,30\r\n"
            b"content-length: 0\r\n\r\n"
        )
        with pytest.raises(trio.BrokenResourceError):
            while await stream.receive_some():
                pass

    on_deployment(scenario, endpoints=ENGINE)


@pytest.mark.parametrize("path", ["/draft/1", "/chat/1"])
def test_http_1_0_caller_of_a_whole_stream_gets_an_orderly_close(path):
    async def scenario(deployment):
        stream = await deployment.connect("e1")
        await stream.send_all(
            b"POST %s HTTP/1.0\r\nhost: api.example\r\nrequest-id: r-1\r\n"
            b"authorization: Token key-of-red\r\nmodel: m\r\ntoken-usage: 100,30\r\n"
            b"content-length: 0\r\n\r\n" % path.encode()
        )
        received = b""
        while data := await stream.receive_some():
            received += data
        assert received.endswith(STREAM)

    on_deployment(scenario, endpoints=ENGINE)


@pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH])
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_whole_streams_of_every_framing_reach_the_caller_as_they_arrive(
    framing, line_end
):
    events = [e.replace(b"\n", line_end) for e in EVENTS]
    gate = trio.Event()

    async def two_parts(endpoint, conn, request):
        await read_body(conn, 10**7)
        head, body = encode_response(framing, events, endpoint.head(request).headers)
        middle = body.index(events[2]) + len(events[2])
        await conn.stream.send_all(head + body[:middle])
        await gate.wait()
        await conn.stream.send_all(body[middle:])
        return False

    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = two_parts
        stream = await deployment.connect("e1")
        await stream.send_all(
            b"POST /draft/1 HTTP/1.1\r\nhost: api.example\r\nrequest-id: r-1\r\n"
            b"authorization: Token key-of-red\r\nmodel: m\r\ntoken-usage: 100,30\r\n"
            b"content-length: 0\r\n\r\n"
        )
        received = b""
        with trio.fail_after(2):
            while events[2] not in received:
                received += await stream.receive_some()
        gate.set()
        with trio.fail_after(2):
            while not received.endswith(b"\r\n0\r\n\r\n"):
                received += await stream.receive_some()
        for text in events:
            assert text in received

    on_deployment(scenario, endpoints=ENGINE)


def is_end_without_evidence(framing, ending, received):
    """Return whether nothing can tell a broken-off answer from a whole one."""
    return (
        framing is Framing.CLOSE
        and ending is Ending.CLOSE
        and received.endswith(b"\n\n")
    )


@pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH])
@pytest.mark.parametrize("ending", list(Ending))
def test_stream_broken_off_at_any_byte_is_not_complete(framing, ending):
    async def scenario(deployment):
        engine = deployment.endpoints["engine-1"]
        host = deployment.hosts["e1"]
        for size in range(len(encode_response(framing, EVENTS)[1])):
            # Endpoints that fail often are avoided.
            host.placement._views.clear()
            engine.handler = answer_with(framing, EVENTS, size, ending)
            reply = await deployment.send_request(
                "e1", "/draft/1", request_id=f"r-{size}", model="m"
            )
            assert STREAM.startswith(reply.body) or reply.status != 200, size
            if is_end_without_evidence(framing, ending, reply.body):
                continue
            assert not (reply.status == 200 and reply.is_complete), size

    on_deployment(scenario, timeout_s=60, endpoints=ENGINE)


@pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH])
def test_body_broken_off_at_any_byte_is_not_complete(framing):
    async def scenario(deployment):
        desk = deployment.endpoints["desk-1"]
        host = deployment.hosts["e1"]
        for size in range(len(encode_response(framing, BODY)[1])):
            for ending in Ending:
                if framing is Framing.CLOSE and ending is Ending.CLOSE:
                    # Nothing tells such a body from a whole one.
                    continue
                host.placement._views.clear()
                desk.handler = answer_with(framing, BODY, size, ending)
                reply = await deployment.send_request(
                    "e1", "/order/1", request_id=f"r-{size}-{ending.value}"
                )
                assert reply.status != 200, (size, ending)

    on_deployment(scenario, timeout_s=60, endpoints=(("desk-1", "east-a", "desk"),))


@pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH])
def test_whole_bodies_of_every_framing_reach_the_caller(framing):
    async def scenario(deployment):
        deployment.endpoints["desk-1"].handler = answer_with(framing, BODY)
        reply = await deployment.send_request("e1", "/order/1")
        assert (reply.status, reply.body) == (200, b"".join(BODY))
        assert reply.is_complete

    on_deployment(scenario, endpoints=(("desk-1", "east-a", "desk"),))


@pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH])
def test_whole_body_in_place_of_a_stream_reaches_the_caller(framing):
    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = answer_with(
            framing, BODY, headers=[(b"content-type", b"application/json")]
        )
        reply = await deployment.send_request("e1", "/draft/1", model="m")
        assert (reply.status, reply.body) == (200, b"".join(BODY))
        assert reply.is_complete

    on_deployment(scenario, endpoints=ENGINE)


UPLOAD = b"x" * 8_000_000
LARGE_REQUESTS = configuration(
    limits={"max_header_bytes": 16384, "max_body_bytes": 10_000_000}
)


def answer_early_with(chunks, ending, headers=()):
    """Return a handler that answers without a length before it has read a request."""

    async def handle(endpoint, conn, request):
        head, body = encode_response(
            Framing.CLOSE, chunks, [*endpoint.head(request).headers, *headers]
        )
        await conn.stream.send_all(head + body)
        await end_during_request(conn.stream, ending)
        await trio.sleep(1.0)
        return False

    return handle


@pytest.mark.parametrize("ending", [*Ending, None])
@pytest.mark.parametrize("path", ["/order/1", "/look/1", "/draft/1", "/chat/1"])
def test_caller_of_a_long_request_gets_no_part_of_an_answer_as_whole(path, ending):
    """Guards against the answer of an endpoint that broke off during an upload."""

    async def scenario(deployment):
        for endpoint in deployment.endpoints.values():
            is_engine = endpoint.name == "engine-1"
            endpoint.handler = answer_early_with(
                EVENTS[:2] if is_engine else BODY[:1],
                ending,
                [(b"content-type", EVENT_STREAM)] if is_engine else (),
            )
        model = "m" if path in ("/draft/1", "/chat/1") else ""
        reply = await deployment.send_request("e1", path, body=UPLOAD, model=model)
        assert not (reply.status == 200 and reply.is_complete)

    on_deployment(
        scenario,
        endpoints=(*ENGINE, ("desk-1", "east-a", "desk")),
        published=LARGE_REQUESTS,
    )


@pytest.mark.parametrize("status", [b"000", b"099", b"20", b"2000", b"600", b"999"])
@pytest.mark.parametrize("host", ["e1", "w1"])
@pytest.mark.parametrize("path", ["/order/1", "/look/1", "/draft/1"])
def test_status_that_http_does_not_define_reaches_no_caller(path, host, status):
    """Guards against a status of an endpoint in trouble; w1 forwards to e1."""

    async def handle(endpoint, conn, request):
        await read_body(conn, 10**7)
        head, body = encode_response(
            Framing.LENGTH, BODY, endpoint.head(request).headers
        )
        await conn.stream.send_all(head.replace(b"200", status, 1) + body)
        return False

    async def scenario(deployment):
        for endpoint in deployment.endpoints.values():
            endpoint.handler = handle
        model = "m" if path == "/draft/1" else ""
        reply = await deployment.send_request(host, path, model=model)
        assert 500 <= reply.status < 600
        assert BODY[0] not in reply.body

    on_deployment(
        scenario,
        hosts=(("e1", "east-a"), ("w1", "west-a")),
        endpoints=(*ENGINE, ("desk-1", "east-a", "desk")),
    )


def test_check_detects_streams_that_end_inside_an_event(monkeypatch):
    monkeypatch.setattr(response_relay, "check_last_event", lambda tail, framing: None)
    with pytest.raises(BaseExceptionGroup):
        test_stream_that_ends_inside_an_event_is_not_complete(Framing.CLOSE, b"id: 4")
