"""Forwarding of a request to another host, and relay of its response.

A forwarded request is never forwarded again: the receiving host runs it on the
endpoints of its own zone or refuses it.
"""

import trio
from returns.result import Success

from ..errors import (
    AnswerCutError,
    ExchangeError,
    ForwardRefusedError,
    LinkClosedError,
    NoEndpoint,
    Overloaded,
    UndefinedStatusError,
)
from .answer_frames import MAX_DATA_BYTES, read_body_frame
from .framing import Framing, check_status, new_received_body
from .peers import next_frame
from .wire.ttypes import Cancel, Forward, Header

_RETRIABLE_REFUSALS = frozenset({Overloaded.__name__, NoEndpoint.__name__})


async def forward(host, peer, req, sink):
    """Forward a request to another host and relay the response to the sink.

    Parameters
    ----------
    host : HostProcess
        This process.
    peer : Peer
        Host that is to run it, in a region that the request permits.
    req : Request
        The request.
    sink : Sink
        Destination of the response or of the peer's refusal.

    Returns
    -------
    Success of None

    Raises
    ------
    LinkClosedError
        If there is no open link, or it closed before the response began.
    ForwardRefusedError
        If the peer has no capacity or no endpoint for a repeatable request.
    CallerGoneError
        If the caller left before the request was sent.
    AnswerCutError
        If the response was interrupted after it had begun.
    """
    async with peer.call() as (call_id, link, frames):
        sink.check_open()
        await link.send(forward=_encode_forward(host, peer, req, call_id))
        is_complete = False
        try:
            head = (await next_frame(frames)).answer_head
            if head is None or head.request_id != req.request_id:
                raise LinkClosedError("the peer responded to another request")
            _check_status(head)
            if req.route.repeatable and head.refusal in _RETRIABLE_REFUSALS:
                is_complete = True
                raise ForwardRefusedError(f"{peer.host.name}: {head.refusal}")
            headers = [(h.name.encode(), h.value.encode()) for h in head.headers]
            received = new_received_body(Framing.LINK, req.cost_tokens)
            chunks, is_complete = _read_arrived(frames, received)
            if not is_complete:
                await sink.head(head.status, headers)
                if chunks:
                    await sink.data(b"".join(chunks))
                await _relay_body(frames, received, sink)
                is_complete = True
                await sink.end()
                return Success(None)
        finally:
            if not is_complete and peer.link is link:
                host.cancel_forward(link, Cancel(call_id))
    await sink.whole(head.status, headers, b"".join(chunks))
    return Success(None)


def _check_status(head):
    try:
        check_status(head.status)
    except UndefinedStatusError as exc:
        raise LinkClosedError(f"the peer sent {exc}") from exc


def _read_arrived(frames, received):
    """Return the data of the frames that have arrived, and whether they are all.

    Raises
    ------
    LinkClosedError
        If the response broke off already.
    """
    chunks = []
    try:
        while (data := read_body_frame(frames.receive_nowait(), received)) is not None:
            chunks.append(data)
    except trio.WouldBlock:
        return chunks, False
    except (trio.EndOfChannel, ExchangeError) as exc:
        raise LinkClosedError(f"the response broke off: {exc}") from exc
    return chunks, True


async def _relay_body(frames, received, sink):
    """Relay the rest of a response, with one write for all frames that have arrived.

    A write has up to `MAX_DATA_BYTES` bytes and one frame more.

    Raises
    ------
    AnswerCutError
        If the response broke off, after what came before was relayed.
    """
    is_complete, failure = False, None
    while not is_complete:
        chunks, size = [], 0
        try:
            frame = await next_frame(frames)
            while (data := read_body_frame(frame, received)) is not None:
                chunks.append(data)
                size += len(data)
                if size >= MAX_DATA_BYTES:
                    break
                frame = frames.receive_nowait()
            else:
                is_complete = True
        except trio.WouldBlock:
            pass
        except (LinkClosedError, trio.EndOfChannel, ExchangeError) as exc:
            failure = exc
        if chunks:
            await sink.data(b"".join(chunks))
        if isinstance(failure, ExchangeError):
            raise AnswerCutError(str(failure)) from failure
        if failure is not None:
            raise AnswerCutError("the link closed during the response") from failure


def _encode_forward(host, peer, req, call_id):
    remaining_s = max(0.0, req.deadline - host.now())
    return Forward(
        call=call_id,
        request_id=req.request_id,
        route=req.route.name,
        team=req.team_name,
        records_version=req.records_version,
        method=req.method,
        target=req.target,
        headers=[
            Header(k.decode("latin-1"), v.decode("latin-1")) for k, v in req.headers
        ],
        body=req.body,
        identifier=req.identifier.text if req.identifier else None,
        remaining_ms=int(remaining_s * 1000),
        incarnation=peer.incarnation,
    )
