"""Closes of callers' connections: leaving, idle time, and lack of descriptors."""

import collections
import functools
import os
import time

import attrs
import pytest
import trio

from cactusmill.internal.descriptors import Descriptors
from cactusmill.serving.events import counts
from cactusmill.serving.gateway_host import DRAIN_S
from standins.loopback import configuration

from .test_late_reads import connect, encode_request
from .test_lost_requests import encode_with_body, receive_responses
from .test_whole_path import on_deployment

# A connection that the host closes is seen to be closed within this time.
CLOSED_S = 2.0
ENDPOINTS = (("desk-1", "east-a", "desk"),)


def end_acceptance(host):
    """Let a host leave that accepts no more requests from now on."""
    host.is_leaving, host.leaving_since = True, host.now() - DRAIN_S - 0.01
    host._leaving.set()


async def open_idle_connection(host):
    """Return a caller's connection on which a response was received."""
    caller = connect(host.cfg.callers)
    caller.sendall(encode_request("/look/1"))
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    caller.setblocking(False)
    response = b""
    while not response.endswith(b"desk-1 ran r-1"):
        response += await stream.receive_some()
    return caller


def is_refused_with_close(response):
    return response.startswith(b"HTTP/1.1 503") and b"connection: close" in response


def test_request_that_has_arrived_on_an_idle_connection_is_refused_at_the_end():
    # The connection was closed under it, with the request unread.
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        callers = [await open_idle_connection(host) for _ in range(8)]
        await trio.sleep(0.6)
        for caller in callers:
            caller.sendall(encode_request("/look/2"))
        end_acceptance(host)
        for caller in callers:
            response = await receive_responses(caller, CLOSED_S)
            assert is_refused_with_close(response), response

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_idle_connections_are_closed_at_the_end_of_the_acceptance():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        caller = await open_idle_connection(host)
        await trio.sleep(0.6)
        end_acceptance(host)
        await deployment.wait_until(lambda: not host.caller_connections, CLOSED_S)
        assert await receive_responses(caller, CLOSED_S) == b""

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_shutdown_leaves_connections_alone_that_discard_what_still_comes():
    # They were closed under the task that read from them, which was logged as a fault.
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        faults = counts["fault"]
        caller = connect(host.cfg.callers)
        head, body = encode_with_body("/none/1")
        caller.sendall(head)
        deployment.endpoints["desk-1"].work_s = 0.6
        other = connect(host.cfg.callers)
        other.sendall(encode_request("/look/1"))
        await trio.sleep(0.1)
        end_acceptance(host)
        await trio.sleep(0.1)
        caller.sendall(body)
        response = await receive_responses(caller)
        assert response.startswith(b"HTTP/1.1 404")
        assert counts["fault"] == faults
        assert (await receive_responses(other, CLOSED_S)).startswith(b"HTTP/1.1 200")

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize("late_s", [0.3, 1.5])
def test_idle_time_that_ends_on_a_late_loop_takes_no_unread_request(late_s):
    async def scenario(deployment):
        caller = await open_idle_connection(deployment.hosts["e1"])
        caller.sendall(encode_request("/look/2"))
        time.sleep(late_s)
        response = await receive_responses(caller, CLOSED_S)
        assert response.startswith(b"HTTP/1.1 200")

    limits = {**configuration()["limits"], "idle_timeout_ms": 250}
    on_deployment(scenario, endpoints=ENDPOINTS, published=configuration(limits=limits))


def test_connections_in_the_backlog_at_the_end_of_the_acceptance_are_refused():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        callers = [connect(host.cfg.callers) for _ in range(100)]
        for caller in callers:
            caller.sendall(encode_request("/look/1"))
        end_acceptance(host)
        for caller in callers:
            response = await receive_responses(caller, CLOSED_S)
            assert is_refused_with_close(response), response

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_request_that_comes_late_on_a_connection_of_the_backlog_is_refused():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        caller = connect(host.cfg.callers)
        end_acceptance(host)
        await trio.sleep(0.2)
        caller.sendall(encode_request("/look/1"))
        response = await receive_responses(caller, CLOSED_S)
        assert is_refused_with_close(response), response

    on_deployment(scenario, endpoints=ENDPOINTS)


def lowest_free_descriptor():
    number = os.open(os.devnull, os.O_RDONLY)
    os.close(number)
    return number


def is_closed(caller):
    try:
        return caller.recv(1) == b""
    except BlockingIOError:
        return False


@pytest.mark.parametrize("is_short", [True, False])
def test_longest_idle_connections_make_room_when_descriptors_run_short(is_short):
    # Idle connections used up the descriptors, and new callers waited in the backlog.
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        idle = [await open_idle_connection(host) for _ in range(12)]
        await trio.sleep(0.6)
        number = lowest_free_descriptor()
        host.descriptors = Descriptors(limit=number if is_short else 8 * number)
        shorts = counts["descriptors_short"]
        for _ in range(3):
            caller = connect(host.cfg.callers)
            caller.sendall(encode_request("/look/2"))
            response = await receive_responses(caller, 0.3)
            assert response.startswith(b"HTTP/1.1 200")
            assert (b"connection: close" in response) == is_short
            caller.close()
        closed = [is_closed(c) for c in idle]
        # The longest idle ones, two for each connection that was accepted at most.
        assert closed == sorted(closed, reverse=True)
        assert (1 <= sum(closed) <= 6) if is_short else not any(closed)
        await trio.sleep(0.7)
        assert (counts["descriptors_short"] > shorts) == is_short

    on_deployment(scenario, endpoints=ENDPOINTS)


def leave_with_grace(host, grace_s):
    """Let a host begin its shutdown, with a grace time in seconds."""
    host.cfg = attrs.evolve(host.cfg, grace_s=grace_s)
    host.is_leaving, host.leaving_since = True, host.now()
    host._leaving.set()


@pytest.mark.parametrize("grace_s", [3.0, 4.0, 8.0])
def test_leaving_host_begins_no_stream_that_its_exit_would_cut(grace_s):
    # It accepted streams for 2.5 s whatever its grace time was, and cut them.
    stream_s = 1.6
    ends = collections.Counter()

    async def scenario(deployment):
        engine = deployment.endpoints["engine-1"]
        engine.events, engine.event_gap_s = 16, stream_s / 16
        send = functools.partial(
            deployment.send_request, "e1", "/draft/1", model="m", budget_ms=10_000
        )
        first = await send(request_id="first")
        assert first.is_complete and first.status == 200
        leave_with_grace(deployment.hosts["e1"], grace_s)
        left_at = trio.current_time()

        async def call(number):
            await trio.sleep_until(left_at + number * 0.15)
            try:
                reply = await send(request_id=f"r-{number}")
            except OSError:
                ends["not connected"] += 1
                return
            whole = "whole" if reply.is_complete else "cut"
            ends[reply.status, whole] += 1

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(call, number)

    published = configuration()
    for route in published["routes"]:
        route["timeout_ms"] = 12_000
    engines = (("engine-1", "east-a", "engines"),)
    on_deployment(scenario, endpoints=engines, published=published)
    # Some are served while there is time, the others are told to go elsewhere.
    assert ends[200, "whole"] >= 2, ends
    assert set(ends) <= {(200, "whole"), (503, "whole"), "not connected"}, ends


def test_leaving_host_serves_short_requests_whose_route_allows_long_ones():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        assert (await deployment.send_request("e1", "/look/1")).status == 200
        leave_with_grace(host, 4.0)
        await trio.sleep(1.5)
        reply = await deployment.send_request("e1", "/look/2", budget_ms=9000)
        assert reply.status == 200 and reply.header(b"connection") == "close"

    published = configuration()
    for route in published["routes"]:
        route["timeout_ms"] = 12_000
    on_deployment(scenario, endpoints=ENDPOINTS, published=published)


@pytest.mark.parametrize("grace_s", [1.5, 3.0])
def test_leaving_host_refuses_new_connections_in_words_for_as_long_as_it_can(grace_s):
    # It closed its listener while callers still used what the directory had said.
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        leave_with_grace(host, grace_s)
        while host.now() < min(host.exits_at - 0.8, host.leaving_since + 2.4):
            reply = await deployment.send_request("e1", "/look/1")
            assert reply.status in (200, 503) and reply.is_complete
            await trio.sleep(0.1)

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_idle_connection_gets_a_response_to_what_crosses_the_end_of_the_acceptance():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        caller = await open_idle_connection(host)
        await trio.sleep(0.6)
        leave_with_grace(host, 8.0)
        await trio.sleep(DRAIN_S + 0.15)
        caller.sendall(encode_request("/look/2"))
        assert await receive_responses(caller, CLOSED_S)

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize("left_s", [0.0, DRAIN_S])
def test_requests_that_have_arrived_behind_one_another_are_all_answered(left_s):
    # The response to the first announced the close, and the others got nothing.
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        deployment.endpoints["desk-1"].work_s = 0.5
        caller = connect(host.cfg.callers)
        caller.sendall(b"".join(encode_request(f"/look/{n}") for n in range(3)))
        await trio.sleep(0.2)
        host.is_leaving, host.leaving_since = True, host.now() - left_s
        responses = await receive_responses(caller, 3.0)
        assert responses.count(b"HTTP/1.1 ") == 3
        assert responses.count(b"connection: close") == 1

    on_deployment(scenario, endpoints=ENDPOINTS)
