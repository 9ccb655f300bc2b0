"""Requests of the own interface end in an answer, a refusal or a counted cut.

Faults are raised at each await of the handling, of callers' requests and of those that
another host forwarded.
"""

import pytest
import trio

from cactusmill.errors import AnswerCutError, Cut
from cactusmill.internal import edge, link_server
from standins.interruptions import Plan
from standins.simulation import CallFailedError, run_simulation

pytestmark = pytest.mark.histories
TEAM = "ljubljana"
HOST, OTHER_HOST = "osrednja-1", "osrednja-2"
MAX_AWAITS = 80


@pytest.fixture
def plan(monkeypatch):
    """Return the plan of faults in hosts that run during the test."""
    plan = Plan()
    plan.interrupt(monkeypatch, edge, "_serve_contained", "callers")
    plan.interrupt(monkeypatch, edge, "_cancel_on_hangup", "callers")
    plan.interrupt(monkeypatch, link_server, "_run_contained", "links")
    return plan


class AccountCheck(trio.abc.Instrument):
    """Collects the counts of accounts that do not add up after a step of any task."""

    def __init__(self, hosts):
        self.hosts, self.wrong = hosts, []

    def after_task_step(self, task):
        for host in self.hosts.values():
            for account in (host.account, host.forwards_account):
                if not account.adds_up():
                    self.wrong.append(account.counts())


@pytest.fixture
def lines(monkeypatch):
    """Return the log lines of callers' requests."""
    lines = []
    monkeypatch.setattr(
        edge, "log_fields", lambda event, **fields: lines.append(fields)
    )
    return lines


async def send(sim, kind, number, identifier):
    """Send one request; return the reply, or None if it was not complete."""
    try:
        if kind in ("chat", "stream"):
            text = f"question {number}"
            return await sim.chat(HOST, TEAM, text, stream=kind == "stream")
        if kind == "order":
            return await sim.call(
                HOST,
                "POST",
                "/enrolments",
                body=b"seat %d" % number,
                team=TEAM,
                headers=[(b"idempotency-key", identifier.encode())],
            )
        path = {"hosts": "/v1/hosts?identifiers=1", "none": "/none"}[kind]
        return await sim.call(HOST, "GET", path, team=TEAM)
    except CallFailedError:
        return None


async def interrupt_each_await(sim, plan, lines, kind, where, owner):
    """Send requests with a fault at the first, second, ... await of each.

    Returns
    -------
    int
        Number of requests that met their fault.
    """
    for number in range(1, MAX_AWAITS):
        identifier = (await sim.mint(owner, TEAM))[0]
        plan.awaits_left, plan.where = number, where
        reply = await send(sim, kind, number, identifier)
        plan.where = ""
        line = lines[-1]
        assert line["status"], f"request {number} got nothing"
        assert (reply is not None) or line["ending"] == "cut"
        if reply is not None and reply.problem is not None:
            if reply.problem["outcome"] == "not_run":
                assert sim.runs(identifier) == 0
        if plan.awaits_left is not None:
            return number - 1
    raise AssertionError(f"over {MAX_AWAITS} awaits")


def play(plan, lines, kind, where="callers", owner=HOST):
    """Return how many requests met a fault, and the account at its host."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(6)
        check = AccountCheck(sim.hosts)
        trio.lowlevel.add_instrument(check)
        met = await interrupt_each_await(sim, plan, lines, kind, where, owner)
        trio.lowlevel.remove_instrument(check)
        assert not check.wrong
        host = sim.hosts[HOST if where == "callers" else owner]
        assert host.faults == met
        host.faults = 0
        return met, host.account if where == "callers" else host.forwards_account

    return run_simulation(scenario, seed=1)


@pytest.mark.parametrize("kind", ["chat", "stream", "order", "hosts"])
def test_fault_at_any_await_is_answered_by_a_refusal_or_a_counted_cut(
    plan, lines, kind
):
    met, account = play(plan, lines, kind)
    ended = account.ended
    cuts = ended["cut", Cut.INTERNAL_FAULT.value]
    assert met > 0 and ended["refusal", "InternalFault"] + cuts == met


def test_fault_at_any_await_of_a_forwarded_order_is_reported(plan, lines):
    met, account = play(plan, lines, "order", "links", OTHER_HOST)
    ended = account.ended
    cuts = ended["cut", Cut.INTERNAL_FAULT.value]
    assert met > 0 and ended["refusal", "InternalFault"] + cuts == met


def test_check_detects_a_host_that_closes_behind_a_fault(plan, lines, monkeypatch):
    async def close(host, caller, refusal):
        raise AnswerCutError(refusal.detail, Cut.INTERNAL_FAULT)

    monkeypatch.setattr(edge, "send_refusal", close)
    with pytest.raises(BaseExceptionGroup) as caught:
        play(plan, lines, "chat")
    assert caught.group_contains(AssertionError, match="got nothing")
