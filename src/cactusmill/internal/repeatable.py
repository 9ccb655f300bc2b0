"""Requests that may be repeated: chosen endpoints, retries, spill to a zone."""

import attrs
import trio
from returns.result import Failure, Success

from ..errors import (
    AnswerCutError,
    CallerGoneError,
    ConnectError,
    DeadlineExceeded,
    EndpointFailed,
    ExchangeError,
    ForwardRefusedError,
    LinkClosedError,
    NoEndpoint,
    Outcome,
    Overloaded,
    RequestSuspected,
    SilentEndpointError,
)
from .admission import admit
from .chat import UsageMeter
from .endpoints import STALL_LIMIT_S, receive_data, receive_head, send_request
from .forwarding import forward
from .http import end_to_end, header, is_chunked
from .job import is_permitted
from .once import LEAVING_HEADER
from .queues import MAX_WAIT_S, MAX_WAITING_PER_TEAM
from .routing import candidate, choose_endpoint
from .suspects import MEMORY_S, request_digest

LOAD_HEADER = b"x-endpoint-load"
_NO_ENDPOINT_RETRY_S = 1.0
_STATUSES_WITHOUT_BODY = (204, 304)
# A reused connection that brings no answer for this long, and for several
# times what answers usually take, is replaced.
_SILENCE_S = 1.0
_SILENCE_FACTOR = 4.0
# The first attempt may use this part of the time, so that a connection gone
# silent leaves time for another.
_FIRST_ATTEMPT_PART = 0.5


@attrs.define
class _Run:
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


async def run_repeatable(host, job, sink, is_forwarded=False):
    """Run a request that may be repeated.

    Parameters
    ----------
    host : HostProcess
        This process.
    job : Job
        The request.
    sink : Sink
        Where the answer goes.
    is_forwarded : bool
        True if another host accepted and charged it.

    Returns
    -------
    Success of None or Failure of Refusal

    Raises
    ------
    AnswerCutError
        If the answer broke after its head was passed on.
    """
    reservation = None
    if not is_forwarded:
        match await admit(host, job):
            case Failure(refusal):
                return Failure(refusal)
            case Success(reservation):
                pass
    meter = None
    if job.route.kind == "model":
        meter = UsageMeter(job.prompt_tokens, job.is_stream)
    digest = request_digest(host.cfg.link_secret, job)
    run = _Run(set(), digest, meter)
    used = 0.0
    try:
        result = await _attempts(host, job, sink, run, is_forwarded)
        match result:
            case Success(_):
                used = meter.used() if meter else job.cost_tokens
        return result
    except (AnswerCutError, CallerGoneError, trio.Cancelled):
        used = meter.used() if meter and run.was_sent else 0.0
        raise
    finally:
        if reservation is not None:
            host.limiter.settle(reservation, used, host.now())


async def _attempts(host, job, sink, run, is_forwarded):
    if len(host.queue_for(job.service)) > 0:
        # Whoever waits already goes first, even if there is room by now.
        refusal = await _wait_for_room(host, job, run)
        if refusal is not None:
            return Failure(refusal)
    while True:
        now = host.now()
        if now >= job.deadline:
            return Failure(_deadline_exceeded(run))
        if host.suspects.is_condemned(run.digest, now):
            return Failure(_condemned())
        endpoint = _choose(host, job, run)
        if endpoint is not None:
            refusal = await _attempt(host, job, sink, run, endpoint)
            if refusal is None:
                return Success(None)
            if not _may_retry(host, job, refusal):
                return Failure(refusal)
            continue
        if not is_forwarded:
            peer = _spill_peer(host, job, run)
            if peer is not None:
                run.was_sent = True
                try:
                    return await forward(host, peer, job, _metered(sink, run))
                except (LinkClosedError, ForwardRefusedError):
                    run.tried.add(peer.host.name)
                    run.tried.add(peer.host.zone)
                    continue
        refusal = await _wait_for_room(host, job, run)
        if refusal is not None:
            return Failure(refusal)


def _metered(sink, run):
    """Count the tokens of an answer that another host relays."""
    if run.meter is None:
        return sink

    async def data(chunk):
        run.meter.feed(chunk)
        await sink.data(chunk)

    return attrs.evolve(sink, data=data)


def _deadline_exceeded(run):
    return DeadlineExceeded(
        detail="no answer began before the route's timeout",
        outcome=Outcome.UNKNOWN if run.was_sent else Outcome.NOT_RUN,
        retry_after_s=1.0,
    )


def _condemned():
    return RequestSuspected(
        detail="endpoints died while they ran this request; it is refused for now",
        outcome=Outcome.UNKNOWN,
        retry_after_s=MEMORY_S,
    )


def _may_retry(host, job, refusal):
    """Decide on another attempt; one that sent no work costs no budget."""
    if isinstance(refusal, NoEndpoint):
        return True
    return host.retries.spend(job.team_name)


def _candidates(host, job, zone):
    now = host.now()
    return [
        candidate(e, host.pool.state(e.name), now)
        for e in host.endpoints_for(job.service)
        if e.zone == zone and is_permitted(e.region, job.team, job.route)
    ]


def _choose(host, job, run):
    is_suspect = host.suspects.deaths(run.digest, host.now()) > 0
    candidates = [
        c
        for c in _candidates(host, job, host.cfg.zone)
        if c.endpoint.name not in run.tried
        and (not is_suspect or host.suspects.may_run_on(run.digest, c.endpoint.name))
    ]
    return choose_endpoint(candidates, job.affinity, host.rng)


def _spill_peer(host, job, run):
    """Return a host of another zone to forward to, if that is worth its cost."""
    peers = _peers_with_endpoints(host, job, run)
    if not peers:
        return None
    # Of two at random the one with the shorter wait: hosts that heard the same
    # waits do not all choose the same zone.
    pair = host.rng.sample(peers, min(2, len(peers)))
    best = min(pair, key=lambda p: p.waits.get(job.service, 0.0))
    own = [
        c
        for c in _candidates(host, job, host.cfg.zone)
        if c.usable and c.endpoint.name not in run.tried
    ]
    if own:
        saved_s = _expected_wait(host, job, own) - best.waits.get(job.service, 0.0)
        if saved_s <= host.book.policy().wide_area_cost_s:
            return None
    return best


def _peers_with_endpoints(host, job, run):
    zones = {
        e.zone
        for e in host.endpoints_for(job.service)
        if e.live and is_permitted(e.region, job.team, job.route)
    }
    zones -= run.tried | {host.cfg.zone}
    return [
        p
        for p in host.peers.values()
        if p.host.zone in zones
        and p.is_reachable
        and not p.leaving
        and p.host.name not in run.tried
        and is_permitted(p.host.region, job.team, job.route)
    ]


def _expected_wait(host, job, candidates):
    # The zone's hosts share its endpoints, so that this host's queue moves at
    # its share of their pace.
    capacity = sum(c.endpoint.capacity * c.ramp for c in candidates)
    queue = host.queue_for(job.service)
    return queue.expected_wait_s(
        job.team_name, capacity / host.count_zone_hosts(), host.weight_of
    )


def zone_wait_s(host, service):
    """Return the wait of a new request in this host's zone, in seconds.

    Parameters
    ----------
    host : HostProcess
        This process.
    service : str
        Model or service.

    Returns
    -------
    float
        0 while an endpoint has room; endless if there is none.
    """
    now = host.now()
    usable = [
        c
        for e in host.endpoints_for(service)
        if e.zone == host.cfg.zone
        and (c := candidate(e, host.pool.state(e.name), now)).usable
    ]
    if any(c.has_room for c in usable):
        return 0.0
    capacity = sum(c.endpoint.capacity * c.ramp for c in usable)
    queue = host.queue_for(service)
    wait_s = queue.expected_wait_s("", capacity / host.count_zone_hosts(), _equal)
    return min(wait_s, MAX_WAIT_S)


def _equal(team):
    return 1.0


async def _wait_for_room(host, job, run):
    """Wait for a turn in the fair queue, or return the refusal."""
    own = [
        c
        for c in _candidates(host, job, host.cfg.zone)
        if c.endpoint.live and c.endpoint.name not in run.tried
    ]
    if not any(c.usable for c in own):
        return NoEndpoint(
            detail=f"no permitted endpoint that serves {job.service!r} is reachable",
            outcome=Outcome.UNKNOWN if run.was_sent else Outcome.NOT_RUN,
            retry_after_s=_NO_ENDPOINT_RETRY_S,
        )
    queue = host.queue_for(job.service)
    wait_s = _expected_wait(host, job, own)
    room_s = min(MAX_WAIT_S, job.deadline - host.now())
    if wait_s > room_s or queue.waiting_of(job.team_name) >= MAX_WAITING_PER_TEAM:
        return Overloaded(
            detail=f"the wait of {wait_s:.1f} s would exceed {room_s:.1f} s",
            outcome=Outcome.UNKNOWN if run.was_sent else Outcome.NOT_RUN,
            retry_after_s=wait_s,
        )
    cost = max(1.0, job.cost_tokens)
    ticket = queue.enter(job.team_name, cost, host.weight_of(job.team_name))
    try:
        with trio.move_on_after(room_s):
            await ticket.called.wait()
            return None
    finally:
        queue.leave(ticket)
    return Overloaded(
        detail=f"no endpoint had room within {room_s:.1f} s",
        outcome=Outcome.UNKNOWN if run.was_sent else Outcome.NOT_RUN,
        retry_after_s=queue.service_time_s,
    )


async def _attempt(host, job, sink, run, endpoint):
    """Try one endpoint; return None if it answered, or why it did not."""
    state = host.pool.state(endpoint.name)
    state.in_flight += 1
    is_suspect = host.suspects.deaths(run.digest, host.now()) > 0
    if is_suspect:
        host.suspects.start(run.digest, endpoint.name)
    began_at = host.now()
    try:
        return await _exchange(host, job, sink, run, endpoint, state)
    finally:
        state.in_flight -= 1
        if is_suspect:
            host.suspects.stop(run.digest, endpoint.name)
        queue = host.queue_for(job.service)
        queue.note_service_time(host.now() - began_at)
        queue.call_next()


async def _exchange(host, job, sink, run, endpoint, state):
    try:
        # A suspect gets a new connection: should the endpoint die, it is
        # certain then that it had been alive when the request was sent.
        is_suspect = host.suspects.deaths(run.digest, host.now()) > 0
        exchange = await host.pool.open(endpoint, host.now(), fresh=is_suspect)
    except ConnectError as exc:
        state.note_failure(host.now())
        run.tried.add(endpoint.name)
        # Nothing was sent, so trying another endpoint costs no retry budget.
        return NoEndpoint(detail=str(exc), retry_after_s=_NO_ENDPOINT_RETRY_S)
    is_whole = False
    try:
        refusal = await _send_and_await_head(host, job, run, endpoint, state, exchange)
        if refusal is None:
            await _relay(host, job, sink, run, endpoint, exchange)
            host.suspects.clear(run.digest)
        is_whole = True
    finally:
        if not is_whole:
            await exchange.conn.close()
    return refusal


async def _send_and_await_head(host, job, run, endpoint, state, exchange):
    """Return None once the head of a usable answer is there."""
    limit_s = _head_limit_s(host, job, run, state, exchange)
    run.was_sent = True
    sent_at = host.now()
    try:
        await send_request(exchange, endpoint, job, [])
        await receive_head(exchange, job, limit_s)
    except ExchangeError as exc:
        await exchange.conn.close()
        has_died = await _note_death(host, job, run, endpoint, exchange, exc)
        if exchange.reused:
            # Others that have been idle may be closed or silent too.
            await host.pool.drop_idle(endpoint)
        if has_died or not exchange.reused:
            run.tried.add(endpoint.name)
            state.note_failure(host.now())
        return EndpointFailed(
            detail=f"the endpoint failed: {exc}",
            outcome=Outcome.UNKNOWN,
            retry_after_s=_NO_ENDPOINT_RETRY_S,
        )
    load = header(exchange.headers, LOAD_HEADER)
    if load is not None and load.isdigit():
        state.reported_load, state.reported_at = int(load), host.now()
    if exchange.status == 503 and header(exchange.headers, LEAVING_HEADER):
        state.leaving = True
        host.announce()
        run.tried.add(endpoint.name)
        await exchange.conn.close()
        return NoEndpoint(detail="the endpoint is leaving")
    state.note_success(host.now())
    state.note_head_time(host.now() - sent_at)
    return None


def _head_limit_s(host, job, run, state, exchange):
    """Return how long to wait for the answer's head on this attempt."""
    remaining_s = job.deadline - host.now()
    if exchange.reused:
        # Nothing has shown yet that the far side still knows the connection.
        return min(remaining_s, max(_SILENCE_S, _SILENCE_FACTOR * state.head_time_s))
    return remaining_s * (1.0 if run.was_sent else _FIRST_ATTEMPT_PART)


async def _relay(host, job, sink, run, endpoint, exchange):
    try:
        await sink.head(exchange.status, end_to_end(exchange.headers))
        target = _chunked_target(sink, exchange)
        if target is not None:
            await _relay_chunks(host, sink, run, endpoint, exchange, target)
        else:
            await _relay_events(host, sink, run, endpoint, exchange)
    except ExchangeError as exc:
        await _note_death(host, job, run, endpoint, exchange, exc)
        raise AnswerCutError(f"the endpoint failed inside its answer: {exc}") from exc
    host.retries.note_success(job.team_name, host.book.policy().retry_share)


def _chunked_target(sink, exchange):
    """Return the caller's transport if the body can be passed on as it is."""
    has_body = exchange.status not in _STATUSES_WITHOUT_BODY
    if sink.chunked_stream is None or not has_body or not is_chunked(exchange.headers):
        return None
    is_socket = isinstance(exchange.conn.stream, trio.SocketStream)
    return sink.chunked_stream() if is_socket else None


async def _relay_chunks(host, sink, run, endpoint, exchange, target):
    first, _ = exchange.conn.h11.trailing_data
    on_data = run.meter.feed if run.meter is not None else None
    is_clean = await host.relay_hub.relay(
        exchange.conn.stream, target, first, on_data, STALL_LIMIT_S
    )
    sink.end_chunked()
    if is_clean:
        host.pool.keep(endpoint, exchange.conn.stream, host.now())
    else:
        await exchange.conn.close()


async def _relay_events(host, sink, run, endpoint, exchange):
    while (data := await receive_data(exchange)) is not None:
        if run.meter is not None:
            run.meter.feed(data)
        await sink.data(data)
    await sink.end()
    await host.pool.finish(endpoint, exchange, host.now())


async def _note_death(host, job, run, endpoint, exchange, exc):
    """Suspect the request if its endpoint has died, and tell the fleet.

    Returns
    -------
    bool
        True if the endpoint refuses connections.
    """
    if isinstance(exc, SilentEndpointError):
        return False
    try:
        stream = await host.net.connect(endpoint.address, _NO_ENDPOINT_RETRY_S)
    except ConnectError:
        pass
    else:
        await trio.aclose_forcefully(stream)
        return False
    if exchange.reused and host.suspects.deaths(run.digest, host.now()) > 0:
        # It may have been dead before the request was sent, so this death
        # makes a suspect but never condemns one.
        return True
    deaths = host.suspects.note_death(run.digest, host.now())
    # Told before the request is tried again or answered, so that a resend
    # through another host meets the knowledge of this death.
    await host.tell_suspect(job, run.digest, deaths)
    return True
