"""Token bucket with refunds for unused tokens and loans to other hosts.

`now` and other times are in seconds of the process's monotonic clock.
"""

import attrs


@attrs.define(eq=False)
class Debit:
    """Tokens acquired from a bucket for one request or one loan.

    Attributes
    ----------
    acquired_at : float
        Time at which they were acquired, in seconds.
    tokens : float
        Tokens acquired; replaced by the tokens used when the debit is settled.
    burst_reduced_until : float or None
        For a loan, the time until which the bucket's burst is reduced by `tokens`,
        in seconds; None for any other debit.
    settled : bool
        True once `tokens` is final.
    """

    acquired_at: float
    tokens: float
    burst_reduced_until: float | None = None
    settled: bool = False


@attrs.define
class TokenBucket:
    """Token bucket with settlement and loans.

    The level is the number of tokens in the bucket. It is computed by replaying the
    debits from a checkpoint before which every debit is final. Settling changes a debit
    retroactively, so the level after a refund is what it would be if only the used
    tokens had been acquired. If refunds were added to the level instead, tokens could
    count twice, since the bucket may have refilled to its burst in the meantime.

    Attributes
    ----------
    rate : float
        Refill rate, in tokens per second.
    burst : float
        Maximum level, in tokens.
    """

    rate: float
    burst: float
    _checkpoint_at: float
    _checkpoint_level: float = 0.0
    _debits: list = attrs.field(factory=list)

    def level(self, now):
        """Return the level at a time no earlier than the last debit.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Tokens; negative if a request used more than it had reserved.
        """
        return self._replay(now)[0]

    def _replay(self, until):
        """Return the level at a time, and the burst less the active loans."""
        at, level, max_level = self._checkpoint_at, self._checkpoint_level, self.burst
        for event_at, tokens, max_level_change in self._events(until):
            level = min(max_level, level + self.rate * (event_at - at))
            max_level += max_level_change
            level = min(max_level, level - tokens)
            at = event_at
        return min(max_level, level + self.rate * max(0.0, until - at)), max_level

    def _events(self, until):
        """Return (time, tokens acquired, change of the burst) in order of time."""
        events = []
        for debit in self._debits:
            lent = debit.tokens if debit.burst_reduced_until is not None else 0.0
            events.append((debit.acquired_at, debit.tokens, -lent))
            if lent and debit.burst_reduced_until <= until:
                events.append((debit.burst_reduced_until, 0.0, lent))
        events.sort(key=lambda e: e[0])
        return events

    def acquire(self, tokens, now):
        """Acquire tokens if the level is high enough.

        Parameters
        ----------
        tokens : float
            Tokens to acquire.
        now : float
            Current time, in seconds.

        Returns
        -------
        Debit or None
            None if the level is too low.
        """
        if tokens > self.level(now):
            return None
        debit = Debit(now, tokens)
        self._debits.append(debit)
        return debit

    def lend(self, tokens, burst_reduced_until, now):
        """Acquire tokens for a loan and reduce the burst by them until it ends.

        Without the reduction the bucket could refill while the loan is unspent, and
        bucket and loan together would exceed the burst.

        Parameters
        ----------
        tokens : float
            Tokens to lend.
        burst_reduced_until : float
            Time from which the borrower cannot spend them any more, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        Debit or None
            None if the level is too low.
        """
        if tokens > self.level(now):
            return None
        debit = Debit(now, tokens, burst_reduced_until, settled=True)
        self._debits.append(debit)
        return debit

    def settle(self, debit, used, now):
        """Replace the tokens of a debit by the tokens used.

        Parameters
        ----------
        debit : Debit
            From :meth:`acquire`.
        used : float
            Tokens used; may exceed the tokens acquired.
        now : float
            Current time, in seconds.
        """
        debit.tokens = used
        debit.settled = True
        self.compact(now)

    def compact(self, now):
        """Drop leading final debits and advance the checkpoint past them."""
        final_count = 0
        for debit in self._debits:
            is_active_loan = (
                debit.burst_reduced_until is not None
                and debit.burst_reduced_until > now
            )
            if not debit.settled or is_active_loan:
                break
            final_count += 1
        if final_count == 0:
            return
        until = (
            now
            if final_count == len(self._debits)
            else self._debits[final_count].acquired_at
        )
        head, tail = self._debits[:final_count], self._debits[final_count:]
        # A loan that ended after the next debit still affects the replay from there.
        if any(
            d.burst_reduced_until is not None and d.burst_reduced_until > until
            for d in head
        ):
            return
        self._debits = head
        self._checkpoint_level = self.level(until)
        self._checkpoint_at, self._debits = until, tail

    def set_limits(self, rate, burst, now):
        """Change rate and burst from `now` on.

        Debits that are not settled yet become final with the tokens acquired: a refund
        would have to be replayed under two rates.
        """
        level = min(self.level(now), burst)
        loans = [
            d
            for d in self._debits
            if d.burst_reduced_until and d.burst_reduced_until > now
        ]
        lent = sum(d.tokens for d in loans)
        self.rate, self.burst = rate, burst
        self._checkpoint_at, self._checkpoint_level = now, min(level, burst - lent)
        # Added back because the replay deducts the tokens of the loans again.
        self._checkpoint_level += lent
        self._debits = [
            Debit(now, d.tokens, d.burst_reduced_until, True) for d in loans
        ]
