"""Division of the spare capacity of engines between regions.

Answers the load pattern of a region at several times its mean load while a neighbour
idles, then the reverse, and of a region lost at its neighbour's peak. If the shortest
wait is all that a region reports, the hosts of the others forward all at once,
overshoot and fall back all at once.

A region reports its room: the prompt tokens per second that its engines accept beyond
its own demand. Regions divide the room by what they want to forward, and the hosts of a
region divide its part in the same way. What a host may forward is limited by a token
bucket for each region and service. Plain services count a request as 1 token.

All times are seconds of the process's monotonic clock.
"""

import math
import random

import attrs

# Interval of the reports between regions, and the most that a bucket holds of its
# allowance, as a time.
REPORT_INTERVAL_S = 0.6
# Part of the room that is kept for home requests that arrive before the next report.
HOME_RESERVE = 0.1
# Largest part of the way to a newly computed room that one report moves.
_MAX_MOVE = 0.5
# Time constant of the sums of asked and of wanted tokens.
_RATE_S = 1.0
# Mean age of what the other hosts of the region report. The host's own wants are
# delayed as much before they are compared: while wants grow, every host's own fresher
# number would otherwise give it more than its part.
_REPORT_LAG_S = 0.2
# Part of an equal share of the room that is added to every host's wants, so that hosts
# whose wants begin together get equal shares until they know of each other.
_PRIOR = 0.25
# An older report gives only _STALE_PART of the last allowance, and none once expired.
STALE_S = 2.0
EXPIRED_S = 5.0
_STALE_PART = 0.1
# Weight of a request in the mean size of the requests for a bucket.
_SIZE_SMOOTHING = 0.1
_REFUSED_PART = 0.5
# Wanted tokens per second below which a host wants nothing.
_MIN_RATE = 0.5
# Room, as a part of the capacity, at which it counts as open and as closed again.
_OPEN_PART, _CLOSED_PART = 0.05, 0.02


@attrs.define(eq=False)
class TokenRates:
    """Decaying sums of tokens, by service."""

    _rates: dict = attrs.field(factory=dict)

    def record(self, service, tokens, now):
        """Add the tokens of one request."""
        self._rates[service] = (self.rate(service, now) + tokens / _RATE_S, now)

    def rate(self, service, now):
        """Return the tokens per second of a service as of `now`."""
        rate, at = self._rates.get(service, (0.0, now))
        return rate * math.exp(-(now - at) / _RATE_S)


def compute_room(loads, home_tokens_per_s):
    """Compute how much a region accepts beyond its home demand.

    Parameters
    ----------
    loads : iterable of (float, float)
        Of each endpoint, the tokens per second that it can process and the tokens that
        are queued there, from all hosts of the region.
    home_tokens_per_s : float
        What callers of the region ask its hosts for, in tokens per second.

    Returns
    -------
    float
        Tokens per second.
    """
    # A queue of a second or more leaves nothing of the next second, but does not use
    # up what other endpoints can process.
    spare = sum(max(0.0, rate - queued) for rate, queued in loads)
    return max(0.0, spare - home_tokens_per_s) * (1 - HOME_RESERVE)


def damp_room(reported, computed, elapsed_s):
    """Return the room to report, between the last reported and the computed one.

    Parameters
    ----------
    reported, computed : float
        Tokens per second.
    elapsed_s : float
        Time since the last report, in seconds. Reports that follow each other sooner
        than usual move less.

    Returns
    -------
    float
        Tokens per second.
    """
    move = min(_MAX_MOVE, 1 - (1 - _MAX_MOVE) ** (elapsed_s / REPORT_INTERVAL_S))
    return reported + move * (computed - reported)


def divide_room(room, wanted, wanted_elsewhere):
    """Return the part of a room for a region.

    Parameters
    ----------
    room : float
        Room of another region, in tokens per second.
    wanted : float
        What the region wants to forward, in tokens per second.
    wanted_elsewhere : float
        What the other regions that may use the room want to forward.

    Returns
    -------
    float
        Tokens per second.
    """
    return room * wanted / (wanted + wanted_elsewhere) if wanted > 0 else 0.0


def compute_allowance(region_part, own, others, hosts):
    """Return the part of a host of what its region may forward.

    Parameters
    ----------
    region_part : float
        What the region may forward, in tokens per second.
    own : float
        What the host wants to forward, in tokens per second.
    others : float or None
        What the other hosts of the region want; None if unknown, which counts as the
        same for each of them.
    hosts : int
        Number of hosts of the region, including this one.

    Returns
    -------
    float
        Tokens per second.
    """
    if own < _MIN_RATE:
        return 0.0
    if others is None:
        return region_part / hosts
    prior = _PRIOR * region_part / hosts
    return region_part * (own + prior) / (own + others + hosts * prior)


@attrs.define(eq=False)
class RegionRooms:
    """Room that a host reports of its own region, by service.

    Attributes
    ----------
    asked : TokenRates
        What callers ask this host for.
    rooms : dict of str to float
        Room reported last, in tokens per second.
    """

    asked: TokenRates = attrs.field(factory=TokenRates)
    rooms: dict = attrs.field(factory=dict)
    _reported_at: dict = attrs.field(factory=dict)
    _open: set = attrs.field(factory=set)
    _changes: list = attrs.field(factory=list)

    def report(self, service, computed, capacity, now):
        """Return the room to report of a service now.

        Parameters
        ----------
        service : str
            Name of the service.
        computed : float
            Result of :func:`compute_room`, in tokens per second.
        capacity : float
            Tokens per second that the endpoints can process.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Tokens per second.
        """
        # Begins at 0, since a host that has just started does not know the load.
        elapsed_s = now - self._reported_at.get(service, float("-inf"))
        room = damp_room(self.rooms.get(service, 0.0), computed, elapsed_s)
        self.rooms[service], self._reported_at[service] = room, now
        if service not in self._open and room > _OPEN_PART * capacity:
            self._open.add(service)
            self._changes.append((service, True, room))
        elif service in self._open and room <= _CLOSED_PART * capacity:
            self._open.remove(service)
            self._changes.append((service, False, room))
        return room

    def keep_only(self, services):
        """Drop the rooms of services whose capacity is not divided."""
        for service in self.rooms.keys() - services:
            del self.rooms[service], self._reported_at[service]
            self._open.discard(service)

    def take_changes(self):
        """Return the rooms that opened or closed since the last call.

        Returns
        -------
        list of (str, bool, float)
            Service, whether it opened, and the room in tokens per second.
        """
        changes, self._changes = self._changes, []
        return changes


@attrs.frozen(kw_only=True)
class OwnRegion:
    """What a host knows of the hosts of its own region.

    Attributes
    ----------
    services : frozenset of str
        Services whose capacity is divided.
    hosts : int
        Number of hosts, including this one.
    wanted : dict of str to float
        Tokens per second that the other hosts want to forward, by service. A service
        is absent if no recent report is known.
    """

    services: frozenset
    hosts: int
    wanted: dict


@attrs.define(eq=False)
class _Bucket:
    """Allowance of this host at a region for a service.

    Attributes
    ----------
    draw : float
        Random number between 0 and 1 for the next request.
    reported_at : float
        When the region computed the last report of its room, in seconds.
    room : float
        That room, in tokens per second.
    fresh_allowance : float
        Allowance by the last report that was not stale, in tokens per second.
    allowance : float
        Allowance now, in tokens per second.
    is_refused : bool
        Whether the region has refused a request since the last report.
    tokens : float
        Content; negative if a request was larger.
    mean_size : float
        Moving average of the tokens of the requests that the bucket was asked for.
    filled_at : float
        When the content was computed, in seconds.
    """

    draw: float
    reported_at: float = float("-inf")
    room: float = 0.0
    fresh_allowance: float = 0.0
    allowance: float = 0.0
    is_refused: bool = False
    tokens: float = 0.0
    mean_size: float = 0.0
    filled_at: float = float("-inf")

    def fill(self, now):
        """Add the allowance of the time since the last call."""
        elapsed_s = now - self.filled_at
        self.filled_at = now
        if self.allowance <= 0:
            # Credit that hosts keep from an earlier peak would be used by all at once.
            self.tokens = min(0.0, self.tokens)
            return
        limit = max(REPORT_INTERVAL_S * self.allowance, self.mean_size)
        filled = self.tokens + self.allowance * max(0.0, elapsed_s)
        self.tokens = min(limit, filled)

    def record_size(self, tokens):
        """Update the mean size with a request."""
        if not self.mean_size:
            self.mean_size = tokens
        self.mean_size += _SIZE_SMOOTHING * (tokens - self.mean_size)

    def set_allowance(self, now):
        """Compute the allowance from the age of the report and from refusals."""
        age_s = now - self.reported_at
        part = 1.0 if age_s <= STALE_S else _STALE_PART if age_s <= EXPIRED_S else 0.0
        if self.is_refused:
            part *= _REFUSED_PART
        self.allowance = part * self.fresh_allowance


@attrs.define(eq=False)
class RegionAllowances:
    """What this host wants to forward, and may forward to each other region.

    Attributes
    ----------
    rng : random.Random
        Source of the random draws.
    wants : TokenRates
        What this host wants to forward.
    forwarded_tokens : dict of str to int
        Tokens forwarded since the start, by region.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    wants: TokenRates = attrs.field(factory=TokenRates)
    forwarded_tokens: dict = attrs.field(factory=dict)
    _buckets: dict = attrs.field(factory=dict)
    _regions: set = attrs.field(factory=set)
    _delayed: dict = attrs.field(factory=dict)
    _updated_at: float = float("-inf")

    def wanted(self, services, now):
        """Return the tokens per second that this host wants to forward.

        Returns
        -------
        dict of str to float
            By service; without services of which nothing is wanted.
        """
        rates = {service: self.wants.rate(service, now) for service in services}
        return {service: rate for service, rate in rates.items() if rate >= _MIN_RATE}

    def update(self, reports, own, now):
        """Compute the allowances anew; called in every round of heartbeats.

        Parameters
        ----------
        reports : list of RegionTotals
            Newest report of each other region.
        own : OwnRegion
            The hosts of the own region.
        now : float
            Current time, in seconds.
        """
        self._regions = {report.region for report in reports}
        self._delay_wants(own.services, now)
        for report in reports:
            for service in own.services:
                self._update_bucket(report, service, now)
        for key, bucket in list(self._buckets.items()):
            # Regions without a report are included, since their allowance must expire.
            region, service = key
            if service not in own.services:
                del self._buckets[key]
                continue
            bucket.fill(now)
            if now - bucket.reported_at <= STALE_S:
                bucket.fresh_allowance = self._compute_share(
                    region, service, bucket.room, reports, own, now
                )
            bucket.set_allowance(now)

    def _delay_wants(self, services, now):
        """Move the delayed wants towards the present ones."""
        move = 1 - math.exp(-(now - self._updated_at) / _REPORT_LAG_S)
        self._updated_at = now
        self._delayed = {
            service: (1 - move) * self._delayed.get(service, 0.0)
            + move * self.wants.rate(service, now)
            for service in services
        }

    def _update_bucket(self, report, service, now):
        """Apply a region's report of its room for a service."""
        key = report.region, service
        bucket = self._buckets.get(key)
        room = report.rooms.get(service)
        if room is None:
            # Hosts of a region may run different versions: a report without room
            # counts only if there was none with it for long.
            if bucket is not None and report.reported_at - bucket.reported_at > (
                EXPIRED_S
            ):
                del self._buckets[key]
            return
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(self.rng.random())
        if report.reported_at > bucket.reported_at:
            bucket.fill(now)
            bucket.reported_at, bucket.room = report.reported_at, room
            bucket.is_refused = False

    def _compute_share(self, region, service, room, reports, own, now):
        """Return the allowance of this host at a region with a room."""
        own_wanted = self._delayed[service]
        others = own.wanted.get(service)
        if others is None:
            wanted = own_wanted * own.hosts
        else:
            wanted = own_wanted + others
        elsewhere = sum(
            report.forwards.get(service, 0.0)
            for report in reports
            if report.region != region and now - report.reported_at <= EXPIRED_S
        )
        part = divide_room(room, wanted, elsewhere)
        return compute_allowance(part, own_wanted, others, own.hosts)

    def may_forward(self, region, service, tokens, now):
        """Return whether the allowance at a region suffices for a request.

        Where a bucket is smaller than a request, as with many hosts, it fills up to the
        mean size, and a random part of that suffices; the rest of the request is owed.
        The hosts then forward the room together, and not all at the same moment.

        Parameters
        ----------
        region, service : str
            The region and the service, whose capacity is divided.
        tokens : int
            Uncached prompt tokens of the request.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True if the region reports no room, as hosts of the previous version do.
            False before its first report.
        """
        bucket = self._buckets.get((region, service))
        if bucket is None:
            return region in self._regions
        bucket.set_allowance(now)
        bucket.record_size(tokens)
        bucket.fill(now)
        if bucket.allowance <= 0:
            return False
        if REPORT_INTERVAL_S * bucket.allowance >= tokens:
            return bucket.tokens >= tokens
        return bucket.tokens >= bucket.draw * bucket.mean_size

    def record_forwarded(self, region, service, tokens, now):
        """Take the tokens of a forwarded request from the bucket of its region."""
        self.forwarded_tokens[region] = self.forwarded_tokens.get(region, 0) + tokens
        bucket = self._buckets.get((region, service))
        if bucket is not None:
            bucket.fill(now)
            bucket.tokens -= tokens
            bucket.draw = self.rng.random()

    def record_refused(self, region, service, now):
        """Halve the allowance at a region that refused a request, until it reports."""
        bucket = self._buckets.get((region, service))
        if bucket is not None:
            bucket.fill(now)
            bucket.is_refused = True
            bucket.set_allowance(now)

    def allowances(self):
        """Return the allowances in tokens per second, by region and service."""
        return {key: bucket.allowance for key, bucket in self._buckets.items()}
