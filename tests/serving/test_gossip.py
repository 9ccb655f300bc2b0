"""Tests of how heartbeats are sent and received."""

import random

import attrs
import trio

from cactusmill.serving import gossip as gossip_module
from cactusmill.serving.gateway_host import GatewayHost, HostSettings
from cactusmill.serving.heartbeats import (
    MAX_REGION_RECEIVERS,
    REGION_HEARTBEAT_S,
    count_rounds,
)
from cactusmill.serving.membership import HostId

from .test_source_sync import Clock, new_host

HOSTS = 195


def make_host(name="me", ip="127.0.0.1", now=lambda: 1.0):
    cfg = HostSettings(
        host=name,
        ip=ip,
        zone="east-a",
        region="east",
        callers=f"{ip}:1",
        peers=f"{ip}:2",
        seeds=(),
        zones={"east-a": "east"},
    )
    return GatewayHost(cfg, None, None, rng=random.Random(1), now=now)


def heartbeat_of(number):
    """Return the first heartbeat of a host that has just started."""
    sender = make_host(f"host-{number}", f"127.0.{number // 250}.{number % 250}")
    return sender.gossip.build_heartbeat(1.0, is_same_region=True)


def answers_to_a_start_of_all_hosts(monkeypatch):
    """Return how many answers a host sends when a fleet starts within an interval."""
    answers = []
    host = make_host()
    monkeypatch.setattr(
        gossip_module.Gossip, "_send_all", lambda self, ips, beat: answers.extend(ips)
    )
    for number in range(HOSTS):
        now = 1.0 + REGION_HEARTBEAT_S * number / HOSTS
        host.gossip.apply_heartbeat(heartbeat_of(number), now)
        host.gossip._answer_new_members(now)
    return len(answers)


def test_hosts_that_start_together_are_not_all_answered(monkeypatch):
    assert answers_to_a_start_of_all_hosts(monkeypatch) <= 8


def test_without_the_limit_every_new_host_is_answered(monkeypatch):
    monkeypatch.setattr(gossip_module, "_MAX_ANSWERS", HOSTS)
    assert answers_to_a_start_of_all_hosts(monkeypatch) == HOSTS


def test_single_new_host_is_answered_at_once(monkeypatch):
    answers = []
    host = make_host()
    monkeypatch.setattr(
        gossip_module.Gossip, "_send_all", lambda self, ips, beat: answers.extend(ips)
    )
    host.gossip.apply_heartbeat(heartbeat_of(7), 1.0)
    host.gossip._answer_new_members(1.0)
    assert answers == ["127.0.0.7"]


def test_larger_regions_take_more_rounds():
    assert count_rounds(1) == 1
    assert count_rounds(1 + MAX_REGION_RECEIVERS) == 1
    assert count_rounds(2 + MAX_REGION_RECEIVERS) == 2


def test_unreadable_datagram_does_not_keep_others_from_being_applied():
    async def main():
        receiver = make_host(now=trio.current_time)
        receiver.gossip.port = 27999
        sender = make_host("sender", "127.0.0.2", now=trio.current_time)
        sender.gossip.port = 27999
        async with trio.open_nursery() as nursery:
            await nursery.start(receiver.gossip.run)
            await nursery.start(sender.gossip.run)
            sender.gossip._sock.sendto(b"\xff" * 9, ("127.0.0.1", 27999))
            beat = sender.gossip.build_heartbeat(0.0, is_same_region=True)
            sender.gossip._send_all(["127.0.0.1"], beat)
            with trio.fail_after(5.0):
                while not receiver.membership.knows(
                    HostId(
                        name="sender",
                        ip="127.0.0.2",
                        zone="east-a",
                        region="east",
                        incarnation=sender.membership.own_id.incarnation,
                    )
                ):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_socket_that_only_fails_does_not_stop_the_process():
    class FailingSocket:
        def recv(self, size):
            raise OSError("network is down")

    host = make_host()
    host.gossip._sock = FailingSocket()
    assert host.gossip._receive_batch() == []


def started_host_hears(sender, **heartbeat):
    """Return whether a host that started just now then knows what is held back."""
    clock = Clock(10.0)
    host = new_host("new", clock)
    host.started_at = clock.now
    host.cfg = attrs.evolve(host.cfg, seeds=("127.0.0.9",))
    host.gossip.apply_heartbeat(
        sender.gossip.build_heartbeat(clock.now, **heartbeat), clock.now
    )
    return host.is_informed(clock.now)


def test_started_host_is_not_informed_by_a_host_that_told_it_no_decisions():
    """Guards against a crash by each host that starts, of what others hold back."""
    other = new_host("other", Clock(10.0), others=["new"])
    assert started_host_hears(other, is_same_region=False)
    assert not started_host_hears(other, is_same_region=True)
    other.containment.convictions.convict([7], 3, 0.0, 1.0)
    assert not started_host_hears(other, is_same_region=True)
    assert not started_host_hears(other, is_same_region=False)
    assert started_host_hears(other, is_same_region=False, is_first=True)
