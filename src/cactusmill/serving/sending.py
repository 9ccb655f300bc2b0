"""One send of a request to an endpoint of the own region, and its answer."""

import attrs
import h11

from ..errors import (
    ConnectError,
    EndpointFailed,
    ExchangeError,
    NoEndpoint,
    Outcome,
    Overloaded,
    SilentEndpointError,
)
from .answer_relay import drain, read_body, relay_body, relay_stream, stall_timeout_s
from .connections import exchange
from .events import log_event
from .placement import DEFAULT_KV_CACHE_TOKENS
from .progress import BUSY_RETRY_S, may_repeat

# A first event later than this many times the prediction, and than the least,
# is given up where the stream may go on elsewhere.
_FIRST_EVENT_FACTOR = 4.0
_MIN_FIRST_EVENT_S = 1.5
# A repeatable request is tried again elsewhere after this part of its time.
_FIRST_TRY_PART = 0.5
# A reused connection that breaks this soon was closed while it was idle.
_STALE_WITHIN_S = 0.03
# Statuses that promise that a request has not run. An endpoint's own failure
# with one of them does not reach the caller as it is.
_PROMISES = frozenset({408, 421, 429, 503})
_RETRIED_STATUS = 500


async def send_to_endpoint(host, req, sink, progress, choice):
    """Send a request to an endpoint.

    Parameters
    ----------
    host : GatewayHost
        This process.
    req : Request
        The request.
    sink : Sink
        Where its answer goes.
    progress : Progress
        How far it has come.
    choice : Choice
        The endpoint with what was predicted there.

    Returns
    -------
    Refusal or None
        None once the answer is whole.
    """
    endpoint, view = choice.endpoint, choice.view
    service = host.service(req.service)
    sent_at = host.now()
    progress.endpoint, progress.ttft_s = endpoint.name, choice.ttft_s
    progress.total_s, progress.uncached_tokens = choice.total_s, choice.uncached_tokens
    if choice.warmup_rate_per_s:
        view.pacer.record_sent(choice.warmup_rate_per_s, choice.sharing_hosts, sent_at)
    work = Work(view, choice.uncached_tokens)
    try:
        try:
            conn, was_used = await host.pool.acquire(
                endpoint.name, endpoint.address, sent_at
            )
        except ConnectError as exc:
            view.record_unreachable(host.now())
            host.pool.drop_idle(endpoint.name)
            progress.tried.add(endpoint.name)
            log_event("endpoint_unreachable", endpoint=endpoint.name, reason=str(exc))
            return NoEndpoint(detail=str(exc), retry_after_s=BUSY_RETRY_S)
        progress.sends += 1
        answer = None
        try:
            answer = await _exchange(host, req, progress, choice, conn)
            return await _take_answer(
                host, req, sink, progress, choice, answer, work, sent_at
            )
        except ExchangeError as exc:
            is_stale = was_used and host.now() - sent_at < _STALE_WITHIN_S
            await _note_broken(host, req, progress, choice, exc, is_stale)
            return EndpointFailed(
                detail=f"the endpoint failed: {exc}", outcome=Outcome.UNKNOWN
            )
        finally:
            if answer is None:
                host.pool.close(endpoint.name, conn)
            elif not work.is_whole:
                answer.abort()
    finally:
        work.end()
        if service.is_engine:
            hosts = host.region_hosts(host.now())
            kv_cache_tokens = service.kv_cache_tokens or DEFAULT_KV_CACHE_TOKENS
            view.record_segments(req.prompt_segments, kv_cache_tokens, hosts)


@attrs.define(eq=False)
class Work:
    """A request's load on an endpoint, counted while it lasts."""

    view: object
    prompt_tokens: int
    is_whole: bool = False

    def __attrs_post_init__(self):
        self.view.in_flight += 1
        self.view.prompt_tokens += self.prompt_tokens

    def mark_prompt_read(self):
        """Count the prompt as read."""
        self.view.prompt_tokens -= self.prompt_tokens
        self.prompt_tokens = 0

    def end(self):
        """Count the request as ended."""
        self.mark_prompt_read()
        self.view.in_flight -= 1


async def _exchange(host, req, progress, choice, conn):
    endpoint = choice.endpoint
    now = host.now()
    left_s = req.deadline - now
    head_s = left_s
    if may_repeat(req.route) and progress.attempts_left > 1:
        head_s = _patience_s(req, choice, left_s)
    headers = host.dialect.build_endpoint_headers(
        req, endpoint, left_s, progress.scanner.last_id
    )
    request = h11.Request(method=req.method, target=req.target, headers=headers)
    progress.attempts_left -= 1
    progress.may_have_run_before = progress.may_have_run
    progress.may_have_run = True
    return await exchange(
        host.pool,
        endpoint.name,
        conn,
        request,
        req.body,
        req.request_id,
        host.dialect.read_response_head,
        (head_s, stall_timeout_s(req, left_s)),
    )


def _patience_s(req, choice, left_s):
    """Return how long to wait for an answer that another endpoint may give."""
    if req.is_stream:
        return min(left_s, max(_MIN_FIRST_EVENT_S, _FIRST_EVENT_FACTOR * choice.ttft_s))
    return left_s * _FIRST_TRY_PART


async def _note_broken(host, req, progress, choice, exc, is_stale):
    """Take over that an endpoint broke off, and who may have caused it."""
    now = host.now()
    endpoint, view = choice.endpoint, choice.view
    progress.scanner.discard_partial_event()
    view.record_result(True, now)
    progress.tried.add(endpoint.name)
    log_event(
        "endpoint_broke_off",
        request_id=req.request_id,
        endpoint=endpoint.name,
        reason=repr(exc),
        is_stale=is_stale,
        failure_rate=round(view.failure_rate(now), 2),
    )
    if is_stale or isinstance(exc, SilentEndpointError):
        # Others that have been idle may be closed or silent too.
        host.pool.drop_idle(endpoint.name)
        return
    # Answers get lost at endpoints that live; only a death makes a suspect.
    if not await host.pool.is_alive(endpoint.name, endpoint.address, now):
        host.pool.drop_idle(endpoint.name)
        host.record_crash(req, progress, endpoint.name, now)


async def _take_answer(host, req, sink, progress, choice, answer, work, sent_at):
    """Pass an answer on, or return why it cannot be the caller's."""
    metadata, view = answer.metadata, choice.view
    endpoint = choice.endpoint
    if metadata.is_misdirected or metadata.is_not_run:
        progress.may_have_run = progress.may_have_run_before
        await drain(host, answer)
        work.is_whole = True
        progress.tried.add(endpoint.name)
        if metadata.is_misdirected:
            progress.attempts_left += 1
            host.note_misdirected(endpoint)
        else:
            view.record_result(True, host.now())
        return Overloaded(
            detail="the endpoint did not take the request",
            retry_after_s=BUSY_RETRY_S * (1 + host.rng.random()),
        )
    is_success = 200 <= answer.status < 300
    if is_success and not metadata.is_signed:
        raise ExchangeError("a success without the endpoint's signature")
    if not is_success:
        return await _take_failure(host, req, sink, progress, view, answer, work)
    if req.is_stream:
        await relay_stream(host, req, sink, progress, choice, answer, work, sent_at)
    else:
        body = await read_body(answer)
        work.mark_prompt_read()
        host.placement.record_response_start(
            choice, host.service(req.service), host.now() - sent_at, host.now()
        )
        await answer.release(host.now())
        work.is_whole = True
        await relay_body(host, sink, progress, answer, body)
    host.suspects.clear(progress.digest)
    return None


async def _take_failure(host, req, sink, progress, view, answer, work):
    """Pass an endpoint's own failure on, or return it for another try."""
    body = await read_body(answer)
    await answer.release(host.now())
    work.is_whole = True
    is_fault = answer.status >= _RETRIED_STATUS
    view.record_result(is_fault, host.now())
    is_last = progress.attempts_left <= 0 or not may_repeat(req.route)
    if is_fault and not is_last and host.retry_budget(req.service).credit >= 1.0:
        # A random failure of a sound endpoint; it may serve the next try.
        return EndpointFailed(
            detail=f"the endpoint answered {answer.status}", outcome=Outcome.UNKNOWN
        )
    if progress.has_begun or answer.status in _PROMISES:
        progress.attempts_left = 0
        return EndpointFailed(
            detail=f"the endpoint answered {answer.status}", outcome=Outcome.UNKNOWN
        )
    await relay_body(host, sink, progress, answer, body)
    return None
