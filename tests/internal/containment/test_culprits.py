"""Unit tests of the digests of requests and prompt parts."""

import gc
import time
import types

import pytest

from cactusmill.internal.containment.culprits import culprits_of, from_text, to_text


def request(*segments, body=b"body", team="red"):
    return types.SimpleNamespace(
        team_name=team,
        target="/chat/1",
        body=body,
        prompt_segments=tuple((name, 100) for name in segments),
    )


def test_last_part_is_never_a_culprit_and_doubled_parts_count_once():
    assert culprits_of("", request()).parts == ()
    assert culprits_of("", request("own")).parts == ()
    assert len(culprits_of("", request("a", "a", "b", "own")).parts) == 2


def test_part_is_known_whatever_else_the_request_holds():
    one = culprits_of("", request("a", "bad", "x"))
    other = culprits_of("", request("bad", "y", "z", body=b"other", team="blue"))
    assert set(one.parts) & set(other.parts) == {one.parts[1]}
    assert one.request != other.request


def test_digests_are_keyed():
    assert culprits_of("one", request("a", "x")) != culprits_of(
        "two", request("a", "x")
    )


@pytest.mark.parametrize("digest", [0, 1, -1, 2**63 - 1, -(2**63)])
def test_digests_as_text_are_read_back(digest):
    assert from_text(to_text(digest)) == digest


@pytest.mark.parametrize("text", ["", "xyz", "0" * 15, "g" * 16])
def test_text_that_is_no_digest_is_rejected(text):
    with pytest.raises(ValueError):
        from_text(text)


def test_prompt_of_thousands_of_parts_costs_a_bounded_time():
    names = [f"part-{n}" for n in range(5000)]
    req = request(*names, "own")
    # A collection goes through what all other tests hold.
    gc.collect()
    gc.disable()
    try:
        began = time.process_time()
        parts = culprits_of("", req).parts
        took_s = time.process_time() - began
    finally:
        gc.enable()
    assert len(parts) == 5000
    assert took_s < 0.1
