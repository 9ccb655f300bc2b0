"""Limit of the bytes of bodies and frames that a host holds at once."""

import contextlib

import attrs

from ..errors import BufferLimitError

# A fraction of the memory of a small host.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# After this time a request that found no room may find some.
BUFFER_RETRY_S = 0.5


@attrs.define(eq=False)
class BufferBudget:
    """Counts the bytes that a host holds of all bodies and frames together.

    Attributes
    ----------
    limit_bytes : int
        Most bytes held at once.
    used_bytes : int
        Bytes held now.
    """

    limit_bytes: int = MAX_BUFFERED_BYTES
    used_bytes: int = 0

    @contextlib.contextmanager
    def hold(self):
        """Provide a function that counts data as held until the block ends.

        The function ``count_held(data)`` raises :class:`BufferLimitError` if the data
        would exceed the limit.
        """
        held_bytes = 0

        def count_held(data):
            nonlocal held_bytes
            if self.used_bytes + len(data) > self.limit_bytes:
                raise BufferLimitError(
                    f"this host holds {self.used_bytes} of {self.limit_bytes} bytes "
                    "of bodies and frames"
                )
            self.used_bytes += len(data)
            held_bytes += len(data)

        try:
            yield count_held
        finally:
            self.used_bytes -= held_bytes
