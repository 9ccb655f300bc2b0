"""Levels at which patient requests are admitted, so that urgent ones get their share.

Addresses the load pattern of 1.2 to 2.5 times the capacity for 5 to 15 s, from classes
of different rank and size at once: judged alone, a request that may wait is admitted
behind a queue that is already too long for urgent ones, which are then refused first.

Each host of a region keeps decaying sums of the prompt tokens that were asked for and
refused, by service and priority, and reports them in its heartbeats. From the sums of
all reports each host computes its level, the fraction of patient requests that it
admits. Only services with a patient route have a level (see :mod:`.patience`).

All times are in seconds, all rates in prompt tokens per second.
"""

import math

import attrs

from ..retry_after import RankedRetries
from .patience import services_of

# Time constant of the sums: the last second or so. A level cannot follow changes that
# are faster, and shorter sums hold few requests of a small host.
SUM_TIME_S = 0.7
# Reports older than this do not count: ten rounds, as long as a host counts as live.
MAX_REPORT_AGE_S = 1.5
# Fraction of urgent tokens that may be refused before patient requests are.
URGENT_REFUSED = 0.03
# Patient requests are always admitted at this fraction at least.
MIN_LEVEL = 0.3
# Largest change of a level in a round (0.15 s). A faster rise overshoots before the
# refusals that it causes are reported.
MAX_FALL = 0.05
MAX_RISE = 0.02
# Change of the level in a round, as a multiple of the difference between the refused
# fractions of urgent and patient tokens. A lower gain follows a surge of 5 s too late;
# with a higher one the levels of hosts with few requests each diverge.
_GAIN = 0.15
# Part of the mean difference to the other hosts' levels that a round removes. The
# differences are up to ten rounds old, so that much larger parts overshoot.
_PULL = 0.2
# Changes from this size on are logged.
_LOGGED_CHANGE = 0.1
# Maximum number of entries of a report, so that it fits one datagram.
MAX_ENTRIES = 16
# Largest number of a heartbeat.
_MAX_I32 = 2**31 - 1
_PERMILLE = 1000


@attrs.frozen(kw_only=True)
class RankReport:
    """Demand of one rank of a service at one host.

    Attributes
    ----------
    service : str
        The service.
    priority : int
        Priority of the requests, 0 highest.
    asked, refused : int
        Prompt tokens per second that were asked for, and that were refused for lack
        of capacity.
    admitted_permille : int or None
        The host's level, in thousandths; None if it has none yet, and in the entries
        of other ranks than that of the patient requests.
    """

    service: str
    priority: int
    asked: int
    refused: int
    admitted_permille: int | None = None


@attrs.frozen(kw_only=True)
class RegionDemand:
    """Prompt tokens per second of a service in the region, and the hosts' mean level.

    Attributes
    ----------
    urgent_asked, urgent_refused : float
        Of ranks more urgent than the patient routes.
    patient_asked, patient_refused : float
        Of the other ranks.
    hosts : int
        Number of other hosts whose levels count.
    mean_level : float or None
        Mean of their levels; None without any.
    mean_difference : float
        Mean difference of their levels to this host's level when each report arrived.
        The levels themselves are those of a second ago, and would hold this one back.
    """

    urgent_asked: float
    urgent_refused: float
    patient_asked: float
    patient_refused: float
    hosts: int = 0
    mean_level: float | None = None
    mean_difference: float = 0.0


def find_ranks(configuration):
    """Return the priorities that matter in each ranked service.

    Parameters
    ----------
    configuration : Configuration or None
        The configuration in force.

    Returns
    -------
    dict of str to (int, int)
        By service, the priority of its most urgent route and that of the most urgent
        one of its patient routes.
    """
    if configuration is None:
        return {}
    ranks = {}
    for service in configuration.ranked_services:
        routes = [
            route
            for route in configuration.routes
            if route.is_stream and service in services_of(route)
        ]
        patient = [r for r in routes if r.name in configuration.patient_routes]
        ranks[service] = (
            min(route.priority for route in routes),
            min(route.priority for route in patient),
        )
    return ranks


def next_level(level, demand):
    """Return a level after one round.

    Parameters
    ----------
    level : float
        The level before.
    demand : RegionDemand
        Demand of the region.

    Returns
    -------
    float
    """
    urgent = _fraction(demand.urgent_refused, demand.urgent_asked)
    if urgent <= URGENT_REFUSED:
        change = MAX_RISE * (1.0 - urgent / URGENT_REFUSED)
    else:
        # The patient requests that a level refuses are in the sums only later; both
        # ranks are to be refused alike.
        patient = _fraction(demand.patient_refused, demand.patient_asked)
        change = _GAIN * (max(patient, 1.0 - level) - urgent)
    level += min(MAX_RISE, max(-MAX_FALL, change))
    level += _PULL * demand.mean_difference
    return min(1.0, max(MIN_LEVEL, level))


def _fraction(part, whole):
    return min(1.0, part / whole) if whole > 0 else 0.0


@attrs.define(eq=False)
class _Sum:
    """Decaying sums of the tokens asked for and refused, as of `updated_at`."""

    asked: float = 0.0
    refused: float = 0.0
    updated_at: float = float("-inf")

    def decay(self, now):
        """Bring the sums to the present."""
        if now > self.updated_at:
            factor = math.exp((self.updated_at - now) / SUM_TIME_S)
            self.asked *= factor
            self.refused *= factor
            self.updated_at = now

    def rates(self, now):
        """Return the tokens per second asked for and refused."""
        self.decay(now)
        return self.asked / SUM_TIME_S, self.refused / SUM_TIME_S


@attrs.define(eq=False)
class _Level:
    """Level of one service.

    Attributes
    ----------
    begun_at : float
        When the service became ranked here, in seconds.
    updated_at : float
        Time of the latest round, in seconds.
    value : float
        The level.
    is_settled : bool
        False while this host may still take the level of others for its own; until
        then it reports none.
    logged : float
        Level that was logged last.
    """

    begun_at: float
    updated_at: float
    value: float = 1.0
    is_settled: bool = False
    logged: float = 1.0


@attrs.define(eq=False)
class RankLevels:
    """Levels of one host, its own sums and the newest reports of its region.

    Attributes
    ----------
    ranks : dict of str to (int, int)
        As from :func:`find_ranks`.
    """

    ranks: dict = attrs.field(factory=dict)
    _configuration: object = None
    _levels: dict = attrs.field(factory=dict)
    _sums: dict = attrs.field(factory=dict)
    _retries: dict = attrs.field(factory=dict)
    # By host name, the oldest first: when its report arrived, its entries, and the
    # differences of their levels to this host's, in thousandths.
    _reports: dict = attrs.field(factory=dict)
    # By service and priority: tokens asked for and refused, and number of entries.
    _totals: dict = attrs.field(factory=dict)
    # By service: sums of the levels and of the differences, in thousandths, and number
    # of hosts.
    _level_totals: dict = attrs.field(factory=dict)
    _changes: list = attrs.field(factory=list)

    def follow(self, configuration):
        """Apply the configuration in force, which is the same one in most calls.

        The levels and sums of services that are no longer ranked are dropped.

        Parameters
        ----------
        configuration : Configuration or None
            None before the first one.

        Returns
        -------
        RankLevels
            This object.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self.ranks = find_ranks(configuration)
            for by_service in (self._levels, self._sums, self._retries):
                for service in by_service.keys() - self.ranks.keys():
                    del by_service[service]
        return self

    def is_most_urgent(self, service, priority):
        """Return whether requests of a priority are the most urgent of a service.

        False if the service is not ranked.
        """
        return service in self.ranks and priority <= self.ranks[service][0]

    def retry_schedule(self, service, priority):
        """Return the retry times of a rank, or None if the service is not ranked."""
        if service not in self.ranks:
            return None
        retries = self._retries.setdefault(service, RankedRetries())
        return retries.for_priority(priority)

    def record_asked(self, service, priority, tokens, now):
        """Count a request, also one that was refused before and is sent again.

        Parameters
        ----------
        service : str
            Its service. Requests of services that are not ranked are not counted.
        priority : int
            Its priority.
        tokens : int
            Its prompt tokens.
        now : float
            Current time, in seconds.
        """
        if service in self.ranks:
            self._sum(service, priority, now).asked += max(1, tokens)

    def record_refused(self, service, priority, tokens, now):
        """Count a request that was refused for lack of capacity.

        Parameters are those of :meth:`record_asked`.
        """
        if service in self.ranks:
            self._sum(service, priority, now).refused += max(1, tokens)

    def _sum(self, service, priority, now):
        kept = self._sums.setdefault(service, {}).setdefault(priority, _Sum())
        kept.decay(now)
        return kept

    def apply_report(self, host, reports, now):
        """Replace the report of another host of the region.

        Parameters
        ----------
        host : str
            Its name.
        reports : iterable of RankReport
            Its entries; those above MAX_ENTRIES do not count.
        now : float
            Current time, in seconds.
        """
        self.forget(host)
        entries = tuple(reports)[:MAX_ENTRIES]
        differences = [self._difference(entry) for entry in entries]
        # Moves to the end: the oldest report comes first.
        self._reports[host] = (now, entries, differences)
        self._add(entries, differences, 1)

    def _difference(self, entry):
        level = self._levels.get(entry.service)
        if entry.admitted_permille is None or level is None or not level.is_settled:
            return 0
        return entry.admitted_permille - round(level.value * _PERMILLE)

    def forget(self, host):
        """Remove the report of a host, if there is one."""
        report = self._reports.pop(host, None)
        if report is not None:
            self._add(*report[1:], -1)

    def _add(self, entries, differences, sign):
        for entry, difference in zip(entries, differences, strict=True):
            key = entry.service, entry.priority
            asked, refused, count = self._totals.get(key, (0, 0, 0))
            self._totals[key] = (
                asked + sign * entry.asked,
                refused + sign * entry.refused,
                count + sign,
            )
            if self._totals[key][2] == 0:
                del self._totals[key]
            if entry.admitted_permille is not None:
                total, away, hosts = self._level_totals.get(entry.service, (0, 0, 0))
                self._level_totals[entry.service] = (
                    total + sign * entry.admitted_permille,
                    away + sign * difference,
                    hosts + sign,
                )
                if self._level_totals[entry.service][2] == 0:
                    del self._level_totals[entry.service]

    def _remove_old_reports(self, now):
        while self._reports:
            host, (received_at, *_) = next(iter(self._reports.items()))
            if now - received_at <= MAX_REPORT_AGE_S:
                return
            self.forget(host)

    def update(self, now):
        """Update the levels; called once in each round of heartbeats.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        self._remove_old_reports(now)
        demands = self._region_demands(now)
        for service in self.ranks:
            if service not in self._levels:
                self._levels[service] = _Level(begun_at=now, updated_at=now)
            level, demand = self._levels[service], demands[service]
            if not level.is_settled:
                if demand.mean_level is not None:
                    level.value = max(MIN_LEVEL, demand.mean_level)
                level.is_settled = (
                    demand.mean_level is not None
                    or now - level.begun_at >= MAX_REPORT_AGE_S
                )
            level.value = next_level(level.value, demand)
            level.updated_at = now
            self._note_change(service, level, demand)

    def _region_demands(self, now):
        """Return the demand of the region by service: own sums and reports."""
        rates = {service: [0.0, 0.0, 0.0, 0.0] for service in self.ranks}

        def add(service, priority, asked, refused):
            first = 0 if priority < self.ranks[service][1] else 2
            rates[service][first] += asked
            rates[service][first + 1] += refused

        for service, sums in self._sums.items():
            for priority, kept in sums.items():
                add(service, priority, *kept.rates(now))
        for (service, priority), (asked, refused, _) in self._totals.items():
            if service in self.ranks:
                add(service, priority, asked, refused)
        demands = {}
        for service, numbers in rates.items():
            total, away, hosts = self._level_totals.get(service, (0, 0, 0))
            demands[service] = RegionDemand(
                urgent_asked=numbers[0],
                urgent_refused=numbers[1],
                patient_asked=numbers[2],
                patient_refused=numbers[3],
                hosts=hosts,
                mean_level=total / hosts / _PERMILLE if hosts else None,
                mean_difference=away / hosts / _PERMILLE if hosts else 0.0,
            )
        return demands

    def _note_change(self, service, level, demand):
        # Rounding errors of the steps do not hide a change.
        if abs(level.value - level.logged) < _LOGGED_CHANGE - 1e-9:
            return
        self._changes.append(
            {
                "service": service,
                "admitted": round(level.value, 3),
                "previous": round(level.logged, 3),
                **{
                    name: round(getattr(demand, name))
                    for name in (
                        "urgent_asked",
                        "urgent_refused",
                        "patient_asked",
                        "patient_refused",
                    )
                },
                "hosts": demand.hosts,
                "mean_admitted": None
                if demand.mean_level is None
                else round(demand.mean_level, 3),
            }
        )
        level.logged = level.value

    def take_changes(self):
        """Return the changes of levels since the last call, as fields of log lines."""
        changes, self._changes = self._changes, []
        return changes

    def level(self, service):
        """Return the level of a service; 1 before one is known."""
        level = self._levels.get(service)
        return 1.0 if level is None else level.value

    def admits(self, service, priority, draw, now):
        """Return whether a request of a patient route is admitted by its rank.

        Parameters
        ----------
        service : str
            Its service.
        priority : int
            Its priority; one above that of the patient routes is always admitted.
        draw : float
            Random number from 0 to less than 1.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
        """
        level = self._levels.get(service)
        if level is None or priority < self.ranks[service][1]:
            return True
        # Without rounds, such as after a pause of the process, nothing is known.
        return now - level.updated_at > MAX_REPORT_AGE_S or draw < level.value

    def reports(self, now):
        """Return what this host reports to the others of its region.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of RankReport
            Empty if no service is ranked. The entries with levels come first, then
            those with the largest demand.
        """
        with_level, others = [], []
        for service, (_, patient) in self.ranks.items():
            level, sums = self._levels.get(service), self._sums.get(service, {})
            if level is not None and level.is_settled:
                permille = round(level.value * _PERMILLE)
                kept = sums.get(patient) or _Sum()
                with_level.append(_report(service, patient, kept, permille, now))
            else:
                others += [
                    _report(service, patient, sums[patient], None, now)
                    for _ in range(patient in sums)
                ]
            others += [
                _report(service, priority, kept, None, now)
                for priority, kept in sums.items()
                if priority != patient
            ]
        others = sorted((r for r in others if r.asked), key=lambda r: -r.asked)
        return (with_level + others)[:MAX_ENTRIES]

    def gauges(self, now):
        """Return the gauges of the ranked services, by name."""
        values = {}
        for service in self.ranks:
            values[f"rank_level_{service}"] = self.level(service)
            for priority, kept in self._sums.get(service, {}).items():
                asked, refused = kept.rates(now)
                values[f"rank_asked_tokens_per_s_{service}_{priority}"] = asked
                values[f"rank_refused_tokens_per_s_{service}_{priority}"] = refused
        return values


def _report(service, priority, kept, permille, now):
    asked, refused = (min(_MAX_I32, round(rate)) for rate in kept.rates(now))
    return RankReport(
        service=service,
        priority=priority,
        asked=asked,
        refused=refused,
        admitted_permille=permille,
    )
