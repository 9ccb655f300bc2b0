"""Checks of a heartbeat before it is applied.

Any program may send a datagram to a host's port, and an older or newer host may leave
out what this one needs. A heartbeat that lacks a required field, or holds a number that
nothing here can compute with, is ignored as a whole; the next one replaces it.
"""

import functools
import ipaddress

from ..errors import LinkClosedError
from ..fields import is_plain_text
from .heartbeat_contents import is_short
from .positions import MAX_POSITION

_MAX_PERMILLE = 1000


def check_heartbeat(beat):
    """Check the fields of a received heartbeat.

    Raises
    ------
    LinkClosedError
        If it cannot be applied; the message says why.
    """
    try:
        problem = _find_problem(beat)
    except (AttributeError, TypeError) as exc:
        # What is compared or iterated over is missing.
        raise LinkClosedError(f"a heartbeat lacks a field: {exc}") from exc
    if problem is not None:
        raise LinkClosedError(f"a heartbeat has no valid {problem}")


def _find_problem(beat):
    """Return which part of a heartbeat is invalid, or None."""
    if not (_is_sender(beat.sender) and all(map(_is_host, beat.members))):
        return "host"
    counts = (beat.sequence, beat.configuration_version, beat.lag_ms or 0)
    if not _are_counts(counts) or not 0 <= beat.revision <= MAX_POSITION:
        return "version"
    if not _are_counts((beat.source_age_ms or 0,)):
        return "source_age_ms"
    if not _are_demands(beat.demands or ()):
        return "demands"
    if not all(map(_is_work, beat.work or ())):
        return "work"
    if not _are_rooms(beat.forwards or ()):
        return "forwards"
    if not all(map(_is_pace, beat.paces or ())):
        return "paces"
    if not all(map(_is_rank, beat.ranks or ())):
        return "ranks"
    if not all(map(_is_summary, beat.regions or ())):
        return "regions"
    if not all(map(_is_reopening, beat.reopened or ())):
        return "reopened"
    if beat.containment is not None and not _is_news(beat.containment):
        return "containment"
    return None


def _are_counts(numbers):
    return all(number >= 0 for number in numbers)


def _is_host(entry):
    return (
        _is_identity(entry.host, entry.ip, entry.zone, entry.region, entry.incarnation)
        and entry.age_ms >= 0
    )


def _is_sender(entry):
    if is_short(entry):
        return is_plain_text(entry.incarnation) and entry.age_ms >= 0
    return _is_host(entry)


@functools.lru_cache(maxsize=8192)
def _is_identity(name, ip, zone, region, incarnation):
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        return False
    return all(map(is_plain_text, (name, zone, region, incarnation)))


def _are_demands(demands):
    return all(d.key is not None and d.tokens_per_s >= 0 for d in demands)


def _are_rooms(rooms):
    return all(r.tokens_per_s >= 0 and is_plain_text(r.serves) for r in rooms)


def _is_pace(entry):
    return entry.key is not None and _are_counts((entry.percent, entry.age_ms))


def _is_rank(entry):
    return (
        is_plain_text(entry.serves)
        and entry.priority is not None
        and _are_counts((entry.asked_tokens_per_s, entry.refused_tokens_per_s))
        and 0 <= (entry.admitted_permille or 0) <= _MAX_PERMILLE
    )


def _is_work(work):
    return (
        work.in_flight >= 0
        and 0 <= (work.patient_tokens or 0) <= work.prompt_tokens
        and (work.held_tokens or 0) >= 0
    )


def _is_summary(summary):
    return (
        is_plain_text(summary.region)
        and summary.hosts > 0
        and _are_counts((summary.heard_age_ms, summary.told_age_ms))
        and _are_demands(summary.demands)
        and all(w.wait_ms >= 0 and is_plain_text(w.serves) for w in summary.waits)
        and _are_rooms(summary.rooms or ())
        and _are_rooms(summary.forwards or ())
    )


def _is_reopening(entry):
    return is_plain_text(entry.zone) and _are_counts((entry.revision, entry.age_ms))


def _is_news(news):
    return (
        all(map(_is_conviction, news.convictions or ()))
        and all(map(_is_clearance, news.clearances or ()))
        and all(map(_is_crash, news.crashes or ()))
    )


def _is_conviction(entry):
    numbers = entry.epoch, entry.age_ms, entry.crash_age_ms, entry.trials, entry.crashes
    return (
        entry.thing is not None
        and entry.companions is not None
        and _are_counts(numbers)
    )


def _is_clearance(entry):
    return entry.thing is not None and entry.age_ms >= 0


def _is_crash(report):
    return (
        report.incarnation is not None
        and report.proven is not None
        and report.age_ms >= 0
        and all(
            c.request is not None and c.parts is not None and c.weight >= 0
            for c in report.candidates
        )
    )
