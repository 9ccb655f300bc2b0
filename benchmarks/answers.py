"""Processor time with which a host delivers a complete answer.

The answer is relayed to a caller's connection and to another host's link. The other
ends run in a thread of their own, and only the time of the host's thread is counted.
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

from cactusmill.errors import LinkClosedError
from cactusmill.internal.account import Account
from cactusmill.internal.http import server_connection
from cactusmill.internal.link import Link, encode
from cactusmill.internal.wire.ttypes import Forward, Frame
from cactusmill.platform.dialect import DIALECT
from cactusmill.serving import edge, forwarding
from cactusmill.serving.response_relay import relay_body

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
                await forwarding._run_forward(host, link, message, req, answer, entry)


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=5000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--body-bytes", type=int, default=900)
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
            exchange = functools.partial(talk, near, request, size, args.requests)
            used_us.append(run(serve, far, exchange) / args.requests * 1e6)
            near.close()
        runs = " ".join(f"{us:.0f}" for us in used_us)
        print(f"{name:16} {statistics.median(used_us):6.0f} us, of {runs}")


if __name__ == "__main__":
    main()
