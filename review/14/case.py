"""Look for requests that a machine handles by an older version than before.

The store gives one machine of three no response for five seconds, in which the
operator moves a route to another service. That machine forwards what its region has no
room for, and serves the rest itself.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import stand  # noqa: E402

ZONES = {"north-a": "north", "east-a": "east"}
SLACK_S = stand.BOUNDS["rollback_slack_ms"] / 1000
SILENT_S = 5.0
PER_S = 40


async def main(place, record):
    """Play the case."""
    for service in ("desk-1", "desk-2"):
        await place.add_worker(
            stand.Worker(
                record, f"{service}-north", "north-a", service, work_s=0.1, slots=2
            )
        )
        for number in range(3):
            name = f"{service}-east-{number}"
            await place.add_worker(
                stand.Worker(record, name, "east-a", service, work_s=0.1)
            )

    def publish(version):
        routes = [stand.route("look", f"desk-{version}", max_attempts=2)]
        services = ["desk-1", "desk-2"]
        place.store.put("op/config", stand.configuration(version, routes, services))

    publish(1)
    front = await place.add_daemon("front-north-a-0", "north-a")
    for number in range(2):
        await place.add_daemon(f"front-east-a-{number}", "east-a")
    if not await place.start():
        return stand.NOT_RUN
    await asyncio.sleep(2.0)
    sent, calls = {}, []

    async def call(request_id):
        sent[request_id] = asyncio.get_running_loop().time()
        record(f"client sends {request_id} to {front.name}")
        response = await stand.send(front.listen["front"], "/look/x", request_id)
        record(f"client gets {response.status if response else 0} for {request_id}")

    async def clients(for_s):
        for _ in range(int(PER_S * for_s)):
            calls.append(asyncio.create_task(call(f"q{len(calls)}")))
            await asyncio.sleep(1 / PER_S)

    await clients(3.0)
    if stand.TROUBLE:
        record(f"store gives {front.name} no response")
        place.store.modes[front.store_address] = "silent"
    await clients(1.0)
    publish(2)
    await clients(SILENT_S - 1.0)
    place.store.modes.clear()
    record("store answers all again")
    await clients(1.0)
    await asyncio.gather(*calls)
    runs = [(at, r, w) for w in place.workers for at, r, _ in w.runs]
    runs.sort(key=lambda run: run[0])
    seen_at = next((at for at, _, w in runs if w.service == "desk-2"), None)
    if seen_at is None:
        record("no worker saw version 2")
        return stand.NOT_RUN
    older = [
        (request_id, worker.name)
        for at, request_id, worker in runs
        if worker.service == "desk-1" and sent[request_id] > seen_at + SLACK_S
    ]
    for request_id, name in older:
        record(
            f"{request_id} ran at {name}, sent {sent[request_id] - seen_at:.3f} s "
            "after a worker saw version 2"
        )
    newer = sum(w.service == "desk-2" for _, _, w in runs)
    text = f"{len(older)} requests handled by version 1 after version 2, {newer} by 2"
    record(text)
    print(text)
    return stand.BROKEN if older else stand.HELD


stand.run(FOLDER, ZONES, main)
