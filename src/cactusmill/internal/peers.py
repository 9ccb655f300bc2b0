"""Links to the other hosts: who is reachable, and calls to them.

Each peer has one task that keeps a dialled link to it and one that reads it.
Answers and heartbeats come back over the same link. The link that the peer
dials in turn is served in :mod:`cactusmill.internal.link_server`.
"""

import contextlib
import itertools
import math

import attrs
import trio

from ..errors import ConnectError, LinkClosedError
from .link import open_link
from .wire.ttypes import EndpointLoad, Heartbeat, LoadReport, ServiceWait

CALL_BUFFER_FRAMES = 1024
LOAD_REFRESH_S = 1.0
# A heartbeat and its acknowledgement, without what they name in bad times.
HEARTBEAT_EXCHANGE_BYTES = 2 * 24
HEARTBEAT_BUDGET_BYTES_PER_S = 600.0
_DIAL_TIMEOUT_S = 1.0
_FIRST_REDIAL_S = 0.2
_LAST_REDIAL_S = 2.0


@attrs.define(eq=False)
class Peer:
    """Another host, as this one sees it.

    Attributes
    ----------
    host : Host
        As listed.
    link : Link or None
        The open link, if any.
    was_connected : bool
        True once a link to it was open.
    heartbeat_received : bool
        True once it said what versions it has, on either side's link.
    last_heartbeat_at : float
        When it last said so, in seconds.
    leaving : bool
        True once it said that it is leaving.
    records_version, hosts_version : int
        Newest versions that it said to have.
    heartbeat_requested_at : float
        When a heartbeat was last asked for before its time, in seconds.
    used_at : float
        When the host was last looked up for a request, in seconds.
    waits : dict of str to float
        Wait that a request for a service would have in its zone, in seconds,
        where it is not 0.
    """

    host: object
    link: object = None
    was_connected: bool = False
    heartbeat_received: bool = False
    last_heartbeat_at: float = 0.0
    leaving: bool = False
    records_version: int = 0
    hosts_version: int = 0
    waits: dict = attrs.field(factory=dict)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    heartbeat_requested_at: float = 0.0
    used_at: float = 0.0
    _heartbeat_requested: trio.Event = attrs.field(factory=trio.Event)
    _calls: dict = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    @property
    def is_reachable(self):
        """Whether a link is open."""
        return self.link is not None

    @property
    def incarnation(self):
        """Incarnation at the far side of the open link, or an empty text."""
        return self.link.peer.incarnation if self.link else ""

    def version_of(self, book_name):
        """Return the newest version of a book that it said to have."""
        return self.hosts_version if book_name == "hosts" else self.records_version

    def request_heartbeat(self):
        """Have a heartbeat sent now."""
        self.heartbeat_requested_at = trio.current_time()
        self._heartbeat_requested.set()
        self._heartbeat_requested = trio.Event()

    async def wait_heartbeat_requested(self):
        """Wait until a heartbeat is to be sent before its time."""
        await self._heartbeat_requested.wait()

    @property
    def has_calls(self):
        """Whether calls wait for answers on the link."""
        return bool(self._calls)

    @contextlib.asynccontextmanager
    async def call(self):
        """Open a call on the present link.

        Yields
        ------
        number : int
            To put in the call's frames.
        link : Link
            Where to send them.
        answers : trio.MemoryReceiveChannel
            Frames with that number; ends if the link does.

        Raises
        ------
        LinkClosedError
            If there is no open link.
        """
        if self.link is None:
            raise LinkClosedError(f"no link to {self.host.name}")
        number = next(self._numbers)
        send, receive = trio.open_memory_channel(CALL_BUFFER_FRAMES)
        self._calls[number] = send
        if len(self._calls) == 1:
            # The link may have been quiet; from now on its loss must show soon.
            self.request_heartbeat()
        try:
            yield number, self.link, receive
        finally:
            self._calls.pop(number, None)
            send.close()

    def deliver(self, number, frame):
        """Hand an answer's frame to its call; late ones are dropped."""
        channel = self._calls.get(number)
        if channel is None:
            return
        try:
            channel.send_nowait(frame)
        except (trio.WouldBlock, trio.BrokenResourceError):
            # The caller reads too slowly for the bounded buffer. Ending this
            # call keeps it from holding up all others on the link.
            self._calls.pop(number, None)
            channel.close()

    def drop_link(self):
        """End all calls after the link broke."""
        self.link = None
        for channel in self._calls.values():
            channel.close()
        self._calls.clear()


async def next_frame(answers):
    """Return a call's next frame.

    Raises
    ------
    LinkClosedError
        If the link ended first.
    """
    try:
        return await answers.receive()
    except trio.EndOfChannel as exc:
        raise LinkClosedError("the link ended before the answer") from exc


async def maintain_link(host, peer):
    """Keep a link to a peer open for as long as the peer is listed."""
    with peer.scope:
        wait_s = _FIRST_REDIAL_S
        while True:
            opened_at = host.now()
            with contextlib.suppress(ConnectError, LinkClosedError):
                await _run_link(host, peer)
            if host.now() - opened_at > _LAST_REDIAL_S:
                wait_s = _FIRST_REDIAL_S
            await trio.sleep(wait_s * (0.5 + host.rng.random()))
            wait_s = min(_LAST_REDIAL_S, 2 * wait_s)


async def _run_link(host, peer):
    stream = await host.net.connect(peer.host.peers, _DIAL_TIMEOUT_S)
    try:
        link = await open_link(
            stream, host.hello, host.cfg.link_secret, True, host.traffic
        )
        if link.peer.host != peer.host.name:
            raise LinkClosedError(f"{peer.host.peers} is {link.peer.host}")
        peer.link, peer.was_connected = link, True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_heartbeats, host, peer, link, nursery.cancel_scope)
            if peer.host.zone == host.cfg.zone:
                nursery.start_soon(_send_loads, host, link, nursery.cancel_scope)
            nursery.start_soon(_read_answers, host, peer, link, nursery.cancel_scope)
    finally:
        peer.drop_link()
        await trio.aclose_forcefully(stream)


async def _send_heartbeats(host, peer, link, scope):
    try:
        for sequence in itertools.count(1):
            await link.send(heartbeat=heartbeat(host, sequence))
            # A risen version is told at once, the rest at intervals.
            with trio.move_on_after(heartbeat_interval_s(host, peer)):
                await peer.wait_heartbeat_requested()
    except LinkClosedError:
        scope.cancel()


def heartbeat_interval_s(host, peer):
    """Return the time between two heartbeats to a peer, in seconds.

    Links out of the zone share a traffic budget, so that a host with many of
    them sends on each less often; a link with an open call is never slowed.
    """
    if peer.has_calls or peer.host.zone == host.cfg.zone:
        return host.cfg.heartbeat_s
    links = sum(p.host.zone != host.cfg.zone for p in host.peers.values())
    budgeted = links * HEARTBEAT_EXCHANGE_BYTES / HEARTBEAT_BUDGET_BYTES_PER_S
    return max(host.cfg.heartbeat_s, budgeted)


def _silence_timeout_s(host, peer):
    beats = host.cfg.peer_timeout_s / host.cfg.heartbeat_s
    return beats * heartbeat_interval_s(host, peer)


async def _send_loads(host, link, scope):
    """Tell a host of the zone what this one has in flight, where it changed."""
    told, told_at = {}, host.now()
    try:
        while True:
            await trio.sleep(host.load_report_interval_s(len(told)))
            loads = host.pool.own_loads()
            is_due = host.now() - told_at >= LOAD_REFRESH_S
            changed = {k: n for k, n in loads.items() if is_due or told.get(k) != n}
            if not changed:
                continue
            report = LoadReport([EndpointLoad(k, n) for k, n in changed.items()])
            await link.send(load_report=report)
            told = loads
            told_at = host.now() if is_due else told_at
    except LinkClosedError:
        scope.cancel()


def heartbeat(host, sequence, kind=Heartbeat):
    """Return a heartbeat, or its acknowledgement, with what this host knows."""
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


async def _read_answers(host, peer, link, scope):
    heard_at = host.now()
    try:
        while True:
            frame = None
            with trio.move_on_after(host.cfg.peer_timeout_s):
                frame = await link.receive()
            if frame is None:
                quiet_since = max(heard_at, peer.heartbeat_requested_at)
                if host.now() - quiet_since >= _silence_timeout_s(host, peer):
                    # Heartbeats are acknowledged, so silence means that the
                    # link or the peer is lost, even if the connection looks
                    # open.
                    break
                continue
            heard_at = host.now()
            _handle_frame(host, peer, frame)
    except LinkClosedError:
        pass
    scope.cancel()


def _handle_frame(host, peer, frame):
    if frame.heartbeat_ack is not None:
        apply_heartbeat(host, peer, frame.heartbeat_ack)
        return
    for field in ("changes_reply", "answer_head", "answer_data", "answer_end"):
        message = getattr(frame, field)
        if message is not None:
            peer.deliver(message.call, frame)
            return
    if frame.loan_grant is not None:
        peer.deliver(frame.loan_grant.call, frame)


def apply_heartbeat(host, peer, beat):
    """Take note of what a peer's heartbeat or acknowledgement says."""
    peer.heartbeat_received, peer.last_heartbeat_at = True, host.now()
    peer.leaving = beat.leaving
    peer.records_version = beat.records_version
    peer.hosts_version = beat.hosts_version
    peer.waits = {w.serves: w.wait_ms / 1000 for w in beat.waits or ()}
    host.pool.mark_leaving(beat.leaving_endpoints or ())
    if beat.records_version > host.records.version:
        host.pull_from(peer, "records")
    if beat.hosts_version > host.host_list.version:
        host.pull_from(peer, "hosts")


def retry_after_outage_s(cfg):
    """Return when a caller may come back after a peer was lost, in seconds."""
    return float(math.ceil(cfg.peer_timeout_s))
