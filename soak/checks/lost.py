"""LOST: each request that was read whole ends in an answer, a refusal or a cut."""

import collections
import re

from ..excuses import (
    CLOCK_SLACK_S,
    LAST_REQUEST_S,
    LATE_SLACK_S,
    LOSS_SLACK_S,
    READER_S,
    STABLE_S,
    Excuses,
)
from ..findings import LateEnd, LostRequest, find
from ..history import Ending, Kind

_FAILURES = (500, 502, 504)


CROSSED = "crossed a close, not passed on (RULES.md, LOST)"


def check(history):
    """Return the requests that were lost, and those that had no end in time."""
    return [
        find(
            LateEnd if _is_late(att) else LostRequest,
            att,
            _describe(att, runs),
            why=f"no strike on {att.host} since {STABLE_S} s before it, on the"
            " endpoints that ran it or between; its time was not over",
        )
        for att, runs, excuse in _find_unfinished(history)
        if not excuse
    ]


def count_excused(history):
    """Return the number of requests that may end unfinished, by their excuse."""
    return collections.Counter(
        re.sub(" of .*? \\(", " (", excuse)
        for _att, _runs, excuse in _find_unfinished(history)
        if excuse
    )


def _find_unfinished(history):
    """Yield the attempts without a proper end, their runs and their excuse."""
    excuses = Excuses(history)
    grace_s = history.settings.get("grace_s", 8.0)
    for att in history.attempts:
        if att.sent_at is not None and _is_unfinished(att):
            runs = excuses.runs[att.request_id]
            if crosses_close(att, runs):
                yield att, runs, CROSSED
            else:
                yield att, runs, _find_excuse(att, runs, excuses, grace_s)


def _is_late(att):
    return att.ending in (Ending.LEFT, Ending.OPEN)


def crosses_close(att, runs):
    """Return whether a request crossed its connection's close and was not read."""
    return (
        att.ending is Ending.NO_ANSWER
        and att.sent_at is not None
        and att.position > 1
        and not runs
        and att.ended_at - att.sent_at <= LOSS_SLACK_S
    )


def _is_unfinished(att):
    if att.ending is Ending.CUT and "slow reader" in att.habits and att.first_at:
        return att.ended_at < att.first_at + READER_S
    if att.ending in (Ending.CUT, Ending.NO_ANSWER):
        return True
    if att.ending is Ending.COMPLETE:
        return att.status in _FAILURES and not att.is_signed
    if _is_late(att) and att.first_at is None:
        return att.ended_at > att.sent_at + _limit_s(att) + LATE_SLACK_S
    return False


def _limit_s(att):
    return min(att.timeout_s, att.budget_s)


def _find_excuse(att, runs, excuses, grace_s):
    """Return why a request may end so, or an empty string."""
    since = att.began_at - STABLE_S
    is_late = _is_late(att)
    if not is_late and att.ended_at >= att.began_at + _limit_s(att) - CLOCK_SLACK_S:
        return "its time was over (RULES.md, LOST)"
    if att.kind in (Kind.STREAM, Kind.RESUMABLE):
        on_store = excuses.on_store(att.host, since, att.ended_at)
    else:
        on_store = ""
    return (
        excuses.on_host(att.host, since, att.ended_at)
        or on_store
        or _find_at_endpoints(att, runs, excuses)
        or _find_at_forwarder(att, runs, excuses)
        or (not is_late and _find_at_exit(att, runs, excuses, grace_s))
        or ""
    )


def _find_at_endpoints(att, runs, excuses):
    if not runs:
        # An endpoint that was struck before it read the request has no run of it.
        return excuses.on_endpoints(None, att.began_at, att.ended_at)
    last = runs[-1]
    if last.ending == "broke off":
        return "its endpoint broke off (RULES.md, LOST)"
    names = None if last.ending == "refused" else {run.endpoint for run in runs}
    return excuses.on_endpoints(names, runs[0].received_at, att.ended_at)


def _find_at_forwarder(att, runs, excuses):
    """Look at the hosts of another region in which the request ran."""
    here = excuses.region_of(att.host) or att.region
    for run in runs:
        if run.region != here:
            excuse = excuses.on_region(run.region, run.received_at, att.ended_at)
            if excuse:
                return excuse
    return ""


def _find_at_exit(att, runs, excuses, grace_s):
    for strike in excuses.of_kind("host_term"):
        term_at = strike.began_at
        last_sixth = term_at + grace_s * 5 / 6
        if (
            att.host in strike.targets
            and att.sent_at <= term_at + LAST_REQUEST_S
            and last_sixth <= att.ended_at <= term_at + grace_s + 1
            and any(r.ended_at is None or r.ended_at >= last_sixth for r in runs)
        ):
            return "at work when the grace time ended (RULES.md, LOST)"
    return ""


def _describe(att, runs):
    ran = ", ".join(f"{r.endpoint} ({r.ending or 'no end'})" for r in runs) or "no run"
    waited = att.ended_at - att.sent_at
    status = f" {att.status}" if att.status else ""
    return (
        f"{att.kind.value} request {att.position} of its connection: {att.ending.value}"
        f"{status} {waited:.3f} s after it was sent, {len(att.events)} events; {ran}"
    )
