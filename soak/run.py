"""Runs a fleet under callers and faults, and returns the history of what was seen."""

import contextlib
import functools
import json
import os
import pathlib
import re
import signal
import time

import attrs
import trio

from . import configurations, places
from .faults import Stage, strike_all
from .fleet import BOUNDS, Fleet, WorldError
from .history import Sample, encode_record, read_history
from .schedule import encode_schedule

_READY_TIMEOUT_S = 60.0
_SETTLE_S = 1.5
_SAMPLE_INTERVAL_S = 2.0
_EXIT_POLL_S = 0.1
# Callers end this long after the end of the load at the latest.
_CALLERS_END_S = 20.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_METRIC = re.compile(r"([A-Za-z_:][\w:]*(?:\{[^}]*\})?) ([0-9.eE+-]+)$", re.M)
# Written by the runner, the callers and the endpoints.
_RECORDS = ("world.jsonl", "callers.jsonl", "runs.jsonl")
CALLERS = ("-m", "soak.callers")


def play(cfg, schedule, folder, callers=CALLERS):
    """Run a schedule of faults.

    Parameters
    ----------
    cfg : SoakSettings
        Settings of the run.
    schedule : sequence of Fault
        What strikes, and when.
    folder : pathlib.Path
        Folder for logs, settings and the history; it has none of an earlier run.
    callers : sequence of str
        Arguments of Python that start the callers.

    Returns
    -------
    History

    Raises
    ------
    WorldError
        If a process does not start. Nothing is left running.
    """
    if cfg.path != "platform":
        raise WorldError(f"path: {cfg.path!r} cannot be played yet; use 'platform'")
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    if any((folder / name).exists() for name in _RECORDS):
        raise WorldError(f"{folder} holds the records of a run; name another folder")
    (folder / "schedule.json").write_text(encode_schedule(schedule))
    before = signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with (folder / "world.jsonl").open("w") as file:

            def record(item):
                file.write(encode_record(item) + "\n")
                file.flush()

            fleet = Fleet(cfg, folder, record)
            try:
                trio.run(_play, cfg, schedule, fleet, record, callers)
                fleet.stop()
            finally:
                fleet.kill_all()
    except* (WorldError, OSError) as group:
        raise WorldError(_first_cause(group)) from group
    finally:
        signal.signal(signal.SIGTERM, before)
    return _collect(cfg, folder)


def _first_cause(exc):
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return str(exc)


async def _play(cfg, schedule, fleet, record, callers):
    if cfg.old_source:
        # A host that is started again runs the new code.
        fleet.sources.update(dict.fromkeys(places.hosts(cfg), cfg.old_source))
    fleet.start_store()
    if cfg.proxies:
        fleet.start_proxies()
    first = configurations.first_configuration(cfg)
    world_file = fleet.folder.resolve() / "world.json"
    until = [time.monotonic() + 10 * _READY_TIMEOUT_S]

    def write_world():
        world = {
            "seed": cfg.seed,
            "until": until[0],
            "callers": cfg.callers,
            "hosts": fleet.world(),
            "configuration": stage.published,
            "keys": configurations.keys_by_team(stage.published),
        }
        _write_atomically(world_file, json.dumps(world))

    stage = Stage(cfg, fleet, first, record, write_world)
    stage.publish(first)
    async with trio.open_nursery() as nursery:
        for name in places.endpoints(cfg):
            nursery.start_soon(trio.to_thread.run_sync, fleet.start_endpoint, name)
    for host in places.hosts(cfg):
        fleet.start_host(host)
    await _wait_ready(cfg, fleet)
    started_at = time.monotonic()
    until[0] = started_at + cfg.seconds
    write_world()
    history = str(fleet.folder.resolve() / "callers.jsonl")
    fleet.expected.add("callers")
    fleet.start("callers", [*callers, "--world", str(world_file), "--history", history])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_exits, fleet)
        nursery.start_soon(_sample_forever, cfg, fleet, record)
        with trio.move_on_after(cfg.seconds + _CALLERS_END_S + cfg.grace_s):
            await strike_all(stage, schedule, started_at)
        with trio.move_on_after(max(0, until[0] - time.monotonic()) + _CALLERS_END_S):
            while "callers" in fleet.processes:
                await trio.sleep(_EXIT_POLL_S)
        _check_callers(fleet)
        nursery.cancel_scope.cancel()


def _check_callers(fleet):
    if fleet.exit_codes.get("callers") != 0:
        raise WorldError(
            f"the callers did not end well (exit code {fleet.exit_codes.get('callers')}"
            f"); their log:\n{fleet.log_tail('callers')}"
        )


def _write_atomically(path, text):
    new = path.with_suffix(".new")
    new.write_text(text)
    os.replace(new, path)


async def _wait_ready(cfg, fleet):
    deadline = time.monotonic() + _READY_TIMEOUT_S
    for host in places.hosts(cfg):
        while not await trio.to_thread.run_sync(fleet.is_ready, host):
            process = fleet.processes[host]
            if process.poll() is not None or time.monotonic() > deadline:
                raise WorldError(
                    f"{host} is not ready (exit code {process.poll()}); its log:\n"
                    f"{fleet.log_tail(host)}"
                )
            await trio.sleep(0.1)
    await trio.sleep(_SETTLE_S)


async def _watch_exits(fleet):
    while True:
        fleet.collect_exits()
        for name in {"store", "proxies"} & set(fleet.exit_codes):
            raise WorldError(f"the {name} ended; log:\n{fleet.log_tail(name)}")
        await trio.sleep(_EXIT_POLL_S)


async def _sample_forever(cfg, fleet, record):
    while True:
        for host in places.hosts(cfg):
            sample = functools.partial(_sample, fleet, host)
            found = await trio.to_thread.run_sync(sample, abandon_on_cancel=True)
            if found is not None:
                record(found)
        await trio.sleep(_SAMPLE_INTERVAL_S)


def _sample(fleet, host):
    """Return a sample of a host, or None if it does not respond."""
    process = fleet.processes.get(host)
    if process is None:
        return None
    folder = pathlib.Path("/proc") / str(process.pid)
    with contextlib.suppress(OSError):
        metrics = _METRIC.findall(fleet.read_metrics(host))
        pages = (folder / "statm").read_text().split()[1]
        return Sample(
            host=host,
            incarnation=f"{host}-{process.pid}",
            at=time.monotonic(),
            metrics={name: float(value) for name, value in metrics},
            rss_bytes=int(pages) * _PAGE_BYTES,
            descriptors=len(list((folder / "fd").iterdir())),
        )
    return None


def _collect(cfg, folder):
    """Join the records of all processes into one history, and write it."""
    records = []
    for name in _RECORDS:
        path = folder / name
        if path.exists():
            with path.open() as lines:
                part = read_history(lines)
            records += part.attempts + part.strikes + part.samples + part.exits
            records += _last_states(part.runs)
    settings = {
        **attrs.asdict(cfg),
        "zone_regions": places.zones(cfg),
        "host_zones": places.hosts(cfg),
        "bounds": {**BOUNDS, "grace_s": cfg.grace_s},
    }
    lines = [json.dumps({"settings": settings}), *map(encode_record, records)]
    (folder / "history.jsonl").write_text("\n".join(lines) + "\n")
    return read_history(lines)


def _last_states(runs):
    """Return the last record of each run: one is written at its start and its end."""
    by_run = {(r.incarnation, r.request_id, r.received_at): r for r in runs}
    return list(by_run.values())
