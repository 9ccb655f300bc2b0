"""Each request ends in exactly one way, also beside faults, late turns and exits.

Faults are raised in the tasks that handle callers' and forwarded requests, wherever
they wait. The account must add up after each step of any task.
"""

import contextlib
import re
import time

import attrs
import h11
import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cactusmill.errors import AnswerCutError, Cut, ExchangeError
from cactusmill.internal.http import client_connection
from cactusmill.serving import edge, forwarding, gateway_host
from cactusmill.serving.pages import render_page
from standins.interruptions import Plan
from standins.loopback import (
    KEY,
    Reply,
    configuration,
    running_deployment,
    send_request_on,
)

EAST = (("e1", "east-a"),)
BOTH = (("e1", "east-a"), ("w1", "west-a"))
ENDPOINTS = (("engine-1", "east-a", "engines"), ("desk-1", "east-a", "desk"))
WEST_ENDPOINTS = (("engine-1", "west-a", "engines"), ("desk-1", "west-a", "desk"))
MIXED_ENDPOINTS = (("engine-1", "west-a", "engines"), ("desk-1", "east-a", "desk"))
PATHS = ("/look/1", "/order/1", "/chat/1", "/draft/1", "/none/1")
NOT_RUN_STATUSES = {408, 421, 429, 503}
MAX_AWAITS = 80


@pytest.fixture
def plan(monkeypatch):
    """Return the plan of faults in hosts that run during the test."""
    plan = Plan(where="callers")
    plan.interrupt(monkeypatch, edge, "_serve_request", "callers")
    plan.interrupt(monkeypatch, edge, "_cancel_on_disconnect", "callers")
    plan.interrupt(monkeypatch, forwarding, "_run_forward", "links")
    plan.interrupt(monkeypatch, forwarding, "_cancel_on_close", "links")
    return plan


class AccountCheck(trio.abc.Instrument):
    """Checks accounts after each step of any task.

    Attributes
    ----------
    hosts : dict of str to GatewayHost
        Hosts whose accounts are checked.
    wrong : list of dict
        Counts of accounts that did not add up.
    """

    def __init__(self, hosts):
        self.hosts, self.wrong = hosts, []

    def after_task_step(self, task):
        for host in self.hosts.values():
            for account in (host.account, host.forwards_account):
                if not account.adds_up():
                    self.wrong.append(account.counts())


@contextlib.asynccontextmanager
async def checked_deployment(**options):
    async with running_deployment(**options) as deployment:
        check = AccountCheck(deployment.hosts)
        trio.lowlevel.add_instrument(check)
        yield deployment
        trio.lowlevel.remove_instrument(check)
        assert not check.wrong
        for host in deployment.hosts.values():
            assert not host.account.running and not host.forwards_account.running


async def send(deployment, path, number=0, host="e1", budget_ms=9000):
    """Send a request; return the reply, of status 0 if nothing came."""
    model = "m" if path in ("/chat/1", "/draft/1") else ""
    stream = await deployment.connect(host)
    try:
        return await send_request_on(
            client_connection(stream),
            path,
            request_id=f"r-{number}",
            budget_ms=budget_ms,
            body=b"x" * 300,
            model=model,
        )
    except (h11.RemoteProtocolError, ExchangeError):
        return Reply(0, [], b"", False)
    finally:
        await trio.aclose_forcefully(stream)


async def settle(deployment):
    """Wait until no request runs."""
    await deployment.wait_until(
        lambda: (
            not any(
                h.account.running or h.forwards_account.running
                for h in deployment.hosts.values()
            )
        )
    )


def check_reply(deployment, reply, number):
    """Check that a caller got something, and that "not run" is true."""
    assert reply.status, f"request {number} got nothing"
    if reply.status in NOT_RUN_STATUSES and reply.is_complete:
        runs = [run for e in deployment.endpoints.values() for run in e.runs]
        assert f"r-{number}" not in runs


async def interrupt_each_await(deployment, plan, path):
    """Send requests with a fault at the first, second, ... await of each.

    Returns
    -------
    int
        Number of requests that met their fault.
    """
    ended = deployment.hosts["e1"].account.ended
    for number in range(1, MAX_AWAITS):
        before, plan.awaits_left = ended.copy(), number
        reply = await send(deployment, path, number)
        await settle(deployment)
        check_reply(deployment, reply, number)
        ((kind, reason),) = ended - before
        assert reply.is_complete or kind == "cut"
        if plan.awaits_left is None and plan.where == "callers":
            assert reason in ("InternalFault", Cut.INTERNAL_FAULT.value)
        if plan.awaits_left is not None:
            plan.awaits_left = None
            return number - 1
    raise AssertionError(f"over {MAX_AWAITS} awaits")


@pytest.mark.parametrize("path", PATHS)
def test_fault_at_any_await_is_answered_by_a_refusal_or_a_counted_cut(plan, path):
    async def main():
        with trio.fail_after(30):
            async with checked_deployment(
                hosts=EAST, endpoints=ENDPOINTS
            ) as deployment:
                assert await interrupt_each_await(deployment, plan, path) > 0

    trio.run(main)


@pytest.mark.parametrize("path", ["/look/1", "/order/1", "/draft/1"])
def test_fault_at_any_await_of_a_forwarded_request_is_reported(plan, path):
    async def main():
        plan.where = "links"
        with trio.fail_after(30):
            async with checked_deployment(
                hosts=BOTH, endpoints=WEST_ENDPOINTS
            ) as deployment:
                assert await interrupt_each_await(deployment, plan, path) > 0
                ended = deployment.hosts["w1"].forwards_account.ended
                assert ended["refusal", "InternalFault"] > 0

    trio.run(main)


def test_check_detects_a_host_that_closes_behind_a_fault(plan, monkeypatch):
    async def close(host, caller, event, refusal):
        return AnswerCutError(refusal.detail, Cut.INTERNAL_FAULT)

    async def main():
        async with checked_deployment(hosts=EAST, endpoints=ENDPOINTS) as deployment:
            with pytest.raises(AssertionError, match="got nothing"):
                await interrupt_each_await(deployment, plan, "/look/1")
            await settle(deployment)

    monkeypatch.setattr(edge, "_refuse", close)
    trio.run(main)


def test_check_detects_a_request_that_ends_twice(monkeypatch):
    refuse = edge._refuse

    async def refuse_twice(host, caller, event, refusal):
        failure = await refuse(host, caller, event, refusal)
        caller.entry.refuse(refusal)
        return failure

    async def main():
        async with running_deployment(hosts=EAST, endpoints=ENDPOINTS) as deployment:
            check = AccountCheck(deployment.hosts)
            trio.lowlevel.add_instrument(check)
            await send(deployment, "/look/1")
            assert not check.wrong
            await send(deployment, "/none/1")
            assert check.wrong

    monkeypatch.setattr(edge, "_refuse", refuse_twice)
    trio.run(main)


@pytest.fixture
def short_exit(monkeypatch):
    """Let hosts exit 0.3 s after they began to shut down."""
    monkeypatch.setattr(gateway_host, "DRAIN_S", 0.1)
    return 0.3 + gateway_host._EXIT_MARGIN_S


def slow_configuration(version=1):
    """Return a configuration whose routes allow long requests."""
    routes = [{**r, "timeout_ms": 30_000} for r in configuration()["routes"]]
    return configuration(version, routes=routes)


async def exit_while_running(deployment, path, host, events):
    """Return the reply to a request that runs while a host exits.

    Parameters
    ----------
    events : int
        Events of a stream that come at once; the others take longer than the host has.
    """
    desk, engine = deployment.endpoints["desk-1"], deployment.endpoints["engine-1"]
    desk.runs.clear()
    engine.runs.clear()
    desk.work_s, replies = 30.0, []

    async def stream(endpoint, conn, request):
        endpoint.runs.append(request)
        await endpoint._send_stream(conn, request, events)
        await trio.sleep(30.0)

    engine.handler = stream

    async def request():
        replies.append(await send(deployment, path))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(request)
        await deployment.wait_until(lambda: desk.runs or engine.runs)
        await trio.sleep(0.1)
        await host.shut_down()
    await settle(deployment)
    return replies[0]


@pytest.mark.parametrize("path", ["/order/1", "/look/1", "/draft/1"])
@pytest.mark.parametrize("host_name", ["e1", "w1"])
def test_requests_that_run_at_the_end_of_the_grace_time_are_refused(
    short_exit, path, host_name
):
    async def main():
        async with checked_deployment(
            hosts=BOTH, endpoints=WEST_ENDPOINTS, published=slow_configuration()
        ) as deployment:
            host = deployment.hosts[host_name]
            host.cfg = attrs.evolve(host.cfg, grace_s=short_exit)
            began_at = host.now()
            reply = await exit_while_running(deployment, path, host, events=0)
            assert host.now() - began_at < 2.0
            assert reply.status == 502 and reply.is_complete
            is_own = host_name == "e1"
            account = host.account if is_own else host.forwards_account
            assert account.ended == {("refusal", "HostExits"): 1}

    trio.run(main)


@pytest.mark.parametrize("host_name", ["e1", "w1"])
def test_refusals_at_the_exit_are_sent_though_the_process_ends_meanwhile(
    short_exit, monkeypatch, host_name
):
    """As on a late event loop, where work takes several turns to be cancelled."""

    async def main():
        async with checked_deployment(
            hosts=BOTH, endpoints=WEST_ENDPOINTS, published=slow_configuration()
        ) as deployment:
            host = deployment.hosts[host_name]
            host.cfg = attrs.evolve(host.cfg, grace_s=short_exit)
            reply = await exit_while_running(deployment, "/look/1", host, events=0)
            assert reply.status == 502 and reply.is_complete
            is_own = host_name == "e1"
            account = host.account if is_own else host.forwards_account
            assert account.ended == {("refusal", "HostExits"): 1}

    monkeypatch.setattr(gateway_host, "_EXIT_REFUSAL_S", 0.0)
    trio.run(main)


@pytest.mark.parametrize("host_name", ["e1", "w1"])
def test_streams_that_run_at_the_end_of_the_grace_time_are_cut_by_name(
    short_exit, host_name
):
    async def main():
        async with checked_deployment(
            hosts=BOTH, endpoints=WEST_ENDPOINTS, published=slow_configuration()
        ) as deployment:
            host = deployment.hosts[host_name]
            host.cfg = attrs.evolve(host.cfg, grace_s=short_exit)
            reply = await exit_while_running(deployment, "/draft/1", host, events=2)
            assert reply.status == 200 and not reply.is_complete
            is_own = host_name == "e1"
            account = host.account if is_own else host.forwards_account
            assert account.ended == {("cut", Cut.HOST_EXITS.value): 1}

    trio.run(main)


def test_check_detects_a_host_that_exits_without_refusing(short_exit, monkeypatch):
    async def main():
        async with running_deployment(
            hosts=EAST, endpoints=ENDPOINTS, published=slow_configuration()
        ) as deployment:
            host = deployment.hosts["e1"]
            host.cfg = attrs.evolve(host.cfg, grace_s=short_exit)
            reply = await exit_while_running(deployment, "/look/1", host, events=0)
            assert reply.status == 0

    async def do_nothing(host):
        pass

    monkeypatch.setattr(gateway_host.GatewayHost, "_refuse_running", do_nothing)
    trio.run(main)


STEPS = st.one_of(
    st.tuples(st.just("request"), st.sampled_from(PATHS)),
    st.tuples(st.just("fault"), st.sampled_from(PATHS), st.integers(1, 30)),
    st.tuples(st.just("forward fault"), st.sampled_from(PATHS), st.integers(1, 30)),
    st.tuples(st.just("leave"), st.sampled_from(PATHS), st.integers(0, 600)),
    st.tuples(st.just("malformed")),
    st.tuples(st.just("late turn")),
    st.tuples(st.just("reload")),
    st.tuples(st.just("settle")),
)


async def leave(deployment, path, size):
    """Send the first bytes of a request and close the connection."""
    head = f"POST {path} HTTP/1.1\r\nhost: api.example\r\n"
    head += f"authorization: Token {KEY}\r\ncontent-length: 300\r\n\r\n"
    stream = await deployment.connect("e1")
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all((head.encode() + b"x" * 300)[:size])
    await trio.aclose_forcefully(stream)


async def send_malformed(deployment):
    """Send bytes that are no request, and check that they are refused."""
    stream = await deployment.connect("e1")
    await stream.send_all(b"no request\r\n\r\n")
    assert (await stream.receive_some()).startswith(b"HTTP/1.1 400")
    await trio.aclose_forcefully(stream)


async def play(deployment, plan, steps):
    """Play steps that overlap until a settling step; check what callers get."""

    async def request(path, number):
        check_reply(deployment, await send(deployment, path, number), number)

    async with trio.open_nursery() as nursery:
        for number, (kind, *args) in enumerate(steps):
            if kind in ("fault", "forward fault"):
                plan.where = "callers" if kind == "fault" else "links"
                plan.awaits_left = args.pop()
            if kind in ("request", "fault", "forward fault"):
                nursery.start_soon(request, *args, number)
            elif kind == "leave":
                nursery.start_soon(leave, deployment, *args)
            elif kind == "malformed":
                nursery.start_soon(send_malformed, deployment)
            elif kind == "late turn":
                time.sleep(0.05)
            elif kind == "reload":
                deployment.store.put("op/config", slow_configuration(number + 2))
            else:
                await settle(deployment)
            await trio.sleep(0)


@given(steps=st.lists(STEPS, max_size=12), has_begun=st.booleans())
@settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
def test_account_adds_up_and_nobody_gets_nothing(plan, short_exit, steps, has_begun):
    async def main():
        async with checked_deployment(
            hosts=BOTH, endpoints=MIXED_ENDPOINTS, published=slow_configuration()
        ) as deployment:
            plan.awaits_left = None
            await play(deployment, plan, steps)
            await settle(deployment)
            plan.awaits_left = None
            # A region that refused a request gets none for a while.
            while (await send(deployment, "/draft/1", -1)).status != 200:
                await trio.sleep(0.02)
            host = deployment.hosts["e1"]
            host.cfg = attrs.evolve(host.cfg, grace_s=short_exit)
            events = 2 if has_begun else 0
            reply = await exit_while_running(deployment, "/draft/1", host, events)
            assert reply.status == 200 if has_begun else reply.is_complete

    trio.run(main)


def test_metrics_page_shows_an_account_that_adds_up():
    async def main():
        async with checked_deployment(hosts=EAST, endpoints=ENDPOINTS) as deployment:
            for path in PATHS:
                await send(deployment, path)
            await send_malformed(deployment)
            page = render_page(deployment.hosts["e1"], b"GET", "/metrics").body.decode()
            counts = {}
            for labels, value in re.findall(r"cactusmill_account{(.*)} (\d+)", page):
                fields = dict(re.findall(r'(\w+)="([^"]*)"', labels))
                key = (fields["state"], fields["reason"])
                counts[key] = counts.get(key, 0) + int(value)
            assert counts.pop(("read", "")) == sum(counts.values()) == len(PATHS) + 1
            assert counts["refusal", "UnknownRoute"] == 1
            assert counts["refusal", "MalformedRequest"] == 1
            assert counts["answer", ""] == len(PATHS) - 1

    trio.run(main)


def test_request_line_names_the_ending_and_follows_the_delivery(monkeypatch):
    lines = []

    def log_event(event, **fields):
        lines.append({"event": event, **fields})

    async def break_off(endpoint, conn, request):
        await endpoint._send_stream(conn, request, 2)

    async def main():
        async with checked_deployment(hosts=EAST, endpoints=ENDPOINTS) as deployment:
            await send(deployment, "/none/1", 1)
            await send(deployment, "/look/1", 2)
            deployment.endpoints["engine-1"].handler = break_off
            await send(deployment, "/draft/1", 3)
            await settle(deployment)

    monkeypatch.setattr(edge, "log_event", log_event)
    trio.run(main)
    endings = {
        line["request_id"]: (line["ending"], line["cut_reason"])
        for line in lines
        if line["event"] == "request"
    }
    assert endings == {
        "r-1": ("refusal", None),
        "r-2": ("answer", None),
        "r-3": ("cut", Cut.BROKE_OFF.value),
    }


def test_refusal_that_cannot_be_delivered_is_a_cut(monkeypatch):
    async def fail(*_):
        raise ExchangeError("the connection broke while sending")

    async def main():
        async with checked_deployment(hosts=EAST, endpoints=ENDPOINTS) as deployment:
            assert (await send(deployment, "/none/1")).status == 0
            ended = deployment.hosts["e1"].account.ended
            assert ended == {("cut", Cut.CALLER_GONE.value): 1}

    monkeypatch.setattr(edge, "_send_refusal", fail)
    trio.run(main)


def test_caller_that_does_not_read_a_stream_is_cut_by_that_name():
    async def pour(endpoint, conn, request):
        await conn.send(
            endpoint.head(request, extra=[("transfer-encoding", "chunked")])
        )
        while True:
            await conn.send(h11.Data(data=b"data: " + b"x" * 60_000 + b"\n\n"))

    async def main():
        async with checked_deployment(hosts=EAST, endpoints=ENDPOINTS) as deployment:
            deployment.endpoints["engine-1"].handler = pour
            account = deployment.hosts["e1"].account
            head = "POST /draft/1 HTTP/1.1\r\nhost: api.example\r\nmodel: m\r\n"
            head += f"authorization: Token {KEY}\r\ntoken-usage: 100,30\r\n"
            head += "deadline-ms: 2000\r\ncontent-length: 0\r\n\r\n"
            stream = await deployment.connect("e1")
            await stream.send_all(head.encode())
            await deployment.wait_until(lambda: account.ended.total())
            assert account.ended == {("cut", Cut.NOT_READ.value): 1}
            await trio.aclose_forcefully(stream)

    trio.run(main)
