"""Connections that wait for their next request, and the ends of these waits."""

import contextlib

import attrs
import trio


@attrs.define(eq=False)
class IdleWaits:
    """The waits of connections for their next request, longest first.

    Attributes
    ----------
    now : callable
        Returns the monotonic time, in seconds.
    """

    now: object
    _since: dict = attrs.field(factory=dict)

    def __len__(self):
        """Return the number of waits."""
        return len(self._since)

    @contextlib.contextmanager
    def wait(self, timeout_s=float("inf")):
        """Count a connection as idle within the block, which ends after a timeout.

        The block is cancelled at its checkpoint; what was received by then is not
        lost.

        Yields
        ------
        trio.CancelScope
            Its `cancelled_caught` tells whether the wait was ended.
        """
        with trio.move_on_after(timeout_s) as scope:
            self._since[scope] = self.now()
            try:
                yield scope
            finally:
                self._since.pop(scope, None)

    def end_since(self, limit):
        """End the waits that began at a time or earlier, in seconds."""
        while self._since and next(iter(self._since.values())) <= limit:
            self.end_longest()

    def end_longest(self):
        """End the wait that began first, if there is one."""
        if self._since:
            scope = next(iter(self._since))
            del self._since[scope]
            scope.cancel()
