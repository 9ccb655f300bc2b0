"""Hosts that are named to callers by what they shed, with callers that keep answers.

Replays callers that ask a host for addresses, use the answer for its time to live, some
three times as long, and send each request to a random address of it. Hosts of different
sizes take their turns of the event loop and report their lag with a delay. With one
resolver all callers share an answer, which is the worst case.
"""

import collections
import heapq
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.shedding import (
    ShedAverage,
    is_shed,
    name_with_room,
    shed_fraction,
    shed_retry_s,
)
from cactusmill.platform.directory import TTL_S

SHED_S = 0.0005
TICK_S = 0.002
REPORT_S = 0.1
REPORT_DELAY_S = 0.1
PATIENCE_S = 1.0
DURATION_S = 40.0
SETTLE_S = 4.0
TRIES = 3


@attrs.define(eq=False)
class ReplayedHost:
    """A host that serves a request in `serve_s` seconds and sheds by its lag."""

    serve_s: float
    monitor: LoopMonitor = attrs.field(factory=LoopMonitor)
    waiting: list = attrs.field(factory=list)
    busy_until: float = 0.0
    told: collections.deque = attrs.field(factory=collections.deque)
    lag_s: float = 0.0
    average: ShedAverage = attrs.field(factory=ShedAverage)
    served_at: list = attrs.field(factory=list)

    def run(self, now, rng):
        """Take a turn if the last has ended; return the requests that it shed."""
        if now < self.busy_until:
            return []
        self.monitor.record_turn(max(self.busy_until, now - TICK_S), now)
        lag_s, shed, took_s = self.monitor.lag_s(now), [], 0.0
        waiting, self.waiting = self.waiting, []
        for sent_at, tries in waiting:
            if is_shed(lag_s, rng.random()):
                shed.append(tries)
                took_s += SHED_S
            elif now + took_s - sent_at < PATIENCE_S:
                took_s += self.serve_s
                self.served_at.append(now)
        self.busy_until = now + took_s
        return shed

    def report(self, now):
        """Tell the others the lag, which they learn a delay later."""
        self.told.append((now + REPORT_DELAY_S, self.monitor.lag_s(now)))
        while self.told and self.told[0][0] <= now:
            self.lag_s = self.told.popleft()[1]
            self.average.update(self.lag_s, now)


@attrs.frozen
class Result:
    """Requests that were served, as a part of all, and in each second."""

    served: float
    refusals: float
    per_s: list


def replay(capacities, load, resolvers, name, seed=1):
    """Replay hosts under a load, given as a part of their capacity together.

    Parameters
    ----------
    capacities : list of float
        Requests per second that each host can serve.
    load : float
        Requests per second as a part of the sum of the capacities.
    resolvers : int
        Number of independent answers that all callers together use.
    name : callable
        ``name(hosts, rng)`` returns the hosts of an answer.
    seed : int
        Seed of all random choices.
    """
    rng = random.Random(seed)
    hosts = [ReplayedHost(1 / capacity) for capacity in capacities]
    per_tick = load * sum(capacities) * TICK_S
    answers = [hosts] * resolvers
    refresh_at = [rng.random() * TTL_S for _ in answers]
    retries, sent, refusals, number = [], 0, 0, 0
    for tick in range(round(DURATION_S / TICK_S)):
        now = tick * TICK_S
        for index, due_at in enumerate(refresh_at):
            if now >= due_at:
                is_kept_longer = index % 3 == 2
                refresh_at[index] = due_at + TTL_S * (3 if is_kept_longer else 1)
                answers[index] = name(hosts, rng)
        arriving = [0] * int(per_tick + rng.random())
        sent += len(arriving)
        while retries and retries[0][0] <= now:
            arriving.append(heapq.heappop(retries)[2])
        for tries in arriving:
            rng.choice(rng.choice(answers)).waiting.append((now, tries))
        for host in hosts:
            for tries in host.run(now, rng):
                refusals += 1
                number += 1
                if tries + 1 < TRIES:
                    due_at = now + shed_retry_s(rng.random())
                    heapq.heappush(retries, (due_at, number, tries + 1))
            if tick % round(REPORT_S / TICK_S) == 0:
                host.report(now)
    served = [at for host in hosts for at in host.served_at]
    seconds = range(int(SETTLE_S), int(DURATION_S))
    return Result(
        served=len(served) / sent,
        refusals=refusals / sent,
        per_s=[sum(int(at) == second for at in served) for second in seconds],
    )


def name_all(hosts, rng):
    return hosts


def name_by_average(hosts, rng):
    return name_with_room(hosts, [host.average.part for host in hosts], rng)


def name_by_lag(hosts, rng):
    """Leave hosts out by what they shed now, compared with the best."""
    shares = [1 - shed_fraction(host.lag_s) for host in hosts]
    named = [
        h for h, s in zip(hosts, shares, strict=True) if rng.random() * max(shares) <= s
    ]
    return named if len(named) > 1 else hosts


UNEQUAL = {
    "one small of 6": [100, 100, 100, 100, 100, 30],
    "one small of 3": [100, 100, 30],
    "half small of 12": [100, 30] * 6,
    "all sizes": [20, 40, 60, 80, 100, 120, 140, 160],
}
SIZES = {**UNEQUAL, "equal": [60] * 6}


@pytest.mark.parametrize("sizes", UNEQUAL)
@pytest.mark.parametrize("resolvers", [4, 40])
def test_fewer_requests_are_refused_where_some_hosts_have_room(sizes, resolvers):
    without = replay(SIZES[sizes], 0.8, resolvers, name_all)
    result = replay(SIZES[sizes], 0.8, resolvers, name_by_average)
    assert result.refusals < 0.9 * without.refusals
    assert result.served >= without.served


def check_no_loss(sizes, load, resolvers, name):
    without = replay(SIZES[sizes], load, resolvers, name_all)
    result = replay(SIZES[sizes], load, resolvers, name)
    assert result.served > without.served - 0.03
    # As in the replays of single hosts: no second without callers, then too many.
    assert min(result.per_s) > 0.6 * sum(result.per_s) / len(result.per_s)


@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("load", [0.95, 2.0])
@pytest.mark.parametrize("resolvers", [1, 40])
def test_nothing_is_lost_and_hosts_do_not_oscillate(sizes, load, resolvers):
    check_no_loss(sizes, load, resolvers, name_by_average)


@pytest.mark.parametrize("sizes", SIZES)
def test_naming_by_the_present_lag_makes_hosts_oscillate(sizes):
    with pytest.raises(AssertionError):
        check_no_loss(sizes, 2.0, 1, name_by_lag)


@given(st.lists(st.floats(0, 1), max_size=6), st.integers())
def test_answer_is_a_part_of_the_hosts_and_never_one_of_several(parts, seed):
    hosts = [f"host-{n}" for n in range(len(parts))]
    named = name_with_room(hosts, parts, random.Random(seed))
    assert set(named) <= set(hosts)
    assert len(named) >= min(2, len(hosts))
    if all(part >= 0.1 for part in parts):
        # None has room.
        assert named == hosts
