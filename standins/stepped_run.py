"""A trio program with virtual time that a synchronous test advances step by step."""

import collections

import trio
import trio.testing


class SteppedRun:
    """A program that stands still between the calls of :meth:`step`.

    It must always have a task that sleeps, since nothing else wakes it.

    Parameters
    ----------
    main : callable
        ``await main(task_status)`` starts the program, says so, and runs until it is
        cancelled.
    """

    def __init__(self, main):
        self._callbacks = collections.deque()
        self._outcome = None
        self._token = self._nursery = None
        trio.lowlevel.start_guest_run(
            self._run,
            main,
            run_sync_soon_threadsafe=self._callbacks.append,
            done_callback=self._set_outcome,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        self._pump(lambda: self._nursery is not None)

    async def _run(self, main):
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            await nursery.start(main)
            self._nursery = nursery

    def _set_outcome(self, outcome):
        self._outcome = outcome

    def _pump(self, is_done):
        while not is_done():
            if self._outcome is not None:
                self._outcome.unwrap()
                raise RuntimeError("the program has ended")
            if self._callbacks:
                self._callbacks.popleft()()

    def step(self, function, *args):
        """Run an async function in the program, and return what it returned."""
        results = []

        async def call():
            results.append(await function(*args))

        self._token.run_sync_soon(self._nursery.start_soon, call)
        self._pump(lambda: results)
        return results[0]

    def close(self):
        """Cancel the program, and wait for its end."""
        if self._outcome is None:
            self._token.run_sync_soon(self._nursery.cancel_scope.cancel)
            while self._outcome is None:
                if self._callbacks:
                    self._callbacks.popleft()()
        self._outcome.unwrap()
