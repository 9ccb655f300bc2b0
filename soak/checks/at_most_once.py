"""TWICE: what may not be repeated runs at most once for each attempt."""

from ..excuses import Excuses
from ..findings import SecondRun, find
from ..history import Kind


def check(history):
    """Return the requests that ran more than once."""
    runs = Excuses(history).runs
    findings = []
    for att in history.attempts:
        ran = [r for r in runs[att.request_id] if r.ending != "refused"]
        if att.kind in (Kind.UNSAFE, Kind.STREAM) and len(ran) > 1:
            where = ", ".join(f"{r.endpoint} at {r.received_at:.3f} s" for r in ran)
            what = f"{att.kind.value} request ran at {where}"
            findings.append(find(SecondRun, att, what, ran[1].received_at))
    return findings
