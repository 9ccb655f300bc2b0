"""Keys, regions, rates, retries and what has left."""

import pytest

from soak.checks import keys, leaving, rate, regions, retries
from soak.findings import LeakedKey, WithdrawnKey

from .records import attempt, configuration, history, run, strike

FIRST = configuration(10.0)
OLD = {"key": "old"}


def withdrawn(at):
    return configuration(50.0, keys=("key-of-red", "old")), configuration(at, 2)


def test_a_withdrawn_key_that_is_served_too_late_is_found():
    (finding,) = keys.check(history(*withdrawn(95.9), attempt(**OLD), run()))
    assert isinstance(finding, WithdrawnKey)
    assert keys.check(history(*withdrawn(96.1), attempt(**OLD), run())) == []
    assert keys.check(history(*withdrawn(95.9), attempt(**OLD))) == []
    good = attempt(key="key-of-red")
    assert keys.check(history(*withdrawn(95.9), good, run())) == []


def test_a_withdrawn_key_that_is_given_again_may_be_served():
    again = configuration(99.0, 3, keys=("old",))
    assert keys.check(history(*withdrawn(90.0), again, attempt(**OLD), run())) == []


@pytest.mark.parametrize(
    "excuse",
    [
        strike("store_down", "store", began_at=93.0, ended_at=95.0),
        strike("host_pause", "host-1", began_at=93.0, ended_at=95.0),
        strike("host_term", "host-1", began_at=95.0, ended_at=99.0),
    ],
    ids=lambda s: s.kind,
)
def test_a_host_out_of_touch_is_excused_from_withdrawals(excuse):
    records = *withdrawn(90.0), attempt(**OLD), run()
    assert keys.check(history(*records, excuse)) == []
    assert len(keys.check(history(*records))) == 1


def test_a_key_at_an_endpoint_is_found():
    (finding,) = keys.check(history(attempt(), run(keys=("key-of-red",))))
    assert isinstance(finding, LeakedKey)


def test_a_run_outside_of_the_permitted_regions_is_found():
    bound = configuration(10.0, allowed_regions=["region-1"])
    assert regions.check(history(bound, attempt(), run())) == []
    far = run(region="region-2")
    assert len(regions.check(history(bound, attempt(), far))) == 1
    assert regions.check(history(FIRST, attempt(), far)) == []


def test_a_team_beyond_its_rate_is_found():
    # 100 tokens/s over 8 s and a burst of 200: 1000 tokens.
    def of(count, gap_s):
        for n in range(count):
            yield attempt(f"r{n}", cost_tokens=100.0, began_at=100 + n * gap_s)
            yield run(f"r{n}", received_at=100.0 + n * gap_s)

    assert rate.check(history(FIRST, *of(10, 0.1))) == []
    (finding,) = rate.check(history(FIRST, *of(11, 0.1)))
    assert len(finding.request_ids) == 11
    assert rate.check(history(FIRST, *of(11, 0.9))) == []
    assert rate.check(history(FIRST, *of(11, 0.1), bounds={"quota_slack": 100})) == []


def test_tokens_of_requests_sent_before_the_window_do_not_count():
    def of(began_at):
        for n in range(11):
            yield attempt(f"r{n}", cost_tokens=100.0, began_at=began_at)
            yield run(f"r{n}", received_at=100.0)

    assert len(rate.check(history(FIRST, *of(92.1)))) == 1
    assert rate.check(history(FIRST, *of(91.9))) == []


def test_retries_beyond_the_budget_are_found():
    def of(count, gap_s=0.1):
        for n in range(count):
            yield attempt(f"r{n}", began_at=100 + n * gap_s, ended_at=130.0)
            at = 100.01 + n * gap_s
            yield run(f"r{n}", service="plain", received_at=at, ending="refused")
            yield run(f"r{n}", service="plain", received_at=at + 0.01)

    bounds = {"retry_slack": 5}
    assert retries.check(history(FIRST, *of(6), bounds=bounds)) == []
    assert len(retries.check(history(FIRST, *of(9), bounds=bounds))) == 1
    assert retries.check(history(FIRST, *of(9, 3.0), bounds=bounds)) == []


def test_more_than_three_requests_with_too_many_runs_are_found():
    def of(count, **changes):
        for n in range(count):
            yield attempt(f"r{n}")
            for endpoint in ("e1", "e2", "e3"):
                yield run(f"r{n}", **{"endpoint": endpoint, **changes})

    assert retries.check(history(FIRST, *of(3))) == []
    (finding,) = retries.check(history(FIRST, *of(4)))
    assert len(finding.request_ids) == 4
    assert retries.check(history(FIRST, *of(4, ended_at=None))) == []


LEFT = strike("endpoint_leave", "endpoint-1", began_at=90.0, ended_at=101.0)


def test_a_request_at_an_endpoint_that_left_is_found():
    late = run(received_at=94.1)
    assert len(leaving.check(history(LEFT, attempt(), late))) == 1
    assert leaving.check(history(LEFT, attempt(), run(received_at=93.9))) == []
    rejected = run(received_at=94.1, ending="refused", status=421)
    assert leaving.check(history(LEFT, attempt(), rejected)) == []
    other = run(received_at=94.1, endpoint="endpoint-2")
    assert leaving.check(history(LEFT, attempt(), other)) == []


def test_a_request_in_an_evacuated_zone_is_found():
    emptied = strike("zone_evacuate", "zone-1", began_at=90.0, ended_at=101.0)
    assert len(leaving.check(history(emptied, attempt(), run(received_at=95.1)))) == 1
    assert leaving.check(history(emptied, attempt(), run(received_at=94.9))) == []
    assert leaving.check(history(emptied, attempt(), run(received_at=101.1))) == []


def test_hosts_out_of_touch_are_excused_from_leaving_endpoints():
    paused = strike("host_pause", "host-1", began_at=89.0, ended_at=91.0)
    assert leaving.check(history(LEFT, paused, attempt(), run(received_at=94.1))) == []


def test_an_endpoint_that_stood_still_may_read_a_request_after_it_left():
    paused = strike("endpoint_pause", "endpoint-1", began_at=93.0, ended_at=94.2)
    sent = attempt(began_at=93.5)
    late = run(received_at=94.2)
    assert leaving.check(history(LEFT, paused, sent, late)) == []
    assert len(leaving.check(history(LEFT, sent, late))) == 1
