"""Synchronization of the catalog with the source: a full listing, then changes.

The source is the platform's store, in which the configuration and the endpoints are
published. Each change has a revision, a number that increases over all changes.

The source may be slow, down, unresponsive or without the history that was asked
for, possibly for some hosts only. What a host has applied stays in force
meanwhile. Hosts that are behind their peers fetch the changes from one of them, which
must have seen all changes since, removals included (:mod:`.history`).
"""

import math

import attrs
import trio

from ..errors import ConnectError, LinkClosedError, PlatformError
from ..internal.containment.evidence import Evidence
from ..internal.steps import Steps
from .catalog import (
    SETTLE_S,
    ConfigurationChange,
    EndpointChange,
    EvacuationChange,
    UnreadableItem,
)
from .events import log_event
from .forwarding import fetch_items
from .history import IncompleteExportError
from .positions import era_of, revision_of
from .watchers import WATCH_TIMEOUT_S, WATCHERS_PER_REGION, may_follow

# Interval at which a host checks for peers with newer revisions: shorter than the
# interval of heartbeats.
PEER_SYNC_INTERVAL_S = 0.1
# A host that could not fetch changes from a peer watches the source itself this
# long.
_WATCH_AFTER_PEER_FAILURE_S = 5.0
# The response to a watch is due within WATCH_TIMEOUT_S plus its latency.
_RESPONSE_MARGIN_S = 0.5
# Delays between calls to a source that fails; they double up to the last.
_FIRST_RETRY_S = 0.1
_LAST_RETRY_S = 1.0
# Entries of endpoints that expired while the source was unavailable are published
# again this soon after it recovers; until then they count as listed.
REMOVAL_GRACE_S = SETTLE_S
# Hosts list again spread over this time once an era has settled, and over more time in
# larger regions.
_SETTLE_SPREAD_S = 0.3
# How long a host that started lately may be the only one known with a newer revision;
# the others' heartbeats arrive within this time.
_HISTORY_WAIT_S = 0.5
# Removed endpoints are kept this long, so that late entries do not restore them.
_KEEP_REMOVED_S = 30.0


class HistoryLostError(PlatformError):
    """The source no longer holds the requested changes; a new listing is needed."""


@attrs.frozen
class Export:
    """What another host sent of the source's items.

    Attributes
    ----------
    changes : list
        Changes as published.
    revision : int
        Revision up to which they are complete.
    is_copy : bool
        Whether these are all items, so that any other one has been removed.
    """

    changes: list
    revision: int
    is_copy: bool


@attrs.frozen(kw_only=True)
class Source:
    """Functions that read published items from the source.

    Attributes
    ----------
    list_all : callable
        ``await list_all()`` returns ``(changes, revision)``.
    wait_for_changes : callable
        ``await wait_for_changes(revision, wait_s)`` returns
        ``(changes, revision)`` after a revision, raising
        :class:`HistoryLostError` if the source no longer holds them.
    export : callable
        ``await export(since, revision)`` returns the items after a revision as bytes
        for another host, complete up to the later revision; all items for 0.
    read_export : callable
        ``await read_export(data, since)`` returns an :class:`Export`, raising
        :class:`IncompleteExportError` if it may lack changes after `since`.
    count_calls : callable
        ``count_calls()`` returns the calls made so far.
    """

    list_all: object
    wait_for_changes: object
    export: object
    read_export: object
    count_calls: object


@attrs.define(eq=False)
class SourceHealth:
    """Whether the source responds to this host, and since when.

    Attributes
    ----------
    failing_since : float or None
        When calls began to fail, in seconds; None while they succeed.
    recovered_at : float
        When calls last succeeded again after a failure, in seconds.
    responded_at : float
        When the source last responded, in seconds.
    remote_failure_at : float
        When another host of the region last reported failing calls, in seconds.
    follow_after : float
        Time from which this host may follow other hosts of its region, fetching
        changes from them instead of watching the source, in seconds.
    is_configuration_unreadable : bool
        Whether the source has had a configuration that could not be decoded.
    lacks_history_since : float or None
        Since when no host from which this one may fetch has all the changes that it
        needs, in seconds; None if one may.
    copied_at : float
        When this host last copied all items of another one, in seconds. Such a copy is
        as good as its sender's; a listing of the source replaces it.
    """

    failing_since: float | None = None
    recovered_at: float = float("-inf")
    responded_at: float = float("-inf")
    remote_failure_at: float = float("-inf")
    follow_after: float = float("-inf")
    is_configuration_unreadable: bool = False
    lacks_history_since: float | None = None
    copied_at: float = float("-inf")

    def record_failure(self, now):
        """Record a failed call; return True if it is the first in a row."""
        if self.failing_since is not None:
            return False
        self.failing_since = now
        return True

    def record_response(self, now):
        """Record a response; return True if it ends a series of failures."""
        self.responded_at = now
        if self.failing_since is None:
            return False
        self.failing_since = None
        self.recovered_at = now
        return True

    def clear_failure(self, now):
        """End a series of failures when this host begins to follow others.

        A follower makes no calls whose success could end it. Returns True if
        calls were failing.
        """
        was_failing = self.failing_since is not None
        if was_failing:
            self.failing_since, self.recovered_at = None, now
        return was_failing

    def is_responding(self, now):
        """Return whether calls succeed and the last response is recent."""
        is_recent = now - self.responded_at < WATCH_TIMEOUT_S + _RESPONSE_MARGIN_S
        return self.failing_since is None and is_recent

    def removal_grace_s(self, now):
        """Return how long a removed entry still counts as listed, in seconds.

        Entries of live endpoints may expire while the source is unavailable.
        """
        last_failed = max(self.recovered_at, self.remote_failure_at)
        if self.failing_since is not None or now - last_failed < REMOVAL_GRACE_S:
            return REMOVAL_GRACE_S
        return 0.0


async def sync_from_source(host, source):
    """Keep a host's catalog in sync with the source until cancelled.

    The host does not watch the source while it follows other hosts of its region.

    Parameters
    ----------
    host : GatewayHost
        This process.
    source : Source
        Source of published items.
    """
    revision, retry_s = None, _FIRST_RETRY_S
    is_following = False
    listed_at, spread = -math.inf, host.rng.random()
    while True:
        list_again_at = _listing_due_at(host, listed_at, spread)
        should_follow = (
            revision is not None
            and host.now() < list_again_at
            and _is_follower(host, host.now())
        )
        if should_follow != is_following:
            is_following = should_follow
            if should_follow:
                log_event("watch_left_to_others", revision=revision)
                if host.source_health.clear_failure(host.now()):
                    log_event("platform_regained", revision=revision)
            else:
                log_event("watch_taken_up", revision=revision)
        if is_following:
            await trio.sleep(PEER_SYNC_INTERVAL_S)
            continue
        try:
            if (
                revision is None
                or host.now() >= list_again_at
                or era_of(revision) < era_of(host.catalog.revision)
            ):
                began_at = host.now()
                changes, revision = await source.list_all()
                if era_of(revision) < era_of(host.catalog.revision):
                    raise PlatformError("the listing is of an era that has ended")
                enter_era(host, revision)
                await _apply_listing(host, changes, revision)
                host.catalog.listed_to = revision
                listed_at = began_at
            else:
                # Other hosts may have supplied later changes meanwhile.
                revision = max(revision, host.catalog.revision)
                changes, revision = await source.wait_for_changes(
                    revision, min(WATCH_TIMEOUT_S, max(0.0, list_again_at - host.now()))
                )
                await apply_changes(host, changes)
            host.catalog.mark_synced_to(revision)
        except HistoryLostError as exc:
            log_event("history_lost", revision=revision, reason=str(exc))
            revision = None
            continue
        except PlatformError as exc:
            if host.source_health.record_failure(host.now()):
                log_event("platform_lost", revision=revision, reason=str(exc))
            await trio.sleep(retry_s * (0.5 + host.rng.random()))
            retry_s = min(_LAST_RETRY_S, 2 * retry_s)
            continue
        retry_s = _FIRST_RETRY_S
        if host.source_health.record_response(host.now()):
            log_event("platform_regained", revision=revision)


def _listing_due_at(host, listed_at, spread):
    """Return when this host is to list the source again.

    Parameters
    ----------
    host : GatewayHost
        This process.
    listed_at : float
        When its last listing began, in seconds.
    spread : float
        Place of this host among those that list, from 0 to 1.

    Returns
    -------
    float
        Time in seconds; infinite if no listing is due.
    """
    if host.source_health.copied_at >= listed_at > -math.inf:
        return listed_at
    settles_at = host.catalog.settles_at
    if listed_at >= settles_at:
        return math.inf
    # Followers list too: what the source lost and nobody published again leaves no
    # change that they could fetch.
    spread_s = _SETTLE_SPREAD_S * spread
    if _is_follower(host, host.now()):
        spread_s *= (1 + host.membership.count_region_members()) / WATCHERS_PER_REGION
    return settles_at + spread_s


async def sync_from_hosts(host, source):
    """Fetch changes from other hosts while the source does not supply them.

    Parameters
    ----------
    host : GatewayHost
        This process.
    source : Source
        Reads exports of other hosts.
    """
    while True:
        await trio.sleep(PEER_SYNC_INTERVAL_S)
        for change in host.catalog.settle(host.now()):
            _log_change(change)
        member = choose_sync_peer(host, host.now())
        while member is not None and await _fetch_lacks_history(host, member, source):
            member = choose_sync_peer(host, host.now())
        _watch_if_history_is_lacking(host, host.now())


async def _fetch_lacks_history(host, member, source):
    """Fetch changes from another host; return whether it has not seen all of them."""
    health, since = host.source_health, host.catalog.revision
    if is_unconfigured(host) or member.history_since > since:
        since = 0
    try:
        data = await fetch_items(host, member, since)
        export = await source.read_export(data, since)
    except (ConnectError, LinkClosedError, PlatformError) as exc:
        if since and isinstance(exc, IncompleteExportError):
            _record_incomplete_history(host, member, since, exc.complete_after)
            return True
        log_event("catch_up_failed", host=member.id.name, reason=repr(exc))
        health.follow_after = host.now() + _WATCH_AFTER_PEER_FAILURE_S
        return False
    revision = export.revision
    log_event("caught_up", host=member.id.name, since=since, revision=revision)
    enter_era(host, revision)
    is_outdated = host.catalog.is_outdated
    if export.is_copy:
        health.copied_at = host.now()
        await _apply_listing(host, export.changes, revision, is_outdated)
    else:
        await apply_changes(host, export.changes, is_outdated)
    host.catalog.mark_synced_to(revision)
    health.lacks_history_since = None
    return False


def _record_incomplete_history(host, member, since, complete_after):
    member.history_since = complete_after
    if host.source_health.lacks_history_since is None:
        host.source_health.lacks_history_since = host.now()
    log_event(
        "history_incomplete",
        host=member.id.name,
        since=since,
        complete_after=complete_after,
    )


def _watch_if_history_is_lacking(host, now):
    """Let a follower watch the source if no other host has what it lacks."""
    health = host.source_health
    if not host.membership.has_newer_revision(host.catalog.revision):
        health.lacks_history_since = None
    elif _lacks_history(host, now) and _is_follower(host, now):
        health.follow_after = now + _WATCH_AFTER_PEER_FAILURE_S
        health.lacks_history_since = None


def enter_era(host, revision):
    """Begin the era of a revision of the source if it is newer, and log it."""
    previous = host.catalog.revision
    if host.catalog.enter_era(revision, host.now()):
        log_event(
            "era_begun",
            era=era_of(revision),
            revision=revision_of(revision),
            previous_era=era_of(previous),
            previous_revision=revision_of(previous),
        )


def _is_follower(host, now):
    """Return whether this host leaves watching to others of its region."""
    is_allowed = now >= host.source_health.follow_after
    return is_allowed and may_follow(host.membership, now)


def is_unconfigured(host):
    """Return whether all that the source has for this host is unreadable."""
    is_unreadable = host.source_health.is_configuration_unreadable
    return is_unreadable and host.catalog.configuration is None


def choose_sync_peer(host, now):
    """Return a random member with a newer revision to fetch changes from.

    A follower fetches from hosts of its region. A host to which the source does
    not respond fetches from any host, and one for which the source has no readable
    configuration from any that has one; all others from none.

    Members are preferred that may have seen all changes that this host lacks. If
    there has been none for a while, a host that cannot watch the source copies all
    items of any newer one.

    Parameters
    ----------
    host : GatewayHost
        This process.
    now : float
        Current time, in seconds.

    Returns
    -------
    Member or None
    """
    membership = host.membership
    if is_unconfigured(host):
        configured = [m for m in membership.live(now) if m.configuration_version]
        return host.rng.choice(configured) if configured else None
    if not membership.has_newer_revision(host.catalog.revision):
        return None
    is_following = _is_follower(host, now)
    if not is_following and host.source_health.is_responding(now):
        return None
    newer = [m for m in membership.live(now) if m.revision > host.catalog.revision]
    in_region = [m for m in newer if m.id.region == membership.own_id.region]
    candidates = in_region if is_following else newer
    complete = [m for m in candidates if m.history_since <= host.catalog.revision]
    if not (complete or is_following) and _lacks_history(host, now):
        complete = candidates
    return host.rng.choice(complete) if complete else None


def _lacks_history(host, now):
    """Return whether no host has had the changes that this one lacks for a while."""
    lacking_since = host.source_health.lacks_history_since
    return lacking_since is not None and now - lacking_since >= _HISTORY_WAIT_S


def _is_never_outdated(change):
    return False


async def _apply_listing(host, changes, revision, is_outdated=_is_never_outdated):
    if host.catalog.configuration is None:
        # The configuration makes the host ready, so the endpoints come first.
        changes = sorted(changes, key=lambda c: isinstance(c, ConfigurationChange))
    await apply_changes(host, changes, is_outdated)
    names = {c.name for c in changes if isinstance(c, EndpointChange)}
    zones = {c.zone for c in changes if isinstance(c, EvacuationChange)}
    for change in host.catalog.keep_only(names, zones, revision, host.now()):
        _log_change(change)


async def apply_changes(host, changes, is_outdated=_is_never_outdated):
    """Apply changes and log those that had an effect, while other tasks get turns.

    Each change takes effect at once and as a whole. Changes commute, so others may be
    applied between the steps.

    Parameters
    ----------
    host : GatewayHost
        This process.
    changes : list
        Changes as published.
    is_outdated : callable
        ``is_outdated(change)`` returns whether to leave out a change when its turn
        comes.
    """
    steps = Steps(host.now)
    for change in changes:
        if not is_outdated(change):
            _apply_change(host, change)
        await steps.pause()
    host.catalog.forget_removed(host.now() - _KEEP_REMOVED_S)
    host.placement.keep_only(host.catalog.names())


def _apply_change(host, change):
    if isinstance(change, UnreadableItem):
        if change.is_configuration:
            host.source_health.is_configuration_unreadable = True
        log_event(
            "item_unreadable",
            key=change.key,
            revision=change.revision,
            reason=change.problem,
        )
        return
    if not host.catalog.apply(change, host.now()):
        return
    _log_change(change)
    if isinstance(change, EndpointChange):
        _record_crash_evidence(host, change, host.now())
        if change.endpoint is not None:
            host.placement.update_endpoint(change.endpoint)


def _record_crash_evidence(host, change, now):
    """Count crashes that a change of an endpoint's entry shows.

    Entries of live endpoints may expire while the source is unavailable.
    """
    if change.endpoint is not None:
        for name in host.containment.interruptions.find_replaced(change.endpoint):
            host.record_crash_evidence(name, Evidence.REPLACED, now)
    elif not host.removal_grace_s(now):
        host.record_crash_evidence(change.name, Evidence.REMOVED, now)


def _log_change(change):
    match change:
        case ConfigurationChange():
            log_event(
                "configuration_in_force",
                version=change.configuration.version,
                revision=change.revision,
                routes=len(change.configuration.routes),
            )
        case EndpointChange(endpoint=None):
            log_event(
                "endpoint_removed", endpoint=change.name, revision=change.revision
            )
        case EndpointChange():
            log_event(
                "endpoint_listed",
                endpoint=change.name,
                revision=change.revision,
                is_live=change.endpoint.live,
                cold_s=change.endpoint.warmup_left_s,
                address=change.endpoint.address,
            )
        case EvacuationChange():
            log_event(
                "evacuation",
                zone=change.zone,
                is_evacuated=change.is_evacuated,
                revision=change.revision,
            )
