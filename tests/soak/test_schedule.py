"""Schedules: equal for equal seeds, within the run, kept as JSON."""

import attrs
import pytest

from soak import faults, places, schedule

from .settings import small_settings

ALL = small_settings(seconds=60.0, proxies=True, faults=tuple(schedule.KINDS))


def test_equal_seeds_give_equal_schedules():
    drawn = schedule.draw_schedule(ALL, 7)
    assert drawn == schedule.draw_schedule(ALL, 7)
    assert drawn != schedule.draw_schedule(ALL, 8)


def test_a_kind_left_out_changes_nothing_of_the_others():
    some = attrs.evolve(ALL, faults=("host_pause", "configuration"))
    expected = [f for f in schedule.draw_schedule(ALL, 7) if f.kind in some.faults]
    assert list(schedule.draw_schedule(some, 7)) == expected


@pytest.mark.parametrize("seed", range(20))
def test_faults_begin_and_end_within_the_run_and_name_what_exists(seed):
    cfg = attrs.evolve(ALL, seed=seed)
    zones = places.zones(cfg)
    names = {"store", *places.hosts(cfg), *places.endpoints(cfg)}
    for fault in schedule.draw_schedule(cfg, seed):
        assert schedule.CALM_S <= fault.at_s
        assert fault.at_s + fault.for_s <= cfg.seconds - schedule.CALM_S + 0.001
        assert fault.targets
        assert set(fault.targets) <= names | set(zones) | set(zones.values())
        if fault.kind == "endpoint_pause":
            assert 0.8 <= fault.for_s <= 1.9 and len(fault.targets) <= 4


def test_all_kinds_can_be_struck():
    kinds = {f.kind for seed in range(20) for f in schedule.draw_schedule(ALL, seed)}
    missing = set(schedule.KINDS) - kinds
    assert missing <= {"rolling_restart"}
    struck_apart = {"configuration", "rolling_restart"}
    assert set(schedule.KINDS) == set(faults.ACTIONS) | struck_apart


def test_links_fail_only_with_proxies():
    cfg = attrs.evolve(ALL, proxies=False)
    kinds = {f.kind for f in schedule.draw_schedule(cfg, 1)}
    assert not any(kind.startswith(("link_", "region_")) for kind in kinds)


def test_schedules_survive_json():
    drawn = schedule.draw_schedule(ALL, 3)
    assert schedule.decode_schedule(schedule.encode_schedule(drawn)) == drawn


@pytest.mark.parametrize("text", ["{}", '[{"kind": 1}]', '[{"kind": "x", "at_s": 1}]'])
def test_malformed_schedules_are_rejected(text):
    with pytest.raises(ValueError):
        schedule.decode_schedule(text)


def test_unknown_kinds_are_named():
    with pytest.raises(ValueError, match="'flood'; use some of: endpoint_pause"):
        schedule.draw_schedule(attrs.evolve(ALL, faults=("flood",)), 1)
