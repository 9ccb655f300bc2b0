"""An identifier runs at most once in its incarnation, and its result is final."""

import pytest
import trio
import trio.testing
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Failure, Success

from cactusmill.errors import IdentifierConflict, NoEndpoint, Outcome, OutcomeUnknown
from cactusmill.internal import ledger as ledger_module
from cactusmill.internal.identifiers import Minter, parse_identifier
from cactusmill.internal.ledger import EntryState, Ledger, Response

TTL_S = 10.0


def make_ledger(**limits):
    return Ledger(Minter("h", "0a", b"secret"), TTL_S, **limits)


def claim(ledger, text, now, team="t", fingerprint="f"):
    return ledger.claim(parse_identifier(text), team, fingerprint, now)


def test_minted_identifier_round_trips():
    identifier = parse_identifier(make_ledger().mint("t", 12.345))
    assert (identifier.host, identifier.incarnation) == ("h", "0a")
    assert identifier.minted_ms == 12345


@pytest.mark.parametrize("text", ["", "cm1", "my-own-key", "cm1~h~0a~zz~x", "cm1~~~~"])
def test_other_texts_are_not_identifiers(text):
    assert parse_identifier(text) is None


def test_second_attempt_joins_the_first():
    ledger = make_ledger()
    text = ledger.mint("t", 0.0)
    entry, is_first = claim(ledger, text, 0.0).unwrap()
    same, is_second = claim(ledger, text, 1.0).unwrap()
    assert (is_first, is_second, same) == (True, False, entry)


def test_reusing_an_identifier_for_another_body_is_refused_as_unknown():
    ledger = make_ledger()
    text = ledger.mint("t", 0.0)
    claim(ledger, text, 0.0)
    refusal = claim(ledger, text, 1.0, fingerprint="other").failure()
    assert isinstance(refusal, IdentifierConflict)
    assert refusal.outcome is Outcome.UNKNOWN


def test_expired_identifier_is_unknown_after_its_entry_is_dropped():
    ledger = make_ledger()
    text = ledger.mint("t", 0.0)
    entry, _ = claim(ledger, text, 0.0).unwrap()
    ledger.record_response(entry, Response(200, [], b"body"))
    ledger.expire(TTL_S + 1)
    assert (len(ledger), ledger.held_bytes) == (0, 0)
    assert isinstance(claim(ledger, text, TTL_S + 1).failure(), OutcomeUnknown)


def test_full_ledger_mints_nothing_until_identifiers_expire():
    ledger = make_ledger(max_entries=2)
    assert ledger.mint("t", 0.0) and ledger.mint("t", 0.0)
    assert ledger.mint("t", 1.0) is None
    assert ledger.mint("t", TTL_S) is not None


def test_refusal_for_lack_of_memory_is_final():
    ledger = make_ledger(max_held_bytes=100)
    text = ledger.mint("t", 0.0)
    assert claim(ledger, text, 0.0).failure().outcome is Outcome.NOT_RUN
    ledger.max_held_bytes = 10**9
    entry, is_first = claim(ledger, text, 1.0).unwrap()
    assert (entry.state, is_first) == (EntryState.REFUSED, False)


def test_large_response_is_delivered_to_waiting_attempts_then_dropped(monkeypatch):
    monkeypatch.setattr(ledger_module, "MAX_RESPONSE_BYTES", 3)
    ledger = make_ledger()
    text = ledger.mint("t", 0.0)
    entry, _ = claim(ledger, text, 0.0).unwrap()
    ledger.record_response(entry, Response(200, [], b"large"))
    assert entry.result.unwrap().body == b"large"
    ledger.expire(1.0)
    later, _ = claim(ledger, text, 2.0).unwrap()
    assert later.result.failure().outcome is Outcome.RAN
    assert ledger.held_bytes == 0


class LedgerMachine(RuleBasedStateMachine):
    """Attempts with a few identifiers in any order, from minting past their expiry."""

    def __init__(self):
        super().__init__()
        self.ledger = make_ledger()
        self.now = 0.0
        self.texts = [self.ledger.mint("t", 0.0) for _ in range(3)]
        self.running = {}
        self.runs = dict.fromkeys(self.texts, 0)
        self.reported_not_run = set()

    @rule(index=st.integers(0, 2))
    def attempt(self, index):
        text = self.texts[index]
        match claim(self.ledger, text, self.now):
            case Success((entry, True)):
                self.running[text] = entry
            case Success((entry, False)) if entry.state is EntryState.REFUSED:
                self.record_refusal(text, entry.result.failure())
            case Failure(refusal):
                self.record_refusal(text, refusal)

    def record_refusal(self, text, refusal):
        if refusal.outcome is Outcome.NOT_RUN:
            self.reported_not_run.add(text)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 9), runs=st.booleans())
    def end(self, index, runs):
        text = sorted(self.running)[index % len(self.running)]
        entry = self.running.pop(text)
        if runs:
            self.runs[text] += 1
            self.ledger.record_response(entry, Response(200, [], b"x"))
        else:
            self.ledger.record_refusal(entry, NoEndpoint(detail="none"))
            self.record_refusal(text, entry.result.failure())

    @rule(seconds=st.sampled_from([0.5, 4.0, 11.0]))
    def wait(self, seconds):
        self.now += seconds
        self.ledger.expire(self.now)

    @invariant()
    def runs_at_most_once_and_never_after_not_run(self):
        assert all(count <= 1 for count in self.runs.values())
        assert not any(self.runs[text] for text in self.reported_not_run)


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    max_examples=100, stateful_step_count=40, derandomize=True, deadline=None
)


def test_waiting_attempts_are_woken_by_the_result():
    async def main():
        ledger = make_ledger()
        text = ledger.mint("t", 0.0)
        entry, _ = claim(ledger, text, 0.0).unwrap()
        results = []

        async def wait():
            joined, _ = claim(ledger, text, 1.0).unwrap()
            await joined.done.wait()
            results.append(joined.result.unwrap().body)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(wait)
            await trio.testing.wait_all_tasks_blocked()
            ledger.record_response(entry, Response(200, [], b"same"))
        return results

    assert trio.run(main) == [b"same"] * 3
