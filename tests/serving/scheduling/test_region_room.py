"""Tests of the division of capacity between regions."""

import random

import attrs
import pytest
import trio

from cactusmill.errors import Outcome, Overloaded
from cactusmill.internal.endpoints import load_key
from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire.ttypes import Frame
from cactusmill.records import Route, Service
from cactusmill.serving import cross_region, dispatch
from cactusmill.serving.catalog import Configuration, ConfigurationChange
from cactusmill.serving.heartbeat_checks import check_heartbeat
from cactusmill.serving.membership import RegionTotals
from cactusmill.serving.overload import ForwardTo
from cactusmill.serving.placement import DEFAULT_RESPONSE_S
from cactusmill.serving.progress import new_progress
from cactusmill.serving.room_sharing import count_tokens, gauges, update_allowances
from cactusmill.serving.scheduling.machine_pace import MAX_AGE_S
from cactusmill.serving.scheduling.region_room import (
    HOME_RESERVE,
    REPORT_INTERVAL_S,
    OwnRegion,
    RegionAllowances,
    RegionRooms,
    compute_allowance,
    compute_room,
    damp_room,
    divide_room,
)

from ..test_decision_cost import (
    ENDPOINTS,
    LARGE,
    MAX_RATIO,
    SMALL,
    Clock,
    count_instructions,
    make_host,
    make_request,
)
from .region_flows import Flows

ENGINES = frozenset(["engines"])
# Mean load as a part of the capacity, with which the room is less than is wanted.
MEAN_LOAD = 0.9
PEAK, TROUGH = 2.8, 1 / 6
PEAK_BEGINS, REVERSAL, END = 2, 14, 26
# Until then a room that opens is still damped: four reports and the queue that the peak
# before leaves.
SETTLING_S = 4


def make_report(region="west", at=0.0, room=3000.0, wanted=0.0):
    """Return a report of a region; a room of None is not reported."""
    return RegionTotals(
        region=region,
        hosts=2,
        last_seen_at=at,
        reported_at=at,
        demands={},
        waits={"engines": 0.1},
        rooms={} if room is None else {"engines": room},
        forwards={"engines": wanted} if wanted else {},
    )


def make_allowances(reports, now=0.0, hosts=1, others=None):
    """Return the allowances of a host that wants to forward 1000 tokens per second."""
    allowances = RegionAllowances(random.Random(1))
    allowances.wants.record("engines", 1000, now)
    update(allowances, reports, now, hosts, others)
    return allowances


def update(allowances, reports, now, hosts=1, others=None):
    wanted = {} if others is None else {"engines": others}
    own = OwnRegion(services=ENGINES, hosts=hosts, wanted=wanted)
    allowances.update(reports, own, now)


def allowance(allowances, region="west"):
    return allowances.allowances()[region, "engines"]


def replay(hosts_per_region, **options):
    """Replay a peak in the east while the west idles, and then the reverse.

    Returns
    -------
    flows : Flows
        The simulation at its end.
    parts : list of list of float
        For the west in the first peak and the east in the second, what was forwarded
        there in each second after it settled, as a part of the room.
    """
    flows = Flows(hosts_per_region, MEAN_LOAD, **options)
    flows.factors = {"west": TROUGH}
    flows.run(PEAK_BEGINS)
    flows.factors = {"east": PEAK, "west": TROUGH}
    flows.run(REVERSAL)
    room, parts = flows.true_room("west"), []
    flows.factors = {"east": TROUGH, "west": PEAK}
    flows.run(END)
    for region, begin, end in (
        ("west", PEAK_BEGINS, REVERSAL),
        ("east", REVERSAL, END),
    ):
        seconds = range(begin + SETTLING_S, end)
        parts.append([flows.forwarded_per_s(region, t, t + 1) / room for t in seconds])
    return flows, parts


@pytest.mark.parametrize("hosts_per_region", [2, 24, 133])
@pytest.mark.parametrize("is_home_known", [True, False])
def test_regions_forward_what_fits_the_room_of_another(hosts_per_region, is_home_known):
    """Guards against hosts that all forward at once, and against unused room."""
    flows, parts = replay(hosts_per_region, is_home_known=is_home_known)
    for seconds in parts:
        assert max(seconds) <= 1.2
        assert sum(seconds) / len(seconds) >= 2 / 3
    assert flows.refused <= 0.01 * len(flows.forwarded)


@pytest.mark.parametrize("hosts_per_region", [2, 24, 133])
def test_reported_waits_alone_overshoot(hosts_per_region):
    """Counterpart: shows what breaks without the division."""
    flows, parts = replay(hosts_per_region, is_divided=False)
    assert max(max(seconds) for seconds in parts) > 1.4
    assert flows.refused > 0.1 * len(flows.forwarded)


def test_room_is_what_engines_can_process_beyond_queues_and_home_demand():
    loads = [(1000.0, 300.0), (1000.0, 5000.0), (1000.0, 0.0)]
    assert compute_room(loads, 700.0) == pytest.approx(1000 * (1 - HOME_RESERVE))
    assert compute_room(loads, 1700.0) == 0
    assert compute_room([], 0.0) == 0


def test_room_moves_at_most_half_way_in_a_report():
    assert damp_room(1000.0, 0.0, REPORT_INTERVAL_S) == 500
    assert damp_room(1000.0, 0.0, 60.0) == 500
    assert 980 < damp_room(1000.0, 0.0, 0.01) < 1000


def test_room_is_divided_by_what_is_wanted():
    assert divide_room(900.0, 200.0, 100.0) == 600
    assert divide_room(900.0, 200.0, 0.0) == 900
    assert divide_room(900.0, 0.0, 0.0) == 0


def test_hosts_of_a_region_get_no_more_than_its_part_together():
    wants = [100.0, 500.0, 0.0, 4000.0]
    parts = [compute_allowance(900.0, w, sum(wants) - w, len(wants)) for w in wants]
    assert parts[2] == 0 and parts[3] > parts[1] > parts[0]
    assert 700 < sum(parts) <= 900


def test_hosts_whose_wants_begin_together_get_equal_parts():
    """Guards against hosts that all take the whole room until others have reported."""
    hosts = 100
    assert hosts * compute_allowance(9e5, 1000.0, 0.0, hosts) < 2 * 9e5
    assert hosts * compute_allowance(9e5, 1000.0, None, hosts) == pytest.approx(9e5)


def test_region_that_reports_no_wants_gets_nothing():
    reports = [make_report(), make_report("north", room=0.0, wanted=500.0)]
    assert allowance(make_allowances(reports)) == pytest.approx(2000)
    reports[1] = make_report("north", room=0.0)
    assert allowance(make_allowances(reports)) == pytest.approx(3000)


def test_bucket_holds_the_allowance_of_one_interval():
    """Guards against a burst of what an idle host has saved."""
    allowances = make_allowances([make_report()])
    update(allowances, [make_report(at=0.6)], 0.6)
    limit = int(REPORT_INTERVAL_S * allowance(allowances))
    assert allowances.may_forward("west", "engines", limit - 1, 1.9)
    allowances.record_forwarded("west", "engines", limit - 1, 1.9)
    assert not allowances.may_forward("west", "engines", limit - 1, 1.9)


@pytest.mark.parametrize("tokens", [100, 900, 9000])
def test_many_hosts_forward_their_allowance_whatever_the_size_of_requests(tokens):
    """Guards against requests larger than a bucket, which would never be forwarded."""
    allowances = make_allowances([make_report(room=1000.0)])
    sent, now = 0, 0.0
    while now < 300:
        now += 0.05
        allowances.wants.record("engines", 100, now)
        update(allowances, [make_report(at=now, room=1000.0)], now)
        if allowances.may_forward("west", "engines", tokens, now):
            allowances.record_forwarded("west", "engines", tokens, now)
            sent += tokens
    assert 0.9 * 1000 < sent / now <= 1.02 * 1000
    assert allowances.forwarded_tokens == {"west": sent}


# Failure cases.


def test_stale_report_gives_a_tenth_and_then_nothing():
    reports = [make_report()]
    allowances = make_allowances(reports)
    for now, part in ((1.9, 1.0), (2.1, 0.1), (4.9, 0.1), (5.1, 0.0)):
        allowances.wants.record("engines", 1000, now)
        update(allowances, reports, now)
        assert allowance(allowances) == pytest.approx(part * 3000)
    assert not allowances.may_forward("west", "engines", 1, 9.0)


def test_lost_region_gets_nothing_and_a_report_ends_that():
    """A region is lost or partitioned, and heard again later."""
    allowances = make_allowances([make_report()])
    update(allowances, [], 13.0)
    assert not allowances.may_forward("west", "engines", 1, 13.0)
    allowances.wants.record("engines", 1000, 20.0)
    update(allowances, [make_report(at=20.0)], 20.0)
    assert allowances.may_forward("west", "engines", 1, 20.3)


def test_refusal_halves_the_allowance_until_the_next_report():
    """Guards against a region that reports room that it does not have."""
    allowances = make_allowances([make_report()])
    for _ in range(2):
        allowances.record_refused("west", "engines", 0.1)
        update(allowances, [make_report()], 0.1)
        assert allowance(allowances) == pytest.approx(1500)
    update(allowances, [make_report(at=0.6)], 0.7)
    assert allowance(allowances) == pytest.approx(3000)


def test_host_that_starts_has_no_allowance_until_the_first_report():
    allowances = make_allowances([])
    assert not allowances.may_forward("west", "engines", 1, 0.1)
    update(allowances, [make_report(at=0.2)], 0.2, hosts=3, others=2000.0)
    assert 0 < allowance(allowances) < 0.5 * 3000


def test_room_of_a_host_that_starts_is_reported_in_part():
    """Guards against room of a host that does not know the others' load yet."""
    rooms = RegionRooms()
    assert rooms.report("engines", 1000.0, 2000.0, 5.0) == 500


def test_region_of_the_previous_version_is_used_as_before():
    allowances = make_allowances([make_report(room=None)])
    assert allowances.may_forward("west", "engines", 10**6, 0.1)


def test_region_of_two_versions_stays_divided():
    """Guards against unlimited forwarding after a report of the previous version."""
    allowances = make_allowances([make_report(room=0.0)])
    update(allowances, [make_report(at=0.6, room=None)], 0.6)
    assert not allowances.may_forward("west", "engines", 1, 0.6)
    update(allowances, [make_report(at=5.7, room=None)], 5.7)
    assert allowances.may_forward("west", "engines", 10**6, 5.7)


def test_room_that_opens_or_closes_is_told_once():
    rooms, told = RegionRooms(), []
    for number, room in enumerate([0, 900, 900, 30, 900, 0, 0, 0, 0, 0, 0, 0]):
        rooms.report("engines", room, 1000.0, number * REPORT_INTERVAL_S)
        told += rooms.take_changes()
    assert [(name, is_open) for name, is_open, _ in told] == [
        ("engines", True),
        ("engines", False),
    ]


# Through the modules of a host.


def make_busy_host(hosts=SMALL, is_divided=True):
    """Return a host of a region whose engines have long queues, and its clock.

    Its endpoints report a pace if the capacity of their service is to be divided.
    """
    clock = Clock()
    host = make_host(hosts, clock)
    fields = {"kind": "model", "is_stream": True, "service": "engines"}
    quote = Route(name="quote", prefix="/q/", priority=0, objective_s=1.0, **fields)
    question = Route(
        name="question", prefix="/s/", priority=2, objective_s=1.0, **fields
    )
    configuration = Configuration(
        version=2,
        routes=(quote, question),
        teams={},
        team_by_key={},
        services={
            "engines": Service(name="engines", is_engine=True, max_connections=1300)
        },
        limits=None,
    )
    host.catalog.apply(
        ConfigurationChange(revision=1000, configuration=configuration), 0.0
    )
    work = {load_key(f"engine-{n}"): (1, 30_000) for n in range(ENDPOINTS)}
    for member in host.membership.serving(1.0, "east"):
        host.membership.record_load(member, work, 1.0)
    if is_divided:
        host.placement.record_paced("engines", clock.time)
    return host, clock


def record_reports(host, room, at):
    for region in ("west", "north"):
        host.membership.record_region(make_report(region, at, room))


def decide(host, number, now):
    host_route = host.catalog.configuration.routes[0]
    req = attrs.evolve(make_request(number, now), route=host_route)
    progress = new_progress(req, 1)
    return dispatch._next_step(host, req, progress, False), progress


def exchange(host, now, **options):
    """Return a host's heartbeat as another host receives it."""
    beat = host.gossip.build_heartbeat(now, **options)
    received = decode(encode_frame(Frame(beat=beat))).beat
    check_heartbeat(received)
    return received


def test_host_forwards_only_within_its_allowance():
    host, clock = make_busy_host()
    record_reports(host, 0.0, 1.1)
    update_allowances(host, clock.time)
    step, progress = decide(host, 1, clock.time)
    assert isinstance(step, Overloaded) and progress.is_wanted_counted
    record_reports(host, 400_000.0, 1.2)
    update_allowances(host, clock.time)
    for _ in range(2):
        clock.time += 0.2
        update_allowances(host, clock.time)
    steps = []
    for number in range(60):
        step, progress = decide(host, number, clock.time)
        steps.append(step)
        if isinstance(step, ForwardTo):
            region = step.member.id.region
            tokens = progress.forward_tokens
            host.allowances.record_forwarded(region, "engines", tokens, clock.time)
    forwarded = [step for step in steps if isinstance(step, ForwardTo)]
    assert 0 < len(forwarded) < len(steps)
    assert {type(step) for step in steps} == {ForwardTo, Overloaded}
    assert {"forward_allowance_west_engines", "forwarded_tokens_west"} <= set(
        gauges(host)
    )


def test_repeated_decisions_count_a_request_once():
    """Guards against wants that grow with the retries of one request."""
    host, clock = make_busy_host()
    record_reports(host, 0.0, 1.1)
    update_allowances(host, clock.time)
    req = make_request(1, clock.time)
    progress = new_progress(req, 1)
    for _ in range(5):
        dispatch._next_step(host, req, progress, False)
    rate = host.allowances.wanted(ENGINES, clock.time)["engines"]
    assert rate <= sum(tokens for _, tokens in req.prompt_segments)
    assert host.rooms.asked.rate("engines", clock.time) == rate


def test_request_that_was_forwarded_is_neither_wanted_nor_asked_here():
    host, clock = make_busy_host()
    req = make_request(1, clock.time)
    dispatch._next_step(host, req, new_progress(req, 1), True)
    assert not host.allowances.wanted(ENGINES, clock.time)
    assert not host.rooms.asked.rate("engines", clock.time)


def test_request_that_may_not_run_here_is_not_limited():
    """Guards against refusals of routes that only other regions may serve."""
    host, clock = make_busy_host()
    record_reports(host, 0.0, 1.01)
    update_allowances(host, clock.time)
    quote = attrs.evolve(host.catalog.configuration.routes[0], regions=("west",))
    req = attrs.evolve(make_request(1, clock.time), route=quote)
    progress = new_progress(req, 1)
    step = dispatch._next_step(host, req, progress, False)
    assert isinstance(step, ForwardTo) and step.member.id.region == "west"
    assert progress.forward_tokens == 0
    assert not host.allowances.wanted(ENGINES, clock.time)


def test_refused_forward_uses_and_halves_the_allowance(monkeypatch):
    """A region that is full reports room: see :func:`run_in_other_region`."""

    async def refuse(*args):
        return Overloaded(detail="full", outcome=Outcome.NOT_RUN, retry_after_s=0.3)

    monkeypatch.setattr(cross_region, "forward", refuse)
    host, clock = make_busy_host()
    record_reports(host, 400_000.0, 1.01)
    host.allowances.wants.record("engines", 10_000, clock.time)
    update_allowances(host, clock.time)
    before = host.allowances.allowances()["west", "engines"]
    req = make_request(1, clock.time)
    progress = new_progress(req, 1)
    progress.forward_tokens = 2700
    (member,) = host.membership.serving(clock.time, "west")[:1]
    step = ForwardTo(member=member, reported_wait_s=0.1)
    refusal = trio.run(
        cross_region.run_in_other_region, host, req, None, progress, step, None
    )
    assert isinstance(refusal, Overloaded)
    assert host.allowances.forwarded_tokens == {"west": 2700}
    assert host.allowances.allowances()["west", "engines"] == before / 2
    assert host.region_backoff_until["west", "engines"] == clock.time + 0.3


def test_plain_services_count_requests():
    host, clock = make_busy_host()
    host.membership.load.remove_older(float("inf"))
    plain = Service(name="engines")
    assert count_tokens(make_request(1, clock.time), plain, None) == 1
    loads = host.placement.prefill_loads(
        host.catalog, plain, host.membership, clock.time
    )
    assert loads == [(pytest.approx(24 / DEFAULT_RESPONSE_S), 0.0)] * ENDPOINTS


def test_engines_that_take_nothing_more_give_no_room():
    host, clock = make_busy_host()
    host.membership.load.remove_older(float("inf"))
    full, unreachable = (host.placement.view(f"engine-{n}") for n in (0, 1))
    full.in_flight = 24
    unreachable.backoff_until = clock.time + 1
    loads = host.placement.prefill_loads(
        host.catalog, host.service("engines"), host.membership, clock.time
    )
    rates = [rate for rate, _ in loads]
    assert len(rates) == ENDPOINTS - 1 and rates.count(0.0) == 1


def test_room_of_a_service_that_is_no_longer_divided_is_dropped():
    """Its endpoints stop reporting a pace under load."""
    host, clock = make_busy_host()
    record_reports(host, 0.0, 1.01)
    update_allowances(host, clock.time)
    host.gossip.build_heartbeat(clock.time, is_same_region=False)
    assert host.allowances.allowances() and host.rooms.rooms
    host.placement.record_paced("engines", clock.time - MAX_AGE_S)
    update_allowances(host, clock.time)
    beat = host.gossip.build_heartbeat(clock.time, is_same_region=False)
    assert not host.allowances.allowances() and not host.rooms.rooms
    assert beat.regions[0].rooms is None
    step, _ = decide(host, 1, clock.time)
    assert isinstance(step, ForwardTo)


def test_heartbeats_carry_wants_to_the_region_and_room_to_others():
    host, clock = make_busy_host()
    record_reports(host, 0.0, 1.01)
    update_allowances(host, clock.time)
    decide(host, 1, clock.time)
    inside = exchange(host, clock.time, is_same_region=True)
    peer, _ = make_busy_host()
    inside.sender.host, inside.sender.incarnation = "host-3", f"{3:016x}"
    peer.gossip.apply_heartbeat(inside, clock.time)
    wanted = inside.forwards[0].tokens_per_s
    assert peer.membership.wants.at("engines") == (0, wanted) and wanted > 0
    # A later heartbeat without wants ends them.
    inside.sequence, inside.forwards = inside.sequence + 1, None
    peer.gossip.apply_heartbeat(inside, clock.time)
    assert peer.membership.wants.at("engines") == (0, 0)
    outside = exchange(host, clock.time, is_same_region=False)
    (summary,) = outside.regions
    assert summary.forwards[0].tokens_per_s >= wanted
    assert [room.serves for room in summary.rooms] == ["engines"]
    # Home demand and queues exceed what the engines can process.
    assert summary.rooms[0].tokens_per_s == 0


def test_idle_engines_are_reported_as_room():
    host, clock = make_busy_host()
    host.membership.load.remove_older(float("inf"))
    (summary,) = exchange(host, clock.time, is_same_region=False).regions
    expected = 0.5 * ENDPOINTS * 70_000 * (1 - HOME_RESERVE)
    assert summary.rooms[0].tokens_per_s == pytest.approx(expected, rel=0.01)


def test_nothing_changes_for_services_that_are_not_divided():
    """Guards against changes of what other deployments serve, and of their traffic."""
    host, clock = make_busy_host(is_divided=False)
    without, _ = make_busy_host(is_divided=False)
    record_reports(host, 0.0, 1.01)
    record_reports(without, None, 1.01)
    for number in range(20):
        for each in (host, without):
            update_allowances(each, clock.time)
        step, progress = decide(host, number, clock.time)
        expected, _ = decide(without, number, clock.time)
        assert isinstance(step, ForwardTo) and progress.forward_tokens == 0
        assert step.member.id == expected.member.id
        assert step.reported_wait_s == expected.reported_wait_s
    assert host.rng.getstate() == without.rng.getstate()
    assert not gauges(host) and not host.rooms.rooms
    # Also with a heartbeat of a host that divides the service.
    other, _ = make_busy_host()
    record_reports(other, 0.0, 1.01)
    decide(other, 1, clock.time)
    beat = exchange(other, clock.time, is_same_region=True)
    beat.sender.host, beat.sender.incarnation = "host-3", f"{3:016x}"
    host.gossip.apply_heartbeat(beat, clock.time)
    for is_same_region in (True, False):
        beat = exchange(host, clock.time, is_same_region=is_same_region)
        assert beat.forwards is None
        if not is_same_region:
            assert beat.regions[0].rooms is None and beat.regions[0].forwards is None
    assert not host.membership.wants.has_any()


def test_cost_of_a_decision_does_not_grow_with_hosts():
    costs = {}
    for hosts in (SMALL, LARGE):
        host, clock = make_busy_host(hosts)
        record_reports(host, 400_000.0, 1.01)
        total = 0
        for number in range(10):
            update_allowances(host, clock.time)
            total += count_instructions(decide, host, number, clock.time)
            clock.time += 0.01
        costs[hosts] = total
    assert costs[LARGE] / costs[SMALL] < MAX_RATIO


def test_cost_of_new_allowances_does_not_grow_with_hosts():
    costs = {}
    for hosts in (SMALL, LARGE):
        host, clock = make_busy_host(hosts)
        record_reports(host, 400_000.0, 1.01)
        decide(host, 1, clock.time)
        for member in host.membership.serving(clock.time, "east"):
            host.membership.record_wants(member, {"engines": 500}, clock.time)
        costs[hosts] = count_instructions(update_allowances, host, clock.time)
    assert costs[LARGE] / costs[SMALL] < MAX_RATIO
