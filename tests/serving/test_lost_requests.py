"""Requests that were read whole get a response or a refusal, also beside trouble."""

import types

import h11
import pytest
import trio

from cactusmill.internal.http import client_connection, collect_body, server_connection
from cactusmill.platform.dialect import DIALECT
from cactusmill.serving import edge
from cactusmill.serving.response_relay import relay_body
from standins.late_loop import late_loop
from standins.loopback import KEY, configuration

from .test_late_reads import connect, encode_request
from .test_whole_path import COMPLETE_STREAM, on_deployment

ENDPOINTS = (
    ("engine-1", "east-a", "engines"),
    ("desk-1", "east-a", "desk"),
)
BODY = b"b" * 900


def encode_with_body(path, key=KEY):
    """Return the head and the body of a request that are sent apart."""
    head = encode_request(path).replace(KEY.encode(), key.encode())
    return head.replace(b"content-length: 0", b"content-length: %d" % len(BODY)), BODY


async def receive_responses(caller, until_s=0.5):
    """Return what a caller receives until it is quiet or closed."""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    caller.setblocking(False)
    received = b""
    with trio.move_on_after(until_s):
        while data := await stream.receive_some():
            received += data
    return received


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", KEY, b"404"), ("/look/1", "revoked", b"401")],
)
def test_request_behind_an_early_refusal_is_answered_or_the_close_is_announced(
    path, key, status
):
    async def scenario(deployment):
        caller = connect(deployment.hosts["e1"].cfg.callers)
        head, body = encode_with_body(path, key)
        caller.sendall(head)
        await trio.sleep(0.1)
        refusal = caller.recv(65536)
        assert refusal.startswith(b"HTTP/1.1 " + status)
        is_announced = b"connection: close" in refusal.lower()
        caller.sendall(body + encode_request("/look/2"))
        following = await receive_responses(caller)
        assert is_announced or following.startswith(b"HTTP/1.1 200")

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_connection_is_kept_behind_a_refusal_whose_body_has_come():
    async def scenario(deployment):
        caller = connect(deployment.hosts["e1"].cfg.callers)
        caller.sendall(b"".join(encode_with_body("/look/1", "revoked")))
        await trio.sleep(0.1)
        refusal = caller.recv(65536)
        assert refusal.startswith(b"HTTP/1.1 401")
        assert b"connection: close" not in refusal.lower()
        caller.sendall(encode_request("/look/2"))
        assert (await receive_responses(caller)).startswith(b"HTTP/1.1 200")

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize(("idle_ms", "is_kept"), [(1500, True), (600, False)])
def test_idle_connection_is_kept_for_a_longer_limit_that_takes_force(idle_ms, is_kept):
    def limits(idle_ms):
        return {**configuration()["limits"], "idle_timeout_ms": idle_ms}

    async def scenario(deployment):
        host = deployment.hosts["e1"]
        caller = connect(host.cfg.callers)
        await trio.sleep(0.1)
        deployment.store.put(
            "op/config", configuration(version=2, limits=limits(idle_ms))
        )
        await deployment.wait_until(lambda: host.catalog.configuration.version == 2)
        await trio.sleep(0.8)
        caller.sendall(encode_request("/look/1"))
        assert bool(await receive_responses(caller)) == is_kept

    on_deployment(
        scenario,
        endpoints=ENDPOINTS,
        published=configuration(limits=limits(600)),
    )


@pytest.mark.parametrize("path", ["/chat/1", "/draft/1"])
def test_stream_of_an_endpoint_that_is_silent_for_a_while_is_not_cut(path):
    async def scenario(deployment):
        deployment.endpoints["engine-1"].event_gap_s = 1.9
        deployment.endpoints["engine-1"].events = 2
        reply = await deployment.send_request("e1", path, model="m", budget_ms=8000)
        assert reply.is_complete
        assert COMPLETE_STREAM.startswith(reply.body) and reply.body

    routes = configuration()["routes"]
    for route in routes:
        route["timeout_ms"] = 8000
        route["max_attempts"] = 1
    on_deployment(scenario, endpoints=ENDPOINTS, published=configuration(routes=routes))


async def tcp_connections():
    """Return a host's connection with a request, and that of its caller."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    near = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
    far = await listeners[0].accept()
    await listeners[0].aclose()
    conn, caller = server_connection(far, 4096), client_connection(near)
    request = h11.Request(method="GET", target="/", headers=[("host", "api.example")])
    await caller.send(request, h11.EndOfMessage())
    head = await conn.next_event()
    await conn.next_event()
    return conn, caller, head


@pytest.mark.parametrize("turn_s", [0.4, 1.0, 3.0])
def test_complete_response_is_delivered_on_a_late_event_loop(turn_s):
    async def main():
        conn, caller, head = await tcp_connections()
        host = types.SimpleNamespace(
            now=trio.current_time,
            closes_connections=lambda now: False,
            dialect=DIALECT,
        )
        request = edge.CallerRequest(conn, DIALECT.read_head(head), 0.0, 0.0)
        sink = edge._caller_sink(host, request, None)
        response = types.SimpleNamespace(status=200, headers=[])
        with late_loop(turn_s):
            await relay_body(host, sink, types.SimpleNamespace(), response, BODY)
        await conn.close()
        assert (await caller.next_response()).status_code == 200
        assert await collect_body(caller.next_data) == BODY

    trio.run(main)
