"""Processor time with which a host delivers a complete answer, or relays a stream.

The answer is relayed to a caller's connection and to another host's link. The events of
a stream from an endpoint arrive together, or each once the one before was read. The
other ends run in a thread of their own, and only the time of the host's thread is
counted.
"""

import argparse
import contextlib
import functools
import socket
import statistics
import threading
import time
import types

import h11
import trio
from absl import logging

from cactusmill.errors import ExchangeError, LinkClosedError
from cactusmill.internal.account import Account
from cactusmill.internal.http import client_connection, server_connection
from cactusmill.internal.link import Link, encode
from cactusmill.internal.wire.ttypes import Forward, Frame
from cactusmill.platform.dialect import DIALECT
from cactusmill.serving import edge, forwarding
from cactusmill.serving.connections import ConnectionPool, exchange
from cactusmill.serving.progress import Progress
from cactusmill.serving.response_relay import relay_body, relay_stream

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nhost: api.example\r\n\r\n"
RESPONSE = types.SimpleNamespace(
    status=200,
    headers=[(b"request-id", b"r-1"), (b"x-answer-signed-by", b"signed")],
)


def talk(sock, request, size, count):
    """Send requests one after another, and read a response of a size to each."""
    for _ in range(count):
        sock.sendall(request)
        left = size
        while left:
            left -= len(sock.recv(left))


def measure_size(serve, request):
    """Return the bytes of one response."""
    near, far = socket.socketpair()
    near.settimeout(0.2)
    sizes = []

    def read():
        near.sendall(request)
        received = b""
        try:
            while True:
                received += near.recv(65536)
        except TimeoutError:
            sizes.append(len(received))
        near.close()

    run(serve, far, read)
    return sizes[0]


def run(serve, far, talk):
    """Serve a connection while a thread talks on it; return the seconds used."""
    thread = threading.Thread(target=talk)

    async def main():
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(far))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, stream)
            thread.start()
            while thread.is_alive():
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    began_s = time.thread_time()
    trio.run(main)
    return time.thread_time() - began_s


async def serve_caller(body, stream):
    """Read requests of a caller and relay the answer to each."""
    conn = server_connection(stream, 16384)
    host = types.SimpleNamespace(
        now=trio.current_time,
        closes_connections=lambda now: False,
        dialect=DIALECT,
    )
    while True:
        head = await conn.next_event()
        if not isinstance(head, h11.Request):
            return
        await conn.next_event()
        caller = edge.CallerRequest(conn, None, 0.0, 0.0)
        sink = edge._caller_sink(host, caller, None)
        await relay_body(host, sink, types.SimpleNamespace(), RESPONSE, body)
        conn.h11.start_next_cycle()


def event(number):
    """Return an event in a chunk."""
    data = b'id: %d\ndata: {"choices":[{"delta":{"content":"w"}}]}\n\n' % number
    return b"%x\r\n%s\r\n" % (len(data), data)


def talk_stream(sock, endpoint, pieces, count):
    """Play the endpoint and the caller of some streams."""
    for _ in range(count):
        sock.sendall(REQUEST)
        endpoint.recv(65536)
        received = b""
        for number, piece in enumerate(pieces, 1):
            endpoint.sendall(piece)
            end = LAST_CHUNK if number == len(pieces) else b"\n\n\r\n"
            while not received.endswith(end):
                received = received[-8:] + sock.recv(65536)
            received = b""


async def serve_stream(upstream, stream):
    """Read requests of a caller and relay the stream of an endpoint to each."""
    conn = server_connection(stream, 16384)
    metadata = types.SimpleNamespace(request_id=None, will_close=False, idle_s=9.0)
    host = types.SimpleNamespace(
        now=trio.current_time, closes_connections=lambda now: False, dialect=DIALECT
    )
    endpoint, pool = client_connection(upstream), ConnectionPool(net=None)
    while True:
        head = await conn.next_event()
        if not isinstance(head, h11.Request):
            return
        await conn.next_event()
        caller = edge.CallerRequest(conn, None, 0.0, 0.0)
        sink = edge._caller_sink(host, caller, None)
        get = h11.Request(method="GET", target="/", headers=[("host", "-")])
        response = await exchange(
            pool, "e", endpoint, get, b"", "r-1", lambda *head: metadata, (5.0, 1.6)
        )
        load = types.SimpleNamespace(mark_prompt_read=lambda: None)
        progress = Progress(1, "d")
        await relay_stream(host, None, sink, progress, None, response, load, 0.0)
        conn.h11.start_next_cycle()


def measure_streams(pieces, count):
    """Return the seconds used for some streams that arrive in pieces."""
    near, far = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        upstream = socket.create_connection(listener.getsockname())
        endpoint, _ = listener.accept()
    endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def serve(stream):
        upstream.setblocking(False)
        source = trio.SocketStream(trio.socket.from_stdlib_socket(upstream))
        with contextlib.suppress(ExchangeError):
            await serve_stream(source, stream)

    used_s = run(serve, far, lambda: talk_stream(near, endpoint, pieces, count))
    near.close()
    endpoint.close()
    return used_s


async def serve_host(body, stream):
    """Serve forwarded requests of another host, with the answer to each."""
    host = types.SimpleNamespace(
        now=trio.current_time, dialect=DIALECT, account=Account()
    )
    link = Link(stream)

    async def answer(host, req, sink, progress):
        await relay_body(host, sink, types.SimpleNamespace(), RESPONSE, body)

    with contextlib.suppress(LinkClosedError):
        while True:
            message = (await link.receive()).forward
            req = types.SimpleNamespace(
                request_id=message.request_id, team_name="", target="/", body=b""
            )
            with host.account.open() as entry:
                progress = Progress(1, "d")
                await forwarding._run_forward(
                    host, link, message, req, progress, answer, entry
                )


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=5000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--body-bytes", type=int, default=900)
    parser.add_argument("--events", type=int, default=60)
    args = parser.parse_args()
    # A line for each request is not a part of its delivery.
    logging.set_verbosity(logging.WARNING)
    body = b"b" * args.body_bytes
    forward = Forward(
        call=0, request_id="r-1", route="r", team="", method="GET", target="/",
        headers=[], body=b"", remaining_ms=1000,
    )  # fmt: skip
    for name, serve, request in (
        ("to a caller", serve_caller, REQUEST),
        ("to another host", serve_host, encode(Frame(forward=forward))),
    ):
        serve = functools.partial(serve, body)
        size, used_us = measure_size(serve, request), []
        for _ in range(args.runs):
            near, far = socket.socketpair()
            exchanges = functools.partial(talk, near, request, size, args.requests)
            used_us.append(run(serve, far, exchanges) / args.requests * 1e6)
            near.close()
        runs = " ".join(f"{us:.0f}" for us in used_us)
        print(f"{name:16} {statistics.median(used_us):6.0f} us, of {runs}")
    count = max(1, args.requests // 20)
    events = [event(number) for number in range(1, args.events + 1)]
    whole, last = STREAM_HEAD + b"".join(events) + LAST_CHUNK, events[-1] + LAST_CHUNK
    for name, pieces in (
        ("events together", [whole]),
        ("events alone", [STREAM_HEAD + events[0], *events[1:-1], last]),
    ):
        used_us = [
            measure_streams(pieces, count) / count / args.events * 1e6
            for _ in range(args.runs)
        ]
        runs = " ".join(f"{us:.0f}" for us in used_us)
        print(f"{name:16} {statistics.median(used_us):6.0f} us an event, of {runs}")


if __name__ == "__main__":
    main()
