"""Tests of the retry times of refused callers."""

import random

import pytest

from cactusmill.serving.retry_after import RankedRetries, RetrySchedule


def test_retries_of_a_surge_are_spread_over_the_time_that_its_work_takes():
    """200 callers are refused within 0.2 s; 100 units are processed per second."""
    retry_schedule, rng = RetrySchedule(), random.Random(3)
    retries = sorted(
        now + retry_schedule.reserve(2.0, 1.0, 100.0, now)
        for now in (rng.random() / 5 for _ in range(200))
    )
    for start in retries:
        inside = sum(start <= at < start + 0.5 for at in retries)
        assert inside * 2.0 <= 1.6 * 0.5 * 100.0


def test_nothing_is_reserved_beyond_the_longest_wait():
    retry_schedule = RetrySchedule()
    for _ in range(1000):
        retry_schedule.reserve(10.0, 0.0, 10.0, 1.0)
    assert retry_schedule.reserved <= 70.0


def test_reserved_work_is_processed_over_time():
    retry_schedule = RetrySchedule()
    for _ in range(5):
        retry_schedule.reserve(10.0, 0.0, 10.0, 1.0)
    assert retry_schedule.reserve(10.0, 0.5, 10.0, 6.5) == 0.05


def test_patient_retries_come_after_the_reserved_urgent_work():
    """Guards against capacity for urgent retries that is promised to patient ones."""
    retries = RankedRetries()
    urgent, patient = retries.for_priority(0), retries.for_priority(2)
    for _ in range(4):
        patient.reserve(10.0, 0.0, 10.0, 1.0)
    assert urgent.reserve(20.0, 0.0, 10.0, 1.0) == 0.0
    assert patient.reserve(10.0, 0.0, 10.0, 1.0) == pytest.approx(6.0)
    # Two seconds process the urgent work first.
    assert urgent.reserve(0.0, 0.0, 10.0, 3.0) == pytest.approx(0.0)
    assert patient.reserve(0.0, 0.0, 10.0, 3.0) == pytest.approx(4.0)


def test_one_rank_alone_gets_the_times_of_an_unranked_service():
    rng = random.Random(5)
    plain, ranked = RetrySchedule(), RankedRetries().for_priority(1)
    for number in range(100):
        work, now = rng.random(), 1.0 + 0.05 * number
        expected = plain.reserve(work, 0.15, 2.0, now)
        assert ranked.reserve(work, 0.15, 2.0, now) == pytest.approx(expected)
