"""Load of one team at a multiple of its rate, spread unevenly over the hosts.

A team (a customer) has a rate and a burst, in tokens of language models, which all
hosts together must not exceed. The load records the tokens that each host admits, so
that a test can compare their sum with the rate and the burst.
"""

import attrs
import trio

from standins.faults import FaultInjector
from standins.simulation import CallFailedError


@attrs.define(eq=False)
class Admission:
    """A request that a host admitted.

    Attributes
    ----------
    admitted_at : float
        Time of the admission, in seconds on the simulation's clock.
    tokens : float
        Tokens reserved for the request; replaced by the tokens that it used once the
        reservation is settled.
    """

    admitted_at: float
    tokens: float


@attrs.define
class RateHistory:
    """Admissions and request outcomes of one team under a load.

    Attributes
    ----------
    rate, burst : float
        The team's rate, in tokens per second, and burst, in tokens: the limits of all
        hosts together.
    admissions : list of Admission
        Admissions by all hosts.
    answered, refused, failed : int
        Requests by outcome: answered with status 200, refused with status 429 for
        exceeding the team's rate, or failed with any other status or without a
        response.
    faults : dict of str to int
        Number of injected faults by kind (`standins.faults.FAULT_KINDS`).
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
        """Return the maximum of tokens / (rate x length + burst) over all windows.

        A window is a time interval; its tokens are those of the requests admitted in
        it. Above 1, the team's rate and burst were exceeded. Only windows that begin
        and end with an admission are tried, since others have no higher ratio.
        """
        admitted = sorted((a.admitted_at, a.tokens) for a in self.admissions)
        peak = 0.0
        for i, (start, _) in enumerate(admitted):
            total = 0.0
            for end, tokens in admitted[i:]:
                total += tokens
                peak = max(peak, total / (self.rate * (end - start) + self.burst))
        return peak


def record_admissions(sim, team, admissions):
    """Append each admission of a team, by any host, to a list from now on.

    Wraps `reserve` and `settle` of the limiters of all hosts, also of those that start
    later.

    Parameters
    ----------
    sim : Simulation
        The simulation.
    team : str
        Name of the team.
    admissions : list of Admission
        List to append to.
    """

    def wrap_limiter(host):
        limiter = host.limiter
        reserve, settle = limiter.reserve, limiter.settle
        # By id of the reservation, which is kept beside its admission so that no other
        # object gets the same id.
        pending = {}

        def reserve_and_record(records, requesting_team, tokens, now):
            reservation = reserve(records, requesting_team, tokens, now)
            if reservation is not None and requesting_team.name == team:
                admissions.append(Admission(now, tokens))
                pending[id(reservation)] = (reservation, admissions[-1])
            return reservation

        def settle_and_record(reservation, used, now):
            _, admission = pending.pop(id(reservation), (None, None))
            if admission is not None:
                admission.tokens = used
            settle(reservation, used, now)

        limiter.reserve, limiter.settle = reserve_and_record, settle_and_record

    sim.on_host_start.append(wrap_limiter)
    for host in sim.hosts.values():
        wrap_limiter(host)


async def send_rate_load(
    sim,
    *,
    team,
    load_factor,
    host_weights,
    duration_s,
    max_tokens=100,
    mean_fault_gap_s=None,
):
    """Send requests of a team at random times and record what the hosts admit.

    The requests do not wait for each other's responses.

    Parameters
    ----------
    sim : Simulation
        A started simulation.
    team : str
        Name of the team that sends the requests.
    load_factor : float
        Offered load as a multiple of the team's rate, above 0.
    host_weights : dict of str to float
        Relative frequency with which each host is used, by its name; other hosts
        receive no requests.
    duration_s : float
        Time during which requests are sent, in seconds; responses are awaited after
        it.
    max_tokens : int
        Limit on the tokens of each response.
    mean_fault_gap_s : float or None
        Mean time between faults, in seconds; None for no faults.

    Returns
    -------
    RateHistory
    """
    team_record = next(iter(sim.hosts.values())).records.get("team", team)
    history = RateHistory(team_record.rate_tokens_per_s, team_record.burst_tokens)
    record_admissions(sim, team, history.admissions)
    # Estimate that includes the prompt.
    tokens_per_request = max_tokens + 25
    end = trio.current_time() + duration_s
    names, weights = list(host_weights), list(host_weights.values())
    async with trio.open_nursery() as nursery:
        injector = FaultInjector(sim, mean_fault_gap_s or 1.0)
        if mean_fault_gap_s is not None:
            nursery.start_soon(injector.inject_until, end)
        request_number = 0
        while trio.current_time() < end:
            gap_s = sim.rng.expovariate(
                team_record.rate_tokens_per_s * load_factor / tokens_per_request
            )
            await trio.sleep(gap_s)
            host = sim.rng.choices(names, weights)[0]
            request_number += 1
            nursery.start_soon(
                _send_request, sim, host, team, request_number, max_tokens, history
            )
    history.faults = injector.counts
    return history


async def _send_request(sim, host, team, request_number, max_tokens, history):
    """Send a request and count its outcome."""
    try:
        reply = await sim.chat(
            host,
            team,
            f"question {request_number}",
            max_tokens=max_tokens,
            timeout_s=20,
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
