"""Shares of the teams' rates that one host holds, and loans of tokens.

A team's rate and burst divide by zone and then by slot, in published numbers,
and a slot has one holder at a time. Shares therefore never sum to more than
the whole, whatever each host believes of the others. Demand is rarely spread
as evenly as the shares, so hosts lend tokens to each other. A loan is cut
from the lender's share before it is sent, and comes back by expiry.
"""

import bisect

import attrs

from .shares import Debit, Share


@attrs.define(eq=False)
class Pot:
    """Borrowed tokens that end at a time.

    Attributes
    ----------
    tokens : float
        What is left.
    expires_at : float
        End of the right to spend them, in seconds.
    """

    tokens: float
    expires_at: float


@attrs.define(eq=False)
class Reservation:
    """Tokens reserved for one request.

    Attributes
    ----------
    team : str
        Whose tokens.
    borrowed : float
        Part that came out of loans; what is unused of it is lost.
    debit : Debit or None
        Part that came out of the host's own share.
    """

    team: str
    borrowed: float
    debit: Debit | None


@attrs.define
class TeamAccount:
    """One team's tokens on one host.

    Attributes
    ----------
    share : Share
        The host's own part of the team's rate and burst.
    pots : list of Pot
        Borrowed tokens, soonest expiry first.
    demand : float
        Smoothed demand on this host, in tokens per second.
    """

    share: Share
    pots: list = attrs.field(factory=list)
    demand: float = 0.0
    _demand_at: float = 0.0

    def available(self, now):
        """Return the tokens that could be taken now."""
        self._drop_expired(now)
        return max(0.0, self.share.level(now)) + sum(p.tokens for p in self.pots)

    def _drop_expired(self, now):
        self.pots = [p for p in self.pots if p.expires_at > now and p.tokens > 0]

    def reserve(self, team, tokens, now):
        """Reserve tokens, borrowed ones first, or return None."""
        self._drop_expired(now)
        from_pots = min(tokens, sum(p.tokens for p in self.pots))
        debit = None
        if tokens > from_pots:
            debit = self.share.take(tokens - from_pots, now)
            if debit is None:
                return None
        self._spend_pots(from_pots)
        return Reservation(team, from_pots, debit)

    def _spend_pots(self, tokens):
        for pot in self.pots:
            spent = min(tokens, pot.tokens)
            pot.tokens -= spent
            tokens -= spent

    def add_pot(self, tokens, expires_at):
        """Add borrowed tokens."""
        bisect.insort(self.pots, Pot(tokens, expires_at), key=lambda p: p.expires_at)

    def record_demand(self, tokens, now):
        """Feed the smoothed demand with a request's cost."""
        self.demand = self.demand_at(now) + tokens / _DEMAND_WINDOW_S
        self._demand_at = now

    def demand_at(self, now):
        """Return the smoothed demand, in tokens per second."""
        idle = max(0.0, now - self._demand_at)
        return self.demand * max(0.0, 1.0 - idle / (2 * _DEMAND_WINDOW_S))


_DEMAND_WINDOW_S = 1.0
LOAN_TTL_S = 2.0
# The borrower's right ends before the lender's burst is restored, by more
# than a message and two clocks' drift can take up in that time.
LOAN_MARGIN_S = 1.0


@attrs.define(slots=False)
class RateLimiter:
    """All teams' accounts on one host.

    Attributes
    ----------
    zone : str
        The host's zone.
    slot : int or None
        The slot that the host holds; None while it may use none.
    """

    zone: str
    slot: int | None = None
    _accounts: dict = attrs.field(factory=dict)

    def holding(self, records, team):
        """Return this host's part of a team's rate and burst.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            The team.

        Returns
        -------
        float
            Part of the whole, 0 to 1.
        """
        zone = records.get("zone", self.zone)
        if zone is None or self.slot is None or self.slot >= zone.slots:
            return 0.0
        if team.zone_shares:
            share = team.zone_shares.get(self.zone, 0.0)
        else:
            zones = [
                z
                for z in records.all("zone")
                if not team.regions or z.region in team.regions
            ]
            share = 1.0 / len(zones) if zone in zones else 0.0
        return share / zone.slots

    def account(self, records, team, now):
        """Return a team's account, shaped by the records in force."""
        part = self.holding(records, team)
        rate, burst = team.rate_tokens_per_s * part, team.burst_tokens * part
        account = self._accounts.get(team.name)
        if account is None:
            # Empty: what an earlier holder of the slot has spent is unknown.
            account = TeamAccount(Share(rate, burst, now))
            self._accounts[team.name] = account
        elif (account.share.rate, account.share.burst) != (rate, burst):
            account.share.reshape(rate, burst, now)
        return account

    def reserve(self, records, team, tokens, now):
        """Reserve tokens for a request, or return None.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            Who pays.
        tokens : float
            The most that the request can use.
        now : float
            Present time, in seconds.

        Returns
        -------
        Reservation or None
        """
        return self.account(records, team, now).reserve(team.name, tokens, now)

    def settle(self, reservation, used, now):
        """Give back what a request did not use.

        Parameters
        ----------
        reservation : Reservation
            From :meth:`reserve`.
        used : float
            Tokens used.
        now : float
            Present time, in seconds.
        """
        if reservation.debit is None:
            return
        share = self._accounts[reservation.team].share
        share.settle(reservation.debit, max(0.0, used - reservation.borrowed), now)

    def lend(self, records, team, tokens, now):
        """Lend what this host can spare.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            Whose tokens.
        tokens : float
            What the borrower asks for.
        now : float
            Present time, in seconds.

        Returns
        -------
        float
            Tokens lent, which the borrower may spend for
            :data:`LOAN_TTL_S`; 0 if none can be spared.
        """
        account = self.account(records, team, now)
        spare = account.share.level(now) - account.demand_at(now) * _DEMAND_WINDOW_S
        granted = float(int(min(tokens, spare)))
        if granted <= 0:
            return 0.0
        held_until = now + LOAN_TTL_S + LOAN_MARGIN_S
        if account.share.lend(granted, held_until, now) is None:
            return 0.0
        return granted

    def borrow(self, records, team, tokens, asked_at, now):
        """Add a loan that a peer granted.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            Whose tokens.
        tokens : float
            What was granted.
        asked_at : float
            When the loan was asked for, in seconds. The right is counted from
            there: the grant cannot have been given earlier.
        now : float
            Present time, in seconds.
        """
        expires_at = asked_at + LOAN_TTL_S
        if expires_at > now:
            self.account(records, team, now).add_pot(tokens, expires_at)
