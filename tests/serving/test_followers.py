"""What a host may conclude from another host's copy of the source."""

import functools

import trio
import trio.testing

from cactusmill.serving import history
from cactusmill.serving.watchers import choose_watchers
from standins.followers import FollowerFleet
from standins.loopback import Store, configuration

ZONES = {"east-a": "east", "west-a": "west"}
EAST = [f"h{n}" for n in range(8)]
WEST = ["w0", "w1"]
PLACES = {**dict.fromkeys(EAST, "east-a"), **dict.fromkeys(WEST, "west-a")}
# A machine is in touch once nothing has struck it for stable_window_ms. By then each
# change has been public for longer than drain_ms (4 s) and config_apply_ms (4 s).
IN_TOUCH_S = 6.0
STARTED_S = 3.0


def entry(started_ms, sequence):
    return {
        "service": "engines",
        "address": "127.0.0.1:9",
        "zone": "east-a",
        "slots": 8,
        "state": "ready",
        "seq": sequence,
        "born": started_ms,
    }


def new_fleet(seed=1, places=PLACES):
    store = Store(era=1)
    store.put("op/config", configuration(1))
    for number in range(4):
        store.put(f"servers/e{number}", entry(number + 1, 1))
    return FollowerFleet(store, ZONES, places, seed)


def run_scenario(scenario, *args, **kwargs):
    async def main():
        async with new_fleet(*args, **kwargs).run() as fleet:
            await trio.sleep(STARTED_S)
            return await scenario(fleet)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def all_problems(fleet):
    return [problem for name in fleet.places for problem in fleet.problems(name)]


async def copy_from_restarted_hosts(fleet, key):
    """Let a host that is cut off hear only of hosts that started after a removal."""
    fleet.running["w0"].link.is_cut = True
    for name in (*EAST, "w1"):
        fleet.running[name].scope.cancel()
    fleet.store.remove(key)
    await trio.sleep(0.2)
    for name in (*EAST, "w1"):
        fleet.start(name)
    await trio.sleep(4.0)
    problems = fleet.problems("w0")
    fleet.running["w0"].link.is_cut = False
    await trio.sleep(IN_TOUCH_S)
    return problems + all_problems(fleet)


def test_removal_before_the_start_of_all_other_hosts_reaches_one_that_is_cut_off():
    """Guards against requests to endpoints that have left, as in review/6."""
    scenario = functools.partial(copy_from_restarted_hosts, key="servers/e1")
    assert run_scenario(scenario) == []


def test_end_of_an_evacuation_before_the_start_of_all_others_reaches_one_cut_off():
    """Guards against a host that refuses all requests of a zone taken back."""

    async def scenario(fleet):
        fleet.store.put("op/evacuate/west-a", {})
        await trio.sleep(2.0)
        assert fleet.running["w0"].host.catalog.is_evacuated("west-a")
        return await copy_from_restarted_hosts(fleet, "op/evacuate/west-a")

    assert run_scenario(scenario) == []


def test_follower_does_not_lose_removals_that_restarted_hosts_never_saw():
    """Guards against requests to endpoints that have left, as in review/6."""

    async def scenario(fleet):
        watchers = choose_watchers(EAST)
        restarted = [name for name in EAST if name not in watchers][1:]
        for number in range(20):
            fleet.store.put(f"servers/x{number}", entry(100 + number, 1))
            await trio.sleep(1.0)
            # They list after the removal, and others may hear of it from them first.
            fleet.store.remove(f"servers/x{number}")
            for name in restarted:
                fleet.start(name)
            await trio.sleep(0.5)
        await trio.sleep(IN_TOUCH_S)
        return all_problems(fleet)

    assert run_scenario(scenario) == []


def test_follower_watches_if_nobody_else_has_what_it_lacks():
    async def scenario(fleet):
        follower = next(n for n in EAST if n not in choose_watchers(EAST))
        host = fleet.running[follower].host
        for other in fleet.running.values():
            client = other.host.source.export.__self__
            client._history.discard(host.catalog.revision + 1)
        fleet.store.remove("servers/e1")
        await trio.sleep(2.0)
        assert host.source_health.follow_after > host.now()
        return fleet.problems(follower)

    assert run_scenario(scenario) == []


def test_host_that_copied_another_lists_the_source_as_soon_as_it_can():
    async def scenario(fleet):
        problems = await copy_from_restarted_hosts(fleet, "servers/e1")
        host = fleet.running["w0"].host
        assert host.source_health.copied_at > 0
        return problems

    assert run_scenario(scenario) == []


def test_without_gaps_in_the_history_removals_are_lost(monkeypatch):
    monkeypatch.setattr(
        history.ChangeHistory, "complete_after", lambda self, since: since
    )
    scenario = functools.partial(copy_from_restarted_hosts, key="servers/e1")
    assert run_scenario(scenario) != []
