"""Tests of heartbeats to other zones of a region, most of them in simulated regions.

The regions are those of fleets of 3, 72 and 400 hosts: of 3, 24 and 133 hosts.
"""

import collections

import attrs
import pytest
import trio
import trio.testing

from cactusmill.internal.link import decode
from cactusmill.internal.wire.ttypes import EndpointWork, TeamDemand
from cactusmill.records import Team
from cactusmill.serving import heartbeat_contents as contents
from cactusmill.serving.heartbeat_checks import check_heartbeat
from cactusmill.serving.heartbeats import REGION_HEARTBEAT_S, count_rounds
from cactusmill.serving.quota import Quotas, team_key
from standins.gossip_network import GossipNetwork, quantile

# Delivery, the interval of receipt and the margin for rounds that are late.
SLACK_S = 0.15
REGIONS = (3, 24, 133)


@pytest.fixture
def without_part(monkeypatch):
    """Return a function that makes heartbeats to other zones as within a zone."""
    return lambda: monkeypatch.setattr(contents, "MIN_ZONE_HOSTS", 10**9)


@pytest.fixture
def fixed_demands(monkeypatch):
    """Keep demands as :func:`change_all` sets them."""
    monkeypatch.setattr(Quotas, "snapshot_demands", lambda self, now: None)


def simulate(network, scenario):
    """Run an async scenario in a network of hosts that know each other."""

    async def main():
        network.introduce_all(trio.current_time())
        async with trio.open_nursery() as nursery:
            await network.run(nursery)
            result = await scenario(network)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def region_of(hosts, **kwargs):
    return GossipNetwork(hosts, regions=1, **kwargs)


def change_all(network, number):
    """Give each host demands and loads that depend on a number."""
    for index, host in enumerate(network.hosts):
        host.quotas._demands = {
            key: 1000 * number + 100 * key + index
            for key in range(1, 17)
            if (key + number) % 5
        }
        for engine in range(15):
            view = host.placement.view(f"e{engine}")
            view.in_flight = (engine + number + index) % 3
            view.prompt_tokens = 700 * view.in_flight * number


def ignorant_pairs(network):
    """Return the pairs of hosts where the first does not know the other's state."""
    pairs = []
    for host in network.hosts:
        members = {m.id: m for m in host.membership.region_members()}
        for other in network.hosts:
            if other is host:
                continue
            member = members.get(other.membership.own_id)
            state = member and (member.demands, member.work)
            expected = (other.quotas._demands, other.placement.local_load())
            if state != expected:
                pairs.append((host.cfg.host, other.cfg.host))
    return pairs


async def lose_one_datagram_each(network):
    """Lose one datagram between each two hosts after a change, then compare."""
    interval_s = REGION_HEARTBEAT_S * count_rounds(network.count)
    change_all(network, 1)
    await trio.sleep(6 * interval_s)
    change_all(network, 2)
    seen = collections.Counter()
    lost_at = {}

    def drops(sender, receiver, data):
        pair = sender.cfg.host, receiver.cfg.host
        seen[pair] += 1
        # The first after the change for some pairs, the second for others.
        is_lost = seen[pair] == 1 + sum(map(ord, "".join(pair))) % 2
        if is_lost:
            lost_at[pair] = trio.current_time()
        return is_lost

    network.drops = drops
    changed_at = trio.current_time()
    await trio.sleep(2 * interval_s + SLACK_S)
    last_lost_s = max(lost_at.values()) - changed_at
    wait_s = max(0.6, interval_s) + SLACK_S
    await trio.sleep(max(0.0, last_lost_s + wait_s - 2 * interval_s - SLACK_S))
    return len(lost_at), ignorant_pairs(network)


@pytest.mark.parametrize("hosts", REGIONS)
def test_receiver_that_lost_a_datagram_knows_everything_again(hosts, fixed_demands):
    """Guards against shares of rates by demands that a lost datagram left old."""
    lost, ignorant = simulate(region_of(hosts), lose_one_datagram_each)
    assert lost == hosts * (hosts - 1) and not ignorant


def test_without_whole_heartbeats_a_lost_datagram_leaves_old_state(
    fixed_demands, monkeypatch
):
    # Each partial heartbeat refers to the one before, whether it arrived or not.
    monkeypatch.setattr(contents, "NAMED_EVERY", 10**9)

    monkeypatch.setattr(contents, "WHOLE_INTERVAL_S", 10**9)
    original = contents.reduce_heartbeat

    def reduce_and_refer(heartbeat, content, changed_entries):
        reduced = original(heartbeat, content, changed_entries)
        if isinstance(content, contents.Baseline):
            baseline = contents.make_baseline(heartbeat, content.sent_at)
            content.demands, content.work = baseline.demands, baseline.work
            content.changed_demands.clear()
            content.changed_work.clear()
        return reduced

    monkeypatch.setattr(contents, "reduce_heartbeat", reduce_and_refer)
    _, ignorant = simulate(region_of(24), lose_one_datagram_each)
    assert len(ignorant) > 50


async def ages_under_load(network):
    ages = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run_load, 16, 15)
        await trio.sleep(2.0)
        for _ in range(12):
            await trio.sleep(0.21)
            ages += network.ages(trio.current_time())[0]
        nursery.cancel_scope.cancel()
    ages.sort()
    return quantile(ages, 0.5), quantile(ages, 0.99), ages[-1]


@pytest.mark.parametrize("hosts", REGIONS)
def test_hosts_are_seen_as_recently_with_datagrams_lost(hosts, without_part):
    """Guards against shares that stay unconfirmed and hosts that count as silent."""
    ages = simulate(region_of(hosts, loss=0.05), ages_under_load)
    without_part()
    before = simulate(region_of(hosts, loss=0.05), ages_under_load)
    assert ages[0] <= 1.05 * before[0] + 0.005
    assert ages[1] <= 1.05 * before[1] + 0.005
    assert ages[2] <= 1.15 * before[2] + 0.05


async def share_sums(network):
    """Return the sums of the hosts' shares of a rate while demand moves."""
    team, sums = Team(name="red", rate_tokens_per_s=1e4, burst_tokens=1e4), []
    for step in range(120):
        now = trio.current_time()
        for index, host in enumerate(network.hosts):
            # Demand moves from one half of the hosts to the other and back.
            is_high = (index < len(network.hosts) / 2) == (step // 40 % 2 == 0)
            host.quotas.bucket(team, now).record_demand(200 if is_high else 20, now)
        await trio.sleep(0.05)
        if step > 20:
            shares = (h.quotas.bucket(team, now).share for h in network.hosts)
            sums.append(sum(shares))
    return max(sums)


@pytest.mark.parametrize("hosts", REGIONS)
def test_shares_of_a_rate_sum_to_no_more_with_datagrams_lost(hosts, without_part):
    """Guards against rates exceeded since demands are not sent again each time."""
    largest = simulate(region_of(hosts, loss=0.05), share_sums)
    without_part()
    before = simulate(region_of(hosts, loss=0.05), share_sums)
    assert largest <= max(1.0, before) + 0.02


async def bytes_between_zones(network):
    """Return the bytes per host and second of as many named heartbeats as usual."""
    interval_s = REGION_HEARTBEAT_S * count_rounds(network.count)
    # The first heartbeats name the sender more often.
    await trio.sleep(2 * interval_s + REGION_HEARTBEAT_S)
    network.sent.clear()
    seconds = contents.NAMED_EVERY * interval_s
    await trio.sleep(seconds)
    return network.sent["zone"] / network.count / seconds


# The region of 400 hosts would take 40 s: `benchmarks.zones` measures it.
@pytest.mark.parametrize("hosts", [24, 65])
def test_idle_heartbeats_between_zones_take_a_third_of_the_bytes(hosts, without_part):
    sent = simulate(region_of(hosts), bytes_between_zones)
    without_part()
    before = simulate(region_of(hosts), bytes_between_zones)
    assert sent < 0.36 * before


def test_region_of_one_zone_is_as_before(without_part):
    network = region_of(24, zones=1)
    network.received = collections.deque(maxlen=1000)
    simulate(network, bytes_between_zones)
    without_part()
    previous = region_of(24, zones=1)
    simulate(previous, bytes_between_zones)
    beats = [decode(data).beat for *_, data in network.received]
    assert network.sent == previous.sent
    assert all(b.partial is None and len(b.members) == 4 for b in beats)


async def cut_and_heal(network, cut_s):
    change_all(network, 1)
    await trio.sleep(1.5)
    network.is_cut = lambda first, second: first != second
    change_all(network, 2)
    await trio.sleep(cut_s)
    known = {len(h.membership.known()) for h in network.hosts}
    change_all(network, 3)
    network.is_cut = lambda first, second: False
    await trio.sleep(0.6 + 2 * REGION_HEARTBEAT_S + SLACK_S)
    return known, ignorant_pairs(network)


@pytest.mark.parametrize("cut_s", [0.5, 3.0, 8.0])
def test_zones_that_were_cut_off_know_everything_again(cut_s, fixed_demands):
    """Guards against receivers that miss changes because the sender counts as told."""

    async def scenario(network):
        return await cut_and_heal(network, cut_s)

    known, ignorant = simulate(region_of(24), scenario)
    assert known == {23} and not ignorant


def test_zones_that_forgot_each_other_meet_again(fixed_demands):
    """Guards against senders named by an incarnation that the receiver forgot."""

    async def scenario(network):
        for host in network.hosts:
            ips = tuple(h.cfg.ip for h in network.hosts[:4])
            host.gossip.seeds = ips
        known, _ = await cut_and_heal(network, 13.0)
        await trio.sleep(2.0)
        return known, ignorant_pairs(network)

    known, ignorant = simulate(region_of(24), scenario)
    assert known == {11} and not ignorant


def test_host_that_starts_knows_and_is_known(fixed_demands):
    """Guards against a process that gets only changes of a state it never knew."""

    async def scenario(network):
        change_all(network, 1)
        await trio.sleep(1.5)
        previous = network.hosts[5]
        host = network.add(5, seeds=[network.hosts[0].cfg.ip])
        assert previous not in network.hosts
        network.start(host)
        change_all(network, 1)
        await trio.sleep(1.5)
        return ignorant_pairs(network)

    assert not simulate(region_of(24), scenario)


def test_host_of_the_previous_version_gets_everything():
    """Guards against a member entry without a name, which it would not read."""

    async def scenario(network):
        host, sent = network.hosts[0], []
        for member in host.membership.known():
            member.reads_partial = False
        network.received = collections.deque(maxlen=100)
        for _ in range(6):
            host.gossip._send_region(trio.current_time())
        sent = [decode(d).beat for _, s, _, d in network.received if s is host]
        return sent, [m.reads_partial for m in host.membership.known()]

    sent, _ = simulate(region_of(24), scenario)
    assert len(sent) == 72
    assert all(b.sender.host and not b.partial and len(b.members) >= 4 for b in sent)


def test_few_kinds_of_heartbeats_are_sent_in_a_round():
    """Guards against the cost of encoding a heartbeat for each receiver."""
    baselines = [contents.Baseline(0.0, {}, {}) for _ in range(9)]
    groups = contents.group_receivers(list(enumerate([*baselines, contents.NAMED])))
    assert len(groups) <= contents.MAX_CONTENTS
    assert sorted(sum(groups.values(), [])) == list(range(10))
    assert len(groups[contents.WHOLE]) == 7


@attrs.define
class Sent:
    """A heartbeat, as far as partial ones depend on it."""

    demands: list
    work: list
    members: list = attrs.field(factory=list)
    sender: object = None
    partial: bool = False


def partial(baseline, demands, work):
    """Return what a partial heartbeat names: values by key."""
    named = contents._select_demands(demands, baseline)
    loads = contents._select_work(work, baseline)
    return {d.key: d.tokens_per_s for d in named}, {w.key: w for w in loads}


def test_partial_heartbeat_names_what_changed_and_what_changed_back():
    whole = Sent([TeamDemand(1, 100), TeamDemand(2, 100)], [EndpointWork(1, 2, 500)])
    baseline = contents.make_baseline(whole, 0.0)
    assert partial(baseline, whole.demands, whole.work) == ({}, {})
    small = [TeamDemand(1, 109), TeamDemand(2, 100)]
    assert partial(baseline, small, [EndpointWork(1, 2, 600)]) == ({}, {})
    demands, work = partial(baseline, [TeamDemand(1, 111)], [])
    assert demands == {1: 111, 2: 0} and work == {1: EndpointWork(1, 0, 0)}
    demands, work = partial(baseline, whole.demands, whole.work)
    assert demands == {1: 100, 2: 100} and work == {1: EndpointWork(1, 2, 500)}


def test_merged_changes_leave_out_what_ended():
    assert contents.merge_changes({1: 5, 2: 6}, {1: 0, 3: 7, 4: 0}) == {2: 6, 3: 7}
    assert contents.merge_changes({1: (1, 5)}, {1: (0, 0), 2: (1, 0)}) == {2: (1, 0)}


@pytest.mark.parametrize(
    ("zone_hosts", "region_hosts", "entries"),
    [(1, 1, 4), (24, 24, 4), (2, 24, 4), (12, 24, 8), (8, 24, 12)],
)
def test_entries_within_a_zone(zone_hosts, region_hosts, entries):
    assert contents.count_near_entries(zone_hosts, region_hosts) == entries


def test_sender_named_by_its_incarnation_is_applied_only_if_known():
    async def scenario(network):
        host, other = network.hosts[:2]
        beat = other.gossip.build_heartbeat(trio.current_time(), True)
        beat.sender = contents.short_entry(beat.sender)
        check_heartbeat(beat)
        beat.ready, beat.sequence = False, 10**6
        host.gossip.apply_heartbeat(beat, trio.current_time())
        applied = [m.id.name for m in host.membership.known() if not m.is_ready]
        beat.sender.incarnation = "unknown"
        count = len(host.membership.known())
        host.gossip.apply_heartbeat(beat, trio.current_time())
        return applied == [other.cfg.host], count == len(host.membership.known())

    assert simulate(region_of(6), scenario) == (True, True)


def test_key_of_a_team_is_never_left_out_by_its_sign():
    """Guards against keys, which are signed hashes, that count as ended."""
    key = min(team_key(f"team-{n}") for n in range(20))
    assert key < 0 and contents.merge_changes({}, {key: 1}) == {key: 1}
