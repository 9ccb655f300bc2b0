"""What the stand-ins share: an HTTP server of whole answers."""

import argparse
import json
import pathlib

import attrs
import h11
import trio

from cactusmill.errors import BadRequestError, ExchangeError
from cactusmill.internal.http import read_body, server_connection
from cactusmill.internal.net import TCP

_MAX_HEAD_BYTES = 64 * 1024
_MAX_BODY_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Page:
    """A whole answer."""

    status: int
    body: bytes
    headers: tuple = ()


def json_page(value, status=200, headers=()):
    """Return an answer with a JSON body."""
    return Page(status, json.dumps(value).encode(), headers)


async def serve_pages(stream, answer):
    """Serve one connection.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    answer : callable
        ``await answer(conn, head, body)`` returns a :class:`Page`, or None if
        it has sent its own answer or the connection is to be dropped.
    """
    conn = server_connection(stream, _MAX_HEAD_BYTES)
    try:
        while True:
            head = await conn.next_event()
            if not isinstance(head, h11.Request):
                return
            body = await read_body(conn, _MAX_BODY_BYTES)
            page = await answer(conn, head, body)
            if page is not None:
                await send_page(conn, page)
            if not (conn.h11.our_state is conn.h11.their_state is h11.DONE):
                return
            conn.h11.start_next_cycle()
    except (ExchangeError, BadRequestError, h11.ProtocolError):
        pass
    finally:
        await conn.close()


async def send_page(conn, page):
    """Send a whole answer."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(page.body)).encode()),
        *page.headers,
    ]
    response = h11.Response(status_code=page.status, headers=headers)
    await conn.send(response, h11.Data(data=page.body), h11.EndOfMessage())


def listen_parser(description):
    """Return a parser with the options that every stand-in has."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", required=True, metavar="IP:PORT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--capture", type=pathlib.Path, help="file that all received bytes go to"
    )
    return parser


def run_server(address, serve, capture=None):
    """Serve for ever in this process."""

    async def handle(stream):
        if capture is not None:
            stream = CapturedStream(stream, capture)
        await serve(stream)

    trio.run(TCP.serve, address, handle)


@attrs.define(eq=False)
class CapturedStream(trio.abc.Stream):
    """A stream that writes down every byte that it receives."""

    stream: trio.abc.Stream
    capture: pathlib.Path

    async def receive_some(self, max_bytes=None):
        """Receive and write down."""
        data = await self.stream.receive_some(max_bytes)
        with self.capture.open("ab") as file:
            file.write(data)
        return data

    async def send_all(self, data):
        """Send."""
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        """Wait until sending might not block."""
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self):
        """Close."""
        await self.stream.aclose()
