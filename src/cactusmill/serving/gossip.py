"""Beats between hosts, as datagrams.

A beat says that its sender lives, whom it has heard of, and what it shares
with others: demands, work at endpoints, waits, suspects. A lost datagram costs
nothing but age; the next one replaces it.
"""

import attrs
import trio

from ..errors import LinkClosedError
from ..internal.link import decode, encode_frame
from ..internal.wire.ttypes import (
    Beat,
    EndpointWork,
    Frame,
    MemberNote,
    RegionSummary,
    ServiceWait,
    Suspect,
    TeamDemand,
)
from .events import log_event
from .membership import HostId, RegionTotals

# Time between beats to hosts of the own region: an estimate of the work at an
# endpoint is stale after about one prompt's reading.
REGION_HEARTBEAT_S = 0.15
# Bytes between regions are dear, and waits there change slowly.
CROSS_REGION_HEARTBEAT_S = 0.6
# Seeds are asked again at this interval, so that parts of the fleet that knew
# nothing of each other meet.
SEED_BEAT_S = 1.0
# A process that has just started beats to all at the pace of its region: who
# serves what elsewhere is needed by its first requests.
EAGER_S = 2.0
# Receivers per round; keeps the cost of control flat as the fleet grows. All
# hosts of the region get their turn, so that none stays unheard by chance.
MAX_REGION_RECEIVERS = 12
MAX_FAR = 4
# Beats of another region that a host is to get per round: one may be lost.
REMOTE_HEARTBEATS_PER_ROUND = 2
# Bounds of one beat, so that it fits one datagram. News are passed on at once,
# other members in turn; newcomers are told more.
MAX_NOTES = 4
MAX_NEWCOMER_NOTES = 16
_NEWS_S = 1.0
MAX_DEMANDS = 40
MAX_WORK = 40
MAX_WAITS = 8
MAX_SUSPECTS = 8
_MAX_I32 = 2**31 - 1
_MAX_DATAGRAM_BYTES = 64 * 1024
_HOUSEKEEPING_S = 0.5


def _note(host_id, is_leaving, age_s):
    return MemberNote(
        host=host_id.name,
        ip=host_id.ip,
        zone=host_id.zone,
        region=host_id.region,
        incarnation=host_id.incarnation,
        age_ms=int(age_s * 1000),
        leaving=is_leaving,
    )


def _host_id(note):
    return HostId(
        name=note.host,
        ip=note.ip,
        zone=note.zone,
        region=note.region,
        incarnation=note.incarnation,
    )


def _demands(demands):
    """Return the largest demands as a beat tells them."""
    largest = sorted(demands.items(), key=lambda d: -d[1])[:MAX_DEMANDS]
    return [TeamDemand(key, min(_MAX_I32, demand)) for key, demand in largest]


def _summary(sums, now):
    waits = list(sums.waits.items())[:MAX_WAITS]
    return RegionSummary(
        region=sums.region,
        hosts=sums.hosts,
        heard_age_ms=int((now - sums.last_seen_at) * 1000),
        told_age_ms=int((now - sums.reported_at) * 1000),
        demands=_demands(sums.demands),
        waits=[ServiceWait(service, int(wait_s * 1000)) for service, wait_s in waits],
    )


def _region_sums(summary, now):
    return RegionTotals(
        region=summary.region,
        hosts=summary.hosts,
        last_seen_at=now - summary.heard_age_ms / 1000,
        reported_at=now - summary.told_age_ms / 1000,
        demands={d.key: d.tokens_per_s for d in summary.demands},
        waits={w.serves: w.wait_ms / 1000 for w in summary.waits},
    )


@attrs.define(eq=False)
class Gossip:
    """Sends and takes beats.

    Attributes
    ----------
    host : GatewayHost
        Whose state the beats tell.
    port : int
        UDP port of every host.
    seeds : tuple of str
        IP numbers of hosts to ask first; they may be gone.
    """

    host: object
    port: int
    seeds: tuple
    _sock: object = None
    _sequence: int = 0
    _newcomers: list = attrs.field(factory=list)
    _turn: int = 0
    _silent: set = attrs.field(factory=set)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Beat and listen until cancelled."""
        self._sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self._sock.bind((self.host.cfg.ip, self.port))
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen)
            nursery.start_soon(self._beat_for_ever)
            nursery.start_soon(self._keep_house)

    async def _keep_house(self):
        while True:
            await trio.sleep(_HOUSEKEEPING_S)
            now = self.host.now()
            self._log_silent(now)
            for member in self.host.membership.forget(now):
                log_event(
                    "host_forgotten",
                    host=member.id.name,
                    silent_s=round(now - member.last_seen_at, 2),
                )

    def _log_silent(self, now):
        """Log hosts that have fallen silent, and those that are back."""
        silent = {m.id.name for m in self.host.membership.silent(now)}
        for name in sorted(silent - self._silent):
            log_event("host_silent", host=name)
        for name in sorted(self._silent - silent):
            log_event("host_heard_again_or_gone", host=name)
        self._silent = silent

    async def _beat_for_ever(self):
        far_at = seeds_at = tell_at = self.host.now()
        eager_until = far_at + EAGER_S
        while True:
            now = self.host.now()
            is_eager = now < eager_until
            has_news = now >= tell_at
            if has_news:
                tell_at = now + CROSS_REGION_HEARTBEAT_S
                self.host.quotas.snapshot_demands(now)
            self.host.quotas.update_shares(self.host.membership, now)
            beat = self.build_heartbeat(
                now, is_same_region=True, tells_regions=has_news
            )
            await self._send_all(self._near(), beat)
            if now >= far_at:
                far_at = now + (0.0 if is_eager else CROSS_REGION_HEARTBEAT_S)
                await self._send_all(
                    self._far(), self.build_heartbeat(now, is_same_region=False)
                )
            if now >= seeds_at:
                seeds_at = now + (REGION_HEARTBEAT_S if is_eager else SEED_BEAT_S)
                await self._send_all(
                    self._seeds(), self.build_heartbeat(now, is_same_region=False)
                )
            await trio.sleep(REGION_HEARTBEAT_S)

    async def announce(self):
        """Tell all known hosts at once, such as on leaving."""
        now = self.host.now()
        members = self.host.membership.live(now)
        await self._send_all(
            [m.id.ip for m in members], self.build_heartbeat(now, is_same_region=True)
        )

    def _near(self):
        """Return whose turn it is in the region."""
        ips = sorted(m.id.ip for m in self.host.membership.region_members())
        if len(ips) <= MAX_REGION_RECEIVERS:
            return ips
        start = self._turn % len(ips)
        self._turn += MAX_REGION_RECEIVERS
        return [ips[(start + step) % len(ips)] for step in range(MAX_REGION_RECEIVERS)]

    def _far(self):
        """Return some hosts of each other region, by chance."""
        membership = self.host.membership
        by_region = {}
        for member in membership.known():
            if member.id.region != self.host.cfg.region:
                by_region.setdefault(member.id.region, []).append(member.id.ip)
        senders = 1 + len(membership.region_members())
        receivers = []
        for ips in by_region.values():
            count = -(-REMOTE_HEARTBEATS_PER_ROUND * len(ips) // senders)
            receivers += self.host.rng.sample(ips, min(MAX_FAR, len(ips), count))
        return receivers

    def _seeds(self):
        known = {m.id.ip for m in self.host.membership.live(self.host.now())}
        return [ip for ip in self.seeds if ip not in known and ip != self.host.cfg.ip]

    async def _send_all(self, ips, beat):
        if not ips:
            return
        data = encode_frame(Frame(beat=beat))
        for ip in ips:
            try:
                await self._sock.sendto(data, (ip, self.port))
            except OSError as exc:
                # Like a lost datagram; the next beat tries again.
                log_event("beat_not_sent", ip=ip, reason=repr(exc))

    def build_heartbeat(
        self, now, is_same_region, tells_regions=False, most_notes=MAX_NOTES
    ):
        """Return this host's beat.

        Parameters
        ----------
        now : float
            Present time, in seconds.
        is_same_region : bool
            True for hosts of the own region, whose hosts share endpoints.
        tells_regions : bool
            True to pass on the sums of other regions.
        most_notes : int
            Members to tell of, besides news.

        Returns
        -------
        Beat
        """
        host = self.host
        self._sequence += 1
        demands = work = None
        if is_same_region:
            demands = _demands(host.quotas.reported_demands())
            local_load = list(host.placement.local_load().items())[:MAX_WORK]
            work = [EndpointWork(k, n, t) for k, (n, t) in local_load]
            regions = host.membership.regions() if tells_regions else []
        else:
            regions = [self._own_sums(now)]
        source = host.availability
        return Beat(
            sender=_note(host.membership.own_id, host.is_leaving, 0.0),
            sequence=self._sequence,
            ready=host.is_ready(now),
            configuration_version=host.catalog.configuration.version
            if host.catalog.configuration
            else 0,
            revision=host.catalog.revision,
            members=[
                _note(m.id, m.is_leaving, now - m.last_seen_at)
                for m in self._noted(now, most_notes)
            ],
            demands=demands,
            work=work,
            suspects=[
                Suspect(digest, deaths)
                for digest, deaths in host.fresh_suspects(now)[:MAX_SUSPECTS]
            ],
            regions=[_summary(sums, now) for sums in regions],
            source_age_ms=None
            if source.failing_since is not None or source.answered_at == float("-inf")
            else int((now - source.answered_at) * 1000),
            source_failing=source.failing_since is not None,
        )

    def _noted(self, now, most):
        """Return the members to tell of: news, and some others by chance."""
        membership = self.host.membership
        live = membership.live(now)
        news = [m for m in live if m.is_leaving or now - m.met_at < _NEWS_S]
        news = news[:MAX_NEWCOMER_NOTES]
        others = [m for m in live if m not in news]
        return news + self.host.rng.sample(others, min(most, len(others)))

    def _own_sums(self, now):
        host, membership = self.host, self.host.membership
        demands = membership.region_demands()
        demands.update(host.quotas.reported_demands())
        return RegionTotals(
            region=host.cfg.region,
            hosts=1 + len(membership.region_members()),
            last_seen_at=membership.region_oldest_last_seen(now),
            reported_at=now,
            demands=demands,
            waits=host.waits(now),
        )

    async def _listen(self):
        while True:
            try:
                data, _ = await self._sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # A datagram of ours that found no listener is reported here.
                log_event("beat_not_received", reason=repr(exc))
                continue
            try:
                beat = decode(data).beat
            except LinkClosedError as exc:
                log_event("beat_unreadable", reason=str(exc))
                continue
            if beat is not None:
                now = self.host.now()
                self.apply_heartbeat(beat, now)
                # A newcomer learns of this host without waiting for its turn.
                newcomers, self._newcomers = self._newcomers, []
                if newcomers:
                    beat = self.build_heartbeat(
                        now, is_same_region=False, most_notes=MAX_NEWCOMER_NOTES
                    )
                    await self._send_all(newcomers, beat)

    def apply_heartbeat(self, beat, now):
        """Take over what a beat says.

        Parameters
        ----------
        beat : Beat
            As received.
        now : float
            Present time, in seconds.
        """
        host = self.host
        sender = _host_id(beat.sender)
        is_new = all(
            m.id.incarnation != sender.incarnation for m in host.membership.known()
        )
        member = host.membership.record_host(sender, beat.sender.leaving, 0.0, now)
        for note in beat.members:
            host.membership.record_host(
                _host_id(note), note.leaving, note.age_ms / 1000, now
            )
        if member is None or beat.sequence <= member.sequence:
            return
        if is_new:
            log_event("host_met", host=sender.name, region=sender.region)
            self._newcomers.append(sender.ip)
        member.sequence = beat.sequence
        member.reported_at = now
        member.is_ready = beat.ready
        member.configuration_version = beat.configuration_version
        member.revision = beat.revision
        # Beats to seeds and newcomers leave out what only the own region needs.
        if beat.demands is not None:
            member.demands = {d.key: d.tokens_per_s for d in beat.demands}
        if beat.work is not None:
            member.work = {w.key: (w.in_flight, w.prompt_tokens) for w in beat.work}
        if beat.source_age_ms is not None:
            member.source_answered_at = now - beat.source_age_ms / 1000
        if beat.source_failing and sender.region == host.cfg.region:
            member.source_answered_at = float("-inf")
            host.availability.failed_elsewhere_at = now
        for summary in beat.regions or ():
            host.membership.record_region(_region_sums(summary, now))
        for suspect in beat.suspects or ():
            host.learn_suspect(suspect.digest, suspect.deaths, now)
