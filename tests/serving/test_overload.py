"""What is sent, forwarded and refused, by the time that is left."""

import random

import attrs

from cactusmill.errors import NoEndpoint, Outcome, Overloaded
from cactusmill.serving.membership import Member, RegionTotals
from cactusmill.serving.overload import ForwardTo, Send, choose_remote_host, decide
from cactusmill.serving.retry_after import RetrySchedule

from .test_membership import host_id


@attrs.frozen
class Own:
    ttft_s: float
    total_s: float = 1.0
    work_s: float = 0.1
    gap_s: float = 0.06
    failure_cost_s: float = 0.0


def member(name, region):
    return Member(id=host_id(name, region), last_seen_at=0.0)


def sums(region, wait_s):
    return RegionTotals(
        region=region,
        hosts=1,
        last_seen_at=10.0,
        reported_at=10.0,
        demands={},
        waits={"engines": wait_s},
    )


WEST, NORTH = member("w", "west"), member("n", "north")
WAITS = [sums("west", 0.3), sums("north", 0.0)]


def step(local=None, remote=None, objective_s=0.8, deadline_s=5.0, is_engine=True):
    return decide(
        local=local,
        remote=remote,
        objective_s=objective_s,
        deadline_s=deadline_s,
        is_engine=is_engine,
        spread=0.5,
        retry_schedule=RetrySchedule(),
        engines=2.0,
        now=10.0,
    )


FAR = member("w1", "west"), 0.1


def test_own_region_goes_first_while_it_is_in_time():
    assert isinstance(step(Own(0.3), FAR), Send)


def test_other_region_takes_what_would_be_late_here():
    assert isinstance(step(Own(0.9), FAR), ForwardTo)


def test_other_region_takes_what_would_begin_much_sooner_there():
    """A region near its peak beside one at rest: 0.55 s here, 0.1 s there."""
    assert isinstance(step(Own(0.55), FAR), ForwardTo)
    assert isinstance(step(Own(0.35), FAR), Send)


def test_late_everywhere_is_refused_at_once_with_a_time_to_return():
    refusal = step(Own(0.9), (FAR[0], 0.9))
    assert isinstance(refusal, Overloaded)
    assert refusal.outcome is Outcome.NOT_RUN
    assert 0 < refusal.retry_after_s <= 4.0


def test_answer_that_cannot_end_in_time_is_not_begun():
    assert isinstance(step(Own(0.2, total_s=9.0)), Overloaded)


def test_heavy_prompts_yield_where_streams_are_slow():
    """An engine that reads all the time: events come every 0.3 s, not 0.06."""
    assert isinstance(step(Own(0.5, gap_s=0.3)), Overloaded)
    assert isinstance(step(Own(0.5, gap_s=0.3, work_s=0.007)), Send)
    assert isinstance(step(Own(0.5, gap_s=0.1)), Send)


def test_plain_services_shed_by_themselves():
    assert isinstance(step(Own(0.9), is_engine=False), Send)
    assert isinstance(step(Own(0.9), (FAR[0], 0.9), is_engine=False), Send)


def test_plain_requests_go_to_another_region_from_endpoints_that_reject():
    """A region's peak: its two endpoints reject a third, those elsewhere rest."""
    rejecting = Own(0.2, failure_cost_s=0.35)
    assert isinstance(step(rejecting, FAR, is_engine=False), ForwardTo)
    assert isinstance(step(Own(0.45), FAR, is_engine=False), ForwardTo)
    assert isinstance(step(Own(0.2), FAR, is_engine=False), Send)


def test_without_endpoints_another_region_serves_late():
    assert isinstance(step(None, (FAR[0], 1.5)), ForwardTo)
    assert isinstance(step(None, None), NoEndpoint)


def far_of(members, waits, regions=("west", "north"), refusals=None, seed=1):
    return choose_remote_host(
        members,
        waits,
        "engines",
        lambda region: region in regions,
        refusals or {},
        10.0,
        random.Random(seed),
    )


def test_hosts_with_the_same_stale_waits_do_not_all_choose_the_same():
    members = [member(f"w{n}", "west") for n in range(8)]
    waits = [sums("west", 0.1)]
    chosen = {far_of(members, waits, seed=seed)[0].id.name for seed in range(60)}
    assert len(chosen) >= 5


def test_forbidden_regions_are_never_chosen():
    members = [WEST, NORTH]
    assert far_of(members, WAITS)[0].id.region == "north"
    assert far_of(members, WAITS, regions=("west",))[0].id.region == "west"
    assert far_of(members, WAITS, regions=()) is None


def test_region_that_has_just_refused_is_left_alone():
    refusals = {("north", "engines"): 10.2}
    assert far_of([WEST, NORTH], WAITS, refusals=refusals)[0] is WEST
    refusals = {("north", "engines"): 9.9}
    assert far_of([WEST, NORTH], WAITS, refusals=refusals)[0] is NORTH


def test_region_without_live_hosts_is_not_chosen():
    assert far_of([WEST], WAITS)[0] is WEST
