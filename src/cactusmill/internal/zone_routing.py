"""Routing of repeatable requests to endpoints of the own zone or to another zone.

A repeatable request may be sent again after a failure, because its route declares
that running it twice does no harm. It runs on an endpoint of the host's own zone if
one has free capacity. Otherwise it may spill over: the host forwards it to a host of
another zone. :mod:`cactusmill.internal.repeatable` makes the attempts, and queues
the request if there is no target.

The functions take the `HostProcess` of this process as `host`, and the request's
`RequestProgress` as `progress`.
"""

from .queues import MAX_WAIT_S
from .request import is_permitted
from .routing import choose_endpoint, make_candidate


def zone_candidates(host, req, zone):
    """Return the endpoints of a zone that are permitted to serve a request.

    Returns
    -------
    list of Candidate
        Endpoints in regions that the team and the route permit. Includes endpoints
        that are not usable at present or have no free capacity.
    """
    now = host.now()
    return [
        make_candidate(e, host.pool.state(e.name), now)
        for e in host.endpoints_for(req.service)
        if e.zone == zone and is_permitted(e.region, req.team, req.route)
    ]


def choose_zone_endpoint(host, req, progress):
    """Return the endpoint of the local zone to try next.

    A request that was running when an endpoint crashed is a suspect. It runs only on
    endpoints on which no other suspect is running, so that a further crash shows
    which of them causes it.

    Returns
    -------
    Endpoint or None
        None if no endpoint that was not tried yet is usable and has free capacity.
    """
    is_suspect = host.containment.crash_count(progress.culprits) > 0
    candidates = [
        c
        for c in zone_candidates(host, req, host.cfg.zone)
        if c.endpoint.name not in progress.tried
        and (
            not is_suspect
            or host.running_suspects.may_run_on(
                progress.culprits.request, c.endpoint.name
            )
        )
    ]
    return choose_endpoint(candidates, req.affinity, host.rng)


def choose_spillover_peer(host, req, progress):
    """Return a host of another zone to forward a request to, or None.

    While the local zone has a usable endpoint that was not tried yet, a request
    spills over only if that shortens its expected wait by more than
    `wide_area_cost_s` of the published policy.
    """
    peers = _peers_with_endpoints(host, req, progress)
    if not peers:
        return None
    # Choosing from two random peers prevents that all hosts, which have received the
    # same reports of waits, forward to the same zone. A peer that reports no wait for
    # the service has free capacity.
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
    """Return the expected queueing time of a request on this host.

    Parameters
    ----------
    host : HostProcess
        This process.
    req : Request
        The request, not queued yet.
    candidates : list of Candidate
        Endpoints of the local zone that could serve it.

    Returns
    -------
    float
        Time in seconds; infinite without candidates.
    """
    # All hosts of the zone use its endpoints, so this host's queue is assumed to be
    # served with an equal part of their capacity.
    capacity = sum(c.endpoint.capacity * c.ramp_up_fraction for c in candidates)
    queue = host.queue_for(req.service)
    return queue.expected_wait_s(
        req.team_name, capacity / host.count_zone_hosts(), host.team_weight
    )


def zone_wait_s(host, service):
    """Return the wait of a new request in this zone, to be reported to other hosts.

    Parameters
    ----------
    host : HostProcess
        This process.
    service : str
        Name of the model or service.

    Returns
    -------
    float
        Expected wait in seconds, for a request of a team without queued requests: 0
        while a usable endpoint has free capacity, otherwise at most `MAX_WAIT_S`,
        which is also returned if no endpoint is usable.
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


def _equal_weight(team_name):
    return 1.0
