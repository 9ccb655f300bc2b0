"""Program of the callers: ``python -m soak.callers --world FILE --history FILE``."""

import argparse
import pathlib
import random
import sys
import time

import trio

from ..history import encode_record
from .caller import GRACE_S, Caller, Habit, draw_habits
from .directory import Directory
from .world import World

_INTERVAL_S = 0.2
_PATIENT_SHARE = 0.3
_PATIENCE = 3.0


def _build_caller(name, world, directories, record):
    rng = random.Random(f"{world.seed}/{name}")
    region = rng.choice(sorted({host["region"] for host in world.hosts.values()}))
    habits = draw_habits(rng)
    patience = _PATIENCE if rng.random() < _PATIENT_SHARE else 1.0
    if Habit.KEEPS_DIRECTORY in habits:
        directory = Directory(world, region, rng, float("inf"))
    else:
        directory = directories.setdefault(
            (region, patience), Directory(world, region, rng, patience)
        )
    return Caller(name, region, world, directory, rng, habits, record)


async def run_callers(world, record, prefix="c"):
    """Run the callers until the world's time is over and their requests have ended.

    Parameters
    ----------
    world : World
        Read already.
    record : callable
        ``record(attempt)`` is called with each attempt that has ended.
    prefix : str
        Begins the names of the callers.
    """
    directories, callers = {}, {}
    running = set()

    async def run(number):
        if number not in callers:
            name = f"{prefix}{number}"
            callers[number] = _build_caller(name, world, directories, record)
        try:
            await callers[number].run(
                lambda: time.monotonic() < world.until and number < world.callers
            )
        finally:
            running.discard(number)

    async with trio.open_nursery() as following:
        following.start_soon(world.follow)
        async with trio.open_nursery() as nursery:
            while time.monotonic() < world.until:
                for number in set(range(world.callers)) - running:
                    running.add(number)
                    nursery.start_soon(run, number)
                await trio.sleep(
                    min(_INTERVAL_S, max(0, world.until - time.monotonic()))
                )
            nursery.cancel_scope.deadline = trio.current_time() + GRACE_S
        following.cancel_scope.cancel()


def main():
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--world", required=True, type=pathlib.Path, help="JSON file")
    parser.add_argument("--history", required=True, help="file to append records to")
    parser.add_argument("--prefix", default="c", help="begins the callers' names")
    args = parser.parse_args()
    world = World(args.world)
    try:
        world.read()
        with open(args.history, "a", encoding="utf-8") as history:

            def record(attempt):
                history.write(encode_record(attempt) + "\n")
                history.flush()

            trio.run(run_callers, world, record, args.prefix)
    except (OSError, ValueError) as exc:
        sys.exit(f"soak.callers: {exc}")


if __name__ == "__main__":
    main()
