"""``cactusmill burn``: burn rate of the error budget per team and route."""

import json

import attrs

from ..burn import burn_rate
from .fleet_client import (
    EXIT_FAULT,
    EXIT_UNREACHABLE,
    HostUnreachableError,
    fetch_from_fleet,
    print_error,
    print_table,
)


@attrs.define
class BurnRow:
    """Burn rates of one team on one route, over the whole fleet.

    Attributes
    ----------
    team, route : str
        The team and the route that it used.
    short_rate, long_rate : float
        Burn rate over the short and the long window.
    budget_left : float
        Remaining fraction of the long window's error budget, 0 to 1.
    requests : int
        Requests within the long window.
    """

    team: str
    route: str
    short_rate: float
    long_rate: float
    budget_left: float
    requests: int


def combine(pages):
    """Sum the hosts' counts and compute burn rates.

    Parameters
    ----------
    pages : list of dict
        The hosts' ``/v1/burn`` pages.

    Returns
    -------
    list of BurnRow
    """
    objective = min(page["objective"] for page in pages)
    totals = {}
    for page in pages:
        for count in page["counts"]:
            windows = totals.setdefault((count["team"], count["route"]), {})
            good, bad = windows.get(count["window_s"], (0, 0))
            windows[count["window_s"]] = (good + count["good"], bad + count["bad"])
    rows = []
    for (team, route), windows in sorted(totals.items()):
        short, long = windows[min(windows)], windows[max(windows)]
        long_rate = burn_rate(*long, objective)
        rows.append(
            BurnRow(
                team=team,
                route=route,
                short_rate=burn_rate(*short, objective),
                long_rate=long_rate,
                budget_left=max(0.0, 1.0 - long_rate),
                requests=sum(long),
            )
        )
    return rows


def run(args):
    """Show the burn report; return the exit code."""
    try:
        pages, unreachable = fetch_from_fleet(args.host, "/v1/burn")
    except HostUnreachableError as exc:
        print_error(exc)
        return EXIT_UNREACHABLE
    rows = combine(pages)
    if args.json:
        report = {"rows": [attrs.asdict(r) for r in rows], "lost": unreachable}
        print(json.dumps(report, indent=2))
    else:
        print_table(
            ["TEAM", "ROUTE", "BURN 5 MIN", "BURN 1 H", "BUDGET LEFT", "REQUESTS"],
            [
                [
                    r.team or "(open)",
                    r.route,
                    f"{r.short_rate:.1f}",
                    f"{r.long_rate:.1f}",
                    f"{r.budget_left:.0%}",
                    r.requests,
                ]
                for r in rows
            ],
        )
    is_burning = any(min(r.short_rate, r.long_rate) > args.max_rate for r in rows)
    return EXIT_FAULT if is_burning else 0
