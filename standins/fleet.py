"""Fleet of real processes on loopback: hosts and stand-ins.

For scripts and tests; the gateway itself starts no processes.
"""

import contextlib
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
import urllib.request

import attrs
import yaml

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 30.0
_PORT = re.compile(r"127\.0\.0\.1:(\d+)")
_FIRST_PORT = 7000
# Sockets that claim ports for this process, so that other test runs on the machine do
# not use them. Nothing else uses this address.
_CLAIM_IP = "127.0.0.3"
_claims = []


def copy_example(source, folder):
    """Copy an example's files, shifting its ports to free ones.

    Parameters
    ----------
    source, folder : pathlib.Path
        Folder of the example and folder of the copy.
    """
    offset = _find_free_offset(source)
    for path in source.rglob("*.yaml"):
        text = _PORT.sub(
            lambda m: f"127.0.0.1:{int(m.group(1)) + offset}", path.read_text()
        )
        target = folder / path.relative_to(source)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(text)


def _find_free_offset(source):
    ports = {
        int(port)
        for path in source.rglob("*.yaml")
        for port in _PORT.findall(path.read_text())
    }
    for offset in range(1000, 50_000, 600):
        is_free = all(is_port_free(port + offset) for port in ports)
        if is_free and claim_port(min(ports) + offset):
            return offset
    raise RuntimeError("no range of free ports found")


def claim_port(port):
    """Claim a port until this process ends; return whether no other run has."""
    claim = socket.socket()
    try:
        claim.bind((_CLAIM_IP, port))
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True


def is_port_free(port):
    """Return whether nothing uses a port of 127.0.0.1."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@attrs.define(eq=False)
class Fleet:
    """A fleet of processes.

    Attributes
    ----------
    folder : pathlib.Path
        Folder of settings, records and host list; logs and captured traffic are
        written there.
    captures : bool
        Whether the stand-ins write the bytes that they receive to files.
    processes : dict of str to subprocess.Popen
        Running processes by name of host, endpoint or service.
    """

    folder: pathlib.Path
    captures: bool = False
    processes: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        """Read the host list."""
        listed = yaml.safe_load((self.folder / "platform-hosts.yaml").read_text())
        self._entries = {entry["name"]: entry for entry in listed}

    _entries: dict = attrs.field(factory=dict)

    def settings(self, host):
        """Return a host's settings as read from its YAML file."""
        return yaml.safe_load((self.folder / "hosts" / f"{host}.yaml").read_text())

    @property
    def hosts(self):
        """Names of the hosts."""
        return [n for n, e in self._entries.items() if e["kind"] == "host"]

    @property
    def endpoints(self):
        """Entries of the endpoints, by name."""
        return {n: e for n, e in self._entries.items() if e["kind"] == "endpoint"}

    def start(self, endpoints=True):
        """Start everything and wait until every host is ready.

        Parameters
        ----------
        endpoints : bool
            Whether to start the endpoints' stand-ins.
        """
        self.start_services()
        for name in self.endpoints if endpoints else ():
            self.start_endpoint(name)
        for name in self.hosts:
            self.start_host(name)
        for name in self.hosts:
            self.wait_ready(name)

    def start_services(self):
        """Start the platform's services of the configuration and the host list."""
        cfg = self.settings(self.hosts[0])
        for name, address, records in (
            ("configuration", cfg["configuration"], "records.yaml"),
            ("host-list", cfg["host_list"], "platform-hosts.yaml"),
        ):
            self._start_standin(
                name, "changes", address, "--records", str(self.folder / records)
            )

    def start_endpoint(self, name):
        """Start an engine or an order service, chosen by the prefix of its name."""
        body = self.endpoints[name]["body"]
        kind = "engine" if name.startswith("engine") else "desk"
        self._start_standin(name, kind, body["address"], "--name", name)

    def _start_standin(self, name, module, address, *args):
        command = [sys.executable, "-m", f"standins.{module}", "--listen", address]
        if self.captures:
            command += ["--capture", str(self.folder / f"{name}.capture")]
        self._start(name, [*command, *args])

    def start_host(self, name):
        """Start a host's daemon."""
        config = self.folder / "hosts" / f"{name}.yaml"
        self._start(
            name, [sys.executable, "-m", "cactusmill.daemon", "--config", str(config)]
        )

    def _start(self, name, command):
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(command, stderr=log, stdout=log)

    def wait_ready(self, host):
        """Wait until a host serves callers."""
        url = f"http://{self.settings(host)['operators']}/readyz"
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline and self.processes[host].poll() is None:
            with contextlib.suppress(OSError):
                if urllib.request.urlopen(url, timeout=1).status == 200:
                    return
            time.sleep(0.05)
        log = (self.folder / f"{host}.log").read_text()
        raise RuntimeError(f"{host} did not become ready; log:\n{log}")

    def signal(self, name, number):
        """Send a signal to a process of this fleet."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process at once."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        """Shut down the hosts gracefully, then kill the stand-ins.

        Returns
        -------
        dict of str to int
            Exit code of each host.
        """
        for name in self.hosts:
            if name in self.processes:
                self.signal(name, signal.SIGCONT)
                self.signal(name, signal.SIGTERM)
        codes = {
            name: self.processes.pop(name).wait(_STOP_TIMEOUT_S)
            for name in self.hosts
            if name in self.processes
        }
        self.kill_all()
        return codes

    def kill_all(self):
        """Kill all processes that still run."""
        for name in list(self.processes):
            self.kill(name)
