"""The callers of the soak, before hosts on loopback and before servers made by hand."""

import contextlib
import hashlib
import json
import pathlib
import random
import struct
import subprocess
import sys
import time

import h11
import pytest
import trio

from cactusmill.errors import CactusmillError
from cactusmill.internal.http import header, read_body, server_connection
from soak.callers.__main__ import run_callers
from soak.callers.caller import Caller, Habit
from soak.callers.directory import Directory
from soak.callers.world import World
from soak.history import Ending, Kind, encode_record, read_history
from soak.proxies import Proxies
from standins.loopback import KEY, configuration, event, next_port, running_deployment

HOSTS = [("e1", "east-a"), ("w1", "west-a")]
ENDPOINTS = [
    ("i-1", "east-a", "engines"),
    ("i-2", "west-a", "engines"),
    ("d-1", "east-a", "desk"),
    ("d-2", "west-a", "desk"),
]
_RESET = struct.pack("ii", 1, 0)


def write_world(path, hosts, until_s, callers=1, **fields):
    path.write_text(
        json.dumps(
            {
                "seed": 1,
                "until": time.monotonic() + until_s,
                "callers": callers,
                "hosts": hosts,
                "configuration": configuration(),
                "keys": {"red": [KEY]},
                **fields,
            }
        )
    )
    world = World(path)
    world.read()
    return world


def hosts_of(deployment):
    return {
        name: {
            "address": host.cfg.callers,
            "region": host.cfg.region,
            "directory": f"{host.cfg.ip}:{deployment.port + 2}",
        }
        for name, host in deployment.hosts.items()
    }


def test_requests_of_callers_are_answered_and_written_down(tmp_path):
    attempts = []

    async def main():
        async with running_deployment(HOSTS, ENDPOINTS) as deployment:
            hosts = hosts_of(deployment)
            world = write_world(tmp_path / "world", hosts, 1.5, callers=30)
            await run_callers(world, attempts.append)
            return {run for e in deployment.endpoints.values() for run in e.runs}

    ran = trio.run(main)
    assert len(attempts) > 100
    assert len({a.request_id for a in attempts}) == len(attempts)
    assert {a.kind for a in attempts} == {*Kind}
    for attempt in attempts:
        assert attempt.ending in (Ending.COMPLETE, Ending.LEFT), attempt
        assert attempt.began_at <= attempt.sent_at <= attempt.ended_at
        if attempt.status != 200 or attempt.ending is Ending.LEFT:
            continue
        assert attempt.request_id in ran
        assert attempt.echoed_id == attempt.request_id
        if attempt.kind in (Kind.STREAM, Kind.RESUMABLE):
            assert attempt.events == (1, 2, 3, 4, 5)
            body = b"".join(event(number) for number in range(1, 6))
            assert attempt.digest == hashlib.sha256(body).hexdigest()
        else:
            signer = attempt.headers["response-signature"].removeprefix("signed-by-")
            body = f"{signer} ran {attempt.request_id}".encode()
            assert attempt.digest == hashlib.sha256(body).hexdigest()
    statuses = [a.status for a in attempts]
    assert statuses.count(200) > 0.8 * len(attempts)
    history = read_history(encode_record(attempt) for attempt in attempts)
    assert history.attempts == attempts


class Server:
    """A host made by hand: it resolves every name to itself.

    ``await handle(stream, conn, head)`` is called with each other request whose head
    has come.
    """

    def __init__(self, handle):
        self.handle, self.heads = handle, []

    async def serve(self, stream):
        conn = server_connection(stream, 64 * 1024)
        with contextlib.suppress(CactusmillError):
            while isinstance(head := await conn.next_event(), h11.Request):
                if head.target.startswith(b"/cactusmill/resolve?"):
                    await read_body(conn, 0)
                    body = {"addresses": [self.address], "ttl_s": 2}
                    await respond(conn, json.dumps(body).encode())
                else:
                    self.heads.append(head)
                    if not await self.handle(self, stream, conn, head):
                        break
                conn.h11.start_next_cycle()
        await trio.aclose_forcefully(stream)

    def ids(self):
        return [header(head.headers, b"request-id") for head in self.heads]


async def respond(conn, body, status=200, headers=()):
    headers = [*headers, ("content-length", str(len(body)))]
    await conn.send(
        h11.Response(status_code=status, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )


async def reset(stream):
    stream.socket.setsockopt(1, 13, _RESET)
    await trio.aclose_forcefully(stream)


def only(name):
    """Return a configuration with one of the routes alone."""
    cfg = configuration()
    return {**cfg, "routes": [r for r in cfg["routes"] if r["name"] == name]}


@pytest.fixture
def run_caller(tmp_path):
    """Return a function that runs a caller before a server, and its attempts."""

    def run(handle, route, habits=(Habit.KEEPS,), until_s=0.3, timeout_ms=1200):
        attempts = []
        server = Server(handle)
        cfg = only(route)
        cfg["routes"][0]["timeout_ms"] = timeout_ms

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                server.address = f"127.0.0.1:{port}"
                nursery.start_soon(trio.serve_listeners, server.serve, listeners)
                host = {"address": server.address, "region": "east"}
                hosts = {"e1": {**host, "directory": server.address}}
                world = write_world(
                    tmp_path / "world", hosts, until_s, configuration=cfg, pause_s=0.02
                )
                rng = random.Random(1)
                directory = Directory(world, "east", rng)
                caller = Caller(
                    "c0", "east", world, directory, rng, set(habits), attempts.append
                )
                with trio.move_on_after(5):
                    await caller.run(lambda: time.monotonic() < world.until)
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert attempts
        return server, attempts

    return run


async def answer(_server, _stream, conn, head):
    await read_body(conn, 10**6)
    await respond(conn, b"ok", headers=[("request-id", "r")])
    return True


def test_connections_are_kept_and_their_requests_counted(run_caller):
    _, attempts = run_caller(answer, "look")
    assert len({a.connection for a in attempts}) == 1
    assert [a.position for a in attempts] == list(range(1, len(attempts) + 1))
    _, attempts = run_caller(answer, "look", habits=())
    assert len({a.connection for a in attempts}) == len(attempts) > 1


def test_an_announced_close_and_a_stated_idle_time_are_respected(run_caller):
    async def announce(_server, _stream, conn, _head):
        await read_body(conn, 10**6)
        await respond(conn, b"ok", headers=[("connection", "close")])
        await trio.sleep(0.5)

    _, attempts = run_caller(announce, "look")
    assert all(a.announces_close and a.position == 1 for a in attempts)

    async def state(_server, _stream, conn, _head):
        await read_body(conn, 10**6)
        await respond(conn, b"ok", headers=[("keep-alive", "timeout=0")])
        return True

    _, attempts = run_caller(state, "look")
    assert len(attempts) > 1 and all(a.position == 1 for a in attempts)


@pytest.mark.parametrize("closes", ["close", "reset"])
def test_a_connection_that_ends_without_a_byte_is_no_answer(run_caller, closes):
    async def end(_server, stream, conn, _head):
        await read_body(conn, 10**6)
        if closes == "reset":
            await reset(stream)
        return False

    _, attempts = run_caller(end, "order")
    assert {a.ending for a in attempts} == {Ending.NO_ANSWER}
    assert {a.is_reset for a in attempts} == {closes == "reset"}
    assert all(a.sent_at is not None and a.first_at is None for a in attempts)


@pytest.mark.parametrize("route, repeats", [("order", False), ("look", True)])
def test_only_what_may_be_repeated_is_sent_again(run_caller, route, repeats):
    async def cut(server, stream, conn, _head):
        await read_body(conn, 10**6)
        if len(server.heads) == 1:
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
            return False
        await respond(conn, b"ok")
        return True

    server, attempts = run_caller(cut, route)
    assert attempts[0].ending is Ending.CUT and attempts[0].response_bytes == 3
    assert (server.heads[0].target == server.heads[1].target) is repeats
    assert attempts[0].connection != attempts[1].connection
    assert server.ids() == [a.request_id for a in attempts]


@pytest.mark.parametrize("status, repeats", [(503, 1), (429, 1), (502, 0), (401, 0)])
def test_unsafe_requests_are_repeated_only_after_a_promise(run_caller, status, repeats):
    async def refuse(server, _stream, conn, _head):
        await read_body(conn, 10**6)
        first = len(server.heads) == 1
        await respond(conn, b"", status if first else 200, [("retry-after", "0.2")])
        return True

    server, attempts = run_caller(refuse, "order", until_s=0.6)
    assert attempts[0].status == status
    assert (server.heads[0].target == server.heads[1].target) == bool(repeats)
    if repeats:
        assert 0.2 <= attempts[1].began_at - attempts[0].ended_at < 0.4
        assert attempts[1].position == 1


def test_retry_after_is_honoured_up_to_a_third_of_the_time_left(run_caller):
    async def refuse(_server, _stream, conn, _head):
        await read_body(conn, 10**6)
        await respond(conn, b"", 503, [("retry-after", "30")])
        return True

    _, attempts = run_caller(refuse, "order", until_s=0.1)
    waited = attempts[1].began_at - attempts[0].ended_at
    assert waited == pytest.approx(attempts[0].budget_s / 3, abs=0.1)


def test_a_resumable_stream_goes_on_after_its_last_event(run_caller):
    async def stream_events(server, stream, conn, head):
        await read_body(conn, 10**6)
        first = int(header(head.headers, b"last-event-id", "0")) + 1
        await conn.send(
            h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])
        )
        for number in range(first, 6):
            data = event(number)
            if number == 3 and first == 1:
                # The last event before the cut is not complete.
                await conn.send(h11.Data(data=data[:-1]))
                return False
            await conn.send(h11.Data(data=data))
        await conn.send(h11.EndOfMessage())
        return True

    server, attempts = run_caller(stream_events, "chat")
    assert attempts[0].ending is Ending.CUT and attempts[0].events == (1, 2)
    assert attempts[0].reason == ""
    assert attempts[1].ending is Ending.COMPLETE and attempts[1].events == (3, 4, 5)
    assert attempts[1].resumes == attempts[0].request_id
    assert attempts[0].resumes == ""
    server, attempts = run_caller(stream_events, "draft")
    assert all(a.resumes == "" for a in attempts)
    assert not any(header(h.headers, b"last-event-id") for h in server.heads)


def test_a_silent_server_is_left_at_the_deadline(run_caller):
    async def stay_silent(_server, _stream, conn, _head):
        await read_body(conn, 10**6)
        await trio.sleep_forever()

    server, attempts = run_caller(stay_silent, "order", timeout_ms=400)
    assert {(a.ending, a.reason) for a in attempts} == {(Ending.LEFT, "deadline")}
    for attempt in attempts:
        lasted = attempt.ended_at - attempt.began_at
        assert lasted == pytest.approx(attempt.budget_s, abs=0.1)


def test_what_is_not_http_is_a_cut(run_caller):
    async def babble(_server, stream, conn, _head):
        await read_body(conn, 10**6)
        await stream.send_all(b"\x00 babble\r\n\r\n")
        return False

    _, attempts = run_caller(babble, "order")
    assert {a.ending for a in attempts} == {Ending.CUT}
    assert attempts[0].reason.startswith("not HTTP")


def test_an_early_refusal_of_a_slow_writer_is_read(run_caller):
    async def refuse(_server, _stream, conn, head):
        if header(head.headers, b"content-length") == "0":
            return await answer(_server, _stream, conn, head)
        await respond(conn, b"no", 413, [("connection", "close")])
        await trio.sleep(0.2)
        return False

    _, attempts = run_caller(refuse, "look", habits=[Habit.SLOW_WRITER], until_s=1)
    refused = [a for a in attempts if a.status == 413]
    assert refused and {a.ending for a in refused} == {Ending.COMPLETE}
    assert {a.sent_at for a in refused} == {None}


def test_pipelined_requests_are_answered_in_order(run_caller):
    async def echo(_server, _stream, conn, head):
        await read_body(conn, 10**6)
        own = header(head.headers, b"request-id")
        await trio.sleep(0.03)
        await respond(conn, own.encode(), headers=[("request-id", own)])
        return True

    habits = [Habit.KEEPS, Habit.PIPELINES]
    _, attempts = run_caller(echo, "look", habits, until_s=0.6)
    assert {a.ending for a in attempts} == {Ending.COMPLETE}
    assert all(a.echoed_id == a.request_id for a in attempts)
    pairs = list(zip(attempts, attempts[1:], strict=False))
    assert any(b.sent_at < a.first_at for a, b in pairs)


def test_what_was_pipelined_behind_an_announced_close_has_no_answer(run_caller):
    async def close(_server, _stream, conn, _head):
        await read_body(conn, 10**6)
        await respond(conn, b"ok", headers=[("connection", "close")])
        await trio.sleep(0.02)
        return False

    habits = [Habit.KEEPS, Habit.PIPELINES]
    _, attempts = run_caller(close, "look", habits, until_s=0.6)
    behind = [a for a in attempts if a.position > 1]
    assert behind
    assert {(a.ending, a.was_closing) for a in behind} == {(Ending.NO_ANSWER, True)}
    assert not any(a.was_closing for a in attempts if a.position == 1)


def test_early_leavers_leave(run_caller):
    async def stay_silent(_server, _stream, conn, _head):
        await read_body(conn, 10**6)
        await trio.sleep_forever()

    habits = [Habit.LEAVES_EARLY]
    _, attempts = run_caller(stay_silent, "order", habits, 3.0, timeout_ms=1500)
    early = [a for a in attempts if a.reason == "habit"]
    assert early and {a.ending for a in early} == {Ending.LEFT}
    assert all(a.ended_at - a.began_at < a.budget_s for a in early)


def test_a_host_that_refuses_connections_is_not_connected(tmp_path):
    attempts = []

    async def main():
        async with running_deployment(HOSTS[:1], ENDPOINTS[:2]) as deployment:
            world = write_world(tmp_path / "world", hosts_of(deployment), 0.3)
            directory = Directory(world, "east", random.Random(1))
            directory._known["api.example"] = ["127.0.0.1:1"], float("inf")
            caller = Caller(
                "c0", "east", world, directory, random.Random(1), set(), attempts.append
            )
            await caller.run(lambda: time.monotonic() < world.until)

    trio.run(main)
    assert {a.ending for a in attempts} == {Ending.NOT_CONNECTED}
    assert {(a.sent_at, a.first_at, a.connection) for a in attempts} == {
        (None, None, "")
    }


def test_requests_still_open_at_the_end_are_written_down(tmp_path, monkeypatch):
    monkeypatch.setattr("soak.callers.__main__.GRACE_S", 0.2)
    attempts = []

    async def main():
        endpoints = [("d-1", "east-a", "desk")]
        async with running_deployment(HOSTS[:1], endpoints) as deployment:
            deployment.endpoints["d-1"].work_s = 60.0
            world = write_world(
                tmp_path / "world",
                hosts_of(deployment),
                0.5,
                callers=3,
                configuration=only("look"),
            )
            await run_callers(world, attempts.append)

    trio.run(main)
    assert {a.ending for a in attempts} == {Ending.OPEN}
    assert len(attempts) >= 3


def test_callers_behind_faulty_proxies(tmp_path, monkeypatch):
    attempts, rng = [], random.Random(1)

    async def strike(proxies, hosts):
        rules = [{"delay_s": 0.05}, *({"silence": s} for s in ("in", "out", "stall"))]
        for _ in range(12):
            host = rng.choice(hosts)
            await proxies.carry_out(json.dumps({"set": host, **rng.choice(rules)}))
            await trio.sleep(0.15)
            await proxies.carry_out(json.dumps({"reset": host, "share": 0.5}))
            await proxies.carry_out(json.dumps({"heal": host}))

    async def main():
        async with (
            running_deployment(HOSTS, ENDPOINTS) as deployment,
            trio.open_nursery() as nursery,
        ):
            for endpoint in deployment.endpoints.values():
                endpoint.event_gap_s = 0.05
            proxies, through = Proxies(nursery, rng), {}
            for name, host in deployment.hosts.items():
                address = f"127.0.0.1:{next_port()}"
                through[host.cfg.callers] = address
                opening = {"open": name, "listen": address, "target": host.cfg.callers}
                assert await proxies.carry_out(json.dumps(opening)) == {"ok": name}
            look_up = Directory.addresses

            async def addresses(directory, name):
                return [through[a] for a in await look_up(directory, name)]

            monkeypatch.setattr(Directory, "addresses", addresses)
            world = write_world(
                tmp_path / "world", hosts_of(deployment), 2.0, callers=30, pause_s=0.4
            )
            nursery.start_soon(strike, proxies, list(deployment.hosts))
            await run_callers(world, attempts.append)
            nursery.cancel_scope.cancel()
            return [run for e in deployment.endpoints.values() for run in e.runs]

    runs = trio.run(main)
    assert len({a.request_id for a in attempts}) == len(attempts) > 100
    assert {a.request_id for a in attempts} >= set(runs)
    endings = {a.ending for a in attempts}
    assert {Ending.COMPLETE, Ending.CUT, Ending.NO_ANSWER} <= endings
    assert Ending.OPEN not in endings
    # A reset by the proxy is one to the caller, which may find out as it writes.
    assert any(a.is_reset for a in attempts if a.ending is Ending.CUT)
    by_id = {a.request_id: a for a in attempts}
    resumed = [a for a in attempts if a.resumes]
    assert resumed
    for attempt in resumed:
        before = by_id[attempt.resumes]
        assert before.route == attempt.route == "chat"
        assert before.ended_at <= attempt.began_at
        if attempt.events:
            assert attempt.events[0] == before.events[-1] + 1


@pytest.mark.processes
def test_the_program_follows_the_file_and_ends_by_itself(tmp_path):
    path = tmp_path / "world"
    write_world(path, {}, 30, callers=0)
    history = tmp_path / "history"
    args = [sys.executable, "-m", "soak.callers", "--world", path, "--history", history]
    root = pathlib.Path(__file__).parents[2]
    process = subprocess.Popen(args, cwd=root)
    try:
        time.sleep(1)
        assert process.poll() is None
        write_world(tmp_path / "next", {}, 0, callers=0)
        (tmp_path / "next").rename(path)
        assert process.wait(10) == 0
    finally:
        process.kill()
    path.write_text("{}")
    done = subprocess.run(args, cwd=root, capture_output=True, text=True)
    assert done.returncode == 1 and "lacks seed, until" in done.stderr
