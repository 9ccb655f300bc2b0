"""One process on an entry host, as an object, and its life."""

import random
import secrets

import attrs
import trio

from ..internal.crash_suspects import CrashSuspects
from ..internal.metrics import Metrics
from ..internal.net import TCP
from ..records import CallerLimits, Service
from .budgets import RetryBudgets
from .catalog import Catalog
from .connections import ConnectionPool
from .dispatch import run_request
from .edge import choose_service, serve_caller
from .events import log_event
from .forwarding import LinkPool, serve_link
from .gossip import Gossip
from .membership import HostId, Membership
from .placement import Placement
from .progress import new_progress
from .quota import Quotas, RateExcess
from .retry_after import RetrySchedule
from .source_sync import Availability, catch_up_for_ever, learn_for_ever

# A host that leaves takes requests of callers that still use its address until
# the directory's answers have run out.
TAKES_AFTER_STOP_S = 2.5
# It ends this long before it would be killed.
_END_MARGIN_S = 0.4
_HOUSEKEEPING_S = 0.5
# A region that refused says by its next beats when it has room again.
_FAR_REFUSAL_S = 0.4
# Deaths are told to others this long.
_SUSPECT_TOLD_S = 3.0
# Several requests that one death broke off count once each.
_SAME_DEATH_S = 2.0
_POLL_S = 0.02


@attrs.frozen(kw_only=True)
class HostSettings:
    """What a host learns from its settings.

    Attributes
    ----------
    host, ip, zone, region : str
        The host and where it is.
    callers : tuple of str
        ``"IP:PORT"`` for callers.
    peers : str
        ``"IP:PORT"`` for other hosts; its port is the same on all of them.
    seeds : tuple of str
        IP numbers of hosts to ask first.
    zones : dict of str to str
        Region of each availability zone.
    grace_s : float
        Time from the signal to leave until the process is killed, in seconds.
    retry_ratio, retry_slack : float
        Retries permitted per request, and besides in a window.
    rate_excess : RateExcess
        What may be used over a team's rate and burst.
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
    """One incarnation of a host whose fellow hosts no list names.

    Attributes
    ----------
    cfg : HostSettings
        Its settings.
    dialect : Dialect
        How callers and endpoints speak.
    source : Source
        Where configuration and endpoints are published.
    net : Network
        How other machines are reached.
    now : callable
        Monotonic time, in seconds.
    started_at : float
        When it began to run, in seconds.
    """

    cfg: HostSettings
    dialect: object
    source: object
    net: object = TCP
    rng: random.Random = attrs.field(factory=random.Random)
    now: object = trio.current_time
    started_at: float = float("inf")
    is_leaving: bool = False
    left_at: float = float("inf")
    caller_connections: set = attrs.field(factory=set)
    busy_connections: set = attrs.field(factory=set)
    forwards_running: int = 0
    catalog: Catalog = attrs.field(factory=Catalog)
    availability: Availability = attrs.field(factory=Availability)
    suspects: CrashSuspects = attrs.field(factory=CrashSuspects)
    metrics: Metrics = attrs.field(factory=Metrics)
    membership: Membership = attrs.field(init=False)
    placement: Placement = attrs.field(init=False)
    quotas: Quotas = attrs.field(init=False)
    retries: RetryBudgets = attrs.field(init=False)
    pool: ConnectionPool = attrs.field(init=False)
    links: LinkPool = attrs.field(init=False)
    gossip: Gossip = attrs.field(init=False)
    region_backoff_until: dict = attrs.field(factory=dict)
    _retry_schedules: dict = attrs.field(factory=dict)
    _deaths: dict = attrs.field(factory=dict)
    _fresh_suspects: dict = attrs.field(factory=dict)
    _accepting: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self):
        """Create the parts that depend on the settings."""
        cfg = self.cfg
        me = HostId(
            name=cfg.host,
            ip=cfg.ip,
            zone=cfg.zone,
            region=cfg.region,
            incarnation=secrets.token_hex(8),
        )
        port = int(cfg.peers.rpartition(":")[2])
        self.membership = Membership(me)
        self.placement = Placement(cfg.region, cfg.host, rng=self.rng)
        self.quotas = Quotas(0.0, max(1, len(cfg.zones)), cfg.rate_excess)
        self.retries = RetryBudgets(cfg.retry_ratio, cfg.retry_slack)
        self.pool = ConnectionPool(self.net)
        self.links = LinkPool(self.net, port)
        self.gossip = Gossip(self, port, cfg.seeds)

    # What the parts of a request ask of the host.

    @property
    def limits(self):
        """What callers may send, as configured."""
        configuration = self.catalog.configuration
        return configuration.limits if configuration else CallerLimits()

    def service(self, name):
        """Return what is configured for a service."""
        configuration = self.catalog.configuration
        return configuration.services.get(name) or Service(name=name)

    def is_ready(self, now):
        """Tell whether callers should be sent here."""
        return not self.is_leaving and self.catalog.configuration is not None

    def takes_no_more(self, now):
        """Tell whether requests are refused because this host is leaving."""
        return now - self.left_at > TAKES_AFTER_STOP_S

    def removal_grace_s(self, now):
        """Return how long a removed endpoint still counts as listed."""
        return self.availability.removal_grace_s(now)

    def count_region_hosts(self, now):
        """Return how many hosts of the region use its endpoints, this one too."""
        return 1 + len(self.membership.serving(now, self.cfg.region))

    def has_connections(self, endpoint, service, now):
        """Tell whether another connection to an endpoint may be used."""
        return self.pool.has_room(
            endpoint.name, service.max_connections, self.count_region_hosts(now)
        )

    def retry_budget(self, service):
        """Return this host's budget of retries for a service."""
        return self.retries.for_service(service, 1 + len(self.membership.known()))

    def refund(self, req):
        """Return the tokens of a request that did not run."""
        if req.team is not None:
            self.quotas.refund(req.team, req.cost_tokens, self.now())

    def retry_schedule_for(self, service):
        """Return when callers come back that lack room at a service."""
        if service not in self._retry_schedules:
            self._retry_schedules[service] = RetrySchedule()
        return self._retry_schedules[service]

    def record_region_refusal(self, region, service, refusal):
        """Leave a region alone for a moment that has just refused."""
        wait_s = min(_FAR_REFUSAL_S, refusal.retry_after_s or _FAR_REFUSAL_S)
        self.region_backoff_until[region, service] = self.now() + wait_s

    def record_misdirected(self, endpoint):
        """Use an entry no more whose address another endpoint has."""
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

    def record_crash(self, req, progress, endpoint_name, now):
        """Count that an endpoint broke off while it had a request."""
        digest = progress.digest
        if now - self._deaths.get((digest, endpoint_name), -1e9) < _SAME_DEATH_S:
            return
        self._deaths[digest, endpoint_name] = now
        deaths = self.suspects.record_crash(digest, now)
        self._fresh_suspects[digest] = (deaths, now)
        log_event(
            "request_suspected",
            request_id=req.request_id,
            endpoint=endpoint_name,
            deaths=deaths,
        )

    def learn_suspect(self, digest, deaths, now):
        """Take over how many endpoints a request stopped elsewhere."""
        if deaths > self.suspects.crash_count(digest, now):
            self.suspects.merge_crash_count(digest, deaths, now)
            self._fresh_suspects[digest] = (deaths, now)

    def fresh_suspects(self, now):
        """Return the latest suspects with their deaths, worst first."""
        for digest, (_, at) in list(self._fresh_suspects.items()):
            if now - at > _SUSPECT_TOLD_S:
                del self._fresh_suspects[digest]
        found = [(d, n) for d, (n, _) in self._fresh_suspects.items()]
        return sorted(found, key=lambda s: -s[1])

    def waits(self, now):
        """Return the wait for each service in this region, in seconds."""
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

    def record_request(self, route, name, first_s):
        """Count a finished request."""
        self.metrics.record_request(route.name if route else "", name, first_s)

    def hosts_for_callers(self, name, region, now):
        """Return the addresses that callers of a region should use.

        Hosts of the caller's own region come first; routes of other regions
        are forwarded from there. Where it has none, hosts stand in whose
        regions may run most of the bound routes under the name.

        Parameters
        ----------
        name : str
            Host name that the caller asks for.
        region : str
            Where the caller is.
        now : float
            Present time, in seconds.

        Returns
        -------
        list of str
        """
        port = self.cfg.callers.rpartition(":")[2]
        hosts = [m.id for m in self.membership.serving(now)]
        if self.is_ready(now):
            hosts.append(self.membership.own_id)
        near = [h for h in hosts if h.region == region]
        if not near:
            near = self._stand_ins(name, hosts)
        return [f"{h.ip}:{port}" for h in near]

    def _stand_ins(self, name, hosts):
        """Return hosts of the regions that may run most routes under a name.

        Where those regions' hosts are all leaving, others take their place
        within seconds; until then callers keep the addresses that they have,
        so that no body is sent outside its homes. Where they are lost, hosts of
        any region serve what they may.
        """
        bound = [r.regions for r in self.catalog.routes_of(name) if r.regions]
        count = {
            region: sum(region in regions for regions in bound)
            for region in {*self.cfg.zones.values(), *(h.region for h in hosts)}
        }
        homes = {region for region in count if count[region] == max(count.values())}
        named = [h for h in hosts if h.region in homes]
        leaving = {m.id.region for m in self.membership.known() if m.is_leaving}
        if self.is_leaving:
            leaving.add(self.cfg.region)
        return named if named or homes & leaving else hosts

    def gauges(self, now):
        """Return sizes, ages and versions by name, for metrics."""
        configuration = self.catalog.configuration
        listed = self.catalog.listed()
        return {
            "ready": float(self.is_ready(now)),
            "configuration_version": configuration.version if configuration else 0,
            "revision": self.catalog.revision,
            "platform_answer_age_seconds": now - self.availability.answered_at,
            "platform_calls": self.source.count_calls(),
            "members_live": len(self.membership.live(now)),
            "members_silent": len(self.membership.unresponsive(now)),
            "endpoints_listed": len(listed),
            "endpoints_live": sum(e.endpoint.live for e in listed),
            "endpoint_connections_opened": self.pool.opened,
            "caller_connections": len(self.caller_connections),
            "requests_running": len(self.busy_connections),
            "forwards_running": self.forwards_running,
            "endpoints_down": self.placement.count_unreachable(now),
            "retries_left": self.retries.credit(),
        }

    # The life of the process.

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until :meth:`shut_down` has ended or the task is cancelled."""
        self.started_at = self.now()
        self.quotas.started_at = self.placement.started_at = self.started_at
        log_event(
            "start",
            host=self.cfg.host,
            zone=self.cfg.zone,
            incarnation=self.membership.own_id.incarnation,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(self.gossip.run)
            nursery.start_soon(learn_for_ever, self, self.source)
            nursery.start_soon(catch_up_for_ever, self, self.source)
            await self._listen(nursery, self.cfg.peers, self._serve_link)
            await self._listen(
                nursery, self.cfg.callers, self._serve_caller, self._accepting
            )
            nursery.start_soon(self._keep_house)
            task_status.started()
            await self._wait_until_left()
            nursery.cancel_scope.cancel()
        log_event("stop", host=self.cfg.host, open=len(self.busy_connections))

    async def _listen(self, nursery, address, handler, scope=None):
        async def accept(task_status):
            with scope or trio.CancelScope():
                await self.net.serve(address, handler, nursery, task_status)

        await nursery.start(accept)

    async def _serve_caller(self, stream):
        await self._guard(serve_caller, self, stream)

    async def _serve_link(self, stream):
        await self._guard(serve_link, self, stream, _run_forwarded)

    async def _guard(self, handler, *args):
        """Keep one connection's fault from ending the others."""
        try:
            await handler(*args)
        except Exception as exc:
            log_event("fault", handler=handler.__name__, reason=_describe(exc))

    async def _keep_house(self):
        while True:
            await trio.sleep(_HOUSEKEEPING_S)
            now = self.now()
            self.pool.drop_expired(now)
            for key, at in list(self._deaths.items()):
                if now - at > _SAME_DEATH_S:
                    del self._deaths[key]

    async def shut_down(self):
        """Leave without cutting off any request."""
        self.is_leaving, self.left_at = True, self.now()
        log_event("leaving", host=self.cfg.host, open=len(self.busy_connections))
        await self.gossip.announce()

    async def _wait_until_left(self):
        while not self.takes_no_more(self.now()):
            await trio.sleep(_POLL_S)
        self._accepting.cancel()
        for conn in self.caller_connections - self.busy_connections:
            await conn.close()
        ends_at = self.left_at + self.cfg.grace_s - _END_MARGIN_S
        while self.now() < ends_at and (self.busy_connections or self.forwards_running):
            await trio.sleep(_POLL_S)


def _describe(exc):
    if isinstance(exc, BaseExceptionGroup):
        return "; ".join(_describe(e) for e in exc.exceptions)
    return repr(exc)


async def _run_forwarded(host, req, sink, attempts, last_event_id):
    """Run a request that another host accepted and charged."""
    req = attrs.evolve(req, service=choose_service(req.route, host.rng))
    progress = new_progress(req, attempts)
    progress.scanner.last_id = last_event_id
    host.forwards_running += 1
    try:
        refusal = await run_request(host, req, sink, progress, is_forwarded=True)
    finally:
        host.forwards_running -= 1
    log_event(
        "forwarded_request",
        request_id=req.request_id,
        outcome=refusal.type_name if refusal else "answered",
        endpoint=progress.endpoint,
        sends=progress.sends,
    )
    return refusal
