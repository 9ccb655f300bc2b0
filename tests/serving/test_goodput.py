"""Placing and refusing, replayed on modelled engines under offset peaks."""

import pytest

from benchmarks.goodput import (
    CAPACITY_REQUESTS_PER_S,
    GoodputSimulation,
    run_seeds,
    summarize,
)

pytestmark = pytest.mark.histories
SEEDS = range(2)


@pytest.fixture(scope="module")
def rows():
    return {
        (policy, load): run_seeds(policy, load, SEEDS)
        for policy in ("this", "least", "random")
        for load in (1.0, 2.0, 3.0)
    }


@pytest.mark.parametrize("load", [1.0, 2.0, 3.0])
def test_callers_are_served_better_than_by_the_baselines(rows, load):
    best = max(rows["least", load]["credit"], rows["random", load]["credit"])
    assert rows["this", load]["credit"] > best


@pytest.mark.parametrize("load", [1.0, 2.0, 3.0])
def test_the_gain_does_not_vanish_when_late_answers_count_nothing(rows, load):
    best = max(rows["least", load]["strict"], rows["random", load]["strict"])
    assert rows["this", load]["strict"] > best


def test_goodput_does_not_fall_behind_saturation(rows):
    at_peak = max(rows["this", load]["per_s"] for load in (1.0, 2.0, 3.0))
    assert rows["this", 3.0]["per_s"] >= 0.85 * at_peak


def test_runs_reproduce_from_their_seed():
    first, again = (
        summarize(GoodputSimulation("this", 1.5, 5).run()) for _ in range(2)
    )
    assert first == again
    assert (
        len(GoodputSimulation("this", 1.0, 1).run().requests)
        > 0.5 * CAPACITY_REQUESTS_PER_S * 40
    )
