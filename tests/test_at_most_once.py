"""Concurrent callers under faults: requests run at most once, refusals are correct."""

import collections

import attrs
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from cactusmill.errors import Outcome
from cactusmill.internal import at_most_once, link_server
from cactusmill.internal.identifiers import Minter
from cactusmill.internal.ledger import Ledger
from standins.faults import FAULT_KINDS
from standins.orders import ENROL_ROUTE, commit_orders
from standins.simulation import EXAMPLE, run_simulation

pytestmark = pytest.mark.histories


def run_history(seed, orders=80, duration_s=20.0, mean_fault_gap_s=1.0):
    async def scenario(sim):
        await sim.start()
        await trio.sleep(2)
        return await commit_orders(
            sim,
            orders=orders,
            duration_s=duration_s,
            mean_fault_gap_s=mean_fault_gap_s,
        )

    history = run_simulation(scenario, seed)
    print(f"seed {seed}: {history.sends} sends, faults {history.faults}")
    return history


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_orders_run_at_most_once_and_refusals_are_correct(seed):
    history = run_history(seed)
    assert sum(history.faults.values()) >= 8
    assert history.violations == []
    assert history.count_final("ran") > 40


fault_schedules = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.2, 1.0, 3.0]),
        st.sampled_from(FAULT_KINDS),
        st.sampled_from([0.3, 2.5, 7.0]),
    ),
    min_size=3,
    max_size=12,
)


@settings(max_examples=8, derandomize=True, deadline=None)
@given(fault_schedule=fault_schedules, seed=st.integers(0, 1000))
def test_orders_under_any_fault_schedule(fault_schedule, seed):
    async def scenario(sim):
        await sim.start()
        await trio.sleep(2)
        return await commit_orders(
            sim, orders=40, duration_s=10.0, fault_schedule=fault_schedule
        )

    assert run_simulation(scenario, seed).violations == []


def test_without_faults_every_order_runs():
    history = run_history(4, orders=60, mean_fault_gap_s=None)
    assert history.violations == []
    assert history.count_final("ran") == 60


def any_violation(seeds=range(1, 6)):
    return any(run_history(seed).violations for seed in seeds)


def test_checks_detect_execution_by_a_host_that_is_not_the_owner(monkeypatch):
    monkeypatch.setattr(at_most_once, "is_owner", lambda host, identifier: True)
    monkeypatch.setattr(link_server, "is_owner", lambda host, identifier: True)
    monkeypatch.setattr(Minter, "is_genuine", lambda self, identifier, team: True)
    assert any_violation()


def test_checks_detect_a_retry_after_bytes_were_sent(monkeypatch):
    send = at_most_once._send

    async def send_and_retry(host, req, endpoint, exchange):
        result = await send(host, req, endpoint, exchange)
        match result:
            case Failure(refusal) if refusal.outcome is Outcome.UNKNOWN:
                return None
        return result

    monkeypatch.setattr(at_most_once, "_send", send_and_retry)
    assert any_violation()


async def late_forward(sim):
    """Delay a forwarded order until its owner has refused the order as not run."""
    await sim.start()
    await trio.sleep(2)
    identifier = (await sim.mint("osrednja-1", "ljubljana"))[0]
    for name in sim.order_services:
        sim.kill(name)
    sim.network.partition("osrednja-1", "primorska-1")
    replies = []

    async def send(host):
        headers = [(b"idempotency-key", identifier.encode())]
        replies.append(
            await sim.call(
                host, "POST", "/enrolments", team="ljubljana", headers=headers
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, "primorska-1")
        await trio.sleep(0.3)
        await send("osrednja-1")
        for name in sim.order_services:
            sim.restart(name)
        await trio.sleep(0.7)
        sim.network.heal()
    outcomes = [reply.problem and reply.problem["outcome"] for reply in replies]
    return outcomes, sim.runs(identifier)


def test_not_run_is_final_for_an_attempt_that_arrives_later():
    assert run_simulation(late_forward, 1) == (["not_run", "not_run"], 0)


def test_checks_detect_a_refusal_that_is_not_final(monkeypatch):
    record_refusal = Ledger.record_refusal

    def refuse_and_forget(self, entry, refusal):
        record_refusal(self, entry, refusal)
        self._entries.pop(entry.identifier, None)

    monkeypatch.setattr(Ledger, "record_refusal", refuse_and_forget)
    assert run_simulation(late_forward, 1) == (["not_run", None], 1)


def test_checks_detect_not_run_reported_by_a_host_that_is_not_the_owner(monkeypatch):
    def report_not_run(host, req, reason):
        refusal = real_owner_lost_refusal(host, req, reason)
        return attrs.evolve(refusal, outcome=Outcome.NOT_RUN)

    real_owner_lost_refusal = at_most_once._owner_lost_refusal
    monkeypatch.setattr(at_most_once, "_owner_lost_refusal", report_not_run)
    assert any_violation()


def test_owner_is_reached_from_hosts_without_a_permanent_link():
    async def scenario(sim):
        await sim.start(EXAMPLE.parent / "west-bengal")
        await trio.sleep(5)
        statuses, runs = set(), set()
        for owner in sim.settings:
            for other in sim.settings:
                identifier = (await sim.mint(owner, "wards"))[0]
                headers = [(b"idempotency-key", identifier.encode())]
                reply = await sim.call(
                    other, "POST", "/orders", team="wards", headers=headers
                )
                statuses.add(reply.status)
                runs.add(sim.runs(identifier))
        return statuses, runs

    assert run_simulation(scenario, 1) == ({200}, {1})


@pytest.mark.parametrize(("checks", "expected"), [(True, 200), (False, 504)])
def test_lost_owner_is_replaced_only_if_endpoints_check_identifiers(checks, expected):
    async def scenario(sim):
        await sim.start()
        await trio.sleep(2)
        run_counts = collections.Counter()
        for order_service in sim.order_services.values():
            order_service.deduplicates, order_service.work_s, order_service.runs = (
                checks,
                0.3,
                run_counts,
            )
        route = {**ENROL_ROUTE, "checks_identifier": checks}
        sim.configuration.put("route", "enrol", route)
        await trio.sleep(3)
        identifier = (await sim.mint("osrednja-1", "ljubljana"))[0]
        headers = [(b"idempotency-key", identifier.encode())]
        statuses = []

        async def send(host):
            reply = await sim.call(
                host, "POST", "/enrolments", team="ljubljana", headers=headers
            )
            statuses.append(reply.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "stajerska-1")
            await trio.sleep(0.35)
            sim.kill("osrednja-1")
        return statuses, run_counts[identifier]

    assert run_simulation(scenario, 1) == ([expected], 1)
