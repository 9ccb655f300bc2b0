"""MIXED: answers are whole, signed, their request's own and their endpoint's."""

from ..excuses import LOSS_SLACK_S, Excuses
from ..findings import MixedAnswer, find
from ..history import Ending, Kind

_STREAMS = (Kind.STREAM, Kind.RESUMABLE)


def check(history):
    """Return the answers that are not what an endpoint sent to the request."""
    excuses = Excuses(history)
    return [
        find(MixedAnswer, att, what)
        for att in history.attempts
        if (what := _find_fault(att, excuses.runs[att.request_id], excuses))
    ]


def _find_fault(att, runs, excuses):
    if att.echoed_id and att.echoed_id != att.request_id:
        return f"the answer bears the identifier {att.echoed_id}"
    if att.ending is not Ending.COMPLETE:
        return ""
    is_success = 200 <= att.status < 300
    if is_success and not att.is_signed:
        return f"status {att.status} without an endpoint's signature"
    if not att.is_signed:
        return ""
    if not runs:
        # An endpoint that is killed as it answers has not recorded its run.
        since, until = att.ended_at - LOSS_SLACK_S, att.ended_at + LOSS_SLACK_S
        if any(
            since <= s.began_at <= until
            for s in excuses.of_kind("endpoint_kill", "endpoint_crash")
        ):
            return ""
        return "a signed answer, and no endpoint has run the request"
    given = [r for r in runs if r.status == att.status]
    if not given:
        statuses = ", ".join(str(r.status) for r in runs)
        return f"signed status {att.status}, endpoints gave {statuses}"
    if not is_success:
        return ""
    whole = [r for r in given if r.ending == "answered"]
    if not whole:
        return f"complete, though each run is {given[-1].ending or 'without end'}"
    if att.kind not in _STREAMS and att.digest not in {r.digest for r in whole}:
        return f"body {att.digest[:12]} is not what {whole[-1].endpoint} sent"
    return ""
