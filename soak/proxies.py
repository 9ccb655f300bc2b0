"""Proxies on loopback that delay, hold, lose, refuse and reset what passes them.

The program (``python -m soak.proxies``) reads commands as lines of JSON and answers
each with one line, ``{"ok": NAME}`` or ``{"error": TEXT}``; an error changes nothing:

- ``{"open": NAME, "listen": "IP:PORT", "target": "IP:PORT", "udp": false}``
- ``{"set": NAME, "delay_s": 0.1, "silence": "in", "loss": 0.2, "refuse": true}``
- ``{"reset": NAME, "share": 0.5}`` resets that share of the open connections.
- ``{"heal": NAME}``

A proxy listens while its target does, so that callers of a host that is gone are
refused; within `_FOLLOW_S` of its end their connections are accepted and reset.
Datagrams of a silence are lost, whereas bytes are kept and follow when it has ended.
"""

import collections
import contextlib
import errno
import itertools
import json
import random
import socket
import struct
import sys

import attrs
import trio

from cactusmill.errors import ConnectError
from cactusmill.internal.net import TCP, split_address

BUFFER_BYTES = 256 * 1024
_CONNECT_TIMEOUT_S = 5.0
_MAX_DATAGRAM_BYTES = 64 * 1024
_MAX_SOURCES = 1024
_MAX_DELAYED = 10_000
_FOLLOW_S = 0.03
_LISTENING = "0A"
_RESET = struct.pack("ii", 1, 0)
_SILENCES = ("none", "in", "out", "both", "stall")
# Ends of what one side sends, among its pieces.
_EOF, _BROKEN = b"", None


class CommandError(Exception):
    """A command that cannot be carried out."""


def _check(kind, is_valid=lambda value: True):
    def check(_rule, attribute, value):
        if not isinstance(value, kind) or not is_valid(value):
            raise CommandError(f"{attribute.name}: {value!r} is not possible")

    return check


@attrs.frozen(kw_only=True)
class Rule:
    """What a proxy does to what passes it.

    Attributes
    ----------
    delay_s : float
        Time that is added each way, in seconds.
    silence : str
        Direction of which nothing is passed on, as seen by the target; ``"stall"``
        takes nothing either.
    loss : float
        Part of the datagrams that are lost.
    refuse : bool
        Whether new connections are refused.
    """

    delay_s: float = attrs.field(
        default=0.0, validator=_check((int, float), lambda v: v >= 0)
    )
    silence: str = attrs.field(
        default="none", validator=_check(str, _SILENCES.__contains__)
    )
    loss: float = attrs.field(
        default=0.0, validator=_check((int, float), lambda v: 0 <= v <= 1)
    )
    refuse: bool = attrs.field(default=False, validator=_check(bool))

    def holds(self, direction):
        """Return whether nothing of a direction is passed on."""
        return self.silence in (direction, "both", "stall")


def _listening_addresses():
    """Return the TCP addresses on which this machine listens, as the system does."""
    with open("/proc/net/tcp", encoding="ascii") as lines:
        next(lines)
        fields = (line.split(None, 4) for line in lines)
        # They precede all connections.
        listening = itertools.takewhile(lambda f: f[3] == _LISTENING, fields)
        return {address for _, address, *_ in listening}


def _system_address(address):
    ip, port = split_address(address)
    return f"{socket.inet_aton(ip)[::-1].hex().upper()}:{port:04X}"


def _set_reset(stream):
    """Let the next close of a connection be a reset."""
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


@attrs.define(eq=False)
class Pipe:
    """One direction of a connection.

    Attributes
    ----------
    proxy : Proxy
    direction : str
        ``"in"`` towards the target, or ``"out"``.
    source, sink : trio.SocketStream
    is_over : bool
        Whether the source's end was passed on.
    """

    proxy: object
    direction: str
    source: object
    sink: object
    is_over: bool = False
    _pieces: collections.deque = attrs.field(factory=collections.deque)
    _size: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def put(self, piece):
        """Queue a piece, or an end."""
        self._pieces.append((trio.current_time(), piece))
        self._size += len(piece or b"")
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    async def read(self):
        """Take what the source sends, as far as there is room, up to its end."""
        proxy, piece = self.proxy, b"-"
        while piece:
            while proxy.rule.silence == "stall":
                await proxy.changed.wait()
            while self._size >= BUFFER_BYTES:
                await self._changed.wait()
            try:
                piece = await self.source.receive_some(BUFFER_BYTES - self._size)
            except trio.BrokenResourceError:
                piece = _BROKEN
            self.put(piece)

    async def write(self, opposite):
        """Pass the pieces on, each at its time, up to the end.

        Returns
        -------
        trio.SocketStream or None
            Which side is to be reset, if the connection is over by that.
        """
        while True:
            while not self._pieces:
                await self._changed.wait()
            arrived_at, piece = self._pieces[0]
            await self.proxy.wait_to_pass(self.direction, arrived_at)
            try:
                if piece is _BROKEN:
                    return self.sink
                if piece == _EOF:
                    await self.sink.send_eof()
                    self.is_over = True
                    return None
                await self.sink.send_all(piece)
            except trio.BrokenResourceError:
                # The source learns it the other way, when that is not held.
                opposite.put(_BROKEN)
                return self.source if opposite.is_over else None
            self._pieces.popleft()
            self._size -= len(piece)
            self._notify()


@attrs.define(eq=False)
class Proxy:
    """One listening address and what passes it.

    Attributes
    ----------
    name, listen, target : str
    is_udp : bool
    rule : Rule
    has_target : bool
        Whether the target listens.
    changed : trio.Event
        Set, and replaced, when the rule changes.
    scopes : dict of trio.CancelScope to callable
        Open connections, and what lets each end with a reset.
    """

    name: str
    listen: str
    target: str
    is_udp: bool
    nursery: object
    rng: random.Random
    rule: Rule = attrs.field(factory=Rule)
    has_target: bool = True
    changed: trio.Event = attrs.field(factory=trio.Event)
    scopes: dict = attrs.field(factory=dict)
    _listening: trio.CancelScope | None = None
    _sources: dict = attrs.field(factory=dict)
    _delayed: int = 0
    _closed: trio.Event = attrs.field(factory=trio.Event)
    _lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def wait_to_pass(self, direction, arrived_at):
        """Wait until what has arrived may be passed on."""
        while True:
            changed, due_at = self.changed, arrived_at + self.rule.delay_s
            if self.rule.holds(direction):
                await changed.wait()
            elif due_at <= trio.current_time():
                return
            else:
                with trio.move_on_at(due_at):
                    await changed.wait()

    async def apply(self, rule):
        """Follow another rule from now on."""
        before, self.rule = self.rule, rule
        try:
            await self.listen_or_not()
        except CommandError:
            self.rule = before
            raise
        self.changed.set()
        self.changed = trio.Event()

    async def listen_or_not(self):
        """Listen if the rule and the target let it, or stop that.

        Raises
        ------
        CommandError
            If the address is in use.
        """
        async with self._lock:
            is_open = self.is_udp or (self.has_target and not self.rule.refuse)
            if is_open and self._listening is None:
                await self.start()
            elif not is_open and self._listening is not None:
                self._listening.cancel()
                self._listening = None
                await self._closed.wait()

    async def start(self):
        """Listen.

        Raises
        ------
        CommandError
            If the address is in use or not this machine's.
        """
        scope, self._closed = trio.CancelScope(), trio.Event()
        try:
            await self.nursery.start(self._serve, scope)
        except OSError as exc:
            reason = "is in use" if exc.errno == errno.EADDRINUSE else exc.strerror
            raise CommandError(f"{self.name}: {self.listen}: {reason}") from exc
        self._listening = scope

    async def _serve(self, scope, task_status=trio.TASK_STATUS_IGNORED):
        with scope:
            if self.is_udp:
                with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                    await sock.bind(split_address(self.listen))
                    task_status.started()
                    await self._pass_datagrams(sock)
            await TCP.serve(
                self.listen, self._pass_connection, self.nursery, task_status
            )
        self._closed.set()

    async def _pass_connection(self, near):
        scope = trio.CancelScope()
        streams = [near]
        # A stall is felt by those who send.
        near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES // 4)

        def set_reset():
            for stream in streams:
                _set_reset(stream)

        self.scopes[scope] = set_reset
        try:
            with scope:
                try:
                    streams.append(await TCP.connect(self.target, _CONNECT_TIMEOUT_S))
                except ConnectError:
                    set_reset()
                else:
                    await self._pass_both_ways(*streams)
        finally:
            del self.scopes[scope]
            for stream in streams:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    async def _pass_both_ways(self, near, far):
        there, back = Pipe(self, "in", near, far), Pipe(self, "out", far, near)

        async def write(pipe, opposite):
            broken = await pipe.write(opposite)
            if broken is not None:
                _set_reset(broken)
            if broken is not None or (there.is_over and back.is_over):
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for pipe, opposite in ((there, back), (back, there)):
                nursery.start_soon(pipe.read)
                nursery.start_soon(write, pipe, opposite)

    async def _pass_datagrams(self, sock):
        async with trio.open_nursery() as nursery:
            while True:
                with contextlib.suppress(OSError):
                    data, source = await sock.recvfrom(_MAX_DATAGRAM_BYTES)
                    if source not in self._sources:
                        await self._add_source(sock, source, nursery)
                    far = self._sources[source]
                    self._pass_datagram(
                        nursery, "in", lambda d, far=far: far.send(d), data
                    )

    async def _add_source(self, sock, source, nursery):
        """Open the socket that stands for a source, for replies to find their way."""
        if len(self._sources) >= _MAX_SOURCES:
            self._sources.pop(next(iter(self._sources))).close()
        far = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await far.connect(split_address(self.target))
        self._sources[source] = far

        async def pass_replies():
            with far:
                while far.fileno() >= 0:
                    with contextlib.suppress(ConnectionError):
                        data = await far.recv(_MAX_DATAGRAM_BYTES)
                        self._pass_datagram(
                            nursery, "out", lambda d: sock.sendto(d, source), data
                        )

        nursery.start_soon(pass_replies)

    def _pass_datagram(self, nursery, direction, send, data):
        rule = self.rule
        if rule.holds(direction) or rule.refuse or self.rng.random() < rule.loss:
            return
        if self._delayed < _MAX_DELAYED:
            self._delayed += 1
            nursery.start_soon(self._send_datagram, rule.delay_s, send, data)

    async def _send_datagram(self, delay_s, send, data):
        try:
            await trio.sleep(delay_s)
            with contextlib.suppress(OSError):
                await send(data)
        finally:
            self._delayed -= 1

    def reset(self, share):
        """Reset a share of the open connections, chosen at random."""
        count = round(share * len(self.scopes))
        for scope in self.rng.sample(list(self.scopes), count):
            self.scopes[scope]()
            scope.cancel()


_FIELDS = {
    "open": ({"listen", "target"}, {"udp"}),
    "set": (set(), {field.name for field in attrs.fields(Rule)}),
    "reset": ({"share"}, set()),
    "heal": (set(), set()),
}


@attrs.define(eq=False)
class Proxies:
    """All proxies, by name, and the commands that they get."""

    nursery: object
    rng: random.Random = attrs.field(factory=random.Random)
    proxies: dict = attrs.field(factory=dict)

    async def carry_out(self, line):
        """Carry out a command and return the response to it, as a dict."""
        try:
            return {"ok": await self._carry_out(json.loads(line))}
        except (ValueError, CommandError) as exc:
            return {"error": str(exc)}

    async def _carry_out(self, command):
        verbs = [
            verb for verb in _FIELDS if isinstance(command, dict) and verb in command
        ]
        if len(verbs) != 1:
            raise CommandError(f"{command!r} has not one of {', '.join(_FIELDS)}")
        (verb,) = verbs
        name, (needed, possible) = command.pop(verb), _FIELDS[verb]
        if missing := sorted(needed - set(command)):
            raise CommandError(f"{verb} lacks {', '.join(missing)}")
        if unknown := sorted(set(command) - needed - possible):
            raise CommandError(f"{verb} does not know {', '.join(unknown)}")
        if (name in self.proxies) is (verb == "open"):
            state = "is open" if verb == "open" else "is not open"
            raise CommandError(f"{name!r} {state}")
        if verb == "open":
            await self._open(name, **command)
        elif verb == "set":
            await self.proxies[name].apply(
                attrs.evolve(self.proxies[name].rule, **command)
            )
        elif verb == "heal":
            await self.proxies[name].apply(Rule())
        else:
            share = command["share"]
            if not isinstance(share, (int, float)) or not 0 <= share <= 1:
                raise CommandError(f"share: {share!r} is not from 0 to 1")
            self.proxies[name].reset(share)
        return name

    async def _open(self, name, listen, target, udp=False):
        for address in (listen, target):
            try:
                _system_address(address)
            except (OSError, ValueError, AttributeError):
                raise CommandError(f"{address!r} is not IP:PORT") from None
        proxy = Proxy(name, listen, target, udp, self.nursery, self.rng)
        await proxy.start()
        self.proxies[name] = proxy
        if len(self.proxies) == 1:
            self.nursery.start_soon(self._follow_targets)

    async def _follow_targets(self):
        """Let the proxies listen while their targets do."""
        while True:
            await trio.sleep(_FOLLOW_S)
            listening = _listening_addresses()
            for proxy in list(self.proxies.values()):
                has_target = _system_address(proxy.target) in listening
                if not proxy.is_udp and has_target != proxy.has_target:
                    proxy.has_target = has_target
                    try:
                        await proxy.listen_or_not()
                    except CommandError:
                        # Tried again: another program has the address for now.
                        proxy.has_target = False


async def serve_commands(lines, respond):
    """Carry out commands until there are no more.

    Parameters
    ----------
    lines : async iterable of str
    respond : callable
        ``respond(line)`` is called with each response.
    """
    async with trio.open_nursery() as nursery:
        proxies = Proxies(nursery)
        async for line in lines:
            respond(json.dumps(await proxies.carry_out(line)))
        nursery.cancel_scope.cancel()


def main():
    """Run the program until its standard input ends."""
    trio.run(
        serve_commands,
        trio.wrap_file(sys.stdin),
        lambda line: print(line, flush=True),
    )


if __name__ == "__main__":
    main()
