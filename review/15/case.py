"""Tell machines that have just started that their settings file has changed.

Three times, two machines of three are stopped and started again, as planned work. The
seeds change meanwhile, and the platform sends SIGHUP to all machines.
"""

import asyncio
import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import stand  # noqa: E402

ZONES = {"north-a": "north"}
ROUNDS = 3
# Time from a start to the signal, and until the process has handled it.
AFTER_START_S, HANDLED_S = 0.05, 1.0
# The rule allows two ends of processes by themselves on each machine.
ALLOWED = 2
MIN_MACHINES = 2


async def main(place, record):
    """Play the case."""
    await place.add_worker(stand.Worker(record, "desk-0", "north-a", "desk"))
    place.store.put(
        "op/config", stand.configuration(1, [stand.route("look", "desk")], ["desk"])
    )
    for number in range(3):
        await place.add_daemon(f"front-north-a-{number}", "north-a")
    if not await place.start():
        return stand.NOT_RUN
    ends = collections.Counter()
    for number in range(ROUNDS):
        restarted = place.daemons[1:]
        for daemon in restarted:
            record(f"SIGTERM to {daemon.name}")
            daemon.signal(signal.SIGTERM)
        for daemon in restarted:
            code = await daemon.wait_ended(stand.BOUNDS["grace_s"])
            record(f"{daemon.name} has ended with {code}")
            if code != 0:
                return stand.NOT_RUN
        seeds = [d.listen["control"] for d in place.daemons]
        seeds = seeds[number:] + seeds[:number]
        for daemon in place.daemons:
            daemon.write_settings(seeds=seeds)
            record(f"settings of {daemon.name} have changed")
        for daemon in restarted:
            daemon.start()
            record(f"{daemon.name} starts")
        await asyncio.sleep(AFTER_START_S)
        if stand.TROUBLE:
            for daemon in place.daemons:
                daemon.signal(signal.SIGHUP)
                record(f"SIGHUP to {daemon.name}")
        await asyncio.sleep(HANDLED_S)
        for daemon in place.daemons:
            code = daemon.process.poll()
            if code is not None:
                ends[daemon.name] += 1
                record(f"{daemon.name} ended by itself with {code}")
                daemon.start()
        for daemon in place.daemons:
            if not await daemon.wait_ready():
                record(f"{daemon.name} does not become ready")
                return stand.NOT_RUN
    broken = [name for name, count in ends.items() if count > ALLOWED]
    text = f"processes that ended by themselves: {dict(ends)}"
    record(text)
    print(text)
    return stand.BROKEN if len(broken) >= MIN_MACHINES else stand.HELD


stand.run(FOLDER, ZONES, main)
