"""Hosts of the own interface whose event loop is late refuse a part of new requests."""

import threading
import time

import attrs
import pytest
import trio
from returns.result import Success

from cactusmill.internal import edge
from cactusmill.internal.loop_monitor import LoopMonitor
from cactusmill.internal.net import TCP, split_address
from cactusmill.internal.shedding import MAX_LAG_S
from standins.loopback import next_port
from standins.simulation import run_simulation

from ..serving.test_late_hosts import (
    CAPACITY_PER_S,
    SLOWED_S,
    Outcome,
    call_steadily,
)
from ..test_fuzz import make_host

ENROL = "/enrolments"
SEED = 1


def overload(monkeypatch, load, sheds=True):
    """Call a slowed host with `load` times what it can run."""
    outcome, address = Outcome(), f"127.0.0.1:{next_port()}"

    async def run_slowly(host, req, sink):
        time.sleep(SLOWED_S)
        await sink.whole(200, [(b"content-length", b"2")], b"{}")
        return Success(None)

    monkeypatch.setattr(edge, "run_repeatable", run_slowly)

    async def main():
        host = make_host()
        host.shedder.is_on = sheds
        host.loop.install()

        async def serve(stream):
            await edge.serve_caller(host, stream)

        async with trio.open_nursery() as nursery:
            await nursery.start(TCP.serve, address, serve, nursery)
            args = split_address(address), b"/open/1", load * CAPACITY_PER_S, outcome
            thread = threading.Thread(target=call_steadily, args=args)
            thread.start()
            while thread.is_alive():
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        host.loop.remove()

    trio.run(main)
    return outcome


@pytest.mark.parametrize("load", [2, 4])
def test_host_that_sheds_loses_fewer_callers_than_one_that_does_not(monkeypatch, load):
    # Both run on this machine as it is now, whatever else it does.
    without = overload(monkeypatch, load, sheds=False)
    outcome = overload(monkeypatch, load)
    assert without.statuses["left"] > 0.3 * sum(without.statuses.values())
    assert outcome.statuses["left"] < 0.5 * without.statuses["left"]
    assert outcome.statuses[200] > without.statuses[200]


@attrs.define
class Lateness:
    """Lets the event loops of some hosts appear to be late."""

    hosts: list = attrs.field(factory=list)

    def lag_s(self, monitor, now):
        """Return the lag of a host's event loop, in seconds."""
        return 2 * MAX_LAG_S if any(h.loop is monitor for h in self.hosts) else 0.0


@pytest.fixture
def late(monkeypatch):
    late = Lateness()
    monkeypatch.setattr(LoopMonitor, "lag_s", lambda *args: late.lag_s(*args))
    return late


def test_shed_request_is_refused_as_not_run_and_reaches_no_engine(late):
    async def scenario(sim):
        await sim.start()
        host = sim.hosts["osrednja-1"]
        late.hosts = [host]
        reply = await sim.chat("osrednja-1", "ljubljana", "dan")
        assert reply.status == 503 and reply.problem["outcome"] == "not_run"
        assert float(reply.headers[b"retry-after"]) > 0
        assert host.shedder.count == 1
        late.hosts = []
        assert (await sim.chat("osrednja-1", "ljubljana", "dan")).status == 200

    run_simulation(scenario, SEED)


@pytest.mark.parametrize("late_host", ["osrednja-1", "osrednja-2"])
def test_shed_order_runs_once_when_it_is_repeated(late, late_host):
    # The first host owns the identifier; the second is asked by the caller.
    async def scenario(sim):
        await sim.start()
        identifier = (await sim.mint("osrednja-1", "ljubljana"))[0]

        async def enrol(host):
            headers = [(b"idempotency-key", identifier.encode())]
            return await sim.call(
                host, "POST", ENROL, body=b"{}", team="ljubljana", headers=headers
            )

        late.hosts = [sim.hosts[late_host]]
        for _ in range(3):
            reply = await enrol("osrednja-2")
            # Another host cannot know whether an earlier attempt has run.
            assert reply.status == 503 and reply.problem["outcome"] == "unknown"
            assert reply.headers[b"retry-after"]
        assert sim.hosts[late_host].shedder.count == 3
        assert sim.runs(identifier) == 0
        late.hosts = []
        assert (await enrol("osrednja-2")).status == 200
        late.hosts = [sim.hosts[late_host]]
        # It has run, so that "not run" would be wrong.
        assert (await enrol("osrednja-2")).problem["outcome"] == "unknown"
        late.hosts = []
        assert (await enrol("osrednja-2")).status == 200
        assert sim.runs(identifier) == 1

    run_simulation(scenario, SEED)


def test_forwarded_request_that_a_late_host_sheds_is_served_elsewhere(late):
    async def scenario(sim):
        await sim.start()
        # Its own zone has no engine left, so that it forwards.
        for name in [n for n in sim.engines if "osrednja" in n]:
            sim.kill(name)
        late.hosts = [sim.hosts["primorska-1"], sim.hosts["primorska-2"]]
        statuses = [
            (await sim.chat("osrednja-1", "ljubljana", f"dan {n}")).status
            for n in range(4)
        ]
        assert statuses == [200] * 4
        assert sum(host.shedder.count for host in late.hosts) > 0

    run_simulation(scenario, SEED)


def test_directory_is_served_by_a_late_host(late):
    async def scenario(sim):
        await sim.start()
        late.hosts = list(sim.hosts.values())
        assert await sim.mint("osrednja-1", "ljubljana")

    run_simulation(scenario, SEED)
