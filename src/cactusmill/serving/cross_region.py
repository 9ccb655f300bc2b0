"""Forwards a request to another region and relays its response to the caller."""

from ..errors import (
    CallerGoneError,
    ConnectError,
    EndpointFailed,
    ExchangeError,
    HostLeavingError,
    LinkClosedError,
    NoEndpoint,
    Outcome,
    Refusal,
)
from ..internal.http import collect_body
from .events import log_event
from .forwarding import forward
from .progress import BUSY_RETRY_S
from .response_relay import STALL_S, has_events, relay_body, relay_stream

# Round trip between regions, added to the stall timeout.
_RTT_MARGIN_S = 0.2


async def run_in_other_region(host, req, sink, progress, step, may_give_up):
    """Forward a request to a host of another region and relay the response.

    Parameters
    ----------
    host : GatewayHost
        This process.
    req : Request
        The request.
    sink : Sink
        Destination of the response.
    progress : Progress
        State of the request.
    step : ForwardTo
        The host to forward it to.
    may_give_up : callable
        Looks for a step that takes over from a silent host, as in
        :func:`.patience.receive_patiently`.

    Returns
    -------
    Refusal or None
        None once the response is complete.
    """
    member = step.member
    progress.endpoint, progress.ttft_s = member.id.name, step.reported_wait_s
    progress.tried_remote_hosts.add(member.id.name)
    if progress.forward_tokens:
        host.allowances.record_forwarded(
            member.id.region, req.service, progress.forward_tokens, host.now()
        )
    progress.received, progress.partial_event_bytes = None, 0
    left_s = req.deadline - host.now()
    response, is_complete = None, False
    may_have_run_before = progress.may_have_run
    progress.may_have_run = True
    progress.sends += 1
    try:
        response = await forward(
            host,
            member,
            req,
            sink,
            progress.attempts_left,
            progress.scanner.last_id,
            min(left_s, STALL_S) + _RTT_MARGIN_S,
            may_give_up,
        )
        if isinstance(response, Refusal):
            refusal, response = response, None
            host.record_region_refusal(member.id.region, req.service, refusal)
            if refusal.outcome is Outcome.NOT_RUN:
                progress.may_have_run = may_have_run_before
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
        progress.received = response.received
        if has_events(req, progress, response):
            await relay_stream(
                host, req, sink, progress, None, response, _REMOTE_LOAD, host.now()
            )
        else:
            with host.buffers.hold() as count_held:
                body = await collect_body(response.next_data, count_held)
                await response.release(host.now())
                await relay_body(host, sink, progress, response, body)
        is_complete = True
        return None
    except CallerGoneError:
        if response is None:
            progress.may_have_run = may_have_run_before
            progress.sends -= 1
            progress.is_abandoned = True
        raise
    except (ConnectError, HostLeavingError) as exc:
        progress.may_have_run = may_have_run_before
        progress.sends -= 1
        return NoEndpoint(detail=str(exc), retry_after_s=BUSY_RETRY_S)
    except (ExchangeError, LinkClosedError) as exc:
        progress.partial_event_bytes = progress.scanner.partial_event_bytes
        progress.scanner.discard_partial_event()
        if response is None:
            # Once a response has begun, its attempt has been counted above.
            progress.attempts_left -= 1
        log_event(
            "forward_broke_off",
            request_id=req.request_id,
            host=member.id.name,
            reason=repr(exc),
            **progress.body_fields(),
        )
        return EndpointFailed(
            detail=f"another region failed: {exc}", outcome=Outcome.UNKNOWN
        )
    finally:
        if response is not None and not is_complete:
            response.abort()


class _RemoteLoad:
    """Placeholder for the load of a request, which the other host tracks."""

    is_complete = False

    def mark_prompt_read(self):
        """Do nothing."""


_REMOTE_LOAD = _RemoteLoad()
