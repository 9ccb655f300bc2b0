"""The policy under load: five measures per situation, against baselines.

    python benchmarks/experiment.py --deployment slovenia --seed 1

Runs the real hosts with stand-ins on simulated time. Each row is a run of its
own with the same seed and arrivals; compare rows within one call.
"""

import argparse
import concurrent.futures
import hashlib
import itertools
import json
import math
import pathlib
import random
import statistics
import sys

import attrs
import h11
import trio
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from cactusmill.errors import ConnectError, ExchangeError  # noqa: E402
from cactusmill.internal import repeatable, zone_routing  # noqa: E402
from cactusmill.internal.http import client_connection  # noqa: E402
from standins.engine import CRASH_MARKER  # noqa: E402
from standins.simulation import api_key_of, run_simulation  # noqa: E402

FILL_S = 12.0
DISTURBED = (20.0, 45.0)  # part of the run in which a situation holds
RECOVERY_S = 10.0
TIMEOUT_S = 30.0
SURGE = 5.0
CHARS_PER_TOKEN_AT_GATEWAY = 3


@attrs.define
class Ask:
    """One request and how it ended."""

    at: float
    team: str
    cost: float
    status: object = None
    first_byte_s: float = math.inf
    within_rate: bool = True


# Situations: each strikes a world for a part of the run.


async def steady(sim, plan):
    """Change nothing."""


async def surge(sim, plan):
    """One tenant sends several times its rate."""
    await trio.sleep(DISTURBED[0])
    plan.factors[plan.deployment["surging"]] = SURGE
    await trio.sleep(DISTURBED[1] - DISTURBED[0])
    plan.factors.clear()


async def lost_capacity(sim, plan):
    """Stop a region's engines, and return them with cold caches."""
    await trio.sleep(DISTURBED[0])
    region = plan.regions[0]
    lost = [name for name in sim.engines if region in name]
    for name in lost:
        sim.kill(name)
    await trio.sleep(DISTURBED[1] - DISTURBED[0])
    for name in lost:
        sim.restart(name)


async def cut(sim, plan):
    """One region is parted from the others and the platform."""
    await trio.sleep(DISTURBED[0])
    mine, *others = [f"{region}-a" for region in plan.regions]
    for other in [*others, "platform"]:
        sim.network.partition(mine, other)
    await trio.sleep(DISTURBED[1] - DISTURBED[0])
    sim.network.heal()


async def stale_reports(sim, plan):
    """Engines report the load of some seconds ago."""
    for engine in sim.engines.values():
        engine.report_lag_s = 3.0


async def crashing(sim, plan):
    """Send a request that stops engines again and again."""
    for name, engine in sim.engines.items():
        engine.crash = lambda name=name: _crash(sim, name)
    await trio.sleep(DISTURBED[0])
    team = plan.deployment["surging"]
    while trio.current_time() < plan.start + DISTURBED[1]:
        host = sim.rng.choice(sorted(sim.settings))
        ask = Ask(trio.current_time(), team, 0.0)
        sim.nursery.start_soon(_send, sim, plan, host, ask, CRASH_MARKER, 4)
        await trio.sleep(2.0)


def _crash(sim, name):
    sim.kill(name)

    async def restart():
        await trio.sleep(3.0)
        sim.restart(name)

    sim.nursery.start_soon(restart)


SITUATIONS = {
    "steady": steady,
    "surge": surge,
    "lost capacity": lost_capacity,
    "cut": cut,
    "stale reports": stale_reports,
    "crashing": crashing,
}


# Policies: the one of this checkout, and baselines put in its place.


def current():
    """Leave the policy of this checkout."""


def round_robin():
    """Take local endpoints in turn, however loaded they are."""
    turns = itertools.count()

    def choose(candidates, affinity, rng):
        usable = [c for c in candidates if c.usable]
        return usable[next(turns) % len(usable)].endpoint if usable else None

    zone_routing.choose_endpoint = choose
    _spill_only_without_endpoints()


def least_reported():
    """Take the local endpoint that last reported the least load."""

    def choose(candidates, affinity, rng):
        usable = [c for c in candidates if c.usable]
        if not usable:
            return None
        return min(usable, key=lambda c: c.in_flight * 0 + c.other_hosts_load).endpoint

    zone_routing.choose_endpoint = choose
    _spill_only_without_endpoints()


def team_endpoint():
    """Give each team one endpoint of the zone, and a backup chosen in advance.

    The idea of the RoNS paper: few teams share an endpoint, so that its end
    strikes few, and each knows where to go next.
    """
    choose_endpoint = zone_routing.choose_endpoint

    def choose(host, req, run):
        ranked = sorted(
            zone_routing.zone_candidates(host, req, host.cfg.zone),
            key=lambda c: hashlib.sha256(
                f"{req.team_name}/{c.endpoint.name}".encode()
            ).digest(),
        )
        own = [c for c in ranked[:2] if c.endpoint.name not in run.tried]
        for one in own:
            if choose_endpoint([one], "", host.rng) is not None:
                return one.endpoint
        return None

    repeatable.choose_zone_endpoint = choose


def _spill_only_without_endpoints():
    for module in (repeatable, zone_routing):
        module.expected_wait_s = lambda host, req, candidates: 0.0


POLICIES = {
    "current": current,
    "round robin": round_robin,
    "least reported": least_reported,
    "team endpoint": team_endpoint,
}


@attrs.define
class Plan:
    """One run.

    Attributes
    ----------
    deployment : dict
        The settings file.
    seed : int
        Repeats the arrivals.
    factors : dict of str to float
        Present multiple of each team's demand.
    asks : list of Ask
        All requests.
    forwards : int
        Requests sent to another region.
    """

    deployment: dict
    seed: int
    start: float = 0.0
    factors: dict = attrs.field(factory=dict)
    asks: list = attrs.field(factory=list)
    forwards: int = 0

    @property
    def regions(self):
        """Regions, the one with the most demand first."""
        teams = self.deployment["teams"].values()
        demand = {}
        for team in teams:
            rate = demand.get(team["home"], 0.0) + team["requests_per_s"]
            demand[team["home"]] = rate
        return sorted(demand, key=lambda r: -demand[r])


def zone_shares(deployment, team, sim):
    """Return a team's share per zone: most of it at home, the rest even."""
    zones = sorted({cfg["zone"] for cfg in sim.settings.values()})
    share = (1 - deployment["home_share"]) / (len(zones) - 1)
    shares = {zone: share for zone in zones}
    shares[team["home"] + "-a"] = deployment["home_share"]
    return shares


def mean_cost(deployment, team):
    """Return the mean cost of a team's requests, in tokens at the gateway."""
    prompt = deployment["prompt_chars"] / CHARS_PER_TOKEN_AT_GATEWAY
    return prompt + 20 + statistics.mean(team["max_tokens"])


def team_rate(deployment, team):
    """Return a team's published rate, in tokens per second."""
    mean = team["requests_per_s"] * mean_cost(deployment, team)
    return mean * deployment["rate_headroom"]


async def send_demand(sim, plan, name):
    """Send one team's requests until the end of the run."""
    team, deployment = plan.deployment["teams"][name], plan.deployment
    # Of its own, so that arrivals are the same under every policy.
    rng = random.Random(f"{plan.seed} {name}")
    hosts = [h for h in sorted(sim.settings) if h.startswith(team["home"])]
    while (elapsed := trio.current_time() - plan.start) < deployment["duration_s"]:
        phase = elapsed / deployment["duration_s"] + team["peak_shift"]
        swing = 1 + deployment["peak_share"] * math.sin(2 * math.pi * phase)
        rate = team["requests_per_s"] * swing * plan.factors.get(name, 1.0)
        await trio.sleep(rng.expovariate(rate))
        conversation = rng.randrange(team["conversations"])
        text = f"{name} conversation {conversation} ".ljust(
            deployment["prompt_chars"] - 200, "."
        )
        text += f" turn {len(plan.asks)}".ljust(150, ".")
        tokens = rng.randint(*team["max_tokens"])
        cost = deployment["prompt_chars"] / CHARS_PER_TOKEN_AT_GATEWAY + 20 + tokens
        ask = Ask(trio.current_time(), name, cost)
        plan.asks.append(ask)
        host = rng.choice(hosts)
        sim.nursery.start_soon(_send, sim, plan, host, ask, text, tokens)


async def _send(sim, plan, host, ask, text, tokens):
    body = json.dumps(
        {
            "model": plan.deployment["model"],
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}],
        }
    ).encode()
    head = h11.Request(
        method="POST",
        target="/v1/chat/completions",
        headers=[
            ("host", "x"),
            ("authorization", f"Bearer {api_key_of(ask.team)}"),
            ("content-length", str(len(body))),
        ],
    )
    cfg = sim.settings[host]
    network = sim.network.network_of(sim.machine(f"caller {host}", cfg["zone"]))
    stream = None
    try:
        with trio.fail_after(TIMEOUT_S):
            stream = await network.connect(cfg["callers"], TIMEOUT_S)
            conn = client_connection(stream)
            await conn.send(head, h11.Data(data=body), h11.EndOfMessage())
            answer = await conn.next_event()
            ask.status = getattr(answer, "status_code", "cut")
            while (data := await conn.next_data()) is not None:
                if b"data:" in data and ask.first_byte_s == math.inf:
                    ask.first_byte_s = trio.current_time() - ask.at
    except (ConnectError, ExchangeError, h11.ProtocolError, trio.TooSlowError):
        ask.status = "cut"
    finally:
        if stream is not None:
            await trio.aclose_forcefully(stream)


def mark_within_rate(plan):
    """Mark the requests that one bucket for the whole fleet would admit."""
    for name, team in plan.deployment["teams"].items():
        rate = team_rate(plan.deployment, team)
        burst = level = 10 * rate
        at = plan.start
        for ask in plan.asks:
            if ask.team != name:
                continue
            level, at = min(burst, level + rate * (ask.at - at)), ask.at
            ask.within_rate = level >= ask.cost
            if ask.within_rate:
                level -= ask.cost


def run(deployment_path, situation, policy, seed):
    """Run one situation under one policy and return a row of measures."""
    deployment = yaml.safe_load(pathlib.Path(deployment_path).read_text())
    POLICIES[policy]()
    plan = Plan(deployment, seed)
    forward = repeatable.forward

    async def counted_forward(host, peer, req, sink):
        plan.forwards += 1
        return await forward(host, peer, req, sink)

    repeatable.forward = counted_forward

    async def scenario(sim):
        await sim.start(ROOT / "examples" / deployment["example"])
        _publish(sim, deployment)
        await trio.sleep(FILL_S)
        plan.start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(SITUATIONS[situation], sim, plan)
            for name in deployment["teams"]:
                nursery.start_soon(send_demand, sim, plan, name)
        await trio.sleep(TIMEOUT_S)
        engines = list(sim.engines.values())
        return {
            "work_s": sum(e.work_s for e in engines),
            "offered": sum(e.offered for e in engines),
            "hits": sum(e.cache_hits for e in engines),
        }

    totals = run_simulation(
        scenario,
        seed,
        zone_delay_s=deployment["zone_delay_s"],
        region_delay_s=deployment["region_delay_s"],
    )
    mark_within_rate(plan)
    return measures(plan, totals, situation, policy)


def _publish(sim, deployment):
    """Publish the deployment's rates and sizes in place of the example's."""
    for name, team in deployment["teams"].items():
        rate = team_rate(deployment, team)
        body = {
            "rate_tokens_per_s": rate,
            "burst_tokens": 10 * rate,
            "zone_shares": zone_shares(deployment, team, sim),
        }
        held = next(iter(sim.hosts.values())).records.get("team", name)
        body["regions"] = held.regions
        sim.configuration.put("team", name, body, schema=2)
    for listed in sim.host_list._changes(0):
        if listed["name"] in sim.engines:
            engine = sim.engines[listed["name"]]
            engine.resize(deployment["batch"])
            body = {**listed["body"], "capacity": deployment["batch"]}
            sim.host_list.put("endpoint", engine.name, body)
            for field, value in deployment["engine"].items():
                setattr(engine, field, value)
            engine.max_events = 4


def quantile(values, part):
    """Return a quantile; infinite where there are no values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(part * len(ranked)))] if ranked else math.inf


def measures(plan, totals, situation, policy):
    """Return the five measures, and what belongs to them."""
    surging = plan.deployment["surging"] if situation == "surge" else None
    answered = [a for a in plan.asks if a.status == 200 and a.first_byte_s < math.inf]
    first = [a.first_byte_s for a in answered]
    # A tenant over its rate has no claim to any one of its requests.
    by_team = {
        name: quantile([a.first_byte_s for a in answered if a.team == name], 0.99)
        for name in plan.deployment["teams"]
        if name != surging
    }
    within = [a for a in plan.asks if a.within_rate and a.team != surging]
    refused = [a for a in within if a.status != 200 or a.first_byte_s == math.inf]
    recovered_at = plan.start + DISTURBED[1] + RECOVERY_S
    after = [a.first_byte_s for a in answered if a.at >= recovered_at]
    return {
        "situation": situation,
        "policy": policy,
        "requests": len(plan.asks),
        "p50 ms": quantile(first, 0.5) * 1e3,
        "p99 ms": quantile(first, 0.99) * 1e3,
        "p99 after ms": quantile(after, 0.99) * 1e3,
        "cross %": 100 * plan.forwards / len(plan.asks),
        "worst/median": max(by_team.values()) / statistics.median(by_team.values()),
        "refused %": 100 * len(refused) / len(within),
        "cost s": totals["work_s"] / max(1, len(answered)),
        "load x": totals["offered"] / max(1, len(answered)),
        "cache hit %": 100 * totals["hits"] / max(1, totals["offered"]),
    }


def main():
    """Run all situations and policies side by side and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="slovenia")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--situations", nargs="*", default=list(SITUATIONS))
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--processes", type=int, default=4)
    args = parser.parse_args()
    path = ROOT / "benchmarks" / "deployments" / f"{args.deployment}.yaml"
    pairs = list(itertools.product(args.situations, args.policies))
    with concurrent.futures.ProcessPoolExecutor(
        args.processes, max_tasks_per_child=1
    ) as pool:
        rows = list(
            pool.map(
                run,
                [path] * len(pairs),
                [s for s, _ in pairs],
                [p for _, p in pairs],
                [args.seed] * len(pairs),
            )
        )
    print(f"{args.deployment}, seed {args.seed}")
    print("  ".join(f"{name:>14}" for name in rows[0]))
    for row in rows:
        cells = (v if isinstance(v, str) else f"{v:.2f}" for v in row.values())
        print("  ".join(f"{cell:>14}" for cell in cells))


if __name__ == "__main__":
    main()
