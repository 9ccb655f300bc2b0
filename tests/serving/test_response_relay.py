"""Tests of the relay of responses when deadlines pass at any moment."""

import collections
import contextlib
import time
import types

import attrs
import h11
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusmill.errors import AnswerCutError, CallerGoneError, ExchangeError
from cactusmill.internal.account import Account
from cactusmill.internal.answer_frames import answer_sink
from cactusmill.internal.framing import Framing, ReceivedBody
from cactusmill.internal.http import (
    MAX_JOINED_BYTES,
    RECEIVE_BYTES,
    Connection,
    client_connection,
    header,
    read_body,
)
from cactusmill.internal.link import Link
from cactusmill.internal.patience import give_up_always
from cactusmill.internal.request import Sink
from cactusmill.serving import dispatch, events, forwarding, response_relay, sending
from cactusmill.serving.connections import ConnectionPool, exchange
from cactusmill.serving.progress import Progress
from standins.late_loop import late_loop
from standins.loopback import configuration, event, not_executed, running_deployment

from .test_connections import tcp_pair
from .test_placement import req

BUDGET_MS = 250
# A stream's budget covers its predicted length.
STREAM_BUDGET_MS = 2200


def after_the_deadline(function, budget_ms=BUDGET_MS):
    """Return an asynchronous function that is called once the deadline has passed."""

    async def call(*args):
        with trio.CancelScope(shield=True):
            await trio.sleep(0.1 + budget_ms / 1000)
        return await function(*args)

    return call


async def begin_stream(endpoint, conn, request):
    """Send the head and the first event of a response."""
    await read_body(conn, 10**6)
    head = h11.Response(
        status_code=200,
        headers=[
            ("content-type", "text/event-stream"),
            ("request-id", header(request.headers, b"request-id")),
            ("response-signature", endpoint.name),
        ],
    )
    await conn.send(head, h11.Data(data=b"id: 1\ndata: a\n\n"))


async def send_one(path):
    async with running_deployment(
        endpoints=(("desk-1", "east-a", "desk"),)
    ) as deployment:
        reply = await deployment.send_request("e1", path, budget_ms=BUDGET_MS)
        return reply, deployment.endpoints["desk-1"].runs


@pytest.mark.parametrize("path", ["/order/1", "/look/1"])
def test_ready_response_is_delivered_though_its_deadline_has_passed(monkeypatch, path):
    monkeypatch.setattr(
        sending, "relay_body", after_the_deadline(response_relay.relay_body)
    )
    reply, runs = trio.run(send_one, path)
    assert len(runs) == 1
    assert reply.status == 200 and reply.is_complete


def test_stream_whose_deadline_passes_before_its_head_gets_a_final_response(
    monkeypatch,
):
    async def stream(endpoint, conn, request):
        await begin_stream(endpoint, conn, request)
        await conn.send(h11.EndOfMessage())
        return True

    async def main():
        async with running_deployment(
            endpoints=(("engine-1", "east-a", "engines"),)
        ) as deployment:
            deployment.endpoints["engine-1"].handler = stream
            return await deployment.send_request(
                "e1", "/draft/1", budget_ms=STREAM_BUDGET_MS, model="m"
            )

    monkeypatch.setattr(
        response_relay,
        "_send_head",
        after_the_deadline(response_relay._send_head, STREAM_BUDGET_MS),
    )
    reply = trio.run(main)
    assert reply.status == 504 and reply.is_complete
    assert b"DeadlineExceeded" in reply.body


def test_forwarded_stream_that_breaks_off_is_no_internal_fault():
    async def break_off(endpoint, conn, request):
        await begin_stream(endpoint, conn, request)
        return False

    async def main():
        config = configuration()
        for route in config["routes"]:
            route["allowed_regions"] = ["west"]
        async with running_deployment(
            hosts=(("e1", "east-a"), ("w1", "west-a")),
            endpoints=(("engine-w", "west-a", "engines"),),
            published=config,
        ) as deployment:
            deployment.endpoints["engine-w"].handler = break_off
            return await deployment.send_request(
                "e1", "/draft/1", budget_ms=STREAM_BUDGET_MS, model="m"
            )

    events.counts.clear()
    reply = trio.run(main)
    assert reply.status == 200 and not reply.is_complete
    assert events.counts["forwarded_answer_cut"] == 1
    assert events.counts["fault"] == 0


def test_rejected_request_is_refused_after_its_deadline_as_not_run():
    async def main():
        async with running_deployment(
            endpoints=(("desk-1", "east-a", "desk"),)
        ) as deployment:
            deployment.endpoints["desk-1"].handler = not_executed
            return await deployment.send_request("e1", "/order/1", budget_ms=1)

    reply = trio.run(main)
    assert reply.status in (503, 504) and reply.is_complete


def test_stream_that_has_arrived_whole_is_relayed_within_a_few_turns():
    """On a late host, a turn for each event took it past its deadline."""
    count = 60
    pieces = [event(n) for n in range(count)]
    body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"
    head = (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    metadata = types.SimpleNamespace(request_id=None, will_close=False, idle_s=None)
    relayed = []

    async def relay(data):
        # A write to the caller takes a turn.
        await trio.lowlevel.checkpoint()
        relayed.append(data)

    async def main():
        ours, theirs = await tcp_pair()
        await theirs.send_all(head + body)
        pool = ConnectionPool(net=None)
        response = await exchange(
            pool,
            "engine-1",
            client_connection(ours),
            h11.Request(method="GET", target="/", headers=[("host", "-")]),
            b"",
            "r-1",
            lambda status, headers: metadata,
            (5.0, 1.6),
        )
        host = types.SimpleNamespace(
            now=trio.current_time,
            dialect=types.SimpleNamespace(filter_response_headers=lambda h: []),
        )
        sink = Sink(
            head=lambda status, headers, first: relay(first),
            data=relay,
            end=relay,
        )
        load = types.SimpleNamespace(mark_prompt_read=lambda: None, is_complete=False)
        with late_loop(0.02) as loop:
            await response_relay.relay_stream(
                host, None, sink, Progress(1, "d"), None, response, load, 0.0
            )
        assert b"".join(relayed) == b"".join(pieces)
        assert loop.turns <= count / 3

    trio.run(main)


@attrs.define
class ScriptedStream(trio.abc.Stream):
    """A transport that brings one of its pieces with each receipt."""

    pieces: list
    check: object

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self):
        pass

    async def receive_some(self, max_bytes=None):
        self.check()
        await trio.lowlevel.checkpoint()
        return self.pieces.pop(0) if self.pieces else b""

    async def aclose(self):
        pass


METADATA = types.SimpleNamespace(request_id=None, will_close=False, idle_s=None)
HOST = types.SimpleNamespace(
    now=lambda: 0.0,
    dialect=types.SimpleNamespace(filter_response_headers=lambda headers: []),
)
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def relay_pieces(pieces, sink, progress, check=lambda: None):
    """Relay the response that a transport brings in some pieces."""
    stream = ScriptedStream(list(pieces), check)
    response = await exchange(
        ConnectionPool(net=None),
        "engine-1",
        client_connection(stream),
        h11.Request(method="GET", target="/", headers=[("host", "-")]),
        b"",
        "r-1",
        lambda status, headers: METADATA,
        (5.0, 1.6),
    )
    await relay_response(response, sink, progress)


async def relay_response(response, sink, progress):
    load = types.SimpleNamespace(mark_prompt_read=lambda: None, is_complete=False)
    await response_relay.relay_stream(
        HOST, None, sink, progress, None, response, load, 0.0
    )


def split(data, offsets):
    edges = sorted({0, len(data), *(o for o in offsets if o < len(data))})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def sink_of(write):
    return Sink(
        head=lambda status, headers, first=b"": write(first),
        data=write,
        end=write,
    )


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    count=st.integers(1, 8),
    chunk_offsets=st.lists(st.integers(0, 200), max_size=8),
    piece_offsets=st.lists(st.integers(0, 400), max_size=8),
    breaks=st.lists(st.integers(0, 400), max_size=3),
    faulty_write=st.integers(0, 8),
    fault=st.sampled_from([None, "fails", "is cancelled"]),
)
def test_caller_and_scanner_agree_on_what_was_relayed(
    count, chunk_offsets, piece_offsets, breaks, faulty_write, fault
):
    """However a stream is split, broken off and resumed, and its writes end."""
    progress, scope, got, writes = Progress(9, "d"), trio.CancelScope(), [], 0
    whole = [event(n + 1) for n in range(count)]

    def check():
        assert b"".join(got) == b"".join(whole[: int(progress.scanner.last_id or 0)])

    async def write(data):
        nonlocal writes
        check()
        await trio.lowlevel.checkpoint()
        check()
        writes += 1
        if fault is not None and writes > faulty_write:
            if fault == "fails":
                raise CallerGoneError("the caller disconnected")
            scope.cancel()
            await trio.lowlevel.checkpoint()
        got.append(data)

    async def main():
        with scope:
            return await relay_attempts()

    async def relay_attempts():
        # Each attempt sends the events behind the last that counts as relayed.
        for break_at in [*breaks, None]:
            first = int(progress.scanner.last_id or 0)
            body = b"".join(whole[first:])
            body = b"".join(chunk(c) for c in split(body, chunk_offsets) if c)
            encoded = CHUNKED_HEAD + body + b"0\r\n\r\n"
            pieces = split(encoded[:break_at], piece_offsets)
            try:
                await relay_pieces(pieces, sink_of(write), progress, check)
            except ExchangeError:
                assert break_at is not None and break_at < len(encoded)
                progress.scanner.discard_partial_event()
                check()
                continue
            return True

    is_complete = False
    with contextlib.suppress(CallerGoneError):
        is_complete = trio.run(main)
    check()
    if fault is None:
        assert is_complete and b"".join(got) == b"".join(whole)


def test_events_that_arrive_alone_are_relayed_alone():
    """Each is written before the next is received."""
    whole, writes = [event(n) for n in range(1, 9)], []

    async def write(data):
        writes.append(data)

    received = 0

    def check():
        # The first receipt brings the head alone.
        nonlocal received
        assert len(writes) == max(0, received - 1)
        received += 1

    pieces = [CHUNKED_HEAD, *(chunk(e) for e in whole)]
    pieces[-1] += b"0\r\n\r\n"
    trio.run(relay_pieces, pieces, sink_of(write), Progress(1, "d"), check)
    # The end came with the last one, and left with it.
    assert writes == whole


@pytest.mark.parametrize("token", [b"x" * 300, b"x" * 3000, b"x" * 100_000])
def test_writes_of_a_stream_that_has_arrived_are_bounded(token):
    one = b"id: 1\ndata: " + token + b"\n\n"
    count, writes = 4_000_000 // (len(one) + 200), []

    async def write(data):
        writes.append(data)

    encoded = CHUNKED_HEAD + chunk(one) * count + b"0\r\n\r\n"
    pieces = split(encoded, range(0, len(encoded), RECEIVE_BYTES))
    trio.run(relay_pieces, pieces, sink_of(write), Progress(1, "d"))
    assert b"".join(writes) == one * count
    most = MAX_JOINED_BYTES + RECEIVE_BYTES + len(one)
    assert max(len(data) for data in writes) <= most


def test_forwarded_stream_that_has_arrived_whole_is_relayed_within_a_few_turns():
    """The same between hosts: a frame for each event took a turn each."""
    count = 60
    pieces = [event(n) for n in range(1, count + 1)]
    relayed = []

    async def relay(data):
        await trio.lowlevel.checkpoint()
        relayed.append(data)

    async def main():
        ours, theirs = await tcp_pair()
        other, link = Link(theirs), Link(ours)
        sink = answer_sink(other.send, 0, None, deliver=other.deliver)
        for piece in pieces:
            await sink.data(piece)
        await sink.end()
        received = ReceivedBody(Framing.LINK)
        body = forwarding._ForwardedBody(link, received)

        async def release(now):
            pass

        response = types.SimpleNamespace(
            status=200,
            headers=[],
            received=received,
            next_data=lambda: body.next_data(1.6, give_up_always),
            has_ended=lambda: body.is_over,
            release=release,
        )
        with late_loop(0.02) as loop:
            await relay_response(response, sink_of(relay), Progress(1, "d"))
        assert b"".join(relayed) == b"".join(pieces)
        assert loop.turns <= count / 3

    trio.run(main)


def relay_rest_past_the_deadline(monkeypatch):
    """Return what a caller gets if its stream arrives before the deadline, read late.

    The rest of the stream lies in the socket as the deadline passes in a long turn.
    """
    whole, got = [event(n) for n in range(1, 4)], []

    async def write(data):
        await trio.lowlevel.checkpoint()
        got.append(data)

    async def main():
        ours, theirs = await tcp_pair()
        host = types.SimpleNamespace(now=trio.current_time, account=Account())
        request = attrs.evolve(req(), deadline=host.now() + 0.3)

        async def attempt(host, request, sink, progress, is_forwarded):
            response = await exchange(
                ConnectionPool(net=None),
                "engine-1",
                client_connection(ours),
                h11.Request(method="GET", target="/", headers=[("host", "-")]),
                b"",
                "r-1",
                lambda status, headers: METADATA,
                (5.0, 1.6),
            )
            await relay_response(response, sink, progress)

        async def arrive():
            await theirs.send_all(CHUNKED_HEAD + chunk(whole[0]))
            await trio.sleep(0.1)
            await theirs.send_all(b"".join(map(chunk, whole[1:])) + b"0\r\n\r\n")
            time.sleep(0.4)

        monkeypatch.setattr(dispatch, "_run_attempts", attempt)
        sink = attrs.evolve(sink_of(write), whole=write)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(arrive)
            with contextlib.suppress(AnswerCutError):
                await dispatch.run_request(host, request, sink, Progress(1, "d"))

    trio.run(main)
    return b"".join(got) == b"".join(whole)


def test_stream_that_has_arrived_whole_is_delivered_though_its_deadline_passed(
    monkeypatch,
):
    assert relay_rest_past_the_deadline(monkeypatch)


def test_last_events_in_a_write_of_their_own_are_cut_at_the_deadline(monkeypatch):
    monkeypatch.setattr(Connection, "has_ended", lambda conn: False)
    assert not relay_rest_past_the_deadline(monkeypatch)


@pytest.mark.parametrize("idle", [0, forwarding._MAX_IDLE_PER_HOST])
def test_last_events_leave_though_the_link_finds_no_room_among_the_idle_ones(
    monkeypatch, idle
):
    inner = relay_response

    async def relay_with_pool(response, sink, progress):
        near, _ = await tcp_pair()
        pool = forwarding.LinkPool(None, 1)
        pool._idle["ip"] = collections.deque([(None, 0.0)] * idle)
        link = Link(near)

        async def release(now):
            await pool.release("ip", link, now)

        await inner(attrs.evolve(response, release=release), sink, progress)

    monkeypatch.setitem(globals(), "relay_response", relay_with_pool)
    assert relay_rest_past_the_deadline(monkeypatch)
