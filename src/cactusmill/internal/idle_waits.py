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

    def end_since(self, limit, max_count=float("inf")):
        """End waits, the longest first.

        Parameters
        ----------
        limit : float
            Only those that began at this time or earlier, in seconds.
        max_count : float
            Largest number to end.

        Returns
        -------
        int
            Number of waits that were ended.
        """
        count = 0
        while self._since and count < max_count:
            scope, since = next(iter(self._since.items()))
            if since > limit:
                break
            del self._since[scope]
            scope.cancel()
            count += 1
        return count
