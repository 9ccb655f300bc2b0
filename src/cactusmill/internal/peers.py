"""Client side of the links to other hosts: reachability, heartbeats and calls.

For each peer, one task keeps a dialled link open and another reads from it.
Responses and heartbeat acknowledgements arrive on the same link. The link that
the peer dials itself is served by :mod:`cactusmill.internal.link_server`.
"""

import contextlib
import itertools
import math

import attrs
import trio

from ..errors import ConnectError, LinkClosedError
from .framing import MAX_BODY_BYTES
from .link import open_link
from .wire.ttypes import EndpointLoad, Heartbeat, LoadReport, ServiceWait

# Bytes of received frames that a call buffers; a call that reads too slowly is ended.
# More than the longest body of a request without tokens.
CALL_BUFFER_BYTES = 2 * MAX_BODY_BYTES
# Roughly the memory of a decoded frame, without the data of a response.
_FRAME_BYTES = 1024
# Interval at which unchanged load reports are repeated.
LOAD_REFRESH_S = 1.0
# A heartbeat and its acknowledgement, without waits and leaving endpoints.
HEARTBEAT_EXCHANGE_BYTES = 2 * 24
# Limit on the heartbeats of a host's links to other zones.
HEARTBEAT_BUDGET_BYTES_PER_S = 600.0
_DIAL_TIMEOUT_S = 1.0
_MIN_REDIAL_S = 0.2
_MAX_REDIAL_S = 2.0


@attrs.define(eq=False)
class CallFrames:
    """Received frames of a call, in their order.

    Attributes
    ----------
    held_bytes : int
        Memory of the frames that the call has not taken yet.
    """

    held_bytes: int = 0
    _channels: tuple = attrs.field(factory=lambda: trio.open_memory_channel(math.inf))

    def put(self, frame):
        """Add a received frame; return whether there was room for it."""
        size = _held_size(frame)
        if self.held_bytes + size > CALL_BUFFER_BYTES:
            return False
        self._channels[0].send_nowait(frame)
        self.held_bytes += size
        return True

    def close(self):
        """Let the frames end after those that were received."""
        self._channels[0].close()

    async def receive(self):
        """Return the next frame, or raise `trio.EndOfChannel`."""
        return self._take(await self._channels[1].receive())

    def receive_nowait(self):
        """Return the next frame, or raise `trio.WouldBlock` or `trio.EndOfChannel`."""
        return self._take(self._channels[1].receive_nowait())

    def _take(self, frame):
        self.held_bytes -= _held_size(frame)
        return frame


def _held_size(frame):
    data = frame.answer_data
    return _FRAME_BYTES + (len(data.data) if data is not None else 0)


@attrs.define(eq=False)
class Peer:
    """Another host, as known to this one.

    Attributes
    ----------
    host : Host
        Its entry in the host list.
    link : Link or None
        The open link, if any.
    was_connected : bool
        True once a link to it was open.
    heartbeat_received : bool
        True once a heartbeat or an acknowledgement came from it, on the link of
        either side.
    last_heartbeat_at : float
        Time of the last one, in seconds.
    leaving : bool
        True if the process that last reported is shutting down.
    left_incarnation : str
        Incarnation of the last process that reported that it is shutting down.
    records_version, hosts_version : int
        Versions of its records and of its host list, as it last reported.
    scope : trio.CancelScope
        Cancelled to close the link for good.
    heartbeat_requested_at : float
        Time at which a heartbeat was last requested ahead of the interval, in
        seconds.
    unanswered_since : float or None
        Time of the first heartbeat sent on the link since the last received frame, in
        seconds; None if there was none.
    used_at : float
        Time at which the peer was last looked up for a request, in seconds.
    waits : dict of str to float
        Reported wait of a new request in the peer's zone by service, in seconds;
        services without a wait are missing.
    """

    host: object
    link: object = None
    was_connected: bool = False
    heartbeat_received: bool = False
    last_heartbeat_at: float = 0.0
    leaving: bool = False
    left_incarnation: str = ""
    records_version: int = 0
    hosts_version: int = 0
    waits: dict = attrs.field(factory=dict)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    heartbeat_requested_at: float = 0.0
    unanswered_since: float | None = None
    used_at: float = 0.0
    _heartbeat_requested: trio.Event = attrs.field(factory=trio.Event)
    _calls: dict = attrs.field(factory=dict)
    _call_ids: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    @property
    def is_reachable(self):
        """Whether a link is open."""
        return self.link is not None

    @property
    def incarnation(self):
        """Incarnation at the other end of the open link, or an empty string."""
        return self.link.peer.incarnation if self.link else ""

    def version_of(self, store_name):
        """Return the version of a store that the peer last reported."""
        return self.hosts_version if store_name == "hosts" else self.records_version

    def request_heartbeat(self):
        """Have a heartbeat sent without waiting for the next interval."""
        self.heartbeat_requested_at = trio.current_time()
        self._heartbeat_requested.set()
        self._heartbeat_requested = trio.Event()

    async def wait_heartbeat_requested(self):
        """Wait until :meth:`request_heartbeat` is called."""
        await self._heartbeat_requested.wait()

    @property
    def has_calls(self):
        """Whether calls on the link are waiting for responses."""
        return bool(self._calls)

    @contextlib.asynccontextmanager
    async def call(self):
        """Open a call on the current link.

        Yields
        ------
        call_id : int
            Number that the frames of the call carry.
        link : Link
            Link on which to send them.
        frames : CallFrames
            Received frames of the call; ends when the link closes.

        Raises
        ------
        LinkClosedError
            If there is no open link.
        """
        if self.link is None:
            raise LinkClosedError(f"no link to {self.host.name}")
        call_id = next(self._call_ids)
        frames = self._calls[call_id] = CallFrames()
        if len(self._calls) == 1:
            # The heartbeat interval may have been long while the link had no
            # calls. From now on the loss of the link must be detected quickly.
            self.request_heartbeat()
        try:
            yield call_id, self.link, frames
        finally:
            self._calls.pop(call_id, None)
            frames.close()

    def deliver(self, call_id, frame):
        """Pass a received frame to its call; frames of closed calls are dropped."""
        frames = self._calls.get(call_id)
        if frames is not None and not frames.put(frame):
            # The call's consumer is too slow for the bounded buffer. Ending the
            # call prevents it from blocking all others on the link.
            self._calls.pop(call_id)
            frames.close()

    def drop_link(self):
        """End all calls after the link closed."""
        self.link = None
        for frames in self._calls.values():
            frames.close()
        self._calls.clear()


async def next_frame(frames):
    """Return the next frame of a call.

    Raises
    ------
    LinkClosedError
        If the link closed first.
    """
    try:
        return await frames.receive()
    except trio.EndOfChannel as exc:
        raise LinkClosedError("the link closed before the response") from exc


async def maintain_link(host, peer):
    """Keep a link to a peer open, redialling with backoff, until it is cancelled."""
    with peer.scope:
        wait_s = _MIN_REDIAL_S
        while True:
            opened_at = host.now()
            await host.supervisor.run_once("maintain_link", _try_link, host, peer)
            if host.now() - opened_at > _MAX_REDIAL_S:
                wait_s = _MIN_REDIAL_S
            await trio.sleep(wait_s * (0.5 + host.rng.random()))
            wait_s = min(_MAX_REDIAL_S, 2 * wait_s)


async def _try_link(host, peer):
    with contextlib.suppress(ConnectError, LinkClosedError):
        await _run_link(host, peer)


async def _run_link(host, peer):
    stream = await host.net.connect(peer.host.peers, _DIAL_TIMEOUT_S)
    try:
        link = await open_link(
            stream, host.hello, host.cfg.link_secret, True, host.traffic, host.buffers
        )
        if link.peer.host != peer.host.name:
            raise LinkClosedError(f"{peer.host.peers} is {link.peer.host}")
        peer.link, peer.was_connected, peer.unanswered_since = link, True, None
        await host.tell_convictions(peer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_heartbeats, host, peer, link, nursery.cancel_scope)
            if peer.host.zone == host.cfg.zone:
                nursery.start_soon(_send_loads, host, link, nursery.cancel_scope)
            nursery.start_soon(_read_frames, host, peer, link, nursery.cancel_scope)
    finally:
        peer.drop_link()
        await trio.aclose_forcefully(stream)


async def _send_heartbeats(host, peer, link, scope):
    try:
        for sequence in itertools.count(1):
            if peer.unanswered_since is None:
                peer.unanswered_since = host.now()
            await link.send(heartbeat=heartbeat(host, sequence))
            # New versions and leaving states are sent at once, everything else
            # at intervals.
            with trio.move_on_after(heartbeat_interval_s(host, peer)):
                await peer.wait_heartbeat_requested()
    except LinkClosedError:
        scope.cancel()


def heartbeat_interval_s(host, peer):
    """Return the heartbeat interval of a peer's link, in seconds.

    Links to other zones share a traffic budget, so the interval grows with their
    number. A link with an open call always uses the configured interval.
    """
    if peer.has_calls or peer.host.zone == host.cfg.zone:
        return host.cfg.heartbeat_s
    other_zone_links = sum(p.host.zone != host.cfg.zone for p in host.peers.values())
    budget_interval_s = (
        other_zone_links * HEARTBEAT_EXCHANGE_BYTES / HEARTBEAT_BUDGET_BYTES_PER_S
    )
    return max(host.cfg.heartbeat_s, budget_interval_s)


def _silence_left_s(host, peer, last_frame_at):
    """Return how long a peer may still be silent before its link is closed, in seconds.

    Heartbeats are acknowledged, so silence means that the link or the peer is lost even
    if the connection is open. It counts from when a heartbeat was due, or was sent if
    this host was late with it. With calls it counts from the heartbeat itself, since a
    sound peer may be silent for a while.
    """
    interval_s = heartbeat_interval_s(host, peer)
    timeout_s = host.cfg.peer_timeout_s / host.cfg.heartbeat_s * interval_s
    if peer.unanswered_since is None:
        return timeout_s
    silent_since = peer.unanswered_since
    if not peer.has_calls:
        due_at = max(last_frame_at, peer.heartbeat_requested_at)
        silent_since = max(due_at, silent_since - interval_s)
    return silent_since + timeout_s - host.now()


async def _send_loads(host, link, scope):
    """Report this host's requests in flight to a host of the same zone.

    Only changed counts are sent, and all of them every `LOAD_REFRESH_S` seconds.
    """
    reported, refreshed_at = {}, host.now()
    try:
        while True:
            await trio.sleep(host.load_report_interval_s(len(reported)))
            loads = host.pool.own_loads()
            is_due = host.now() - refreshed_at >= LOAD_REFRESH_S
            changed = {k: n for k, n in loads.items() if is_due or reported.get(k) != n}
            if not changed:
                continue
            report = LoadReport([EndpointLoad(k, n) for k, n in changed.items()])
            await link.send(load_report=report)
            reported = loads
            refreshed_at = host.now() if is_due else refreshed_at
    except LinkClosedError:
        scope.cancel()


def heartbeat(host, sequence, kind=Heartbeat):
    """Return a heartbeat or, by `kind`, an acknowledgement with this host's state."""
    waits = [
        ServiceWait(service, int(wait_s * 1000))
        for service, wait_s in host.waits().items()
    ]
    return kind(
        sequence,
        host.records.version,
        host.host_list.version,
        host.leaving,
        host.pool.leaving_names() or None,
        waits or None,
    )


async def _read_frames(host, peer, link, scope):
    last_frame_at, wait_s = host.now(), host.cfg.peer_timeout_s
    try:
        while True:
            frame = None
            with trio.move_on_after(wait_s):
                frame = await link.receive()
            if frame is None:
                left_s = _silence_left_s(host, peer, last_frame_at)
                if left_s <= 0:
                    break
                wait_s = min(left_s, host.cfg.peer_timeout_s)
                continue
            last_frame_at, wait_s = host.now(), host.cfg.peer_timeout_s
            peer.unanswered_since = None
            _handle_frame(host, peer, frame)
    except LinkClosedError:
        pass
    scope.cancel()


def _handle_frame(host, peer, frame):
    if frame.heartbeat_ack is not None:
        apply_heartbeat(host, peer, frame.heartbeat_ack, peer.incarnation)
        return
    for field in ("changes_reply", "answer_head", "answer_data", "answer_end"):
        message = getattr(frame, field)
        if message is not None:
            peer.deliver(message.call, frame)
            return
    if frame.loan_grant is not None:
        peer.deliver(frame.loan_grant.call, frame)


def apply_heartbeat(host, peer, message, incarnation):
    """Apply a peer's heartbeat or acknowledgement; pull newer versions from it.

    `incarnation` is that of the other end of the link on which it came. A process that
    shuts down does not return: an older message on the other link may be read later.
    """
    peer.heartbeat_received, peer.last_heartbeat_at = True, host.now()
    if message.leaving:
        peer.left_incarnation = incarnation
    peer.leaving = incarnation == peer.left_incarnation
    peer.records_version = message.records_version
    peer.hosts_version = message.hosts_version
    peer.waits = {w.serves: w.wait_ms / 1000 for w in message.waits or ()}
    host.pool.mark_leaving(message.leaving_endpoints or ())
    if message.records_version > host.records.version:
        host.pull_from(peer, "records")
    if message.hosts_version > host.host_list.version:
        host.pull_from(peer, "hosts")


def retry_after_outage_s(cfg):
    """Return the retry delay for callers after the loss of a peer, in whole seconds."""
    return float(math.ceil(cfg.peer_timeout_s))
