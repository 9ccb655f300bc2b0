"""Callers that use a team's rate through skewed hosts, and what was admitted."""

import attrs
import trio

from standins.faults import FaultInjector
from standins.simulation import CallFailedError


@attrs.define(eq=False)
class Spending:
    """Tokens that one host admitted at a time; settled to what was used."""

    at: float
    tokens: float


@attrs.define
class RateHistory:
    """What one team was given.

    Attributes
    ----------
    rate, burst : float
        The team's published numbers.
    spendings : list of Spending
        Of all hosts together.
    answered, refused, failed : int
        Requests by their end; refused for the team's rate, or failed by
        anything else.
    """

    rate: float
    burst: float
    spendings: list = attrs.field(factory=list)
    answered: int = 0
    refused: int = 0
    failed: int = 0
    faults: dict = attrs.field(factory=dict)

    @property
    def refused_fraction(self):
        """Part of the requests that were refused for the rate."""
        total = self.answered + self.refused + self.failed
        return self.refused / total if total else 0.0

    def peak_usage_ratio(self):
        """Return the greatest admitted / (rate x window + burst) of any window."""
        spent = sorted((s.at, s.tokens) for s in self.spendings)
        worst = 0.0
        for i, (start, _) in enumerate(spent):
            total = 0.0
            for end, tokens in spent[i:]:
                total += tokens
                worst = max(worst, total / (self.rate * (end - start) + self.burst))
        return worst


def record_spendings(sim, team, spendings):
    """Write down what every host of a world admits from now on."""

    def watch(host):
        limiter = host.limiter
        reserve, settle = limiter.reserve, limiter.settle
        open_ = {}

        def recorded_reserve(records, of_team, tokens, now):
            reservation = reserve(records, of_team, tokens, now)
            if reservation is not None and of_team.name == team:
                spendings.append(Spending(now, tokens))
                open_[id(reservation)] = (reservation, spendings[-1])
            return reservation

        def recorded_settle(reservation, used, now):
            _, spending = open_.pop(id(reservation), (None, None))
            if spending is not None:
                spending.tokens = used
            settle(reservation, used, now)

        limiter.reserve, limiter.settle = recorded_reserve, recorded_settle

    sim.on_host_start.append(watch)
    for host in sim.hosts.values():
        watch(host)


async def send_rate_load(
    sim, *, team, demand, weights, duration_s, max_tokens=100, mean_fault_gap_s=None
):
    """Send requests of a team and record what is admitted.

    Parameters
    ----------
    sim : Simulation
        A started deployment.
    team : str
        Who asks.
    demand : float
        Demand over the team's rate; 1 asks for all of it.
    weights : dict of str to float
        How the requests spread over hosts.
    duration_s : float
        Length of the run, in seconds.
    max_tokens : int
        Tokens of each answer.
    mean_fault_gap_s : float or None
        Mean time between faults, in seconds; None for no faults.

    Returns
    -------
    RateHistory
    """
    record = next(iter(sim.hosts.values())).records.get("team", team)
    history = RateHistory(record.rate_tokens_per_s, record.burst_tokens)
    record_spendings(sim, team, history.spendings)
    cost = max_tokens + 25
    end = trio.current_time() + duration_s
    names, parts = list(weights), list(weights.values())
    async with trio.open_nursery() as nursery:
        injector = FaultInjector(sim, mean_fault_gap_s or 1.0)
        if mean_fault_gap_s is not None:
            nursery.start_soon(injector.inject_until, end)
        number = 0
        while trio.current_time() < end:
            gap_s = sim.rng.expovariate(record.rate_tokens_per_s * demand / cost)
            await trio.sleep(gap_s)
            host = sim.rng.choices(names, parts)[0]
            number += 1
            nursery.start_soon(_ask, sim, host, team, number, max_tokens, history)
    history.faults = injector.counts
    return history


async def _ask(sim, host, team, number, max_tokens, history):
    try:
        reply = await sim.chat(
            host, team, f"question {number}", max_tokens=max_tokens, timeout_s=20
        )
    except CallFailedError:
        history.failed += 1
        return
    if reply.status == 200:
        history.answered += 1
    elif reply.status == 429:
        history.refused += 1
    else:
        history.failed += 1
