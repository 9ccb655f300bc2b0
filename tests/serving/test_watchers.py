"""A few hosts of a region watch the source; the others take changes from them."""

import base64
import json

import trio

from cactusmill.errors import LinkClosedError
from cactusmill.platform.store import StoreClient
from cactusmill.serving import source_sync
from cactusmill.serving.membership import DEAD_AFTER_S, Membership
from cactusmill.serving.watchers import (
    ANSWER_AGE_S,
    WATCHERS,
    may_follow,
    watchers_of,
)
from standins.loopback import running_deployment

from .test_membership import host_id

NAMES = [f"h{n}" for n in range(8)]
HOSTS = [(name, "east-a") for name in NAMES]


def membership_of(me, answered_at):
    """Return what a host knows when watchers had answers at a time."""
    membership = Membership(host_id(me))
    for name in NAMES:
        if name != me:
            member = membership.record_host(host_id(name), False, 0.0, 10.0)
            if name in watchers_of(NAMES):
                member.source_answered_at = answered_at
    return membership


def test_few_hosts_watch_whoever_asks():
    watchers = [n for n in NAMES if not may_follow(membership_of(n, 10.0), 10.0)]
    assert sorted(watchers) == sorted(watchers_of(NAMES))
    assert len(watchers) == WATCHERS


def test_small_region_watches_with_all_hosts():
    membership = Membership(host_id("a"))
    for name in ("b", "c"):
        membership.record_host(
            host_id(name), False, 0.0, 10.0
        ).source_answered_at = 10.0
    assert not may_follow(membership, 10.0)


def test_watchers_without_answers_are_not_followed():
    follower = next(n for n in NAMES if n not in watchers_of(NAMES))
    assert may_follow(membership_of(follower, 10.0), 10.0)
    stale = membership_of(follower, 10.0 - ANSWER_AGE_S - 0.1)
    assert not may_follow(stale, 10.0)


def test_silent_watchers_are_not_followed():
    follower = next(n for n in NAMES if n not in watchers_of(NAMES))
    membership = membership_of(follower, 10.0)
    assert not may_follow(membership, 10.1 + DEAD_AFTER_S)


def followers(deployment):
    return [
        h
        for h in deployment.hosts.values()
        if may_follow(h.membership, trio.current_time())
    ]


async def settled_site(deployment):
    """Wait until all but the watchers follow."""
    wanted = len(HOSTS) - WATCHERS
    await deployment.wait_until(lambda: len(followers(deployment)) == wanted, 8.0)
    # Watches that were waiting before run out.
    await trio.sleep(3.0)


async def wait_for_endpoint(deployment, name, timeout_s):
    def all_know():
        return all(
            name in {e.endpoint.name for e in h.catalog.listed()}
            for h in deployment.hosts.values()
        )

    began = trio.current_time()
    await deployment.wait_until(all_know, timeout_s)
    return trio.current_time() - began


def test_followers_learn_changes_without_calls_of_their_own():
    async def main():
        async with running_deployment(HOSTS) as deployment:
            await settled_site(deployment)
            before = {n: h.source.count_calls() for n, h in deployment.hosts.items()}
            await deployment.add_endpoint("w1", "east-a", "engines")
            assert await wait_for_endpoint(deployment, "w1", 2.0) < 1.0
            deployment.store.remove("servers/w1")
            await deployment.wait_until(
                lambda: all(
                    e.removed_at is not None
                    for h in deployment.hosts.values()
                    for e in h.catalog.listed()
                ),
                2.0,
            )
            callers = [
                n
                for n, h in deployment.hosts.items()
                if h.source.count_calls() > before[n]
            ]
            assert sorted(callers) == sorted(watchers_of(NAMES))

    trio.run(main)


def test_followers_watch_once_all_watchers_are_cut_off():
    async def main():
        async with running_deployment(HOSTS) as deployment:
            await settled_site(deployment)
            for name in watchers_of(NAMES):
                await deployment.disconnect_from_store(name)
            await deployment.add_endpoint("w1", "east-a", "engines")
            # Within the time in which a configuration must be in force.
            assert await wait_for_endpoint(deployment, "w1", 4.0) < 4.0

    trio.run(main)


def test_removal_in_lost_history_reaches_followers():
    """A watcher that lists anew tells others of what the listing lacks."""

    async def main():
        async with running_deployment(
            HOSTS, [("w1", "east-a", "engines")]
        ) as deployment:
            await settled_site(deployment)
            deployment.store.is_down = True
            await trio.sleep(0.1)
            deployment.store.items.pop("servers/w1")
            deployment.store.revision += 1
            deployment.store.compact_history()
            deployment.store.is_down = False
            await deployment.wait_until(
                lambda: all(
                    e.removed_at is not None
                    for h in deployment.hosts.values()
                    for e in h.catalog.listed()
                ),
                6.0,
            )

    trio.run(main)


def test_follower_whose_pull_fails_watches_by_itself(monkeypatch):
    """A configuration of a megabyte fills the links of its watchers."""

    async def main():
        async with running_deployment(HOSTS) as deployment:
            await settled_site(deployment)

            async def never(*_):
                raise LinkClosedError("no answer in time")

            monkeypatch.setattr(source_sync, "fetch_items", never)
            await deployment.add_endpoint("w1", "east-a", "engines")
            assert await wait_for_endpoint(deployment, "w1", 4.0) < 1.0

    trio.run(main)


def test_export_of_a_large_configuration_is_small():
    client = StoreClient("127.0.0.1:1", None, {})
    routes = [{"name": f"r-{n}", "path_prefix": f"/p{n}/"} for n in range(2000)]
    value = base64.b64encode(json.dumps({"routes": routes}).encode()).decode()
    client._cache_item({"key": "k", "revision": 7, "value": value})
    assert len(client.export(0, 7)) < len(value) / 4
    assert client.read_export(client.export(7, 7)) == ([], 7)


def test_followers_do_not_go_on_saying_that_the_store_fails():
    # Found in review: a host that began to follow while its own calls failed never
    # called again, and told its region for ever that the store does not answer.
    async def main():
        async with running_deployment(HOSTS) as deployment:
            await settled_site(deployment)
            deployment.store.is_down = True
            hosts = list(deployment.hosts.values())
            await deployment.wait_until(
                lambda: all(h.availability.failing_since for h in hosts), 8.0
            )
            follower = next(n for n in NAMES if n not in watchers_of(NAMES))
            deployment.hosts_without_store.add(follower)
            deployment.store.is_down = False
            await deployment.add_endpoint("w1", "east-a", "engines")
            await deployment.wait_until(
                lambda: all(h.availability.failing_since is None for h in hosts), 6.0
            )

    trio.run(main)
