"""Whether a team's rate allows a request, with loans from other hosts."""

import contextlib

import trio
from returns.result import Failure, Success

from ..errors import CostTooLarge, LinkClosedError, RateExceeded
from .limits import LOAN_TTL_S
from .peers import next_frame
from .request import is_permitted
from .wire.ttypes import LoanAsk

LOAN_TIMEOUT_S = 0.5
# Asked at a time; more would let the messages of one loan grow with the fleet.
MAX_LENDERS = 6
# A loan is asked for with this much ahead of the request that lacks tokens,
# so that the requests behind it do not each wait for one.
_LOAN_AHEAD_S = 0.5
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 60.0


async def admit(host, req):
    """Reserve a request's tokens.

    Parameters
    ----------
    host : HostProcess
        This process.
    req : Request
        The request.

    Returns
    -------
    Success of Reservation or None, or Failure of Refusal
        None if the request costs nothing.
    """
    team, cost = req.team, req.cost_tokens
    if team is None or cost <= 0:
        return Success(None)
    if cost > team.burst_tokens:
        return Failure(
            CostTooLarge(
                detail=f"{cost:.0f} tokens at most, prompt and answer together, "
                f"are over the burst of {team.burst_tokens:.0f}; ask for fewer"
            )
        )
    account = host.limiter.account(host.records, team, host.now())
    account.record_demand(cost, host.now())
    reservation = host.limiter.reserve(host.records, team, cost, host.now())
    if reservation is None:
        await _borrow(host, req, account)
        reservation = host.limiter.reserve(host.records, team, cost, host.now())
    if reservation is None:
        return Failure(_rate_exceeded(host, team, cost))
    return Success(reservation)


def _rate_exceeded(host, team, cost):
    lacking = cost - host.limiter.account(host.records, team, host.now()).available(
        host.now()
    )
    wait_s = lacking / max(team.rate_tokens_per_s, 1e-9)
    return RateExceeded(
        detail=f"the rate of {team.rate_tokens_per_s:.0f} tokens/s and burst of "
        f"{team.burst_tokens:.0f} are used up",
        retry_after_s=min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s)),
    )


async def _borrow(host, req, account):
    """Ask peers for what is lacking, those of the own zone first."""
    for in_zone in (True, False):
        lenders = [
            p
            for p in host.peers.values()
            if p.is_reachable
            and (p.host.zone == host.cfg.zone) is in_zone
            and is_permitted(p.host.region, req.team, req.route)
        ]
        lacking = req.cost_tokens - account.available(host.now())
        if lacking <= 0:
            return
        await _ask_all(host, req.team, account, lenders, lacking)


async def _ask_all(host, team, account, lenders, lacking):
    if not lenders:
        return
    ahead = account.demand_at(host.now()) * _LOAN_AHEAD_S
    asked = host.rng.sample(lenders, min(MAX_LENDERS, len(lenders)))
    with trio.move_on_after(LOAN_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for peer in asked:
                # Each is asked for the whole: how much each can spare is
                # unknown, and what is borrowed in excess serves the requests
                # that come within the loan's validity.
                nursery.start_soon(_ask, host, team, peer, lacking + ahead)


async def _ask(host, team, peer, tokens):
    asked_at = host.now()
    with contextlib.suppress(LinkClosedError):
        async with peer.call() as (number, link, answers):
            await link.send(
                loan_ask=LoanAsk(number, team.name, int(tokens) + 1, host.cfg.host)
            )
            grant = (await next_frame(answers)).loan_grant
            valid_s = min(LOAN_TTL_S, grant.valid_ms / 1000)
            if grant.tokens > 0 and valid_s > 0:
                host.limiter.borrow(
                    host.records, team, grant.tokens, asked_at, host.now()
                )
