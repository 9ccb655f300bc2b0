"""Hosts of the platform's path that are late refuse requests and are spared them."""

import trio

from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.shedding import MAX_LAG_S, MIN_LAG_S, would_shed
from cactusmill.serving.membership import Member
from standins.loopback import running_deployment

from .test_membership import host_id


def test_host_is_spared_forwarded_requests_while_its_report_is_recent():
    member = Member(
        id=host_id("w1"), last_seen_at=10.0, reported_at=10.0, lag_s=MAX_LAG_S
    )
    assert would_shed(member, 0.9, 10.5)
    assert not would_shed(member, 0.9, 20.0)
    member.lag_s = MIN_LAG_S
    assert not would_shed(member, 0.0, 10.5)


def slow_down(monkeypatch, host):
    """Let a host's event loop appear to be late."""

    def lag_s(self, now):
        return 2 * MAX_LAG_S if self is host.loop else 0.0

    host.shedder.is_on = True
    monkeypatch.setattr(LoopMonitor, "lag_s", lag_s)


def test_shed_request_is_refused_as_not_run_and_its_connection_kept(monkeypatch):
    async def main():
        endpoints = (("desk-1", "east-a", "desk"),)
        with trio.fail_after(20):
            async with running_deployment(endpoints=endpoints) as deployment:
                host = deployment.hosts["e1"]
                slow_down(monkeypatch, host)
                for _ in range(3):
                    reply = await deployment.send_request(
                        "e1", "/order/1", body=b"x" * 20_000
                    )
                    assert reply.status == 503 and reply.is_complete
                    assert float(reply.header(b"retry-after")) > 0
                    assert reply.header(b"connection") is None
                    assert reply.header(b"request-id") == "r-1"
                assert host.shedder.count == 3
                assert not deployment.endpoints["desk-1"].received

    trio.run(main)


def test_host_short_of_processor_time_is_not_forwarded_to(monkeypatch):
    async def main():
        hosts = (("e1", "east-a"), ("w1", "west-a"))
        endpoints = (("desk-w", "west-a", "desk"),)
        with trio.fail_after(20):
            async with running_deployment(
                hosts=hosts, endpoints=endpoints
            ) as deployment:
                west = deployment.hosts["w1"]
                slow_down(monkeypatch, west)
                east = deployment.hosts["e1"].membership
                await deployment.wait_until(
                    lambda: any(m.lag_s >= MAX_LAG_S for m in east.known())
                )
                reply = await deployment.send_request("e1", "/look/1")
                assert reply.status == 503
                assert west.shedder.count == 0 and west.forwards_running == 0

    trio.run(main)
