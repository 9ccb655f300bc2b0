"""Decoding of store items; a malformed item affects only its own key."""

import base64
import json

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.errors import RecordError
from cactusmill.internal.steps import Steps
from cactusmill.platform import items
from cactusmill.serving.catalog import (
    ConfigurationChange,
    EndpointChange,
    EvacuationChange,
    UnreadableItem,
    key_digest,
)
from standins.loopback import ZONES, EndpointStub, configuration

ENTRY = EndpointStub("e1", "east-a", "engines", address="127.0.0.1:9").entry()


def item(key, value, revision=7):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "revision": revision,
    }


def change_from_item(item, zones):
    async def decode():
        return await items.change_from_item(item, zones, Steps())

    return trio.run(decode)


def test_endpoint_is_decoded():
    change = change_from_item(
        item("servers/e1", {**ENTRY, "cold_left_ms": 1500}), ZONES
    )
    assert isinstance(change, EndpointChange)
    assert change.endpoint.region == "east" and change.endpoint.live
    assert change.endpoint.warmup_left_s == 1.5


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"state": "odd"},
        {"zone": "nowhere"},
        {"slots": "8"},
        {"slots": True},
        {"address": None},
        {"address": "127.0.0.1:x"},
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:" + "9" * 5000},
        {"address": "nowhere:9"},
        {"address": ":9"},
        {"service": 5},
        {"cold_left_ms": "x"},
    ],
)
def test_malformed_endpoint_is_unreadable(invalid_fields):
    change = change_from_item(item("servers/e1", {**ENTRY, **invalid_fields}), ZONES)
    assert isinstance(change, UnreadableItem)


@given(st.binary(max_size=60))
def test_random_bytes_are_unreadable(data):
    for key in ("servers/e1", "op/config"):
        change = change_from_item(item(key, data), ZONES)
        assert isinstance(change, UnreadableItem)


def test_removals_and_evacuations_are_decoded():
    removed = change_from_item(
        {"key": "servers/e1", "revision": 9, "tombstone": True}, {}
    )
    assert removed == EndpointChange(revision=9, name="e1", endpoint=None)
    assert change_from_item(item("op/evacuate/z", {}), {}) == EvacuationChange(
        revision=7, zone="z", is_evacuated=True
    )
    assert not change_from_item(
        {"key": "op/evacuate/z", "revision": 9, "tombstone": True}, {}
    ).is_evacuated


def test_configuration_holds_only_digests_of_keys():
    change = change_from_item(item("op/config", configuration(4)), ZONES)
    assert isinstance(change, ConfigurationChange)
    assert change.configuration.version == 4
    assert change.configuration.team_by_key == {key_digest(b"key-of-red"): "red"}
    assert "key-of-red" not in repr(change)


def test_item_without_key_raises():
    with pytest.raises(RecordError):
        change_from_item({"value": "x"}, ZONES)


def test_longest_pause_of_a_stream_is_read_and_may_be_missing():
    published = configuration()
    published["routes"][0]["gap_aim_ms"] = 600
    change = change_from_item(item("op/config", published), ZONES)
    assert [route.max_gap_s for route in change.configuration.routes[:2]] == [0.6, 0.0]
    published["routes"][0]["gap_aim_ms"] = -1
    change = change_from_item(item("op/config", published), ZONES)
    assert isinstance(change, UnreadableItem) and "gap_aim_ms" in change.problem


def test_priorities_of_teams_are_collected():
    """Without them requests of ranked services follow their team's priority."""
    published = configuration()
    red = published["tenants"][0]
    published["tenants"] = [{**red, "priority": 1}, {**red, "name": "blue"}]
    change = change_from_item(item("op/config", published), ZONES)
    assert change.configuration.team_priorities == {1, None}
