"""Requests with methods that few callers use."""

import h11
import pytest
import trio

from cactusmill.internal.http import client_connection
from standins.loopback import KEY, running_deployment


async def ask(address, method, target, **headers):
    """Return the status, the content length and the body of a response."""
    ip, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(ip, int(port))
    conn = client_connection(stream)
    with trio.fail_after(5):
        fields = {"host": "api.example", "request-id": "r-1", **headers}
        await conn.send(
            h11.Request(method=method, target=target, headers=list(fields.items())),
            h11.EndOfMessage(),
        )
        head, body = await conn.next_event(), b""
        assert isinstance(head, h11.Response), head
        while isinstance(event := await conn.next_event(), h11.Data):
            body += event.data
    await trio.aclose_forcefully(stream)
    length = dict(head.headers).get(b"content-length")
    return head.status_code, length, body


def ask_a_host(ask_it):
    async def run():
        hosts, endpoints = (("h1", "east-a"),), (("e1", "east-a", "desk"),)
        async with running_deployment(hosts, endpoints) as deployment:
            await deployment.wait_until_ready()
            host = deployment.hosts["h1"]
            result = await ask_it(deployment, host)
            # The process goes on.
            reply = await deployment.send_request("h1", "/look/1")
            assert reply.status == 200
            return result

    return trio.run(run)


@pytest.mark.parametrize(
    "path", ["/cactusmill/ready", "/cactusmill/resolve?name=api.example&region=east"]
)
def test_head_of_a_page_has_its_length_and_no_body(path):
    """Guards against the end of the process by a probe with HEAD."""

    async def ask_it(deployment, host):
        address = f"{host.cfg.ip}:{deployment.port + 2}"
        whole = await ask(address, "GET", path)
        return whole, await ask(address, "HEAD", path)

    (status, length, body), head = ask_a_host(ask_it)
    assert status == 200 and body and head == (200, length, b"")


@pytest.mark.parametrize("method", ["CONNECT", "DELETE", "BREW"])
def test_other_methods_are_refused_by_pages(method):
    """Guards against the end of the process by a tunnel that nobody offers."""

    async def ask_it(deployment, host):
        address = f"{host.cfg.ip}:{deployment.port + 2}"
        return await ask(address, method, "/cactusmill/ready")

    assert ask_a_host(ask_it) == (405, b"0", b"")


def test_refused_head_request_gets_its_refusal():
    """Guards against a close without an answer, as a refusal to HEAD has no body."""

    async def ask_it(deployment, host):
        unknown = await ask(host.cfg.callers, "HEAD", "/nowhere/1")
        no_key = await ask(host.cfg.callers, "HEAD", "/look/1")
        credentials = {"authorization": f"Token {KEY}"}
        return (
            unknown,
            no_key,
            await ask(host.cfg.callers, "HEAD", "/look/1", **credentials),
        )

    unknown, no_key, _ = ask_a_host(ask_it)
    assert unknown[0] == 404 and no_key[0] == 401
    assert not unknown[2] and not no_key[2]
