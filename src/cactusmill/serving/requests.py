"""One request on its way: placed, sent, answered, resumed or refused.

What may be repeated decides every branch. Before a byte was sent, anything
may be tried elsewhere. After that, a request that may run once at most goes
elsewhere only if the endpoint said that it did not run it, and is refused as
not run only then.
"""

import attrs
import h11
import trio

from ..errors import (
    AnswerCutError,
    ConnectError,
    DeadlineExceeded,
    EndpointFailed,
    ExchangeError,
    LinkClosedError,
    NoEndpoint,
    Outcome,
    Overloaded,
    Refusal,
    RequestSuspected,
    SilentEndpointError,
)
from ..internal.job import is_permitted
from ..internal.suspects import request_digest
from .answers import EventScanner
from .connections import exchange
from .events import log_event
from .forwarding import forward
from .overload import ForwardTo, choose_far, decide
from .placement import DEFAULT_MEMORY_TOKENS

# Longest silence inside a stream before it goes on elsewhere. Callers leave
# after two seconds or more.
STREAM_STALL_S = 1.6
# A first event later than this many times the prediction, and than the least,
# is given up where the stream may go on elsewhere.
_FIRST_EVENT_FACTOR = 4.0
_MIN_FIRST_EVENT_S = 1.5
# A repeatable request is tried again elsewhere after this part of its time.
_FIRST_TRY_PART = 0.5
_BUSY_RETRY_S = 0.3
_CONDEMNED_RETRY_S = 30.0
# Part of the objective that a request is held while no endpoint may take it.
_HOLD_PART = 0.12
_HOLD_POLL_S = 0.02
# Beats of all regions have come by then, after a start.
_YOUNG_S = 1.5
_YOUNG_HOLD_S = 0.4
# A reused connection that breaks this soon was closed while it was idle.
_STALE_WITHIN_S = 0.03
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Statuses that promise that a request has not run. An endpoint's own failure
# with one of them does not reach the caller as it is.
_PROMISES = frozenset({408, 421, 429, 503})
_RETRIED_STATUS = 500


@attrs.define(eq=False)
class Progress:
    """How far a request has come.

    Attributes
    ----------
    attempts_left : int
        Endpoints it may still be sent to.
    digest : str
        By which suspects are known.
    may_have_run : bool
        True once an endpoint may have run it.
    may_have_run_before : bool
        The same before it was sent last.
    has_begun : bool
        True once the answer's head was passed on.
    tried : set of str
        Endpoints that cannot serve it.
    far_tried : set of str
        Hosts of other regions that cannot serve it.
    scanner : EventScanner
        Events passed on so far.
    sends : int
        How often it was sent.
    endpoint : str
        Where it was sent last.
    first_s, whole_s : float or None
        When it was predicted to begin and to end there, in seconds.
    unread_tokens : int
        Prompt tokens that were expected to be read there.
    """

    attempts_left: int
    digest: str
    may_have_run: bool = False
    may_have_run_before: bool = False
    has_begun: bool = False
    tried: set = attrs.field(factory=set)
    far_tried: set = attrs.field(factory=set)
    scanner: EventScanner = attrs.field(factory=EventScanner)
    sends: int = 0
    endpoint: str = ""
    first_s: float | None = None
    whole_s: float | None = None
    unread_tokens: int = 0

    @property
    def outcome(self):
        """What is known of the request if no answer comes."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


def may_repeat(route):
    """Tell whether a request of a route may run more than once."""
    return route.repeatable or (route.is_stream and route.resumable)


async def run(host, job, sink, progress, *, is_forwarded=False):
    """Run a request to its end.

    Parameters
    ----------
    host : EntryHost
        This process.
    job : Job
        The request.
    sink : Sink
        Where its answer goes.
    progress : Progress
        How far it has come.
    is_forwarded : bool
        True if another host forwarded it; it is never forwarded again.

    Returns
    -------
    Refusal or None
        None once the answer is whole.

    Raises
    ------
    AnswerCutError
        If the answer broke after its head was passed on.
    """
    result = None
    with trio.move_on_after(max(0.0, job.deadline - host.now())) as scope:
        result = await _attempts(host, job, sink, progress, is_forwarded)
    if not scope.cancelled_caught:
        return result
    if progress.has_begun:
        raise AnswerCutError("the deadline passed inside the answer")
    return DeadlineExceeded(
        detail="the deadline passed before the answer", outcome=progress.outcome
    )


async def _attempts(host, job, sink, progress, is_forwarded):
    if host.suspects.is_condemned(progress.digest, host.now()):
        return RequestSuspected(
            detail="endpoints died while they ran this request",
            outcome=progress.outcome,
            retry_after_s=_CONDEMNED_RETRY_S,
        )
    refusal = None
    while True:
        step = _next_step(host, job, progress, is_forwarded)
        if isinstance(step, NoEndpoint) and refusal is None:
            step = await _wait_for_endpoint(host, job, progress, is_forwarded, step)
        if isinstance(step, Refusal):
            # What an endpoint or another region said is closer to the cause.
            return _final(progress, refusal or step)
        if isinstance(step, ForwardTo):
            outcome = await _forward(host, job, sink, progress, step)
        else:
            outcome = await _send(host, job, sink, progress, step.choice)
        if outcome is None:
            return None
        refusal = outcome
        if not _may_go_on(host, job, progress):
            return _final(progress, refusal)


async def _wait_for_endpoint(host, job, progress, is_forwarded, step):
    """Wait a moment for an endpoint; return the step that is possible then.

    A cold endpoint's next turn may be near, and a process that has just
    started is about to hear of other regions.
    """
    now = host.now()
    limit_s = job.route.objective_s * _HOLD_PART
    if now - host.started_at < _YOUNG_S:
        limit_s = _YOUNG_HOLD_S
    while isinstance(step, NoEndpoint) and host.now() < now + limit_s:
        await trio.sleep(_HOLD_POLL_S)
        step = _next_step(host, job, progress, is_forwarded)
    return step


def _final(progress, refusal):
    if progress.has_begun:
        raise AnswerCutError(refusal.detail)
    if refusal.outcome is Outcome.NOT_RUN and progress.may_have_run:
        return EndpointFailed(detail=refusal.detail, outcome=Outcome.UNKNOWN)
    return refusal


def _next_step(host, job, progress, is_forwarded):
    """Return what to do next: a step of the overload policy."""
    now = host.now()
    own, listed = None, []
    service = host.service(job.service)
    if is_permitted(host.cfg.region, job.team, job.route):
        listed = host.placement.usable(
            host.catalog, job.service, now, host.hold_removed_s(now)
        )
        listed = [e for e in listed if host.has_connections(e.endpoint, service, now)]
        own = host.placement.choose(
            job, service, listed, host.membership, now, progress.tried
        )
    far = None if is_forwarded else _far(host, job, progress, now)
    objective_s = job.objective_at - now
    if progress.has_begun:
        # A stream that goes on has met its objective or lost it already.
        objective_s = job.deadline - now
    return decide(
        own=own,
        far=far,
        objective_s=objective_s,
        deadline_s=job.deadline - now,
        is_engine=service.is_engine,
        spread=host.rng.random(),
        returns=host.returns_for(job.service),
        engines=max(1.0, len(listed)) / host.region_hosts(now),
        now=now,
    )


def _far(host, job, progress, now):
    members = [
        m
        for m in host.membership.serving(now)
        if m.id.region != host.cfg.region and m.id.name not in progress.far_tried
    ]
    return choose_far(
        members,
        job.service,
        lambda region: is_permitted(region, job.team, job.route),
        host.far_refusals,
        now,
        host.rng,
    )


def _may_go_on(host, job, progress):
    """Decide whether to send a request once more."""
    if progress.attempts_left <= 0 or host.now() >= job.deadline:
        return False
    if progress.may_have_run and not may_repeat(job.route):
        return False
    if progress.sends == 0:
        return True
    return host.retry_budget(job.service).spend()


async def _send(host, job, sink, progress, choice):
    """Send a request to an endpoint; return a refusal unless it was answered."""
    endpoint, view = choice.endpoint, choice.view
    service = host.service(job.service)
    sent_at = host.now()
    progress.endpoint, progress.first_s = endpoint.name, choice.first_s
    progress.whole_s, progress.unread_tokens = choice.whole_s, choice.unread_tokens
    if choice.cold_per_s:
        view.pace.note_sent(choice.cold_per_s, choice.users, sent_at)
    work = _Work(view, choice.unread_tokens)
    try:
        try:
            conn, was_used = await host.pool.take(
                endpoint.name, endpoint.address, sent_at
            )
        except ConnectError as exc:
            view.note_unreachable(host.now())
            host.pool.drop_idle(endpoint.name)
            progress.tried.add(endpoint.name)
            log_event("endpoint_unreachable", endpoint=endpoint.name, reason=str(exc))
            return NoEndpoint(detail=str(exc), retry_after_s=_BUSY_RETRY_S)
        progress.sends += 1
        answer = None
        try:
            answer = await _exchange(host, job, progress, choice, conn)
            return await _take_answer(
                host, job, sink, progress, choice, answer, work, sent_at
            )
        except ExchangeError as exc:
            is_stale = was_used and host.now() - sent_at < _STALE_WITHIN_S
            await _note_broken(host, job, progress, choice, exc, is_stale)
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
            view.note_parts(job.parts, service.memory_tokens or DEFAULT_MEMORY_TOKENS)


@attrs.define(eq=False)
class _Work:
    """A request's load on an endpoint, counted while it lasts."""

    view: object
    prompt_tokens: int
    is_whole: bool = False

    def __attrs_post_init__(self):
        self.view.in_flight += 1
        self.view.prompt_tokens += self.prompt_tokens

    def begin(self):
        """Count the prompt as read."""
        self.view.prompt_tokens -= self.prompt_tokens
        self.prompt_tokens = 0

    def end(self):
        """Count the request as ended."""
        self.begin()
        self.view.in_flight -= 1


async def _exchange(host, job, progress, choice, conn):
    endpoint = choice.endpoint
    now = host.now()
    left_s = job.deadline - now
    head_s = left_s
    if may_repeat(job.route) and progress.attempts_left > 1:
        head_s = _patience_s(job, choice, left_s)
    headers = host.dialect.endpoint_headers(
        job, endpoint, left_s, progress.scanner.last_id
    )
    request = h11.Request(method=job.method, target=job.target, headers=headers)
    progress.attempts_left -= 1
    progress.may_have_run_before = progress.may_have_run
    progress.may_have_run = True
    return await exchange(
        host.pool,
        endpoint.name,
        conn,
        request,
        job.body,
        job.request_id,
        host.dialect.read_answer,
        (head_s, _stall_s(job, left_s)),
    )


def _patience_s(job, choice, left_s):
    """Return how long to wait for an answer that another endpoint may give."""
    if job.is_stream:
        return min(
            left_s, max(_MIN_FIRST_EVENT_S, _FIRST_EVENT_FACTOR * choice.first_s)
        )
    return left_s * _FIRST_TRY_PART


def _stall_s(job, left_s):
    if job.is_stream and job.route.resumable:
        return min(left_s, STREAM_STALL_S)
    return left_s


async def _note_broken(host, job, progress, choice, exc, is_stale):
    """Take over that an endpoint broke off, and who may have caused it."""
    now = host.now()
    endpoint, view = choice.endpoint, choice.view
    progress.scanner.drop_rest()
    view.note_result(True, now)
    progress.tried.add(endpoint.name)
    log_event(
        "endpoint_broke_off",
        request_id=job.request_id,
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
        host.note_death(job, progress, endpoint.name, now)


async def _take_answer(host, job, sink, progress, choice, answer, work, sent_at):
    """Pass an answer on, or return why it cannot be the caller's."""
    facts, view = answer.facts, choice.view
    endpoint = choice.endpoint
    if facts.is_misdirected or facts.is_not_run:
        progress.may_have_run = progress.may_have_run_before
        await _drain(host, answer)
        work.is_whole = True
        progress.tried.add(endpoint.name)
        if facts.is_misdirected:
            progress.attempts_left += 1
            host.note_misdirected(endpoint)
        else:
            view.note_result(True, host.now())
        return Overloaded(
            detail="the endpoint did not take the request",
            retry_after_s=_BUSY_RETRY_S * (1 + host.rng.random()),
        )
    is_success = 200 <= answer.status < 300
    if is_success and not facts.is_signed:
        raise ExchangeError("a success without the endpoint's signature")
    if not is_success:
        return await _take_failure(host, job, sink, progress, view, answer, work)
    if job.is_stream:
        await _pass_stream(host, job, sink, progress, choice, answer, work, sent_at)
    else:
        body = await _read_body(answer)
        work.begin()
        host.placement.note_begun(
            choice, host.service(job.service), host.now() - sent_at, host.now()
        )
        await answer.release(host.now())
        work.is_whole = True
        await _pass_body(host, sink, progress, answer, body)
    host.suspects.clear(progress.digest)
    return None


async def _take_failure(host, job, sink, progress, view, answer, work):
    """Pass an endpoint's own failure on, or return it for another try."""
    body = await _read_body(answer)
    await answer.release(host.now())
    work.is_whole = True
    is_fault = answer.status >= _RETRIED_STATUS
    view.note_result(is_fault, host.now())
    is_last = progress.attempts_left <= 0 or not may_repeat(job.route)
    if is_fault and not is_last and host.retry_budget(job.service).credit >= 1.0:
        # A random failure of a sound endpoint; it may serve the next try.
        return EndpointFailed(
            detail=f"the endpoint answered {answer.status}", outcome=Outcome.UNKNOWN
        )
    if progress.has_begun or answer.status in _PROMISES:
        progress.attempts_left = 0
        return EndpointFailed(
            detail=f"the endpoint answered {answer.status}", outcome=Outcome.UNKNOWN
        )
    await _pass_body(host, sink, progress, answer, body)
    return None


async def _read_body(answer):
    chunks, size = [], 0
    while (data := await answer.next_data()) is not None:
        chunks.append(data)
        size += len(data)
        if size > _MAX_ANSWER_BYTES:
            raise ExchangeError(f"an answer over {_MAX_ANSWER_BYTES} bytes")
    return b"".join(chunks)


async def _drain(host, answer):
    """Read past a body that no caller needs."""
    try:
        while await answer.next_data() is not None:
            pass
    except ExchangeError:
        # The head has said all; only the connection is lost.
        answer.abort()
        return
    await answer.release(host.now())


async def _pass_body(host, sink, progress, answer, body):
    headers = host.dialect.passed_answer_headers(answer.headers)
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    progress.has_begun = True
    await sink.head(answer.status, headers)
    if body:
        await sink.data(body)
    await sink.end()


async def _pass_stream(host, job, sink, progress, choice, answer, work, sent_at):
    """Pass a stream's events on as they arrive."""
    scanner = progress.scanner
    is_first, event_at = True, host.now()
    while (data := await answer.next_data()) is not None:
        whole = scanner.feed(data)
        if whole and choice is not None and not is_first:
            now = host.now()
            choice.view.note_event_gap((now - event_at) / whole.count(b"\n\n"), now)
            event_at = now
        if is_first:
            is_first, event_at = False, host.now()
            work.begin()
            if choice is not None:
                host.placement.note_begun(
                    choice, host.service(job.service), host.now() - sent_at, host.now()
                )
        if whole:
            await _begin(host, sink, progress, answer)
            await sink.data(whole)
    await answer.release(host.now())
    work.is_whole = True
    rest = scanner.take_rest()
    await _begin(host, sink, progress, answer)
    if rest:
        await sink.data(rest)
    await sink.end()


async def _begin(host, sink, progress, answer):
    """Pass the head on, once: a stream that goes on keeps its first head."""
    if progress.has_begun:
        return
    progress.has_begun = True
    headers = host.dialect.passed_answer_headers(answer.headers)
    await sink.head(answer.status, headers)


async def _forward(host, job, sink, progress, step):
    """Have another region run a request; return a refusal unless answered."""
    member = step.member
    progress.endpoint, progress.first_s = member.id.name, step.wait_s
    progress.far_tried.add(member.id.name)
    left_s = job.deadline - host.now()
    answer, is_whole = None, False
    was_run_before = progress.may_have_run
    progress.may_have_run = True
    progress.sends += 1
    try:
        answer = await forward(
            host,
            member,
            job,
            progress.attempts_left,
            progress.scanner.last_id,
            _stall_s(job, left_s) + 0.2,
        )
        if isinstance(answer, Refusal):
            refusal, answer = answer, None
            host.note_far_refusal(member.id.region, job.service, refusal)
            if refusal.outcome is Outcome.NOT_RUN:
                progress.may_have_run = was_run_before
                progress.sends -= 1
            else:
                progress.attempts_left -= 1
            log_event(
                "forward_refused",
                request_id=job.request_id,
                host=member.id.name,
                reason=refusal.detail,
                wait_s=round(step.wait_s, 3),
            )
            return refusal
        progress.attempts_left -= 1
        if job.is_stream and 200 <= answer.status < 300:
            await _pass_stream(
                host, job, sink, progress, None, answer, _NO_WORK, host.now()
            )
        else:
            body = await _read_body(answer)
            await answer.release(host.now())
            await _pass_body(host, sink, progress, answer, body)
        is_whole = True
        return None
    except ConnectError as exc:
        progress.may_have_run = was_run_before
        progress.sends -= 1
        return NoEndpoint(detail=str(exc), retry_after_s=_BUSY_RETRY_S)
    except (ExchangeError, LinkClosedError) as exc:
        progress.scanner.drop_rest()
        progress.attempts_left -= answer is None
        log_event(
            "forward_broke_off",
            request_id=job.request_id,
            host=member.id.name,
            reason=repr(exc),
        )
        return EndpointFailed(
            detail=f"another region failed: {exc}", outcome=Outcome.UNKNOWN
        )
    finally:
        if answer is not None and not is_whole:
            answer.abort()


class _NoWork:
    """Stands for work that another host counts."""

    is_whole = False

    def begin(self):
        """Count nothing."""


_NO_WORK = _NoWork()


def new_progress(job, attempts):
    """Return the progress of a request that has not been sent.

    Parameters
    ----------
    job : Job
        The request.
    attempts : int
        Endpoints that it may be sent to.
    """
    # Hosts hold no common secret here, and the digest stays between them.
    return Progress(attempts, request_digest("", job))
