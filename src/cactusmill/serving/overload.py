"""Overload policy: serve a request locally, forward it to another region, or refuse it.

Used by the dispatcher for every attempt of a request. The regions receive over
twice what their engines can process, at different times. A request that meets its
latency objective goes to an endpoint of the local region; otherwise to a region
whose wait leaves time for the round trip; otherwise it is refused at once, with the
time at which capacity will be free. Engines therefore never queue more than about
one objective's worth of prompts, so that admitted requests are on time. Prompts
with a long prefill are refused first where streams have become slow, since an
engine that is always in prefill completes no long response in time.
"""

import attrs

from ..errors import NoEndpoint, Outcome, Overloaded

# Fraction of the objective that predictions may use; the rest covers their error.
OBJECTIVE_FRACTION = 0.85
# Prompts with a longer prefill are heavy: each delays all streams beside it.
HEAVY_PREFILL_S = 0.02
# With this time between events, streams of usual length still end in time. Endpoints
# with slower streams accept fewer heavy prompts.
EVENT_GAP_S = 0.15
# The same as a fraction of the longest pause that counts as on time, where that gives
# more: at 0.4 s both are equal.
_EVENT_GAP_FRACTION = 0.375
# Fraction of the time to the deadline that a response may take. Response lengths are
# estimates (the median of the actual lengths).
DEADLINE_FRACTION = 1.0
# Round trip between regions, with the processing at both hosts.
CROSS_REGION_RTT_S = 0.2
# Minimum time that forwarding a prompt must save besides the round trip, since
# traffic between regions is expensive. Requests of plain services are small.
MIN_CROSS_REGION_GAIN_S = 0.1
# Least time by which a refused request is taken to exceed its limit, when its retry
# time is computed.
_MIN_RETRY_S = 0.15
_MAX_RETRY_S = 4.0
# Random fraction that is added to a retry time, so that callers do not return
# together.
_RETRY_JITTER = 0.5
# Least retry time of a request refused by its rank: the level does not change sooner.
_MIN_RANK_RETRY_S = 0.6
_NO_ENDPOINT_RETRY_S = 0.6
# Largest random time added to the wait that a region reports.
_CROSS_REGION_JITTER_S = 0.1


@attrs.frozen(kw_only=True)
class Send:
    """Send the request to an endpoint of the local region.

    Attributes
    ----------
    choice : Choice
        The endpoint and its predictions.
    """

    choice: object


@attrs.frozen(kw_only=True)
class ForwardTo:
    """Forward the request to a host of another region.

    Attributes
    ----------
    member : Member
        The host.
    reported_wait_s : float
        Wait that its region reports, in seconds.
    """

    member: object
    reported_wait_s: float


def decide(
    *,
    local,
    remote,
    objective_s,
    deadline_s,
    is_engine,
    jitter,
    retry_schedule,
    endpoints_per_host,
    now,
    max_gap_s=0.0,
    is_most_urgent=False,
    is_admitted=True,
):
    """Decide what to do with a request now.

    Parameters
    ----------
    local : Choice or None
        Best endpoint of the local region.
    remote : tuple of (Member, float) or None
        Host of another region and the wait reported there, in seconds.
    objective_s : float
        Time left of the latency objective, in seconds.
    deadline_s : float
        Time left until the deadline, in seconds.
    is_engine : bool
        True for engines, which queue prompts. Plain services reject excess
        requests themselves.
    jitter : float
        Random number between 0 and 1.
    retry_schedule : RetrySchedule
        Retry times of callers that were refused for lack of capacity.
    endpoints_per_host : float
        Endpoints of the region divided by its hosts: the seconds of prefill per
        second that this host may count on.
    now : float
        Current time, in seconds.
    max_gap_s : float
        Longest pause between events that counts as on time, in seconds; 0 if unknown.
    is_most_urgent : bool
        True for the most urgent rank of a ranked service, whose heavy prompts are
        accepted also where streams are slow.
    is_admitted : bool
        False for a patient request beyond the level of its service (see
        :mod:`.scheduling.rank_levels`), which is forwarded or refused.

    Returns
    -------
    Send, ForwardTo or Refusal
    """
    ttft_limit_s = objective_s * OBJECTIVE_FRACTION
    if local is not None and not is_admitted:
        # The level is that of this region; another one may have capacity.
        if remote is not None and remote[1] + CROSS_REGION_RTT_S <= ttft_limit_s:
            return ForwardTo(member=remote[0], reported_wait_s=remote[1])
        return _refuse_by_rank(
            local, ttft_limit_s, jitter, retry_schedule, endpoints_per_host, now
        )
    is_heavy = local is not None and local.prefill_s > HEAVY_PREFILL_S
    if is_heavy and not is_most_urgent:
        ttft_limit_s *= min(1.0, _event_gap_limit_s(max_gap_s) / local.event_gap_s)
    is_on_time = local is not None and _is_on_time(local, ttft_limit_s, deadline_s)
    is_remote_better = _is_remote_better(
        local, remote, MIN_CROSS_REGION_GAIN_S if is_engine else 0.0
    )
    if is_on_time and not is_remote_better:
        return Send(choice=local)
    if remote is not None and (is_engine or local is None or is_remote_better):
        member, wait_s = remote
        remote_ttft_s = wait_s + CROSS_REGION_RTT_S
        if remote_ttft_s <= ttft_limit_s or (
            local is None and remote_ttft_s <= deadline_s
        ):
            return ForwardTo(member=member, reported_wait_s=wait_s)
    if local is not None and not is_engine:
        return Send(choice=local)
    if local is None:
        return NoEndpoint(
            detail="no permitted endpoint takes requests now",
            outcome=Outcome.NOT_RUN,
            retry_after_s=_NO_ENDPOINT_RETRY_S * (1 + _RETRY_JITTER * jitter),
        )
    if objective_s <= 0 and local.ttft_s <= deadline_s * OBJECTIVE_FRACTION:
        return Send(choice=local)
    excess_s = max(_MIN_RETRY_S, local.ttft_s - ttft_limit_s / 2)
    wait_s = retry_schedule.reserve(local.prefill_s, excess_s, endpoints_per_host, now)
    return Overloaded(
        detail=f"an answer would begin in {local.ttft_s:.2f} s and end in "
        f"{local.total_s:.2f} s; there are {ttft_limit_s:.2f} s and {deadline_s:.2f} s",
        outcome=Outcome.NOT_RUN,
        retry_after_s=min(_MAX_RETRY_S, wait_s * (1 + _RETRY_JITTER * jitter)),
    )


def _event_gap_limit_s(max_gap_s):
    """Return the pause between events above which fewer heavy prompts are accepted."""
    # Rounded, since 0.375 * 0.4 is more than 0.15 in floating point.
    return max(EVENT_GAP_S, round(_EVENT_GAP_FRACTION * max_gap_s, 6))


def _refuse_by_rank(
    local, ttft_limit_s, jitter, retry_schedule, endpoints_per_host, now
):
    """Refuse a patient request; the parameters are those of :func:`decide`."""
    excess_s = max(_MIN_RETRY_S, local.ttft_s - ttft_limit_s / 2)
    wait_s = retry_schedule.reserve(local.prefill_s, excess_s, endpoints_per_host, now)
    wait_s = max(_MIN_RANK_RETRY_S, wait_s)
    return Overloaded(
        detail="more urgent requests of the service are refused; this one may wait",
        outcome=Outcome.NOT_RUN,
        retry_after_s=min(_MAX_RETRY_S, wait_s * (1 + _RETRY_JITTER * jitter)),
    )


def _is_remote_better(local, remote, min_gain_s):
    """Return whether another region would respond sooner by more than the gain.

    The expected cost of rejections is added to the local wait, since they do not
    show in the queue of an endpoint.
    """
    if local is None or remote is None:
        return remote is not None
    return (
        remote[1] + CROSS_REGION_RTT_S + min_gain_s
        < local.ttft_s + local.failure_cost_s
    )


def _is_on_time(local, ttft_limit_s, deadline_s):
    """Return whether a local response would begin and end in time."""
    return (
        local.ttft_s <= ttft_limit_s and local.total_s <= deadline_s * DEADLINE_FRACTION
    )


def choose_remote_host(
    members,
    regions,
    service,
    is_permitted,
    backoff_until,
    now,
    rng,
    may_forward=None,
):
    """Choose a host of another region to forward a request to.

    Takes the region with the shortest reported wait and a random host of it. A
    region that has refused a request is skipped for as long as it asked to wait, and
    one whose allowance is used up.

    Parameters
    ----------
    members : list of Member
        Hosts of other regions that accept requests.
    regions : list of RegionTotals
        Waits that the other regions report.
    service : str
        Name of the service.
    is_permitted : callable
        ``is_permitted(region)`` returns whether the request may run in a region.
    backoff_until : dict of (str, str) to float
        By region and service, the time until which it is skipped, in seconds.
    now : float
        Current time, in seconds.
    rng : random.Random
        Source of the jitter and of the choice among hosts.
    may_forward : callable or None
        ``may_forward(region)`` returns whether the allowance at a region suffices for
        the request. None if the capacity of the service is not divided.

    Returns
    -------
    tuple of (Member, float) or None
        The host and the wait in its region, in seconds.
    """
    hosts = {}
    for member in members:
        hosts.setdefault(member.id.region, []).append(member)
    # Jitter keeps hosts with the same reports from choosing the same region.
    waits = {
        totals.region: totals.waits[service] + rng.random() * _CROSS_REGION_JITTER_S
        for totals in regions
        if service in totals.waits
        and totals.region in hosts
        and is_permitted(totals.region)
        and backoff_until.get((totals.region, service), 0.0) <= now
        and (may_forward is None or may_forward(totals.region))
    }
    if not waits:
        return None
    region = min(waits, key=waits.get)
    return rng.choice(hosts[region]), waits[region]
