"""Shows that one entry that cannot be read ends the processes of all machines.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib.desk import (  # noqa: E402
    PLACES,
    configuration,
    judge_ends,
    start_calls,
    start_deployment,
)
from lib.platform import run_case  # noqa: E402

CALLERS = 4
CALM_S, AFTER_S = 8.0, 15.0
# Written by another writer beside the workers' own entries. `Infinity` is what some
# JSON writers make of a number that is not finite; no JSON document may hold it.
FOREIGN_ENTRY = (
    b'{"service": "desk", "address": "127.0.0.1:9", "zone": "a", "version": 1, '
    b'"slots": 6, "state": "ready", "cold_left_ms": 0, "seq": Infinity}'
)


async def case(record, work, machines, has_trouble):
    """Play the case; return the exit code."""
    started = await start_deployment(
        record, work, machines, configuration(1, "desk", ["desk"]), PLACES
    )
    if started is None:
        return 2
    store, workers = started
    sents, calls = [], []
    for machine in machines:
        for route in ("look", "book"):
            calls += start_calls(record, machine, sents, route, CALLERS)
    await asyncio.sleep(CALM_S)
    written_at = record.now()
    if has_trouble:
        store.put("servers/i-another-writer", FOREIGN_ENTRY)
        record.write("foreign_entry", value=FOREIGN_ENTRY)
    await asyncio.sleep(AFTER_S)
    for call in calls:
        call.cancel()
    return judge_ends(record, machines, workers, sents, written_at)


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
