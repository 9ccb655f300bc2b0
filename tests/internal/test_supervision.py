"""Long-lived tasks that fail."""

import random

import pytest
import trio
import trio.testing

from cactusmill.internal.supervision import Supervisor


def run_task(errors, is_strict=False, **changes):
    """Run a task that raises each error in turn, and then returns.

    Returns when it began, in seconds, and what was recorded of it.
    """
    begun_at, recorded = [], []

    async def task(pending):
        begun_at.append(trio.current_time())
        await trio.sleep(changes.get("work_s", 0.0))
        if pending:
            raise pending.pop(0)

    supervisor = Supervisor(
        trio.current_time,
        random.Random(1),
        lambda *args: recorded.append(args),
        is_strict=is_strict,
    )

    async def main():
        start = trio.current_time()
        with trio.fail_after(1000):
            await supervisor.run("task", task, list(errors))
        return [at - start for at in begun_at], recorded, supervisor.failures

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_task_that_fails_is_started_again_after_a_growing_delay():
    errors = [OverflowError("one"), ExceptionGroup("two", [KeyError("k")]), OSError()]
    begun_at, recorded, failures = run_task(errors)
    pauses = [b - a for a, b in zip(begun_at, begun_at[1:], strict=False)]
    assert len(begun_at) == 4 and failures == {"task": 3}
    assert [name for name, _, _ in recorded] == ["task"] * 3
    assert [exc for _, exc, _ in recorded] == errors
    for pause_s, (_, _, mean_s) in zip(pauses, recorded, strict=True):
        assert 0.5 * mean_s <= pause_s <= 1.5 * mean_s
    assert [mean_s for _, _, mean_s in recorded] == [0.1, 0.2, 0.4]


def test_delay_is_limited_and_starts_anew_behind_a_sound_time():
    _, recorded, _ = run_task([ValueError()] * 20)
    assert max(mean_s for _, _, mean_s in recorded) == 10.0
    _, recorded, _ = run_task([ValueError()] * 4, work_s=61.0)
    assert [mean_s for _, _, mean_s in recorded] == [0.1, 0.2, 0.2, 0.2]


def test_strict_supervisor_lets_the_error_pass():
    with pytest.raises(OverflowError):
        run_task([OverflowError()], is_strict=True)


def test_cancellation_is_no_failure():
    async def main():
        recorded = []
        supervisor = Supervisor(
            trio.current_time, random.Random(1), lambda *args: recorded.append(args)
        )
        with trio.move_on_after(1.0) as scope:
            await supervisor.run("task", trio.sleep_forever)
        assert scope.cancelled_caught and not recorded and not supervisor.failures

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("is_strict", [False, True])
def test_short_task_that_fails_is_counted_and_not_repeated(is_strict):
    async def fail():
        raise OverflowError

    async def main():
        recorded = []
        supervisor = Supervisor(
            trio.current_time,
            random.Random(1),
            lambda *args: recorded.append(args),
            is_strict=is_strict,
        )
        assert await supervisor.run_once("task", fail) is None
        assert supervisor.failures == {"task": 1} and len(recorded) == 1

    if is_strict:
        with pytest.raises(OverflowError):
            trio.run(main)
    else:
        trio.run(main)
