"""Enforces each team's rate limit over all hosts, without a message per request.

A team is who pays for requests. Its limit is one token bucket over all hosts together:
a rate in tokens per second and a burst in tokens, the capacity of the bucket. Each
host enforces a share of both: its fraction of the demand (tokens requested per
second) that all hosts report in heartbeats.

A share is confirmed once every other host has been seen after it was computed, since
each of them can know of it by then. While a host is unresponsive, the share may not
exceed the confirmed one: that host may be partitioned and still use its own share. A
process that has just started is limited to a small share for the time in which it
receives the first heartbeats. See docs/design/platform.md for the most that can be
admitted above the limit.

Where prompts are large and hosts are many, a host's share of the burst covers only a
few requests. While the demand of all hosts is below the rate, a host that lacks
tokens may therefore overdraw its bucket, by a bounded fraction of the excess that
the deployment allows (`RateExcess`).

All times are seconds of the process's monotonic clock.
"""

import math

import attrs
import xxhash

from .membership import MAX_REPORT_AGE_S
from .retry_after import RetrySchedule

# Time constant of the exponential moving average of demand: shorter than
# `RateExcess.window_s`, longer than the interval of heartbeats.
_DEMAND_DECAY_S = 2.0
# Every host is assumed to have a baseline demand: this fraction of the rate, divided
# by the number of hosts. A region where demand begins to rise thus has tokens before
# its demand has been reported.
_BASELINE_DEMAND_FRACTION = 0.25
# Buckets may be overdrawn while the demand of all hosts is at most this fraction of
# the rate.
_OVERDRAFT_MAX_DEMAND_FRACTION = 0.9
# Fraction of the allowed excess that may be overdrawn. The rest covers the times when
# the shares of all hosts sum to more than one, because demands change or regions are
# partitioned.
_OVERDRAFT_FRACTION = 0.25
# A request that is larger than this fraction of a host's share of the burst is
# admitted once the bucket holds this fraction, and leaves the bucket negative.
_LARGE_REQUEST_FRACTION = 0.75
# Buckets are not overdrawn if a host was last seen longer ago: the interval of
# cross-region heartbeats plus their latency.
_OVERDRAFT_MAX_REPORT_AGE_S = 0.9
# Multiple of its share of the permitted overdraft that one host may use. Only a few
# hosts lack tokens at a time while the demand of all hosts is below the rate, so at
# most one host in this many is assumed to overdraw at once.
_OVERDRAFT_SHARE_FACTOR = 6.0
# Shares of teams with recent requests are recomputed with each heartbeat. A request
# that finds an older share recomputes it.
_SHARE_VALID_S = 0.3
# The bucket of a team without requests for this long is not updated, since it would
# be full.
_IDLE_AFTER_S = 10.0
# Upper bound on a host's share during INITIAL_SHARE_S after its process started, the
# time in which the first heartbeats of other hosts arrive.
INITIAL_SHARE = 0.1
INITIAL_SHARE_S = 0.4


def team_key(name):
    """Return the key of a team in heartbeats, a signed 32-bit hash of its name."""
    return xxhash.xxh32_intdigest(name.encode()) - 2**31


@attrs.define
class TeamBucket:
    """Token bucket of one team on this host.

    Attributes
    ----------
    team : Team
        The team, with its current limit.
    key : int
        Its key in heartbeats.
    tokens : float
        Available tokens; negative while the bucket is overdrawn.
    refilled_at : float
        Time of the last refill, in seconds.
    demand : float
        Moving average of the tokens requested per second, in refused requests as
        well, as of `demand_updated_at`.
    demand_updated_at : float
        Time of the team's last request, in seconds.
    retry_schedule : RetrySchedule
        Assigns retry times to refused requests.
    share : float
        This host's share of the rate, 0 to 1.
    share_updated_at : float
        When the share was computed, in seconds; minus infinity before the first.
    demand_of_others : float
        Demand reported by the other hosts as of `share_updated_at`, in tokens per
        second.
    oldest_last_seen : float
        Earliest of the times when each other host was last seen, as of
        `share_updated_at`, in seconds; infinity if there are no others.
    confirmed_share : float or None
        Last share that all hosts could know of; None before the first one.
    pending_share, pending_at : float
        The next share to be confirmed, and when it was computed, in seconds.
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
        """Return the demand as of `now`, in tokens per second."""
        return self.demand * math.exp(
            -max(0.0, now - self.demand_updated_at) / _DEMAND_DECAY_S
        )

    def confirm_share(self, share, oldest_last_seen, now):
        """Confirm the pending share if every other host has been seen since.

        The new share becomes the pending one then; otherwise it is not recorded.

        Parameters
        ----------
        share : float
            Share that has just been computed.
        oldest_last_seen : float
            Earliest of the times when each other host was last seen, in seconds.
        now : float
            Current time, in seconds.
        """
        if oldest_last_seen > self.pending_at:
            self.confirmed_share = self.pending_share
            self.pending_share, self.pending_at = share, now

    def record_demand(self, cost, now):
        """Add a request's tokens to the moving average of demand."""
        self.demand = self.demand_at(now) + cost / _DEMAND_DECAY_S
        self.demand_updated_at = now

    def refill(self, now):
        """Add the tokens accrued since the last refill, up to the share of the burst.

        A share that has become smaller may thus reduce the tokens.
        """
        rate = self.team.rate_tokens_per_s * self.share
        refilled = self.tokens + (now - self.refilled_at) * rate
        self.tokens = min(self.team.burst_tokens * self.share, refilled)
        self.refilled_at = now


@attrs.frozen(kw_only=True)
class RateExcess:
    """Tokens above a team's limit that a deployment allows, over all hosts.

    In any interval of `window_s`, a team may use ``rate * window_s + burst`` tokens
    and this excess. The defaults allow none.

    Attributes
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    fraction : float
        Allowed excess as a fraction of ``rate * window_s + burst``.
    tokens : float
        Further tokens that each team may use in a window.
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
    """What the other hosts reported, gathered once for the shares of all teams.

    Attributes
    ----------
    demands : dict of int to int
        Total demand of the other hosts by team key, in tokens per second.
    hosts : int
        Number of hosts, including this one.
    seen_zones_fraction : float
        Fraction of the availability zones with at least one known host.
    oldest_last_seen : float
        Earliest of the times when each other host was last seen, in seconds.
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
        Number of availability zones of the deployment, at least 1.
    excess : RateExcess
        Excess over a limit that the deployment allows.
    """

    started_at: float
    zones: int
    excess: RateExcess = RateExcess()
    _demands: dict = attrs.field(factory=dict)
    _previous_demands: dict = attrs.field(factory=dict)
    _buckets: dict = attrs.field(factory=dict)

    def bucket(self, team, now):
        """Return a team's bucket, created on first use, with the given limit.

        Tokens accrue at the previous limit until it is replaced.
        """
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

        Each bucket is refilled at its previous share first; otherwise fluctuating
        shares could add up to more than the rate.
        """
        buckets = [
            bucket
            for bucket in self._buckets.values()
            if now - bucket.demand_updated_at < _IDLE_AFTER_S
        ]
        if not buckets:
            return
        reports = self._peer_reports(membership)
        for bucket in buckets:
            bucket.refill(now)
            self._update_share(bucket, reports, now)

    def _peer_reports(self, membership):
        return _PeerReports(
            demands=membership.demands_of_others(),
            hosts=membership.count_hosts(),
            # Each zone without a known host is assumed to use 1/zones of the rate.
            seen_zones_fraction=membership.seen_zones_fraction(self.zones),
            oldest_last_seen=membership.oldest_last_seen(),
        )

    def _update_share(self, bucket, reports, now):
        team = bucket.team
        baseline_demand = (
            _BASELINE_DEMAND_FRACTION * team.rate_tokens_per_s / reports.hosts
        )
        # Uses the demand of the previous report, which the other hosts have received
        # by now. With this host's latest demand and older demands of the others,
        # shares would sum to more than one while demand rises everywhere.
        own_demand = self._previous_demands.get(bucket.key, 0) + baseline_demand
        bucket.demand_of_others = reports.demands.get(bucket.key, 0)
        others_demand = bucket.demand_of_others + baseline_demand * (reports.hosts - 1)
        share = own_demand / (own_demand + others_demand) * reports.seen_zones_fraction
        bucket.share_updated_at, bucket.oldest_last_seen = now, reports.oldest_last_seen
        if bucket.confirmed_share is None:
            # Before this host has reported a demand of the team, the other hosts
            # assume its baseline demand. Hosts that first see a team while they are
            # partitioned must not use more.
            bucket.confirmed_share = bucket.pending_share = min(share, INITIAL_SHARE)
        if now - self.started_at < INITIAL_SHARE_S:
            bucket.share = min(share, INITIAL_SHARE)
            return
        bucket.confirm_share(share, reports.oldest_last_seen, now)
        is_recent = now - reports.oldest_last_seen <= MAX_REPORT_AGE_S
        bucket.share = share if is_recent else min(share, bucket.confirmed_share)

    def acquire(self, team, cost, membership, now):
        """Take a request's tokens from the team's bucket if it holds enough.

        The request counts as demand even if it is refused.

        Parameters
        ----------
        team : Team
            Team of the request.
        cost : float
            Tokens charged for the request.
        membership : Membership
            Other hosts and their demands.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            0 if the tokens were acquired or the team has no limit, else the time
            until a retry, in seconds.
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
                # Earlier processes may have used the burst, so the bucket starts
                # with at most INITIAL_SHARE of it.
                bucket.tokens = team.burst_tokens * min(bucket.share, INITIAL_SHARE)
        bucket.refill(now)
        large_request = team.burst_tokens * bucket.share * _LARGE_REQUEST_FRACTION
        needed = min(cost, large_request) - self.overdraft(bucket, now)
        if bucket.tokens < needed:
            rate = team.rate_tokens_per_s * bucket.share
            return bucket.retry_schedule.reserve(
                cost, needed - bucket.tokens, rate, now
            )
        bucket.tokens -= cost
        return 0.0

    def overdraft(self, bucket, now):
        """Return the tokens by which this host may overdraw a bucket now.

        0 during `_DEMAND_DECAY_S` after the start, while reports are old, and while
        the demand of all hosts is near the rate.
        """
        is_new = now - self.started_at < _DEMAND_DECAY_S
        if is_new or now - bucket.oldest_last_seen > _OVERDRAFT_MAX_REPORT_AGE_S:
            return 0.0
        demand = bucket.demand_at(now) + bucket.demand_of_others
        if demand > _OVERDRAFT_MAX_DEMAND_FRACTION * bucket.team.rate_tokens_per_s:
            return 0.0
        share = min(1.0, bucket.share * _OVERDRAFT_SHARE_FACTOR)
        return share * _OVERDRAFT_FRACTION * self.excess.tokens_for(bucket.team)

    def explain(self, team, now):
        """Return the state of a team's bucket as a sentence, for refusals."""
        bucket = self.bucket(team, now)
        age_s = max(0.0, now - bucket.oldest_last_seen)
        return (
            f"team {team.name} has {bucket.tokens:.0f} tokens here; this host uses "
            f"{bucket.share:.3f} of {team.rate_tokens_per_s:.0f} tokens/s, by "
            f"demands told up to {age_s:.2f} s ago; others ask for "
            f"{bucket.demand_of_others:.0f} tokens/s"
        )

    def refund(self, team, cost, now):
        """Give the tokens of a request that did not run back to the team's bucket."""
        if team.rate_tokens_per_s > 0:
            self.bucket(team, now).tokens += cost

    def reported_demands(self):
        """Return the demands to send in heartbeats.

        Returns
        -------
        dict of int to int
            Tokens per second by team key, as of the last :meth:`snapshot_demands`.
        """
        return self._demands

    def snapshot_demands(self, now):
        """Set the demands of the following heartbeats to the current ones.

        Called once per interval of cross-region heartbeats, so that every host has
        received the previous demands by the next call.
        """
        self._previous_demands = self._demands
        self._demands = {
            bucket.key: demand
            for bucket in self._buckets.values()
            if (demand := int(bucket.demand_at(now))) > 0
        }
