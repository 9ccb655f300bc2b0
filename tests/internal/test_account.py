"""The account adds up at each moment, whatever requests do."""

import pytest
import trio
import trio.testing
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from cactusmill.errors import (
    AnswerCutError,
    CallerGoneError,
    Cut,
    ExchangeError,
    Overloaded,
)
from cactusmill.internal.account import ANSWER, CUT, REFUSAL, Account

REFUSED = Overloaded(detail="full")


class Requests(RuleBasedStateMachine):
    """Requests of one account that begin and end in any order."""

    running = Bundle("running")

    def __init__(self):
        super().__init__()
        self.account = Account()
        self.begun = self.done = 0

    @rule(target=running)
    def read(self):
        self.begun += 1
        return self.account.open()

    @rule(entry=consumes(running))
    def answer(self, entry):
        entry.answer()
        self.done += 1

    @rule(entry=consumes(running))
    def refuse(self, entry):
        entry.refuse(REFUSED)
        self.done += 1

    @rule(entry=consumes(running), reason=st.sampled_from(Cut))
    def cut(self, entry, reason):
        entry.cut(reason)
        self.done += 1

    @rule(
        entry=consumes(running), exc=st.sampled_from([None, ValueError(), KeyError()])
    )
    def leave_without_an_end(self, entry, exc):
        entry.__exit__(type(exc), exc, None)
        assert (entry.kind, entry.reason) == (CUT, Cut.INTERNAL_FAULT.value)
        self.done += 1

    @rule()
    def stop(self):
        self.account.stop()

    @invariant()
    def adds_up(self):
        counts = self.account.counts()
        assert self.account.adds_up()
        assert counts["read", ""] == self.begun
        assert counts["running", ""] == self.begun - self.done


TestRequests = Requests.TestCase
TestRequests.settings = settings(max_examples=60, derandomize=True, deadline=None)


def test_second_end_is_detected_and_changes_nothing():
    account = Account()
    with account.open() as entry:
        entry.answer()
        entry.cut(Cut.DEADLINE)
    assert account.ended == {(ANSWER, ""): 1}
    assert account.ended_twice == 1 and not account.adds_up()


@pytest.mark.parametrize(
    ("exc", "reason"),
    [
        (AnswerCutError("x"), Cut.BROKE_OFF),
        (AnswerCutError("x", Cut.DEADLINE), Cut.DEADLINE),
        (CallerGoneError("x"), Cut.CALLER_GONE),
        (CallerGoneError("x", Cut.NOT_READ), Cut.NOT_READ),
        (ExchangeError("x"), Cut.CALLER_GONE),
        (ValueError("x"), Cut.INTERNAL_FAULT),
        (ExceptionGroup("x", [ValueError("x")]), Cut.INTERNAL_FAULT),
        (ExceptionGroup("x", [CallerGoneError("x")]), Cut.CALLER_GONE),
    ],
)
def test_request_left_by_an_exception_is_cut_for_its_reason(exc, reason):
    account = Account()
    with pytest.raises(type(exc)), account.open():
        raise exc
    assert account.ended == {(CUT, reason.value): 1}


def test_stop_cancels_running_work_and_work_that_begins_later():
    async def main():
        account = Account()

        async def work():
            with account.open() as entry:
                with entry.open_scope() as scope:
                    await trio.sleep_forever()
                assert scope.cancelled_caught
                entry.refuse(REFUSED)

        with trio.fail_after(2):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(work)
                await trio.testing.wait_all_tasks_blocked()
                account.stop()
                nursery.start_soon(work)
        assert account.ended == {(REFUSAL, "Overloaded"): 2}

    trio.run(main)


def test_task_that_is_cancelled_cuts_its_request_because_the_host_exits():
    async def main():
        account = Account()
        with trio.CancelScope() as scope, account.open():
            scope.cancel()
            await trio.sleep_forever()
        assert account.ended == {(CUT, Cut.HOST_EXITS.value): 1}

    trio.run(main)
