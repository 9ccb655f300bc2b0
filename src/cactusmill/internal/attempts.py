"""One attempt of a request at one endpoint."""

import attrs
import trio

from ..errors import (
    AnswerCutError,
    ConnectError,
    ConnectRefusedError,
    EndpointFailed,
    ExchangeError,
    NoEndpoint,
    Outcome,
    SilentEndpointError,
)
from .at_most_once import LEAVING_HEADER
from .chat import UsageMeter
from .endpoints import STALL_LIMIT_S, receive_data, receive_head, send_request
from .http import end_to_end_headers, header, is_chunked

LOAD_HEADER = b"x-endpoint-load"
_UNAVAILABLE = 503
_RETRY_S = 1.0
_STATUSES_WITHOUT_BODY = (204, 304)
# A reused connection that brings no answer for this long, and for several
# times what answers usually take, is replaced.
_SILENCE_S = 1.0
_SILENCE_FACTOR = 4.0
# The first attempt may use this part of the time, so that a connection gone
# silent leaves time for another.
_FIRST_ATTEMPT_PART = 0.5


@attrs.define
class RequestProgress:
    """Progress of one request over its attempts.

    Attributes
    ----------
    tried : set of str
        Endpoints, hosts and zones that could not serve it.
    digest : str
        By which suspects are known.
    meter : UsageMeter or None
        Counts the answer's tokens.
    was_sent : bool
        True once an endpoint may have received a byte.
    """

    tried: set
    digest: str
    meter: UsageMeter | None
    was_sent: bool = False


async def try_endpoint(host, req, sink, progress, endpoint):
    """Try one endpoint; return None if it answered, or why it did not."""
    state = host.pool.state(endpoint.name)
    state.in_flight += 1
    is_suspect = host.suspects.crash_count(progress.digest, host.now()) > 0
    if is_suspect:
        host.suspects.record_start(progress.digest, endpoint.name)
    began_at = host.now()
    try:
        return await _exchange(host, req, sink, progress, endpoint, state)
    finally:
        state.in_flight -= 1
        if is_suspect:
            host.suspects.record_stop(progress.digest, endpoint.name)
        queue = host.queue_for(req.service)
        queue.record_service_time(host.now() - began_at)
        queue.wake_next()


async def _exchange(host, req, sink, progress, endpoint, state):
    try:
        # A suspect gets a new connection: should the endpoint die, it is
        # certain then that it had been alive when the request was sent.
        is_suspect = host.suspects.crash_count(progress.digest, host.now()) > 0
        exchange = await host.pool.acquire(endpoint, host.now(), fresh=is_suspect)
    except ConnectError as exc:
        state.record_failure(host.now())
        progress.tried.add(endpoint.name)
        # Nothing was sent, so trying another endpoint costs no retry budget.
        return NoEndpoint(detail=str(exc), retry_after_s=_RETRY_S)
    is_whole = False
    try:
        refusal = await _send_and_await_head(
            host, req, progress, endpoint, state, exchange
        )
        if refusal is None:
            await _relay(host, req, sink, progress, endpoint, exchange)
            host.suspects.clear(progress.digest)
        is_whole = True
    finally:
        if not is_whole:
            await exchange.conn.close()
    return refusal


async def _send_and_await_head(host, req, progress, endpoint, state, exchange):
    """Return None once the head of a usable answer is there."""
    limit_s = _head_limit_s(host, req, progress, state, exchange)
    progress.was_sent = True
    sent_at = host.now()
    try:
        await send_request(exchange, endpoint, req, [])
        await receive_head(exchange, req, limit_s)
    except ExchangeError as exc:
        await exchange.conn.close()
        has_died = await _record_crash(host, req, progress, endpoint, exchange, exc)
        if exchange.reused:
            # Others that have been idle may be closed or silent too.
            await host.pool.drop_idle(endpoint)
        if has_died or not exchange.reused:
            progress.tried.add(endpoint.name)
            state.record_failure(host.now())
        return EndpointFailed(
            detail=f"the endpoint failed: {exc}",
            outcome=Outcome.UNKNOWN,
            retry_after_s=_RETRY_S,
        )
    load = header(exchange.headers, LOAD_HEADER)
    if load is not None and load.isdigit():
        state.reported_load, state.reported_at = int(load), host.now()
    if exchange.status == _UNAVAILABLE and header(exchange.headers, LEAVING_HEADER):
        state.leaving = True
        host.send_heartbeats_now()
        progress.tried.add(endpoint.name)
        await exchange.conn.close()
        return NoEndpoint(detail="the endpoint is leaving")
    state.record_success(host.now())
    state.record_ttfb(host.now() - sent_at)
    return None


def _head_limit_s(host, req, progress, state, exchange):
    """Return how long to wait for the answer's head on this attempt."""
    remaining_s = req.deadline - host.now()
    if exchange.reused:
        # Nothing has shown yet that the far side still knows the connection.
        return min(remaining_s, max(_SILENCE_S, _SILENCE_FACTOR * state.ttfb_s))
    return remaining_s * (1.0 if progress.was_sent else _FIRST_ATTEMPT_PART)


async def _relay(host, req, sink, progress, endpoint, exchange):
    try:
        await sink.head(exchange.status, end_to_end_headers(exchange.headers))
        target = _chunked_target(sink, exchange)
        if target is not None:
            await _relay_chunks(host, sink, progress, endpoint, exchange, target)
        else:
            await _relay_events(host, sink, progress, endpoint, exchange)
    except ExchangeError as exc:
        await _record_crash(host, req, progress, endpoint, exchange, exc)
        raise AnswerCutError(f"the endpoint failed inside its answer: {exc}") from exc
    host.retries.record_success(req.team_name, host.records.policy().retry_share)


def _chunked_target(sink, exchange):
    """Return the caller's transport if the body can be passed on as it is."""
    has_body = exchange.status not in _STATUSES_WITHOUT_BODY
    if sink.chunked_stream is None or not has_body or not is_chunked(exchange.headers):
        return None
    is_socket = isinstance(exchange.conn.stream, trio.SocketStream)
    return sink.chunked_stream() if is_socket else None


async def _relay_chunks(host, sink, progress, endpoint, exchange, target):
    first, _ = exchange.conn.h11.trailing_data
    on_data = progress.meter.feed if progress.meter is not None else None
    is_clean = await host.body_relay.relay(
        exchange.conn.stream, target, first, on_data, STALL_LIMIT_S
    )
    sink.end_chunked()
    if is_clean:
        host.pool.release_stream(endpoint, exchange.conn.stream, host.now())
    else:
        await exchange.conn.close()


async def _relay_events(host, sink, progress, endpoint, exchange):
    while (data := await receive_data(exchange)) is not None:
        if progress.meter is not None:
            progress.meter.feed(data)
        await sink.data(data)
    await sink.end()
    await host.pool.release(endpoint, exchange, host.now())


async def _record_crash(host, req, progress, endpoint, exchange, exc):
    """Suspect the request if its endpoint has died, and tell the fleet.

    Returns
    -------
    bool
        True if the endpoint refuses connections.
    """
    if isinstance(exc, SilentEndpointError):
        return False
    try:
        stream = await host.net.connect(endpoint.address, _RETRY_S)
    except ConnectRefusedError:
        pass
    except ConnectError:
        # Out of reach is not dead: a cut must not make suspects.
        return False
    else:
        await trio.aclose_forcefully(stream)
        return False
    if exchange.reused and host.suspects.crash_count(progress.digest, host.now()) > 0:
        # It may have been dead before the request was sent, so this death
        # makes a suspect but never condemns one.
        return True
    deaths = host.suspects.record_crash(progress.digest, host.now())
    # Told before the request is tried again or answered, so that a resend
    # through another host meets the knowledge of this death.
    await host.broadcast_suspect(req, progress.digest, deaths)
    return True
