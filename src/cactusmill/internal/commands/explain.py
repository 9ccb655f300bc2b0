"""``cactusmill explain``: where a host would send a request, and why."""

import json

from .fleet_client import (
    EXIT_FAULT,
    EXIT_UNREACHABLE,
    HostUnreachableError,
    fetch_page,
    print_error,
    print_table,
)


def run(args):
    """Print one host's routing decision for a request; return the exit code."""
    try:
        query = {"team": args.team, "path": args.path, "model": args.model}
        page = fetch_page(args.host, "/v1/explain", query)
    except HostUnreachableError as exc:
        print_error(exc)
        return EXIT_UNREACHABLE
    if args.json:
        print(json.dumps(page, indent=2))
    elif page["decision"] == "refused":
        print(f"refused: {page['reason']}")
        if page.get("hosts"):
            print("hosts to use:", ", ".join(page["hosts"]))
    else:
        print(f"route {page['route']}, runs {page['runs']}")
        print("hosts to use:", ", ".join(page["hosts"]))
        print_table(
            ["ENDPOINT", "ZONE", "LOAD", "WHY"],
            [
                [e["endpoint"], e["zone"], e["load"], e["why"]]
                for e in page["endpoints"]
            ],
        )
    return EXIT_FAULT if page["decision"] == "refused" else 0
