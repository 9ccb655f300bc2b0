"""Unit tests of the news about crashes between hosts."""

from cactusmill.internal.containment import messages
from cactusmill.internal.containment.containment import NEWS_S, CrashContainment
from cactusmill.internal.containment.convictions import MAX_CONVICTIONS
from cactusmill.internal.containment.messages import (
    apply_news,
    build_news,
    conviction_news,
)
from cactusmill.internal.containment.suspicion import Candidate
from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire.ttypes import Frame

BAD = 1
MAX_DATAGRAM_BYTES = 60_000


def crash_often(host, count, parts_each=1, now=10.0):
    for number in range(count):
        candidates = [
            Candidate(1000 * number + n, (BAD, *range(10 + n, 9 + n + parts_each)))
            for n in range(30)
        ]
        host.merge_crash(number, now + number, candidates, set(), now + number)


def exchange(sender, receiver, now, **options):
    """Pass the sender's news on; return their bytes and whether decisions differ."""
    news = build_news(sender, False, now, **options)
    if news is None:
        return 0, False
    data = encode_frame(Frame(containment=news))
    return len(data), apply_news(receiver, decode(data).containment, now)


def test_host_without_anything_to_tell_sends_nothing():
    assert build_news(CrashContainment(), False, 1.0) is None


def test_crashes_are_told_with_their_age_and_passed_on():
    hosts = [CrashContainment() for _ in range(3)]
    crash_often(hosts[0], 1)
    exchange(hosts[0], hosts[1], 10.2)
    exchange(hosts[1], hosts[2], 10.3)
    (crash,) = hosts[2].suspicion.crashes()
    assert abs(crash.at - 10.0) < 0.01 and len(crash.candidates) == 30
    assert build_news(hosts[0], False, 10.3 + NEWS_S) is None


def test_host_that_has_just_started_learns_all_that_is_held_back():
    old, new = CrashContainment(), CrashContainment()
    for thing in range(100):
        old.convictions.convict((thing,), 3, 1.0, 1.0)
    size, differs = exchange(old, new, 500.0, is_first=True)
    assert not differs and len(new.convictions) == 100 and size < MAX_DATAGRAM_BYTES


def test_decisions_that_differ_after_a_partition_are_exchanged():
    one, other = CrashContainment(), CrashContainment()
    for thing in range(40):
        host = (one, other)[thing % 2]
        host.convictions.convict((thing,), 3, 1.0, 1.0)
    now, rounds = 100.0, 0
    while one.convictions.hash != other.convictions.hash:
        for sender, receiver in ((one, other), (other, one)):
            news = build_news(sender, True, now)
            apply_news(receiver, news, now)
        rounds += 1
        assert rounds < 10
    assert len(one.convictions) == len(other.convictions) == 40


def test_clearance_is_told_and_releases_everywhere():
    one, other = CrashContainment(), CrashContainment()
    crash_often(one, 3)
    one.review(20.0)
    assert BAD in one.convictions.held
    exchange(one, other, 12.1)
    assert BAD in other.convictions.held
    one.merge_clearance(BAD, 13.0, 15.0)
    assert BAD not in one.convictions.held
    exchange(one, other, 15.1)
    assert BAD not in other.convictions.held


def test_host_that_knows_one_crash_of_two_keeps_what_another_decided():
    one, other = CrashContainment(), CrashContainment()
    for number in range(2):
        one.merge_crash(number, 10.0 + number, [Candidate(7)], set(), 10.0 + number)
    other.merge_crash(0, 10.0, [Candidate(7)], set(), 10.0)
    apply_news(other, conviction_news(one, one.convictions.all(), 11.1), 11.1)
    other.review(20.0)
    assert 7 in one.convictions.held and 7 in other.convictions.held


def test_message_is_bounded_under_hostile_prompts():
    host = CrashContainment()
    crash_often(host, 50, parts_each=200)
    for thing in range(MAX_CONVICTIONS):
        host.convictions.convict((10**6 + thing,), 3, 60.0, 60.0)
    for options in ({}, {"is_first": True}):
        size, _ = exchange(host, CrashContainment(), 60.1, **options)
        assert size < MAX_DATAGRAM_BYTES
    assert messages.MAX_CRASHES * messages._MAX_PARTS_IN_ALL < 1000
