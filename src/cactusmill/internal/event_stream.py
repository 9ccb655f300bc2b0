"""Event streams (``text/event-stream``): their events, and where they may end."""

import re

# An event ends with a blank line. Lines end with LF, CRLF or CR.
_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_END_BYTES = 3
_ID_FIELD = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")


def count_events(data):
    """Return the number of events in bytes that end with a whole event."""
    return max(1, sum(data.count(end) for end in _EVENT_ENDS))


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
        self._received = bytearray()

    @property
    def partial_event_bytes(self):
        """Bytes received of an event that is not complete."""
        return len(self._received)

    def feed(self, data):
        """Add data and return the bytes up to the end of the last complete event.

        Parameters
        ----------
        data : bytes
            As received.
        """
        # What was received before holds no end of an event, but may hold its start.
        start = max(0, len(self._received) - _MAX_END_BYTES + 1)
        self._received += data
        end = 0
        for event_end in _EVENT_ENDS:
            found_at = self._received.rfind(event_end, start)
            if found_at >= 0:
                end = max(end, found_at + len(event_end))
        if not end:
            return b""
        complete_events = bytes(self._received[:end])
        del self._received[:end]
        ids = _ID_FIELD.findall(complete_events)
        if ids:
            self.last_id = ids[-1].strip().decode("latin-1")
        return complete_events

    def take_remainder(self):
        """Return and clear the bytes after the last complete event."""
        remainder = bytes(self._received)
        self._received.clear()
        return remainder

    def discard_partial_event(self):
        """Discard the bytes of a truncated event."""
        self._received.clear()
