"""Cancellation of running requests when their API key is revoked."""

import contextlib

import attrs
import trio


@attrs.define
class KeyScopes:
    """Cancel scopes of the running requests, by digest of the API key."""

    _scopes: dict = attrs.field(factory=dict)

    @contextlib.contextmanager
    def scope(self, key):
        """Run a block that is cancelled when the key is revoked.

        Parameters
        ----------
        key : Key or None
            None on an open route, where the block is never cancelled.

        Yields
        ------
        trio.CancelScope
        """
        scope = trio.CancelScope()
        if key is None:
            with scope:
                yield scope
            return
        running = self._scopes.setdefault(key.digest, set())
        running.add(scope)
        try:
            with scope:
                yield scope
        finally:
            running.discard(scope)
            if not running:
                self._scopes.pop(key.digest, None)

    def cancel_withdrawn(self, records):
        """Cancel the requests whose keys are no longer active in the given records."""
        for digest in [d for d in self._scopes if not records.key_is_active(d)]:
            for scope in self._scopes[digest]:
                scope.cancel()
