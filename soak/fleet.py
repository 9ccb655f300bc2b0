"""The processes of a run: hosts, endpoints, the store, and others beside them.

Every process has a name, a log in the run's folder, and is ended through its own
handle. Addresses are of the loopback network: each run has a /16 network of its own,
which it reserves for as long as it lasts.
"""

import contextlib
import errno
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request

import attrs

from . import places
from .history import Exit

_START_TIMEOUT_S = 60.0
_STOP_MARGIN_S = 2.0
_PORTS = {"front": 8221, "ready_address": 8224, "control": 8229, "directory": 8220}
_METRICS_PORT, _STORE_PORT, _ENDPOINT_PORT, _LOCK_PORT = 7610, 8225, 8300, 8199
_NETWORKS = range(16, 112)
# Addresses by which hosts are known, if proxies pass their traffic on.
_PROXY_OFFSET = 112
_STORE_NET, _ENDPOINT_NET = 250, 100
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "quota_window_s": 8,
    "quota_overage": 0.25,
    "quota_slack": 24_000,
}


_REPOSITORY = pathlib.Path(__file__).resolve().parent.parent


class WorldError(Exception):
    """The processes of a run cannot be started or do not obey."""


def reserve_network():
    """Return the number of a free loopback network, and the socket that reserves it.

    Raises
    ------
    WorldError
        If every network is reserved by other runs.
    """
    numbers = list(_NETWORKS)
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        sock = socket.socket()
        try:
            sock.bind((f"127.{number}.0.1", _LOCK_PORT))
            sock.listen()
        except OSError:
            sock.close()
            continue
        return number, sock
    raise WorldError("all loopback networks are in use by other runs; end some")


def check_port_free(address):
    """Raise WorldError if an address is in use."""
    ip, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, int(port)))
        except OSError as exc:
            reason = "is in use" if exc.errno == errno.EADDRINUSE else str(exc)
            raise WorldError(f"{address} {reason}; end the process on it") from exc


@attrs.define(eq=False)
class Fleet:
    """Processes of a run.

    Attributes
    ----------
    cfg : SoakSettings
        Settings of the run.
    folder : pathlib.Path
        Folder of logs, settings and records.
    processes : dict of str to subprocess.Popen
        Running processes by name.
    expected : set of str
        Names of processes that the soak is ending.
    exit_codes : dict of str to int
        Last exit code of each process that ended.
    record : callable
        Called with an `Exit` for each process that ended.
    entries : dict of str to dict
        Published entry of each endpoint, by its present name.
    sources : dict of str to str
        Folder of the package that a host runs from, if not that of the settings.
    network : int
        Second number of the run's IP addresses.
    """

    cfg: object
    folder: pathlib.Path
    record: object
    processes: dict = attrs.field(factory=dict)
    expected: set = attrs.field(factory=set)
    exit_codes: dict = attrs.field(factory=dict)
    entries: dict = attrs.field(factory=dict)
    sources: dict = attrs.field(factory=dict)
    network: int = 0
    _lock: object = None
    _command_lock: object = attrs.field(factory=threading.Lock)

    def __attrs_post_init__(self):
        """Reserve addresses."""
        self.network, self._lock = reserve_network()

    # Addresses.

    def listen_ip(self, host):
        """Return the IP address on which a host listens."""
        zone, number = self._place(host)
        return f"127.{self.network}.{zone + 1}.{number}"

    def known_ip(self, host):
        """Return the IP address by which a host is known."""
        return self.known_address(self.listen_ip(host))

    def _place(self, host):
        hosts, zones = places.hosts(self.cfg), list(places.zones(self.cfg))
        return zones.index(hosts[host]), list(hosts).index(host) + 1

    def store_address(self, host):
        """Return the store's address for one host."""
        return f"127.{self.network}.{_STORE_NET}.{self._place(host)[1]}:{_STORE_PORT}"

    def endpoint_address(self, name):
        """Return the address on which an endpoint listens."""
        number = list(places.endpoints(self.cfg)).index(slot(name)) + 1
        return f"127.{self.network}.{_ENDPOINT_NET}.{number}:{_ENDPOINT_PORT}"

    def known_address(self, address):
        """Return the address by which others reach one of the run's addresses."""
        if not self.cfg.proxies:
            return address
        return address.replace(
            f"127.{self.network}.", f"127.{self.network + _PROXY_OFFSET}.", 1
        )

    def links(self, target):
        """Return the proxies before a host or an endpoint: name and target address."""
        if slot(target) in places.endpoints(self.cfg):
            return {slot(target): self.endpoint_address(target)}
        ip = self.listen_ip(target)
        ports = {n: p for n, p in _PORTS.items() if n != "ready_address"}
        addresses = {f"{target}/{n}": f"{ip}:{port}" for n, port in ports.items()}
        return {**addresses, f"{target}/store": self.store_address(target)}

    def world(self):
        """Return the hosts as callers see them."""
        zones = places.zones(self.cfg)
        return {
            host: {
                "address": f"{self.known_ip(host)}:{_PORTS['front']}",
                "region": zones[zone],
                "directory": f"{self.known_ip(host)}:{_PORTS['directory']}",
            }
            for host, zone in places.hosts(self.cfg).items()
        }

    # Start.

    def start(self, name, command, source=None, pipes=False, **env):
        """Start a process."""
        src = pathlib.Path(source or _REPOSITORY / "src").resolve()
        env = {**os.environ, "PYTHONPATH": f"{src}{os.pathsep}{_REPOSITORY}", **env}
        pipe = subprocess.PIPE if pipes else subprocess.DEVNULL
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command],
                stdin=pipe,
                stdout=subprocess.PIPE if pipes else log,
                stderr=log,
                env=env,
                cwd=self.folder,
                text=True,
                start_new_session=True,
            )

    def start_standin(self, name, *args):
        """Start a stand-in and wait until it serves."""
        self.start(name, ["-m", "standins.platform_process", *args], pipes=True)
        self._read_reply(name)

    def start_store(self):
        """Start the store, with an address for each host."""
        listen = [self.store_address(host) for host in places.hosts(self.cfg)]
        for address in listen:
            check_port_free(address)
        self.start_standin("store", "--role", "store", "--listen", ",".join(listen))

    def start_proxies(self):
        """Start the proxies before all hosts, their store and the endpoints."""
        self.start("proxies", ["-m", "soak.proxies"], pipes=True)
        for place in (*places.hosts(self.cfg), *places.endpoints(self.cfg)):
            for name, target in self.links(place).items():
                listen = self.known_address(target)
                check_port_free(listen)
                self.command("proxies", open=name, listen=listen, target=target)

    def start_endpoint(self, name, cold_s=0.0):
        """Start an endpoint and publish it."""
        zone, service = places.endpoints(self.cfg)[slot(name)]
        address = self.endpoint_address(name)
        check_port_free(address)
        region = places.zones(self.cfg)[zone]
        args = ["--role", "endpoint", "--listen", address, "--name", name]
        args += ["--zone", zone, "--region", region, "--service", service]
        args += ["--events", str(self.cfg.events)]
        args += ["--event-gap-s", str(self.cfg.event_gap_s)]
        args += ["--runs", str(self.folder.resolve() / "runs.jsonl")]
        self.start_standin(name, *args)
        self.entries[name] = {
            "service": service,
            "address": self.known_address(address),
            "zone": zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_left_ms": int(cold_s * 1000),
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self.publish_endpoint(name)

    def publish_endpoint(self, name, **changes):
        """Write an endpoint's entry, with some fields changed; return when."""
        entry = self.entries[name]
        entry.update(changes, seq=entry["seq"] + 1)
        return self.put(f"servers/{name}", entry)

    def start_host(self, host):
        """Start a host's daemon at its address."""
        zones = places.zones(self.cfg)
        hosts = places.hosts(self.cfg)
        listen_ip = self.listen_ip(host)
        seeds = [f"{self.known_ip(h)}:{_PORTS['control']}" for h in list(hosts)[:3]]
        settings = {
            "node": host,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.known_ip(host),
            "zone": hosts[host],
            "region": zones[hosts[host]],
            "zones": zones,
            "listen": {name: f"{listen_ip}:{port}" for name, port in _PORTS.items()},
            "internal_ports": [7600, 7615],
            "seeds": seeds,
            "bounds": {**BOUNDS, "grace_s": self.cfg.grace_s},
            "platform": {
                "address": self.known_address(self.store_address(host)),
                "form": "read",
            },
        }
        path = self.folder.resolve() / f"{host}.json"
        path.write_text(json.dumps(settings, indent=1))
        for address in settings["listen"].values():
            check_port_free(address)
        self.start(
            host,
            ["-m", "cactusmill.platform.daemon"],
            self.sources.get(host, self.cfg.source),
            CACTUSMILL_CONFIG=str(path),
        )

    def is_ready(self, host):
        """Return whether a host says that it is ready."""
        address = f"{self.listen_ip(host)}:{_PORTS['ready_address']}"
        with contextlib.suppress(OSError):
            url = f"http://{address}/cactusmill/ready"
            return urllib.request.urlopen(url, timeout=1).status == 200
        return False

    def read_metrics(self, host):
        """Return the text of a host's metrics page."""
        url = f"http://{self.known_ip(host)}:{_METRICS_PORT}/metrics"
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.read().decode()

    def log_tail(self, name, size=2000):
        """Return the end of a process's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")[-size:]

    # Commands.

    def _read_reply(self, name):
        line = self.processes[name].stdout.readline()
        if not line:
            raise WorldError(f"{name} ended; its log:\n{self.log_tail(name)}")
        reply = json.loads(line)
        if "error" in reply:
            raise WorldError(f"{name} rejects a command: {reply['error']}")
        return reply

    def command(self, name, /, **fields):
        """Send a command to a stand-in that runs; return its reply."""
        with self._command_lock:
            stdin = self.processes[name].stdin
            stdin.write(json.dumps(fields) + "\n")
            stdin.flush()
            return self._read_reply(name)

    def put(self, key, value):
        """Write an item to the store; return when that was acknowledged."""
        return self.command("store", do="put", key=key, value=value)["at"]

    def remove(self, key):
        """Remove an item from the store; return when that was acknowledged."""
        return self.command("store", do="remove", key=key)["at"]

    # End.

    def signal(self, name, number):
        """Send a signal to a process; return whether it runs."""
        process = self.processes.get(name)
        if process is None or process.poll() is not None:
            return False
        process.send_signal(number)
        return True

    def collect_exits(self):
        """Record the processes that have ended."""
        for name, process in list(self.processes.items()):
            code = process.poll()
            if code is None:
                continue
            del self.processes[name]
            self.exit_codes[name] = code
            for pipe in (process.stdin, process.stdout):
                with contextlib.suppress(OSError):
                    if pipe is not None:
                        pipe.close()
            self.record(
                Exit(
                    name=name,
                    at=time.monotonic(),
                    code=code,
                    is_expected=name in self.expected,
                )
            )
            self.expected.discard(name)

    def stop(self):
        """Shut down the hosts gracefully, then kill all that still runs."""
        hosts = [h for h in places.hosts(self.cfg) if h in self.processes]
        self.expected.update(self.processes)
        for host in hosts:
            self.signal(host, signal.SIGCONT)
            self.signal(host, signal.SIGTERM)
        deadline = time.monotonic() + self.cfg.grace_s + _STOP_MARGIN_S
        while time.monotonic() < deadline:
            self.collect_exits()
            if not any(host in self.processes for host in hosts):
                break
            time.sleep(0.05)
        self.kill_all()

    def kill_all(self):
        """Kill all processes that still run, and free the addresses."""
        self.expected.update(self.processes)
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.collect_exits()
        self._lock.close()


def slot(endpoint):
    """Return the first name of an endpoint's place; later ones end in ``.N``."""
    return endpoint.partition(".")[0]
