"""Requests that a host reads late: their callers may have left, their time be over."""

import socket
import time

import pytest
import trio

from cactusmill.internal.link import encode
from cactusmill.internal.net import split_address
from cactusmill.internal.wire.ttypes import Forward, Frame, Header
from cactusmill.serving import edge
from standins.loopback import KEY, configuration, not_executed

from .test_whole_path import BOTH, on_deployment

ENDPOINTS = (
    ("engine-1", "east-a", "engines"),
    ("desk-1", "east-a", "desk"),
)
# Longer than any of these requests takes.
SETTLED_S = 0.4


def encode_request(path, budget_ms=2500):
    model = b"model: m\r\ntoken-usage: 100,30\r\n" if "chat" in path else b""
    return (
        b"POST %s HTTP/1.1\r\nhost: api.example\r\nrequest-id: r-1\r\n"
        b"authorization: Token %s\r\ndeadline-ms: %d\r\ncontent-length: 0\r\n%s\r\n"
        % (path.encode(), KEY.encode(), budget_ms, model)
    )


def connect(address):
    """Return a caller's connection, made without giving the host a turn."""
    return socket.create_connection(split_address(address))


async def open_connections(deployment, path="/look/1"):
    """Let the hosts open the connections that a request needs, which are kept."""
    for number in range(8):
        reply = await deployment.send_request("e1", path, request_id=f"first-{number}")
        assert reply.status == 200
    for endpoint in deployment.endpoints.values():
        endpoint.received.clear()


@pytest.mark.parametrize("path", ["/look/1", "/order/1", "/chat/1"])
@pytest.mark.parametrize("is_accepted", [False, True])
def test_request_is_not_sent_after_its_caller_has_left(path, is_accepted):
    async def scenario(deployment):
        await open_connections(deployment)
        if path == "/chat/1":
            await deployment.send_request("e1", path, model="m")
            deployment.endpoints["engine-1"].received.clear()
        caller = connect(deployment.hosts["e1"].cfg.callers)
        if is_accepted:
            await trio.sleep(0.1)
        caller.sendall(encode_request(path))
        caller.close()
        await trio.sleep(SETTLED_S)
        assert [e.received for e in deployment.endpoints.values()] == [[], []]

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_without_a_look_requests_are_sent_after_their_callers_have_left(monkeypatch):
    async def scenario(deployment):
        await open_connections(deployment)
        caller = connect(deployment.hosts["e1"].cfg.callers)
        caller.sendall(encode_request("/look/1"))
        caller.close()
        await trio.sleep(SETTLED_S)
        assert len(deployment.endpoints["desk-1"].received) == 1

    monkeypatch.setattr(edge, "has_other_end_closed", lambda stream: False)
    on_deployment(scenario, endpoints=ENDPOINTS)


def test_request_is_not_sent_again_after_its_caller_has_left():
    async def scenario(deployment):
        await open_connections(deployment)
        caller = connect(deployment.hosts["e1"].cfg.callers)

        async def reject(endpoint, conn, request):
            caller.close()
            return await not_executed(endpoint, conn, request)

        for endpoint in deployment.endpoints.values():
            endpoint.handler = reject
        caller.sendall(encode_request("/order/1"))
        await trio.sleep(SETTLED_S)
        assert sum(len(e.received) for e in deployment.endpoints.values()) == 1

    routes = configuration()["routes"]
    for route in routes:
        route["max_attempts"] = 2
    on_deployment(
        scenario,
        endpoints=(("desk-1", "east-a", "desk"), ("desk-2", "east-a", "desk")),
        published=configuration(routes=routes),
    )


def test_request_is_not_forwarded_after_its_caller_has_left():
    async def scenario(deployment):
        # Only the other region has an endpoint.
        await open_connections(deployment)
        caller = connect(deployment.hosts["e1"].cfg.callers)
        caller.sendall(encode_request("/look/1"))
        caller.close()
        await trio.sleep(SETTLED_S)
        assert not deployment.endpoints["desk-w"].received

    on_deployment(scenario, hosts=BOTH, endpoints=(("desk-w", "west-a", "desk"),))


def test_forwarded_request_is_not_sent_after_its_link_has_closed():
    async def scenario(deployment):
        message = Forward(
            call=0,
            request_id="r-1",
            route="look",
            team="red",
            records_version=1,
            method="POST",
            target="/look/1",
            headers=[Header("host", "api.example")],
            body=b"",
            remaining_ms=2500,
            incarnation="",
            attempts=1,
            objective_ms=800,
        )
        await open_connections(deployment)
        link = connect(deployment.hosts["e1"].cfg.peers)
        link.sendall(encode(Frame(forward=message)))
        link.close()
        await trio.sleep(SETTLED_S)
        assert not deployment.endpoints["desk-1"].received

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize("path", ["/look/1", "/order/1"])
def test_time_for_which_a_request_was_unread_counts_towards_its_deadline(path):
    async def scenario(deployment):
        await open_connections(deployment)
        caller = connect(deployment.hosts["e1"].cfg.callers)
        await trio.sleep(0.1)
        caller.sendall(encode_request(path, budget_ms=600))
        time.sleep(1.5)
        await trio.sleep(SETTLED_S)
        assert caller.recv(65536).startswith(b"HTTP/1.1 503")
        assert not deployment.endpoints["desk-1"].received
        caller.close()

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_close_behind_much_that_a_caller_sent_ahead_cancels_its_request():
    async def scenario(deployment):
        endpoint = deployment.endpoints["engine-1"]
        endpoint.event_gap_s = 1.5
        caller = connect(deployment.hosts["e1"].cfg.callers)
        caller.sendall(encode_request("/chat/1"))
        caller.sendall(encode_request("/look/2") * 600)
        await trio.sleep(0.2)
        assert endpoint.runs
        caller.close()
        host = deployment.hosts["e1"]
        await deployment.wait_until(lambda: not host.busy_connections, 0.6)

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_request_whose_body_does_not_come_is_answered_at_its_deadline():
    async def scenario(deployment):
        caller = connect(deployment.hosts["e1"].cfg.callers)
        head = encode_request("/look/1", budget_ms=500)
        caller.sendall(head.replace(b"content-length: 0", b"content-length: 9"))
        await trio.sleep(0.9)
        caller.setblocking(False)
        assert caller.recv(65536).startswith(b"HTTP/1.1 408")
        caller.close()

    on_deployment(scenario, endpoints=ENDPOINTS)
