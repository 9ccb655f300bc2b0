"""Learning what is in force: a full listing, then what changes.

The source may be slow, down, out of history or silent, for some hosts only.
Whatever was learned stays in force meanwhile. Hosts that fall behind their
peers ask one of them.
"""

import attrs
import trio

from ..errors import ConnectError, LinkClosedError, PlatformError
from .catalog import (
    ConfigurationChange,
    EndpointChange,
    EvacuationChange,
    UnreadableItem,
)
from .events import log_event
from .forwarding import fetch_items
from .watchers import WATCH_S, may_follow

# Between two looks for hosts that know more: less than the time between beats.
CATCH_UP_S = 0.1
# A host that could not get changes from another watches by itself for this long.
_WATCH_AFTER_FAILURE_S = 5.0
# An answer to a waiting watch is due within WATCH_S and its way.
_ANSWER_MARGIN_S = 0.5
_FIRST_RETRY_S = 0.1
_LAST_RETRY_S = 1.0
# Entries of endpoints that lapsed while the source was away are back this soon
# after its return; until then they count as listed.
LAPSE_S = 2.2
# Removed endpoints are remembered this long, for entries that come late.
_REMEMBER_REMOVED_S = 30.0


class HistoryLostError(PlatformError):
    """The source no longer has the changes that were asked for."""


@attrs.frozen(kw_only=True)
class Source:
    """Where items come from, as functions.

    Attributes
    ----------
    list_all : callable
        ``await list_all()`` returns ``(changes, revision)``.
    wait_for_changes : callable
        ``await wait_for_changes(revision, wait_s)`` returns
        ``(changes, revision)`` behind a revision, raising
        :class:`HistoryLostError` if it cannot.
    export : callable
        ``export(since, revision)`` returns the items behind a revision, as bytes
        for another host, complete up to the later revision.
    read_export : callable
        ``read_export(data)`` returns ``(changes, revision)`` of another host's
        export.
    count_calls : callable
        ``count_calls()`` returns the calls made so far.
    """

    list_all: object
    wait_for_changes: object
    export: object
    read_export: object
    count_calls: object


@attrs.define(eq=False)
class Availability:
    """How long the source has answered.

    Attributes
    ----------
    failing_since : float or None
        When it began to fail, in seconds; None while it answers.
    back_at : float
        When it last came back, in seconds.
    answered_at : float
        When it last answered, in seconds.
    failed_elsewhere_at : float
        When another host of the region last said that it fails, in seconds.
    follows_from : float
        Time from which changes may be left to other hosts, in seconds.
    """

    failing_since: float | None = None
    back_at: float = float("-inf")
    answered_at: float = float("-inf")
    failed_elsewhere_at: float = float("-inf")
    follows_from: float = float("-inf")

    def record_failure(self, now):
        """Count a failed call; return True if it is the first in a row."""
        if self.failing_since is not None:
            return False
        self.failing_since = now
        return True

    def note_answer(self, now):
        """Count an answer; return True if it ends a time of failures."""
        self.answered_at = now
        if self.failing_since is None:
            return False
        self.failing_since = None
        self.back_at = now
        return True

    def note_following(self, now):
        """Count that others get answers; return True if calls failed here."""
        was_failing = self.failing_since is not None
        if was_failing:
            self.failing_since, self.back_at = None, now
        return was_failing

    def is_answering(self, now):
        """Tell whether the source answers, as far as its last answer says."""
        is_recent = now - self.answered_at < WATCH_S + _ANSWER_MARGIN_S
        return self.failing_since is None and is_recent

    def removal_grace_s(self, now):
        """Return how long a removed entry still counts as listed, in seconds.

        Entries may lapse while the source is away though the endpoints live.
        """
        last_failed = max(self.back_at, self.failed_elsewhere_at)
        if self.failing_since is not None or now - last_failed < LAPSE_S:
            return LAPSE_S
        return 0.0


async def learn_for_ever(host, source):
    """Keep a host's catalog up to date until cancelled.

    Parameters
    ----------
    host : GatewayHost
        This process.
    source : Source
        Where items come from.
    """
    revision, retry_s = None, _FIRST_RETRY_S
    is_following = False
    while True:
        may = revision is not None and _follows(host, host.now())
        if may != is_following:
            is_following = may
            if may:
                log_event("watch_left_to_others", revision=revision)
                if host.availability.note_following(host.now()):
                    log_event("platform_regained", revision=revision)
            else:
                log_event("watch_taken_up", revision=revision)
        if is_following:
            await trio.sleep(CATCH_UP_S)
            continue
        try:
            if revision is None:
                changes, revision = await source.list_all()
                _take_listing(host, changes, revision)
            else:
                # Other hosts may have told more meanwhile.
                revision = max(revision, host.catalog.revision)
                changes, revision = await source.wait_for_changes(revision, WATCH_S)
                take_changes(host, changes)
            host.catalog.note_complete(revision)
        except HistoryLostError as exc:
            log_event("history_lost", revision=revision, reason=str(exc))
            revision = None
            continue
        except PlatformError as exc:
            if host.availability.record_failure(host.now()):
                log_event("platform_lost", revision=revision, reason=str(exc))
            await trio.sleep(retry_s * (0.5 + host.rng.random()))
            retry_s = min(_LAST_RETRY_S, 2 * retry_s)
            continue
        retry_s = _FIRST_RETRY_S
        if host.availability.note_answer(host.now()):
            log_event("platform_regained", revision=revision)


async def catch_up_for_ever(host, source):
    """Ask other hosts for what the source does not tell this one.

    Parameters
    ----------
    host : GatewayHost
        This process.
    source : Source
        Reads other hosts' exports.
    """
    while True:
        await trio.sleep(CATCH_UP_S)
        member = ahead_of(host, host.now())
        if member is None:
            continue
        try:
            data = await fetch_items(host, member, host.catalog.revision)
            changes, revision = source.read_export(data)
        except (ConnectError, LinkClosedError, PlatformError) as exc:
            log_event("catch_up_failed", host=member.id.name, reason=repr(exc))
            host.availability.follows_from = host.now() + _WATCH_AFTER_FAILURE_S
            continue
        log_event("caught_up", host=member.id.name, revision=revision)
        take_changes(host, changes)
        host.catalog.note_complete(revision)


def _follows(host, now):
    """Tell whether this host leaves watching to others of its region."""
    is_sound = now >= host.availability.follows_from
    return is_sound and may_follow(host.membership, now)


def ahead_of(host, now):
    """Return a member to ask for what this host does not learn by itself.

    Any other host will do while the source does not answer here; a host that
    leaves watching to others asks those of its region.

    Parameters
    ----------
    host : GatewayHost
        This process.
    now : float
        Present time, in seconds.

    Returns
    -------
    Member or None
    """
    membership = host.membership
    is_following = _follows(host, now)
    if not is_following and host.availability.is_answering(now):
        return None
    live = [m for m in membership.live(now) if m.revision > host.catalog.revision]
    near = [m for m in live if m.id.region == membership.own_id.region]
    ahead = near if is_following else live
    return host.rng.choice(ahead) if ahead else None


def _take_listing(host, changes, revision):
    take_changes(host, changes)
    names = {c.name for c in changes if isinstance(c, EndpointChange)}
    zones = {c.zone for c in changes if isinstance(c, EvacuationChange)}
    host.catalog.keep_only(names, zones, revision, host.now())


def take_changes(host, changes):
    """Apply changes and log those that change what this host believes.

    Parameters
    ----------
    host : GatewayHost
        This process.
    changes : list
        As published.
    """
    now = host.now()
    for change in changes:
        if isinstance(change, UnreadableItem):
            log_event(
                "item_unreadable",
                key=change.key,
                revision=change.revision,
                reason=change.problem,
            )
            continue
        if not host.catalog.apply(change, now):
            continue
        _log_change(change)
        if isinstance(change, EndpointChange) and change.endpoint is not None:
            host.placement.update_endpoint(change.endpoint)
    host.catalog.forget_removed(now - _REMEMBER_REMOVED_S)
    host.placement.keep_only({e.endpoint.name for e in host.catalog.listed()})


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
