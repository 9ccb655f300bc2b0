"""Responses that cross a link between two hosts, whatever the link delivers."""

import struct

import attrs
import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cactusmill.errors import ExchangeError
from cactusmill.internal.link import Link
from cactusmill.internal.request import Sink
from cactusmill.platform.dialect import DIALECT
from cactusmill.serving.forwarding import forward, serve_link
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


async def stream_all(host, request, sink, attempts, last_event_id):
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
    """Return the chunks that a host receives, and whether the body seemed complete."""

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
        return received, is_complete

    return trio.run(main)


async def pass_bytes(source, destination):
    while data := await source.receive_some(65536):
        await destination.send_all(data)


def test_frames_in_order_are_a_complete_response():
    assert relay([1, 2, 3, 4, 5, 6, 7]) == (CHUNKS, True)


@given(delivered=st.lists(st.integers(1, len(CHUNKS) + 1), max_size=10))
@example(delivered=[1, 2, 4, 5, 6, 7])
@settings(deadline=None)
def test_forwarded_response_with_a_lost_or_repeated_frame_is_broken_off(delivered):
    received, is_complete = relay(delivered)
    assert received == CHUNKS[: len(received)]
    assert not is_complete or received == CHUNKS
