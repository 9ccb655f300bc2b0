"""Which requests a host that exits soon can still end."""

import pytest

from cactusmill.serving.durations import Durations


@pytest.mark.parametrize(
    ("took_s", "left_s", "limit_s", "may_end"),
    [
        ([], 1.0, 0.9, True),
        ([], 1.0, 3.0, False),
        ([0.2], 1.0, 3.0, True),
        ([2.0], 1.0, 3.0, False),
        ([0.2] * 19 + [2.0], 1.0, 3.0, True),
        ([0.2] * 18 + [2.0] * 2, 1.0, 3.0, False),
        # Only the latest requests count.
        ([2.0] * 100 + [0.2] * 64, 1.0, 3.0, True),
        ([0.2], -0.1, 3.0, False),
    ],
)
def test_request_is_begun_only_if_nearly_all_before_it_fitted(
    took_s, left_s, limit_s, may_end
):
    durations = Durations()
    for duration_s in took_s:
        durations.record("chat", duration_s)
        durations.record("other", 9.0)
    assert durations.may_end_within("chat", left_s, limit_s, 0.0) == may_end


def test_requests_that_run_for_long_count_before_they_end():
    durations = Durations()
    durations.record("chat", 0.1)
    running = [durations.begin("chat", 0.0) for _ in range(3)]
    assert durations.may_end_within("chat", 2.0, 30.0, 1.0)
    assert not durations.may_end_within("chat", 2.0, 30.0, 2.5)
    for run_time in running:
        durations.end(run_time, 2.5)
    # They failed, so that their time tells nothing.
    assert durations.may_end_within("chat", 2.0, 30.0, 2.5)


@pytest.mark.parametrize("is_whole", [True, False])
def test_only_whole_responses_tell_how_long_a_request_takes(is_whole):
    durations = Durations()
    run_time = durations.begin("chat", 1.0)
    run_time.is_whole = is_whole
    durations.end(run_time, 1.5)
    assert durations.may_end_within("chat", 1.0, 30.0, 1.5) == is_whole
