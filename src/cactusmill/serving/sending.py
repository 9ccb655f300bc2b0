"""One attempt of a request at an endpoint of the local region, and its response."""

import attrs
import h11

from ..errors import (
    ConnectError,
    ConnectRefusedError,
    EndpointFailed,
    ExchangeError,
    NoEndpoint,
    Outcome,
    Overloaded,
    SilentEndpointError,
)
from ..internal.containment.culprits import to_text
from ..internal.containment.evidence import Evidence, Interruption
from ..internal.http import collect_body
from .connections import exchange
from .events import log_event
from .placement import DEFAULT_KV_CACHE_TOKENS
from .progress import BUSY_RETRY_S, deadline_exceeded, may_repeat, suspected
from .response_relay import (
    STALL_S,
    drain,
    has_events,
    relay_body,
    relay_stream,
)
from .scheduling.engine_room import add_share

# Another endpoint may take over a stream if the first event takes longer than this many
# times the prediction, and longer than the minimum.
_FIRST_EVENT_FACTOR = 4.0
_MIN_FIRST_EVENT_S = 1.5
# Another endpoint may take over a repeatable request after this fraction of its
# remaining time.
_FIRST_TRY_FRACTION = 0.5
# A reused connection that fails this soon after sending is assumed to have been closed
# by the endpoint while it was idle.
_STALE_WITHIN_S = 0.03
# Statuses that tell the caller that its request has not run. An endpoint's own
# failure with one of them is not relayed unchanged.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_MIN_RETRIED_STATUS = 500


async def send_to_endpoint(host, req, sink, progress, choice, may_give_up):
    """Send a request to an endpoint.

    Parameters
    ----------
    host : GatewayHost
        This process.
    req : Request
        The request.
    sink : Sink
        Destination of the response.
    progress : Progress
        State of the request over its attempts.
    choice : Choice
        The endpoint and the predictions for it.
    may_give_up : callable
        Looks for a step that takes over from a silent endpoint, as in
        :func:`.patience.receive_patiently`.

    Returns
    -------
    Refusal or None
        None once the response is complete.
    """
    endpoint, view = choice.endpoint, choice.view
    service = host.service(req.service)
    sent_at = host.now()
    progress.endpoint, progress.ttft_s = endpoint.name, choice.ttft_s
    progress.total_s, progress.uncached_tokens = choice.total_s, choice.uncached_tokens
    progress.machine_pace = choice.machine_pace
    progress.machine_pace_age_s = choice.machine_pace_age_s
    progress.sent_at, progress.entry_revision = sent_at, choice.entry.revision
    progress.received, progress.partial_event_bytes = None, 0
    progress.began_at = None
    progress.warmup_hosts = choice.sharing_hosts if choice.warmup_rate_per_s else 0
    choice.record_sent(sent_at)
    load = InFlightLoad(view, choice.uncached_tokens, choice.need)
    try:
        try:
            # A new connection proves that the endpoint was alive when a suspect was
            # sent to it, so that a crash after it counts.
            is_suspect = host.containment.crash_count(progress.culprits) > 0
            conn, was_used = await host.pool.acquire(
                endpoint.name, endpoint.address, sent_at, new_connection=is_suspect
            )
        except ConnectError as exc:
            is_refused = isinstance(exc, ConnectRefusedError)
            host.placement.record_unreachable(choice.entry, is_refused, host.now())
            if is_refused:
                host.record_crash_evidence(endpoint.name, Evidence.REFUSED, host.now())
            host.pool.close_idle(endpoint.name)
            progress.tried.add(endpoint.name)
            log_event("endpoint_unreachable", endpoint=endpoint.name, reason=str(exc))
            return NoEndpoint(detail=str(exc), retry_after_s=BUSY_RETRY_S)
        if not was_used:
            host.placement.record_connected(choice.entry, host.now())
        now = host.now()
        progress.is_abandoned = sink.is_abandoned()
        if progress.is_abandoned or now >= req.deadline:
            host.pool.put_back(endpoint.name, conn, now)
            sink.check_open()
            return deadline_exceeded(progress)
        if not host.placement.notices.may_send(endpoint, view.in_flight - 1, now):
            # The endpoint said so while this request waited for its connection.
            host.pool.put_back(endpoint.name, conn, now)
            return NoEndpoint(
                detail="the endpoint takes no requests now", retry_after_s=BUSY_RETRY_S
            )
        held = host.thing_held_back(progress, now)
        if held is not None:
            # It was found while this request waited.
            host.pool.put_back(endpoint.name, conn, now)
            return suspected(held, progress.outcome)
        progress.sends += 1
        response = None
        try:
            response = await _exchange(host, req, progress, choice, conn, may_give_up)
            progress.received = response.received
            host.containment.interruptions.record_answer(endpoint.name, sent_at)
            return await _handle_response(
                host, req, sink, progress, choice, response, load, sent_at
            )
        except ExchangeError as exc:
            is_stale = was_used and host.now() - sent_at < _STALE_WITHIN_S
            await _record_interruption(host, req, progress, choice, exc, is_stale)
            return EndpointFailed(
                detail=f"the endpoint failed: {exc}", outcome=Outcome.UNKNOWN
            )
        finally:
            if response is None:
                host.pool.close(endpoint.name, conn)
            elif not load.is_complete:
                response.abort()
    finally:
        load.end()
        if service.is_engine:
            hosts = host.count_region_hosts(host.now())
            kv_cache_tokens = service.kv_cache_tokens or DEFAULT_KV_CACHE_TOKENS
            view.record_segments(req.prompt_segments, kv_cache_tokens, hosts)


@attrs.define(eq=False)
class InFlightLoad:
    """Load of one request on an endpoint, counted in its view while it runs.

    Attributes
    ----------
    view : EndpointView
        The view that counts it.
    prompt_tokens : int
        Prompt tokens whose prefill is not known to have ended.
    need : EngineNeed or None
        What the request needs of an engine; None if its service is not ranked.
    is_complete : bool
        True once the response has been received completely.
    """

    view: object
    prompt_tokens: int
    need: object = None
    is_complete: bool = False
    _share: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.view.in_flight += 1
        self.view.prompt_tokens += self.prompt_tokens
        self._share = add_share(self.view.room, self.need, self.prompt_tokens)

    def mark_prompt_read(self):
        """Stop counting the prompt, once its prefill has ended."""
        self.view.prompt_tokens -= self.prompt_tokens
        self.prompt_tokens = 0
        if self._share is not None:
            self._share.mark_prompt_read()

    def end(self):
        """Stop counting the request."""
        self.mark_prompt_read()
        self.view.in_flight -= 1
        if self._share is not None:
            self._share.end()


async def _exchange(host, req, progress, choice, conn, may_give_up):
    """Send a request on a connection and return the response with its head."""
    endpoint = choice.endpoint
    now = host.now()
    remaining_s = req.deadline - now
    ttfb_timeout_s = remaining_s
    if may_repeat(req.route) and progress.attempts_left > 1:
        ttfb_timeout_s = _response_timeout_s(req, choice, remaining_s)
    headers = host.dialect.build_endpoint_headers(
        req, endpoint, remaining_s, progress.scanner.last_id
    )
    request = h11.Request(method=req.method, target=req.target, headers=headers)
    progress.attempts_left -= 1
    progress.may_have_run_before = progress.may_have_run
    progress.may_have_run = True

    def read_metadata(status, headers):
        metadata = host.dialect.read_response_head(status, headers)
        host.record_notices(endpoint, metadata)
        return metadata

    return await exchange(
        host.pool,
        endpoint.name,
        conn,
        request,
        req.body,
        req.request_id,
        read_metadata,
        (ttfb_timeout_s, min(remaining_s, STALL_S)),
        may_give_up,
    )


def _response_timeout_s(req, choice, remaining_s):
    """Return how long to wait before another endpoint may be tried, in seconds."""
    if req.is_stream:
        return min(
            remaining_s, max(_MIN_FIRST_EVENT_S, _FIRST_EVENT_FACTOR * choice.ttft_s)
        )
    return remaining_s * _FIRST_TRY_FRACTION


async def _record_interruption(host, req, progress, choice, exc, is_stale):
    """Record an interrupted exchange; suspect the request if the endpoint crashed."""
    now = host.now()
    endpoint, view = choice.endpoint, choice.view
    progress.partial_event_bytes = progress.scanner.partial_event_bytes
    progress.scanner.discard_partial_event()
    view.record_result(True, now)
    progress.tried.add(endpoint.name)
    began_s = None if progress.began_at is None else now - progress.began_at
    log_event(
        "endpoint_broke_off",
        request_id=req.request_id,
        endpoint=endpoint.name,
        reason=repr(exc),
        is_stale=is_stale,
        failure_rate=round(view.failure_rate(now), 2),
        parts=[to_text(part) for part in progress.culprits.parts],
        began_s=None if began_s is None else round(began_s, 3),
        **progress.body_fields(),
    )
    is_silent = isinstance(exc, SilentEndpointError)
    if is_stale or is_silent:
        # Other idle connections may be closed or unresponsive as well.
        host.pool.close_idle(endpoint.name)
    if is_silent:
        return
    # A live endpoint may lose a response, and a silent one may be alive; only a crash
    # makes the request a suspect. It is not sent again before both looks.
    interruptions = host.containment.interruptions
    was_waiting = interruptions.is_waiting(progress.culprits.request)
    interruptions.record(
        Interruption(
            culprits=progress.culprits,
            request_id=req.request_id,
            team=req.team,
            route=req.route,
            endpoint=endpoint,
            sent_at=progress.sent_at,
            broke_at=now,
            # It may have ended before the request was sent.
            may_block=not is_stale,
            began_s=began_s,
        )
    )
    if is_stale and not was_waiting:
        # It has most likely closed an idle connection. Two in a row are unlikely.
        return
    try:
        await host.pool.probe_twice(endpoint.name, endpoint.address, now)
    except ConnectRefusedError:
        host.pool.close_idle(endpoint.name)
        host.record_crash_evidence(endpoint.name, Evidence.REFUSED, host.now())
    except ConnectError:
        host.pool.close_idle(endpoint.name)


async def _handle_response(host, req, sink, progress, choice, response, load, sent_at):
    """Relay a response, or return a refusal if it must not reach the caller."""
    metadata, view = response.metadata, choice.view
    endpoint = choice.endpoint
    if metadata.is_misdirected or metadata.is_not_run:
        progress.may_have_run = progress.may_have_run_before
        await drain(host, response)
        load.is_complete = True
        progress.tried.add(endpoint.name)
        if metadata.is_misdirected:
            progress.attempts_left += 1
            host.record_misdirected(endpoint)
        else:
            view.record_result(True, host.now())
        return Overloaded(
            detail="the endpoint did not take the request",
            retry_after_s=BUSY_RETRY_S * (1 + host.rng.random()),
        )
    is_success = 200 <= response.status < 300
    if is_success and not metadata.is_signed:
        raise ExchangeError("a success without the endpoint's signature")
    if not is_success:
        return await _handle_error_response(
            host, req, sink, progress, view, response, load
        )
    if has_events(req, progress, response):
        await relay_stream(host, req, sink, progress, choice, response, load, sent_at)
    else:
        with host.buffers.hold() as count_held:
            body = await collect_body(response.next_data, count_held)
            load.mark_prompt_read()
            host.placement.record_response_start(
                choice, host.service(req.service), host.now() - sent_at, host.now()
            )
            await response.release(host.now())
            load.is_complete = True
            await relay_body(host, sink, progress, response, body)
    host.record_served(progress, host.now())
    return None


async def _handle_error_response(host, req, sink, progress, view, response, load):
    """Relay an endpoint's error response, or return a refusal to retry it."""
    with host.buffers.hold() as count_held:
        body = await collect_body(response.next_data, count_held)
    await response.release(host.now())
    load.is_complete = True
    is_server_error = response.status >= _MIN_RETRIED_STATUS
    view.record_result(is_server_error, host.now())
    is_final = progress.attempts_left <= 0 or not may_repeat(req.route)
    if (
        is_server_error
        and not is_final
        and host.retry_budget(req.service, host.now()).credit >= 1.0
    ):
        # The endpoint stays eligible: an isolated failure may not recur.
        return EndpointFailed(
            detail=f"the endpoint answered {response.status}", outcome=Outcome.UNKNOWN
        )
    if progress.has_response_started or response.status in _NOT_RUN_STATUSES:
        progress.attempts_left = 0
        return EndpointFailed(
            detail=f"the endpoint answered {response.status}", outcome=Outcome.UNKNOWN
        )
    await relay_body(host, sink, progress, response, body)
    return None
