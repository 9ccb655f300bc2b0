"""Connections over TCP, and the errors of those that fail."""

import random
import socket

import pytest
import trio

from cactusmill.errors import ConnectRefusedError
from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.net import TCP


def free_port():
    """Return a port, below those that the operating system gives to callers."""
    return 21_000 + random.SystemRandom().randrange(11_000)


def test_refused_connection_is_told_from_other_failures():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    with pytest.raises(ConnectRefusedError):
        trio.run(TCP.connect, f"127.0.0.1:{port}", 1.0)


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
