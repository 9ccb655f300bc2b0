"""Connections over TCP, and the errors of those that fail."""

import random
import socket

import pytest
import trio

from cactusmill.errors import ConnectRefusedError
from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.net import TCP


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
            port = 21_000 + random.SystemRandom().randrange(30_000)
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
