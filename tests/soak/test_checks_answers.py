import pytest

from soak.checks import answers

from .records import attempt, history, run, strike


def found(*records):
    return answers.check(history(*records))


def test_a_clean_history_has_no_finding():
    refused = attempt("b", status=503, is_signed=False)
    failed = attempt("c", status=500)
    records = attempt(), run(), refused, failed, run("c", status=500)
    assert found(*records) == []


@pytest.mark.parametrize(
    ("changes", "run_changes"),
    [
        ({"is_signed": False}, {}),
        ({"echoed_id": "other"}, {}),
        ({"digest": "e" * 64}, {}),
        ({}, {"digest": "e" * 64}),
        ({}, {"status": 500}),
        ({"status": 500}, {}),
        ({}, {"ending": "broke off"}),
        ({"ending": "cut", "echoed_id": "other"}, {}),
    ],
)
def test_an_answer_that_is_not_the_endpoints_is_found(changes, run_changes):
    (finding,) = found(attempt(**changes), run(**run_changes))
    assert finding.request_ids == ("a",)


def test_an_answer_without_run_is_found_unless_its_endpoint_was_killed():
    killed = strike("endpoint_kill", "endpoint-1", began_at=100.25)
    assert len(found(attempt())) == 1
    assert found(attempt(), killed) == []


def test_a_stream_is_not_compared_by_its_digest():
    stream = attempt(kind="stream", digest="e" * 64)
    assert found(stream, run()) == []
