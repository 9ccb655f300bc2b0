"""Use of the levels by hosts: heartbeats, decisions and what stays as it was."""

import attrs
import pytest
import trio

from cactusmill.errors import Overloaded
from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.request import Request, Sink
from cactusmill.internal.wire.ttypes import Frame
from cactusmill.records import Endpoint, Service, Team
from cactusmill.serving import dispatch
from cactusmill.serving.catalog import ConfigurationChange, EndpointChange
from cactusmill.serving.heartbeat_checks import check_heartbeat
from cactusmill.serving.heartbeats import REGION_HEARTBEAT_S
from cactusmill.serving.progress import new_progress
from cactusmill.serving.retry_after import RetrySchedule
from standins.loopback import configuration as published_configuration
from standins.loopback import running_deployment

from ..test_gossip import make_host
from .test_rank_levels import (
    PATIENT,
    QUESTION,
    QUOTE,
    RANKED,
    UNRANKED,
    URGENT,
    configuration,
    press,
)


class Clock:
    """Simulated time, in seconds."""

    time = 1.0

    def __call__(self):
        """Return the present time."""
        return self.time


def host_with(configuration, name="me", ip="127.0.0.1", region="east"):
    """Return a host with one engine in its region."""
    host = make_host(name, ip, Clock())
    host.cfg = attrs.evolve(host.cfg, region=region)
    host.membership.own_id = attrs.evolve(host.membership.own_id, region=region)
    host.catalog.apply(
        ConfigurationChange(revision=1, configuration=configuration), 0.0
    )
    engine = Endpoint(
        name="engine",
        zone="east-a",
        region="east",
        address="127.0.0.1:1",
        serves=("engines",),
        capacity=24,
    )
    change = EndpointChange(revision=2, name="engine", endpoint=engine)
    host.catalog.apply(change, 0.0)
    return host


def request(route, host, team=None):
    now = host.now()
    return Request(
        request_id="r",
        route=route,
        team=team,
        records_version=1,
        method="POST",
        target=route.prefix,
        headers=[],
        body=b"",
        deadline=now + 5.0,
        service="engines",
        prompt_tokens=600,
        is_stream=True,
        objective_at=now + route.objective_s,
    )


def run_request(host, req, is_forwarded=False):
    async def no_response(*args):
        raise AssertionError("nothing is sent")

    sink = Sink(no_response, no_response, no_response, whole=no_response)

    async def main():
        progress = new_progress(req, 2)
        return await dispatch.run_request(
            host, req, sink, progress, is_forwarded=is_forwarded
        )

    return trio.run(main)


def low_level(host):
    """Bring the level of a host to its least, and return the host."""
    levels = host.rank_levels_in_force()
    host.now.time = press(levels, host.now.time, host.now.time + 6.0)
    host.rng.random = lambda: 0.99
    return host


def send(sender, receiver, is_same_region=True):
    """Pass the next heartbeat of a host to another one; return it."""
    now = sender.now()
    beat = sender.gossip.build_heartbeat(now, is_same_region, with_regions=True)
    received = decode(encode_frame(Frame(beat=beat))).beat
    check_heartbeat(received)
    receiver.gossip.apply_heartbeat(received, now)
    return beat


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_patient_request_beyond_the_level_is_refused(is_forwarded):
    """A request that another region forwarded is judged like a local one."""
    host = low_level(host_with(RANKED))
    before = host.rank_levels._sums["engines"][PATIENT].refused
    refusal = run_request(host, request(QUESTION, host), is_forwarded)
    assert isinstance(refusal, Overloaded)
    assert 0.6 <= refusal.retry_after_s <= 4.0
    assert host.rank_levels._sums["engines"][PATIENT].refused == before + 600


def test_only_patient_requests_are_judged_by_the_level():
    host = low_level(host_with(RANKED))
    admitted = {
        "patient": request(QUESTION, host),
        "urgent": request(QUOTE, host),
        "patient route, urgent team": request(
            QUESTION,
            host,
            Team(name="t", rate_tokens_per_s=1, burst_tokens=1, priority=0),
        ),
        "route that is not patient": request(
            attrs.evolve(QUESTION, name="other"), host
        ),
    }
    found = {
        name: dispatch._is_admitted_by_rank(host, req, new_progress(req, 2))
        for name, req in admitted.items()
    }
    assert found == {name: name != "patient" for name in admitted}


def test_resumed_stream_is_not_judged_again():
    """Guards against a response that its host would have to cut."""
    host = low_level(host_with(RANKED))
    req = request(QUESTION, host)
    progress = new_progress(req, 2)
    progress.scanner.last_id = "7"
    assert dispatch._is_admitted_by_rank(host, req, progress)


def test_request_that_may_not_run_here_is_not_counted():
    host = low_level(host_with(RANKED))
    req = request(attrs.evolve(QUESTION, regions=("west",)), host)
    before = host.rank_levels.gauges(host.now())
    assert dispatch._is_admitted_by_rank(host, req, new_progress(req, 2))
    assert host.rank_levels.gauges(host.now()) == before


def test_heartbeats_of_the_region_carry_ranks_and_other_heartbeats_do_not():
    sender, receiver = low_level(host_with(RANKED)), host_with(RANKED, "other")
    receiver.now.time = sender.now()
    receiver.update_rank_levels(receiver.now())
    ranks = {r.priority: r for r in send(sender, receiver).ranks}
    assert set(ranks) == {URGENT, PATIENT}
    assert ranks[URGENT].refused_tokens_per_s == ranks[URGENT].asked_tokens_per_s > 0
    assert ranks[PATIENT].admitted_permille == 300
    receiver.update_rank_levels(receiver.now())
    assert receiver.rank_levels.level("engines") < 0.4
    assert send(sender, receiver, is_same_region=False).ranks is None


def test_ranks_of_another_region_are_ignored():
    sender = low_level(host_with(RANKED, region="west"))
    receiver = host_with(RANKED, "other")
    send(sender, receiver)
    assert not receiver.rank_levels._reports


def test_restarted_host_is_forgotten():
    sender, receiver = low_level(host_with(RANKED)), host_with(RANKED, "other")
    send(sender, receiver)
    assert receiver.rank_levels._reports
    restarted = host_with(UNRANKED)
    restarted.now.time = sender.now() + 0.1
    send(restarted, receiver)
    assert not receiver.rank_levels._reports


def test_heartbeat_without_ranks_is_accepted():
    """A host of the previous version is in the region."""
    sender, receiver = host_with(UNRANKED), host_with(RANKED, "other")
    assert send(sender, receiver).ranks is None
    receiver.update_rank_levels(receiver.now())
    assert receiver.rank_levels.level("engines") == 1.0


def test_services_that_are_not_ranked_stay_as_they_were():
    """No draw, no count, no field in heartbeats, and the same retry times."""
    host = host_with(UNRANKED)
    state = host.rng.getstate()
    for route in (QUOTE, attrs.evolve(QUESTION, objective_s=2.0)):
        req = request(route, host)
        assert dispatch._is_admitted_by_rank(host, req, new_progress(req, 2))
        dispatch._record_rank_refusal(host, req)
    host.update_rank_levels(1.0)
    assert host.rng.getstate() == state
    assert host.rank_levels._sums == host.rank_levels._levels == {}
    schedule = host.retry_schedule_for("engines", URGENT)
    assert isinstance(schedule, RetrySchedule)
    assert host.retry_schedule_for("engines", PATIENT) is schedule
    assert host.retry_schedule_for("desk", URGENT) is not schedule
    beat = host.gossip.build_heartbeat(1.0, is_same_region=True)
    assert beat.ranks is None


def test_other_services_beside_a_ranked_one_stay_as_they_were():
    mixed = configuration(
        QUOTE, QUESTION, attrs.evolve(QUESTION, name="look", service="desk")
    )
    mixed.services["desk"] = Service(name="desk")
    host = low_level(host_with(mixed))
    req = attrs.evolve(
        request(attrs.evolve(QUESTION, name="look", service="desk"), host),
        service="desk",
    )
    before = host.rank_levels.gauges(host.now())
    assert dispatch._is_admitted_by_rank(host, req, new_progress(req, 2))
    dispatch._record_rank_refusal(host, req)
    assert host.rank_levels.gauges(host.now()) == before
    assert isinstance(host.retry_schedule_for("desk", PATIENT), RetrySchedule)


def decisions(monkeypatch, host, reqs):
    """Return the arguments of ``overload.decide`` for some requests."""
    seen = []

    def record(**arguments):
        seen.append(arguments)

    monkeypatch.setattr(dispatch, "decide", record)
    for req in reqs:
        dispatch._next_step(host, req, new_progress(req, 2), False)
    return seen


def test_only_the_most_urgent_rank_is_free_of_the_pause_limit(monkeypatch):
    for in_force, expected in ((RANKED, [True, False]), (UNRANKED, [False, False])):
        host = host_with(in_force)
        reqs = [request(QUOTE, host), request(QUESTION, host)]
        seen = decisions(monkeypatch, host, reqs)
        assert [arguments["is_most_urgent"] for arguments in seen] == expected
        assert all(arguments["is_admitted"] for arguments in seen)
        assert [arguments["max_gap_s"] for arguments in seen] == [0.0, 0.0]


def test_configuration_that_ranks_no_service_ends_its_level_at_once():
    host = low_level(host_with(RANKED))
    host.catalog.apply(
        ConfigurationChange(
            revision=9, configuration=attrs.evolve(UNRANKED, version=2)
        ),
        host.now(),
    )
    req = request(QUESTION, host)
    assert dispatch._is_admitted_by_rank(host, req, new_progress(req, 2))
    assert host.rank_levels._levels == {}
    beat = host.gossip.build_heartbeat(host.now(), is_same_region=True)
    assert beat.ranks is None


def test_running_hosts_agree_on_gauges_and_log_changes(monkeypatch):
    """Levels fall and return through the real heartbeats of two hosts."""
    written = []
    monkeypatch.setattr(
        "cactusmill.serving.gateway_host.log_event",
        lambda event, **fields: written.append((event, fields)),
    )
    published = published_configuration()
    published["routes"][0].update(target_latency_ms=1000, priority=0)
    published["routes"][1].update(target_latency_ms=4000, priority=2)

    async def main():
        hosts = (("e1", "east-a"), ("e2", "east-a"))
        async with running_deployment(hosts, published=published) as deployment:
            first, second = deployment.hosts.values()
            for _ in range(20):
                for _ in range(10):
                    levels, now = first.rank_levels_in_force(), first.now()
                    levels.record_asked("engines", 0, 3000, now)
                    levels.record_refused("engines", 0, 3000, now)
                await trio.sleep(REGION_HEARTBEAT_S)
            gauges = [host.gauges(host.now()) for host in (first, second)]
            assert all(g["rank_level_engines"] < 0.8 for g in gauges)
            assert gauges[0]["rank_refused_tokens_per_s_engines_0"] > 0

    trio.run(main)
    changes = [fields for event, fields in written if event == "rank_level"]
    assert changes and all(c["service"] == "engines" for c in changes)
