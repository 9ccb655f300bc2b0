"""Goodput of placing and refusing under load, in simulated time.

Runs the deciding modules of ``cactusmill.serving`` against modelled engines:
three regions whose peaks are offset, two kinds of requests, hosts that know of
each other's work by beats. Baselines run in the same program. Prints a table;
``--plot FILE`` draws it.
"""

import argparse
import heapq
import itertools
import math
import random
import statistics

import attrs

from cactusmill.internal.request import Request
from cactusmill.records import Endpoint, Route, Service
from cactusmill.serving import overload
from cactusmill.serving.catalog import Catalog, EndpointChange
from cactusmill.serving.membership import HostId, Membership, RegionTotals
from cactusmill.serving.overload import ForwardTo, Send, choose_remote_host, decide
from cactusmill.serving.placement import Placement
from cactusmill.serving.retry_after import RetrySchedule
from standins.engine_model import Engine, EngineRequest

REGIONS = {"one": 3, "two": 2, "three": 1}
HOSTS_PER_REGION = 2
LENGTH_S = 40.0
BEAT_S = 0.15
CROSS_REGION_HEARTBEAT_S = 0.6
WAY_S = 0.08
OBJECTIVE_S = 0.8
WAITS_AT_MOST = 128
SERVICE = Service(
    name="engines", is_engine=True, kv_cache_tokens=350_000, tokens_per_event=6
)


@attrs.frozen
class Kind:
    """A kind of request, by the users' sheets."""

    name: str
    worth: float
    late_worth: float
    deadline_s: float
    rank: int
    share: float
    groups: int
    subjects: int
    group_tokens: int
    subject_tokens: int
    own_tokens: int
    output_tokens: int
    spread: float


KINDS = (
    Kind("plan", 3.1, 0.93, 5.0, 1, 0.506, 4, 168, 2520, 3780, 2890, 52, 0.9),
    Kind("question", 1.9, 0.56, 12.0, 0, 0.494, 20, 164, 119, 79, 628, 294, 0.6),
)
# Requests a second over all regions that engines just manage, with warm caches.
CAPACITY_REQUESTS_PER_S = 60.0


@attrs.define(eq=False)
class Asked:
    """A caller's request and what became of it."""

    kind: Kind
    at: float
    prompt_segments: tuple
    output_tokens: int
    hint: int
    first_at: float | None = None
    end_at: float | None = None
    refusals: int = 0

    def credit(self, is_strict):
        """Return its credit; strictly, nothing for late answers."""
        if self.end_at is None or self.end_at > self.at + self.kind.deadline_s:
            return 0.0
        if self.first_at - self.at <= OBJECTIVE_S:
            return self.kind.worth
        return 0.0 if is_strict else self.kind.late_worth


@attrs.define(eq=False)
class SimHost:
    """A host's state."""

    name: str
    region: str
    placement: Placement
    membership: Membership
    catalog: Catalog
    retry_schedule: RetrySchedule
    region_backoff_until: dict


@attrs.define(eq=False)
class GoodputSimulation:
    """One run."""

    policy: str
    load: float
    seed: int
    now: float = 0.0
    rng: random.Random = attrs.field(init=False)
    engines: dict = attrs.field(factory=dict)
    hosts: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)
    events: list = attrs.field(factory=list)
    _count: object = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        """Build engines and hosts."""
        self.rng = random.Random(self.seed)
        for region, count in REGIONS.items():
            for number in range(count):
                name = f"{region}-{number}"
                self.engines[name] = Engine(name, region)
        for region in REGIONS:
            for number in range(HOSTS_PER_REGION):
                self.hosts.append(self._host(f"{region}-h{number}", region))

    def _host(self, name, region):
        catalog = Catalog()
        for revision, engine in enumerate(self.engines.values(), 1):
            endpoint = Endpoint(
                name=engine.name,
                zone=engine.region,
                region=engine.region,
                address="127.0.0.1:1",
                serves=("engines",),
                capacity=WAITS_AT_MOST,
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
            Placement(region, name),
            Membership(me),
            catalog,
            RetrySchedule(),
            {},
        )

    def at(self, when, what, *args):
        """Do something at a time."""
        heapq.heappush(self.events, (when, next(self._count), what, args))

    def run(self):
        """Play the whole run."""
        self.at(0.0, self._beat, 0)
        for region in REGIONS:
            self.at(0.0, self._arrive, region)
        while self.events:
            self.now, _, what, args = heapq.heappop(self.events)
            what(*args)
        return self

    # Callers.

    def _rate(self, region):
        """Peaks of the regions are offset by a third of the run."""
        offset = list(REGIONS).index(region) * LENGTH_S / 3
        wave = 1.0 + 0.9 * math.sin(2 * math.pi * (self.now + offset) / LENGTH_S)
        share = {"one": 0.375, "two": 0.333, "three": 0.292}[region]
        return CAPACITY_REQUESTS_PER_S * self.load * share * wave

    def _arrive(self, region):
        if self.now > LENGTH_S:
            return
        self.at(
            self.now + self.rng.expovariate(self._rate(region)), self._arrive, region
        )
        kind = self.rng.choices(KINDS, [k.share for k in KINDS])[0]
        group, subject = (
            self.rng.randrange(kind.groups),
            self.rng.randrange(kind.subjects),
        )
        number = len(self.requests)
        own = int(kind.own_tokens * self.rng.lognormvariate(-0.32, 0.8))
        output = max(
            6, int(kind.output_tokens * self.rng.lognormvariate(-0.18, kind.spread))
        )
        asked = Asked(
            kind,
            self.now,
            (
                (f"{kind.name}-g{group}", kind.group_tokens),
                (f"{kind.name}-s{subject}", kind.subject_tokens),
                (f"own-{number}", max(16, own)),
            ),
            output,
            max(6, int(output * self.rng.lognormvariate(0, 0.5))),
        )
        self.requests.append(asked)
        self._serve(asked, region)

    def _serve(self, asked, region):
        host = self.rng.choice([h for h in self.hosts if h.region == region])
        if self.policy == "this":
            self._decide(asked, host, is_forwarded=False)
            return
        engines = [e for e in self.engines.values() if e.region == region]
        if self.policy == "random":
            engine = self.rng.choice(engines)
        else:
            pair = self.rng.sample(engines, min(2, len(engines)))
            engine = min(pair, key=lambda e: e.running + len(e._queue))
        self._send(asked, engine, None, None)

    def _return(self, asked, wait_s, region):
        asked.refusals += 1
        left_s = asked.at + asked.kind.deadline_s - self.now
        if asked.refusals <= 1 and wait_s <= left_s / 3:
            self.at(self.now + wait_s, self._serve, asked, region)

    # Hosts.

    def _job(self, asked):
        kind = asked.kind
        route = Route(name=kind.name, prefix="/", kind="model", is_stream=True)
        return Request(
            request_id="r",
            route=route,
            team=None,
            records_version=1,
            method="POST",
            target="/",
            headers=[],
            body=b"",
            deadline=asked.at + kind.deadline_s,
            service="engines",
            prompt_tokens=sum(t for _, t in asked.prompt_segments),
            output_tokens=asked.hint,
            prompt_segments=asked.prompt_segments,
            is_stream=True,
            objective_at=self.now + OBJECTIVE_S,
        )

    def _decide(self, asked, host, is_forwarded):
        now, req = self.now, self._job(asked)
        listed = host.placement.eligible_endpoints(host.catalog, "engines", now)
        own = host.placement.choose(req, SERVICE, listed, host.membership, now)
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
        step = decide(
            local=own,
            remote=remote,
            objective_s=OBJECTIVE_S - (2 * WAY_S if is_forwarded else 0.0),
            deadline_s=asked.at + asked.kind.deadline_s - now,
            is_engine=True,
            jitter=self.rng.random(),
            retry_schedule=host.retry_schedule,
            endpoints_per_host=len(listed) / HOSTS_PER_REGION,
            now=now,
        )
        if isinstance(step, Send):
            self._send(asked, self.engines[own.endpoint.name], host, own)
        elif isinstance(step, ForwardTo):
            target = next(h for h in self.hosts if h.name == step.member.id.name)
            self.at(now + WAY_S, self._decide, asked, target, True)
        else:
            self._return(asked, step.retry_after_s, host.region)

    def _send(self, asked, engine, host, choice):
        sent_at = self.now
        state = {"last": None}
        if choice is not None:
            choice.view.in_flight += 1
            choice.view.prompt_tokens += choice.uncached_tokens
            choice.view.record_segments(asked.prompt_segments, SERVICE.kv_cache_tokens)

        def on_first(now):
            asked.first_at, state["last"] = now, now
            if choice is not None:
                choice.view.prompt_tokens -= choice.uncached_tokens
                host.placement.record_response_start(
                    choice, SERVICE, now - sent_at, now
                )

        def on_end(now):
            asked.end_at = now
            if choice is not None:
                choice.view.in_flight -= 1
                events = max(1, asked.output_tokens / SERVICE.tokens_per_event)
                choice.view.record_event_gap((now - state["last"]) / events, now)

        work = EngineRequest(
            asked.prompt_segments,
            asked.output_tokens,
            asked.kind.rank,
            on_first,
            on_end,
        )
        engine.add(work)
        if not engine.is_busy:
            engine.is_busy = True
            self._step(engine)
        self.at(asked.at + asked.kind.deadline_s, self._give_up, asked, work, choice)

    def _give_up(self, asked, work, choice):
        if asked.end_at is None and not work.is_cancelled:
            work.is_cancelled = True
            if choice is not None:
                choice.view.in_flight -= 1
                if asked.first_at is None:
                    choice.view.prompt_tokens -= choice.uncached_tokens

    def _step(self, engine):
        end = engine.step(self.now)
        if end is not None:
            self.at(end, self._step, engine)

    def _beat(self, number):
        if self.now > LENGTH_S:
            return
        self.at(self.now + BEAT_S, self._beat, number + 1)
        is_far = number % round(CROSS_REGION_HEARTBEAT_S / BEAT_S) == 0
        for sender in self.hosts:
            wait_s = sender.placement.shortest_wait_s(
                sender.catalog, SERVICE, sender.membership, self.now
            )
            work = {k: v for k, v in sender.placement.local_load().items()}
            for receiver in self.hosts:
                is_near = receiver.region == sender.region
                if receiver is sender or not (is_near or is_far):
                    continue
                member = receiver.membership.record_host(
                    sender.membership.own_id, False, 0.0, self.now
                )
                member.reported_at = self.now
                member.work = work if is_near else {}
                if wait_s is not None:
                    receiver.membership.record_region(
                        RegionTotals(
                            region=sender.region,
                            hosts=1,
                            last_seen_at=self.now,
                            reported_at=self.now,
                            demands={},
                            waits={"engines": wait_s},
                        )
                    )


def summarize(sim):
    """Return the figures of one run."""
    owed = sum(a.kind.worth for a in sim.requests)
    earned = sum(a.credit(False) for a in sim.requests)
    strict = sum(a.credit(True) for a in sim.requests)
    whole = sum(a.end_at is not None and a.credit(False) > 0 for a in sim.requests)
    return {
        "credit": earned / owed,
        "strict": strict / owed,
        "per_s": earned / LENGTH_S,
        "whole": whole / len(sim.requests),
        "read": sum(e.prefilled_tokens for e in sim.engines.values())
        / len(sim.requests),
    }


def run_seeds(policy, load, seeds):
    """Return the mean figures over seeds."""
    runs = [summarize(GoodputSimulation(policy, load, seed).run()) for seed in seeds]
    return {name: statistics.mean(r[name] for r in runs) for name in runs[0]}


def main(argv=None):
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--loads", default="0.5,1,1.5,2,3,4")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--policies", default="this,least,random")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="MODULE.NAME=VALUE",
        help="a constant of placement or overload, such as "
        "overload.EVENT_GAP_S=0.1; may be given again",
    )
    parser.add_argument("--plot", metavar="FILE.svg")
    args = parser.parse_args(argv)
    for text in args.set:
        place, _, value = text.partition("=")
        module, _, name = place.partition(".")
        from cactusmill.serving import placement

        target = {"overload": overload, "placement": placement}[module]
        if not hasattr(target, name):
            parser.error(f"{place!r} is no constant; look it up in the module")
        setattr(target, name, float(value))
    loads = [float(x) for x in args.loads.split(",")]
    rows = {}
    print("policy  load  credit  strict  credit/s  whole  tokens read/request")
    for policy in args.policies.split(","):
        for load in loads:
            row = rows[policy, load] = run_seeds(policy, load, range(args.seeds))
            print(
                f"{policy:7} {load:4.1f}  {row['credit']:6.3f}  {row['strict']:6.3f}"
                f"  {row['per_s']:8.1f}  {row['whole']:5.3f}  {row['read']:8.0f}",
                flush=True,
            )
    if args.plot:
        draw(rows, loads, args.policies.split(","), args.plot)


def draw(rows, loads, policies, path):
    """Draw credit per second over load as an SVG picture."""
    width, height, margin = 560, 320, 45
    top = max(r["per_s"] for r in rows.values()) * 1.1

    def place(load, per_s):
        x = margin + (load - loads[0]) / (loads[-1] - loads[0]) * (width - 2 * margin)
        return f"{x:.0f},{height - margin - per_s / top * (height - 2 * margin):.0f}"

    colours = ("#1f77b4", "#d62728", "#7f7f7f", "#2ca02c")
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<text x="{margin}" y="20">credit per second over offered load</text>',
    ]
    for policy, colour in zip(policies, colours, strict=False):
        points = " ".join(place(x, rows[policy, x]["per_s"]) for x in loads)
        lines.append(
            f'<polyline points="{points}" fill="none" stroke="{colour}" '
            'stroke-width="2"/>'
        )
        x, y = place(loads[-1], rows[policy, loads[-1]]["per_s"]).split(",")
        lines.append(
            f'<text x="{int(x) - 40}" y="{int(y) - 6}" fill="{colour}">{policy}</text>'
        )
    for load in loads:
        x, _ = place(load, 0).split(",")
        lines.append(f'<text x="{x}" y="{height - margin + 18}">{load:g}x</text>')
    lines.append("</svg>")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
