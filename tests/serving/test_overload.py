"""Tests of the overload policy: what is served, forwarded and refused."""

import random

import attrs
import pytest

from cactusmill.errors import NoEndpoint, Outcome, Overloaded
from cactusmill.serving import overload
from cactusmill.serving.membership import Member, RegionTotals
from cactusmill.serving.overload import ForwardTo, Send, choose_remote_host, decide
from cactusmill.serving.retry_after import RetrySchedule

from .test_membership import host_id


@attrs.frozen
class LocalChoice:
    """The fields of a ``Choice`` that the policy reads."""

    ttft_s: float
    total_s: float = 1.0
    prefill_s: float = 0.1
    event_gap_s: float = 0.06
    failure_cost_s: float = 0.0


def member(name, region):
    return Member(id=host_id(name, region), last_seen_at=0.0)


def totals(region, wait_s):
    return RegionTotals(
        region=region,
        hosts=1,
        last_seen_at=10.0,
        reported_at=10.0,
        demands={},
        waits={"engines": wait_s},
    )


WEST, NORTH = member("w", "west"), member("n", "north")
WAITS = [totals("west", 0.3), totals("north", 0.0)]


def step(
    local=None, remote=None, objective_s=0.8, deadline_s=5.0, is_engine=True, **ranked
):
    return decide(
        local=local,
        remote=remote,
        objective_s=objective_s,
        deadline_s=deadline_s,
        is_engine=is_engine,
        jitter=0.5,
        retry_schedule=RetrySchedule(),
        endpoints_per_host=2.0,
        now=10.0,
        **ranked,
    )


REMOTE = member("w1", "west"), 0.1


def test_local_region_is_preferred_while_it_is_on_time():
    assert isinstance(step(LocalChoice(0.3), REMOTE), Send)


def test_request_that_would_be_late_is_forwarded():
    assert isinstance(step(LocalChoice(0.9), REMOTE), ForwardTo)


def test_request_that_would_begin_much_sooner_elsewhere_is_forwarded():
    """The local region is near its peak, the other one is idle."""
    assert isinstance(step(LocalChoice(0.55), REMOTE), ForwardTo)
    assert isinstance(step(LocalChoice(0.35), REMOTE), Send)


def test_request_that_is_late_everywhere_is_refused_with_a_retry_time():
    refusal = step(LocalChoice(0.9), (REMOTE[0], 0.9))
    assert isinstance(refusal, Overloaded)
    assert refusal.outcome is Outcome.NOT_RUN
    assert 0 < refusal.retry_after_s <= 4.0


def test_response_that_cannot_end_by_the_deadline_is_refused():
    assert isinstance(step(LocalChoice(0.2, total_s=9.0)), Overloaded)


def test_heavy_prompts_are_refused_where_streams_are_slow():
    """An engine in constant prefill emits events every 0.3 s instead of 0.06 s."""
    assert isinstance(step(LocalChoice(0.5, event_gap_s=0.3)), Overloaded)
    assert isinstance(step(LocalChoice(0.5, event_gap_s=0.3, prefill_s=0.007)), Send)
    assert isinstance(step(LocalChoice(0.5, event_gap_s=0.1)), Send)


@pytest.mark.parametrize(
    ("max_gap_s", "event_gap_s", "is_sent"),
    [
        (0.0, 0.15, True),
        (0.0, 0.151, False),
        (0.3, 0.15, True),
        (0.3, 0.151, False),
        (0.4, 0.15, True),
        (0.4, 0.151, False),
        (0.6, 0.225, True),
        (0.6, 0.226, False),
    ],
)
def test_slow_streams_are_those_near_the_longest_pause_on_time(
    max_gap_s, event_gap_s, is_sent
):
    """Guards against a change where pauses of 0.3 and 0.4 s count as on time."""
    local = LocalChoice(0.68, event_gap_s=event_gap_s)
    assert isinstance(step(local, max_gap_s=max_gap_s), Send) is is_sent


@pytest.mark.parametrize("max_gap_s", [0.0, 0.3, 0.4])
def test_pause_limit_stays_exactly_as_it_was(max_gap_s):
    assert overload._event_gap_limit_s(max_gap_s) == overload.EVENT_GAP_S == 0.15


def test_most_urgent_prompts_are_sent_also_where_streams_are_slow():
    """Guards against the refusal of large urgent prompts before small patient ones."""
    slow = LocalChoice(0.5, event_gap_s=0.3)
    assert isinstance(step(slow, is_most_urgent=True), Send)
    assert isinstance(step(slow), Overloaded)
    assert isinstance(step(LocalChoice(0.9), is_most_urgent=True), Overloaded)


def test_request_beyond_the_level_is_refused_at_once():
    """Also if this region would begin in time; the other one would not."""
    late = REMOTE[0], 0.9
    for remote in (None, late):
        refusal = step(LocalChoice(0.1), remote, is_admitted=False)
        assert isinstance(refusal, Overloaded)
        assert refusal.outcome is Outcome.NOT_RUN
        assert 0.6 <= refusal.retry_after_s <= 4.0


def test_request_beyond_the_level_is_forwarded_to_a_region_with_capacity():
    forward = step(LocalChoice(0.1), REMOTE, is_admitted=False)
    assert isinstance(forward, ForwardTo)


def test_level_does_not_refuse_where_there_are_no_endpoints():
    assert isinstance(step(None, REMOTE, is_admitted=False), ForwardTo)
    assert isinstance(step(None, None, is_admitted=False), NoEndpoint)


def test_plain_services_shed_load_themselves():
    assert isinstance(step(LocalChoice(0.9), is_engine=False), Send)
    assert isinstance(step(LocalChoice(0.9), (REMOTE[0], 0.9), is_engine=False), Send)


def test_plain_requests_are_forwarded_where_local_endpoints_reject():
    """Two endpoints reject a third of the requests; other regions are idle."""
    rejecting = LocalChoice(0.2, failure_cost_s=0.35)
    assert isinstance(step(rejecting, REMOTE, is_engine=False), ForwardTo)
    assert isinstance(step(LocalChoice(0.45), REMOTE, is_engine=False), ForwardTo)
    assert isinstance(step(LocalChoice(0.2), REMOTE, is_engine=False), Send)


def test_without_local_endpoints_a_late_response_is_accepted():
    assert isinstance(step(None, (REMOTE[0], 1.5)), ForwardTo)
    assert isinstance(step(None, None), NoEndpoint)


def choose_host(members, waits, regions=("west", "north"), backoff_until=None, seed=1):
    return choose_remote_host(
        members,
        waits,
        "engines",
        lambda region: region in regions,
        backoff_until or {},
        10.0,
        random.Random(seed),
    )


def test_hosts_with_the_same_stale_waits_choose_different_hosts():
    members = [member(f"w{n}", "west") for n in range(8)]
    waits = [totals("west", 0.1)]
    chosen = {choose_host(members, waits, seed=seed)[0].id.name for seed in range(60)}
    assert len(chosen) >= 5


def test_forbidden_regions_are_never_chosen():
    members = [WEST, NORTH]
    assert choose_host(members, WAITS)[0].id.region == "north"
    assert choose_host(members, WAITS, regions=("west",))[0].id.region == "west"
    assert choose_host(members, WAITS, regions=()) is None


def test_region_in_backoff_is_not_chosen():
    backoff_until = {("north", "engines"): 10.2}
    assert choose_host([WEST, NORTH], WAITS, backoff_until=backoff_until)[0] is WEST
    backoff_until = {("north", "engines"): 9.9}
    assert choose_host([WEST, NORTH], WAITS, backoff_until=backoff_until)[0] is NORTH


def test_region_without_live_hosts_is_not_chosen():
    assert choose_host([WEST], WAITS)[0] is WEST
