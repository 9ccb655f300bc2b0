"""The edge to callers: connections, authorization, rate limits, responses, logs.

All times are seconds of the process's monotonic clock.
"""

import attrs
import h11
import trio

from ..errors import (
    AnswerCutError,
    BadRequestError,
    BodyTooLarge,
    BufferLimitError,
    CallerGoneError,
    Cut,
    ExchangeError,
    HostExits,
    HostFailure,
    InternalFault,
    MalformedRequest,
    NoEndpoint,
    Outcome,
    Overloaded,
    RateExceeded,
    UnknownKey,
    UnknownRoute,
)
from ..internal.account import cut_reason
from ..internal.buffer_budget import BUFFER_RETRY_S
from ..internal.containment.convictions import Verdict
from ..internal.http import (
    can_go_on,
    discard_received_body,
    has_other_end_closed,
    header,
    is_idle_and_open,
    lingering_close,
    read_body,
    server_connection,
    wait_other_end_closed,
)
from ..internal.request import Request, Sink
from .dispatch import run_request
from .events import log_event, log_fault
from .progress import culprits_in, may_repeat, new_progress, suspected

# A body follows its head without delay; a caller that stalls longer is gone.
_BODY_TIMEOUT_S = 10.0
# Limit of the bytes of following requests that are buffered while one is served.
_MAX_READ_AHEAD_BYTES = 64 * 1024
# Retry times of requests to a host that has no configuration yet, and to one that is
# shutting down.
_NO_CONFIGURATION_RETRY_S = 0.5
_DRAINING_RETRY_S = 0.1
# How long a request waits for the first configuration after the process started. The
# first listing takes one round trip to the platform's region and the time of the
# platform's response.
_CONFIGURATION_WAIT_S = 0.4
_CONFIGURATION_POLL_S = 0.01
# Bounds of the retry time of requests whose team has no tokens left on this host.
_MAX_RATE_RETRY_S = 10.0
_MIN_RATE_RETRY_S = 0.1


@attrs.define(eq=False)
class CallerRequest:
    """One request on a caller's connection.

    Attributes
    ----------
    conn : Connection
        The caller's connection.
    head : CallerHead
        Head of the request.
    began_at : float
        When the head was complete, in seconds.
    arrived_at : float
        Estimate of when the caller's bytes arrived, in seconds; before `began_at` by
        the time for which they were unread.
    first_at : float or None
        When the head of the response was sent, in seconds.
    status : int
        HTTP status of the response; 0 before it is sent.
    closes : bool
        True if the response announces that the connection closes.
    entry : Entry or None
        The request in the account.
    """

    conn: object
    head: object
    began_at: float
    arrived_at: float
    first_at: float | None = None
    status: int = 0
    closes: bool = False
    entry: object = None


async def serve_caller(host, stream):
    """Serve one caller's connection until it ends."""
    conn = server_connection(stream, host.limits.max_head_bytes)
    host.caller_connections.add(conn)
    host.descriptors.make_room(stream, host.idle_callers, host.now())
    start = host.loop.mark_start()
    try:
        while await _serve_next_request(host, conn, start):
            conn.h11.start_next_cycle()
    except (ExchangeError, CallerGoneError):
        # The caller disconnected. Its request has been cancelled where permitted.
        return
    except AnswerCutError:
        # Closing before the end of the response marks it as truncated.
        return
    finally:
        host.caller_connections.discard(conn)
        await conn.close()


async def _serve_next_request(host, conn, start):
    """Serve the next request; return whether the connection can be reused."""
    try:
        event = await _receive_head(host, conn)
    except h11.RemoteProtocolError as exc:
        await _refuse_malformed(host, conn, exc.error_status_hint, str(exc))
        return False
    if event is None and conn.h11.trailing_data[0]:
        await _refuse_malformed(host, conn, 408, "the head did not come in time")
    if not isinstance(event, h11.Request):
        return False
    host.busy_connections.add(conn)
    try:
        now = host.now()
        arrived_at = host.loop.estimate_arrival(start, now)
        try:
            head = host.dialect.read_head(event)
        except Exception as exc:
            log_fault("read_head", exc)
            await _refuse_head(host, conn, InternalFault(detail="an internal error"))
            return False
        with host.account.open() as entry:
            caller = CallerRequest(conn, head, now, arrived_at, entry=entry)
            await _serve_request(host, caller, event)
    finally:
        host.busy_connections.discard(conn)
    if can_go_on(conn):
        return not caller.closes
    is_body_read = _is_body_read(conn)
    discarded_bytes = await lingering_close(conn)
    if not is_body_read:
        log_event(
            "connection_closed_early",
            request_id=caller.head.request_id,
            status=caller.status,
            is_announced=caller.closes,
            discarded_bytes=discarded_bytes,
        )
    return False


async def _receive_head(host, conn):
    """Return the next event, or None if it did not arrive in time.

    A caller may be idle for long before a head, but once a head has begun, it must
    be complete within a shorter time. A head that has arrived when the wait for it
    ends is read.
    """
    if not conn.h11.trailing_data[0] and not await _receive_while_idle(host, conn):
        return None
    with trio.move_on_after(host.limits.head_timeout_s):
        return await conn.next_event()
    return None


async def _receive_while_idle(host, conn):
    """Wait for the first bytes of a request; return whether some have come.

    A longer limit that takes force meanwhile applies, since callers rely on it. The
    host may end the wait early (see `IdleWaits`).
    """
    idle_since = trio.current_time()
    while True:
        limit_s = host.limits.idle_timeout_s
        ends_at = idle_since + limit_s
        with host.idle_callers.wait(ends_at - trio.current_time()) as idle:
            await conn.receive()
        if not idle.cancelled_caught or not is_idle_and_open(conn.stream):
            return True
        is_ended_early = trio.current_time() < ends_at
        if is_ended_early or host.limits.idle_timeout_s <= limit_s:
            return False


async def _refuse_malformed(host, conn, status, problem):
    refusal = MalformedRequest(status_code=status, detail=problem)
    log_event("request_malformed", status=status, reason=problem)
    await _refuse_head(host, conn, refusal)


async def _refuse_head(host, conn, refusal):
    """Refuse a request whose head could not be read, and end its connection."""
    with host.account.open() as entry:
        if conn.can_respond():
            rendered = host.dialect.render_refusal(refusal, "")
            await _send_refusal(conn, rendered, closes=True)
            entry.refuse(refusal)
        elif isinstance(refusal, MalformedRequest):
            entry.cut(Cut.MALFORMED)
    await lingering_close(conn)


async def _send_refusal(conn, rendered, closes, method=b""):
    """Send a refusal as rendered by the dialect: status, headers and body.

    The response to a HEAD request has no body.
    """
    status, headers, body = rendered
    if method == b"HEAD":
        body = b""
    if closes:
        headers = [*headers, (b"connection", b"close")]
    response = h11.Response(status_code=status, headers=headers)
    await conn.deliver(response, h11.Data(data=body), h11.EndOfMessage())


async def _serve_request(host, caller, event):
    """Serve one request; count its body as held by this host meanwhile."""
    if host.shedder.sheds(host.now()):
        await _shed_request(host, caller, event)
        return
    with host.buffers.hold() as count_held:
        await _serve_held_request(host, caller, event, count_held)


async def _shed_request(host, caller, event):
    """Refuse a request for lack of processor time, with as little work as possible.

    It is counted, and not logged one by one.
    """
    refusal, is_faulty = host.shedder.refusal(), False
    with host.buffers.hold() as count_held:
        try:
            await _read_body(host, caller, count_held)
        except _Refused as exc:
            refusal = exc.refusal
        except ExchangeError:
            raise
        except Exception as exc:
            log_fault("_shed_request", exc, request_id=caller.head.request_id)
            is_faulty = True
    rendered = host.dialect.render_refusal(refusal, caller.head.request_id)
    caller.status = rendered[0]
    caller.closes = is_faulty or _closes_after_refusal(host, caller.conn, event)
    await _send_refusal(caller.conn, rendered, caller.closes, event.method)
    caller.entry.refuse(refusal)


async def _serve_held_request(host, caller, event, count_held):
    """Serve one request and log how it ended."""
    head, entry = caller.head, caller.entry
    route = progress = req = run_time = None
    refusal, failure = None, None
    try:
        with entry.open_scope() as exit_scope:
            await _wait_for_configuration(host)
            if head.problem is not None:
                raise _Refused(MalformedRequest(detail=head.problem))
            route, team = _authorize(host, head)
            limit_s = caller.arrived_at + _time_limit_s(head, route) - host.now()
            body = await _read_body(host, caller, count_held, limit_s)
            req = _build_request(host, caller, event, route, team, body)
            _check_draining(host, req)
            culprits = culprits_in(req)
            _check_held_back(host, culprits)
            _charge_tokens(host, req)
            progress = new_progress(req, route.attempts, culprits)
            run_time = host.durations.begin(route.name, caller.began_at)
            refusal = await _run_until_disconnect(
                host, caller, req, progress, count_held
            )
        if exit_scope.cancelled_caught and not caller.conn.is_response_sent():
            refusal = HostExits(
                detail="this host shuts down, and its time is over",
                outcome=_outcome(progress),
            )
    except _Refused as exc:
        refusal = exc.refusal
    except (CallerGoneError, AnswerCutError, ExchangeError) as exc:
        failure = exc
    except Exception as exc:
        log_fault("serve_caller", exc, request_id=head.request_id)
        refusal = InternalFault(detail="an internal error", outcome=_outcome(progress))
    if req is not None and progress is not None and not progress.may_have_run:
        _refund(host, req)
    try:
        if refusal is not None:
            failure = await _refuse(host, caller, event, refusal)
        elif failure is None:
            entry.answer()
            run_time.is_whole = caller.status < 300
        if failure is not None:
            entry.cut(_cut_reason(caller, failure))
            raise failure
    except BaseException as exc:
        if not entry.kind:
            failure = exc
            entry.cut(cut_reason(exc))
        raise
    finally:
        if run_time is not None:
            host.durations.end(run_time, host.now())
        _log_request(host, caller, route, req, progress, refusal, failure)


def _refund(host, req):
    try:
        host.refund(req)
    except Exception as exc:
        log_fault("refund", exc, request_id=req.request_id)


def _cut_reason(caller, failure):
    """Return the :class:`.Cut` of a request, whose deadline may end a blocked write."""
    reason = cut_reason(failure)
    if reason is Cut.DEADLINE and caller.conn.is_writing:
        return Cut.NOT_READ
    return reason


def _outcome(progress):
    """Return whether a request may have run, by its progress or None before it."""
    return Outcome.NOT_RUN if progress is None else progress.outcome


async def _refuse(host, caller, event, refusal):
    """Send a refusal; return None, or why it could not be sent."""
    conn = caller.conn
    is_own = isinstance(refusal, HostFailure)
    if not conn.can_respond():
        reason = (
            Cut.HOST_EXITS if isinstance(refusal, HostExits) else Cut.INTERNAL_FAULT
        )
        return AnswerCutError(refusal.detail, reason)
    rendered = host.dialect.render_refusal(refusal, caller.head.request_id)
    caller.status = rendered[0]
    caller.closes = is_own or _closes_after_refusal(host, conn, event)
    try:
        await _send_refusal(conn, rendered, caller.closes, event.method)
    except (AnswerCutError, ExchangeError) as exc:
        return exc
    caller.entry.refuse(refusal)
    return None


class _Refused(Exception):
    """Carries a refusal out of the checks before dispatch."""

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


async def _wait_for_configuration(host):
    """Wait briefly for the first configuration after the start of the process."""
    with trio.move_on_after(_CONFIGURATION_WAIT_S):
        while host.catalog.configuration is None:
            await trio.sleep(_CONFIGURATION_POLL_S)


def _authorize(host, head):
    """Return the route and the team of a request, or raise `_Refused`."""
    catalog = host.catalog
    if catalog.configuration is None:
        raise _Refused(
            NoEndpoint(
                detail="no configuration is known yet",
                retry_after_s=_NO_CONFIGURATION_RETRY_S,
            )
        )
    route = catalog.route_for(head.host, head.path)
    if route is None:
        raise _Refused(UnknownRoute(detail=f"no route for {head.path!r}"))
    team = catalog.team_for(head.secret) if head.secret else None
    if team is None and not route.open and catalog.configuration.teams:
        raise _Refused(UnknownKey(detail="send a key of a team that is in force"))
    return route, team


def _time_limit_s(head, route):
    """Return the time from a request's arrival to its deadline, in seconds."""
    if head.budget_s is None:
        return route.timeout_s
    return min(route.timeout_s, head.budget_s)


async def _read_body(host, caller, count_held, limit_s=_BODY_TIMEOUT_S):
    try:
        with trio.fail_after(max(0.0, min(limit_s, _BODY_TIMEOUT_S))):
            return await read_body(caller.conn, host.limits.max_body_bytes, count_held)
    except BufferLimitError as exc:
        raise _Refused(
            Overloaded(detail=str(exc), retry_after_s=BUFFER_RETRY_S)
        ) from exc
    except BadRequestError as exc:
        if exc.status == BodyTooLarge.status:
            raise _Refused(BodyTooLarge(detail=exc.problem)) from exc
        raise _Refused(
            MalformedRequest(status_code=exc.status, detail=exc.problem)
        ) from exc
    except trio.TooSlowError as exc:
        raise _Refused(
            MalformedRequest(status_code=408, detail="the body did not come in time")
        ) from exc


def _build_request(host, caller, event, route, team, body):
    head = caller.head
    size = head.size_tokens
    if size is None:
        size = team.default_cost_tokens if team else 0.0
    service = choose_service(route, host.rng)
    return Request(
        request_id=head.request_id,
        route=route,
        team=team,
        records_version=host.catalog.configuration.version,
        method=event.method.decode("latin-1"),
        target=event.target.decode("latin-1"),
        headers=head.forwardable_headers,
        body=body,
        deadline=caller.arrived_at + _time_limit_s(head, route),
        service=service,
        cost_tokens=size,
        prompt_tokens=head.prompt_tokens,
        output_tokens=head.output_tokens,
        is_stream=route.is_stream,
        objective_at=caller.arrived_at + route.objective_s,
        prompt_segments=head.prompt_segments,
        priority=host.find_priority(team, route, service),
    )


def choose_service(route, rng):
    """Return the service that runs a request, drawn by the route's weights."""
    if not route.split:
        return route.service
    names, weights = zip(*route.split, strict=True)
    return rng.choices(names, weights)[0]


def _check_draining(host, req):
    now = host.now()
    if host.refuses_requests(now) or not host.may_end_before_exit(
        req.route, req.deadline, now
    ):
        raise _Refused(
            Overloaded(
                detail="this host is shutting down; use another",
                retry_after_s=_DRAINING_RETRY_S,
            )
        )


def _check_held_back(host, culprits):
    """Refuse a request for what is held back, before it is charged."""
    verdict, thing = host.judge(culprits, host.now())
    if verdict is Verdict.REFUSE:
        raise _Refused(suspected(thing, Outcome.NOT_RUN))


def _charge_tokens(host, req):
    """Charge a request's tokens to this host's share of the team's rate."""
    now = host.now()
    host.retry_budget(req.service, now).record_request()
    if req.team is None:
        return
    wait_s = host.quotas.acquire(req.team, req.cost_tokens, host.membership, now)
    if wait_s > 0:
        raise _Refused(
            RateExceeded(
                detail=host.quotas.explain(req.team, now),
                retry_after_s=min(_MAX_RATE_RETRY_S, max(_MIN_RATE_RETRY_S, wait_s)),
            )
        )


async def _run_until_disconnect(host, caller, req, progress, count_held):
    """Run a request; cancel it when the caller disconnects, if permitted."""
    refusal, failure, is_done = None, None, False
    sink = _caller_sink(host, caller, req)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_on_disconnect,
            caller,
            req,
            progress,
            count_held,
            nursery.cancel_scope,
        )
        try:
            refusal = await run_request(host, req, sink, progress)
        except (AnswerCutError, CallerGoneError) as exc:
            failure = exc
        is_done = True
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if not is_done:
        raise CallerGoneError(
            "the caller disconnected before the response was complete"
        )
    return refusal


async def _cancel_on_disconnect(caller, req, progress, count_held, scope):
    """Cancel the request when the caller disconnects.

    What the caller sends meanwhile is kept for its next request, up to a limit; beyond
    it, or without room on this host, the connection is not read.

    A request that may run at most once continues once it has been sent:
    cancelling it halfway would leave its outcome unknown.
    """
    conn, received = caller.conn, 0
    data = conn.h11.trailing_data[0]
    while True:
        received += len(data)
        try:
            count_held(data)
        except BufferLimitError:
            received = _MAX_READ_AHEAD_BYTES
        if received >= _MAX_READ_AHEAD_BYTES:
            await wait_other_end_closed(conn.stream)
            break
        try:
            data = await conn.stream.receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if not data:
            break
        conn.h11.receive_data(data)
    if req.is_stream or may_repeat(req.route) or not progress.may_have_run:
        scope.cancel()


def _caller_sink(host, caller, req):
    """Return a sink that sends the response on the caller's connection."""
    conn = caller.conn

    async def send(write, *events):
        try:
            await write(*events)
        except ExchangeError as exc:
            raise CallerGoneError("the caller disconnected") from exc

    def begin(status, headers):
        caller.first_at, caller.status = host.now(), status
        caller.closes = _announces_close(host, conn)
        if caller.closes:
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def head(status, headers, first=b""):
        await send(conn.send, begin(status, headers), h11.Data(data=first))

    async def data(chunk):
        await send(conn.send, h11.Data(data=chunk))

    async def end(last=b""):
        await send(conn.deliver, h11.Data(data=last), h11.EndOfMessage())

    async def whole(status, headers, body):
        events = begin(status, headers), h11.Data(data=body), h11.EndOfMessage()
        await send(conn.deliver, *events)

    def is_abandoned():
        return has_other_end_closed(conn.stream)

    return Sink(head, data, end, whole, is_abandoned=is_abandoned)


def _announces_close(host, conn):
    """Return whether a response announces that the host closes the connection.

    A request that has arrived behind this one is answered first.
    """
    return host.closes_connections(host.now()) and not conn.h11.trailing_data[0]


def _closes_after_refusal(host, conn, event):
    """Return whether a connection closes behind the refusal of its request.

    It does if the rest of the body is still to come: the caller is told, so that it
    sends no request behind it.
    """
    if conn.h11.their_state is h11.SEND_BODY:
        discard_received_body(conn)
    return (
        _announces_close(host, conn) or _wants_close(event) or not _is_body_read(conn)
    )


def _is_body_read(conn):
    return conn.h11.their_state not in (h11.SEND_BODY, h11.ERROR)


def _wants_close(event):
    return "close" in header(event.headers, b"connection", "").lower()


def _log_request(host, caller, route, req, progress, refusal, failure):
    now = host.now()
    name = "answered"
    if failure is not None:
        name = type(failure).__name__
    elif refusal is not None:
        name = refusal.type_name
    first_s = None if caller.first_at is None else caller.first_at - caller.began_at
    host.record_request(route, name, first_s)
    log_event(
        "request",
        request_id=caller.head.request_id,
        route=route.name if route else None,
        team=req.team_name if req else None,
        outcome=name,
        status=caller.status,
        **caller.entry.log_fields(),
        detail=refusal.detail if refusal else str(failure or ""),
        not_run=refusal.outcome is Outcome.NOT_RUN if refusal else None,
        retry_after_s=_round_to_ms(refusal.retry_after_s) if refusal else None,
        took_s=_round_to_ms(now - caller.began_at),
        unread_s=_round_to_ms(caller.began_at - caller.arrived_at),
        is_abandoned=progress.is_abandoned if progress else None,
        left_out=progress.left_out if progress else None,
        first_s=_round_to_ms(first_s),
        endpoint=progress.endpoint if progress else None,
        sends=progress.sends if progress else 0,
        predicted_s=_round_to_ms(progress.ttft_s) if progress else None,
        predicted_end_s=_round_to_ms(progress.total_s) if progress else None,
        unread_tokens=progress.uncached_tokens if progress else None,
        sent_s=_round_to_ms(progress.sent_at - caller.began_at)
        if progress and progress.sent_at is not None
        else None,
        entry_revision=progress.entry_revision if progress else None,
        warmup_hosts=progress.warmup_hosts if progress else None,
        gap_s=_round_to_ms(progress.max_event_gap_s) if progress else None,
        **(progress.body_fields() if progress else {}),
        **(progress.pace_fields() if progress else {}),
        cost_tokens=req.cost_tokens if req else None,
        version=req.records_version if req else None,
    )


def _round_to_ms(seconds):
    return None if seconds is None else round(seconds, 3)
