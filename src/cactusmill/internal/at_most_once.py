"""Execution of requests on routes that are not repeatable, at most once.

A caller repeats such a request under one identifier, which a host minted. The
identifier names its owner, the only process that may run the request: a host in one
incarnation (one run of the host's process). The owner records the request in its
ledger and gives every repetition the same result. Any other process forwards the
request to the owner. If the owner cannot be reached or its region is not permitted, the
outcome is unknown to the others, and they respond with `OutcomeUnknown`. On routes with
`checks_identifier`, whose endpoints themselves run the requests of an identifier at
most once, they send the request to an endpoint if the owner cannot be reached.

A refusal with the outcome ``NOT_RUN`` is a guarantee that the request was not run and
will not be run under its identifier.
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
from .endpoints import (
    LEAVING_HEADER,
    receive_data,
    receive_head,
    record_notices,
    send_request,
)
from .forward_client import forward
from .http import collect_body, end_to_end_headers
from .ledger import Response, spent_refusal
from .peer_selection import connect_peer
from .peers import retry_after_outage_s
from .request import is_permitted
from .routing import choose_endpoint, make_candidate

IDENTIFIER_HEADER = b"idempotency-key"
# Unix time in seconds, from which the endpoint must not start the request.
DEADLINE_HEADER = b"x-request-deadline"
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
        # The caller must know the identifier before the first attempt. Otherwise it
        # could not repeat the request under it after a lost response.
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
    await sink.whole(response.status, response.headers, response.body)
    return Success(None)


def is_owner(host, identifier):
    """Return whether this process is the owner of an identifier."""
    return (identifier.host, identifier.incarnation) == (
        host.cfg.host,
        host.incarnation,
    )


async def run_as_owner(host, req):
    """Run a request that this process owns, or wait for the result of its earlier run.

    The ledger verifies that the identifier was minted for the request's team.

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
    """Return a digest that detects a different request under the same identifier."""
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
    # Recorded if this task is cancelled or fails before it has a result.
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
        # Refunds all reserved tokens, since none was used.
        host.limiter.settle(reservation, 0.0, host.now())
    return result


def _is_not_run(result):
    match result:
        case Failure(refusal):
            return refusal.outcome is Outcome.NOT_RUN
    return False


async def _send_to_any(host, req):
    """Send a request to endpoints in turn.

    Once an endpoint may have received any byte of the request, it is sent to no other.
    The exception is an endpoint that refused it because it is shutting down.

    Returns
    -------
    Success of Response or Failure of Refusal
    """
    tried = set()
    while True:
        endpoint = _choose_untried(host, req, tried)
        if endpoint is None:
            return Failure(_no_endpoint_refusal(host, req, tried))
        tried.add(endpoint.name)
        state = host.pool.state(endpoint.name)
        try:
            # With a reused connection, a failure to send would not prove that the
            # endpoint received nothing.
            exchange = await host.pool.acquire(
                endpoint, host.now(), new_connection=True
            )
        except ConnectError:
            state.record_failure(host.now())
            continue
        if not state.takes_requests(host.now()):
            # The endpoint said so while this request waited for its connection.
            host.pool.put_back(endpoint, exchange, host.now())
            continue
        result = await _send(host, req, endpoint, exchange)
        if result is not None:
            return result


def _permitted_endpoints(host, req):
    return [
        e
        for e in host.endpoints_for(req.service)
        if is_permitted(e.region, req.team, req.route)
    ]


def _choose_untried(host, req, tried):
    """Choose an untried endpoint that is permitted, in the local zone if possible."""
    now = host.now()
    permitted = [
        make_candidate(e, host.pool.state(e.name), now)
        for e in _permitted_endpoints(host, req)
        if e.name not in tried
    ]
    local = [c for c in permitted if c.endpoint.zone == host.cfg.zone]
    return choose_endpoint(local, "", host.rng) or choose_endpoint(
        permitted, "", host.rng
    )


def _no_endpoint_refusal(host, req, tried):
    if tried:
        detail = f"no connection to any of {len(tried)} endpoints"
    else:
        detail = "no permitted endpoint has room"
    names = [e.name for e in _permitted_endpoints(host, req)]
    pause_s = host.pool.pause_left_s(names, host.now())
    retry_s = _NO_ENDPOINT_RETRY_AFTER_S
    if pause_s is not None:
        retry_s = pause_s + host.rng.random()
    return NoEndpoint(detail=detail, retry_after_s=retry_s)


async def _send(host, req, endpoint, exchange):
    """Send a request to one endpoint.

    Returns
    -------
    Success of Response, Failure of Refusal, or None
        None if the endpoint is shutting down and refused the request without running
        it.
    """
    state = host.pool.state(endpoint.name)
    remaining_s = req.deadline - host.now()
    headers = [
        (IDENTIFIER_HEADER, req.identifier.text.encode()),
        (DEADLINE_HEADER, f"{host.wall_time() + remaining_s:.3f}".encode()),
    ]
    # The process may have been suspended since the deadline was last checked, so the
    # check comes immediately before the request is sent. A process that is suspended
    # after it sends late; the endpoint can then refuse by the deadline header.
    if remaining_s <= 0:
        await exchange.conn.close()
        return Failure(
            DeadlineExceeded(detail="the deadline passed before it was sent")
        )

    async def receive():
        await receive_head(exchange, req, remaining_s)

    state.in_flight += 1
    try:
        with trio.fail_after(remaining_s):
            await send_request(exchange, endpoint, req, headers, receive)
            record_notices(host, state, exchange)
            with host.buffers.hold() as count_held:
                body = await collect_body(lambda: receive_data(exchange), count_held)
    except (ExchangeError, trio.TooSlowError) as exc:
        state.record_failure(host.now())
        await exchange.conn.close()
        return Failure(
            OutcomeUnknown(
                detail=f"the endpoint failed after it may have received the "
                f"request: {exc or type(exc).__name__}",
                outcome=Outcome.UNKNOWN,
                # The endpoint may run the request until the deadline.
                retry_after_s=max(1.0, req.deadline - host.now()),
            )
        )
    finally:
        state.in_flight -= 1
        host.queue_for(req.service).wake_next()
    state.record_success(host.now())
    await host.pool.release(endpoint, exchange, host.now())
    if _is_leaving_refusal(exchange):
        return None
    return Success(
        Response(exchange.status, end_to_end_headers(exchange.headers), body)
    )


def _is_leaving_refusal(exchange):
    names = {name for name, _ in exchange.headers}
    return exchange.status == _UNAVAILABLE and LEAVING_HEADER in names


async def _forward_to_owner(host, req, sink):
    """Forward a request to the owner of its identifier.

    Returns
    -------
    Success of None or Failure of Refusal
    """
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
    """Run a request here if the endpoints check identifiers; refuse it otherwise.

    Parameters
    ----------
    host : HostProcess
        This process.
    req : Request
        A request whose owner did not respond.
    sink : Sink
        Destination of the response.
    reason : str
        Ends "host NAME ..." in the refusal, such as "cannot be reached".

    Returns
    -------
    Success of None or Failure of Refusal
        The outcome of a refusal is always unknown, since the owner may have run the
        request.
    """
    if not req.route.checks_identifier:
        return Failure(_owner_lost_refusal(host, req, reason))
    # These endpoints run the requests of an identifier at most once, so sending the
    # request again is safe even if the owner has sent it.
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
