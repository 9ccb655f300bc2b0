"""Records of short histories for the tests of checkers."""

from soak.history import Attempt, Exit, History, Run, Sample, Strike

SETTINGS = {
    "seed": 1,
    "grace_s": 8.0,
    "host_zones": {"host-1": "zone-1", "host-2": "zone-2"},
    "zone_regions": {"zone-1": "region-1", "zone-2": "region-2"},
}


def attempt(request_id="a", **changes):
    fields = {
        "request_id": request_id,
        "caller": "caller-1",
        "team": "red",
        "region": "region-1",
        "host": "host-1",
        "route": "plain",
        "kind": "safe",
        "connection": "c1",
        "timeout_s": 15.0,
        "budget_s": 15.0,
        "began_at": 100.0,
        "sent_at": 100.0,
        "first_at": 100.1,
        "ended_at": 100.2,
        "ending": "complete",
        "status": 200,
        "is_signed": True,
        "echoed_id": request_id,
        "digest": "d" * 64,
    }
    return Attempt(**{**fields, **changes})


def run(request_id="a", **changes):
    fields = {
        "request_id": request_id,
        "endpoint": "endpoint-1",
        "service": "plain",
        "zone": "zone-1",
        "region": "region-1",
        "incarnation": "e1",
        "team": "red",
        "received_at": 100.01,
        "ended_at": 100.19,
        "ending": "answered",
        "status": 200,
        "digest": "d" * 64,
    }
    return Run(**{**fields, **changes})


def strike(kind, *targets, began_at=100.0, ended_at=None, **details):
    return Strike(
        kind=kind,
        targets=targets,
        began_at=began_at,
        ended_at=ended_at,
        details=details,
    )


def history(*records, **settings):
    result = History(settings={**SETTINGS, **settings})
    for record in records:
        result.add(record)
    return result


def configuration(at, version=1, keys=("key-of-red",), routes=("plain",), **fields):
    """Return the strike of a configuration with one team and some routes."""
    published = {
        "version": version,
        "routes": [
            {"name": name, "service": name, "max_attempts": 2, **fields}
            for name in routes
        ],
        "tenants": [
            {"name": "red", "api_keys": list(keys), "rate_per_s": 100, "burst": 200}
        ],
    }
    return strike("configuration", "store", began_at=at, configuration=published)


__all__ = ["Exit", "Sample", "attempt", "configuration", "history", "run", "strike"]
