"""Which endpoint, and which zone, serves a request.

Pure decisions over what a host knows: nothing here waits or sends.
"""

import attrs
import xxhash

LOAD_FACTOR = 1.25
RAMP_S = 10.0
PEER_LOAD_VALID_S = 3.0


@attrs.frozen
class Candidate:
    """An endpoint that could serve a request.

    Attributes
    ----------
    endpoint : Endpoint
        As listed.
    in_flight : int
        This host's requests there.
    other_hosts_load : float
        Requests of other hosts there, as they say, or by its last report.
    usable : bool
        False while it is backed off or leaving.
    ramp : float
        Part of its capacity to use after a recovery, 0 to 1.
    """

    endpoint: object
    in_flight: int
    other_hosts_load: float
    usable: bool
    ramp: float = 1.0

    @property
    def load(self):
        """Expected work per unit of capacity; 1 is full."""
        room = self.endpoint.capacity * self.ramp
        return (self.in_flight + self.other_hosts_load) / room

    @property
    def has_capacity(self):
        """Whether one more request fits its capacity."""
        room = self.endpoint.capacity * self.ramp
        return self.in_flight + self.other_hosts_load < room


def make_candidate(endpoint, state, now):
    """Describe an endpoint as a candidate.

    Parameters
    ----------
    endpoint : Endpoint
        As listed.
    state : EndpointState
        What the host knows of it.
    now : float
        Present time, in seconds.

    Returns
    -------
    Candidate
    """
    return Candidate(
        endpoint=endpoint,
        in_flight=state.in_flight,
        other_hosts_load=_other_hosts_load(state, now),
        usable=endpoint.live and not state.leaving and now >= state.down_until,
        ramp=_ramp(state, now),
    )


_REPORT_FADE_S = 2.0


def _other_hosts_load(state, now):
    """Return the requests of other hosts at an endpoint, as far as known."""
    counts = [
        count
        for count, said_at in state.peer_loads.values()
        if now - said_at < PEER_LOAD_VALID_S
    ]
    if counts:
        return float(sum(counts))
    if state.reported_load is None:
        return 0.0
    # The endpoint's own report fades: an old one says little, and every host
    # would go on avoiding an endpoint that so never reports again.
    fresh = max(0.0, 1.0 - (now - state.reported_at) / _REPORT_FADE_S)
    return max(0, state.reported_load - state.in_flight) * fresh


def _ramp(state, now):
    since = now - state.recovered_at
    return 1.0 if since >= RAMP_S else max(0.2, since / RAMP_S)


def _rendezvous(affinity, name):
    return xxhash.xxh3_64_intdigest(f"{affinity}/{name}".encode())


def choose_endpoint(candidates, affinity, rng):
    """Choose the endpoint for a request.

    The first choice is the endpoint whose cache likely holds the prompt's
    beginning, unless its load is well above the average. Otherwise the less
    loaded of two at random is taken, so that hosts with the same stale report
    do not all choose the same one.

    Parameters
    ----------
    candidates : list of Candidate
        Those that serve what is asked for.
    affinity : str
        Digest of the prompt's beginning, or an empty text.
    rng : random.Random
        Source of the random choices.

    Returns
    -------
    Endpoint or None
        None if none is usable and has room.
    """
    usable = [c for c in candidates if c.usable and c.has_capacity]
    if not usable:
        return None
    if affinity:
        bound = LOAD_FACTOR * _mean_load(usable)
        ranked = sorted(
            usable, key=lambda c: _rendezvous(affinity, c.endpoint.name), reverse=True
        )
        for choice in ranked[:2]:
            # One request more than the average never counts as overload.
            if choice.load <= bound + 1 / choice.endpoint.capacity:
                return choice.endpoint
    pair = rng.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda c: c.load).endpoint


def _mean_load(candidates):
    work = sum(c.in_flight + c.other_hosts_load for c in candidates)
    return work / sum(c.endpoint.capacity for c in candidates)


def rank_hosts(hosts, team_name, zone):
    """Order hosts for a caller: own zone first, then spread by team.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts in permitted regions.
    team_name : str
        The caller's team; its hosts come in the same order everywhere, which
        gathers its tokens on few hosts.
    zone : str
        The zone that the caller reached.

    Returns
    -------
    list of Host
    """
    return sorted(
        hosts,
        key=lambda h: (h.zone != zone, -_rendezvous(team_name, h.name)),
    )
