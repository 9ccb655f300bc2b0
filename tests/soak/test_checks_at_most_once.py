import pytest

from soak.checks import at_most_once, not_run

from .records import attempt, history, run


@pytest.mark.parametrize("kind", ["unsafe", "stream"])
def test_a_second_run_is_found(kind):
    records = attempt(kind=kind), run(), run(endpoint="endpoint-2", received_at=100.1)
    (finding,) = at_most_once.check(history(*records))
    assert finding.at == 100.1
    assert at_most_once.check(history(*records[:2])) == []


def test_a_refused_run_and_repeatable_requests_are_no_finding():
    refused = run(endpoint="endpoint-2", ending="refused", status=503)
    assert at_most_once.check(history(attempt(kind="unsafe"), run(), refused)) == []
    again = run(endpoint="endpoint-2")
    assert at_most_once.check(history(attempt(kind="safe"), run(), again)) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_request_refused_as_not_run_that_has_run_is_found(status):
    att = attempt(kind="unsafe", status=status, is_signed=False)
    (finding,) = not_run.check(history(att, run()))
    assert finding.request_ids == ("a",)
    assert len(not_run.check(history(att, run(received_at=109.0)))) == 1


def test_true_refusals_are_no_finding():
    att = attempt(kind="unsafe", status=503, is_signed=False)
    assert not_run.check(history(att)) == []
    assert not_run.check(history(att, run(ending="refused", status=503))) == []
    failed = attempt(kind="unsafe", status=502, is_signed=False)
    assert not_run.check(history(failed, run())) == []
