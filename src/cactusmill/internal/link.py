"""Frames between two hosts over one TCP connection.

A frame is four bytes of length and one thrift ``Frame`` in compact protocol.
Links open with a proof that both sides hold the fleet's link secret.
"""

import hmac
import secrets
import struct

import attrs
import trio
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import LinkClosedError
from .wire.ttypes import Frame, Hello, Proof

MAX_FRAME_BYTES = 16 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 2.0
_RECEIVE_BYTES = 64 * 1024
_NONCE_BYTES = 16
_LENGTH = struct.Struct(">I")
_PROTOCOL = TCompactProtocolAcceleratedFactory()


def encode_frame(frame):
    """Return a frame's bytes without a length, such as for one datagram."""
    buffer = TMemoryBuffer()
    frame.write(_PROTOCOL.getProtocol(buffer))
    return buffer.getvalue()


def encode(frame):
    """Return a frame's bytes, length included."""
    data = encode_frame(frame)
    return _LENGTH.pack(len(data)) + data


def decode(data):
    """Read a frame from its bytes, length excluded.

    Raises
    ------
    LinkClosedError
        If the bytes are no frame.
    """
    frame = Frame()
    try:
        frame.read(_PROTOCOL.getProtocol(TMemoryBuffer(data)))
    except Exception as exc:
        # The codec raises many types on bad bytes; all mean the same here.
        raise LinkClosedError(f"unreadable frame: {exc!r}") from exc
    return frame


@attrs.define
class Traffic:
    """Bytes of frames that a host has sent.

    Attributes
    ----------
    bytes_sent : int
        Lengths of the frames included, without the transport's headers.
    """

    bytes_sent: int = 0


@attrs.define(eq=False)
class Link:
    """One connection to another host.

    Attributes
    ----------
    stream : trio.abc.Stream
        The transport.
    peer : Hello or None
        Who is at the far side, once proved.
    traffic : Traffic
        What went out, added up over all links of a host.
    """

    stream: trio.abc.Stream
    peer: Hello | None = None
    traffic: object = attrs.field(factory=Traffic)
    _received: bytearray = attrs.field(factory=bytearray)
    _send_lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def send(self, **field):
        """Send a frame, given as its one field.

        Raises
        ------
        LinkClosedError
            If the connection is broken.
        """
        data = encode(Frame(**field))
        async with self._send_lock:
            try:
                await self.stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise LinkClosedError("the link broke while sending") from exc
            except trio.Cancelled:
                # A frame cut in the middle would garble all that follow.
                with trio.CancelScope(shield=True):
                    await self.close()
                raise
        self.traffic.bytes_sent += len(data)

    async def receive(self):
        """Return the next frame.

        Raises
        ------
        LinkClosedError
            If the link ends or carries something that is no frame.
        """
        size = _LENGTH.unpack(await self._read_exactly(_LENGTH.size))[0]
        if size > MAX_FRAME_BYTES:
            raise LinkClosedError(f"frame of {size} bytes is over {MAX_FRAME_BYTES}")
        return decode(await self._read_exactly(size))

    async def _read_exactly(self, size):
        while len(self._received) < size:
            try:
                data = await self.stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise LinkClosedError("the link broke while receiving") from exc
            if not data:
                raise LinkClosedError("the peer closed the link")
            self._received += data
        data = bytes(self._received[:size])
        del self._received[:size]
        return data

    async def wait_closed(self):
        """Return once the far side has closed; keep what it sends meanwhile."""
        while len(self._received) <= MAX_FRAME_BYTES:
            try:
                data = await self.stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self._received += data

    async def close(self):
        """Close the connection at once."""
        await trio.aclose_forcefully(self.stream)


async def open_link(stream, me, secret, dialled, traffic=None):
    """Prove both sides of a new connection.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    me : Hello
        Who this host is; its nonce is filled in.
    secret : str
        The fleet's link secret.
    dialled : bool
        True on the side that opened the connection.
    traffic : Traffic or None
        What to add sent bytes to.

    Returns
    -------
    Link

    Raises
    ------
    LinkClosedError
        If the far side does not prove itself in time.
    """
    link = Link(stream, traffic=traffic or Traffic())
    nonce = secrets.token_bytes(_NONCE_BYTES)
    mine = Hello(me.host, me.zone, me.incarnation, nonce)
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            await link.send(hello=mine)
            theirs = (await link.receive()).hello
            if theirs is None:
                raise LinkClosedError("the first frame was no hello")
            await link.send(proof=Proof(_proof(secret, dialled, mine, theirs)))
            proof = (await link.receive()).proof
    except trio.TooSlowError as exc:
        raise LinkClosedError("no handshake in time") from exc
    expected = _proof(secret, not dialled, theirs, mine)
    if proof is None or not hmac.compare_digest(proof.mac, expected):
        raise LinkClosedError("the peer does not hold the link secret")
    link.peer = theirs
    return link


def _proof(secret, dialled, prover, verifier):
    # The side is part of the message, so that a proof cannot be sent back to
    # the one who made it.
    side = b"dialled" if dialled else b"accepted"
    name = f"{prover.host}/{prover.zone}/{prover.incarnation}".encode()
    message = b"\0".join((side, name, prover.nonce, verifier.nonce))
    return hmac.digest(secret.encode(), message, "sha256")
