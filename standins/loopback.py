"""Deployment on loopback: the platform's store, endpoints and gateway hosts.

Everything runs in one trio program over real sockets, each host on its own
loopback address. Tests can replace the request handler of each endpoint.
"""

import base64
import contextlib
import itertools
import json
import random
import urllib.parse

import attrs
import h11
import trio

from cactusmill.errors import ConnectError
from cactusmill.internal.http import (
    client_connection,
    header,
    read_body,
    server_connection,
)
from cactusmill.internal.net import TCP, Network, split_address
from cactusmill.platform.dialect import DIALECT
from cactusmill.platform.directory import serve_directory
from cactusmill.platform.store import StoreClient
from cactusmill.serving.gateway_host import GatewayHost, HostSettings

from .fleet import claim_port, is_port_free

ZONES = {"east-a": "east", "west-a": "west", "north-a": "north"}
KEY = "key-of-red"
SLOW_S = 30.0
_PORT_STEP = 7
# Below the ports that the operating system gives to outgoing connections.
_PORTS = range(10_000, 32_000, _PORT_STEP)
_FIRST_PORTS = itertools.count(random.SystemRandom().randrange(len(_PORTS)))


def next_port():
    """Return a port that is free, with the six behind it, and used by no other run."""
    for number in itertools.islice(_FIRST_PORTS, len(_PORTS)):
        port = _PORTS[number % len(_PORTS)]
        if claim_port(port) and all(is_port_free(port + n) for n in range(_PORT_STEP)):
            return port
    raise RuntimeError("no free ports: end other test runs on this machine")


@attrs.define(eq=False)
class Store:
    """The platform's key-value store: revisioned items, listings and watches.

    Attributes
    ----------
    items : dict of str to dict
        Current items by key.
    events : list of dict
        Changes since the last compaction, oldest first.
    revision : int
        Revision of the last change.
    calls : int
        Requests received.
    is_down : bool
        Whether every request gets status 503.
    oldest : int
        Oldest revision from which a watch can start.
    era : int or None
        Rises when the store comes back from an older copy; None if it does not say.
    page_size : int
        Most items of a page of a listing.
    """

    items: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    revision: int = 1
    calls: int = 0
    is_down: bool = False
    oldest: int = 0
    era: int | None = None
    page_size: int = 3
    changed: trio.Event = attrs.field(factory=trio.Event)

    def put(self, key, value):
        """Write an item; a value other than bytes is stored as JSON."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
        }
        self.items[key] = item
        self._publish(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._publish({"key": key, "revision": self.revision, "tombstone": True})

    def compact_history(self):
        """Discard all past events; older watches must list the items again."""
        self.events.clear()
        self.oldest = self.revision

    def copy(self):
        """Return the store's revision and items, for :meth:`restore`."""
        return self.revision, dict(self.items)

    def restore(self, copy):
        """Go back to a copy: what was published since is lost."""
        self.revision, items = copy
        self.items = dict(items)
        self.events = [e for e in self.events if e["revision"] <= self.revision]
        if self.era is not None:
            self.era += 1
        self._wake()

    def _publish(self, event):
        self.events.append(event)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = trio.Event()

    async def handle_request(self, request, _body):
        """Return status, headers and body of the response to a request."""
        status, headers, body = await self._respond(request)
        if self.era is not None:
            headers = [*headers, (b"store-era", str(self.era).encode())]
        return status, headers, body

    async def _respond(self, request):
        self.calls += 1
        if self.is_down:
            return 503, [], b"{}"
        path, _, query = request.target.decode().partition("?")
        params = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        if path.endswith("kv-range"):
            keys = sorted(k for k in self.items if k > params.get("after", ""))
            page = [self.items[k] for k in keys[: self.page_size]]
            has_more = len(keys) > self.page_size
            return _json_response(
                items=page, has_more=has_more, store_revision=self.revision
            )
        after, era = int(params["after"]), self.era
        if after > self.revision:
            return 410, [], b"{}"
        with trio.move_on_after(int(params["wait_ms"]) / 1000):
            while self.revision <= after and self.era == era:
                await self.changed.wait()
        if self.era != era:
            return 503, [], b"{}"
        if after < self.oldest:
            return 410, [], b"{}"
        newer = [e for e in self.events if e["revision"] > after]
        return _json_response(events=newer, store_revision=self.revision)


def _json_response(**fields):
    return 200, [(b"content-type", b"application/json")], json.dumps(fields).encode()


@attrs.define(eq=False)
class EndpointStub:
    """An endpoint that records the requests that it runs.

    Attributes
    ----------
    name, zone, service : str
        The endpoint, its availability zone and the service that it serves.
    runs : list of str
        Identifiers of the requests that were run, in order.
    cancelled : list of str
        Identifiers of the requests whose execution was cancelled.
    received : list of h11.Request
        Heads of all requests received.
    handler : callable or None
        Replaces :meth:`run`: ``await handler(endpoint, conn, request)`` returns
        whether to keep the connection open.
    events : int
        Number of events in a stream.
    event_gap_s : float
        Delay before each event, in seconds.
    work_s : float
        Duration of a request that is not streamed, in seconds.
    slots : int
        Capacity published in the store.
    load : str
        Value of ``instance-load`` on its responses; empty for none.
    """

    name: str
    zone: str
    service: str
    address: str = ""
    runs: list = attrs.field(factory=list)
    cancelled: list = attrs.field(factory=list)
    received: list = attrs.field(factory=list)
    handler: object = None
    events: int = 5
    event_gap_s: float = 0.0
    work_s: float = 0.0
    slots: int = 8
    load: str = ""

    def entry(self, **changes):
        """Return the endpoint's entry in the store, with some fields replaced."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
            **changes,
        }

    async def serve(self, stream):
        """Serve one connection."""
        conn = server_connection(stream, 64 * 1024)
        with contextlib.suppress(Exception):
            while True:
                request = await conn.next_event()
                if not isinstance(request, h11.Request):
                    break
                self.received.append(request)
                if self.handler is not None:
                    if not await self.handler(self, conn, request):
                        break
                else:
                    await self.run(conn, request)
                if conn.h11.our_state is not h11.DONE:
                    break
                conn.h11.start_next_cycle()
        await trio.aclose_forcefully(stream)

    def load_headers(self):
        """Return the header that reports its load, or none."""
        return [("instance-load", self.load)] if self.load else []

    def head(self, request, status=200, extra=()):
        """Return the head of the response to a request."""
        return h11.Response(
            status_code=status,
            headers=[
                ("request-id", header(request.headers, b"request-id", "")),
                ("response-signature", f"signed-by-{self.name}"),
                *self.load_headers(),
                *extra,
            ],
        )

    async def run(self, conn, request, last_event=None):
        """Run a request to completion, or a stream up to a given event.

        A request addressed to another endpoint is rejected with status 421.
        """
        await read_body(conn, 10**7)
        expected = header(request.headers, b"expect-instance")
        if expected != self.name:
            await _send_response(conn, 421, [("instance-id", self.name)])
            return
        request_id = header(request.headers, b"request-id")
        self.runs.append(request_id)
        try:
            if header(request.headers, b"model"):
                await self._send_stream(conn, request, last_event)
            else:
                await trio.sleep(self.work_s)
                body = f"{self.name} ran {request_id}".encode()
                await conn.send(
                    self.head(request, extra=[("content-length", str(len(body)))]),
                    h11.Data(data=body),
                    h11.EndOfMessage(),
                )
        except trio.Cancelled:
            self.cancelled.append(request_id)
            raise

    async def _send_stream(self, conn, request, last_event):
        first = int(header(request.headers, b"last-event-id", "0")) + 1
        await conn.send(self.head(request, extra=[("transfer-encoding", "chunked")]))
        for number in range(first, self.events + 1):
            if last_event is not None and number > last_event:
                return
            await trio.sleep(self.event_gap_s)
            await conn.send(h11.Data(data=event(number)))
        await conn.send(h11.EndOfMessage())


def event(number):
    """Return the encoded event with a number, from 1, of a stream."""
    return f"id: {number}\ndata: token-{number}\n\n".encode()


async def _send_response(conn, status, headers, body=b""):
    headers = [*headers, ("content-length", str(len(body)))]
    await conn.send(
        h11.Response(status_code=status, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )


async def not_executed(endpoint, conn, request):
    """Handle a request by rejecting it as not executed."""
    await read_body(conn, 10**7)
    await _send_response(
        conn,
        503,
        [
            ("request-id", header(request.headers, b"request-id")),
            ("not-executed", "1"),
            *endpoint.load_headers(),
        ],
    )
    return True


def configuration(version=1, **changes):
    """Return a configuration with a route of each kind and one team.

    Parameters
    ----------
    version : int
        Version of the configuration.
    **changes
        Top-level fields to replace.
    """

    def route(name, kind, **fields):
        return {
            "name": name,
            "host": "api.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 800,
            "priority": 0,
            "service": "engines" if kind == "streaming" else "desk",
            "max_attempts": 2,
            "public": False,
            **fields,
        }

    return {
        "version": version,
        "routes": [
            route("chat", "streaming", sticky=True, resumable=True),
            route("draft", "streaming", sticky=True, max_attempts=1),
            route("order", "unsafe", max_attempts=1),
            route("look", "safe"),
            route("bound", "safe", allowed_regions=["west"]),
        ],
        "services": [
            {"name": "engines", "max_conns": 100, "engine": {"kv_capacity": 100_000}},
            {"name": "desk", "max_conns": 50},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [
            {
                "name": "red",
                "api_keys": [KEY],
                "rate_per_s": 1_000_000,
                "burst": 1_000_000,
                "plain_tokens": 200,
            }
        ],
        **changes,
    }


@attrs.define(eq=False)
class LoopbackDeployment:
    """A running deployment on loopback.

    Attributes
    ----------
    store : Store
        The platform's store.
    port : int
        Port on which the hosts serve callers; the next two serve peers and the
        directory.
    endpoints, hosts : dict of str to EndpointStub or GatewayHost
        By name.
    scopes : dict of str to trio.CancelScope
        Cancelling one stops the endpoint or host of that name.
    hosts_without_store : set of str
        Hosts whose new connections to the store are refused.
    """

    nursery: object
    store: Store
    port: int
    store_address: str
    endpoints: dict = attrs.field(factory=dict)
    hosts: dict = attrs.field(factory=dict)
    scopes: dict = attrs.field(factory=dict)
    hosts_without_store: set = attrs.field(factory=set)
    _store_streams: dict = attrs.field(factory=dict)

    async def add_endpoint(self, name, zone, service):
        """Start an endpoint and publish it in the store."""
        endpoint = EndpointStub(name, zone, service)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        endpoint.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        scope = trio.CancelScope()
        self.scopes[name] = scope

        async def serve():
            with scope:
                await trio.serve_listeners(endpoint.serve, listeners)

        self.nursery.start_soon(serve)
        self.endpoints[name] = endpoint
        self.store.put(f"servers/{name}", endpoint.entry())
        return endpoint

    async def add_host(self, name, zone, number, seeds):
        """Start a host on the loopback address 127.0.1.NUMBER."""
        ip = f"127.0.1.{number}"
        cfg = HostSettings(
            host=name,
            ip=ip,
            zone=zone,
            region=ZONES[zone],
            callers=f"{ip}:{self.port}",
            peers=f"{ip}:{self.port + 1}",
            seeds=tuple(f"127.0.1.{seed}" for seed in seeds),
            zones=ZONES,
            grace_s=4.0,
        )

        async def connect(address, timeout_s):
            if name in self.hosts_without_store and address == self.store_address:
                raise ConnectError(f"{name} is disconnected from the store")
            stream = await TCP.connect(address, timeout_s)
            if address == self.store_address:
                self._store_streams[name] = stream
            return stream

        client = StoreClient(self.store_address, Network(connect, TCP.serve), ZONES)
        rng = random.Random(number)
        host = GatewayHost(cfg, DIALECT, client.source(), rng=rng)
        host.shedder.is_on = False
        host.supervisor.is_strict = True
        self.hosts[name] = host
        scope = trio.CancelScope()
        self.scopes[name] = scope

        async def directory(stream):
            await host.contain_errors(serve_directory, host, stream)

        async def run():
            with scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(
                        TCP.serve, f"{ip}:{self.port + 2}", directory, nursery
                    )
                    await host.run()
                    nursery.cancel_scope.cancel()

        self.nursery.start_soon(run)
        return host

    async def disconnect_from_store(self, name):
        """Close a host's connection to the store and refuse new ones."""
        self.hosts_without_store.add(name)
        await trio.aclose_forcefully(self._store_streams[name])

    async def wait_until(self, condition, timeout_s=5.0):
        """Wait until ``condition()`` is true.

        Raises
        ------
        trio.TooSlowError
            If it is still false after the timeout.
        """
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.01)

    async def wait_until_ready(self):
        """Wait until all hosts are ready and know each other and all endpoints."""

        def is_settled():
            return all(
                h.is_ready(h.now())
                and len(h.membership.serving(h.now())) == len(self.hosts) - 1
                and len(h.catalog.listed()) == len(self.endpoints)
                for h in self.hosts.values()
            )

        await self.wait_until(is_settled)

    async def connect(self, host_name):
        """Open a caller connection to a host."""
        return await trio.open_tcp_stream(
            *split_address(self.hosts[host_name].cfg.callers)
        )

    async def send_request(self, host_name, path, **options):
        """Send one request on a new connection and return the reply.

        Options are those of :func:`send_request_on`.
        """
        stream = await self.connect(host_name)
        try:
            return await send_request_on(client_connection(stream), path, **options)
        finally:
            await trio.aclose_forcefully(stream)


@attrs.frozen
class Reply:
    """A response as a caller received it.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection ended before a response.
    headers : list of (bytes, bytes)
        Response headers.
    body : bytes
        The received body, complete or not.
    is_complete : bool
        Whether the response is complete.
    """

    status: int
    headers: list
    body: bytes
    is_complete: bool

    def header(self, name):
        """Return a header of the response, or None."""
        return header(self.headers, name)


async def send_request_on(
    conn, path, request_id="r-1", key=KEY, body=b"", budget_ms=2500, extra=(), model=""
):
    """Send one request on a connection and return its response.

    Parameters
    ----------
    conn : Connection
        Client end of the connection.
    path : str
        Target of the request.
    request_id, key : str
        Identifier and API key; an empty key is not sent.
    body : bytes
        Request body.
    budget_ms : int
        Time until the caller's deadline, in milliseconds.
    extra : sequence of (str, str)
        Additional headers.
    model : str
        Model to request; empty for a plain service.

    Returns
    -------
    Reply
    """
    headers = [
        ("host", "api.example"),
        ("request-id", request_id),
        ("deadline-ms", str(budget_ms)),
        ("content-length", str(len(body))),
        *extra,
    ]
    if key:
        headers.append(("authorization", f"Token {key}"))
    if model:
        headers += [("model", model), ("token-usage", "100,30")]
    await conn.send(
        h11.Request(method="POST", target=path, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    head = await conn.next_event()
    if not isinstance(head, h11.Response):
        return Reply(0, [], b"", False)
    chunks = []
    try:
        while (data := await conn.next_data()) is not None:
            chunks.append(data)
    except (h11.RemoteProtocolError, Exception):
        return Reply(head.status_code, list(head.headers), b"".join(chunks), False)
    return Reply(head.status_code, list(head.headers), b"".join(chunks), True)


@contextlib.asynccontextmanager
async def running_deployment(hosts=(("e1", "east-a"),), endpoints=(), published=None):
    """Run a deployment of a store, hosts and endpoints; stop it on exit.

    Parameters
    ----------
    hosts : sequence of (str, str)
        Name and availability zone of each host.
    endpoints : sequence of (str, str, str)
        Name, availability zone and service of each endpoint.
    published : dict or None
        Configuration to publish; None for :func:`configuration`.

    Yields
    ------
    LoopbackDeployment
    """
    store = Store()
    store.put("op/config", published or configuration())
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

        async def serve_store(stream):
            conn = server_connection(stream, 64 * 1024)
            with contextlib.suppress(Exception):
                while isinstance(request := await conn.next_event(), h11.Request):
                    body = await read_body(conn, 10**6)
                    status, headers, response = await store.handle_request(
                        request, body
                    )
                    await _send_response(conn, status, headers, response)
                    conn.h11.start_next_cycle()
            await trio.aclose_forcefully(stream)

        nursery.start_soon(trio.serve_listeners, serve_store, listeners)
        deployment = LoopbackDeployment(nursery, store, next_port(), address)
        for name, zone, service in endpoints:
            await deployment.add_endpoint(name, zone, service)
        for number, (name, zone) in enumerate(hosts, 1):
            await deployment.add_host(name, zone, number, seeds=[1])
        await deployment.wait_until_ready()
        yield deployment
        nursery.cancel_scope.cancel()
