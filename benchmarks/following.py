"""Cost of following the source through other hosts, beside restarts.

One region is played in virtual time (:mod:`standins.followers`): endpoints come and
leave, and hosts are restarted a few at a time. Of 400 hosts in ten regions, one region
has 40, and hosts follow inside of their region only. Prints, for each host and second,
the bytes of exports and the processor time of packing and reading them, and the calls
to the source; for comparison also with the history's gaps ignored.
"""

import argparse
import time

import attrs
import trio
import trio.testing
from absl import logging

from cactusmill.serving.history import ChangeHistory
from standins.followers import FollowerFleet
from standins.loopback import Store, configuration

SETTLED_S = 6.0
PAGE_SIZE = 500
CHANGE_INTERVAL_S, RESTART_INTERVAL_S = 0.1, 1.0
RESTARTED_AT_ONCE = 4


@attrs.define
class Costs:
    """Processor time of exports, in seconds."""

    processor_s: float = 0.0

    def timed(self, function):
        """Return a function that adds the time of its calls."""

        async def call(*args):
            began_s = time.process_time()
            try:
                return await function(*args)
            finally:
                self.processor_s += time.process_time() - began_s

        return call

    def wrap_source(self, source):
        """Return a source whose exports are timed."""
        return attrs.evolve(
            source,
            export=self.timed(source.export),
            read_export=self.timed(source.read_export),
        )


def entry(number):
    """Return the entry of an endpoint."""
    return {
        "service": "engines",
        "address": f"10.1.{number // 250 % 250}.{number % 250}:8300",
        "zone": "east-a",
        "version": "v1",
        "slots": 128,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1_700_000_000_000 + number,
    }


async def change_endpoints(store, first):
    """Publish an endpoint and remove an old one by turns."""
    number = first
    while True:
        store.put(f"servers/x{number}", entry(number))
        await trio.sleep(CHANGE_INTERVAL_S)
        store.remove(f"servers/x{number - first}")
        await trio.sleep(CHANGE_INTERVAL_S)
        number += 1


async def restart_hosts(fleet):
    """Restart all hosts in turn, a few at a time."""
    names = list(fleet.places)
    while True:
        for name in names[:RESTARTED_AT_ONCE]:
            fleet.start(name)
        names = names[RESTARTED_AT_ONCE:] + names[:RESTARTED_AT_ONCE]
        await trio.sleep(RESTART_INTERVAL_S)


async def play(hosts, endpoints, played_s, has_restarts):
    """Play a region; return its figures and the hosts that differ from the source."""
    store, costs = Store(page_size=PAGE_SIZE), Costs()
    store.put("op/config", configuration(1))
    for number in range(endpoints):
        store.put(f"servers/x{number}", entry(number))
    places = {f"h{n}": "east-a" for n in range(hosts)}
    fleet = FollowerFleet(
        store, {"east-a": "east"}, places, wrap_source=costs.wrap_source
    )
    async with fleet.run():
        await trio.sleep(SETTLED_S)
        async with trio.open_nursery() as nursery:
            fleet.exports = fleet.exported_bytes = store.calls = 0
            costs.processor_s = 0.0
            nursery.start_soon(change_endpoints, store, endpoints)
            if has_restarts:
                nursery.start_soon(restart_hosts, fleet)
            await trio.sleep(played_s)
            nursery.cancel_scope.cancel()
        rate = 1 / (hosts * played_s)
        figures = (
            fleet.exports * rate,
            fleet.exported_bytes * rate,
            1e3 * costs.processor_s * rate,
            store.calls * rate,
        )
        await trio.sleep(SETTLED_S)
        return figures, sum(bool(fleet.problems(name)) for name in places)


def main():
    """Print the figures of one region."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=28)
    parser.add_argument("--endpoints", type=int, default=112)
    parser.add_argument("--seconds", type=float, default=30.0)
    args = parser.parse_args()
    # Each host lists all endpoints at its start, a line for each.
    logging.set_verbosity(logging.ERROR)
    print(
        f"{args.hosts} hosts, {args.endpoints} endpoints; per host and second: "
        "exports, bytes, ms of processor time, calls to the source; then the hosts "
        "that differ from it afterwards"
    )
    complete_after = ChangeHistory.complete_after
    for label, function in (
        ("with gaps", complete_after),
        ("gaps ignored", lambda history, since: since),
    ):
        ChangeHistory.complete_after = function
        for has_restarts in (False, True):
            figures, differing = trio.run(
                play,
                args.hosts,
                args.endpoints,
                args.seconds,
                has_restarts,
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
            text = "  ".join(f"{figure:9.3f}" for figure in figures)
            restarts = "restarts" if has_restarts else "none restarted"
            print(f"{label:13} {restarts:15} {text}  {differing}", flush=True)


if __name__ == "__main__":
    main()
