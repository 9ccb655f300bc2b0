"""Cost of the control plane for one host, by size of the fleet.

    python benchmarks/control.py

Measures CPU time, bytes sent and memory of one real host that serves no
callers. Its peers are minimal stand-ins that only exchange heartbeats. Bytes
sent are those of frames, without TCP and IP headers.
"""

import argparse
import hashlib
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import urllib.request

import trio
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.relay import cpu_s, resident_bytes  # noqa: E402
from cactusmill.errors import LinkClosedError  # noqa: E402
from cactusmill.internal.link import open_link  # noqa: E402
from cactusmill.internal.net import TCP  # noqa: E402
from cactusmill.internal.peers import (  # noqa: E402
    HEARTBEAT_BUDGET_BYTES_PER_S,
    HEARTBEAT_EXCHANGE_BYTES,
)
from cactusmill.internal.wire.ttypes import (  # noqa: E402
    Heartbeat,
    HeartbeatAck,
    Hello,
)

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


def main():
    """Print a row for each size of fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--heartbeat-s", type=float, default=0.5)
    parser.add_argument("--peers", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--zones", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
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
