import pytest

from soak.checks import configuration as checker

from .records import Sample, attempt, configuration, history, run, strike

DENIED = {"is_signed": False, "key": "key-of-red"}
FIRST = configuration(10.0)


def found(*records):
    return checker.check(history(*records))


@pytest.mark.parametrize("status", [401, 403, 404])
def test_a_request_that_is_denied_though_allowed_is_found(status):
    assert len(found(FIRST, attempt(status=status, **DENIED))) == 1
    assert found(FIRST, attempt(**DENIED), run()) == []


def test_a_denial_by_a_version_that_may_be_in_force_is_none():
    added = configuration(97.0, 2, routes=("plain", "extra"))
    new = attempt(route="extra", status=404, **DENIED)
    assert found(FIRST, added, new) == []
    old = configuration(95.0, 2, routes=("plain", "extra"))
    assert len(found(FIRST, old, new)) == 1


def test_a_run_on_a_route_that_was_dropped_is_found():
    dropped = configuration(95.0, 2, routes=("other",))
    assert len(found(FIRST, dropped, attempt(), run())) == 1
    late = configuration(97.0, 2, routes=("other",))
    assert found(FIRST, late, attempt(), run()) == []


def test_a_host_out_of_touch_is_excused():
    dropped = configuration(95.0, 2, routes=("other",))
    down = strike("store_down", "store", began_at=92.0, ended_at=95.0)
    assert found(FIRST, dropped, down, attempt(), run()) == []


def test_a_version_that_goes_back_is_found():
    def sample(at, version, incarnation="i1"):
        metrics = {'cactusmill_state{name="configuration_version"}': version}
        return Sample(host="host-1", incarnation=incarnation, at=at, metrics=metrics)

    assert found(sample(1, 3), sample(2, 4), sample(3, 4)) == []
    assert len(found(sample(1, 3), sample(2, 4), sample(3, 3))) == 1
    assert found(sample(1, 3), sample(2, 0, "i2")) == []
