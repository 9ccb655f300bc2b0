"""Goodput of endpoint selection and overload policy in simulation.

Three regions with offset peaks, simulated engines, and two baseline policies.
"""

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
    """Return mean figures by policy and load (multiple of the capacity)."""
    return {
        (policy, load): run_seeds(policy, load, SEEDS)
        for policy in ("this", "least", "random")
        for load in (1.0, 2.0, 3.0)
    }


@pytest.mark.parametrize("load", [1.0, 2.0, 3.0])
def test_goodput_exceeds_the_baselines(rows, load):
    best = max(rows["least", load]["credit"], rows["random", load]["credit"])
    assert rows["this", load]["credit"] > best


@pytest.mark.parametrize("load", [1.0, 2.0, 3.0])
def test_goodput_exceeds_the_baselines_without_credit_for_late_responses(rows, load):
    best = max(rows["least", load]["strict"], rows["random", load]["strict"])
    assert rows["this", load]["strict"] > best


def test_goodput_does_not_collapse_beyond_saturation(rows):
    highest = max(rows["this", load]["per_s"] for load in (1.0, 2.0, 3.0))
    assert rows["this", 3.0]["per_s"] >= 0.85 * highest


def test_runs_are_reproducible_from_their_seed():
    first, again = (
        summarize(GoodputSimulation("this", 1.5, 5).run()) for _ in range(2)
    )
    assert first == again
    assert (
        len(GoodputSimulation("this", 1.0, 1).run().requests)
        > 0.5 * CAPACITY_REQUESTS_PER_S * 40
    )
