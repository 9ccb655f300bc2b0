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
_STATES = ("ready", "draining")
# It is sent in a header of each request.
_ENDPOINT_NAME = re.compile(r"[!-~]+")
_MAX_COUNT = 1_000_000


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
        return UnreadableItem(revision=revision, key=key, problem=repr(exc))


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
        try:
            configuration = await _parse_configuration(_open(key, value).body, steps)
        except (KeyError, TypeError, AttributeError) as exc:
            raise RecordError(key, "", repr(exc)) from exc
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
        live=fields.string("state", choices=_STATES) == "ready",
        warmup_left_s=fields.number("cold_left_ms", 0) / _MS_PER_S,
        started_ms=fields.integer("born", 0),
        sequence=fields.integer("seq", 0),
    )


def _get_typed(data, name, kind, default=None):
    value = data.get(name, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise RecordError("item", name, f"{value!r} has an unexpected type")
    return value


async def _parse_configuration(data, steps):
    routes = []
    for route in _get_typed(data, "routes", list):
        routes.append(_parse_route(route))
        await steps.pause()
    services = [_parse_service(s) for s in _get_typed(data, "services", list)]
    teams, team_by_key = {}, {}
    for tenant in data.get("tenants") or ():
        team = _parse_team(tenant)
        teams[team.name] = team
        for key in tenant.get("api_keys") or ():
            team_by_key[key_digest(key.encode("latin-1"))] = team.name
        await steps.pause()
    return Configuration(
        version=_get_typed(data, "version", int),
        routes=tuple(routes),
        teams=teams,
        team_by_key=team_by_key,
        services={s.name: s for s in services},
        limits=_parse_limits(data.get("limits") or {}),
    )


def _parse_route(data):
    kind = _get_typed(data, "kind", str)
    traffic_split = tuple(
        (_get_typed(entry, "service", str), float(entry.get("weight", 1)))
        for entry in data.get("traffic_split") or ()
    )
    return Route(
        name=_get_typed(data, "name", str),
        host=_get_typed(data, "host", str).lower(),
        prefix=_get_typed(data, "path_prefix", str),
        kind="model" if data.get("sticky") else "service",
        service=data.get("service") or "",
        split=traffic_split,
        # A stream is retried only after the last event that was delivered.
        repeatable=kind == "safe",
        is_stream=kind == "streaming",
        resumable=bool(data.get("resumable")),
        open=bool(data.get("public")),
        regions=tuple(data.get("allowed_regions") or ()),
        timeout_s=data.get("timeout_ms", 60_000) / _MS_PER_S,
        objective_s=data.get("target_latency_ms", 2000) / _MS_PER_S,
        attempts=max(1, data.get("max_attempts") or 1),
        priority=data.get("priority") or 0,
    )


def _parse_service(data):
    engine = data.get("engine") or {}
    return Service(
        name=_get_typed(data, "name", str),
        max_connections=data.get("max_conns") or 64,
        warmup_s=data.get("cold_start_s") or 0.0,
        warmup_rate_per_s=data.get("cold_per_s") or 0.0,
        is_engine=bool(engine),
        kv_cache_tokens=engine.get("kv_capacity") or 0.0,
        tokens_per_event=max(1, engine.get("stride") or 1),
    )


def _parse_team(data):
    return Team(
        name=_get_typed(data, "name", str),
        rate_tokens_per_s=data.get("rate_per_s") or 0.0,
        burst_tokens=data.get("burst") or 0.0,
        regions=tuple(data.get("allowed_regions") or ()),
        priority=data.get("priority"),
        default_cost_tokens=data.get("plain_tokens") or 0.0,
    )


def _parse_limits(data):
    defaults = CallerLimits()
    return CallerLimits(
        max_head_bytes=data.get("max_header_bytes") or defaults.max_head_bytes,
        max_body_bytes=data.get("max_body_bytes") or defaults.max_body_bytes,
        head_timeout_s=(data.get("header_timeout_ms") or 3000) / _MS_PER_S,
        idle_timeout_s=(data.get("idle_timeout_ms") or 15000) / _MS_PER_S,
    )
