"""ORDER: no event of a stream is missing, comes twice, or ends it early."""

from ..findings import BrokenOrder, find
from ..history import Ending, Kind


def check(history):
    """Return the streams that have a hole, a repetition or an early end."""
    by_id = {att.request_id: att for att in history.attempts}
    length = history.settings.get("events")
    findings = []
    for att in history.attempts:
        if att.kind not in (Kind.STREAM, Kind.RESUMABLE) or att.status != 200:
            continue
        before = by_id.get(att.resumes)
        first = before.events[-1] + 1 if before and before.events else 1
        what = _find_fault(att, first, length)
        if what:
            findings.append(find(BrokenOrder, att, what))
    return findings


def _find_fault(att, first, length):
    for due, event in enumerate(att.events, first):
        if event != due:
            return f"event {event} where {due} is due"
    last = first + len(att.events) - 1
    if att.ending is Ending.COMPLETE and length is not None and last != length:
        return f"complete after event {last} of {length}"
    return ""
