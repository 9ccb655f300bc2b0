"""``cactusmill explain``: where a request would go, and why."""

import json

from .asking import (
    EXIT_FAULT,
    EXIT_UNREACHABLE,
    HostUnreachableError,
    ask,
    complain,
    print_table,
)


def run(args):
    """Explain a request as one host sees it; return the exit code."""
    try:
        query = {"team": args.team, "path": args.path, "model": args.model}
        answer = ask(args.host, "/v1/explain", query)
    except HostUnreachableError as exc:
        complain(exc)
        return EXIT_UNREACHABLE
    if args.json:
        print(json.dumps(answer, indent=2))
    elif answer["decision"] == "refused":
        print(f"refused: {answer['reason']}")
        if answer.get("hosts"):
            print("hosts to use:", ", ".join(answer["hosts"]))
    else:
        print(f"route {answer['route']}, runs {answer['runs']}")
        print("hosts to use:", ", ".join(answer["hosts"]))
        print_table(
            ["ENDPOINT", "ZONE", "LOAD", "WHY"],
            [
                [e["endpoint"], e["zone"], e["load"], e["why"]]
                for e in answer["endpoints"]
            ],
        )
    return EXIT_FAULT if answer["decision"] == "refused" else 0
