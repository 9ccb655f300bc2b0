"""Refused callers come back no faster than there is room."""

import random

from cactusmill.serving.retry_after import RetrySchedule


def test_returns_of_a_surge_are_spread_over_the_time_that_its_work_takes():
    """200 callers are refused within 0.2 s; 100 units drain a second."""
    retry_schedule, rng = RetrySchedule(), random.Random(3)
    back = sorted(
        now + retry_schedule.wait_s(2.0, 1.0, 100.0, now)
        for now in (rng.random() / 5 for _ in range(200))
    )
    for start in back:
        inside = sum(start <= at < start + 0.5 for at in back)
        assert inside * 2.0 <= 1.6 * 0.5 * 100.0


def test_work_that_nobody_waits_for_is_not_booked():
    retry_schedule = RetrySchedule()
    for _ in range(1000):
        retry_schedule.wait_s(10.0, 0.0, 10.0, 1.0)
    assert retry_schedule.booked <= 70.0


def test_booked_work_drains():
    retry_schedule = RetrySchedule()
    for _ in range(5):
        retry_schedule.wait_s(10.0, 0.0, 10.0, 1.0)
    assert retry_schedule.wait_s(10.0, 0.5, 10.0, 6.5) == 0.05
