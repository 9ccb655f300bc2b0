"""Event streams (``text/event-stream``): their events, and where they may end."""

import re

from ..errors import OversizedAnswerError, TruncatedAnswerError
from .framing import Framing
from .http import header

_MEDIA_TYPE = "text/event-stream"
# An event ends with a blank line. Lines end with LF, CRLF or CR.
_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_END_BYTES = 3
MAX_EVENT_BYTES = 256 * 1024
_ID_MARK = b"id:"
_LINE_END_BYTES = b"\r\n"
_LINE = re.compile(rb"[^\r\n]*")


def is_event_stream(headers):
    """Return whether a response to a request for a stream is an event stream.

    One without a content type is taken for one.
    """
    media_type = header(headers, b"content-type", _MEDIA_TYPE).partition(";")[0]
    return media_type.strip().lower() == _MEDIA_TYPE


def ends_event(tail):
    """Return whether a stream whose last bytes are `tail` ends with a whole event."""
    return tail.endswith(_EVENT_ENDS)


def last_bytes(tail, data):
    """Return the last bytes of a stream for `ends_event`, after some more data.

    Parameters
    ----------
    tail : bytes
        The last bytes before it; empty at the beginning.
    data : bytes
        The next bytes.
    """
    return (tail + data[-_MAX_END_BYTES:])[-_MAX_END_BYTES:]


def check_last_event(tail, framing):
    """Check that a stream that has ended was not broken off before.

    Parameters
    ----------
    tail : bytes
        The last bytes of the stream; empty if it had none.
    framing : Framing
        What marked its end.

    Raises
    ------
    TruncatedAnswerError
        If the last event is not whole, whatever the framing says, or if the end of
        the connection alone marked the end and there was no event.
    """
    if tail and not ends_event(tail):
        raise TruncatedAnswerError("the stream ended inside an event")
    if not tail and framing is Framing.CLOSE:
        raise TruncatedAnswerError("the connection closed before the first event")


def count_events(data):
    """Return the number of events in bytes that end with a whole event."""
    return max(1, sum(data.count(end) for end in _EVENT_ENDS))


def _find_last_id(events):
    """Return the value of the last field named id, or None."""
    found_at = len(events)
    while (found_at := events.rfind(_ID_MARK, 0, found_at)) >= 0:
        if not found_at or events[found_at - 1] in _LINE_END_BYTES:
            line = _LINE.match(events, found_at + len(_ID_MARK))
            return line.group().strip().decode("latin-1")
    return None


class EventScanner:
    """Splits a body of server-sent events at event boundaries.

    An endpoint may fail in the middle of an event. Only complete events are
    relayed, so that a stream can be resumed at another endpoint after the last one.

    Attributes
    ----------
    last_id : str
        Identifier of the last event that was relayed; empty before the first. A
        stream is resumed after it.
    """

    def __init__(self):
        self.last_id = ""
        self._complete_id = None
        self._received = bytearray()

    @property
    def partial_event_bytes(self):
        """Bytes received of an event that is not complete."""
        return len(self._received)

    def feed(self, data):
        """Add data and return the bytes up to the end of the last complete event.

        They count as relayed once :meth:`mark_relayed` is called.

        Parameters
        ----------
        data : bytes
            As received.

        Raises
        ------
        OversizedAnswerError
            If an event has no end within `MAX_EVENT_BYTES`.
        """
        # What was received before holds no end of an event, but may hold its start.
        start = max(0, len(self._received) - _MAX_END_BYTES + 1)
        self._received += data
        end = 0
        for event_end in _EVENT_ENDS:
            found_at = self._received.rfind(event_end, start)
            if found_at >= 0:
                end = max(end, found_at + len(event_end))
        if len(self._received) - end > MAX_EVENT_BYTES:
            raise OversizedAnswerError(f"an event of over {MAX_EVENT_BYTES} bytes")
        if not end:
            return b""
        complete_events = bytes(self._received[:end])
        del self._received[:end]
        last_id = _find_last_id(complete_events)
        if last_id is not None:
            self._complete_id = last_id
        return complete_events

    def mark_relayed(self):
        """Count the events that were returned as relayed."""
        if self._complete_id is not None:
            self.last_id, self._complete_id = self._complete_id, None

    def discard_partial_event(self):
        """Discard the bytes of a truncated event, and what was not relayed."""
        self._received.clear()
        self._complete_id = None
