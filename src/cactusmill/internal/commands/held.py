"""``cactusmill held`` and ``cactusmill release``: what crashes endpoints."""

import json

from ..containment.pages import HELD_PATH, RELEASE_PATH
from .fleet_client import (
    EXIT_FAULT,
    EXIT_UNREACHABLE,
    HostUnreachableError,
    fetch_page,
    print_error,
    print_table,
)


def run(args):
    """Show what one host holds back, as all do; return the exit code."""
    try:
        held = fetch_page(args.host, HELD_PATH)["held"]
    except HostUnreachableError as exc:
        print_error(exc)
        return EXIT_UNREACHABLE
    if args.json:
        print(json.dumps(held, indent=2))
        return 0
    print_table(
        ["DIGEST", "KIND", "HELD", "CRASHES", "LAST CRASH", "FAILED TRIALS", "NEXT"],
        [
            [
                row["digest"],
                "request" if row["is_request"] else "prompt part",
                f"{row['held_s']:.0f} s",
                row["crashes"],
                f"{row['last_crash_s']:.0f} s ago",
                row["failed_trials"],
                "none"
                if row["next_trial_s"] is None
                else f"{row['next_trial_s']:.0f} s",
            ]
            for row in held
        ],
    )
    return 0


def run_release(args):
    """Release something that is held back, on all hosts; return the exit code."""
    try:
        reply = fetch_page(
            args.host, RELEASE_PATH, {"digest": args.digest}, method="POST"
        )
    except HostUnreachableError as exc:
        print_error(exc)
        return EXIT_UNREACHABLE
    if not reply["released"]:
        print_error(reply.get("fault") or f"{args.digest} is not held back")
        return EXIT_FAULT
    print(f"released {args.digest}; the other hosts are told")
    return 0
