"""The same fault on three hosts, without a race.

One host can't reach the store for 4 s. Meanwhile the other region is lost, a worker
leaves without a report, and the two hosts of that region start again. From 6 s after
the store serves the first host again it is in touch, and the rule DRAIN binds it.

With --evacuation, the evacuation of the first host's zone ends instead, and the check
is whether that host serves again.
"""

import asyncio
import collections
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import stage  # noqa: E402
from case import DRAIN_S, SERVICE, published  # noqa: E402

ZONES = {"osrednja-a": "osrednja", "stajerska-a": "stajerska"}
CUT = "front-stajerska-a-1"
LOST = ("front-osrednja-a-1", "front-osrednja-a-2")
HOSTS = {LOST[0]: "osrednja-a", LOST[1]: "osrednja-a", CUT: "stajerska-a"}
WORKERS = 3
CUT_S, IN_TOUCH_S = 4.0, stage.BOUNDS["stable_window_ms"] / 1000
REQUESTS = 30
EVACUATED = "op/evacuate/stajerska-a"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HAS_EVACUATION = "--evacuation" in sys.argv


async def act(play):
    """Play the case; return the exit code."""
    play.store.put("op/config", published())
    workers = []
    for number in range(1, WORKERS + 1):
        address = play.worker_address(number)
        worker = stage.Worker(
            play.record, f"i-{number}", "stajerska-a", SERVICE, address
        )
        await worker.start()
        play.store.put(f"servers/{worker.name}", worker.entry())
        workers.append(worker)
    await play.start_store()
    for host in HOSTS:
        await play.start_host(host)
    await play.wait_ready(HOSTS)
    await asyncio.sleep(3.0)
    if HAS_EVACUATION:
        play.store.put(EVACUATED, {})
        await asyncio.sleep(1.0)
    gone = EVACUATED if HAS_EVACUATION else f"servers/{workers[0].name}"
    if HAS_TROUBLE:
        play.store.cut_off(play.ip(CUT))
        await asyncio.gather(*(play.end_host(h, signal.SIGKILL) for h in LOST))
    removed_at = play.store.remove(gone)
    if HAS_TROUBLE:
        for host in LOST:
            await play.start_host(host)
        await asyncio.sleep(CUT_S)
        play.store.heal(play.ip(CUT))
    await asyncio.sleep(max(DRAIN_S, IN_TOUCH_S) + 1.0)
    statuses = collections.Counter()
    for _ in range(REQUESTS):
        _, reply = await play.ask(CUT, "/look/1")
        statuses[reply[0] if reply else None] += 1
    left = [] if HAS_EVACUATION else workers[0].runs
    late = sum(at > removed_at + DRAIN_S for at, _ in left)
    print(f"{CUT} answers {dict(statuses)}; {late} requests later than drain_ms")
    is_refused = HAS_EVACUATION and statuses[200] < REQUESTS
    is_late = not HAS_EVACUATION and late > 0
    return stage.EXIT_BROKEN if is_refused or is_late else stage.EXIT_HELD


if __name__ == "__main__":
    (FOLDER / "small").mkdir(exist_ok=True)
    stage.run(act, FOLDER / "small", ZONES, HOSTS)
