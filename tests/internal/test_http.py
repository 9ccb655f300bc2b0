"""Requests of callers, whatever they send."""

import itertools
import socket
import struct
from types import SimpleNamespace

import h11
import pytest
import trio
import trio.testing
from hypothesis import example, given
from hypothesis import strategies as st

from cactusmill.errors import BadRequestError, Outcome, UnknownKey
from cactusmill.internal import directory, edge
from cactusmill.internal.account import Account
from cactusmill.internal.caller_request import CallerRequest
from cactusmill.internal.http import (
    MAX_COUNT,
    has_other_end_closed,
    parse_count,
    read_body,
    read_page_request,
    server_connection,
)
from cactusmill.internal.idle_waits import IdleWaits
from cactusmill.internal.key_scopes import KeyScopes
from cactusmill.serving import edge as serving_edge

IDLE = {"our_state": h11.IDLE, "their_state": h11.IDLE}
POST = b"POST /order/1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


def run_with_caller(scenario, first, again, pause_s=0.0):
    """Run a scenario with the connection of a caller that sends without end."""

    async def main():
        near, far = trio.testing.memory_stream_pair()

        async def send_forever():
            await far.send_all(first)
            for _ in itertools.count():
                await far.send_all(again)
                await trio.sleep(pause_s)

        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_forever)
                await scenario(server_connection(near, 16 * 1024))
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ("again", "status"),
    [
        (b"1000\r\n" + b"x" * 4096 + b"\r\n", 413),
        (b"1\r\nx\r\n" * 100, 400),
        (b"5;" + b"e" * 4096, 400),
    ],
)
def test_request_body_without_end_is_refused(again, status):
    async def scenario(conn):
        await conn.next_event()
        with pytest.raises(BadRequestError) as caught:
            await read_body(conn, 4 * 1024 * 1024)
        assert caught.value.status == status

    run_with_caller(scenario, POST, again)


@pytest.mark.parametrize(
    ("again", "pause_s"), [(b"1000\r\n" + b"x" * 4096 + b"\r\n", 0), (b"1\r\nx\r\n", 1)]
)
def test_request_for_a_page_without_end_is_given_up(again, pause_s):
    async def scenario(conn):
        assert await read_page_request(conn, 5.0) is None

    run_with_caller(scenario, POST, again, pause_s)


def test_request_for_a_page_is_read_with_its_body():
    async def scenario(conn):
        head = await read_page_request(conn, 5.0)
        assert head.target == b"/order/1"
        assert (await read_page_request(conn, 5.0)) is None

    run_with_caller(scenario, POST + b"3\r\nown\r\n0\r\n\r\n", b"", 1)


@pytest.mark.parametrize("ending", ["close", "reset", "half-close"])
@pytest.mark.parametrize("unread", [b"", b"pipelined"])
def test_close_behind_unread_data_is_seen(ending, unread):
    async def main():
        listener = socket.create_server(("127.0.0.1", 0))
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        listener.close()
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
        theirs.send(unread)
        assert not has_other_end_closed(stream)
        if ending == "half-close":
            theirs.shutdown(socket.SHUT_WR)
        elif ending == "reset":
            linger = struct.pack("ii", 1, 0)
            theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if ending != "half-close":
            theirs.close()
        assert has_other_end_closed(stream)
        await stream.aclose()
        assert has_other_end_closed(stream)

    trio.run(main)


def test_caller_that_sent_ahead_is_still_seen_to_leave():
    async def main():
        listener = socket.create_server(("127.0.0.1", 0))
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        listener.close()
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
        with trio.move_on_after(5) as scope:
            async with trio.open_nursery() as nursery:
                conn = server_connection(stream, 16 * 1024)
                nursery.start_soon(edge._cancel_on_hangup, conn, nursery.cancel_scope)
                theirs.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                await trio.sleep(0.1)
                theirs.close()
                await trio.sleep_forever()
        assert not scope.cancelled_caught
        await stream.aclose()

    trio.run(main)


@given(st.integers() | st.text())
@example("\xb2")
@example("9" * 5000)
@example(MAX_COUNT)
@example(MAX_COUNT + 1)
def test_counts_are_whole_numbers_within_bounds(value):
    count = parse_count(str(value))
    if isinstance(value, int):
        assert count == (value if 0 <= value <= MAX_COUNT else None)
    else:
        assert count is None or count == int(value) <= MAX_COUNT


@pytest.mark.parametrize("value", [b"\xb2", b"9" * 5000, b"-1"])
def test_number_of_identifiers_that_is_no_count_is_ignored(value):
    assert directory._requested_identifiers(b"/v1/hosts?identifiers=" + value) == 0


@pytest.mark.parametrize("announced_close", [False, True])
def test_announced_close_behind_a_raw_response_destroys_nothing(
    monkeypatch, announced_close
):
    # What the caller had sent meanwhile was unread, so that the close sent a reset.
    lingered = []

    async def handle(host, caller):
        caller.announced_close = announced_close
        monkeypatch.setattr(caller.conn, "h11", SimpleNamespace(**IDLE))

    async def linger(conn):
        lingered.append(conn)

    async def main():
        near, far = trio.testing.memory_stream_pair()
        host = SimpleNamespace(
            now=trio.current_time,
            loop=SimpleNamespace(estimate_arrival=lambda start, now: now),
            idle_callers=IdleWaits(trio.current_time),
            cfg=SimpleNamespace(idle_timeout_s=5.0),
        )
        await far.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        return await edge._serve_request(host, server_connection(near, 16384), 0.0)

    monkeypatch.setattr(edge, "_handle_request", handle)
    monkeypatch.setattr(edge, "lingering_close", linger)
    assert trio.run(main) is not announced_close
    assert len(lingered) == announced_close


@pytest.mark.parametrize("repeatable", [False, True])
def test_withdrawn_key_does_not_promise_that_a_running_request_did_not_run(
    monkeypatch, repeatable
):
    async def run(host, req, sink):
        host.key_scopes.cancel_withdrawn(SimpleNamespace(key_is_active=lambda d: False))
        await trio.sleep_forever()

    async def main():
        near, _ = trio.testing.memory_stream_pair()
        conn = server_connection(near, 16384)
        head = h11.Request(method="POST", target="/", headers=[("host", "x")])
        caller = CallerRequest(conn, head, "q", 0.0, 0.0, is_dispatched=True)
        host = SimpleNamespace(key_scopes=KeyScopes())
        req = SimpleNamespace(route=SimpleNamespace(repeatable=repeatable))
        key = SimpleNamespace(digest="d")
        with trio.fail_after(5):
            return await edge._run_cancellable(host, caller, req, key)

    monkeypatch.setattr(edge, "run_repeatable", run)
    monkeypatch.setattr(edge, "run_at_most_once", run)
    refusal = trio.run(main).failure()
    assert isinstance(refusal, UnknownKey) and refusal.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("module", [edge, serving_edge])
def test_malformed_head_that_cannot_be_answered_is_no_internal_fault(module):
    async def main():
        near, far = trio.testing.memory_stream_pair()
        await far.aclose()
        conn = server_connection(near, 16384)
        conn.is_writing = True
        host = SimpleNamespace(account=Account())
        refuse = getattr(module, "_reject_head", None) or module._refuse_malformed
        await refuse(host, conn, 400, "a problem of the test")
        return host.account.ended

    assert trio.run(main) == {("cut", "malformed request"): 1}
