"""What a link accepts from another host."""

import tracemalloc

import pytest
import trio
import trio.testing

from cactusmill.errors import LinkClosedError
from cactusmill.internal import link as link_module
from cactusmill.internal.link import (
    MAX_FRAME_BYTES,
    Link,
    decode,
    encode_frame,
    open_link,
)
from cactusmill.internal.wire.ttypes import EndpointLoad, Frame, Hello, LoadReport

# A list of at least 15 structs, as the compact protocol encodes it, with its length.
_LIST_OF_20 = b"\xfc\x14"
_LIST_OF_2_TO_28 = b"\xfc\x80\x80\x80\x80\x01"


def run_with_links(scenario, seconds=10):
    """Run a scenario with a link and the stream at its other end."""

    async def main():
        near, far = trio.testing.memory_stream_pair()
        with trio.fail_after(seconds):
            await scenario(Link(near), far)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_length_of_a_list_is_checked_before_it_is_allocated():
    loads = [EndpointLoad(number, 1) for number in range(20)]
    data = encode_frame(Frame(load_report=LoadReport(loads)))
    assert decode(data).load_report.loads == loads
    forged = data.replace(_LIST_OF_20, _LIST_OF_2_TO_28)
    assert forged != data
    tracemalloc.start()
    with pytest.raises(LinkClosedError):
        decode(forged)
    assert tracemalloc.get_traced_memory()[1] < 1024 * 1024
    tracemalloc.stop()


def test_frame_that_never_ends_closes_the_link():
    async def scenario(link, far):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trickle, far)
            with pytest.raises(LinkClosedError):
                await link.receive()
            nursery.cancel_scope.cancel()

    async def trickle(far):
        await far.send_all((1000).to_bytes(4, "big"))
        while True:
            await far.send_all(b"x")
            await trio.sleep(1)

    run_with_links(scenario, seconds=60)


def test_idle_link_stays_open():
    async def scenario(link, far):
        await trio.sleep(1000)
        await far.send_all(link_module.encode(Frame(load_report=LoadReport([]))))
        assert (await link.receive()).load_report is not None

    run_with_links(scenario, seconds=2000)


def test_frame_over_the_limit_closes_the_link():
    async def scenario(link, far):
        await far.send_all((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        with pytest.raises(LinkClosedError):
            await link.receive()

    run_with_links(scenario)


def test_bytes_without_end_during_a_request_end_it():
    async def scenario(link, far):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_forever, far)
            await link.wait_closed()
            assert len(link._received) < 1024 * 1024
            nursery.cancel_scope.cancel()

    async def send_forever(far):
        while True:
            await far.send_all(b"x" * 1000)

    run_with_links(scenario)


def test_large_frame_before_the_handshake_is_refused():
    async def main():
        near, far = trio.testing.memory_stream_pair()
        await far.send_all((1024 * 1024).to_bytes(4, "big"))
        with pytest.raises(LinkClosedError, match="over 4096"):
            await open_link(near, Hello("h", "z", "i", b""), "secret", True)

    trio.run(main)


def test_send_cancelled_before_its_first_byte_keeps_the_link_of_other_calls():
    async def scenario(link, far):
        with trio.CancelScope() as scope:
            scope.cancel()
            await link.send(load_report=LoadReport([]))
        assert scope.cancelled_caught
        await link.send(load_report=LoadReport([EndpointLoad(1, 1)]))
        # Only the second frame has been sent.
        received = await Link(far).receive()
        assert received.load_report.loads == [EndpointLoad(1, 1)]

    run_with_links(scenario)


def test_send_cancelled_once_it_has_begun_closes_the_link():
    async def scenario(link, far):
        link.stream.send_stream.send_all_hook = trio.sleep_forever
        with trio.move_on_after(1) as scope:
            await link.send(load_report=LoadReport([]))
        assert scope.cancelled_caught
        with pytest.raises(LinkClosedError):
            await link.send(load_report=LoadReport([]))

    run_with_links(scenario)
