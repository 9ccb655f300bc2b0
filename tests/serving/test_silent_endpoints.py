"""Endpoints and hosts that fall silent for a while and go on.

Whoever is silent is given up only if another endpoint takes over at once.
"""

import socket
import time

import pytest
import trio

from cactusmill.errors import SilentEndpointError
from cactusmill.internal.http import client_connection
from cactusmill.internal.link import Link, encode
from cactusmill.internal.wire.ttypes import AnswerData, Frame
from cactusmill.serving.connections import (
    IDLE_SILENCE_MS,
    IN_USE_SILENCE_MS,
    ConnectionPool,
    enable_dead_peer_detection,
    give_up_always,
    receive_patiently,
)

from .test_connections import tcp_pair

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


def test_limit_of_silence_follows_the_use_of_a_connection():
    def silence_ms(conn):
        return conn.stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )

    async def main():
        near, _ = await tcp_pair()
        conn = client_connection(near)
        pool = ConnectionPool(net=None)
        pool.put_back("desk", conn, 0.0)
        idle_ms = silence_ms(conn)
        acquired, was_used = await pool.acquire("desk", "", 0.1)
        assert acquired is conn and was_used
        return idle_ms, silence_ms(conn)

    assert trio.run(main) == (IDLE_SILENCE_MS, IN_USE_SILENCE_MS)


def test_limit_of_the_operating_system_outlasts_the_repetition_after_a_silence():
    # A segment repeated just before the end of a silence of 1.9 s is repeated again
    # after as long, and is then acknowledged over the longest path.
    silence_s, first_repetition_s, round_trip_s = 1.9, 0.4, 0.2
    assert 2 * silence_s + first_repetition_s + round_trip_s < IN_USE_SILENCE_MS / 1000
