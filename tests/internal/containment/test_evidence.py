"""Unit tests of the evidence by which a crash is told from a lost response."""

import random
import types

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.errors import ConnectError, ConnectRefusedError
from cactusmill.internal.containment import evidence as crash_evidence
from cactusmill.internal.containment import probe as crash_probe
from cactusmill.internal.containment.containment import CrashContainment
from cactusmill.internal.containment.culprits import Culprits
from cactusmill.internal.containment.evidence import (
    EVIDENCE_WINDOW_S,
    RESTART_WINDOW_S,
    Evidence,
    Interruption,
    Interruptions,
)
from cactusmill.internal.containment.probe import SECOND_LOOK_S, probe_twice
from cactusmill.internal.net import TCP
from cactusmill.records import Endpoint


def endpoint(name="e", address="127.0.0.1:1", started_ms=1):
    return Endpoint(
        name=name,
        zone="z",
        region="r",
        address=address,
        serves=("s",),
        started_ms=started_ms,
    )


def interruption(digest="d", at=10.0, may_block=True, **changes):
    return Interruption(
        culprits=Culprits(digest),
        request_id="r-1",
        team=None,
        route=None,
        endpoint=endpoint(**changes),
        sent_at=at - 0.1,
        broke_at=at,
        may_block=may_block,
    )


def waiting(*interruptions):
    waits = Interruptions()
    for one in interruptions:
        waits.record(one)
    return waits


@pytest.mark.parametrize("evidence", list(Evidence))
@pytest.mark.parametrize("after_s", [0.0, 0.05, EVIDENCE_WINDOW_S])
def test_any_evidence_within_the_window_confirms_once(evidence, after_s):
    waits = waiting(interruption())
    (found,) = waits.confirm("e", evidence, 10.0 + after_s)
    assert found.digest == "d"
    assert not waits.confirm("e", evidence, 10.0 + after_s) and not len(waits)


def test_late_evidence_and_evidence_against_others_confirm_nothing():
    waits = waiting(interruption())
    assert not waits.confirm("other", Evidence.REFUSED, 10.1)
    assert not waits.confirm("e", Evidence.REFUSED, 10.1 + EVIDENCE_WINDOW_S)
    waits.expire(10.1 + EVIDENCE_WINDOW_S)
    assert not len(waits)


def test_published_entries_show_other_incarnations_only():
    waits = waiting(interruption())
    assert not waits.find_replaced(endpoint())
    assert not waits.find_replaced(endpoint(started_ms=0))
    assert not waits.find_replaced(endpoint(name="x", address="127.0.0.1:2"))
    assert waits.find_replaced(endpoint(started_ms=2)) == ["e"]
    assert waits.find_replaced(endpoint(name="x")) == ["e"]


def test_equal_requests_count_once_for_each_crash():
    waits = waiting(interruption())
    assert len(waits.confirm("e", Evidence.REFUSED, 10.1)) == 1
    # It was running on the endpoint at the same time.
    waits.record(interruption(at=10.15))
    assert not waits.confirm("e", Evidence.REFUSED, 10.2)
    # It was sent after that crash, to the next incarnation.
    waits.record(interruption(at=10.6))
    assert len(waits.confirm("e", Evidence.REFUSED, 10.7)) == 1


def test_crash_before_the_request_was_sent_never_blocks():
    suspects = CrashContainment()
    for number, may_block in enumerate((False, False, True)):
        at = 10.0 + number
        suspects.interruptions.record(interruption(at=at, may_block=may_block))
        suspects.count_crashes("e", Evidence.REFUSED, at)
        assert suspects.crash_count(Culprits("d")) == (1, 1, 2)[number]


def test_number_of_waiting_interruptions_is_bounded(monkeypatch):
    monkeypatch.setattr(crash_evidence, "_MAX_WAITING", 3)
    waits = waiting(*(interruption(f"d{n}", name=f"e{n}") for n in range(5)))
    assert len(waits) == 3
    assert waits.endpoint_names() == ["e2", "e3", "e4"]


LIVE_EVENTS = st.lists(
    st.tuples(st.sampled_from(["loses", "answers", "served"]), st.floats(0.01, 1.0)),
    max_size=30,
)


def play_live(events, ending):
    """Replay an endpoint that loses responses, answers others, and then ends."""
    suspects, now = CrashContainment(), 0.0
    for number, (kind, gap_s) in enumerate(events):
        now += gap_s
        if kind == "loses":
            suspects.interruptions.record(interruption(f"d{number % 3}", now))
        elif kind == "answers":
            suspects.interruptions.record_answer("e", now - 0.001)
        else:
            suspects.record_served(Culprits(f"d{number % 3}"), now, now)
    suspects.interruptions.record_answer("e", now + 0.01)
    suspects.count_crashes("e", ending, now + 0.02)
    return [suspects.crash_count(Culprits(f"d{n}")) for n in range(3)]


@given(LIVE_EVENTS, st.sampled_from([Evidence.REFUSED, Evidence.REMOVED]))
def test_endpoint_that_answers_later_requests_makes_no_suspects(events, ending):
    assert play_live(events, ending) == [0, 0, 0]


def count_of_later_crash():
    """Return the crashes counted if an endpoint loses a response and crashes later."""
    suspects = CrashContainment()
    suspects.interruptions.record(interruption())
    suspects.interruptions.record_answer("e", 10.1)
    suspects.count_crashes("e", Evidence.REFUSED, 13.0)
    suspects.count_crashes("e", Evidence.REPLACED, 13.5)
    return suspects.crash_count(Culprits("d"))


def test_later_crash_of_an_endpoint_that_answered_makes_no_suspect():
    assert count_of_later_crash() == 0


def test_check_detects_restarts_that_count_late(monkeypatch):
    monkeypatch.setattr(crash_evidence, "RESTART_WINDOW_S", EVIDENCE_WINDOW_S)
    assert count_of_later_crash() == 1


def test_check_detects_ignored_answers(monkeypatch):
    monkeypatch.setattr(Interruptions, "record_answer", lambda *args: None)
    assert any(play_live([("loses", 0.1)], Evidence.REFUSED))


def play_crash(seed):
    """Replay crashes of one request on two endpoints, each seen in a random way."""
    rng = random.Random(seed)
    suspects, now = CrashContainment(), 0.0
    for name in ("a", "b"):
        now += rng.uniform(0.01, 3.0)
        suspects.interruptions.record(interruption(at=now, name=name))
        kinds, limit_s = list(Evidence), EVIDENCE_WINDOW_S
        if rng.random() < 0.3:
            # It is back at once, and answers before its new entry is published.
            suspects.interruptions.record_answer(name, now + 0.05)
            kinds, limit_s = [Evidence.REPLACED], RESTART_WINDOW_S
        for _ in range(rng.randint(1, 3)):
            now += rng.uniform(0.0, limit_s / 4)
            suspects.count_crashes(name, rng.choice(kinds), now)
    return suspects.crash_count(Culprits("d"))


@pytest.mark.parametrize("seed", range(60))
def test_crashes_of_a_request_count_in_any_order_of_evidence(seed):
    assert play_crash(seed) == 2


def test_check_detects_that_only_refusals_are_evidence(monkeypatch):
    confirm = Interruptions.confirm

    def confirm_refusals(self, name, evidence, now):
        found = confirm(self, name, evidence, now)
        return found if evidence is Evidence.REFUSED else []

    monkeypatch.setattr(Interruptions, "confirm", confirm_refusals)
    assert any(play_crash(seed) < 2 for seed in range(60))


async def probe_dying(delay_s, probe):
    """Probe a listener that closes after a delay without having accepted."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    ip, port = listener.socket.getsockname()

    async def close():
        if delay_s:
            await trio.sleep(delay_s)
        await listener.aclose()

    async def connect():
        stream = await TCP.connect(f"{ip}:{port}", 0.1)
        # The connection is closed at the first chance that a busy host leaves.
        await trio.lowlevel.checkpoint()
        return stream

    outcome = None
    async with trio.open_nursery() as nursery:
        if delay_s is not None:
            nursery.start_soon(close)
        try:
            stream = await probe(connect)
            outcome = "accepted" if stream is not None else "unknown"
        except ConnectRefusedError:
            outcome = "refused"
        await listener.aclose()
    return outcome


@pytest.mark.parametrize("delay_s", [0.0, 0.0005, 0.002, 0.01, 0.04])
@pytest.mark.parametrize("repetition", range(5))
def test_listener_that_closes_around_the_probe_is_seen_to_be_gone(delay_s, repetition):
    assert trio.run(probe_dying, delay_s, probe_twice) == "refused"


def test_open_listener_is_not_seen_to_be_gone():
    assert trio.run(probe_dying, None, probe_twice) == "accepted"


def test_check_detects_a_single_look():
    async def probe_once(connect):
        return await connect()

    assert trio.run(probe_dying, 0.01, probe_once) == "accepted"


def test_silent_endpoint_is_connected_to_once():
    calls = []

    async def connect():
        calls.append(trio.current_time())
        raise ConnectError("silent")

    async def main():
        with pytest.raises(ConnectError):
            await probe_twice(connect)
        return trio.current_time() - calls[0]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) < SECOND_LOOK_S
    assert len(calls) == 1


def test_probe_leaves_no_connection_behind_when_cancelled(monkeypatch):
    closed = []

    async def close(stream):
        closed.append(stream)

    monkeypatch.setattr(crash_probe.trio, "aclose_forcefully", close)
    stream = types.SimpleNamespace(receive_some=lambda _: trio.sleep_forever())

    async def connect():
        return stream

    async def main():
        with trio.move_on_after(SECOND_LOOK_S / 5):
            await probe_twice(connect)

    trio.run(main)
    assert closed == [stream]
