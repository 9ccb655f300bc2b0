"""State and lifecycle of the process that serves one host of the gateway."""

import contextlib
import random
import secrets
import time

import attrs
import trio
from absl import logging

from ..errors import (
    LinkClosedError,
    Outcome,
    RateExceeded,
)
from ..settings import Settings
from .account import Account
from .buffer_budget import BufferBudget
from .burn import BurnCounter
from .configuration import RecordStore
from .containment.containment import CrashContainment
from .containment.convictions import has_turn
from .containment.culprits import to_text
from .containment.evidence import Evidence
from .containment.messages import build_report, conviction_news
from .containment.running import RunningSuspects
from .descriptors import Descriptors
from .edge import serve_caller
from .endpoints import EndpointPool
from .engine_commands import reconcile_placements
from .identifiers import Minter
from .idle_waits import IdleWaits
from .key_scopes import KeyScopes
from .ledger import Ledger
from .limits import RateLimiter
from .link import Traffic
from .link_server import serve_link
from .logs import log_fields
from .loop_monitor import LoopMonitor
from .metrics import Metrics
from .net import TCP, Network
from .operators import serve_operator
from .peer_selection import reconcile_peers
from .platform_client import PlatformClient
from .queues import FairQueue
from .record_sync import STORE_NAMES, pull_from_peer, sync_initial_state, watch_platform
from .relay import BodyRelay
from .request import is_permitted
from .retries import RetryBudgets
from .settings_file import find_changes
from .shedding import Shedder
from .supervision import Supervisor
from .wire.ttypes import Hello
from .zone_routing import zone_wait_s

# Shortest interval of load reports to the hosts of the same zone.
LOAD_REPORT_S = 0.1
# Limit on the load reports that one host sends, and the sizes of an empty report and
# of one endpoint in it.
LOAD_BUDGET_BYTES_PER_S = 1000.0
LOAD_REPORT_BYTES = 12
ENDPOINT_LOAD_BYTES = 9
# Intervals of waking the queues, and of expiring entries and reconciling peers.
HOUSEKEEPING_S = 0.1
EXPIRY_S = 1.0
_EXIT_POLL_S = 0.02
_SECRET_BYTES = 32
# Settings that a running process takes over.
_RELOADED = frozenset(
    {
        "seed_peers",
        "heartbeat_s",
        "peer_timeout_s",
        "watch_s",
        "drain_s",
        "idle_timeout_s",
        "max_head_bytes",
        "max_body_bytes",
    }
)


@attrs.define(eq=False)
class HostProcess:
    """The running process of a host: the state that its tasks share.

    Attributes
    ----------
    cfg : Settings
        The host's settings.
    net : Network
        Opens and accepts connections.
    rng : random.Random
        Source of random choices.
    now, wall_time : callable
        Monotonic and wall-clock time, in seconds.
    incarnation : str
        Random identifier of this process; a restarted process has another.
    records, host_list : RecordStore
        The operators' records, and the platform's list of hosts and endpoints.
    peers : dict of str to Peer
        Other hosts to which this host keeps or opens a link, by name.
    ready : trio.Event
        Set once this host serves callers.
    buffers : BufferBudget
        Limits the bytes of bodies and frames that are held at once.
    descriptors : Descriptors
        How near the process is to its limit of descriptors.
    idle_callers : IdleWaits
        Connections of callers that wait for their next request.
    leaving : bool
        True once the process is shutting down.
    host_list_changed_at : float
        Time at which the current version of the host list was applied, in
        seconds.
    account, forwards_account : Account
        Accounts of callers' requests, and of those that other hosts forwarded.
    faults : int
        Number of internal errors, each of which ended a connection or a task.
    caller_connections, running_at_most_once : int
        Number of open connections of callers, and of at-most-once requests that this
        process is running.
    """

    cfg: Settings
    net: Network = TCP
    rng: random.Random = attrs.field(factory=random.Random)
    now: object = trio.current_time
    wall_time: object = time.time
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(8))
    records: RecordStore = attrs.field(factory=RecordStore)
    host_list: RecordStore = attrs.field(factory=RecordStore)
    peers: dict = attrs.field(factory=dict)
    key_scopes: KeyScopes = attrs.field(factory=KeyScopes)
    containment: CrashContainment = attrs.field(factory=CrashContainment)
    running_suspects: RunningSuspects = attrs.field(factory=RunningSuspects)
    retry_budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    metrics: Metrics = attrs.field(factory=Metrics)
    traffic: Traffic = attrs.field(factory=Traffic)
    buffers: BufferBudget = attrs.field(factory=BufferBudget)
    descriptors: Descriptors = attrs.field(factory=Descriptors)
    idle_callers: IdleWaits = attrs.field(init=False)
    body_relay: BodyRelay = attrs.field(factory=BodyRelay)
    burn: BurnCounter = attrs.field(factory=BurnCounter)
    ready: trio.Event = attrs.field(factory=trio.Event)
    account: Account = attrs.field(factory=Account)
    forwards_account: Account = attrs.field(factory=Account)
    leaving: bool = False
    host_list_changed_at: float = 0.0
    faults: int = 0
    caller_connections: int = 0
    running_at_most_once: int = 0
    nursery: trio.Nursery | None = None
    supervisor: Supervisor = attrs.field(init=False)
    loop: LoopMonitor = attrs.field(init=False)
    shedder: Shedder = attrs.field(init=False)
    ledger: Ledger = attrs.field(init=False)
    limiter: RateLimiter = attrs.field(init=False)
    pool: EndpointPool = attrs.field(init=False)
    platform_clients: dict = attrs.field(init=False)
    _queues: dict = attrs.field(factory=dict)
    _pulling: set = attrs.field(factory=set)
    _endpoints_by_service: dict = attrs.field(factory=dict)
    _accept_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _accept_ended: trio.Event = attrs.field(factory=trio.Event)
    _started_at: float = 0.0

    def __attrs_post_init__(self):
        """Create the components that depend on the settings."""
        minter = Minter(
            self.cfg.host, self.incarnation, secrets.token_bytes(_SECRET_BYTES)
        )
        self.ledger = Ledger(minter, self.cfg.identifier_ttl_s)
        self.supervisor = Supervisor(self.now, self.rng, self._record_failed_task)
        self.loop = LoopMonitor(self.now)
        self.idle_callers = IdleWaits(self.now)
        self.shedder = Shedder(self.loop, self.rng)
        self.limiter = RateLimiter(self.cfg.zone)
        self.pool = EndpointPool(self.net)
        self.platform_clients = {
            "records": PlatformClient(str(self.cfg.configuration), self.net),
            "hosts": PlatformClient(str(self.cfg.host_list), self.net),
        }

    @property
    def hello(self):
        """Identity of this process for link handshakes; the nonce is empty."""
        return Hello(self.cfg.host, self.cfg.zone, self.incarnation, b"")

    def apply_settings(self, cfg):
        """Take over changed settings; return the names of those that need a restart.

        Parameters
        ----------
        cfg : Settings
            The changed settings.

        Returns
        -------
        list of str
        """
        needs_restart = find_changes(self.cfg, cfg, _RELOADED)
        changed = {name: getattr(cfg, name) for name in _RELOADED}
        self.cfg = attrs.evolve(self.cfg, **changed)
        return needs_restart

    def store_named(self, name):
        """Return the record store named ``"records"`` or ``"hosts"``."""
        return self.host_list if name == "hosts" else self.records

    # Lookups and reports that request handling needs.

    def mint(self, team_name):
        """Mint an identifier for a team, or return None if the ledger is full."""
        return self.ledger.mint(team_name, self.now())

    def endpoints_for(self, service):
        """Return the listed endpoints that serve a model or service."""
        return self._endpoints_by_service.get(service, ())

    def queue_for(self, service):
        """Return the fair queue of a model or service, created on first use."""
        if service not in self._queues:
            self._queues[service] = FairQueue()
        return self._queues[service]

    def wake_queues(self):
        """Wake the next request of each queue; endpoints may have free capacity."""
        for queue in self._queues.values():
            if len(queue):
                queue.wake_next()

    def team_weight(self, team_name):
        """Return a team's weight in the fair queues, 1 if it is not published."""
        team = self.records.get("team", team_name)
        return team.weight if team else 1.0

    def waits(self):
        """Return the services with a wait in this zone, and the wait in seconds."""
        waits = {s: zone_wait_s(self, s) for s in self._queues}
        return {s: wait_s for s, wait_s in waits.items() if wait_s > 0}

    def load_report_interval_s(self, endpoints):
        """Return the load report interval that keeps within `LOAD_BUDGET_BYTES_PER_S`.

        Parameters
        ----------
        endpoints : int
            Largest number of endpoints in one report.

        Returns
        -------
        float
            Interval in seconds.
        """
        size = LOAD_REPORT_BYTES + endpoints * ENDPOINT_LOAD_BYTES
        peers = self.count_zone_hosts() - 1
        min_interval_s = LOAD_REPORT_S * max(1.0, peers / 2)
        return max(min_interval_s, peers * size / LOAD_BUDGET_BYTES_PER_S)

    def count_zone_hosts(self):
        """Return the number of hosts that serve callers in this zone, itself included.

        Hosts that are unreachable or leaving are not counted.
        """
        return 1 + sum(
            p.is_reachable and not p.leaving and p.host.zone == self.cfg.zone
            for p in self.peers.values()
        )

    def accepts_callers(self, host):
        """Return whether callers should be sent to a host, as far as known here.

        A host to which no link was ever open counts as reachable.
        """
        if host.name == self.cfg.host:
            return not self.leaving
        peer = self.peers.get(host.name)
        is_unreachable = (
            peer is not None and not peer.is_reachable and peer.was_connected
        )
        return host.live and not is_unreachable and not (peer and peer.leaving)

    def send_heartbeats_now(self):
        """Send a heartbeat to all peers without waiting for the next interval."""
        for peer in self.peers.values():
            peer.request_heartbeat()

    def record_fault(self, where, *args):
        """Count and log the current exception as an internal error.

        Parameters
        ----------
        where : str
            Format string that says what failed.
        *args
            Its arguments.
        """
        self.faults += 1
        logging.exception("fault: " + where, *args)

    def _record_failed_task(self, name, exc, retry_s):
        self.record_fault("task %s, restarted after %.1f s", name, retry_s)

    def cancel_forward(self, link, cancel):
        """Tell a peer to cancel a forwarded request, from a background task."""

        async def send():
            with contextlib.suppress(LinkClosedError):
                await link.send(cancel=cancel)

        self.nursery.start_soon(send)

    async def record_crash_evidence(self, endpoint_name, evidence):
        """Count an endpoint's crash against the requests that were running there.

        Peers learn of it before this returns, so that another host already knows of
        the crash if the caller resends the request to it.

        Parameters
        ----------
        endpoint_name : str
            The endpoint.
        evidence : Evidence
            What shows that it has ended.
        """
        now = self.now()
        for interruption, crash_count in self.containment.count_crashes(
            endpoint_name, evidence, now
        ):
            log_fields(
                "request_suspected",
                request_id=interruption.request_id,
                endpoint=endpoint_name,
                deaths=crash_count,
                evidence=evidence.value,
                waited_s=round(now - interruption.broke_at, 3),
                digest=to_text(interruption.digest),
                parts=[to_text(part) for part in interruption.culprits.parts],
            )
            await self._report_interruption(interruption, now)
        await self.log_and_tell_decisions()

    async def _report_interruption(self, interruption, now):
        """Report an interruption by a crash to the peers that may run its request."""
        news = build_report(self.containment, interruption, now)
        team, route = interruption.team, interruption.route
        for peer in list(self.peers.values()):
            if is_permitted(peer.host.region, team, route):
                await self._tell(peer, news)

    async def _tell(self, peer, news):
        if peer.link:
            with contextlib.suppress(LinkClosedError):
                await peer.link.send(containment=news)

    async def record_served(self, progress):
        """Record that a request was served whole; what was in it is not at fault."""
        now = self.now()
        self.containment.record_served(progress.culprits, progress.sent_at, now)
        await self.log_and_tell_decisions()

    async def log_and_tell_decisions(self):
        """Log what was decided to be held back or released; tell the own region.

        Hosts of other regions may not run the requests, and decide by themselves.
        """
        decisions = self.containment.take_decisions()
        if not decisions:
            return
        for conviction, why in decisions:
            log_fields(
                "held_back" if conviction.is_held else "released",
                digest=to_text(conviction.thing),
                reason=why,
                crashes=conviction.crashes,
                epoch=conviction.epoch,
                trials=conviction.trials,
                companions=[to_text(c) for c in conviction.companions],
            )
        told = [conviction for conviction, why in decisions if why != "told"]
        news = conviction_news(self.containment, told, self.now())
        for peer in list(self.peers.values()):
            if told and peer.host.region == self.cfg.region:
                await self._tell(peer, news)

    async def tell_convictions(self, peer):
        """Tell a peer of the own region, which may have just started, all decisions."""
        convictions = self.containment.convictions.all()
        if convictions and peer.host.region == self.cfg.region:
            news = conviction_news(self.containment, convictions, self.now())
            await self._tell(peer, news)

    def makes_trial(self, thing, turn):
        """Return whether this host makes the trials of something in a turn."""
        names = [p.host.name for p in self.peers.values() if p.is_reachable]
        return has_turn(self.cfg.host, names, thing, turn)

    def record_request(self, caller, route, refusal, name):
        """Count a finished request in the metrics and the burn report.

        Refusals that the caller caused and that did not run are left out of the
        burn report.
        """
        route_name = route.name if route else ""
        self.metrics.record_request(route_name, name, caller.first_byte_s)
        if refusal is not None:
            is_callers_fault = refusal.status < 500 or isinstance(refusal, RateExceeded)
            if is_callers_fault and refusal.outcome is Outcome.NOT_RUN:
                return
        key = self.records.key_for(caller.secret) if caller.secret else None
        is_good = (
            refusal is None
            and caller.first_byte_s is not None
            and caller.first_byte_s <= self.records.policy().objective_latency_s
        )
        self.burn.record(key.team if key else "", route_name, is_good, self.now())

    # Records and host list.

    def apply(self, name, update):
        """Apply changes from the platform or a peer.

        Parameters
        ----------
        name : {"records", "hosts"}
            Store that the changes belong to.
        update : Update
            Changes, and the store's version after them.
        """
        previous_version = self.host_list.version
        if not self.store_named(name).apply(
            update.changes, update.version, update.checked
        ):
            return
        if self.host_list.version != previous_version:
            self.host_list_changed_at = self.now()
        for version, fault in self.store_named(name).faults():
            logging.warning("record rejected at version %d: %s", version, fault)
        self.key_scopes.cancel_withdrawn(self.records)
        if name == "hosts":
            self._apply_host_list()
        elif any(c.kind == "zone" for c in update.changes):
            self._refresh_accounts(self.records.all("team"))
        else:
            names = {c.name for c in update.changes if c.kind == "team"}
            teams = [self.records.get("team", name) for name in sorted(names)]
            self._refresh_accounts([t for t in teams if t is not None])
        self.send_heartbeats_now()

    def _apply_host_list(self):
        by_service = {}
        endpoints = self.host_list.all("endpoint")
        for endpoint in endpoints:
            for service in endpoint.serves:
                by_service.setdefault(service, []).append(endpoint)
        self._endpoints_by_service = by_service
        self.pool.update_listed(e.name for e in endpoints)
        self._start_counting_crashes(endpoints)
        self._update_slot()
        if self.nursery is not None:
            reconcile_peers(self)

    def _start_counting_crashes(self, endpoints):
        """Count the crashes that a new list of endpoints shows, in the background."""
        interruptions = self.containment.interruptions
        if self.nursery is None or not len(interruptions):
            return
        found = {
            name: Evidence.REPLACED
            for endpoint in endpoints
            for name in interruptions.find_replaced(endpoint)
        }
        listed = {endpoint.name for endpoint in endpoints}
        for name in interruptions.endpoint_names():
            if name not in listed:
                found.setdefault(name, Evidence.REMOVED)
        for name, evidence in found.items():
            run, record = self.supervisor.run_once, self.record_crash_evidence
            self.nursery.start_soon(run, "count_crashes", record, name, evidence)

    def _update_slot(self):
        listed = self.host_list.get("host", self.cfg.host)
        # Two machines may briefly run under one name while one replaces the
        # other. Only the process that listens on the listed address may use the
        # slot: it could bind the address, so the earlier process has ended.
        is_this_process = listed is not None and listed.peers == str(self.cfg.peers)
        slot = listed.slot if is_this_process and self._is_quarantine_over() else None
        if slot != self.limiter.slot:
            self.limiter.slot = slot
            self._refresh_accounts(self.records.all("team"))

    def _refresh_accounts(self, teams):
        """Create the teams' token buckets now, so that they refill from now on.

        A bucket that is created on first use would start empty at that time.
        """
        for team in teams:
            self.limiter.account(self.records, team, self.now())

    def _is_quarantine_over(self):
        return self.now() >= self._started_at + self.cfg.slot_quarantine_s

    def pull_from(self, peer, name):
        """Start a pull of newer changes from a peer, unless one is in progress."""
        if name not in self._pulling:
            self._pulling.add(name)
            self.nursery.start_soon(self._pull, peer, name)

    async def _pull(self, peer, name):
        try:
            await self.supervisor.run_once(
                "pull_from_peer", pull_from_peer, self, peer, name
            )
        finally:
            self._pulling.discard(name)

    # Lifecycle.

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until :meth:`shut_down` has ended or the task is cancelled."""
        self._started_at = self.now()
        self.loop.install()
        try:
            await self._serve(task_status)
        finally:
            self.loop.remove()

    async def _serve(self, task_status):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self._listen(self.cfg.peers, serve_link)
            await self._listen(self.cfg.operators, serve_operator)
            run = self.supervisor.run
            for name in STORE_NAMES:
                nursery.start_soon(run, f"watch_{name}", watch_platform, self, name)
            nursery.start_soon(run, "maintain_host", self._run_housekeeping)
            nursery.start_soon(run, "relay_bodies", self.body_relay.run)
            nursery.start_soon(run, "reconcile_placements", reconcile_placements, self)
            await sync_initial_state(self)
            await self._listen_to_callers()
            self.ready.set()
            logging.info(
                "ready: host %s incarnation %s", self.cfg.host, self.incarnation
            )
            task_status.started(self)

    async def _listen_to_callers(self):
        async def accept(task_status):
            with self._accept_scope:
                await self._accept(self.cfg.callers, serve_caller, task_status)
            self._accept_ended.set()

        await self.nursery.start(accept)

    async def _listen(self, address, handler):
        await self.nursery.start(self._accept, address, handler)

    async def _accept(self, address, handler, task_status):
        async def handle(stream):
            try:
                await handler(self, stream)
            except Exception:
                # An internal error on one connection must not end the others.
                self.record_fault("a connection to %s", address)
                await trio.aclose_forcefully(stream)

        await self.net.serve(str(address), handle, self.nursery, task_status)

    async def _run_housekeeping(self):
        next_expiry = self.now()
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            # Capacity also becomes free when another host's load report expires.
            self.wake_queues()
            if self.now() >= next_expiry:
                self._log_shed_requests()
                next_expiry = self.now() + EXPIRY_S
                self._log_descriptors()
                self.ledger.expire(self.now())
                self.containment.interruptions.expire(self.now())
                self.containment.review(self.now())
                await self.log_and_tell_decisions()
                self._update_slot()
                reconcile_peers(self)

    def _log_descriptors(self):
        highest, closed = self.descriptors.take_counts()
        if closed or (highest and self.descriptors.is_short(self.now())):
            limit = self.descriptors.limit
            log_fields("descriptors_short", highest=highest, limit=limit, closed=closed)

    def _log_shed_requests(self):
        count = self.shedder.count_unlogged()
        if count:
            lag_s = self.loop.lag_s(self.now())
            logging.warning("shed %d requests at a lag of %.3f s", count, lag_s)

    async def shut_down(self):
        """Drain this host: finish all requests, then stop the process."""
        self.leaving = True
        self.send_heartbeats_now()
        logging.info("leaving: host %s", self.cfg.host)
        await trio.sleep(self.cfg.drain_s)
        self._accept_scope.cancel()
        await self._accept_ended.wait()
        # The tasks of the last connections begin a turn after they are accepted.
        await trio.sleep(_EXIT_POLL_S)
        # Idle connections close after the timeout announced to their callers, and
        # each response from now on announces that its connection closes.
        while self._is_busy():
            await trio.sleep(_EXIT_POLL_S)
        self.nursery.cancel_scope.cancel()

    def _is_busy(self):
        """Return whether anything runs that the exit would cut."""
        return bool(
            self.caller_connections
            or self.running_at_most_once
            or self.forwards_account.running
        )
