"""Which hosts of a region watch the source, and which take changes from them.

Every call to the source counts, and every change answers every watch, so calls
would grow with hosts times changes. A few hosts of a region watch; the others
ask them for what their beats say is new, and watch by themselves as soon as no
watcher gets answers.
"""

import xxhash

# A connection may go silent, so a wait for changes is renewed well inside the
# time in which a configuration must be in force.
WATCH_S = 2.5
# Watchers of a region. One may be cut off from the source and one may be
# restarting.
WATCHERS = 3
# A waiting watch is answered after WATCH_S at the latest; the rest is the way of
# a beat. Longer silence is a watcher that has lost the source.
ANSWER_AGE_S = WATCH_S + 0.5


def watchers_of(names):
    """Return the hosts of a region that are to watch.

    Parameters
    ----------
    names : iterable of str
        The region's live hosts.

    Returns
    -------
    list of str
    """
    ranked = sorted(names, key=lambda n: xxhash.xxh64_intdigest(n.encode()))
    return ranked[:WATCHERS]


def may_follow(membership, now):
    """Tell whether a host may leave watching to others of its region.

    Parameters
    ----------
    membership : Membership
        The hosts, with the ages of the source's answers that they told.
    now : float
        Present time, in seconds.

    Returns
    -------
    bool
    """
    near = [
        m
        for m in membership.region_members()
        if membership.is_live(m, now) and not m.is_leaving
    ]
    me = membership.own_id.name
    if me in watchers_of([me, *(m.id.name for m in near)]):
        return False
    return any(now - m.source_answered_at <= ANSWER_AGE_S for m in near)
