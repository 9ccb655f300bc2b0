"""The directory and the readiness check, as the platform asks for them."""

import json
import urllib.parse

import h11

from ..errors import ExchangeError
from ..internal.http import server_connection

DIRECTORY_PATH = "/cactusmill/resolve"
READY_PATH = "/cactusmill/ready"
# Callers ask again after this, so that a host that leaves gets no new ones.
TTL_S = 2
_MAX_ADDRESSES = 64
_MAX_HEAD_BYTES = 16 * 1024


async def serve_directory(host, stream):
    """Answer directory look-ups and readiness checks until the caller leaves.

    Parameters
    ----------
    host : GatewayHost
        This process.
    stream : trio.SocketStream
        The accepted connection.
    """
    conn = server_connection(stream, _MAX_HEAD_BYTES)
    try:
        while isinstance(event := await conn.next_event(), h11.Request):
            while not isinstance(await conn.next_event(), h11.EndOfMessage):
                pass
            status, body = answer(host, event.target.decode("latin-1"))
            await conn.send(
                h11.Response(
                    status_code=status,
                    headers=[
                        (b"content-type", b"application/json"),
                        (b"content-length", str(len(body)).encode()),
                    ],
                ),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )
            if conn.h11.our_state is not h11.DONE:
                return
            conn.h11.start_next_cycle()
    except (ExchangeError, h11.RemoteProtocolError):
        # The caller left, or speaks something else; it asks again.
        return
    finally:
        await conn.close()


def answer(host, target):
    """Return status and body of an answer.

    Parameters
    ----------
    host : GatewayHost
        This process.
    target : str
        Path and query of the request.
    """
    path, _, query = target.partition("?")
    now = host.now()
    if path == READY_PATH:
        return (200 if host.is_ready(now) else 503), b"{}"
    if path != DIRECTORY_PATH:
        return 404, b"{}"
    asked = urllib.parse.parse_qs(query)
    region = asked.get("region", [""])[0]
    name = asked.get("name", [""])[0].lower()
    addresses = host.hosts_for_callers(name, region, now)
    if len(addresses) > _MAX_ADDRESSES:
        addresses = host.rng.sample(addresses, _MAX_ADDRESSES)
    if not addresses:
        return 503, b"{}"
    return 200, json.dumps({"addresses": addresses, "ttl_s": TTL_S}).encode()
