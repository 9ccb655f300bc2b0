"""One request on its way: placed, sent, answered, resumed or refused.

What may be repeated decides every branch. Before a byte was sent, anything
may be tried elsewhere. After that, a request that may run once at most goes
elsewhere only if the endpoint said that it did not run it, and is refused as
not run only then.
"""

import trio

from ..errors import (
    AnswerCutError,
    DeadlineExceeded,
    EndpointFailed,
    NoEndpoint,
    Outcome,
    Refusal,
    RequestSuspected,
)
from ..internal.request import is_permitted
from .cross_region import run_in_other_region
from .overload import ForwardTo, choose_remote_host, decide
from .progress import may_repeat
from .sending import send_to_endpoint

_CONDEMNED_RETRY_S = 30.0
# Part of the objective that a request is held while no endpoint may take it.
_HOLD_PART = 0.12
_HOLD_POLL_S = 0.02
# Beats of all regions have come by then, after a start.
_YOUNG_S = 1.5
_YOUNG_HOLD_S = 0.4


async def run(host, req, sink, progress, *, is_forwarded=False):
    """Run a request to its end.

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
    with trio.move_on_after(max(0.0, req.deadline - host.now())) as scope:
        result = await _attempts(host, req, sink, progress, is_forwarded)
    if not scope.cancelled_caught:
        return result
    if progress.has_begun:
        raise AnswerCutError("the deadline passed inside the answer")
    return DeadlineExceeded(
        detail="the deadline passed before the answer", outcome=progress.outcome
    )


async def _attempts(host, req, sink, progress, is_forwarded):
    if host.suspects.is_blocked(progress.digest, host.now()):
        return RequestSuspected(
            detail="endpoints died while they ran this request",
            outcome=progress.outcome,
            retry_after_s=_CONDEMNED_RETRY_S,
        )
    refusal = None
    while True:
        step = _next_step(host, req, progress, is_forwarded)
        if isinstance(step, NoEndpoint) and refusal is None:
            step = await _wait_for_endpoint(host, req, progress, is_forwarded, step)
        if isinstance(step, Refusal):
            # What an endpoint or another region said is closer to the cause.
            return _final(progress, refusal or step)
        if isinstance(step, ForwardTo):
            outcome = await run_in_other_region(host, req, sink, progress, step)
        else:
            outcome = await send_to_endpoint(host, req, sink, progress, step.choice)
        if outcome is None:
            return None
        refusal = outcome
        if not _may_go_on(host, req, progress):
            return _final(progress, refusal)


async def _wait_for_endpoint(host, req, progress, is_forwarded, step):
    """Wait a moment for an endpoint; return the step that is possible then.

    A cold endpoint's next turn may be near, and a process that has just
    started is about to hear of other regions.
    """
    now = host.now()
    limit_s = req.route.objective_s * _HOLD_PART
    if now - host.started_at < _YOUNG_S:
        limit_s = _YOUNG_HOLD_S
    while isinstance(step, NoEndpoint) and host.now() < now + limit_s:
        await trio.sleep(_HOLD_POLL_S)
        step = _next_step(host, req, progress, is_forwarded)
    return step


def _final(progress, refusal):
    if progress.has_begun:
        raise AnswerCutError(refusal.detail)
    if refusal.outcome is Outcome.NOT_RUN and progress.may_have_run:
        return EndpointFailed(detail=refusal.detail, outcome=Outcome.UNKNOWN)
    return refusal


def _next_step(host, req, progress, is_forwarded):
    """Return what to do next: a step of the overload policy."""
    now = host.now()
    local, listed = None, []
    service = host.service(req.service)
    if is_permitted(host.cfg.region, req.team, req.route):
        listed = host.placement.eligible_endpoints(
            host.catalog, req.service, now, host.removal_grace_s(now)
        )
        listed = [e for e in listed if host.has_connections(e.endpoint, service, now)]
        local = host.placement.choose(
            req, service, listed, host.membership, now, progress.tried
        )
    remote = None if is_forwarded else _remote_host(host, req, progress, now)
    objective_s = req.objective_at - now
    if progress.has_begun:
        # A stream that goes on has met its objective or lost it already.
        objective_s = req.deadline - now
    return decide(
        local=local,
        remote=remote,
        objective_s=objective_s,
        deadline_s=req.deadline - now,
        is_engine=service.is_engine,
        jitter=host.rng.random(),
        retry_schedule=host.retry_schedule_for(req.service),
        endpoints_per_host=max(1.0, len(listed)) / host.region_hosts(now),
        now=now,
    )


def _remote_host(host, req, progress, now):
    members = [
        m
        for m in host.membership.serving(now)
        if m.id.region != host.cfg.region
        and m.id.name not in progress.tried_remote_hosts
    ]
    return choose_remote_host(
        members,
        host.membership.regions(),
        req.service,
        lambda region: is_permitted(region, req.team, req.route),
        host.region_backoff_until,
        now,
        host.rng,
    )


def _may_go_on(host, req, progress):
    """Decide whether to send a request once more."""
    if progress.attempts_left <= 0 or host.now() >= req.deadline:
        return False
    if progress.may_have_run and not may_repeat(req.route):
        return False
    if progress.sends == 0:
        return True
    return host.retry_budget(req.service).spend()
