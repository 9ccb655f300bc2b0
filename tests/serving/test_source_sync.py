"""What hosts conclude from published changes, whatever the order and delay of news."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusmill.records import CallerLimits, Endpoint, Service
from cactusmill.serving import catalog as catalog_module
from cactusmill.serving import source_sync
from cactusmill.serving.catalog import (
    Configuration,
    ConfigurationChange,
    EndpointChange,
    EvacuationChange,
)
from cactusmill.serving.gateway_host import GatewayHost, HostSettings
from standins.loopback import ZONES

from .test_membership import host_id
from .test_placement import req

WARMUP_S, WARMUP_RATE_PER_S, WARMUP_OVERAGE, WARMUP_SLACK = 3.0, 3.3, 1.5, 3.0
SERVICE = Service(
    name="engines",
    is_engine=True,
    warmup_s=WARMUP_S,
    warmup_rate_per_s=WARMUP_RATE_PER_S,
)
ENDPOINT = Endpoint(
    name="e1",
    zone="east-a",
    region="east",
    address="127.0.0.1:1",
    serves=("engines",),
    capacity=128,
)
# Interval of an endpoint's heartbeats; each publishes a new entry while it warms up.
HEARTBEAT_S = 1.2


def entry(revision, warmup_left_s=0.0):
    endpoint = attrs.evolve(ENDPOINT, warmup_left_s=warmup_left_s)
    return EndpointChange(revision=revision, name="e1", endpoint=endpoint)


def evacuation(revision, is_evacuated):
    return EvacuationChange(revision=revision, zone="east-a", is_evacuated=is_evacuated)


@attrs.define
class Clock:
    now: float = 0.0


def apply_changes(host, changes):
    # The host's clock stands still, so that nothing pauses and no loop is needed.
    with pytest.raises(StopIteration):
        source_sync.apply_changes(host, changes).send(None)


def new_host(name, clock, others=(), dialect=None, routes=()):
    """Return a host that knows the service and other hosts of its region."""
    cfg = HostSettings(
        host=name,
        ip="127.0.0.1",
        zone="east-a",
        region="east",
        callers="127.0.0.1:1",
        peers="127.0.0.1:2",
        seeds=(),
        zones=ZONES,
    )
    host = GatewayHost(cfg, dialect, None, now=lambda: clock.now)
    for other in others:
        host.membership.record_host(host_id(other), False, 0.0, clock.now)
    configuration = Configuration(
        version=1,
        routes=routes,
        teams={},
        team_by_key={},
        services={"engines": SERVICE},
        limits=CallerLimits(),
    )
    change = ConfigurationChange(revision=1, configuration=configuration)
    apply_changes(host, [change])
    return host


def new_hosts(count, clock):
    names = [f"h{number}" for number in range(count)]
    return [new_host(n, clock, others=set(names) - {n}) for n in names]


def send_if_possible(host, now):
    """Send one of many waiting requests; return whether an endpoint took it."""
    listed = host.placement.eligible_endpoints(host.catalog, "engines", now)
    choice = host.placement.choose(req(), SERVICE, listed, host.membership, now)
    if choice is None:
        return False
    choice.record_sent(now)
    return True


def times_sent(hosts, clock, news, until):
    """Return when hosts with many waiting requests send to the endpoint.

    Parameters
    ----------
    hosts : list of GatewayHost
    clock : Clock
    news : list of (float, GatewayHost, change)
        When which host applies which change, in seconds.
    until : float
        End, in seconds.
    """
    sent = []
    news = sorted(news, key=lambda n: n[0])
    while clock.now < until:
        while news and news[0][0] <= clock.now:
            _, host, change = news.pop(0)
            apply_changes(host, [change])
        sent += [clock.now for host in hosts if send_if_possible(host, clock.now)]
        clock.now += 0.02
    return sent


def assert_within_warmup_rate(sent, cold_until):
    while_cold = [at for at in sent if at < cold_until]
    for start in while_cold:
        inside = sum(start <= at < start + 1.0 for at in while_cold)
        assert inside <= WARMUP_RATE_PER_S * WARMUP_OVERAGE + WARMUP_SLACK


def test_zone_reopened_before_news_of_its_cold_endpoint_does_not_flood_it():
    # Incident inc-9b16: the endpoint became cold while the store was away, and hosts
    # learned of the end of the evacuation 0.3 s before they learned of that.
    clock = Clock()
    hosts = new_hosts(2, clock)
    for host in hosts:
        apply_changes(host, [entry(1), evacuation(2, True)])
    clock.now = 10.0
    news = [
        (10.0, hosts[0], evacuation(3, False)),
        (10.2, hosts[1], evacuation(3, False)),
        (10.3, hosts[0], entry(4, warmup_left_s=0.95)),
        (10.4, hosts[1], entry(4, warmup_left_s=0.95)),
    ]
    sent = times_sent(hosts, clock, news, until=11.5)
    assert sent
    assert_within_warmup_rate(sent, cold_until=11.2)


def test_requests_sent_before_news_of_the_warm_up_count_towards_its_rate():
    clock = Clock(10.0)
    hosts = new_hosts(2, clock)
    news = [(10.0, host, entry(1)) for host in hosts]
    news += [(10.05, host, entry(2, warmup_left_s=2.0)) for host in hosts]
    sent = times_sent(hosts, clock, news, until=12.0)
    assert sum(at < 10.05 for at in sent) == 6
    assert sum(at > 10.05 for at in sent) >= 2
    assert_within_warmup_rate(sent, cold_until=12.0)


reopenings = given(
    learn_s=st.lists(st.floats(0, 1.5), min_size=1, max_size=4),
    publish_s=st.floats(-2, 4),
    cold_s=st.floats(0, WARMUP_S),
    delay_s=st.floats(0, 1),
)


def replay_reopening(learn_s, publish_s, cold_s, delay_s):
    """Replay a zone's return at 10 s, with an endpoint that became cold before.

    Parameters
    ----------
    learn_s : list of float
        When each host learns of the return, in seconds after it.
    publish_s : float
        When the endpoint's entry says for the first time that it is cold, in seconds
        after the return.
    cold_s : float
        How long it has been cold at the return, in seconds.
    delay_s : float
        Time from a publication until the hosts learn of it, in seconds.
    """
    clock = Clock()
    hosts = new_hosts(len(learn_s), clock)
    for host in hosts:
        apply_changes(host, [entry(1), evacuation(2, True)])
    cold_until = 10.0 - cold_s + WARMUP_S
    news = [
        (10.0 + s, h, evacuation(50, False))
        for s, h in zip(learn_s, hosts, strict=True)
    ]
    at, revision = 10.0 + max(publish_s, -cold_s), 3
    while at < cold_until + HEARTBEAT_S:
        change = entry(
            revision if at < 10.0 else 50 + revision, max(0.0, cold_until - at)
        )
        news += [(at + delay_s, host, change) for host in hosts]
        at, revision = at + HEARTBEAT_S, revision + 1
    clock.now = 7.0
    sent = times_sent(hosts, clock, news, until=cold_until + 0.1)
    assert_within_warmup_rate(sent, cold_until)


@reopenings
@settings(deadline=None)
def test_reopened_zone_keeps_to_the_warmup_rate_in_any_order_of_news(
    learn_s, publish_s, cold_s, delay_s
):
    replay_reopening(learn_s, publish_s, cold_s, delay_s)


def test_reopened_zone_is_flooded_if_entries_from_before_its_end_are_believed(
    monkeypatch,
):
    monkeypatch.setattr(catalog_module, "_mark_reopened", lambda *_: None)
    with pytest.raises(AssertionError):
        replay_reopening(learn_s=[0.0], publish_s=0.0, cold_s=0.0, delay_s=1.0)


def is_paced(host, now):
    return host.placement.count_warming(host.catalog, [SERVICE], now) == 1


def test_end_of_an_evacuation_that_only_a_listing_shows_counts():
    clock = Clock(20.0)
    host = new_host("h1", clock)
    host.placement.started_at = 0.0
    apply_changes(host, [entry(2), evacuation(3, True)])
    ended = host.catalog.keep_only({"e1"}, set(), 3, clock.now)
    assert ended == [evacuation(3, False)]
    assert is_paced(host, 20.1) and not is_paced(host, 20.1 + WARMUP_S)


def test_old_entry_that_arrives_after_the_end_of_an_evacuation_does_not_count_as_warm():
    clock = Clock(20.0)
    host = new_host("h1", clock)
    host.placement.started_at = 0.0
    apply_changes(host, [evacuation(2, True), evacuation(3, False), entry(1)])
    assert is_paced(host, 20.1) and not is_paced(host, 20.1 + WARMUP_S)
    apply_changes(host, [entry(4)])
    assert not is_paced(host, 20.2)


def test_end_of_an_earlier_evacuation_says_nothing_to_a_new_process():
    # An export of another host contains ends of evacuations of any age.
    host = new_host("h1", Clock(20.0))
    apply_changes(host, [evacuation(3, False), entry(2)])
    assert not is_paced(host, 20.1) and not host.catalog.reopenings(20.1)


def exchange_heartbeats(hosts, now):
    for sender in hosts:
        heartbeat = sender.gossip.build_heartbeat(now, is_same_region=True)
        for receiver in hosts:
            receiver.gossip.apply_heartbeat(heartbeat, now)


def test_new_host_hears_of_a_zone_that_was_reopened_before_it_started():
    clock = Clock(10.0)
    hosts = new_hosts(2, clock)
    apply_changes(hosts[0], [entry(1), evacuation(2, True), evacuation(3, False)])
    clock.now = 10.5
    # The listing of a new process does not show that there was an evacuation.
    apply_changes(hosts[1], [entry(1)])
    exchange_heartbeats(hosts, clock.now)
    sent = times_sent(hosts, clock, [], until=13.0)
    assert sent
    assert_within_warmup_rate(sent, cold_until=13.0)
    assert is_paced(hosts[1], 12.9) and not is_paced(hosts[1], 13.1)


def test_report_of_a_reopened_zone_does_not_extend_what_a_host_saw_itself():
    clock = Clock(10.0)
    hosts = new_hosts(2, clock)
    for host in hosts:
        apply_changes(host, [entry(1), evacuation(2, True)])
    apply_changes(hosts[0], [evacuation(3, False)])
    clock.now = 12.0
    exchange_heartbeats(hosts, clock.now)
    assert hosts[1].catalog.is_evacuated("east-a")
    apply_changes(hosts[1], [evacuation(3, False)])
    for step in range(20):
        exchange_heartbeats(hosts, 12.1 + step / 10)
    assert is_paced(hosts[0], 12.9) and not is_paced(hosts[0], 13.1)
    assert is_paced(hosts[1], 14.9) and not is_paced(hosts[1], 15.1)


def replay_restart(host_count, is_refused, news=()):
    """Replay an endpoint that accepts no connections from 10 to 11 s.

    Parameters
    ----------
    host_count : int
        Hosts that share the endpoint.
    is_refused : bool
        Whether it refuses connections; else they time out.
    news : list of (float, change)
        What all hosts learn, and when.
    """
    clock = Clock(10.0)
    hosts = new_hosts(host_count, clock)
    for host in hosts:
        apply_changes(host, [entry(1)])
        listed = host.catalog.listed()[0]
        host.placement.record_unreachable(listed, is_refused, clock.now)
    clock.now = 11.0
    for host in hosts:
        host.placement.record_connected(host.catalog.listed()[0], clock.now)
    news = [(at, host, change) for at, change in news for host in hosts]
    return times_sent(hosts, clock, news, until=14.0)


def test_endpoint_that_refused_connections_is_not_flooded_on_its_return():
    sent = replay_restart(2, is_refused=True)
    assert sent
    assert_within_warmup_rate(sent, cold_until=14.0)


def test_endpoint_that_was_cut_off_is_used_at_once_on_its_return():
    assert len(replay_restart(2, is_refused=False)) > 200


def test_new_entry_of_a_returned_endpoint_says_whether_it_is_warm():
    sent = replay_restart(2, is_refused=True, news=[(11.5, entry(2))])
    assert sum(at > 11.5 for at in sent) > 100
