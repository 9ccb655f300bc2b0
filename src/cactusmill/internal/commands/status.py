"""``cactusmill status``: versions, peers, tokens and endpoints of the fleet."""

import json

from .fleet_client import (
    EXIT_FAULT,
    EXIT_UNREACHABLE,
    HostUnreachableError,
    fetch_from_fleet,
    print_error,
    print_table,
)


def run(args):
    """Show the fleet's status; return the exit code."""
    try:
        pages, unreachable = fetch_from_fleet(args.host, "/v1/status")
    except HostUnreachableError as exc:
        print_error(exc)
        return EXIT_UNREACHABLE
    if args.json:
        print(json.dumps({"hosts": pages, "lost": unreachable}, indent=2))
    else:
        _print(pages, unreachable)
    rejected = any(page["rejected"] for page in pages)
    return EXIT_FAULT if unreachable or rejected else 0


def _print(pages, unreachable):
    print_table(
        ["HOST", "ZONE", "STATE", "RECORDS", "HOST LIST", "PEERS"],
        [
            [
                page["host"],
                page["zone"],
                "leaving" if page["leaving"] else "live",
                page["records_version"],
                page["hosts_version"],
                f"{sum(p['reachable'] for p in page['peers'])}/{len(page['peers'])}",
            ]
            for page in pages
        ],
    )
    for name in unreachable:
        print(f"{name}  does not answer")
    print()
    _print_teams(pages)
    print()
    _print_endpoints(pages)
    for fault in sorted({r["fault"] for page in pages for r in page["rejected"]}):
        print(f"rejected: {fault}")


def _print_teams(pages):
    totals = {}
    for page in pages:
        for row in page["teams"]:
            name = row["team"]
            totals[name] = totals.get(name, 0) + row["available_tokens"]
    print_table(["TEAM", "TOKENS LEFT"], sorted(totals.items()))


def _print_endpoints(pages):
    rows = {}
    for page in pages:
        for e in page["endpoints"]:
            row = rows.setdefault(e["endpoint"], [e["endpoint"], e["zone"], "live", 0])
            if e["leaving"]:
                row[2] = "leaving"
            row[3] += e["in_flight"]
    print_table(["ENDPOINT", "ZONE", "STATE", "IN FLIGHT"], list(rows.values()))
