"""A token bucket that can settle what it gave and lend what it has."""

import attrs


@attrs.define(eq=False)
class Debit:
    """Tokens taken from a share.

    Attributes
    ----------
    at : float
        When they were taken, in seconds.
    tokens : float
        How many; settled later to what was used.
    held_until : float or None
        For a loan, the time until which the share's burst is cut as well.
    settled : bool
        True once `tokens` can no longer change.
    """

    at: float
    tokens: float
    held_until: float | None = None
    settled: bool = False


@attrs.define
class Share:
    """A token bucket that can settle and lend.

    The level is defined by replaying the debits from a checkpoint at which
    every earlier debit was settled. Settling changes a debit's amount in the
    past, so a refund never exceeds what the bucket would hold had the smaller
    amount been taken in the first place. A refund that was merely added to
    the level would let refill and refund both count once the bucket is full.

    Attributes
    ----------
    rate : float
        Refill, in tokens per second.
    burst : float
        Greatest level, in tokens.
    """

    rate: float
    burst: float
    _base_at: float
    _base_level: float = 0.0
    _debits: list = attrs.field(factory=list)

    def level(self, now):
        """Return the level at a time not before the last debit.

        Parameters
        ----------
        now : float
            Present time, in seconds.

        Returns
        -------
        float
            Tokens; negative if a settled request used more than it reserved.
        """
        return self._replay(now)[0]

    def _replay(self, until):
        at, level, cap = self._base_at, self._base_level, self.burst
        for event_at, tokens, cap_change in self._events(until):
            level = min(cap, level + self.rate * (event_at - at))
            cap += cap_change
            level = min(cap, level - tokens)
            at = event_at
        return min(cap, level + self.rate * max(0.0, until - at)), cap

    def _events(self, until):
        events = []
        for debit in self._debits:
            lent = debit.tokens if debit.held_until is not None else 0.0
            events.append((debit.at, debit.tokens, -lent))
            if lent and debit.held_until <= until:
                events.append((debit.held_until, 0.0, lent))
        events.sort(key=lambda e: e[0])
        return events

    def take(self, tokens, now):
        """Take tokens if the level allows.

        Parameters
        ----------
        tokens : float
            How many.
        now : float
            Present time, in seconds.

        Returns
        -------
        Debit or None
        """
        if tokens > self.level(now):
            return None
        debit = Debit(now, tokens)
        self._debits.append(debit)
        return debit

    def lend(self, tokens, held_until, now):
        """Take tokens for a loan and cut the burst by them until its end.

        Were the burst not cut, the share could fill up again while the loan
        is still unspent, and both together would exceed the burst.
        """
        if tokens > self.level(now):
            return None
        debit = Debit(now, tokens, held_until, settled=True)
        self._debits.append(debit)
        return debit

    def settle(self, debit, used, now):
        """Replace a debit's amount by what was used.

        Parameters
        ----------
        debit : Debit
            From :meth:`take`.
        used : float
            Tokens; may exceed what was reserved.
        now : float
            Present time, in seconds.
        """
        debit.tokens = used
        debit.settled = True
        self.compact(now)

    def compact(self, now):
        """Move the checkpoint past the debits that can no longer change."""
        index = 0
        for debit in self._debits:
            loan_runs = debit.held_until is not None and debit.held_until > now
            if not debit.settled or loan_runs:
                break
            index += 1
        if index == 0:
            return
        until = now if index == len(self._debits) else self._debits[index].at
        head, tail = self._debits[:index], self._debits[index:]
        # A loan that ended after the next debit still shapes the replay there.
        if any(d.held_until is not None and d.held_until > until for d in head):
            return
        self._debits = head
        self._base_level = self.level(until)
        self._base_at, self._debits = until, tail

    def reshape(self, rate, burst, now):
        """Change rate and burst from now on.

        Debits that are not settled yet keep what they reserved: their refund
        would have to be replayed under two rates.
        """
        level = min(self.level(now), burst)
        loans = [d for d in self._debits if d.held_until and d.held_until > now]
        held = sum(d.tokens for d in loans)
        self.rate, self.burst = rate, burst
        self._base_at, self._base_level = now, min(level, burst - held)
        # The loans stay cut from the burst, but their tokens are gone already.
        self._base_level += held
        self._debits = [Debit(now, d.tokens, d.held_until, True) for d in loans]
