"""Shutdown of a host's process, over TCP on loopback."""

import random
import socket
import time
import types

import pytest
import trio
from returns.result import Success

from cactusmill.internal import link_server
from cactusmill.internal.descriptors import Descriptors
from cactusmill.internal.host_process import HostProcess
from cactusmill.internal.http import is_idle_and_open
from cactusmill.settings import parse_settings

from ..helpers import change, settings_data

DRAIN_S = 0.05
REQUEST = b"GET /v1/hosts HTTP/1.1\r\nhost: api.example\r\n\r\n"


def new_host():
    """Return a host that drains within `DRAIN_S`, and its port for callers."""
    port = 21_000 + random.SystemRandom().randrange(11_000)
    data = {**settings_data(), "callers": f"127.0.0.1:{port}", "drain_s": DRAIN_S}
    return HostProcess(parse_settings(data)), port


@pytest.mark.parametrize("number", range(2))
def test_connections_in_the_backlog_get_responses_before_the_process_ends(
    number,
):
    # It ended once it had no connection, and reset those that it had not accepted.
    async def main():
        host, port = new_host()
        callers = [socket.socket() for _ in range(100)]
        async with trio.open_nursery() as nursery:
            host.nursery = nursery
            await host._listen_to_callers()
            nursery.start_soon(host.shut_down)
            await trio.sleep(DRAIN_S / 2)
            time.sleep(DRAIN_S)
            for caller in callers:
                caller.connect(("127.0.0.1", port))
                caller.sendall(REQUEST)
        for caller in callers:
            response = caller.recv(65536)
            assert response.startswith(b"HTTP/1.1 401")
            assert b"connection: close" in response
            caller.close()

    trio.run(main)


@pytest.mark.parametrize("is_short", [True, False])
def test_longest_idle_connections_make_room_when_descriptors_run_short(is_short):
    async def open_connection(port):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(REQUEST.replace(b"/v1/hosts", b"/open"))
        response = b""
        while b"\r\n\r\n" not in response:
            response += await stream.receive_some()
        return stream, b"connection: close" in response

    async def main():
        host, port = new_host()
        # An open route without endpoints: refused once the request was read whole.
        body = {"prefix": "/open", "kind": "service", "service": "s", "open": True}
        host.records.apply([change("route", "open", body, 1)], 1)
        async with trio.open_nursery() as nursery:
            host.nursery = nursery
            await host._listen_to_callers()
            idle = [await open_connection(port) for _ in range(6)]
            assert not any(is_announced for _, is_announced in idle)
            await trio.sleep(0.6)
            number = idle[-1][0].socket.fileno()
            host.descriptors = Descriptors(limit=number if is_short else 8 * number)
            _, is_announced = await open_connection(port)
            assert is_announced == is_short
            await trio.sleep(0.1)
            closed = [not is_idle_and_open(stream) for stream, _ in idle]
            assert closed == [is_short] * 2 + [False] * 4
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_shutdown_waits_for_requests_that_other_hosts_forwarded(monkeypatch):
    # Their streams were cut when the process had no callers of its own.
    ended = []

    async def run(host, message, unread_s, sink):
        await trio.sleep(0.3)
        ended.append(message.call)
        return Success(None)

    monkeypatch.setattr(link_server, "_run_forward", run)

    async def main():
        host, _ = new_host()
        message = types.SimpleNamespace(call=7, request_id="r-7")
        link = types.SimpleNamespace(send=None, stream=None)
        async with trio.open_nursery() as nursery:
            host.nursery = nursery
            await host._listen_to_callers()
            nursery.start_soon(
                link_server._serve_forward,
                host,
                link,
                message,
                0.0,
                trio.CancelScope(),
                {},
            )
            await host.shut_down()
        assert ended == [7]

    trio.run(main)
