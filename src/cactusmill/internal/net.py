"""How a host reaches other machines, as two functions.

The daemon uses TCP. Tests give a host another :class:`Network`, with delays
and cuts of their choice.
"""

import attrs
import trio

from ..errors import ConnectError, ConnectRefusedError

_BACKLOG = 1024


@attrs.frozen
class Network:
    """Ways to open and accept connections.

    Attributes
    ----------
    connect : callable
        ``await connect(address, timeout_s)`` returns a stream to
        ``"IP:PORT"`` or raises :class:`ConnectError`; the far side has
        received nothing then.
    serve : callable
        ``await serve(address, handler, handler_nursery, task_status)`` accepts
        connections for ever and runs ``handler(stream)`` in a task of the
        nursery for each, so that the end of accepting does not end them.
    """

    connect: object
    serve: object


def split_address(address):
    """Split ``"IP:PORT"`` into its two parts."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


async def _connect_tcp(address, timeout_s):
    ip, port = split_address(address)
    try:
        with trio.fail_after(timeout_s):
            return await trio.open_tcp_stream(ip, port)
    except (OSError, trio.TooSlowError) as exc:
        if isinstance(exc.__cause__, ConnectionRefusedError):
            raise ConnectRefusedError(f"{address} refuses connections") from exc
        raise ConnectError(f"no connection to {address}: {exc}") from exc


async def _serve_tcp(
    address, handler, handler_nursery=None, task_status=trio.TASK_STATUS_IGNORED
):
    ip, port = split_address(address)
    await trio.serve_tcp(
        handler,
        port,
        host=ip,
        backlog=_BACKLOG,
        handler_nursery=handler_nursery,
        task_status=task_status,
    )


TCP = Network(_connect_tcp, _serve_tcp)
