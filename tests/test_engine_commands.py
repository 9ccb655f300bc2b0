"""Engines never revert to an older placement, even with two command issuers."""

import pytest
import trio

from cactusmill.internal import engine_commands
from cactusmill.internal.configuration import change_from_json
from standins.simulation import run_simulation

pytestmark = pytest.mark.histories
ENGINE = "engine-osrednja-1"


def put_placement(sim, generation):
    body = {"models": [f"povzetek-7b@{generation}"]}
    sim.configuration.put("placement", ENGINE, body)


def listed_body(sim, name):
    return next(c["body"] for c in sim.host_list.changes_since(0) if c["name"] == name)


def generations(engine):
    return [
        int(command["models"][0].partition("@")[2]) for _, command in engine.commands
    ]


def run_with_two_issuers(checks_fencing, seed=1):
    """Partition the issuer, list another one, and let the first one carry on.

    Returns the generations in the commands that the engine accepted, in order, and the
    models that it runs at the end.
    """

    async def scenario(sim):
        await sim.start()
        engine = sim.engines[ENGINE]
        engine.checks_fencing = checks_fencing
        body = {**listed_body(sim, ENGINE), "checks_fencing": checks_fencing}
        sim.host_list.put("endpoint", ENGINE, body)
        await trio.sleep(3)
        host = next(iter(sim.hosts.values()))
        endpoint = host.host_list.get("endpoint", ENGINE)
        old_issuer = engine_commands.issuer_of(endpoint, host.host_list).name
        put_placement(sim, 1)
        await trio.sleep(12)
        # The old issuer has generation 2 and the old host list. It can reach the
        # engine, but neither the platform nor any other host.
        sim.network.partition(old_issuer, "platform")
        for other in sim.settings:
            sim.network.partition(old_issuer, other)
        sim.hosts[old_issuer].records.apply(*put_placement_and_read_changes(sim, 2))
        sim.host_list.put("host", old_issuer, None)
        put_placement(sim, 3)
        await trio.sleep(30)
        # The engine loses its models, so both issuers see a difference.
        engine.models = []
        await trio.sleep(30)
        return generations(engine), engine.models

    return run_simulation(scenario, seed)


def put_placement_and_read_changes(sim, generation):
    put_placement(sim, generation)
    update = sim.configuration.changes_since(0)
    changes = [change_from_json(c) for c in update if c["kind"] == "placement"]
    return changes, sim.configuration.version


@pytest.mark.parametrize("checks_fencing", [True, False], ids=["checks", "ignores"])
def test_engine_never_reverts_to_an_older_placement(checks_fencing):
    seen, models = run_with_two_issuers(checks_fencing)
    after_change = seen[seen.index(3) :]
    assert set(after_change) == {3}
    assert models == ["povzetek-7b@3"]


def test_check_detects_an_issuer_whose_lease_never_expires(monkeypatch):
    monkeypatch.setattr(engine_commands, "holds_lease", lambda host, now: True)
    seen, _ = run_with_two_issuers(checks_fencing=False)
    assert set(seen[seen.index(3) :]) != {3}


def test_check_detects_tokens_that_ignore_the_host_list(monkeypatch):
    monkeypatch.setattr(
        engine_commands, "fencing_token", lambda hosts_version, record_version: 1
    )
    seen, _ = run_with_two_issuers(checks_fencing=True)
    assert set(seen[seen.index(3) :]) != {3}


def test_lost_commands_are_sent_again():
    async def scenario(sim):
        await sim.start()
        put_placement(sim, 1)
        sim.kill(ENGINE)
        await trio.sleep(15)
        sim.restart(ENGINE)
        await trio.sleep(5)
        return generations(sim.engines[ENGINE])

    assert run_simulation(scenario, 1) == [1]
