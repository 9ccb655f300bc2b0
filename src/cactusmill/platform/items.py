"""Decoder of items of the platform's store into changes of records.

An item has a key, a revision, which increases with each change of the store, and a
value in base64. A tombstone has no value and marks a removed key. Field names in values
are the platform's.
"""

import base64
import re

from ..errors import RecordError, SettingsError
from ..fields import FieldReader, describe, is_plain_text
from ..internal.steps import decode_base64, loads, parse_json
from ..records import CallerLimits, Endpoint, Route, Service, Team
from ..serving.catalog import (
    Configuration,
    ConfigurationChange,
    EndpointChange,
    EvacuationChange,
    UnreadableItem,
    key_digest,
)
from ..serving.positions import MAX_POSITION
from ..settings import parse_address

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
_MS_PER_S = 1000.0
# It is sent in a header of each request.
_ENDPOINT_NAME = re.compile(r"[!-~]+")
_MAX_COUNT = 1_000_000
# Times travel between hosts as 32-bit numbers of milliseconds.
_MAX_MS = 2**31 - 1


async def change_from_item(item, zones, steps):
    """Decode an item or a watch event of the store.

    Parameters
    ----------
    item : dict
        Entry of a listing or of a watch response.
    zones : dict of str to str
        Region of each availability zone.
    steps : Steps
        Divides the decoding of a configuration into steps.

    Returns
    -------
    change or None
        None for keys that the gateway does not use. A malformed key or value gives an
        :class:`UnreadableItem`, so that it affects only its own key.

    Raises
    ------
    RecordError
        If the item has no valid key or revision.
    """
    if not isinstance(item, dict):
        raise RecordError("item", "", f"{describe(item)} must be an object")
    key, revision = item.get("key"), item.get("revision")
    if not isinstance(key, str) or not isinstance(revision, int):
        raise RecordError("item", "key", f"{describe(item)} has no key and revision")
    if not 0 <= revision <= MAX_POSITION:
        raise RecordError("item", "revision", f"{describe(revision)} is no revision")
    try:
        return await _decode_change(key, revision, item, zones, steps)
    except (RecordError, ValueError) as exc:
        return UnreadableItem(
            revision=revision,
            key=key,
            problem=repr(exc),
            is_configuration=key == CONFIGURATION_KEY,
        )


async def _decode_change(key, revision, item, zones, steps):
    if not is_plain_text(key):
        raise RecordError("item", "key", f"{describe(key)} is no plain text")
    is_removed = item.get("tombstone") is True
    if key.startswith(EVACUATION_PREFIX):
        zone = key[len(EVACUATION_PREFIX) :]
        return EvacuationChange(
            revision=revision, zone=zone, is_evacuated=not is_removed
        )
    if key.startswith(ENDPOINT_PREFIX):
        name = key[len(ENDPOINT_PREFIX) :]
        endpoint = None
        if not is_removed:
            value = loads(base64.b64decode(_read_value(item), validate=True))
            endpoint = _parse_endpoint(name, _open(key, value), zones)
        return EndpointChange(revision=revision, name=name, endpoint=endpoint)
    if key == CONFIGURATION_KEY and not is_removed:
        data = await decode_base64(_read_value(item), steps)
        value = await parse_json(data, steps)
        configuration = await _parse_configuration(_open(key, value), steps)
        return ConfigurationChange(revision=revision, configuration=configuration)
    return None


def _read_value(item):
    value = item.get("value")
    if not isinstance(value, str):
        raise RecordError("item", "value", f"{describe(value)} must be a text")
    return value


def _open(key, value):
    if not isinstance(value, dict):
        raise RecordError(key, "value", f"{describe(value)} must be an object")
    return FieldReader(key, value, is_null_missing=True)


def _parse_endpoint(name, fields, zones):
    if not _ENDPOINT_NAME.fullmatch(name):
        raise RecordError(fields.record, "key", f"{describe(name)} is no header value")
    zone = fields.string("zone", choices=zones)
    address = fields.string("address")
    try:
        parse_address("address", address)
    except SettingsError as exc:
        raise RecordError(fields.record, "address", exc.problem) from exc
    return Endpoint(
        name=name,
        zone=zone,
        region=zones[zone],
        address=address,
        serves=(fields.string("service"),),
        capacity=max(1, fields.integer("slots", high=_MAX_COUNT)),
        live=fields.string("state", choices=("ready", "draining")) == "ready",
        warmup_left_s=fields.number("cold_left_ms", 0) / _MS_PER_S,
        started_ms=fields.integer("born", 0),
        sequence=fields.integer("seq", 0),
    )


async def _parse_configuration(fields, steps):
    routes = []
    for route in fields.objects("routes"):
        routes.append(_parse_route(route))
        await steps.pause()
    teams, team_by_key, priorities = {}, {}, set()
    for tenant in fields.objects("tenants", ()):
        team = _parse_team(tenant)
        teams[team.name] = team
        priorities.add(team.priority)
        for key in tenant.names("api_keys"):
            team_by_key[key_digest(key.encode("latin-1"))] = team.name
        await steps.pause()
    return Configuration(
        version=fields.integer("version"),
        routes=tuple(routes),
        teams=teams,
        team_by_key=team_by_key,
        services={s.name: s for s in map(_parse_service, fields.objects("services"))},
        team_priorities=frozenset(priorities),
        limits=_parse_limits(fields.object("limits")),
    )


def _parse_route(fields):
    kind = fields.string("kind")
    return Route(
        name=fields.string("name"),
        host=fields.string("host").lower(),
        prefix=fields.string("path_prefix"),
        kind="model" if fields.boolean("sticky", False) else "service",
        service=fields.string("service", ""),
        split=_parse_split(fields),
        # A stream is retried only after the last event that was delivered.
        repeatable=kind == "safe",
        is_stream=kind == "streaming",
        resumable=fields.boolean("resumable", False),
        open=fields.boolean("public", False),
        regions=fields.names("allowed_regions"),
        timeout_s=fields.number("timeout_ms", 60_000, high=_MAX_MS) / _MS_PER_S,
        objective_s=fields.number("target_latency_ms", 2000, high=_MAX_MS) / _MS_PER_S,
        attempts=max(1, fields.integer("max_attempts", 1, high=_MAX_COUNT)),
        priority=_read_priority(fields, 0),
        max_gap_s=fields.number("gap_aim_ms", 0, high=_MAX_MS) / _MS_PER_S,
    )


def _parse_split(fields):
    split = tuple(
        (entry.string("service"), float(entry.number("weight", 1)))
        for entry in fields.objects("traffic_split", ())
    )
    if split and not any(weight for _, weight in split):
        raise RecordError(fields.record, "traffic_split", "no weight is above 0")
    return split


def _read_priority(fields, default):
    if not fields.has("priority"):
        return default
    return fields.integer("priority", low=-_MAX_COUNT, high=_MAX_COUNT)


def _parse_service(fields):
    engine = fields.object("engine")
    return Service(
        name=fields.string("name"),
        max_connections=fields.integer("max_conns", 0, high=_MAX_COUNT) or 64,
        warmup_s=fields.number("cold_start_s", 0.0),
        warmup_rate_per_s=fields.number("cold_per_s", 0.0),
        is_engine=bool(engine.body),
        kv_cache_tokens=engine.number("kv_capacity", 0.0),
        tokens_per_event=max(1, engine.integer("stride", 1, high=_MAX_COUNT)),
    )


def _parse_team(fields):
    return Team(
        name=fields.string("name"),
        rate_tokens_per_s=fields.number("rate_per_s", 0.0),
        burst_tokens=fields.number("burst", 0.0),
        regions=fields.names("allowed_regions"),
        priority=_read_priority(fields, None),
        default_cost_tokens=fields.number("plain_tokens", 0.0),
    )


def _parse_limits(fields):
    defaults = CallerLimits()
    return CallerLimits(
        max_head_bytes=fields.integer("max_header_bytes", 0) or defaults.max_head_bytes,
        max_body_bytes=fields.integer("max_body_bytes", 0) or defaults.max_body_bytes,
        head_timeout_s=_read_ms(fields, "header_timeout_ms", defaults.head_timeout_s),
        idle_timeout_s=_read_ms(fields, "idle_timeout_ms", defaults.idle_timeout_s),
    )


def _read_ms(fields, name, default_s):
    """Return a time in seconds; the default if it is 0 or missing."""
    return fields.number(name, 0, high=_MAX_MS) / _MS_PER_S or default_s
