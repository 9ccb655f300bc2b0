"""Hosts that follow one source and each other, with virtual time and no sockets.

The source is a :class:`.loopback.Store`. Each host runs its two synchronization tasks
and hears heartbeats that others built, so that what it fetches from whom is decided by
the product alone. All times are in seconds.
"""

import contextlib
import random

import attrs
import h11
import trio

from cactusmill.errors import ConnectError, PlatformError
from cactusmill.platform.store import StoreClient
from cactusmill.serving import source_sync
from cactusmill.serving.gateway_host import GatewayHost, HostSettings

from .loopback import Store

STORE_LATENCY_S = 0.004
HEARTBEAT_S, REMOTE_HEARTBEAT_S = 0.15, 0.6


@attrs.define
class StoreLink:
    """Stands for a host's HTTP client of the store."""

    store: Store
    is_cut: bool = False
    request_count: int = 0

    async def get(self, target, timeout_s):
        """Return the store's response."""
        self.request_count += 1
        await trio.sleep(STORE_LATENCY_S)
        if self.is_cut:
            raise PlatformError("cut off")
        request = h11.Request(method="GET", target=target, headers=[("host", "s")])
        response = await self.store.handle_request(request, b"")
        if self.is_cut:
            raise PlatformError("cut off")
        return response


@attrs.define(eq=False)
class Follower:
    """One process of a host.

    Attributes
    ----------
    host : GatewayHost
        The process.
    link : StoreLink
        Its connection to the store.
    is_isolated : bool
        Whether neither heartbeats nor exports pass between it and others.
    scope : trio.CancelScope
        Ends it.
    """

    host: GatewayHost
    link: StoreLink
    is_isolated: bool = False
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.define(eq=False)
class FollowerFleet:
    """Hosts in regions, and what they fetch from each other.

    Attributes
    ----------
    store : Store
        The source.
    zones : dict of str to str
        Region of each availability zone.
    places : dict of str to str
        Availability zone of each host.
    link_s : tuple of (float, float)
        Shortest and longest time of an export on its way, in seconds.
    wrap_source : callable
        ``wrap_source(source)`` returns the source of a host that starts.
    exports, exported_bytes : int
        Number and size of the exports that hosts fetched.
    """

    store: Store
    zones: dict
    places: dict
    seed: int = 1
    link_s: tuple = (0.003, 0.003)
    wrap_source: object = lambda source: source
    running: dict = attrs.field(factory=dict)
    exports: int = 0
    exported_bytes: int = 0
    rng: random.Random = attrs.field(init=False)
    _nursery: object = None
    _starts: int = 0

    def __attrs_post_init__(self):
        """Create the source of chance."""
        self.rng = random.Random(self.seed)

    @contextlib.asynccontextmanager
    async def run(self):
        """Run all hosts until the end of the block."""
        previous = source_sync.fetch_items
        source_sync.fetch_items = self._fetch_items
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for name in self.places:
                    self.start(name)
                yield self
                nursery.cancel_scope.cancel()
        finally:
            source_sync.fetch_items = previous

    def start(self, name):
        """Start a host; its process of before, if there is one, ends without notice."""
        if name in self.running:
            self.running[name].scope.cancel()
        self._starts += 1
        zone = self.places[name]
        ip = f"10.0.{list(self.places).index(name) // 250}.{self._index(name)}"
        cfg = HostSettings(
            host=name,
            ip=ip,
            zone=zone,
            region=self.zones[zone],
            callers=f"{ip}:1",
            peers=f"{ip}:2",
            seeds=(),
            zones=self.zones,
        )
        rng = random.Random(f"{self.seed} {self._starts}")
        host = GatewayHost(cfg, None, None, rng=rng, now=trio.current_time)
        client = StoreClient("127.0.0.1:1", None, self.zones)
        link = StoreLink(self.store)
        client._client = link
        host.source = self.wrap_source(client.source())
        follower = self.running[name] = Follower(host, link)
        self._nursery.start_soon(self._run, follower)

    def _index(self, name):
        return list(self.places).index(name) % 250 + 1

    async def _run(self, follower):
        host = follower.host
        with follower.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(source_sync.sync_from_source, host, host.source)
                nursery.start_soon(source_sync.sync_from_hosts, host, host.source)
                nursery.start_soon(self._send_heartbeats, follower)

    async def _send_heartbeats(self, follower):
        host, remote_at = follower.host, -1.0
        await trio.sleep(HEARTBEAT_S * self.rng.random())
        while True:
            now = trio.current_time()
            for member in host.membership.remove_expired(now):
                host.rank_levels.forget(member.id.name)
            near = host.gossip.build_heartbeat(now, is_same_region=True)
            self._deliver(follower, near, is_near=True)
            if now >= remote_at:
                remote_at = now + REMOTE_HEARTBEAT_S
                far = host.gossip.build_heartbeat(now, is_same_region=False)
                self._deliver(follower, far, is_near=False)
            await trio.sleep(HEARTBEAT_S)

    def _deliver(self, sender, heartbeat, is_near):
        if sender.is_isolated:
            return
        now, region = trio.current_time(), sender.host.cfg.region
        for other in self.running.values():
            is_in_region = other.host.cfg.region == region
            if other is sender or other.is_isolated or is_in_region is not is_near:
                continue
            other.host.gossip.apply_heartbeat(heartbeat, now)

    async def _fetch_items(self, host, member, since):
        await trio.sleep(self.link_s[0])
        own, other = self.running[host.cfg.host], self.running[member.id.name]
        is_ended = other.host.membership.own_id.incarnation != member.id.incarnation
        if is_ended or own.is_isolated or other.is_isolated:
            raise ConnectError("cut off")
        data = await other.host.source.export(since, other.host.catalog.revision)
        self.exports += 1
        self.exported_bytes += len(data)
        await trio.sleep(self.rng.uniform(*self.link_s))
        return data

    def problems(self, name):
        """Return in what the catalog of a host differs from the source."""
        host, store = self.running[name].host, self.store
        known = {e.endpoint.name for e in host.catalog.listed() if e.removed_at is None}
        published = {
            key.removeprefix("servers/")
            for key in store.items
            if key.startswith("servers/")
        }
        problems = []
        if known != published:
            lost, extra = sorted(published - known), sorted(known - published)
            problems.append(f"{name} lacks {lost} and still lists {extra}")
        evacuated = {z for z in self.zones if f"op/evacuate/{z}" in store.items}
        if {z for z in self.zones if host.catalog.is_evacuated(z)} != evacuated:
            problems.append(f"{name} errs on what is evacuated, which is {evacuated}")
        item = store.items.get("op/config")
        configuration = host.catalog.configuration
        if item is not None and (configuration is None):
            problems.append(f"{name} has no configuration")
        return problems
