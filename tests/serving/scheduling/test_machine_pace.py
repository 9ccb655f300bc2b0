"""Tests of the pace of machines: its load pattern, its failure cases and its limits."""

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.internal.endpoints import load_key
from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire.ttypes import EndpointPace, Frame
from cactusmill.platform.dialect import read_response_head
from cactusmill.records import Service
from cactusmill.serving import placement as placement_module
from cactusmill.serving.heartbeat_checks import check_heartbeat
from cactusmill.serving.membership import Membership
from cactusmill.serving.placement import Placement
from cactusmill.serving.scheduling import machine_pace
from cactusmill.serving.scheduling.machine_pace import (
    DEFAULT_TIME_CONSTANT_S,
    MAX_AGE_S,
    MAX_REPORT_AGE_S,
    MAX_REPORTS,
    MachinePace,
)
from standins.loopback import not_executed

from ..test_gossip import make_host
from ..test_membership import host_id
from ..test_placement import ENGINE, catalog_of, choose, req
from ..test_whole_path import on_deployment
from .machine_pace_replay import ENGINES, PLAIN, Replay

PLAIN_SERVICE = Service(name="engines")
KEY = load_key("e1")


def head(load, status=200):
    """Return the metadata of a response with a value of the load header."""
    headers = [] if load is None else [(b"instance-load", load)]
    return read_response_head(status, headers)


@pytest.fixture
def host():
    """Return a host's placement, catalog and membership; e1 is the only endpoint."""
    return Placement("east", "me"), catalog_of(["e1"]), Membership(host_id("me"))


def endpoint_of(host):
    return host[1].listed()[0].endpoint


# The load pattern.


def on_time(region, hosts, seeds, **options):
    """Return the mean part of the requests that is on time, over seeds."""
    parts = [Replay(region, hosts, seed=seed, **options).run() for seed in seeds]
    return sum(parts) / len(parts)


SIZES = [
    pytest.param(2, range(6), id="6 hosts"),
    pytest.param(39, range(3), id="117 hosts"),
    pytest.param(133, range(2), id="400 hosts", marks=pytest.mark.histories),
]


@pytest.mark.parametrize(("hosts", "seeds"), SIZES)
@pytest.mark.parametrize("region", [PLAIN, ENGINES], ids=["plain", "engines"])
def test_slowed_machines_cost_fewer_answers_with_the_pace(region, hosts, seeds):
    """Guards against a pace that is not used: without the part, fewer are on time."""
    with_pace = on_time(region, hosts, seeds, duration_s=6.0)
    assert with_pace > on_time(region, hosts, seeds, duration_s=6.0, is_known=False)


def max_requests_in_a_round(hosts):
    """Return the most requests that an engine got between two rounds of heartbeats."""
    replay = Replay(ENGINES, hosts, seed=0, duration_s=6.0)
    replay.run()
    return replay.max_share()


# Half of what the region's hosts send to all engines between two heartbeats.
HERD = 0.5 * ENGINES.requests_per_s * placement_module.REGION_HEARTBEAT_S
HERD_SIZES = [2, 39, pytest.param(133, marks=pytest.mark.histories)]


@pytest.mark.parametrize("hosts", HERD_SIZES)
def test_hosts_do_not_all_choose_an_engine_that_becomes_fast(hosts):
    assert max_requests_in_a_round(hosts) < HERD


@pytest.mark.parametrize("hosts", HERD_SIZES[1:])
def test_hosts_that_compare_all_engines_herd(monkeypatch, hosts):
    """Shows that the random sample is what prevents it."""
    for name in ("_MIN_CANDIDATES", "_MIN_STALE_CANDIDATES"):
        monkeypatch.setattr(placement_module, name, ENGINES.machines)
    assert max_requests_in_a_round(hosts) > HERD


def test_lost_heartbeats_cost_no_more_than_no_pace():
    options = {"duration_s": 6.0, "loses": 0.2}
    with_pace = on_time(PLAIN, 39, range(3), **options)
    assert with_pace > on_time(PLAIN, 39, range(3), is_known=False, **options)


# What stays as it is.


@pytest.mark.parametrize("load", [None, b"3,1,8", b"3,1", b"3,1,8,x", b"3,1,8,-100"])
@pytest.mark.parametrize("service", [ENGINE, PLAIN_SERVICE], ids=["engine", "plain"])
def test_predictions_and_heartbeats_without_a_pace_are_as_before(load, service):
    """Guards against a change where endpoints report three values or none."""
    outcomes = []
    for value in (load, None):
        host = make_host()
        placement, catalog = host.placement, catalog_of(["e1", "e2", "e3"])
        seen = []
        for step in range(30):
            now = 1.0 + step / 20
            listed = placement.eligible_endpoints(catalog, "engines", now)
            request = req([("a", 900), (f"own{step}", 700)])
            membership = host.membership
            choice = placement.choose(request, service, listed, membership, now)
            assert choice.machine_pace == 1.0 and choice.machine_pace_age_s is None
            placement.record_pace(choice.endpoint, head(value), now)
            placement.record_response_start(choice, service, 0.07 + 0.01 * step, now)
            wait_s = placement.shortest_wait_s(catalog, service, membership, now)
            seen.append((choice.endpoint.name, choice.ttft_s, choice.total_s, wait_s))
        beat = host.gossip.build_heartbeat(now, is_same_region=True)
        assert beat.paces is None
        beat.sender.incarnation = ""
        outcomes.append((seen, encode_frame(Frame(beat=beat))))
    assert outcomes[0] == outcomes[1]


def test_prediction_by_hand_without_a_pace(host):
    """The formula of the version before, for an idle engine and an idle service."""
    choice = choose(host, req([("own", 7000)]))
    assert choice.ttft_s == placement_module.BASE_TTFT_S + 7000 / 70_000
    listed = host[0].eligible_endpoints(host[1], "engines", 1.0)
    choice = host[0].choose(req(), PLAIN_SERVICE, listed, host[2], 1.0)
    assert choice.ttft_s == placement_module.DEFAULT_RESPONSE_S
    host[0].record_response_start(choice, PLAIN_SERVICE, 0.06, 1.0)
    assert choice.view.bias(1.0) == pytest.approx(1.15)


# What the pace changes.


@pytest.mark.parametrize("service", [ENGINE, PLAIN_SERVICE], ids=["engine", "plain"])
def test_predictions_and_waits_are_multiplied_by_the_pace(host, service):
    placement, catalog, membership = host
    listed = placement.eligible_endpoints(catalog, "engines", 1.0)
    usual = placement.choose(req(), service, listed, membership, 1.0)
    usual_s = placement.shortest_wait_s(catalog, service, membership, 1.0)
    placement.record_pace(endpoint_of(host), head(b"3,1,8,250"), 1.0)
    slow = placement.choose(req(), service, listed, membership, 1.0)
    slow_s = placement.shortest_wait_s(catalog, service, membership, 1.0)
    assert slow.ttft_s == pytest.approx(2.5 * usual.ttft_s)
    assert slow_s == pytest.approx(2.5 * usual_s)
    assert slow.uncorrected_ttft_s == usual.uncorrected_ttft_s


@pytest.mark.parametrize("service", [ENGINE, PLAIN_SERVICE], ids=["engine", "plain"])
def test_slow_moments_do_not_change_the_learnt_speed(host, service):
    """Guards against a bias that counts a slow moment a second time.

    The measured time is divided by the pace that the prediction used, also if another
    was reported meanwhile.
    """
    placement, catalog, membership = host
    for step in range(60):
        now = 1.0 + step / 10
        is_slow = step % 7 == 0
        load = b"3,1,8,250" if is_slow else b"3,1,8,100"
        placement.record_pace(endpoint_of(host), head(load), now)
        listed = placement.eligible_endpoints(catalog, "engines", now)
        choice = placement.choose(req(), service, listed, membership, now)
        placement.record_pace(endpoint_of(host), head(b"3,1,8,400"), now + 0.01)
        took_s = choice.uncorrected_ttft_s * (2.5 if is_slow else 1.0)
        placement.record_response_start(choice, service, took_s, now + 0.02)
    assert choice.view.bias(now) == pytest.approx(1.0, abs=0.01)


def test_error_responses_are_samples(host):
    host[0].record_pace(endpoint_of(host), head(b"3,1,8,250", status=500), 1.0)
    assert host[0].machine_pace.pace(KEY, 1.0) == 2.5


def test_time_constant_follows_how_fast_paces_change():
    for lasts_s, least, most in ((0.2, 0.1, 0.4), (0.6, 0.4, 0.9), (2.5, 1.5, 3.0)):
        paces = MachinePace()
        assert paces.time_constant_s == DEFAULT_TIME_CONSTANT_S
        for step in range(6000):
            now = step * 0.05
            paces.record(KEY, 2.5 if now % (7 * lasts_s) < lasts_s else 1.0, now)
        assert least <= paces.time_constant_s <= most


@given(
    st.lists(
        st.tuples(
            st.integers(1, 3),
            st.floats(0.0, 10_000.0),
            st.floats(0.0, 5.0),
        ),
        max_size=40,
    )
)
def test_paces_and_the_time_constant_stay_within_their_bounds(samples):
    paces, now = MachinePace(), 0.0
    for key, pace, later_s in samples:
        now += later_s
        paces.record(key, pace, now)
        assert 0.1 <= paces.time_constant_s <= 3.0
        assert 0.25 <= paces.pace(key, now) <= 8.0
        # The sum of two times may be rounded down.
        assert paces.pace(key, now + MAX_AGE_S + 1e-6) == 1.0
        assert len(paces.reports(now)) <= MAX_REPORTS


# Failure cases.


def test_pace_that_is_no_longer_reported_falls_back_within_3_s():
    paces = MachinePace()
    for step in range(2000):
        # Long deviations, so that the time constant is the longest.
        paces.record(KEY, 2.5 if step // 60 % 2 else 1.0, step / 20)
    paces.record(KEY, 2.5, 100.0)
    assert paces.time_constant_s > 2.0 and paces.pace(KEY, 100.0) == 2.5
    assert 1.0 < paces.pace(KEY, 102.9) < 1.6
    assert paces.pace(KEY, 103.0) == 1.0
    assert paces.age_s(KEY, 103.0) is None and paces.count_paced(103.0) == 0


@pytest.mark.parametrize("percent", [1, 0, 100, 1_000_000])
def test_false_pace_is_clamped_and_the_bias_corrects_the_rest(host, percent):
    """An endpoint that takes 1.2 times as long as predicted reports a constant."""
    placement, catalog, membership = host
    for step in range(80):
        now = 1.0 + step / 20
        load = head(f"3,1,8,{percent}".encode())
        placement.record_pace(endpoint_of(host), load, now)
        listed = placement.eligible_endpoints(catalog, "engines", now)
        choice = placement.choose(req(), PLAIN_SERVICE, listed, membership, now)
        assert 0.25 <= choice.machine_pace <= 8.0
        placement.record_response_start(choice, PLAIN_SERVICE, 0.036, now)
    if percent < 1_000_000:
        assert choice.ttft_s == pytest.approx(0.036, rel=0.25)


@pytest.mark.parametrize("percent", [100, 1])
def test_machines_that_always_report_the_same_cost_little(percent):
    """Guards against a false report that is worse than none by over 1 in 100."""
    options = {"duration_s": 6.0}
    part = on_time(ENGINES, 39, range(3), says=lambda pace: percent / 100, **options)
    without = on_time(ENGINES, 39, range(3), is_known=False, **options)
    assert part > without - 0.01


def test_pace_is_dropped_with_the_endpoint_and_at_its_restart(host):
    placement, endpoint = host[0], endpoint_of(host)
    placement.record_pace(endpoint, head(b"3,1,8,250"), 1.0)
    placement.keep_only({"e1"})
    assert placement.machine_pace.pace(KEY, 1.0) == 2.5
    placement.keep_only({"e2"})
    assert placement.machine_pace.pace(KEY, 1.0) == 1.0
    first = attrs.evolve(endpoint, started_ms=1)
    second = attrs.evolve(endpoint, started_ms=2)
    placement.update_endpoint(first)
    placement.record_pace(first, head(b"3,1,8,250"), 2.0)
    placement.update_endpoint(second)
    assert placement.machine_pace.pace(KEY, 2.0) == 1.0
    # A late response of the life before.
    placement.record_pace(first, head(b"3,1,8,250"), 2.1)
    assert placement.machine_pace.pace(KEY, 2.1) == 1.0


def test_pace_of_another_endpoint_at_the_address_is_ignored(host):
    host[0].record_pace(endpoint_of(host), head(b"3,1,8,250", status=421), 1.0)
    assert host[0].machine_pace.pace(KEY, 1.0) == 1.0


def test_host_that_starts_knows_no_pace(host):
    assert host[0].machine_pace.pace(KEY, 1.0) == 1.0
    assert choose(host, req()).machine_pace == 1.0


def test_late_reports_count_by_their_age():
    paces = MachinePace()
    paces.apply_reports([(KEY, 250, 0.6)], 10.0)
    aged = 1.0 + 1.5 * math.exp(-(0.6 + machine_pace.HOP_S) / DEFAULT_TIME_CONSTANT_S)
    assert paces.pace(KEY, 10.0) == pytest.approx(aged)
    paces.record(KEY, 1.0, 10.1)
    paces.apply_reports([(KEY, 250, 0.2)], 10.2)
    assert paces.pace(KEY, 10.2) == 1.0
    paces.apply_reports([(KEY, 250, 5.0)], 20.0)
    assert paces.pace(KEY, 20.0) == 1.0


def test_hosts_that_pass_a_pace_on_do_not_keep_it_young():
    """Guards against a pace that goes round among hosts after it has ended.

    Each host passes it on as soon as it has waited in its socket.
    """
    known = MachinePace()
    known.record(KEY, 2.5, 0.0)
    now, hops = 0.0, 0
    while reports := known.reports(now):
        now, hops = now + 0.02, hops + 1
        known = MachinePace()
        # Ages are sent in whole milliseconds.
        known.apply_reports([(k, p, int(a * 1000) / 1000) for k, p, a in reports], now)
        assert hops < 200
    assert now <= MAX_REPORT_AGE_S + 0.1


def test_return_to_the_usual_is_passed_on():
    """Guards against machines that others avoid though they are fast again."""
    paces = MachinePace()
    paces.record(KEY, 2.5, 1.0)
    paces.record(KEY, 1.0, 1.1)
    assert paces.reports(1.2) == [(KEY, 100, pytest.approx(0.1))]
    assert paces.reports(1.1 + MAX_REPORT_AGE_S) == []
    # One that never saw it slow tells those that still do.
    other = MachinePace()
    other.record(KEY, 1.0, 1.1)
    assert other.reports(1.2) == []
    other.apply_reports([(KEY, 250, 0.2)], 1.2)
    assert other.reports(1.2) == [(KEY, 100, pytest.approx(0.1))]


def test_newest_deviating_paces_are_passed_on():
    paces = MachinePace()
    for key in range(40):
        paces.record(key, 2.5 if key % 2 else 1.19, 1.0 + key / 100)
    reports = paces.reports(1.4)
    assert [key for key, _, _ in reports] == list(range(39, 7, -2))
    assert len(reports) == MAX_REPORTS


def test_number_of_paces_is_bounded():
    paces = MachinePace()
    for key in range(5000):
        paces.record(key, 2.5, 1.0 + key / 1e6)
    assert paces.count_paced(1.1) <= 1024 and paces.pace(4999, 1.1) > 1.0


# Heartbeats.


def send(beat, receiver, now):
    """Apply a heartbeat as from a datagram."""
    received = decode(encode_frame(Frame(beat=beat))).beat
    check_heartbeat(received)
    receiver.gossip.apply_heartbeat(received, now)


def test_heartbeats_of_the_region_pass_paces_on():
    sender, receiver = make_host("a", "127.0.0.2"), make_host("b", "127.0.0.3")
    sender.placement.machine_pace.record(KEY, 2.5, 1.0)
    send(sender.gossip.build_heartbeat(1.1, is_same_region=True), receiver, 1.1)
    assert 2.0 < receiver.placement.machine_pace.pace(KEY, 1.1) < 2.5
    assert sender.gossip.build_heartbeat(1.1, is_same_region=False).paces is None
    assert sender.gossip.build_heartbeat(1.6, is_same_region=True).paces is None


def test_paces_of_another_region_are_ignored():
    sender, receiver = make_host("a", "127.0.0.2"), make_host("b", "127.0.0.3")
    beat = sender.gossip.build_heartbeat(1.1, is_same_region=True)
    beat.sender.region, beat.paces = "west", [EndpointPace(KEY, 250, 10)]
    send(beat, receiver, 1.1)
    assert receiver.placement.machine_pace.count_paced(1.1) == 0


# The whole path.


def test_paces_of_responses_reach_hosts_gauges_and_the_log(monkeypatch):
    lines = []

    def log(event, **fields):
        lines.append((event, fields))

    monkeypatch.setattr("cactusmill.serving.edge.log_event", log)

    def lines_of(request_id):
        return [f for e, f in lines if e == "request" and f["request_id"] == request_id]

    async def scenario(deployment):
        async def line_of(request_id):
            # A host logs a request after its response has left.
            await deployment.wait_until(lambda: lines_of(request_id))
            return lines_of(request_id)[-1]

        desk, other = deployment.endpoints["desk-1"], deployment.hosts["e2"]
        desk.load = "1,0,8"
        await deployment.send_request("e1", "/look/1", request_id="r-1")
        host = deployment.hosts["e1"]
        assert host.gauges(host.now())["endpoints_paced"] == 0
        assert "machine_pace" not in await line_of("r-1")
        desk.load = "1,0,8,x"
        await deployment.send_request("e1", "/look/1", request_id="r-2")
        gauges = host.gauges(host.now())
        assert gauges["malformed_load_reports"] == 1 and not gauges["endpoints_paced"]
        desk.load, desk.handler = "1,0,8,250,7", not_executed
        await deployment.send_request("e1", "/order/1", request_id="r-3")
        desk.handler = None
        assert host.gauges(host.now())["endpoints_paced"] == 1
        await deployment.send_request("e1", "/look/1", request_id="r-4")
        fields = await line_of("r-4")
        assert 1.0 < fields["machine_pace"] <= 2.5 and fields["machine_pace_age_s"] < 3
        key = load_key("desk-1")
        await deployment.wait_until(
            lambda: other.placement.machine_pace.pace(key, other.now()) > 1.5
        )

    on_deployment(
        scenario,
        hosts=(("e1", "east-a"), ("e2", "east-a")),
        endpoints=(("desk-1", "east-a", "desk"),),
    )
