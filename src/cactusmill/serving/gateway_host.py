"""The gateway process of one host: its state, its start and its shutdown.

`GatewayHost` is passed to most functions of this package, as their access to the
state of the process. All times are seconds of its monotonic clock.
"""

import random
import secrets

import attrs
import trio

from ..internal.account import Account
from ..internal.buffer_budget import BufferBudget
from ..internal.containment.containment import CrashContainment
from ..internal.containment.convictions import Verdict, has_turn
from ..internal.containment.culprits import to_text
from ..internal.containment.evidence import Evidence
from ..internal.descriptors import IDLE_BEFORE_CLOSE_S, Descriptors
from ..internal.framing import Framing
from ..internal.idle_waits import IdleWaits
from ..internal.loop_monitor import LoopMonitor
from ..internal.metrics import Metrics
from ..internal.net import TCP
from ..internal.settings_file import find_changes
from ..internal.shedding import ShedAverage, Shedder, name_with_room
from ..internal.supervision import Supervisor
from ..records import CallerLimits, Service
from .budgets import RetryBudgets
from .catalog import Catalog
from .connections import ConnectionPool
from .dispatch import run_request
from .durations import Durations
from .edge import choose_service, serve_caller
from .events import log_event, log_failed_task, log_fault
from .forwarding import LinkPool, serve_link
from .gossip import Gossip
from .membership import HostId, Membership
from .placement import WARMUP_HOLDOFF_S, Placement
from .positions import era_of, revision_of
from .quota import Quotas, RateExcess
from .retry_after import RetrySchedule
from .room_sharing import gauges as room_gauges
from .room_sharing import log_rooms
from .scheduling.patience import find_priority
from .scheduling.rank_levels import RankLevels
from .scheduling.region_room import RegionAllowances, RegionRooms
from .source_sync import SourceHealth, sync_from_hosts, sync_from_source

# A host that is shutting down accepts requests this long, and at most for this part of
# the time until its exit. Callers get the addresses of hosts from the directory
# (:mod:`cactusmill.platform.directory`); responses that name this host have expired
# after DRAIN_S.
DRAIN_S = 2.5
_MAX_DRAIN_PART = 0.5
# The process exits this long before it would be killed (see `HostSettings.grace_s`).
_EXIT_MARGIN_S = 0.4
# The part of it in which the requests that still run are refused.
_EXIT_REFUSAL_S = 0.2
_MAINTENANCE_INTERVAL_S = 0.5
# Longest time for which nothing is forwarded to a region that refused a request; its
# next heartbeats then report whether it has capacity again.
_REGION_BACKOFF_S = 0.4
# Heartbeats of the other hosts have arrived this long after the start of the process.
_INFORM_S = 0.4
_DRAIN_POLL_INTERVAL_S = 0.02
# Settings that a running process takes over.
_RELOADED = frozenset({"seeds", "grace_s", "retry_ratio", "retry_slack", "rate_excess"})


@attrs.frozen(kw_only=True)
class HostSettings:
    """Settings of one gateway host.

    Attributes
    ----------
    host, ip, zone, region : str
        Host name, IPv4 address and location.
    callers : str
        ``"IP:PORT"`` on which callers are served.
    peers : str
        ``"IP:PORT"`` for other hosts: TCP links on which requests are forwarded, and
        UDP gossip. The port is the same on all hosts.
    seeds : tuple of str
        IP addresses of hosts to which gossip is sent first.
    zones : dict of str to str
        Region of each availability zone.
    grace_s : float
        Time from SIGTERM until the process is killed, in seconds.
    retry_ratio, retry_slack : float
        Retries permitted per request, and additional retries per window, over all
        hosts.
    rate_excess : RateExcess
        Tolerated usage above a team's rate and burst.
    """

    host: str
    ip: str
    zone: str
    region: str
    callers: str
    peers: str
    seeds: tuple
    zones: dict
    grace_s: float = 8.0
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    rate_excess: RateExcess = RateExcess()


@attrs.define(eq=False)
class GatewayHost:
    """State of one gateway process.

    Attributes
    ----------
    cfg : HostSettings
        Settings of this host.
    dialect : Dialect
        HTTP conventions of callers and endpoints.
    source : Source
        Reads the configuration and the endpoints that the platform publishes.
    net : Network
        Opens and accepts connections.
    rng : random.Random
        Source of all random choices.
    now : callable
        Returns the monotonic time, in seconds.
    started_at : float
        When the process began to run, in seconds; infinity before.
    is_leaving : bool
        True once shutdown has begun.
    leaving_since : float
        When shutdown began, in seconds; infinity before.
    caller_connections, busy_connections : set of Connection
        Open connections of callers, and those with a request in progress.
    idle_callers : IdleWaits
        Those that wait for the next request.
    served_links : set of Link
        Open links of other hosts.
    idle_links : IdleWaits
        Those that wait for the next request.
    supervisor : Supervisor
        Runs the long-lived tasks.
    descriptors : Descriptors
        How near the process is to its limit of descriptors.
    buffers : BufferBudget
        Limits the bytes of bodies and frames that are held at once.
    loop : LoopMonitor
        Measures how late the event loop is.
    account, forwards_account : Account
        Accounts of callers' requests, and of those that other hosts forwarded.
    forwards_running : int
        Number of requests forwarded by other hosts that run here.
    shedder : Shedder
        Refuses requests for lack of processor time.
    durations : Durations
        How long requests took lately.
    shed_average : ShedAverage
        Part of new requests that this host has refused lately.
    rank_levels : RankLevels
        Fractions of patient requests that are admitted.
    region_backoff_until : dict of (str, str) to float
        By region and service, the time until which nothing is forwarded there, in
        seconds. Past times have no effect.
    rooms : RegionRooms
        Room of this region for requests of others.
    allowances : RegionAllowances
        What may be forwarded to other regions.
    """

    cfg: HostSettings
    dialect: object
    source: object
    net: object = TCP
    rng: random.Random = attrs.field(factory=random.Random)
    now: object = trio.current_time
    started_at: float = float("inf")
    is_leaving: bool = False
    leaving_since: float = float("inf")
    caller_connections: set = attrs.field(factory=set)
    busy_connections: set = attrs.field(factory=set)
    descriptors: Descriptors = attrs.field(factory=Descriptors)
    idle_callers: IdleWaits = attrs.field(init=False)
    served_links: set = attrs.field(factory=set)
    idle_links: IdleWaits = attrs.field(init=False)
    account: Account = attrs.field(factory=Account)
    forwards_account: Account = attrs.field(factory=Account)
    forwards_running: int = 0
    durations: Durations = attrs.field(factory=Durations)
    shed_average: ShedAverage = attrs.field(factory=ShedAverage)
    catalog: Catalog = attrs.field(factory=Catalog)
    source_health: SourceHealth = attrs.field(factory=SourceHealth)
    containment: CrashContainment = attrs.field(factory=CrashContainment)
    supervisor: Supervisor = attrs.field(init=False)
    loop: LoopMonitor = attrs.field(init=False)
    shedder: Shedder = attrs.field(init=False)
    metrics: Metrics = attrs.field(factory=Metrics)
    rank_levels: RankLevels = attrs.field(factory=RankLevels)
    buffers: BufferBudget = attrs.field(factory=BufferBudget)
    membership: Membership = attrs.field(init=False)
    placement: Placement = attrs.field(init=False)
    quotas: Quotas = attrs.field(init=False)
    retry_budgets: RetryBudgets = attrs.field(init=False)
    pool: ConnectionPool = attrs.field(init=False)
    links: LinkPool = attrs.field(init=False)
    gossip: Gossip = attrs.field(init=False)
    _leaving: trio.Event = attrs.field(factory=trio.Event)
    region_backoff_until: dict = attrs.field(factory=dict)
    rooms: RegionRooms = attrs.field(factory=RegionRooms)
    allowances: RegionAllowances = attrs.field(init=False)
    _retry_schedules: dict = attrs.field(factory=dict)
    _accepting: list = attrs.field(factory=list)
    _full_engines: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        """Create the components that depend on the settings."""
        cfg = self.cfg
        own_id = HostId(
            name=cfg.host,
            ip=cfg.ip,
            zone=cfg.zone,
            region=cfg.region,
            incarnation=secrets.token_hex(8),
        )
        self.supervisor = Supervisor(self.now, self.rng, log_failed_task)
        self.loop = LoopMonitor(self.now)
        self.idle_callers = IdleWaits(self.now)
        self.shedder = Shedder(self.loop, self.rng)
        self.idle_links = IdleWaits(self.now)
        port = int(cfg.peers.rpartition(":")[2])
        self.membership = Membership(own_id)
        self.placement = Placement(cfg.region, cfg.host, rng=self.rng)
        # Has its own source, so that other random choices stay as they are.
        self.allowances = RegionAllowances(random.Random(own_id.incarnation))
        # run() sets the start time of the quotas and of the placement.
        self.quotas = Quotas(0.0, max(1, len(cfg.zones)), cfg.rate_excess)
        self.retry_budgets = RetryBudgets(cfg.retry_ratio, cfg.retry_slack)
        self.pool = ConnectionPool(self.net)
        self.links = LinkPool(self.net, port, self.buffers)
        self.gossip = Gossip(self, port, cfg.seeds)

    # Queries and updates by the other modules.

    @property
    def limits(self):
        """Configured limits of callers' requests; defaults before a configuration."""
        configuration = self.catalog.configuration
        return configuration.limits if configuration else CallerLimits()

    def service(self, name):
        """Return the configuration of a service, or the defaults if it has none.

        Only called once a configuration is in force.
        """
        configuration = self.catalog.configuration
        return configuration.services.get(name) or Service(name=name)

    def apply_settings(self, cfg):
        """Take over changed settings; return the names of those that need a restart.

        A shutdown that has begun keeps its grace time, of which callers were told.

        Parameters
        ----------
        cfg : HostSettings
            The changed settings.

        Returns
        -------
        list of str
        """
        needs_restart = find_changes(self.cfg, cfg, _RELOADED)
        changed = {name: getattr(cfg, name) for name in _RELOADED}
        if self.is_leaving:
            changed["grace_s"] = self.cfg.grace_s
        self.cfg = attrs.evolve(self.cfg, **changed)
        self.retry_budgets.ratio = cfg.retry_ratio
        self.retry_budgets.slack = cfg.retry_slack
        self.quotas.excess = cfg.rate_excess
        self.gossip.seeds = cfg.seeds
        return needs_restart

    def has_configuration(self):
        """Return whether a configuration is in force."""
        return self.catalog.configuration is not None

    def has_configuration_since(self, version):
        """Return whether a configuration of a version or a newer one is in force."""
        configuration = self.catalog.configuration
        return configuration is not None and configuration.version >= version

    def is_ready(self, now):
        """Return whether callers should be directed to this host."""
        return not self.is_leaving and self.has_configuration()

    def refuses_requests(self, now):
        """Return whether new requests are refused because of the shutdown."""
        return now - self.leaving_since > self.drain_s

    @property
    def drain_s(self):
        """How long requests are accepted after the shutdown has begun, in seconds."""
        until_exit_s = self.cfg.grace_s - _EXIT_MARGIN_S
        return min(DRAIN_S, _MAX_DRAIN_PART * until_exit_s)

    @property
    def listens_until(self):
        """Until when connections are accepted in a shutdown, in seconds.

        Callers use the directory's earlier responses until then, and are refused.
        """
        last = self.exits_at - IDLE_BEFORE_CLOSE_S - _EXIT_REFUSAL_S
        return max(
            self.leaving_since + self.drain_s, min(self.leaving_since + DRAIN_S, last)
        )

    @property
    def exits_at(self):
        """When what still runs is cut by the shutdown; infinity without one."""
        return self.leaving_since + self.cfg.grace_s - _EXIT_MARGIN_S

    def may_end_before_exit(self, route, deadline, now):
        """Return whether a request that begins now will probably end before the exit.

        Parameters
        ----------
        route : Route
            Its route.
        deadline : float
            Its deadline, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
        """
        return self.durations.may_end_within(
            route.name, self.exits_at - now, deadline - now, now
        )

    def closes_connections(self, now):
        """Return whether responses announce that their connection closes."""
        return self.is_leaving or self.descriptors.is_short(now)

    def removal_grace_s(self, now):
        """Return how long a removed endpoint still counts as listed, in seconds.

        Entries of live endpoints may expire while the source is unavailable.
        """
        return self.source_health.removal_grace_s(now)

    def count_region_hosts(self, now):
        """Return how many hosts send to the region's endpoints, including this one."""
        return 1 + len(self.membership.serving(now, self.cfg.region))

    def divided_services(self, now):
        """Return the services whose capacity is divided between regions.

        Those whose endpoints report a pace. On a deployment with ranked services of
        few hosts a region, the division refused more urgent requests than it saved.
        """
        configuration = self.catalog.configuration
        services = configuration.services if configuration else ()
        return frozenset(s for s in services if self.placement.is_paced(s, now))

    def home_tokens_per_s(self, service_name, now):
        """Return what callers ask the region's hosts for, by what they ask this one."""
        asked = self.rooms.asked.rate(service_name, now)
        return asked * self.count_region_hosts(now)

    def with_connection_room(self, listed, service, now):
        """Return the endpoints to which this host may use one more connection.

        Parameters
        ----------
        listed : list of ListedEndpoint
            Endpoints of the service.
        service : Service
            The service.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of ListedEndpoint
        """
        hosts = self.count_region_hosts(now)
        return [
            entry
            for entry in listed
            if self.pool.has_room(entry.endpoint.name, service.max_connections, hosts)
        ]

    def retry_budget(self, service_name, now):
        """Return this host's share of the retries of a service.

        Until the first heartbeats have arrived after the start, a process does not
        know among how many hosts the fixed allowance is divided, unless it is its own
        only seed, as the first host of a fleet.
        """
        hosts = None
        is_first = set(self.gossip.seeds) == {self.cfg.ip}
        if is_first or now - self.started_at >= WARMUP_HOLDOFF_S:
            hosts = self.membership.estimate_hosts(max(1, len(self.cfg.zones)))
        return self.retry_budgets.for_service(service_name, hosts)

    def refund(self, req):
        """Give the tokens of a request that did not run back to its team's bucket."""
        if req.team is not None:
            self.quotas.refund(req.team, req.cost_tokens, self.now())

    def rank_levels_in_force(self):
        """Return the levels of patient requests, by the configuration in force."""
        return self.rank_levels.follow(self.catalog.configuration)

    def find_priority(self, team, route, service_name):
        """Return the priority of requests of a ranked service, or None."""
        return find_priority(team, route, service_name, self.catalog.configuration)

    def update_rank_levels(self, now):
        """Update the levels of patient requests and log their changes."""
        ranks = self.rank_levels_in_force()
        ranks.update(now)
        for fields in ranks.take_changes():
            log_event("rank_level", **fields)

    def retry_schedule_for(self, service_name, priority):
        """Return the schedule that assigns retry times when a service is overloaded."""
        ranked = self.rank_levels_in_force().retry_schedule(service_name, priority)
        if ranked is not None:
            return ranked
        if service_name not in self._retry_schedules:
            self._retry_schedules[service_name] = RetrySchedule()
        return self._retry_schedules[service_name]

    def record_region_refusal(self, region, service_name, refusal):
        """Forward nothing to a region for a service until the refusal's retry time.

        At most _REGION_BACKOFF_S, which also applies if the refusal states no time.
        """
        wait_s = min(_REGION_BACKOFF_S, refusal.retry_after_s or _REGION_BACKOFF_S)
        self.region_backoff_until[region, service_name] = self.now() + wait_s
        self.allowances.record_refused(region, service_name, self.now())

    def record_notices(self, endpoint, metadata):
        """Record what an endpoint says of itself in the head of a response."""
        now = self.now()
        self.placement.notices.record(endpoint, metadata, now)
        self.placement.record_pace(endpoint, metadata, now)
        if metadata.is_leaving and not metadata.is_misdirected:
            self.pool.close_idle(endpoint.name)

    def record_misdirected(self, endpoint):
        """Ignore an endpoint's entry because another endpoint has its address.

        The endpoint is used again once a new revision of its entry is published.
        """
        for listed in self.catalog.listed():
            if listed.endpoint.name == endpoint.name:
                self.placement.view(
                    endpoint.name
                ).misdirected_revision = listed.revision
                log_event(
                    "endpoint_misdirected",
                    endpoint=endpoint.name,
                    revision=listed.revision,
                )
        self.record_crash_evidence(endpoint.name, Evidence.REPLACED, self.now())

    def record_crash_evidence(self, endpoint_name, evidence, now):
        """Count an endpoint's crash against the requests that were running there.

        Parameters
        ----------
        endpoint_name : str
            The endpoint.
        evidence : Evidence
            What shows that it has ended.
        now : float
            Current time, in seconds.
        """
        counted = self.containment.count_crashes(endpoint_name, evidence, now)
        for interruption, crash_count in counted:
            began_s = interruption.began_s
            log_event(
                "request_suspected",
                request_id=interruption.request_id,
                endpoint=endpoint_name,
                deaths=crash_count,
                evidence=evidence.value,
                waited_s=round(now - interruption.broke_at, 3),
                digest=to_text(interruption.digest),
                parts=[to_text(part) for part in interruption.culprits.parts],
                began_s=None if began_s is None else round(began_s, 3),
            )
        if counted:
            self.log_decisions(now)
            self.gossip.tell_news()

    def record_served(self, progress, now):
        """Record that a request was served whole; what was in it is not at fault."""
        began_at = progress.began_at
        if began_at is None:
            began_at = progress.sent_at
        progress.is_trial = False
        if progress.received.framing is Framing.CLOSE:
            # The end of the connection may have been that of the endpoint.
            self.containment.record_begun(progress.culprits, now)
            return
        self.containment.record_served(progress.culprits, began_at, now)
        self.log_decisions(now)

    def judge(self, culprits, now):
        """Return what may be done with a request, as :meth:`.Convictions.judge`."""
        return self.containment.judge(culprits, self._makes_trial, now)

    def thing_held_back(self, progress, now):
        """Return what a request is refused for because it is held back, or None."""
        verdict, thing = self.judge(progress.culprits, now)
        is_refused = verdict is Verdict.REFUSE and not progress.is_trial
        return thing if is_refused else None

    def _makes_trial(self, thing, turn):
        """Return whether this host makes the trials of something in a turn."""
        names = [m.id.name for m in self.membership.serving(self.now())]
        return has_turn(self.cfg.host, names, thing, turn)

    def is_informed(self, now):
        """Return whether this host knows what the others hold back."""
        if self.gossip.has_decisions or now - self.started_at > _INFORM_S:
            return True
        return all(seed == self.cfg.ip for seed in self.cfg.seeds)

    def log_decisions(self, now):
        """Log what was decided, here or by other hosts, to be held back or released."""
        for conviction, why in self.containment.take_decisions():
            log_event(
                "held_back" if conviction.is_held else "released",
                digest=to_text(conviction.thing),
                reason=why,
                crashes=conviction.crashes,
                epoch=conviction.epoch,
                trials=conviction.trials,
                companions=[to_text(c) for c in conviction.companions],
                age_s=round(now - conviction.since, 3),
            )

    def waits(self, now):
        """Return the shortest predicted wait of each service in this region.

        Returns
        -------
        dict of str to float
            Seconds by service name. A service is absent if it has no warm endpoint
            here that accepts requests.
        """
        configuration = self.catalog.configuration
        if configuration is None:
            return {}
        waits = {
            name: self.placement.shortest_wait_s(
                self.catalog, service, self.membership, now
            )
            for name, service in configuration.services.items()
        }
        return {name: wait_s for name, wait_s in waits.items() if wait_s is not None}

    def record_request(self, route, outcome, ttfb_s):
        """Record a finished request in the metrics.

        Parameters
        ----------
        route : Route or None
            None if no route was found.
        outcome : str
            ``"answered"`` or the name of an error or refusal.
        ttfb_s : float or None
            Time to first byte, in seconds; None if no response began.
        """
        self.metrics.record_request(route.name if route else "", outcome, ttfb_s)

    def hosts_for_callers(self, name, region, now):
        """Return the addresses that callers of a region should use.

        These are the hosts of the caller's region, which forward requests of routes
        restricted to other regions. If the region has no host, they are the hosts
        of the regions that are permitted by the largest number of the name's
        restricted routes. Hosts that have shed requests lately are named less often.

        Parameters
        ----------
        name : str
            DNS name that the caller resolves.
        region : str
            Region of the caller.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of str
            Addresses as ``"IP:PORT"``.
        """
        port = self.cfg.callers.rpartition(":")[2]
        members = self.membership.serving(now)
        hosts = [m.id for m in members]
        shed_parts = {m.id.ip: m.shed_average.part for m in members}
        if self.is_ready(now):
            hosts.append(self.membership.own_id)
            shed_parts[self.cfg.ip] = self.shed_average.part
        in_region = [h for h in hosts if h.region == region]
        if not in_region:
            in_region = self._hosts_for_hostless_region(name, hosts)
        parts = [shed_parts[h.ip] for h in in_region]
        named = name_with_room(in_region, parts, self.rng)
        return [f"{h.ip}:{port}" for h in named]

    def _hosts_for_hostless_region(self, name, hosts):
        """Return hosts of the regions that the most restricted routes permit.

        If none of them accepts callers because hosts there are shutting down, their
        replacements start within seconds. Until then no host is returned and callers
        keep the addresses they have, so that no request body is sent outside its
        permitted regions. If these regions have no hosts for another reason, all
        hosts are returned, which serve the routes that their region permits.
        """
        restricted = [r.regions for r in self.catalog.routes_of(name) if r.regions]
        count = {
            region: sum(region in regions for regions in restricted)
            for region in {*self.cfg.zones.values(), *(h.region for h in hosts)}
        }
        best_regions = {
            region for region in count if count[region] == max(count.values())
        }
        candidates = [h for h in hosts if h.region in best_regions]
        leaving = {m.id.region for m in self.membership.known() if m.is_leaving}
        if self.is_leaving:
            leaving.add(self.cfg.region)
        return candidates if candidates or best_regions & leaving else hosts

    def gauges(self, now):
        """Return the values of all gauges, by name."""
        configuration = self.catalog.configuration
        listed = self.catalog.listed()
        tokens_held, tokens_promised = self.placement.count_room()
        leaving, paused = self.placement.notices.count(
            [entry.endpoint for entry in listed], now
        )
        return {
            "ready": float(self.is_ready(now)),
            "held_back": len(self.containment.convictions),
            "configuration_version": configuration.version if configuration else 0,
            "revision": revision_of(self.catalog.revision),
            "era": era_of(self.catalog.revision),
            "platform_answer_age_seconds": now - self.source_health.responded_at,
            "platform_calls": self.source.count_calls(),
            "members_live": len(self.membership.live(now)),
            "members_silent": len(self.membership.unresponsive(now)),
            "endpoints_listed": len(listed),
            "endpoints_live": sum(e.endpoint.live for e in listed),
            "endpoints_leaving": leaving,
            "endpoints_paused": paused,
            "endpoints_paced": self.placement.machine_pace.count_paced(now),
            "malformed_load_reports": self.placement.machine_pace.malformed_reports,
            "engine_tokens_held": tokens_held,
            "engine_tokens_promised": tokens_promised,
            "engines_full": sum(self.full_engines(now).values()),
            "endpoint_connections_opened": self.pool.opened,
            "caller_connections": len(self.caller_connections),
            "requests_running": len(self.busy_connections),
            "forwards_running": self.forwards_running,
            "endpoints_down": self.placement.count_unreachable(now),
            "endpoints_warming": self.placement.count_warming(
                self.catalog, configuration.services.values(), now
            )
            if configuration
            else 0,
            "retries_left": self.retry_budgets.credit(),
            "buffered_bytes": self.buffers.used_bytes,
            "event_loop_lag_seconds": self.loop.lag_s(now),
            "requests_shed": self.shedder.count,
            **self.rank_levels_in_force().gauges(now),
            "task_failures": self.supervisor.failures.total(),
            **room_gauges(self),
            **{
                f"task_failures_{task}": count
                for task, count in self.supervisor.failures.items()
            },
        }

    # Start, maintenance and shutdown.

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until the host has drained after :meth:`shut_down`, or is cancelled."""
        self.started_at = self.now()
        self.quotas.started_at = self.placement.started_at = self.started_at
        log_event(
            "start",
            host=self.cfg.host,
            zone=self.cfg.zone,
            incarnation=self.membership.own_id.incarnation,
        )
        self.loop.install()
        try:
            await self._serve_until_drained(task_status)
        finally:
            self.loop.remove()
        log_event("stop", host=self.cfg.host, open=len(self.busy_connections))

    async def _serve_until_drained(self, task_status):
        async with trio.open_nursery() as nursery:
            await nursery.start(self.gossip.run)
            for task in (sync_from_source, sync_from_hosts):
                nursery.start_soon(
                    self.supervisor.run, task.__name__, task, self, self.source
                )
            await self._listen(nursery, self.cfg.peers, self._serve_link)
            await self._listen(nursery, self.cfg.callers, self._serve_caller)
            nursery.start_soon(
                self.supervisor.run, "maintain_host", self._maintenance_loop
            )
            task_status.started()
            await self._drain()
            await self._refuse_running()
            nursery.cancel_scope.cancel()

    async def _listen(self, nursery, address, handler):
        """Accept connections until :meth:`_stop_accepting`."""

        async def accept(task_status):
            with trio.CancelScope() as scope:
                self._accepting.append(scope)
                await self.net.serve(address, handler, nursery, task_status)
            self._accepting.remove(scope)

        await nursery.start(accept)

    async def _serve_caller(self, stream):
        await self.contain_errors(serve_caller, self, stream)

    async def _serve_link(self, stream):
        await self.contain_errors(serve_link, self, stream, _run_forwarded)

    async def contain_errors(self, handler, *args):
        """Run the handler of one connection or signal, and log an internal error in it.

        The error does not end what else the process does.
        """
        try:
            await handler(*args)
        except Exception as exc:
            log_fault(handler.__name__, exc)

    async def _maintenance_loop(self):
        while True:
            await trio.sleep(_MAINTENANCE_INTERVAL_S)
            now = self.now()
            self._log_shed_requests(now)
            self._log_descriptors(now)
            log_rooms(self)
            self._log_full_engines(now)
            self.pool.close_expired(now)
            self.containment.interruptions.expire(now)
            self.containment.review(now)
            self.log_decisions(now)

    def _log_shed_requests(self, now):
        count = self.shedder.count_unlogged()
        if count:
            log_event(
                "requests_shed", requests=count, lag_s=round(self.loop.lag_s(now), 3)
            )

    def full_engines(self, now):
        """Return how many engines of each ranked service have no memory left, by name.

        Services without such engines are left out.
        """
        configuration = self.catalog.configuration
        ranked = configuration.ranked_services if configuration else ()
        counts = {
            name: self.placement.count_full(
                self.catalog, configuration.services[name], self.membership, now
            )
            for name in ranked
        }
        return {name: count for name, count in counts.items() if count}

    def _log_full_engines(self, now):
        """Log when a service gets its first full engine, or has none any more."""
        before, self._full_engines = self._full_engines, self.full_engines(now)
        for name in before.keys() ^ self._full_engines.keys():
            log_event(
                "engines_full", service=name, count=self._full_engines.get(name, 0)
            )

    def _log_descriptors(self, now):
        highest, closed = self.descriptors.take_counts()
        if closed or (highest and self.descriptors.is_short(now)):
            log_event(
                "descriptors_short",
                highest=highest,
                limit=self.descriptors.limit,
                closed=closed,
            )

    async def shut_down(self):
        """Begin a graceful shutdown and announce it; :meth:`run` completes it."""
        self.is_leaving, self.leaving_since = True, self.now()
        self._leaving.set()
        log_event("leaving", host=self.cfg.host, open=len(self.busy_connections))
        await self.gossip.announce()

    async def _drain(self):
        """Wait for the shutdown and for running requests, up to the exit margin."""
        await self._leaving.wait()
        while self.now() < self.listens_until:
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)
        await self._stop_accepting()
        while self.now() < self.exits_at and (
            self.caller_connections or self.served_links
        ):
            self.idle_callers.end_since(self.now() - IDLE_BEFORE_CLOSE_S)
            self.idle_links.end_since(self.now())
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _stop_accepting(self):
        """Close the listeners, and begin to serve what was accepted last."""
        for scope in self._accepting:
            scope.cancel()
        while self._accepting:
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)
        # The last tasks begin a turn later, whichever task has its turn first.
        for _ in range(2):
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _refuse_running(self):
        """Refuse the requests that still run and whose responses have not begun."""
        accounts = (self.account, self.forwards_account)
        for account in accounts:
            account.stop()
        with trio.move_on_after(_EXIT_REFUSAL_S):
            while any(account.running for account in accounts):
                await trio.sleep(_DRAIN_POLL_INTERVAL_S)


async def _run_forwarded(host, req, sink, progress):
    """Run a request that another host accepted and forwarded.

    The other host has charged its tokens to the team. See :func:`.serve_link` for the
    parameters.
    """
    # A forwarded request carries its route but no service.
    service = choose_service(req.route, host.rng)
    priority = host.find_priority(req.team, req.route, service)
    req = attrs.evolve(req, service=service, priority=priority)
    host.forwards_running += 1
    try:
        return await run_request(host, req, sink, progress, is_forwarded=True)
    finally:
        host.forwards_running -= 1
