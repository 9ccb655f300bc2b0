"""Endpoints and hosts that fall silent for a while and go on.

Whoever is silent is given up only if another endpoint takes over at once.
"""

import time

import pytest
import trio

from cactusmill.errors import SilentEndpointError
from cactusmill.internal.link import Link, encode
from cactusmill.internal.wire.ttypes import AnswerData, Frame
from cactusmill.serving.connections import give_up_always, receive_patiently

from .test_connections import tcp_pair

LIMIT_S = 0.1


async def never():
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
    async def look():
        await trio.sleep(0.2)
        return True

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
