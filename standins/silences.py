"""Endpoints that fall silent for a while at a stated place, and go on.

While one is silent with a request, it neither reads nor writes on its connection. As a
process (``python -m standins.silences``) it can be stopped and continued by signals.
"""

import argparse
import enum

import trio

from cactusmill.internal.framing import Framing
from cactusmill.internal.http import header, read_body
from cactusmill.internal.net import split_address

from .loopback import EndpointStub, event
from .raw_responses import encode_response

EVENTS = 4
# Query of a request's target that states the place.
QUERY = b"silent="


class Place(enum.Enum):
    """Where an endpoint is silent."""

    BEFORE_HEAD = "before-head"
    INSIDE_HEAD = "inside-head"
    INSIDE_BODY = "inside-body"
    BETWEEN_PIECES = "between-pieces"


def whole_body(request_id):
    """Return the pieces of the body that is the response to a request."""
    return [event(number) for number in range(1, EVENTS)] + [
        f"id: {EVENTS}\ndata: {request_id}\n\n".encode()
    ]


def silent_handler(silence_s, *, is_forever=False):
    """Return the handler of an endpoint that is silent at the place asked for.

    Parameters
    ----------
    silence_s : float
        Duration of the silence, in seconds.
    is_forever : bool
        Whether it never goes on.
    """

    async def handle(endpoint, conn, request):
        await read_body(conn, 10**7)
        request_id = header(request.headers, b"request-id")
        endpoint.runs.append(request_id)
        first = int(header(request.headers, b"last-event-id", "0"))
        pieces = whole_body(request_id)[first:]
        head, body = encode_response(
            Framing.CHUNKED,
            pieces,
            [
                (b"request-id", request_id.encode()),
                (b"response-signature", b"s"),
                (b"content-type", b"text/event-stream"),
            ],
        )
        size = _size_before(request.target, head, body)
        if size is None:
            await conn.stream.send_all(head + body)
            return False
        await conn.stream.send_all((head + body)[:size])
        await trio.sleep(float("inf") if is_forever else silence_s)
        await conn.stream.send_all((head + body)[size:])
        return False

    return handle


def _size_before(target, head, body):
    """Return how many bytes are sent before the silence; None without one."""
    if QUERY not in target:
        return None
    first_piece = body.index(b"\n\n") + 4
    return {
        Place.BEFORE_HEAD: 0,
        Place.INSIDE_HEAD: len(head) // 2,
        Place.INSIDE_BODY: len(head) + first_piece + 9,
        Place.BETWEEN_PIECES: len(head) + first_piece,
    }[Place(target.partition(QUERY)[2].decode())]


async def _serve(name, address):
    endpoint = EndpointStub(name, "", "")
    endpoint.event_gap_s = 0.1
    ip, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=ip)
    print(listeners[0].socket.getsockname()[1], flush=True)
    await trio.serve_listeners(endpoint.serve, listeners)


def main():
    """Serve one endpoint, and print the port on which it does."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True, help="name of the endpoint")
    parser.add_argument("--listen", required=True, help="IP:PORT; port 0 for any")
    args = parser.parse_args()
    trio.run(_serve, args.name, args.listen)


if __name__ == "__main__":
    main()
