"""Which endpoint a request goes to, and when its answer would begin.

The load it answers: prompts that share long parts, engines whose reading of
prompts is the bottleneck, and several hosts that place work on the same
engines. The time to the first event is predicted from the prompt tokens that
all hosts of the region have queued at an engine and from the parts that it
holds already. The prediction is corrected by what first events really took.
"""

import math
import random

import attrs
import xxhash

from ..internal.endpoints import load_key
from .budgets import warmup_hosts
from .endpoint_view import FIRST_EVENT_GAP_S, EndpointView

# Prompt tokens that an engine reads per second; each endpoint's bias corrects it.
PACE_TOKENS_PER_S = 70_000.0
# Time to the first event of an empty prompt, until corrected by the bias.
FIRST_EVENT_S = 0.06
_ANSWER_SMOOTHING = 0.02
# A plain service's answer takes this long, until measured.
FIRST_SERVICE_S = 0.03
# What peers said of their work counts this long; they say it every 0.15 s.
_WORK_VALID_S = 0.8
# A process leaves cold endpoints alone until beats of its region have come.
COLD_AFTER_START_S = 1.0
# What a certain failure costs, in seconds of waiting.
_FAILURE_COST_S = 1.0
DEFAULT_KV_CACHE_TOKENS = 200_000.0
# Reading shared parts again delays the requests behind as well.
_REREAD_WEIGHT = 3.0
# Part of the shared prompt that the engine preferred by hash is taken to hold
# though this host has not sent it there yet: others may have.
_PREFERRED_HOLDS = 0.5
# Above its batch an engine makes requests wait for whole answers of others.
_FULL_COST_S = 1.0
# Hosts of a region hear of the same load late and would all choose the endpoint
# that looks best. Each looks at some by chance instead, where hosts are many:
# together at this many for each endpoint, and at no fewer than the least.
_LOOKS_PER_ENDPOINT = 3
_MIN_LOOKS = 5
# Reading a prompt delays every stream that runs beside it.
_DELAY_WEIGHT = 0.4
# What a stream is expected to end behind its deadline counts this much more.
_OVERTIME_WEIGHT = 1.0


@attrs.frozen(kw_only=True)
class Choice:
    """An endpoint with what was predicted for a request there.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint.
    view : EndpointView
        Its state.
    ttft_s : float
        Predicted time until the answer begins, in seconds.
    raw_s : float
        The same before the correction, in seconds.
    uncached_tokens : int
        Prompt tokens that it would have to read.
    total_s : float
        Predicted time until the answer is whole, in seconds.
    work_s : float
        Time that reading the prompt takes, in seconds.
    gap_s : float
        Time between events of the streams there, in seconds.
    delay_s : float
        Time by which the prompt delays the streams there, added up, in seconds.
    warmup_rate_per_s : float
        Requests per second that it tolerates now; 0 if it is not cold.
    sharing_hosts : int
        Hosts that share that pace.
    failure_cost_s : float
        Expected cost of its failing or rejecting the request, in seconds of
        waiting.
    """

    endpoint: object
    view: EndpointView
    ttft_s: float
    raw_s: float
    uncached_tokens: int
    total_s: float
    work_s: float = 0.0
    gap_s: float = FIRST_EVENT_GAP_S
    delay_s: float = 0.0
    warmup_rate_per_s: float = 0.0
    sharing_hosts: int = 1
    failure_cost_s: float = 0.0


@attrs.define(eq=False)
class Placement:
    """Places requests on the endpoints of the own region.

    Attributes
    ----------
    region, host_name : str
        Where this host is, and its name.
    started_at : float
        When the process started, in seconds.
    rng : random.Random
        Source of random choices.
    """

    region: str
    host_name: str
    started_at: float = float("-inf")
    rng: random.Random = attrs.field(factory=random.Random)
    _views: dict = attrs.field(factory=dict)
    _answer_s: dict = attrs.field(factory=dict)
    _started: dict = attrs.field(factory=dict)

    def view(self, name):
        """Return the view of an endpoint, made on first use."""
        if name not in self._views:
            self._views[name] = EndpointView(name)
        return self._views[name]

    def keep_only(self, names):
        """Drop views of endpoints that are not listed any more."""
        for name in set(self._views) - names:
            if self._views[name].in_flight == 0:
                del self._views[name]
                self._started.pop(name, None)

    def update_endpoint(self, endpoint):
        """Take over an entry; a new start means that nothing is held."""
        started = self._started.get(endpoint.name)
        self._started[endpoint.name] = endpoint.started_ms
        if started is not None and started != endpoint.started_ms:
            self.view(endpoint.name).clear_segments()

    def count_unreachable(self, now):
        """Return how many endpoints get nothing since they were unreachable."""
        return sum(now < v.down_until for v in self._views.values())

    def local_load(self):
        """Return this host's requests and prompt tokens, by endpoint key."""
        return {
            load_key(v.name): (v.in_flight, v.prompt_tokens)
            for v in self._views.values()
            if v.in_flight
        }

    def eligible_endpoints(self, catalog, service, now, removal_grace_s=0.0):
        """Return the listed endpoints of the region that may get requests.

        Parameters
        ----------
        catalog : Catalog
            What is in force.
        service : str
            The service.
        now : float
            Present time, in seconds.
        removal_grace_s : float
            How long a removed entry still counts, in seconds.
        """
        found = []
        for listed in catalog.listed_for(service):
            endpoint = listed.endpoint
            if endpoint.region != self.region or not endpoint.live:
                continue
            if catalog.is_evacuated(endpoint.zone):
                continue
            removed_at = listed.removed_at
            if removed_at is not None and now - removed_at >= removal_grace_s:
                continue
            if self.view(endpoint.name).misdirected_revision == listed.revision:
                continue
            found.append(listed)
        return found

    def choose(self, req, service, listed, membership, now, tried=()):
        """Choose an endpoint.

        Parameters
        ----------
        req : Request
            The request.
        service : Service
            What the endpoints allow.
        listed : list of ListedEndpoint
            The endpoints that may get requests.
        membership : Membership
            The other hosts and their work.
        now : float
            Present time, in seconds.
        tried : collection of str
            Endpoints to leave out.

        Returns
        -------
        Choice or None
        """
        near = membership.serving(now, self.region)
        sharers = self._sharers(membership)
        preferred = _preferred(req, listed)
        best, best_score = None, float("inf")
        able = [
            entry
            for entry in listed
            if entry.endpoint.name not in tried
            and now >= self.view(entry.endpoint.name).down_until
        ]
        for entry in self._looked_at(req, able, preferred, 1 + len(near)):
            endpoint = entry.endpoint
            view = self.view(endpoint.name)
            warmup_rate_per_s, sharing_hosts = self._cold(entry, service, sharers, now)
            if warmup_rate_per_s and (
                not sharing_hosts or not view.pacer.may_send(now)
            ):
                continue
            choice = self._predict(
                req, service, endpoint, view, near, endpoint.name == preferred, now
            )
            choice = attrs.evolve(
                choice,
                warmup_rate_per_s=warmup_rate_per_s,
                sharing_hosts=max(1, sharing_hosts),
            )
            score = (
                choice.ttft_s
                + choice.failure_cost_s
                + _REREAD_WEIGHT * choice.uncached_tokens / PACE_TOKENS_PER_S
                + _DELAY_WEIGHT * choice.delay_s
                + _OVERTIME_WEIGHT * max(0.0, now + choice.total_s - req.deadline)
            )
            if score < best_score:
                best, best_score = choice, score
        return best

    def _looked_at(self, req, able, preferred, hosts):
        """Return the endpoints to choose among: some by chance, and caches."""
        looks = max(_MIN_LOOKS, math.ceil(_LOOKS_PER_ENDPOINT * len(able) / hosts))
        if looks >= len(able):
            return able
        chosen = self.rng.sample(able, looks)
        shared = req.prompt_segments[-2][0] if len(req.prompt_segments) > 1 else None
        for entry in able:
            name = entry.endpoint.name
            may_hold = name == preferred or self.view(name).holds(shared)
            if may_hold and entry not in chosen:
                chosen.append(entry)
        return chosen

    def _sharers(self, membership):
        """Return the hosts that may use the region's endpoints.

        Silent ones count: a host that is cut off goes on using them. So do hosts
        that leave, which serve what they have and what still arrives.
        """
        return [self.host_name] + [m.id.name for m in membership.region_members()]

    def _cold(self, entry, service, sharers, now):
        """Return the pace of a cold endpoint, 0 if warm, and how many share it.

        Nobody shares it with a process that has yet to hear who else does.
        """
        is_cold = now < entry.learned_at + entry.endpoint.warmup_left_s
        if not is_cold or service.warmup_rate_per_s <= 0:
            return 0.0, 1
        if now - self.started_at < COLD_AFTER_START_S:
            return service.warmup_rate_per_s, 0
        sharing_hosts = warmup_hosts(entry.endpoint.name, sharers)
        return service.warmup_rate_per_s, len(
            sharing_hosts
        ) if self.host_name in sharing_hosts else 0

    def _work_at(self, view, near, now):
        """Return requests and unread prompt tokens of all hosts there."""
        in_flight, tokens = view.in_flight, view.prompt_tokens
        key = load_key(view.name)
        for member in near:
            if now - member.reported_at <= _WORK_VALID_S:
                theirs = member.work.get(key, (0, 0))
                in_flight += theirs[0]
                tokens += theirs[1]
        return in_flight, tokens

    def _predict(self, req, service, endpoint, view, near, is_preferred, now):
        in_flight, queued = self._work_at(view, near, now)
        if service.is_engine:
            unread = uncached_tokens(req, view, is_preferred)
            events = req.output_tokens / service.tokens_per_event
            rest_s = events * view.event_gap_s(now)
            delay_s = in_flight * unread / PACE_TOKENS_PER_S
            raw_s = FIRST_EVENT_S + (queued + unread) / PACE_TOKENS_PER_S
        else:
            unread, rest_s, delay_s = 0, 0.0, 0.0
            raw_s = self._service_answer_s(service, endpoint, in_flight)
        ttft_s = raw_s * view.bias(now)
        if in_flight >= endpoint.capacity and service.is_engine:
            ttft_s += _FULL_COST_S
        return Choice(
            endpoint=endpoint,
            view=view,
            ttft_s=ttft_s,
            raw_s=raw_s,
            uncached_tokens=unread,
            total_s=ttft_s + rest_s,
            gap_s=view.event_gap_s(now),
            work_s=unread / PACE_TOKENS_PER_S,
            delay_s=delay_s,
            failure_cost_s=_FAILURE_COST_S * view.failure_rate(now),
        )

    def record_response_start(self, choice, service, took_s, now):
        """Take over how long an answer took to begin."""
        choice.view.record_result(False, now)
        choice.view.note_first_event(choice.raw_s, took_s, now)
        if not service.is_engine:
            # Without the queue that was expected: else a queue would count twice.
            before = self._answer_s.get(service.name, FIRST_SERVICE_S)
            sample = took_s * before / choice.raw_s
            self._answer_s[service.name] = before + _ANSWER_SMOOTHING * (
                sample - before
            )

    def _service_answer_s(self, service, endpoint, in_flight):
        """Predict a plain service's answer: requests wait beyond its slots."""
        waiting = max(0, in_flight + 1 - endpoint.capacity)
        alone_s = self._answer_s.get(service.name, FIRST_SERVICE_S)
        return alone_s * (1.0 + waiting / endpoint.capacity)

    def shortest_wait_s(self, catalog, service, membership, now):
        """Return the shortest wait for a new request in this region, or None.

        Parameters
        ----------
        catalog : Catalog
            What is in force.
        service : Service
            For which service.
        membership : Membership
            The other hosts and their work.
        now : float
            Present time, in seconds.

        Returns
        -------
        float or None
            Seconds; None if no endpoint may get requests.
        """
        near = membership.serving(now, self.region)
        sharers = self._sharers(membership)
        waits = []
        for entry in self.eligible_endpoints(catalog, service.name, now):
            view = self.view(entry.endpoint.name)
            if now < view.down_until or self._cold(entry, service, sharers, now)[0]:
                continue
            in_flight, queued = self._work_at(view, near, now)
            shortest_wait_s = FIRST_EVENT_S + queued / PACE_TOKENS_PER_S
            if not service.is_engine:
                shortest_wait_s = self._service_answer_s(
                    service, entry.endpoint, in_flight
                )
            elif in_flight >= entry.endpoint.capacity:
                shortest_wait_s += _FULL_COST_S
            waits.append(shortest_wait_s * view.bias(now))
        return min(waits, default=None)


def uncached_tokens(req, view, is_preferred):
    """Estimate the prompt tokens that an endpoint would have to read.

    A part is held only if all parts before it are. The last part belongs to
    the request or its session.
    """
    parts = req.prompt_segments or ((("", req.prompt_tokens),))
    unread, is_held = 0, True
    for at, (part, tokens) in enumerate(parts):
        is_held = is_held and view.holds(part)
        if is_held:
            continue
        is_shared = at < len(parts) - 1
        holds_some = is_shared and is_preferred
        unread += int(tokens * (1 - _PREFERRED_HOLDS)) if holds_some else tokens
    return unread


def _preferred(req, listed):
    """Return the endpoint that all hosts prefer for a prompt's shared parts."""
    if len(req.prompt_segments) < 2:
        return None
    shared = req.prompt_segments[-2][0]
    names = [entry.endpoint.name for entry in listed]
    return max(
        names,
        key=lambda n: xxhash.xxh64_intdigest(f"{shared}/{n}".encode()),
        default=None,
    )
