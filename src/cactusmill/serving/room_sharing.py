"""Connects the division of capacity between regions with the state of a host.

The decisions are those of :mod:`.scheduling.region_room`. Nothing here has an effect
for services whose capacity is not divided (`GatewayHost.divided_services`).

All times are seconds of the process's monotonic clock.
"""

from ..internal.request import is_permitted
from .events import log_event
from .heartbeats import REGION_HEARTBEAT_S
from .overload import Send
from .scheduling.region_room import OwnRegion, compute_room

# Maximum age of another host's report of what it wants to forward: three rounds of
# heartbeats, as for reports of load.
_WANTS_VALID_S = 3.1 * REGION_HEARTBEAT_S


def compute_rooms(host, now):
    """Return the room of each divided service in this region.

    Returns
    -------
    dict of str to float
        Tokens per second, by service; 0 without an endpoint that accepts requests.
    """
    services = host.divided_services(now)
    host.rooms.keep_only(services)
    rooms = {}
    for name in services:
        loads = host.placement.prefill_loads(
            host.catalog, host.service(name), host.membership, now
        )
        room = compute_room(loads, host.home_tokens_per_s(name, now))
        capacity = sum(rate for rate, _ in loads)
        rooms[name] = host.rooms.report(name, room, capacity, now)
    return rooms


def region_wants(host, now):
    """Return what the region's hosts want to forward together.

    Returns
    -------
    dict of str to float
        Tokens per second, by service; without services of which nothing is wanted.
    """
    services = host.divided_services(now)
    if not services:
        return {}
    others = _wants_of_others(host, services, now)
    own = host.allowances.wanted(services, now)
    totals = {name: own.get(name, 0.0) + others.get(name, 0.0) for name in services}
    return {name: total for name, total in totals.items() if total >= 1}


def update_allowances(host, now):
    """Compute what this host may forward to each other region."""
    services = host.divided_services(now)
    if not services and not host.allowances.allowances():
        return
    own = OwnRegion(
        services=services,
        hosts=host.count_region_hosts(now),
        wanted=_wants_of_others(host, services, now),
    )
    host.allowances.update(host.membership.regions(), own, now)


def _wants_of_others(host, services, now):
    """Return what the other hosts of the region want; empty if none has reported."""
    wants = host.membership.wants
    wants.remove_older(now - _WANTS_VALID_S)
    if not wants.has_any():
        return {}
    others = host.count_region_hosts(now) - 1
    return {name: wants.at(name, others)[1] for name in services}


def count_tokens(req, service, local):
    """Return the tokens of a request by which its forwarding is limited.

    Parameters
    ----------
    req : Request
        The request.
    service : Service
        Its service.
    local : Choice or None
        Best endpoint of the local region. Other regions have probably cached as much of
        the prompt; without one, all but the last segment counts as cached.

    Returns
    -------
    int
        At least 1, and 1 for plain services.
    """
    if not service.is_engine:
        return 1
    if local is not None:
        return max(1, local.uncached_tokens)
    if req.prompt_segments:
        return max(1, req.prompt_segments[-1][1])
    return max(1, req.prompt_tokens)


def may_forward(host, req, tokens, region, now):
    """Return whether the allowance at a region permits to forward a request.

    A request that may not run in the local region is home demand of those where it may,
    and not limited.
    """
    return (
        req.service not in host.divided_services(now)
        or not is_permitted(host.cfg.region, req.team, req.route)
        or host.allowances.may_forward(region, req.service, tokens, now)
    )


def record_demand(host, req, progress, step, tokens, now):
    """Record once that a caller's request was asked for, and if it is to be forwarded.

    Parameters
    ----------
    host : GatewayHost
        This process.
    req : Request
        The request.
    progress : Progress
        Its state.
    step : Send, ForwardTo or Refusal
        What was decided. A request that is neither sent to a local endpoint nor
        forwarded for lack of allowance is wanted elsewhere too.
    tokens : int
        Result of :func:`count_tokens`.
    now : float
        Current time, in seconds.
    """
    progress.forward_tokens = 0
    if req.service not in host.divided_services(now):
        return
    if not is_permitted(host.cfg.region, req.team, req.route):
        return
    progress.forward_tokens = tokens
    if not progress.is_asked_counted:
        progress.is_asked_counted = True
        host.rooms.asked.record(req.service, tokens, now)
    is_wanted = not isinstance(step, Send) and not progress.is_wanted_counted
    if is_wanted and _may_run_elsewhere(host, req):
        progress.is_wanted_counted = True
        host.allowances.wants.record(req.service, tokens, now)


def _may_run_elsewhere(host, req):
    return any(
        is_permitted(totals.region, req.team, req.route)
        for totals in host.membership.regions()
    )


def log_rooms(host):
    """Log the rooms of this region that opened or closed."""
    for service, is_open, tokens_per_s in host.rooms.take_changes():
        log_event(
            "region_room_opened" if is_open else "region_room_closed",
            service=service,
            tokens_per_s=round(tokens_per_s),
        )


def gauges(host):
    """Return the gauges of the division by name; none if no service is divided."""
    return {
        **{f"region_room_{name}": room for name, room in host.rooms.rooms.items()},
        **{
            f"forward_allowance_{region}_{name}": allowance
            for (region, name), allowance in host.allowances.allowances().items()
        },
        **{
            f"forwarded_tokens_{region}": tokens
            for region, tokens in host.allowances.forwarded_tokens.items()
        },
    }
