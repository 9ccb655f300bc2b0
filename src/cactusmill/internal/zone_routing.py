"""Where a request that may be repeated goes: own zone, another, or a queue."""

from .queues import MAX_WAIT_S
from .request import is_permitted
from .routing import choose_endpoint, make_candidate


def zone_candidates(host, req, zone):
    """Return the endpoints of a zone that may serve a job."""
    now = host.now()
    return [
        make_candidate(e, host.pool.state(e.name), now)
        for e in host.endpoints_for(req.service)
        if e.zone == zone and is_permitted(e.region, req.team, req.route)
    ]


def choose_zone_endpoint(host, req, progress):
    """Return the endpoint of the own zone to try next, or None."""
    is_suspect = host.suspects.crash_count(progress.digest, host.now()) > 0
    candidates = [
        c
        for c in zone_candidates(host, req, host.cfg.zone)
        if c.endpoint.name not in progress.tried
        and (
            not is_suspect or host.suspects.may_run_on(progress.digest, c.endpoint.name)
        )
    ]
    return choose_endpoint(candidates, req.affinity, host.rng)


def choose_spillover_peer(host, req, progress):
    """Return a host of another zone to forward to, if that is worth its cost."""
    peers = _peers_with_endpoints(host, req, progress)
    if not peers:
        return None
    # Of two at random the one with the shorter wait: hosts that heard the same
    # waits do not all choose the same zone.
    pair = host.rng.sample(peers, min(2, len(peers)))
    best = min(pair, key=lambda p: p.waits.get(req.service, 0.0))
    own = [
        c
        for c in zone_candidates(host, req, host.cfg.zone)
        if c.usable and c.endpoint.name not in progress.tried
    ]
    if own:
        saved_s = expected_wait_s(host, req, own) - best.waits.get(req.service, 0.0)
        if saved_s <= host.records.policy().wide_area_cost_s:
            return None
    return best


def _peers_with_endpoints(host, req, progress):
    zones = {
        e.zone
        for e in host.endpoints_for(req.service)
        if e.live and is_permitted(e.region, req.team, req.route)
    }
    zones -= progress.tried | {host.cfg.zone}
    return [
        p
        for p in host.peers.values()
        if p.host.zone in zones
        and p.is_reachable
        and not p.leaving
        and p.host.name not in progress.tried
        and is_permitted(p.host.region, req.team, req.route)
    ]


def expected_wait_s(host, req, candidates):
    """Return how long a job would wait for one of some endpoints, in seconds."""
    # The zone's hosts share its endpoints, so that this host's queue moves at
    # its share of their pace.
    capacity = sum(c.endpoint.capacity * c.ramp_up_fraction for c in candidates)
    queue = host.queue_for(req.service)
    return queue.expected_wait_s(
        req.team_name, capacity / host.count_zone_hosts(), host.team_weight
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
        and (c := make_candidate(e, host.pool.state(e.name), now)).usable
    ]
    if any(c.has_capacity for c in usable):
        return 0.0
    capacity = sum(c.endpoint.capacity * c.ramp_up_fraction for c in usable)
    queue = host.queue_for(service)
    wait_s = queue.expected_wait_s("", capacity / host.count_zone_hosts(), _equal)
    return min(wait_s, MAX_WAIT_S)


def _equal(team):
    return 1.0
