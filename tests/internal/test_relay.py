"""The relay forwards complete bodies from socket to socket, or raises an error."""

import socket

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusmill.errors import (
    CallerGoneError,
    SilentEndpointError,
    TruncatedAnswerError,
)
from cactusmill.internal.relay import BodyRelay, ChunkScanner

fuzz = settings(max_examples=200, derandomize=True, deadline=None)


def chunked(chunks):
    body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks if c)
    return body + b"0\r\n\r\n"


@fuzz
@given(
    chunks=st.lists(st.binary(max_size=40), max_size=6),
    surplus=st.binary(max_size=5),
    offsets=st.lists(st.integers(0, 300), max_size=6),
)
def test_scanner_finds_the_end_however_the_bytes_are_split(chunks, surplus, offsets):
    body = chunked(chunks)
    data = body + surplus
    edges = sorted({0, len(data), *(c for c in offsets if c < len(data))})
    scanner, scanned = ChunkScanner(), 0
    for start, stop in zip(edges, edges[1:], strict=False):
        end = scanner.feed(data[start:stop])
        if end is not None:
            assert start + end == len(body)
            return
        scanned = stop
    assert scanned < len(body) or not chunks


@fuzz
@given(st.binary(max_size=60))
def test_scanner_accepts_any_bytes(data):
    try:
        ChunkScanner().feed(data)
    except TruncatedAnswerError:
        pass


async def tcp_pair():
    listener = socket.create_server(("127.0.0.1", 0))
    client = await trio.open_tcp_stream(*listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    accepted.setblocking(False)
    return client, trio.SocketStream(trio.socket.from_stdlib_socket(accepted))


def run_relay(scenario, stall_limit_s=5.0, has_events=False):
    """Run a scenario with the endpoint's and the caller's sockets of a relay.

    Returns
    -------
    clean : bool or Exception
        Result of the relay, or what it raised.
    seen : bytes
        What ``on_data`` received.
    """

    async def main():
        endpoint, source = await tcp_pair()
        target, caller = await tcp_pair()
        hub = BodyRelay()
        seen = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hub.run)
            nursery.start_soon(scenario, endpoint, caller)
            try:
                clean = await hub.relay(
                    source, target, b"", seen.append, stall_limit_s, has_events
                )
            except Exception as exc:
                clean = exc
            nursery.cancel_scope.cancel()
        return clean, b"".join(seen)

    return trio.run(main)


def test_large_body_is_complete_for_a_slow_caller():
    chunks = [b"x" * 60_000] * 100
    received = []

    async def scenario(endpoint, caller):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(endpoint.send_all, chunked(chunks))
            await trio.sleep(0.2)
            while sum(map(len, received)) < len(chunked(chunks)):
                received.append(await caller.receive_some(100_000))

    clean, seen = run_relay(scenario)
    assert clean is True
    assert seen == chunked(chunks)


def test_bytes_after_the_body_are_not_forwarded():
    async def scenario(endpoint, caller):
        await endpoint.send_all(chunked([b"own"]) + b"HTTP/1.1 200 OK\r\n")

    assert run_relay(scenario) == (False, chunked([b"own"]))


def test_truncated_body_is_an_error():
    async def scenario(endpoint, caller):
        await endpoint.send_all(chunked([b"own"])[:-5])
        await endpoint.aclose()

    assert isinstance(run_relay(scenario)[0], TruncatedAnswerError)


def test_stream_that_ends_inside_an_event_is_not_complete():
    received = []

    async def scenario(endpoint, caller):
        await endpoint.send_all(chunked([b"data: a\n\n", b"data: b\n"]))
        await endpoint.aclose()
        with trio.move_on_after(0.2):
            while data := await caller.receive_some():
                received.append(data)

    result, _ = run_relay(scenario, has_events=True)
    assert isinstance(result, TruncatedAnswerError)
    assert not b"".join(received).endswith(b"0\r\n\r\n")


def test_stream_broken_off_at_any_byte_gets_no_end():
    body = chunked([b"data: a\n\n", b"data: b\n\n"])
    for size in range(len(body)):
        received = []

        async def scenario(endpoint, caller, size=size, received=received):
            await endpoint.send_all(body[:size])
            await endpoint.aclose()
            with trio.move_on_after(0.02):
                while data := await caller.receive_some():
                    received.append(data)

        result, _ = run_relay(scenario, has_events=True)
        assert isinstance(result, TruncatedAnswerError), size
        assert not b"".join(received).endswith(b"0\r\n\r\n"), size


@pytest.mark.parametrize(
    "chunk", [b"-5\r\nhello\r\n", b"0x5\r\nhello\r\n", b"1_0\r\n" + b"x" * 10]
)
def test_invalid_chunk_size_is_an_error(chunk):
    with pytest.raises(TruncatedAnswerError):
        ChunkScanner().feed(chunk)


def test_chunk_longer_than_its_size_is_an_error():
    with pytest.raises(TruncatedAnswerError):
        ChunkScanner().feed(b"3\r\nowner\r\n0\r\n\r\n")


def test_trailer_without_end_is_an_error():
    with pytest.raises(TruncatedAnswerError):
        ChunkScanner().feed(b"0\r\n" + b"t: v\r\n" * 1000)


def test_stream_that_ends_between_events_is_complete():
    async def scenario(endpoint, caller):
        await endpoint.send_all(chunked([b"data: a\n", b"\n", b"data: b\r\n\r\n"]))

    assert run_relay(scenario, has_events=True)[0] is True


def test_stalled_endpoint_times_out():
    async def scenario(endpoint, caller):
        await endpoint.send_all(b"3\r\nown\r\n")
        await trio.sleep_forever()

    result, _ = run_relay(scenario, stall_limit_s=0.1)
    assert isinstance(result, SilentEndpointError)


def test_disconnected_caller_is_distinguished_from_the_endpoint():
    async def scenario(endpoint, caller):
        await trio.aclose_forcefully(caller)
        while True:
            await endpoint.send_all(b"3\r\nown\r\n")
            await trio.sleep(0.01)

    assert isinstance(run_relay(scenario)[0], CallerGoneError)
