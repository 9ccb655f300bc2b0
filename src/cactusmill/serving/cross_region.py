"""A request that another region runs, as its own host sees it."""

from ..errors import (
    ConnectError,
    EndpointFailed,
    ExchangeError,
    LinkClosedError,
    NoEndpoint,
    Outcome,
    Refusal,
)
from .answer_relay import read_body, relay_body, relay_stream, stall_timeout_s
from .events import log_event
from .forwarding import forward
from .progress import BUSY_RETRY_S

# There and back between regions.
_WAY_MARGIN_S = 0.2


async def run_in_other_region(host, req, sink, progress, step):
    """Have another region run a request and pass its answer on.

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
    step : ForwardTo
        Who is to run it.

    Returns
    -------
    Refusal or None
        None once the answer is whole.
    """
    member = step.member
    progress.endpoint, progress.ttft_s = member.id.name, step.reported_wait_s
    progress.tried_remote_hosts.add(member.id.name)
    left_s = req.deadline - host.now()
    answer, is_whole = None, False
    was_run_before = progress.may_have_run
    progress.may_have_run = True
    progress.sends += 1
    try:
        answer = await forward(
            host,
            member,
            req,
            progress.attempts_left,
            progress.scanner.last_id,
            stall_timeout_s(req, left_s) + _WAY_MARGIN_S,
        )
        if isinstance(answer, Refusal):
            refusal, answer = answer, None
            host.record_region_refusal(member.id.region, req.service, refusal)
            if refusal.outcome is Outcome.NOT_RUN:
                progress.may_have_run = was_run_before
                progress.sends -= 1
            else:
                progress.attempts_left -= 1
            log_event(
                "forward_refused",
                request_id=req.request_id,
                host=member.id.name,
                reason=refusal.detail,
                wait_s=round(step.reported_wait_s, 3),
            )
            return refusal
        progress.attempts_left -= 1
        if req.is_stream and 200 <= answer.status < 300:
            await relay_stream(
                host, req, sink, progress, None, answer, _NO_WORK, host.now()
            )
        else:
            body = await read_body(answer)
            await answer.release(host.now())
            await relay_body(host, sink, progress, answer, body)
        is_whole = True
        return None
    except ConnectError as exc:
        progress.may_have_run = was_run_before
        progress.sends -= 1
        return NoEndpoint(detail=str(exc), retry_after_s=BUSY_RETRY_S)
    except (ExchangeError, LinkClosedError) as exc:
        progress.scanner.discard_partial_event()
        if answer is None:
            # With an answer, its attempt has been counted above.
            progress.attempts_left -= 1
        log_event(
            "forward_broke_off",
            request_id=req.request_id,
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

    def mark_prompt_read(self):
        """Count nothing."""


_NO_WORK = _NoWork()
