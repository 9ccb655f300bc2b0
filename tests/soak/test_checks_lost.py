import pytest

from soak.checks import lost
from soak.findings import LateEnd, LostRequest

from .records import Exit, attempt, history, run, strike

CUT = {"kind": "resumable", "ending": "cut", "ended_at": 103.0, "events": (1, 2)}
CUT_RUN = {"ended_at": 103.0, "ending": "cancelled"}


def found(*records, **settings):
    return lost.check(history(*records, **settings))


def test_a_clean_history_has_no_finding():
    refused = attempt("b", status=503, is_signed=False)
    assert found(attempt(), run(), refused) == []


@pytest.mark.parametrize(
    "changes",
    [
        CUT,
        {"ending": "no answer", "first_at": None, "status": 0},
        {"status": 502, "is_signed": False},
        {"status": 504, "is_signed": False, "ended_at": 109.0},
    ],
)
def test_an_end_without_answer_is_found(changes):
    (finding,) = found(attempt(**changes), run(**CUT_RUN))
    assert isinstance(finding, LostRequest)
    assert finding.request_ids == ("a",)
    assert finding.hosts == ("host-1",)


@pytest.mark.parametrize("ending", ["left", "open"])
def test_a_request_without_end_after_its_time_is_found(ending):
    late = attempt(ending=ending, first_at=None, status=0, ended_at=115.6)
    (finding,) = found(late)
    assert isinstance(finding, LateEnd)
    early = attempt(ending=ending, first_at=None, status=0, ended_at=104.0)
    assert found(early) == []


EXCUSES = [
    strike("host_pause", "host-1", began_at=95.0, ended_at=97.0),
    strike("host_kill", "host-1", began_at=103.0, ended_at=105.0),
    strike("link_reset", "zone-1", began_at=102.0, ended_at=102.1),
    strike("region_part", "region-1", began_at=99.0, ended_at=102.0),
    strike("endpoint_kill", "endpoint-1", began_at=102.9, ended_at=104.0),
    strike("endpoint_pause", "endpoint-1", began_at=100.5, ended_at=103.0),
    strike("store_down", "store", began_at=98.0, ended_at=99.0),
]


@pytest.mark.parametrize("excuse", EXCUSES, ids=lambda s: s.kind)
def test_a_strike_excuses_and_its_twin_without_is_found(excuse):
    records = attempt(**CUT), run(**CUT_RUN)
    assert found(*records, excuse) == []
    assert len(found(*records)) == 1


OTHERS = [
    strike("host_pause", "host-2", began_at=99.0, ended_at=102.0),
    strike("host_pause", "host-1", began_at=92.0, ended_at=93.9),
    strike("endpoint_kill", "endpoint-2", began_at=102.9),
    strike("endpoint_pause", "endpoint-1", began_at=101.0, ended_at=102.9),
    strike("endpoint_kill", "endpoint-1", began_at=90.0, ended_at=99.0),
    strike("configuration", "store", began_at=102.9),
    strike("host_reload", "host-1", began_at=102.9),
    strike("zone_evacuate", "zone-1", began_at=102.0, ended_at=110.0),
    strike("endpoint_leave", "endpoint-1", began_at=102.0, ended_at=110.0),
    strike("link_delay", "host-1", began_at=99.0, ended_at=110.0),
]


@pytest.mark.parametrize("other", OTHERS, ids=lambda s: s.kind)
def test_other_strikes_excuse_nothing(other):
    assert len(found(attempt(**CUT), run(**CUT_RUN), other)) == 1


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_a_disturbed_store_excuses_only_streams(kind):
    down = strike("store_down", "store", began_at=98.0, ended_at=110.0)
    assert len(found(attempt(**{**CUT, "kind": kind}), run(**CUT_RUN), down)) == 1


@pytest.mark.parametrize(
    ("sent_at", "ended_at", "run_ended_at", "count"),
    [
        (102.9, 107.9, 107.9, 0),  # at work in the last sixth of the grace time
        (103.1, 107.9, 107.9, 1),  # sent later than 3 s after the signal
        (102.9, 106.0, 106.0, 1),  # cut before the last sixth
        (102.9, 107.9, 105.0, 1),  # no longer at work
        (102.9, 109.1, 109.1, 1),  # after the grace time
    ],
)
def test_a_shutdown_excuses_only_work_at_its_end(
    sent_at, ended_at, run_ended_at, count
):
    att = attempt(**{**CUT, "sent_at": sent_at, "ended_at": ended_at})
    term = strike("host_term", "host-1", began_at=100.0)
    work = run(ended_at=run_ended_at, ending="cancelled", received_at=sent_at)
    assert len(found(att, work, term)) == count
    assert len(found(att, work)) == 1


def test_a_shutdown_follows_the_grace_time():
    att = attempt(**{**CUT, "ended_at": 103.9})
    work = run(ended_at=103.9, ending="cancelled")
    term = strike("host_term", "host-1", began_at=100.0)
    assert found(att, work, term, grace_s=4.0) == []
    assert len(found(att, work, term, grace_s=8.0)) == 1


def test_time_that_is_over_excuses():
    over = attempt(**{**CUT, "budget_s": 3.0})
    assert found(over, run(**CUT_RUN)) == []
    assert len(found(attempt(**{**CUT, "budget_s": 3.2}), run(**CUT_RUN))) == 1


def test_an_endpoint_that_broke_off_excuses():
    assert found(attempt(**CUT), run(ending="broke off", ended_at=103.0)) == []


def test_an_endpoint_that_left_excuses_from_its_exit():
    leaves = strike("endpoint_leave", "endpoint-1", began_at=98.0, ended_at=104.0)
    gone = Exit(name="endpoint-1", at=102.95, code=-9, is_expected=True)
    cut = attempt(**CUT), run(**CUT_RUN)
    assert found(*cut, leaves, gone) == []
    early = attempt(**{**CUT, "ended_at": 102.7}), run(ended_at=102.7)
    assert len(found(*early, leaves, gone)) == 1
    assert len(found(*cut, gone)) == 1


def test_a_slow_reader_may_be_cut_after_its_time():
    slow = {**CUT, "habits": ("slow reader",), "first_at": 100.0}
    assert found(attempt(**{**slow, "ended_at": 104.1}), run(**CUT_RUN)) == []
    assert len(found(attempt(**{**slow, "ended_at": 103.9}), run(**CUT_RUN))) == 1
    other = attempt(**{**slow, "ended_at": 104.1, "habits": ()})
    assert len(found(other, run(**CUT_RUN))) == 1


def test_a_store_that_turns_a_host_away_excuses_only_that_host():
    here = strike("store_turn_away", "host-1", began_at=99.0, ended_at=101.0)
    there = strike("store_turn_away", "host-2", began_at=99.0, ended_at=101.0)
    assert found(attempt(**CUT), run(**CUT_RUN), here) == []
    assert len(found(attempt(**CUT), run(**CUT_RUN), there)) == 1


def test_a_struck_forwarder_excuses_only_its_own_region():
    far = run(**CUT_RUN, region="region-2", zone="zone-2")
    killed = strike("host_kill", "host-2", began_at=102.9)
    assert found(attempt(**CUT), far, killed) == []
    assert len(found(attempt(**CUT), run(**CUT_RUN), killed)) == 1


def test_requests_that_cross_a_close_are_counted_apart():
    crossing = attempt(
        ending="no answer", status=0, first_at=None, position=2, ended_at=100.1
    )
    late = attempt(
        "b", ending="no answer", status=0, first_at=None, position=2, ended_at=100.3
    )
    first = attempt("c", ending="no answer", status=0, first_at=None, ended_at=100.1)
    passed_on = attempt(
        "d", ending="no answer", status=0, first_at=None, position=2, ended_at=100.1
    )
    whole = history(crossing, late, first, passed_on, run("d"))
    assert lost.count_excused(whole) == {lost.CROSSED: 1}
    assert {f.request_ids[0] for f in lost.check(whole)} == {"b", "c", "d"}


def test_a_request_that_was_not_sent_whole_is_not_lost():
    assert found(attempt(sent_at=None, ending="not sent", status=0)) == []


def test_excused_requests_are_counted_by_their_excuse():
    records = [attempt(**CUT), run(**CUT_RUN), attempt("b", **CUT), run("b", **CUT_RUN)]
    killed = strike("host_kill", "host-1", began_at=102.0, ended_at=104.0)
    counted = lost.count_excused(history(*records, killed))
    assert counted == {"host_kill (RULES.md, In touch (1))": 2}
    assert not lost.count_excused(history(*records))
