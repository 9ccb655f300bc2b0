"""``cactusmill status``: what the fleet reports."""

import json

from .asking import (
    EXIT_FAULT,
    EXIT_UNREACHABLE,
    HostUnreachableError,
    ask_fleet,
    complain,
    print_table,
)


def run(args):
    """Show the fleet's status; return the exit code."""
    try:
        answers, lost = ask_fleet(args.host, "/v1/status")
    except HostUnreachableError as exc:
        complain(exc)
        return EXIT_UNREACHABLE
    if args.json:
        print(json.dumps({"hosts": answers, "lost": lost}, indent=2))
    else:
        _print(answers, lost)
    rejected = any(answer["rejected"] for answer in answers)
    return EXIT_FAULT if lost or rejected else 0


def _print(answers, lost):
    print_table(
        ["HOST", "ZONE", "STATE", "RECORDS", "HOST LIST", "PEERS"],
        [
            [
                a["host"],
                a["zone"],
                "leaving" if a["leaving"] else "live",
                a["records_version"],
                a["hosts_version"],
                f"{sum(p['reachable'] for p in a['peers'])}/{len(a['peers'])}",
            ]
            for a in answers
        ],
    )
    for name in lost:
        print(f"{name}  does not answer")
    print()
    _print_teams(answers)
    print()
    _print_endpoints(answers)
    for fault in sorted({r["fault"] for a in answers for r in a["rejected"]}):
        print(f"rejected: {fault}")


def _print_teams(answers):
    totals = {}
    for answer in answers:
        for row in answer["teams"]:
            name = row["team"]
            totals[name] = totals.get(name, 0) + row["available_tokens"]
    print_table(["TEAM", "TOKENS LEFT"], sorted(totals.items()))


def _print_endpoints(answers):
    rows = {}
    for answer in answers:
        for e in answer["endpoints"]:
            row = rows.setdefault(e["endpoint"], [e["endpoint"], e["zone"], "live", 0])
            if e["leaving"]:
                row[2] = "leaving"
            row[3] += e["in_flight"]
    print_table(["ENDPOINT", "ZONE", "STATE", "IN FLIGHT"], list(rows.values()))
