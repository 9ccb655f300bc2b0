"""Stand-ins for the platform: its metadata store, its workers and its machines."""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib
import traceback
import urllib.parse

from .wire import encode_message, serve

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 7610
HEARTBEAT_S = 1.2
# A process that ended is started again after this time.
RESTART_S = 1.0
_READY_S = 15.0

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 6000,
    "ack_ms": 8000,
    "catch_up_s": 4,
    "drain_ms": 4000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 4000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 10000,
    "strict_revocation": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "quota_window_s": 8,
    "quota_overage": 0.25,
    "quota_slack": 72000,
    "cold_overage": 1.5,
    "cold_slack": 3,
    "evacuate_ms": 5000,
    "recover_s": 12,
    "pass_ms": 800,
    "retry_after_s": 7.2,
    "ttl_max_s": 5,
}


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, what, **fields):
        """Write one line; return its time, in seconds."""
        at = self.now()
        line = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{at:9.3f} {what} {line}\n")
        self._file.flush()
        return at


def is_free(address):
    """Return whether an address can be listened on by TCP and UDP."""
    ip, _, port = address.rpartition(":")
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, int(port)))
            except OSError:
                return False
    return True


class Network:
    """Free loopback addresses of one run."""

    def __init__(self):
        self.net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 255)}"
        self._last = itertools.count(10)
        self.port = self._find_ports()

    def _find_ports(self):
        while True:
            port = random.randrange(21000, 31000)
            if all(is_free(f"{self.net}.10:{port + step}") for step in range(4)):
                return port

    def ip(self):
        """Return another address of this run."""
        return f"{self.net}.{next(self._last)}"

    def address(self):
        """Return ``"IP:PORT"`` with another IP, for a server."""
        return f"{self.ip()}:{self.port}"


class Store:
    """The metadata store, without loss: a single counter, listings and watches.

    Each machine gets an address of its own, so that the store can turn away some and
    serve the others.

    Attributes
    ----------
    silent, busy : set of str
        Addresses on which it answers nothing, and on which it answers with 503.
    """

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.silent, self.busy = set(), set()
        self._changed = asyncio.Event()
        self._servers = []

    async def listen(self, address):
        """Serve on one more address."""

        async def handle(first, headers, body, reader):
            return await self._respond(address, first)

        self._servers.append(await serve(address, handle))

    def put(self, key, value):
        """Write an item; `value` is bytes, or is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._publish(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "revision": self.revision, "tombstone": True})

    def _publish(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, address, first):
        path, _, query = first.split()[1].partition("?")
        params = dict(urllib.parse.parse_qsl(query))
        if path.endswith("kv-watch"):
            page = await self._watch(params)
        elif path.endswith("kv-range"):
            prefix, after = params.get("path_prefix", ""), params.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            page = {"items": items, "has_more": False}
        else:
            page = None
        # A connection on which no answer came returns nothing further.
        while address in self.silent:
            await asyncio.sleep(0.05)
            page = {}
        if page == {}:
            return None
        headers = {"content-type": "application/json", "store-era": "1"}
        if address in self.busy:
            # It doesn't keep connections that it can't serve, and says so (RFC 9112,
            # section 9.6).
            headers["connection"] = "close"
            return encode_message("HTTP/1.1 503 Service Unavailable", headers, b"{}")
        if page is None:
            return encode_message("HTTP/1.1 404 Not Found", headers, b"{}")
        page["store_revision"] = self.revision
        return encode_message("HTTP/1.1 200 OK", headers, json.dumps(page).encode())

    async def _watch(self, params):
        after, prefix = int(params["after"]), params.get("path_prefix", "")
        until = time.monotonic() + int(params["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass


class Worker:
    """A sound worker of a plain service; it registers itself and runs requests.

    Attributes
    ----------
    runs : list of dict
        What it ran: id, service, times, whether the answer was sent.
    """

    def __init__(self, record, store, service, zone, address, slots, work_s):
        self.record, self.store, self.service = record, store, service
        self.zone, self.address = zone, address
        self.slots, self.work_s = slots, work_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0

    async def start(self):
        """Serve, and write the entry in the store from now on."""
        self._server = await serve(self.address, self._handle)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        known = None
        while True:
            self.seq += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": 1,
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "born": self.born,
            }
            # The entry changes only when more than the count changes.
            if entry != known:
                self.store.put(f"servers/{self.id}", {**entry, "seq": self.seq})
                known = entry
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, first, headers, body, reader):
        method, path, _ = first.split()
        request_id = headers.get("request-id", "")
        common = {
            "request-id": request_id,
            "instance-load": f"{self.slots - self._free._value},{self._waiting},"
            f"{self.slots}",
        }
        if headers.get("expect-instance", self.id) != self.id:
            return encode_message("HTTP/1.1 421 Misdirected", common)
        if self._waiting >= 2 * self.slots:
            common["not-executed"] = "1"
            return encode_message("HTTP/1.1 503 Full", common)
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            run = {
                "id": request_id,
                "service": self.service,
                "began": self.record.write(
                    "run", worker=self.id, service=self.service, id=request_id
                ),
            }
            self.runs.append(run)
            await asyncio.sleep(self.work_s)
        finally:
            self._free.release()
        common["response-signature"] = f"{self.id}.{request_id}"
        return encode_message("HTTP/1.1 200 OK", common, b"x" * 800)


class Machine:
    """A machine that runs the program of the deploy file, and starts it again.

    Attributes
    ----------
    ends : list of float
        When its process ended without having been told to, in seconds.
    """

    def __init__(self, record, net, folder, name, zone, region, store_address, zones):
        self.record, self.name, self.region = record, name, region
        self.ip, port = net.ip(), net.port
        self.front = f"{self.ip}:{port}"
        self.ready = f"{self.ip}:{port + 1}"
        self.control = f"{self.ip}:{port + 2}"
        self.settings = {
            "node": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "directory", "control"],
            "ip": self.ip,
            "zone": zone,
            "region": region,
            "zones": zones,
            "listen": {
                "front": self.front,
                "ready_address": self.ready,
                "control": self.control,
                "directory": f"{self.ip}:{port + 3}",
            },
            "internal_ports": [7600, 7615],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "read"},
        }
        self.file = pathlib.Path(folder) / f"{name}.json"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.ends = []
        self._process = self._keeper = None
        self._is_stopping = False

    async def start(self, seeds):
        """Write the settings, start the process and keep it running."""
        self.file.write_text(json.dumps({**self.settings, "seeds": seeds}))
        await self._spawn()
        self._keeper = asyncio.create_task(self._keep())

    async def _spawn(self):
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CACTUSMILL_CONFIG"] = str(self.file)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *next(iter(roles.values()))["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("start", machine=self.name)

    async def _keep(self):
        while True:
            code = await self._process.wait()
            if self._is_stopping:
                return
            self.ends.append(self.record.write("end", machine=self.name, code=code))
            await asyncio.sleep(RESTART_S)
            await self._spawn()

    async def wait_ready(self):
        """Return whether the machine says within a time that it is ready."""
        ip, _, port = self.ready.rpartition(":")
        until = time.monotonic() + _READY_S
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                headers = {"host": self.ready}
                writer.write(encode_message("GET /cactusmill/ready HTTP/1.1", headers))
                is_ready = (await reader.readline()).split()[1:2] == [b"200"]
                writer.close()
            except OSError:
                is_ready = False
            if is_ready:
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        """End the process for good."""
        self.record.write("stop", machine=self.name)
        self._is_stopping = True
        if self._keeper is not None:
            self._keeper.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


async def start_machines(record, net, store, places, folder, machines):
    """Start one machine for each (name, zone, region), and wait until all are ready.

    They are added to `machines`, for `run_case` to stop. Returns whether all are ready
    in time.
    """
    zones = {zone: region for _, zone, region in places}
    for name, zone, region in places:
        store_address = net.address()
        await store.listen(store_address)
        machines.append(
            Machine(record, net, folder, name, zone, region, store_address, zones)
        )
    seeds = [m.control for m in machines[:3]]
    for machine in machines:
        await machine.start(seeds)
    is_ready = await asyncio.gather(*(m.wait_ready() for m in machines))
    if not all(is_ready):
        print("the machines did not become ready")
    return all(is_ready)


def run_case(case, folder):
    """Run ``await case(record, work_folder, machines, has_trouble)``; return its code.

    `machines` is a list that the case fills; all of them are stopped at the end. The
    code is 2 if the case fails by an error of its own.
    """

    async def run():
        machines = []
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        with tempfile.TemporaryDirectory() as work:
            try:
                has_trouble = os.environ.get("TROUBLE", "1") != "0"
                return await case(Record(folder), work, machines, has_trouble)
            finally:
                await asyncio.gather(*(m.stop() for m in machines))

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2
