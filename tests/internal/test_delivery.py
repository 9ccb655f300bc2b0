"""Complete responses leave as long as the other end takes bytes, however late."""

import math
import socket
import struct
import types

import h11
import pytest
import trio
import trio.testing

from cactusmill.errors import AnswerCutError, ExchangeError
from cactusmill.internal import delivery
from cactusmill.internal.delivery import (
    MAX_BLOCKED_S,
    MAX_TOTAL_BLOCKED_S,
    MIN_BYTES_PER_S,
    deliver,
    receive_some,
)
from cactusmill.internal.http import client_connection, has_other_end_closed
from cactusmill.internal.link import Link
from standins.late_loop import late_loop

LONG = b"x" * 4 * 1024 * 1024
TURNS_S = [0.0, 0.4, 1.0, 3.0]
# A wait for the socket, and the time that the bytes earn that a socket takes unread.
SLACK_S = 1.0


def run_with_streams(scenario):
    """Run a scenario on a mock clock with both ends of a connection."""
    clock = trio.testing.MockClock(autojump_threshold=0.01)

    async def main():
        near, far = map(trio.socket.from_stdlib_socket, socket.socketpair())
        for sock in (near, far):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024)
        near, far = trio.SocketStream(near), trio.SocketStream(far)
        await scenario(clock, near, far)
        await trio.aclose_forcefully(near)
        await trio.aclose_forcefully(far)

    trio.run(main, clock=clock)


def receiver(stream):
    return types.SimpleNamespace(stream=stream, has_looked=False, is_broken=False)


async def read_all(stream, received, pause_s=0.0, max_bytes=65536):
    """Read until the other end closes, with a pause before each piece."""
    while True:
        await trio.sleep(pause_s)
        data = await stream.receive_some(max_bytes)
        if not data:
            return
        received += data


@pytest.mark.parametrize("turn_s", TURNS_S)
def test_long_response_is_delivered_to_one_that_reads_on_a_late_event_loop(turn_s):
    async def scenario(clock, near, far):
        received = bytearray()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_all, far, received)
            with late_loop(turn_s, clock.jump):
                await deliver(near, LONG)
            await near.send_eof()
        assert received == LONG

    run_with_streams(scenario)


def test_with_a_limit_on_the_whole_it_is_cut_on_a_late_event_loop():
    async def scenario(clock, near, far):
        received = bytearray()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_all, far, received)
            with late_loop(1.0, clock.jump), trio.move_on_after(0.3):
                await near.send_all(LONG)
            await near.send_eof()
        assert 0 < len(received) < len(LONG)

    run_with_streams(scenario)


def test_response_that_the_socket_takes_leaves_though_its_task_is_cancelled():
    async def scenario(clock, near, far):
        with trio.CancelScope() as scope:
            scope.cancel()
            await deliver(near, b"complete")
        assert not scope.cancelled_caught
        assert await far.receive_some() == b"complete"

    run_with_streams(scenario)


@pytest.mark.parametrize("turn_s", TURNS_S)
def test_other_end_that_reads_nothing_is_given_up_in_time(turn_s):
    async def scenario(clock, near, far):
        began_at = trio.current_time()
        with late_loop(turn_s, clock.jump) as loop, pytest.raises(AnswerCutError):
            await deliver(near, LONG)
        used_s = trio.current_time() - began_at
        assert used_s >= MAX_BLOCKED_S
        if turn_s == 0.0:
            assert used_s <= MAX_BLOCKED_S + SLACK_S
        # Every turn is one poll that finds the socket unwritable for a step.
        most = math.ceil((MAX_BLOCKED_S + SLACK_S) / delivery._STEP_S)
        assert turn_s < delivery._STEP_S or loop.turns <= most

    run_with_streams(scenario)


def test_other_end_that_takes_a_byte_a_second_is_given_up_in_time():
    async def scenario(clock, near, far):
        received = bytearray()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_all, far, received, 1.0, 1)
            began_at = trio.current_time()
            with pytest.raises(
                AnswerCutError, match="bytes of an answer that were ready"
            ):
                await deliver(near, LONG)
            assert trio.current_time() - began_at <= MAX_BLOCKED_S + SLACK_S
            nursery.cancel_scope.cancel()

    run_with_streams(scenario)


def test_time_of_a_delivery_is_bounded_by_its_size():
    async def scenario(clock, near, far):
        received, pause_s = bytearray(), MAX_BLOCKED_S - SLACK_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_all, far, received, pause_s)
            began_at = trio.current_time()
            with pytest.raises(AnswerCutError):
                await deliver(near, LONG)
            most_s = MAX_TOTAL_BLOCKED_S + len(received) / MIN_BYTES_PER_S
            # The step in which the other end takes bytes is not counted.
            uncounted = delivery._STEP_S / pause_s
            used_s = trio.current_time() - began_at
            assert used_s <= most_s / (1 - uncounted) + SLACK_S
            nursery.cancel_scope.cancel()

    run_with_streams(scenario)


def test_other_end_that_reads_slowly_gets_all():
    async def scenario(clock, near, far):
        received, data = bytearray(), LONG[: 1024 * 1024]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                read_all, far, received, 0.1, round(2 * MIN_BYTES_PER_S * 0.1)
            )
            await deliver(near, data)
            await near.send_eof()
        assert received == data

    run_with_streams(scenario)


def test_broken_connection_ends_a_delivery():
    async def scenario(clock, near, far):
        async with trio.open_nursery() as nursery:

            @nursery.start_soon
            async def leave():
                await trio.sleep(1.0)
                await trio.aclose_forcefully(far)

            with pytest.raises(trio.BrokenResourceError):
                await deliver(near, LONG)

    run_with_streams(scenario)


def receive_only(end, max_bytes):
    return end.stream.receive_some(max_bytes)


@pytest.mark.parametrize("receive", [receive_some, receive_only])
def test_bytes_that_have_arrived_are_read_though_a_deadline_passes(receive):
    async def scenario(clock, near, far):
        received = b""
        with trio.move_on_after(0.5) as scope:
            await near.send_all(b"whole")
            clock.jump(1.0)
            await trio.lowlevel.cancel_shielded_checkpoint()
            received = await receive(receiver(far), 100)
        # The receipt of trio, which looks for cancellation first, is the twin.
        assert received == (b"whole" if receive is receive_some else b"")
        assert scope.cancel_called

    run_with_streams(scenario)


class ForgetfulReceiver:
    """Does not remember that it has looked."""

    has_looked = property(lambda self: False, lambda self, value: None)
    is_broken = False

    def __init__(self, stream):
        self.stream = stream


def count_receipts_after_a_deadline(turn_s, make_receiver):
    """Return how many receipts of bytes that trickle in follow a deadline, up to 20."""
    receipts = []

    async def trickle(stream):
        while True:
            await stream.send_all(b"x")
            await trio.lowlevel.checkpoint()

    async def scenario(clock, near, far):
        end = make_receiver(far)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trickle, near)
            with trio.move_on_after(0.5) as scope, late_loop(turn_s, clock.jump):
                while len(receipts) < 20:
                    data = await receive_some(end, 100)
                    if trio.current_time() > scope.deadline:
                        receipts.append(data)
            nursery.cancel_scope.cancel()

    run_with_streams(scenario)
    return len(receipts)


@pytest.mark.parametrize("turn_s", [0.01, 0.4, 1.0, 3.0])
def test_bytes_that_trickle_in_do_not_put_off_a_deadline(turn_s):
    # One that was ready as the deadline passed, and one look.
    assert count_receipts_after_a_deadline(turn_s, receiver) <= 2


def test_with_a_look_at_each_receipt_they_put_it_off():
    assert count_receipts_after_a_deadline(0.4, ForgetfulReceiver) == 20


def test_nothing_to_read_is_a_cancellation():
    async def scenario(clock, near, far):
        with trio.move_on_after(0.5) as scope:
            await receive_some(receiver(far), 100)
        assert scope.cancelled_caught

    run_with_streams(scenario)


async def open_tcp():
    """Return a stream and the plain socket at its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = await trio.open_tcp_stream(*listener.getsockname())
        far, _ = listener.accept()
    return near, far


async def reset(near, far):
    """Reset a connection; return once this is known at its near end."""
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()
    while not has_other_end_closed(near):
        await trio.sleep(0.001)


async def receive_cancelled(receive):
    """Return what a receipt that has been cancelled still gets, or None."""
    with trio.CancelScope() as scope:
        scope.cancel()
        return await receive()


@pytest.mark.parametrize("arrived", [b"", b"half"])
@pytest.mark.parametrize("make_receiver", [receiver, Link])
def test_reset_that_a_cancelled_receipt_meets_is_no_end(make_receiver, arrived):
    async def main():
        near, far = await open_tcp()
        end = make_receiver(near)
        far.sendall(arrived)
        await reset(near, far)
        data = await receive_cancelled(lambda: receive_some(end, 100))
        assert (data or b"") == arrived
        for _ in range(2):
            with pytest.raises(trio.BrokenResourceError):
                await receive_some(end, 100)

    trio.run(main)


@pytest.mark.parametrize("is_reset", [True, False])
def test_reset_in_a_late_turn_does_not_complete_a_body_without_a_length(is_reset):
    async def main():
        near, far = await open_tcp()
        conn = client_connection(near)
        request = h11.Request(method="GET", target="/", headers=[("host", "x")])
        await conn.send(request, h11.EndOfMessage())
        # Closing with unread bytes would be a reset.
        far.recv(65536)
        far.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await conn.next_response()
        assert await conn.next_data() == b"half"
        if is_reset:
            await reset(near, far)
        else:
            far.close()
            await trio.testing.wait_all_tasks_blocked()
        assert await receive_cancelled(conn.next_data) is None
        if is_reset:
            with pytest.raises(ExchangeError):
                await conn.next_data()
        else:
            assert await conn.next_data() is None

    trio.run(main)
