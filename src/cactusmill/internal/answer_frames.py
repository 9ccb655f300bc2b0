"""Frames of a response's body on a link, with positions that show missing ones.

A link may deliver the frames after a hole: what the connection under it delivers is no
evidence that nothing is missing. The receiving host therefore compares each frame's
position with the bytes that it has received. Builds before positions send none; their
frames are taken as they come.
"""

from ..errors import TruncatedAnswerError
from .http import has_other_end_closed
from .request import Sink
from .wire.ttypes import AnswerData, AnswerEnd, Frame

# Far below the limit of a frame.
MAX_DATA_BYTES = 1024 * 1024


def whole_answer(call, head, body):
    """Return the frames of a complete response.

    Parameters
    ----------
    call : int
        Number of the call on the link.
    head : AnswerHead
        Head of the response.
    body : bytes
        The complete body.
    """
    data = [
        Frame(answer_data=AnswerData(call, body[at : at + MAX_DATA_BYTES], at))
        for at in range(0, len(body), MAX_DATA_BYTES)
    ]
    end = Frame(answer_end=AnswerEnd(call, True, len(body)))
    return [Frame(answer_head=head), *data, end]


def answer_sink(send, call, encode_head, stream=None, deliver=None):
    """Return a sink that sends a response over a link.

    Parameters
    ----------
    send : callable
        ``await send(**field)`` sends a frame.
    call : int
        Number of the call on the link.
    encode_head : callable
        ``encode_head(status, headers)`` returns an ``AnswerHead``.
    stream : trio.abc.Stream or None
        Transport of the link; None if its end is not looked for.
    deliver : callable or None
        ``await deliver(frames)`` sends the frames of a complete response, or its last
        one; None for a sink that never gets a complete one.
    """
    size = 0

    async def head(status, headers, first=b""):
        await send(answer_head=encode_head(status, headers))
        if first:
            await data(first)

    async def data(chunk):
        nonlocal size
        position, size = size, size + len(chunk)
        await send(answer_data=AnswerData(call, chunk, position))

    async def end(last=b""):
        if deliver is None:
            if last:
                await data(last)
            await send(answer_end=AnswerEnd(call, True, size))
            return
        frames = [Frame(answer_data=AnswerData(call, last, size))] if last else []
        message = AnswerEnd(call, True, size + len(last))
        await deliver([*frames, Frame(answer_end=message)])

    async def whole(status, headers, body):
        await deliver(whole_answer(call, encode_head(status, headers), body))

    def is_abandoned():
        return has_other_end_closed(stream)

    return Sink(head, data, end, whole, is_abandoned=is_abandoned)


def read_body_frame(frame, received):
    """Return the data of a frame inside a response, or None if it ends the response.

    Parameters
    ----------
    frame : Frame
        As received.
    received : ReceivedBody
        Counts the data.

    Raises
    ------
    OversizedAnswerError
        If the body exceeds the limits of `received`.
    TruncatedAnswerError
        If a frame before it is missing or came twice, it does not belong inside a
        response, or the other host could not complete the response.
    """
    message = frame.answer_data
    if message is not None:
        _check_position(message.position, received)
        received.add(message.data)
        return message.data
    message = frame.answer_end
    if message is None:
        raise TruncatedAnswerError("unexpected frame during the response")
    if not message.complete:
        raise TruncatedAnswerError("the other host could not complete the answer")
    _check_position(message.size, received)
    return None


def _check_position(position, received):
    if position is not None and position != received.size:
        raise TruncatedAnswerError(
            f"a frame of byte {position} follows {received.size} bytes"
        )
