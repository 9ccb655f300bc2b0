"""Each team's rate and burst, divided among hosts by the demand they see.

A host's part of a team's rate is its part of the demand that all hosts tell.
A part that was worked out at some time is agreed once every other host has
been heard of after that time. While some host is silent, only the agreed part
may be used: the silent host may be cut off and go on with its own. A process
that has just started takes a small part until it has heard from others. See
docs/design/platform.md for the worst case.

A part of a burst holds few requests where prompts are large and hosts are many.
While all hosts together ask for less than the rate, a host that lacks tokens
overdraws its part, by a bounded share of the excess that the deployment allows.
"""

import math

import attrs
import xxhash

from .membership import MAX_REPORT_AGE_S
from .retry_after import RetrySchedule

# Demand is averaged over this time: short against the limits' window, long
# against the time between beats.
_DEMAND_S = 2.0
# Besides its demand each host counts an even share of this part of the rate, so
# that a region whose peak begins finds tokens before its demand is known.
_EVEN_PART = 0.25
# Parts may be overdrawn while this part of the rate is asked for, or less.
_OVERDRAFT_DEMAND_PART = 0.9
# Part of the allowed excess that may be overdrawn; the rest covers parts that
# sum to over one while demands change or regions are parted.
_OVERDRAFT_PART = 0.25
# A request that is larger than a host's part of the burst passes once so much of
# that part is there, and leaves a debt.
_LARGE_REQUEST_PART = 0.75
# Nothing is overdrawn on older knowledge: a beat between regions and its way.
_OVERDRAFT_FRESH_S = 0.9
# Hosts that overdraw at once are taken to be at most one in so many, since only
# a few lack tokens at a time while the whole fleet has them.
_OVERDRAFT_SHARES = 6.0
# Parts are worked out again with each beat; a later request does it itself.
_PART_VALID_S = 0.3
# Accounts of teams that ask for nothing are left alone; full buckets are reached
# by then.
_IDLE_S = 10.0
# Part that a process may use until it has had time to hear of others.
START_PART = 0.1
START_S = 0.4


def team_key(name):
    """Return the number by which beats name a team."""
    return xxhash.xxh32_intdigest(name.encode()) - 2**31


@attrs.define
class TeamBucket:
    """One team's tokens on this host.

    Attributes
    ----------
    team : Team
        Whose tokens, with the limit in force.
    key : int
        By which beats name it.
    tokens : float
        What may be spent now; negative while it is overdrawn.
    filled_at : float
        When `tokens` was brought up to date, in seconds.
    demand : float
        Smoothed tokens asked for per second, as of `asked_at`.
    asked_at : float
        When demand was last noted, in seconds.
    retry_schedule : RetrySchedule
        When refused callers come back.
    part : float
        This host's part of the rate.
    part_at : float
        When it was worked out, in seconds.
    asked_elsewhere : float
        What other hosts told then, in tokens per second.
    oldest_last_seen : float
        Time since which every other host had been heard of then, in seconds.
    agreed_part : float or None
        The part that all hosts could know of; None before the first one.
    waiting_part, waiting_at : float
        A later part that waits to be agreed, and when it was worked out, in
        seconds.
    """

    team: object
    key: int
    tokens: float = 0.0
    filled_at: float = 0.0
    demand: float = 0.0
    asked_at: float = 0.0
    retry_schedule: RetrySchedule = attrs.field(factory=RetrySchedule)
    part: float = 0.0
    part_at: float = float("-inf")
    asked_elsewhere: float = 0.0
    oldest_last_seen: float = float("-inf")
    agreed_part: float | None = None
    waiting_part: float = 0.0
    waiting_at: float = 0.0

    def demand_at(self, now):
        """Return the demand, faded to a time."""
        return self.demand * math.exp(-max(0.0, now - self.asked_at) / _DEMAND_S)

    def agree(self, part, oldest_last_seen, now):
        """Take over a part that is worked out now; agree on an earlier one.

        Parameters
        ----------
        part : float
            What demands say now.
        oldest_last_seen : float
            Time since which every other host has been heard of, in seconds.
        now : float
            Present time, in seconds.
        """
        if oldest_last_seen > self.waiting_at:
            self.agreed_part = self.waiting_part
            self.waiting_part, self.waiting_at = part, now

    def record_demand(self, cost, now):
        """Add a request's tokens to the demand."""
        self.demand = self.demand_at(now) + cost / _DEMAND_S
        self.asked_at = now

    def settle(self, now):
        """Add the tokens that came since the account was brought up to date."""
        rate = self.team.rate_tokens_per_s * self.part
        grown = self.tokens + (now - self.filled_at) * rate
        self.tokens = min(self.team.burst_tokens * self.part, grown)
        self.filled_at = now


@attrs.frozen(kw_only=True)
class RateExcess:
    """What a deployment allows over a team's rate and burst, over all hosts.

    Attributes
    ----------
    window_s : float
        Any span of this length counts, in seconds.
    part : float
        Part of what rate and burst give in a window.
    tokens : float
        Tokens besides, in a window.
    """

    window_s: float = 8.0
    part: float = 0.0
    tokens: float = 0.0

    def of(self, team):
        """Return the tokens that a team may use over its limit in a window."""
        limit = team.rate_tokens_per_s * self.window_s + team.burst_tokens
        return self.part * limit + self.tokens


@attrs.frozen(kw_only=True)
class _Told:
    """What other hosts tell, as all teams' parts need it.

    Attributes
    ----------
    demands : dict of int to int
        By team key, what they ask for, in tokens per second.
    hosts : int
        All hosts, this one too.
    zones_part : float
        Part of the zones of which a host was ever heard.
    oldest_last_seen : float
        Time since which every other host has been heard of, in seconds.
    """

    demands: dict
    hosts: int
    zones_part: float
    oldest_last_seen: float


@attrs.define(eq=False)
class Quotas:
    """All teams' tokens on this host.

    Attributes
    ----------
    started_at : float
        When this process started, in seconds.
    zones : int
        Availability zones of the deployment.
    excess : RateExcess
        What the deployment allows over a limit.
    """

    started_at: float
    zones: int
    excess: RateExcess = RateExcess()
    _told: dict = attrs.field(factory=dict)
    _told_before: dict = attrs.field(factory=dict)
    _accounts: dict = attrs.field(factory=dict)

    def bucket(self, team, now):
        """Return a team's account, made on first use, with its present limit."""
        bucket = self._accounts.get(team.name)
        if bucket is None:
            bucket = TeamBucket(team, team_key(team.name), filled_at=now)
            self._accounts[team.name] = bucket
        elif bucket.team is not team:
            bucket.settle(now)
            bucket.team = team
        return bucket

    def update_shares(self, membership, now):
        """Work out this host's parts anew, for teams that ask.

        Tokens come at the part that held while they came, so that parts which
        change from moment to moment do not sum to over one.
        """
        reported_demands = self._told_by(membership)
        for bucket in self._accounts.values():
            if now - bucket.asked_at < _IDLE_S:
                bucket.settle(now)
                self._work_out_part(bucket, reported_demands, now)

    def _told_by(self, membership):
        # Zones of which nobody was ever heard are taken to use equal parts.
        seen = {m.id.zone for m in membership.known()} | {membership.own_id.zone}
        return _Told(
            demands=membership.demands_of_others(),
            hosts=membership.count_hosts(),
            zones_part=min(1.0, len(seen) / self.zones),
            oldest_last_seen=membership.oldest_last_seen(),
        )

    def _work_out_part(self, bucket, reported_demands, now):
        team = bucket.team
        even = _EVEN_PART * team.rate_tokens_per_s / reported_demands.hosts
        # Not the newest demand, but the one that others may count on by now:
        # where demand grows everywhere, newest parts would sum to over one.
        mine = self._told_before.get(bucket.key, 0) + even
        bucket.asked_elsewhere = reported_demands.demands.get(bucket.key, 0)
        others = bucket.asked_elsewhere + even * (reported_demands.hosts - 1)
        part = mine / (mine + others) * reported_demands.zones_part
        bucket.part_at, bucket.oldest_last_seen = now, reported_demands.oldest_last_seen
        if bucket.agreed_part is None:
            # Others count on nothing more from a team that was not asked for here.
            bucket.agreed_part = bucket.waiting_part = min(part, START_PART)
        if now - self.started_at < START_S:
            bucket.part = min(part, START_PART)
            return
        bucket.agree(part, reported_demands.oldest_last_seen, now)
        is_fresh = now - reported_demands.oldest_last_seen <= MAX_REPORT_AGE_S
        bucket.part = part if is_fresh else min(part, bucket.agreed_part)

    def acquire(self, team, cost, membership, now):
        """Take a request's tokens if this host's part allows it.

        Parameters
        ----------
        team : Team
            Whose rate.
        cost : float
            The request's tokens.
        membership : Membership
            The other hosts and their demands.
        now : float
            Present time, in seconds.

        Returns
        -------
        float
            0 if the tokens were taken, else the time until they would be
            there, in seconds.
        """
        if team.rate_tokens_per_s <= 0:
            return 0.0
        bucket = self.bucket(team, now)
        bucket.record_demand(cost, now)
        if now - bucket.part_at > _PART_VALID_S:
            is_first = bucket.part_at == float("-inf")
            bucket.settle(now)
            self._work_out_part(bucket, self._told_by(membership), now)
            if is_first:
                # What earlier processes spent is unknown; a small part is granted.
                bucket.tokens = team.burst_tokens * min(bucket.part, START_PART)
        bucket.settle(now)
        large = team.burst_tokens * bucket.part * _LARGE_REQUEST_PART
        needed = min(cost, large) - self.overdraft(bucket, now)
        if bucket.tokens < needed:
            rate = team.rate_tokens_per_s * bucket.part
            return bucket.retry_schedule.reserve(
                cost, needed - bucket.tokens, rate, now
            )
        bucket.tokens -= cost
        return 0.0

    def overdraft(self, bucket, now):
        """Return the tokens by which this host may overdraw a part now."""
        is_young = now - self.started_at < _DEMAND_S
        if is_young or now - bucket.oldest_last_seen > _OVERDRAFT_FRESH_S:
            return 0.0
        asked = bucket.demand_at(now) + bucket.asked_elsewhere
        if asked > _OVERDRAFT_DEMAND_PART * bucket.team.rate_tokens_per_s:
            return 0.0
        part = min(1.0, bucket.part * _OVERDRAFT_SHARES)
        return part * _OVERDRAFT_PART * self.excess.of(bucket.team)

    def explain(self, team, now):
        """Return what decided on a team's last request, as a sentence."""
        bucket = self.bucket(team, now)
        age_s = max(0.0, now - bucket.oldest_last_seen)
        return (
            f"team {team.name} has {bucket.tokens:.0f} tokens here; this host uses "
            f"{bucket.part:.3f} of {team.rate_tokens_per_s:.0f} tokens/s, by "
            f"demands told up to {age_s:.2f} s ago; others ask for "
            f"{bucket.asked_elsewhere:.0f} tokens/s"
        )

    def refund(self, team, cost, now):
        """Return the tokens of a request that did not run."""
        if team.rate_tokens_per_s > 0:
            self.bucket(team, now).tokens += cost

    def reported_demands(self):
        """Return the demands that beats tell, by key, in tokens per second."""
        return self._told

    def snapshot_demands(self, now):
        """Take the present demands as those that beats tell from now on."""
        self._told_before = self._told
        self._told = {
            bucket.key: demand
            for bucket in self._accounts.values()
            if (demand := int(bucket.demand_at(now))) > 0
        }
