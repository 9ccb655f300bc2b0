"""Membership: the hosts of the fleet as one host knows them.

There is no central list of hosts. Each host sends heartbeats that report itself
and other hosts it knows, each with the age of that information. The most recent
report about a host wins, so the entry of a dead host expires everywhere at the
same time.

Hosts of the local region report their demands (tokens that each team requests per
second) individually. Of every other region only totals are kept, as reported by any
of its hosts, so the state received grows with the region and not with the fleet.

A member is live while it has been seen recently, unresponsive when it has not, and
removed after a longer time. All times are seconds of the process's monotonic clock.
"""

import collections
import math

import attrs

from ..internal.shedding import ShedAverage
from .heartbeats import REGION_HEARTBEAT_S
from .region_load import RegionLoad

# A host of the local region that has not been seen for this long is unresponsive. Ten
# heartbeat intervals; busy hosts often pause for a second.
DEAD_AFTER_S = 1.5
# The same for hosts of other regions, which send fewer heartbeats over links that lose
# packets.
REMOTE_DEAD_AFTER_S = 3.5
# Time after which an unresponsive member is removed. It may be partitioned and still
# use its share of the teams' rates and of the retries, so this is longer than most
# partitions; the share of a dead host stays unused that long.
REMOVE_AFTER_S = 12.0
# Shares of teams' rates are not raised while a host was last seen longer ago: two
# intervals of cross-region heartbeats plus the latency between regions.
MAX_REPORT_AGE_S = 1.3
# Older entries in a heartbeat do not add a host that was removed.
_MAX_ENTRY_AGE_S = REMOTE_DEAD_AFTER_S


@attrs.frozen(kw_only=True)
class HostId:
    """Identity of one host process.

    Attributes
    ----------
    name, ip, zone, region : str
        Host name, IPv4 address and location.
    incarnation : str
        Random identifier of the process; a restarted process has another.
    """

    name: str
    ip: str
    zone: str
    region: str
    incarnation: str


@attrs.define(eq=False, kw_only=True)
class Member:
    """Last known state of another host.

    Attributes
    ----------
    id : HostId
        Its identity.
    last_seen_at : float
        When it was last known to be alive, from its own heartbeats or from the
        reports of other hosts, in seconds.
    first_seen_at : float
        When this host first received an entry about it, in seconds.
    reported_at : float
        When its own last heartbeat arrived, in seconds; minus infinity if never.
    sequence : int
        Sequence number of its last heartbeat.
    is_leaving, is_ready : bool
        Whether it is shutting down, and whether it serves callers.
    configuration_version, revision : int
        Configuration and revision of the source that it has applied.
    history_since : int
        Revision before which it is known to lack changes of the source.
    demands : dict of int to int
        Tokens per second requested from it, by team key.
    work : dict of int to tuple of int
        Its load at each endpoint as it last reported it, by `load_key`.
    reads_partial : bool
        Whether it reads heartbeats that tell only what changed.
    lag_s : float
        Lag of its event loop, in seconds; 0 if it is short.
    shed_average : ShedAverage
        Part of new requests that it has refused lately.
    source_responded_at : float
        When its source last responded, in seconds; minus infinity if never, or
        while the source fails.
    """

    id: HostId
    last_seen_at: float
    first_seen_at: float = float("-inf")
    reported_at: float = float("-inf")
    sequence: int = -1
    is_leaving: bool = False
    is_ready: bool = True
    configuration_version: int = 0
    revision: int = 0
    history_since: int = 0
    demands: dict = attrs.field(factory=dict)
    work: dict = attrs.field(factory=dict)
    reads_partial: bool = False
    lag_s: float = 0.0
    shed_average: ShedAverage = attrs.field(factory=ShedAverage)
    source_responded_at: float = float("-inf")


@attrs.frozen(kw_only=True)
class RegionTotals:
    """Demand and waits of another region, summed over its hosts.

    Attributes
    ----------
    region : str
        The region.
    hosts : int
        Its hosts, including unresponsive ones that are not removed yet.
    last_seen_at : float
        Earliest of the times when each of its hosts was last seen by the host that
        computed the totals, in seconds.
    reported_at : float
        When one of its hosts computed the totals, in seconds.
    demands : dict of int to int
        Tokens per second, by team key.
    waits : dict of str to float
        Shortest predicted wait, by service, in seconds.
    rooms, forwards : dict of str to float
        Room for requests of other regions, and what the region wants to forward to
        them, by service, in tokens per second. Only services whose capacity is divided
        between regions.
    """

    region: str
    hosts: int
    last_seen_at: float
    reported_at: float
    demands: dict
    waits: dict
    rooms: dict = attrs.field(factory=dict)
    forwards: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class Membership:
    """The other hosts of the fleet, and the totals of the other regions.

    Attributes
    ----------
    own_id : HostId
        This host.
    load : RegionLoad
        Load that the region's other hosts report.
    wants : RegionLoad
        Tokens per second that they want to forward to other regions, by service, each
        as (0, tokens).
    """

    own_id: HostId
    load: RegionLoad = attrs.field(factory=RegionLoad)
    wants: RegionLoad = attrs.field(factory=RegionLoad)
    _members: dict = attrs.field(factory=dict)
    _members_by_region: dict = attrs.field(factory=dict)
    _ids: dict = attrs.field(factory=dict)
    _zone_hosts: dict = attrs.field(factory=collections.Counter)
    _regions: dict = attrs.field(factory=dict)
    _serving: dict = attrs.field(factory=dict)
    _serving_from: float = float("inf")
    _serving_until: float = float("-inf")

    def record_host(self, host_id, is_leaving, age_s, now):
        """Apply an entry about a host, from itself or from another host.

        Parameters
        ----------
        host_id : HostId
            The host.
        is_leaving : bool
            Whether it is shutting down.
        age_s : float
            Age of the entry, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        Member or None
            None if it is this host itself, or if the entry is too old to add the
            host or belongs to an earlier process of it.
        """
        last_seen_at = now - max(0.0, age_s)
        if host_id.name == self.own_id.name:
            return None
        member = self._members.get(host_id.name)
        if member is not None and member.id.incarnation == host_id.incarnation:
            member.last_seen_at = max(member.last_seen_at, last_seen_at)
            if is_leaving and not member.is_leaving:
                member.is_leaving = True
                self._invalidate_serving()
            return member
        if age_s > _MAX_ENTRY_AGE_S or (member and member.last_seen_at >= last_seen_at):
            return None
        member = Member(
            id=host_id,
            last_seen_at=last_seen_at,
            first_seen_at=now,
            is_leaving=is_leaving,
        )
        self._forget(host_id.name)
        self._invalidate_serving()
        self._members[host_id.name] = member
        self._ids[host_id.incarnation] = host_id
        self._zone_hosts[host_id.region, host_id.zone] += 1
        by_name = self._members_by_region.setdefault(host_id.region, {})
        by_name[host_id.name] = member
        return member

    def _forget(self, name):
        member = self._members.pop(name, None)
        if member is not None:
            del self._members_by_region[member.id.region][name]
            self._ids.pop(member.id.incarnation, None)
            self._zone_hosts[member.id.region, member.id.zone] -= 1
            self.load.forget(name)
            self.wants.forget(name)
            self._invalidate_serving()

    def knows(self, host_id):
        """Return whether a process is a member."""
        member = self._members.get(host_id.name)
        return member is not None and member.id.incarnation == host_id.incarnation

    def find_id(self, incarnation):
        """Return the identity of a member by its incarnation, or None."""
        return self._ids.get(incarnation)

    def has_newer_revision(self, revision):
        """Return whether a member has applied a later revision of the source."""
        return any(m.revision > revision for m in self._members.values())

    def known(self):
        """Return all members, including unresponsive ones not removed yet."""
        return list(self._members.values())

    def is_live(self, member, now):
        """Return whether a member was seen within its failure timeout."""
        return now - member.last_seen_at <= self._failure_timeout_s(member.id.region)

    def live(self, now):
        """Return the members seen within their failure timeouts."""
        # Each round of heartbeats asks for them, and a call of is_live() for each
        # member would take most of its time.
        return [
            m
            for region, members in self._members_by_region.items()
            for timeout_s in (self._failure_timeout_s(region),)
            for m in members.values()
            if now - m.last_seen_at <= timeout_s
        ]

    def record_load(self, member, work, now):
        """Store a member's own report of its load at endpoints.

        Parameters
        ----------
        member : Member
            The member, a host of the local region.
        work : dict of int to tuple of int
            Its load by endpoint key, as in :meth:`.RegionLoad.record`.
        now : float
            Current time, in seconds.
        """
        self.load.record(member.id.name, work, now)

    def record_wants(self, member, wants, now):
        """Store what a member wants to forward to other regions.

        Parameters
        ----------
        member : Member
            The member, a host of the local region.
        wants : dict of str to int
            Tokens per second, by service.
        now : float
            Current time, in seconds.
        """
        wants = {service: (0, tokens) for service, tokens in wants.items()}
        self.wants.record(member.id.name, wants, now)

    def serving(self, now, region=None):
        """Return live members that accept callers and requests.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        region : str or None
            Only members of this region; all regions if None.
        """
        by_region = self._serving_by_region(now)
        if region is not None:
            return by_region.get(region, [])
        return [m for members in by_region.values() for m in members]

    def _serving_by_region(self, now):
        """Return the serving members of each region.

        Each request asks for them, and a pass over all members would make its cost
        grow with the fleet. They are therefore computed anew only if a member joined,
        left or became unresponsive, and after an interval, for those that respond
        again.
        """
        if not self._serving_from <= now <= self._serving_until:
            self._serving = {
                region: [
                    m
                    for m in members.values()
                    if m.is_ready and not m.is_leaving and self.is_live(m, now)
                ]
                for region, members in self._members_by_region.items()
            }
            ends = [
                m.last_seen_at + self._failure_timeout_s(region)
                for region, members in self._serving.items()
                for m in members
            ]
            self._serving_from = now
            self._serving_until = min([now + REGION_HEARTBEAT_S, *ends])
        return self._serving

    def _failure_timeout_s(self, region):
        return DEAD_AFTER_S if region == self.own_id.region else REMOTE_DEAD_AFTER_S

    def _invalidate_serving(self):
        self._serving_from = float("inf")

    def set_ready(self, member, is_ready):
        """Record whether a member serves callers."""
        if member.is_ready != is_ready:
            member.is_ready = is_ready
            self._invalidate_serving()

    def unresponsive(self, now):
        """Return members past their failure timeout that announced no shutdown."""
        return [
            m
            for m in self._members.values()
            if not m.is_leaving and not self.is_live(m, now)
        ]

    def region_members(self):
        """Return the local region's other hosts, including unresponsive ones."""
        return list(self._members_by_region.get(self.own_id.region, {}).values())

    def count_region_members(self):
        """Return the number of the local region's other hosts, live or not."""
        return len(self._members_by_region.get(self.own_id.region, ()))

    def count_zone_hosts(self, zone):
        """Return the number of hosts in a zone of the region, including this one."""
        count = self._zone_hosts[self.own_id.region, zone]
        return count + (zone == self.own_id.zone)

    def remote_members(self):
        """Return the hosts of each other region, including unresponsive ones.

        Returns
        -------
        dict of str to list of Member
            By region; only regions with known hosts.
        """
        return {
            region: list(members.values())
            for region, members in self._members_by_region.items()
            if region != self.own_id.region and members
        }

    def record_region(self, totals):
        """Store the totals of another region if they are newer."""
        current = self._regions.get(totals.region)
        is_newer = current is None or totals.reported_at > current.reported_at
        if totals.region != self.own_id.region and is_newer:
            self._regions[totals.region] = totals

    def regions(self):
        """Return the totals of the other regions."""
        return list(self._regions.values())

    def count_hosts(self):
        """Return the number of known hosts, including this one."""
        return (
            1
            + self.count_region_members()
            + sum(r.hosts for r in self._regions.values())
        )

    def seen_zones_fraction(self, zones):
        """Return the fraction of the availability zones with at least one known host.

        Parameters
        ----------
        zones : int
            Number of availability zones of the deployment, at least 1.
        """
        seen = {m.id.zone for m in self._members.values()} | {self.own_id.zone}
        return min(1.0, len(seen) / zones)

    def estimate_hosts(self, zones):
        """Return the number of hosts, with as many in zones without a known one.

        Parameters
        ----------
        zones : int
            Number of availability zones of the deployment, at least 1.
        """
        known = 1 + len(self._members)
        return math.ceil(known / self.seen_zones_fraction(zones))

    def region_demands(self):
        """Return the demand at the region's other hosts, by team key."""
        totals = collections.Counter()
        for member in self.region_members():
            totals.update(member.demands)
        return totals

    def demands_of_others(self):
        """Return the demand at all other hosts, by team key."""
        totals = self.region_demands()
        for region in self._regions.values():
            totals.update(region.demands)
        return totals

    def region_oldest_last_seen(self, now):
        """Return the earliest time when one of the region's hosts was last seen.

        Members that are shutting down do not count. Returns `now` if there are no
        others.
        """
        last_seen = [m.last_seen_at for m in self.region_members() if not m.is_leaving]
        return min(last_seen, default=now)

    def oldest_last_seen(self):
        """Return the earliest time when one of the other hosts was last seen.

        For hosts of another region this is the time that the region reports. Members
        that are shutting down do not count.

        Returns
        -------
        float
            Seconds; infinity if there are no others, and minus infinity if a
            region has hosts but has reported no totals yet.
        """
        last_seen = [float("inf")]
        for member in self._members.values():
            if member.is_leaving:
                continue
            if member.id.region == self.own_id.region:
                last_seen.append(member.last_seen_at)
            elif member.id.region in self._regions:
                last_seen.append(self._regions[member.id.region].last_seen_at)
            else:
                last_seen.append(float("-inf"))
        return min(last_seen)

    def remove_expired(self, now):
        """Remove members unresponsive for too long, and return them."""
        removed = [
            m
            for m in self._members.values()
            if now - m.last_seen_at
            > (REMOTE_DEAD_AFTER_S if m.is_leaving else REMOVE_AFTER_S)
        ]
        for member in removed:
            self._forget(member.id.name)
        known = {m.id.region for m in self._members.values()}
        for totals in self.regions():
            if totals.region not in known or now - totals.reported_at > REMOVE_AFTER_S:
                del self._regions[totals.region]
        return removed
