"""Tell machines that have just started that their settings file has changed.

Three times, two machines of seven are restarted, one after the other, as planned work.
The settings file of each changes meanwhile, and it gets SIGHUP just after its start.
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
MACHINES, RESTARTED, GAP_S, ROUNDS = 7, 2, 1.0, 3
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
    for number in range(MACHINES):
        await place.add_daemon(f"front-north-a-{number}", "north-a")
    if not await place.start():
        return stand.NOT_RUN
    ends = collections.Counter()

    async def restart(daemon, seeds):
        """Return whether the daemon ended in order and is ready again."""
        record(f"SIGTERM to {daemon.name}")
        daemon.signal(signal.SIGTERM)
        if await daemon.wait_ended(stand.BOUNDS["grace_s"]) != 0:
            return False
        daemon.write_settings(seeds=seeds)
        record(f"settings of {daemon.name} have changed")
        daemon.start()
        record(f"{daemon.name} starts")
        await asyncio.sleep(AFTER_START_S)
        if stand.TROUBLE:
            daemon.signal(signal.SIGHUP)
            record(f"SIGHUP to {daemon.name}")
        await asyncio.sleep(HANDLED_S)
        code = daemon.process.poll()
        if code is not None:
            ends[daemon.name] += 1
            record(f"{daemon.name} ended by itself with {code}")
            daemon.start()
        return await daemon.wait_ready()

    for number in range(ROUNDS):
        seeds = [d.listen["control"] for d in place.daemons[number : number + 3]]
        restarts = []
        for daemon in place.daemons[-RESTARTED:]:
            restarts.append(asyncio.create_task(restart(daemon, seeds)))
            await asyncio.sleep(GAP_S)
        if not all(await asyncio.gather(*restarts)):
            record("a machine did not end in order, or is not ready again")
            return stand.NOT_RUN
    broken = [name for name, count in ends.items() if count > ALLOWED]
    text = f"processes that ended by themselves: {dict(ends)}"
    record(text)
    print(text)
    return stand.BROKEN if len(broken) >= MIN_MACHINES else stand.HELD


stand.run(FOLDER, ZONES, main)
