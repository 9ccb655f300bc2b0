"""Decoder of items of the platform's store into changes of records.

An item has a key, a revision, which increases with each change of the store, and a
value in base64. A tombstone has no value and marks a removed key. Field names in values
are the platform's.
"""

import base64
import json

from ..errors import RecordError
from ..internal.steps import decode_base64, parse_json
from ..records import CallerLimits, Endpoint, Route, Service, Team
from ..serving.catalog import (
    Configuration,
    ConfigurationChange,
    EndpointChange,
    EvacuationChange,
    UnreadableItem,
    key_digest,
)

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
_MS_PER_S = 1000.0
_STATES = ("ready", "draining")
# RecursionError: the value is nested too deep.
_MALFORMED = (RecordError, KeyError, TypeError, ValueError, RecursionError)


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
        None for keys that the gateway does not use. A malformed value gives an
        :class:`UnreadableItem`, so that it affects only its own key.

    Raises
    ------
    RecordError
        If the item has no valid key or revision.
    """
    if not isinstance(item, dict):
        raise RecordError("item", "", f"{item!r} must be an object")
    key, revision = item.get("key"), item.get("revision")
    if not isinstance(key, str) or not isinstance(revision, int):
        raise RecordError("item", "key", f"{item!r} has no key and revision")
    is_removed = item.get("tombstone") is True
    if key.startswith(EVACUATION_PREFIX):
        zone = key[len(EVACUATION_PREFIX) :]
        return EvacuationChange(
            revision=revision, zone=zone, is_evacuated=not is_removed
        )
    if key.startswith(ENDPOINT_PREFIX):
        return _decode_endpoint_change(
            key, revision, None if is_removed else item, zones
        )
    if key == CONFIGURATION_KEY and not is_removed:
        try:
            data = await decode_base64(item["value"], steps)
            value = _check_object(await parse_json(data, steps))
            configuration = await _parse_configuration(value, steps)
        except (*_MALFORMED, AttributeError) as exc:
            return UnreadableItem(revision=revision, key=key, problem=repr(exc))
        return ConfigurationChange(revision=revision, configuration=configuration)
    return None


def _check_object(value):
    if not isinstance(value, dict):
        raise RecordError("item", "value", f"{value!r} must be an object")
    return value


def _decode_endpoint_change(key, revision, item, zones):
    name = key[len(ENDPOINT_PREFIX) :]
    if item is None:
        return EndpointChange(revision=revision, name=name, endpoint=None)
    try:
        value = json.loads(base64.b64decode(item["value"], validate=True))
        endpoint = _parse_endpoint(name, _check_object(value), zones)
    except _MALFORMED as exc:
        return UnreadableItem(revision=revision, key=key, problem=repr(exc))
    return EndpointChange(revision=revision, name=name, endpoint=endpoint)


def _get_typed(data, name, kind, default=None):
    value = data.get(name, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise RecordError("item", name, f"{value!r} has an unexpected type")
    return value


def _parse_endpoint(name, data, zones):
    zone = _get_typed(data, "zone", str)
    state = _get_typed(data, "state", str)
    address = _get_typed(data, "address", str)
    if zone not in zones or state not in _STATES or ":" not in address:
        raise RecordError(
            "item", "zone", f"{zone!r}, {state!r} or {address!r} is invalid"
        )
    return Endpoint(
        name=name,
        zone=zone,
        region=zones[zone],
        address=address,
        serves=(_get_typed(data, "service", str),),
        capacity=max(1, _get_typed(data, "slots", int)),
        live=state == "ready",
        warmup_left_s=_get_typed(data, "cold_left_ms", int | float, 0) / _MS_PER_S,
        started_ms=int(_get_typed(data, "born", int | float, 0)),
        sequence=int(_get_typed(data, "seq", int | float, 0)),
    )


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
