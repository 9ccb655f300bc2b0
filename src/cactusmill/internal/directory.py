"""The directory page: hosts that a caller should use, and minted identifiers."""

import contextlib
import json

import attrs

from ..errors import BadRequestError, UnknownKey
from .caller_request import send_response
from .http import parse_count, read_body
from .request import is_permitted
from .routing import rank_hosts

DIRECTORY_PATH = "/v1/hosts"
MAX_IDENTIFIERS = 64


def list_permitted_hosts(host, team, route=None):
    """Return the hosts that a caller may use, in order of preference.

    Parameters
    ----------
    host : HostProcess
        This process.
    team : Team or None
        The caller's team.
    route : Route or None
        Route whose regions also apply.

    Returns
    -------
    list of Host
    """
    listed = [
        h
        for h in host.host_list.all("host")
        if host.accepts_callers(h)
        and (not team or not team.regions or h.region in team.regions)
        and (not route or not route.regions or h.region in route.regions)
    ]
    return rank_hosts(listed, team.name if team else "", host.cfg.zone)


async def serve_directory(host, caller):
    """Serve the directory page, with identifiers that this host mints.

    No identifier is minted while this host is shutting down or if the team does not
    permit its region.

    Returns
    -------
    Refusal or None
        None once the page was sent.
    """
    key = host.records.key_for(caller.secret) if caller.secret else None
    team = host.records.get("team", key.team) if key else None
    if team is None:
        return UnknownKey(detail="send an active key as 'Authorization: Bearer KEY'")
    with contextlib.suppress(BadRequestError):
        await read_body(caller.conn, 0)
    may_mint = is_permitted(host.cfg.region, team, _ANY_ROUTE) and not host.leaving
    count = _requested_identifiers(caller.head.target) if may_mint else 0
    minted = [host.mint(team.name) for _ in range(count)]
    page = {
        "hosts": [
            {
                "url": f"http://{h.callers}",
                "name": h.name,
                "zone": h.zone,
                "region": h.region,
            }
            for h in list_permitted_hosts(host, team)
        ],
        "identifiers": [text for text in minted if text],
        "identifier_ttl_s": host.cfg.identifier_ttl_s,
    }
    body = json.dumps(page).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send_response(host, caller, 200, headers, body)
    return None


@attrs.frozen
class _AnyRoute:
    regions: tuple = ()


_ANY_ROUTE = _AnyRoute()


def _requested_identifiers(target):
    query = target.decode("latin-1").partition("?")[2]
    for part in query.split("&"):
        name, _, value = part.partition("=")
        count = parse_count(value)
        if name == "identifiers" and count is not None:
            return min(count, MAX_IDENTIFIERS)
    return 0
