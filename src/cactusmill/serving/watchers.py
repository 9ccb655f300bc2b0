"""Choice of the hosts of a region that watch the source for all others.

Calls to the source have a cost, and every change completes every pending watch,
so calls would grow with hosts times changes. Only a few hosts of a region watch.
The others follow: they fetch the changes that the watchers' heartbeats announce,
and watch the source themselves as soon as no watcher gets responses.
"""

import functools
import heapq

import xxhash

# A connection may stop responding without being closed, so watches are renewed well
# within the time in which a configuration must be in force.
WATCH_TIMEOUT_S = 2.5
# One watcher may be partitioned from the source while another restarts.
WATCHERS_PER_REGION = 3
# The source responds to a watch after WATCH_TIMEOUT_S at the latest; the rest covers
# the delay of a heartbeat. A watcher without a response for longer has lost the
# source.
MAX_RESPONSE_AGE_S = WATCH_TIMEOUT_S + 0.5


def choose_watchers(names):
    """Return the hosts of a region that watch the source.

    All hosts with the same view choose the same watchers.

    Parameters
    ----------
    names : iterable of str
        Names of the region's live hosts.

    Returns
    -------
    list of str
    """
    return heapq.nsmallest(WATCHERS_PER_REGION, names, key=_rank)


@functools.lru_cache(maxsize=4096)
def _rank(name):
    return xxhash.xxh64_intdigest(name.encode())


def may_follow(membership, now):
    """Return whether a host may leave watching to others of its region.

    Parameters
    ----------
    membership : Membership
        The hosts, with the times of the source's last responses to them.
    now : float
        Current time, in seconds.

    Returns
    -------
    bool
    """
    in_region = [
        m
        for m in membership.region_members()
        if membership.is_live(m, now) and not m.is_leaving
    ]
    own_name = membership.own_id.name
    if own_name in choose_watchers([own_name, *(m.id.name for m in in_region)]):
        return False
    return any(now - m.source_responded_at <= MAX_RESPONSE_AGE_S for m in in_region)
