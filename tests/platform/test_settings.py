"""Validation of the platform's settings file; unknown fields are ignored."""

import json

import pytest

from cactusmill.errors import SettingsError
from cactusmill.platform.settings import (
    load_platform_settings,
    parse_platform_settings,
)

SETTINGS = {
    "node": "front-1",
    "ip": "10.1.0.25",
    "zone": "east-a",
    "region": "east",
    "zones": {"east-a": "east"},
    "listen": {
        "front": "10.1.0.25:8221",
        "ready_address": "10.1.0.25:8224",
        "control": "10.1.0.25:8229",
        "directory": "10.1.0.25:8220",
    },
    "seeds": ["10.1.0.25:8229", "10.2.0.17:8229"],
    "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 52},
    "platform": {"address": "10.200.1.7:8225"},
    "a_new_field": {"of": "tomorrow"},
}


def test_unknown_fields_are_ignored():
    cfg = parse_platform_settings(SETTINGS)
    assert cfg.host.seeds == ("10.1.0.25", "10.2.0.17")
    assert cfg.host.retry_slack == 52 and cfg.store == "10.200.1.7:8225"


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"node": None}, "node"),
        ({"node": 5}, "node"),
        ({"listen": {}}, "listen.control"),
        ({"listen": []}, "listen"),
        ({"seeds": ["nowhere"]}, "seeds.0"),
        ({"platform": {"address": "host:1"}}, "platform.address"),
        ({"bounds": {"grace_s": "8"}}, "bounds.grace_s"),
        ({"bounds": {"grace_s": float("inf")}}, "bounds.grace_s"),
        ({"bounds": {"quota_slack": float("nan")}}, "bounds.quota_slack"),
        ({"bounds": {"retry_slack": 10**400}}, "bounds.retry_slack"),
        ({"bounds": {"retry_budget_ratio": -1}}, "bounds.retry_budget_ratio"),
        ({"ip": "front-1"}, "ip"),
        ({"ip": ""}, "ip"),
        (
            {"listen": {**SETTINGS["listen"], "control": "10.1.0.25:8221"}},
            "listen",
        ),
        ({"node": "front-\ud800"}, "node"),
        ({"zones": {"east-a": ["east"]}}, "zones.east-a"),
        ({"seeds": ["10.1.0.25:²"]}, "seeds.0"),
        ({"seeds": ["10.1.0.25:" + "9" * 5000]}, "seeds.0"),
    ],
)
def test_error_names_the_invalid_field(change, place):
    with pytest.raises(SettingsError) as caught:
        parse_platform_settings({**SETTINGS, **change})
    assert caught.value.place == place


def test_missing_or_invalid_json_file(tmp_path):
    path = tmp_path / "local.json"
    with pytest.raises(SettingsError, match="cannot be read"):
        load_platform_settings(path)
    path.write_text("{")
    with pytest.raises(SettingsError, match="is not JSON"):
        load_platform_settings(path)
    for text in ("[" * 100_000, '{"node": NaN}', '{"node": %s}' % ("9" * 5000)):
        path.write_text(text)
        with pytest.raises(SettingsError, match="is not JSON"):
            load_platform_settings(path)
    path.write_bytes(b"\xff\xfe\x00")
    with pytest.raises(SettingsError, match="is not JSON"):
        load_platform_settings(path)
    path.write_text(json.dumps(SETTINGS))
    assert load_platform_settings(path).host.host == "front-1"
