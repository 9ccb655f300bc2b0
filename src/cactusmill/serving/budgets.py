"""Limits that all hosts share without a message per use.

Each host spends a share that it computes itself: of the retries, by the requests
that it received; of the warm-up rate of an endpoint, by the number of hosts that
may send to it.
"""

import attrs
import xxhash

# Fraction of the permitted retries that hosts use. The rest covers retries that
# callers make themselves, and windows that begin or end within a burst of requests.
_RATIO_FRACTION = 0.6
# Least number of hosts among which the fixed allowance is divided, so that a host
# which a small fleet gains does not have to be known at once.
_MIN_HOSTS = 12
# Most retries that a host can accumulate above its share of the fixed allowance.
_MAX_EARNED_CREDIT = 5.0
# At most this many hosts send to a warming endpoint, one request at a time each.
_MAX_WARMUP_HOSTS = 3
# Time in which an endpoint counts the requests towards its warm-up rate.
_WARMUP_WINDOW_S = 1.0


@attrs.define
class RetryBudget:
    """Retries that this host may send to one service.

    Attributes
    ----------
    credit : float
        Retries that may be sent now.
    allowance : float
        This host's share of the fixed allowance that is part of the credit; 0 until
        the host knows among how many it is divided.
    """

    credit: float = 0.0
    allowance: float = 0.0
    _earned_per_request: float = 0.0

    def set_allowance(self, allowance):
        """Set the share of the fixed allowance.

        It is granted once. What is known later of further hosts only makes it
        smaller.
        """
        if self.allowance == 0.0 or allowance < self.allowance:
            self.credit = max(0.0, self.credit + allowance - self.allowance)
            self.allowance = allowance

    def record_request(self):
        """Earn a fraction of a retry for a caller's request."""
        ceiling = self.allowance + _MAX_EARNED_CREDIT
        earned = self.credit + self._earned_per_request
        self.credit = max(self.credit, min(ceiling, earned))

    def spend(self):
        """Take one retry; return False if the budget is empty."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


@attrs.define(eq=False)
class RetryBudgets:
    """Retry budgets of this host, one per service.

    Attributes
    ----------
    ratio : float
        Retries permitted per request, over all hosts.
    slack : float
        Further retries permitted in a window, over all hosts.
    """

    ratio: float
    slack: float
    _budgets: dict = attrs.field(factory=dict)

    def for_service(self, service, hosts):
        """Return a service's budget, created on first use.

        Parameters
        ----------
        service : str
            Name of the service.
        hosts : int or None
            Number of hosts that may send retries, including this one; None while
            this host cannot tell. It then only has what its requests earn.
        """
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                earned_per_request=self.ratio * _RATIO_FRACTION
            )
        budget = self._budgets[service]
        if hosts is not None:
            budget.set_allowance(_RATIO_FRACTION * self.slack / max(hosts, _MIN_HOSTS))
        return budget

    def credit(self):
        """Return the retries that may be sent now, over all services."""
        return sum(b.credit for b in self._budgets.values())


def warmup_hosts(endpoint_name, host_names):
    """Return the hosts of a region that may send to a warming endpoint.

    Rendezvous hashing: hosts that know the same hosts select the same ones. With
    differing membership a few more may send, which the tolerance of the warm-up rate
    covers.
    """
    ranked = sorted(
        host_names,
        key=lambda h: xxhash.xxh64_intdigest(f"{endpoint_name}/{h}".encode()),
    )
    return ranked[:_MAX_WARMUP_HOSTS]


@attrs.define
class WarmupPacer:
    """Spaces this host's requests to one warming endpoint.

    Attributes
    ----------
    next_at : float
        Earliest time of the next request, in seconds.
    """

    next_at: float = float("-inf")

    def may_send(self, now):
        """Return whether a request may be sent now."""
        return now >= self.next_at

    def record_sent(self, rate_per_s, hosts, now):
        """Record a request.

        Parameters
        ----------
        rate_per_s : float
            Requests per second that the endpoint accepts from all hosts.
        hosts : int
            Number of hosts that share the rate.
        now : float
            Current time, in seconds.
        """
        self.next_at = now + hosts / rate_per_s

    def record_unpaced(self, now):
        """Record a request to the endpoint while it was taken for warm.

        If it turns out to warm up, the requests of the last moments count towards
        its rate.
        """
        self.next_at = now + _WARMUP_WINDOW_S
