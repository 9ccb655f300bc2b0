"""Requests stay in their team's permitted regions and visit each host at most once.

The tests search all traffic between machines for a marker in the request's body.
"""

import pytest
import trio

from cactusmill.internal import at_most_once, repeatable, request, zone_routing
from standins.faults import FaultInjector
from standins.simulation import CallFailedError, run_simulation

pytestmark = pytest.mark.histories
TEAM = "koper"  # permitted regions: primorska and osrednja
FORBIDDEN_ZONE = "stajerska-a"
MARK = "confidential-notes-of-koper"


class ResidencyTap:
    """Traffic tap that records marked bytes sent from or to the forbidden zone."""

    def __init__(self):
        self.leaks = set()
        self.hops = {}

    def __call__(self, sender, receiver, data):
        if MARK.encode() not in data or sender.name.startswith("caller"):
            return
        if FORBIDDEN_ZONE in (receiver.zone, sender.zone):
            self.leaks.add((sender.name, receiver.name))


async def send_everywhere(sim, inject_faults, duration_s=15.0):
    replies = []

    async def send(host, number):
        try:
            text = f"{MARK} {number}"
            replies.append((host, await sim.chat(host, TEAM, text, max_tokens=4)))
        except CallFailedError:
            pass

    end = trio.current_time() + duration_s
    number = 0
    async with trio.open_nursery() as nursery:
        if inject_faults:
            nursery.start_soon(FaultInjector(sim, 0.7).inject_until, end)
        while trio.current_time() < end:
            number += 1
            nursery.start_soon(send, sim.rng.choice(sorted(sim.settings)), number)
            await trio.sleep(0.15)
    return replies


def run_residency(seed, inject_faults=True, kill_permitted=False):
    tap = ResidencyTap()

    async def scenario(sim):
        await sim.start()
        await trio.sleep(5)
        if kill_permitted:
            for name in sim.engines:
                if "stajerska" not in name:
                    sim.kill(name)
        return await send_everywhere(sim, inject_faults)

    return run_simulation(scenario, seed, tap=tap), tap


@pytest.mark.parametrize("seed", [1, 2])
def test_no_byte_of_a_request_leaves_its_permitted_regions(seed):
    replies, tap = run_residency(seed)
    assert tap.leaks == set()
    assert any(reply.status == 200 for _, reply in replies)


def test_request_is_refused_if_every_permitted_endpoint_is_dead():
    replies, tap = run_residency(1, inject_faults=False, kill_permitted=True)
    assert tap.leaks == set()
    assert {reply.status for _, reply in replies} <= {421, 429, 503}


def test_refusal_lists_hosts_of_permitted_regions():
    replies, _ = run_residency(1, inject_faults=False)
    forbidden = [r for host, r in replies if host.startswith("stajerska")]
    assert forbidden
    for reply in forbidden:
        assert reply.status == 421
        assert len(reply.problem["hosts"]) == 4


def test_check_detects_a_gateway_that_permits_all_regions(monkeypatch):
    for module in (request, at_most_once, zone_routing):
        monkeypatch.setattr(module, "is_permitted", lambda region, team, route: True)
    _, tap = run_residency(1, inject_faults=False, kill_permitted=True)
    assert tap.leaks


def test_no_request_is_forwarded_to_a_host_twice(monkeypatch):
    forwards = []
    real = repeatable.forward

    async def recorded(host, peer, req, sink):
        forwards.append((req.request_id, peer.host.name, host.cfg.host))
        return await real(host, peer, req, sink)

    monkeypatch.setattr(repeatable, "forward", recorded)

    async def scenario(sim):
        await sim.start()
        await trio.sleep(5)
        # Without engines, every zone attempts spillover to the others.
        for name in sim.engines:
            sim.kill(name)
        return await send_everywhere(sim, False, duration_s=5.0)

    replies = run_simulation(scenario, 1)
    assert forwards
    assert replies
    visits = {}
    for request_id, target, source in forwards:
        visited = visits.setdefault(request_id, [source])
        # Only the host that accepted the request forwards it.
        assert visited[0] == source
        assert target not in visited
        visited.append(target)
