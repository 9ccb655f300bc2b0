"""Concurrent callers that commit orders under faults, and their history.

A caller resends an order under its identifier through any host until it gets
a final answer, and takes another identifier only after "not run". The checks
compare what callers were told with the runs that the order desks counted.
"""

import attrs
import trio

from standins.faults import FaultInjector
from standins.simulation import CallFailedError

MAX_SENDS = 8
SETTLE_S = 60.0
# Orders cost tokens here, so that some are refused for the team's rate.
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
    """One order and what its caller was told.

    Attributes
    ----------
    number : int
        The order.
    told : list of (str, str)
        Each identifier with an outcome: "ran", "not_run", "unknown", or
        "lost" where no whole answer came.
    """

    number: int
    told: list = attrs.field(factory=list)

    @property
    def identifiers(self):
        """Identifiers that the order was sent under."""
        return {identifier for identifier, _ in self.told}

    @property
    def final(self):
        """The last outcome that was told."""
        return self.told[-1][1] if self.told else "never sent"


@attrs.define
class OrderHistory:
    """All orders of one run.

    Attributes
    ----------
    orders : list of Order
        In the order of their numbers.
    faults : dict of str to int
        Faults that struck, by kind.
    violations : list of str
        What must not have happened; empty if all held.
    """

    orders: list = attrs.field(factory=list)
    faults: dict = attrs.field(factory=dict)
    violations: list = attrs.field(factory=list)

    @property
    def sends(self):
        """Number of sends."""
        return sum(len(order.told) for order in self.orders)

    def count_final(self, outcome):
        """Return how many orders ended with an outcome."""
        return sum(order.final == outcome for order in self.orders)


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
    """Commit orders under faults and check the history.

    Parameters
    ----------
    sim : Simulation
        A started deployment.
    orders : int
        How many orders are committed over the duration.
    duration_s : float
        Length of the run, in seconds.
    mean_fault_gap_s : float or None
        Mean time between random faults, in seconds; None for none.
    fault_schedule : list of (float, str, float)
        Planned faults, see :meth:`FaultInjector.inject_schedule`.
    team : str
        Whose orders.
    work_s : float
        Mean time that a desk works on an order, in seconds.

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
            nursery.start_soon(_commit, sim, order, team)
            await trio.sleep(duration_s / orders)
    await trio.sleep(SETTLE_S)
    history.faults = injector.counts
    history.violations = check_orders(history.orders, sim.runs)
    return history


async def _commit(sim, order, team):
    identifier = await _first_identifier(sim, team)
    for _ in range(MAX_SENDS):
        if identifier is None:
            return
        outcome, identifier_given = await _send(sim, order, identifier, team)
        if outcome == "ran":
            # Now and then a caller sends even an answered order again.
            if sim.rng.random() > 0.1:
                return
        elif outcome == "not_run":
            identifier = identifier_given or await _first_identifier(sim, team)
        await trio.sleep(sim.rng.uniform(0, 1.5))


async def _first_identifier(sim, team):
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
        # Two connections of one caller race with one identifier.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_one, sim, order, identifier, team)
            return await _send_one(sim, order, identifier, team)
    return await _send_one(sim, order, identifier, team)


async def _send_one(sim, order, identifier, team):
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
        order.told.append((identifier, "lost"))
        return "lost", None
    problem = reply.problem or {"outcome": "ran"}
    order.told.append((identifier, problem["outcome"]))
    return problem["outcome"], problem.get("identifier")


def check_orders(orders, runs):
    """Return what must not have happened.

    Parameters
    ----------
    orders : list of Order
        With what their callers were told.
    runs : callable
        ``runs(identifier)`` returns how often the desks ran it.

    Returns
    -------
    list of str
    """
    violations = []
    for order in orders:
        for identifier in sorted(order.identifiers):
            count = runs(identifier)
            told = {outcome for i, outcome in order.told if i == identifier}
            if count > 1:
                violations.append(f"order {order.number}: ran {count} times")
            if "not_run" in told and count:
                violations.append(f"order {order.number}: told 'not run', but ran")
            if "ran" in told and count != 1:
                violations.append(f"order {order.number}: told 'ran', ran {count}")
        total = sum(runs(identifier) for identifier in order.identifiers)
        if total > 1:
            violations.append(f"order {order.number}: ran {total} times in all")
    return violations
