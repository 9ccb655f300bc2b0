"""Which hosts there are, learned from seeds and from each other.

Nothing lists the hosts. Each tells others, by beats, that it lives and whom it
has heard of, with the age of that knowledge. The younger word about a host
holds, so a dead host's traces grow old everywhere at the same pace.

Demands of hosts of the own region are known one by one. Of every other region
the sums are known that any of its hosts tells, so that what a host hears grows
with its region and not with the fleet.
"""

import collections

import attrs

# Six beats inside a region; a pause of a second is common on busy hosts.
DEAD_AFTER_S = 1.5
# Hosts of other regions beat less often and over links that lose packets.
REMOTE_DEAD_AFTER_S = 3.5
# A silent host may be cut off and still use its part of the budgets. Longer
# than most cuts; what a dead host held goes unused that long.
FORGET_AFTER_S = 12.0
# Two beats between regions and the way between them: knowledge older than this
# is not built on.
MAX_REPORT_AGE_S = 1.3
# Notes about a host older than this bring nobody back.
_MAX_NOTE_AGE_S = REMOTE_DEAD_AFTER_S


@attrs.frozen(kw_only=True)
class HostId:
    """Who a host is.

    Attributes
    ----------
    name, ip, zone, region : str
        The host, its IPv4 number and where it is.
    incarnation : str
        Random name of the running process.
    """

    name: str
    ip: str
    zone: str
    region: str
    incarnation: str


@attrs.define(eq=False, kw_only=True)
class Member:
    """Another host as this host knows it.

    Attributes
    ----------
    id : HostId
        Who it is.
    last_seen_at : float
        When it last was known to live, at first or second hand, in seconds.
    met_at : float
        When it was first heard of, in seconds.
    reported_at : float
        When its own word last came, in seconds; minus infinity if never.
    sequence : int
        Number of its last beat.
    is_leaving, is_ready : bool
        Whether it is shutting down, and whether it serves callers.
    configuration_version, revision : int
        What it has in force.
    demands : dict of int to int
        By team key, the tokens per second that are asked of it.
    work : dict of int to (int, int)
        By endpoint key, its requests there and their prompt tokens.
    source_answered_at : float
        When its source last answered, in seconds; minus infinity if never, or
        while it fails.
    """

    id: HostId
    last_seen_at: float
    met_at: float = float("-inf")
    reported_at: float = float("-inf")
    sequence: int = -1
    is_leaving: bool = False
    is_ready: bool = True
    configuration_version: int = 0
    revision: int = 0
    demands: dict = attrs.field(factory=dict)
    work: dict = attrs.field(factory=dict)
    source_answered_at: float = float("-inf")


@attrs.frozen(kw_only=True)
class RegionTotals:
    """What the hosts of another region ask for together.

    Attributes
    ----------
    region : str
        The region.
    hosts : int
        Its hosts, also silent ones that are not forgotten.
    last_seen_at : float
        Time since which each of its hosts has been heard of there, in seconds.
    reported_at : float
        When one of its hosts summed up, in seconds.
    demands : dict of int to int
        By team key, tokens per second.
    waits : dict of str to float
        By service, the wait there, in seconds.
    """

    region: str
    hosts: int
    last_seen_at: float
    reported_at: float
    demands: dict
    waits: dict


@attrs.define(eq=False)
class Membership:
    """All hosts that one host knows.

    Attributes
    ----------
    own_id : HostId
        This host.
    """

    own_id: HostId
    _members: dict = attrs.field(factory=dict)
    _regions: dict = attrs.field(factory=dict)

    def record_host(self, host_id, is_leaving, age_s, now):
        """Take over what somebody says of a host.

        Parameters
        ----------
        host_id : HostId
            Of whom.
        is_leaving : bool
            Whether it is shutting down.
        age_s : float
            How old the knowledge is, in seconds.
        now : float
            Present time, in seconds.

        Returns
        -------
        Member or None
            None if it is this host itself, or too old to be of use.
        """
        last_seen_at = now - max(0.0, age_s)
        if host_id.name == self.own_id.name:
            return None
        member = self._members.get(host_id.name)
        if member is not None and member.id.incarnation == host_id.incarnation:
            member.last_seen_at = max(member.last_seen_at, last_seen_at)
            member.is_leaving = member.is_leaving or is_leaving
            return member
        if age_s > _MAX_NOTE_AGE_S or (member and member.last_seen_at >= last_seen_at):
            return None
        member = Member(
            id=host_id, last_seen_at=last_seen_at, met_at=now, is_leaving=is_leaving
        )
        self._members[host_id.name] = member
        return member

    def known(self):
        """Return all members, also silent ones that are not forgotten yet."""
        return list(self._members.values())

    def is_live(self, member, now):
        """Tell whether a member was heard of lately enough."""
        is_near = member.id.region == self.own_id.region
        limit_s = DEAD_AFTER_S if is_near else REMOTE_DEAD_AFTER_S
        return now - member.last_seen_at <= limit_s

    def live(self, now):
        """Return the members that live, as far as known."""
        return [m for m in self._members.values() if self.is_live(m, now)]

    def serving(self, now, region=None):
        """Return live members that take callers and requests.

        Parameters
        ----------
        now : float
            Present time, in seconds.
        region : str or None
            Only members of this region.
        """
        return [
            m
            for m in self.live(now)
            if m.is_ready
            and not m.is_leaving
            and (region is None or m.id.region == region)
        ]

    def silent(self, now):
        """Return members that fell silent without having said that they leave."""
        return [
            m
            for m in self._members.values()
            if not m.is_leaving and not self.is_live(m, now)
        ]

    def region_members(self):
        """Return the members of the own region, also silent ones."""
        return [m for m in self._members.values() if m.id.region == self.own_id.region]

    def record_region(self, sums):
        """Take over what a host says of another region, if it is news."""
        held = self._regions.get(sums.region)
        is_news = held is None or sums.reported_at > held.reported_at
        if sums.region != self.own_id.region and is_news:
            self._regions[sums.region] = sums

    def regions(self):
        """Return the sums of the other regions."""
        return list(self._regions.values())

    def count_hosts(self):
        """Return how many hosts there are, this one too, as far as known."""
        return (
            1
            + len(self.region_members())
            + sum(r.hosts for r in self._regions.values())
        )

    def region_demands(self):
        """Return what the other hosts of the region ask for, by team key."""
        sums = collections.Counter()
        for member in self.region_members():
            sums.update(member.demands)
        return sums

    def demands_of_others(self):
        """Return what all other hosts ask for, by team key."""
        sums = self.region_demands()
        for region in self._regions.values():
            sums.update(region.demands)
        return sums

    def region_oldest_last_seen(self, now):
        """Return the time since which all hosts of the region have been heard."""
        heard = [m.last_seen_at for m in self.region_members() if not m.is_leaving]
        return min(heard, default=now)

    def oldest_last_seen(self):
        """Return the time since which every host has been heard of.

        Returns
        -------
        float
            Seconds; infinity if there are no others, and minus infinity if a
            region has hosts but has told no sums yet.
        """
        heard = [float("inf")]
        for member in self._members.values():
            if member.is_leaving:
                continue
            if member.id.region == self.own_id.region:
                heard.append(member.last_seen_at)
            elif member.id.region in self._regions:
                heard.append(self._regions[member.id.region].last_seen_at)
            else:
                heard.append(float("-inf"))
        return min(heard)

    def forget(self, now):
        """Drop members that have been silent for long; return them."""
        gone = [
            m
            for m in self._members.values()
            if now - m.last_seen_at
            > (REMOTE_DEAD_AFTER_S if m.is_leaving else FORGET_AFTER_S)
        ]
        for member in gone:
            del self._members[member.id.name]
        known = {m.id.region for m in self._members.values()}
        for sums in self.regions():
            if sums.region not in known or now - sums.reported_at > FORGET_AFTER_S:
                del self._regions[sums.region]
        return gone
