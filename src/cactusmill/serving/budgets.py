"""Budgets that all hosts share without a message for each use.

Each host spends from a part that it can work out by itself: of the retries by
the requests that it saw, of a cold endpoint's pace by the number of hosts that
may use it.
"""

import attrs
import xxhash

# Part of the permitted ratio that hosts use; the rest covers retries that
# callers make beside ours and windows that cut a burst of requests.
_RATIO_PART = 0.6
# Divides the fixed allowance among hosts. At least this many are assumed, since
# a process that has just started knows none.
_MIN_HOSTS = 12
_MAX_CREDIT_S = 5.0
# At most this many hosts use a cold endpoint, each one request at a time.
_MAX_COLD_USERS = 3


@attrs.define
class RetryBudget:
    """Retries that this host may send to one service.

    Attributes
    ----------
    credit : float
        Retries that may be sent now.
    """

    credit: float
    _ceiling: float
    _earned_per_request: float

    def record_request(self):
        """Earn a part of a retry by a caller's request."""
        self.credit = min(self._ceiling, self.credit + self._earned_per_request)

    def spend(self):
        """Take one retry; return False if the budget is empty."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


@attrs.define(eq=False)
class RetryBudgets:
    """One budget a service.

    Attributes
    ----------
    ratio : float
        Retries permitted per request, over all hosts.
    slack : float
        Retries permitted besides in a window, over all hosts.
    """

    ratio: float
    slack: float
    _budgets: dict = attrs.field(factory=dict)

    def for_service(self, service, hosts):
        """Return a service's budget, made on first use.

        Parameters
        ----------
        service : str
            The service.
        hosts : int
            Hosts known, this one too.
        """
        if service not in self._budgets:
            first = _RATIO_PART * self.slack / max(hosts, _MIN_HOSTS)
            self._budgets[service] = RetryBudget(
                first, first + _MAX_CREDIT_S, self.ratio * _RATIO_PART
            )
        return self._budgets[service]

    def credit(self):
        """Return the retries that all services' budgets hold now."""
        return sum(b.credit for b in self._budgets.values())


def warmup_hosts(endpoint_name, host_names):
    """Return the hosts of a region that may use a cold endpoint.

    All hosts with the same view choose the same few; with differing views a
    few more may use it, which the margin of the pace covers.
    """
    ranked = sorted(
        host_names,
        key=lambda h: xxhash.xxh64_intdigest(f"{endpoint_name}/{h}".encode()),
    )
    return ranked[:_MAX_COLD_USERS]


@attrs.define
class WarmupPacer:
    """Paces this host's requests to one cold endpoint.

    Attributes
    ----------
    next_at : float
        Earliest time of the next request, in seconds.
    """

    next_at: float = float("-inf")

    def may_send(self, now):
        """Tell whether a request may be sent now."""
        return now >= self.next_at

    def record_sent(self, per_s, users, now):
        """Count a request.

        Parameters
        ----------
        per_s : float
            Requests that the endpoint tolerates from all hosts, per second.
        users : int
            Hosts that use it.
        now : float
            Present time, in seconds.
        """
        self.next_at = now + users / per_s
