"""Connections over TCP, and the errors of those that fail."""

import contextlib
import os
import random
import socket

import pytest
import trio

from cactusmill.errors import ConnectError, ConnectRefusedError
from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.net import TCP
from standins.late_loop import late_loop


def free_port():
    """Return a port, below those that the operating system gives to callers."""
    return 21_000 + random.SystemRandom().randrange(11_000)


def test_refused_connection_is_told_from_other_failures():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    with pytest.raises(ConnectRefusedError):
        trio.run(TCP.connect, f"127.0.0.1:{port}", 1.0)


@pytest.mark.parametrize("ip", ["127.0.0.1", "::1"])
@pytest.mark.parametrize(
    ("limit_s", "turn_s"), [(0.1, 0.02), (0.1, 0.2), (0.6, 0.2), (0.6, 0.7)]
)
def test_end_that_accepts_is_reached_on_a_late_event_loop(ip, limit_s, turn_s):
    """The limits are those of a probe and of a connection."""
    with _listener(ip) as listener:
        port = listener.getsockname()[1]

        async def main():
            with late_loop(turn_s) as loop:
                stream = await TCP.connect(f"[{ip}]:{port}", limit_s)
                assert loop.turns <= 2
            async with stream:
                sock = stream.socket
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                await stream.send_all(b"request")
                accepted = listener.accept()[0]
                assert accepted.recv(100) == b"request"
                accepted.close()

        trio.run(main)


@pytest.mark.parametrize("ip", ["127.0.0.1", "::1"])
def test_refusal_is_told_on_a_late_event_loop(ip):
    with _listener(ip) as listener:
        port = listener.getsockname()[1]

    async def main():
        with late_loop(0.2):
            await TCP.connect(f"{ip}:{port}", 0.1)

    with pytest.raises(ConnectRefusedError):
        trio.run(main)


def _listener(ip, backlog=5):
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return socket.create_server((ip, 0), family=family, backlog=backlog)


@contextlib.contextmanager
def _end_without_response():
    """Yield the address of a listener whose full backlog drops new connections."""
    with _listener("127.0.0.1", backlog=0) as listener, contextlib.ExitStack() as stack:
        for _ in range(4):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        yield "{}:{}".format(*listener.getsockname())


def _count_descriptors():
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("turn_s", [0.0, 0.2])
def test_end_that_does_not_respond_is_no_refusal_and_closes_the_socket(turn_s):
    async def main(address):
        before = _count_descriptors()
        with late_loop(turn_s), pytest.raises(ConnectError) as raised:
            await TCP.connect(address, 0.3)
        assert not isinstance(raised.value, ConnectRefusedError)
        assert _count_descriptors() == before

    with _end_without_response() as address:
        trio.run(main, address)


def test_cancelled_connection_closes_its_socket():
    async def main(address):
        before = _count_descriptors()
        with trio.move_on_after(0.1) as scope:
            await TCP.connect(address, 5.0)
        assert scope.cancelled_caught
        assert _count_descriptors() == before

    with _end_without_response() as address:
        trio.run(main, address)


def test_waiting_connections_are_accepted_within_a_few_turns():
    count = 300

    async def main():
        monitor = LoopMonitor()
        trio.lowlevel.add_instrument(monitor)
        turns = []

        async def handle(stream):
            turns.append(monitor.turns)

        async with trio.open_nursery() as nursery:
            port = free_port()
            await nursery.start(TCP.serve, f"127.0.0.1:{port}", handle, nursery)
            callers = [socket.socket() for _ in range(count)]
            for caller in callers:
                caller.connect(("127.0.0.1", port))
            with trio.fail_after(10):
                while len(turns) < count:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        for caller in callers:
            caller.close()
        assert max(turns) - min(turns) <= 10

    trio.run(main)


def test_connections_that_wait_when_the_listener_closes_are_served():
    # The operating system reset them, although it had accepted their requests.
    count = 150

    async def main():
        async def handle(stream):
            assert await stream.receive_some() == b"request"
            await stream.send_all(b"response")

        async with trio.open_nursery() as nursery:
            port = free_port()
            scope = trio.CancelScope()

            async def accept(task_status):
                with scope:
                    await TCP.serve(f"127.0.0.1:{port}", handle, nursery, task_status)

            await nursery.start(accept)
            callers = [socket.socket() for _ in range(count)]
            for caller in callers:
                caller.connect(("127.0.0.1", port))
                caller.sendall(b"request")
            scope.cancel()
        for caller in callers:
            assert caller.recv(100) == b"response"
            caller.close()

    trio.run(main)
