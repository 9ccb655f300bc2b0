"""Callers that have left, shutdown, accounts and bounds."""

import pytest

from soak.checks import accounts, bounds, errors, gone, shutdown

from .records import Exit, Sample, attempt, history, run, strike

LEFT = {"ending": "left", "status": 0, "ended_at": 101.0}
TERM = strike("host_term", "host-1", began_at=100.0)


def left(count, **run_changes):
    for n in range(count):
        yield attempt(f"r{n}", **LEFT)
        yield run(f"r{n}", **run_changes)


def test_work_for_callers_who_left_is_found():
    worked = {"ended_at": 101.6}
    assert len(gone.check(history(*left(4, **worked)))) == 1
    assert gone.check(history(*left(3, **worked))) == []
    cancelled = {"ended_at": 101.4, "ending": "cancelled"}
    assert gone.check(history(*left(40, **cancelled))) == []


def test_requests_passed_on_for_callers_who_left_are_found():
    late = {"received_at": 101.6, "ended_at": 101.7}
    assert len(gone.check(history(*left(4, **late)))) == 1
    assert gone.check(history(*left(3, **late))) == []
    paused = strike("host_pause", "host-1", began_at=100.0, ended_at=101.0)
    assert gone.check(history(paused, *left(4, **late))) == []


def test_an_endpoint_that_stood_still_reads_requests_and_closes_late():
    late = {"received_at": 101.6, "ended_at": 101.7}
    paused = strike("endpoint_pause", "endpoint-1", began_at=100.0, ended_at=101.5)
    assert gone.check(history(paused, *left(4, **late))) == []
    assert len(gone.check(history(*left(4, **late)))) == 1
    assert gone.check(history(paused, *left(4, ended_at=101.6))) == []
    assert len(gone.check(history(*left(4, ended_at=101.6)))) == 1
    other = strike("endpoint_pause", "endpoint-2", began_at=100.0, ended_at=101.5)
    assert len(gone.check(history(other, *left(4, **late)))) == 1


@pytest.mark.parametrize(
    ("at", "code", "count"), [(104.0, 0, 0), (104.0, 1, 1), (108.3, 0, 1), (108, -9, 1)]
)
def test_a_host_that_does_not_exit_as_it_should_is_found(at, code, count):
    end = Exit(name="host-1", at=at, code=code, is_expected=True)
    assert len(shutdown.check(history(TERM, end))) == count
    paused = strike("host_pause", "host-1", began_at=101.0, ended_at=103.0)
    assert shutdown.check(history(TERM, end, paused)) == []
    assert shutdown.check(history(end)) == []


def sample(read, answer, running=0, twice=0, **fields):
    counts = {"read": read, "running": running, "ended_twice": twice, "answer": answer}
    metrics = {
        f'cactusmill_account{{reason="",source="callers",state="{state}"}}': count
        for state, count in counts.items()
    }
    metrics |= fields.pop("metrics", {})
    defaults = {"host": "host-1", "incarnation": "i1", "at": 200.0}
    return Sample(**{**defaults, "metrics": metrics, **fields})


def test_an_account_that_does_not_add_up_is_found():
    refused = 'cactusmill_account{reason="Overloaded",source="callers",state="refusal"}'
    assert accounts.check(history(sample(4, 2, 1, metrics={refused: 1}))) == []
    assert len(accounts.check(history(sample(4, 2, 1)))) == 1
    assert len(accounts.check(history(sample(3, 2, 1, twice=1)))) == 1


def test_an_account_below_what_callers_saw_is_found():
    records = attempt(), attempt("b")
    assert accounts.check(history(sample(2, 2), *records)) == []
    assert len(accounts.check(history(sample(1, 1), *records))) == 1
    killed = Exit(name="host-1", at=150.0, code=-9, is_expected=True)
    assert accounts.check(history(sample(1, 1), *records, killed)) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"rss_bytes": 301 << 20},
        {"descriptors": 4101},
        {"metrics": {'cactusmill_long_turns{ran="serve"}': 1.0}},
    ],
)
def test_a_host_that_outgrows_its_bounds_is_found(fields):
    assert len(bounds.check(history(sample(0, 0, **fields)))) == 1


def test_bounds_that_are_kept_are_no_finding():
    metrics = {
        'cactusmill_long_turns{ran="no processor time"}': 3.0,
        'cactusmill_long_turns{ran="serve"}': 0.0,
    }
    kept = sample(0, 0, metrics=metrics, rss_bytes=300 << 20, descriptors=4100)
    ended = Exit(name="host-1", at=1.0, code=-9, is_expected=True)
    assert bounds.check(history(kept, ended)) == []


def test_a_process_that_ended_by_itself_is_found():
    ended = Exit(name="endpoint-1", at=1.0, code=1, is_expected=False)
    assert len(bounds.check(history(ended))) == 1


@pytest.mark.parametrize(
    "name",
    ['cactusmill_state{name="task_failures"}', 'cactusmill_events{event="fault"}'],
)
def test_an_internal_error_that_a_host_survives_is_found(name):
    before = sample(0, 0, metrics={name: 0.0})
    after = sample(0, 0, metrics={name: 2.0}, at=201.0)
    assert errors.check(history(before)) == []
    assert len(errors.check(history(before, after))) == 1
