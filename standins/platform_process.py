"""The platform's store, or an endpoint, as a process that obeys JSON lines.

The process serves on loopback and reads commands from its standard input, one JSON
object a line; it ends when that input ends. Each command is answered by one line on the
standard output: ``{"at": SECONDS, "revision": N}``, the time of the monotonic clock at
which it was in force. A command that is malformed gets ``{"error": REASON}``.
"""

import argparse
import contextlib
import functools
import hashlib
import json
import os
import re
import sys
import time

import attrs
import h11
import trio

from cactusmill.internal.http import (
    header,
    parse_count,
    read_body,
    server_connection,
    wait_other_end_closed,
)
from cactusmill.internal.net import TCP, split_address
from soak.history import Run, encode_record

from .loopback import EndpointStub, Store, event

# Snapshots of the store that a drill or a stale read can go back to.
_KEPT_S = 30.0
_MAX_BODY_BYTES = 10**7
_MS_PER_S = 1000.0
_CRASH_CODE = 70
KEY_PATTERN = re.compile(rb"key-of-[a-z0-9-]+")


@attrs.define(eq=False)
class ServedStore:
    """A store with modes of failure, each for all its addresses or for some.

    Attributes
    ----------
    store : Store
        The items.
    modes : dict of str to dict
        Failures by listening address; ``"*"`` applies to every one. Keys: ``down``
        (``"503"``, ``"429"``, ``"reset"`` or ``"silent"``), ``slow_s`` (delay of each
        response), ``stale_s`` (age of what is listed).
    era : int
        Rises with each restore.
    snapshots : list of tuple
        Time, revision and items after each change, oldest first.
    """

    store: Store = attrs.field(factory=Store)
    modes: dict = attrs.field(factory=dict)
    era: int = 1
    snapshots: list = attrs.field(factory=list)

    def put(self, key, value, now):
        """Write an item."""
        self.store.put(key, value)
        self._keep(now)

    def remove(self, key, now):
        """Remove an item."""
        self.store.remove(key)
        self._keep(now)

    def _keep(self, now):
        self.snapshots.append((now, self.store.revision, dict(self.store.items)))
        while len(self.snapshots) > 1 and self.snapshots[1][0] < now - _KEPT_S:
            del self.snapshots[0]

    def snapshot(self, age_s, now):
        """Return revision and items of some seconds ago, or the oldest kept."""
        past = [s for s in self.snapshots if s[0] <= now - age_s] or self.snapshots[:1]
        return past[-1][1:] if past else (self.store.revision, {})

    def restore(self, age_s, now):
        """Go back to a copy of some seconds ago, in a new era."""
        revision, items = self.snapshot(age_s, now)
        store = self.store
        store.revision, store.items = revision, dict(items)
        store.events = [e for e in store.events if e["revision"] <= revision]
        self.snapshots = [(now, revision, dict(items))]
        self.era += 1
        store.changed.set()
        store.changed = trio.Event()

    def obey(self, command, now):
        """Carry out a command."""
        action = command["do"]
        if action == "put":
            self.put(command["key"], command["value"], now)
        elif action == "remove":
            self.remove(command["key"], now)
        elif action == "mode":
            self.modes[command.get("address", "*")] = command["mode"]
        elif action == "compact":
            self.store.compact_history()
        elif action == "restore":
            self.restore(command["age_s"], now)
        else:
            raise ValueError(f"unknown command {action!r}")

    def _mode(self, address):
        return {**self.modes.get("*", {}), **self.modes.get(address, {})}

    async def serve(self, address, stream):
        """Serve one connection that was accepted on an address."""
        conn = server_connection(stream, 64 * 1024)
        with contextlib.suppress(Exception):
            while isinstance(request := await conn.next_event(), h11.Request):
                body = await read_body(conn, 10**6)
                response = await self._respond(address, request, body)
                if response is None:
                    break
                status, headers, body = response
                headers = [
                    *headers,
                    ("content-length", str(len(body))),
                    ("store-era", str(self.era)),
                ]
                await conn.send(
                    h11.Response(status_code=status, headers=headers),
                    h11.Data(data=body),
                    h11.EndOfMessage(),
                )
                conn.h11.start_next_cycle()
        await trio.aclose_forcefully(stream)

    async def _respond(self, address, request, body):
        """Return status, headers and body of a response; None to reset."""
        response = self._failure(address)
        if response is None:
            params = request.target.decode()
            after = re.search(r"[?&]after=(\d+)(&|$)", params)
            if "kv-watch" in params and after and int(after[1]) > self.store.revision:
                return 410, [], b"{}"
            response = await self._listing(address, request, body)
            response = self._failure(address) or response
        mode = self._mode(address)
        if mode.get("slow_s"):
            await trio.sleep(mode["slow_s"])
        if response == "silent":
            while self._mode(address).get("down") == "silent":
                await trio.sleep(0.1)
            return None
        return None if response == "reset" else response

    def _failure(self, address):
        down = self._mode(address).get("down")
        if down in (None, "silent", "reset"):
            return down
        return int(down), [], b"{}"

    async def _listing(self, address, request, body):
        stale_s = self._mode(address).get("stale_s")
        if stale_s and b"kv-range" in request.target:
            revision, items = self.snapshot(stale_s, time.monotonic())
            past = Store(items=dict(items), revision=revision)
            return await past.handle_request(request, body)
        return await self.store.handle_request(request, body)


@attrs.define(eq=False)
class ServedEndpoint:
    """An endpoint that records what it receives, with planted behaviours.

    Attributes
    ----------
    stub : EndpointStub
        The endpoint.
    region, incarnation : str
        Its region, and its process.
    record : callable
        Called with each :class:`soak.history.Run`, at its start and its end.
    crash_target : str
        A request whose target contains this text ends the process; empty for none.
    planted : dict of str to int
        Requests left that break off, are spoiled or lost: keys ``break_off``,
        ``spoil``, ``lose``.
    factor : float
        How many times slower it works.
    is_leaving : bool
        Whether responses say that it leaves.
    """

    stub: EndpointStub
    region: str
    incarnation: str
    record: object
    crash_target: str = ""
    planted: dict = attrs.field(factory=dict)
    factor: float = 1.0
    is_leaving: bool = False
    _slots: trio.Semaphore = attrs.field(init=False)
    _waiting: int = 0

    def __attrs_post_init__(self):
        """Take over the requests of the stub."""
        self._slots = trio.Semaphore(self.stub.slots)
        self.stub.handler = self.handle

    def obey(self, command, _now):
        """Carry out a command."""
        action = command["do"]
        if action == "crash_on":
            self.crash_target = command["target"]
        elif action in ("break_off", "spoil", "lose"):
            self.planted[action] = command["count"]
        elif action == "slower":
            self.factor = command["factor"]
        elif action == "leave":
            self.is_leaving = command.get("leaves", True)
        else:
            raise ValueError(f"unknown command {action!r}")

    def _take_planted(self, action):
        left = self.planted.get(action, 0)
        self.planted[action] = max(0, left - 1)
        return left > 0

    async def handle(self, stub, conn, request):
        """Run one request; return whether to keep the connection."""
        body = await read_body(conn, _MAX_BODY_BYTES)
        received = b"\n".join([request.target, *(v for _, v in request.headers), body])
        budget_ms = parse_count(header(request.headers, b"deadline-ms"))
        run = Run(
            request_id=header(request.headers, b"request-id", ""),
            endpoint=stub.name,
            service=stub.service,
            zone=stub.zone,
            region=self.region,
            incarnation=self.incarnation,
            expected=header(request.headers, b"expect-instance", ""),
            team=header(request.headers, b"tenant", ""),
            route_target=request.target.decode("latin-1"),
            received_at=time.monotonic(),
            budget_s=None if budget_ms is None else budget_ms / _MS_PER_S,
            keys=sorted({k.decode() for k in KEY_PATTERN.findall(received)}),
        )
        self.record(run)
        if run.expected not in ("", stub.name):
            return await self._refuse(conn, run, 421)
        if self._slots.value == 0 and self._waiting >= stub.slots:
            return await self._refuse(conn, run, 503)
        if self.crash_target and self.crash_target in run.route_target:
            os._exit(_CRASH_CODE)
        return await self._run_watched(conn, request, run)

    async def _refuse(self, conn, run, status):
        self._end(run, "refused", status)
        headers = [
            ("request-id", run.request_id),
            ("instance-id", self.stub.name),
            ("not-executed", "1"),
            ("content-length", "0"),
        ]
        await conn.send(
            h11.Response(status_code=status, headers=headers), h11.EndOfMessage()
        )
        return True

    async def _run_watched(self, conn, request, run):
        """Run a request until its end, or until its connection closes."""
        sent = _Sent()
        keeps = None
        try:
            async with trio.open_nursery() as nursery:

                async def watch():
                    await wait_other_end_closed(conn.stream)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch)
                self._waiting += 1
                try:
                    await self._slots.acquire()
                finally:
                    self._waiting -= 1
                try:
                    keeps = await self._work(conn, request, run, sent)
                finally:
                    self._slots.release()
                nursery.cancel_scope.cancel()
        finally:
            if keeps is None:
                self._end(run, "cancelled", 0, sent)
        return bool(keeps)

    async def _work(self, conn, request, run, sent):
        stub = self.stub
        extra = [("server-leaving", "1")] if self.is_leaving else []
        is_stream = header(request.headers, b"model") is not None
        extra.append(
            ("transfer-encoding", "chunked")
            if is_stream
            else ("content-length", str(len(_plain_body(stub, run))))
        )
        head = stub.head(request, extra=extra)
        if is_stream:
            first = int(header(request.headers, b"last-event-id", "0")) + 1
            pieces = [(n, event(n)) for n in range(first, stub.events + 1)]
            pause_s = stub.event_gap_s
        else:
            pieces, pause_s = [(0, _plain_body(stub, run))], stub.work_s
        breaks_at = len(pieces) // 2 if self._take_planted("break_off") else None
        is_lost = self._take_planted("lose")
        is_spoilt = self._take_planted("spoil")
        if is_stream:
            await conn.send(head)
        for index, (number, piece) in enumerate(pieces):
            if index == breaks_at:
                self._end(run, "broke off", 200, sent)
                return False
            await trio.sleep(pause_s * self.factor)
            if is_lost:
                self._end(run, "broke off", 0, sent)
                return False
            if is_spoilt:
                await conn.stream.send_all(b"\x00 these bytes are no response\r\n")
                self._end(run, "broke off", 0, sent)
                return False
            sent.add(number, piece)
            await conn.send(*([] if is_stream else [head]), h11.Data(data=piece))
        await conn.send(h11.EndOfMessage())
        self._end(run, "answered", 200, sent)
        return True

    def _end(self, run, ending, status, sent=None):
        sent = sent or _Sent()
        self.record(
            attrs.evolve(
                run,
                ended_at=time.monotonic(),
                ending=ending,
                status=status,
                first_event=sent.first,
                last_event=sent.last,
                digest=sent.sha256.hexdigest(),
            )
        )


@attrs.define(eq=False)
class _Sent:
    """What was sent of a body."""

    sha256: object = attrs.field(factory=hashlib.sha256)
    first: int = 0
    last: int = 0

    def add(self, number, piece):
        self.sha256.update(piece)
        self.first, self.last = self.first or number, number


def _plain_body(stub, run):
    return f"{stub.name} ran {run.request_id}".encode()


async def _obey_lines(obey, describe):
    """Carry out the commands of the standard input until its end."""
    lines = iter(sys.stdin.readline, "")
    while (line := await trio.to_thread.run_sync(next, lines, None)) is not None:
        now = time.monotonic()
        try:
            obey(json.loads(line), now)
            reply = {"at": now, **describe()}
        except (ValueError, KeyError, TypeError) as exc:
            reply = {"error": repr(exc)}
        print(json.dumps(reply), flush=True)


async def _serve(addresses, handler, obey, describe):
    async with trio.open_nursery() as nursery:
        for address in addresses:
            await nursery.start(
                TCP.serve, address, functools.partial(handler, address), nursery
            )
        print(json.dumps({"at": time.monotonic(), **describe()}), flush=True)
        await _obey_lines(obey, describe)
        nursery.cancel_scope.cancel()


def _endpoint(args, address):
    file = os.open(args.runs, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def record(run):
        os.write(file, encode_record(run).encode() + b"\n")

    stub = EndpointStub(
        args.name,
        args.zone,
        args.service,
        address=address,
        events=args.events,
        event_gap_s=args.event_gap_s,
        work_s=args.work_s,
        slots=args.slots,
    )
    return ServedEndpoint(stub, args.region, f"{args.name}-{os.getpid()}", record)


def main():
    """Serve until the standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", required=True, choices=["store", "endpoint"])
    parser.add_argument("--listen", required=True, help="IP:PORT, several by commas")
    parser.add_argument("--name", default="", help="name of the endpoint")
    parser.add_argument("--zone", default="")
    parser.add_argument("--region", default="")
    parser.add_argument("--service", default="")
    parser.add_argument("--runs", help="file to which the runs are written")
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument("--event-gap-s", type=float, default=0.05)
    parser.add_argument("--work-s", type=float, default=0.05)
    parser.add_argument("--slots", type=int, default=16)
    args = parser.parse_args()
    addresses = args.listen.split(",")
    for address in addresses:
        split_address(address)
    if args.role == "store":
        served = ServedStore()
        handler = served.serve
        describe = lambda: {"revision": served.store.revision, "era": served.era}
    else:
        served = _endpoint(args, addresses[0])
        handler = lambda _address, stream: served.stub.serve(stream)
        describe = dict
    trio.run(_serve, addresses, handler, served.obey, describe)


if __name__ == "__main__":
    main()
