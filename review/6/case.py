"""Workers leave while machines are restarted; other hosts never hear of it.

Four machines are restarted at a time, and workers leave meanwhile without a report that
they drain: their entries are removed, and they serve on for a while. Consumers send
requests to the hosts that are not restarted. The check is the rule DRAIN: no request
reaches a worker later than drain_ms after the store has acknowledged that it is gone.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import stage  # noqa: E402

ZONES = {"osrednja-a": "osrednja"}
HOSTS = {f"front-osrednja-a-{n}": "osrednja-a" for n in range(1, 29)}
# 43 in 100 of the machines, four at a time, and all of that four times.
BATCHES = [
    [f"front-osrednja-a-{n}" for n in range(first, first + 4)] for first in (17, 21, 25)
] * 4
RESTARTED = {host for batch in BATCHES for host in batch}
SERVICE = "desk"
WORKERS = 112
# Workers that leave with each restart: at most 15 in 100 of those that are there.
LEAVING = 6
FIRST_REMOVAL_S, GAP_S = 0.3, 0.1
DRAIN_S = stage.BOUNDS["drain_ms"] / 1000
LINGER_S = 8.0
# Time on the way from the host to the worker, in favour of the hosts.
MARGIN_S = 0.1
REQUEST_GAP_S = 0.04
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def published():
    """Return the configuration: one safe route."""
    route = {
        "name": "look",
        "host": "api.example",
        "path_prefix": "/look/",
        "kind": "safe",
        "service": SERVICE,
        "max_attempts": 2,
        "timeout_ms": 2500,
        "target_latency_ms": 400,
        "priority": 0,
    }
    return stage.configuration([route], [{"name": SERVICE, "max_conns": 96}])


async def consume(play, host, ends):
    """Send requests to one host, one after the other."""
    while not ends.is_set():
        await play.ask(host, "/look/1")
        await asyncio.sleep(REQUEST_GAP_S)


async def restart(play, hosts):
    """Restart machines, as a rolling restart does with four at a time."""
    await asyncio.gather(*(play.end_host(host) for host in hosts))
    for host in hosts:
        await play.start_host(host)


async def take_away(play, leaving, removed):
    """Remove the entries of workers that leave; they serve on for a while."""
    await asyncio.sleep(FIRST_REMOVAL_S)
    for worker in leaving:
        removed[worker] = play.store.remove(f"servers/{worker.name}")
        await asyncio.sleep(GAP_S)


async def end_workers(removed, play):
    """End the workers that left, each drain_ms and a few seconds after that."""
    for worker, at in removed.items():
        left_s = at + DRAIN_S + LINGER_S - play.record.now()
        await asyncio.sleep(max(0.0, left_s))
        worker.stop()


async def act(play):
    """Play the case; return the exit code."""
    workers = [
        stage.Worker(
            play.record, f"i-{n}", "osrednja-a", SERVICE, play.worker_address(n)
        )
        for n in range(1, WORKERS + 1)
    ]
    play.store.put("op/config", published())
    for worker in workers:
        await worker.start()
        play.store.put(f"servers/{worker.name}", worker.entry())
    await play.start_store()
    for host in HOSTS:
        await play.start_host(host)
    await play.wait_ready(HOSTS)
    await asyncio.sleep(6.0)
    ends, removed, waiting = asyncio.Event(), {}, list(workers)
    tasks = [
        asyncio.create_task(consume(play, host, ends))
        for host in HOSTS
        if host not in RESTARTED
    ]
    for batch in BATCHES:
        if HAS_TROUBLE:
            await restart(play, batch)
        leaving, waiting = waiting[:LEAVING], waiting[LEAVING:]
        await take_away(play, leaving, removed)
    await end_workers(removed, play)
    ends.set()
    await asyncio.gather(*tasks)
    if any(play.processes[host].returncode is not None for host in HOSTS):
        raise stage.NotRunError("a host has ended by itself")
    return judge(play, removed)


def judge(play, removed):
    """Return the exit code by the rule DRAIN."""
    late = [
        (worker.name, round(at - removed_at, 3), request)
        for worker, removed_at in removed.items()
        for at, request in worker.runs
        if at > removed_at + DRAIN_S + MARGIN_S
    ]
    names = sorted({name for name, _, _ in late})
    play.record.add("late_runs", count=len(late), workers=names, first=late[:20])
    print(f"{len(late)} requests reached {len(names)} workers later than drain_ms")
    return stage.EXIT_BROKEN if late else stage.EXIT_HELD


if __name__ == "__main__":
    stage.run(act, FOLDER, ZONES, HOSTS)
