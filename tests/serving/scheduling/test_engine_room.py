"""Engines with queues of patient prompts, and engines whose memory is full.

The load pattern is that of Depot (docs/design/contended-load.md): large urgent prompts
and small patient ones at once, in bursts beyond the capacity of the engines.
"""

import attrs
import pytest

from benchmarks.goodput import DEPOT, GoodputSimulation, run_seeds
from cactusmill.errors import Outcome, Overloaded
from cactusmill.internal.endpoints import load_key
from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.request import Request
from cactusmill.internal.wire.ttypes import EndpointWork, Frame
from cactusmill.records import Endpoint, Route, Service, Team
from cactusmill.serving.catalog import (
    Catalog,
    Configuration,
    ConfigurationChange,
    EndpointChange,
)
from cactusmill.serving.heartbeat_checks import check_heartbeat
from cactusmill.serving.heartbeats import REGION_HEARTBEAT_S
from cactusmill.serving.membership import REMOVE_AFTER_S, Membership
from cactusmill.serving.overload import Send, decide
from cactusmill.serving.placement import Placement
from cactusmill.serving.retry_after import RetrySchedule
from cactusmill.serving.scheduling import engine_room
from cactusmill.serving.scheduling.engine_room import (
    EngineRoom,
    add_share,
    find_need,
)
from cactusmill.serving.sending import InFlightLoad
from standins.engine_model import Engine, EngineRequest, EngineSpec

from ..test_gossip import make_host
from ..test_membership import host_id

KV_CACHE_TOKENS = 225_265
ENGINES = Service(
    name="engines",
    is_engine=True,
    kv_cache_tokens=KV_CACHE_TOKENS,
    tokens_per_event=7,
)
FULL = int(0.95 * KV_CACHE_TOKENS)
QUOTE = Route(
    name="quote",
    prefix="/q/",
    kind="model",
    service="engines",
    is_stream=True,
    priority=0,
    objective_s=1.0,
)
QUESTION = attrs.evolve(
    QUOTE, name="question", prefix="/a/", priority=2, objective_s=4.0
)
# Its objective is too short for it to be patient beside quotes.
ANSWER = attrs.evolve(QUESTION, objective_s=1.0)
KEY = load_key("e1")


def configuration_of(*routes):
    return Configuration(
        version=1,
        routes=routes,
        teams={},
        team_by_key={},
        services={"engines": ENGINES},
        limits=None,
    )


RANKED = configuration_of(QUOTE, QUESTION)
UNRANKED = configuration_of(QUOTE, ANSWER)


def make_request(route, team=None, now=1.0):
    segments = (("a", 198), ("own", 628))
    if route.name == "quote":
        segments = (("b", 6300), ("own", 2890))
    return Request(
        request_id="r",
        route=route,
        team=team,
        records_version=1,
        method="POST",
        target="/",
        headers=[],
        body=b"",
        deadline=now + 15.0,
        service="engines",
        prompt_tokens=sum(tokens for _, tokens in segments),
        output_tokens=300,
        prompt_segments=segments,
        is_stream=True,
        objective_at=now + route.objective_s,
    )


def add_engine(catalog, configuration=RANKED):
    endpoint = Endpoint(
        name="e1",
        zone="east-a",
        region="east",
        address="127.0.0.1:1",
        serves=("engines",),
        capacity=32,
    )
    catalog.apply(EndpointChange(revision=1, name="e1", endpoint=endpoint), 0.0)
    catalog.apply(ConfigurationChange(revision=2, configuration=configuration), 0.0)
    return endpoint


@attrs.define(eq=False)
class Host:
    """A host with one engine, reduced to the state that decisions use."""

    placement: Placement = attrs.field(factory=lambda: Placement("east", "me"))
    catalog: Catalog = attrs.field(factory=Catalog)
    membership: Membership = attrs.field(factory=lambda: Membership(host_id("me")))

    def __attrs_post_init__(self):
        add_engine(self.catalog)

    def choose(self, route, configuration=RANKED, now=1.0):
        req = make_request(route, now=now)
        return self.placement.choose(
            req,
            ENGINES,
            self.placement.eligible_endpoints(self.catalog, "engines", now),
            self.membership,
            now,
            need=find_need(req, ENGINES, configuration),
        )

    def decide(self, route, configuration=RANKED, now=1.0):
        return decide(
            local=self.choose(route, configuration, now),
            remote=None,
            objective_s=route.objective_s,
            deadline_s=15.0,
            is_engine=True,
            jitter=0.5,
            retry_schedule=RetrySchedule(),
            endpoints_per_host=1.0,
            now=now,
        )

    def report(self, load, name="h2", now=1.0):
        """Apply another host's report of its load at the engine."""
        member = self.membership.record_host(host_id(name), False, 0.0, now)
        self.membership.record_load(member, {KEY: load}, now)


# The load pattern.

SMALL_DEPOT = attrs.evolve(
    DEPOT,
    engines={"one": 4, "two": 3, "three": 2},
    requests_per_s=DEPOT.requests_per_s / 5,
    hosts_per_region=5,
)
# With so little memory that long responses fill it.
SCARCE_MEMORY = attrs.evolve(
    SMALL_DEPOT, spec=attrs.evolve(DEPOT.spec, kv_cache_tokens=80_000)
)


@pytest.fixture(scope="module")
def replays():
    """Return the figures of bursts of up to 2.5 times the capacity, by policy."""
    return {
        policy: run_seeds(policy, 1.0, range(2), SMALL_DEPOT)
        for policy in ("this", "unranked")
    }


@pytest.mark.histories
def test_urgent_requests_are_served_where_patient_ones_fill_the_engines(replays):
    assert replays["this"]["quote credit"] > 0.44
    assert replays["this"]["quote refused"] < 0.4
    assert replays["this"]["question refused"] < 0.15


@pytest.mark.histories
def test_urgent_requests_are_refused_where_all_tokens_count_alike(replays):
    """What happens without the ranks of services."""
    assert replays["unranked"]["quote credit"] < 0.4
    assert replays["unranked"]["quote refused"] > 0.48
    assert replays["this"]["credit"] > replays["unranked"]["credit"] + 0.03


@pytest.mark.histories
def test_memory_that_is_not_counted_costs_preemptions(monkeypatch):
    """Streams hold more tokens than the engines have."""
    counted = run_seeds("this", 1.0, [0], SCARCE_MEMORY)
    monkeypatch.setattr(engine_room, "MEMORY_FRACTION", float("inf"))
    ignored = run_seeds("this", 1.0, [0], SCARCE_MEMORY)
    assert counted["question preempted"] < 0.6 * ignored["question preempted"]
    assert counted["credit"] > ignored["credit"] + 0.02


def test_urgent_request_is_sent_past_a_queue_of_patient_prompts():
    host = Host()
    for _ in range(100):
        choice = host.choose(QUESTION)
        InFlightLoad(choice.view, choice.uncached_tokens, choice.need)
    assert isinstance(host.decide(QUOTE), Send)
    assert isinstance(host.decide(QUOTE, UNRANKED), Overloaded)
    # A patient request waits for all of them.
    assert host.choose(QUESTION).ttft_s > host.choose(QUOTE).ttft_s + 1.0


def test_urgent_request_waits_for_urgent_prompts():
    host = Host()
    for _ in range(9):
        choice = host.choose(QUOTE)
        InFlightLoad(choice.view, choice.uncached_tokens, choice.need)
    assert isinstance(host.decide(QUOTE), Overloaded)


def test_full_engine_takes_urgent_requests_at_a_cost_and_no_patient_ones():
    host = Host()
    before = host.choose(QUOTE)
    host.report((20, 0, 0, FULL))
    refusal = host.decide(QUESTION)
    assert isinstance(refusal, Overloaded)
    assert refusal.outcome is Outcome.NOT_RUN and refusal.retry_after_s > 0
    assert host.choose(QUOTE).ttft_s == pytest.approx(before.ttft_s + 1.0)
    assert isinstance(host.decide(QUESTION, UNRANKED), Send)


def test_engine_is_full_when_the_request_itself_does_not_fit():
    host = Host()
    held = host.choose(QUESTION).need.held_tokens
    assert held == 628 + 300
    host.report((20, 0, 0, FULL - held))
    assert isinstance(host.decide(QUESTION), Send)
    host.report((20, 0, 0, FULL - held + 1))
    assert isinstance(host.decide(QUESTION), Overloaded)


def test_memory_of_an_unknown_size_refuses_nothing():
    service = attrs.evolve(ENGINES, kv_cache_tokens=0.0)
    need = find_need(make_request(QUESTION), service, RANKED)
    assert engine_room.has_memory(need, 10**9)


def test_team_with_an_urgent_priority_is_not_patient():
    """Engines prefill its prompts before others of its route."""
    team = Team(name="t", rate_tokens_per_s=1.0, burst_tokens=1.0, priority=0)
    assert not find_need(make_request(QUESTION, team), ENGINES, RANKED).is_patient
    assert find_need(make_request(QUESTION), ENGINES, RANKED).is_patient
    assert not find_need(make_request(QUOTE), ENGINES, RANKED).is_patient


# Services that are not ranked.


@pytest.mark.parametrize("route", [QUOTE, ANSWER])
def test_predictions_of_other_services_do_not_change(route):
    host, plain = Host(), Host()
    host.report((20, 90_000, 80_000, FULL))
    plain.report((20, 90_000))
    found, expected = (
        h.placement.choose(
            make_request(route),
            ENGINES,
            h.placement.eligible_endpoints(h.catalog, "engines", 1.0),
            h.membership,
            1.0,
            **need,
        )
        for h, need in (
            (host, {"need": find_need(make_request(route), ENGINES, UNRANKED)}),
            (plain, {}),
        )
    )
    fields = "ttft_s", "uncorrected_ttft_s", "total_s", "prefill_s", "stream_delay_s"
    assert [getattr(found, f) for f in fields] == [getattr(expected, f) for f in fields]
    assert found.need is None


def heartbeat_of_a_request(configuration, route):
    """Return a host with one request in flight, and its encoded heartbeat."""
    host = make_host()
    add_engine(host.catalog, configuration)
    need = find_need(make_request(route), ENGINES, configuration)
    InFlightLoad(host.placement.view("e1"), 928, need)
    heartbeat = host.gossip.build_heartbeat(1.0, is_same_region=True)
    return host, heartbeat


def test_heartbeats_of_other_services_do_not_change():
    _, heartbeat = heartbeat_of_a_request(UNRANKED, ANSWER)
    data = encode_frame(Frame(beat=heartbeat))
    heartbeat.work = [EndpointWork(KEY, 1, 928)]
    assert data == encode_frame(Frame(beat=heartbeat))


# Heartbeats.


def receive(host, heartbeat, now=1.0):
    received = decode(encode_frame(Frame(beat=heartbeat))).beat
    check_heartbeat(received)
    host.gossip.apply_heartbeat(received, now)


def test_heartbeats_carry_what_requests_take_of_an_engine():
    _, heartbeat = heartbeat_of_a_request(RANKED, QUESTION)
    assert heartbeat.work == [EndpointWork(KEY, 1, 928, 928, 928)]
    _, heartbeat = heartbeat_of_a_request(RANKED, QUOTE)
    assert heartbeat.work == [EndpointWork(KEY, 1, 928, None, 2890 + 300)]
    other = make_host("other", "127.0.0.2")
    receive(other, heartbeat)
    assert other.membership.load.room_at(KEY) == (0, 3190)


def test_late_reports_stop_counting_after_three_rounds():
    host = Host()
    host.report((20, 0, 0, FULL))
    rounds = 3.1 * REGION_HEARTBEAT_S
    assert isinstance(host.decide(QUESTION, now=0.99 + rounds), Overloaded)
    assert isinstance(host.decide(QUESTION, now=1.01 + rounds), Send)


def test_sum_is_scaled_to_all_hosts_where_reports_are_lost():
    host = Host()
    for name in ("h2", "h3", "h4", "h5"):
        host.membership.record_host(host_id(name), False, 0.0, 1.0)
    host.report((5, 100, 40, FULL // 4), "h2")
    assert host.membership.load.room_at(KEY, 4) == (160, FULL // 4 * 4)
    assert isinstance(host.decide(QUESTION), Overloaded)


def test_restarted_endpoint_has_no_capacity_promised():
    host = Host()
    endpoint = host.catalog.listed()[0].endpoint
    host.placement.update_endpoint(attrs.evolve(endpoint, started_ms=1))
    view = host.placement.view("e1")
    need = attrs.evolve(host.choose(QUESTION).need, held_tokens=FULL)
    load = InFlightLoad(view, 628, need)
    assert isinstance(host.decide(QUESTION), Overloaded)
    host.placement.update_endpoint(attrs.evolve(endpoint, started_ms=2))
    assert isinstance(host.decide(QUESTION), Send)
    # The request of the earlier process ends later, and counts for nothing.
    load.end()
    assert attrs.astuple(view.room) == (0, 0, 0)


def test_ended_endpoint_is_forgotten_with_its_requests():
    host = Host()
    need = attrs.evolve(host.choose(QUESTION).need, held_tokens=FULL)
    load = InFlightLoad(host.placement.view("e1"), 628, need)
    load.end()
    host.placement.keep_only(set())
    assert host.placement.count_room() == (0, 0)
    assert isinstance(host.decide(QUESTION), Send)


def test_report_of_an_ended_host_expires_and_is_removed():
    host = Host()
    host.report((20, 0, 0, FULL))
    assert host.membership.load.room_at(KEY) == (0, FULL)
    host.membership.remove_expired(1.1 + REMOVE_AFTER_S)
    assert host.membership.load.room_at(KEY) == (0, 0)


def test_host_of_the_previous_version_reports_neither_number():
    sender, heartbeat = heartbeat_of_a_request(RANKED, QUESTION)
    heartbeat.work = [EndpointWork(KEY, 3, 5000)]
    other = make_host("other", "127.0.0.2")
    receive(other, heartbeat)
    assert other.membership.load.at(KEY) == (3, 5000)
    assert other.membership.load.room_at(KEY) == (0, 0)


@pytest.mark.parametrize(
    "work",
    [
        EndpointWork(KEY, 1, 500, -1, 0),
        EndpointWork(KEY, 1, 500, 501, 0),
        EndpointWork(KEY, 1, 500, 100, -1),
    ],
)
def test_heartbeat_with_invalid_numbers_is_ignored(work):
    """More patient tokens than tokens would hide the prompts of other hosts."""
    _, heartbeat = heartbeat_of_a_request(RANKED, QUESTION)
    heartbeat.work = [work]
    with pytest.raises(Exception, match="no valid work"):
        check_heartbeat(heartbeat)


# What one host counts.


def test_request_is_counted_from_its_sending_to_its_end():
    room = EngineRoom()
    need = find_need(make_request(QUESTION), ENGINES, RANKED)
    share = add_share(room, need, 628)
    assert attrs.astuple(room) == (628, 928, 928)
    share.mark_prompt_read()
    assert attrs.astuple(room) == (0, 928, 0)
    share.end()
    share.end()
    assert attrs.astuple(room) == (0, 0, 0)


def test_gauges_show_what_requests_hold():
    host, _ = heartbeat_of_a_request(RANKED, QUESTION)
    gauges = host.placement.count_room()
    assert gauges == (0, 928)
    view = host.placement.view("e1")
    need = attrs.evolve(
        find_need(make_request(QUOTE), ENGINES, RANKED), held_tokens=FULL
    )
    assert host.full_engines(1.0) == {}
    InFlightLoad(view, 628, need).mark_prompt_read()
    assert host.placement.count_room() == (FULL, 928)
    assert host.full_engines(1.0) == {"engines": 1}


# The modelled engine.


def run_engine(spec, priorities, output_tokens=400):
    """Run one request of each priority to its end; return them and the engine."""
    engine = Engine("e1", "east", spec, tokens_per_event=7)
    ended = []
    requests = [
        EngineRequest(
            ((f"own{number}", 600),),
            output_tokens,
            priority,
            lambda now: None,
            lambda now, number=number: ended.append(number),
        )
        for number, priority in enumerate(priorities)
    ]
    for req in requests:
        engine.add(req)
    now = 0.0
    while (end := engine.step(now)) is not None:
        now = end
    assert sorted(ended) == list(range(len(priorities)))
    return requests, engine


def test_engine_preempts_the_newest_of_the_least_urgent_streams():
    spec = EngineSpec(kv_cache_tokens=2500, limits_memory=True)
    requests, engine = run_engine(spec, [2, 2, 0])
    assert [r.preemptions > 0 for r in requests] == [False, True, False]
    assert requests[1].longest_gap_s > 5 * requests[0].longest_gap_s


def test_engine_without_limits_of_memory_preempts_nothing():
    _, engine = run_engine(EngineSpec(kv_cache_tokens=2500), [2, 2, 0])
    assert engine.preemptions == 0


def test_replay_runs_through_the_modules_of_the_host():
    """Guards against a replay in which no request has ranks."""
    assert GoodputSimulation("this", 1.0, 0, SMALL_DEPOT).configuration.patient_routes
