"""Responses of an endpoint as raw bytes, which may break off anywhere."""

import enum
import socket
import struct

import trio

from cactusmill.internal.framing import Framing

EVENT_STREAM = b"text/event-stream"
_LINGER = struct.Struct("ii")


class Ending(enum.Enum):
    """How an endpoint ends the connection of its response."""

    CLOSE = "close"
    RESET = "reset"


def encode_response(framing, chunks, headers=()):
    """Return the head and the encoded body of a 200 response.

    Parameters
    ----------
    framing : Framing
        ``LENGTH``, ``CHUNKED`` or ``CLOSE``.
    chunks : list of bytes
        The body.
    headers : sequence of (bytes, bytes)
        Headers besides those of the framing.

    Returns
    -------
    head, body : bytes
    """
    body = b"".join(chunks)
    framed_by = {
        Framing.LENGTH: [(b"content-length", b"%d" % len(body))],
        Framing.CHUNKED: [(b"transfer-encoding", b"chunked")],
        Framing.CLOSE: [(b"connection", b"close")],
    }[framing]
    lines = [b"HTTP/1.1 200 OK"]
    lines += [b"%s: %s" % pair for pair in (*headers, *framed_by)]
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if framing is Framing.CHUNKED:
        body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks) + b"0\r\n\r\n"
    return head, body


async def end_connection(stream, ending):
    """End a TCP connection by a close (FIN) or a reset (RST).

    A close is preceded by reading nothing more: the connection must hold no unread
    bytes, which would turn it into a reset.
    """
    if ending is Ending.RESET:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(1, 0))
    await trio.aclose_forcefully(stream)


async def end_during_request(stream, ending):
    """End a connection whose request has not been read to its end.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    ending : Ending or None
        None for a half close: FIN without a reset, though bytes are unread.
    """
    if ending is None:
        await stream.send_eof()
    else:
        await end_connection(stream, ending)
