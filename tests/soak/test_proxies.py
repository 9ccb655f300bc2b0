"""The proxies of the soak: what passes them, when, and what doesn't."""

import contextlib
import json
import pathlib
import random
import socket
import struct
import subprocess
import sys
import time

import pytest
import trio

from cactusmill.internal.net import TCP
from soak.proxies import BUFFER_BYTES, Proxies
from standins.loopback import next_port

_RESET = struct.pack("ii", 1, 0)
pytestmark = pytest.mark.filterwarnings("ignore::ResourceWarning")


@pytest.fixture
def through_proxy():
    """Return a function that runs a test before a proxy named p."""

    def run(test, handler=None, udp=False):
        async def main():
            async with trio.open_nursery() as nursery:
                port = next_port()
                if handler is not None:
                    address = f"127.0.0.1:{port + 1}"
                    await nursery.start(TCP.serve, address, handler, nursery)
                proxies = Proxies(nursery, random.Random(1))
                reply = await command(
                    proxies,
                    open="p",
                    listen=f"127.0.0.1:{port}",
                    target=f"127.0.0.1:{port + 1}",
                    udp=udp,
                )
                assert reply == {"ok": "p"}
                with trio.fail_after(15):
                    await test(proxies, port)
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


async def command(proxies, **fields):
    return await proxies.carry_out(json.dumps(fields))


async def connect(port):
    return await trio.open_tcp_stream("127.0.0.1", port)


async def echo(stream):
    with contextlib.suppress(trio.BrokenResourceError):
        async for data in stream:
            await stream.send_all(data)
        await stream.send_eof()
    await stream.aclose()


async def read_all(stream):
    data = b""
    async for piece in stream:
        data += piece
    return data


def test_bytes_and_a_half_close_pass_both_ways(through_proxy):
    async def count(stream):
        data = await read_all(stream)
        # The other direction is still open after the half-close.
        await stream.send_all(str(len(data)).encode())
        await stream.aclose()

    async def test(_proxies, port):
        stream = await connect(port)
        await stream.send_all(bytes(5_000_000))
        await stream.send_eof()
        assert await read_all(stream) == b"5000000"

    through_proxy(test, count)


@pytest.mark.parametrize("is_caller", [True, False])
def test_a_reset_is_passed_on_as_one(through_proxy, is_caller):
    ends = []

    async def far(stream):
        await stream.receive_some(1)
        if is_caller:
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()
            ends.append("reset")
        else:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        await trio.aclose_forcefully(stream)

    async def test(_proxies, port):
        stream = await connect(port)
        await stream.send_all(b"1")
        if is_caller:
            await trio.sleep(0.1)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            await trio.aclose_forcefully(stream)
            while not ends:
                await trio.sleep(0.01)
        else:
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()

    through_proxy(test, far)


def test_a_reset_after_a_half_close_is_passed_on(through_proxy):
    async def far(stream):
        await stream.send_eof()
        await stream.receive_some(1)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        await trio.aclose_forcefully(stream)

    async def test(proxies, port):
        stream = await connect(port)
        assert await stream.receive_some() == b""
        with pytest.raises(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"1")
                await trio.sleep(0.02)
        assert not proxies.proxies["p"].scopes

    through_proxy(test, far)


def test_a_close_without_a_reset_stays_one(through_proxy):
    async def close(stream):
        await stream.receive_some(1)
        await stream.aclose()

    async def test(_proxies, port):
        stream = await connect(port)
        await stream.send_all(b"1")
        assert await stream.receive_some() == b""

    through_proxy(test, close)


def test_a_delay_is_added_each_way_and_pieces_keep_their_gaps(through_proxy):
    async def test(proxies, port):
        stream = await connect(port)
        assert await command(proxies, set="p", delay_s=0.2) == {"ok": "p"}
        began_at, times = time.monotonic(), []

        async def receive():
            for _ in range(4):
                await stream.receive_some()
                times.append(time.monotonic() - began_at)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            for _ in range(4):
                await stream.send_all(b"x")
                await trio.sleep(0.1)
        assert times == pytest.approx([0.4, 0.5, 0.6, 0.7], abs=0.06)

    through_proxy(test, echo)


@pytest.mark.parametrize("silence", ["in", "out", "both", "stall"])
def test_what_a_silence_holds_follows_when_it_has_ended(through_proxy, silence):
    received = []

    async def far(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                received.append(data)
                await stream.send_all(b"back")

    async def test(proxies, port):
        stream = await connect(port)
        await stream.send_all(b"1")
        assert await stream.receive_some() == b"back"
        await command(proxies, set="p", silence=silence)
        await stream.send_all(b"2")
        with trio.move_on_after(0.3) as scope:
            await stream.receive_some()
        assert scope.cancelled_caught
        assert (b"2" in received) is (silence == "out")
        await command(proxies, heal="p")
        assert await stream.receive_some() == b"back"
        assert received == [b"1", b"2"]

    through_proxy(test, far)


def test_the_other_direction_goes_on_during_a_silence_of_one(through_proxy):
    async def tick(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"t")
                await trio.sleep(0.01)

    async def test(proxies, port):
        stream = await connect(port)
        await command(proxies, set="p", silence="in")
        for _ in range(10):
            assert await stream.receive_some()

    through_proxy(test, tick)


@pytest.mark.parametrize("silence", ["in", "stall"])
def test_buffers_are_bounded(through_proxy, silence):
    async def test(proxies, port):
        stream = await connect(port)
        await trio.sleep(0.1)
        await command(proxies, set="p", silence=silence)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024)
        taken = 0
        while True:
            with trio.move_on_after(0.5) as scope:
                await stream.send_all(bytes(16 * 1024))
                taken += 16 * 1024
            if scope.cancelled_caught:
                break
        # The operating system's own buffers hold some more.
        assert taken < 4 * BUFFER_BYTES

    through_proxy(test, echo)


def test_connections_are_refused_until_that_is_healed(through_proxy):
    async def test(proxies, port):
        kept = await connect(port)
        for _ in range(5):
            assert await command(proxies, heal="p") == {"ok": "p"}
            assert await command(proxies, set="p", refuse=True) == {"ok": "p"}
        with pytest.raises(OSError, match="all attempts to connect"):
            await connect(port)
        await kept.send_all(b"1")
        assert await kept.receive_some() == b"1"
        await command(proxies, heal="p")
        stream = await connect(port)
        await stream.send_all(b"2")
        assert await stream.receive_some() == b"2"

    through_proxy(test, echo)


def test_a_share_of_the_connections_is_reset(through_proxy):
    async def test(proxies, port):
        streams = [await connect(port) for _ in range(10)]
        for stream in streams:
            await stream.send_all(b"1")
            assert await stream.receive_some() == b"1"
        assert await command(proxies, reset="p", share=0.3) == {"ok": "p"}
        ends = []
        for stream in streams:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(b"2")
                ends.append(await stream.receive_some())
        assert ends == [b"2"] * 7

    through_proxy(test, echo)


def test_a_target_that_does_not_listen_yet_resets_the_connection(through_proxy):
    async def test(_proxies, port):
        stream = await connect(port)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()

    through_proxy(test)


def test_a_proxy_refuses_connections_while_its_target_does(through_proxy):
    async def test(_proxies, port):
        for _ in range(2):
            await trio.sleep(0.1)
            with pytest.raises(OSError, match="all attempts to connect"):
                await connect(port)
            async with trio.open_nursery() as nursery:
                address = f"127.0.0.1:{port + 1}"
                await nursery.start(TCP.serve, address, echo)
                await trio.sleep(0.1)
                stream = await connect(port)
                await stream.send_all(b"1")
                assert await stream.receive_some() == b"1"
                await stream.aclose()
                nursery.cancel_scope.cancel()

    through_proxy(test)


@contextlib.asynccontextmanager
async def datagram_echo(port):
    """Send each datagram back to where it came from, with its source's port."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    await sock.bind(("127.0.0.1", port))

    async def serve():
        while True:
            data, source = await sock.recvfrom(65536)
            await sock.sendto(data, source)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        yield
        nursery.cancel_scope.cancel()
    sock.close()


def test_datagrams_find_their_way_back_to_each_source(through_proxy):
    async def test(proxies, port):
        async with datagram_echo(port + 1):
            socks = [trio.socket.socket(type=socket.SOCK_DGRAM) for _ in range(5)]
            for number, sock in enumerate(socks):
                await sock.connect(("127.0.0.1", port))
                await sock.send(b"%d" % number)
            for number, sock in enumerate(socks):
                assert await sock.recv(100) == b"%d" % number

    through_proxy(test, udp=True)


@pytest.mark.parametrize(
    "rule, expected",
    [({"loss": 0.5}, range(20, 80)), ({"silence": "out"}, [0]), ({"loss": 1}, [0])],
)
def test_datagrams_are_lost(through_proxy, rule, expected):
    async def test(proxies, port):
        async with datagram_echo(port + 1):
            sock = trio.socket.socket(type=socket.SOCK_DGRAM)
            await sock.connect(("127.0.0.1", port))
            await command(proxies, set="p", **rule)
            count = 0
            for _ in range(200):
                await sock.send(b"x")
                await trio.sleep(0.001)
            with trio.move_on_after(0.3):
                while await sock.recv(100):
                    count += 1
            # Lost each way with a half: a quarter comes back.
            assert count in expected
            await command(proxies, heal="p")
            await sock.send(b"healed")
            assert await sock.recv(100) == b"healed"

    through_proxy(test, udp=True)


@pytest.mark.parametrize(
    "line, error",
    [
        ("{", "Expecting"),
        ("7", "has not one of"),
        ('{"close": "p"}', "has not one of"),
        ('{"set": "q", "delay_s": 1}', "'q' is not open"),
        ('{"heal": "q"}', "'q' is not open"),
        ('{"set": "p", "speed": 1}', "set does not know speed"),
        ('{"set": "p", "delay_s": -1}', "delay_s: -1"),
        ('{"set": "p", "silence": "loud", "delay_s": 1}', "silence: 'loud'"),
        ('{"set": "p", "refuse": 1}', "refuse: 1"),
        ('{"reset": "p"}', "reset lacks share"),
        ('{"reset": "p", "share": 2}', "share: 2"),
        (
            '{"open": "p", "listen": "127.0.0.1:1", "target": "127.0.0.1:2"}',
            "'p' is open",
        ),
        (
            '{"open": "r", "listen": "here", "target": "127.0.0.1:2"}',
            "'here' is not IP:PORT",
        ),
    ],
)
def test_a_command_with_an_error_changes_nothing(through_proxy, line, error):
    async def test(proxies, _port):
        before = proxies.proxies["p"].rule
        assert error in (await proxies.carry_out(line))["error"]
        assert proxies.proxies["p"].rule == before
        assert list(proxies.proxies) == ["p"]

    through_proxy(test)


@pytest.mark.parametrize("udp", [False, True])
def test_a_port_in_use_is_said(through_proxy, udp):
    async def test(proxies, port):
        listen = f"127.0.0.1:{port}"
        reply = await command(
            proxies, open="r", listen=listen, target="127.0.0.1:1", udp=udp
        )
        assert reply == {"error": f"r: {listen}: is in use"}

    through_proxy(test, udp=udp)


@pytest.mark.processes
def test_the_program_acknowledges_each_line_and_ends_with_its_input():
    port = next_port()
    opening = {
        "open": "p",
        "listen": f"127.0.0.1:{port}",
        "target": f"127.0.0.1:{port + 1}",
    }
    lines = [json.dumps(opening), '{"set": "p", "delay_s": 0.1}', '{"heal": "q"}']
    done = subprocess.run(
        [sys.executable, "-m", "soak.proxies"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        cwd=pathlib.Path(__file__).parents[2],
        timeout=20,
    )
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert replies == [{"ok": "p"}, {"ok": "p"}, {"error": "'q' is not open"}]
    assert done.returncode == 0
