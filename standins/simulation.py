"""Simulation of a complete deployment in one process and in simulated time.

The hosts run the production code; only the network, the clock and the external
systems are replaced.
"""

import hashlib
import json
import pathlib
import random

import attrs
import h11
import trio
import trio.testing
import yaml

from cactusmill.errors import CactusmillError, ConnectError, ExchangeError
from cactusmill.internal.host_process import HostProcess
from cactusmill.internal.http import client_connection, perform_request
from cactusmill.settings import parse_settings
from standins.changes import ChangeService
from standins.desk import OrderService
from standins.engine import Engine
from standins.network import Machine, SimulatedNetwork

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "slovenia"
PLATFORM_ZONE = "platform"
CALLER_ZONE = "callers"


class CallFailedError(CactusmillError):
    """A simulated caller received no complete response."""


@attrs.frozen
class Reply:
    """A complete response as a caller received it."""

    status: int
    headers: dict
    body: bytes

    @property
    def problem(self):
        """The problem details of a refusal by the gateway; None otherwise."""
        if self.headers.get(b"content-type") != b"application/problem+json":
            return None
        return json.loads(self.body)


@attrs.define(eq=False)
class Simulation:
    """A simulated deployment, by default that of the example `EXAMPLE`.

    Attributes
    ----------
    network : SimulatedNetwork
        Network of all machines.
    rng : random.Random
        Random source for the choice of hosts and faults.
    configuration, host_list : ChangeService
        The platform services.
    hosts : dict of str to HostProcess
        Running hosts by name.
    on_host_start : list of callable
        Callbacks, each called with every host that starts.
    engines, order_services : dict of str to Engine or OrderService
        Stand-ins of the endpoints, by name.
    machines : dict of str to Machine
        All machines by name.
    settings : dict of str to dict
        Settings of each host as read from YAML.
    addresses : dict of str to str
        Address of each endpoint, by name.
    """

    nursery: trio.Nursery
    network: SimulatedNetwork
    rng: random.Random
    configuration: ChangeService = attrs.field(factory=ChangeService)
    host_list: ChangeService = attrs.field(factory=ChangeService)
    hosts: dict = attrs.field(factory=dict)
    engines: dict = attrs.field(factory=dict)
    order_services: dict = attrs.field(factory=dict)
    machines: dict = attrs.field(factory=dict)
    settings: dict = attrs.field(factory=dict)
    addresses: dict = attrs.field(factory=dict)
    on_host_start: list = attrs.field(factory=list)
    _scopes: dict = attrs.field(factory=dict)
    _parsed_settings: dict = attrs.field(factory=dict)
    _started: list = attrs.field(factory=list)

    # Machines.

    def machine(self, name, zone):
        """Return a machine by name, creating it on first use."""
        if name not in self.machines:
            self.machines[name] = Machine(name, zone)
        return self.machines[name]

    async def start_standins(self, folder):
        """Start the stand-ins of the platform and the endpoints of an example.

        Parameters
        ----------
        folder : pathlib.Path
            Folder of the example.
        """
        for path in sorted((folder / "hosts").glob("*.yaml")):
            data = yaml.safe_load(path.read_text())
            self.settings[data["host"]] = data
        self.configuration.load(yaml.safe_load((folder / "records.yaml").read_text()))
        listed = yaml.safe_load((folder / "platform-hosts.yaml").read_text())
        self.host_list.load(listed)
        any_host = next(iter(self.settings.values()))
        for name, service in (
            ("configuration", self.configuration),
            ("host_list", self.host_list),
        ):
            address = any_host[name]
            await self._serve(self.machine(name, PLATFORM_ZONE), address, service.serve)
        for entry in listed:
            if entry["kind"] == "endpoint":
                await self._start_endpoint(entry["name"], entry["body"])

    async def _start_endpoint(self, name, body):
        machine = self.machine(name, body["zone"])
        self.addresses[name] = body["address"]
        if name.startswith("engine"):
            standin = Engine(
                name=name, batch=body["capacity"], crash=lambda: self.kill(name)
            )
            self.engines[name] = standin
        else:
            standin = self.order_services[name] = OrderService(name=name)
        await self._serve(machine, body["address"], standin.serve)

    async def _serve(self, machine, address, serve):
        network = self.network.network_of(machine)
        await self.nursery.start(network.serve, address, serve)

    def start_host(self, name, **changes):
        """Start a host without waiting until it is ready.

        Parameters
        ----------
        name : str
            The host.
        **changes
            Settings that replace those of the example.
        """
        cfg = parse_settings({**self.settings[name], **changes})
        machine = self.machine(name, cfg.zone)
        machine.is_up = True
        host = HostProcess(
            cfg,
            net=self.network.network_of(machine),
            rng=random.Random(self.rng.random()),
            wall_time=trio.current_time,
        )
        host.supervisor.is_strict = True
        self.hosts[name] = host
        self._started.append(host)
        for callback in self.on_host_start:
            callback(host)
        scope = self._scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run_host, host, scope)
        return host

    async def _run_host(self, host, scope):
        with scope:
            await host.run()

    def kill(self, name):
        """Kill the process of a host or an endpoint immediately."""
        self.machines[name].kill()
        if name in self.engines:
            self.engines[name].clear_cache()
        if name in self._scopes:
            self._scopes.pop(name).cancel()
            del self.hosts[name]

    def restart(self, name):
        """Restart a killed endpoint or host; return the host, None for an endpoint."""
        if name in self.settings:
            return self.start_host(name)
        self.machines[name].is_up = True
        return None

    async def start(self, folder=EXAMPLE):
        """Start all stand-ins and hosts and wait until the hosts are ready."""
        await self.start_standins(folder)
        for name in self.settings:
            self.start_host(name)
        for host in list(self.hosts.values()):
            await host.ready.wait()

    def count_internal_errors(self):
        """Return the number of connections that hosts closed by an internal error."""
        return sum(host.faults for host in self._started)

    # Requests.

    async def call(
        self, host, method, path, *, body=b"", team=None, headers=(), timeout_s=30.0
    ):
        """Send one request to a host on a new connection.

        Returns
        -------
        Reply

        Raises
        ------
        CallFailedError
            If no complete response arrives.
        """
        cfg = self._settings_of(host)
        caller = self.machine(f"caller-of-{cfg.zone}", cfg.zone)
        network = self.network.network_of(caller)
        sent_headers = [(b"host", b"cactusmill"), *headers]
        if team:
            sent_headers.append(
                (b"authorization", f"Bearer {api_key_of(team)}".encode())
            )
        stream = None
        try:
            with trio.fail_after(timeout_s):
                stream = await network.connect(str(cfg.callers), timeout_s)
                conn = client_connection(stream)
                status, response_headers, response_body = await perform_request(
                    conn, method, path, sent_headers, body
                )
        except (ConnectError, ExchangeError, h11.ProtocolError, trio.TooSlowError) as e:
            raise CallFailedError(repr(e)) from e
        finally:
            if stream is not None:
                await trio.aclose_forcefully(stream)
        return Reply(status, dict(response_headers), response_body)

    def _settings_of(self, host):
        if host not in self._parsed_settings:
            self._parsed_settings[host] = parse_settings(self.settings[host])
        return self._parsed_settings[host]

    async def mint(self, host, team, count=1):
        """Return order identifiers minted by a host."""
        reply = await self.call(
            host, "GET", f"/v1/hosts?identifiers={count}", team=team
        )
        return json.loads(reply.body)["identifiers"]

    async def chat(
        self, host, team, text, *, max_tokens=8, timeout_s=30.0, stream=False
    ):
        """Send a chat completion request and return the reply."""
        body = {
            "model": "povzetek-7b",
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        }
        if stream:
            body["stream"] = True
        return await self.call(
            host,
            "POST",
            "/v1/chat/completions",
            body=json.dumps(body).encode(),
            team=team,
            timeout_s=timeout_s,
        )

    def runs(self, identifier):
        """Return how often all order services together executed an identifier."""
        return sum(
            order_service.runs[identifier]
            for order_service in self.order_services.values()
        )


def api_key_of(team):
    """Return the API key of a team of the example."""
    return f"example-key-of-{team}"


def api_key_digest(secret):
    """Return the digest of an API key as stored in records."""
    return hashlib.sha256(secret.encode()).hexdigest()


def run_simulation(scenario, seed, **network):
    """Run a scenario in a new simulation.

    Parameters
    ----------
    scenario : callable
        ``await scenario(sim)``.
    seed : int
        Seed that reproduces the run.
    **network
        Fields of :class:`SimulatedNetwork`.

    Returns
    -------
    object
        Return value of the scenario.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            simulated_network = SimulatedNetwork(nursery, **network)
            sim = Simulation(nursery, simulated_network, random.Random(seed))
            result = await scenario(sim)
            assert sim.count_internal_errors() == 0, "a host had an internal error"
            nursery.cancel_scope.cancel()
        return result

    # Trio shuffles runnable tasks; seed its random source to reproduce a run.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock, strict_exception_groups=True)
