"""What heartbeats to another zone of the region leave out.

Answers the load pattern of regions of many hosts in two or more zones: each host sends
12 heartbeats each 0.15 s, half of them between zones, where bytes are expensive. With
72 hosts, 309 of the 442 bytes of an idle heartbeat are member entries, and 77 are the
sender's own.

Hosts of a receiver's own zone send it more member entries, so a heartbeat from another
zone carries few, and only now and then. Usually it names the sender by its incarnation
alone. Between *whole* heartbeats, which carry all demands and loads, *partial* ones
carry those that changed since the last whole one. They do not depend on each other, so
a receiver that lost some knows everything again with the next whole one.

All times are seconds.
"""

import math
import operator

import attrs

from ..internal.wire.ttypes import Beat, EndpointWork, MemberNote, TeamDemand
from .heartbeats import REGION_HEARTBEAT_S

# Demands and loads are sent whole to each receiver at least this often; the demands
# change once in this time (`Quotas.snapshot_demands`).
WHOLE_INTERVAL_S = 0.6
# Rounds are late by the lag of the event loop; without a margin one would count as
# later than permitted and be whole in place of the next one.
_MARGIN_S = REGION_HEARTBEAT_S / 2
# Every how many heartbeats to a receiver name the sender in full and carry member
# entries. The first two do as well: a receiver ignores short ones of senders that it
# does not know, so that the loss of a single first one would leave it without any.
NAMED_EVERY = 4
_NAMED_FIRST = 2
# Member entries of such a heartbeat, besides new and leaving members.
FAR_ENTRIES = 2
# A zone with fewer hosts is sent heartbeats as if it were the sender's: its hosts hear
# too few of their own zone to know the rest by them.
MIN_ZONE_HOSTS = 3
# Member entries that a host receives per heartbeat on average; the same as without
# zones, so that the time when a host was last seen is as recent.
MEAN_ENTRIES = 4
# Upper limit for entries within a zone, so that a heartbeat fits one datagram.
MAX_NEAR_ENTRIES = 12
# Maximum number of different heartbeats to other zones in one round, since each is
# encoded by itself.
MAX_CONTENTS = 4
# A demand that changed by a smaller fraction is not sent again before the next whole
# heartbeat. Shares of rates follow demands of all hosts, so this is a hundredth of a
# share where hosts ask alike.
_DEMAND_CHANGE = 0.1
# Heartbeats to other zones are one of these, or partial. `NAMED` and `WHOLE` carry all
# demands and loads; `NAMED` also names the sender in full and carries member entries.
NAMED, WHOLE = "named", "whole"
_ALL_FIELDS = operator.attrgetter(*Beat.__slots__)
# Prompt tokens of this number take an engine less than 4 ms, which alters no choice.
_TOKENS_CHANGE = 128


@attrs.define(eq=False)
class Baseline:
    """Demands and loads of a whole heartbeat, and what changed in later partial ones.

    Attributes
    ----------
    sent_at : float
        When the whole heartbeat was sent, in seconds.
    demands : dict of int to int
        Its demands, in tokens per second by team key.
    work : dict of int to EndpointWork
        Its loads, by endpoint key.
    changed_demands, changed_work : set of int
        Keys that a partial heartbeat has named since. Later ones name them again, also
        if the value is back at that of the whole heartbeat.
    """

    sent_at: float
    demands: dict
    work: dict
    changed_demands: set = attrs.field(factory=set)
    changed_work: set = attrs.field(factory=set)


@attrs.define(eq=False)
class Told:
    """What one receiver in another zone was sent.

    Attributes
    ----------
    baseline : Baseline or None
        That of the last whole heartbeat; None before the first.
    named, unnamed : int
        Number of heartbeats to it that named the sender in full, and of others since.
    """

    baseline: Baseline | None = None
    named: int = 0
    unnamed: int = 0

    def record(self, content, baseline):
        """Record a heartbeat sent to the receiver, and the baseline of the next one."""
        self.baseline = baseline
        if content == NAMED:
            self.named += 1
            self.unnamed = 0
        else:
            self.unnamed += 1


def count_near_entries(zone_hosts, region_hosts):
    """Return the number of member entries in a heartbeat within a zone.

    Parameters
    ----------
    zone_hosts, region_hosts : int
        Number of hosts of the zone and of its region, including the sender.
    """
    if not MIN_ZONE_HOSTS <= zone_hosts < region_hosts:
        return MEAN_ENTRIES
    near = (zone_hosts - 1) / (region_hosts - 1)
    far_entries = (1 - near) * FAR_ENTRIES / NAMED_EVERY
    return min(MAX_NEAR_ENTRIES, math.ceil((MEAN_ENTRIES - far_entries) / near))


def choose_content(told, interval_s, now):
    """Return which heartbeat to send to a receiver in another zone.

    Parameters
    ----------
    told : Told
        What it was sent before.
    interval_s : float
        Time until the next heartbeat to it, in seconds.
    now : float
        Current time, in seconds.

    Returns
    -------
    str or Baseline
        `NAMED`, `WHOLE`, or the whole heartbeat to which a partial one refers.
    """
    if told.named < _NAMED_FIRST or told.unnamed + 1 >= NAMED_EVERY:
        return NAMED
    next_age_s = now + interval_s - told.baseline.sent_at
    return WHOLE if next_age_s > WHOLE_INTERVAL_S + _MARGIN_S else told.baseline


def group_receivers(contents):
    """Return the receivers of each different heartbeat of a round.

    Parameters
    ----------
    contents : list of (object, str or Baseline)
        Receivers in other zones, each with its heartbeat (`choose_content`).

    Returns
    -------
    dict of (str or Baseline) to list
        At most `MAX_CONTENTS`; receivers of further partial ones get a whole one.
    """
    groups = {NAMED: [], WHOLE: []}
    for receiver, content in contents:
        receivers = groups.get(content)
        if receivers is None:
            if len(groups) < MAX_CONTENTS:
                receivers = groups[content] = []
            else:
                receivers = groups[WHOLE]
        receivers.append(receiver)
    return {content: receivers for content, receivers in groups.items() if receivers}


def reduce_heartbeat(heartbeat, content, changed_entries):
    """Return the heartbeat to send to another zone.

    Parameters
    ----------
    heartbeat : Beat
        The heartbeat within the zone. Its member entries begin with those of new and
        leaving members.
    content : str or Baseline
        What the heartbeat consists of. A baseline records what changed since.
    changed_entries : int
        Number of entries of new and leaving members.

    Returns
    -------
    Beat
    """
    # copy.copy() takes several times as long.
    reduced = Beat(*_ALL_FIELDS(heartbeat))
    if content == NAMED:
        reduced.members = heartbeat.members[: changed_entries + FAR_ENTRIES]
        return reduced
    reduced.members = heartbeat.members[:changed_entries]
    reduced.sender = short_entry(heartbeat.sender)
    if content != WHOLE:
        reduced.partial = True
        reduced.demands = _select_demands(heartbeat.demands, content)
        reduced.work = _select_work(heartbeat.work, content)
    return reduced


def short_entry(entry):
    """Return a sender's entry that only receivers that know it can read."""
    return MemberNote("", "", "", "", entry.incarnation, entry.age_ms, entry.leaving)


def is_short(entry):
    """Return whether a sender is named by its incarnation only."""
    return entry.ip == ""


def make_baseline(heartbeat, now):
    """Return what a whole heartbeat told its receivers."""
    return Baseline(
        now,
        {demand.key: demand.tokens_per_s for demand in heartbeat.demands},
        {work.key: work for work in heartbeat.work},
    )


def _select_demands(demands, baseline):
    """Return the demands that a partial heartbeat names, 0 for those that ended."""
    known, changed = baseline.demands, baseline.changed_demands
    current = {demand.key: demand.tokens_per_s for demand in demands}
    if current != known:
        changed.update(
            key
            for key in current.keys() | known.keys()
            if _has_demand_changed(known.get(key, 0), current.get(key, 0))
        )
    return [TeamDemand(key, current.get(key, 0)) for key in changed]


def _has_demand_changed(known, current):
    return abs(current - known) > _DEMAND_CHANGE * known


def _select_work(work, baseline):
    """Return the loads that a partial heartbeat names, 0 for those that ended."""
    known, changed = baseline.work, baseline.changed_work
    current = {entry.key: entry for entry in work}
    for key, entry in current.items():
        previous = known.get(key)
        if previous is None or _has_work_changed(previous, entry):
            changed.add(key)
    changed.update(known.keys() - current.keys())
    return [current.get(key) or EndpointWork(key, 0, 0) for key in changed]


def _has_work_changed(known, current):
    return (
        known.in_flight != current.in_flight
        or _have_tokens_changed(known.prompt_tokens, current.prompt_tokens)
        or _have_tokens_changed(known.patient_tokens, current.patient_tokens)
        or _have_tokens_changed(known.held_tokens, current.held_tokens)
    )


def _have_tokens_changed(known, current):
    # Absent tokens count as 0.
    return known != current and abs((known or 0) - (current or 0)) > _TOKENS_CHANGE


def merge_changes(known, changes):
    """Return values by key after a partial heartbeat, without those that ended.

    Parameters
    ----------
    known : dict
        Values by key before it: numbers, or tuples of numbers.
    changes : dict
        Values that changed; 0 or only zeros if there is none left.
    """
    merged = {**known, **changes}
    for key, value in changes.items():
        if not (any(value) if isinstance(value, tuple) else value):
            del merged[key]
    return merged
