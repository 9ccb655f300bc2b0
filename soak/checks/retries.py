"""BUDGET: runs of an attempt, and retries of a service over sliding windows."""

import bisect
import collections

from ..excuses import Excuses, in_force, list_configurations
from ..findings import TooManyRetries

# So many requests may exceed their route's attempts.
_EXCEPTIONS = 3


def check(history):
    """Return requests that ran too often, and services with too many retries."""
    excuses = Excuses(history)
    versions = list_configurations(history)
    asked, repeats = collections.defaultdict(list), collections.defaultdict(list)
    beyond = []
    for att in sorted(history.attempts, key=lambda a: a.began_at):
        routes = [
            route
            for cfg in in_force(versions, att.began_at, att.ended_at)
            for route in cfg["routes"]
            if route["name"] == att.route
        ]
        if not routes:
            continue
        runs = excuses.runs[att.request_id]
        asked[routes[-1]["service"]].append(att.began_at)
        for run in runs[1:]:
            repeats[run.service].append((run.received_at, att.request_id))
        ended = [r for r in runs if r.ended_at is not None and r.ending != "refused"]
        if len({r.endpoint for r in ended}) > max(r["max_attempts"] for r in routes):
            beyond.append(att)
    findings = []
    if len(beyond) > _EXCEPTIONS:
        findings.append(
            TooManyRetries(
                at=beyond[_EXCEPTIONS].ended_at,
                what=f"{len(beyond)} requests ran at more endpoints than max_attempts",
                why=f"{_EXCEPTIONS} such requests are excused",
                request_ids=[att.request_id for att in beyond],
                hosts={att.host for att in beyond},
            )
        )
    bounds = history.settings.get("bounds", {})
    for service, events in sorted(repeats.items()):
        findings += _check_service(service, sorted(events), asked[service], bounds)
    return findings


def _check_service(service, repeats, asked, bounds):
    """Return the first window in which a service got too many retries."""
    window_s = bounds.get("retry_window_s", 10)
    ratio, slack = bounds.get("retry_budget_ratio", 0.2), bounds.get("retry_slack", 52)

    def count(until):
        since = bisect.bisect_right(asked, until - window_s)
        return bisect.bisect_right(asked, until) - since

    first = 0
    for last, (at, _) in enumerate(repeats):
        while repeats[first][0] <= at - window_s:
            first += 1
        most = max(count(at), count(at - window_s / 2), count(at - window_s))
        if last - first + 1 > ratio * most + slack:
            what = f"{service}: {last - first + 1} retries within {window_s} s"
            ids = [request_id for _, request_id in repeats[first : last + 1]]
            what += f" beside {most} requests"
            return [TooManyRetries(at=at, what=what, request_ids=ids)]
    return []
