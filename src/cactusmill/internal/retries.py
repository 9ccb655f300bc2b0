"""Retry budgets: a share of recent successes, never a count alone."""

import attrs

_MAX_CREDIT = 10.0
_FIRST_CREDIT = 3.0


@attrs.define
class RetryBudget:
    """Retries that successes have paid for.

    Attributes
    ----------
    credit : float
        Retries that may be made now.
    """

    credit: float = _FIRST_CREDIT

    def record_success(self, share):
        """Add a success.

        Parameters
        ----------
        share : float
            Retries that one success pays for, 0 to 1.
        """
        self.credit = min(_MAX_CREDIT, self.credit + share)

    def spend(self):
        """Take one retry.

        Returns
        -------
        bool
            False if the budget is empty.
        """
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


@attrs.define
class RetryBudgets:
    """Budgets per team and for the host as a whole."""

    _host: RetryBudget = attrs.field(factory=RetryBudget)
    _teams: dict = attrs.field(factory=dict)

    def record_success(self, team, share):
        """Add a success of a team."""
        self._host.record_success(share)
        self._teams.setdefault(team, RetryBudget()).record_success(share)

    def spend(self, team):
        """Take one retry from the team's and the host's budget."""
        budget = self._teams.setdefault(team, RetryBudget())
        if budget.credit < 1.0 or not self._host.spend():
            return False
        return budget.spend()
