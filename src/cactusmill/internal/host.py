"""The process that runs on each entry host, as an object."""

import contextlib
import random
import secrets
import time

import attrs
import trio
import xxhash
from absl import logging

from ..errors import (
    ConnectError,
    LinkClosedError,
    Outcome,
    PlatformError,
    RateExceeded,
)
from ..settings import Settings
from .answering import serve_link
from .burn import BurnLog
from .configuration import RecordBook
from .edge import serve_caller
from .endpoints import EndpointPool
from .identifiers import Minter
from .job import is_permitted
from .key_uses import KeyUses
from .ledger import Ledger
from .limits import Limiter
from .link import Traffic, open_link
from .metrics import Metrics
from .net import TCP, Network
from .operators import serve_operator
from .orders import keep_orders
from .peers import Peer, keep_link, next_answer
from .platform import PlatformService, parse_update
from .queues import FairQueue
from .relay import RelayHub
from .retries import RetryBudgets
from .suspects import Suspects
from .targets import zone_wait_s
from .wire.ttypes import ChangesPull, Hello, Suspect

PEERS_PER_OTHER_ZONE = 2
PULL_TIMEOUT_S = 2.0
PULL_DELAY_S = 0.2
REACH_TIMEOUT_S = 1.0
REACH_POLL_S = 0.01
UNUSED_LINK_S = 60.0
FIRST_CONTACT_S = 1.5
LOAD_REPORT_S = 0.1
LOAD_BUDGET_BYTES_PER_S = 1000.0
LOAD_REPORT_BYTES = 12
ENDPOINT_LOAD_BYTES = 9
HOUSEKEEPING_S = 0.1
EXPIRY_S = 1.0
_PLATFORM_RETRY_S = 0.5
_SECRET_BYTES = 32
_BOOKS = ("records", "hosts")


@attrs.define(eq=False)
class HostProcess:
    """One incarnation of a host.

    Attributes
    ----------
    cfg : Settings
        The host's settings.
    net : Network
        How other machines are reached.
    rng : random.Random
        Source of random choices.
    now, wall_time : callable
        Monotonic and wall-clock time, in seconds.
    roster_since : float
        When the host list's present version was learned, in seconds.
    faults : int
        Connections that ended by a fault of this program.
    incarnation : str
        Random name of this process; a restarted one has another.
    """

    cfg: Settings
    net: Network = TCP
    rng: random.Random = attrs.field(factory=random.Random)
    now: object = trio.current_time
    wall_time: object = time.time
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(8))
    book: RecordBook = attrs.field(factory=RecordBook)
    roster: RecordBook = attrs.field(factory=RecordBook)
    peers: dict = attrs.field(factory=dict)
    key_uses: KeyUses = attrs.field(factory=KeyUses)
    suspects: Suspects = attrs.field(factory=Suspects)
    retries: RetryBudgets = attrs.field(factory=RetryBudgets)
    metrics: Metrics = attrs.field(factory=Metrics)
    traffic: Traffic = attrs.field(factory=Traffic)
    relay_hub: RelayHub = attrs.field(factory=RelayHub)
    burn: BurnLog = attrs.field(factory=BurnLog)
    ready: trio.Event = attrs.field(factory=trio.Event)
    leaving: bool = False
    roster_since: float = 0.0
    faults: int = 0
    caller_connections: int = 0
    running_once: int = 0
    nursery: trio.Nursery | None = None
    ledger: Ledger = attrs.field(init=False)
    limiter: Limiter = attrs.field(init=False)
    pool: EndpointPool = attrs.field(init=False)
    services: dict = attrs.field(init=False)
    _queues: dict = attrs.field(factory=dict)
    _pulling: set = attrs.field(factory=set)
    _serving: dict = attrs.field(factory=dict)
    _accepting: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _started_at: float = 0.0

    def __attrs_post_init__(self):
        """Create the parts that depend on the settings."""
        minter = Minter(
            self.cfg.host, self.incarnation, secrets.token_bytes(_SECRET_BYTES)
        )
        self.ledger = Ledger(minter, self.cfg.identifier_ttl_s)
        self.limiter = Limiter(self.cfg.zone)
        self.pool = EndpointPool(self.net)
        self.services = {
            "records": PlatformService(str(self.cfg.configuration), self.net),
            "hosts": PlatformService(str(self.cfg.host_list), self.net),
        }

    @property
    def hello(self):
        """Who this process is, for links."""
        return Hello(self.cfg.host, self.cfg.zone, self.incarnation, b"")

    def book_named(self, name):
        """Return the operators' records or the host list."""
        return self.roster if name == "hosts" else self.book

    # What the parts of a request ask of the host.

    def mint(self, team_name):
        """Mint an identifier for a team, or None if there is no room."""
        return self.ledger.mint(team_name, self.now())

    def endpoints_for(self, service):
        """Return the listed endpoints that serve something."""
        return self._serving.get(service, ())

    def queue_for(self, service):
        """Return the fair queue of a model or service."""
        if service not in self._queues:
            self._queues[service] = FairQueue()
        return self._queues[service]

    def call_queues(self):
        """Wake the next of each queue after room may have appeared."""
        for queue in self._queues.values():
            if len(queue):
                queue.call_next()

    def weight_of(self, team_name):
        """Return a team's weight in the fair queues."""
        team = self.book.get("team", team_name)
        return team.weight if team else 1.0

    def waits(self):
        """Return the services whose requests wait in this zone, and how long."""
        waits = {s: zone_wait_s(self, s) for s in self._queues}
        return {s: wait_s for s, wait_s in waits.items() if wait_s > 0}

    def load_report_interval_s(self, endpoints):
        """Return how often to report loads, so that all reports fit the budget.

        Parameters
        ----------
        endpoints : int
            How many endpoints a report names at most.
        """
        size = LOAD_REPORT_BYTES + endpoints * ENDPOINT_LOAD_BYTES
        peers = self.count_zone_hosts() - 1
        by_time = LOAD_REPORT_S * max(1.0, peers / 2)
        return max(by_time, peers * size / LOAD_BUDGET_BYTES_PER_S)

    def count_zone_hosts(self):
        """Return how many hosts of the own zone serve callers, this one too."""
        return 1 + sum(
            p.is_reachable and not p.leaving and p.host.zone == self.cfg.zone
            for p in self.peers.values()
        )

    def takes_callers(self, host):
        """Tell whether callers should be sent to a host, as far as known."""
        if host.name == self.cfg.host:
            return not self.leaving
        peer = self.peers.get(host.name)
        is_lost = peer is not None and not peer.is_reachable and peer.was_linked
        return host.live and not is_lost and not (peer and peer.leaving)

    def announce(self):
        """Tell all peers now what heartbeats tell at intervals."""
        for peer in self.peers.values():
            peer.nudge()

    async def reach(self, name):
        """Return the peer of a name with an open link, or None.

        A link to a host that is not among the usual peers is opened for the
        purpose, and closed when it has not been used for some time.
        """
        peer = self.peers.get(name)
        if peer is None:
            listed = self.roster.get("host", name)
            if listed is None or name == self.cfg.host:
                return None
            peer = self._add_peer(listed)
        peer.used_at = self.now()
        with trio.move_on_after(REACH_TIMEOUT_S):
            while not peer.was_linked:
                await trio.sleep(REACH_POLL_S)
        return peer if peer.is_reachable else None

    def cancel_forward(self, link, cancel):
        """Tell a peer, from no task in particular, to give up a request."""

        async def send():
            with contextlib.suppress(LinkClosedError):
                await link.send(cancel=cancel)

        self.nursery.start_soon(send)

    async def tell_suspect(self, job, digest, deaths):
        """Tell the peers that may run a request how many endpoints it stopped."""
        for peer in list(self.peers.values()):
            if peer.link and is_permitted(peer.host.region, job.team, job.route):
                with contextlib.suppress(LinkClosedError):
                    await peer.link.send(suspect=Suspect(digest, deaths))

    def note_request(self, caller, route, result, name):
        """Count a finished request for metrics and the burn report."""
        route_name = route.name if route else ""
        self.metrics.note_request(route_name, name, caller.first_byte_s)
        refusal = None if name == "answered" else result.failure()
        if refusal is not None:
            is_callers_fault = refusal.status < 500 or isinstance(refusal, RateExceeded)
            if is_callers_fault and refusal.outcome is Outcome.NOT_RUN:
                return
        key = self.book.key_for(caller.secret) if caller.secret else None
        is_good = (
            refusal is None
            and caller.first_byte_s is not None
            and caller.first_byte_s <= self.book.policy().objective_latency_s
        )
        self.burn.note(key.team if key else "", route_name, is_good, self.now())

    # Records and hosts.

    def apply(self, name, update):
        """Take over changes from the platform or a peer.

        Parameters
        ----------
        name : {"records", "hosts"}
            Which book they belong to.
        update : Update
            Changes with the version that they lead to.
        """
        before = self.roster.version
        if not self.book_named(name).apply(update.changes, update.version):
            return
        if self.roster.version != before:
            self.roster_since = self.now()
        for version, fault in self.book_named(name).faults():
            logging.warning("record rejected at version %d: %s", version, fault)
        self.key_uses.stop_withdrawn(self.book)
        if name == "hosts":
            self._apply_roster()
        else:
            self._shape_accounts()
        self.announce()

    def _apply_roster(self):
        serving = {}
        endpoints = self.roster.all("endpoint")
        for endpoint in endpoints:
            for service in endpoint.serves:
                serving.setdefault(service, []).append(endpoint)
        self._serving = serving
        self.pool.set_listed(e.name for e in endpoints)
        self._take_slot()
        if self.nursery is not None:
            self._reconcile_peers()

    def _take_slot(self):
        listed = self.roster.get("host", self.cfg.host)
        # Two machines may be listed under one name for a moment while one
        # replaces the other. Only the process that holds the listed address
        # may use the slot: it could bind it, so the earlier one has ended.
        is_me = listed is not None and listed.peers == str(self.cfg.peers)
        slot = listed.slot if is_me and self._may_hold_slot() else None
        if slot != self.limiter.slot:
            self.limiter.slot = slot
            self._shape_accounts()

    def _shape_accounts(self):
        """Let every team's share fill up from now on, not from its first use."""
        for team in self.book.all("team"):
            self.limiter.account(self.book, team, self.now())

    def _may_hold_slot(self):
        return self.now() >= self._started_at + self.cfg.slot_quarantine_s

    def _reconcile_peers(self):
        wanted = {h.name: h for h in self._wanted_peers()}
        for name, peer in list(self.peers.items()):
            is_used = peer.has_calls or self.now() < peer.used_at + UNUSED_LINK_S
            is_listed = self.roster.get("host", name) == peer.host
            if not is_listed or not (name in wanted or is_used):
                peer.scope.cancel()
                del self.peers[name]
        for name, host in wanted.items():
            if name not in self.peers:
                self._add_peer(host)

    def _add_peer(self, host):
        peer = self.peers[host.name] = Peer(host)
        self.nursery.start_soon(keep_link, self, peer)
        return peer

    def _wanted_peers(self):
        """All hosts of the own zone, and a few of each other zone.

        Which few differs from host to host, so that every host is somebody's
        peer and knowledge spreads through the whole fleet.
        """
        others = {}
        for host in self.roster.all("host"):
            if host.name != self.cfg.host:
                others.setdefault(host.zone, []).append(host)
        for zone, hosts in others.items():
            if zone == self.cfg.zone:
                yield from hosts
                continue
            yield from sorted(hosts, key=self._nearness)[:PEERS_PER_OTHER_ZONE]

    def _nearness(self, host):
        return xxhash.xxh3_64_intdigest(f"{self.cfg.host}/{host.name}".encode())

    def pull_from(self, peer, name):
        """Fetch what a peer has and this host lacks, unless that is under way."""
        if name not in self._pulling:
            self._pulling.add(name)
            self.nursery.start_soon(self._pull, peer, name)

    async def _pull(self, peer, name):
        book = self.book_named(name)
        try:
            if self.ready.is_set():
                # The platform's own answer is most likely on its way.
                await trio.sleep(PULL_DELAY_S)
            if book.version >= peer.version_of(name):
                return
            with trio.move_on_after(PULL_TIMEOUT_S):
                async with peer.call() as (number, link, answers):
                    pull = ChangesPull(number, name, book.version)
                    await link.send(changes_pull=pull)
                    reply = (await next_answer(answers)).changes_reply
                    self.apply(name, parse_update(reply.update))
        except (LinkClosedError, PlatformError):
            pass
        finally:
            self._pulling.discard(name)

    # The life of the process.

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until :meth:`shut_down` has ended or the task is cancelled."""
        self._started_at = self.now()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self._listen(self.cfg.peers, serve_link)
            await self._listen(self.cfg.operators, serve_operator)
            for name in _BOOKS:
                nursery.start_soon(self._watch, name)
            nursery.start_soon(self._keep_house)
            nursery.start_soon(self.relay_hub.run)
            nursery.start_soon(keep_orders, self)
            await self._learn_first()
            await self._listen(self.cfg.callers, serve_caller, self._accepting)
            self.ready.set()
            logging.info(
                "ready: host %s incarnation %s", self.cfg.host, self.incarnation
            )
            task_status.started(self)

    async def _listen(self, address, handler, scope=None):
        async def handle(stream):
            try:
                await handler(self, stream)
            except Exception:
                # One connection's fault must not end the others.
                self.faults += 1
                logging.exception("fault on a connection to %s", address)
                await trio.aclose_forcefully(stream)

        async def accept(task_status):
            with scope or trio.CancelScope():
                await self.net.serve(str(address), handle, self.nursery, task_status)

        await self.nursery.start(accept)

    async def _learn_first(self):
        """Wait until the newest reachable records and host list are known."""
        for seed in self.cfg.seed_peers:
            self.nursery.start_soon(self._learn_from_seed, str(seed))
        while not (self.book.version and self.roster.version):
            await trio.sleep(0.05)
        # The platform's answer may be old. Whatever a reachable peer has
        # beyond it is pulled before the first caller is served.
        with trio.move_on_after(FIRST_CONTACT_S):
            while not all(p.was_heard for p in self.peers.values()):
                await trio.sleep(0.05)
        with trio.move_on_after(PULL_TIMEOUT_S):
            while self._is_behind():
                await trio.sleep(0.02)

    def _is_behind(self):
        return any(
            p.records_version > self.book.version
            or p.hosts_version > self.roster.version
            for p in self.peers.values()
        )

    async def _learn_from_seed(self, address):
        while not (self.book.version and self.roster.version):
            with contextlib.suppress(ConnectError, LinkClosedError, PlatformError):
                await self._pull_from_address(address)
            await trio.sleep(_PLATFORM_RETRY_S)

    async def _pull_from_address(self, address):
        stream = await self.net.connect(address, PULL_TIMEOUT_S)
        try:
            link = await open_link(
                stream, self.hello, self.cfg.link_secret, True, self.traffic
            )
            for number, name in enumerate(_BOOKS):
                await link.send(changes_pull=ChangesPull(number, name, 0))
                with trio.move_on_after(PULL_TIMEOUT_S):
                    reply = (await link.receive()).changes_reply
                    if reply is not None:
                        self.apply(name, parse_update(reply.update))
        finally:
            await trio.aclose_forcefully(stream)

    async def _watch(self, name):
        """Keep asking a platform service for changes, for ever."""
        service, book = self.services[name], self.book_named(name)
        while True:
            since = book.version
            try:
                update = await service.fetch(since, self.cfg.watch_s)
            except PlatformError as exc:
                logging.debug("platform: %s", exc)
                await trio.sleep(_PLATFORM_RETRY_S * (0.5 + self.rng.random()))
                continue
            self.apply(name, update)
            if update.version < since:
                # A stale replica. Asking it again at once would gain nothing.
                await trio.sleep(_PLATFORM_RETRY_S)

    async def _keep_house(self):
        next_expiry = self.now()
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            # Room also appears when a report of other hosts' load fades.
            self.call_queues()
            if self.now() >= next_expiry:
                next_expiry = self.now() + EXPIRY_S
                self.ledger.expire(self.now())
                self._take_slot()
                self._reconcile_peers()

    async def shut_down(self):
        """Leave the fleet without cutting off any request, then end."""
        self.leaving = True
        self.announce()
        logging.info("leaving: host %s", self.cfg.host)
        await trio.sleep(self.cfg.drain_s)
        self._accepting.cancel()
        # Idle connections close by themselves after the time that their
        # callers were told, and each answer says that its connection closes.
        while self.caller_connections or self.running_once:
            await trio.sleep(0.02)
        self.nursery.cancel_scope.cancel()
