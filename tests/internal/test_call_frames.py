"""Frames of a call wait for a late host, up to a limit on their bytes."""

import contextlib
import types

import pytest
import trio

from cactusmill.errors import AnswerCutError, LinkClosedError
from cactusmill.internal import peers
from cactusmill.internal.forward_client import _relay_body
from cactusmill.internal.framing import Framing, ReceivedBody
from cactusmill.internal.link import Link, encode
from cactusmill.internal.peers import CallFrames, Peer, next_frame
from cactusmill.internal.request import Sink
from cactusmill.internal.wire.ttypes import AnswerData, AnswerEnd, Frame

from .test_relay import tcp_pair

EVENT = b"data: x\n\n"
# Fit one read of a link.
EVENT_COUNT = 1500


def event_frames(call, count=EVENT_COUNT):
    return [
        Frame(answer_data=AnswerData(call, EVENT, number * len(EVENT)))
        for number in range(count)
    ]


def new_peer(stream=None):
    peer = Peer(types.SimpleNamespace(name="p", zone="z"))
    peer.link = Link(stream)
    return peer


def count_frames_of_one_read():
    """Return how many frames a call gets that one read of its link brings."""

    async def main():
        near, far = await tcp_pair()
        peer, count = new_peer(near), 0
        cfg = types.SimpleNamespace(peer_timeout_s=2.0, heartbeat_s=0.5, zone="z")
        host = types.SimpleNamespace(now=trio.current_time, cfg=cfg, peers={})
        async with peer.call() as (call_id, _, frames), trio.open_nursery() as nursery:
            await far.send_all(b"".join(map(encode, event_frames(call_id))))
            nursery.start_soon(
                peers._read_frames, host, peer, peer.link, nursery.cancel_scope
            )
            with trio.move_on_after(5), contextlib.suppress(LinkClosedError):
                while count < EVENT_COUNT:
                    await next_frame(frames)
                    count += 1
            nursery.cancel_scope.cancel()
        return count

    return trio.run(main)


def test_small_frames_that_one_read_brings_do_not_end_their_call():
    assert count_frames_of_one_read() == EVENT_COUNT


def test_call_ends_by_a_limit_below_one_read(monkeypatch):
    monkeypatch.setattr(peers, "CALL_BUFFER_BYTES", 1024 * 1024)
    assert count_frames_of_one_read() < EVENT_COUNT


def test_call_that_takes_nothing_is_ended_within_the_limit():
    async def main():
        peer = new_peer()
        async with peer.call() as (call_id, _, frames):
            piece = b"x" * 1024 * 1024
            for number in range(100):
                message = AnswerData(call_id, piece, number * len(piece))
                peer.deliver(call_id, Frame(answer_data=message))
                assert frames.held_bytes <= peers.CALL_BUFFER_BYTES
            assert not peer.has_calls
            with pytest.raises(LinkClosedError):
                while True:
                    await next_frame(frames)
            assert frames.held_bytes == 0

    trio.run(main)


def relay(ending):
    """Return the writes of a response whose frames arrive at once, and its failure."""
    writes, failures = [], []

    async def write(data):
        writes.append(data)

    async def main():
        frames = CallFrames()
        for frame in [*event_frames(1), *ending]:
            assert frames.put(frame)
        frames.close()
        try:
            await _relay_body(
                frames, ReceivedBody(Framing.LINK), Sink(None, write, None)
            )
        except AnswerCutError as exc:
            failures.append(exc)

    trio.run(main)
    return writes, failures


def test_frames_that_have_arrived_are_relayed_with_one_write():
    end = AnswerEnd(1, True, EVENT_COUNT * len(EVENT))
    assert relay([Frame(answer_end=end)]) == ([EVENT * EVENT_COUNT], [])


@pytest.mark.parametrize(
    "ending", [[], [Frame(answer_end=AnswerEnd(1, False))], [Frame()]]
)
def test_frames_before_a_break_are_relayed_and_the_response_is_cut(ending):
    writes, failures = relay(ending)
    assert writes == [EVENT * EVENT_COUNT]
    assert len(failures) == 1
