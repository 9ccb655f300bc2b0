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
            admitted[att.team].append((ran[0].received_at, att.cost_tokens, att))
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
    """Return the tokens, the begin and the requests of the fullest window."""
    events = sorted(events, key=lambda event: event[0])
    worst, first, tokens = (0.0, 0, 0), 0, 0.0
    for last, (at, cost, _) in enumerate(events):
        tokens += cost
        while events[first][0] <= at - window_s:
            tokens -= events[first][1]
            first += 1
        worst = max(worst, (tokens, first, last + 1))
    ids = [att.request_id for _, _, att in events[worst[1] : worst[2]]]
    return worst[0], events[worst[1]][0], ids
