"""Schedules of faults, drawn from a seed.

Each kind of fault draws from a generator of its own, so that leaving out one kind
changes nothing of the others. Times are seconds since the start of the run's load.
"""

import json
import random

import attrs

from . import configurations, places

# Nothing strikes in the first seconds, and what began ends before the run does.
CALM_S = 2.0
_SILENCE_S = (0.8, 1.9)
_PAUSE_S = (0.8, 8.0)
# Endpoints that are silent at once, and the share of silences that strike a zone.
_MOST_SILENT, _ZONE_SHARE = 4, 0.3


@attrs.frozen(kw_only=True)
class Fault:
    """One fault.

    Attributes
    ----------
    kind : str
        A name of `KINDS`.
    at_s, for_s : float
        When it begins, and for how long it lasts; 0 for what has no duration.
    targets : tuple of str
        Names of hosts, endpoints or zones, or ``"store"``.
    details : dict
        Parameters of the kind.
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    targets: tuple = attrs.field(default=(), converter=tuple)
    details: dict = attrs.field(factory=dict)


def _series(kind, gap_s, for_s, choose, details=None):
    """Return how to draw a series of faults of a kind.

    Parameters
    ----------
    gap_s, for_s : (float, float)
        Range of the pauses between them, and of their durations, in seconds.
    choose : callable
        ``choose(cfg, rng)`` returns the targets of one.
    details : callable or None
        ``details(cfg, rng)`` returns its parameters.
    """

    def draw(cfg, rng):
        faults = []
        at_s = CALM_S + rng.uniform(0, gap_s[1])
        while True:
            lasts_s = rng.uniform(*for_s)
            if at_s + lasts_s > cfg.seconds - CALM_S:
                return faults
            faults.append(
                Fault(
                    kind=kind,
                    at_s=round(at_s, 3),
                    for_s=round(lasts_s, 3),
                    targets=choose(cfg, rng),
                    details=details(cfg, rng) if details else {},
                )
            )
            at_s += rng.uniform(*gap_s)

    return draw


def _some_endpoints(cfg, rng):
    """Return one to four endpoints, at times all of one zone."""
    zones = places.endpoints(cfg)
    if rng.random() < _ZONE_SHARE:
        zone = rng.choice(list(places.zones(cfg)))
        return [name for name in zones if zones[name][0] == zone][:_MOST_SILENT]
    return rng.sample(list(zones), min(len(zones), rng.choice((1, 2, _MOST_SILENT))))


def _one_endpoint(cfg, rng):
    return [rng.choice(list(places.endpoints(cfg)))]


def _one_host(cfg, rng):
    return [rng.choice(list(places.hosts(cfg)))]


def _all_hosts(cfg, rng):
    names = list(places.hosts(cfg))
    rng.shuffle(names)
    return names


def _one_zone(cfg, rng):
    return [rng.choice(list(places.zones(cfg)))]


def _store(_cfg, _rng):
    return ["store"]


def _down(_cfg, rng):
    return {"down": rng.choice(("503", "429", "reset", "silent"))}


def _grace(cfg, _rng):
    return {"grace_s": cfg.grace_s}


def _plant(kind, details):
    """Return how to draw a misbehaviour of one endpoint."""
    return _series(
        kind, (4.0, 12.0), (1.0, 4.0), _one_endpoint, lambda _cfg, _rng: details
    )


def _store_series(kind, for_s, details=None):
    """Return how to draw a failure of the store."""
    return _series(kind, (4.0, 15.0), for_s, _store, details)


def _link_series(kind, for_s, details):
    """Return how to draw a failure of the proxies before a host or an endpoint."""

    def choose(cfg, rng):
        return rng.choice((_one_host, _one_endpoint))(cfg, rng)

    draw = _series(kind, (3.0, 8.0), for_s, choose, details)
    return lambda cfg, rng: draw(cfg, rng) if cfg.proxies else []


def _part_series(kind):
    """Return how to draw the parting of a region's hosts from all other hosts."""

    def choose(cfg, rng):
        return [rng.choice(sorted(set(places.zones(cfg).values())))]

    draw = _series(kind, (10.0, 20.0), (1.0, 5.0), choose)
    return lambda cfg, rng: draw(cfg, rng) if cfg.proxies else []


def _silence(*choices):
    return lambda _cfg, rng: {"silence": rng.choice(choices)}


# How each kind is drawn: ``KINDS[name](cfg, rng)`` returns its faults.
KINDS = {
    "endpoint_pause": _series(
        "endpoint_pause", (0.3, 1.5), _SILENCE_S, _some_endpoints
    ),
    "configuration": _series(
        "configuration",
        (0.3, 3.0),
        (0.0, 0.0),
        _store,
        lambda _cfg, rng: configurations.draw_change(rng),
    ),
    "host_term": _series("host_term", (2.0, 6.0), (0.2, 2.0), _one_host, _grace),
    "rolling_restart": _series(
        "rolling_restart", (20.0, 40.0), (0.2, 1.0), _all_hosts, _grace
    ),
    "host_kill": _series("host_kill", (4.0, 10.0), (0.2, 3.0), _one_host),
    "host_pause": _series("host_pause", (4.0, 10.0), _PAUSE_S, _one_host),
    "host_reload": _series("host_reload", (2.0, 6.0), (0.0, 0.0), _one_host),
    "endpoint_kill": _series(
        "endpoint_kill",
        (3.0, 8.0),
        (0.5, 3.0),
        _one_endpoint,
        lambda _cfg, rng: {
            "new_name": rng.random() < 0.5,
            "cold_s": rng.choice((0, 2, 5)),
        },
    ),
    "endpoint_leave": _series(
        "endpoint_leave",
        (5.0, 12.0),
        (4.0, 6.0),
        _one_endpoint,
        lambda _cfg, rng: {"says_so": rng.random() < 0.7},
    ),
    "endpoint_break_off": _plant("endpoint_break_off", {"count": 2}),
    "endpoint_spoil": _plant("endpoint_spoil", {"count": 2}),
    "endpoint_lose": _plant("endpoint_lose", {"count": 2}),
    "endpoint_slow": _plant("endpoint_slow", {"factor": 3.0}),
    "endpoint_crash": _series("endpoint_crash", (8.0, 15.0), (0.5, 2.0), _one_endpoint),
    "store_down": _store_series("store_down", (0.5, 5.0), _down),
    "store_slow": _store_series(
        "store_slow", (1.0, 6.0), lambda _cfg, rng: {"slow_s": rng.uniform(0.1, 1.0)}
    ),
    "store_stale": _store_series(
        "store_stale", (1.0, 6.0), lambda _cfg, rng: {"stale_s": rng.uniform(1.0, 5.0)}
    ),
    "store_forget": _store_series("store_forget", (0.0, 0.0)),
    "store_turn_away": _series(
        "store_turn_away", (4.0, 12.0), (1.0, 8.0), _one_host, _down
    ),
    "store_copy": _series(
        "store_copy",
        (10.0, 25.0),
        (0.5, 2.0),
        _store,
        lambda _cfg, rng: {"age_s": round(rng.uniform(1.0, 5.0), 3)},
    ),
    "zone_evacuate": _series("zone_evacuate", (8.0, 20.0), (3.0, 8.0), _one_zone),
    "link_delay": _link_series(
        "link_delay", (1.0, 5.0), lambda _cfg, rng: {"delay_s": rng.uniform(0.02, 0.5)}
    ),
    "link_reset": _link_series(
        "link_reset", (0.0, 0.0), lambda _cfg, rng: {"share": rng.choice((0.3, 1.0))}
    ),
    "link_one_way": _link_series("link_one_way", (0.5, 4.0), _silence("in", "out")),
    "link_silence": _link_series("link_silence", (0.5, 4.0), _silence("both", "stall")),
    "region_part": _part_series("region_part"),
}


def draw_schedule(cfg, seed):
    """Return the faults of a run in the order of their times.

    Parameters
    ----------
    cfg : SoakSettings
        Settings of the run; `faults` names the kinds.
    seed : int
        Equal seeds and settings give equal schedules.

    Raises
    ------
    ValueError
        If a kind is unknown.
    """
    unknown = [kind for kind in cfg.faults if kind not in KINDS]
    if unknown:
        known = ", ".join(KINDS)
        raise ValueError(f"unknown fault {unknown[0]!r}; use some of: {known}")
    faults = []
    for kind in cfg.faults:
        faults += KINDS[kind](cfg, random.Random(f"{seed}:{kind}"))
    return tuple(sorted(faults, key=lambda f: (f.at_s, f.kind)))


def encode_schedule(schedule):
    """Return a schedule as JSON."""
    return json.dumps([attrs.asdict(fault) for fault in schedule], indent=1)


def decode_schedule(text):
    """Return the schedule in a JSON document.

    Raises
    ------
    ValueError
        If it holds no list of faults, or an unknown kind.
    """
    try:
        entries = json.loads(text)
        if not isinstance(entries, list):
            raise ValueError("not a schedule of faults: the document is no list")
        schedule = tuple(Fault(**fields) for fields in entries)
    except (TypeError, AttributeError) as exc:
        raise ValueError(f"not a schedule of faults: {exc}") from exc
    for fault in schedule:
        if fault.kind not in KINDS:
            raise ValueError(f"unknown fault {fault.kind!r}")
    return schedule
