"""Exchange of frames between two hosts over one TCP connection.

A frame is a four-byte length followed by a thrift ``Frame`` in the compact
protocol. When a link opens, both sides prove that they have the fleet's link
secret.
"""

import contextlib
import functools
import hmac
import secrets
import struct

import attrs
import trio
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import (
    AnswerCutError,
    BufferLimitError,
    LinkClosedError,
    LinkFullError,
)
from .delivery import deliver, receive_some
from .wire.ttypes import Frame, Hello, Proof

MAX_FRAME_BYTES = 16 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 2.0
_RECEIVE_BYTES = 64 * 1024
_NONCE_BYTES = 16
_LENGTH = struct.Struct(">I")
# A frame that has begun is complete within this time.
FRAME_TIMEOUT_S = 15.0
_MAX_HANDSHAKE_FRAME_BYTES = 4096
# What the other end may send while this one expects nothing.
_MAX_SURPLUS_BYTES = 64 * 1024
_PROTOCOL = TCompactProtocolAcceleratedFactory()
# Encodes as the generated code does, without a protocol and a transport for each frame,
# which take 5 of 11 us of a heartbeat. None where thrift has no compiled codec.
_FAST_ENCODE = _PROTOCOL.getProtocol(TMemoryBuffer())._fast_encode
_FRAME_SPEC = [Frame, Frame.thrift_spec]


def encode_frame(frame):
    """Encode a frame without its length, for example for a datagram."""
    if _FAST_ENCODE is not None:
        return _FAST_ENCODE(frame, _FRAME_SPEC)
    buffer = TMemoryBuffer()
    frame.write(_PROTOCOL.getProtocol(buffer))
    return buffer.getvalue()


def encode(frame):
    """Encode a frame with its length."""
    data = encode_frame(frame)
    return _LENGTH.pack(len(data)) + data


def decode(data):
    """Decode a frame from bytes without the length.

    Raises
    ------
    LinkClosedError
        If the bytes do not encode a frame.
    """
    frame = Frame()
    try:
        frame.read(_PROTOCOL.getProtocol(TMemoryBuffer(data)))
    except Exception as exc:
        # The thrift codec raises various exceptions on malformed bytes.
        raise LinkClosedError(f"unreadable frame: {exc!r}") from exc
    return frame


@attrs.define
class Traffic:
    """Counter of the bytes that a host has sent in frames.

    Attributes
    ----------
    bytes_sent : int
        Bytes of frames and their lengths, without the headers of the transport.
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
        Identity of the other end, once proved.
    traffic : Traffic
        Counter of sent bytes, shared by all links of a host.
    max_frame_bytes : int
        Limit of a received frame.
    buffers : BufferBudget or None
        Limits the bytes of frames that this host holds before they are complete.
    has_looked : bool
        True after a receipt that was cancelled; see :func:`.receive_some`.
    is_broken : bool
        True once receiving has failed.
    """

    stream: trio.abc.Stream
    peer: Hello | None = None
    traffic: object = attrs.field(factory=Traffic)
    max_frame_bytes: int = MAX_FRAME_BYTES
    buffers: object = None
    has_looked: bool = False
    is_broken: bool = False
    _received: bytearray = attrs.field(factory=bytearray)
    _send_lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def send(self, **field):
        """Send a frame with one field, given as a keyword argument.

        Being cancelled before a byte is written leaves the link open.

        Raises
        ------
        LinkClosedError
            If the connection is broken.
        """
        data = encode(Frame(**field))
        await self._write(self.stream.send_all, data, is_cancellable=True)

    async def deliver(self, frames):
        """Send the frames of a complete response, as :func:`.deliver` does.

        Raises
        ------
        AnswerCutError
            If the other end does not take them; the link is closed.
        LinkClosedError
            If the connection is broken.
        """
        data = b"".join(encode(frame) for frame in frames)
        await self._write(functools.partial(deliver, self.stream), data)

    async def _write(self, write, data, is_cancellable=False):
        try:
            self._send_lock.acquire_nowait()
        except trio.WouldBlock:
            await self._send_lock.acquire()
        try:
            if is_cancellable:
                await trio.lowlevel.checkpoint_if_cancelled()
            await self._write_alone(write, data)
        finally:
            self._send_lock.release()
        self.traffic.bytes_sent += len(data)

    async def _write_alone(self, write, data):
        try:
            await write(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError("the link broke while sending") from exc
        except (trio.Cancelled, AnswerCutError):
            # A partly sent frame would corrupt all frames after it.
            with trio.CancelScope(shield=True):
                await self.close()
            raise

    async def receive(self):
        """Return the next frame.

        If it is cancelled, what has been received of a frame is kept for the next call.

        Raises
        ------
        LinkFullError
            If this host has no room for the frame.
        LinkClosedError
            If the link closes, receives something other than a frame, or a frame
            that has begun does not end in time.
        """
        if not self._received:
            await self._receive_some()
        try:
            with trio.fail_after(FRAME_TIMEOUT_S):
                return await self._receive_frame()
        except trio.TooSlowError as exc:
            raise LinkClosedError(
                f"a frame was not complete within {FRAME_TIMEOUT_S} s"
            ) from exc

    async def _receive_frame(self):
        await self._fill(_LENGTH.size)
        size = _LENGTH.unpack_from(self._received)[0]
        limit = self.max_frame_bytes
        if size > limit:
            raise LinkClosedError(f"frame of {size} bytes is over {limit}")
        end = _LENGTH.size + size
        if self.buffers is None:
            await self._fill(end)
        else:
            try:
                with self.buffers.hold() as count_held:
                    await self._fill(end, count_held)
            except BufferLimitError as exc:
                raise LinkFullError(str(exc)) from exc
        return self._take_frame(end)

    def receive_arrived(self):
        """Return the next frame if it has been received whole, or else None.

        Raises
        ------
        LinkClosedError
            If it is no frame.
        """
        if len(self._received) < _LENGTH.size:
            return None
        end = _LENGTH.size + _LENGTH.unpack_from(self._received)[0]
        return None if len(self._received) < end else self._take_frame(end)

    def _take_frame(self, end):
        data = bytes(self._received[_LENGTH.size : end])
        del self._received[:end]
        return decode(data)

    async def _fill(self, size, count_held=None):
        """Receive until a number of bytes are there, and count what came."""
        while len(self._received) < size:
            data = await self._receive_some()
            if count_held is not None:
                count_held(data)

    async def _receive_some(self):
        try:
            data = await receive_some(self, _RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError("the link broke while receiving") from exc
        if not data:
            raise LinkClosedError("the peer closed the link")
        self._received += data
        return data

    async def wait_closed(self):
        """Return once the other end has closed, or sends too much meanwhile."""
        with contextlib.suppress(LinkClosedError):
            while len(self._received) <= _MAX_SURPLUS_BYTES:
                await self._receive_some()

    async def discard_until_closed(self):
        """Discard what comes until the other end has closed, at most one frame."""
        discarded_bytes = 0
        with contextlib.suppress(LinkClosedError):
            while discarded_bytes <= _LENGTH.size + self.max_frame_bytes:
                discarded_bytes += len(self._received)
                self._received.clear()
                await self._receive_some()

    async def close(self):
        """Close the connection without waiting for the other end."""
        await trio.aclose_forcefully(self.stream)


async def open_link(stream, identity, secret, dialled, traffic=None, buffers=None):
    """Open a link on a new connection by mutual authentication.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    identity : Hello
        Identity of this host; its nonce is ignored and replaced by a random one.
    secret : str
        The fleet's link secret.
    dialled : bool
        True on the side that opened the connection.
    traffic : Traffic or None
        Counter of sent bytes, if they are to be counted.
    buffers : BufferBudget or None
        Limits the bytes of frames that this host holds, if they are to be limited.

    Returns
    -------
    Link

    Raises
    ------
    LinkClosedError
        If the other end does not prove its identity within
        `HANDSHAKE_TIMEOUT_S` seconds.
    """
    link = Link(
        stream,
        traffic=traffic or Traffic(),
        max_frame_bytes=_MAX_HANDSHAKE_FRAME_BYTES,
        buffers=buffers,
    )
    nonce = secrets.token_bytes(_NONCE_BYTES)
    own_hello = Hello(identity.host, identity.zone, identity.incarnation, nonce)
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            await link.send(hello=own_hello)
            peer_hello = (await link.receive()).hello
            if peer_hello is None:
                raise LinkClosedError("the first frame was no hello")
            await link.send(proof=Proof(_proof(secret, dialled, own_hello, peer_hello)))
            proof = (await link.receive()).proof
    except trio.TooSlowError as exc:
        raise LinkClosedError("no handshake in time") from exc
    expected = _proof(secret, not dialled, peer_hello, own_hello)
    if proof is None or not hmac.compare_digest(proof.mac, expected):
        raise LinkClosedError("the peer does not hold the link secret")
    link.peer, link.max_frame_bytes = peer_hello, MAX_FRAME_BYTES
    return link


def _proof(secret, dialled, prover, verifier):
    # The message contains the prover's side, so that a proof cannot be reflected
    # to the host that sent it.
    side = b"dialled" if dialled else b"accepted"
    name = f"{prover.host}/{prover.zone}/{prover.incarnation}".encode()
    message = b"\0".join((side, name, prover.nonce, verifier.nonce))
    return hmac.digest(secret.encode(), message, "sha256")
