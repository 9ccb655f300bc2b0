"""Enforces each team's rate and burst over all hosts, without asking them.

Each host enforces a share of a team's rate: its fraction of the demand that all
hosts report. A share that was computed at some time is confirmed once every other
host has been seen after that time. While a host is unresponsive, only the confirmed
share may be used, since that host may be partitioned and go on using its own. A
process that has just started uses a small share until it has received reports. See
docs/design/platform.md for the worst case.

A share of a burst holds few requests where prompts are large and hosts are many.
While the demand of all hosts is below the rate, a host that lacks tokens overdraws
its share, by a bounded fraction of the excess that the deployment allows.
"""

import math

import attrs
import xxhash

from .membership import MAX_REPORT_AGE_S
from .retry_after import RetrySchedule

# Time constant of the demand average: short against the window of the limits, long
# against the interval of heartbeats.
_DEMAND_DECAY_S = 2.0
# Besides its demand each host counts an even share of this fraction of the rate, so
# that a region whose peak begins has tokens before its demand is known.
_EVEN_FRACTION = 0.25
# Shares may be overdrawn while at most this fraction of the rate is in demand.
_OVERDRAFT_MAX_DEMAND_FRACTION = 0.9
# Fraction of the allowed excess that may be overdrawn. The rest covers shares that
# sum to over one while demands change or regions are partitioned.
_OVERDRAFT_FRACTION = 0.25
# A request that is larger than a host's share of the burst is admitted once this
# fraction of the share is available, and leaves the bucket overdrawn.
_LARGE_REQUEST_FRACTION = 0.75
# No overdraft on older reports: the interval of cross-region heartbeats and their
# latency.
_OVERDRAFT_MAX_REPORT_AGE_S = 0.9
# At most one of this many hosts is assumed to overdraw at once, since only a few
# lack tokens at a time while the whole fleet has them.
_OVERDRAFT_SHARE_FACTOR = 6.0
# Shares are computed with each heartbeat; a request computes an older one itself.
_SHARE_VALID_S = 0.3
# Buckets of teams without requests are not updated. By then they would be full.
_IDLE_AFTER_S = 10.0
# Largest share of a process during INITIAL_SHARE_S after its start, the time in
# which it receives the first reports.
INITIAL_SHARE = 0.1
INITIAL_SHARE_S = 0.4


def team_key(name):
    """Return the 32-bit key of a team in heartbeats."""
    return xxhash.xxh32_intdigest(name.encode()) - 2**31


@attrs.define
class TeamBucket:
    """Token bucket of one team on this host.

    Attributes
    ----------
    team : Team
        The team, with the limit in force.
    key : int
        Its key in heartbeats.
    tokens : float
        Available tokens; negative while the bucket is overdrawn.
    refilled_at : float
        Time of the last refill, in seconds.
    demand : float
        Smoothed tokens requested per second, as of `demand_updated_at`.
    demand_updated_at : float
        Time of the team's last request, in seconds.
    retry_schedule : RetrySchedule
        Retry times of refused callers.
    share : float
        This host's share of the rate, 0 to 1.
    share_updated_at : float
        Time when it was computed, in seconds.
    demand_of_others : float
        Demand that the other hosts reported then, in tokens per second.
    oldest_last_seen : float
        Time since which every other host had been seen then, in seconds.
    confirmed_share : float or None
        Last share that all hosts could know of; None before the first one.
    pending_share, pending_at : float
        A later share that awaits confirmation, and when it was computed, in
        seconds.
    """

    team: object
    key: int
    tokens: float = 0.0
    refilled_at: float = 0.0
    demand: float = 0.0
    demand_updated_at: float = 0.0
    retry_schedule: RetrySchedule = attrs.field(factory=RetrySchedule)
    share: float = 0.0
    share_updated_at: float = float("-inf")
    demand_of_others: float = 0.0
    oldest_last_seen: float = float("-inf")
    confirmed_share: float | None = None
    pending_share: float = 0.0
    pending_at: float = 0.0

    def demand_at(self, now):
        """Return the demand, decayed to a time, in tokens per second."""
        return self.demand * math.exp(
            -max(0.0, now - self.demand_updated_at) / _DEMAND_DECAY_S
        )

    def confirm_share(self, share, oldest_last_seen, now):
        """Confirm the pending share if possible; a new share is pending then.

        Parameters
        ----------
        share : float
            Share that has just been computed.
        oldest_last_seen : float
            Time since which every other host has been seen, in seconds.
        now : float
            Current time, in seconds.
        """
        if oldest_last_seen > self.pending_at:
            self.confirmed_share = self.pending_share
            self.pending_share, self.pending_at = share, now

    def record_demand(self, cost, now):
        """Add a request's tokens to the demand."""
        self.demand = self.demand_at(now) + cost / _DEMAND_DECAY_S
        self.demand_updated_at = now

    def refill(self, now):
        """Add the tokens since the last refill, at the present share."""
        rate = self.team.rate_tokens_per_s * self.share
        refilled = self.tokens + (now - self.refilled_at) * rate
        self.tokens = min(self.team.burst_tokens * self.share, refilled)
        self.refilled_at = now


@attrs.frozen(kw_only=True)
class RateExcess:
    """Excess over a team's rate and burst that a deployment allows, over all hosts.

    Attributes
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    fraction : float
        Allowed excess as a fraction of the rate and burst in a window.
    tokens : float
        Further tokens allowed in a window.
    """

    window_s: float = 8.0
    fraction: float = 0.0
    tokens: float = 0.0

    def tokens_for(self, team):
        """Return the tokens that a team may use over its limit in a window."""
        limit = team.rate_tokens_per_s * self.window_s + team.burst_tokens
        return self.fraction * limit + self.tokens


@attrs.frozen(kw_only=True)
class _PeerReports:
    """Reports of the other hosts, as the shares of all teams need them.

    Attributes
    ----------
    demands : dict of int to int
        Their demand by team key, in tokens per second.
    hosts : int
        Number of hosts, including this one.
    seen_zones_fraction : float
        Fraction of the zones of which any host is known.
    oldest_last_seen : float
        Time since which every other host has been seen, in seconds.
    """

    demands: dict
    hosts: int
    seen_zones_fraction: float
    oldest_last_seen: float


@attrs.define(eq=False)
class Quotas:
    """Token buckets of all teams on this host.

    Attributes
    ----------
    started_at : float
        Start of this process, in seconds.
    zones : int
        Number of availability zones of the deployment.
    excess : RateExcess
        Excess over a limit that the deployment allows.
    """

    started_at: float
    zones: int
    excess: RateExcess = RateExcess()
    _reported: dict = attrs.field(factory=dict)
    _previously_reported: dict = attrs.field(factory=dict)
    _buckets: dict = attrs.field(factory=dict)

    def bucket(self, team, now):
        """Return a team's bucket, created on first use, with its present limit."""
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = TeamBucket(team, team_key(team.name), refilled_at=now)
            self._buckets[team.name] = bucket
        elif bucket.team is not team:
            bucket.refill(now)
            bucket.team = team
        return bucket

    def update_shares(self, membership, now):
        """Recompute this host's shares of the teams with recent requests.

        Tokens accrue at the share that was in force meanwhile, so that shares that
        fluctuate do not sum to over one.
        """
        reports = self._peer_reports(membership)
        for bucket in self._buckets.values():
            if now - bucket.demand_updated_at < _IDLE_AFTER_S:
                bucket.refill(now)
                self._update_share(bucket, reports, now)

    def _peer_reports(self, membership):
        # Zones without any known host are assumed to use an even share.
        seen = {m.id.zone for m in membership.known()} | {membership.own_id.zone}
        return _PeerReports(
            demands=membership.demands_of_others(),
            hosts=membership.count_hosts(),
            seen_zones_fraction=min(1.0, len(seen) / self.zones),
            oldest_last_seen=membership.oldest_last_seen(),
        )

    def _update_share(self, bucket, reports, now):
        team = bucket.team
        even = _EVEN_FRACTION * team.rate_tokens_per_s / reports.hosts
        # Uses the demand of the previous report, which the other hosts know by now.
        # If demand rises everywhere, shares by present demand sum to over one.
        own_demand = self._previously_reported.get(bucket.key, 0) + even
        bucket.demand_of_others = reports.demands.get(bucket.key, 0)
        others = bucket.demand_of_others + even * (reports.hosts - 1)
        share = own_demand / (own_demand + others) * reports.seen_zones_fraction
        bucket.share_updated_at, bucket.oldest_last_seen = now, reports.oldest_last_seen
        if bucket.confirmed_share is None:
            # The other hosts assume no more for a team without requests here.
            bucket.confirmed_share = bucket.pending_share = min(share, INITIAL_SHARE)
        if now - self.started_at < INITIAL_SHARE_S:
            bucket.share = min(share, INITIAL_SHARE)
            return
        bucket.confirm_share(share, reports.oldest_last_seen, now)
        is_recent = now - reports.oldest_last_seen <= MAX_REPORT_AGE_S
        bucket.share = share if is_recent else min(share, bucket.confirmed_share)

    def acquire(self, team, cost, membership, now):
        """Acquire a request's tokens if this host's share allows it.

        Parameters
        ----------
        team : Team
            Team of the request.
        cost : float
            Tokens of the request.
        membership : Membership
            Other hosts and their demands.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            0 if the tokens were acquired, else the time until a retry, in
            seconds.
        """
        if team.rate_tokens_per_s <= 0:
            return 0.0
        bucket = self.bucket(team, now)
        bucket.record_demand(cost, now)
        if now - bucket.share_updated_at > _SHARE_VALID_S:
            is_first = bucket.share_updated_at == float("-inf")
            bucket.refill(now)
            self._update_share(bucket, self._peer_reports(membership), now)
            if is_first:
                # Earlier processes may have used the burst; grants a small share.
                bucket.tokens = team.burst_tokens * min(bucket.share, INITIAL_SHARE)
        bucket.refill(now)
        large = team.burst_tokens * bucket.share * _LARGE_REQUEST_FRACTION
        needed = min(cost, large) - self.overdraft(bucket, now)
        if bucket.tokens < needed:
            rate = team.rate_tokens_per_s * bucket.share
            return bucket.retry_schedule.reserve(
                cost, needed - bucket.tokens, rate, now
            )
        bucket.tokens -= cost
        return 0.0

    def overdraft(self, bucket, now):
        """Return the tokens by which this host may overdraw a bucket now."""
        is_new = now - self.started_at < _DEMAND_DECAY_S
        if is_new or now - bucket.oldest_last_seen > _OVERDRAFT_MAX_REPORT_AGE_S:
            return 0.0
        demand = bucket.demand_at(now) + bucket.demand_of_others
        if demand > _OVERDRAFT_MAX_DEMAND_FRACTION * bucket.team.rate_tokens_per_s:
            return 0.0
        share = min(1.0, bucket.share * _OVERDRAFT_SHARE_FACTOR)
        return share * _OVERDRAFT_FRACTION * self.excess.tokens_for(bucket.team)

    def explain(self, team, now):
        """Return the state behind a team's last decision, as a sentence."""
        bucket = self.bucket(team, now)
        age_s = max(0.0, now - bucket.oldest_last_seen)
        return (
            f"team {team.name} has {bucket.tokens:.0f} tokens here; this host uses "
            f"{bucket.share:.3f} of {team.rate_tokens_per_s:.0f} tokens/s, by "
            f"demands told up to {age_s:.2f} s ago; others ask for "
            f"{bucket.demand_of_others:.0f} tokens/s"
        )

    def refund(self, team, cost, now):
        """Return the tokens of a request that did not run."""
        if team.rate_tokens_per_s > 0:
            self.bucket(team, now).tokens += cost

    def reported_demands(self):
        """Return the demands in heartbeats, by team key, in tokens per second."""
        return self._reported

    def snapshot_demands(self, now):
        """Set the demands of the following heartbeats to the present ones."""
        self._previously_reported = self._reported
        self._reported = {
            bucket.key: demand
            for bucket in self._buckets.values()
            if (demand := int(bucket.demand_at(now))) > 0
        }
