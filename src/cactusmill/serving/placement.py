"""Endpoint selection within a region, with predicted response times.

Used by :mod:`.dispatch` for each attempt of a request, and by :mod:`.gossip`, which
reports the region's shortest wait of each service. Endpoints are inference engines,
which generate text from prompts, or instances of plain services (all others).

Prompts share long prefixes, prefill (the processing of a prompt before the first
token) is the bottleneck of the engines, and several hosts send requests to the same
engines. The time to first token is therefore predicted from the prompt tokens that
all hosts of the region have sent to an engine and that are not prefilled yet, and
from the prompt segments in its prefix cache. The prediction is multiplied by two
correction factors that follow the measured times: the pace of the service and the bias
of the endpoint. A third factor is the pace of its machine, if the endpoint reports it.

A prompt is divided into segments, such as a system prompt, a document and the
question. Each has an identifier and a number of tokens.

All times are seconds of the process's monotonic clock, unless a name ends in ``_ms``.
"""

import math
import random

import attrs
import xxhash

from ..internal.request import request_priority
from .budgets import warmup_hosts
from .endpoint_notices import EndpointNotices
from .endpoint_view import DEFAULT_EVENT_GAP_S, EndpointView
from .heartbeats import REGION_HEARTBEAT_S, count_rounds
from .scheduling.engine_room import (
    EngineRoom,
    full_batch_cost_s,
    has_memory,
    max_held_tokens,
    tokens_ahead,
)
from .scheduling.machine_pace import MAX_AGE_S, MachinePace
from .service_pace import ServicePace

# Prefill rate of an engine at the start. The measured pace of the service and the bias
# of each endpoint correct the predictions.
PREFILL_TOKENS_PER_S = 70_000.0
# Time to first token of an empty prompt, before the correction by the bias.
BASE_TTFT_S = 0.06
# Weight of a new sample in the moving average of a plain service's response time.
_RESPONSE_SMOOTHING = 0.02
# Response time of a plain service until one has been measured.
DEFAULT_RESPONSE_S = 0.03
# Maximum age of another host's load report: three rounds of heartbeats, in which an
# endpoint processes about one objective's worth of prompts.
_LOAD_REPORT_VALID_S = 3.1 * REGION_HEARTBEAT_S
# For this long after its start a process sends nothing to warming endpoints, which
# accept only a limited rate of requests: until heartbeats of its region have arrived,
# it does not know which hosts share that rate.
WARMUP_HOLDOFF_S = 1.0
# Cost of a request that fails with probability 1, as an equivalent wait.
_FAILURE_COST_S = 1.0
# Size of an engine's KV cache if the configuration of its service gives none.
DEFAULT_KV_CACHE_TOKENS = 200_000.0
# Weight of the prefill time of uncached tokens, in addition to its part in the time
# to first token: a repeated prefill of shared segments also delays the requests
# queued behind it.
_UNCACHED_WEIGHT = 3.0
# Fraction of a shared segment that the engine preferred by hash (`_preferred`) is
# assumed to have cached if this host has not sent it there: other hosts may have.
_PREFERRED_CACHED_FRACTION = 0.5
# Added if an engine has as many requests as its batch holds (its capacity): it starts
# another only after one of them ends.
_FULL_BATCH_COST_S = 1.0
# Hosts of a region see each other's load with a delay. If each compared all
# endpoints, all would choose the same one (herding). Each compares a random sample
# instead, so that an endpoint is on average in the samples of this many hosts.
_CANDIDATES_PER_ENDPOINT = 3
# Minimum sample size if every host reports its load in every round of heartbeats.
_MIN_CANDIDATES = 5
# Minimum sample size if reports are rarer, and the sample is reduced as they are.
_MIN_STALE_CANDIDATES = 2
# Weight of the delay that a prefill causes to the responses that the engine streams
# at the same time.
_STREAM_DELAY_WEIGHT = 0.4
# Weight of the time by which a response is expected to miss its deadline.
_LATENESS_WEIGHT = 1.0


@attrs.frozen(kw_only=True)
class Choice:
    """An endpoint and the predictions for a request that would be sent to it.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint.
    view : EndpointView
        What this host observed of the endpoint.
    ttft_s : float
        Predicted time to first token, in seconds, including the cost of a full
        batch; for a plain service the time to its response.
    uncorrected_ttft_s : float
        Predicted time to first token before the corrections by pace and bias and
        without the cost of a full batch, in seconds.
    uncached_tokens : int
        Estimated prompt tokens that are not in the endpoint's prefix cache.
    total_s : float
        Predicted time from sending until the response is complete, in seconds.
    prefill_s : float
        Predicted duration of the prefill, in seconds; 0 for a plain service.
    event_gap_s : float
        Mean time between consecutive events of a stream of the endpoint, in seconds.
    stream_delay_s : float
        Sum of the delays that the prefill causes to the endpoint's other streams,
        in seconds.
    warmup_rate_per_s : float
        Requests per second that the endpoint accepts from all hosts while it warms
        up; 0 if it is warm.
    sharing_hosts : int
        Number of hosts that share the warm-up rate, at least 1.
    entry : ListedEndpoint
        The endpoint's entry in the catalog.
    failure_cost_s : float
        Expected cost of a failure or rejection (the endpoint's failure rate times
        the cost of a failure), as an equivalent wait in seconds.
    priority : int
        Priority of the request at the endpoint.
    machine_pace : float
        Pace of the endpoint's machine that the predictions use; 1 if not reported.
    machine_pace_age_s : float or None
        Age of the report behind it, in seconds; None without one.
    need : EngineNeed or None
        What the request needs of an engine; None if the service is not ranked.
    """

    endpoint: object
    view: EndpointView
    ttft_s: float
    uncorrected_ttft_s: float
    uncached_tokens: int
    total_s: float
    prefill_s: float = 0.0
    event_gap_s: float = DEFAULT_EVENT_GAP_S
    stream_delay_s: float = 0.0
    warmup_rate_per_s: float = 0.0
    sharing_hosts: int = 1
    entry: object = None
    failure_cost_s: float = 0.0
    priority: int = 0
    machine_pace: float = 1.0
    machine_pace_age_s: float | None = None
    need: object = None

    def record_sent(self, now):
        """Count a request that is sent to the endpoint towards its warm-up rate."""
        if self.warmup_rate_per_s:
            self.view.pacer.record_sent(self.warmup_rate_per_s, self.sharing_hosts, now)
        else:
            self.view.pacer.record_unpaced(now)


@attrs.define(eq=False)
class Placement:
    """Selects endpoints of the local region for requests.

    Attributes
    ----------
    region, host_name : str
        Region and name of this host.
    started_at : float
        When the host began to run, in seconds.
    rng : random.Random
        Source of the random samples.
    notices : EndpointNotices
        What endpoints said of themselves in responses.
    machine_pace : MachinePace
        What they said of the pace of their machines.
    """

    region: str
    host_name: str
    started_at: float = float("-inf")
    rng: random.Random = attrs.field(factory=random.Random)
    notices: EndpointNotices = attrs.field(init=False)
    machine_pace: MachinePace = attrs.field(factory=MachinePace)
    _views: dict = attrs.field(factory=dict)
    _response_s: dict = attrs.field(factory=dict)
    _paces: dict = attrs.field(factory=dict)
    _endpoint_started_ms: dict = attrs.field(factory=dict)
    _paced_at: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        """Create the component that shares the source of randomness."""
        self.notices = EndpointNotices(self.rng)

    def view(self, name):
        """Return what this host observed of an endpoint, created on first use."""
        if name not in self._views:
            self._views[name] = EndpointView(name)
        return self._views[name]

    def is_paced(self, service_name, now):
        """Return whether endpoints of a service have lately reported a pace."""
        return now - self._paced_at.get(service_name, float("-inf")) < MAX_AGE_S

    def keep_only(self, names):
        """Drop the views of endpoints not in a set or view of names.

        Views of endpoints with requests in flight are kept.
        """
        for name in self._views.keys() - names:
            if self._views[name].in_flight == 0:
                self.machine_pace.forget(self._views.pop(name).load_key)
                self._endpoint_started_ms.pop(name, None)

    def record_unreachable(self, entry, is_refused, now):
        """Avoid an endpoint for a while after a failed connection.

        Parameters
        ----------
        entry : ListedEndpoint
            The endpoint's entry.
        is_refused : bool
            True if nothing accepts connections at its address, so that it has ended
            and may start again. Other failures may be those of the network.
        now : float
            Current time, in seconds.
        """
        self.view(entry.endpoint.name).record_unreachable(now)
        if is_refused:
            entry.refused_at = now

    def record_connected(self, entry, now):
        """Record a new connection to an endpoint, which may have restarted before."""
        is_first = self.view(entry.endpoint.name).was_unreachable
        if is_first and entry.refused_at > float("-inf"):
            entry.refused_at = now

    def update_endpoint(self, endpoint):
        """Clear what is assumed in the memory of an endpoint with a new start time.

        A restarted endpoint has an empty prefix cache, runs none of the requests that
        were sent before, and may be on another machine.
        """
        started = self._endpoint_started_ms.get(endpoint.name)
        self._endpoint_started_ms[endpoint.name] = endpoint.started_ms
        if started is not None and started != endpoint.started_ms:
            view = self.view(endpoint.name)
            view.clear_segments()
            view.room = EngineRoom()
            self.machine_pace.forget(view.load_key)

    def record_pace(self, endpoint, metadata, now):
        """Record the pace that the head of an endpoint's response reports, if any.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint, as in the entry by which the request was sent.
        metadata : ResponseMetadata
            Of the response. The pace of another endpoint at its address, or of an
            earlier life of it, is ignored.
        now : float
            Current time, in seconds.
        """
        self.machine_pace.malformed_reports += metadata.is_load_malformed
        started_ms = self._endpoint_started_ms.get(endpoint.name, endpoint.started_ms)
        is_other = metadata.is_misdirected or endpoint.started_ms < started_ms
        if metadata.pace is not None and not is_other:
            key = self.view(endpoint.name).load_key
            self.machine_pace.record(key, metadata.pace, now)
            for service_name in endpoint.serves:
                self.record_paced(service_name, now)

    def record_paced(self, service_name, now):
        """Record that an endpoint of a service has reported a pace."""
        self._paced_at[service_name] = now

    def count_unreachable(self, now):
        """Return the number of endpoints in backoff after a failed connection."""
        return sum(now < v.backoff_until for v in self._views.values())

    def local_load(self):
        """Return this host's load at each endpoint, to be sent in heartbeats.

        Returns
        -------
        dict of int to (int, int, int, int)
            Requests in flight, and the uncached prompt tokens of those whose
            response has not begun, by `load_key` of the endpoint; then the part of
            these tokens that is of patient requests, and the tokens of KV cache that
            the requests hold, both 0 if the service is not ranked.
        """
        return {
            v.load_key: (
                v.in_flight,
                v.prompt_tokens,
                v.room.patient_tokens,
                v.room.held_tokens,
            )
            for v in self._views.values()
            if v.in_flight
        }

    def eligible_endpoints(self, catalog, service, now, removal_grace_s=0.0):
        """Return the listed endpoints of the region that may receive requests.

        An endpoint is left out if its entry is not live, its zone is evacuated, the
        entry was removed longer ago than the grace period, another endpoint responded
        at the address in this revision of the entry, or it said in a response that it
        is leaving or wants no requests now.

        Parameters
        ----------
        catalog : Catalog
            Configuration and endpoints in force.
        service : str
            Name of the service.
        now : float
            Current time, in seconds.
        removal_grace_s : float
            How long a removed entry remains usable, in seconds. Entries of live
            endpoints may expire while the source of entries is unavailable.

        Returns
        -------
        list of ListedEndpoint
        """
        found = self._listed_endpoints(catalog, service, now, removal_grace_s)
        if not self.notices.has_any():
            return found
        return [entry for entry in found if self.may_send(entry.endpoint, now)]

    def may_send(self, endpoint, now):
        """Return whether what an endpoint said in responses permits a request now."""
        in_flight = self.view(endpoint.name).in_flight
        return self.notices.may_send(endpoint, in_flight, now)

    def explain_left_out(self, catalog, service, now):
        """Return why endpoints are left out for what they said, by name, for the log.

        Returns
        -------
        dict of str to str or None
            None if none of the region's endpoints of the service is.
        """
        if not self.notices.has_any():
            return None
        reasons = {
            listed.endpoint.name: self.notices.explain(listed.endpoint, now)
            for listed in self._listed_endpoints(catalog, service, now, 0.0)
        }
        return {name: why for name, why in reasons.items() if why} or None

    def pause_left_s(self, catalog, service, now, removal_grace_s=0.0):
        """Return the time until an endpoint that wants no requests takes them again.

        Parameters are those of :meth:`eligible_endpoints`.

        Returns
        -------
        float or None
            Seconds until the first of the region's endpoints does. None if they are
            not all left out for what they said, or all are leaving.
        """
        left_s = [
            self.notices.pause_left_s(listed.endpoint, now)
            for listed in self._listed_endpoints(catalog, service, now, removal_grace_s)
        ]
        shortest_s = min(left_s, default=0.0)
        return shortest_s if 0.0 < shortest_s < float("inf") else None

    def _listed_endpoints(self, catalog, service, now, removal_grace_s):
        """Return the endpoints that may receive requests by their entries."""
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

    def choose(self, req, service, listed, membership, now, tried=(), need=None):
        """Choose the endpoint with the lowest predicted cost among the candidates.

        The cost is a time in seconds: the time to first token, plus weighted costs
        of failures, of uncached tokens, of delays of other streams and of missing
        the deadline.

        Parameters
        ----------
        req : Request
            The request.
        service : Service
            Service of the endpoints.
        listed : list of ListedEndpoint
            Eligible endpoints.
        membership : Membership
            Other hosts and the load that they report.
        now : float
            Current time, in seconds.
        tried : collection of str
            Names of endpoints to skip, which an earlier attempt tried.
        need : EngineNeed or None
            What the request needs of an engine; None if the service is not ranked.

        Returns
        -------
        Choice or None
            None if no candidate may receive the request now.
        """
        peer_count = len(membership.serving(now, self.region))
        load = self._recent_load(membership, now)
        preferred = _preferred(req, listed)
        best, best_score = None, float("inf")
        available = [
            entry
            for entry in listed
            if entry.endpoint.name not in tried
            and now >= self.view(entry.endpoint.name).backoff_until
        ]
        for entry in self._candidates(req, available, preferred, 1 + peer_count):
            endpoint = entry.endpoint
            view = self.view(endpoint.name)
            warmup_rate_per_s, sharing_hosts = self._warmup_share(
                entry, service, membership, now
            )
            if warmup_rate_per_s and (
                not sharing_hosts or not view.pacer.may_send(now)
            ):
                continue
            room = None if need is None else self._room_at(view, membership, now)
            choice = self._predict(
                req,
                service,
                endpoint,
                view,
                load,
                endpoint.name == preferred,
                now,
                need,
                room,
            )
            score = (
                choice.ttft_s
                + choice.failure_cost_s
                + _UNCACHED_WEIGHT * choice.prefill_s
                + _STREAM_DELAY_WEIGHT * choice.stream_delay_s
                + _LATENESS_WEIGHT * max(0.0, now + choice.total_s - req.deadline)
            )
            if score < best_score:
                best, best_score = choice, score
                warmup = warmup_rate_per_s, max(1, sharing_hosts)
                best_entry = entry
        if best is None:
            return None
        return attrs.evolve(
            best, warmup_rate_per_s=warmup[0], sharing_hosts=warmup[1], entry=best_entry
        )

    def _candidates(self, req, available, preferred, hosts):
        """Return a random sample, and endpoints that may have cached the prefix.

        Parameters
        ----------
        req : Request
            The request.
        available : list of ListedEndpoint
            Endpoints to choose from.
        preferred : str or None
            Name of the endpoint preferred by hash.
        hosts : int
            Number of hosts that send to the endpoints, including this one.
        """
        sample_size = max(
            _MIN_CANDIDATES,
            math.ceil(_CANDIDATES_PER_ENDPOINT * len(available) / hosts),
        )
        rounds = count_rounds(hosts)
        if rounds > 1:
            sample_size = max(_MIN_STALE_CANDIDATES, math.ceil(sample_size / rounds))
        if sample_size >= len(available):
            return available
        chosen = self.rng.sample(available, sample_size)
        shared = req.prompt_segments[-2][0] if len(req.prompt_segments) > 1 else None
        for entry in available:
            name = entry.endpoint.name
            may_have_cached = name == preferred or self.view(name).has_cached(shared)
            if may_have_cached and entry not in chosen:
                chosen.append(entry)
        return chosen

    def _region_host_names(self, membership):
        """Return the names of all hosts that may send to the region's endpoints.

        Unresponsive hosts count, since a partitioned host keeps sending. So do
        hosts that are shutting down, which complete their requests and still accept
        new ones for a while.
        """
        return [self.host_name] + [m.id.name for m in membership.region_members()]

    def _is_warming(self, entry, service, now):
        """Return whether an endpoint may accept only its service's warm-up rate."""
        is_limited = service.warmup_rate_per_s > 0
        return is_limited and now < entry.warming_until(service.warmup_s)

    def count_warming(self, catalog, services, now):
        """Return how many of the region's endpoints are taken for warming.

        Parameters
        ----------
        catalog : Catalog
            Configuration and endpoints in force.
        services : iterable of Service
            The services.
        now : float
            Current time, in seconds.
        """
        return sum(
            self._is_warming(entry, service, now)
            for service in services
            for entry in self.eligible_endpoints(catalog, service.name, now)
        )

    def _warmup_share(self, entry, service, membership, now):
        """Return the warm-up rate of an endpoint and the number of hosts sharing it.

        The rate is 0 if the endpoint is warm. The number is 0 if this host may not
        send: it is not among the hosts that `warmup_hosts` selects, or has just
        started and does not know the other hosts yet.
        """
        if not self._is_warming(entry, service, now):
            return 0.0, 1
        if now - self.started_at < WARMUP_HOLDOFF_S:
            return service.warmup_rate_per_s, 0
        host_names = self._region_host_names(membership)
        sharing_hosts = warmup_hosts(entry.endpoint.name, host_names)
        return service.warmup_rate_per_s, len(
            sharing_hosts
        ) if self.host_name in sharing_hosts else 0

    def _recent_load(self, membership, now):
        """Return a function of the load of the other hosts, by `load_key`."""
        membership.load.remove_older(now - _LOAD_REPORT_VALID_S)
        hosts = len(membership.serving(now, self.region))
        return lambda key: membership.load.at(key, hosts)

    def _load_at(self, view, load):
        """Return the load of all hosts at an endpoint.

        Returns
        -------
        in_flight : float
            Requests in flight.
        tokens : float
            Uncached prompt tokens of those whose response has not begun.
        """
        in_flight, tokens = load(view.load_key)
        return in_flight + view.in_flight, tokens + view.prompt_tokens

    def _room_at(self, view, membership, now):
        """Return what the requests of all hosts take of an engine, in tokens.

        Returns
        -------
        patient_tokens : float
            Uncached prompt tokens of patient requests whose response has not begun.
        held_tokens : float
            KV cache held by all requests in flight.
        """
        hosts = len(membership.serving(now, self.region))
        patient, held = membership.load.room_at(view.load_key, hosts)
        return patient + view.room.patient_tokens, held + view.room.held_tokens

    def _pace(self, service, priority=None):
        """Return the pace of a service for requests of a priority, or for all.

        Engines read the prompts of urgent requests first, so that others wait longer.
        """
        return self._paces.setdefault((service.name, priority), ServicePace())

    def _predict(
        self,
        req,
        service,
        endpoint,
        view,
        load,
        is_preferred,
        now,
        need=None,
        room=None,
    ):
        """Return the predictions for a request at an endpoint, as a `Choice`.

        `need` and `room` are what the request needs of an engine and what others take
        of it, as returned by :meth:`_room_at`; None if the service is not ranked.
        """
        in_flight, queued = self._load_at(view, load)
        lacks_memory = False
        if need is not None:
            patient, held = room
            queued = tokens_ahead(need, queued, patient)
            lacks_memory = not has_memory(need, held)
        if service.is_engine:
            uncached = uncached_tokens(req, view, is_preferred)
            events = req.output_tokens / service.tokens_per_event
            stream_s = events * view.event_gap_s(now)
            prefill_s = uncached / PREFILL_TOKENS_PER_S
            stream_delay_s = in_flight * prefill_s
            uncorrected_s = BASE_TTFT_S + (queued + uncached) / PREFILL_TOKENS_PER_S
        else:
            uncached, prefill_s, stream_s, stream_delay_s = 0, 0.0, 0.0, 0.0
            uncorrected_s = self._predict_response_s(service, endpoint, in_flight)
        priority = request_priority(req)
        pace = 1.0
        if service.is_engine:
            pace = self._pace(service, priority).ratio(now)
        machine_pace = self.machine_pace.pace(view.load_key, now)
        ttft_s = uncorrected_s * pace * view.bias(now) * machine_pace
        if service.is_engine:
            is_full = in_flight >= endpoint.capacity
            ttft_s += full_batch_cost_s(need, is_full, lacks_memory, _FULL_BATCH_COST_S)
        if lacks_memory and need.is_patient:
            # Later than any limit, so that it goes elsewhere or is refused.
            ttft_s = max(ttft_s, req.deadline - now)
        return Choice(
            endpoint=endpoint,
            view=view,
            ttft_s=ttft_s,
            uncorrected_ttft_s=uncorrected_s,
            uncached_tokens=uncached,
            total_s=ttft_s + stream_s,
            event_gap_s=view.event_gap_s(now),
            prefill_s=prefill_s,
            stream_delay_s=stream_delay_s,
            failure_cost_s=_FAILURE_COST_S * view.failure_rate(now),
            priority=priority,
            machine_pace=machine_pace,
            machine_pace_age_s=self.machine_pace.age_s(view.load_key, now),
            need=need,
        )

    def record_response_start(self, choice, service, took_s, now):
        """Update the predictions with the measured time to the start of a response.

        Parameters
        ----------
        choice : Choice
            Endpoint and prediction of the request.
        service : Service
            Its service.
        took_s : float
            Time from sending the request to the start of the response, in seconds.
        now : float
            Current time, in seconds.
        """
        choice.view.record_result(False, now)
        uncorrected_s = choice.uncorrected_ttft_s
        # The corrections follow the long-term speed.
        took_s /= choice.machine_pace
        if service.is_engine:
            pace = self._pace(service, choice.priority)
            choice.view.record_ttft(uncorrected_s * pace.ratio(now), took_s, now)
            pace.record(uncorrected_s, took_s, now)
            self._pace(service).record(uncorrected_s, took_s, now)
        else:
            choice.view.record_ttft(uncorrected_s, took_s, now)
            # Divides out the predicted queueing; `_predict_response_s` adds it again.
            before = self._response_s.get(service.name, DEFAULT_RESPONSE_S)
            sample = took_s * before / choice.uncorrected_ttft_s
            self._response_s[service.name] = before + _RESPONSE_SMOOTHING * (
                sample - before
            )

    def _predict_response_s(self, service, endpoint, in_flight):
        """Predict a plain service's response time, in seconds.

        Requests beyond the capacity of the endpoint wait until others end.
        """
        waiting = max(0, in_flight + 1 - endpoint.capacity)
        unqueued_s = self._response_s.get(service.name, DEFAULT_RESPONSE_S)
        return unqueued_s * (1.0 + waiting / endpoint.capacity)

    def count_room(self):
        """Return the KV cache that this host's requests take of all engines.

        Returns
        -------
        held_tokens : int
            Of requests whose response has begun.
        promised_tokens : int
            Of requests whose response has not begun.
        """
        promised = sum(v.room.promised_tokens for v in self._views.values())
        held = sum(v.room.held_tokens for v in self._views.values())
        return held - promised, promised

    def count_full(self, catalog, service, membership, now):
        """Return how many engines of a ranked service have no memory left.

        Parameters are those of :meth:`shortest_wait_s`.
        """
        membership.load.remove_older(now - _LOAD_REPORT_VALID_S)
        most = max_held_tokens(service)
        return sum(
            self._room_at(self.view(entry.endpoint.name), membership, now)[1] >= most
            for entry in self.eligible_endpoints(catalog, service.name, now)
        )

    def shortest_wait_s(self, catalog, service, membership, now):
        """Return the shortest wait for a new request in this region.

        The wait at an engine is the predicted time to first token of an empty
        prompt, at a plain service the predicted response time.

        Parameters
        ----------
        catalog : Catalog
            Configuration and endpoints in force.
        service : Service
            The service.
        membership : Membership
            Other hosts and the load that they report.
        now : float
            Current time, in seconds.

        Returns
        -------
        float or None
            Seconds; None if no endpoint is eligible, warm and not in backoff.
        """
        load = self._recent_load(membership, now)
        waits = []
        for entry in self.eligible_endpoints(catalog, service.name, now):
            view = self.view(entry.endpoint.name)
            if (
                now < view.backoff_until
                or self._warmup_share(entry, service, membership, now)[0]
            ):
                continue
            in_flight, queued = self._load_at(view, load)
            wait_s = BASE_TTFT_S + queued / PREFILL_TOKENS_PER_S
            if service.is_engine:
                wait_s *= self._pace(service).ratio(now)
            if not service.is_engine:
                wait_s = self._predict_response_s(service, entry.endpoint, in_flight)
            elif in_flight >= entry.endpoint.capacity:
                wait_s += _FULL_BATCH_COST_S
            machine_pace = self.machine_pace.pace(view.load_key, now)
            waits.append(wait_s * view.bias(now) * machine_pace)
        return min(waits, default=None)

    def prefill_loads(self, catalog, service, membership, now):
        """Return what each endpoint of a service can process, and what is queued there.

        Parameters are those of :meth:`shortest_wait_s`.

        Returns
        -------
        list of (float, float)
            Tokens per second and queued tokens of each eligible, warm endpoint that is
            not in backoff. At a plain service each request counts as 1 token. An engine
            whose batch is full processes nothing more.
        """
        load = self._recent_load(membership, now)
        loads = []
        for entry in self.eligible_endpoints(catalog, service.name, now):
            endpoint, view = entry.endpoint, self.view(entry.endpoint.name)
            if now < view.backoff_until or self._is_warming(entry, service, now):
                continue
            in_flight, queued = self._load_at(view, load)
            if not service.is_engine:
                response_s = self._predict_response_s(service, endpoint, 0)
                rate = endpoint.capacity / response_s
                queued = max(0.0, in_flight - endpoint.capacity)
            elif in_flight >= endpoint.capacity:
                rate = 0.0
            else:
                rate = PREFILL_TOKENS_PER_S / self._pace(service).ratio(now)
            loads.append((rate / view.bias(now), queued))
        return loads


def uncached_tokens(req, view, is_preferred):
    """Estimate the prompt tokens that an endpoint has not cached.

    A segment is cached only if all segments before it are. The last segment is
    specific to the request or its session; the others are shared by many requests.

    Parameters
    ----------
    req : Request
        The request.
    view : EndpointView
        What this host observed of the endpoint.
    is_preferred : bool
        True if hashing prefers the endpoint for the prompt's shared segments.

    Returns
    -------
    int
    """
    segments = req.prompt_segments or ((("", req.prompt_tokens),))
    uncached, is_cached = 0, True
    for index, (segment, tokens) in enumerate(segments):
        is_cached = is_cached and view.has_cached(segment)
        if is_cached:
            continue
        is_shared = index < len(segments) - 1
        is_likely_cached = is_shared and is_preferred
        uncached += (
            int(tokens * (1 - _PREFERRED_CACHED_FRACTION))
            if is_likely_cached
            else tokens
        )
    return uncached


def _preferred(req, listed):
    """Return the name of the endpoint preferred for the prompt's shared segments.

    Rendezvous hashing: all hosts with the same list prefer the same endpoint. None if
    no segment is shared.
    """
    if len(req.prompt_segments) < 2:
        return None
    shared = req.prompt_segments[-2][0]
    names = [entry.endpoint.name for entry in listed]
    return max(
        names,
        key=lambda n: xxhash.xxh64_intdigest(f"{shared}/{n}".encode()),
        default=None,
    )
