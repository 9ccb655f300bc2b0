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
    assert durations.may_end_within("chat", left_s, limit_s) == may_end
