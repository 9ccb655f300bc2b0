"""Stand-ins for the scripts of this review: store, workers, clients, daemons.

They use the standard library only and speak the protocol of the users' pages. The
daemons are the project's own, started with the command of the deploy file. All
addresses are loopback addresses, and all times are seconds of the monotonic clock.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "api.example"
# Bounds as the users' pages give them for a small deployment.
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
}
_PORT_NAMES = ("front", "ready_address", "control", "directory")
_STREAM_LIMIT = 2**20


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside a script.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the script.
    """

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def __call__(self, text):
        """Write a line with the time since the start, in seconds."""
        now = time.monotonic() - self._began_at
        self._file.write(f"{now:9.4f} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Message:
    """A received HTTP request or response.

    Attributes
    ----------
    start : str
        First line.
    headers : dict of str to str
        By name in lower case.
    body : bytes
        Whole body.
    """

    start: str
    headers: dict
    body: bytes = b""

    @property
    def status(self):
        """Status of a response."""
        return int(self.start.split()[1])

    @property
    def target(self):
        """Target of a request."""
        return self.start.split()[1]


async def read_message(reader, has_length=True):
    """Read a message; return None if the connection ends before it.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The connection.
    has_length : bool
        Whether a body without a length ends with the connection.

    Raises
    ------
    EOFError, OSError
        If the connection ends inside it.
    """
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (text := await reader.readline()) not in (b"\r\n", b"\n"):
        if not text:
            raise EOFError("the head ended early")
        name, _, value = text.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(line.decode("latin-1").strip(), headers)
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int(await reader.readline(), 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif not has_length:
        message.body = await reader.read()
    return message


def encode(start, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server on one address.

    Subclasses define ``await answer(request, writer)``, which returns the bytes of the
    response, or None to close the connection.
    """

    def __init__(self):
        self._servers = []
        self._writers = set()

    async def listen(self, place, **known):
        """Serve an address ``IP:PORT``; `known` is passed on to `answer`."""
        ip, _, port = place.rpartition(":")

        async def serve(reader, writer):
            self._writers.add(writer)
            try:
                while (request := await read_message(reader)) is not None:
                    data = await self.answer(request, writer, **known)
                    if data is None:
                        break
                    writer.write(data)
                    await writer.drain()
            except (EOFError, OSError, ValueError, asyncio.CancelledError):
                pass
            finally:
                self._writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, ip, int(port), limit=_STREAM_LIMIT)
        self._servers.append(server)

    def close(self):
        """Stop listening and close all connections."""
        for server in self._servers:
            server.close()
        self._servers.clear()
        for writer in list(self._writers):
            writer.close()


class Store(Server):
    """The platform's store: listings, watches, an era, and failures by address.

    Attributes
    ----------
    modes : dict of str to str
        By listening address: ``"silent"``, ``"503"`` or ``"reset"``.
    era : int
        Rises when the store comes back from an older copy.
    """

    def __init__(self, record):
        super().__init__()
        self.modes = {}
        self.era = 1
        self._record = record
        self._revision = 1
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item as JSON, or bytes as they are; return its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease": 0,
        }
        self._publish(self._items[key])
        self._record(f"store acknowledges {key} at revision {self._revision}")
        return self._revision

    def remove(self, key):
        """Remove an item."""
        self._revision += 1
        self._items.pop(key, None)
        event = {"key": key, "revision": self._revision, "tombstone": True}
        self._publish(event)
        self._record(f"store removes {key} at revision {self._revision}")

    def copy(self):
        """Return what :meth:`restore` can go back to."""
        return self._revision, dict(self._items)

    def restore(self, copy):
        """Come back from a copy in a new era, with all connections closed."""
        self._revision, items = copy
        self._items = dict(items)
        self._events = [e for e in self._events if e["revision"] <= self._revision]
        self.era += 1
        for writer in list(self._writers):
            writer.close()
        self._wake()
        self._record(f"store is back in era {self.era} at revision {self._revision}")

    def _publish(self, event):
        self._events.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request, writer, address):
        """Answer a read, unless this address fails."""
        response = await self._respond(request)
        mode = self.modes.get(address)
        if mode == "silent":
            while self.modes.get(address) == "silent":
                await asyncio.sleep(0.05)
            return None
        if mode == "reset":
            return None
        if mode == "503":
            response = 503, {}
        status, fields = response
        headers = {"Content-Type": "application/json", "Store-Era": self.era}
        body = json.dumps(fields).encode()
        return encode(f"HTTP/1.1 {status} X", headers, body)

    async def _respond(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/cactusmill/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self._items[k] for k in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self._revision,
            }
        if url.path != "/cactusmill/kv-watch":
            return 404, {}
        after, era = int(query["after"]), self.era
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while era == self.era and after == self._revision:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        if after > self._revision:
            return 410, {}
        events = [e for e in self._events if e["revision"] > after]
        return 200, {"events": events, "store_revision": self._revision}


class Worker(Server):
    """A worker of a plain service, sound unless `behave` says otherwise.

    Attributes
    ----------
    behave : callable or None
        ``await behave(worker, request, writer)`` returns the bytes of a response, None
        to close the connection, or NotImplemented for a sound answer. It is called once
        the request has begun to run.
    arrivals, runs : list of (float, str, str)
        Time, request id and target of what arrived here, and of what was run.
    """

    def __init__(self, record, name, zone, service, *, work_s=0.01, slots=16, **entry):
        super().__init__()
        self.name, self.zone, self.service = name, zone, service
        self.work_s, self.slots = work_s, slots
        self.behave = None
        self.arrivals, self.runs = [], []
        self.sequence = 1
        self.entry = entry
        self.address = None
        self._record = record
        self._free = asyncio.Semaphore(slots)

    def published(self, **changes):
        """Return its entry in the store, with some fields replaced."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": 1_790_000_000_000,
            **self.entry,
            **changes,
        }

    async def start(self, address):
        """Listen on an address."""
        self.address = address
        await self.listen(address)

    async def answer(self, request, writer):
        """Run a request, or say that it was not run."""
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Keep-Alive": "timeout=5"}
        if request.target.startswith("/health"):
            return encode("HTTP/1.1 200 OK", {"Instance-Id": self.name})
        self.arrivals.append((time.monotonic(), request_id, request.target))
        if request.headers.get("expect-instance", self.name) != self.name:
            headers["Not-Executed"] = "1"
            self._record(f"{self.name} answers 421 to {request_id}")
            return encode("HTTP/1.1 421 Misdirected", headers)
        async with self._free:
            self.runs.append((time.monotonic(), request_id, request.target))
            self._record(f"{self.name} runs {request_id} {request.target}")
            await asyncio.sleep(self.work_s)
            if self.behave is not None:
                data = await self.behave(self, request, writer)
                if data is not NotImplemented:
                    return data
        body = f"{self.name} ran {request_id}".encode()
        headers["Response-Signature"] = f"{self.name}.{request_id}"
        return encode("HTTP/1.1 200 OK", headers, body)


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def send(
    address, target, request_id, *, method="GET", body=b"", timeout_s=5.0, **more
):
    """Send a request on a new connection, as a client does.

    `more` are further headers, with underscores for hyphens.

    Returns
    -------
    Message or None
        None if no whole response came.
    """
    ip, _, port = address.rpartition(":")
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": int(timeout_s * 1000),
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                ip, int(port), limit=_STREAM_LIMIT
            )
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            await writer.drain()
            return await read_message(reader, has_length=False)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def route(name, service, kind="safe", **fields):
    """Return a public route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 4000,
        "target_latency_ms": 1000,
        "max_attempts": 1,
        "priority": 0,
        "public": True,
        **fields,
    }


def configuration(version, routes, services, tenants=()):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 400}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 10000,
        },
        "tenants": list(tenants),
    }


class Daemon:
    """One process of the project, with its settings file.

    Attributes
    ----------
    name : str
        Name of the machine.
    listen : dict of str to str
        Its addresses.
    process : subprocess.Popen or None
        The process that runs, or ran last.
    """

    def __init__(self, place, name, zone, ip):
        self.name, self.zone, self.ip = name, zone, ip
        self.listen = {n: f"{ip}:{place.port + i}" for i, n in enumerate(_PORT_NAMES)}
        self.store_address = None
        self.process = None
        self._place = place
        self._path = place.folder / f"{name}.json"
        self._log = open(place.folder / f"{name}.log", "ab")

    def write_settings(self, **changes):
        """Write its settings file, as the platform does at each start and change."""
        place = self._place
        text = json.dumps(
            {
                "node": self.name,
                "role": "entry",
                "machine_class": "front",
                "serves": ["front", "control", "directory"],
                "ip": self.ip,
                "zone": self.zone,
                "region": place.zones[self.zone],
                "zones": place.zones,
                "listen": self.listen,
                "internal_ports": [7600, 7615],
                "seeds": [d.listen["control"] for d in place.daemons[:3]],
                "bootstrap": False,
                "limits": {"memory_mb": 300, "max_fds": 4100},
                "data_dir": None,
                "bounds": BOUNDS,
                "platform": {"address": self.store_address, "form": "read"},
                **changes,
            }
        )
        part = self._path.with_suffix(".part")
        part.write_text(text, encoding="utf-8")
        part.replace(self._path)

    def start(self):
        """Start it with the command of the deploy file."""
        keep = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in keep if k in os.environ}
        env |= {"CACTUSMILL_CONFIG": str(self._path), "PYTHONPATH": "target/deps"}
        self.process = subprocess.Popen(
            ["python3", "-m", "cactusmill.platform.daemon"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        """Send a signal to the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ended(self, timeout_s):
        """Return the exit code of the process, or None if it runs after this time."""
        ends_at = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
        return self.process.poll()

    async def is_ready(self):
        """Return whether it answers the platform's check with 200."""
        response = await send(
            self.listen["ready_address"], "/cactusmill/ready", "", timeout_s=1.0
        )
        return response is not None and response.status == 200

    async def wait_ready(self, timeout_s=15.0):
        """Return whether it becomes ready within a time, in seconds."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            if self.process.poll() is not None:
                return False
            await asyncio.sleep(0.05)
        return False

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self._log.close()


class Place:
    """Addresses, a temporary folder, the store, the workers and the daemons of a run.

    Parameters
    ----------
    record : Record
        Where all of them write.
    zones : dict of str to str
        Region of each zone.
    """

    def __init__(self, record, zones):
        self.zones = zones
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        # A net of loopback addresses that no other run is likely to have.
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._last = 0
        self.port = self._find_port()
        self.daemons, self.workers = [], []
        self.store = Store(record)

    def _find_port(self):
        for _ in range(100):
            port = random.randrange(12_000, 30_000, 10)
            if all(_is_free(f"{self._net}.1", port + i) for i in range(10)):
                return port
        raise OSError("no free ports")

    def _next_ip(self):
        self._last += 1
        return f"{self._net}.{self._last}"

    async def add_worker(self, worker):
        """Start a worker on an address of its own and publish it."""
        await worker.start(f"{self._next_ip()}:{self.port + 9}")
        self.workers.append(worker)
        self.store.put(f"servers/{worker.name}", worker.published())
        return worker

    async def add_daemon(self, name, zone):
        """Prepare a daemon, with an address of the store for it alone."""
        daemon = Daemon(self, name, zone, self._next_ip())
        daemon.store_address = f"{self._next_ip()}:{self.port + 8}"
        await self.store.listen(daemon.store_address, address=daemon.store_address)
        self.daemons.append(daemon)
        return daemon

    async def start(self):
        """Start all daemons; return whether all become ready."""
        for daemon in self.daemons:
            daemon.write_settings()
            daemon.start()
        are_ready = [await daemon.wait_ready() for daemon in self.daemons]
        return all(are_ready)

    def close(self):
        """End all that was started."""
        for daemon in self.daemons:
            daemon.kill()
        for server in (self.store, *self.workers):
            server.close()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
            self._temporary._finalizer.detach()
        else:
            self._temporary.cleanup()


def _is_free(ip, port):
    with contextlib.closing(socket.socket()) as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run(folder, zones, main, timeout_s=110.0):
    """Run a case and exit with its result.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    zones : dict of str to str
        Region of each zone.
    main : callable
        ``await main(place, record)`` returns `HELD`, `BROKEN` or `NOT_RUN`.
    timeout_s : float
        Time after which the case counts as not run, in seconds.
    """
    record = Record(folder)

    async def play():
        place = Place(record, zones)
        try:
            async with asyncio.timeout(timeout_s):
                return await main(place, record)
        except TimeoutError:
            record("the case took too long")
            return NOT_RUN
        finally:
            place.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    # The processes start with the default action, also below nohup.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        result = asyncio.run(play())
    except Exception:
        record(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
        result = NOT_RUN
    record(f"result {result} with TROUBLE={int(TROUBLE)}")
    sys.exit(result)
