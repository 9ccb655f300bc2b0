"""Hosts together never spend more than a team's rate and burst."""

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cactusmill.internal.configuration import RecordStore
from cactusmill.internal.limits import LOAN_TTL_S, RateLimiter
from cactusmill.internal.token_bucket import Debit, TokenBucket
from tests.helpers import change

RATE, BURST = 100.0, 400.0
SLOTS = [("a", 0), ("a", 1), ("a", 2)]
HOSTS = st.integers(0, len(SLOTS) - 1)
SLACK = 1e-6


def make_records():
    records = RecordStore()
    bodies = [
        ("zone", "a", {"region": "r", "slots": 3}),
        ("team", "t", {"rate_tokens_per_s": RATE, "burst_tokens": BURST}),
    ]
    changes = [change(k, n, b, i + 1) for i, (k, n, b) in enumerate(bodies)]
    records.apply(changes, len(changes))
    return records


def worst_excess(spent):
    """Return the most by which any window of (time, tokens) exceeds rate and burst."""
    worst = 0.0
    for i, (start, _) in enumerate(spent):
        total = 0.0
        for end, tokens in spent[i:]:
            total += tokens
            worst = max(worst, total - BURST - RATE * (end - start))
    return worst


@attrs.define(eq=False)
class Spending:
    """Tokens of a reservation; after settlement, the tokens used."""

    at: float
    tokens: float
    limiter: RateLimiter
    reservation: object


class LimitMachine(RuleBasedStateMachine):
    """Hosts admit, settle, lend and are replaced in any order."""

    def __init__(self):
        super().__init__()
        self.records = make_records()
        self.team = self.records.get("team", "t")
        self.now = 0.0
        self.limiters = [RateLimiter(zone, slot) for zone, slot in SLOTS]
        for limiter in self.limiters:
            limiter.account(self.records, self.team, self.now)
        self.spendings = []
        self.running = []

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 2.5, 10.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(host=HOSTS, tokens=st.sampled_from([1, 20, 100, 250]))
    def admit(self, host, tokens):
        limiter = self.limiters[host]
        reservation = limiter.reserve(self.records, self.team, tokens, self.now)
        if reservation is not None:
            spending = Spending(self.now, tokens, limiter, reservation)
            self.spendings.append(spending)
            self.running.append(spending)

    @rule()
    def drain(self):
        """Spend all available tokens, which exposes any excess."""
        for host, limiter in enumerate(self.limiters):
            account = limiter.account(self.records, self.team, self.now)
            tokens = account.available(self.now)
            if tokens > 0:
                self.admit(host, tokens)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 99), used=st.sampled_from([0.0, 0.3, 1.0]))
    def settle(self, index, used):
        spending = self.running.pop(index % len(self.running))
        spending.tokens *= used
        spending.limiter.settle(spending.reservation, spending.tokens, self.now)

    @rule(
        lender=HOSTS,
        borrower=HOSTS,
        tokens=st.sampled_from([10, 80, 100]),
        delay_s=st.sampled_from([0.0, 0.2, 1.0, 3.0]),
    )
    def lend(self, lender, borrower, tokens, delay_s):
        asked_at = self.now
        granted = self.limiters[lender].lend(self.records, self.team, tokens, self.now)
        self.now += delay_s
        if granted:
            self.limiters[borrower].borrow(
                self.records, self.team, granted, asked_at, self.now
            )

    @rule(host=HOSTS)
    def replace(self, host):
        self.running = [s for s in self.running if s.limiter is not self.limiters[host]]
        zone, slot = SLOTS[host]
        self.limiters[host] = RateLimiter(zone, slot)
        self.limiters[host].account(self.records, self.team, self.now)

    @invariant()
    def spends_within_rate_and_burst(self):
        spent = [(s.at, s.tokens) for s in self.spendings]
        assert worst_excess(spent) <= SLACK


TestLimits = pytest.mark.histories(LimitMachine.TestCase)
TestLimits.settings = settings(
    max_examples=300, stateful_step_count=60, derandomize=True, deadline=None
)


def add_refund_to_level(self, debit, used, now):
    self._debits.append(Debit(now, used - debit.tokens, settled=True))


def lend_without_reducing_burst(self, tokens, burst_reduced_until, now):
    return self.acquire(tokens, now)


def start_full(self, records, team, now):
    is_new = team.name not in self._accounts
    account = real_account(self, records, team, now)
    if is_new:
        account.bucket._checkpoint_level = account.bucket.burst
    return account


real_account = RateLimiter.account


@pytest.mark.histories
@pytest.mark.parametrize(
    ("owner", "name", "fault"),
    [
        (TokenBucket, "settle", add_refund_to_level),
        (TokenBucket, "lend", lend_without_reducing_burst),
        (RateLimiter, "account", start_full),
    ],
)
def test_machine_detects_a_missing_mechanism(monkeypatch, owner, name, fault):
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(LimitMachine, settings=WITHOUT_SHRINKING)


WITHOUT_SHRINKING = settings(TestLimits.settings, phases=[Phase.generate])


def test_refund_does_not_count_twice_after_a_refill():
    bucket = TokenBucket(
        rate=5.0, burst=100.0, checkpoint_at=0.0, checkpoint_level=100.0
    )
    first = bucket.acquire(100.0, 0.0)
    bucket.acquire(50.0, 10.0)
    bucket.settle(first, 0.0, 10.0)
    assert bucket.level(10.0) == pytest.approx(50.0)


def test_lender_cannot_refill_while_its_loan_is_valid():
    bucket = TokenBucket(
        rate=100.0, burst=100.0, checkpoint_at=0.0, checkpoint_level=100.0
    )
    assert bucket.lend(100.0, 3.0, 0.0) is not None
    assert bucket.level(2.9) == pytest.approx(0.0)
    assert bucket.level(3.5) == pytest.approx(50.0)


def test_borrowed_tokens_expire_with_the_loan():
    records = make_records()
    team = records.get("team", "t")
    limiter = RateLimiter("a", 0)
    limiter.borrow(records, team, 100.0, asked_at=0.0, now=0.5)
    assert limiter.reserve(records, team, 100.0, LOAN_TTL_S + 0.01) is None


def test_host_without_a_slot_has_no_share():
    records = make_records()
    assert RateLimiter("a", None).share_of(records, records.get("team", "t")) == 0.0
    assert RateLimiter("a", 3).share_of(records, records.get("team", "t")) == 0.0


def test_lower_rate_takes_effect_immediately():
    records = make_records()
    limiter = RateLimiter("a", 0)
    limiter.account(records, records.get("team", "t"), 0.0)
    body = {"rate_tokens_per_s": 4.0, "burst_tokens": 8.0}
    records.apply([change("team", "t", body, 9)], 9)
    assert limiter.reserve(records, records.get("team", "t"), 3.0, 100.0) is None
    assert limiter.reserve(records, records.get("team", "t"), 2.5, 100.0) is not None
