"""Responses that cross a link between two hosts, whatever the link delivers."""

import struct

import attrs
import pytest
import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cactusmill.errors import (
    ExchangeError,
    HostLeavingError,
    InternalFault,
    NoEndpoint,
    Outcome,
    Overloaded,
)
from cactusmill.internal.link import Link
from cactusmill.internal.net import TCP
from cactusmill.internal.request import Sink
from cactusmill.internal.wire.ttypes import AnswerHead
from cactusmill.platform.dialect import DIALECT
from cactusmill.serving import forwarding, gateway_host
from cactusmill.serving.forwarding import LinkPool, forward, serve_link
from cactusmill.serving.membership import Member

from .test_membership import host_id
from .test_placement import ROUTE, req
from .test_source_sync import Clock, new_host

CHUNKS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 7)]
_LENGTH = struct.Struct(">I")
SINK = Sink(head=None, data=None, end=None)


@attrs.define
class OneLink:
    """Stands for the pool of links; holds the only link there is."""

    link: Link

    async def acquire(self, ip, now):
        return self.link, False

    async def release(self, ip, link, now):
        pass


async def stream_all(host, request, sink, progress):
    """Respond with all chunks, in place of an endpoint."""
    await sink.head(200, [])
    for chunk in CHUNKS:
        await sink.data(chunk)
    await sink.end()


async def pass_frames(source, destination, delivered):
    """Pass on the frames of a response's body in another order.

    Parameters
    ----------
    source, destination : trio.abc.Stream
    delivered : list of int
        Numbers of the frames to deliver, from 1; the head is frame 0.
    """
    frames, buffer = [], b""
    while len(frames) < len(CHUNKS) + 2:
        buffer += await source.receive_some(65536)
        while len(buffer) >= 4 and len(buffer) >= 4 + _LENGTH.unpack(buffer[:4])[0]:
            size = 4 + _LENGTH.unpack(buffer[:4])[0]
            frames.append(buffer[:size])
            buffer = buffer[size:]
    for number in (0, *delivered):
        await destination.send_all(frames[number])
    await destination.send_eof()


def relay(delivered):
    """Return the bytes that a host receives, and whether the body seemed complete."""

    async def main():
        caller_end, caller_far = trio.testing.memory_stream_pair()
        server_end, server_far = trio.testing.memory_stream_pair()
        host = new_host("near", Clock(), dialect=DIALECT, routes=(ROUTE,))
        other = new_host("far", Clock(), dialect=DIALECT, routes=(ROUTE,))
        host.links = OneLink(Link(caller_end))
        received, is_complete = [], False
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_link, other, server_end, stream_all)
                nursery.start_soon(pass_bytes, caller_far, server_far)
                nursery.start_soon(pass_frames, server_far, caller_far, delivered)
                member = Member(id=host_id("far", "west"), last_seen_at=0.0)
                request = attrs.evolve(
                    req([("own", 10)]), deadline=host.now() + 4, objective_at=host.now()
                )
                response = await forward(host, member, request, SINK, 1, "", 1.0)
                try:
                    while (data := await response.next_data()) is not None:
                        received.append(data)
                    is_complete = True
                except ExchangeError:
                    pass
                nursery.cancel_scope.cancel()
        return b"".join(received), is_complete

    return trio.run(main)


async def pass_bytes(source, destination):
    while data := await source.receive_some(65536):
        await destination.send_all(data)


def test_frames_in_order_are_a_complete_response():
    assert relay([1, 2, 3, 4, 5, 6, 7]) == (b"".join(CHUNKS), True)


@given(delivered=st.lists(st.integers(1, len(CHUNKS) + 1), max_size=10))
@example(delivered=[1, 2, 4, 5, 6, 7])
@settings(deadline=None)
def test_forwarded_response_with_a_lost_or_repeated_frame_is_broken_off(delivered):
    received, is_complete = relay(delivered)
    in_order = 0
    while delivered[in_order : in_order + 1] == [in_order + 1]:
        in_order += 1
    assert received == b"".join(CHUNKS[:in_order])
    assert is_complete == (in_order > len(CHUNKS))


def test_idle_link_that_the_other_host_has_closed_is_not_used_again():
    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        pool = LinkPool(TCP, port)
        first, _ = await pool.acquire("127.0.0.1", 0.0)
        far = await listeners[0].accept()
        await pool.release("127.0.0.1", first, 0.0)
        await far.aclose()
        await trio.sleep(0.05)
        second, was_used = await pool.acquire("127.0.0.1", 0.1)
        assert not was_used
        far = await listeners[0].accept()
        await pool.release("127.0.0.1", second, 0.2)
        assert await pool.acquire("127.0.0.1", 0.3) == (second, True)
        await second.close()
        await far.aclose()
        await listeners[0].aclose()

    trio.run(main)


@attrs.define
class LastMessages:
    """A link stream on which a request crosses what the other end sent before it."""

    stream: trio.abc.Stream
    is_broken: bool = False

    async def send_all(self, data):
        if self.is_broken:
            raise trio.BrokenResourceError
        await self.stream.send_all(data)

    async def receive_some(self, max_bytes=None):
        return await self.stream.receive_some(max_bytes)

    async def aclose(self):
        await self.stream.aclose()


async def forward_on(near, body=b"", version=0):
    host = new_host("near", Clock(), dialect=DIALECT, routes=(ROUTE,))
    host.links = OneLink(Link(near))
    member = Member(id=host_id("far", "west"), last_seen_at=0.0)
    request = attrs.evolve(
        req([("own", 10)]),
        deadline=host.now() + 4,
        objective_at=host.now(),
        body=body,
        records_version=version,
    )
    return await forward(host, member, request, SINK, 1, "", 1.0)


@pytest.mark.parametrize("is_broken", [False, True])
@pytest.mark.parametrize("is_idle", [False, True])
def test_leaving_host_says_that_it_has_not_begun_a_forward(is_idle, is_broken):
    # It closed its idle links without a word, and a request that crossed the close
    # counted as one that may have run.
    runs = []

    async def run(host, request, *args):
        runs.append(request)

    async def main():
        near, far = trio.testing.memory_stream_pair()
        other = new_host("far", Clock(), dialect=DIALECT, routes=(ROUTE,))
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_link, other, far, run)
                if is_idle:
                    await trio.testing.wait_all_tasks_blocked()
                other.leaving_since = other.now() - gateway_host.DRAIN_S - 1.0
                other.idle_links.end_since(other.now())
                await trio.testing.wait_all_tasks_blocked()
                assert other.served_links
                with pytest.raises(HostLeavingError):
                    await forward_on(LastMessages(near, is_broken))
                await near.aclose()
                await trio.testing.wait_all_tasks_blocked()
                assert not other.served_links
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert not runs


@pytest.mark.parametrize("duration_s", [0.5, 5.0])
def test_leaving_host_begins_no_forward_that_its_exit_would_cut(duration_s):
    runs = []

    async def run(host, request, *args):
        runs.append(request)
        return NoEndpoint(detail="none")

    async def main():
        near, far = trio.testing.memory_stream_pair()
        other = new_host("far", Clock(), dialect=DIALECT, routes=(ROUTE,))
        other.cfg = attrs.evolve(other.cfg, grace_s=2.0)
        other.durations.record(ROUTE.name, duration_s)
        other.leaving_since = other.now()
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_link, other, far, run)
                if duration_s > 2.0:
                    with pytest.raises(HostLeavingError):
                        await forward_on(near)
                else:
                    await forward_on(near)
                nursery.cancel_scope.cancel()
        assert other.forwards_account.adds_up()

    trio.run(main)
    assert len(runs) == (duration_s < 2.0)


@pytest.mark.parametrize("closes", [False, True])
def test_exit_waits_for_the_close_of_links_that_got_the_last_message(closes):
    # The process ended at once, and its close could meet an unread request and destroy
    # what was told.
    async def main():
        near, far = trio.testing.memory_stream_pair()
        other = new_host("far", Clock(), dialect=DIALECT, routes=(ROUTE,))
        other.leaving_since = other.now() - gateway_host.DRAIN_S - 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_link, other, far, None)
            await near.receive_some()
            await trio.sleep(forwarding._FAREWELL_S / 2)
            assert other.served_links
            if closes:
                await near.aclose()
                await trio.testing.wait_all_tasks_blocked()
                assert not other.served_links
            await trio.sleep(forwarding._FAREWELL_S)
            assert not other.served_links

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def serve_one_forward(prepare, body, version=0):
    """Return what the near host gets for one request, and what ran at the far one."""
    runs, replies = [], []

    async def run(host, request, *args):
        runs.append(request)

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        near = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        far = await listeners[0].accept()
        await listeners[0].aclose()
        other = new_host("far", Clock(), dialect=DIALECT, routes=(ROUTE,))
        prepare(other)
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_link, other, far, run)
                try:
                    replies.append(await forward_on(near, body, version))
                except (ExchangeError, HostLeavingError) as exc:
                    replies.append(exc)
                await near.aclose()
                while other.served_links:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        assert other.buffers.used_bytes == 0

    trio.run(main)
    return replies[0], runs


@pytest.mark.parametrize("size", [5000, 200_000, 10_000_000])
def test_host_without_room_for_a_forward_says_that_it_has_not_begun_it(size):
    def prepare(host):
        host.buffers.limit_bytes = 1000

    reply, runs = serve_one_forward(prepare, b"x" * size)
    is_whole_at_once = (
        isinstance(reply, Overloaded) and reply.outcome is Outcome.NOT_RUN
    )
    assert isinstance(reply, HostLeavingError) or is_whole_at_once
    assert not runs


def test_forward_by_a_newer_configuration_is_not_run_by_an_older_one():
    # The older one sent it to the service that its route had left.
    reply, runs = serve_one_forward(lambda host: None, b"x", version=2)
    assert isinstance(reply, NoEndpoint) and not runs
    assert reply.outcome is Outcome.NOT_RUN


def test_forward_waits_for_a_configuration_that_is_on_its_way(monkeypatch):
    looks = []

    def arrives_at_the_third_look(host, version):
        looks.append(version)
        return len(looks) == 3

    monkeypatch.setattr(
        gateway_host.GatewayHost, "has_configuration_since", arrives_at_the_third_look
    )
    reply, runs = serve_one_forward(lambda host: None, b"x", version=2)
    assert looks == [2, 2, 2] and len(runs) == 1


@pytest.mark.parametrize("place", ["_request", "new_progress"])
def test_fault_before_a_forward_begins_is_refused_as_not_run(monkeypatch, place):
    def fail(*args):
        raise RuntimeError("a fault of the test")

    monkeypatch.setattr(forwarding, place, fail)
    reply, runs = serve_one_forward(lambda host: None, b"x")
    assert isinstance(reply, InternalFault) and not runs
    assert reply.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("status", [None, 0, 99, 101, 600, -200])
def test_forwarded_response_with_an_undefined_status_is_none(status):
    """Guards against another host's answer that no caller can be sent."""

    async def main():
        near, far = trio.testing.memory_stream_pair()
        other = Link(far)
        async with trio.open_nursery() as nursery:

            async def answer():
                request_id = (await other.receive()).forward.request_id
                await other.send(answer_head=AnswerHead(0, request_id, status, []))

            nursery.start_soon(answer)
            with pytest.raises(ExchangeError):
                await forward_on(near)

    trio.run(main)


def test_link_that_closes_without_a_word_leaves_open_whether_the_request_ran():
    async def main():
        near, far = trio.testing.memory_stream_pair()
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:

                async def close():
                    await far.receive_some()
                    await far.aclose()

                nursery.start_soon(close)
                with pytest.raises(ExchangeError):
                    await forward_on(near)

    trio.run(main)
