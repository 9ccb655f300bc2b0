"""Long work in steps, between which the other tasks of the event loop run.

Such work calls :meth:`Steps.pause` wherever it may pause. A step is limited in elapsed
time, so that a slower host does less in each. Work that waited long for its next step
gets a longer one: on a late event loop it takes half of the time.
"""

import base64
import gc
import json
import re

import attrs
import trio

# Shortest limit of a step: half of the 10 ms that a turn may take.
MIN_STEP_S = 0.005
# Limit of a step as a fraction of the wait before it.
STEP_TO_WAIT = 1.0
# A multiple of four, as is needed to decode base64 in parts.
_PART_BYTES = 64 * 1024
_READY_POLL_S = 0.1
_SPACES = re.compile(r"[ \t\n\r]*")


def _refuse_constant(text):
    raise ValueError(f"{text} is no number of JSON")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


@attrs.define(eq=False)
class Steps:
    """Divides the work of one task into steps.

    Attributes
    ----------
    now : callable
        Returns the monotonic time, in seconds.
    """

    now: object = trio.current_time
    _pause_at: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Begin the first step."""
        self._pause_at = self.now() + MIN_STEP_S

    async def pause(self):
        """Let other tasks run if the present step has taken its time."""
        paused_at = self.now()
        if paused_at < self._pause_at:
            return
        await trio.lowlevel.checkpoint()
        resumed_at = self.now()
        wait_s = resumed_at - paused_at
        self._pause_at = resumed_at + max(MIN_STEP_S, STEP_TO_WAIT * wait_s)


async def freeze_heap(is_ready):
    """Leave the objects of a started process out of garbage collections.

    A collection is one step, however many objects it goes through. Objects are still
    freed once nothing refers to them; only cycles that are garbage now are kept.

    Parameters
    ----------
    is_ready : callable
        Returns whether the process has started, with its configuration in force.
    """
    while not is_ready():
        await trio.sleep(_READY_POLL_S)
    gc.freeze()


async def decode_base64(text, steps):
    """Return the bytes of strict base64 text.

    Raises
    ------
    ValueError
        If the text is not valid base64.
    """
    parts, start = [], 0
    # The padding stays with the last characters.
    while len(text) - start > _PART_BYTES + 4:
        part = text[start : start + _PART_BYTES]
        if part.endswith("="):
            raise ValueError("padding before the end")
        parts.append(base64.b64decode(part, validate=True))
        start += _PART_BYTES
        await steps.pause()
    parts.append(base64.b64decode(text[start:], validate=True))
    return b"".join(parts)


def loads(data):
    """Parse JSON bytes like `json.loads`, but strictly.

    Raises
    ------
    ValueError
        If the bytes are not valid JSON, for which the constants ``NaN`` and
        ``Infinity`` are not, or are nested too deep.
    """
    try:
        return _DECODER.decode(_decode_text(data))
    except RecursionError as exc:
        raise ValueError("the document is nested too deep") from exc


def _decode_text(data):
    return data.decode(json.detect_encoding(data), "surrogatepass")


async def parse_json(data, steps):
    """Parse JSON bytes like :func:`loads`.

    It may pause after each member of the outermost object, and after each element of
    the arrays in these members.

    Raises
    ------
    ValueError
        As :func:`loads`.
    """
    text = _decode_text(data)
    at = _skip(text, 0)
    if text[at : at + 1] != "{":
        return loads(data)
    try:
        value, at = await _read_object(text, at, steps)
    except RecursionError as exc:
        raise ValueError("the document is nested too deep") from exc
    if _skip(text, at) != len(text):
        raise json.JSONDecodeError("Extra data", text, at)
    return value


def _skip(text, at):
    return _SPACES.match(text, at).end()


async def _read_object(text, at, steps):
    members = {}
    at = _skip(text, at + 1)
    if text[at : at + 1] == "}":
        return members, at + 1
    while True:
        if text[at : at + 1] != '"':
            raise json.JSONDecodeError("Expecting a member's name", text, at)
        name, at = _DECODER.raw_decode(text, at)
        at = _skip(text, at)
        if text[at : at + 1] != ":":
            raise json.JSONDecodeError("Expecting ':'", text, at)
        at = _skip(text, at + 1)
        if text[at : at + 1] == "[":
            members[name], at = await _read_array(text, at, steps)
        else:
            members[name], at = _DECODER.raw_decode(text, at)
        await steps.pause()
        at = _skip(text, at)
        if text[at : at + 1] == "}":
            return members, at + 1
        if text[at : at + 1] != ",":
            raise json.JSONDecodeError("Expecting ',' or '}'", text, at)
        at = _skip(text, at + 1)


async def _read_array(text, at, steps):
    elements = []
    at = _skip(text, at + 1)
    if text[at : at + 1] == "]":
        return elements, at + 1
    while True:
        element, at = _DECODER.raw_decode(text, at)
        elements.append(element)
        await steps.pause()
        at = _skip(text, at)
        if text[at : at + 1] == "]":
            return elements, at + 1
        if text[at : at + 1] != ",":
            raise json.JSONDecodeError("Expecting ',' or ']'", text, at)
        at = _skip(text, at + 1)
