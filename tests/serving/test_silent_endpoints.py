"""Endpoints and hosts that fall silent for a while and go on.

Whoever is silent is given up only if another endpoint takes over at once.
"""

import pathlib
import signal
import socket
import subprocess
import sys
import time
import types

import pytest
import trio

from cactusmill.errors import (
    ConnectError,
    ConnectRefusedError,
    NoEndpoint,
    SilentEndpointError,
)
from cactusmill.internal.http import client_connection, read_body
from cactusmill.internal.link import Link, encode
from cactusmill.internal.net import Network
from cactusmill.internal.patience import give_up_always, receive_patiently
from cactusmill.internal.wire.ttypes import AnswerData, Frame
from cactusmill.serving import dispatch, events
from cactusmill.serving.connections import (
    IDLE_SILENCE_MS,
    IN_USE_SILENCE_MS,
    ConnectionPool,
    enable_dead_peer_detection,
)
from cactusmill.serving.forwarding import LinkPool
from cactusmill.serving.overload import Send
from cactusmill.serving.placement import Placement
from standins.loopback import EndpointStub, configuration
from standins.silences import QUERY, Place, silent_handler, whole_body

from .test_connections import tcp_pair
from .test_crashes import crash_counts
from .test_whole_path import BOTH, COMPLETE_STREAM, ENDPOINTS, on_deployment

ROOT = pathlib.Path(__file__).parents[2]

LIMIT_S = 0.1


async def never(is_silent):
    return False


def receive_after(silence_s, may_give_up):
    """Return what is received from an end that is silent for a time first."""

    async def main():
        near, far = await tcp_pair()

        async def send():
            await trio.sleep(silence_s)
            await far.send_all(b"on")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            data = await receive_patiently(
                near.receive_some, near, LIMIT_S, may_give_up
            )
            nursery.cancel_scope.cancel()
        return data

    return trio.run(main)


def test_silence_that_nothing_takes_over_is_waited_for():
    assert receive_after(0.6, never) == b"on"


def test_silence_is_given_up_once_something_takes_over():
    with pytest.raises(BaseException) as caught:
        receive_after(0.6, give_up_always)
    assert caught.group_contains(SilentEndpointError)


def test_silence_that_ends_while_another_is_looked_for_is_no_failure():
    async def look(is_silent):
        await trio.sleep(0.2)
        return is_silent()

    assert receive_after(LIMIT_S + 0.1, look) == b"on"


def test_late_loop_reads_what_has_arrived_before_it_gives_up():
    async def main():
        near, far = await tcp_pair()
        await far.send_all(b"on")

        async def receive():
            # The limit passes before the bytes are looked at.
            time.sleep(2 * LIMIT_S)
            await trio.lowlevel.checkpoint()
            return await near.receive_some()

        calls = []

        async def receive_late_once():
            calls.append(None)
            return await (receive if len(calls) == 1 else near.receive_some)()

        return await receive_patiently(receive_late_once, near, LIMIT_S, give_up_always)

    assert trio.run(main) == b"on"


def test_frame_whose_reception_is_cancelled_is_received_whole_later():
    frame = Frame(answer_data=AnswerData(call=1, data=b"d" * 900))
    data = encode(frame)

    async def main():
        near, far = await tcp_pair()
        link = Link(near)
        for piece in (data[:2], data[2:300], data[300:]):
            await far.send_all(piece)
            with trio.move_on_after(0.05):
                return await link.receive()

    assert trio.run(main) == frame


@pytest.mark.parametrize(
    ("silence_ms", "is_delivered"),
    [(IN_USE_SILENCE_MS, True), (IDLE_SILENCE_MS, False)],
)
def test_operating_system_does_not_cut_an_end_that_reads_nothing_for_a_while(
    silence_ms, is_delivered
):
    """The second case is the twin, with the limit of idle connections."""
    body = b"b" * 1_000_000

    async def main():
        near, far = await tcp_pair()
        enable_dead_peer_detection(near, silence_ms)
        received = bytearray()

        async def read_late():
            await trio.sleep(2.5)
            while len(received) < len(body):
                received.extend(await far.receive_some())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_late)
            try:
                await near.send_all(body)
            except trio.BrokenResourceError:
                nursery.cancel_scope.cancel()
        return bytes(received) == body

    assert trio.run(main) == is_delivered


def silence_ms(stream):
    return stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_limit_of_silence_follows_the_use_of_a_connection():
    async def main():
        near, _ = await tcp_pair()
        conn = client_connection(near)
        pool = ConnectionPool(net=None)
        pool.put_back("desk", conn, 0.0)
        idle_ms = silence_ms(near)
        acquired, was_used = await pool.acquire("desk", "", 0.1)
        assert acquired is conn and was_used
        return idle_ms, silence_ms(near)

    assert trio.run(main) == (IDLE_SILENCE_MS, IN_USE_SILENCE_MS)


def test_limit_of_silence_follows_the_use_of_a_link():
    async def main():
        near, _ = await tcp_pair()
        link = Link(near)
        pool = LinkPool(net=None, port=0)
        await pool.release("127.0.0.1", link, 0.0)
        idle_ms = silence_ms(near)
        acquired, was_used = await pool.acquire("127.0.0.1", 0.1)
        assert acquired is link and was_used
        return idle_ms, silence_ms(near)

    assert trio.run(main) == (IDLE_SILENCE_MS, IN_USE_SILENCE_MS)


def test_limit_of_the_operating_system_outlasts_the_repetition_after_a_silence():
    # A segment repeated just before the end of a silence of 1.9 s is repeated again
    # after as long, and is then acknowledged over the longest path.
    silence_s, first_repetition_s, round_trip_s = 1.9, 0.4, 0.2
    assert 2 * silence_s + first_repetition_s + round_trip_s < IN_USE_SILENCE_MS / 1000


@pytest.mark.parametrize(
    ("error", "crashes"), [(ConnectError("silent"), 0), (ConnectRefusedError("no"), 1)]
)
def test_only_an_endpoint_that_refuses_connections_makes_a_crash_suspect(
    error, crashes
):
    async def connect(address, timeout_s):
        raise error

    async def scenario(deployment):
        host = deployment.hosts["e1"]

        async def reset(endpoint, conn, request):
            await read_body(conn, 10**6)
            host.pool.net = Network(connect, None)
            return False

        deployment.endpoints["desk-1"].handler = reset
        reply = await deployment.send_request("e1", "/order/1")
        assert reply.status == 502
        assert crash_counts(host) == [1] * crashes

    on_deployment(scenario, endpoints=ENDPOINTS)


ENGINES = (("engine-1", "east-a", "engines"), ("engine-2", "east-a", "engines"))
ROUTES = ("look", "order", "chat", "draft")
SITES = {
    "local": {"endpoints": ENDPOINTS[::2]},
    "forwarded": {
        "hosts": BOTH,
        "endpoints": (("engine-1", "west-a", "engines"), ("desk-1", "west-a", "desk")),
    },
}


def patient_configuration(max_attempts=2):
    """Return a configuration whose routes leave time for silences."""
    routes = configuration()["routes"]
    for route in routes:
        route["timeout_ms"] = route["target_latency_ms"] = 8000
        if max_attempts < route["max_attempts"]:
            route["max_attempts"] = max_attempts
    return configuration(routes=routes)


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("silence_s", [0.8, 1.2, 1.9])
def test_response_of_a_silent_endpoint_without_another_is_whole(silence_s, site):
    """Each kind of route, silent at each place, all at once."""
    failed = []

    async def scenario(deployment):
        for endpoint in deployment.endpoints.values():
            endpoint.handler = silent_handler(silence_s)

        async def call(route, place):
            request_id = f"{route}-{place.value}"
            reply = await deployment.send_request(
                "e1",
                f"/{route}/1?{QUERY.decode()}{place.value}",
                request_id=request_id,
                model="m" if route in ("chat", "draft") else "",
                budget_ms=8000,
            )
            whole = b"".join(whole_body(request_id))
            if not reply.is_complete or reply.body != whole:
                failed.append((request_id, reply))

        async with trio.open_nursery() as nursery:
            for route in ROUTES:
                for place in Place:
                    nursery.start_soon(call, route, place)
        runs = [run for e in deployment.endpoints.values() for run in e.runs]
        assert not failed
        assert sorted(runs) == sorted(f"{r}-{p.value}" for r in ROUTES for p in Place)

    on_deployment(scenario, published=patient_configuration(), **SITES[site])


def stream_of_two_engines(change, max_attempts=2):
    """Return the runs of a stream whose first engine is silent for 3 s, and its time.

    ``change(deployment, other)`` is called once it is silent, with the other engine.
    """
    found = []

    async def scenario(deployment):
        started_at = trio.current_time()

        async def hold_stream(endpoint, conn, request):
            for other in deployment.endpoints.values():
                if other is not endpoint:
                    other.handler = silent_handler(0.0)
                    change(deployment, other)
            return await silent_handler(3.0)(endpoint, conn, request)

        for endpoint in deployment.endpoints.values():
            endpoint.handler = hold_stream
        path = f"/chat/1?{QUERY.decode()}{Place.BETWEEN_PIECES.value}"
        reply = await deployment.send_request("e1", path, model="m", budget_ms=8000)
        assert reply.is_complete and reply.body == b"".join(whole_body("r-1"))
        runs = sum(len(e.runs) for e in deployment.endpoints.values())
        found.append((runs, trio.current_time() - started_at))

    on_deployment(
        scenario,
        endpoints=ENGINES,
        published=patient_configuration(max_attempts),
    )
    return found[0]


def test_silent_stream_goes_on_at_another_endpoint_that_takes_it_over():
    runs, took_s = stream_of_two_engines(lambda deployment, other: None)
    assert runs == 2 and took_s < 2.9


def close_listener(deployment, other):
    deployment.scopes[other.name].cancel()


def spend_retries(deployment, other):
    for host in deployment.hosts.values():
        budget = host.retry_budget("engines", host.now())
        budget.credit = 0.0


@pytest.mark.parametrize("change", [close_listener, spend_retries])
def test_silent_stream_is_kept_if_no_other_endpoint_can_take_it_over(change):
    runs, took_s = stream_of_two_engines(change)
    assert runs == 1 and took_s >= 3.0


def reserve_together(monkeypatch, place_count, streams):
    """Return the endpoints reserved by streams that fall silent in the same moment.

    Each of two endpoints has places for `place_count` requests.
    """
    sent = []

    def next_step(host, req, progress, is_forwarded, silent=()):
        for name in ("engine-1", "engine-2"):
            if sent.count(name) < place_count:
                endpoint = types.SimpleNamespace(name=name, address=name)
                choice = types.SimpleNamespace(endpoint=endpoint, entry=None)
                return Send(choice=choice)
        return NoEndpoint(detail="no place is left")

    async def probe(name, address, now):
        await trio.sleep(0.01)

    monkeypatch.setattr(dispatch, "_next_step", next_step)
    budget = types.SimpleNamespace(credit=10.0, spend=lambda: True)
    host = types.SimpleNamespace(
        now=trio.current_time,
        retry_budget=lambda service, now: budget,
        pool=types.SimpleNamespace(probe=probe),
        loop=types.SimpleNamespace(lag_s=lambda now: 0.0),
    )
    route = types.SimpleNamespace(repeatable=True)
    req = types.SimpleNamespace(route=route, service="engines")

    async def fall_silent():
        progress = types.SimpleNamespace(attempts_left=2, endpoint="engine-0")
        args = (host, req, progress, False, lambda: True)
        if not await dispatch._try_reserve_step(*args):
            sent.append(progress.reserved_step.choice.endpoint.name)

    async def main():
        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                nursery.start_soon(fall_silent)

    trio.run(main)
    return sent


def test_streams_that_fall_silent_together_take_only_the_places_there_are(monkeypatch):
    sent = reserve_together(monkeypatch, place_count=1, streams=5)
    assert sorted(sent) == ["engine-1", "engine-2"]


def test_streams_that_fall_silent_together_all_go_on_where_there_are_places(
    monkeypatch,
):
    sent = reserve_together(monkeypatch, place_count=3, streams=5)
    assert sorted(sent) == ["engine-1"] * 3 + ["engine-2"] * 2


def test_silent_stream_does_not_go_on_at_an_endpoint_that_begins_to_drain(monkeypatch):
    """It begins to drain while it is looked at whether it accepts connections."""
    probe = ConnectionPool.probe

    def drain_while_probed(deployment, other):
        async def probe_and_drain(pool, name, address, now):
            await probe(pool, name, address, now)
            monkeypatch.setattr(Placement, "eligible_endpoints", lambda *args: [])

        monkeypatch.setattr(ConnectionPool, "probe", probe_and_drain)

    runs, took_s = stream_of_two_engines(drain_while_probed)
    assert runs == 1 and took_s >= 3.0


@pytest.mark.parametrize(
    ("error", "unreachable_count"), [(ConnectError, 0), (ConnectRefusedError, 1)]
)
def test_probe_that_only_takes_too_long_begins_no_backoff(
    monkeypatch, error, unreachable_count
):
    found = []

    async def fail(pool, name, address, now):
        raise error("as in this test")

    def change(deployment, other):
        monkeypatch.setattr(ConnectionPool, "probe", fail)
        record = Placement.record_unreachable

        def record_and_count(placement, entry, is_refused, now):
            found.append(entry.endpoint.name)
            record(placement, entry, is_refused, now)

        monkeypatch.setattr(Placement, "record_unreachable", record_and_count)

    stream_of_two_engines(change)
    assert len(set(found)) == unreachable_count


def test_silent_stream_is_kept_without_another_attempt():
    runs, _ = stream_of_two_engines(lambda deployment, other: None, max_attempts=1)
    assert runs == 1


def test_check_detects_a_stream_that_is_given_up_without_another_step(monkeypatch):
    async def reserve_nothing(*args):
        return ""

    monkeypatch.setattr(dispatch, "_try_reserve_step", reserve_nothing)

    async def scenario(deployment):
        deployment.endpoints["engine-1"].handler = silent_handler(1.9)
        path = f"/chat/1?{QUERY.decode()}{Place.BETWEEN_PIECES.value}"
        reply = await deployment.send_request("e1", path, model="m", budget_ms=8000)
        assert not reply.is_complete

    on_deployment(scenario, endpoints=ENDPOINTS[::2], published=patient_configuration())


@pytest.mark.parametrize("route", ROUTES)
def test_endpoint_silent_for_ever_behind_its_head_is_bounded_by_the_deadline(route):
    async def scenario(deployment):
        before = events.counts["endpoint_silent"]
        for endpoint in deployment.endpoints.values():
            endpoint.handler = silent_handler(0.0, is_forever=True)
        started_at = trio.current_time()
        reply = await deployment.send_request(
            "e1",
            f"/{route}/1?{QUERY.decode()}{Place.BETWEEN_PIECES.value}",
            model="m" if route in ("chat", "draft") else "",
            budget_ms=2500,
        )
        assert not reply.is_complete or reply.status == 504
        assert 2.4 < trio.current_time() - started_at < 3.0
        assert events.counts["endpoint_silent"] == before + 1

    on_deployment(scenario, endpoints=ENDPOINTS[::2])


def test_stream_of_a_stopped_process_goes_on():
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.silences"]
        + ["--name", "engine-1", "--listen", "127.0.0.1:0"],
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )

    async def scenario(deployment):
        stub = EndpointStub("engine-1", "east-a", "engines")
        stub.address = f"127.0.0.1:{int(process.stdout.readline())}"
        deployment.store.put("servers/engine-1", stub.entry())
        catalog = deployment.hosts["e1"].catalog
        await deployment.wait_until(lambda: catalog.listed_for("engines"))

        async def stop_for_a_while():
            await trio.sleep(0.25)
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(1.9)
            process.send_signal(signal.SIGCONT)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_for_a_while)
            started_at = trio.current_time()
            reply = await deployment.send_request(
                "e1", "/chat/1", model="m", budget_ms=8000
            )
            assert reply.is_complete and reply.body == COMPLETE_STREAM
            assert trio.current_time() - started_at > 1.9

    try:
        on_deployment(scenario, published=patient_configuration())
    finally:
        process.kill()
        process.wait()


async def reject_as_not_run(endpoint, conn, request):
    await read_body(conn, 10**7)
    await conn.stream.send_all(
        b"HTTP/1.1 503 Unavailable\r\nnot-executed: 1\r\n"
        b"response-signature: s\r\ncontent-length: 0\r\n\r\n"
    )
    return False


async def close_without_response(endpoint, conn, request):
    await conn.stream.aclose()
    return False


@pytest.mark.parametrize(
    ("handler", "max_attempts"),
    [(reject_as_not_run, 2), (reject_as_not_run, 4), (close_without_response, 2)],
)
def test_takeover_that_fails_does_not_cut_the_silent_stream(handler, max_attempts):
    # It was given up before the endpoint that was to take over had sent its head.
    def change(deployment, other):
        other.handler = handler

    stream_of_two_engines(change, max_attempts)
