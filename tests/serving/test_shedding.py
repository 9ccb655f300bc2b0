"""Hosts of the platform's path that are late refuse requests and are spared them."""

import collections

import attrs
import trio

from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.shedding import MAX_LAG_S, MIN_LAG_S, would_shed
from cactusmill.serving.membership import HostId, Member
from standins.loopback import running_deployment

from .test_membership import host_id
from .test_source_sync import Clock, new_host


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


def test_directory_names_late_hosts_less_often_and_no_other_region():
    clock = Clock(now=10.0)
    host = new_host("e0", clock, others=("e1", "e2", "e3"))
    for number, member in enumerate(host.membership.live(clock.now)):
        member.id = attrs.evolve(member.id, ip=f"10.0.0.{number}")
    west = HostId(
        name="w1", ip="10.0.1.1", zone="west-a", region="west", incarnation=""
    )
    host.membership.record_host(west, False, 0.0, clock.now)
    late, *others = host.membership.region_members()
    late.shed_average.part = 0.8
    answers = [
        host.hosts_for_callers("api.example", "east", clock.now) for _ in range(300)
    ]
    counts = collections.Counter(address for answer in answers for address in answer)
    assert counts.pop(f"{late.id.ip}:1") < 0.6 * len(answers)
    assert set(counts.values()) == {len(answers)} and len(counts) == 1 + len(others)
    assert "10.0.1.1:1" not in counts


def test_heartbeats_tell_what_a_host_sheds(monkeypatch):
    clock = Clock()
    host, other = new_host("e0", clock), new_host("e1", clock)
    slow_down(monkeypatch, other)
    for _ in range(100):
        clock.now += 0.1
        beat = other.gossip.build_heartbeat(clock.now, is_same_region=True)
        host.gossip.apply_heartbeat(beat, clock.now)
    (member,) = host.membership.region_members()
    assert 0.4 < member.shed_average.part < 0.6
