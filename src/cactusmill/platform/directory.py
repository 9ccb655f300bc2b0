"""HTTP server of the host directory and the readiness check.

Callers look up in the directory which hosts to send the requests of a host name to.
"""

import json
import urllib.parse

import h11

from ..errors import ExchangeError
from ..internal.http import can_go_on, read_page_request, send_page, server_connection

DIRECTORY_PATH = "/cactusmill/resolve"
READY_PATH = "/cactusmill/ready"
# Time for which callers may use a response of the directory, in seconds. Bounds how
# long they keep sending to a host that is shutting down.
TTL_S = 2
_MAX_ADDRESSES = 64
_MAX_HEAD_BYTES = 16 * 1024
_IDLE_TIMEOUT_S = 30.0


async def serve_directory(host, stream):
    """Serve directory lookups and readiness checks on one connection.

    Parameters
    ----------
    host : GatewayHost
        The local gateway.
    stream : trio.SocketStream
        Accepted connection.
    """
    conn = server_connection(stream, _MAX_HEAD_BYTES)
    try:
        while (head := await read_page_request(conn, _IDLE_TIMEOUT_S)) is not None:
            status, body = respond(host, head.target.decode("latin-1"))
            await send_page(conn, head, status, b"application/json", body)
            if not can_go_on(conn):
                return
            conn.h11.start_next_cycle()
    except (ExchangeError, h11.RemoteProtocolError):
        # The client disconnected or sent malformed HTTP; it retries.
        return
    finally:
        await conn.close()


def respond(host, target):
    """Return the status and body of a response.

    Parameters
    ----------
    host : GatewayHost
        The local gateway.
    target : str
        Path and query of the request.

    Returns
    -------
    status : int
    body : bytes
    """
    path, _, query = target.partition("?")
    now = host.now()
    if path == READY_PATH:
        return (200 if host.is_ready(now) else 503), b"{}"
    if path != DIRECTORY_PATH:
        return 404, b"{}"
    params = urllib.parse.parse_qs(query)
    region = params.get("region", [""])[0]
    name = params.get("name", [""])[0].lower()
    addresses = host.hosts_for_callers(name, region, now)
    if len(addresses) > _MAX_ADDRESSES:
        addresses = host.rng.sample(addresses, _MAX_ADDRESSES)
    if not addresses:
        return 503, b"{}"
    return 200, json.dumps({"addresses": addresses, "ttl_s": TTL_S}).encode()
