"""HTTP server and command-line options shared by the stand-ins."""

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
class HTTPResponse:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Complete body.
    headers : tuple of (bytes, bytes)
        Headers besides content type and length.
    """

    status: int
    body: bytes
    headers: tuple = ()


def json_response(value, status=200, headers=()):
    """Return a response with a JSON body."""
    return HTTPResponse(status, json.dumps(value).encode(), headers)


async def serve_requests(stream, handler):
    """Serve the HTTP requests of one connection.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    handler : callable
        ``await handler(conn, head, body)`` returns an :class:`HTTPResponse`, or
        None if it has sent a response itself or drops the connection.
    """
    conn = server_connection(stream, _MAX_HEAD_BYTES)
    try:
        while True:
            head = await conn.next_event()
            if not isinstance(head, h11.Request):
                return
            body = await read_body(conn, _MAX_BODY_BYTES)
            response = await handler(conn, head, body)
            if response is not None:
                await send_response(conn, response)
            if not (conn.h11.our_state is conn.h11.their_state is h11.DONE):
                return
            conn.h11.start_next_cycle()
    except (ExchangeError, BadRequestError, h11.ProtocolError):
        pass
    finally:
        await conn.close()


async def send_response(conn, response):
    """Send a complete response."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(response.body)).encode()),
        *response.headers,
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    await conn.send(head, h11.Data(data=response.body), h11.EndOfMessage())


def listen_parser(description):
    """Return an argument parser with the options shared by all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", required=True, metavar="IP:PORT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--capture", type=pathlib.Path, help="file to append all received bytes to"
    )
    return parser


def run_server(address, serve, capture=None):
    """Serve connections until the process is killed.

    Parameters
    ----------
    address : str
        ``"IP:PORT"`` to listen on.
    serve : callable
        ``await serve(stream)`` handles one connection.
    capture : pathlib.Path or None
        File to append all received bytes to.
    """

    async def handle(stream):
        if capture is not None:
            stream = CapturedStream(stream, capture)
        await serve(stream)

    trio.run(TCP.serve, address, handle)


@attrs.define(eq=False)
class CapturedStream(trio.abc.Stream):
    """A stream that appends every received byte to a file.

    Attributes
    ----------
    stream : trio.abc.Stream
        The transport.
    capture : pathlib.Path
        The file.
    """

    stream: trio.abc.Stream
    capture: pathlib.Path

    async def receive_some(self, max_bytes=None):
        """Receive bytes and append them to the file."""
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
