"""Long work in steps: what it returns, and how long the turns of the loop are."""

import base64
import gc
import json

import attrs
import pytest
import trio
import trio.testing
from hypothesis import example, given
from hypothesis import strategies as st

from cactusmill.internal import steps as steps_module
from cactusmill.internal.steps import (
    MIN_STEP_S,
    STEP_TO_WAIT,
    Steps,
    decode_base64,
    freeze_heap,
    loads,
    parse_json,
)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)


@attrs.define
class Clock:
    """A clock that advances when the work or another task takes time."""

    now_s: float = 0.0

    def __call__(self):
        return self.now_s


def outcome(function, *args):
    """Return what a function returns as text, or that it raised a ValueError."""
    try:
        return repr(function(*args))
    except ValueError:
        return "ValueError"


def refuse_constant(text):
    raise ValueError(text)


def loads_strictly(data):
    """Parse JSON as the standard library does, without its constants."""
    return json.loads(data, parse_constant=refuse_constant)


def run(function, data):
    async def main():
        return await function(data, Steps())

    return trio.run(main)


@given(json_values, st.sampled_from([None, 0, 2]), st.booleans())
@example([], None, False)
@example({"a": [], "b": {}}, 1, False)
def test_json_is_parsed_like_json_loads(value, indent, is_ascii):
    data = json.dumps(value, indent=indent, ensure_ascii=is_ascii).encode()
    assert outcome(run, parse_json, data) == outcome(loads_strictly, data)
    assert outcome(loads, data) == outcome(loads_strictly, data)


@pytest.mark.parametrize("text", ["NaN", "[Infinity]", '{"a": -Infinity}', "[" * 9999])
def test_what_is_no_json_of_other_parsers_is_refused(text):
    """Guards against numbers that no reader expects, and against a deep recursion."""
    for parse in (loads, lambda data: run(parse_json, data)):
        with pytest.raises(ValueError):
            parse(text.encode())
        with pytest.raises(ValueError):
            parse(b'{"a": [%s]}' % text.encode())


@given(
    json_values.map(lambda value: json.dumps({"m": [value], "n": value}).encode()),
    st.data(),
)
def test_damaged_json_is_refused_like_by_json_loads(data, draw):
    at = draw.draw(st.integers(0, len(data)))
    end = draw.draw(st.integers(at, min(len(data), at + 3)))
    patch = draw.draw(
        st.sampled_from([b"", b",", b":", b"}", b"]", b'"', b" ", b"\xff"])
    )
    damaged = data[:at] + patch + data[end:]
    assert outcome(run, parse_json, damaged) == outcome(loads_strictly, damaged)
    assert outcome(loads, damaged) == outcome(loads_strictly, damaged)


@given(st.binary(max_size=40), st.integers(0, 60), st.sampled_from(["", "=", "*", "A"]))
def test_base64_is_decoded_like_strict_base64(data, at, patch):
    text = base64.b64encode(data).decode()
    text = text[:at] + patch + text[at:]
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(steps_module, "_PART_BYTES", 8)
        result = outcome(run, decode_base64, text)
    assert result == outcome(lambda: base64.b64decode(text, validate=True))


@attrs.define(eq=False)
class LongestTurn(trio.abc.Instrument):
    """Longest turn of the event loop by a clock, in seconds."""

    clock: Clock
    longest_s: float = 0.0
    _began_at: float = 0.0

    def before_io_wait(self, timeout):
        """End a turn and begin the next."""
        self.longest_s = max(self.longest_s, self.clock.now_s - self._began_at)
        self._began_at = self.clock.now_s


@pytest.mark.parametrize("others_s", [0.0, 0.001, 0.05, 0.15, 3.0])
def test_step_is_short_and_work_takes_half_of_a_late_loop(others_s):
    # In each turn of the loop, other tasks take `others_s` seconds.
    clock, work_s, piece_s = Clock(), 0.6, 0.0005
    turn = LongestTurn(clock)

    async def work():
        steps = Steps(clock)
        for _ in range(round(work_s / piece_s)):
            clock.now_s += piece_s
            await steps.pause()

    async def others():
        while True:
            clock.now_s += others_s
            await trio.lowlevel.checkpoint()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(others)
            await work()
            nursery.cancel_scope.cancel()

    trio.run(main, instruments=[turn])
    # The order of tasks varies: between two steps lie at most two turns of the others.
    limit_s = max(MIN_STEP_S, STEP_TO_WAIT * 2 * others_s)
    assert turn.longest_s <= others_s + limit_s + 2 * piece_s
    # The first step is short, since no wait is known before it.
    assert clock.now_s <= work_s * (1 + 1 / STEP_TO_WAIT) + 3 * others_s


def test_configuration_takes_force_in_time_on_the_slowest_host_that_serves():
    # A whole configuration of the target size takes 0.05 s of a core, a second on a
    # twentieth of one; from a lag of 0.15 s a host refuses all requests.
    clock, lag_s, limit_s = Clock(), 0.15, 4.0

    async def work():
        steps = Steps(clock)
        for _ in range(1000):
            clock.now_s += 0.001
            await steps.pause()

    async def others():
        while True:
            clock.now_s += lag_s
            await trio.lowlevel.checkpoint()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(others)
            await work()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert clock.now_s < limit_s


def test_twin_steps_without_regard_to_the_wait_take_too_long_on_a_late_loop(
    monkeypatch,
):
    monkeypatch.setattr(steps_module, "STEP_TO_WAIT", 0.0)
    with pytest.raises(AssertionError):
        test_configuration_takes_force_in_time_on_the_slowest_host_that_serves()


def test_heap_is_frozen_once_the_process_is_ready(monkeypatch):
    frozen = []
    monkeypatch.setattr(gc, "freeze", lambda: frozen.append(trio.current_time()))

    async def main():
        began_at = trio.current_time()
        await freeze_heap(lambda: trio.current_time() >= began_at + 1.0)
        assert frozen and frozen[0] >= began_at + 1.0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
