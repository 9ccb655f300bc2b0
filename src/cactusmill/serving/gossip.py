"""Gossip between hosts: heartbeats sent as UDP datagrams.

A heartbeat reports that its sender is alive, which other hosts it knows, and the
state that hosts share:

- the demand of each team, in tokens requested per second;
- the sender's requests in flight at each endpoint and their prompt tokens, and for
  engines of ranked services those of patient requests and the KV cache held;
- paces of the endpoints' machines that changed lately;
- the shortest predicted wait of each service in a region;
- the room of regions for requests of others, and what is wanted to be forwarded;
- in a region, the demand of each rank and the level of its ranked services;
- what crashes endpoints: reports of crashes, and what is held back for them;
- zones whose evacuation ended recently, so that their endpoints may be cold.

Hosts of one region exchange demands and loads individually, and pass on the totals of
other regions. Between its zones they send less (:mod:`.heartbeat_contents`). Hosts of
other regions receive the totals of the sender's region. A lost datagram only makes this
state older, since a later heartbeat replaces it.

All times are seconds of the process's monotonic clock. Datagrams carry ages instead
of times, since the clocks of two hosts differ.
"""

import contextlib
import socket

import attrs
import trio

from ..errors import LinkClosedError
from ..internal.containment.messages import apply_news, build_news
from ..internal.link import decode, encode_frame
from ..internal.shedding import MIN_LAG_S
from ..internal.steps import Steps
from ..internal.wire.ttypes import (
    Beat,
    EndpointPace,
    EndpointWork,
    Frame,
    MemberNote,
    RankDemand,
    RegionSummary,
    ServiceRoom,
    ServiceWait,
    TeamDemand,
    ZoneReopening,
)
from . import heartbeat_contents as contents
from .events import log_event
from .heartbeat_checks import check_heartbeat
from .heartbeats import MAX_REGION_RECEIVERS, REGION_HEARTBEAT_S, count_rounds
from .membership import HostId, RegionTotals
from .room_sharing import compute_rooms, region_wants, update_allowances
from .scheduling.rank_levels import RankReport

# Interval of heartbeats to hosts of other regions. Traffic between regions is
# expensive, and their waits change slowly.
CROSS_REGION_HEARTBEAT_S = 0.6
# Interval of heartbeats to seeds that are not live members, so that groups of hosts
# that do not know each other merge.
SEED_HEARTBEAT_S = 1.0
# For this long after its start a process sends all heartbeats every
# REGION_HEARTBEAT_S: its first requests need to know what other regions serve.
STARTUP_S = 2.0
# Maximum number of receivers in every other region each time, so that the cost of
# gossip per host does not grow with the number of hosts.
MAX_REMOTE_RECEIVERS = 4
# Number of heartbeats that a host should receive per CROSS_REGION_HEARTBEAT_S from
# all hosts of another region together: one may be lost.
REMOTE_HEARTBEATS_PER_ROUND = 2
# Maximum numbers of members in one heartbeat, so that it fits one datagram.
# MAX_ENTRIES applies to randomly selected members. MAX_NEW_MEMBER_ENTRIES applies to
# new and leaving members, which come first; a heartbeat to a new member also has this
# many randomly selected ones.
MAX_ENTRIES = 4
MAX_NEW_MEMBER_ENTRIES = 16
# A member counts as new for this long after this host first received its entry.
_NEW_MEMBER_PERIOD_S = 1.0
# Maximum lengths of the other lists in one heartbeat.
MAX_DEMANDS = 40
MAX_ENDPOINT_LOADS = 40
MAX_WAITS = 8
MAX_ROOMS = 8
MAX_REOPENINGS = 8
_MAX_I32 = 2**31 - 1
_MAX_DATAGRAM_BYTES = 64 * 1024
# Heartbeats that arrive within this time are applied together: every wakeup of the
# process costs as much as a heartbeat.
_RECEIVE_INTERVAL_S = 0.02
# Heartbeats that are applied before other tasks get a turn.
_MAX_BATCH = 64
# Most new members that are answered at once in one interval of heartbeats. When a
# fleet starts, every host is new to every other one, and entries in heartbeats spread
# faster than answers to all of them.
_MAX_ANSWERS = 4
_MAINTENANCE_INTERVAL_S = 0.5
# Decisions are sent for this long after a host that knows other ones was heard.
_DIFFERENCE_S = 0.5
# Least time between two heartbeats that are sent early for the news that they carry.
_NEWS_INTERVAL_S = 0.05


def _to_ms(seconds):
    """Return a time in whole milliseconds, as large as a heartbeat can tell it."""
    return max(0, int(min(seconds * 1000, _MAX_I32)))


def _member_entry(host_id, is_leaving, age_s):
    return MemberNote(
        host_id.name,
        host_id.ip,
        host_id.zone,
        host_id.region,
        host_id.incarnation,
        _to_ms(age_s),
        is_leaving,
    )


def _host_id(entry):
    return HostId(
        name=entry.host,
        ip=entry.ip,
        zone=entry.zone,
        region=entry.region,
        incarnation=entry.incarnation,
    )


def _wire_demands(demands):
    """Return the largest of the demands, given by team key, in their wire form."""
    largest = sorted(demands.items(), key=lambda d: -d[1])[:MAX_DEMANDS]
    return [TeamDemand(key, min(_MAX_I32, demand)) for key, demand in largest]


def _wire_rooms(rooms):
    """Return tokens per second by service in their wire form; None if there are none.

    Numbers are rounded down, so that no room is promised that does not exist.
    """
    largest = sorted(rooms.items(), key=lambda r: -r[1])[:MAX_ROOMS]
    return [ServiceRoom(name, min(_MAX_I32, int(rate))) for name, rate in largest] or (
        None
    )


def _read_rooms(rooms):
    return {room.serves: room.tokens_per_s for room in rooms or ()}


def _wire_ranks(reports):
    """Return the reports of ranks in their wire form; None if there are none."""
    return [
        RankDemand(r.service, r.priority, r.asked, r.refused, r.admitted_permille)
        for r in reports
    ] or None


def _read_ranks(ranks):
    return [
        RankReport(
            service=r.serves,
            priority=r.priority,
            asked=r.asked_tokens_per_s,
            refused=r.refused_tokens_per_s,
            admitted_permille=r.admitted_permille,
        )
        for r in ranks
    ]


def _wire_summary(totals, now):
    waits = list(totals.waits.items())[:MAX_WAITS]
    return RegionSummary(
        region=totals.region,
        hosts=totals.hosts,
        heard_age_ms=_to_ms(now - totals.last_seen_at),
        told_age_ms=_to_ms(now - totals.reported_at),
        demands=_wire_demands(totals.demands),
        waits=[ServiceWait(service, _to_ms(wait_s)) for service, wait_s in waits],
        rooms=_wire_rooms(totals.rooms),
        forwards=_wire_rooms(totals.forwards),
    )


def _read_summary(summary, now):
    return RegionTotals(
        region=summary.region,
        hosts=summary.hosts,
        last_seen_at=now - summary.heard_age_ms / 1000,
        reported_at=now - summary.told_age_ms / 1000,
        demands={d.key: d.tokens_per_s for d in summary.demands},
        waits={w.serves: w.wait_ms / 1000 for w in summary.waits},
        rooms=_read_rooms(summary.rooms),
        forwards=_read_rooms(summary.forwards),
    )


@attrs.define(eq=False)
class Gossip:
    """Sends heartbeats and applies received ones.

    Attributes
    ----------
    host : GatewayHost
        This process, whose state is reported.
    port : int
        UDP port, the same on every host.
    seeds : tuple of str
        IP addresses of hosts to contact first. Addresses without a host do no harm.
    has_decisions : bool
        True once another host was heard that has no other decisions on what crashes
        endpoints than this one.
    """

    host: object
    port: int
    seeds: tuple
    has_decisions: bool = False
    _sock: object = None
    _sequence: int = 0
    _new_member_ips: list = attrs.field(factory=list)
    _answered_at: float = float("-inf")
    _answers_left: int = 0
    _next_receiver: int = 0
    _unresponsive: set = attrs.field(factory=set)
    _others_differ_until: float = float("-inf")
    _told_news_at: float = float("-inf")
    _told: dict = attrs.field(factory=dict)
    _demands: tuple = (None, None)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Send and receive heartbeats until cancelled."""
        # Datagrams are sent without waiting, so the socket is used directly.
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with contextlib.closing(self._sock):
            self._sock.setblocking(False)
            self._sock.bind((self.host.cfg.ip, self.port))
            task_status.started()
            await self._run_loops()

    async def _run_loops(self):
        run = self.host.supervisor.run
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, "receive_heartbeats", self._receive_loop)
            nursery.start_soon(run, "send_heartbeats", self._send_loop)
            nursery.start_soon(run, "maintain_members", self._maintenance_loop)

    async def _maintenance_loop(self):
        while True:
            await trio.sleep(_MAINTENANCE_INTERVAL_S)
            now = self.host.now()
            self._log_responsiveness(now)
            self._forget_told()
            for member in self.host.membership.remove_expired(now):
                self.host.rank_levels.forget(member.id.name)
                log_event(
                    "host_forgotten",
                    host=member.id.name,
                    silent_s=round(now - member.last_seen_at, 2),
                )

    def _log_responsiveness(self, now):
        """Log hosts that became unresponsive, and those that no longer are.

        The latter have recovered, announced their shutdown or been removed.
        """
        unresponsive = {m.id.name for m in self.host.membership.unresponsive(now)}
        for name in sorted(unresponsive - self._unresponsive):
            log_event("host_silent", host=name)
        for name in sorted(self._unresponsive - unresponsive):
            log_event("host_heard_again_or_gone", host=name)
        self._unresponsive = unresponsive

    async def _send_loop(self):
        next_remote_at = next_seeds_at = next_snapshot_at = self.host.now()
        startup_until = next_remote_at + STARTUP_S
        while True:
            now = self.host.now()
            is_starting = now < startup_until
            is_snapshot_due = now >= next_snapshot_at
            if is_snapshot_due:
                next_snapshot_at = now + CROSS_REGION_HEARTBEAT_S
                self.host.quotas.snapshot_demands(now)
            self.host.shed_average.update(self.host.loop.lag_s(now), now)
            self.host.quotas.update_shares(self.host.membership, now)
            update_allowances(self.host, now)
            self.host.update_rank_levels(now)
            self._send_region(now, with_regions=is_snapshot_due)
            if now >= next_remote_at:
                next_remote_at = now + (
                    0.0 if is_starting else CROSS_REGION_HEARTBEAT_S
                )
                self._send_totals(self._remote_receivers(), now)
            if now >= next_seeds_at:
                next_seeds_at = now + (
                    REGION_HEARTBEAT_S if is_starting else SEED_HEARTBEAT_S
                )
                self._send_totals(self._unknown_seeds(), now)
            await trio.sleep(REGION_HEARTBEAT_S)

    async def announce(self):
        """Send a heartbeat to all live hosts now, such as on shutdown."""
        now = self.host.now()
        members = self.host.membership.live(now)
        self._send_all(
            [m.id.ip for m in members], self.build_heartbeat(now, is_same_region=True)
        )

    def tell_news(self):
        """Send a heartbeat early, for news about what crashes endpoints."""
        now = self.host.now()
        if self._sock is None or now - self._told_news_at < _NEWS_INTERVAL_S:
            return
        self._told_news_at = now
        self._send_region(now)
        self._send_totals(self._remote_receivers(), now)

    def _send_region(self, now, with_regions=False):
        """Send heartbeats to the next receivers in the region."""
        membership = self.host.membership
        own_zone = membership.own_id.zone
        far_zones, near, far = {}, [], []
        for member in self._region_receivers():
            zone = member.id.zone
            if zone not in far_zones:
                far_zones[zone] = (
                    zone != own_zone
                    and membership.count_zone_hosts(zone) >= contents.MIN_ZONE_HOSTS
                )
            is_far = far_zones[zone] and member.reads_partial
            (far if is_far else near).append(member)
        region_hosts = 1 + membership.count_region_members()
        changed, others = self._split_members(now)
        count = contents.count_near_entries(
            membership.count_zone_hosts(own_zone), region_hosts
        )
        sample = self.host.rng.sample(others, min(count, len(others)))
        heartbeat = self.build_heartbeat(
            now,
            is_same_region=True,
            with_regions=with_regions,
            entries=changed + sample,
        )
        self._send_all([m.id.ip for m in near], heartbeat)
        if far:
            self._send_far(far, heartbeat, len(changed), region_hosts, now)

    def _send_far(self, members, heartbeat, changed_entries, region_hosts, now):
        """Send what a heartbeat tells hosts of other zones of the region."""
        interval_s = REGION_HEARTBEAT_S * count_rounds(region_hosts)
        chosen = []
        for member in members:
            told = self._told.get(member.id.incarnation)
            if told is None:
                told = self._told[member.id.incarnation] = contents.Told()
            content = contents.choose_content(told, interval_s, now)
            chosen.append(((member.id.ip, told), content))
        baseline = contents.make_baseline(heartbeat, now)
        for content, receivers in contents.group_receivers(chosen).items():
            reduced = contents.reduce_heartbeat(heartbeat, content, changed_entries)
            self._send_all([ip for ip, _ in receivers], reduced)
            is_whole = content in (contents.NAMED, contents.WHOLE)
            for _, told in receivers:
                told.record(content, baseline if is_whole else content)

    def _forget_told(self):
        """Forget what was sent to processes that are no longer members."""
        members = {m.id.incarnation for m in self.host.membership.region_members()}
        for incarnation in self._told.keys() - members:
            del self._told[incarnation]

    def _region_receivers(self):
        """Return the next receivers in the region, round robin."""
        members = self.host.membership.region_members()
        members.sort(key=lambda m: m.id.ip)
        if len(members) <= MAX_REGION_RECEIVERS:
            return members
        start = self._next_receiver % len(members)
        self._next_receiver += MAX_REGION_RECEIVERS
        return [
            members[(start + step) % len(members)]
            for step in range(MAX_REGION_RECEIVERS)
        ]

    def _remote_receivers(self):
        """Return the IP addresses of random hosts of each other region.

        Their number divides the heartbeats that these hosts should receive among all
        hosts of this region.
        """
        membership = self.host.membership
        sender_count = 1 + membership.count_region_members()
        receivers = []
        for members in membership.remote_members().values():
            count = -(-REMOTE_HEARTBEATS_PER_ROUND * len(members) // sender_count)
            receivers += self.host.rng.sample(
                members, min(MAX_REMOTE_RECEIVERS, len(members), count)
            )
        return [m.id.ip for m in receivers]

    def _unknown_seeds(self):
        """Return the IP addresses of seeds that are neither live nor this host."""
        known = {m.id.ip for m in self.host.membership.live(self.host.now())}
        return [ip for ip in self.seeds if ip not in known and ip != self.host.cfg.ip]

    def _send_totals(self, ips, now):
        """Send a heartbeat with the totals of this region, if there is a receiver."""
        if ips:
            self._send_all(ips, self.build_heartbeat(now, is_same_region=False))

    def _send_all(self, ips, heartbeat):
        if not ips:
            return
        data = encode_frame(Frame(beat=heartbeat))
        for ip in ips:
            try:
                self._sock.sendto(data, (ip, self.port))
            except OSError as exc:
                # Has the effect of a lost datagram: the next heartbeat replaces it.
                log_event("beat_not_sent", ip=ip, reason=repr(exc))

    def build_heartbeat(
        self,
        now,
        is_same_region,
        with_regions=False,
        max_entries=MAX_ENTRIES,
        is_first=False,
        entries=None,
    ):
        """Return this host's next heartbeat.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        is_same_region : bool
            True to include this host's demands and load, which hosts of its region
            need because they share its endpoints; False to include the totals of
            the region instead.
        with_regions : bool
            True to include the totals of other regions, if `is_same_region`, and what
            tells whether two hosts hold the same back.
        max_entries : int
            Maximum number of members to report besides new and leaving ones.
        is_first : bool
            True if the receivers may have started just now, and know nothing of what
            is held back.
        entries : list of Member or None
            Members to report instead of a selection.

        Returns
        -------
        Beat
        """
        host = self.host
        self._sequence += 1
        if entries is None:
            entries = self._select_entries(now, max_entries)
        demands = work = forwards = paces = ranks = None
        if is_same_region:
            demands = self._region_demands()
            local_load = list(host.placement.local_load().items())[:MAX_ENDPOINT_LOADS]
            work = [
                EndpointWork(
                    key,
                    in_flight,
                    min(_MAX_I32, tokens),
                    min(_MAX_I32, patient) or None,
                    min(_MAX_I32, held) or None,
                )
                for key, (in_flight, tokens, patient, held) in local_load
            ]
            paces = [
                EndpointPace(key, percent, _to_ms(age_s))
                for key, percent, age_s in host.placement.machine_pace.reports(now)
            ] or None
            ranks = _wire_ranks(host.rank_levels_in_force().reports(now))
            regions = host.membership.regions() if with_regions else []
            services = host.divided_services(now)
            forwards = _wire_rooms(host.allowances.wanted(services, now))
        else:
            regions = [self._own_totals(now)]
        source, lag_s = host.source_health, host.loop.lag_s(now)
        return Beat(
            sender=_member_entry(host.membership.own_id, host.is_leaving, 0.0),
            sequence=self._sequence,
            ready=host.is_ready(now),
            configuration_version=host.catalog.configuration.version
            if host.catalog.configuration
            else 0,
            revision=host.catalog.revision,
            members=[
                _member_entry(m.id, m.is_leaving, now - m.last_seen_at) for m in entries
            ],
            demands=demands,
            work=work,
            forwards=forwards,
            paces=paces,
            regions=[_wire_summary(totals, now) for totals in regions],
            source_age_ms=None
            if source.failing_since is not None or source.responded_at == float("-inf")
            else _to_ms(now - source.responded_at),
            source_failing=source.failing_since is not None,
            reopened=[
                ZoneReopening(zone, revision, _to_ms(now - reopened_at))
                for zone, revision, reopened_at in host.catalog.reopenings(now)
            ][:MAX_REOPENINGS]
            or None,
            lag_ms=_to_ms(lag_s) if lag_s > MIN_LAG_S else None,
            ranks=ranks,
            containment=build_news(
                host.containment,
                now < self._others_differ_until,
                now,
                is_first,
                with_hash=with_regions or not is_same_region,
            ),
            partial=False if is_same_region and self._has_zones() else None,
        )

    def _has_zones(self):
        """Return whether the region has other zones than this host's."""
        cfg = self.host.cfg
        return any(
            region == cfg.region and zone != cfg.zone
            for zone, region in cfg.zones.items()
        )

    def _region_demands(self):
        """Return this host's demands in their wire form, made once per snapshot."""
        demands = self.host.quotas.reported_demands()
        if self._demands[0] is not demands:
            self._demands = demands, _wire_demands(demands)
        return self._demands[1]

    def _select_entries(self, now, max_others):
        """Return the members to report: new and leaving ones, and random others.

        At most MAX_NEW_MEMBER_ENTRIES of the former and `max_others` of the latter.
        """
        changed, others = self._split_members(now)
        return changed + self.host.rng.sample(others, min(max_others, len(others)))

    def _split_members(self, now):
        """Return new and leaving members up to a limit, and all other live ones."""
        live = self.host.membership.live(now)
        new_since = now - _NEW_MEMBER_PERIOD_S
        changed = [m for m in live if m.is_leaving or m.first_seen_at > new_since]
        if not changed:
            return changed, live
        changed = changed[:MAX_NEW_MEMBER_ENTRIES]
        chosen = set(changed)
        others = [m for m in live if m not in chosen]
        return changed, others

    def _own_totals(self, now):
        """Return the totals of this host's region, for hosts of other regions."""
        host, membership = self.host, self.host.membership
        # A Counter, to which update() adds.
        demands = membership.region_demands()
        demands.update(host.quotas.reported_demands())
        return RegionTotals(
            region=host.cfg.region,
            hosts=1 + membership.count_region_members(),
            last_seen_at=membership.region_oldest_last_seen(now),
            reported_at=now,
            demands=demands,
            waits=host.waits(now),
            rooms=compute_rooms(host, now),
            forwards=region_wants(host, now),
        )

    async def _receive_loop(self):
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            steps = Steps(self.host.now)
            for data in self._receive_batch():
                await steps.pause()
                try:
                    heartbeat = decode(data).beat
                    if heartbeat is None:
                        continue
                    check_heartbeat(heartbeat)
                except LinkClosedError as exc:
                    log_event("beat_unreadable", reason=str(exc))
                    continue
                self.apply_heartbeat(heartbeat, self.host.now())
            self._answer_new_members(self.host.now())
            await trio.sleep(_RECEIVE_INTERVAL_S)

    def _receive_batch(self):
        """Return the datagrams that have arrived, up to a limit."""
        batch = []
        for _ in range(_MAX_BATCH):
            try:
                batch.append(self._sock.recv(_MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                break
            except OSError as exc:
                # The operating system reports here that an earlier datagram was not
                # delivered.
                log_event("beat_not_received", reason=repr(exc))
        return batch

    def _answer_new_members(self, now):
        """Send a heartbeat to new members at once, rather than with the next ones."""
        ips, self._new_member_ips = self._new_member_ips, []
        if now - self._answered_at >= REGION_HEARTBEAT_S:
            self._answered_at, self._answers_left = now, _MAX_ANSWERS
        ips = ips[: self._answers_left]
        if ips:
            self._answers_left -= len(ips)
            heartbeat = self.build_heartbeat(
                now,
                is_same_region=False,
                max_entries=MAX_NEW_MEMBER_ENTRIES,
                is_first=True,
            )
            self._send_all(ips, heartbeat)

    def apply_heartbeat(self, heartbeat, now):
        """Apply a received heartbeat.

        Parameters
        ----------
        heartbeat : Beat
            As received. A heartbeat that arrives late or twice still updates which
            hosts are alive; its other content is ignored.
        now : float
            Current time, in seconds.
        """
        host = self.host
        sender = self._sender_of(heartbeat)
        is_new = member = None
        if sender is not None:
            is_new = not host.membership.knows(sender)
            member = host.membership.record_host(
                sender, heartbeat.sender.leaving, 0.0, now
            )
        for entry in heartbeat.members:
            host.membership.record_host(
                self._id_of(entry), entry.leaving, entry.age_ms / 1000, now
            )
        if member is None or heartbeat.sequence <= member.sequence:
            return
        if is_new:
            log_event("host_met", host=sender.name, region=sender.region)
            # A report of an earlier process of the host, if there is one.
            host.rank_levels.forget(sender.name)
            self._new_member_ips.append(sender.ip)
        member.sequence = heartbeat.sequence
        member.reported_at = now
        host.membership.set_ready(member, heartbeat.ready)
        member.configuration_version = heartbeat.configuration_version
        member.revision = heartbeat.revision
        member.lag_s = (heartbeat.lag_ms or 0) / 1000
        member.shed_average.update(member.lag_s, now)
        # Heartbeats to other regions, seeds and new members omit demands and loads.
        if heartbeat.partial is not None:
            member.reads_partial = True
        if heartbeat.demands is not None:
            demands = {d.key: d.tokens_per_s for d in heartbeat.demands}
            if heartbeat.partial:
                demands = contents.merge_changes(member.demands, demands)
            member.demands = demands
        if heartbeat.work is not None:
            work = {
                w.key: (
                    w.in_flight,
                    w.prompt_tokens,
                    w.patient_tokens or 0,
                    w.held_tokens or 0,
                )
                for w in heartbeat.work
            }
            if heartbeat.partial:
                work = contents.merge_changes(member.work, work)
            member.work = work
            host.membership.record_load(member, work, now)
            if host.divided_services(now):
                wants = _read_rooms(heartbeat.forwards)
                host.membership.record_wants(member, wants, now)
        if heartbeat.paces and sender.region == host.cfg.region:
            paces = [(p.key, p.percent, p.age_ms / 1000) for p in heartbeat.paces]
            host.placement.machine_pace.apply_reports(paces, now)
        if heartbeat.ranks is not None and sender.region == host.cfg.region:
            host.rank_levels.apply_report(
                sender.name, _read_ranks(heartbeat.ranks), now
            )
        if heartbeat.source_age_ms is not None:
            member.source_responded_at = now - heartbeat.source_age_ms / 1000
        if heartbeat.source_failing and sender.region == host.cfg.region:
            member.source_responded_at = float("-inf")
            # Entries of live endpoints may expire meanwhile; this host keeps them.
            host.source_health.remote_failure_at = now
        for summary in heartbeat.regions or ():
            host.membership.record_region(_read_summary(summary, now))
        for zone in heartbeat.reopened or ():
            reopened_at = now - max(0, zone.age_ms) / 1000
            host.catalog.merge_reopening(zone.zone, zone.revision, reopened_at)
        self._apply_news(heartbeat, now)

    def _sender_of(self, heartbeat):
        """Return a heartbeat's sender; None if it is short and not a member."""
        if contents.is_short(heartbeat.sender):
            return self.host.membership.find_id(heartbeat.sender.incarnation)
        return self._id_of(heartbeat.sender)

    def _id_of(self, entry):
        """Return the identity in an entry, that of the member if it is one."""
        known = self.host.membership.find_id(entry.incarnation)
        is_known = known is not None and known.name == entry.host
        return known if is_known else _host_id(entry)

    def _apply_news(self, heartbeat, now):
        """Apply another host's news about what crashes endpoints.

        Without news, a heartbeat shows that its sender has no decisions only if it
        would tell their hash, as those with totals of regions do.
        """
        host, news = self.host, heartbeat.containment
        if news is None:
            self.has_decisions = self.has_decisions or bool(heartbeat.regions)
            return
        if apply_news(host.containment, news, now):
            self._others_differ_until = now + _DIFFERENCE_S
        else:
            self.has_decisions = True
        host.log_decisions(now)
