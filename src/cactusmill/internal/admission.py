"""Admission of requests by their team's rate, with token loans from other hosts.

A request reserves the most tokens that it can use. If this host's share of its team's
tokens (:mod:`cactusmill.internal.limits`) does not suffice, the host borrows the
missing ones from peers.
"""

import contextlib

import trio
from returns.result import Failure, Success

from ..errors import CostTooLarge, LinkClosedError, RateExceeded
from .limits import LOAN_TTL_S
from .peers import next_frame
from .request import is_permitted
from .wire.ttypes import LoanAsk

# Longest wait for the loans of the peers that are asked at the same time.
LOAN_TIMEOUT_S = 0.5
# Hosts asked at the same time. Without the limit, the messages of one loan would
# grow with the size of the fleet.
MAX_LENDERS = 6
# A loan also covers the demand expected for this long, so that each following
# request does not have to wait for a loan of its own.
_LOAN_LOOKAHEAD_S = 0.5
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 60.0


async def admit(host, req):
    """Reserve the tokens of a request.

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
    missing = cost - host.limiter.account(host.records, team, host.now()).available(
        host.now()
    )
    wait_s = missing / max(team.rate_tokens_per_s, 1e-9)
    return RateExceeded(
        detail=f"the rate of {team.rate_tokens_per_s:.0f} tokens/s and burst of "
        f"{team.burst_tokens:.0f} are used up",
        retry_after_s=min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s)),
    )


async def _borrow(host, req, account):
    """Borrow the missing tokens from peers, those of the same zone first.

    Only peers in regions that the request permits are asked.
    """
    for same_zone in (True, False):
        lenders = [
            p
            for p in host.peers.values()
            if p.is_reachable
            and (p.host.zone == host.cfg.zone) is same_zone
            and is_permitted(p.host.region, req.team, req.route)
        ]
        missing = req.cost_tokens - account.available(host.now())
        if missing <= 0:
            return
        await _request_loans(host, req.team, account, lenders, missing)


async def _request_loans(host, team, account, lenders, missing):
    if not lenders:
        return
    lookahead = account.demand_at(host.now()) * _LOAN_LOOKAHEAD_S
    selected = host.rng.sample(lenders, min(MAX_LENDERS, len(lenders)))
    with trio.move_on_after(LOAN_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for peer in selected:
                # Each peer is asked for the full amount, since it is unknown how
                # much each can lend. Excess tokens serve the requests that arrive
                # before the loan expires.
                nursery.start_soon(_request_loan, host, team, peer, missing + lookahead)


async def _request_loan(host, team, peer, tokens):
    asked_at = host.now()
    with contextlib.suppress(LinkClosedError):
        async with peer.call() as (number, link, frames):
            await link.send(
                loan_ask=LoanAsk(number, team.name, int(tokens) + 1, host.cfg.host)
            )
            grant = (await next_frame(frames)).loan_grant
            valid_s = min(LOAN_TTL_S, grant.valid_ms / 1000)
            if grant.tokens > 0 and valid_s > 0:
                host.limiter.borrow(
                    host.records, team, grant.tokens, asked_at, host.now()
                )
