"""Bytes of heartbeats between zones, their processor time and what hosts know by them.

Simulates hosts in 3 regions of 2 zones that exchange real heartbeats, without requests
and with 16 teams and 15 engines a region under load. Prints for each host and second
the bytes between zones of a region, within a zone and between regions with IP and UDP
headers; the processor time of sending, receiving and simulating; and the median and
99th percentile of the time since other hosts of the region, hosts of other regions and
the least recently seen host of another region (as its totals say) were last seen.
"""

import argparse
import collections
import time

import trio
import trio.testing

from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire.ttypes import Frame
from standins.gossip_network import HEADER_BYTES, GossipNetwork, quantile

TEAMS = 16
ENGINES = 15
SETTLE_S = 4.0


async def measure(hosts, is_loaded, seconds, loss, zones):
    """Return a row of figures for one number of hosts."""
    network = GossipNetwork(hosts, zones=zones, loss=loss)
    network.introduce_all(trio.current_time())
    own, other, totals = [], [], []
    async with trio.open_nursery() as nursery:
        await network.run(nursery)
        if is_loaded:
            nursery.start_soon(network.run_load, TEAMS, ENGINES)
        await trio.sleep(SETTLE_S)
        network.sent.clear()
        started_s = time.process_time()
        for _ in range(round(seconds / 0.25)):
            await trio.sleep(0.25)
            paused_s = time.process_time()
            ages = network.ages(trio.current_time())
            own += ages[0][:: max(1, hosts // 20)]
            other += ages[1][:: max(1, hosts // 20)]
            totals += network.total_ages(trio.current_time())
            started_s += time.process_time() - paused_s
        took_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    per = 1 / hosts / seconds
    sizes = [network.sent[k] * per / 1e3 for k in ("zone", "near", "region")]
    ages = [
        quantile(sorted(values), part)
        for values in (own, other, totals)
        for part in (0.5, 0.99)
    ]
    return [*sizes, took_s * per * 1e3, *ages]


FIELDS = (
    "members",
    "demands",
    "work",
    "regions",
    "containment",
    "sender",
    "rest",
    "headers",
)


async def divide(is_loaded, hosts=72):
    """Return the mean bytes of each field of a heartbeat between zones."""
    network = GossipNetwork(hosts)
    network.introduce_all(trio.current_time())
    network.received = collections.deque(maxlen=100_000)
    sizes, count = collections.Counter(), 0
    async with trio.open_nursery() as nursery:
        await network.run(nursery)
        if is_loaded:
            nursery.start_soon(network.run_load, TEAMS, ENGINES)
        await trio.sleep(SETTLE_S)
        network.received.clear()
        await trio.sleep(2.4)
        nursery.cancel_scope.cancel()
    for _, sender, receiver, data in network.received:
        if sender.cfg.region != receiver.cfg.region:
            continue
        if sender.cfg.zone == receiver.cfg.zone:
            continue
        beat, count = decode(data).beat, count + 1
        left = len(data)
        for name in FIELDS[:-2]:
            value = getattr(beat, name)
            setattr(beat, name, None)
            smaller = len(encode_frame(Frame(beat=beat)))
            sizes[name] += left - smaller
            left = smaller
            del value
        sizes["rest"] += left
        sizes["headers"] += HEADER_BYTES
    return {name: sizes[name] / count for name in FIELDS}


def main(argv=None):
    """Print the division by fields, then a row for each number of hosts."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=4.8)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--zones", type=int, default=2)
    parser.add_argument("--hosts", type=int, nargs="*", default=[20, 72, 117, 195, 400])
    args = parser.parse_args(argv)
    for is_loaded in (False, True):
        clock = trio.testing.MockClock(autojump_threshold=0)
        sizes = trio.run(divide, is_loaded, clock=clock)
        row = ", ".join(f"{name} {size:.0f}" for name, size in sizes.items())
        print(f"72 hosts, {'load' if is_loaded else 'idle'}: {row} B", flush=True)
    print("hosts load | KB/s zones  near  regions | ms/s | own 50 99 | other | totals")
    for hosts in args.hosts:
        for is_loaded in (False, True):
            clock = trio.testing.MockClock(autojump_threshold=0)
            row = trio.run(
                measure,
                hosts,
                is_loaded,
                args.seconds,
                args.loss,
                args.zones,
                clock=clock,
            )
            load = "load" if is_loaded else "idle"
            sizes = "  ".join(f"{value:6.2f}" for value in row)
            print(f"{hosts:5} {load} {sizes}", flush=True)


if __name__ == "__main__":
    main()
