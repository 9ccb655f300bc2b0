"""Unit tests of what crashes and clearances show."""

from cactusmill.internal.containment import suspicion
from cactusmill.internal.containment.suspicion import (
    CRASH_TTL_S,
    MAX_CANDIDATES,
    MAX_CRASHES,
    MIN_GAP_S,
    SETTLE_S,
    UNDECIDED_S,
    Candidate,
    Suspicion,
)

BAD, FIRST, OTHER = 1, 2, 3


def crashed(*groups, proven=(FIRST,), gap_s=1.0):
    """Return the suspicion after crashes of the given groups of (request, parts)."""
    known = Suspicion()
    for number, group in enumerate(groups):
        at = 10.0 + number * gap_s
        candidates = [Candidate(request, tuple(parts)) for request, parts in group]
        known.add_crash(number, at, candidates, set(proven), at)
    return known


def bad_crashes(count, **options):
    """Return crashes under requests with BAD, each beside another request."""
    return crashed(
        *([(100 + n, (BAD, FIRST)), (200 + n, (FIRST, 300 + n))] for n in range(count)),
        **options,
    )


def found(known, now=12.1, held=()):
    finding = known.find({BAD, FIRST, OTHER}, held, now)
    return finding.parts if finding else ()


def test_three_crashes_of_different_requests_show_their_common_part():
    assert found(bad_crashes(2)) == ()
    assert found(bad_crashes(3)) == (BAD,)


def test_two_crashes_of_requests_that_ran_alone_suffice_once_reports_are_in():
    known = crashed([(100, (BAD, FIRST))], [(101, (BAD, FIRST))])
    assert found(known, 11.0 + SETTLE_S / 2) == ()
    assert found(known, 11.0 + SETTLE_S) == (BAD,)


def test_repeats_of_one_request_show_nothing_about_its_parts():
    known = crashed(*([(100, (BAD,)), (n, ())] for n in range(4)))
    assert found(known) == ()
    assert known.is_request_guilty(100, (), 13.1)


def test_parts_that_were_served_since_are_cleared():
    known = bad_crashes(4, proven=())
    assert known.clear(FIRST, 13.5)
    assert found(known) == (BAD,)
    # The response began before the last crash, which it does not clear.
    assert known.clear(BAD, 11.5) and len(known.crashes_of(BAD)) == 2
    assert not known.clear(BAD, 11.6)


def test_clearance_that_overtakes_the_report_of_its_crash_counts():
    known = Suspicion()
    known.expect(BAD, 10.5)
    known.add_crash(1, 10.0, [Candidate(1, (BAD,))], set(), 10.6)
    assert known.crashes_of(BAD) == []


def test_outage_of_many_endpoints_counts_once():
    groups = [[(100 + n, (OTHER,)), (200 + n, ())] for n in range(10)]
    assert found(crashed(*groups, gap_s=MIN_GAP_S / 100)) == ()
    assert found(crashed(*groups, gap_s=MIN_GAP_S)) == (OTHER,)


def test_reports_of_several_hosts_about_one_incarnation_are_one_crash():
    known = Suspicion()
    for host in range(5):
        reported = [Candidate(host, (BAD,))]
        known.add_crash(7, 10.0 + host * 0.05, reported, set(), 10.3)
    assert len(known) == 1 and found(known) == ()


def test_crashes_that_something_held_back_explains_count_against_nothing_else():
    assert found(bad_crashes(4, proven=()), held={BAD}, now=13.1) == ()


def test_parts_of_the_same_requests_are_found_together():
    known = crashed(*([(100 + n, (BAD, OTHER)), (n, ())] for n in range(3)))
    assert found(known) == (BAD, OTHER)


def test_more_evidence_is_awaited_while_parts_of_other_requests_fit_as_well():
    groups = [[(100 + n, (BAD,)), (200 + n, (OTHER,))] for n in range(3)]
    known = crashed(*groups, gap_s=0.4)
    assert found(known, 10.0 + UNDECIDED_S / 2) == ()
    assert len(found(known, 10.0 + UNDECIDED_S)) == 1


def test_requests_that_stand_in_the_same_two_crashes_are_told_apart_by_a_third():
    both = [(100, ()), (101, ())]
    known = crashed(both, both)
    assert not known.is_request_guilty(100, (), 20.0)
    known.add_crash(9, 13.0, [Candidate(100)], set(), 13.0)
    assert known.is_request_guilty(100, (), 20.0)
    assert not known.is_request_guilty(101, (), 20.0)


def test_request_waits_for_evidence_about_a_part_that_others_share():
    known = crashed(*([(100, (OTHER,)), (200 + n, (BAD,))] for n in range(2)))
    assert not known.is_request_guilty(100, (), 11.1)
    known.add_crash(9, 11.5, [Candidate(100), Candidate(300, (BAD,))], set(), 11.5)
    assert found(known) == (BAD,)
    assert not known.is_request_guilty(100, {BAD}, 20.0)


def test_candidates_are_bounded_and_unproven_parts_are_kept():
    known = Suspicion()
    plenty = [Candidate(n, (FIRST,)) for n in range(10 * MAX_CANDIDATES)]
    known.add_crash(1, 10.0, plenty, {FIRST}, 10.0)
    known.add_crash(1, 10.0, [Candidate(-1, (BAD,))], set(), 10.0)
    (crash,) = known.crashes()
    assert len(crash.candidates) == MAX_CANDIDATES
    assert known.crashes_of(BAD) == [crash]


def test_crashes_are_bounded_and_expire(monkeypatch):
    monkeypatch.setattr(suspicion, "_MAX_CLEARED", 100)
    known = bad_crashes(3 * MAX_CRASHES, gap_s=0.01)
    assert len(known) == MAX_CRASHES and len(known.crashes_of(BAD)) == MAX_CRASHES
    for thing in range(10_000, 20_000):
        known.expect(thing, 1.0)
    assert len(known._cleared_at) <= 100
    known.expire(20.0 + CRASH_TTL_S)
    assert len(known) == 0 and not known._by_thing
