"""TWICE: what may not be repeated runs at most once for each attempt."""

from ..excuses import Excuses
from ..findings import SecondRun
from ..history import Kind


def check(history):
    """Return the requests that ran more than once."""
    runs = Excuses(history).runs
    findings = []
    for att in history.attempts:
        ran = [r for r in runs[att.request_id] if r.ending != "refused"]
        if att.kind in (Kind.UNSAFE, Kind.STREAM) and len(ran) > 1:
            where = ", ".join(f"{r.endpoint} at {r.received_at:.3f} s" for r in ran)
            findings.append(
                SecondRun(
                    at=ran[1].received_at,
                    what=f"{att.kind.value} request ran at {where}",
                    request_ids=(att.request_id,),
                    hosts=(att.host,),
                )
            )
    return findings
