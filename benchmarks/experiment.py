"""Compare the routing policy with baselines under load and under faults.

    python benchmarks/experiment.py --deployment slovenia --seed 1

Runs the real host code against stand-ins, in simulated time. Each row is a
separate run with the same seed and the same arrivals; compare only rows of one
invocation.
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

WARMUP_S = 12.0
# Start and end of the disturbance, in seconds from the start of the demand.
DISTURBANCE_S = (20.0, 45.0)
RECOVERY_S = 10.0
TIMEOUT_S = 30.0
SURGE_FACTOR = 5.0
CHARS_PER_TOKEN_AT_GATEWAY = 3


@attrs.define
class SimRequest:
    """One request and its outcome.

    Attributes
    ----------
    sent_at : float
        Simulated time in seconds.
    cost : float
        Cost in tokens, as the gateway estimates it.
    status : int or str or None
        HTTP status; ``"interrupted"`` on a broken connection or a timeout.
    ttfb_s : float
        Time to the first event of the response; infinite without one.
    within_rate : bool
        Whether the team's published rate admits it.
    """

    sent_at: float
    team: str
    cost: float
    status: object = None
    ttfb_s: float = math.inf
    within_rate: bool = True


# Situations: each is a fault or a change of load, during part of the run.


async def steady(sim, plan):
    """Run without disturbance."""


async def surge(sim, plan):
    """Multiply one team's demand by ``SURGE_FACTOR``."""
    await trio.sleep(DISTURBANCE_S[0])
    plan.factors[plan.deployment["surging"]] = SURGE_FACTOR
    await trio.sleep(DISTURBANCE_S[1] - DISTURBANCE_S[0])
    plan.factors.clear()


async def lost_capacity(sim, plan):
    """Stop a region's engines, then restart them with cold caches."""
    await trio.sleep(DISTURBANCE_S[0])
    region = plan.regions[0]
    lost = [name for name in sim.engines if region in name]
    for name in lost:
        sim.kill(name)
    await trio.sleep(DISTURBANCE_S[1] - DISTURBANCE_S[0])
    for name in lost:
        sim.restart(name)


async def partitioned_region(sim, plan):
    """Partition one region from the others and the platform."""
    await trio.sleep(DISTURBANCE_S[0])
    isolated, *others = [f"{region}-a" for region in plan.regions]
    for other in [*others, "platform"]:
        sim.network.partition(isolated, other)
    await trio.sleep(DISTURBANCE_S[1] - DISTURBANCE_S[0])
    sim.network.heal()


async def stale_reports(sim, plan):
    """Delay the engines' load reports by some seconds."""
    for engine in sim.engines.values():
        engine.report_lag_s = 3.0


async def crashing(sim, plan):
    """Repeatedly send a request that crashes the engine that runs it."""
    for name, engine in sim.engines.items():
        engine.crash = lambda name=name: _crash_and_restart(sim, name)
    await trio.sleep(DISTURBANCE_S[0])
    team = plan.deployment["surging"]
    while trio.current_time() < plan.start + DISTURBANCE_S[1]:
        host = sim.rng.choice(sorted(sim.settings))
        sim_req = SimRequest(trio.current_time(), team, 0.0)
        sim.nursery.start_soon(_send, sim, plan, host, sim_req, CRASH_MARKER, 4)
        await trio.sleep(2.0)


def _crash_and_restart(sim, name):
    sim.kill(name)

    async def restart():
        await trio.sleep(3.0)
        sim.restart(name)

    sim.nursery.start_soon(restart)


SITUATIONS = {
    "steady": steady,
    "surge": surge,
    "lost capacity": lost_capacity,
    "cut": partitioned_region,
    "stale reports": stale_reports,
    "crashing": crashing,
}


# Policies: the one of this checkout, and baselines that replace its functions.


def current():
    """Use the policy of this checkout."""


def round_robin():
    """Use local endpoints in turn, whatever their load."""
    counter = itertools.count()

    def choose(candidates, affinity, rng):
        usable = [c for c in candidates if c.usable]
        return usable[next(counter) % len(usable)].endpoint if usable else None

    zone_routing.choose_endpoint = choose
    _spillover_only_without_endpoints()


def least_reported():
    """Use the local endpoint that last reported the least load."""

    def choose(candidates, affinity, rng):
        usable = [c for c in candidates if c.usable]
        if not usable:
            return None
        return min(usable, key=lambda c: c.in_flight * 0 + c.other_hosts_load).endpoint

    zone_routing.choose_endpoint = choose
    _spillover_only_without_endpoints()


def team_endpoint():
    """Give each team one endpoint of the zone, and a backup chosen in advance.

    The idea of the RoNS paper: few teams share an endpoint, so that its failure
    affects few, and each has a fixed failover target.
    """
    choose_endpoint = zone_routing.choose_endpoint

    def choose(host, req, progress):
        ranked = sorted(
            zone_routing.zone_candidates(host, req, host.cfg.zone),
            key=lambda c: hashlib.sha256(
                f"{req.team_name}/{c.endpoint.name}".encode()
            ).digest(),
        )
        assigned = [c for c in ranked[:2] if c.endpoint.name not in progress.tried]
        for candidate in assigned:
            if choose_endpoint([candidate], "", host.rng) is not None:
                return candidate.endpoint
        return None

    repeatable.choose_zone_endpoint = choose


def _spillover_only_without_endpoints():
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
    """State of one run.

    Attributes
    ----------
    deployment : dict
        Contents of the deployment's YAML file.
    seed : int
        Seed of the arrivals.
    start : float
        When the demand began, in simulated seconds.
    factors : dict of str to float
        Current multiplier of each team's demand; 1 where absent.
    requests : list of SimRequest
        All requests sent.
    forwards : int
        Number of requests forwarded to another region.
    """

    deployment: dict
    seed: int
    start: float = 0.0
    factors: dict = attrs.field(factory=dict)
    requests: list = attrs.field(factory=list)
    forwards: int = 0

    @property
    def regions(self):
        """Regions by descending demand."""
        teams = self.deployment["teams"].values()
        demand = {}
        for team in teams:
            rate = demand.get(team["home"], 0.0) + team["requests_per_s"]
            demand[team["home"]] = rate
        return sorted(demand, key=lambda r: -demand[r])


def zone_shares(deployment, team, sim):
    """Return the fraction of a team's rate per zone.

    The home zone gets ``home_share``; the others divide the rest evenly.
    """
    zones = sorted({cfg["zone"] for cfg in sim.settings.values()})
    fraction = (1 - deployment["home_share"]) / (len(zones) - 1)
    shares = {zone: fraction for zone in zones}
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
    # A separate generator, so that arrivals are the same under every policy.
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
        text += f" turn {len(plan.requests)}".ljust(150, ".")
        tokens = rng.randint(*team["max_tokens"])
        cost = deployment["prompt_chars"] / CHARS_PER_TOKEN_AT_GATEWAY + 20 + tokens
        sim_req = SimRequest(trio.current_time(), name, cost)
        plan.requests.append(sim_req)
        host = rng.choice(hosts)
        sim.nursery.start_soon(_send, sim, plan, host, sim_req, text, tokens)


async def _send(sim, plan, host, sim_req, text, tokens):
    body = json.dumps(
        {
            "model": plan.deployment["model"],
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}],
        }
    ).encode()
    request_head = h11.Request(
        method="POST",
        target="/v1/chat/completions",
        headers=[
            ("host", "x"),
            ("authorization", f"Bearer {api_key_of(sim_req.team)}"),
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
            await conn.send(request_head, h11.Data(data=body), h11.EndOfMessage())
            response = await conn.next_event()
            sim_req.status = getattr(response, "status_code", "interrupted")
            while (data := await conn.next_data()) is not None:
                if b"data:" in data and sim_req.ttfb_s == math.inf:
                    sim_req.ttfb_s = trio.current_time() - sim_req.sent_at
    except (ConnectError, ExchangeError, h11.ProtocolError, trio.TooSlowError):
        sim_req.status = "interrupted"
    finally:
        if stream is not None:
            await trio.aclose_forcefully(stream)


def mark_within_rate(plan):
    """Mark the requests that one fleet-wide bucket per team would admit."""
    for name, team in plan.deployment["teams"].items():
        rate = team_rate(plan.deployment, team)
        burst = level = 10 * rate
        updated_at = plan.start
        for sim_req in plan.requests:
            if sim_req.team != name:
                continue
            level, updated_at = (
                min(burst, level + rate * (sim_req.sent_at - updated_at)),
                sim_req.sent_at,
            )
            sim_req.within_rate = level >= sim_req.cost
            if sim_req.within_rate:
                level -= sim_req.cost


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
        await trio.sleep(WARMUP_S)
        plan.start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(SITUATIONS[situation], sim, plan)
            for name in deployment["teams"]:
                nursery.start_soon(send_demand, sim, plan, name)
        await trio.sleep(TIMEOUT_S)
        engines = list(sim.engines.values())
        return {
            "work_s": sum(e.work_s for e in engines),
            "offered": sum(e.received_requests for e in engines),
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
    """Publish the deployment's rates and batch sizes instead of the example's."""
    for name, team in deployment["teams"].items():
        rate = team_rate(deployment, team)
        body = {
            "rate_tokens_per_s": rate,
            "burst_tokens": 10 * rate,
            "zone_shares": zone_shares(deployment, team, sim),
        }
        record = next(iter(sim.hosts.values())).records.get("team", name)
        body["regions"] = record.regions
        sim.configuration.put("team", name, body, schema=2)
    for entry in sim.host_list.changes_since(0):
        if entry["name"] in sim.engines:
            engine = sim.engines[entry["name"]]
            engine.resize(deployment["batch"])
            body = {**entry["body"], "capacity": deployment["batch"]}
            sim.host_list.put("endpoint", engine.name, body)
            for field, value in deployment["engine"].items():
                setattr(engine, field, value)
            engine.max_events = 4


def quantile(values, fraction):
    """Return the quantile at a fraction of 0 to 1; infinite without values."""
    ranked = sorted(values)
    return (
        ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]
        if ranked
        else math.inf
    )


def measures(plan, totals, situation, policy):
    """Return a row of the table: latency, forwards, fairness, refusals and cost."""
    surging = plan.deployment["surging"] if situation == "surge" else None
    responded = [a for a in plan.requests if a.status == 200 and a.ttfb_s < math.inf]
    ttfb_s = [a.ttfb_s for a in responded]
    # A team over its rate may have any of its requests refused.
    by_team = {
        name: quantile([a.ttfb_s for a in responded if a.team == name], 0.99)
        for name in plan.deployment["teams"]
        if name != surging
    }
    within = [a for a in plan.requests if a.within_rate and a.team != surging]
    refused = [a for a in within if a.status != 200 or a.ttfb_s == math.inf]
    recovered_at = plan.start + DISTURBANCE_S[1] + RECOVERY_S
    after = [a.ttfb_s for a in responded if a.sent_at >= recovered_at]
    return {
        "situation": situation,
        "policy": policy,
        "requests": len(plan.requests),
        "p50 ms": quantile(ttfb_s, 0.5) * 1e3,
        "p99 ms": quantile(ttfb_s, 0.99) * 1e3,
        "p99 after ms": quantile(after, 0.99) * 1e3,
        "cross %": 100 * plan.forwards / len(plan.requests),
        "worst/median": max(by_team.values()) / statistics.median(by_team.values()),
        "refused %": 100 * len(refused) / len(within),
        "cost s": totals["work_s"] / max(1, len(responded)),
        "load x": totals["offered"] / max(1, len(responded)),
        "cache hit %": 100 * totals["hits"] / max(1, totals["offered"]),
    }


def main():
    """Run all situations and policies in parallel and print a table."""
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
