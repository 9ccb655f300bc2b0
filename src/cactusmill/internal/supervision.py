"""Long-lived tasks go on after an error that they do not expect.

Such an error is a fault of the program, and would end the process with all requests in
it. The task is started again instead. Its local state begins anew; what the host knows
stays as it is.
"""

import collections
import random

import attrs
import trio

_FIRST_RETRY_S = 0.1
_LAST_RETRY_S = 10.0
# A task that ran for this long counts as sound again.
_CALM_S = 60.0


@attrs.define(eq=False)
class Supervisor:
    """Runs the long-lived tasks of a host.

    Attributes
    ----------
    now : callable
        Returns the monotonic time, in seconds.
    rng : random.Random
        Spreads the restarts of the same task on different hosts.
    record : callable
        ``record(name, exc, retry_s)`` logs an error of a task, and the mean time until
        its restart, in seconds.
    is_strict : bool
        Whether an unexpected error ends the process nevertheless, as in tests.
    failures : collections.Counter
        Number of unexpected errors by task.
    """

    now: object
    rng: random.Random
    record: object
    is_strict: bool = False
    failures: collections.Counter = attrs.field(factory=collections.Counter)

    async def run(self, name, task, *args):
        """Run ``await task(*args)`` until it returns, restarting it after errors.

        Parameters
        ----------
        name : str
            Name of the task in the log and the metrics.
        task : callable
            The task. What it needs from before an error is in its arguments.
        *args
            Its arguments.
        """
        retry_s = _FIRST_RETRY_S
        while True:
            began_at = self.now()
            try:
                return await task(*args)
            except Exception as exc:
                self._record_failure(name, exc, retry_s)
            if self.now() - began_at >= _CALM_S:
                retry_s = _FIRST_RETRY_S
            await trio.sleep(retry_s * (0.5 + self.rng.random()))
            retry_s = min(_LAST_RETRY_S, 2 * retry_s)

    async def run_once(self, name, task, *args):
        """Run ``await task(*args)`` once; return its result, or None after an error.

        For short tasks that others start again when they are needed. Errors that the
        caller expects are for the task to catch.
        """
        try:
            return await task(*args)
        except Exception as exc:
            self._record_failure(name, exc, 0.0)

    def _record_failure(self, name, exc, retry_s):
        if self.is_strict:
            raise exc
        self.failures[name] += 1
        self.record(name, exc, retry_s)
