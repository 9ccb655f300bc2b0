"""Server side of links: heartbeats, pulls, loans and requests of other hosts."""

import contextlib
import functools
import json

import trio
from returns.result import Failure

from ..errors import (
    AnswerCutError,
    CallerGoneError,
    Cut,
    InternalFault,
    LinkClosedError,
    Outcome,
    OutcomeUnknown,
    WrongRegion,
)
from .account import cut_reason
from .answer_frames import answer_sink, whole_answer
from .at_most_once import is_owner, run_at_most_once
from .configuration import change_to_json
from .containment.messages import apply_news
from .identifiers import parse_identifier
from .limits import LOAN_TTL_S
from .link import open_link
from .logs import log_fields
from .peers import apply_heartbeat, heartbeat
from .problems import render_problem
from .repeatable import run_repeatable
from .request import is_permitted
from .request_builder import build_request
from .steps import Steps
from .wire.ttypes import (
    AnswerEnd,
    AnswerHead,
    ChangesReply,
    Header,
    HeartbeatAck,
    LoanGrant,
)

# The dialling side sets the heartbeat interval and detects lost links. This limit
# only frees the resources of a connection whose host has disappeared.
INBOUND_SILENCE_TIMEOUT_S = 60.0


async def serve_link(host, stream):
    """Serve one link that a peer dialled until it closes."""
    with contextlib.suppress(LinkClosedError):
        link = await open_link(
            stream, host.hello, host.cfg.link_secret, False, host.traffic, host.buffers
        )
        start = host.loop.mark_start()
        scopes = {}
        async with trio.open_nursery() as nursery:
            try:
                while True:
                    with trio.fail_after(INBOUND_SILENCE_TIMEOUT_S):
                        frame = await link.receive()
                    now = host.now()
                    unread_s = now - host.loop.estimate_arrival(start, now)
                    await _handle_frame(host, link, frame, unread_s, nursery, scopes)
            except (LinkClosedError, trio.TooSlowError):
                # Repeatable requests are cancelled with the link. At-most-once
                # requests run in the host's nursery and are not affected.
                nursery.cancel_scope.cancel()


async def _handle_frame(host, link, frame, unread_s, nursery, scopes):
    if frame.heartbeat is not None:
        await _send_heartbeat_ack(host, link, frame.heartbeat)
    elif frame.changes_pull is not None:
        await _send_changes(host, link, frame.changes_pull)
    elif frame.loan_ask is not None:
        await _grant_loan(host, link, frame.loan_ask)
    elif frame.load_report is not None:
        loads = {e.key: e.in_flight for e in frame.load_report.loads}
        host.pool.update_peer_loads(link.peer.host, loads, host.now())
        host.wake_queues()
    elif frame.containment is not None:
        apply_news(host.containment, frame.containment, host.now())
        await host.log_and_tell_decisions()
    elif frame.forward is not None:
        scope = scopes[frame.forward.call] = trio.CancelScope()
        nursery.start_soon(
            _serve_forward, host, link, frame.forward, unread_s, scope, scopes
        )
    elif frame.cancel is not None and frame.cancel.call in scopes:
        scopes[frame.cancel.call].cancel()


async def _send_heartbeat_ack(host, link, message):
    peer = host.peers.get(link.peer.host)
    if peer is not None:
        apply_heartbeat(host, peer, message, link.peer.incarnation)
    await link.send(heartbeat_ack=heartbeat(host, message.sequence, HeartbeatAck))


async def _send_changes(host, link, pull):
    store = host.store_named(pull.book)
    # Both now: changes that are applied while these are encoded have later versions.
    version, changes = store.version, store.changes_since(pull.since_version)
    steps, texts = Steps(), []
    for change in changes:
        texts.append(json.dumps(change_to_json(change)))
        await steps.pause()
    update = f'{{"version": {version}, "changes": [{", ".join(texts)}]}}'
    await link.send(changes_reply=ChangesReply(pull.call, update.encode()))


async def _grant_loan(host, link, ask):
    team = host.records.get("team", ask.team)
    tokens = 0.0
    if team is not None and is_listed(host, ask.borrower):
        tokens = host.limiter.lend(host.records, team, float(ask.tokens), host.now())
    await link.send(
        loan_grant=LoanGrant(ask.call, ask.team, int(tokens), int(LOAN_TTL_S * 1000))
    )


def is_listed(host, name):
    """Return whether a host is in the host list in force on this host."""
    return host.host_list.get("host", name) is not None


async def _serve_forward(host, link, message, unread_s, scope, scopes):
    has_begun, began_at = False, host.now()
    refusal = None

    def encode_head(status, headers):
        nonlocal has_begun
        has_begun = True
        return _encode_head(message, status, headers)

    send = functools.partial(_send, link)
    deliver = functools.partial(_deliver, link)
    sink = answer_sink(send, message.call, encode_head, link.stream, deliver)
    with host.forwards_account.open() as entry:
        try:
            with scope:
                refusal = await _run_contained(host, message, unread_s, sink)
                if refusal is None:
                    entry.answer()
                elif has_begun:
                    raise AnswerCutError(refusal.detail, Cut.INTERNAL_FAULT)
                else:
                    await _send_refusal(link, message, refusal)
                    entry.refuse(refusal)
            if scope.cancelled_caught:
                entry.cut(Cut.CALLER_GONE)
        except AnswerCutError as exc:
            entry.cut(exc.reason)
            with contextlib.suppress(LinkClosedError):
                await link.send(answer_end=AnswerEnd(message.call, False))
        except (LinkClosedError, CallerGoneError) as exc:
            entry.cut(cut_reason(exc))
        except trio.Cancelled:
            # The link has closed, or the process ends.
            is_exit = host.nursery.cancel_scope.cancel_called
            entry.cut(Cut.HOST_EXITS if is_exit else Cut.CALLER_GONE)
            raise
        finally:
            scopes.pop(message.call, None)
            log_fields(
                "forwarded_request",
                request_id=message.request_id,
                outcome=refusal.type_name if refusal else entry.kind,
                **entry.log_fields(),
                took_s=round(host.now() - began_at, 3),
            )


async def _run_contained(host, message, unread_s, sink):
    """Return the refusal of a forwarded request, or None once it was answered.

    An internal error becomes a refusal.
    """
    try:
        match await _run_forward(host, message, unread_s, sink):
            case Failure(refusal):
                return refusal
        return None
    except (AnswerCutError, CallerGoneError, LinkClosedError):
        raise
    except Exception:
        host.record_fault("forwarded request %s", message.request_id)
        return InternalFault(detail="an internal error", outcome=Outcome.UNKNOWN)


async def _send_refusal(link, message, refusal):
    status, headers, body = render_problem(refusal, message.request_id)
    head = _encode_head(message, status, headers)
    head.refusal = refusal.type_name
    await _deliver(link, whole_answer(message.call, head, body))


def _encode_head(message, status, headers):
    pairs = [Header(k.decode("latin-1"), v.decode("latin-1")) for k, v in headers]
    return AnswerHead(message.call, message.request_id, status, pairs)


async def _run_forward(host, message, unread_s, sink):
    if host.shedder.sheds(host.now()):
        outcome = Outcome.UNKNOWN if message.identifier else Outcome.NOT_RUN
        return Failure(host.shedder.refusal(outcome))
    req = _build_request(host, message, unread_s)
    match req:
        case Failure(_):
            return req
    req = req.unwrap()
    if not is_permitted(host.cfg.region, req.team, req.route):
        return Failure(
            WrongRegion(
                detail=f"region {host.cfg.region} is not permitted",
                outcome=_outcome_before_owner(req),
            )
        )
    if req.route.repeatable:
        return await run_repeatable(host, req, sink, is_forwarded=True)
    if not is_owner(host, req.identifier):
        # Only the owner may run it, and forwarding it again would be a second hop.
        return Failure(
            OutcomeUnknown(
                detail="the incarnation that alone may run it is gone",
                outcome=Outcome.UNKNOWN,
                status_url=req.route.status_path or None,
            )
        )
    return await run_at_most_once(host, req, sink)


def _outcome_before_owner(req):
    return Outcome.UNKNOWN if req.identifier else Outcome.NOT_RUN


def _build_request(host, message, unread_s):
    return build_request(
        host,
        request_id=message.request_id,
        route=host.records.get("route", message.route),
        team_name=message.team,
        method=message.method,
        target=message.target,
        headers=[(h.name.encode(), h.value.encode()) for h in message.headers],
        body=message.body,
        identifier=parse_identifier(message.identifier) if message.identifier else None,
        timeout_s=message.remaining_ms / 1000 - unread_s,
    )


async def _send(link, **field):
    with _caller_gone():
        await link.send(**field)


async def _deliver(link, frames):
    with _caller_gone():
        await link.deliver(frames)


@contextlib.contextmanager
def _caller_gone():
    try:
        yield
    except LinkClosedError as exc:
        raise CallerGoneError("the forwarding host disconnected") from exc
