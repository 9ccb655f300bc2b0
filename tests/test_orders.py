"""Orders to engines under two issuers never go back to what was replaced."""

import pytest
import trio

from cactusmill.internal import engine_commands
from cactusmill.internal.configuration import change_from_json
from standins.simulation import run_simulation

pytestmark = pytest.mark.histories
ENGINE = "engine-osrednja-1"


def place(sim, generation):
    body = {"models": [f"povzetek-7b@{generation}"]}
    sim.configuration.put("placement", ENGINE, body)


def entry_of(sim, name):
    return next(c["body"] for c in sim.host_list._changes(0) if c["name"] == name)


def generations(engine):
    return [int(order["models"][0].partition("@")[2]) for _, order in engine.orders]


def run_two_issuers(checks_fencing, seed=1):
    """Part an issuer, name another, and let the first wake up and go on."""

    async def scenario(sim):
        await sim.start()
        engine = sim.engines[ENGINE]
        engine.checks_fencing = checks_fencing
        body = {**entry_of(sim, ENGINE), "checks_fencing": checks_fencing}
        sim.host_list.put("endpoint", ENGINE, body)
        await trio.sleep(3)
        host = next(iter(sim.hosts.values()))
        endpoint = host.host_list.get("endpoint", ENGINE)
        old = engine_commands.issuer_of(endpoint, host.host_list).name
        place(sim, 1)
        await trio.sleep(12)
        # The old issuer knows of generation 2 only, and of the old list; it
        # reaches the engine, but nobody else.
        sim.network.partition(old, "platform")
        for other in sim.settings:
            sim.network.partition(old, other)
        sim.hosts[old].records.apply(*as_changes(sim, 2))
        sim.host_list.put("host", old, None)
        place(sim, 3)
        await trio.sleep(30)
        # Its engine restarts with what it had; both issuers see a difference.
        engine.models = []
        await trio.sleep(30)
        return generations(engine), engine.models

    return run_simulation(scenario, seed)


def as_changes(sim, generation):
    place(sim, generation)
    update = sim.configuration._changes(0)
    changes = [change_from_json(c) for c in update if c["kind"] == "placement"]
    return changes, sim.configuration.version


@pytest.mark.parametrize("checks_fencing", [True, False], ids=["checks", "ignores"])
def test_engine_never_goes_back(checks_fencing):
    seen, models = run_two_issuers(checks_fencing)
    after_change = seen[seen.index(3) :]
    assert set(after_change) == {3}
    assert models == ["povzetek-7b@3"]


def test_check_sees_an_issuer_whose_right_never_lapses(monkeypatch):
    monkeypatch.setattr(engine_commands, "holds_lease", lambda host, now: True)
    seen, _ = run_two_issuers(checks_fencing=False)
    assert set(seen[seen.index(3) :]) != {3}


def test_check_sees_numbers_that_ignore_the_host_list(monkeypatch):
    monkeypatch.setattr(
        engine_commands, "fencing_token", lambda hosts_version, record_version: 1
    )
    seen, _ = run_two_issuers(checks_fencing=True)
    assert set(seen[seen.index(3) :]) != {3}


def test_lost_orders_are_given_again():
    async def scenario(sim):
        await sim.start()
        place(sim, 1)
        sim.kill(ENGINE)
        await trio.sleep(15)
        sim.restart(ENGINE)
        await trio.sleep(5)
        return generations(sim.engines[ENGINE])

    assert run_simulation(scenario, 1) == [1]
