import pytest

from soak.checks import streams

from .records import attempt, history


def stream(request_id="a", **changes):
    return attempt(request_id, **{"kind": "resumable", "events": (1, 2, 3), **changes})


def found(*records):
    return streams.check(history(*records, events=3))


def test_a_clean_history_has_no_finding():
    cut = stream("b", ending="cut", events=(1, 2))
    resumed = stream("c", events=(3,), resumes="b")
    assert found(stream(), cut, resumed, attempt("d")) == []


@pytest.mark.parametrize("events", [(1, 3), (1, 2, 2, 3), (2, 3), (1, 2), ()])
def test_a_stream_with_a_fault_is_found(events):
    (finding,) = found(stream(events=events))
    assert finding.request_ids == ("a",)


@pytest.mark.parametrize("events", [(2, 3), (1, 2, 3), ()])
def test_a_stream_that_resumes_elsewhere_is_found(events):
    cut = stream("b", ending="cut", events=(1, 2))
    assert len(found(cut, stream("c", events=events, resumes="b"))) == 1


def test_a_stream_that_was_cut_may_be_short():
    assert found(stream(ending="cut", events=(1, 2))) == []
