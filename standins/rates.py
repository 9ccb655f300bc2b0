"""Load at a multiple of a team's rate over unevenly loaded hosts.

Records the tokens that all hosts admit, to check the team's rate and burst.
"""

import attrs
import trio

from standins.faults import FaultInjector
from standins.simulation import CallFailedError


@attrs.define(eq=False)
class Admission:
    """Tokens that a host admitted, later settled to the tokens used.

    Attributes
    ----------
    at : float
        Time of the admission, in seconds.
    tokens : float
        Admitted or used tokens.
    """

    at: float
    tokens: float


@attrs.define
class RateHistory:
    """Admissions and request outcomes of one team.

    Attributes
    ----------
    rate, burst : float
        The team's rate, in tokens per second, and burst, in tokens.
    admissions : list of Admission
        Admissions by all hosts.
    answered, refused, failed : int
        Requests by outcome: answered, refused for exceeding the team's rate, or
        failed for any other reason.
    faults : dict of str to int
        Number of injected faults by kind.
    """

    rate: float
    burst: float
    admissions: list = attrs.field(factory=list)
    answered: int = 0
    refused: int = 0
    failed: int = 0
    faults: dict = attrs.field(factory=dict)

    @property
    def refused_fraction(self):
        """Fraction of the requests that were refused for exceeding the rate."""
        total = self.answered + self.refused + self.failed
        return self.refused / total if total else 0.0

    def peak_usage_ratio(self):
        """Return the maximum of admitted / (rate x window + burst) over all windows."""
        admitted = sorted((s.at, s.tokens) for s in self.admissions)
        peak = 0.0
        for i, (start, _) in enumerate(admitted):
            total = 0.0
            for end, tokens in admitted[i:]:
                total += tokens
                peak = max(peak, total / (self.rate * (end - start) + self.burst))
        return peak


def record_admissions(sim, team, admissions):
    """Append every later admission of a team, by any host, to a list."""

    def wrap_limiter(host):
        limiter = host.limiter
        reserve, settle = limiter.reserve, limiter.settle
        pending = {}

        def recorded_reserve(records, of_team, tokens, now):
            reservation = reserve(records, of_team, tokens, now)
            if reservation is not None and of_team.name == team:
                admissions.append(Admission(now, tokens))
                pending[id(reservation)] = (reservation, admissions[-1])
            return reservation

        def recorded_settle(reservation, used, now):
            _, admission = pending.pop(id(reservation), (None, None))
            if admission is not None:
                admission.tokens = used
            settle(reservation, used, now)

        limiter.reserve, limiter.settle = recorded_reserve, recorded_settle

    sim.on_host_start.append(wrap_limiter)
    for host in sim.hosts.values():
        wrap_limiter(host)


async def send_rate_load(
    sim, *, team, demand, weights, duration_s, max_tokens=100, mean_fault_gap_s=None
):
    """Send requests of a team and record what the hosts admit.

    Parameters
    ----------
    sim : Simulation
        A started simulation.
    team : str
        Team that sends the requests.
    demand : float
        Offered load as a multiple of the team's rate.
    weights : dict of str to float
        Relative frequency with which each host is used.
    duration_s : float
        Duration of the load, in seconds.
    max_tokens : int
        Tokens of each response.
    mean_fault_gap_s : float or None
        Mean time between faults, in seconds; None for no faults.

    Returns
    -------
    RateHistory
    """
    record = next(iter(sim.hosts.values())).records.get("team", team)
    history = RateHistory(record.rate_tokens_per_s, record.burst_tokens)
    record_admissions(sim, team, history.admissions)
    cost = max_tokens + 25
    end = trio.current_time() + duration_s
    names, frequencies = list(weights), list(weights.values())
    async with trio.open_nursery() as nursery:
        injector = FaultInjector(sim, mean_fault_gap_s or 1.0)
        if mean_fault_gap_s is not None:
            nursery.start_soon(injector.inject_until, end)
        number = 0
        while trio.current_time() < end:
            gap_s = sim.rng.expovariate(record.rate_tokens_per_s * demand / cost)
            await trio.sleep(gap_s)
            host = sim.rng.choices(names, frequencies)[0]
            number += 1
            nursery.start_soon(
                _send_request, sim, host, team, number, max_tokens, history
            )
    history.faults = injector.counts
    return history


async def _send_request(sim, host, team, number, max_tokens, history):
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
