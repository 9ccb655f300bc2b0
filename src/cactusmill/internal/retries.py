"""Retry budgets that limit retries to a fraction of the successful requests.

Without a limit, retries would multiply the load on endpoints that are overloaded.
"""

import attrs

# Credit of one budget, in retries.
_MAX_CREDIT = 10.0
_INITIAL_CREDIT = 3.0


@attrs.define
class RetryBudget:
    """Retry credit earned by successful requests.

    Attributes
    ----------
    credit : float
        Retries currently available.
    """

    credit: float = _INITIAL_CREDIT

    def record_success(self, credit_per_success):
        """Earn credit for a successful request.

        Parameters
        ----------
        credit_per_success : float
            Retries that one success earns, 0 to 1.
        """
        self.credit = min(_MAX_CREDIT, self.credit + credit_per_success)

    def spend(self):
        """Spend the credit of one retry.

        Returns
        -------
        bool
            False if less than one retry is left.
        """
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


@attrs.define
class RetryBudgets:
    """Retry budgets of each team and of the whole host."""

    _host_budget: RetryBudget = attrs.field(factory=RetryBudget)
    _team_budgets: dict = attrs.field(factory=dict)

    def record_success(self, team, credit_per_success):
        """Earn credit for a successful request of a team."""
        self._host_budget.record_success(credit_per_success)
        self._team_budgets.setdefault(team, RetryBudget()).record_success(
            credit_per_success
        )

    def spend(self, team):
        """Spend one retry of both the team's and the host's budget, or return False."""
        budget = self._team_budgets.setdefault(team, RetryBudget())
        if budget.credit < 1.0 or not self._host_budget.spend():
            return False
        return budget.spend()
