"""DRAIN and EVAC: nothing is sent to endpoints and zones that have left."""

import math

from ..excuses import Excuses
from ..findings import LeftEndpointUsed, find

# By kind of strike: the time until which requests may still come.
_BOUNDS_S = {"endpoint_leave": 4.0, "zone_evacuate": 5.0}


def check(history):
    """Return the requests that reached an endpoint or a zone that had left."""
    excuses = Excuses(history)
    by_id = {att.request_id: att for att in history.attempts}
    findings = []
    for strike in excuses.of_kind(*_BOUNDS_S):
        left_at = strike.details.get("acknowledged_at", strike.began_at)
        since = left_at + _BOUNDS_S[strike.kind]
        back_at = strike.details.get("taken_back_at", strike.ended_at) or math.inf
        for run in history.runs:
            att = by_id.get(run.request_id)
            is_target = {run.endpoint, run.zone} & set(strike.targets)
            is_421 = run.ending == "refused" and run.status == 421
            if not is_target or is_421 or att is None:
                continue
            if not since < run.received_at < back_at:
                continue
            if excuses.held_up(run, att.began_at, run.received_at):
                continue
            if excuses.in_touch(att.host, run.received_at) and not excuses.on_region(
                run.region, run.received_at, run.received_at
            ):
                what = f"{run.endpoint} got it {run.received_at - left_at:.3f} s after"
                what += f" {strike.kind} of {', '.join(strike.targets)}"
                why = f"{att.host} and the hosts of {run.region} were in touch"
                findings.append(
                    find(LeftEndpointUsed, att, what, run.received_at, why=why)
                )
    return findings
