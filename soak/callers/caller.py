"""One caller: which requests it makes, how it sends them and what it repeats.

Callers that close their sending direction after a request are left out: the
platform's protocol does not know them.
"""

import enum
import math
import time

import attrs
import trio

from cactusmill.internal.http import parse_retry_after

from ..history import Ending, Kind
from .directory import Directory
from .exchange import Exchange, connect, converse

_PROMISES = frozenset({408, 421, 429, 503})
_FINAL = frozenset({400, 401, 404, 413, 431})
_MAX_RETRIES = 3
_MAX_REPEATS = 8
_RETRY_PAUSE_S = 0.1
_PAUSE_S = 0.3
_MIN_GAP_S = 2.0
# Longest time that a request goes on after the end of the run.
GRACE_S = 15.0


class Habit(enum.Enum):
    """What a caller does that others don't."""

    KEEPS = "keeps connections"
    PIPELINES = "pipelines"
    SLOW_READER = "slow reader"
    SLOW_WRITER = "slow writer"
    LEAVES_EARLY = "leaves early"
    REPEATS = "repeats at once"
    HOT_TEAM = "hot team"
    KEEPS_KEY = "keeps its key"
    KEEPS_DIRECTORY = "keeps the directory's first response"


# Share of the callers that has each habit.
SHARES = {
    Habit.KEEPS: 0.75,
    Habit.PIPELINES: 0.1,
    Habit.SLOW_READER: 0.08,
    Habit.SLOW_WRITER: 0.08,
    Habit.LEAVES_EARLY: 0.1,
    Habit.REPEATS: 0.08,
    Habit.HOT_TEAM: 0.06,
    Habit.KEEPS_KEY: 0.08,
    Habit.KEEPS_DIRECTORY: 0.03,
}


def draw_habits(rng):
    """Return the habits of one caller; most have none but to keep connections."""
    return {habit for habit, share in SHARES.items() if rng.random() < share}


@attrs.define(eq=False)
class Order:
    """A request as its caller wants it done, over all of its attempts.

    Attributes
    ----------
    route, tenant : dict
        As published.
    kind : Kind
    path : str
    deadline : float
    usage : (int, int)
        Tokens of the prompt and of the output; zeros for a plain request.
    body : bytes
    avoided : set of str
        Addresses that have failed it.
    attempts : int
    last_event : int
        Number of the last event that was received.
    resumes : str
        The attempt that received that event.
    """

    route: dict
    tenant: dict
    kind: Kind
    path: str
    deadline: float
    usage: tuple
    body: bytes
    avoided: set = attrs.field(factory=set)
    attempts: int = 0
    last_event: int = 0
    resumes: str = ""


def kind_of(route):
    """Return what may be done with the requests of a route after a failure."""
    if route["kind"] == "streaming":
        return Kind.RESUMABLE if route.get("resumable") else Kind.STREAM
    return Kind(route["kind"])


def may_repeat(kind, exchange):
    """Return whether a request may be sent again after an attempt."""
    if exchange.ending is Ending.LEFT or exchange.status in _FINAL:
        return False
    if exchange.ending in (Ending.NOT_CONNECTED, Ending.NOT_SENT):
        return True
    if exchange.ending is Ending.COMPLETE and exchange.status < 400:
        return False
    is_promise = exchange.ending is Ending.COMPLETE and exchange.status in _PROMISES
    return is_promise or kind in (Kind.SAFE, Kind.RESUMABLE)


@attrs.define(eq=False)
class Caller:
    """A caller and the connection that it keeps.

    Attributes
    ----------
    name, region : str
    world : World
    directory : Directory
    rng : random.Random
    habits : set of Habit
    record : callable
        ``record(attempt)`` writes an attempt down.
    """

    name: str
    region: str
    world: object
    directory: Directory
    rng: object
    habits: set
    record: object
    _conn: object = None
    _connections: int = 0
    _requests: int = 0
    _key: str = ""

    async def run(self, is_wanted):
        """Make requests while ``is_wanted()``; those that were begun end after it."""
        await trio.sleep(self.rng.uniform(0, _PAUSE_S))
        try:
            while is_wanted():
                orders = self._draw_orders(time.monotonic())
                if orders:
                    await self._carry_out(orders)
                if Habit.KEEPS not in self.habits:
                    await self._disconnect()
                left_s = max(0.0, self.world.until - time.monotonic())
                await trio.sleep(min(left_s, self._draw_pause()))
        finally:
            await self._disconnect()

    def _draw_pause(self):
        if Habit.HOT_TEAM in self.habits:
            return self.rng.expovariate(20 / self.world.pause_s)
        if self.rng.random() < 0.05:
            return self.rng.uniform(0, self.world.idle_timeout_s)
        return self.rng.expovariate(1 / self.world.pause_s)

    def _draw_orders(self, now):
        """Return the requests that are sent at once: safe ones, then any other."""
        orders = [self._draw_order(now)]
        if Habit.PIPELINES in self.habits:
            orders += [self._draw_order(now) for _ in range(self.rng.randrange(4))]
            orders.sort(key=lambda order: order.kind is not Kind.SAFE)
            unsafe = [order for order in orders if order.kind is not Kind.SAFE]
            orders = orders[: len(orders) - max(0, len(unsafe) - 1)]
            host = orders[0].route["host"]
            orders = [order for order in orders if order.route["host"] == host]
        return orders

    def _draw_order(self, now):
        cfg, rng = self.world.configuration, self.rng
        tenants = cfg.get("tenants") or [{"name": ""}]
        route, tenant = rng.choice(cfg["routes"]), rng.choice(tenants)
        if Habit.HOT_TEAM in self.habits:
            limited = [t for t in tenants if t.get("rate_per_s")] or tenants
            tenant = limited[0]
        kind = kind_of(route)
        is_stream = kind in (Kind.STREAM, Kind.RESUMABLE)
        size = rng.choice((0, 10, 300, 3000, 30_000))
        limit = cfg.get("limits", {}).get("max_body_bytes", size)
        self._requests += 1
        return Order(
            route=route,
            tenant=tenant,
            kind=kind,
            path=f"{route['path_prefix']}{self.name}/{self._requests}",
            deadline=now + route["timeout_ms"] / 1000 * rng.choice((0.7, 1, 1, 1.5)),
            usage=(rng.randrange(20, 400), rng.randrange(5, 60))
            if is_stream
            else (0, 0),
            body=rng.randbytes(min(size, limit)),
        )

    async def _carry_out(self, orders):
        """Send requests at once, and then repeat each that failed, if it may be."""
        exchanges = await self._attempt(orders, is_first=True)
        for order, exchange in zip(orders, exchanges, strict=True):
            while self._shall_repeat(order, exchange):
                await trio.sleep(self._retry_pause_s(order, exchange))
                if time.monotonic() >= order.deadline:
                    break
                (exchange,) = await self._attempt([order], is_first=False)

    def _shall_repeat(self, order, exchange):
        if exchange.began_at is None:
            return True
        limit = _MAX_REPEATS if Habit.REPEATS in self.habits else _MAX_RETRIES
        return order.attempts <= limit and may_repeat(order.kind, exchange)

    def _retry_pause_s(self, order, exchange):
        if Habit.REPEATS in self.habits or exchange.began_at is None:
            return 0.0
        headers = exchange.response.headers if exchange.response else ()
        asked_s = parse_retry_after(headers)
        if asked_s is None:
            return self.rng.uniform(0, _RETRY_PAUSE_S)
        return max(0.0, min(asked_s, (order.deadline - time.monotonic()) / 3))

    async def _attempt(self, orders, is_first):
        """Make one attempt of each request on one connection.

        Returns
        -------
        list of Exchange
            One for each request; those without `began_at` were not attempted.
        """
        addresses = await self.directory.addresses(orders[0].route["host"])
        now = time.monotonic()
        conn = self._conn
        is_usable = is_first and conn is not None and conn.address in addresses
        if not is_usable or not conn.is_reusable(self.world.idle_timeout_s, now):
            await self._disconnect()
            conn = None
        address = conn.address if conn else self._choose(addresses, orders[0])
        if address is None:
            await trio.sleep(_PAUSE_S)
            return [self._exchange(order, "", now) for order in orders]
        host = self.world.host_names.get(address, address)
        exchanges = [self._exchange(order, host, now) for order in orders]
        exchanges[0].began_at = now
        try:
            if conn is None:
                conn = await self._connect(host, address, orders[0].deadline - now)
            if conn is None:
                exchanges[0].end(Ending.NOT_CONNECTED)
            else:
                await converse(
                    conn,
                    exchanges,
                    write_gap_s=0.05 if Habit.SLOW_WRITER in self.habits else 0.0,
                    is_slow_reader=Habit.SLOW_READER in self.habits,
                )
        finally:
            for order, exchange in zip(orders, exchanges, strict=True):
                if exchange.began_at is not None:
                    exchange.end(Ending.OPEN)
                    self._note(order, exchange, address)
        return exchanges

    def _note(self, order, exchange, address):
        """Write an attempt down, and keep what the next one of its request needs."""
        order.attempts += 1
        if exchange.ending is not Ending.COMPLETE or exchange.status in (502, 504):
            order.avoided.add(address)
        if order.kind is Kind.RESUMABLE and exchange.events:
            order.last_event = exchange.events[-1]
            order.resumes = exchange.fields["request_id"]
        self.record(exchange.record())

    def _choose(self, addresses, order):
        fresh = [a for a in addresses if a not in order.avoided]
        return self.rng.choice(fresh or addresses) if addresses else None

    async def _connect(self, host, address, timeout_s):
        self._connections += 1
        name = f"{self.name}/{self._connections}"
        self._conn = await connect(name, host, address, timeout_s)
        return self._conn

    async def _disconnect(self):
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()

    def _choose_key(self, team):
        keys = self.world.keys.get(team) or [""]
        if Habit.KEEPS_KEY in self.habits:
            self._key = self._key or self.rng.choice(keys)
            return self._key
        return self.rng.choice(keys)

    def _exchange(self, order, host, now):
        """Return the next attempt of a request."""
        self._requests += 1
        request_id = f"{self.name}-{self._requests}"
        left_s = order.deadline - now
        route, rng = order.route, self.rng
        key = "" if route.get("public") else self._choose_key(order.tenant["name"])
        is_slow = Habit.SLOW_WRITER in self.habits
        size = math.ceil(len(order.body) / 5) if is_slow and order.body else 30_000
        pieces = [order.body[i : i + size] for i in range(0, len(order.body), size)]
        headers = [
            ("host", route["host"]),
            ("request-id", request_id),
            ("deadline-ms", str(max(1, int(left_s * 1000)))),
        ]
        if order.body and rng.random() < 0.3:
            headers.append(("transfer-encoding", "chunked"))
        else:
            headers.append(("content-length", str(len(order.body))))
        if key:
            headers.append(("authorization", f"Token {key}"))
        gap_s, cost = float("inf"), order.tenant.get("plain_tokens", 0)
        if any(order.usage):
            headers += [
                ("model", "m"),
                ("token-usage", "{},{}".format(*order.usage)),
            ]
            gap_s = max(
                _MIN_GAP_S,
                4 * route.get("target_latency_ms", 0) / 1000,
                8 * route.get("gap_aim_ms", 0) / 1000,
            )
            cost = sum(order.usage)
        if order.last_event:
            headers.append(("last-event-id", str(order.last_event)))
        leaves = Habit.LEAVES_EARLY in self.habits and rng.random() < 0.7
        return Exchange(
            fields={
                "request_id": request_id,
                "caller": self.name,
                "team": order.tenant["name"],
                "key": key,
                "region": self.region,
                "host": host,
                "route": route["name"],
                "kind": order.kind,
                "timeout_s": route["timeout_ms"] / 1000,
                "budget_s": left_s,
                "habits": sorted(habit.value for habit in self.habits),
                "resumes": order.resumes if order.last_event else "",
                "cost_tokens": cost,
            },
            target=order.path,
            headers=headers,
            pieces=pieces,
            deadline=order.deadline,
            leave_at=now + rng.uniform(0.02, 1.5) if leaves else float("inf"),
            gap_s=gap_s,
        )
