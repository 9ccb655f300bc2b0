"""Access to the network as an interface of two functions.

The daemons use TCP. Tests pass another :class:`Network` to a host, to simulate
delays and partitions.
"""

import contextlib
import errno
import socket

import attrs
import trio
from absl import logging

from ..errors import ConnectError, ConnectRefusedError

_BACKLOG = 1024
# Connections that are accepted before other tasks get a turn.
_MAX_BATCH = 64
# Errors of accept() that end when connections or memory are freed, and the pause.
_OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_RESOURCES_PAUSE_S = 0.1


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
        task of the nursery, so that open connections outlive the listener. Once it
        is cancelled, no connection that was complete by then is lost.
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
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    with socket.create_server((ip, port), family=family, backlog=_BACKLOG) as listener:
        listener.setblocking(False)
        async with trio.open_nursery() as nursery:
            task_status.started()
            await _accept_forever(listener, handler, handler_nursery or nursery)


async def _accept_forever(listener, handler, nursery):
    """Run the handler for each connection, until cancelled.

    All that wait are accepted in one turn: with one in each turn, a busy process would
    leave callers in the backlog for longer than they wait. Those that still wait when
    it is cancelled are accepted as well, since the operating system would reset them.
    """

    def accept_batch():
        for sock in _accept_batch(listener):
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
            nursery.start_soon(_handle, handler, stream)

    while True:
        try:
            await trio.lowlevel.wait_readable(listener)
        except trio.Cancelled:
            with contextlib.suppress(OSError):
                for _ in range(0, _BACKLOG, _MAX_BATCH):
                    accept_batch()
            raise
        try:
            accept_batch()
        except OSError as exc:
            if exc.errno not in _OUT_OF_RESOURCES:
                raise
            logging.error("connections are not accepted: %r", exc)
            await trio.sleep(_RESOURCES_PAUSE_S)


def _accept_batch(listener):
    """Yield the connections that wait, up to a limit."""
    for _ in range(_MAX_BATCH):
        try:
            yield listener.accept()[0]
        except (BlockingIOError, InterruptedError):
            return
        except OSError as exc:
            if exc.errno in _OUT_OF_RESOURCES or exc.errno == errno.EBADF:
                raise
            # The error of one connection, which the other end has given up.


async def _handle(handler, stream):
    try:
        await handler(stream)
    finally:
        with contextlib.suppress(OSError):
            await trio.aclose_forcefully(stream)


TCP = Network(_connect_tcp, _serve_tcp)
