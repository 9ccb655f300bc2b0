"""A forwarded response with a hole is not taken for whole."""

import pytest
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cactusmill.errors import TruncatedAnswerError
from cactusmill.internal import answer_frames
from cactusmill.internal.answer_frames import answer_sink, read_body_frame
from cactusmill.internal.framing import Framing, ReceivedBody
from cactusmill.internal.wire.ttypes import AnswerData, AnswerEnd, Cancel, Frame

CHUNKS = [b"a", b"bb", b"", b"ccc", b"dd"]
fuzz = settings(max_examples=300, derandomize=True, deadline=None)


def sent_frames():
    frames = []

    async def main():
        async def send(**field):
            frames.append(Frame(**field))

        sink = answer_sink(send, 1, lambda status, headers: None)
        for chunk in CHUNKS:
            await sink.data(chunk)
        await sink.end()

    trio.run(main)
    return frames


def receive(frames):
    """Return the body, and whether it was taken for whole."""
    received, body = ReceivedBody(Framing.LINK), b""
    try:
        for frame in frames:
            data = read_body_frame(frame, received)
            if data is None:
                return body, True
            body += data
    except TruncatedAnswerError:
        pass
    return body, False


@fuzz
@given(order=st.lists(st.integers(0, len(CHUNKS)), max_size=9))
@example(order=[0, 1, 2, 4, 5])
@example(order=[0, 1, 1, 2, 3, 4, 5])
def test_frames_lost_repeated_or_reordered_break_the_response_off(order):
    frames = sent_frames()
    body, is_whole = receive([frames[number] for number in order])
    whole = b"".join(CHUNKS)
    assert whole.startswith(body)
    assert not is_whole or body == whole


def test_check_detects_lost_frames(monkeypatch):
    monkeypatch.setattr(answer_frames, "_check_position", lambda *_: None)
    with pytest.raises(AssertionError):
        test_frames_lost_repeated_or_reordered_break_the_response_off()


def test_frames_of_a_build_without_positions_are_taken_as_they_come():
    frames = [Frame(answer_data=AnswerData(1, chunk)) for chunk in CHUNKS]
    frames.append(Frame(answer_end=AnswerEnd(1, True)))
    assert receive(frames) == (b"".join(CHUNKS), True)


@pytest.mark.parametrize(
    "frame",
    [
        Frame(answer_end=AnswerEnd(1, False)),
        Frame(cancel=Cancel(1)),
        Frame(),
    ],
)
def test_other_frames_do_not_end_a_response(frame):
    assert receive([frame]) == (b"", False)
