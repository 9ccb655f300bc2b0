"""What is sent, forwarded and refused, by the time that is left."""

import random

import attrs

from cactusmill.errors import NoEndpoint, Outcome, Overloaded
from cactusmill.serving.membership import Member
from cactusmill.serving.overload import ForwardTo, Send, choose_far, decide
from cactusmill.serving.returns import Returns

from .test_membership import host_id


@attrs.frozen
class Own:
    first_s: float
    whole_s: float = 1.0
    work_s: float = 0.1
    gap_s: float = 0.06


def member(name, region, wait_s):
    return Member(id=host_id(name, region), heard_at=0.0, waits={"engines": wait_s})


def step(own=None, far=None, objective_s=0.8, deadline_s=5.0, is_engine=True):
    return decide(
        own=own,
        far=far,
        objective_s=objective_s,
        deadline_s=deadline_s,
        is_engine=is_engine,
        spread=0.5,
        returns=Returns(),
        engines=2.0,
        now=10.0,
    )


FAR = member("w1", "west", 0.1), 0.1


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
    assert isinstance(step(Own(0.2, whole_s=9.0)), Overloaded)


def test_heavy_prompts_yield_where_streams_are_slow():
    """An engine that reads all the time: events come every 0.3 s, not 0.06."""
    assert isinstance(step(Own(0.5, gap_s=0.3)), Overloaded)
    assert isinstance(step(Own(0.5, gap_s=0.3, work_s=0.007)), Send)
    assert isinstance(step(Own(0.5, gap_s=0.1)), Send)


def test_plain_services_shed_by_themselves():
    assert isinstance(step(Own(0.9), is_engine=False), Send)


def test_without_endpoints_another_region_serves_late():
    assert isinstance(step(None, (FAR[0], 1.5)), ForwardTo)
    assert isinstance(step(None, None), NoEndpoint)


def far_of(members, regions=("west", "north"), refusals=None, seed=1):
    return choose_far(
        members,
        "engines",
        lambda region: region in regions,
        refusals or {},
        10.0,
        random.Random(seed),
    )


def test_hosts_with_the_same_stale_waits_do_not_all_choose_the_same():
    members = [member(f"w{n}", "west", n / 100) for n in range(8)]
    chosen = {far_of(members, seed=seed)[0].id.name for seed in range(60)}
    assert len(chosen) >= 5


def test_forbidden_regions_are_never_chosen():
    members = [member("w", "west", 0.3), member("n", "north", 0.0)]
    assert far_of(members)[0].id.region == "north"
    assert far_of(members, regions=("west",))[0].id.region == "west"
    assert far_of(members, regions=()) is None


def test_region_that_has_just_refused_is_left_alone():
    members = [member("w", "west", 0.3), member("n", "north", 0.0)]
    refusals = {("north", "engines"): 10.2}
    assert far_of(members, refusals=refusals)[0].id.region == "west"
    assert far_of(members, refusals={("north", "engines"): 9.9})[0].id.name == "n"
