"""GONE: nobody is served long after leaving."""

from ..excuses import LATE_SLACK_S, Excuses
from ..findings import WorkedForNobody
from ..history import Ending, Kind

_FEW = 3
_MAX_SHARE = 0.25


def check(history):
    """Return the requests that were passed on, or worked on, for nobody."""
    excuses = Excuses(history)
    late, lasting, working = [], [], []
    for att in history.attempts:
        after = att.ended_at + LATE_SLACK_S
        if att.ending is not Ending.LEFT or not excuses.in_touch(att.host, after):
            continue
        runs = [r for r in excuses.runs[att.request_id] if r.ending != "refused"]
        late += [
            att
            for run in runs
            if run.received_at > after
            and not excuses.held_up(run, att.began_at, run.received_at)
        ]
        began = [r for r in runs if r.received_at <= att.ended_at]
        if att.kind is Kind.UNSAFE or not began:
            continue
        if excuses.held_up(began[-1], att.ended_at, after):
            continue
        ended_at = began[-1].ended_at
        if began[-1].ending == "cancelled" or (ended_at and ended_at > after):
            lasting.append(att)
        if ended_at and ended_at > after:
            working.append(att)
    findings = []
    if len(late) > _FEW:
        findings.append(_report(late, f"reached endpoints over {LATE_SLACK_S} s"))
    if len(working) > max(_FEW, _MAX_SHARE * len(lasting)):
        findings.append(_report(working, "were worked on 0.5 s"))
    return findings


def _report(attempts, what):
    return WorkedForNobody(
        at=attempts[-1].ended_at,
        what=f"{len(attempts)} requests {what} after their callers had left",
        why=f"more than {_FEW}; their hosts were in touch",
        request_ids=[att.request_id for att in attempts],
        hosts=sorted({att.host for att in attempts}),
    )
