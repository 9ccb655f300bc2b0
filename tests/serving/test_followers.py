"""What a host may conclude from another host's copy of the source."""

import functools
import math

import pytest
import trio
import trio.testing
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cactusmill.serving import catalog, history, item_cache, source_sync
from cactusmill.serving.watchers import choose_watchers
from standins.followers import FollowerFleet
from standins.loopback import Store, configuration
from standins.stepped_run import SteppedRun

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


async def receive_an_export_after_a_listing(fleet):
    """Let an export that has an endpoint arrive after a listing that lacks it."""
    fleet.link_s = 1.0, 1.0
    fleet.running["w0"].link.is_cut = True
    await trio.sleep(4.0)
    fleet.store.put("servers/x", entry(100, 1))
    await trio.sleep(1.5)
    fleet.store.remove("servers/x")
    fleet.store.compact_history()
    fleet.running["w0"].link.is_cut = False
    await trio.sleep(IN_TOUCH_S)
    return all_problems(fleet)


def test_export_that_arrives_after_a_listing_restores_no_removed_endpoint():
    """Guards against requests to endpoints that have left, on slow links."""
    assert run_scenario(receive_an_export_after_a_listing) == []


async def restore_without_publishing_again(fleet):
    await trio.sleep(IN_TOUCH_S)
    copy = fleet.store.copy()
    fleet.store.put("servers/x", entry(100, 1))
    fleet.store.put("op/evacuate/east-a", {})
    await trio.sleep(1.0)
    fleet.store.restore(copy)
    await trio.sleep(catalog.SETTLE_S + IN_TOUCH_S)
    return all_problems(fleet)


def test_follower_takes_what_an_older_copy_of_the_source_lost_as_gone():
    """Guards against endpoints that followers list for ever after an era began."""
    assert run_scenario(restore_without_publishing_again) == []


def test_follower_watches_if_nobody_else_has_what_it_lacks():
    async def scenario(fleet):
        follower = next(n for n in EAST if n not in choose_watchers(EAST))
        host = fleet.running[follower].host
        for other in fleet.running.values():
            cache = other.host.source.export.__self__
            cache.history.discard(host.catalog.revision + 1)
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


def test_host_that_always_lacks_history_is_not_asked_without_pause(monkeypatch):
    """Guards against fetches one after the other, from a host with a faulty build."""

    async def export(cache, since, revision):
        return await item_cache._pack_export(2**50, since, ())

    monkeypatch.setattr(item_cache.ItemCache, "export", export)

    async def scenario(fleet):
        fleet.running["w0"].link.is_cut = True
        fleet.exports = 0
        fleet.store.remove("servers/e1")
        await trio.sleep(IN_TOUCH_S)
        return fleet.exports

    assert run_scenario(scenario) < 100


class Followers(RuleBasedStateMachine):
    """Hosts that list, follow, restart, are cut off and rejoin."""

    @initialize(seed=st.integers(0, 99), link_s=st.sampled_from([0.003, 0.3, 1.0]))
    def start(self, seed, link_s):
        self.fleet = new_fleet(seed)
        self.fleet.link_s = 0.003, link_s
        self.run = SteppedRun(self.main)
        self.evacuated, self.entries = set(), {f"e{n}": (n + 1, 1) for n in range(4)}
        self.version, self.starts = 1, 100
        self.copies, self.now, self.era_at = [], 0.0, 0.0
        self.wait(STARTED_S)

    async def main(self, task_status):
        async with self.fleet.run():
            task_status.started()
            await trio.sleep_forever()

    def teardown(self):
        if hasattr(self, "run"):
            self.run.close()

    @rule(wait_s=st.sampled_from([0.01, 0.05, 0.1, 0.2, 0.5, 2.0]))
    def wait(self, wait_s):
        self.run.step(trio.sleep, wait_s)
        self.now += wait_s

    @rule(number=st.integers(0, 7))
    def publish(self, number):
        name = f"e{number}"
        self.starts += 1
        started_ms, sequence = self.entries.get(name, (self.starts, 0))
        self.entries[name] = started_ms, sequence + 1
        self.fleet.store.put(f"servers/{name}", entry(*self.entries[name]))

    @rule(number=st.integers(0, 7))
    def remove(self, number):
        if self.entries.pop(f"e{number}", None):
            self.fleet.store.remove(f"servers/e{number}")

    @rule(number=st.integers(0, 7), names=st.sets(st.sampled_from(EAST), min_size=3))
    def remove_while_hosts_restart(self, number, names):
        self.remove(number)
        self.restart(names)

    @rule(zone=st.sampled_from(sorted(ZONES)))
    def evacuate(self, zone):
        key = f"op/evacuate/{zone}"
        if zone in self.evacuated:
            self.evacuated.discard(zone)
            self.fleet.store.remove(key)
        else:
            self.evacuated.add(zone)
            self.fleet.store.put(key, {})

    @rule()
    def configure(self):
        self.version += 1
        self.fleet.store.put("op/config", configuration(self.version))

    @rule(names=st.sets(st.sampled_from(sorted(PLACES)), min_size=1, max_size=5))
    def restart(self, names):
        for name in sorted(names):
            self.fleet.start(name)

    @rule(name=st.sampled_from(sorted(PLACES)), is_cut=st.booleans())
    def cut_from_source(self, name, is_cut):
        self.fleet.running[name].link.is_cut = is_cut

    @rule(name=st.sampled_from(sorted(PLACES)), is_isolated=st.booleans())
    def isolate(self, name, is_isolated):
        self.fleet.running[name].is_isolated = is_isolated

    @rule()
    def forget_history(self):
        self.fleet.store.compact_history()

    @rule(age=st.integers(0, 2))
    def restore_older_copy(self, age):
        self.copies.append(self.fleet.store.copy())
        self.fleet.store.restore(self.copies[-1 - min(age, len(self.copies) - 1)])
        self.wait(0.5)
        self.publish_again()
        self.era_at = self.now

    def publish_again(self):
        """Let the writers publish what is true, and remove what is not."""
        store = self.fleet.store
        for name in sorted(self.entries):
            self.publish(int(name[1:]))
        self.fleet.store.put("op/config", configuration(self.version))
        for zone in sorted(ZONES):
            key = f"op/evacuate/{zone}"
            if zone in self.evacuated:
                store.put(key, {})
            elif key in store.items:
                store.remove(key)
        for key in sorted(store.items):
            kind, _, name = key.partition("/")
            if kind == "servers" and name not in self.entries:
                store.remove(key)

    @precondition(lambda self: self.now - self.era_at > IN_TOUCH_S)
    @rule()
    def compare_after_quiet(self):
        """Compare the hosts that are in touch after a time without any change."""
        self.wait(IN_TOUCH_S)
        for name, follower in self.fleet.running.items():
            if not (follower.link.is_cut or follower.is_isolated):
                self.check(name)

    @rule()
    def rejoin(self):
        """End all cuts, and compare all hosts once they are in touch."""
        for follower in self.fleet.running.values():
            follower.link.is_cut = follower.is_isolated = False
        self.wait(catalog.SETTLE_S + IN_TOUCH_S)
        for name in PLACES:
            self.check(name)

    def check(self, name):
        assert self.fleet.problems(name) == []
        known = self.fleet.running[name].host.catalog.configuration
        assert known.version == self.version


def play_followers(max_examples):
    run_state_machine_as_test(
        Followers,
        settings=settings(
            max_examples=max_examples,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
        ),
    )


@pytest.mark.histories
def test_catalogs_agree_with_the_source_whatever_hosts_copy_from_each_other():
    play_followers(60)


def test_without_gaps_in_the_history_removals_are_lost(monkeypatch):
    monkeypatch.setattr(
        history.ChangeHistory, "complete_after", lambda self, since: since
    )
    scenario = functools.partial(copy_from_restarted_hosts, key="servers/e1")
    assert run_scenario(scenario) != []


def test_without_a_listing_after_it_settled_an_era_leaves_endpoints_behind(monkeypatch):
    monkeypatch.setattr(source_sync, "_listing_due_at", lambda *_: math.inf)
    assert run_scenario(restore_without_publishing_again) != []
