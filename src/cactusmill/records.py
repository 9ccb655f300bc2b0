"""Published records: zones, teams, keys, routes, policies, hosts, endpoints.

Operators publish the first five through the configuration service; the
platform's host list holds the last two.

A record names its kind and schema version. Two schema versions of one record
may be published side by side; a host uses the newest that it supports, see
:mod:`cactusmill.internal.configuration`.
"""

import functools
import re

import attrs

from .errors import RecordError
from .fields import FieldReader

DEFAULT_TIMEOUT_S = 60.0
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
_DIGEST = re.compile(r"[0-9a-f]{64}")
_ADDRESS = re.compile(r"(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d{1,5}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@attrs.frozen(kw_only=True)
class Zone:
    """An availability zone.

    Attributes
    ----------
    name, region : str
        The zone and its region.
    slots : int
        Maximum number of hosts of the zone that hold a share of the teams'
        rates. Each host holds one slot.
    """

    name: str
    region: str
    slots: int


@attrs.frozen(kw_only=True)
class Team:
    """A customer with a token rate, a burst size and permitted regions.

    Attributes
    ----------
    name : str
        The team.
    rate_tokens_per_s : float
        Rate limit summed over all hosts, in tokens per second.
    burst_tokens : float
        Burst size summed over all hosts, in tokens.
    regions : tuple of str
        Regions where the team's data may be processed; empty for all.
    weight : float
        Weight in the fair queues.
    zone_shares : dict of str to float
        Fraction of rate and burst per zone, with a sum of at most 1. Empty for
        an equal split over all published zones.
    priority : int or None
        Priority of the team's requests, 0 highest; None for each route's own.
    default_cost_tokens : float
        Cost of a request that does not state its size, in tokens.
    """

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
    regions: tuple = ()
    weight: float = 1.0
    zone_shares: dict = attrs.field(factory=dict, hash=False)
    priority: int | None = None
    default_cost_tokens: float = 0.0


@attrs.frozen(kw_only=True)
class Key:
    """An API key of a team, stored only as a digest.

    Attributes
    ----------
    name : str
        Public name of the key, safe to log.
    digest : str
        SHA-256 of the key, in hexadecimal.
    team : str
        The team that the key belongs to.
    active : bool
        False once the key is revoked (state ``"withdrawn"``).
    """

    name: str
    digest: str
    team: str
    active: bool


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix, the requests that it accepts and how they are handled.

    Attributes
    ----------
    name, prefix : str
        The route and the path prefix that selects it.
    kind : {"model", "service"}
        Whether requests are chat completions or are forwarded unchanged.
    service : str
        Service that the endpoints of a service route must serve.
    repeatable : bool
        False if a request may run at most once.
    open : bool
        True if no API key is required.
    teams, regions : tuple of str
        Teams that may use the route and regions where its requests may be
        handled; empty for all.
    timeout_s : float
        Maximum time to the first byte of the response, in seconds.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    status_path : str
        Path where callers look up a request whose outcome is unknown.
    charge_tokens : float
        Cost of a request of a service route, in tokens.
    checks_identifier : bool
        True if the endpoints themselves run an identifier at most once.
    host : str
        Host name that the route belongs to; empty for any.
    split : tuple of (str, float)
        Services with their weights, where the route has more than one.
    is_stream : bool
        True if responses are event streams.
    resumable : bool
        True if another endpoint may resume an interrupted stream after its last
        event.
    attempts : int
        Maximum number of endpoints that one request is sent to.
    objective_s : float
        Latency objective for the response or a stream's first event, in seconds.
    priority : int
        Priority of the route's requests, 0 highest.
    max_gap_s : float
        Longest pause between two events of a stream that counts as on time, in
        seconds; 0 if unknown.
    """

    name: str
    prefix: str
    kind: str
    service: str = ""
    repeatable: bool = True
    open: bool = False
    teams: tuple = ()
    regions: tuple = ()
    timeout_s: float = DEFAULT_TIMEOUT_S
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    status_path: str = ""
    charge_tokens: float = 0.0
    checks_identifier: bool = False
    host: str = ""
    split: tuple = ()
    is_stream: bool = False
    resumable: bool = False
    attempts: int = 2
    objective_s: float = 2.0
    priority: int = 0
    max_gap_s: float = 0.0


@attrs.frozen(kw_only=True)
class Service:
    """Limits and properties of a group of interchangeable endpoints.

    Attributes
    ----------
    name : str
        The service.
    max_connections : int
        Connections that one endpoint accepts, summed over all hosts.
    warmup_s : float
        Warm-up time of an endpoint after its start, in seconds.
    warmup_rate_per_s : float
        Requests that a warming endpoint accepts, summed over all hosts, per
        second; 0 for no limit.
    is_engine : bool
        True if its endpoints run models.
    kv_cache_tokens : float
        Capacity of an engine's KV cache for running and cached prompts, in tokens.
    tokens_per_event : int
        Tokens in one event of an engine's stream.
    """

    name: str
    max_connections: int = 64
    warmup_s: float = 0.0
    warmup_rate_per_s: float = 0.0
    is_engine: bool = False
    kv_cache_tokens: float = 0.0
    tokens_per_event: int = 1


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and timeouts for callers' connections.

    Attributes
    ----------
    max_head_bytes, max_body_bytes : int
        Maximum size of a request head and body, in bytes.
    head_timeout_s, idle_timeout_s : float
        Maximum time to receive a head, and between requests, in seconds.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Policy:
    """Fleet-wide limits and objectives, set by operators.

    Attributes
    ----------
    name : str
        The policy named ``"default"`` is in force.
    retry_share : float
        Retries allowed per success, 0 to 1.
    wide_area_cost_s : float
        Minimum expected saving in waiting time for a request to be sent to
        another zone while the own zone has usable endpoints, in seconds.
    objective : float
        Fraction of requests that must succeed, for the burn report.
    objective_latency_s : float
        Time to the first byte that counts as a success, in seconds.
    """

    name: str
    retry_share: float = 0.1
    wide_area_cost_s: float = 0.25
    objective: float = 0.999
    objective_latency_s: float = 2.0


@attrs.frozen(kw_only=True)
class Host:
    """A machine that runs ``cactusmilld``, from the platform's host list.

    Attributes
    ----------
    name, zone, region : str
        The host and its location.
    slot : int
        Which of the zone's shares of the teams' rates the host holds.
    callers, peers, operators : str
        ``"IP:PORT"`` for callers, other hosts and operators.
    live : bool
        False once the host is leaving the fleet.
    """

    name: str
    zone: str
    region: str
    slot: int
    callers: str
    peers: str
    operators: str = ""
    live: bool = True


@attrs.frozen(kw_only=True)
class Endpoint:
    """A back end: a model engine or a plain service.

    Attributes
    ----------
    name, zone, region : str
        The endpoint and its location.
    address : str
        ``"IP:PORT"`` of its HTTP server.
    serves : tuple of str
        Model names or services that it serves.
    capacity : int
        Maximum number of concurrent requests.
    live : bool
        False once the endpoint is leaving.
    checks_fencing : bool
        True if it refuses placement commands with an outdated fencing token.
    warmup_left_s : float
        Remaining warm-up time when the record was written, in seconds.
    started_ms : int
        Start time, in Unix milliseconds; 0 if unknown.
    sequence : int
        Counts what it has published since its start; 0 if unknown.
    """

    name: str
    zone: str
    region: str
    address: str
    serves: tuple
    capacity: int = 8
    live: bool = True
    checks_fencing: bool = False
    warmup_left_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0


@attrs.frozen(kw_only=True)
class Placement:
    """The models that operators assign to an endpoint.

    Attributes
    ----------
    name : str
        The endpoint.
    models : tuple of str
        Models, adapters and versions to load, by name.
    role : str
        Phase of inference that it runs: ``"prefill"``, ``"decode"`` or ``"both"``.
    """

    name: str
    models: tuple
    role: str = "both"


def _zone_v1(name, fields):
    return Zone(
        name=name,
        region=fields.string("region", pattern=_NAME),
        slots=fields.integer("slots", low=1, high=1000),
    )


def _team_v1(name, fields):
    return Team(
        name=name,
        rate_tokens_per_s=fields.number("rate_tokens_per_s"),
        burst_tokens=fields.number("burst_tokens"),
        regions=fields.names("regions"),
    )


def _team_v2(name, fields):
    return attrs.evolve(
        _team_v1(name, fields),
        weight=fields.number("weight", 1.0, low=0.01, high=100),
        zone_shares=fields.shares("zone_shares"),
    )


def _key_v1(name, fields):
    return Key(
        name=name,
        digest=fields.string("digest", pattern=_DIGEST),
        team=fields.string("team", pattern=_NAME),
        active=fields.string("state", choices=("active", "withdrawn")) == "active",
    )


def _route_v1(name, fields):
    route = Route(
        name=name,
        prefix=fields.string("prefix"),
        kind=fields.string("kind", choices=("model", "service")),
        service=fields.string("service", ""),
        repeatable=fields.boolean("repeatable", True),
        open=fields.boolean("open", False),
        teams=fields.names("teams"),
        regions=fields.names("regions"),
        timeout_s=fields.number("timeout_s", DEFAULT_TIMEOUT_S, low=0.01, high=3600),
        max_body_bytes=fields.integer("max_body_bytes", DEFAULT_MAX_BODY_BYTES),
        status_path=fields.string("status_path", ""),
        charge_tokens=fields.number("charge_tokens", 0.0),
        checks_identifier=fields.boolean("checks_identifier", False),
    )
    if not route.prefix.startswith("/"):
        raise RecordError(
            f"route/{name}", "prefix", f"{route.prefix!r} must start with '/'"
        )
    if route.kind == "service" and not route.service:
        raise RecordError(f"route/{name}", "service", "name what endpoints must serve")
    return route


def _policy_v1(name, fields):
    return Policy(
        name=name,
        retry_share=fields.number("retry_share", 0.1, high=1),
        wide_area_cost_s=fields.number("wide_area_cost_s", 0.25, high=60),
        objective=fields.number("objective", 0.999, low=0.5, high=0.99999),
        objective_latency_s=fields.number("objective_latency_s", 2.0, low=0.001),
    )


def _host_v1(name, fields):
    return Host(
        name=name,
        zone=fields.string("zone", pattern=_NAME),
        region=fields.string("region", pattern=_NAME),
        slot=fields.integer("slot", high=999),
        callers=fields.string("callers", pattern=_ADDRESS),
        peers=fields.string("peers", pattern=_ADDRESS),
        operators=fields.string("operators", "", pattern=_ADDRESS),
        live=fields.string("state", choices=("live", "leaving")) == "live",
    )


def _endpoint_v1(name, fields):
    return Endpoint(
        name=name,
        zone=fields.string("zone", pattern=_NAME),
        region=fields.string("region", pattern=_NAME),
        address=fields.string("address", pattern=_ADDRESS),
        serves=fields.names("serves"),
        capacity=fields.integer("capacity", 8, low=1, high=100_000),
        live=fields.string("state", choices=("live", "leaving")) == "live",
        checks_fencing=fields.boolean("checks_fencing", False),
    )


def _placement_v1(name, fields):
    return Placement(
        name=name,
        models=fields.names("models"),
        role=fields.string("role", "both", choices=("both", "prefill", "decode")),
    )


_PARSERS = {
    ("placement", 1): _placement_v1,
    ("host", 1): _host_v1,
    ("endpoint", 1): _endpoint_v1,
    ("zone", 1): _zone_v1,
    ("team", 1): _team_v1,
    ("team", 2): _team_v2,
    ("key", 1): _key_v1,
    ("route", 1): _route_v1,
    ("policy", 1): _policy_v1,
}


@functools.cache
def known_schemas(kind):
    """Return the supported schema versions of a kind, newest first."""
    return tuple(sorted((s for k, s in _PARSERS if k == kind), reverse=True))


def parse_record(kind, name, schema, body):
    """Parse and validate one published record.

    Parameters
    ----------
    kind, name : str
        Kind of object that the record describes, and the object's name.
    schema : int
        Version of the body's schema.
    body : dict
        Fields of the record.

    Returns
    -------
    Zone, Team, Key, Route, Policy, Placement, Host or Endpoint

    Raises
    ------
    RecordError
        Naming the record, the field, the bad value and how to fix it.
    """
    record = f"{kind}/{name}"
    parser = _PARSERS.get((kind, schema))
    if parser is None:
        known = ", ".join(f"{k} v{v}" for k, v in sorted(_PARSERS))
        raise RecordError(
            record, "schema", f"{kind} v{schema} is unknown here; known: {known}"
        )
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise RecordError(record, "name", f"{name!r} must match {_NAME.pattern}")
    if not isinstance(body, dict):
        raise RecordError(record, "body", f"{body!r} must hold fields")
    fields = FieldReader(record, body)
    parsed = parser(name, fields)
    fields.check_unknown()
    return parsed
