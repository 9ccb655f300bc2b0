"""A network inside one process, with delays, cuts, kills and freezes.

It gives each machine a :class:`~cactusmill.internal.net.Network`. Under
trio's mock clock, hours of it pass in seconds, and a seed repeats a run.
"""

import collections

import attrs
import trio

from cactusmill.errors import ConnectError, ConnectRefusedError
from cactusmill.internal.net import Network

BUFFER_BYTES = 256 * 1024


@attrs.define(eq=False)
class Machine:
    """One machine: a host, an endpoint, a platform service or a caller.

    Attributes
    ----------
    name, zone : str
        The machine and its availability zone.
    is_up : bool
        False while its process is dead; connections are refused then.
    """

    name: str
    zone: str
    is_up: bool = True
    streams: set = attrs.field(factory=set)
    _frozen_until: trio.Event | None = None

    async def when_running(self):
        """Wait while the machine's process is frozen."""
        while self._frozen_until is not None:
            await self._frozen_until.wait()

    def freeze(self):
        """Pause the process: it neither receives nor sends."""
        if self._frozen_until is None:
            self._frozen_until = trio.Event()

    def thaw(self):
        """Let a frozen process go on."""
        if self._frozen_until is not None:
            event, self._frozen_until = self._frozen_until, None
            event.set()

    def kill(self):
        """End the process: its connections are reset."""
        self.is_up = False
        self.thaw()
        for stream in list(self.streams):
            stream.reset()


@attrs.define(eq=False)
class SimulatedStream(trio.abc.HalfCloseableStream):
    """One end of a connection between two machines."""

    network: object
    machine: Machine
    far_machine: Machine
    far: object = None
    tap: object = None
    _inbox: collections.deque = attrs.field(factory=collections.deque)
    _inbox_bytes: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)
    is_silent: bool = False
    _is_closed: bool = False
    _is_reset: bool = False
    _sent_eof: bool = False

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def send_all(self, data):
        """Send; blocks while the far side's buffer is full or this is frozen."""
        await trio.lowlevel.checkpoint()
        if not data:
            return
        while self.far._inbox_bytes > BUFFER_BYTES and not self._is_reset:
            await self.far._changed.wait()
        await self.machine.when_running()
        if self._is_closed:
            raise trio.ClosedResourceError
        if self._is_reset or self._sent_eof:
            raise trio.BrokenResourceError("reset by the far side")
        if self.far._is_closed:
            self.reset()
            raise trio.BrokenResourceError("closed by the far side")
        self._deliver(bytes(data))

    def _deliver(self, data):
        if self.tap is not None:
            self.tap(self.machine, self.far_machine, data)
        delay = self.network.delay_s(self.machine, self.far_machine)
        arrives_at = trio.current_time() + delay
        inbox = self.far._inbox
        if inbox:
            # Bytes of one connection stay in order.
            arrives_at = max(arrives_at, inbox[-1][0])
        inbox.append((arrives_at, data))
        self.far._inbox_bytes += len(data)
        self.far._wake()

    async def send_eof(self):
        """Close this direction."""
        await trio.lowlevel.checkpoint()
        if not self._sent_eof and not self._is_reset:
            self._sent_eof = True
            self._deliver(b"")

    async def wait_send_all_might_not_block(self):
        """Do nothing: sending never needs it here."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Receive what has arrived; silent while the machines are parted."""
        await trio.lowlevel.checkpoint()
        while True:
            changed = self._changed
            if self._is_closed:
                raise trio.ClosedResourceError
            if self._is_reset:
                raise trio.BrokenResourceError("reset by the far side")
            await self.machine.when_running()
            if self.is_silent:
                await changed.wait()
                continue
            if self.network.is_partitioned(self.machine, self.far_machine):
                with trio.move_on_after(self.network.poll_s):
                    await changed.wait()
                continue
            if not self._inbox:
                await changed.wait()
                continue
            wait_s = self._inbox[0][0] - trio.current_time()
            if wait_s > 0:
                with trio.move_on_after(wait_s):
                    await changed.wait()
                continue
            return self._take_arrived()

    def _take_arrived(self):
        chunks = []
        now = trio.current_time()
        while self._inbox and self._inbox[0][0] <= now:
            if not self._inbox[0][1]:
                if not chunks:
                    # The end stays there, so that every later receive sees it.
                    return b""
                break
            chunks.append(self._inbox.popleft()[1])
        data = b"".join(chunks)
        self._inbox_bytes -= len(data)
        self._wake()
        return data

    def reset(self):
        """Break the connection on both sides at once."""
        for end in (self, self.far):
            end._is_reset = True
            end.machine.streams.discard(end)
            end._wake()

    async def aclose(self):
        """Close this end."""
        if not self._is_closed:
            self._is_closed = True
            self.machine.streams.discard(self)
            if not self._sent_eof and not self._is_reset:
                self._sent_eof = True
                self._deliver(b"")
            self._wake()
            self.far._wake()
        await trio.lowlevel.checkpoint()


@attrs.define(eq=False)
class SimulatedNetwork:
    """All machines and who can reach whom.

    Attributes
    ----------
    nursery : trio.Nursery
        Where the servers' connections run.
    zone_delay_s, region_delay_s : float
        One-way delay within a zone and between zones, in seconds.
    tap : callable or None
        ``tap(sender, receiver, data)`` sees every byte that is sent.
    """

    nursery: trio.Nursery
    zone_delay_s: float = 0.0005
    region_delay_s: float = 0.08
    poll_s: float = 0.05
    tap: object = None
    _servers: dict = attrs.field(factory=dict)
    _cuts: set = attrs.field(factory=set)

    def partition(self, one, other):
        """Part two machines or zones, given by name."""
        self._cuts.add(frozenset((one, other)))

    def stall_connections(self, one, other):
        """Let the present connections of two machines go silent for good."""
        for stream in one.streams | other.streams:
            if {stream.machine, stream.far_machine} == {one, other}:
                stream.is_silent = True

    def heal(self, one=None, other=None):
        """Join two machines or zones again, or all."""
        if one is None:
            self._cuts.clear()
        else:
            self._cuts.discard(frozenset((one, other)))

    def is_partitioned(self, one, other):
        """Tell whether no byte passes between two machines now."""
        return any(
            frozenset((a, b)) in self._cuts
            for a in (one.name, one.zone)
            for b in (other.name, other.zone)
        )

    def delay_s(self, one, other):
        """Return the one-way delay between two machines, in seconds."""
        return self.zone_delay_s if one.zone == other.zone else self.region_delay_s

    def network_of(self, machine):
        """Return the network as one machine sees it."""

        async def connect(address, timeout_s):
            return await self._connect(machine, address, timeout_s)

        async def serve(
            address, handler, handler_nursery=None, task_status=trio.TASK_STATUS_IGNORED
        ):
            entry = (handler_nursery or self.nursery, handler)
            await self._serve(machine, address, entry, task_status)

        return Network(connect, serve)

    async def _connect(self, machine, address, timeout_s):
        await machine.when_running()
        server = self._servers.get(address)
        if server is not None and self.is_partitioned(machine, server[0]):
            await trio.sleep(timeout_s)
            raise ConnectError(f"no connection to {address} in time")
        if server is None or not server[0].is_up:
            await trio.sleep(2 * self.zone_delay_s)
            raise ConnectRefusedError(f"{address} refuses connections")
        await trio.sleep(2 * self.delay_s(machine, server[0]))
        if not server[0].is_up:
            raise ConnectRefusedError(f"{address} refuses connections")
        near = SimulatedStream(self, machine, server[0], tap=self.tap)
        far = SimulatedStream(self, server[0], machine, tap=self.tap)
        near.far, far.far = far, near
        machine.streams.add(near)
        server[0].streams.add(far)
        server[1](far)
        return near

    async def _serve(self, machine, address, entry, task_status):
        handler_nursery, handler = entry

        def accept(stream):
            handler_nursery.start_soon(handler, stream)

        server = (machine, accept)
        self._servers[address] = server
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            if self._servers.get(address) is server:
                del self._servers[address]
