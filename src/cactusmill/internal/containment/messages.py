"""News about what crashes endpoints, as messages between hosts.

Times travel as ages, since the clocks of two hosts differ.
"""

from ..wire.ttypes import (
    Clearance,
    ContainmentNews,
    ConvictionEntry,
    CrashCandidate,
    CrashReport,
)
from .convictions import Conviction
from .suspicion import MAX_CANDIDATES, MAX_PARTS, Candidate

# Maximum numbers in one message, so that it fits one datagram.
MAX_CRASHES = 3
MAX_CLEARANCES = 24
MAX_CONVICTIONS = 8
MAX_OLDER_CONVICTIONS = 8
# The same in a message to a host that has just started.
MAX_FIRST_CONVICTIONS = 256
_MAX_PARTS_IN_ALL = 96
_HUNDREDTHS = 100
_MAX_AGE_MS = 2**31 - 1


def _age_ms(at, now):
    return min(_MAX_AGE_MS, max(0, int((now - at) * 1000)))


def build_news(containment, others_differ, now, is_first=False, with_hash=True):
    """Return a message with the news of this host, or None without any.

    Parameters
    ----------
    containment : CrashContainment
        The state of this host.
    others_differ : bool
        True if another host knows other decisions, so that some of the older ones are
        included.
    now : float
        Current time, in seconds.
    is_first : bool
        True if the receiver may know nothing yet: all decisions are included.
    with_hash : bool
        True to tell the hash of the decisions, even without news.

    Returns
    -------
    ContainmentNews or None
    """
    convictions = containment.convictions
    is_due = convictions.hash and (with_hash or is_first)
    if not is_due and not others_differ and not containment.has_news(now):
        return None
    if is_first:
        decisions = convictions.all()[:MAX_FIRST_CONVICTIONS]
    else:
        decisions = containment.new_convictions()[:MAX_CONVICTIONS]
        if others_differ and not convictions.is_full:
            decisions += convictions.next_round(MAX_OLDER_CONVICTIONS)
    crashes = containment.new_crashes()[:MAX_CRASHES]
    clearances = containment.new_clearances()[:MAX_CLEARANCES]
    return ContainmentNews(
        known=convictions.hash,
        crashes=[_crash_report(crash, now) for crash in crashes] or None,
        clearances=[Clearance(t, _age_ms(at, now)) for t, at in clearances] or None,
        convictions=[conviction_entry(c, now) for c in decisions] or None,
    )


def _crash_report(crash, now):
    candidates, left = [], _MAX_PARTS_IN_ALL
    for candidate in sorted(crash.candidates.values(), key=lambda c: -c.weight):
        candidates.append(_wire_candidate(candidate, max(0, left)))
        left -= len(candidate.parts)
    told = {part for candidate in candidates for part in candidate.parts}
    return CrashReport(
        crash.incarnation,
        _age_ms(crash.at, now),
        candidates,
        sorted(told & crash.proven),
    )


def build_report(containment, interruption, now):
    """Return a message that reports one interruption by a crash."""
    incarnation, candidate = containment.describe(interruption, now)
    report = CrashReport(
        incarnation,
        _age_ms(interruption.broke_at, now),
        [_wire_candidate(candidate, MAX_PARTS)],
        [],
    )
    return ContainmentNews(known=containment.convictions.hash, crashes=[report])


def conviction_news(containment, convictions, now):
    """Return a message with some decisions."""
    return ContainmentNews(
        known=containment.convictions.hash,
        convictions=[conviction_entry(c, now) for c in convictions],
    )


def _wire_candidate(candidate, max_parts):
    weight = round(candidate.weight * _HUNDREDTHS)
    return CrashCandidate(candidate.request, list(candidate.parts[:max_parts]), weight)


def conviction_entry(conviction, now):
    """Return the message form of a decision."""
    return ConvictionEntry(
        thing=conviction.thing,
        epoch=conviction.epoch,
        held=conviction.is_held,
        age_ms=_age_ms(conviction.since, now),
        crash_age_ms=_age_ms(conviction.crashed_at, now),
        trials=conviction.trials,
        crashes=conviction.crashes,
        companions=list(conviction.companions),
    )


def _read_conviction(entry, now):
    return Conviction(
        thing=entry.thing,
        epoch=entry.epoch,
        is_held=entry.held,
        since=now - entry.age_ms / 1000,
        crashed_at=now - entry.crash_age_ms / 1000,
        trials=entry.trials,
        crashes=entry.crashes,
        companions=tuple(entry.companions[:MAX_PARTS]),
    )


def apply_news(containment, news, now):
    """Apply the news of another host.

    Parameters
    ----------
    containment : CrashContainment
        The state of this host.
    news : ContainmentNews
        As received.
    now : float
        Current time, in seconds.

    Returns
    -------
    bool
        Whether the other host knows other decisions than this one now does.
    """
    # Decisions first: they explain crashes.
    for entry in news.convictions or ():
        containment.merge_conviction(_read_conviction(entry, now), now)
    for clearance in news.clearances or ():
        served_at = now - clearance.age_ms / 1000
        containment.merge_clearance(clearance.thing, served_at, now)
        containment.suspicion.expect(clearance.thing, served_at)
    for report in news.crashes or ():
        candidates = [
            Candidate(c.request, tuple(c.parts[:MAX_PARTS]), c.weight / _HUNDREDTHS)
            for c in report.candidates[:MAX_CANDIDATES]
        ]
        containment.merge_crash(
            report.incarnation,
            now - report.age_ms / 1000,
            candidates,
            set(report.proven),
            now,
        )
    return news.known != containment.convictions.hash
