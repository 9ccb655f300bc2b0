"""REFUSED: a request that a host refused as not run has not run, and never will."""

from ..excuses import Excuses
from ..findings import RefusedRun, find
from ..history import Ending

PROMISES = (408, 421, 429, 503)


def check(history):
    """Return the requests that were refused as not run and have run."""
    runs = Excuses(history).runs
    findings = []
    for att in history.attempts:
        is_refused = att.ending is Ending.COMPLETE and att.status in PROMISES
        ran = [r for r in runs[att.request_id] if r.ending != "refused"]
        if is_refused and not att.is_signed and ran:
            what = f"{att.kind.value} request was refused with {att.status}, and"
            what += f" {ran[0].endpoint} ran it at {ran[0].received_at:.3f} s"
            findings.append(find(RefusedRun, att, what))
    return findings
