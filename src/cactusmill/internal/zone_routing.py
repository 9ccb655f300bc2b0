"""Routing of repeatable requests: local zone, spillover to another, or queue."""

from .queues import MAX_WAIT_S
from .request import is_permitted
from .routing import choose_endpoint, make_candidate


def zone_candidates(host, req, zone):
    """Return the endpoints of a zone that may serve a request, as candidates."""
    now = host.now()
    return [
        make_candidate(e, host.pool.state(e.name), now)
        for e in host.endpoints_for(req.service)
        if e.zone == zone and is_permitted(e.region, req.team, req.route)
    ]


def choose_zone_endpoint(host, req, progress):
    """Return the endpoint of the local zone to try next, or None."""
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
    """Return a peer in another zone to forward to, or None.

    While the local zone has usable endpoints, a request spills over only if that
    shortens its expected wait by more than the policy's `wide_area_cost_s`.
    """
    peers = _peers_with_endpoints(host, req, progress)
    if not peers:
        return None
    # The peer with the shorter wait of two random ones, so that hosts with the same
    # wait reports do not all choose the same zone.
    sampled = host.rng.sample(peers, min(2, len(peers)))
    best = min(sampled, key=lambda p: p.waits.get(req.service, 0.0))
    local = [
        c
        for c in zone_candidates(host, req, host.cfg.zone)
        if c.usable and c.endpoint.name not in progress.tried
    ]
    if local:
        saved_s = expected_wait_s(host, req, local) - best.waits.get(req.service, 0.0)
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
    """Return the expected queueing time for a set of local candidates, in seconds."""
    # All hosts of the zone share its endpoints, so this host's queue is served with
    # only its share of their capacity.
    capacity = sum(c.endpoint.capacity * c.ramp_up_fraction for c in candidates)
    queue = host.queue_for(req.service)
    return queue.expected_wait_s(
        req.team_name, capacity / host.count_zone_hosts(), host.team_weight
    )


def zone_wait_s(host, service):
    """Return the expected wait of a new request in this host's zone, in seconds.

    Parameters
    ----------
    host : HostProcess
        This process.
    service : str
        Model or service.

    Returns
    -------
    float
        0 while an endpoint has capacity; at most `MAX_WAIT_S`, also if no endpoint
        is usable.
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
    wait_s = queue.expected_wait_s(
        "", capacity / host.count_zone_hosts(), _equal_weight
    )
    return min(wait_s, MAX_WAIT_S)


def _equal_weight(team):
    return 1.0
