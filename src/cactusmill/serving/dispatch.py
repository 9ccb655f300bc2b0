"""Dispatch of a request: choose an endpoint or region, send, retry or refuse.

Every branch depends on whether the request may be repeated. Until the first byte
is sent, any request may be sent to another endpoint or region. After that, a
request that may run at most once is sent again, or refused as not run, only if
the endpoint reported that it did not run it.
"""

import math

import attrs
import trio

from ..errors import (
    AnswerCutError,
    ConnectError,
    ConnectRefusedError,
    Cut,
    DeadlineExceeded,
    EndpointFailed,
    NoEndpoint,
    Outcome,
    Overloaded,
    Refusal,
    RequestSuspected,
)
from ..internal.containment.convictions import Verdict
from ..internal.containment.evidence import Evidence
from ..internal.request import is_permitted, request_priority
from ..internal.shedding import would_shed
from .cross_region import run_in_other_region
from .events import log_event
from .overload import ForwardTo, Send, choose_remote_host, decide
from .progress import deadline_exceeded, may_repeat, suspected
from .room_sharing import count_tokens, may_forward, record_demand
from .scheduling.engine_room import find_need
from .sending import send_to_endpoint

# Fraction of the latency objective for which a request waits while no endpoint may
# accept it.
_HOLD_FRACTION = 0.12
_HOLD_POLL_S = 0.02
# Heartbeats of all regions have arrived this long after the start of the process.
# Until then requests wait up to _STARTUP_HOLD_S for an endpoint.
_STARTUP_S = 1.5
_STARTUP_HOLD_S = 0.4
# Endpoints probed in one look for a step that takes over from a silent endpoint.
_MAX_PROBES = 3


async def run_request(host, req, sink, progress, *, is_forwarded=False):
    """Run a request to its end.

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
    is_forwarded : bool
        True if another host forwarded it; it is not forwarded again.

    Returns
    -------
    Refusal or None
        None once the response is complete.

    Raises
    ------
    AnswerCutError
        If the response was interrupted after its head was relayed.
    """
    result = None
    with trio.move_on_after(max(0.0, req.deadline - host.now())) as scope:
        account = host.forwards_account if is_forwarded else host.account
        sink = _lift_deadline(sink, scope, account)
        result = await _run_attempts(host, req, sink, progress, is_forwarded)
        if isinstance(result, Overloaded):
            _record_rank_refusal(host, req)
    if not scope.cancelled_caught:
        return result
    if progress.has_response_started:
        raise AnswerCutError("the deadline passed during the response", Cut.DEADLINE)
    return deadline_exceeded(progress)


def _lift_deadline(sink, scope, account):
    """Return a sink whose complete responses a request's deadline does not cut.

    The exit of the host, which stops the account, still does.
    """

    def lifted(send):
        async def send_complete(*args):
            scope.deadline = math.inf
            if not scope.cancel_called:
                await send(*args)
                return
            with account.shield_delivery():
                await send(*args)

        return send_complete

    return attrs.evolve(sink, whole=lifted(sink.whole), end=lifted(sink.end))


async def _run_attempts(host, req, sink, progress, is_forwarded):
    """Make attempts until one completes the response or none may follow."""
    await _wait_for_convictions(host, progress)
    progress.is_admitted = _is_admitted_by_rank(host, req, progress)

    async def may_give_up(is_silent):
        return await _reserve_step(host, req, progress, is_forwarded, is_silent)

    refusal = None
    while True:
        sink.check_open()
        if host.now() >= req.deadline:
            return _final_refusal(progress, deadline_exceeded(progress))
        held = _held_back(host, progress)
        if held is not None:
            return _final_refusal(progress, suspected(held, progress.outcome))
        step, progress.reserved_step = progress.reserved_step, None
        if step is None:
            step = _next_step(host, req, progress, is_forwarded)
        if isinstance(step, NoEndpoint):
            paused = _paused(host, req)
            if paused is not None:
                return _final_refusal(progress, paused)
        if isinstance(step, NoEndpoint) and refusal is None:
            step = await _wait_for_endpoint(host, req, progress, is_forwarded, step)
        if isinstance(step, Refusal):
            # A refusal by an endpoint or another region tells more about the cause.
            return _final_refusal(progress, refusal or step)
        if isinstance(step, ForwardTo):
            outcome = await run_in_other_region(
                host, req, sink, progress, step, may_give_up
            )
        else:
            outcome = await send_to_endpoint(
                host, req, sink, progress, step.choice, may_give_up
            )
        if outcome is None:
            return None
        refusal = outcome
        _end_trial(host, progress, refusal)
        if isinstance(refusal, RequestSuspected):
            return _final_refusal(progress, refusal)
        if progress.reserved_step is None and not _may_retry(host, req, progress):
            if refusal.outcome is Outcome.NOT_RUN:
                refusal = _paused(host, req) or refusal
            return _final_refusal(progress, refusal)


async def _wait_for_convictions(host, progress):
    """Wait until a host that has just started knows what the others hold back."""
    while progress.culprits.parts and not host.is_informed(host.now()):
        await trio.sleep(_HOLD_POLL_S)


def _is_admitted_by_rank(host, req, progress):
    """Count a request in the demand of its rank; return whether that admits it.

    Requests that may not run in this region do not compete for its capacity.
    """
    ranks, now = host.rank_levels_in_force(), host.now()
    if req.service not in ranks.ranks or not is_permitted(
        host.cfg.region, req.team, req.route
    ):
        return True
    priority = request_priority(req)
    ranks.record_asked(req.service, priority, req.prompt_tokens, now)
    is_patient = req.route.name in host.catalog.configuration.patient_routes
    # A stream that another host began has the identifier of its last event.
    if not is_patient or progress.scanner.last_id:
        return True
    return ranks.admits(req.service, priority, host.rng.random(), now)


def _record_rank_refusal(host, req):
    """Count a request that was refused for lack of capacity."""
    if is_permitted(host.cfg.region, req.team, req.route):
        host.rank_levels_in_force().record_refused(
            req.service, request_priority(req), req.prompt_tokens, host.now()
        )


def _held_back(host, progress):
    """Return what a request is refused for, or None; may begin a trial."""
    now = host.now()
    if host.judge(progress.culprits, now)[0] is Verdict.TRY:
        progress.is_trial = True
        host.containment.convictions.begin_trial(progress.culprits, now)
    return host.thing_held_back(progress, now)


def _end_trial(host, progress, refusal):
    """End a trial that was not served; its crash, if there was one, is seen later."""
    if progress.is_trial and refusal.outcome is Outcome.NOT_RUN:
        host.containment.convictions.end_trial(progress.culprits)
    progress.is_trial = False


def _paused(host, req):
    """Return the refusal if all endpoints of the region want no requests, or None.

    Its retry time is when the first of them takes requests, spread over the time in
    which the load there grows.
    """
    if not is_permitted(host.cfg.region, req.team, req.route):
        return None
    now = host.now()
    left_s = host.placement.pause_left_s(
        host.catalog, req.service, now, host.removal_grace_s(now)
    )
    if left_s is None:
        return None
    return NoEndpoint(
        detail=f"all endpoints want no requests, the first for {left_s:.2f} s more",
        retry_after_s=left_s + host.rng.random(),
    )


async def _wait_for_endpoint(host, req, progress, is_forwarded, step):
    """Wait briefly for an endpoint; return the step that is possible then.

    The warm-up rate of an endpoint may soon allow another request, and a process
    that has just started is about to receive heartbeats of other regions.
    """
    now = host.now()
    limit_s = req.route.objective_s * _HOLD_FRACTION
    if now - host.started_at < _STARTUP_S:
        limit_s = _STARTUP_HOLD_S
    while isinstance(step, NoEndpoint) and host.now() < now + limit_s:
        await trio.sleep(_HOLD_POLL_S)
        step = _next_step(host, req, progress, is_forwarded)
    return step


def _final_refusal(progress, refusal):
    """Return the refusal for the caller, or raise if its response has begun.

    A refusal claims that the request did not run only if no attempt may have run
    it.
    """
    if progress.has_response_started:
        is_late = isinstance(refusal, DeadlineExceeded)
        raise AnswerCutError(refusal.detail, Cut.DEADLINE if is_late else Cut.BROKE_OFF)
    if refusal.outcome is Outcome.NOT_RUN and progress.may_have_run:
        return EndpointFailed(detail=refusal.detail, outcome=Outcome.UNKNOWN)
    return refusal


def _next_step(host, req, progress, is_forwarded, silent=()):
    """Return the next step by the overload policy: send, forward or refuse.

    Endpoints whose names are in `silent` are left out, besides those tried.
    """
    now = host.now()
    local, listed = None, []
    service = host.service(req.service)
    if is_permitted(host.cfg.region, req.team, req.route):
        listed = host.placement.eligible_endpoints(
            host.catalog, req.service, now, host.removal_grace_s(now)
        )
        progress.left_out = host.placement.explain_left_out(
            host.catalog, req.service, now
        )
        listed = host.with_connection_room(listed, service, now)
        local = host.placement.choose(
            req,
            service,
            listed,
            host.membership,
            now,
            progress.tried.union(silent),
            find_need(req, service, host.catalog.configuration),
        )
    remote, tokens = None, count_tokens(req, service, local)
    # The other host would refuse a trial: this one makes it.
    if not is_forwarded and not progress.is_trial:
        remote = _remote_host(host, req, progress, tokens, now)
    objective_s = req.objective_at - now
    if progress.has_response_started:
        # A resumed stream has already met or missed its latency objective.
        objective_s = req.deadline - now
    priority = request_priority(req)
    step = decide(
        local=local,
        remote=remote,
        objective_s=objective_s,
        deadline_s=req.deadline - now,
        is_engine=service.is_engine,
        jitter=host.rng.random(),
        retry_schedule=host.retry_schedule_for(req.service, priority),
        endpoints_per_host=max(1.0, len(listed)) / host.count_region_hosts(now),
        now=now,
        max_gap_s=req.route.max_gap_s,
        is_most_urgent=host.rank_levels_in_force().is_most_urgent(
            req.service, priority
        ),
        is_admitted=progress.is_admitted or progress.has_response_started,
    )
    if not is_forwarded and not progress.is_trial:
        record_demand(host, req, progress, step, tokens, now)
    return step


def _remote_host(host, req, progress, tokens, now):
    """Return the host to forward a request to and its region's wait, or None."""
    members = [
        m
        for m in host.membership.serving(now)
        if m.id.region != host.cfg.region
        and m.id.name not in progress.tried_remote_hosts
        and not (m.lag_s and would_shed(m, host.rng.random(), now))
    ]
    return choose_remote_host(
        members,
        host.membership.regions(),
        req.service,
        lambda region: is_permitted(region, req.team, req.route),
        host.region_backoff_until,
        now,
        host.rng,
        lambda region: may_forward(host, req, tokens, region, now),
    )


def _may_retry(host, req, progress):
    """Return whether a request may be sent again."""
    if progress.attempts_left <= 0 or host.now() >= req.deadline:
        return False
    if progress.may_have_run and not may_repeat(req.route):
        return False
    if progress.sends == 0:
        return True
    return host.retry_budget(req.service, host.now()).spend()


async def _reserve_step(host, req, progress, is_forwarded, is_silent):
    """Reserve the step that takes over from a silent endpoint; return whether one does.

    A sound endpoint may fall silent for a while and go on, so that it is only given up
    if the request can go on elsewhere at once.
    """
    if not is_silent():
        return False
    problem = await _try_reserve_step(host, req, progress, is_forwarded, is_silent)
    seen = (progress.endpoint, problem or "another step takes over")
    if seen != progress.silence:
        progress.silence = seen
        log_event(
            "endpoint_silent",
            request_id=req.request_id,
            endpoint=progress.endpoint,
            reason=seen[1],
            has_response_started=progress.has_response_started,
        )
    return not problem


async def _try_reserve_step(host, req, progress, is_forwarded, is_silent):
    """Reserve a step; return why none could be reserved, or an empty text."""
    if not may_repeat(req.route):
        return "the request runs once"
    if progress.attempts_left <= 0:
        return "no attempt is left"
    budget = host.retry_budget(req.service, host.now())
    if budget.credit < 1.0:
        return "no retry is left in the budget"
    probed = set()
    while True:
        # Nothing is awaited between this decision and the record of its request, so
        # that each decision counts the ones before it.
        step = _next_step(host, req, progress, is_forwarded, {progress.endpoint})
        if isinstance(step, Refusal):
            return "no other endpoint can take it"
        if not isinstance(step, Send) or step.choice.endpoint.name in probed:
            break
        if len(probed) == _MAX_PROBES:
            return "the endpoints that accept connections were taken meanwhile"
        choice = step.choice
        endpoint, now = choice.endpoint, host.now()
        try:
            await host.pool.probe(endpoint.name, endpoint.address, now)
        except ConnectRefusedError:
            host.placement.record_unreachable(choice.entry, True, host.now())
            host.record_crash_evidence(endpoint.name, Evidence.REFUSED, host.now())
            return "the other endpoint refuses connections"
        except ConnectError:
            # The limit is short, and its end no evidence against the endpoint.
            return "the other endpoint does not accept connections"
        probed.add(endpoint.name)
        if not is_silent():
            return "it went on meanwhile"
    if not budget.spend():
        return "no retry is left in the budget"
    progress.reserved_step = step
    return ""
