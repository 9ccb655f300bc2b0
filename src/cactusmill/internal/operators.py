"""HTTP server for operators: health, metrics, status, burn and explain pages."""

import json
import urllib.parse

import attrs
import h11

from ..errors import ExchangeError
from .containment.pages import (
    HELD_PATH,
    RELEASE_PATH,
    describe_held,
    release_by_operator,
)
from .http import can_go_on, read_page_request, send_page, server_connection
from .request import is_permitted
from .routing import make_candidate, rank_hosts

_IDLE_TIMEOUT_S = 30.0
_MAX_HEAD_BYTES = 16 * 1024
_JSON = b"application/json"
PLAIN_TEXT = b"text/plain; version=0.0.4"


@attrs.frozen
class Page:
    """Response to an operator's request.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Complete body.
    content_type : bytes
        Value of the ``Content-Type`` header.
    """

    status: int
    body: bytes
    content_type: bytes = _JSON


async def serve_operator(host, stream, render=None):
    """Serve the requests on one operator's connection until it closes.

    Parameters
    ----------
    host : HostProcess or GatewayHost
        This process.
    stream : trio.abc.Stream
        The accepted connection.
    render : callable or None
        ``render(host, method, target)`` returns a :class:`Page`; None for the pages
        of a :class:`HostProcess`.
    """
    conn = server_connection(stream, _MAX_HEAD_BYTES)
    try:
        while await _serve_page(host, conn, render or _render):
            conn.h11.start_next_cycle()
    except (ExchangeError, h11.RemoteProtocolError):
        pass
    finally:
        await conn.close()


async def _serve_page(host, conn, render):
    head = await read_page_request(conn, _IDLE_TIMEOUT_S)
    if head is None:
        return False
    page = render(host, head.method, head.target.decode("latin-1"))
    await send_page(conn, head, page.status, page.content_type, page.body)
    return can_go_on(conn)


def _render(host, method, target):
    path, _, query = target.partition("?")
    args = dict(urllib.parse.parse_qsl(query))
    page = render_containment(host, method, path, args)
    if page is not None:
        return page
    pages = {
        "/healthz": lambda: Page(200, b"ok\n", PLAIN_TEXT),
        "/readyz": lambda: _readiness(host),
        "/metrics": lambda: _metrics_page(host),
        "/v1/status": lambda: _json_page(build_status(host)),
        "/v1/burn": lambda: _json_page(build_burn_counts(host)),
        "/v1/explain": lambda: _json_page(explain_request(host, args)),
    }
    page = pages.get(path)
    return page() if page else Page(404, b"no such page\n", PLAIN_TEXT)


def render_containment(host, method, path, args):
    """Return the page of what is held back or of its release, or None for others.

    Parameters
    ----------
    host : HostProcess or GatewayHost
        This process.
    method : bytes
        HTTP method.
    path : str
        Path of the page.
    args : dict of str to str
        Query arguments.

    Returns
    -------
    Page or None
    """
    if path == HELD_PATH:
        return _json_page({"held": describe_held(host.containment, host.now())})
    if path != RELEASE_PATH:
        return None
    if method != b"POST":
        return Page(405, b"a release takes POST\n", PLAIN_TEXT)
    return _json_page(release_by_operator(host.containment, args, host.now()))


def _metrics_page(host):
    accounts = {"callers": host.account, "hosts": host.forwards_account}
    page = host.metrics.render(
        collect_gauges(host), host.loop.long_turns, accounts=accounts
    )
    return Page(200, page, PLAIN_TEXT)


def _json_page(value):
    return Page(200, json.dumps(value).encode())


def _readiness(host):
    if host.ready.is_set() and not host.leaving:
        return Page(200, b"ready\n", PLAIN_TEXT)
    return Page(503, b"leaving\n" if host.leaving else b"learning\n", PLAIN_TEXT)


def collect_gauges(host):
    """Return the gauges of the metrics page by name."""
    return {
        "records_version": host.records.version,
        "hosts_version": host.host_list.version,
        "records_rejected": len(host.records.faults()) + len(host.host_list.faults()),
        "peers_reachable": sum(p.is_reachable for p in host.peers.values()),
        "faults": host.faults,
        "caller_connections": host.caller_connections,
        "ledger_entries": len(host.ledger),
        "ledger_held_bytes": host.ledger.held_bytes,
        "platform_calls": sum(s.request_count for s in host.platform_clients.values()),
        "frame_bytes_sent": host.traffic.bytes_sent,
        "event_loop_lag_seconds": host.loop.lag_s(host.now()),
        "requests_shed": host.shedder.count,
        "held_back": len(host.containment.convictions),
    }


def build_status(host):
    """Return the status page: this host's state, and its view of the fleet."""
    now = host.now()
    return {
        "host": host.cfg.host,
        "zone": host.cfg.zone,
        "region": host.cfg.region,
        "incarnation": host.incarnation,
        "leaving": host.leaving,
        "records_version": host.records.version,
        "hosts_version": host.host_list.version,
        "rejected": [
            {"version": version, "fault": str(fault)}
            for store in (host.records, host.host_list)
            for version, fault in store.faults()
        ],
        "peers": [
            {
                "host": p.host.name,
                "operators": p.host.operators,
                "reachable": p.is_reachable,
                "leaving": p.leaving,
                "records_version": p.records_version,
            }
            for p in host.peers.values()
        ],
        "teams": [
            {"team": team.name, "available_tokens": round(account.available(now))}
            for team in host.records.all("team")
            for account in [host.limiter.account(host.records, team, now)]
        ],
        "endpoints": [
            {
                "endpoint": e.name,
                "zone": e.zone,
                "leaving": not e.live or host.pool.state(e.name).leaving,
                "paused_s": max(0.0, host.pool.state(e.name).paused_until - now),
                "usable": make_candidate(e, host.pool.state(e.name), now).usable,
                "in_flight": host.pool.state(e.name).in_flight,
            }
            for e in host.host_list.all("endpoint")
        ],
    }


def build_burn_counts(host):
    """Return the burn page: counts of good and bad requests for the burn report."""
    counts = [attrs.asdict(c) for c in host.burn.counts(host.now())]
    return {"objective": host.records.policy().objective, "counts": counts}


def explain_request(host, args):
    """Return the explain page: where a request would be sent, and why.

    Parameters
    ----------
    host : HostProcess
        This process.
    args : dict of str to str
        Query arguments ``team``, ``path`` and, for model routes, ``model``.

    Returns
    -------
    dict
        Decision with the hosts to use and, if served, each endpoint's load.
    """
    route = host.records.route_for(args.get("path", ""))
    team = host.records.get("team", args.get("team", ""))
    if route is None:
        return {"decision": "refused", "reason": "UnknownRoute"}
    if team is None and not route.open:
        return {"decision": "refused", "reason": "UnknownKey"}
    if route.teams and (team is None or team.name not in route.teams):
        return {"decision": "refused", "reason": "NotPermitted"}
    hosts = [
        h.name
        for h in rank_hosts(
            [
                h
                for h in host.host_list.all("host")
                if is_permitted(h.region, team, route)
            ],
            team.name if team else "",
            host.cfg.zone,
        )
        if host.accepts_callers(host.host_list.get("host", h.name))
    ]
    if not is_permitted(host.cfg.region, team, route):
        return {"decision": "refused", "reason": "WrongRegion", "hosts": hosts}
    service = args.get("model", "") if route.kind == "model" else route.service
    return {
        "decision": "served",
        "route": route.name,
        "runs": "any number of times" if route.repeatable else "at most once",
        "hosts": hosts,
        "endpoints": _explain_endpoints(host, service, team, route),
    }


def _explain_endpoints(host, service, team, route):
    now = host.now()
    rows = []
    for endpoint in host.endpoints_for(service):
        candidate = make_candidate(endpoint, host.pool.state(endpoint.name), now)
        if not is_permitted(endpoint.region, team, route):
            why = "region not permitted"
        elif not candidate.usable:
            why = "leaving, paused by its Retry-After, or backed off"
        elif not candidate.has_capacity:
            why = "full"
        elif endpoint.zone != host.cfg.zone:
            why = "other zone: only if the own zone has no room"
        else:
            why = "candidate"
        rows.append(
            {
                "endpoint": endpoint.name,
                "zone": endpoint.zone,
                "load": round(candidate.load, 3),
                "why": why,
            }
        )
    return rows
