"""Dispatch of repeatable requests: choice of endpoint, retries, spillover, queue.

A request is repeatable if its route declares that running it twice does no harm. It is
sent to an endpoint of this zone, or else forwarded to a host of another zone
(spillover), or else queued until an endpoint of this zone may have free capacity. After
a failure it is retried within the retry budget.
"""

import attrs
import trio
from returns.result import Failure, Success

from ..errors import (
    AnswerCutError,
    CallerGoneError,
    DeadlineExceeded,
    ForwardRefusedError,
    LinkClosedError,
    NoEndpoint,
    Outcome,
    Overloaded,
    RequestSuspected,
)
from .admission import admit
from .attempts import RequestProgress, try_endpoint
from .chat import UsageMeter
from .containment.convictions import FIRST_TRIAL_S, Verdict
from .containment.culprits import culprits_of
from .forward_client import forward
from .queues import MAX_WAIT_S, MAX_WAITING_PER_TEAM
from .zone_routing import (
    choose_spillover_peer,
    choose_zone_endpoint,
    expected_wait_s,
    zone_candidates,
)

_NO_ENDPOINT_RETRY_AFTER_S = 1.0


async def run_repeatable(host, req, sink, is_forwarded=False):
    """Run a repeatable request.

    Parameters
    ----------
    host : HostProcess
        This process.
    req : Request
        The request.
    sink : Sink
        Destination of the response.
    is_forwarded : bool
        True if another host accepted the request and charged the team for it.

    Returns
    -------
    Success of None or Failure of Refusal

    Raises
    ------
    AnswerCutError
        If the response was interrupted after its head was sent to the sink.
    CallerGoneError
        If the sink no longer accepts the response.
    """
    reservation = None
    if not is_forwarded:
        match await admit(host, req):
            case Failure(refusal):
                return Failure(refusal)
            case Success(reservation):
                pass
    meter = None
    if req.route.kind == "model":
        meter = UsageMeter(req.prompt_tokens, req.is_stream)
    culprits = culprits_of(host.cfg.link_secret, req)
    progress = RequestProgress(set(), culprits, meter)
    used = 0.0
    try:
        result = await _run_attempts(host, req, sink, progress, is_forwarded)
        match result:
            case Success(_):
                used = meter.used() if meter else req.cost_tokens
        return result
    except (AnswerCutError, CallerGoneError, trio.Cancelled):
        used = meter.used() if meter and progress.was_sent else 0.0
        raise
    finally:
        if reservation is not None:
            host.limiter.settle(reservation, used, host.now())


async def _run_attempts(host, req, sink, progress, is_forwarded):
    if _must_queue(host, req):
        refusal = await _wait_for_capacity(host, req, progress)
        if refusal is not None:
            return Failure(refusal)

    def may_replace(silent):
        return _may_replace(host, req, progress, is_forwarded, silent)

    while True:
        now = host.now()
        if now >= req.deadline:
            return Failure(_deadline_exceeded(progress))
        if _is_held_back(host, progress, now):
            return Failure(_request_suspected(progress))
        endpoint = choose_zone_endpoint(host, req, progress)
        if endpoint is not None:
            refusal = await try_endpoint(
                host, req, sink, progress, endpoint, may_replace
            )
            if refusal is None:
                return Success(None)
            if not _may_retry(host, req, progress, refusal):
                return Failure(refusal)
            continue
        if not is_forwarded:
            peer = choose_spillover_peer(host, req, progress)
            if peer is not None:
                progress.was_sent = True
                try:
                    return await forward(host, peer, req, _count_tokens(sink, progress))
                except (LinkClosedError, ForwardRefusedError):
                    progress.tried.add(peer.host.name)
                    progress.tried.add(peer.host.zone)
                    continue
        refusal = await _wait_for_capacity(host, req, progress)
        if refusal is not None:
            return Failure(refusal)


def _must_queue(host, req):
    """Return whether the request must join the queue behind waiting requests.

    It must even if an endpoint has free capacity. It need not if the zone has no
    usable endpoint, because then no request of the queue would ever be woken.
    """
    if len(host.queue_for(req.service)) == 0:
        return False
    return any(c.usable for c in zone_candidates(host, req, host.cfg.zone))


def _count_tokens(sink, progress):
    """Return a sink that also counts the tokens of the response for the rate limit.

    Used where another host runs the request.
    """
    if progress.meter is None:
        return sink

    async def data(chunk):
        progress.meter.feed(chunk)
        await sink.data(chunk)

    async def whole(status, headers, body):
        progress.meter.feed(body)
        await sink.whole(status, headers, body)

    return attrs.evolve(sink, data=data, whole=whole)


def _deadline_exceeded(progress):
    return DeadlineExceeded(
        detail="no answer began before the route's timeout",
        outcome=Outcome.UNKNOWN if progress.was_sent else Outcome.NOT_RUN,
        retry_after_s=1.0,
    )


def _is_held_back(host, progress, now):
    """Return whether a request is refused for what is held back; may begin a trial."""
    verdict, _ = host.containment.judge(progress.culprits, host.makes_trial, now)
    if verdict is Verdict.TRY:
        host.containment.convictions.begin_trial(progress.culprits, now)
    return verdict is Verdict.REFUSE


def _request_suspected(progress):
    return RequestSuspected(
        detail="endpoints died while they ran this request, or others with a part "
        "of its prompt; it is refused for now",
        outcome=Outcome.UNKNOWN if progress.was_sent else Outcome.NOT_RUN,
        retry_after_s=FIRST_TRIAL_S,
    )


def _may_replace(host, req, progress, is_forwarded, silent):
    """Return whether the request may go on elsewhere, and pay for the retry.

    A silent endpoint may be sound and go on, so that it is only given up then.
    """
    others = attrs.evolve(progress, tried=progress.tried.union(silent))
    has_step = choose_zone_endpoint(host, req, others) is not None or (
        not is_forwarded and choose_spillover_peer(host, req, others) is not None
    )
    if has_step and not progress.has_paid_retry:
        progress.has_paid_retry = host.retry_budgets.spend(req.team_name)
    return has_step and progress.has_paid_retry


def _may_retry(host, req, progress, refusal):
    """Return whether to retry; an attempt that was not run uses no retry budget."""
    if isinstance(refusal, NoEndpoint):
        return True
    if progress.has_paid_retry:
        progress.has_paid_retry = False
        return True
    return host.retry_budgets.spend(req.team_name)


async def _wait_for_capacity(host, req, progress):
    """Wait in the fair queue of the service.

    Returns
    -------
    Refusal or None
        None once the endpoints should be tried again.
    """
    candidates = [
        c
        for c in zone_candidates(host, req, host.cfg.zone)
        if c.endpoint.live and c.endpoint.name not in progress.tried
    ]
    if not any(c.usable for c in candidates):
        names = [c.endpoint.name for c in candidates]
        pause_s = host.pool.pause_left_s(names, host.now())
        return NoEndpoint(
            detail=f"no permitted endpoint that serves {req.service!r} is reachable",
            outcome=Outcome.UNKNOWN if progress.was_sent else Outcome.NOT_RUN,
            retry_after_s=_NO_ENDPOINT_RETRY_AFTER_S
            if pause_s is None
            else pause_s + host.rng.random(),
        )
    queue = host.queue_for(req.service)
    wait_s = expected_wait_s(host, req, candidates)
    limit_s = min(MAX_WAIT_S, req.deadline - host.now())
    if wait_s > limit_s or queue.count_waiting(req.team_name) >= MAX_WAITING_PER_TEAM:
        return Overloaded(
            detail=f"the wait of {wait_s:.1f} s would exceed {limit_s:.1f} s",
            outcome=Outcome.UNKNOWN if progress.was_sent else Outcome.NOT_RUN,
            retry_after_s=wait_s,
        )
    cost = max(1.0, req.cost_tokens)
    ticket = queue.enqueue(req.team_name, cost, host.team_weight(req.team_name))
    try:
        with trio.move_on_after(limit_s):
            await ticket.woken.wait()
            return None
    finally:
        queue.remove(ticket)
    return Overloaded(
        detail=f"no endpoint had room within {limit_s:.1f} s",
        outcome=Outcome.UNKNOWN if progress.was_sent else Outcome.NOT_RUN,
        retry_after_s=queue.service_time_s,
    )
