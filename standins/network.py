"""Simulated in-process network with delays, partitions, crashes and freezes.

Gives each machine a :class:`~cactusmill.internal.net.Network`. Under trio's mock
clock, hours of simulated time take seconds, and a seed reproduces a run.
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
        Whether its process runs; connections are refused otherwise.
    streams : set of SimulatedStream
        Its ends of open connections.
    """

    name: str
    zone: str
    is_up: bool = True
    streams: set = attrs.field(factory=set)
    _thawed: trio.Event | None = None

    async def wait_until_running(self):
        """Wait until the machine's process is not frozen."""
        while self._thawed is not None:
            await self._thawed.wait()

    def freeze(self):
        """Pause the process; it neither receives nor sends until :meth:`thaw`."""
        if self._thawed is None:
            self._thawed = trio.Event()

    def thaw(self):
        """Resume a frozen process."""
        if self._thawed is not None:
            event, self._thawed = self._thawed, None
            event.set()

    def kill(self):
        """Stop the process and reset its connections."""
        self.is_up = False
        self.thaw()
        for stream in list(self.streams):
            stream.reset()


@attrs.define(eq=False)
class SimulatedStream(trio.abc.HalfCloseableStream):
    """One end of a connection between two machines.

    Attributes
    ----------
    machine, other_machine : Machine
        The machine at this end and the one at the other end.
    other : SimulatedStream
        The other end.
    tap : callable or None
        ``tap(sender, receiver, data)`` is called with the bytes sent at this end.
    is_stalled : bool
        True if nothing is received any more, though the connection stays open.
    """

    network: object
    machine: Machine
    other_machine: Machine
    other: object = None
    tap: object = None
    _buffer: collections.deque = attrs.field(factory=collections.deque)
    _buffer_bytes: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)
    is_stalled: bool = False
    _is_closed: bool = False
    _is_reset: bool = False
    _sent_eof: bool = False

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def send_all(self, data):
        """Send data.

        Blocks while the other end's buffer is full or this machine is frozen.
        """
        await trio.lowlevel.checkpoint()
        if not data:
            return
        while self.other._buffer_bytes > BUFFER_BYTES and not self._is_reset:
            await self.other._changed.wait()
        await self.machine.wait_until_running()
        if self._is_closed:
            raise trio.ClosedResourceError
        if self._is_reset or self._sent_eof:
            raise trio.BrokenResourceError("connection reset by the other end")
        if self.other._is_closed:
            self.reset()
            raise trio.BrokenResourceError("connection closed by the other end")
        self._deliver(bytes(data))

    def _deliver(self, data):
        if self.tap is not None:
            self.tap(self.machine, self.other_machine, data)
        delay = self.network.delay_s(self.machine, self.other_machine)
        arrives_at = trio.current_time() + delay
        buffer = self.other._buffer
        if buffer:
            # Bytes of one connection arrive in order.
            arrives_at = max(arrives_at, buffer[-1][0])
        buffer.append((arrives_at, data))
        self.other._buffer_bytes += len(data)
        self.other._wake()

    async def send_eof(self):
        """Close this direction."""
        await trio.lowlevel.checkpoint()
        if not self._sent_eof and not self._is_reset:
            self._sent_eof = True
            self._deliver(b"")

    async def wait_send_all_might_not_block(self):
        """Return at once; :meth:`send_all` does its own waiting."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Receive what has arrived; block while the machines are partitioned."""
        await trio.lowlevel.checkpoint()
        while True:
            changed = self._changed
            if self._is_closed:
                raise trio.ClosedResourceError
            if self._is_reset:
                raise trio.BrokenResourceError("connection reset by the other end")
            await self.machine.wait_until_running()
            if self.is_stalled:
                await changed.wait()
                continue
            if self.network.is_partitioned(self.machine, self.other_machine):
                with trio.move_on_after(self.network.poll_s):
                    await changed.wait()
                continue
            if not self._buffer:
                await changed.wait()
                continue
            wait_s = self._buffer[0][0] - trio.current_time()
            if wait_s > 0:
                with trio.move_on_after(wait_s):
                    await changed.wait()
                continue
            return self._pop_arrived()

    def _pop_arrived(self):
        chunks = []
        now = trio.current_time()
        while self._buffer and self._buffer[0][0] <= now:
            if not self._buffer[0][1]:
                if not chunks:
                    # Keep the end of file for every later receive.
                    return b""
                break
            chunks.append(self._buffer.popleft()[1])
        data = b"".join(chunks)
        self._buffer_bytes -= len(data)
        self._wake()
        return data

    def reset(self):
        """Reset the connection at both ends immediately."""
        for end in (self, self.other):
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
            self.other._wake()
        await trio.lowlevel.checkpoint()


@attrs.define(eq=False)
class SimulatedNetwork:
    """The machines' servers, delays and partitions.

    Attributes
    ----------
    nursery : trio.Nursery
        Runs the servers' connections.
    zone_delay_s, region_delay_s : float
        One-way delay within a zone and between zones, in seconds.
    poll_s : float
        Interval at which a partitioned receiver checks for recovery, in seconds.
    tap : callable or None
        ``tap(sender, receiver, data)`` is called with all bytes that are sent.
    """

    nursery: trio.Nursery
    zone_delay_s: float = 0.0005
    region_delay_s: float = 0.08
    poll_s: float = 0.05
    tap: object = None
    _servers: dict = attrs.field(factory=dict)
    _partitions: set = attrs.field(factory=set)

    def partition(self, one, other):
        """Partition two machines or zones, given by name."""
        self._partitions.add(frozenset((one, other)))

    def stall_connections(self, one, other):
        """Stall the existing connections of two machines permanently."""
        for stream in one.streams | other.streams:
            if {stream.machine, stream.other_machine} == {one, other}:
                stream.is_stalled = True

    def heal(self, one=None, other=None):
        """End the partition of two machines or zones, or all partitions."""
        if one is None:
            self._partitions.clear()
        else:
            self._partitions.discard(frozenset((one, other)))

    def is_partitioned(self, one, other):
        """Return whether two machines are partitioned."""
        return any(
            frozenset((a, b)) in self._partitions
            for a in (one.name, one.zone)
            for b in (other.name, other.zone)
        )

    def delay_s(self, one, other):
        """Return the one-way delay between two machines, in seconds."""
        return self.zone_delay_s if one.zone == other.zone else self.region_delay_s

    def network_of(self, machine):
        """Return the network interface of a machine."""

        async def connect(address, timeout_s):
            return await self._connect(machine, address, timeout_s)

        async def serve(
            address, handler, handler_nursery=None, task_status=trio.TASK_STATUS_IGNORED
        ):
            entry = (handler_nursery or self.nursery, handler)
            await self._serve(machine, address, entry, task_status)

        return Network(connect, serve)

    async def _connect(self, machine, address, timeout_s):
        await machine.wait_until_running()
        server = self._servers.get(address)
        if server is not None and self.is_partitioned(machine, server[0]):
            await trio.sleep(timeout_s)
            raise ConnectError(f"connecting to {address} timed out")
        if server is None or not server[0].is_up:
            await trio.sleep(2 * self.zone_delay_s)
            raise ConnectRefusedError(f"{address} refused the connection")
        await trio.sleep(2 * self.delay_s(machine, server[0]))
        if not server[0].is_up:
            raise ConnectRefusedError(f"{address} refused the connection")
        local = SimulatedStream(self, machine, server[0], tap=self.tap)
        remote = SimulatedStream(self, server[0], machine, tap=self.tap)
        local.other, remote.other = remote, local
        machine.streams.add(local)
        server[0].streams.add(remote)
        server[1](remote)
        return local

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
