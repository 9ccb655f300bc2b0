"""Each team's rate and burst, divided among hosts by the demand they see.

A host's part of a team's rate is its part of the demand that all hosts tell.
A part that was worked out at some time is agreed once every other host has
been heard of after that time. While some host is silent, only the agreed part
may be used: the silent host may be cut off and go on with its own. A process
that has just started takes a small part until it has heard from others. See
docs/design/platform.md for the worst case.
"""

import math

import attrs
import xxhash

from .membership import FRESH_S
from .returns import Returns

# Demand is averaged over this time: short against the limits' window, long
# against the time between beats.
_DEMAND_S = 2.0
# Besides its demand each host counts an even share of this part of the rate, so
# that a region whose peak begins finds tokens before its demand is known.
_EVEN_PART = 0.5
# Part that a process may use until it has had time to hear of others.
START_PART = 0.2
START_S = 0.4


def team_key(name):
    """Return the number by which beats name a team."""
    return xxhash.xxh32_intdigest(name.encode()) - 2**31


@attrs.define
class Account:
    """One team's tokens on this host.

    Attributes
    ----------
    tokens : float
        What may be spent now.
    filled_at : float or None
        When `tokens` was brought up to date, in seconds; None before the
        first request.
    demand : float
        Smoothed tokens asked for per second, as of `asked_at`.
    asked_at : float
        When demand was last noted, in seconds.
    returns : Returns
        When refused callers come back.
    agreed_part : float
        This host's part of the rate that all hosts could know of.
    last_part : float
        The part that decided last.
    worked_out_part, worked_out_at : float
        A later part that waits to be agreed, and when it was worked out, in
        seconds.
    """

    tokens: float = 0.0
    filled_at: float | None = None
    demand: float = 0.0
    asked_at: float = 0.0
    agreed_part: float = START_PART
    returns: Returns = attrs.field(factory=Returns)
    last_part: float = 0.0
    worked_out_part: float = START_PART
    worked_out_at: float = 0.0

    def demand_at(self, now):
        """Return the demand, faded to a time."""
        return self.demand * math.exp(-max(0.0, now - self.asked_at) / _DEMAND_S)

    def agree(self, part, heard_since, now):
        """Take over a part that is worked out now; agree on an earlier one.

        Parameters
        ----------
        part : float
            What demands say now.
        heard_since : float
            Time since which every other host has been heard of, in seconds.
        now : float
            Present time, in seconds.
        """
        if heard_since > self.worked_out_at:
            self.agreed_part = self.worked_out_part
            self.worked_out_part, self.worked_out_at = part, now

    def note_demand(self, cost, now):
        """Add a request's tokens to the demand."""
        self.demand = self.demand_at(now) + cost / _DEMAND_S
        self.asked_at = now


@attrs.define(eq=False)
class Quotas:
    """All teams' tokens on this host.

    Attributes
    ----------
    started_at : float
        When this process started, in seconds.
    zones : int
        Availability zones of the deployment.
    """

    started_at: float
    zones: int
    _told: dict = attrs.field(factory=dict)
    _told_before: dict = attrs.field(factory=dict)
    _accounts: dict = attrs.field(factory=dict)

    def account(self, team_name):
        """Return a team's account, made on first use."""
        if team_name not in self._accounts:
            self._accounts[team_name] = Account()
        return self._accounts[team_name]

    def part(self, team, membership, now):
        """Return the part of a team's rate that this host may use.

        Parameters
        ----------
        team : Team
            Whose rate.
        membership : Membership
            The other hosts and their demands.
        now : float
            Present time, in seconds.

        Returns
        -------
        float
            0 to 1.
        """
        account = self.account(team.name)
        key = team_key(team.name)
        known = membership.known()
        even = _EVEN_PART * team.rate_tokens_per_s / (len(known) + 1)
        # Not the newest demand, but the one that others may count on by now:
        # where demand grows everywhere, newest parts would sum to over one.
        mine = self._told_before.get(key, 0) + even
        others = sum(m.demands.get(key, 0) + even for m in known)
        part = mine / (mine + others)
        # Zones of which nobody was ever heard are taken to use equal parts.
        seen = {m.id.zone for m in known} | {membership.me.zone}
        part *= min(1.0, len(seen) / self.zones)
        if now - self.started_at < START_S:
            return min(part, START_PART)
        heard_since = membership.heard_since()
        account.agree(part, heard_since, now)
        if now - heard_since > FRESH_S:
            return min(part, account.agreed_part)
        return part

    def take(self, team, cost, membership, now):
        """Take a request's tokens if this host's part allows it.

        Returns
        -------
        float
            0 if the tokens were taken, else the time until they would be
            there, in seconds.
        """
        if team.rate_tokens_per_s <= 0:
            return 0.0
        account = self.account(team.name)
        account.note_demand(cost, now)
        part = account.last_part = self.part(team, membership, now)
        rate = team.rate_tokens_per_s * part
        # A request larger than a small part of the burst must still pass.
        burst = max(team.burst_tokens * part, cost)
        if account.filled_at is None:
            # What earlier processes spent is unknown; a small part is granted.
            account.tokens = team.burst_tokens * min(part, START_PART)
            account.filled_at = now
        grown = account.tokens + (now - account.filled_at) * rate
        account.tokens, account.filled_at = min(burst, grown), now
        if account.tokens < cost:
            return account.returns.wait_s(cost, cost - account.tokens, rate, now)
        account.tokens -= cost
        return 0.0

    def explain(self, team, membership, now):
        """Return what decided on a team's last request, as a sentence."""
        account = self.account(team.name)
        age_s = max(0.0, now - membership.heard_since())
        return (
            f"team {team.name} has {account.tokens:.0f} tokens here; this host uses "
            f"{account.last_part:.3f} of {team.rate_tokens_per_s:.0f} tokens/s, by "
            f"demands told up to {age_s:.2f} s ago"
        )

    def give_back(self, team, cost, now):
        """Return the tokens of a request that did not run."""
        if team.rate_tokens_per_s > 0:
            self.account(team.name).tokens += cost

    def told(self):
        """Return the demands that beats tell, by key, in tokens per second."""
        return self._told

    def tell(self, now):
        """Take the present demands as those that beats tell from now on."""
        self._told_before = self._told
        self._told = {
            team_key(name): demand
            for name, account in self._accounts.items()
            if (demand := int(account.demand_at(now))) > 0
        }
