"""The store's items, decoded into records and changes."""

import base64
import json

from ..errors import RecordError
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


def change_from_item(item, zones):
    """Decode an item or an event of the store.

    Parameters
    ----------
    item : dict
        Member of a listing or of a watch's answer.
    zones : dict of str to str
        Region of each availability zone.

    Returns
    -------
    change or None
        None for keys that mean nothing here.

    Raises
    ------
    RecordError
        If the member has no key or revision.
    """
    if not isinstance(item, dict):
        raise RecordError("item", "", f"{item!r} must be an object")
    key, revision = item.get("key"), item.get("revision")
    if not isinstance(key, str) or not isinstance(revision, int):
        raise RecordError("item", "key", f"{item!r} has no key and revision")
    is_gone = item.get("tombstone") is True
    if key.startswith(EVACUATION_PREFIX):
        zone = key[len(EVACUATION_PREFIX) :]
        return EvacuationChange(revision=revision, zone=zone, is_evacuated=not is_gone)
    if key.startswith(ENDPOINT_PREFIX):
        return _endpoint_change(key, revision, None if is_gone else item, zones)
    if key == CONFIGURATION_KEY and not is_gone:
        try:
            configuration = _configuration(_read_value(item))
        except (RecordError, KeyError, TypeError, ValueError, AttributeError) as exc:
            return UnreadableItem(revision=revision, key=key, problem=repr(exc))
        return ConfigurationChange(revision=revision, configuration=configuration)
    return None


def _read_value(item):
    value = json.loads(base64.b64decode(item["value"], validate=True))
    if not isinstance(value, dict):
        raise RecordError("item", "value", f"{value!r} must be an object")
    return value


def _endpoint_change(key, revision, item, zones):
    name = key[len(ENDPOINT_PREFIX) :]
    if item is None:
        return EndpointChange(revision=revision, name=name, endpoint=None)
    try:
        endpoint = _endpoint(name, _read_value(item), zones)
    except (RecordError, KeyError, TypeError, ValueError) as exc:
        return UnreadableItem(revision=revision, key=key, problem=repr(exc))
    return EndpointChange(revision=revision, name=name, endpoint=endpoint)


def _typed(data, name, kind, default=None):
    value = data.get(name, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise RecordError("item", name, f"{value!r} has another type")
    return value


def _endpoint(name, data, zones):
    zone = _typed(data, "zone", str)
    state = _typed(data, "state", str)
    address = _typed(data, "address", str)
    if zone not in zones or state not in _STATES or ":" not in address:
        raise RecordError(
            "item", "zone", f"{zone!r}, {state!r}, {address!r} is unknown"
        )
    return Endpoint(
        name=name,
        zone=zone,
        region=zones[zone],
        address=address,
        serves=(_typed(data, "service", str),),
        capacity=max(1, _typed(data, "slots", int)),
        live=state == "ready",
        warmup_left_s=_typed(data, "cold_left_ms", int | float, 0) / _MS_PER_S,
        started_ms=int(_typed(data, "born", int | float, 0)),
    )


def _configuration(data):
    routes = tuple(_route(r) for r in _typed(data, "routes", list))
    services = [_service(s) for s in _typed(data, "services", list)]
    teams, team_by_key = {}, {}
    for tenant in data.get("tenants") or ():
        team = _team(tenant)
        teams[team.name] = team
        for key in tenant.get("api_keys") or ():
            team_by_key[key_digest(key.encode("latin-1"))] = team.name
    return Configuration(
        version=_typed(data, "version", int),
        routes=routes,
        teams=teams,
        team_by_key=team_by_key,
        services={s.name: s for s in services},
        limits=_limits(data.get("limits") or {}),
    )


def _route(data):
    kind = _typed(data, "kind", str)
    split = tuple(
        (_typed(part, "service", str), float(part.get("weight", 1)))
        for part in data.get("traffic_split") or ()
    )
    return Route(
        name=_typed(data, "name", str),
        host=_typed(data, "host", str).lower(),
        prefix=_typed(data, "path_prefix", str),
        kind="model" if data.get("sticky") else "service",
        service=data.get("service") or "",
        split=split,
        # A stream may be repeated only behind its last event.
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


def _service(data):
    engine = data.get("engine") or {}
    return Service(
        name=_typed(data, "name", str),
        max_connections=data.get("max_conns") or 64,
        warmup_s=data.get("cold_start_s") or 0.0,
        warmup_rate_per_s=data.get("cold_per_s") or 0.0,
        is_engine=bool(engine),
        kv_cache_tokens=engine.get("kv_capacity") or 0.0,
        tokens_per_event=max(1, engine.get("stride") or 1),
    )


def _team(data):
    return Team(
        name=_typed(data, "name", str),
        rate_tokens_per_s=data.get("rate_per_s") or 0.0,
        burst_tokens=data.get("burst") or 0.0,
        regions=tuple(data.get("allowed_regions") or ()),
        priority=data.get("priority"),
        default_cost_tokens=data.get("plain_tokens") or 0.0,
    )


def _limits(data):
    known = CallerLimits()
    return CallerLimits(
        max_head_bytes=data.get("max_header_bytes") or known.max_head_bytes,
        max_body_bytes=data.get("max_body_bytes") or known.max_body_bytes,
        head_timeout_s=(data.get("header_timeout_ms") or 3000) / _MS_PER_S,
        idle_timeout_s=(data.get("idle_timeout_ms") or 15000) / _MS_PER_S,
    )
