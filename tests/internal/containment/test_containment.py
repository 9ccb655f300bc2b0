"""Modelled fleets in which a prompt part crashes engines, in short form.

`benchmarks/containment.py` plays them with more seeds, and with hundreds of hosts.
"""

import attrs
import pytest

from cactusmill.internal.containment.containment import CrashContainment
from cactusmill.internal.containment.convictions import Convictions, Verdict
from cactusmill.internal.containment.culprits import Culprits
from cactusmill.internal.containment.suspicion import Candidate, Suspicion
from standins.containment_model import SCENARIOS, Scenario, play

# The users' bounds: `stable_window_ms` after the fifth crash at most three requests
# with the part reach engines; sound ones go on nine tenths as often as before.
WINDOW_S = 6.0
MAX_LATE_ARRIVALS = 3
MIN_SOUND_SHARE = 0.9
SHORT = Scenario(for_s=26.0)


@pytest.mark.parametrize("name", SCENARIOS)
@pytest.mark.parametrize("seed", [1])
def test_requests_with_a_part_that_crashed_five_engines_crash_more(name, seed):
    scenario = attrs.evolve(SHORT, **SCENARIOS[name])
    seen = play(scenario, seed)
    settled_at = scenario.bad_from_s + WINDOW_S
    # Streams that the end of the replay cuts are left out.
    share = seen.served_share(settled_at, scenario.for_s - 4.0)
    print(f"{name}, seed {seed}: {len(seen.crashes)} crashes, served {share:.3f}")
    assert seen.arrivals_after(WINDOW_S) <= MAX_LATE_ARRIVALS
    assert share >= MIN_SOUND_SHARE


@pytest.mark.parametrize("seed", range(2))
def test_sound_parts_are_held_back_when_engines_crash_by_chance(seed):
    scenario = attrs.evolve(SHORT, bad_per_s=1e-9, bad_from_s=99.0, kill_gap_s=1.0)
    seen = play(attrs.evolve(scenario, outage_at_s=5.0), seed)
    refused = sum(record[3] for record in seen.sound)
    assert refused == 0


def test_check_detects_a_fleet_that_holds_nothing_back(monkeypatch):
    passed = Verdict.PASS, None
    monkeypatch.setattr(Convictions, "judge", lambda *args: passed)
    assert play(SHORT, 1).arrivals_after(WINDOW_S) > MAX_LATE_ARRIVALS


def test_check_detects_requests_that_count_alone(monkeypatch):
    monkeypatch.setattr(Suspicion, "find", lambda *args: None)
    assert play(SHORT, 1).arrivals_after(WINDOW_S) > MAX_LATE_ARRIVALS


def test_check_detects_convictions_that_nothing_served_lifts(monkeypatch):
    monkeypatch.setattr(Suspicion, "clear", lambda *args: False)
    monkeypatch.setattr(Suspicion, "expect", lambda *args: None)
    scenario = attrs.evolve(SHORT, bad_from_s=0.0, kill_gap_s=0.6)
    shares = [play(scenario, seed).served_share(8.0, 20.0) for seed in range(2)]
    assert min(shares) < MIN_SOUND_SHARE


def test_one_crash_holds_nothing_back_and_the_second_holds_the_request():
    containment, request = CrashContainment(), Culprits(7)
    for number, verdict in enumerate((Verdict.PASS, Verdict.REFUSE)):
        at = 10.0 + number
        containment.merge_crash(number, at, [Candidate(7)], set(), at)
        assert containment.crash_count(request) == number + 1
        judged = containment.judge(request, lambda thing, turn: True, at)
        assert judged[0] is verdict
