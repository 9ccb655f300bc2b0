"""Store, workers, hosts and consumers of a case, on loopback and the real clock.

The store and the workers follow PROTOCOL.md; the hosts are started with the command of
the deploy file. Only the standard library is needed.
"""

import asyncio
import base64
import contextlib
import functools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"front": 8221, "ready_address": 8224, "control": 8229, "directory": 8220}
METRICS_PORT, STORE_PORT, WORKER_PORT = 7610, 8225, 8300
# Figures of the small site bralni-urnik.
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
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Lines of record.txt, each with the time since the start in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self):
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._began_at

    def add(self, event, **fields):
        """Write one line."""
        line = {"s": round(self.now(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self):
        """Close the file."""
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers of a message, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).strip() or b"0", 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def render(status, headers, body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} -", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's store: items, listings and watches.

    Each host has an address of its own, so that the store can be cut off for it.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.cut = set()
        self.silent = set()
        self.answered_at = {}
        self._changed = asyncio.Event()
        self._writers = {}

    def _publish(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; return when it was acknowledged, in seconds."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._publish(item)
        self.record.add("store_put", key=key, revision=self.revision)
        return self.record.now()

    def remove(self, key):
        """Remove an item; return when that was acknowledged, in seconds."""
        self.revision += 1
        self.items.pop(key, None)
        self._publish({"key": key, "revision": self.revision, "tombstone": True})
        self.record.add("store_remove", key=key, revision=self.revision)
        return self.record.now()

    def cut_off(self, ip):
        """Reset the connections from one host, and refuse it from now on."""
        self.cut.add(ip)
        self.record.add("store_cut", host=ip)
        for writer in self._writers.pop(ip, ()):
            reset(writer)

    def silence(self, ip):
        """Answer one host nothing from now on, on any connection."""
        self.silent.add(ip)
        self.record.add("store_silent", host=ip)

    def heal(self, ip):
        """Serve a host again."""
        self.cut.discard(ip)
        self.record.add("store_healed", host=ip)

    async def serve(self, ip, reader, writer):
        """Serve one connection that came in on the address of a host."""
        if ip in self.cut:
            reset(writer)
            return
        self._writers.setdefault(ip, set()).add(writer)
        with contextlib.suppress(ConnectionError):
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                page = await self._respond(ip, target)
                if ip in self.cut:
                    return
                if ip in self.silent:
                    await asyncio.Event().wait()
                status, body = page
                data = json.dumps(body).encode()
                kind = [("content-type", "application/json")]
                writer.write(render(status, kind, data))
                await writer.drain()
                self.answered_at[ip] = self.record.now()
        self._writers.get(ip, set()).discard(writer)
        writer.close()

    async def _respond(self, ip, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        prefix = query.get("path_prefix", "")
        if parts.path == "/cactusmill/kv-range":
            after = query.get("after", "")
            self.record.add("listing", host=ip, revision=self.revision)
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            page = {"items": items[:500], "has_more": len(items) > 500}
        elif parts.path == "/cactusmill/kv-watch":
            ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            after = int(query.get("after", "0"))
            page = {"events": await self._wait(prefix, after, ends_at)}
        else:
            return 404, {}
        return 200, {**page, "store_revision": self.revision}

    async def _wait(self, prefix, after, ends_at):
        while True:
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return events
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Worker:
    """A worker of a plain service.

    `loses` is called with each request that it has run; if it returns True, the
    connection is reset instead of answered.
    """

    def __init__(
        self,
        record,
        name,
        zone,
        service,
        address,
        work_s=0.01,
        loses=None,
        slots=16,
    ):
        self.record = record
        self.name, self.zone, self.service = name, zone, service
        self.address, self.work_s, self.loses = address, work_s, loses
        self.slots = slots
        self._places = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.seq = 1
        self.runs = []
        self._server = None
        self._writers = set()

    def entry(self):
        """Return the entry of the worker in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def start(self):
        """Listen."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def stop(self):
        """End: close the listener and all connections."""
        self.record.add("worker_ends", worker=self.name)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                headers = head[1]
                await read_body(reader, headers)
                if not await self._answer(headers, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, headers, writer):
        request_id = headers.get("request-id", "")
        base = [("request-id", request_id), ("instance-id", self.name)]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(render(421, [*base, ("not-executed", "1")]))
            return True
        async with self._places:
            self.runs.append((self.record.now(), request_id))
            self.record.add("run", worker=self.name, request=request_id)
            await asyncio.sleep(self.work_s)
        if self.loses is not None and self.loses():
            self.record.add("answer_lost", worker=self.name, request=request_id)
            reset(writer)
            return False
        body = f"{self.name} ran {request_id}".encode()
        sign = ("response-signature", f"signed-by-{self.name}")
        writer.write(render(200, [*base, sign, ("keep-alive", "timeout=10")], body))
        await writer.drain()
        return True


class Stage:
    """All that a case starts; it is ended by :meth:`close`."""

    def __init__(self, folder, zones, hosts):
        self.zones, self.hosts = zones, hosts
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.processes = {}
        self.number = self._find_network()
        self._folder = tempfile.TemporaryDirectory()
        self._servers = []
        self.sent_at = {}
        self._ids = 0

    @staticmethod
    def _find_network():
        for number in random.SystemRandom().sample(range(16, 240), 100):
            with socket.socket() as probe:
                try:
                    probe.bind((f"127.{number}.1.1", PORTS["control"]))
                except OSError:
                    continue
                return number
        raise NotRunError("no loopback network is free")

    def ip(self, host):
        """Return the IP address of a host."""
        return f"127.{self.number}.1.{list(self.hosts).index(host) + 1}"

    def worker_address(self, index):
        """Return the address of a worker by its number from 1."""
        return f"127.{self.number}.100.{index}:{WORKER_PORT}"

    def _store_ip(self, host):
        return f"127.{self.number}.250.{list(self.hosts).index(host) + 1}"

    async def start_store(self):
        """Listen with an address for each host."""
        for host in self.hosts:
            serve = functools.partial(self._serve_store, self.ip(host))

            server = await asyncio.start_server(serve, self._store_ip(host), STORE_PORT)
            self._servers.append(server)

    async def _serve_store(self, ip, reader, writer):
        with contextlib.suppress(asyncio.CancelledError):
            await self.store.serve(ip, reader, writer)

    async def start_host(self, host):
        """Start the daemon of a host, as the deploy file does."""
        ip, zone = self.ip(host), self.hosts[host]
        settings = {
            "node": host,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "directory", "control"],
            "ip": ip,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listen": {name: f"{ip}:{port}" for name, port in PORTS.items()},
            "internal_ports": [7600, 7615],
            "seeds": [f"{self.ip(h)}:{PORTS['control']}" for h in self.hosts][:3],
            "bootstrap": False,
            "limits": {"cores": 2, "memory_mb": 300, "max_fds": 4100},
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self._store_ip(host)}:{STORE_PORT}",
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
            },
        }
        path = pathlib.Path(self._folder.name) / f"{host}.json"
        path.write_text(json.dumps(settings))
        log = open(pathlib.Path(self._folder.name) / f"{host}.log", "ab")
        with log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "cactusmill.platform.daemon",
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CACTUSMILL_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.add("host_starts", host=host, pid=self.processes[host].pid)

    def log_of(self, host):
        """Return the log of a host."""
        path = pathlib.Path(self._folder.name) / f"{host}.log"
        return path.read_text(errors="replace")

    async def end_host(self, host, number=signal.SIGTERM):
        """Send a signal to a host, and wait until it has ended."""
        self.record.add("host_signal", host=host, signal=int(number))
        process = self.processes[host]
        process.send_signal(number)
        try:
            await asyncio.wait_for(process.wait(), BOUNDS["grace_s"])
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record.add("host_ended", host=host, code=process.returncode)

    async def is_ready(self, host):
        """Return whether a host says that it is ready."""
        ready = f"{self.ip(host)}:{PORTS['ready_address']}"
        request = "GET /cactusmill/ready HTTP/1.1\r\nHost: ready\r\n\r\n"
        reply = await self.exchange(ready, request.encode(), 1.0)
        return reply is not None and reply[0] == 200

    async def wait_ready(self, hosts, limit_s=30.0):
        """Wait until all hosts are ready."""
        ends_at = time.monotonic() + limit_s
        for host in hosts:
            while not await self.is_ready(host):
                if time.monotonic() > ends_at:
                    raise NotRunError(f"{host}: {self.log_of(host)[-2000:]}")
                await asyncio.sleep(0.05)
        self.record.add("hosts_ready", hosts=list(hosts))

    async def exchange(self, address, data, limit_s):
        """Send a request on a new connection.

        Returns
        -------
        tuple of (int, dict, bytes) or None
            Status, headers and body; None without a whole response.
        """
        ip, _, port = address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(data)
                head = await read_head(reader)
                if head is None:
                    return None
                body = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), head[1], body
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            if writer is not None:
                writer.transport.abort()

    async def ask(self, host, path, budget_ms=2500):
        """Send a consumer's request to a host; return its id and the response.

        `sent_at` keeps when each request was sent, in seconds.
        """
        self._ids += 1
        request_id = f"{self.number:02x}{self._ids:014x}"
        lines = [
            f"GET {path} HTTP/1.1",
            "Host: api.example",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {budget_ms}",
            "Authorization: Token key-of-red",
        ]
        self.record.add("sent", request=request_id, host=host)
        self.sent_at[request_id] = self.record.now()
        data = ("\r\n".join(lines) + "\r\n\r\n").encode()
        address = f"{self.ip(host)}:{PORTS['front']}"
        reply = await self.exchange(address, data, budget_ms / 1000 + 1)
        status = reply[0] if reply else None
        self.record.add("answered", request=request_id, host=host, status=status)
        return request_id, reply

    async def close(self):
        """End all processes and servers."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for server in self._servers:
            server.close()
        self._folder.cleanup()
        self.record.close()


def configuration(routes, services, version=1):
    """Return a configuration with one tenant without a limit."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{"name": "red", "api_keys": ["key-of-red"]}],
    }


async def _play(act, folder, zones, hosts):
    cancel = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
    play = Stage(folder, zones, hosts)
    try:
        return await act(play)
    finally:
        await play.close()


def run(act, folder, zones, hosts):
    """Play a case, ``await act(stage)``, and exit with its result.

    1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    try:
        code = asyncio.run(_play(act, pathlib.Path(folder), zones, hosts))
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        code = EXIT_NOT_RUN
    sys.exit(code)
