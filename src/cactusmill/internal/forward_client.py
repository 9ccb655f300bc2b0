"""Sending a request one hop to another host, and its answer back.

A forwarded request is never forwarded again: the receiving side runs it on
its own endpoints or refuses it.
"""

from returns.result import Success

from ..errors import (
    AnswerCutError,
    ForwardRefusedError,
    LinkClosedError,
    NoEndpoint,
    Overloaded,
)
from .peers import next_frame
from .wire.ttypes import Cancel, Forward, Header

_TRY_ELSEWHERE = frozenset({Overloaded.__name__, NoEndpoint.__name__})


async def forward(host, peer, req, sink):
    """Have another host run a request.

    Parameters
    ----------
    host : HostProcess
        This process.
    peer : Peer
        Who is to run it, in a region permitted to the request.
    req : Request
        The request.
    sink : Sink
        Where the answer goes, be it the endpoint's or the peer's refusal.

    Returns
    -------
    Success of None

    Raises
    ------
    LinkClosedError
        If the link ended before the answer began.
    ForwardRefusedError
        If the peer has no room for a request that may be repeated.
    AnswerCutError
        If it ended later.
    """
    async with peer.call() as (number, link, answers):
        await link.send(forward=_message(host, peer, req, number))
        is_complete = False
        try:
            head = (await next_frame(answers)).answer_head
            if head is None or head.request_id != req.request_id:
                raise LinkClosedError("the peer answered another request")
            if req.route.repeatable and head.refusal in _TRY_ELSEWHERE:
                is_complete = True
                raise ForwardRefusedError(f"{peer.host.name}: {head.refusal}")
            await sink.head(
                head.status, [(h.name.encode(), h.value.encode()) for h in head.headers]
            )
            await _relay(answers, sink)
            is_complete = True
        finally:
            if not is_complete and peer.link is link:
                host.cancel_forward(link, Cancel(number))
    await sink.end()
    return Success(None)


async def _relay(answers, sink):
    while True:
        try:
            frame = await next_frame(answers)
        except LinkClosedError as exc:
            raise AnswerCutError("the link ended inside the answer") from exc
        if frame.answer_data is not None:
            await sink.data(frame.answer_data.data)
        elif frame.answer_end is not None:
            if not frame.answer_end.complete:
                raise AnswerCutError("the peer could not complete the answer")
            return
        else:
            raise AnswerCutError("a frame of another kind inside the answer")


def _message(host, peer, req, number):
    remaining_s = max(0.0, req.deadline - host.now())
    return Forward(
        call=number,
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
