"""Goodput of endpoint selection and overload control, in simulated time.

Runs the placement, overload and membership modules of ``cactusmill.serving``
against simulated engines: three regions with offset load peaks, two kinds of
requests, and hosts that learn of each other's load by heartbeats. Two baseline
policies run in the same simulation: ``random`` picks a random endpoint of the
region, ``least`` the less loaded of two random ones. ``unranked`` is this checkout
without the ranks of services. Prints a table; ``--plot FILE.svg`` also draws it, and
``--kinds`` adds the credit of each kind of request and the preempted requests.
"""

import argparse
import heapq
import itertools
import math
import random
import statistics

import attrs

from cactusmill.errors import Overloaded
from cactusmill.internal.request import Request
from cactusmill.records import Endpoint, Route, Service
from cactusmill.serving import overload
from cactusmill.serving.catalog import Catalog, Configuration, EndpointChange
from cactusmill.serving.gossip import MAX_REMOTE_RECEIVERS
from cactusmill.serving.heartbeats import MAX_REGION_RECEIVERS, REGION_HEARTBEAT_S
from cactusmill.serving.membership import HostId, Membership, RegionTotals
from cactusmill.serving.overload import ForwardTo, Send, choose_remote_host, decide
from cactusmill.serving.placement import Placement
from cactusmill.serving.retry_after import RetrySchedule
from cactusmill.serving.scheduling.engine_room import find_need
from cactusmill.serving.scheduling.rank_levels import RankLevels
from cactusmill.serving.sending import InFlightLoad
from standins.engine_model import Engine, EngineRequest, EngineSpec

DURATION_S = 40.0
CROSS_REGION_HEARTBEAT_S = 0.6
# One way between two regions.
CROSS_REGION_DELAY_S = 0.08


@attrs.frozen
class RequestKind:
    """A kind of request, as the users' requirements describe it.

    A prompt has three segments: one shared by all requests of its group, one
    shared by all requests on its subject, and one of its own.

    Attributes
    ----------
    name : str
        Name of the kind.
    on_time_credit, late_credit : float
        Credit for a response whose first token meets the objective, and for
        one that misses it but completes before the deadline.
    deadline_s : float
        Time limit of the complete response, from arrival.
    priority : int
        Priority at the engine; 0 is served first.
    fraction : float
        Fraction of all requests.
    groups, subjects : int
        Number of distinct group and subject segments.
    group_tokens, subject_tokens : int
        Length of a segment.
    own_tokens, output_tokens : int
        Scale of the log-normal lengths of the own segment and the response.
    output_sigma : float
        Sigma of the log-normal response length.
    ttft_objective_s : float
        Time from arrival within which the first token is due, in seconds; 0 for that
        of the deployment.
    max_gap_s : float
        Longest time between two events of a response that is on time, in seconds.
    """

    name: str
    on_time_credit: float
    late_credit: float
    deadline_s: float
    priority: int
    fraction: float
    groups: int
    subjects: int
    group_tokens: int
    subject_tokens: int
    own_tokens: int
    output_tokens: int
    output_sigma: float
    ttft_objective_s: float = 0.0
    max_gap_s: float = math.inf


def smooth_wave(phase):
    """Return the demand of a region by the phase of its day, as a sine."""
    return 1.0 + 0.9 * math.sin(2 * math.pi * phase)


def steep_wave(phase):
    """Return the demand of a region that has 2.5 times the mean for a third."""
    return 2.5 if phase < 1 / 3 else 0.25


def burst_wave(phase):
    """Return the demand of a region with bursts of 10 s beyond its capacity.

    The demand is relative to the capacity, and not to its mean.
    """
    if phase < 0.25:
        return 2.5
    return 1.2 if 0.5 <= phase < 0.75 else 0.6


@attrs.frozen(kw_only=True)
class Deployment:
    """What is simulated besides the policy.

    Attributes
    ----------
    engines : dict of str to int
        Engines by region.
    demand : dict of str to float
        Fraction of all requests by region.
    hosts_per_region : int
        Gateway hosts in each region.
    spec : EngineSpec
        Properties of an engine.
    speeds : tuple of float
        Relative speeds of the engines of a region, repeated in order.
    kinds : tuple of RequestKind
        Kinds of requests.
    requests_per_s : float
        Throughput of all regions' engines at saturation, with warm caches.
    tokens_per_event : int
        Tokens in an event of a stream.
    ttft_objective_s : float
        Time from arrival within which the first token is due, in seconds.
    wave : callable
        ``wave(phase)`` returns the demand of a region relative to its mean; regions
        differ by a third in phase.
    """

    engines: dict
    demand: dict
    kinds: tuple
    requests_per_s: float
    hosts_per_region: int = 2
    spec: EngineSpec = EngineSpec()
    speeds: tuple = (1.0,)
    tokens_per_event: int = 6
    ttft_objective_s: float = 0.8
    wave: object = smooth_wave

    @property
    def service(self):
        """Configuration of the service that the engines run."""
        return Service(
            name="engines",
            is_engine=True,
            kv_cache_tokens=self.spec.kv_cache_tokens,
            tokens_per_event=self.tokens_per_event,
        )


READING_KINDS = (
    RequestKind("plan", 3.1, 0.93, 5.0, 1, 0.506, 4, 168, 2520, 3780, 2890, 52, 0.9),
    RequestKind("question", 1.9, 0.56, 12.0, 0, 0.494, 20, 164, 119, 79, 628, 294, 0.6),
)
READING = Deployment(
    engines={"one": 3, "two": 2, "three": 1},
    demand={"one": 0.375, "two": 0.333, "three": 0.292},
    kinds=READING_KINDS,
    requests_per_s=60.0,
)
# Few engines of different speeds, long prompts, long responses.
DRYERS = Deployment(
    engines={"one": 3, "two": 2, "three": 1},
    demand={"one": 0.417, "two": 0.317, "three": 0.266},
    kinds=(
        RequestKind(
            "review", 2.8, 0.85, 12.0, 2, 0.24, 3, 40, 512, 4870, 6610, 385, 0.4
        ),
        RequestKind("chat", 1.7, 0.51, 12.0, 1, 0.366, 4, 60, 119, 79, 628, 294, 0.6),
        RequestKind("triage", 1.7, 0.5, 3.0, 0, 0.394, 6, 64, 341, 227, 1800, 21, 0.9),
    ),
    requests_per_s=45.0,
    hosts_per_region=3,
    spec=EngineSpec(
        step_s=0.00374,
        step_per_stream_s=0.0000807,
        prefill_tokens_per_s=81_900.0,
        prefill_chunk_tokens=1024,
        first_s=0.041,
        kv_cache_tokens=452_000,
        max_batch=64,
    ),
    speeds=(1.0, 1.0, 1.3),
    tokens_per_event=7,
    ttft_objective_s=0.9,
)
# Hundreds of hosts before tens of engines.
LARGE = Deployment(
    engines={"one": 27, "two": 19, "three": 13},
    demand={"one": 0.396, "two": 0.327, "three": 0.277},
    kinds=(
        RequestKind(
            "plan", 2.2, 0.67, 4.0, 1, 0.677, 4, 1684, 2520, 3780, 2890, 52, 0.9
        ),
        RequestKind(
            "question", 2.5, 0.74, 12.0, 0, 0.323, 39, 804, 119, 79, 628, 294, 0.6
        ),
    ),
    requests_per_s=440.0,
    hosts_per_region=65,
    spec=EngineSpec(kv_cache_tokens=334_000, max_batch=24),
    wave=steep_wave,
)
# Requests that differ in urgency, size and objective (docs/design/contended-load.md).
# The capacity was measured at constant demand with a fifth of the engines, which
# completed at most 111 requests per second.
DEPOT = Deployment(
    engines={"one": 20, "two": 15, "three": 10},
    demand={"one": 20 / 45, "two": 15 / 45, "three": 10 / 45},
    kinds=(
        RequestKind(
            "quote", 5.7, 0.65, 5, 0, 0.317, 4, 500, 2520, 3780, 2890, 49, 0.3, 1.0, 0.6
        ),
        RequestKind(
            "question",
            0.77,
            0.35,
            15,
            2,
            0.683,
            20,
            500,
            119,
            79,
            628,
            294,
            0.6,
            4.0,
            0.6,
        ),
    ),
    requests_per_s=550.0,
    hosts_per_region=24,
    spec=EngineSpec(
        step_s=0.00443,
        step_per_stream_s=0.0,
        prefill_tokens_per_s=38_100.0,
        prefill_chunk_tokens=4096,
        kv_cache_tokens=225_265,
        max_batch=32,
        limits_memory=True,
    ),
    tokens_per_event=7,
    ttft_objective_s=1.0,
    wave=burst_wave,
)
DEPLOYMENTS = {"reading": READING, "dryers": DRYERS, "large": LARGE, "depot": DEPOT}


@attrs.define(eq=False)
class SimRequest:
    """A caller's request and its outcome.

    Attributes
    ----------
    arrived_at : float
        When the caller first sent it, in seconds.
    hint : int
        Response length that the caller announces, in tokens.
    ttft_objective_s : float
        Time from arrival until the first token, in seconds.
    first_token_at, completed_at : float or None
        None until then.
    refusals : int
        Number of refusals so far; a caller retries once.
    engine_request : EngineRequest or None
        The request at the engine that it was sent to last.
    """

    kind: RequestKind
    arrived_at: float
    prompt_segments: tuple
    output_tokens: int
    hint: int
    ttft_objective_s: float
    first_token_at: float | None = None
    completed_at: float | None = None
    refusals: int = 0
    engine_request: EngineRequest | None = None

    def credit(self, is_strict):
        """Return the credit earned; if strict, late responses earn nothing."""
        if (
            self.completed_at is None
            or self.completed_at > self.arrived_at + self.kind.deadline_s
        ):
            return 0.0
        if (
            self.first_token_at - self.arrived_at <= self.ttft_objective_s
            and self.engine_request.longest_gap_s <= self.kind.max_gap_s
        ):
            return self.kind.on_time_credit
        return 0.0 if is_strict else self.kind.late_credit


@attrs.define(eq=False)
class SimHost:
    """A gateway host, reduced to the state that decisions use."""

    name: str
    region: str
    placement: Placement
    membership: Membership
    catalog: Catalog
    retry_schedule: RetrySchedule
    region_backoff_until: dict
    rank_levels: RankLevels = attrs.field(factory=RankLevels)


@attrs.define(eq=False)
class GoodputSimulation:
    """One run of the simulation.

    Attributes
    ----------
    policy : str
        ``this`` (the modules of this checkout), ``unranked`` (the same without ranks),
        ``least`` or ``random``.
    load : float
        Mean demand as a multiple of the deployment's ``requests_per_s``.
    seed : int
        Seed of all random draws.
    deployment : Deployment
        What is simulated.
    now : float
        Simulated time in seconds.
    events : list
        Heap of ``(time, sequence number, action, arguments)``.
    """

    policy: str
    load: float
    seed: int
    deployment: Deployment = READING
    now: float = 0.0
    rng: random.Random = attrs.field(init=False)
    engines: dict = attrs.field(factory=dict)
    hosts: list = attrs.field(factory=list)
    hosts_of: dict = attrs.field(factory=dict)
    hosts_by_name: dict = attrs.field(factory=dict)
    service: object = None
    configuration: object = None
    routes: dict = attrs.field(factory=dict)
    requests: list = attrs.field(factory=list)
    events: list = attrs.field(factory=list)
    _count: object = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        """Create the engines and hosts of all regions."""
        self.rng = random.Random(self.seed)
        speeds = self.deployment.speeds
        for region, count in self.deployment.engines.items():
            for number in range(count):
                name = f"{region}-{number}"
                spec = _at_speed(self.deployment.spec, speeds[number % len(speeds)])
                # Gaps matter only where a kind limits them.
                has_gaps = any(k.max_gap_s < math.inf for k in self.deployment.kinds)
                self.engines[name] = Engine(
                    name,
                    region,
                    spec,
                    tokens_per_event=self.deployment.tokens_per_event
                    if has_gaps
                    else 0,
                )
        for region in self.deployment.engines:
            self.hosts_of[region] = [
                self._build_host(f"{region}-h{number}", region)
                for number in range(self.deployment.hosts_per_region)
            ]
            self.hosts += self.hosts_of[region]
        self.hosts_by_name = {host.name: host for host in self.hosts}
        self.service = self.deployment.service
        self.routes = {
            kind.name: Route(
                name=kind.name,
                prefix="/",
                kind="model",
                service="engines",
                is_stream=True,
                priority=kind.priority,
                objective_s=self._objective_s(kind),
            )
            for kind in self.deployment.kinds
        }
        is_ranked = self.policy == "this"
        self.configuration = Configuration(
            version=1,
            routes=tuple(self.routes.values()),
            teams={},
            team_by_key={},
            services={"engines": self.service} if is_ranked else {},
            limits=None,
        )
        for host in self.hosts:
            host.rank_levels.follow(self.configuration)

    def _objective_s(self, kind):
        return kind.ttft_objective_s or self.deployment.ttft_objective_s

    def _build_host(self, name, region):
        catalog = Catalog()
        for revision, engine in enumerate(self.engines.values(), 1):
            endpoint = Endpoint(
                name=engine.name,
                zone=engine.region,
                region=engine.region,
                address="127.0.0.1:1",
                serves=("engines",),
                capacity=engine.spec.max_batch,
            )
            catalog.apply(
                EndpointChange(revision=revision, name=engine.name, endpoint=endpoint),
                0.0,
            )
        me = HostId(
            name=name, ip="127.0.0.1", zone=region, region=region, incarnation="1"
        )
        return SimHost(
            name,
            region,
            Placement(region, name, rng=random.Random(f"{self.seed}-{name}")),
            Membership(me),
            catalog,
            RetrySchedule(),
            {},
        )

    def schedule(self, when, action, *args):
        """Schedule ``action(*args)`` at a simulated time, in seconds."""
        heapq.heappush(self.events, (when, next(self._count), action, args))

    def run(self):
        """Process events until none is left; return the simulation."""
        self.schedule(0.0, self._exchange_heartbeats, 0)
        for region in self.deployment.engines:
            self.schedule(0.0, self._arrive, region)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    # Callers.

    def _arrival_rate(self, region):
        """Return requests per second; regional peaks are a third of the run apart."""
        regions = list(self.deployment.engines)
        phase = (self.now / DURATION_S + regions.index(region) / len(regions)) % 1.0
        return (
            self.deployment.requests_per_s
            * self.load
            * self.deployment.demand[region]
            * self.deployment.wave(phase)
        )

    def _arrive(self, region):
        if self.now > DURATION_S:
            return
        self.schedule(
            self.now + self.rng.expovariate(self._arrival_rate(region)),
            self._arrive,
            region,
        )
        kinds = self.deployment.kinds
        kind = self.rng.choices(kinds, [k.fraction for k in kinds])[0]
        group, subject = (
            self.rng.randrange(kind.groups),
            self.rng.randrange(kind.subjects),
        )
        number = len(self.requests)
        own_tokens = int(kind.own_tokens * self.rng.lognormvariate(-0.32, 0.8))
        output_tokens = max(
            6,
            int(kind.output_tokens * self.rng.lognormvariate(-0.18, kind.output_sigma)),
        )
        sim_req = SimRequest(
            kind,
            self.now,
            (
                (f"{kind.name}-g{group}", kind.group_tokens),
                (f"{kind.name}-s{subject}", kind.subject_tokens),
                (f"own-{number}", max(16, own_tokens)),
            ),
            output_tokens,
            max(6, int(output_tokens * self.rng.lognormvariate(0, 0.5))),
            self._objective_s(kind),
        )
        self.requests.append(sim_req)
        self._serve(sim_req, region)

    def _serve(self, sim_req, region):
        host = self.rng.choice(self.hosts_of[region])
        if self.policy in {"this", "unranked"}:
            self._decide(sim_req, host, is_forwarded=False)
            return
        engines = [e for e in self.engines.values() if e.region == region]
        if self.policy == "random":
            engine = self.rng.choice(engines)
        else:
            pair = self.rng.sample(engines, min(2, len(engines)))
            engine = min(pair, key=lambda e: e.running + len(e._queue))
        self._send(sim_req, engine, None, None)

    def _schedule_retry(self, sim_req, retry_after_s, region):
        sim_req.refusals += 1
        remaining_s = sim_req.arrived_at + sim_req.kind.deadline_s - self.now
        if sim_req.refusals <= 1 and retry_after_s <= remaining_s / 3:
            self.schedule(self.now + retry_after_s, self._serve, sim_req, region)

    # Hosts.

    def _build_request(self, sim_req):
        kind = sim_req.kind
        return Request(
            request_id="r",
            route=self.routes[kind.name],
            team=None,
            records_version=1,
            method="POST",
            target="/",
            headers=[],
            body=b"",
            deadline=sim_req.arrived_at + kind.deadline_s,
            service="engines",
            prompt_tokens=sum(t for _, t in sim_req.prompt_segments),
            output_tokens=sim_req.hint,
            prompt_segments=sim_req.prompt_segments,
            is_stream=True,
            objective_at=self.now + sim_req.ttft_objective_s,
        )

    def _decide(self, sim_req, host, is_forwarded):
        now, req = self.now, self._build_request(sim_req)
        ranks, rank = host.rank_levels, ("engines", sim_req.kind.priority)
        ranks.record_asked(*rank, req.prompt_tokens, now)
        is_patient = req.route.name in self.configuration.patient_routes
        candidates = host.placement.eligible_endpoints(host.catalog, "engines", now)
        local = host.placement.choose(
            req,
            self.service,
            candidates,
            host.membership,
            now,
            need=find_need(req, self.service, self.configuration),
        )
        remote = None
        if not is_forwarded:
            members = [
                m for m in host.membership.serving(now) if m.id.region != host.region
            ]
            remote = choose_remote_host(
                members,
                host.membership.regions(),
                "engines",
                lambda r: True,
                host.region_backoff_until,
                now,
                self.rng,
            )
        decision = decide(
            local=local,
            remote=remote,
            objective_s=sim_req.ttft_objective_s
            - (2 * CROSS_REGION_DELAY_S if is_forwarded else 0.0),
            deadline_s=sim_req.arrived_at + sim_req.kind.deadline_s - now,
            is_engine=True,
            jitter=self.rng.random(),
            retry_schedule=ranks.retry_schedule(*rank) or host.retry_schedule,
            endpoints_per_host=len(candidates) / self.deployment.hosts_per_region,
            now=now,
            max_gap_s=req.route.max_gap_s,
            is_most_urgent=ranks.is_most_urgent(*rank),
            is_admitted=not is_patient or ranks.admits(*rank, self.rng.random(), now),
        )
        if isinstance(decision, Send):
            self._send(sim_req, self.engines[local.endpoint.name], host, local)
        elif isinstance(decision, ForwardTo):
            target = self.hosts_by_name[decision.member.id.name]
            self.schedule(
                now + CROSS_REGION_DELAY_S, self._decide, sim_req, target, True
            )
        else:
            if isinstance(decision, Overloaded):
                ranks.record_refused(*rank, req.prompt_tokens, now)
            self._schedule_retry(sim_req, decision.retry_after_s, host.region)

    def _send(self, sim_req, engine, host, choice):
        sent_at = self.now
        state = {"last": None}
        load = None
        if choice is not None:
            load = InFlightLoad(choice.view, choice.uncached_tokens, choice.need)
            choice.view.record_segments(
                sim_req.prompt_segments,
                self.service.kv_cache_tokens,
                self.deployment.hosts_per_region,
            )

        def on_first(now):
            sim_req.first_token_at, state["last"] = now, now
            if choice is not None:
                load.mark_prompt_read()
                host.placement.record_response_start(
                    choice, self.service, now - sent_at, now
                )

        def on_end(now):
            sim_req.completed_at = now
            if choice is not None:
                load.end()
                events = max(1, sim_req.output_tokens / self.service.tokens_per_event)
                choice.view.record_event_gap((now - state["last"]) / events, now)

        engine_req = EngineRequest(
            sim_req.prompt_segments,
            sim_req.output_tokens,
            sim_req.kind.priority,
            on_first,
            on_end,
        )
        sim_req.engine_request = engine_req
        engine.add(engine_req)
        if not engine.is_busy:
            engine.is_busy = True
            self._step(engine)
        self.schedule(
            sim_req.arrived_at + sim_req.kind.deadline_s,
            self._time_out,
            sim_req,
            engine_req,
            load,
        )

    def _time_out(self, sim_req, engine_req, load):
        if sim_req.completed_at is None and not engine_req.is_cancelled:
            engine_req.is_cancelled = True
            if load is not None:
                load.end()

    def _step(self, engine):
        end = engine.step(self.now)
        if end is not None:
            self.schedule(end, self._step, engine)

    def _exchange_heartbeats(self, round_number):
        if self.now > DURATION_S:
            return
        self.schedule(
            self.now + REGION_HEARTBEAT_S, self._exchange_heartbeats, round_number + 1
        )
        cross_region_rounds = round(CROSS_REGION_HEARTBEAT_S / REGION_HEARTBEAT_S)
        for hosts in self.hosts_of.values():
            for number, sender in enumerate(hosts):
                load = dict(sender.placement.local_load())
                sender.rank_levels.update(self.now)
                ranks = sender.rank_levels.reports(self.now)
                for receiver in _receivers(hosts, number, round_number):
                    member = receiver.membership.record_host(
                        sender.membership.own_id, False, 0.0, self.now
                    )
                    receiver.membership.record_load(member, load, self.now)
                    if ranks:
                        receiver.rank_levels.apply_report(sender.name, ranks, self.now)
            # One host at random, so that a round costs the same at any size.
            if round_number % cross_region_rounds == 0:
                self._report_region(self.rng.choice(hosts))

    def _report_region(self, sender):
        """Report a region's shortest wait to all hosts of the others."""
        wait_s = sender.placement.shortest_wait_s(
            sender.catalog, self.service, sender.membership, self.now
        )
        if wait_s is None:
            return
        totals = RegionTotals(
            region=sender.region,
            hosts=self.deployment.hosts_per_region,
            last_seen_at=self.now,
            reported_at=self.now,
            demands={},
            waits={"engines": wait_s},
        )
        for receiver in self.hosts:
            if receiver.region != sender.region:
                for host in self.rng.sample(
                    self.hosts_of[sender.region],
                    min(MAX_REMOTE_RECEIVERS, self.deployment.hosts_per_region),
                ):
                    receiver.membership.record_host(
                        host.membership.own_id, False, 0.0, self.now
                    )
                receiver.membership.record_region(totals)


def _at_speed(spec, speed):
    """Return the properties of an engine that takes `speed` times as long."""
    return attrs.evolve(
        spec,
        step_s=spec.step_s * speed,
        step_per_stream_s=spec.step_per_stream_s * speed,
        prefill_tokens_per_s=spec.prefill_tokens_per_s / speed,
    )


def _receivers(hosts, number, round_number):
    """Return the receivers of a host's heartbeat, round robin as in `gossip`."""
    others = hosts[number + 1 :] + hosts[:number]
    if len(others) <= MAX_REGION_RECEIVERS:
        return others
    start = round_number * MAX_REGION_RECEIVERS
    return [
        others[(start + step) % len(others)] for step in range(MAX_REGION_RECEIVERS)
    ]


def summarize(sim):
    """Return the figures of one run.

    ``credit`` and ``strict`` are fractions of the greatest possible credit,
    ``strict`` without late responses; ``per_s`` is credit per second; ``whole`` is
    the fraction of requests completed before the deadline; ``read`` is
    prefilled tokens per request.
    """
    max_credit = sum(r.kind.on_time_credit for r in sim.requests)
    earned = sum(r.credit(False) for r in sim.requests)
    strict = sum(r.credit(True) for r in sim.requests)
    completed = sum(
        r.completed_at is not None and r.credit(False) > 0 for r in sim.requests
    )
    return {
        "credit": earned / max_credit,
        "strict": strict / max_credit,
        "per_s": earned / DURATION_S,
        "whole": completed / len(sim.requests),
        "read": sum(e.prefilled_tokens for e in sim.engines.values())
        / len(sim.requests),
    }


def summarize_kinds(sim):
    """Return the figures of each kind of request in one run, by its name.

    ``credit`` is the fraction of the kind's greatest possible credit, ``refused`` the
    fraction that was never sent, ``preempted`` the number of requests that an engine
    preempted, ``gap`` the fraction of the complete responses with a longer gap than
    permitted.
    """
    rows = {}
    for kind in sim.deployment.kinds:
        reqs = [r for r in sim.requests if r.kind is kind]
        sent = [r.engine_request for r in reqs if r.engine_request is not None]
        whole = [r for r in reqs if r.completed_at is not None]
        rows[kind.name] = {
            "credit": sum(r.credit(False) for r in reqs)
            / (kind.on_time_credit * len(reqs)),
            "refused": 1 - len(sent) / len(reqs),
            "preempted": sum(r.preemptions > 0 for r in sent),
            "gap": sum(r.engine_request.longest_gap_s > kind.max_gap_s for r in whole)
            / max(1, len(whole)),
        }
    return rows


def run_seeds(policy, load, seeds, deployment=READING):
    """Return the mean of each figure over the seeds."""
    runs = [GoodputSimulation(policy, load, seed, deployment).run() for seed in seeds]
    return _means([summarize(run) for run in runs]) | {
        f"{kind.name} {name}": mean
        for kind in deployment.kinds
        for name, mean in _means([summarize_kinds(r)[kind.name] for r in runs]).items()
    }


def _means(rows):
    return {name: statistics.mean(row[name] for row in rows) for name in rows[0]}


def main(argv=None):
    """Run every policy at every load and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--loads", default="0.5,1,1.5,2,3,4")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="reading")
    parser.add_argument(
        "--hosts", type=int, help="hosts per region, instead of the deployment's"
    )
    parser.add_argument("--policies", default="this,least,random")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="MODULE.NAME=VALUE",
        help="override a constant of serving.placement or serving.overload, such as "
        "overload.EVENT_GAP_S=0.1; may be repeated",
    )
    parser.add_argument("--kinds", action="store_true", help="figures of each kind")
    parser.add_argument("--plot", metavar="FILE.svg")
    args = parser.parse_args(argv)
    for text in args.set:
        dotted_name, _, value = text.partition("=")
        module, _, name = dotted_name.partition(".")
        from cactusmill.serving import placement

        target = {"overload": overload, "placement": placement}[module]
        if not hasattr(target, name):
            parser.error(f"{dotted_name!r} is not a constant of cactusmill.serving")
        setattr(target, name, float(value))
    deployment = DEPLOYMENTS[args.deployment]
    if args.hosts:
        deployment = attrs.evolve(deployment, hosts_per_region=args.hosts)
    loads = [float(x) for x in args.loads.split(",")]
    rows = {}
    print("policy  load  credit  strict  credit/s  whole  tokens read/request")
    for policy in args.policies.split(","):
        for load in loads:
            row = rows[policy, load] = run_seeds(
                policy, load, range(args.seeds), deployment
            )
            print(
                f"{policy:7} {load:4.1f}  {row['credit']:6.3f}  {row['strict']:6.3f}"
                f"  {row['per_s']:8.1f}  {row['whole']:5.3f}  {row['read']:8.0f}",
                flush=True,
            )
            if args.kinds:
                for kind in deployment.kinds:
                    print(
                        f"  {kind.name:10}"
                        f"  credit {row[f'{kind.name} credit']:5.3f}"
                        f"  refused {row[f'{kind.name} refused']:5.3f}"
                        f"  preempted {row[f'{kind.name} preempted']:6.1f}"
                        f"  gap {row[f'{kind.name} gap']:5.3f}",
                        flush=True,
                    )
    if args.plot:
        draw(rows, loads, args.policies.split(","), args.plot)


def draw(rows, loads, policies, path):
    """Write a chart of credit per second over offered load, as SVG."""
    width, height, margin = 560, 320, 45
    top = max(r["per_s"] for r in rows.values()) * 1.1

    def to_point(load, per_s):
        x = margin + (load - loads[0]) / (loads[-1] - loads[0]) * (width - 2 * margin)
        return f"{x:.0f},{height - margin - per_s / top * (height - 2 * margin):.0f}"

    colours = ("#1f77b4", "#d62728", "#7f7f7f", "#2ca02c")
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<text x="{margin}" y="20">credit per second over offered load</text>',
    ]
    for policy, colour in zip(policies, colours, strict=False):
        points = " ".join(to_point(x, rows[policy, x]["per_s"]) for x in loads)
        lines.append(
            f'<polyline points="{points}" fill="none" stroke="{colour}" '
            'stroke-width="2"/>'
        )
        x, y = to_point(loads[-1], rows[policy, loads[-1]]["per_s"]).split(",")
        lines.append(
            f'<text x="{int(x) - 40}" y="{int(y) - 6}" fill="{colour}">{policy}</text>'
        )
    for load in loads:
        x, _ = to_point(load, 0).split(",")
        lines.append(f'<text x="{x}" y="{height - margin + 18}">{load:g}x</text>')
    lines.append("</svg>")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
