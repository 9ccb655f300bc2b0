"""Access to the network as an interface of two functions.

The daemons use TCP. Tests pass another :class:`Network` to a host, to simulate
delays and partitions.
"""

import attrs
import trio

from ..errors import ConnectError, ConnectRefusedError

_BACKLOG = 1024


@attrs.frozen
class Network:
    """Functions that open and accept connections.

    Attributes
    ----------
    connect : callable
        ``await connect(address, timeout_s)`` returns a stream to
        ``"IP:PORT"`` or raises :class:`ConnectError`, in which case the other
        end has received nothing.
    serve : callable
        ``await serve(address, handler, handler_nursery, task_status)`` accepts
        connections until cancelled and runs ``handler(stream)`` for each in a
        task of the nursery, so that open connections outlive the listener.
    """

    connect: object
    serve: object


def split_address(address):
    """Split ``"IP:PORT"`` into the IP number and the port as an integer."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


async def _connect_tcp(address, timeout_s):
    ip, port = split_address(address)
    try:
        with trio.fail_after(timeout_s):
            return await trio.open_tcp_stream(ip, port)
    except (OSError, trio.TooSlowError) as exc:
        if _is_refused(exc):
            raise ConnectRefusedError(f"{address} refuses connections") from exc
        raise ConnectError(f"no connection to {address}: {exc}") from exc


def _is_refused(exc):
    """Return whether all attempts behind an error of `open_tcp_stream` were refused."""
    cause = exc.__cause__
    causes = cause.exceptions if isinstance(cause, BaseExceptionGroup) else [cause]
    return all(isinstance(c, ConnectionRefusedError) for c in causes)


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
