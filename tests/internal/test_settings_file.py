"""Settings files that change, are cut or are missing at any moment."""

import json
import os

import attrs
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.internal import signals
from cactusmill.internal.host_process import HostProcess
from cactusmill.internal.settings_file import (
    SettingsFile,
    find_changes,
    wait_for_settings,
)
from cactusmill.platform.dialect import DIALECT
from cactusmill.platform.settings import decode_platform_settings
from cactusmill.serving.gateway_host import GatewayHost
from cactusmill.settings import parse_settings

from ..helpers import settings_data
from ..platform.test_settings import SETTINGS

# Longer than a poll of the file.
WATCHED_S = 1.5


def text_with(seed):
    """Return valid settings that differ in one seed."""
    return json.dumps({**SETTINGS, "seeds": [f"10.9.0.{seed}:1"]}).encode()


@attrs.define
class Log:
    lines: list = attrs.field(factory=list)

    def __call__(self, event, **fields):
        self.lines.append((event, fields))

    def count(self, event):
        return sum(name == event for name, _ in self.lines)


def open_file(path):
    log = Log()
    return SettingsFile(str(path), decode_platform_settings, log), log


def seeds_after(changes, path):
    """Return the seeds in force after changes made one after the other, and the log.

    The first change is made between the start's read and the first look of the watch.
    """
    settings_file, log = open_file(path)
    in_force = []

    async def main():
        in_force.append(settings_file.load().host.seeds)
        async with trio.open_nursery() as nursery:
            apply = lambda cfg: in_force.append(cfg.host.seeds)
            changes[0]()
            nursery.start_soon(settings_file.watch, apply)
            for change in changes[1:]:
                await trio.sleep(WATCHED_S)
                change()
            await trio.sleep(WATCHED_S)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return in_force, log


def test_change_before_the_first_look_of_the_watch_is_applied(tmp_path):
    """Guards against a change of the file that is never read."""
    path = tmp_path / "local.json"
    path.write_bytes(text_with(1))
    in_force, _ = seeds_after([lambda: path.write_bytes(text_with(2))], path)
    assert in_force == [("10.9.0.1",), ("10.9.0.2",)]


def test_change_that_keeps_size_and_time_of_the_file_is_applied(tmp_path):
    """Guards against two writes within one tick of the file system's clock."""
    path = tmp_path / "local.json"
    path.write_bytes(text_with(1))
    before = path.stat()

    def change():
        path.write_bytes(text_with(2))
        os.utime(path, ns=(before.st_atime_ns, before.st_mtime_ns))

    in_force, _ = seeds_after([change], path)
    assert in_force[-1] == ("10.9.0.2",) and path.stat().st_size == before.st_size


def test_rejected_file_is_logged_once_and_applied_when_mended(tmp_path):
    path = tmp_path / "local.json"
    path.write_bytes(text_with(1))
    in_force, log = seeds_after(
        [
            lambda: path.write_bytes(text_with(2)[:40]),
            lambda: None,
            lambda: path.write_bytes(text_with(2)),
        ],
        path,
    )
    assert in_force == [("10.9.0.1",), ("10.9.0.2",)]
    assert log.count("settings_rejected") == 1


def test_file_that_returns_as_it_was_after_it_was_missing(tmp_path):
    path = tmp_path / "local.json"
    path.write_bytes(text_with(1))
    in_force, log = seeds_after(
        [path.unlink, lambda: None, lambda: path.write_bytes(text_with(1))], path
    )
    assert set(in_force) == {("10.9.0.1",)}
    assert log.count("settings_rejected") == 1


contents = st.one_of(
    st.sampled_from([b"", b"{}", b"[]", b"\xff\xfe\x00", None]),
    st.builds(lambda n: text_with(1)[:n], st.integers(0, len(text_with(1)) - 1)),
    st.integers(1, 3).map(text_with),
    st.binary(max_size=20),
)


@given(st.lists(contents, min_size=1, max_size=6), st.integers(1, 3))
def test_last_valid_content_is_in_force_after_any_states(tmp_path_factory, states, n):
    path = tmp_path_factory.mktemp("settings") / "local.json"
    path.write_bytes(text_with(0))

    def put(content):
        if content is None:
            path.unlink(missing_ok=True)
        else:
            path.write_bytes(content)

    changes = [lambda content=content: put(content) for content in states]
    in_force, _ = seeds_after([*changes, lambda: put(text_with(n))], path)
    assert in_force[-1] == (f"10.9.0.{n}",)


@attrs.frozen
class Signals:
    """Signals that arrive after some time, as an iterator."""

    numbers: tuple
    after_s: float

    def __aiter__(self):
        return self._arrive()

    async def _arrive(self):
        await trio.sleep(self.after_s)
        for number in self.numbers:
            yield number
        await trio.sleep_forever()


@pytest.mark.parametrize(
    ("numbers", "is_mended", "is_started"),
    [
        ((), True, True),
        ((signals.RELOAD, signals.RELOAD), True, True),
        ((signals.RELOAD, signals.SHUT_DOWN[0]), True, False),
        ((signals.SHUT_DOWN[1],), False, False),
    ],
)
def test_start_waits_for_valid_settings(tmp_path, numbers, is_mended, is_started):
    path = tmp_path / "local.json"
    settings_file, _ = open_file(path)

    async def mend():
        await trio.sleep(5.0)
        if is_mended:
            path.write_bytes(text_with(1))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(mend)
            with trio.fail_after(10.0):
                return await wait_for_settings(settings_file, Signals(numbers, 2.0))

    cfg = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert (cfg is not None) == is_started


def test_fields_that_need_a_restart_are_named():
    cfg = decode_platform_settings(text_with(1), "local.json")
    other = attrs.evolve(cfg, store="10.0.0.1:1", host=attrs.evolve(cfg.host, seeds=()))
    assert find_changes(cfg, other, frozenset({"host"})) == ["store"]
    assert find_changes(cfg.host, other.host, frozenset()) == ["seeds"]


def test_running_gateway_takes_over_what_it_can_and_names_the_rest():
    """Guards against fields of a changed file that never take force."""
    cfg = decode_platform_settings(text_with(1), "local.json").host
    host = GatewayHost(cfg, DIALECT, None)
    changed = attrs.evolve(
        cfg, seeds=("10.9.0.2",), grace_s=3.0, retry_ratio=0.5, zone="west-a"
    )
    assert host.apply_settings(changed) == ["zone"]
    assert host.cfg == attrs.evolve(changed, zone=cfg.zone)
    assert host.gossip.seeds == ("10.9.0.2",) and host.retry_budgets.ratio == 0.5
    host.is_leaving = True
    host.apply_settings(attrs.evolve(changed, grace_s=9.0))
    assert host.cfg.grace_s == 3.0


def test_running_cactusmilld_takes_over_what_it_can_and_names_the_rest():
    cfg = parse_settings(settings_data())
    host = HostProcess(cfg)
    changed = attrs.evolve(cfg, drain_s=9.0, watch_s=0.5, zone="west-a")
    assert host.apply_settings(changed) == ["zone"]
    assert host.cfg == attrs.evolve(changed, zone=cfg.zone)
