"""The edge towards callers: connections, authorization and final responses.

Requests of an accepted caller run in :mod:`cactusmill.internal.repeatable` or
:mod:`cactusmill.internal.at_most_once`, depending on their route.
"""

import contextlib

import h11
import trio
from returns.result import Failure, Success

from ..errors import (
    AnswerCutError,
    BadRequestError,
    BodyTooLarge,
    BufferLimitError,
    CallerGoneError,
    Cut,
    ExchangeError,
    InternalFault,
    MalformedRequest,
    NotPermitted,
    Outcome,
    Overloaded,
    UnknownKey,
    UnknownRoute,
    WrongRegion,
)
from .account import cut_reason
from .at_most_once import run_at_most_once
from .buffer_budget import BUFFER_RETRY_S
from .caller_request import CallerRequest, caller_sink, send_refusal
from .chat import error_event
from .directory import DIRECTORY_PATH, list_permitted_hosts, serve_directory
from .http import (
    can_go_on,
    header,
    is_idle_and_open,
    lingering_close,
    read_body,
    server_connection,
    wait_other_end_closed,
)
from .logs import log_fields
from .problems import render_problem
from .repeatable import run_repeatable
from .request import is_permitted
from .request_builder import build_request, new_request_id, select_forwarded_headers

BODY_TIMEOUT_S = 30.0


async def serve_caller(host, stream):
    """Serve the requests on one caller's connection until it closes."""
    conn = server_connection(stream, host.cfg.max_head_bytes)
    host.caller_connections += 1
    host.descriptors.make_room(stream, host.idle_callers, host.now())
    start = host.loop.mark_start()
    try:
        while await _serve_request(host, conn, start):
            if not conn.is_idle():
                conn.h11.start_next_cycle()
    except (ExchangeError, CallerGoneError, AnswerCutError):
        # The connection closes without the end of the body, from which the caller sees
        # that the response is incomplete.
        pass
    finally:
        host.caller_connections -= 1
        await conn.close()


async def _serve_request(host, conn, start):
    """Serve the next request; return whether the connection can serve another."""
    try:
        head = await _receive_head(host, conn)
    except h11.RemoteProtocolError as exc:
        await _reject_head(host, conn, exc.error_status_hint, str(exc))
        return False
    if head is None and conn.h11.trailing_data[0]:
        await _reject_head(host, conn, 408, "the head did not come in time")
    if not isinstance(head, h11.Request):
        return False
    now = host.now()
    unread_s = now - host.loop.estimate_arrival(start, now)
    caller = CallerRequest(conn, head, new_request_id(), now, unread_s)
    await _handle_request(host, caller)
    if conn.is_idle():
        # The caller relies on keep-alive unless either side announced a close.
        if not (caller.announced_close or _wants_close(head)):
            return True
    elif can_go_on(conn):
        return True
    await lingering_close(conn)
    return False


async def _receive_head(host, conn):
    """Return the next event, or None if it did not arrive in time.

    A head that has arrived when the wait for it ends is read.
    """
    if not conn.h11.trailing_data[0]:
        with host.idle_callers.wait(host.cfg.idle_timeout_s) as idle:
            await conn.receive()
        if idle.cancelled_caught and is_idle_and_open(conn.stream):
            return None
    with trio.move_on_after(host.cfg.idle_timeout_s):
        return await conn.next_event()
    return None


def _wants_close(head):
    return b"close" in header(head.headers, b"connection", "").lower().encode()


async def _reject_head(host, conn, status, problem):
    refusal = MalformedRequest(status_code=status, detail=problem)
    with host.account.open() as entry:
        if conn.can_respond():
            status, headers, body = render_problem(refusal, new_request_id())
            headers.append((b"connection", b"close"))
            response = h11.Response(status_code=status, headers=headers)
            await conn.deliver(response, h11.Data(data=body), h11.EndOfMessage())
            entry.refuse(refusal)
        else:
            entry.cut(Cut.MALFORMED)
    await lingering_close(conn)


async def _handle_request(host, caller):
    """Serve one request, and log how it ended."""
    route, name, refusal = None, "", None
    with host.account.open() as entry:
        try:
            route, refusal = await _serve_contained(host, caller)
            if refusal is None:
                entry.answer()
            elif caller.conn.can_respond():
                await send_refusal(host, caller, refusal)
                entry.refuse(refusal)
            else:
                is_fault = isinstance(refusal, InternalFault)
                reason = Cut.INTERNAL_FAULT if is_fault else Cut.BROKE_OFF
                raise AnswerCutError(refusal.detail, reason)
            name = refusal.type_name if refusal else "answered"
        except BaseException as exc:
            name = type(exc).__name__
            entry.cut(cut_reason(exc))
            raise
        finally:
            _log_request(host, caller, route, name, refusal, entry)
    if caller.path != DIRECTORY_PATH:
        host.record_request(caller, route, refusal, name)


async def _serve_contained(host, caller):
    """Return the route and the refusal of a request, or None once it was answered.

    An internal error becomes a refusal.
    """
    route = None
    try:
        if caller.path == DIRECTORY_PATH:
            return None, await serve_directory(host, caller)
        if host.shedder.sheds(host.now()):
            # Not authorized yet, so that its body may not be read here.
            return None, host.shedder.refusal(caller.outcome_before_owner)
        route = host.records.route_for(caller.path)
        with host.buffers.hold() as count_held:
            result = await _serve_on_route(host, caller, route, count_held)
        match result:
            case Failure(refusal):
                return route, refusal
        return route, None
    except (AnswerCutError, CallerGoneError, ExchangeError):
        raise
    except Exception:
        host.record_fault("request %s", caller.request_id)
        caller.must_close = True
        return route, InternalFault(detail="an internal error", outcome=caller.outcome)


def _log_request(host, caller, route, name, refusal, entry):
    first_s = caller.first_byte_s
    log_fields(
        "request",
        request_id=caller.request_id,
        route=route.name if route else None,
        outcome=name,
        status=caller.status,
        **entry.log_fields(),
        detail=refusal.detail if refusal else "",
        not_run=refusal.outcome is Outcome.NOT_RUN if refusal else None,
        took_s=round(host.now() - caller.received_at, 3),
        unread_s=round(caller.unread_s, 3),
        first_s=None if first_s is None else round(first_s, 3),
    )


async def _serve_on_route(host, caller, route, count_held):
    match _authorize(host, caller, route):
        case Failure(refusal):
            return Failure(refusal)
        case Success(key):
            pass
    try:
        with trio.fail_after(BODY_TIMEOUT_S):
            body = await read_body(caller.conn, _body_limit(host, route), count_held)
    except BufferLimitError as exc:
        return Failure(
            Overloaded(
                detail=str(exc),
                retry_after_s=BUFFER_RETRY_S,
                outcome=caller.outcome_before_owner,
            )
        )
    except BadRequestError as exc:
        return Failure(_body_refusal(caller, exc))
    except trio.TooSlowError:
        return Failure(
            MalformedRequest(
                status_code=408,
                detail=f"the body did not come within {BODY_TIMEOUT_S:.0f} s",
                outcome=caller.outcome_before_owner,
            )
        )
    if caller.secret and _contains_key(caller, body):
        return Failure(
            MalformedRequest(
                detail="the key stands in the body or the target; remove it there, "
                "since endpoints must not see it",
                outcome=caller.outcome_before_owner,
            )
        )
    req = build_request(
        host,
        request_id=caller.request_id,
        route=route,
        team_name=key.team if key else "",
        method=caller.head.method.decode("latin-1"),
        target=caller.head.target.decode("latin-1"),
        headers=select_forwarded_headers(caller.head.headers),
        body=body,
        identifier=caller.identifier,
        timeout_s=route.timeout_s - caller.unread_s,
    )
    match req:
        case Failure(_):
            return req
    caller.is_dispatched = True
    return await _run_cancellable(host, caller, req.unwrap(), key)


def _body_limit(host, route):
    return min(route.max_body_bytes, host.cfg.max_body_bytes)


def _body_refusal(caller, exc):
    if exc.status == BodyTooLarge.status:
        return BodyTooLarge(detail=exc.problem, outcome=caller.outcome_before_owner)
    return MalformedRequest(
        status_code=exc.status,
        detail=exc.problem,
        outcome=caller.outcome_before_owner,
    )


def _contains_key(caller, body):
    return caller.secret in body or caller.secret in bytes(caller.head.target)


def _authorize(host, caller, route):
    """Authorize a request by its head, before any byte of its body is read.

    A body must not be read in a region that the team or the route does not permit.

    Returns
    -------
    Success of Key or None, or Failure of Refusal
        None on an open route without a key. Failure if the body may not be read
        in this region.
    """
    outcome = caller.outcome_before_owner
    if route is None:
        return Failure(
            UnknownRoute(detail=f"no route for {caller.path!r}", outcome=outcome)
        )
    key = host.records.key_for(caller.secret) if caller.secret else None
    if key is None and not route.open:
        return Failure(
            UnknownKey(
                detail="send an active key as 'Authorization: Bearer KEY'",
                outcome=outcome,
            )
        )
    team = host.records.get("team", key.team) if key else None
    if key is not None and team is None:
        return Failure(UnknownKey(detail="the key has no team", outcome=outcome))
    if route.teams and (team is None or team.name not in route.teams):
        return Failure(
            NotPermitted(
                detail=f"route {route.name} is not open to the key's team",
                outcome=outcome,
            )
        )
    if not is_permitted(host.cfg.region, team, route):
        return Failure(
            WrongRegion(
                detail=f"region {host.cfg.region} may not handle this; "
                "use one of the hosts given here",
                outcome=outcome,
                hosts=tuple(
                    f"http://{h.callers}"
                    for h in list_permitted_hosts(host, team, route)
                ),
            )
        )
    return _check_length(host, caller, route, key)


def _check_length(host, caller, route, key):
    length = header(caller.head.headers, b"content-length", "0")
    limit = _body_limit(host, route)
    if int(length) > limit:
        return Failure(
            BodyTooLarge(
                detail=f"a body of {length} bytes is over {limit}",
                outcome=caller.outcome_before_owner,
            )
        )
    return Success(key)


async def _run_cancellable(host, caller, req, key):
    """Run a request; cancel it if the caller disconnects or the key is revoked."""
    sink = caller_sink(host, caller)
    run = run_repeatable if req.route.repeatable else run_at_most_once
    result, failure = None, None
    with host.key_scopes.scope(key) as key_scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_hangup, caller.conn, nursery.cancel_scope)
            try:
                result = await run(host, req, sink)
            except (AnswerCutError, CallerGoneError) as exc:
                failure = exc
            nursery.cancel_scope.cancel()
    if result is not None:
        return result
    if isinstance(failure, AnswerCutError):
        await _send_error_event(caller, req)
    if key_scope.cancelled_caught:
        if caller.has_response_started:
            raise AnswerCutError("the key was withdrawn", Cut.KEY_WITHDRAWN)
        return Failure(
            UnknownKey(detail="the key was withdrawn", outcome=caller.outcome)
        )
    raise failure or CallerGoneError("the caller disconnected")


async def _send_error_event(caller, req):
    """End an interrupted event stream with an error event, as clients expect."""
    if caller.has_response_started and req.is_stream:
        event = h11.Data(data=error_event("the answer was cut"))
        with contextlib.suppress(ExchangeError, AnswerCutError, h11.LocalProtocolError):
            await caller.conn.deliver(event)


async def _cancel_on_hangup(conn, scope):
    try:
        data = await conn.stream.receive_some()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        data = b""
    conn.h11.receive_data(data)
    if data:
        await wait_other_end_closed(conn.stream)
    scope.cancel()
