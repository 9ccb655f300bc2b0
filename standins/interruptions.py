"""Faults raised in the production code wherever it waits.

Tests raise them one await after the other, or at any.
"""

import attrs


class InjectedError(Exception):
    """An error that no part of the package expects."""


@attrs.define(eq=False)
class Plan:
    """When the next fault is raised, and in which functions.

    Attributes
    ----------
    awaits_left : int or None
        Number of awaits until the fault; None for no fault.
    where : str
        Label of the functions that count awaits and raise the fault.
    """

    awaits_left: int | None = None
    where: str = ""

    def interrupt(self, monkeypatch, module, name, where):
        """Let faults be raised in a function of a module, under a label."""
        original = getattr(module, name)

        async def interrupted(*args):
            if self.where == where:
                return await _Interrupted(original(*args), self)
            return await original(*args)

        monkeypatch.setattr(module, name, interrupted)

    def _is_due(self):
        if self.awaits_left is None:
            return False
        self.awaits_left -= 1
        if self.awaits_left > 0:
            return False
        self.awaits_left = None
        return True


class _Interrupted:
    """Awaitable that raises the planned fault at an await of a coroutine.

    The fault is raised once what was awaited is over, so that nothing is left behind
    in the event loop.
    """

    def __init__(self, coro, plan):
        self.coro, self.plan = coro, plan

    def __await__(self):
        resume, value = self.coro.send, None
        while True:
            try:
                trap = resume(value)
            except StopIteration as exc:
                return exc.value
            is_open = not _is_in_nursery_exit(self.coro)
            value = yield trap
            resume = self.coro.send
            if is_open and self.plan._is_due():
                resume, value = self.coro.throw, InjectedError("injected")


def _is_in_nursery_exit(awaited):
    """Return whether a coroutine waits for a nursery's tasks, where nothing fails."""
    while awaited is not None:
        code = getattr(awaited, "cr_code", None) or getattr(awaited, "gi_code", None)
        if code is not None and code.co_name == "_nested_child_finished":
            return True
        awaited = getattr(awaited, "cr_await", getattr(awaited, "gi_yieldfrom", None))
    return False
