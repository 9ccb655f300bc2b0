"""Events of a stream are found however they are split and their lines end."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusmill.internal.event_stream import EventScanner

fuzz = settings(max_examples=200, derandomize=True, deadline=None)
LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def encode_events(count, line_end):
    lines = (b"id: %d" % n + line_end + b"data: word" + line_end for n in range(count))
    return [text + line_end for text in lines]


@fuzz
@given(
    count=st.integers(0, 5),
    line_end=st.sampled_from(LINE_ENDS),
    tail=st.sampled_from([b"", b"i", b"id: 9", b"data: a"]),
    offsets=st.lists(st.integers(0, 150), max_size=8),
)
def test_whole_events_are_passed_on_however_they_are_split(
    count, line_end, tail, offsets
):
    events = encode_events(count, line_end)
    data = b"".join(events) + tail
    edges = sorted({0, len(data), *(o for o in offsets if o < len(data))})
    scanner, passed_on = EventScanner(), b""
    for start, stop in zip(edges, edges[1:], strict=False):
        counted = scanner.last_id
        passed_on += scanner.feed(data[start:stop])
        # They count as relayed only once they have been.
        assert scanner.last_id == counted
        scanner.mark_relayed()
        # An event is passed on with the data that completes it.
        whole = [n for n in range(count + 1) if len(b"".join(events[:n])) <= stop]
        assert passed_on == b"".join(events[: whole[-1]])
        assert scanner.last_id == (str(whole[-1] - 1) if whole[-1] else "")
    assert scanner.partial_event_bytes == len(tail)
    assert scanner.last_id == (str(count - 1) if count else "")


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_only_fields_named_id_are_identifiers(line_end):
    scanner = EventScanner()
    scanner.feed(line_end.join([b"id: 4", b"data: id: 5", b"xid: 6", b"", b""]))
    assert scanner.last_id == ""
    scanner.mark_relayed()
    assert scanner.last_id == "4"
