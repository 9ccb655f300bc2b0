"""Load of concurrent orders under faults, with a check of at-most-once execution.

A caller retries an order under its identifier through any host until it gets a
final outcome, and uses another identifier only after ``not_run``. The check
compares the outcomes that callers received with the executions that the order
services counted.
"""

import attrs
import trio

from standins.faults import FaultInjector
from standins.simulation import CallFailedError

# Attempts of one order before its caller gives up.
MAX_SENDS = 8
# Time after the load in which attempts that are still running may end.
SETTLE_S = 60.0
# Orders have a token cost here, so that some exceed the team's rate.
ENROL_ROUTE = {
    "prefix": "/enrolments",
    "kind": "service",
    "service": "enrolment",
    "repeatable": False,
    "timeout_s": 5,
    "status_path": "/enrolment-status/",
}


@attrs.define
class Order:
    """One order and the outcomes that its caller received.

    Attributes
    ----------
    number : int
        Sequence number of the order.
    outcomes : list of (str, str)
        For each attempt its identifier and outcome: "ran", "not_run",
        "unknown", or "lost" if no complete response arrived.
    """

    number: int
    outcomes: list = attrs.field(factory=list)

    @property
    def identifiers(self):
        """Identifiers under which the order was sent."""
        return {identifier for identifier, _ in self.outcomes}

    @property
    def final_outcome(self):
        """Outcome of the last attempt."""
        return self.outcomes[-1][1] if self.outcomes else "never sent"


@attrs.define
class OrderHistory:
    """Orders and faults of one run.

    Attributes
    ----------
    orders : list of Order
        By ascending number.
    faults : dict of str to int
        Number of injected faults by kind.
    violations : list of str
        Violations of at-most-once execution; empty if there are none.
    """

    orders: list = attrs.field(factory=list)
    faults: dict = attrs.field(factory=dict)
    violations: list = attrs.field(factory=list)

    @property
    def sends(self):
        """Total number of attempts."""
        return sum(len(order.outcomes) for order in self.orders)

    def count_final(self, outcome):
        """Return the number of orders with a final outcome."""
        return sum(order.final_outcome == outcome for order in self.orders)


async def commit_orders(
    sim,
    *,
    orders,
    duration_s,
    mean_fault_gap_s=None,
    fault_schedule=(),
    team="ljubljana",
    work_s=0.05,
):
    """Send orders under faults and check their history.

    Parameters
    ----------
    sim : Simulation
        A started simulation.
    orders : int
        Number of orders, spread evenly over the duration.
    duration_s : float
        Duration of the load, in seconds.
    mean_fault_gap_s : float or None
        Mean time between random faults, in seconds; None for no random faults.
    fault_schedule : list of (float, str, float)
        Scheduled faults, see :meth:`FaultInjector.inject_schedule`.
    team : str
        Team that sends the orders.
    work_s : float
        Processing time of each order, in seconds.

    Returns
    -------
    OrderHistory
    """
    history = OrderHistory()
    sim.configuration.put("route", "enrol", {**ENROL_ROUTE, "charge_tokens": 60})
    for order_service in sim.order_services.values():
        order_service.work_s = work_s
    async with trio.open_nursery() as nursery:
        injector = FaultInjector(sim, mean_fault_gap_s or 1.0)
        if mean_fault_gap_s is not None:
            end = trio.current_time() + duration_s
            nursery.start_soon(injector.inject_until, end)
        nursery.start_soon(injector.inject_schedule, fault_schedule)
        for number in range(orders):
            order = Order(number)
            history.orders.append(order)
            nursery.start_soon(_send_until_final, sim, order, team)
            await trio.sleep(duration_s / orders)
    await trio.sleep(SETTLE_S)
    history.faults = injector.counts
    history.violations = check_orders(history.orders, sim.runs)
    return history


async def _send_until_final(sim, order, team):
    identifier = await _mint_identifier(sim, team)
    for _ in range(MAX_SENDS):
        if identifier is None:
            return
        outcome, next_identifier = await _send(sim, order, identifier, team)
        if outcome == "ran":
            # With probability 0.1, a caller resends an order that has run.
            if sim.rng.random() > 0.1:
                return
        elif outcome == "not_run":
            identifier = next_identifier or await _mint_identifier(sim, team)
        await trio.sleep(sim.rng.uniform(0, 1.5))


async def _mint_identifier(sim, team):
    for _ in range(MAX_SENDS):
        name = sim.rng.choice(sorted(sim.settings))
        try:
            minted = await sim.mint(name, team)
        except CallFailedError:
            minted = []
        if minted:
            return minted[0]
        await trio.sleep(0.5)
    return None


async def _send(sim, order, identifier, team):
    if sim.rng.random() < 0.15:
        # Two connections of one caller send the same identifier concurrently.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_attempt, sim, order, identifier, team)
            return await _send_attempt(sim, order, identifier, team)
    return await _send_attempt(sim, order, identifier, team)


async def _send_attempt(sim, order, identifier, team):
    name = sim.rng.choice(sorted(sim.settings))
    try:
        reply = await sim.call(
            name,
            "POST",
            "/enrolments",
            body=f"seat {order.number}".encode(),
            team=team,
            headers=[(b"idempotency-key", identifier.encode())],
            timeout_s=sim.rng.uniform(0.5, 8.0),
        )
    except CallFailedError:
        order.outcomes.append((identifier, "lost"))
        return "lost", None
    problem = reply.problem or {"outcome": "ran"}
    order.outcomes.append((identifier, problem["outcome"]))
    return problem["outcome"], problem.get("identifier")


def check_orders(orders, runs):
    """Return the violations of at-most-once execution.

    Parameters
    ----------
    orders : list of Order
        Orders with the outcomes that their callers received.
    runs : callable
        ``runs(identifier)`` returns how often the order services executed it.

    Returns
    -------
    list of str
        One message per violation.
    """
    violations = []
    for order in orders:
        for identifier in sorted(order.identifiers):
            count = runs(identifier)
            outcomes = {outcome for i, outcome in order.outcomes if i == identifier}
            if count > 1:
                violations.append(f"order {order.number}: ran {count} times")
            if "not_run" in outcomes and count:
                violations.append(f"order {order.number}: reported as not run, but ran")
            if "ran" in outcomes and count != 1:
                violations.append(
                    f"order {order.number}: reported as run, executions: {count}"
                )
        total = sum(runs(identifier) for identifier in order.identifiers)
        if total > 1:
            violations.append(f"order {order.number}: ran {total} times in total")
    return violations
