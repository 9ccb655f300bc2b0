"""Configuration, endpoints and evacuations in force on one host.

All three come from one ordered log. A change is applied only if its revision, or
for a configuration its version, is higher than that of the same item in the
catalog. Applying changes is therefore commutative, whether they come from the log
or from another host, and nothing ever reverts.

Revisions are positions (:mod:`.positions`). After the start of an era, the source shows
an older copy until what it lost has been published again. Until then, what the copy
lacks or contradicts stays as it was, and an endpoint's entry counts only if it is newer
by the endpoint's own count.
"""

import hashlib

import attrs

from ..records import CallerLimits, Endpoint
from .positions import era_of, position
from .scheduling.patience import find_patient_routes, find_ranked_services

# What the source lost is published again within this time of the start of an era.
SETTLE_S = 2.2
# Revisions of removed endpoints that are kept, so that an older entry that arrives
# late does not restore one.
_MAX_REMOVED = 4096


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Version number; increasing, but not contiguous.
    routes : tuple of Route
        All routes.
    teams : dict of str to Team
        By name.
    team_by_key : dict of str to str
        Team names by the SHA-256 digests of their keys.
    services : dict of str to Service
        By name.
    limits : CallerLimits
        Limits of callers' requests.
    patient_routes, ranked_services : frozenset of str
        Routes whose requests may wait longer than more urgent ones, and the services
        that have such routes; see :mod:`.scheduling.patience`.
    team_priorities : frozenset of (int or None)
        Priorities of the teams. Collected where the teams are read, in bounded steps.
    """

    version: int
    routes: tuple
    teams: dict
    team_by_key: dict
    services: dict
    limits: CallerLimits
    team_priorities: frozenset = frozenset()
    patient_routes: frozenset = attrs.field(init=False)
    ranked_services: frozenset = attrs.field(init=False)

    @patient_routes.default
    def _find_patient_routes(self):
        return find_patient_routes(self.routes, self.services)

    @ranked_services.default
    def _find_ranked_services(self):
        return find_ranked_services(self.routes, self.services)


@attrs.frozen(kw_only=True)
class ConfigurationChange:
    """Publication of a configuration."""

    revision: int
    configuration: Configuration


@attrs.frozen(kw_only=True)
class EndpointChange:
    """Publication of an endpoint's entry; `endpoint` is None for its removal."""

    revision: int
    name: str
    endpoint: Endpoint | None


@attrs.frozen(kw_only=True)
class EvacuationChange:
    """Start or end of the evacuation of a zone, whose endpoints get no requests."""

    revision: int
    zone: str
    is_evacuated: bool


@attrs.frozen(kw_only=True)
class UnreadableItem:
    """A published item that could not be decoded, with the reason."""

    revision: int
    key: str
    problem: str
    is_configuration: bool = False


@attrs.define(eq=False)
class ListedEndpoint:
    """An endpoint's entry in the catalog of this host.

    Attributes
    ----------
    endpoint : Endpoint
        The entry.
    revision : int
        Revision of the entry.
    learned_at : float
        When this host first applied the entry, in seconds.
    removed_at : float or None
        When this host applied its removal, in seconds; None before.
    reopened_at : float
        When a host saw that an evacuation of its zone had ended after the entry was
        published, in seconds; minus infinity if none has.
    refused_at : float
        When it last refused a connection of this host, or accepted one for the first
        time after that, in seconds; minus infinity if it has not.
    """

    endpoint: Endpoint
    revision: int
    learned_at: float
    removed_at: float | None = None
    reopened_at: float = float("-inf")
    refused_at: float = float("-inf")

    def warming_until(self, warmup_s):
        """Return the time until which the endpoint may be warming up, in seconds.

        An entry does not show that the endpoint is warm after something that may have
        made it cold: an evacuation of its zone, or a restart, before which it refuses
        connections. What it publishes may reach the source only later.

        Parameters
        ----------
        warmup_s : float
            Warm-up time of its service, in seconds.
        """
        return max(
            self.learned_at + self.endpoint.warmup_left_s,
            max(self.reopened_at, self.refused_at) + warmup_s,
        )


@attrs.frozen
class _Evacuation:
    """Newest evacuation of a zone, or its end.

    Attributes
    ----------
    revision : int
        Revision of its start or end.
    is_evacuated : bool
        Whether the zone is evacuated.
    reopened_at : float
        When this host saw the end or else, if it started later, when another host
        did, in seconds; minus infinity if unknown.
    """

    revision: int
    is_evacuated: bool
    reopened_at: float = float("-inf")


def _life(endpoint):
    """Return an endpoint's own order of its entries; None without one."""
    life = (endpoint.started_ms, endpoint.sequence)
    return life if any(life) else None


def key_digest(secret):
    """Return the SHA-256 digest under which an API key is stored.

    Parameters
    ----------
    secret : bytes
        The key as sent by the caller.

    Returns
    -------
    str
    """
    return hashlib.sha256(secret).hexdigest()


def _is_known(endpoint, listed):
    """Return whether an entry of a later era says no more than the known one."""
    life, known_life = _life(endpoint), _life(listed.endpoint)
    if endpoint == listed.endpoint:
        return listed.removed_at is None or life is not None
    return life is not None and known_life is not None and life < known_life


def _mark_reopened(listed, evacuation):
    """Record the end of an evacuation if the entry was published before it."""
    if listed.revision <= evacuation.revision:
        listed.reopened_at = evacuation.reopened_at


@attrs.define(eq=False)
class Catalog:
    """Configuration, endpoints and evacuations in force on this host.

    Attributes
    ----------
    configuration : Configuration or None
        None until the first one has been applied.
    revision : int
        Revision up to which every change has been applied.
    settles_at : float
        When what the source shows counts as complete again after the start of an era,
        in seconds; minus infinity if none has started.
    listed_to : int
        Revision of the newest listing of the source that was applied.
    """

    configuration: Configuration | None = None
    revision: int = 0
    settles_at: float = float("-inf")
    listed_to: int = 0
    _endpoints: dict = attrs.field(factory=dict)
    _removed: dict = attrs.field(factory=dict)
    _withdrawn: set = attrs.field(factory=set)
    _evacuations: dict = attrs.field(factory=dict)
    _doubtful_evacuations: dict = attrs.field(factory=dict)
    _routes_by_host: dict = attrs.field(factory=dict)
    _names_by_service: dict = attrs.field(factory=dict)

    def apply(self, change, now):
        """Apply one change if it is newer than the current state.

        Parameters
        ----------
        change : ConfigurationChange, EndpointChange or EvacuationChange
            The published change.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True if something changed.
        """
        match change:
            case ConfigurationChange():
                return self._apply_configuration(change.configuration)
            case EndpointChange():
                return self._apply_endpoint(change, now)
            case EvacuationChange():
                return self._apply_evacuation(change, now)
        return False

    def is_outdated(self, change):
        """Return whether an item that another host sent is gone by an own listing.

        Parameters
        ----------
        change : ConfigurationChange, EndpointChange or EvacuationChange
            What the other host sent, maybe before that listing.
        """
        match change:
            case EndpointChange():
                is_known = change.name in self._endpoints
            case EvacuationChange():
                is_known = change.zone in self._evacuations
            case _:
                return False
        return not is_known and change.revision <= self.listed_to

    def enter_era(self, revision, now):
        """Begin the era of a revision if it is newer; return whether one begins.

        The first era that a host learns of has nothing before it.
        """
        if era_of(revision) <= era_of(self.revision):
            return False
        is_first = self.revision == 0
        self.mark_synced_to(position(era_of(revision), 0))
        if not is_first:
            self.settles_at = now + SETTLE_S
        return not is_first

    def is_settled(self, now):
        """Return whether all that was published before the era is so again, or gone."""
        return now >= self.settles_at

    def settle(self, now):
        """Apply the evacuations and ends that were in doubt, once it is settled.

        Returns
        -------
        list of EvacuationChange
            Those that had an effect.
        """
        if not self._doubtful_evacuations or not self.is_settled(now):
            return []
        changes = list(self._doubtful_evacuations.values())
        self._doubtful_evacuations.clear()
        return [change for change in changes if self.apply(change, now)]

    def mark_synced_to(self, revision):
        """Record that every change up to a revision has been applied."""
        self.revision = max(self.revision, revision)

    def _apply_configuration(self, configuration):
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        routes = {}
        for route in configuration.routes:
            routes.setdefault(route.host, []).append(route)
        for group in routes.values():
            group.sort(key=lambda route: -len(route.prefix))
        self._routes_by_host = routes
        return True

    def _apply_endpoint(self, change, now):
        current = self._endpoints.get(change.name)
        known_revision, removed_life = (
            (current.revision, None)
            if current
            else self._removed.get(change.name, (0, None))
        )
        if change.revision <= known_revision:
            return False
        if change.endpoint is not None:
            is_later_era = era_of(change.revision) > era_of(known_revision)
            life = _life(change.endpoint)
            if is_later_era and current and _is_known(change.endpoint, current):
                current.revision = change.revision
                return False
            if is_later_era and removed_life and life and life <= removed_life:
                self._remember_removed(change.name, change.revision, removed_life)
                return False
            self._removed.pop(change.name, None)
            listed = ListedEndpoint(change.endpoint, change.revision, now)
            if is_later_era and current:
                listed.reopened_at = current.reopened_at
                listed.refused_at = current.refused_at
            self._list(change.name, listed)
            evacuation = self._evacuations.get(change.endpoint.zone)
            if evacuation is not None:
                _mark_reopened(listed, evacuation)
        elif current is not None:
            current.revision = change.revision
            self._mark_removed(change.name, now)
        else:
            self._remember_removed(change.name, change.revision, removed_life)
        return True

    def _list(self, name, listed):
        known = self._endpoints.get(name)
        if known is not None and known.endpoint.serves != listed.endpoint.serves:
            self._unlist(name)
        self._withdrawn.discard(name)
        self._endpoints[name] = listed
        for service in listed.endpoint.serves:
            self._names_by_service.setdefault(service, {})[name] = None

    def _unlist(self, name):
        self._withdrawn.discard(name)
        known = self._endpoints.pop(name)
        for service in known.endpoint.serves:
            names = self._names_by_service[service]
            del names[name]
            if not names:
                del self._names_by_service[service]
        return known

    def _mark_removed(self, name, now):
        self._endpoints[name].removed_at = now
        self._withdrawn.add(name)

    def _remember_removed(self, name, revision, life):
        if len(self._removed) >= _MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))
        self._removed[name] = revision, life

    def _apply_evacuation(self, change, now):
        known = self._evacuations.get(change.zone)
        if known is not None and change.revision <= known.revision:
            return False
        was_evacuated = self.is_evacuated(change.zone)
        doubtful = self._doubtful_evacuations.get(change.zone)
        if doubtful is not None and change.revision <= doubtful.revision:
            return False
        self._doubtful_evacuations.pop(change.zone, None)
        if (
            known is not None
            and not self.is_settled(now)
            and era_of(change.revision) > era_of(known.revision)
            and change.is_evacuated != was_evacuated
        ):
            self._doubtful_evacuations[change.zone] = change
            return False
        self._record_evacuation(change, now)
        return change.is_evacuated != was_evacuated

    def _record_evacuation(self, change, now):
        is_end = self.is_evacuated(change.zone) and not change.is_evacuated
        reopened_at = now if is_end else float("-inf")
        self._set_evacuation(
            change.zone, _Evacuation(change.revision, change.is_evacuated, reopened_at)
        )

    def _set_evacuation(self, zone, evacuation):
        self._evacuations[zone] = evacuation
        for listed in self._endpoints.values():
            if listed.endpoint.zone == zone:
                _mark_reopened(listed, evacuation)

    def reopenings(self, now):
        """Return the zones whose endpoints may still warm up after an evacuation.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of (str, int, float)
            Zone, revision of the evacuation's end, and when a host saw it, in seconds.
        """
        services = self.configuration.services.values() if self.configuration else ()
        since = now - max((s.warmup_s for s in services), default=0.0)
        return [
            (zone, known.revision, known.reopened_at)
            for zone, known in self._evacuations.items()
            if known.reopened_at > since
        ]

    def merge_reopening(self, zone, revision, reopened_at):
        """Apply the end of an evacuation that another host saw and this one did not.

        An end that this host saw itself, or has yet to see, is left as it is.

        Parameters
        ----------
        zone : str
            The zone.
        revision : int
            Revision of the end.
        reopened_at : float
            When the other host saw it, in seconds.
        """
        known = self._evacuations.get(zone)
        if known is not None and (
            known.is_evacuated
            or known.revision > revision
            or (known.revision == revision and known.reopened_at > float("-inf"))
        ):
            return
        self._set_evacuation(zone, _Evacuation(revision, False, reopened_at))

    def keep_only(self, names, zones, revision, now):
        """Remove endpoints and evacuations that a complete listing lacks.

        Parameters
        ----------
        names : set of str
            Endpoints in the listing.
        zones : set of str
            Evacuated zones in the listing.
        revision : int
            Revision of the log before the listing began; later entries stay.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of EvacuationChange
            The ends of evacuations that this applied.
        """
        is_settled = self.is_settled(now)

        def is_outdated(published):
            if not is_settled and era_of(published.revision) < era_of(revision):
                return False
            return published.revision <= revision

        for name, listed in list(self._endpoints.items()):
            is_absent = name not in names and is_outdated(listed)
            if is_absent and listed.removed_at is None:
                # An older entry from another host does not restore it.
                listed.revision = revision
                self._mark_removed(name, now)
        ended = [
            EvacuationChange(revision=revision, zone=zone, is_evacuated=False)
            for zone, known in self._evacuations.items()
            if known.is_evacuated and zone not in zones and is_outdated(known)
        ]
        for change in ended:
            self._record_evacuation(change, now)
        return ended

    def forget_removed(self, before):
        """Delete endpoints removed before a time in seconds, keeping revisions."""
        for name in sorted(self._withdrawn):
            if self._endpoints[name].removed_at < before:
                listed = self._unlist(name)
                life = _life(listed.endpoint)
                self._remember_removed(name, listed.revision, life)

    def is_evacuated(self, zone):
        """Return whether a zone is evacuated, so that its endpoints get no requests."""
        known = self._evacuations.get(zone)
        return known is not None and known.is_evacuated

    def listed_for(self, service):
        """Return the listed endpoints of a service.

        Returns
        -------
        list of ListedEndpoint
        """
        return [self._endpoints[n] for n in self._names_by_service.get(service, ())]

    def names(self):
        """Return a view of the names of all listed endpoints, see :meth:`listed`."""
        return self._endpoints.keys()

    def listed(self):
        """Return all listed endpoints, including removed ones that are still kept."""
        return list(self._endpoints.values())

    def route_for(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes_of(self, host):
        """Return the routes of a host name, longest prefix first."""
        return self._routes_by_host.get(host, ())

    def team_for(self, secret):
        """Return the team that holds a key, or None.

        The key is looked up by its digest, so that the time of a look-up does not
        reveal how much of a guessed key is correct.
        """
        name = self.configuration.team_by_key.get(key_digest(secret))
        return None if name is None else self.configuration.teams.get(name)
