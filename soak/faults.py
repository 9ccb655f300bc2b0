"""Carries out a schedule of faults on a running fleet.

Each fault writes a `Strike` when it has ended, with the times at which it was carried
out. A target that another fault holds is left out; a fault without targets is not
struck.
"""

import contextlib
import functools
import random
import signal
import time

import attrs
import trio

from . import configurations, places
from .fleet import slot
from .history import Strike

# The platform removes an endpoint's entry after this silence, in seconds.
_SILENCE_UNTIL_REMOVED_S = 3.6
_DRAIN_S = 4.0
_READY_TIMEOUT_S = 30.0
_EXIT_POLL_S = 0.02
# Beginnings of the kinds that may strike what another fault holds.
_SHARED = ("store_", "zone_", "link_", "region_")
# Endpoints write their entries again within this time after the store's return.
_REWRITE_S = 2.0


@attrs.define(eq=False)
class Stage:
    """A running fleet, and what was published to it.

    Attributes
    ----------
    cfg : SoakSettings
    fleet : Fleet
    published : dict
        Configuration that was published last.
    record : callable
        Called with each `Strike`.
    changed : callable
        Called without arguments when the configuration was published.
    held : set of str
        Names of hosts and endpoints that a fault holds.
    present : dict of str to str
        Present name of each endpoint, by its first name.
    """

    cfg: object
    fleet: object
    published: dict
    record: object
    changed: object
    held: set = attrs.field(factory=set)
    present: dict = attrs.field(factory=dict)

    def publish(self, published, **details):
        """Publish a configuration."""
        at = self.fleet.put("op/config", published)
        self.published = published
        self.changed()
        self.record(
            Strike(
                kind="configuration",
                targets=["store"],
                began_at=at,
                details={
                    **details,
                    "version": published["version"],
                    "configuration": published,
                },
            )
        )

    def name(self, target):
        """Return the present name of a host or an endpoint."""
        return self.present.get(target, target)

    async def ended(self, name, timeout_s):
        """Wait for a process to end; return whether it did in time."""
        deadline = time.monotonic() + timeout_s
        while name in self.fleet.processes:
            if time.monotonic() > deadline:
                return False
            await trio.sleep(_EXIT_POLL_S)
            self.fleet.collect_exits()
        return True

    async def start_host(self, host):
        """Start a host and wait until it is ready; return when it was."""
        self.fleet.start_host(host)
        with trio.move_on_after(_READY_TIMEOUT_S):
            while not await trio.to_thread.run_sync(self.fleet.is_ready, host):
                await trio.sleep(0.1)
            return time.monotonic()
        return None

    async def start_endpoint(self, name, cold_s=0.0):
        """Start an endpoint and publish it."""
        self.present[slot(name)] = name
        await trio.to_thread.run_sync(self.fleet.start_endpoint, name, cold_s)

    def next_name(self, name):
        """Return the name of the next process in an endpoint's place."""
        first, _, number = name.partition(".")
        return f"{first}.{int(number or 1) + 1}"


async def strike_all(stage, schedule, started_at):
    """Carry out the faults of a schedule, each at its time.

    Parameters
    ----------
    stage : Stage
    schedule : sequence of Fault
    started_at : float
        Time from which the schedule counts.
    """
    async with trio.open_nursery() as nursery:
        for fault in schedule:
            nursery.start_soon(_strike, stage, fault, started_at + fault.at_s)


async def _strike(stage, fault, at):
    await trio.sleep(max(0.0, at - time.monotonic()))
    if "change" in fault.details:
        changed = configurations.apply_change(
            stage.published, fault.details, stage.cfg.deadline_s
        )
        stage.publish(changed, **fault.details)
        return
    holds = not fault.kind.startswith(_SHARED)
    targets = [t for t in fault.targets if not holds or t not in stage.held]
    if not targets:
        return
    if fault.kind == "rolling_restart":
        for host in fault.targets:
            await _strike(stage, _one_of_rolling(fault, host), time.monotonic())
        return
    stage.held.update(targets if holds else ())
    details = dict(fault.details)
    names = [stage.name(target) for target in targets]
    began_at, ended_at = time.monotonic(), None
    try:
        await ACTIONS[fault.kind](stage, targets, fault.for_s, details)
        ended_at = time.monotonic()
    finally:
        stage.held.difference_update(targets if holds else ())
        stage.record(
            Strike(
                kind=fault.kind,
                targets=names,
                began_at=began_at,
                ended_at=ended_at,
                details=details,
            )
        )


def _one_of_rolling(fault, host):
    details = {**fault.details, "is_rolling": True}
    return attrs.evolve(fault, kind="host_term", targets=(host,), details=details)


async def _pause(stage, targets, for_s, _details):
    names = [stage.name(target) for target in targets]
    try:
        for name in names:
            stage.fleet.signal(name, signal.SIGSTOP)
        await trio.sleep(for_s)
    finally:
        for name in names:
            stage.fleet.signal(name, signal.SIGCONT)


async def _terminate_host(stage, targets, for_s, details):
    (host,) = targets
    stage.fleet.expected.add(host)
    stage.fleet.signal(host, signal.SIGTERM)
    details["is_killed"] = not await stage.ended(host, details["grace_s"])
    if details["is_killed"]:
        stage.fleet.signal(host, signal.SIGKILL)
        await stage.ended(host, _READY_TIMEOUT_S)
    await _restart(stage, host, for_s, details)


async def _kill_host(stage, targets, for_s, details):
    (host,) = targets
    stage.fleet.expected.add(host)
    stage.fleet.signal(host, signal.SIGKILL)
    await stage.ended(host, _READY_TIMEOUT_S)
    await _restart(stage, host, for_s, details)


async def _restart(stage, host, for_s, details):
    details["exited_at"] = time.monotonic()
    await trio.sleep(for_s)
    # The next process of a host runs the new code.
    stage.fleet.sources.pop(host, None)
    details["started_at"] = time.monotonic()
    details["ready_at"] = await stage.start_host(host)


async def _reload_host(stage, targets, _for_s, _details):
    stage.fleet.signal(targets[0], signal.SIGHUP)


async def _kill_endpoint(stage, targets, for_s, details):
    old = stage.name(targets[0])
    stage.fleet.expected.add(old)
    stage.fleet.signal(old, signal.SIGKILL)
    await stage.ended(old, _READY_TIMEOUT_S)
    await _replace_endpoint(stage, old, for_s, details)


async def _replace_endpoint(stage, old, for_s, details):
    """Start an endpoint after a crash, under its old name or a new one."""
    await trio.sleep(for_s)
    new = stage.next_name(old) if details.get("new_name") else old
    await stage.start_endpoint(new, details.get("cold_s", 0.0))
    details["started"] = new
    if new != old:
        await trio.sleep(max(0.0, _SILENCE_UNTIL_REMOVED_S - for_s))
        del stage.fleet.entries[old]
        details["removed_at"] = stage.fleet.remove(f"servers/{old}")


async def _leave(stage, targets, for_s, details):
    old = stage.name(targets[0])
    fleet = stage.fleet
    if details["says_so"]:
        details["acknowledged_at"] = fleet.publish_endpoint(old, state="draining")
        fleet.command(old, do="leave")
    else:
        details["acknowledged_at"] = fleet.remove(f"servers/{old}")
    await trio.sleep(max(for_s, _DRAIN_S))
    fleet.expected.add(old)
    fleet.signal(old, signal.SIGKILL)
    await stage.ended(old, _READY_TIMEOUT_S)
    del fleet.entries[old]
    fleet.remove(f"servers/{old}")
    new = stage.next_name(old)
    await stage.start_endpoint(new)
    details["started"] = new


async def _crash(stage, targets, for_s, details):
    name = stage.name(targets[0])
    stage.fleet.expected.add(name)
    stage.fleet.command(name, do="crash_on", target="/")
    details["has_crashed"] = await stage.ended(name, _READY_TIMEOUT_S)
    if details["has_crashed"]:
        await _replace_endpoint(stage, name, for_s, details)


def _plant(action):
    async def plant(stage, targets, for_s, details):
        name = stage.name(targets[0])
        stage.fleet.command(name, do=action, **details)
        await trio.sleep(for_s)
        if name in stage.fleet.processes:
            ends = {"factor": 1.0} if action == "slower" else {"count": 0}
            stage.fleet.command(name, do=action, **ends)

    return plant


async def _fail_store(stage, targets, for_s, details):
    """Make the store fail for all hosts, or for one."""
    fleet = stage.fleet
    address = "*" if targets == ["store"] else fleet.store_address(targets[0])
    mode = {k: details[k] for k in ("down", "slow_s", "stale_s") if k in details}
    fleet.command("store", do="mode", address=address, mode=mode)
    try:
        await trio.sleep(for_s)
    finally:
        with contextlib.suppress(KeyError, OSError):
            fleet.command("store", do="mode", address=address, mode={})


async def _compact(stage, _targets, _for_s, _details):
    stage.fleet.command("store", do="compact")


async def _restore_copy(stage, _targets, for_s, details):
    """Bring the store back from a copy; then all write their items again."""
    fleet = stage.fleet
    await _fail_store(stage, ["store"], for_s, {"down": "503"})
    details["era"] = fleet.command("store", do="restore", age_s=details["age_s"])["era"]
    details["back_at"] = time.monotonic()
    order = random.Random(for_s)
    names = sorted(fleet.entries)
    order.shuffle(names)
    fleet.put("op/config", stage.published)
    for name in names:
        await trio.sleep(order.uniform(0, 2 * _REWRITE_S / len(names)))
        if name in fleet.entries and name in fleet.processes:
            fleet.publish_endpoint(name)


async def _evacuate(stage, targets, for_s, details):
    key = f"op/evacuate/{targets[0]}"
    details["acknowledged_at"] = stage.fleet.put(key, {})
    await trio.sleep(for_s)
    details["taken_back_at"] = stage.fleet.remove(key)


async def _fail_links(stage, targets, for_s, details):
    """Let the proxies before hosts or endpoints fail."""
    names = [link for target in targets for link in stage.fleet.links(target)]
    await _fail_proxies(stage, names, for_s, details)


async def _fail_proxies(stage, names, for_s, details):
    command = functools.partial(stage.fleet.command, "proxies")
    if "share" in details:
        for name in names:
            command(reset=name, share=details["share"])
        return
    rule = {k: details[k] for k in ("delay_s", "silence") if k in details}
    try:
        for name in names:
            command(set=name, **rule)
        await trio.sleep(for_s)
    finally:
        with contextlib.suppress(KeyError, OSError):
            for name in names:
                command(heal=name)


async def _part_region(stage, targets, for_s, _details):
    zones = places.zones(stage.cfg)
    names = [
        f"{host}/control"
        for host, zone in places.hosts(stage.cfg).items()
        if zones[zone] in targets
    ]
    await _fail_proxies(stage, names, for_s, {"silence": "both"})


ACTIONS = {
    "link_delay": _fail_links,
    "link_reset": _fail_links,
    "link_one_way": _fail_links,
    "link_silence": _fail_links,
    "region_part": _part_region,
    "endpoint_pause": _pause,
    "host_term": _terminate_host,
    "host_kill": _kill_host,
    "host_pause": _pause,
    "host_reload": _reload_host,
    "endpoint_kill": _kill_endpoint,
    "endpoint_leave": _leave,
    "endpoint_crash": _crash,
    "endpoint_break_off": _plant("break_off"),
    "endpoint_spoil": _plant("spoil"),
    "endpoint_lose": _plant("lose"),
    "endpoint_slow": _plant("slower"),
    "store_down": _fail_store,
    "store_slow": _fail_store,
    "store_stale": _fail_store,
    "store_turn_away": _fail_store,
    "store_forget": _compact,
    "store_copy": _restore_copy,
    "zone_evacuate": _evacuate,
}
