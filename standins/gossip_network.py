"""Hosts that exchange real heartbeats over a simulated network with virtual time.

Each host is a ``GatewayHost`` without callers, endpoints or sockets. Runs under
``trio.testing.MockClock``, so that hundreds of hosts need no ports and no real time.
All times are in seconds.
"""

import collections
import math
import random

import attrs
import trio

from cactusmill.internal.link import decode
from cactusmill.records import Team
from cactusmill.serving.gateway_host import GatewayHost, HostSettings
from cactusmill.serving.heartbeat_checks import check_heartbeat

# Headers of IPv4 and UDP.
HEADER_BYTES = 28
ZONE_LATENCY_S = 0.0014
REGION_LATENCY_S = 0.08
_RECEIVE_INTERVAL_S = 0.02


@attrs.define(eq=False)
class GossipNetwork:
    """Hosts in regions and zones, and the datagrams between them.

    Attributes
    ----------
    count : int
        Number of hosts, divided evenly among the zones.
    regions, zones : int
        Number of regions, and of zones in each region.
    loss : float
        Fraction of the datagrams that are lost.
    is_cut : callable
        Tells by two zones whether no datagrams pass between them.
    drops : callable
        Tells by sender, receiver and datagram whether this datagram is lost.
    sent : collections.Counter
        Bytes sent with headers: between zones of a region as "zone", inside a zone as
        "near" and between regions as "region".
    received : collections.deque
        Time, sender, receiver and content of the datagrams delivered last.
    """

    count: int
    regions: int = 3
    zones: int = 2
    loss: float = 0.0
    seed: int = 1
    is_cut: object = lambda first, second: False
    drops: object = lambda sender, receiver, data: False
    sent: collections.Counter = attrs.field(factory=collections.Counter)
    received: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=1)
    )
    hosts: list = attrs.field(factory=list)
    rng: random.Random = attrs.field(init=False)
    _inboxes: dict = attrs.field(factory=dict)
    _by_ip: dict = attrs.field(factory=dict)
    _nursery: object = None

    def __attrs_post_init__(self):
        """Create the hosts."""
        self.rng = random.Random(self.seed)
        for number in range(self.count):
            self.add(number)

    def add(self, number, seeds=()):
        """Create a host and return it; a host of the same number is replaced."""
        zone_number = number % (self.regions * self.zones)
        region = f"region-{zone_number % self.regions}"
        zone = f"{region}-{'abcd'[zone_number // self.regions]}"
        ip = f"10.0.{number // 250}.{number % 250 + 1}"
        zones = {
            f"region-{r}-{'abcd'[z]}": f"region-{r}"
            for r in range(self.regions)
            for z in range(self.zones)
        }
        cfg = HostSettings(
            host=f"gate-{zone}-{number:03}",
            ip=ip,
            zone=zone,
            region=region,
            callers=f"{ip}:1",
            peers=f"{ip}:2",
            seeds=tuple(seeds),
            zones=zones,
        )
        host = GatewayHost(
            cfg, None, None, rng=random.Random(number), now=trio.current_time
        )
        host.gossip._sock = _Socket(self, host)
        previous = self._by_ip.get(ip)
        if previous is not None:
            self.hosts.remove(previous)
        self.hosts.append(host)
        self._by_ip[ip] = host
        self._inboxes[ip] = []
        return host

    def introduce_all(self, now):
        """Let every host know all others, as if it had for a while."""
        for host in self.hosts:
            for other in self.hosts:
                for seen_at in (now - 10.0, now):
                    host.membership.record_host(
                        other.membership.own_id, False, 0.0, seen_at
                    )

    async def run(self, nursery):
        """Start all hosts' loops in a nursery."""
        self._nursery = nursery
        for host in self.hosts:
            self.start(host)

    def start(self, host):
        """Start a host's loops, at a random point of an interval of heartbeats."""
        host.quotas.started_at = trio.current_time()
        self._nursery.start_soon(self._run_host, host, self.rng.random() * 0.15)

    async def _run_host(self, host, delay_s):
        await trio.sleep(delay_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_loop, host, nursery.cancel_scope)
            nursery.start_soon(host.gossip._send_loop)
            nursery.start_soon(host.gossip._maintenance_loop)

    async def _receive_loop(self, host, scope):
        gossip, ip = host.gossip, host.cfg.ip
        while self._by_ip.get(ip) is host:
            inbox = self._inboxes[ip]
            now = trio.current_time()
            arrived = [d for d in inbox if d[0] <= now]
            if arrived:
                self._inboxes[ip] = [d for d in inbox if d[0] > now]
                for _, data in arrived:
                    beat = decode(data).beat
                    check_heartbeat(beat)
                    gossip.apply_heartbeat(beat, now)
                gossip._answer_new_members(now)
            await trio.sleep(_RECEIVE_INTERVAL_S)
        scope.cancel()

    def stop(self, host):
        """End a host without notice."""
        del self._by_ip[host.cfg.ip]
        self.hosts.remove(host)

    def send(self, sender, data, ip):
        """Deliver a datagram after the latency, unless it is lost."""
        receiver = self._by_ip.get(ip)
        if self._by_ip.get(sender.cfg.ip) is not sender:
            return
        if receiver is None:
            return
        if sender.cfg.zone == receiver.cfg.zone:
            kind, latency_s = "near", 0.0
        elif sender.cfg.region == receiver.cfg.region:
            kind, latency_s = "zone", ZONE_LATENCY_S
        else:
            kind, latency_s = "region", REGION_LATENCY_S
        self.sent[kind] += len(data) + HEADER_BYTES
        self.sent[f"{kind} datagrams"] += 1
        if (
            self.is_cut(sender.cfg.zone, receiver.cfg.zone)
            or self.rng.random() < self.loss
            or self.drops(sender, receiver, data)
        ):
            return
        self._inboxes[ip].append((trio.current_time() + latency_s, data))
        self.received.append((trio.current_time(), sender, receiver, data))

    async def run_load(self, teams, engines, interval_s=0.1):
        """Change the demands and loads of all hosts, as under load, for ever."""
        keys = [
            Team(name=f"team-{n}", rate_tokens_per_s=1e5, burst_tokens=1e5)
            for n in range(teams)
        ]
        rng = random.Random(self.seed)
        while True:
            now = trio.current_time()
            for host in self.hosts:
                for _ in range(3):
                    bucket = host.quotas.bucket(rng.choice(keys), now)
                    bucket.record_demand(rng.choice((628, 2890)), now)
                region = host.cfg.region
                for _ in range(2):
                    # Half of the changes are arrivals, a quarter first events.
                    view = host.placement.view(
                        f"engine-{region}-{rng.randrange(engines)}"
                    )
                    draw = rng.random()
                    if draw < 0.5 and view.in_flight < 3:
                        view.in_flight += 1
                        view.prompt_tokens += 628
                    elif draw < 0.75:
                        view.prompt_tokens = 0
                    elif view.in_flight:
                        view.in_flight -= 1
            await trio.sleep(interval_s)

    def ages(self, now):
        """Return sorted ages of last seen, of hosts of the own and other regions."""
        own, other = [], []
        for host in self.hosts:
            for member in host.membership.known():
                ages = own if member.id.region == host.cfg.region else other
                ages.append(now - member.last_seen_at)
        return sorted(own), sorted(other)

    def total_ages(self, now):
        """Return the sorted ages of the oldest last seen of other regions' hosts."""
        return sorted(
            now - totals.last_seen_at
            for host in self.hosts
            for totals in host.membership.regions()
        )


@attrs.define(eq=False)
class _Socket:
    network: GossipNetwork
    host: object

    def sendto(self, data, address):
        self.network.send(self.host, data, address[0])


def quantile(values, part):
    """Return a quantile of sorted values; nan if there are none."""
    if not values:
        return math.nan
    return values[min(len(values) - 1, int(part * len(values)))]
