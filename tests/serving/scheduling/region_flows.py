"""Flow of forwarded requests between three regions, through the real decisions.

Queues are fluid: engines process a constant number of tokens per second. Hosts report
to their region in rounds of 0.15 s, 12 receivers at a time, and regions to each other
every 0.6 s with 80 ms of delay.
"""

import heapq
import itertools
import random

import attrs

from cactusmill.serving.heartbeats import (
    MAX_REGION_RECEIVERS,
    REGION_HEARTBEAT_S,
)
from cactusmill.serving.membership import RegionTotals
from cactusmill.serving.overload import CROSS_REGION_RTT_S, OBJECTIVE_FRACTION
from cactusmill.serving.region_load import RegionLoad
from cactusmill.serving.scheduling.region_room import (
    REPORT_INTERVAL_S,
    OwnRegion,
    RegionAllowances,
    RegionRooms,
    compute_room,
)

REGIONS = ("east", "west", "north")
SERVICE = "engines"
DIVIDED = frozenset([SERVICE])
ENGINES = 15
ENGINE_TOKENS_PER_S = 38_100.0
CAPACITY = ENGINES * ENGINE_TOKENS_PER_S
# Sizes of requests with their part of the requests: quotes, and some with nothing of
# the prompt in the cache.
SIZES, WEIGHTS = (2890, 9190), (0.9, 0.1)
MEAN_SIZE = sum(s * w for s, w in zip(SIZES, WEIGHTS, strict=True))
DELAY_S = 0.08
LIMIT_S = 1.0 * OBJECTIVE_FRACTION
WANTS_VALID_S = 0.465
BACKOFF_S = 0.4


@attrs.define(eq=False)
class FlowHost:
    """A host's state for the division."""

    region: str
    allowances: RegionAllowances
    rooms: RegionRooms = attrs.field(factory=RegionRooms)
    peers: RegionLoad = attrs.field(factory=RegionLoad)
    reports: dict = attrs.field(factory=dict)
    backoff_until: dict = attrs.field(factory=dict)
    next_receiver: int = 0


@attrs.define(eq=False)
class Flows:
    """Simulation; `forwarded` has (time, region, tokens) of each forwarded request."""

    hosts_per_region: int
    mean_load: float
    is_divided: bool = True
    is_home_known: bool = True
    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    factors: dict = attrs.field(factory=dict)
    hosts: dict = attrs.field(init=False)
    queued: dict = attrs.field(init=False)
    drained_at: float = 0.0
    forwarded: list = attrs.field(factory=list)
    refused: int = 0
    _events: list = attrs.field(factory=list)
    _order: object = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        """Create the hosts and their first events."""
        self.hosts = {
            region: [
                FlowHost(region, RegionAllowances(random.Random(self.rng.random())))
                for _ in range(self.hosts_per_region)
            ]
            for region in REGIONS
        }
        self.queued = dict.fromkeys(REGIONS, 0.0)
        for region in REGIONS:
            self.at(self.rng.random() * REPORT_INTERVAL_S, self.report, region)
            self.at(0.0, self.arrive, region)
            for host in self.hosts[region]:
                self.at(self.rng.random() * REGION_HEARTBEAT_S, self.beat, host)

    def at(self, time, action, *args):
        """Plan an action."""
        heapq.heappush(self._events, (time, next(self._order), action, args))

    def run(self, until):
        """Run until a time."""
        while self._events[0][0] < until:
            now, _, action, args = heapq.heappop(self._events)
            drained = CAPACITY * (now - self.drained_at)
            for region in REGIONS:
                self.queued[region] = max(0.0, self.queued[region] - drained)
            self.drained_at = now
            action(now, *args)

    def home_rate(self, region):
        """Return the mean home demand in tokens per second."""
        return CAPACITY * self.mean_load * self.factors.get(region, 1.0)

    def true_room(self, region):
        """Return what the engines can process beyond the mean home demand."""
        return max(0.0, CAPACITY - self.home_rate(region))

    def arrive(self, now, region):
        """Decide on a request of a caller, and plan the next one."""
        gap_s = self.rng.expovariate(self.home_rate(region) / MEAN_SIZE)
        self.at(now + gap_s, self.arrive, region)
        host = self.rng.choice(self.hosts[region])
        tokens = self.rng.choices(SIZES, WEIGHTS)[0]
        host.rooms.asked.record(SERVICE, tokens, now)
        if (self.queued[region] + tokens) / CAPACITY <= LIMIT_S:
            self.queued[region] += tokens
            return
        target = self.choose(host, tokens, now)
        host.allowances.wants.record(SERVICE, tokens, now)
        if target is None:
            return
        host.allowances.record_forwarded(target, SERVICE, tokens, now)
        self.forwarded.append((now, target, tokens))
        self.at(now + DELAY_S, self.receive, host, target, tokens)

    def choose(self, host, tokens, now):
        """Return the region with the shortest reported wait that is permitted."""
        waits = {
            totals.region: totals.waits[SERVICE]
            for totals in host.reports.values()
            if totals.waits[SERVICE] + CROSS_REGION_RTT_S <= LIMIT_S
            and host.backoff_until.get(totals.region, 0.0) <= now
            and (
                not self.is_divided
                or host.allowances.may_forward(totals.region, SERVICE, tokens, now)
            )
        }
        return min(waits, key=waits.get, default=None)

    def receive(self, now, sender, region, tokens):
        """Judge a forwarded request with the objective that is left."""
        wait_s = (self.queued[region] + tokens) / CAPACITY
        if wait_s <= LIMIT_S - CROSS_REGION_RTT_S:
            self.queued[region] += tokens
        else:
            self.refused += 1
            self.at(now + DELAY_S, self.hear_refusal, sender, region)

    def hear_refusal(self, now, host, region):
        """Back off from a region and halve its allowance."""
        host.backoff_until[region] = now + BACKOFF_S
        host.allowances.record_refused(region, SERVICE, now)

    def beat(self, now, host):
        """Send the host's wants to the next hosts of its region; renew allowances."""
        self.at(now + REGION_HEARTBEAT_S, self.beat, host)
        peers = [h for h in self.hosts[host.region] if h is not host]
        wanted = host.allowances.wanted(DIVIDED, now).get(SERVICE, 0.0)
        for _ in range(min(MAX_REGION_RECEIVERS, len(peers))):
            peer = peers[host.next_receiver % len(peers)]
            peer.peers.record(id(host), {SERVICE: (0, wanted)}, now)
            host.next_receiver += 1
        own = OwnRegion(
            services=DIVIDED,
            hosts=len(self.hosts[host.region]),
            wanted=self.wants_of_peers(host, now),
        )
        host.allowances.update(list(host.reports.values()), own, now)

    def wants_of_peers(self, host, now):
        """Return what the other hosts of the region want, as a host knows it."""
        host.peers.remove_older(now - WANTS_VALID_S)
        if not host.peers.has_any():
            return {}
        others = len(self.hosts[host.region]) - 1
        return {SERVICE: host.peers.at(SERVICE, others)[1]}

    def report(self, now, region):
        """Report the totals of a region, as computed by a random host of it."""
        self.at(now + REPORT_INTERVAL_S, self.report, region)
        queue = self.queued[region] / ENGINES
        loads = [(ENGINE_TOKENS_PER_S, queue)] * ENGINES
        asked = [h.rooms.asked.rate(SERVICE, now) for h in self.hosts[region]]
        rooms = []
        for host, own in zip(self.hosts[region], asked, strict=True):
            home = sum(asked) if self.is_home_known else own * len(asked)
            room = compute_room(loads, home)
            rooms.append(host.rooms.report(SERVICE, room, CAPACITY, now))
        index = self.rng.randrange(len(rooms))
        sender = self.hosts[region][index]
        wanted = sender.allowances.wanted(DIVIDED, now).get(SERVICE, 0.0)
        wanted += self.wants_of_peers(sender, now).get(SERVICE, 0.0)
        totals = RegionTotals(
            region=region,
            hosts=len(rooms),
            last_seen_at=now,
            reported_at=now,
            demands={},
            waits={SERVICE: 0.06 + queue / ENGINE_TOKENS_PER_S},
            rooms={SERVICE: rooms[index]},
            forwards={SERVICE: wanted},
        )
        self.at(now + DELAY_S, self.apply, region, totals)

    def apply(self, now, region, totals):
        """Apply a report at all hosts of the other regions."""
        for other in REGIONS:
            if other != region:
                for host in self.hosts[other]:
                    host.reports[region] = totals

    def forwarded_per_s(self, region, since, until):
        """Return what was forwarded to a region, in tokens per second."""
        tokens = sum(
            t for at, to, t in self.forwarded if to == region and since <= at < until
        )
        return tokens / (until - since)
