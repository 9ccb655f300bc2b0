"""Replay of machines that are slowed in turn, before the hosts of one region.

Placement, membership and the paces are those of the program; machines and requests are
modelled. A machine is slowed by a factor of 2.5 for 0.6 s of each 4.2 s, one after the
other, so that a seventh of them is slow at a time.
"""

import heapq
import itertools
import random

import attrs

from cactusmill.internal.request import Request
from cactusmill.records import Endpoint, Route, Service
from cactusmill.serving.catalog import Catalog, EndpointChange
from cactusmill.serving.heartbeats import MAX_REGION_RECEIVERS, REGION_HEARTBEAT_S
from cactusmill.serving.membership import HostId, Membership
from cactusmill.serving.placement import Placement

SLOWED, SLOWED_S, PERIOD_S = 2.5, 0.6, 4.2
# Heartbeats wait up to this long in the receiver's socket.
_MAX_TRANSIT_S = 0.021
# Mean work of a plain request: slowed, it takes nearly all of its objective.
_WORK_S = 0.16
_STEP_S = 0.00523
_PREFILL_TOKENS_PER_S = 38_400.0


@attrs.frozen
class Kind:
    """A kind of request, as the requirements describe it."""

    weight: float
    objective_s: float
    tokens: int
    events: int


@attrs.frozen
class Region:
    """Endpoints of one service, and what is asked of them.

    Attributes
    ----------
    service : Service
        The service.
    machines : int
        Number of its endpoints, each on a machine of its own.
    capacity : int
        Requests that an endpoint runs at once.
    requests_per_s : float
        Requests of the region.
    kinds : tuple of Kind
        Kinds of requests.
    """

    service: Service
    machines: int
    capacity: int
    requests_per_s: float
    kinds: tuple


# A region at 2.5 times its mean load.
PLAIN = Region(Service(name="desk"), 2, 12, 64.0, (Kind(1, 0.44, 0, 0),))
# A region at twice its mean load. The objectives are what is left of them where a
# request has waited or was forwarded.
ENGINES = Region(
    Service(
        name="engines", is_engine=True, kv_cache_tokens=222_845, tokens_per_event=7
    ),
    15,
    24,
    140.0,
    (Kind(82.3, 0.35, 4200, 9), Kind(137, 0.35, 700, 49)),
)


@attrs.define(eq=False)
class Machine:
    """An endpoint on a machine that is slowed at times.

    Attributes
    ----------
    phase_s : float
        When it is first slowed, in seconds.
    says : callable or None
        Returns the pace that it reports from the true one; None if it reports none.
    is_slowed : bool
        Whether it is slowed in turn.
    """

    phase_s: float
    says: object
    is_slowed: bool = True
    prefilled_at: float = 0.0
    slots: list = attrs.field(factory=list)

    def pace(self, now):
        """Return how long work takes now."""
        in_turn = (now - self.phase_s) % PERIOD_S < SLOWED_S
        return SLOWED if in_turn and self.is_slowed else 1.0

    def finish(self, start, work_s):
        """Return when work that begins at `start` ends, in seconds."""
        while work_s > 1e-9:
            position = (start - self.phase_s) % PERIOD_S
            until = SLOWED_S if position < SLOWED_S else PERIOD_S
            part_s = max(1e-6, until - position)
            pace = self.pace(start)
            if work_s * pace <= part_s:
                return start + work_s * pace
            work_s -= part_s / pace
            start += part_s
        return start


@attrs.define(eq=False)
class Replay:
    """One run.

    Attributes
    ----------
    region : Region
        The region.
    hosts : int
        Number of its hosts.
    is_known : bool
        Whether the hosts read the fourth value of the header.
    seed : int
        Seed of all random draws.
    duration_s : float
        Length of the run, in seconds.
    says : callable
        What the machines report, from their true pace.
    loses : float
        Part of the heartbeats that are lost.
    is_slowed : bool
        Whether machines are slowed.
    """

    region: Region
    hosts: int
    is_known: bool = True
    seed: int = 1
    duration_s: float = 10.0
    says: object = float
    loses: float = 0.0
    is_slowed: bool = True
    sent: int = 0
    on_time: int = 0
    sent_to: list = attrs.field(factory=list)
    rng: random.Random = attrs.field(init=False)
    machines: dict = attrs.field(init=False)
    catalog: Catalog = attrs.field(init=False)
    placements: list = attrs.field(factory=list)
    memberships: list = attrs.field(factory=list)
    _now: float = 0.0
    _events: list = attrs.field(factory=list)
    _count: object = attrs.field(factory=itertools.count)

    def run(self):
        """Run it; return the part of the requests that was on time."""
        self.rng = random.Random(self.seed)
        names = [f"m{n}" for n in range(self.region.machines)]
        self.machines = {
            name: Machine(n * PERIOD_S / len(names), self.says, self.is_slowed)
            for n, name in enumerate(names)
        }
        self.catalog = self._catalog(names)
        for number in range(self.hosts):
            rng = random.Random(self.seed * 1000 + number)
            self.placements.append(Placement("east", f"h{number}", rng=rng))
            self.memberships.append(Membership(_host_id(number)))
        for membership in self.memberships:
            for other in range(self.hosts):
                membership.record_host(_host_id(other), False, 0.0, 0.0)
        for number in range(self.hosts):
            at = self.rng.random() * REGION_HEARTBEAT_S
            self._schedule(at, self._send_heartbeats, number, 0)
        self._schedule(0.5, self._arrive)
        while self._events:
            self._now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.on_time / self.sent

    def _catalog(self, names):
        catalog = Catalog()
        for revision, name in enumerate(names, 1):
            endpoint = Endpoint(
                name=name,
                zone="east-a",
                region="east",
                address="127.0.0.1:1",
                serves=(self.region.service.name,),
                capacity=self.region.capacity,
            )
            change = EndpointChange(revision=revision, name=name, endpoint=endpoint)
            catalog.apply(change, 0.0)
        return catalog

    def _schedule(self, at, action, *args):
        heapq.heappush(self._events, (at, next(self._count), action, args))

    def _send_heartbeats(self, number, round_number):
        now = self._now
        if now > self.duration_s:
            return
        self._schedule(
            now + REGION_HEARTBEAT_S, self._send_heartbeats, number, round_number + 1
        )
        placement = self.placements[number]
        load = placement.local_load()
        paces = [
            (key, percent, int(age_s * 1000) / 1000)
            for key, percent, age_s in placement.machine_pace.reports(now)
        ]
        others = self.hosts - 1
        for step in range(min(MAX_REGION_RECEIVERS, others)):
            position = (round_number * MAX_REGION_RECEIVERS + step) % others
            receiver = (number + 1 + position) % self.hosts
            if self.rng.random() >= self.loses:
                transit_s = 0.001 + self.rng.random() * (_MAX_TRANSIT_S - 0.001)
                self._schedule(
                    now + transit_s, self._receive, receiver, number, load, paces
                )

    def _receive(self, receiver, sender, load, paces):
        membership = self.memberships[receiver]
        member = membership.record_host(_host_id(sender), False, 0.0, self._now)
        membership.record_load(member, load, self._now)
        self.placements[receiver].machine_pace.apply_reports(paces, self._now)

    def _arrive(self):
        now = self._now
        if now > self.duration_s:
            return
        rate = self.region.requests_per_s
        self._schedule(now + self.rng.expovariate(rate), self._arrive)
        kinds = self.region.kinds
        kind = self.rng.choices(kinds, [k.weight for k in kinds])[0]
        number = self.rng.randrange(self.hosts)
        placement, service = self.placements[number], self.region.service
        listed = placement.eligible_endpoints(self.catalog, service.name, now)
        choice = placement.choose(
            _request(kind, service, now),
            service,
            listed,
            self.memberships[number],
            now,
        )
        choice.view.in_flight += 1
        choice.view.prompt_tokens += choice.uncached_tokens
        name = choice.endpoint.name
        self.sent_to.append((now, name))
        begins_at, ends_at = self._serve(self.machines[name], kind, now)
        self.sent += 1
        self.on_time += begins_at - now <= kind.objective_s
        self._schedule(begins_at, self._begin, number, choice, now)
        self._schedule(ends_at, self._end, choice)

    def _serve(self, machine, kind, now):
        """Return when the response to a request begins and ends."""
        if self.region.service.is_engine:
            work_s = kind.tokens / _PREFILL_TOKENS_PER_S
            start = max(now, machine.prefilled_at)
            machine.prefilled_at = machine.finish(start, work_s)
            begins_at = machine.finish(machine.prefilled_at, 2 * _STEP_S)
            stream_s = kind.events * self.region.service.tokens_per_event * _STEP_S
            return begins_at, machine.finish(begins_at, stream_s)
        start = now
        if len(machine.slots) >= self.region.capacity:
            start = max(now, heapq.heappop(machine.slots))
        work_s = _WORK_S * self.rng.lognormvariate(-0.045, 0.3)
        ends_at = machine.finish(start, work_s)
        heapq.heappush(machine.slots, ends_at)
        return ends_at, ends_at

    def _begin(self, number, choice, sent_at):
        now, placement = self._now, self.placements[number]
        choice.view.prompt_tokens -= choice.uncached_tokens
        machine = self.machines[choice.endpoint.name]
        if self.is_known:
            pace = machine.says(machine.pace(now))
            placement.machine_pace.record(choice.view.load_key, pace, now)
        placement.record_response_start(choice, self.region.service, now - sent_at, now)

    def _end(self, choice):
        choice.view.in_flight -= 1

    def max_share(self, window_s=REGION_HEARTBEAT_S):
        """Return the most requests that one endpoint got within a time."""
        by_name = {}
        for at, name in self.sent_to:
            by_name.setdefault(name, []).append(at)
        most = 0
        for times in by_name.values():
            first = 0
            for last, at in enumerate(times):
                while at - times[first] > window_s:
                    first += 1
                most = max(most, last - first + 1)
        return most


def _host_id(number):
    return HostId(
        name=f"h{number}",
        ip="127.0.0.1",
        zone="east-a",
        region="east",
        incarnation="1",
    )


def _request(kind, service, now):
    route = Route(name="r", prefix="/", kind="model", is_stream=service.is_engine)
    return Request(
        request_id="r",
        route=route,
        team=None,
        records_version=1,
        method="POST",
        target="/",
        headers=[],
        body=b"",
        deadline=now + 5.0,
        service=service.name,
        prompt_tokens=kind.tokens,
        output_tokens=kind.events * service.tokens_per_event,
        prompt_segments=(),
        is_stream=service.is_engine,
    )
