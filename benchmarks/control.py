"""Cost of the control plane for one host, by size of the fleet.

    python benchmarks/control.py
    python benchmarks/control.py --turns

Measures CPU time, bytes sent and memory of one real host that serves no
callers. Its peers are minimal stand-ins that only exchange heartbeats. Bytes
sent are those of frames, without TCP and IP headers.

With ``--turns``, measures the processor time that applying a whole configuration, a
listing, a change or heartbeats takes, and how much of it in the longest turn of the
event loop. ``--step-s 0`` pauses wherever possible: then it is the longest piece.
"""

import argparse
import base64
import gc
import hashlib
import inspect
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import urllib.request
import zlib

import attrs
import trio
import yaml
from absl import logging

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.relay import cpu_s, resident_bytes  # noqa: E402
from cactusmill.errors import LinkClosedError  # noqa: E402
from cactusmill.internal import steps  # noqa: E402
from cactusmill.internal.configuration import RecordStore  # noqa: E402
from cactusmill.internal.link import decode, encode_frame, open_link  # noqa: E402
from cactusmill.internal.net import TCP  # noqa: E402
from cactusmill.internal.peers import (  # noqa: E402
    HEARTBEAT_BUDGET_BYTES_PER_S,
    HEARTBEAT_EXCHANGE_BYTES,
)
from cactusmill.internal.platform_client import parse_update  # noqa: E402
from cactusmill.internal.wire.ttypes import (  # noqa: E402
    Beat,
    EndpointWork,
    Frame,
    Heartbeat,
    HeartbeatAck,
    Hello,
    MemberNote,
    TeamDemand,
)
from cactusmill.platform.items import CONFIGURATION_KEY  # noqa: E402
from cactusmill.platform.store import StoreClient  # noqa: E402
from cactusmill.serving.gateway_host import GatewayHost, HostSettings  # noqa: E402
from cactusmill.serving.gossip import MAX_DEMANDS, MAX_ENDPOINT_LOADS  # noqa: E402
from cactusmill.serving.source_sync import apply_changes  # noqa: E402

EXCHANGE_BYTES = HEARTBEAT_EXCHANGE_BYTES
BUDGET_BYTES_PER_S = HEARTBEAT_BUDGET_BYTES_PER_S
SECRET = "a-secret-of-the-benchmark"
BASE_PORT = 21_000
HOST_PORTS = {"callers": 20_001, "peers": 20_002, "operators": 20_003}
ZONES = 28
SETTLE_S = 6.0


def zone_of(number, zones):
    """Return the zone of host ``number``; the measured host is number 0."""
    return f"zone-{number % zones}"


def host_entry(number, zones):
    """Return a host's entry in the host list."""
    address = f"127.0.0.1:{BASE_PORT + number}"
    peers = f"127.0.0.1:{HOST_PORTS['peers']}" if number == 0 else address
    zone = zone_of(number, zones)
    return {
        "kind": "host",
        "name": f"host-{number}",
        "body": {
            "zone": zone,
            "region": zone,
            "slot": number // zones,
            "callers": address,
            "peers": peers,
            "state": "live",
        },
    }


def build_records(teams, zones, hosts):
    """Return records of zones, teams and keys for the configuration service."""
    slots_per_zone = -(-hosts // zones)
    rows = [
        {
            "kind": "zone",
            "name": f"zone-{z}",
            "body": {"region": f"zone-{z}", "slots": slots_per_zone},
        }
        for z in range(zones)
    ]
    for team in range(teams):
        rate = {"rate_tokens_per_s": 1000, "burst_tokens": 10_000}
        digest = hashlib.sha256(str(team).encode()).hexdigest()
        key = {"digest": digest, "team": f"team-{team}", "state": "active"}
        rows.append({"kind": "team", "name": f"team-{team}", "body": rate})
        rows.append({"kind": "key", "name": f"key-{team}", "body": key})
    return rows


async def run_peers(hosts, numbers, zones, heartbeat_s):
    """Accept the host's links, and for each host of ``numbers`` open one to it."""
    cross_zone_peers = sum(n % zones != 0 for n in numbers)
    cross_zone_interval_s = max(
        heartbeat_s, cross_zone_peers * EXCHANGE_BYTES / BUDGET_BYTES_PER_S
    )
    async with trio.open_nursery() as nursery:
        for number in range(1, hosts):
            hello = Hello(f"host-{number}", zone_of(number, zones), "0", b"")
            await nursery.start(_serve_peer, hello, f"127.0.0.1:{BASE_PORT + number}")
            if number not in numbers:
                continue
            is_same_zone = zone_of(number, zones) == zone_of(0, zones)
            interval_s = heartbeat_s if is_same_zone else cross_zone_interval_s
            nursery.start_soon(_dial_host, hello, interval_s)


async def _serve_peer(hello, address, task_status=trio.TASK_STATUS_IGNORED):
    async def handle(stream):
        try:
            link = await open_link(stream, hello, SECRET, dialled=False)
            while True:
                heartbeat = (await link.receive()).heartbeat
                if heartbeat is not None:
                    ack = HeartbeatAck(
                        heartbeat.sequence,
                        heartbeat.records_version,
                        heartbeat.hosts_version,
                        False,
                    )
                    await link.send(heartbeat_ack=ack)
        except LinkClosedError:
            pass

    await TCP.serve(address, handle, task_status=task_status)


async def _dial_host(hello, interval_s):
    await trio.sleep(random.uniform(2, 4))
    stream = await TCP.connect(f"127.0.0.1:{HOST_PORTS['peers']}", 5.0)
    link = await open_link(stream, hello, SECRET, dialled=True)
    for sequence in range(1_000_000):
        await link.send(heartbeat=Heartbeat(sequence, 0, 0, False))
        await link.receive()
        await trio.sleep(interval_s * random.uniform(0.9, 1.1))


def peers_of_host(hosts, zones):
    """Return the numbers of the hosts of zone 0, and of two of each other zone."""
    own = [n for n in range(1, hosts) if n % zones == 0]
    others = [n for n in range(1, hosts) if n % zones and n // zones < 2]
    return own + others


def gauges():
    """Read the host's gauges by name."""
    url = f"http://127.0.0.1:{HOST_PORTS['operators']}/metrics"
    values = {}
    for line in urllib.request.urlopen(url, timeout=5).read().decode().splitlines():
        if line.startswith("cactusmill_state{"):
            name = line.partition('name="')[2].partition('"')[0]
            values[name] = float(line.rpartition(" ")[2])
    return values


def measure(hosts, teams, seconds, heartbeat_s=0.5):
    """Measure the host in a fleet of ``hosts`` and return a row of figures."""
    zones = min(ZONES, max(3, hosts // 2))
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        entries = [host_entry(n, zones) for n in range(hosts)]
        (folder / "hosts.yaml").write_text(yaml.safe_dump(entries))
        (folder / "records.yaml").write_text(
            yaml.safe_dump(build_records(teams, zones, hosts))
        )
        cfg = {
            "host": "host-0",
            "zone": "zone-0",
            "region": "zone-0",
            "configuration": "127.0.0.1:20004",
            "host_list": "127.0.0.1:20005",
            "link_secret": SECRET,
            "heartbeat_s": heartbeat_s,
            "peer_timeout_s": 4 * heartbeat_s,
            **{k: f"127.0.0.1:{p}" for k, p in HOST_PORTS.items()},
        }
        (folder / "host.yaml").write_text(yaml.safe_dump(cfg))
        commands = [
            ["-m", "standins.changes", "--listen", cfg["configuration"]]
            + ["--records", str(folder / "records.yaml")],
            ["-m", "standins.changes", "--listen", cfg["host_list"]]
            + ["--records", str(folder / "hosts.yaml")],
            [__file__, "--peers", str(hosts), "--zones", str(zones)]
            + ["--heartbeat-s", str(heartbeat_s)],
            ["-m", "cactusmill.daemon", "--config", str(folder / "host.yaml")]
            + ["--verbosity", "error"],
        ]
        processes = []
        try:
            for command in commands:
                processes.append(subprocess.Popen([sys.executable, *command], cwd=ROOT))
                time.sleep(0.3)
            return _measure_host(processes[-1].pid, hosts, teams, seconds)
        finally:
            for process in processes:
                process.kill()
                process.wait()


def _measure_host(pid, hosts, teams, seconds):
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        try:
            if gauges()["records_version"]:
                break
        except OSError:
            time.sleep(0.2)
    time.sleep(SETTLE_S)
    before, cpu_before = gauges(), cpu_s(pid)
    time.sleep(seconds)
    after, cpu_after = gauges(), cpu_s(pid)
    return {
        "hosts": hosts,
        "teams": teams,
        "links": after["peers_reachable"],
        "CPU %": 100 * (cpu_after - cpu_before) / seconds,
        "sent B/s": (after["frame_bytes_sent"] - before["frame_bytes_sent"]) / seconds,
        "reads/s": (after["platform_calls"] - before["platform_calls"]) / seconds,
        "size MB": resident_bytes(pid) / 1e6,
    }


@attrs.define(eq=False)
class LongestTurn(trio.abc.Instrument):
    """The most processor time from one poll of the event loop to the next."""

    longest_s: float = 0.0
    _polled_at: float = float("inf")

    def before_io_wait(self, timeout):
        """End a turn."""
        self.longest_s = max(self.longest_s, time.thread_time() - self._polled_at)

    def after_io_wait(self, timeout):
        """Begin a turn."""
        self._polled_at = time.thread_time()


async def call(function, *args):
    """Call a function, async or not, and return its result."""
    result = function(*args)
    return await result if inspect.isawaitable(result) else result


def measure_turns(name, function, *args):
    """Run a function on an event loop of its own, print figures, return its result."""
    turn = LongestTurn()
    began_s = time.process_time()
    result = trio.run(call, function, *args, instruments=[turn])
    took_s = time.process_time() - began_s
    print(f"{name:32}{took_s * 1e3:10.2f}{turn.longest_s * 1e3:10.2f}", flush=True)
    return result


def platform_configuration(version, teams, keys, routes, services):
    """Return an item of the platform's store with a configuration of this size."""
    keys_of = [[f"key-{k:036x}" for k in range(t, keys, teams)] for t in range(teams)]
    value = {
        "version": version,
        "routes": [
            {
                "name": f"route-{r}",
                "host": f"site-{r % 20}.example",
                "path_prefix": f"/path/{r}/",
                "kind": "safe",
                "service": f"service-{r % services}",
                "timeout_ms": 5000,
            }
            for r in range(routes)
        ],
        "services": [{"name": f"service-{s}"} for s in range(services)],
        "tenants": [
            {
                "name": f"team-{t}",
                "rate_per_s": 1000,
                "burst": 5000,
                "api_keys": keys_of[t],
            }
            for t in range(teams)
        ],
    }
    return store_item(CONFIGURATION_KEY, version, value)


def platform_endpoint(number, revision):
    """Return an item of the platform's store with an endpoint's entry."""
    value = {
        "zone": f"zone-{number % ZONES}",
        "state": "ready",
        "address": f"10.0.{number // 250}.{number % 250}:80",
        "service": f"service-{number % 9}",
        "slots": 8,
        "cold_left_ms": 0,
        "born": 1000,
    }
    return store_item(f"servers/endpoint-{number}", revision, value)


def store_item(key, revision, value):
    """Return an item as the platform's store has it."""
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "revision": revision, "value": text}


def measure_platform_turns(teams, keys, endpoints, hosts):
    """Measure turns of the platform's path."""
    zones = {f"zone-{z}": f"region-{z % 10}" for z in range(ZONES)}
    cfg = HostSettings(
        host="host-0",
        ip="127.0.0.1",
        zone="zone-0",
        region="region-0",
        callers="127.0.0.1:1",
        peers="127.0.0.1:2",
        seeds=(),
        zones=zones,
    )
    store = StoreClient("127.0.0.1:1", None, zones)
    host = GatewayHost(cfg, None, None)
    configuration = platform_configuration(1, teams, keys, 300, 9)
    entries = [platform_endpoint(n, 10 + n) for n in range(endpoints)]

    def read(name, items):
        page = json.dumps({"items": items, "since": 1, "revision": 10**6}).encode()
        data = zlib.compress(page, 1)
        return measure_turns(name, store.read_export, data, 1).changes

    changes = read("read a configuration", [configuration])
    measure_turns("apply a configuration", apply_changes, host, changes)
    changes = read("read a listing of endpoints", entries)
    measure_turns("apply a listing of endpoints", apply_changes, host, changes)
    measure_turns("export everything", store.cache.export, 0, 10**6)
    gc.freeze()
    for version in (2, 3):
        configuration = platform_configuration(version, teams, keys, 300, 9)
        changes = read(f"read version {version}", [configuration])
        measure_turns(f"apply version {version}", apply_changes, host, changes)
    changes = read("read one entry", [platform_endpoint(7, 10**5)])
    measure_turns("apply one entry", apply_changes, host, changes)
    members = [
        MemberNote(
            host=f"host-{n}",
            ip="127.0.0.1",
            zone=f"zone-{n % ZONES}",
            region=f"region-{n % 10}",
            incarnation="0",
            age_ms=0,
            leaving=False,
        )
        for n in range(hosts)
    ]
    demands = [TeamDemand(key, 1000) for key in range(MAX_DEMANDS)]
    work = [EndpointWork(key, 1, 100) for key in range(MAX_ENDPOINT_LOADS)]
    beats = [
        encode_frame(
            Frame(
                beat=Beat(
                    sender=member,
                    sequence=1,
                    ready=True,
                    configuration_version=1,
                    revision=1,
                    members=members[:20],
                    demands=demands,
                    work=work,
                )
            )
        )
        for member in members[1:]
    ]

    def apply_beats():
        for beat in beats[:64]:
            host.gossip.apply_heartbeat(decode(beat).beat, host.now())

    measure_turns("apply 64 heartbeats", apply_beats)
    measure_turns(
        "build a heartbeat",
        lambda: host.gossip.build_heartbeat(host.now(), True, with_regions=True),
    )


def measure_own_turns(teams, keys):
    """Measure turns of the own interface."""
    rows = build_records(teams, ZONES, ZONES)
    for key in range(teams, keys):
        digest = hashlib.sha256(str(key).encode()).hexdigest()
        body = {"digest": digest, "team": f"team-{key % teams}", "state": "active"}
        rows.append({"kind": "key", "name": f"key-{key}", "body": body})
    for number, row in enumerate(rows):
        row.update(schema=1, version=number + 1)
    store = RecordStore()

    def read(name, rows):
        update = {"version": rows[-1]["version"], "changes": rows}
        return measure_turns(name, parse_update, json.dumps(update).encode())

    def apply(update):
        store.apply(update.changes, update.version, update.checked)

    update = read("own: read all records", rows)
    measure_turns("own: apply all records", apply, update)
    row = {**rows[-1], "version": len(rows) + 1}
    gc.freeze()
    update = read("own: read one key", [row])
    measure_turns("own: apply one key", apply, update)


def print_turns():
    """Print processor time and longest turns at the target size."""
    logging.set_verbosity(logging.ERROR)
    print(f"{'(ms)':32}{'CPU':>10}{'turn':>10}")
    measure_platform_turns(teams=3200, keys=8000, endpoints=6100, hosts=400)
    measure_own_turns(teams=3200, keys=8000)


def main():
    """Print a row for each size of fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--heartbeat-s", type=float, default=0.5)
    parser.add_argument("--peers", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--zones", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--turns", action="store_true", help="measure turns only")
    parser.add_argument(
        "--step-s", type=float, default=steps.MIN_STEP_S, help="limit of a step"
    )
    args = parser.parse_args()
    if args.turns:
        steps.MIN_STEP_S = args.step_s
        print_turns()
        return
    if args.peers:
        numbers = peers_of_host(args.peers, args.zones)
        trio.run(run_peers, args.peers, numbers, args.zones, args.heartbeat_s)
        return
    rows = []
    for hosts, teams in ((6, 5), (24, 200), (96, 800), (400, 5), (400, 3200)):
        rows.append(measure(hosts, teams, args.seconds, args.heartbeat_s))
        if len(rows) == 1:
            print("  ".join(f"{name:>9}" for name in rows[0]))
        print("  ".join(f"{value:9.2f}" for value in rows[-1].values()), flush=True)


if __name__ == "__main__":
    main()
