"""An answer on its way to a caller, whoever gives it."""

import attrs


@attrs.define(eq=False, kw_only=True)
class Answer:
    """An answer whose head has arrived.

    Attributes
    ----------
    status : int
        Its HTTP status.
    headers : list of (bytes, bytes)
        What a caller may see of its head.
    metadata : ResponseMetadata or None
        What an endpoint's head says; None if another host passed it on.
    next_data : callable
        ``await next_data()`` returns the next part of the body, or None at its
        end; raises :class:`ExchangeError` if it breaks off.
    release : callable
        ``await release()`` keeps the connection, once the body is whole.
    abort : callable
        ``abort()`` closes the connection, which also stops the work.
    """

    status: int
    headers: list
    metadata: object
    next_data: object
    release: object
    abort: object


class EventScanner:
    """Cuts a body of server-sent events at the ends of whole events.

    An endpoint may stop in the middle of an event. Only whole events are
    passed on, so that a stream can go on elsewhere behind the last of them.

    Attributes
    ----------
    last_id : str
        Identifier of the last whole event; empty before the first.
    """

    def __init__(self):
        self.last_id = ""
        self._rest = b""

    def feed(self, data):
        """Return the bytes up to the end of the last whole event.

        Parameters
        ----------
        data : bytes
            As received.
        """
        self._rest += data
        end = self._rest.rfind(b"\n\n")
        if end < 0:
            return b""
        whole, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
        at = whole.rfind(b"id:")
        while at > 0 and whole[at - 1 : at] != b"\n":
            at = whole.rfind(b"id:", 0, at)
        if at >= 0:
            line = whole[at + 3 : whole.index(b"\n", at)]
            self.last_id = line.strip().decode("latin-1")
        return whole

    def take_rest(self):
        """Return the bytes behind the last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def discard_partial_event(self):
        """Drop the part of an event that broke off."""
        self._rest = b""
