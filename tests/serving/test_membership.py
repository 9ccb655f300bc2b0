"""Membership: hosts discover each other and remove dead ones."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusmill.serving.membership import (
    DEAD_AFTER_S,
    REMOTE_DEAD_AFTER_S,
    REMOVE_AFTER_S,
    HostId,
    Membership,
)


def host_id(name, region="east", incarnation="1"):
    return HostId(
        name=name,
        ip="127.0.0.1",
        zone=f"{region}-a",
        region=region,
        incarnation=incarnation,
    )


def test_unresponsive_host_is_dead_after_its_timeout_and_later_removed():
    membership = Membership(host_id("me"))
    membership.record_host(host_id("near"), False, 0.0, 10.0)
    membership.record_host(host_id("far", "west"), False, 0.0, 10.0)
    names = lambda now: {m.id.name for m in membership.serving(now)}  # noqa: E731
    assert names(10.0 + DEAD_AFTER_S) == {"near", "far"}
    assert names(10.1 + DEAD_AFTER_S) == {"far"}
    assert names(10.1 + REMOTE_DEAD_AFTER_S) == set()
    membership.remove_expired(10.0 + REMOVE_AFTER_S)
    assert membership.known()
    membership.remove_expired(10.1 + REMOVE_AFTER_S)
    assert not membership.known()


def test_old_entry_does_not_add_a_dead_host_again():
    membership = Membership(host_id("me"))
    assert (
        membership.record_host(host_id("gone"), False, REMOTE_DEAD_AFTER_S + 1, 50.0)
        is None
    )
    assert not membership.known()


def test_restarted_host_replaces_its_earlier_process():
    membership = Membership(host_id("me"))
    membership.record_host(host_id("h", incarnation="1"), True, 0.0, 10.0)
    membership.record_host(host_id("h", incarnation="2"), False, 0.0, 11.0)
    assert [m.id.incarnation for m in membership.serving(11.0)] == ["2"]
    # An older entry about the earlier process changes nothing.
    membership.record_host(host_id("h", incarnation="1"), True, 1.5, 11.5)
    assert [m.id.incarnation for m in membership.serving(11.5)] == ["2"]


def test_shutdown_is_learned_from_other_hosts():
    membership = Membership(host_id("me"))
    membership.record_host(host_id("h"), False, 0.0, 10.0)
    membership.record_host(host_id("h"), True, 0.2, 10.1)
    assert not membership.serving(10.1)
    assert not membership.unresponsive(20.0)


@given(seed=st.integers(0, 2**32), hosts=st.integers(3, 30))
@settings(deadline=None)
def test_entries_spread_and_expire_with_random_receivers(seed, hosts):
    rng = random.Random(seed)
    ids = [host_id(f"h{n}") for n in range(hosts)]
    views = [Membership(i) for i in ids]
    now, dead = 0.0, 0
    for at in range(1, hosts):
        # Every host knows the seed, since its address is in the settings.
        views[at].record_host(ids[0], False, 0.0, now)

    def send_heartbeat(sender, receiver):
        views[receiver].record_host(ids[sender], False, 0.0, now)
        for member in views[sender].live(now):
            views[receiver].record_host(
                member.id, member.is_leaving, now - member.last_seen_at, now
            )

    for _ in range(12):
        now += 0.15
        for sender in range(hosts):
            known = [int(m.id.name[1:]) for m in views[sender].known()]
            for receiver in rng.sample(known, min(6, len(known))):
                send_heartbeat(sender, receiver)
    assert all(len(v.live(now)) == hosts - 1 for v in views)
    dead = hosts - 1
    stopped_at = now
    while now < stopped_at + 2 * DEAD_AFTER_S:
        now += 0.15
        for sender in range(hosts - 1):
            known = [int(m.id.name[1:]) for m in views[sender].known()]
            for receiver in rng.sample(known, min(6, len(known))):
                if receiver != dead:
                    send_heartbeat(sender, receiver)
    assert all(f"h{dead}" not in {m.id.name for m in v.live(now)} for v in views[:-1])
