"""Responses of endpoints and other hosts, and the framing of event streams."""

import attrs


@attrs.define(eq=False, kw_only=True)
class EndpointResponse:
    """An endpoint's response, maybe relayed by another host, from its head on.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers as received.
    received : ReceivedBody
        Framing of the body, and the bytes received so far.
    metadata : ResponseMetadata or None
        Metadata in an endpoint's headers; None if another host relayed it.
    next_data : callable
        ``await next_data()`` returns the next chunk of the body, or None at its
        end; raises :class:`ExchangeError` if the body is truncated.
    release : callable
        ``await release(now)`` returns the connection to its pool, once the body is
        complete.
    abort : callable
        ``abort()`` closes the connection, which also cancels the request.
    """

    status: int
    headers: list
    received: object
    metadata: object
    next_data: object
    release: object
    abort: object


class EventScanner:
    """Splits a body of server-sent events at event boundaries.

    An endpoint may fail in the middle of an event. Only complete events are
    relayed, so that a stream can be resumed at another endpoint after the last one.

    Attributes
    ----------
    last_id : str
        Identifier of the last complete event; empty before the first.
    """

    def __init__(self):
        self.last_id = ""
        self._remainder = b""

    @property
    def partial_event_bytes(self):
        """Bytes received of an event that is not complete."""
        return len(self._remainder)

    def feed(self, data):
        """Add data and return the bytes up to the end of the last complete event.

        Parameters
        ----------
        data : bytes
            As received.
        """
        self._remainder += data
        end = self._remainder.rfind(b"\n\n")
        if end < 0:
            return b""
        complete_events, self._remainder = (
            self._remainder[: end + 2],
            self._remainder[end + 2 :],
        )
        id_at = complete_events.rfind(b"id:")
        while id_at > 0 and complete_events[id_at - 1 : id_at] != b"\n":
            id_at = complete_events.rfind(b"id:", 0, id_at)
        if id_at >= 0:
            line = complete_events[id_at + 3 : complete_events.index(b"\n", id_at)]
            self.last_id = line.strip().decode("latin-1")
        return complete_events

    def take_remainder(self):
        """Return and clear the bytes after the last complete event."""
        remainder, self._remainder = self._remainder, b""
        return remainder

    def discard_partial_event(self):
        """Discard the bytes of a truncated event."""
        self._remainder = b""
