"""Load shedding, replayed on an event loop with a known processor time a request."""

import random

import attrs
import pytest

from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.shedding import (
    MAX_LAG_S,
    MIN_LAG_S,
    is_shed,
    shed_fraction,
)

# Processor time of a request that is served, and of one that is shed.
SERVE_S = 0.005
SHED_S = 0.0005
# Callers leave if their request has not been read for this long.
PATIENCE_S = 1.0


@attrs.define
class Replay:
    """What a replayed host did with its requests.

    Attributes
    ----------
    ages_s : list of float
        How long each request had been unread when it was read, in seconds.
    served_at : list of float
        When each served request was read, in seconds.
    after_left : int
        Number of served requests whose caller had left.
    busy_s : float
        Processor time of all requests, in seconds.
    """

    ages_s: list = attrs.field(factory=list)
    served_at: list = attrs.field(factory=list)
    after_left: int = 0
    busy_s: float = 0.0


def replay(load, serve_s=SERVE_S, shed_s=SHED_S, duration_s=12.0, sheds=True):
    """Replay a host whose callers ask for `load` times what it can serve."""
    rng = random.Random(f"{load} {serve_s} {sheds}")
    monitor, result = LoopMonitor(), Replay()
    now = poll_began_at = next_at = 0.0
    while now < duration_s:
        monitor.record_turn(poll_began_at, now)
        waiting = []
        while next_at <= now:
            waiting.append(next_at)
            next_at += rng.expovariate(load / serve_s)
        for arrived_at in waiting:
            result.ages_s.append(now - arrived_at)
            if sheds and is_shed(monitor.lag_s(now), rng.random()):
                cost_s = shed_s
            else:
                cost_s = serve_s
                result.served_at.append(now)
                result.after_left += now - arrived_at > PATIENCE_S
            now += cost_s
            result.busy_s += cost_s
        poll_began_at = now
        now = max(now, next_at) if not waiting else now
    return result


@pytest.mark.parametrize("serve_s", [0.001, SERVE_S, 0.02])
@pytest.mark.parametrize("load", [2.0, 4.0])
def test_overloaded_host_reads_its_requests_in_time(load, serve_s):
    result = replay(load, serve_s, serve_s / 10)
    assert max(result.ages_s) < PATIENCE_S
    assert not result.after_left
    # What is not used for refusals is used for requests.
    refusals = len(result.ages_s) - len(result.served_at)
    possible = (12.0 - refusals * serve_s / 10) / serve_s
    assert len(result.served_at) > 0.9 * possible


@pytest.mark.parametrize("load", [2.0, 4.0])
def test_without_shedding_callers_leave_before_their_requests_are_read(load):
    result = replay(load, sheds=False)
    assert max(result.ages_s) > PATIENCE_S
    assert result.after_left > 100


@pytest.mark.parametrize("serve_s", [0.001, SERVE_S, 0.02])
def test_overloaded_host_serves_evenly(serve_s):
    served_at = replay(3.0, serve_s, serve_s / 10, 20.0).served_at
    counts = [sum(n <= t < n + 1 for t in served_at) for n in range(5, 20)]
    mean = sum(counts) / len(counts)
    assert all(0.6 * mean < count < 1.4 * mean for count in counts)


def test_nothing_is_shed_below_the_capacity():
    result = replay(0.8)
    assert len(result.served_at) == len(result.ages_s)


def test_fraction_grows_from_none_to_all():
    lags = [MIN_LAG_S * 1.05**n for n in range(60)]
    fractions = [shed_fraction(lag_s) for lag_s in lags]
    assert fractions == sorted(fractions)
    assert fractions[0] == 0.0 and shed_fraction(MAX_LAG_S) == 1.0
