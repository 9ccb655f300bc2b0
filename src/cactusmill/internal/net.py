"""Access to the network as an interface of two functions.

The daemons use TCP. Tests pass another :class:`Network` to a host, to simulate
delays and partitions.
"""

import contextlib
import errno
import ipaddress
import os
import select
import socket

import attrs
import trio
from absl import logging

from ..errors import ConnectError, ConnectRefusedError, ConnectResetError

_BACKLOG = 1024
# Connections that are accepted before other tasks get a turn.
_MAX_BATCH = 64
# Errors of accept() that end when connections or memory are freed, and the pause.
_OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_RESOURCES_PAUSE_S = 0.1
# Results of a nonblocking connect() that goes on.
_CONNECTING = frozenset({0, errno.EINPROGRESS, errno.EINTR})


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
        if _is_numeric(ip):
            return await _connect_numeric(ip, port, timeout_s)
        with trio.fail_after(timeout_s):
            return await trio.open_tcp_stream(ip, port)
    except (OSError, trio.TooSlowError) as exc:
        if _is_refused(exc):
            raise ConnectRefusedError(f"{address} refuses connections") from exc
        if isinstance(exc, ConnectionResetError):
            raise ConnectResetError(f"{address} resets connections") from exc
        raise ConnectError(f"no connection to {address}: {exc}") from exc


def _is_numeric(ip):
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        return False
    return True


async def _connect_numeric(ip, port, timeout_s):
    """Connect within one turn of the event loop, if the other end accepts at once."""
    sock = socket.socket(_family(ip), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        error = sock.connect_ex((ip, port))
        if error in _CONNECTING:
            with trio.move_on_after(timeout_s):
                await trio.lowlevel.wait_writable(sock)
            # On a late event loop, the limit may pass although it is connected.
            if not _is_writable(sock):
                raise trio.TooSlowError(f"not within {timeout_s:.2f} s")
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        else:
            await trio.lowlevel.checkpoint()
        if error:
            raise OSError(error, os.strerror(error))
        return trio.SocketStream(trio.socket.from_stdlib_socket(sock))
    except BaseException:
        sock.close()
        raise


def _is_writable(sock):
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLOUT)
    return bool(poller.poll(0))


def _family(ip):
    return socket.AF_INET6 if ":" in ip else socket.AF_INET


def _is_refused(exc):
    """Return whether all attempts behind an error of a connection were refused."""
    if isinstance(exc, ConnectionRefusedError):
        return True
    cause = exc.__cause__
    causes = cause.exceptions if isinstance(cause, BaseExceptionGroup) else [cause]
    return all(isinstance(c, ConnectionRefusedError) for c in causes)


async def _serve_tcp(
    address, handler, handler_nursery=None, task_status=trio.TASK_STATUS_IGNORED
):
    ip, port = split_address(address)
    with socket.create_server(
        (ip, port), family=_family(ip), backlog=_BACKLOG
    ) as listener:
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
