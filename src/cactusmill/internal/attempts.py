"""A single attempt to run a repeatable request on an endpoint.

A refusal of an attempt tells :mod:`cactusmill.internal.repeatable` whether to try
again: after `NoEndpoint` the request was not run by this endpoint, after
`EndpointFailed` it may have been. An endpoint that must not be tried again is added to
`RequestProgress.tried`.
"""

import attrs
import trio

from ..errors import (
    AnswerCutError,
    ConnectError,
    ConnectRefusedError,
    EndpointFailed,
    ExchangeError,
    NoEndpoint,
    Outcome,
    SilentEndpointError,
    TruncatedAnswerError,
)
from .chat import UsageMeter
from .containment.culprits import Culprits
from .containment.evidence import Evidence, Interruption
from .containment.probe import probe_twice
from .endpoints import (
    LEAVING_HEADER,
    STALL_LIMIT_S,
    receive_data,
    receive_head,
    record_notices,
    send_request,
)
from .event_stream import check_last_event, is_event_stream, last_bytes
from .framing import Framing
from .http import (
    collect_body,
    end_to_end_headers,
    header,
    is_chunked,
    parse_count,
)

# The endpoint's number of requests in progress, from all hosts.
LOAD_HEADER = b"x-endpoint-load"
_UNAVAILABLE = 503
# Also the timeout of the connection that checks whether an endpoint has crashed.
_RETRY_AFTER_S = 1.0
_STATUSES_WITHOUT_BODY = (204, 304)
# Bodies up to this size are collected before their head is sent on.
_SHORT_BODY_BYTES = 16 * 1024
# A reused connection may be replaced if no response arrives within this time and within
# several times the usual time to first byte.
_MIN_REUSED_HEAD_TIMEOUT_S = 1.0
_REUSED_HEAD_TIMEOUT_FACTOR = 4.0
# Fraction of the remaining time after which another attempt may replace the first.
_FIRST_ATTEMPT_FRACTION = 0.5


@attrs.define
class RequestProgress:
    """Progress of one request over its attempts.

    Attributes
    ----------
    tried : set of str
        Names of endpoints, hosts and zones that could not serve it.
    culprits : Culprits
        What may be at fault in it if an endpoint crashes.
    meter : UsageMeter or None
        Counts the tokens of the response; None on service routes.
    was_sent : bool
        True once an endpoint may have received a byte of the request.
    has_paid_retry : bool
        True if the next attempt has been paid for, since the latest endpoint is silent.
    sent_at : float
        When the latest attempt was sent, in seconds.
    """

    tried: set
    culprits: Culprits
    meter: UsageMeter | None
    was_sent: bool = False
    has_paid_retry: bool = False
    sent_at: float = 0.0


async def try_endpoint(host, req, sink, progress, endpoint, may_replace):
    """Send a request to one endpoint and relay the response.

    Parameters
    ----------
    host : HostProcess
        This process.
    req : Request
        The request.
    sink : Sink
        Destination of the response.
    progress : RequestProgress
        Updated by the attempt.
    endpoint : Endpoint
        Endpoint to try.
    may_replace : callable
        ``may_replace(silent)`` returns whether the request may be sent once more, and
        pays for it. `silent` has the names of endpoints that are left out.

    Returns
    -------
    Refusal or None
        None once the response is complete.

    Raises
    ------
    AnswerCutError
        If the endpoint failed after its response had begun.
    """
    state = host.pool.state(endpoint.name)
    state.in_flight += 1
    is_suspect = host.containment.crash_count(progress.culprits) > 0
    if is_suspect:
        host.running_suspects.start(progress.culprits.request, endpoint.name)
    started_at = host.now()
    try:
        return await _attempt(host, req, sink, progress, endpoint, state, may_replace)
    finally:
        state.in_flight -= 1
        if is_suspect:
            host.running_suspects.stop(progress.culprits.request, endpoint.name)
        queue = host.queue_for(req.service)
        queue.record_service_time(host.now() - started_at)
        queue.wake_next()


async def _attempt(host, req, sink, progress, endpoint, state, may_replace):
    try:
        # A suspect gets a new connection, which proves that the endpoint was alive
        # when the request was sent, so that a crash after it counts.
        is_suspect = host.containment.crash_count(progress.culprits) > 0
        exchange = await host.pool.acquire(
            endpoint, host.now(), new_connection=is_suspect
        )
    except ConnectError as exc:
        if isinstance(exc, ConnectRefusedError):
            await host.record_crash_evidence(endpoint.name, Evidence.REFUSED)
        state.record_failure(host.now())
        progress.tried.add(endpoint.name)
        # Nothing was sent, so trying another endpoint does not use the retry budget.
        return NoEndpoint(detail=str(exc), retry_after_s=_RETRY_AFTER_S)
    now = host.now()
    if now >= req.deadline or sink.is_abandoned():
        host.pool.put_back(endpoint, exchange, now)
        sink.check_open()
        # The deadline is reported before another attempt.
        return NoEndpoint(detail="the deadline passed before it was sent")
    if not state.takes_requests(now):
        # The endpoint said so while this request waited for its connection.
        host.pool.put_back(endpoint, exchange, now)
        return NoEndpoint(detail="the endpoint takes no requests now")
    is_complete = False
    try:
        refusal = await _send_and_receive_head(
            host, req, progress, endpoint, state, exchange, may_replace
        )
        if refusal is None and _is_short(req, exchange):
            refusal = await _relay_short(host, req, sink, progress, endpoint, exchange)
        elif refusal is None:
            await _relay(host, req, sink, progress, endpoint, exchange)
        if refusal is None:
            await host.record_served(progress)
        is_complete = True
    finally:
        if not is_complete:
            await exchange.conn.close()
    return refusal


async def _send_and_receive_head(
    host, req, progress, endpoint, state, exchange, may_replace
):
    """Return None once the head of a usable response has arrived, or else a refusal."""
    timeout_s = _head_timeout_s(host, req, progress, state, exchange)
    progress.was_sent = True
    sent_at = progress.sent_at = host.now()
    # A reused connection may be at fault itself, and is replaced by a new one.
    silent = () if exchange.reused else (endpoint.name,)

    async def may_give_up(is_silent):
        return is_silent() and may_replace(silent)

    async def receive():
        await receive_head(exchange, req, timeout_s, may_give_up)

    try:
        with trio.move_on_after(max(0.0, req.deadline - host.now())) as scope:
            await send_request(exchange, endpoint, req, [], receive)
        if scope.cancelled_caught:
            raise SilentEndpointError("no answer before the deadline")
        record_notices(host, state, exchange)
        host.containment.interruptions.record_answer(endpoint.name, sent_at)
    except ExchangeError as exc:
        return await _record_failure(host, req, progress, endpoint, exchange, exc)
    load = parse_count(header(exchange.headers, LOAD_HEADER))
    if load is not None:
        state.reported_load, state.reported_at = load, host.now()
    if exchange.status == _UNAVAILABLE and header(exchange.headers, LEAVING_HEADER):
        progress.tried.add(endpoint.name)
        await exchange.conn.close()
        return NoEndpoint(detail="the endpoint is leaving")
    state.record_success(host.now())
    state.record_ttfb(host.now() - sent_at)
    return None


async def _record_failure(host, req, progress, endpoint, exchange, exc):
    """Return the refusal after a failure before the caller got any of the response."""
    await exchange.conn.close()
    has_crashed = await _record_if_crashed(host, req, progress, endpoint, exchange, exc)
    if exchange.reused:
        # Other idle connections may be closed or unresponsive too.
        await host.pool.drop_idle(endpoint)
    if has_crashed or not exchange.reused:
        progress.tried.add(endpoint.name)
        host.pool.state(endpoint.name).record_failure(host.now())
    return EndpointFailed(
        detail=f"the endpoint failed: {exc}",
        outcome=Outcome.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _head_timeout_s(host, req, progress, state, exchange):
    """Return how long to wait for the head before another attempt, in seconds."""
    remaining_s = req.deadline - host.now()
    if exchange.reused:
        # The endpoint may have closed the connection while it was idle, or may be
        # unreachable by now.
        return min(
            remaining_s,
            max(_MIN_REUSED_HEAD_TIMEOUT_S, _REUSED_HEAD_TIMEOUT_FACTOR * state.ttfb_s),
        )
    return remaining_s * (1.0 if progress.was_sent else _FIRST_ATTEMPT_FRACTION)


def _is_short(req, exchange):
    """Return whether a response is collected, so that it leaves with one write."""
    length = header(exchange.headers, b"content-length", "")
    is_framed = exchange.received.framing is Framing.LENGTH and length.isdigit()
    return not req.is_stream and is_framed and int(length) <= _SHORT_BODY_BYTES


async def _relay_short(host, req, sink, progress, endpoint, exchange):
    """Relay a response whose body is short; return a refusal if that broke off."""
    try:
        body = await collect_body(lambda: receive_data(exchange))
    except ExchangeError as exc:
        return await _record_failure(host, req, progress, endpoint, exchange, exc)
    if progress.meter is not None:
        progress.meter.feed(body)
    await host.pool.release(endpoint, exchange, host.now())
    await sink.whole(exchange.status, end_to_end_headers(exchange.headers), body)
    host.retry_budgets.record_success(req.team_name, host.records.policy().retry_share)
    return None


async def _relay(host, req, sink, progress, endpoint, exchange):
    try:
        await sink.head(exchange.status, end_to_end_headers(exchange.headers))
        caller_stream = _chunked_caller_stream(sink, exchange)
        has_events = req.is_stream and is_event_stream(exchange.headers)
        if caller_stream is not None:
            await _relay_raw(
                host, sink, progress, endpoint, exchange, caller_stream, has_events
            )
        else:
            await _relay_decoded(host, sink, progress, endpoint, exchange, has_events)
    except ExchangeError as exc:
        await _record_if_crashed(host, req, progress, endpoint, exchange, exc)
        raise AnswerCutError(f"the endpoint failed during its response: {exc}") from exc
    host.retry_budgets.record_success(req.team_name, host.records.policy().retry_share)


def _chunked_caller_stream(sink, exchange):
    """Return the caller's stream if a chunked body can be relayed unchanged."""
    has_body = exchange.status not in _STATUSES_WITHOUT_BODY
    if sink.chunked_stream is None or not has_body or not is_chunked(exchange.headers):
        return None
    is_socket = isinstance(exchange.conn.stream, trio.SocketStream)
    return sink.chunked_stream() if is_socket else None


async def _relay_raw(
    host, sink, progress, endpoint, exchange, caller_stream, has_events
):
    buffered, _ = exchange.conn.h11.trailing_data
    on_data = progress.meter.feed if progress.meter is not None else None
    is_reusable = await host.body_relay.relay(
        exchange.conn.stream,
        caller_stream,
        buffered,
        on_data,
        STALL_LIMIT_S,
        has_events,
        exchange.received.max_bytes,
    )
    sink.end_chunked()
    if is_reusable and not exchange.conn.is_partly_sent:
        host.pool.release_stream(endpoint, exchange.conn.stream, host.now())
    else:
        await exchange.conn.close()


async def _relay_decoded(host, sink, progress, endpoint, exchange, has_events):
    tail = b""
    while (data := await receive_data(exchange)) is not None:
        tail = last_bytes(tail, data)
        if progress.meter is not None:
            progress.meter.feed(data)
        await sink.data(data)
    if has_events:
        _check_stream_end(progress, exchange, tail)
    await sink.end()
    await host.pool.release(endpoint, exchange, host.now())


def _check_stream_end(progress, exchange, tail):
    """Raise `TruncatedAnswerError` if a stream whose last bytes are given broke off."""
    framing = exchange.received.framing
    check_last_event(tail, framing)
    if framing is Framing.CLOSE and not (
        progress.meter is None or progress.meter.has_last_event
    ):
        raise TruncatedAnswerError("the connection closed before the last event")


async def _record_if_crashed(host, req, progress, endpoint, exchange, exc):
    """Count and report a crash of a request's endpoint, if it has crashed.

    Returns
    -------
    bool
        True if the endpoint refuses connections.
    """
    if isinstance(exc, SilentEndpointError):
        return False
    host.containment.interruptions.record(
        Interruption(
            culprits=progress.culprits,
            request_id=req.request_id,
            team=req.team,
            route=req.route,
            endpoint=endpoint,
            sent_at=progress.sent_at,
            broke_at=host.now(),
            # It may have crashed before the request was sent on a reused connection.
            may_block=not exchange.reused,
        )
    )
    try:
        stream = await probe_twice(
            lambda: host.net.connect(endpoint.address, _RETRY_AFTER_S)
        )
    except ConnectRefusedError:
        await host.record_crash_evidence(endpoint.name, Evidence.REFUSED)
        return True
    except ConnectError:
        # Unreachable does not mean crashed: a partition must not create suspects.
        return False
    if stream is not None:
        await trio.aclose_forcefully(stream)
    return False
