"""What to do with a request: send it, have another region run it, or refuse.

The load it answers: regions that are offered over twice what their engines can
read, at different times. A request that would begin in time goes to the own
region's endpoint; else to a region whose wait leaves time for the way there;
else it is refused at once, with the time at which there will be room. Engines
then never hold more than about one objective's worth of prompts, so that what
is admitted is on time. Heavy prompts yield first where streams have become
slow, since an engine that reads all the time ends no long answer in time.
"""

import attrs

from ..errors import NoEndpoint, Outcome, Overloaded

# Part of the objective that predictions may fill; the rest is for their error.
OBJECTIVE_PART = 0.85
# Prompts that take longer to read are heavy: each delays all streams beside it.
HEAVY_S = 0.02
# Streams of usual length still end in time at this gap between events. Heavy
# prompts find less room at engines whose streams are slower.
EVENT_GAP_S = 0.15
# Lengths of answers are known roughly, as the median of what comes: those over
# the deadline are turned away.
WHOLE_PART = 1.0
# There and back between regions, with the hop's own work.
FAR_WAY_S = 0.2
# A forwarded prompt must save this much besides the way, since bytes between
# regions are dear. Requests of plain services are small.
FAR_GAIN_S = 0.1
# Callers return after a part of the wait, spread so that they do not return
# together.
_MIN_RETRY_S = 0.15
_MAX_RETRY_S = 4.0
_SPREAD = 0.5
_NO_ENDPOINT_RETRY_S = 0.6
_FAR_JITTER_S = 0.1


@attrs.frozen(kw_only=True)
class Send:
    """Send the request to an endpoint of the own region.

    Attributes
    ----------
    choice : Choice
        The endpoint with what was predicted there.
    """

    choice: object


@attrs.frozen(kw_only=True)
class ForwardTo:
    """Have a host of another region run it.

    Attributes
    ----------
    member : Member
        The host.
    wait_s : float
        The wait that its region tells, in seconds.
    """

    member: object
    wait_s: float


def decide(
    *,
    local,
    remote,
    objective_s,
    deadline_s,
    is_engine,
    spread,
    retry_schedule,
    engines,
    now,
):
    """Decide what to do with a request now.

    Parameters
    ----------
    local : Choice or None
        Best endpoint of the own region.
    remote : tuple of (Member, float) or None
        Host of another region and the wait there, in seconds.
    objective_s : float
        What is left of the latency objective, in seconds.
    deadline_s : float
        What is left until the deadline, in seconds.
    is_engine : bool
        True for prompts, which queue; plain services shed by themselves.
    spread : float
        Random number, 0 to 1.
    retry_schedule : RetrySchedule
        When callers come back that were refused for lack of room.
    engines : float
        Endpoints that this host may count as its own.
    now : float
        Present time, in seconds.

    Returns
    -------
    Send, ForwardTo or Refusal
    """
    room_s = objective_s * OBJECTIVE_PART
    if local is not None and local.work_s > HEAVY_S:
        room_s *= min(1.0, EVENT_GAP_S / local.gap_s)
    is_sound = local is not None and _is_in_time(local, room_s, deadline_s)
    is_far_better = _is_far_better(local, remote, FAR_GAIN_S if is_engine else 0.0)
    if is_sound and not is_far_better:
        return Send(choice=local)
    if remote is not None and (is_engine or local is None or is_far_better):
        member, wait_s = remote
        far_s = wait_s + FAR_WAY_S
        if far_s <= room_s or (local is None and far_s <= deadline_s):
            return ForwardTo(member=member, wait_s=wait_s)
    if local is not None and not is_engine:
        return Send(choice=local)
    if local is None:
        return NoEndpoint(
            detail="no permitted endpoint takes requests now",
            outcome=Outcome.NOT_RUN,
            retry_after_s=_NO_ENDPOINT_RETRY_S * (1 + _SPREAD * spread),
        )
    if objective_s <= 0 and local.ttft_s <= deadline_s * OBJECTIVE_PART:
        return Send(choice=local)
    lacking_s = max(_MIN_RETRY_S, local.ttft_s - room_s / 2)
    wait_s = retry_schedule.wait_s(local.work_s, lacking_s, engines, now)
    return Overloaded(
        detail=f"an answer would begin in {local.ttft_s:.2f} s and end in "
        f"{local.total_s:.2f} s; there are {room_s:.2f} s and {deadline_s:.2f} s",
        outcome=Outcome.NOT_RUN,
        retry_after_s=min(_MAX_RETRY_S, wait_s * (1 + _SPREAD * spread)),
    )


def _is_far_better(local, remote, gain_s):
    """Tell whether another region would begin sooner by more than it costs.

    An endpoint that rejects requests is worse than its queue says.
    """
    if local is None or remote is None:
        return remote is not None
    return remote[1] + FAR_WAY_S + gain_s < local.ttft_s + local.failure_cost_s


def _is_in_time(local, room_s, deadline_s):
    """Tell whether an answer would begin and end in time."""
    return local.ttft_s <= room_s and local.total_s <= deadline_s * WHOLE_PART


def choose_remote_host(members, regions, service, is_permitted, refusals, now, rng):
    """Choose a host of another region to run a request.

    The region with the shortest wait is taken, and one of its hosts by chance. A
    region that has just refused counts as long as it asked to wait.

    Parameters
    ----------
    members : list of Member
        Hosts of other regions that take requests.
    regions : list of RegionTotals
        What the other regions tell of their waits.
    service : str
        The service.
    is_permitted : callable
        ``is_permitted(region)`` tells whether a region may run it.
    refusals : dict of (str, str) to float
        By region and service, until when it refuses, in seconds.
    now : float
        Present time, in seconds.
    rng : random.Random
        Source of random choices.

    Returns
    -------
    tuple of (Member, float) or None
        With the wait there, in seconds.
    """
    hosts = {}
    for member in members:
        hosts.setdefault(member.id.region, []).append(member)
    # A little chance keeps hosts with the same knowledge from moving together.
    waits = {
        sums.region: sums.waits[service] + rng.random() * _FAR_JITTER_S
        for sums in regions
        if service in sums.waits
        and sums.region in hosts
        and is_permitted(sums.region)
        and refusals.get((sums.region, service), 0.0) <= now
    }
    if not waits:
        return None
    region = min(waits, key=waits.get)
    return rng.choice(hosts[region]), waits[region]
