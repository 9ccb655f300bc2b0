"""Selection of endpoints for requests and of hosts for callers.

Functions over the state that a host holds: no I/O, no waiting and no changes. `now` is
in seconds of the process's monotonic clock.
"""

import attrs
import xxhash

# Load up to which an endpoint is preferred for its cached prompt prefix, relative to
# the mean load.
AFFINITY_LOAD_FACTOR = 1.25
# Time after a recovery in which the usable capacity grows to the full capacity.
RAMP_UP_S = 10.0
# Age from which another host's load report is ignored.
PEER_LOAD_TTL_S = 3.0


@attrs.frozen
class Candidate:
    """An endpoint that could serve a request.

    Attributes
    ----------
    endpoint : Endpoint
        Record from the host list.
    in_flight : int
        Requests of this host that the endpoint is running.
    other_hosts_load : float
        Requests of other hosts at the endpoint: the sum of their reports, or an
        estimate from the endpoint's last load report if no host reports any.
    usable : bool
        False if the endpoint is listed as not live, while it is in backoff after a
        failure, or once it is shutting down.
    ramp_up_fraction : float
        Fraction of its capacity that is used while it recovers from a failure, 0.2
        to 1.
    """

    endpoint: object
    in_flight: int
    other_hosts_load: float
    usable: bool
    ramp_up_fraction: float = 1.0

    @property
    def load(self):
        """Requests in flight per unit of usable capacity; 1 is full."""
        capacity = self.endpoint.capacity * self.ramp_up_fraction
        return (self.in_flight + self.other_hosts_load) / capacity

    @property
    def has_capacity(self):
        """Whether the endpoint has free capacity for another request."""
        capacity = self.endpoint.capacity * self.ramp_up_fraction
        return self.in_flight + self.other_hosts_load < capacity


def make_candidate(endpoint, state, now):
    """Build the candidate for an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Record from the host list.
    state : EndpointState
        This host's state of the endpoint.
    now : float
        Current time, in seconds.

    Returns
    -------
    Candidate
    """
    return Candidate(
        endpoint=endpoint,
        in_flight=state.in_flight,
        other_hosts_load=_other_hosts_load(state, now),
        usable=endpoint.live
        and state.takes_requests(now)
        and now >= state.backoff_until,
        ramp_up_fraction=_ramp_up_fraction(state, now),
    )


_REPORTED_LOAD_DECAY_S = 2.0


def _other_hosts_load(state, now):
    """Return the estimated number of other hosts' requests at an endpoint."""
    peer_counts = [
        count
        for count, reported_at in state.peer_loads.values()
        if now - reported_at < PEER_LOAD_TTL_S
    ]
    if peer_counts:
        return float(sum(peer_counts))
    if state.reported_load is None:
        return 0.0
    # The weight of the endpoint's own report decays with its age. Otherwise every
    # host would keep avoiding an endpoint that once reported a high load, and no
    # response would ever bring a newer report.
    freshness = max(0.0, 1.0 - (now - state.reported_at) / _REPORTED_LOAD_DECAY_S)
    return max(0, state.reported_load - state.in_flight) * freshness


def _ramp_up_fraction(state, now):
    elapsed_s = now - state.recovered_at
    return 1.0 if elapsed_s >= RAMP_UP_S else max(0.2, elapsed_s / RAMP_UP_S)


def _rendezvous_score(key, name):
    """Return the score by which rendezvous hashing ranks a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())


def choose_endpoint(candidates, affinity, rng):
    """Choose the endpoint for a request.

    Prefers the two endpoints that rendezvous hashing ranks first for the start of the
    prompt, since their prefix caches likely hold it, as long as their load is at most
    about `AFFINITY_LOAD_FACTOR` times the mean. Otherwise takes the less loaded of two
    random endpoints, so that hosts with the same outdated reports do not all choose the
    same one.

    Parameters
    ----------
    candidates : list of Candidate
        Endpoints that serve the requested model or service.
    affinity : str
        Digest of the start of the prompt; empty if there is none.
    rng : random.Random
        Source of the random choices.

    Returns
    -------
    Endpoint or None
        None if no usable endpoint has capacity.
    """
    usable = [c for c in candidates if c.usable and c.has_capacity]
    if not usable:
        return None
    if affinity:
        max_load = AFFINITY_LOAD_FACTOR * _mean_load(usable)
        ranked = sorted(
            usable,
            key=lambda c: _rendezvous_score(affinity, c.endpoint.name),
            reverse=True,
        )
        for candidate in ranked[:2]:
            # One request more than that is always permitted.
            if candidate.load <= max_load + 1 / candidate.endpoint.capacity:
                return candidate.endpoint
    pair = rng.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda c: c.load).endpoint


def _mean_load(candidates):
    requests = sum(c.in_flight + c.other_hosts_load for c in candidates)
    return requests / sum(c.endpoint.capacity for c in candidates)


def rank_hosts(hosts, team_name, zone):
    """Order hosts for a caller: those of its zone first, then by a hash of its team.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts in permitted regions.
    team_name : str
        Name of the caller's team. Every host ranks the hosts of a zone for it in the
        same order, which concentrates the team's requests and its demand for tokens
        on few hosts.
    zone : str
        Zone of the host that the caller contacted.

    Returns
    -------
    list of Host
    """
    return sorted(
        hosts,
        key=lambda h: (h.zone != zone, -_rendezvous_score(team_name, h.name)),
    )
