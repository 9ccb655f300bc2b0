"""Execution of requests that may run at most once.

The identifier of a request names its owner, the only incarnation that may run it. Every
other host forwards the request to the owner, and responds "unknown" if the owner cannot
be reached, unless the endpoints themselves run an identifier at most once.
"""

import hashlib

import attrs
import trio
from returns.result import Failure, Success

from ..errors import (
    ConnectError,
    DeadlineExceeded,
    ExchangeError,
    IdentifierRequired,
    LinkClosedError,
    NoEndpoint,
    Outcome,
    OutcomeUnknown,
)
from .admission import admit
from .endpoints import receive_data, receive_head, send_request
from .forward_client import forward
from .http import end_to_end_headers
from .ledger import Response, spent_refusal
from .peer_selection import connect_peer
from .peers import retry_after_outage_s
from .request import is_permitted
from .routing import choose_endpoint, make_candidate

IDENTIFIER_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"x-request-deadline"
LEAVING_HEADER = b"x-endpoint-leaving"
_UNAVAILABLE = 503
_NO_ENDPOINT_RETRY_AFTER_S = 2.0


async def run_at_most_once(host, req, sink):
    """Run a request at most once, here or at the owner of its identifier.

    Parameters
    ----------
    host : HostProcess
        This process.
    req : Request
        Request on a route that is not repeatable.
    sink : Sink
        Destination of the response.

    Returns
    -------
    Success of None or Failure of Refusal
    """
    if req.identifier is None:
        return Failure(
            IdentifierRequired(
                detail="send the request again with the identifier given here as "
                "Idempotency-Key, and use the same for every resend of it",
                identifier=host.mint(req.team_name),
                retry_after_s=0.0,
            )
        )
    if is_owner(host, req.identifier):
        result = await run_as_owner(host, req)
    else:
        return await _forward_to_owner(host, req, sink)
    match result:
        case Success(response):
            return await _send_response(response, sink)
    return result


async def _send_response(response, sink):
    await sink.head(response.status, response.headers)
    await sink.data(response.body)
    await sink.end()
    return Success(None)


def is_owner(host, identifier):
    """Return whether this process is the owner of an identifier."""
    return (identifier.host, identifier.incarnation) == (
        host.cfg.host,
        host.incarnation,
    )


async def run_as_owner(host, req):
    """Run a request that this process owns, or wait for the run in progress.

    Returns
    -------
    Success of Response or Failure of Refusal
    """
    claim = host.ledger.claim(
        req.identifier, req.team_name, _fingerprint(req), host.now()
    )
    match claim:
        case Failure(refusal):
            return Failure(_with_status_url(refusal, req.route))
        case Success((entry, is_first)):
            pass
    if is_first:
        # Runs in the host's nursery: a caller that disconnects must not cancel a
        # request that may already have reached the endpoint.
        host.nursery.start_soon(_execute, host, req, entry)
    await entry.done.wait()
    match entry.result:
        case Failure(refusal) if not is_first:
            return Failure(spent_refusal(refusal, host.mint(req.team_name)))
        case Failure(refusal):
            return Failure(_with_new_identifier(host, req, refusal))
    return entry.result


def _fingerprint(req):
    digest = hashlib.sha256()
    for part in (req.method.encode(), req.target.encode(), req.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def _with_status_url(refusal, route):
    if refusal.outcome is Outcome.NOT_RUN or not route.status_path:
        return refusal
    return attrs.evolve(refusal, status_url=route.status_path)


def _with_new_identifier(host, req, refusal):
    if refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    return attrs.evolve(refusal, identifier=host.mint(req.team_name))


async def _execute(host, req, entry):
    # Recorded if this task is cancelled before it has a result.
    result = Failure(OutcomeUnknown(detail="the host ended", outcome=Outcome.UNKNOWN))
    host.running_at_most_once += 1
    try:
        result = await _admit_and_send(host, req)
    except Exception:
        # An unhandled exception in the host's nursery would stop the host.
        host.record_fault("running %s at most once", req.request_id)
    finally:
        host.running_at_most_once -= 1
        match result:
            case Success(response):
                host.ledger.record_response(entry, response)
            case Failure(refusal):
                host.ledger.record_refusal(entry, _with_status_url(refusal, req.route))


async def _admit_and_send(host, req):
    match await admit(host, req):
        case Failure(refusal):
            return Failure(refusal)
        case Success(reservation):
            pass
    result = await _send_to_any(host, req)
    if reservation is not None and _is_not_run(result):
        host.limiter.settle(reservation, 0.0, host.now())
    return result


def _is_not_run(result):
    match result:
        case Failure(refusal):
            return refusal.outcome is Outcome.NOT_RUN
    return False


async def _send_to_any(host, req):
    """Try endpoints in turn until one may have received a byte of the request."""
    tried = set()
    while True:
        endpoint = _choose_untried(host, req, tried)
        if endpoint is None:
            return Failure(_no_endpoint_refusal(tried))
        tried.add(endpoint.name)
        state = host.pool.state(endpoint.name)
        try:
            exchange = await host.pool.acquire(
                endpoint, host.now(), new_connection=True
            )
        except ConnectError:
            state.record_failure(host.now())
            continue
        result = await _send(host, req, endpoint, exchange)
        if result is not None:
            return result


def _choose_untried(host, req, tried):
    """Choose an untried endpoint of the local zone, or else of a permitted region."""
    now = host.now()
    listed = [
        make_candidate(e, host.pool.state(e.name), now)
        for e in host.endpoints_for(req.service)
        if e.name not in tried and is_permitted(e.region, req.team, req.route)
    ]
    local = [c for c in listed if c.endpoint.zone == host.cfg.zone]
    return choose_endpoint(local, "", host.rng) or choose_endpoint(listed, "", host.rng)


def _no_endpoint_refusal(tried):
    if tried:
        detail = f"no connection to any of {len(tried)} endpoints"
    else:
        detail = "no permitted endpoint has room"
    return NoEndpoint(detail=detail, retry_after_s=_NO_ENDPOINT_RETRY_AFTER_S)


async def _send(host, req, endpoint, exchange):
    """Send a request to one endpoint.

    Returns
    -------
    Success of Response, Failure of Refusal, or None
        None if the endpoint is leaving and refused the request, which it did not run.
    """
    state = host.pool.state(endpoint.name)
    remaining_s = req.deadline - host.now()
    headers = [
        (IDENTIFIER_HEADER, req.identifier.text.encode()),
        (DEADLINE_HEADER, f"{host.wall_time() + remaining_s:.3f}".encode()),
    ]
    # The process may have been suspended since the deadline was last checked, so
    # nothing else may happen between this check and the write.
    if remaining_s <= 0:
        await exchange.conn.close()
        return Failure(
            DeadlineExceeded(detail="the deadline passed before it was sent")
        )
    state.in_flight += 1
    try:
        with trio.fail_after(remaining_s):
            await send_request(exchange, endpoint, req, headers)
            await receive_head(exchange, req, remaining_s)
            body = await _receive_body(exchange)
    except (ExchangeError, trio.TooSlowError) as exc:
        state.record_failure(host.now())
        await exchange.conn.close()
        return Failure(
            OutcomeUnknown(
                detail=f"the endpoint failed after it may have received the "
                f"request: {exc or type(exc).__name__}",
                outcome=Outcome.UNKNOWN,
                retry_after_s=max(1.0, req.deadline - host.now()),
            )
        )
    finally:
        state.in_flight -= 1
        host.queue_for(req.service).wake_next()
    state.record_success(host.now())
    await host.pool.release(endpoint, exchange, host.now())
    if _is_leaving_refusal(exchange):
        state.leaving = True
        return None
    return Success(
        Response(exchange.status, end_to_end_headers(exchange.headers), body)
    )


def _is_leaving_refusal(exchange):
    names = {name for name, _ in exchange.headers}
    return exchange.status == _UNAVAILABLE and LEAVING_HEADER in names


async def _receive_body(exchange):
    chunks = []
    while (data := await receive_data(exchange)) is not None:
        chunks.append(data)
    return b"".join(chunks)


async def _forward_to_owner(host, req, sink):
    """Forward a request to the owner of its identifier."""
    peer = await connect_peer(host, req.identifier.host)
    if peer is None:
        return await _run_without_owner(host, req, sink, "cannot be reached")
    if peer.incarnation != req.identifier.incarnation:
        return await _run_without_owner(host, req, sink, "was replaced")
    if not is_permitted(peer.host.region, req.team, req.route):
        return Failure(
            _owner_lost_refusal(host, req, "is outside the permitted regions")
        )
    try:
        return await forward(host, peer, req, sink)
    except LinkClosedError:
        return await _run_without_owner(host, req, sink, "was lost")


async def _run_without_owner(host, req, sink, reason):
    """Run a request here if endpoints check identifiers; refuse it otherwise."""
    if not req.route.checks_identifier:
        return Failure(_owner_lost_refusal(host, req, reason))
    # The endpoints themselves run an identifier at most once, so sending it again is
    # safe. Whether the owner has run it remains unknown here.
    match await _admit_and_send(host, req):
        case Success(response):
            return await _send_response(response, sink)
        case Failure(refusal):
            return Failure(attrs.evolve(refusal, outcome=Outcome.UNKNOWN))


def _owner_lost_refusal(host, req, reason):
    return OutcomeUnknown(
        detail=f"host {req.identifier.host}, which alone may run this identifier, "
        f"{reason}; look up the outcome before sending it under another",
        outcome=Outcome.UNKNOWN,
        retry_after_s=max(retry_after_outage_s(host.cfg), req.deadline - host.now()),
        status_url=req.route.status_path or None,
    )
