"""Unit tests of decisions to hold back, of their trials and of their merging."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.internal.containment import convictions as convictions_module
from cactusmill.internal.containment.convictions import (
    FIRST_TRIAL_S,
    MAX_CONVICTIONS,
    MAX_TRIALS,
    Conviction,
    Convictions,
    Verdict,
    has_turn,
)
from cactusmill.internal.containment.culprits import Culprits

BAD, OTHER = 1, 2


def always(thing, turn):
    return True


def never(thing, turn):
    return False


def holding(*things, now=10.0):
    known = Convictions()
    known.convict(things, 3, now, now)
    return known


def verdict(known, parts, now=11.0, is_owner=always, request=99):
    return known.judge(Culprits(request, tuple(parts)), is_owner, now)[0]


def test_request_with_a_part_that_is_held_back_is_refused():
    known = holding(BAD)
    assert verdict(known, (OTHER,)) is Verdict.PASS
    assert verdict(known, (OTHER, BAD)) is Verdict.REFUSE
    assert verdict(holding(99), ()) is Verdict.REFUSE


def test_two_crashes_hold_a_request_back_until_a_trial_is_due():
    known = holding(99)
    due_at = 10.0 + FIRST_TRIAL_S
    assert verdict(known, (), due_at - 0.1) is Verdict.REFUSE
    assert verdict(known, (), due_at + 0.1, never) is Verdict.REFUSE
    assert verdict(known, (), due_at + 0.1) is Verdict.TRY
    known.begin_trial(Culprits(99), due_at + 0.1)
    assert verdict(known, (), due_at + 0.2) is Verdict.REFUSE


def test_trials_come_later_each_time_and_end():
    known, now, gaps_s = holding(BAD), 10.0, []
    for _ in range(MAX_TRIALS):
        due_at = known.held[BAD].trial_due_at
        gaps_s.append(due_at - now)
        now = due_at + 1.0
        assert verdict(known, (BAD,), now) is Verdict.TRY
        known.begin_trial(Culprits(99, (BAD,)), now)
        known.record_crash(BAD, now + 0.1)
    assert gaps_s == sorted(gaps_s) and gaps_s[1] > 4 * gaps_s[0]
    assert verdict(known, (BAD,), now + 1e9) is Verdict.REFUSE


def test_companions_are_refused_together_and_tried_apart():
    known = holding(BAD, OTHER)
    assert verdict(known, (BAD, OTHER)) is Verdict.REFUSE
    assert verdict(known, (OTHER,), is_owner=never) is Verdict.REFUSE
    assert verdict(known, (OTHER,)) is Verdict.TRY
    known.release(OTHER, 12.0)
    assert verdict(known, (OTHER,)) is Verdict.PASS
    assert verdict(known, (BAD,)) is Verdict.REFUSE


@pytest.mark.parametrize("hosts", [1, 6, 400])
def test_one_host_of_all_makes_the_trials_of_a_turn(hosts):
    names = [f"host-{n}" for n in range(hosts)]
    for turn in range(5):
        owners = [
            name
            for name in names
            if has_turn(name, [n for n in names if n != name], BAD, turn)
        ]
        assert len(owners) == 1


DECISIONS = st.lists(
    st.builds(
        Conviction,
        thing=st.integers(0, 3),
        epoch=st.integers(1, 4),
        is_held=st.booleans(),
        since=st.just(1.0),
        crashed_at=st.just(1.0),
        trials=st.integers(0, 2),
    ),
    max_size=12,
)


@given(DECISIONS, st.randoms(use_true_random=False))
def test_hosts_that_learn_decisions_in_any_order_agree(decisions, rng):
    shuffled = list(decisions)
    rng.shuffle(shuffled)
    one, other = Convictions(), Convictions()
    for known, order in ((one, decisions), (other, shuffled)):
        for decision in order:
            known.put(decision)
    assert one.held.keys() == other.held.keys() and one.hash == other.hash


def test_release_wins_over_the_conviction_that_it_ends():
    one, other = holding(BAD), holding(BAD)
    released = one.release(BAD, 12.0)
    assert other.put(released) and not len(other)
    assert not one.put(attrs.evolve(released, epoch=1, is_held=True))


def test_decisions_are_bounded(monkeypatch):
    known = Convictions()
    for thing in range(3 * MAX_CONVICTIONS):
        known.convict((thing,), 3, float(thing), float(thing))
    assert len(known) == len(known.all()) == MAX_CONVICTIONS
    assert known.is_full


def test_hash_is_that_of_what_is_left(monkeypatch):
    monkeypatch.setattr(convictions_module, "MAX_CONVICTIONS", 1)
    known = Convictions()
    for thing in (BAD, OTHER):
        known.convict((thing,), 3, float(thing), float(thing))
    assert known.hash == holding(OTHER, now=2.0).hash
