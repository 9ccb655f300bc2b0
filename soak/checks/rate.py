"""QUOTA: over all hosts, no window admits more than a team's rate and burst."""

import collections

from ..excuses import Excuses, list_configurations
from ..findings import RateExceeded


def check(history):
    """Return the worst window of each team that exceeds its rate."""
    bounds = history.settings.get("bounds", {})
    window_s = bounds.get("quota_window_s", 8)
    runs = Excuses(history).runs
    teams = [t for _, cfg in list_configurations(history) for t in cfg["tenants"]]
    admitted = collections.defaultdict(list)
    for att in history.attempts:
        ran = [r for r in runs[att.request_id] if r.ending != "refused"]
        if ran:
            admitted[att.team].append((ran[0].received_at, att))
    findings = []
    for team, events in sorted(admitted.items()):
        rated = [t for t in teams if t["name"] == team and t.get("rate_per_s")]
        if not rated:
            continue
        most = max(t["rate_per_s"] * window_s + t.get("burst", 0) for t in rated)
        allowed = most * (1 + bounds.get("quota_overage", 0))
        allowed += bounds.get("quota_slack", 0)
        tokens, since, ids = _find_worst_window(events, window_s)
        if tokens > allowed:
            findings.append(
                RateExceeded(
                    at=since,
                    what=f"{team}: {tokens:.0f} tokens ran within {window_s} s,"
                    f" {allowed:.0f} are permitted",
                    request_ids=ids,
                )
            )
    return findings


def _find_worst_window(events, window_s):
    """Return tokens, begin and requests of the window in which most came and ran."""
    events = sorted(events, key=lambda event: event[0])
    worst = 0.0, 0.0, ()
    first = 0
    for last, (at, _) in enumerate(events, 1):
        while events[first][0] <= at - window_s:
            first += 1
        inside = [a for _, a in events[first:last] if a.began_at > at - window_s]
        tokens = sum(att.cost_tokens for att in inside)
        if tokens > worst[0]:
            worst = tokens, at - window_s, [att.request_id for att in inside]
    return worst
