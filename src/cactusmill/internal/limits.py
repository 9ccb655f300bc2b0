"""Rate limiting of teams on one host, with token loans between hosts.

A team, the customer that callers belong to, has a rate in tokens per second and a burst
in tokens. Both are divided among zones and then equally among the slots of a zone. The
fractions and the number of slots are published records, and one host at a time holds a
slot. The shares of all hosts together therefore never exceed the team's rate and burst,
even if hosts disagree about which others are alive. Demand is rarely as even as the
shares, so hosts lend tokens to each other. The lender deducts a loan from its tokens
and its burst before sending it; the burst is restored after the loan has expired.

`now` is in seconds of the process's monotonic clock.
"""

import bisect

import attrs

from .token_bucket import Debit, TokenBucket


@attrs.define(eq=False)
class Loan:
    """Tokens borrowed from another host.

    Attributes
    ----------
    tokens : float
        Tokens not yet spent.
    expires_at : float
        Time from which they may no longer be spent, in seconds.
    """

    tokens: float
    expires_at: float


@attrs.define(eq=False)
class Reservation:
    """Tokens reserved for one request.

    Attributes
    ----------
    team : str
        Team that the tokens belong to.
    borrowed : float
        Tokens taken from loans; unused ones are not refunded.
    debit : Debit or None
        Tokens taken from the host's own share.
    """

    team: str
    borrowed: float
    debit: Debit | None


@attrs.define
class TeamAccount:
    """Tokens of one team on one host.

    Attributes
    ----------
    bucket : TokenBucket
        The host's share of the team's rate and burst.
    loans : list of Loan
        Borrowed tokens, earliest expiry first.
    demand : float
        Smoothed demand for tokens at the last recorded request, in tokens per second.
    """

    bucket: TokenBucket
    loans: list = attrs.field(factory=list)
    demand: float = 0.0
    _demand_updated_at: float = 0.0

    def available(self, now):
        """Return the tokens that could be reserved now, own and borrowed ones."""
        self._drop_expired(now)
        return max(0.0, self.bucket.level(now)) + sum(
            loan.tokens for loan in self.loans
        )

    def _drop_expired(self, now):
        self.loans = [
            loan for loan in self.loans if loan.expires_at > now and loan.tokens > 0
        ]

    def reserve(self, team, tokens, now):
        """Reserve tokens, borrowed ones first; return None if they do not suffice."""
        self._drop_expired(now)
        from_loans = min(tokens, sum(loan.tokens for loan in self.loans))
        debit = None
        if tokens > from_loans:
            debit = self.bucket.acquire(tokens - from_loans, now)
            if debit is None:
                return None
        self._spend_loans(from_loans)
        return Reservation(team, from_loans, debit)

    def _spend_loans(self, tokens):
        for loan in self.loans:
            spent = min(tokens, loan.tokens)
            loan.tokens -= spent
            tokens -= spent

    def add_loan(self, tokens, expires_at):
        """Add a loan of tokens that may be spent until a time, in seconds."""
        bisect.insort(
            self.loans, Loan(tokens, expires_at), key=lambda loan: loan.expires_at
        )

    def record_demand(self, tokens, now):
        """Add the cost of a request to the smoothed demand."""
        self.demand = self.demand_at(now) + tokens / _DEMAND_WINDOW_S
        self._demand_updated_at = now

    def demand_at(self, now):
        """Return the smoothed demand, in tokens per second.

        Falls linearly to 0 within twice `_DEMAND_WINDOW_S` after the last request.
        """
        idle_s = max(0.0, now - self._demand_updated_at)
        return self.demand * max(0.0, 1.0 - idle_s / (2 * _DEMAND_WINDOW_S))


_DEMAND_WINDOW_S = 1.0
# Time from the request for a loan in which its tokens may be spent.
LOAN_TTL_S = 2.0
# Time between the expiry of a loan at the borrower and the restoration of the
# lender's burst. Exceeds the message delay plus the drift of both clocks.
LOAN_MARGIN_S = 1.0


@attrs.define(slots=False)
class RateLimiter:
    """Accounts of all teams on one host.

    Attributes
    ----------
    zone : str
        The host's zone.
    slot : int or None
        Number of the slot that the host holds, from 0; None while it may not use any.
    """

    zone: str
    slot: int | None = None
    _accounts: dict = attrs.field(factory=dict)

    def share_of(self, records, team):
        """Return this host's share of a team's rate and burst.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            The team.

        Returns
        -------
        float
            Fraction of the team's rate and burst, 0 to 1.
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
        """Return a team's account with the limits of the records in force."""
        fraction = self.share_of(records, team)
        rate, burst = team.rate_tokens_per_s * fraction, team.burst_tokens * fraction
        account = self._accounts.get(team.name)
        if account is None:
            # Starts empty: the tokens spent by the slot's previous holder are unknown.
            account = TeamAccount(TokenBucket(rate, burst, now))
            self._accounts[team.name] = account
        elif (account.bucket.rate, account.bucket.burst) != (rate, burst):
            account.bucket.set_limits(rate, burst, now)
        return account

    def reserve(self, records, team, tokens, now):
        """Reserve tokens for a request; return None if they do not suffice.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            Team whose tokens are reserved.
        tokens : float
            Upper bound on the tokens that the request can use.
        now : float
            Current time, in seconds.

        Returns
        -------
        Reservation or None
        """
        return self.account(records, team, now).reserve(team.name, tokens, now)

    def settle(self, reservation, used, now):
        """Refund the tokens that a request did not use.

        Parameters
        ----------
        reservation : Reservation
            From :meth:`reserve`.
        used : float
            Tokens used.
        now : float
            Current time, in seconds.
        """
        if reservation.debit is None:
            return
        bucket = self._accounts[reservation.team].bucket
        bucket.settle(reservation.debit, max(0.0, used - reservation.borrowed), now)

    def lend(self, records, team, tokens, now):
        """Lend tokens that this host does not need for its own demand.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            Team that the tokens belong to.
        tokens : float
            Tokens that the borrower requests.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Tokens lent, which the borrower may spend for :data:`LOAN_TTL_S`; 0 if
            none are available.
        """
        account = self.account(records, team, now)
        spare = account.bucket.level(now) - account.demand_at(now) * _DEMAND_WINDOW_S
        granted = float(int(min(tokens, spare)))
        if granted <= 0:
            return 0.0
        burst_reduced_until = now + LOAN_TTL_S + LOAN_MARGIN_S
        if account.bucket.lend(granted, burst_reduced_until, now) is None:
            return 0.0
        return granted

    def borrow(self, records, team, tokens, asked_at, now):
        """Add a loan that a peer granted.

        Parameters
        ----------
        records : RecordStore
            Records in force.
        team : Team
            Team that the tokens belong to.
        tokens : float
            Tokens granted.
        asked_at : float
            When the loan was requested, in seconds. The loan expires
            :data:`LOAN_TTL_S` after it, since the lender cannot have granted the
            loan earlier.
        now : float
            Current time, in seconds.
        """
        expires_at = asked_at + LOAN_TTL_S
        if expires_at > now:
            self.account(records, team, now).add_loan(tokens, expires_at)
