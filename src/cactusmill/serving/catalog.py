"""Configuration, endpoints and evacuations in force on one host.

All three come from one ordered log, so a change is applied only if its
revision is above the one held for the same item. The configuration's own
version only rises as well. Whichever way a change comes, from the log or from
another host, applying it is commutative and nothing ever reverts.
"""

import hashlib

import attrs

from ..records import CallerLimits, Endpoint

# Removed endpoints whose revisions are remembered, so that an older entry that
# arrives late does not bring one back.
_MAX_REMOVED = 4096


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of what operators configure.

    Attributes
    ----------
    version : int
        Its number; versions rise in uneven steps.
    routes : tuple of Route
        All routes.
    teams : dict of str to Team
        By name.
    team_by_key : dict of str to str
        Team names by the SHA-256 digests of their keys.
    services : dict of str to Service
        By name.
    limits : CallerLimits
        What callers may send.
    """

    version: int
    routes: tuple
    teams: dict
    team_by_key: dict
    services: dict
    limits: CallerLimits


@attrs.frozen(kw_only=True)
class ConfigurationChange:
    """The configuration that an item holds."""

    revision: int
    configuration: Configuration


@attrs.frozen(kw_only=True)
class EndpointChange:
    """An endpoint's entry, or None once it is removed."""

    revision: int
    name: str
    endpoint: Endpoint | None


@attrs.frozen(kw_only=True)
class EvacuationChange:
    """Whether a zone's endpoints are to get nothing."""

    revision: int
    zone: str
    is_evacuated: bool


@attrs.frozen(kw_only=True)
class UnreadableItem:
    """An item that could not be read, with the reason."""

    revision: int
    key: str
    problem: str


@attrs.define(eq=False)
class ListedEndpoint:
    """An endpoint's entry as this host holds it.

    Attributes
    ----------
    endpoint : Endpoint
        The entry.
    revision : int
        Revision of the entry.
    learned_at : float
        When this host learned it, in seconds.
    removed_at : float or None
        When it learned that the entry is gone, in seconds.
    """

    endpoint: Endpoint
    revision: int
    learned_at: float
    removed_at: float | None = None


def key_digest(secret):
    """Return the digest by which a key is known.

    Parameters
    ----------
    secret : bytes
        The key as the caller sent it.

    Returns
    -------
    str
    """
    return hashlib.sha256(secret).hexdigest()


@attrs.define(eq=False)
class Catalog:
    """What is in force on this host.

    Attributes
    ----------
    configuration : Configuration or None
        None until the first one is known.
    revision : int
        Revision up to which every change is known.
    """

    configuration: Configuration | None = None
    revision: int = 0
    _endpoints: dict = attrs.field(factory=dict)
    _removed: dict = attrs.field(factory=dict)
    _evacuations: dict = attrs.field(factory=dict)
    _routes_by_host: dict = attrs.field(factory=dict)
    _names_by_service: dict = attrs.field(factory=dict)

    def apply(self, change, now):
        """Apply one change if it is news.

        Parameters
        ----------
        change : ConfigurationChange, EndpointChange or EvacuationChange
            What was published.
        now : float
            Present time, in seconds.

        Returns
        -------
        bool
            True if something changed.
        """
        match change:
            case ConfigurationChange():
                return self._take_configuration(change.configuration)
            case EndpointChange():
                return self._take_endpoint(change, now)
            case EvacuationChange():
                return self._take_evacuation(change)
        return False

    def mark_synced_to(self, revision):
        """Count that every change up to a revision has been applied."""
        self.revision = max(self.revision, revision)

    def _take_configuration(self, configuration):
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        self.configuration = configuration
        routes = {}
        for route in configuration.routes:
            routes.setdefault(route.host, []).append(route)
        for group in routes.values():
            group.sort(key=lambda route: -len(route.prefix))
        self._routes_by_host = routes
        return True

    def _take_endpoint(self, change, now):
        held = self._endpoints.get(change.name)
        known = held.revision if held else self._removed.get(change.name, 0)
        if change.revision <= known:
            return False
        if change.endpoint is not None:
            self._removed.pop(change.name, None)
            self._endpoints[change.name] = ListedEndpoint(
                change.endpoint, change.revision, now
            )
        elif held is not None:
            held.revision = change.revision
            held.removed_at = now
        else:
            self._note_removed(change.name, change.revision)
        self._index()
        return True

    def _note_removed(self, name, revision):
        if len(self._removed) >= _MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))
        self._removed[name] = revision

    def _take_evacuation(self, change):
        revision, is_evacuated = self._evacuations.get(change.zone, (0, False))
        if change.revision <= revision:
            return False
        self._evacuations[change.zone] = (change.revision, change.is_evacuated)
        return change.is_evacuated != is_evacuated

    def _index(self):
        names = {}
        for name, listed in self._endpoints.items():
            for service in listed.endpoint.serves:
                names.setdefault(service, []).append(name)
        self._names_by_service = names

    def keep_only(self, names, zones, revision, now):
        """Remove what a complete listing does not hold any more.

        Parameters
        ----------
        names : set of str
            Endpoints in the listing.
        zones : set of str
            Evacuated zones in the listing.
        revision : int
            Revision of the log before the listing began; younger entries stay.
        now : float
            Present time, in seconds.
        """
        for name, listed in list(self._endpoints.items()):
            is_absent = name not in names and listed.revision <= revision
            if is_absent and listed.removed_at is None:
                listed.removed_at = now
        for zone, (known, is_evacuated) in list(self._evacuations.items()):
            if is_evacuated and zone not in zones and known <= revision:
                self._evacuations[zone] = (revision, False)

    def forget_removed(self, before):
        """Drop endpoints that were removed before a time, in seconds."""
        for name, listed in list(self._endpoints.items()):
            if listed.removed_at is not None and listed.removed_at < before:
                del self._endpoints[name]
                self._note_removed(name, listed.revision)
        self._index()

    def is_evacuated(self, zone):
        """Tell whether a zone's endpoints are to get nothing."""
        return self._evacuations.get(zone, (0, False))[1]

    def listed_for(self, service):
        """Return the listed endpoints of a service.

        Returns
        -------
        list of ListedEndpoint
        """
        return [self._endpoints[n] for n in self._names_by_service.get(service, ())]

    def listed(self):
        """Return all listed endpoints, also removed ones that are remembered."""
        return list(self._endpoints.values())

    def route_for(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes_of(self, host):
        """Return the routes under a host name."""
        return self._routes_by_host.get(host, ())

    def team_for(self, secret):
        """Return the team that holds a key, or None.

        The key is looked up by its digest: how long that takes says nothing
        about how much of a guessed key is right.
        """
        name = self.configuration.team_by_key.get(key_digest(secret))
        return None if name is None else self.configuration.teams.get(name)
