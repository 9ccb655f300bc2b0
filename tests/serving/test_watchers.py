"""A few hosts of a region watch the source; the others fetch changes from them."""

import base64
import json

import trio

from cactusmill.errors import LinkClosedError
from cactusmill.platform.store import StoreClient
from cactusmill.serving import source_sync
from cactusmill.serving.membership import DEAD_AFTER_S, Membership
from cactusmill.serving.source_sync import Export
from cactusmill.serving.watchers import (
    MAX_RESPONSE_AGE_S,
    WATCHERS_PER_REGION,
    choose_watchers,
    may_follow,
)
from standins.loopback import running_deployment

from .test_membership import host_id

NAMES = [f"h{n}" for n in range(8)]
HOSTS = [(name, "east-a") for name in NAMES]


def membership_of(me, responded_at):
    """Return a host's membership in which watchers got responses at a time."""
    membership = Membership(host_id(me))
    for name in NAMES:
        if name != me:
            member = membership.record_host(host_id(name), False, 0.0, 10.0)
            if name in choose_watchers(NAMES):
                member.source_responded_at = responded_at
    return membership


def test_all_hosts_choose_the_same_few_watchers():
    watchers = [n for n in NAMES if not may_follow(membership_of(n, 10.0), 10.0)]
    assert sorted(watchers) == sorted(choose_watchers(NAMES))
    assert len(watchers) == WATCHERS_PER_REGION


def test_all_hosts_of_a_small_region_watch():
    membership = Membership(host_id("a"))
    for name in ("b", "c"):
        membership.record_host(
            host_id(name), False, 0.0, 10.0
        ).source_responded_at = 10.0
    assert not may_follow(membership, 10.0)


def test_watchers_without_responses_are_not_followed():
    follower = next(n for n in NAMES if n not in choose_watchers(NAMES))
    assert may_follow(membership_of(follower, 10.0), 10.0)
    stale = membership_of(follower, 10.0 - MAX_RESPONSE_AGE_S - 0.1)
    assert not may_follow(stale, 10.0)


def test_unresponsive_watchers_are_not_followed():
    follower = next(n for n in NAMES if n not in choose_watchers(NAMES))
    membership = membership_of(follower, 10.0)
    assert not may_follow(membership, 10.1 + DEAD_AFTER_S)


def followers(deployment):
    return [
        h
        for h in deployment.hosts.values()
        if may_follow(h.membership, trio.current_time())
    ]


async def wait_until_followers_settle(deployment):
    """Wait until all hosts but the watchers follow."""
    wanted = len(HOSTS) - WATCHERS_PER_REGION
    await deployment.wait_until(lambda: len(followers(deployment)) == wanted, 8.0)
    # Lets watches that were already pending time out.
    await trio.sleep(3.0)


async def wait_for_endpoint(deployment, name, timeout_s):
    def all_list_it():
        return all(
            name in {e.endpoint.name for e in h.catalog.listed()}
            for h in deployment.hosts.values()
        )

    began = trio.current_time()
    await deployment.wait_until(all_list_it, timeout_s)
    return trio.current_time() - began


def test_followers_get_changes_without_calls_to_the_store():
    async def main():
        async with running_deployment(HOSTS) as deployment:
            await wait_until_followers_settle(deployment)
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
            assert sorted(callers) == sorted(choose_watchers(NAMES))

    trio.run(main)


def test_followers_watch_once_all_watchers_are_partitioned():
    async def main():
        async with running_deployment(HOSTS) as deployment:
            await wait_until_followers_settle(deployment)
            for name in choose_watchers(NAMES):
                await deployment.disconnect_from_store(name)
            await deployment.add_endpoint("w1", "east-a", "engines")
            # The time within which a configuration must be in force.
            assert await wait_for_endpoint(deployment, "w1", 4.0) < 4.0

    trio.run(main)


def test_removal_in_compacted_history_reaches_followers():
    """A watcher that lists again also exports the removals that it detects."""

    async def main():
        async with running_deployment(
            HOSTS, [("w1", "east-a", "engines")]
        ) as deployment:
            await wait_until_followers_settle(deployment)
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


def test_follower_whose_fetch_fails_watches_the_store(monkeypatch):
    """A configuration of a megabyte can saturate the links of the watchers."""

    async def main():
        async with running_deployment(HOSTS) as deployment:
            await wait_until_followers_settle(deployment)

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
    client.cache.add({"key": "k", "revision": 7, "value": value})
    assert len(trio.run(client.cache.export, 1, 7)) < len(value) / 4
    assert len(trio.run(client.cache.export, 0, 7)) < len(value) / 4
    empty = trio.run(client.cache.export, 7, 7)
    export = Export([], 7, is_copy=False)
    assert trio.run(client.read_export, empty, 7) == export


def test_new_followers_stop_reporting_that_the_store_fails():
    # A host that began to follow while its own calls failed made no further calls,
    # and reported for ever to its region that the store does not respond.
    async def main():
        async with running_deployment(HOSTS) as deployment:
            await wait_until_followers_settle(deployment)
            deployment.store.is_down = True
            hosts = list(deployment.hosts.values())
            await deployment.wait_until(
                lambda: all(h.source_health.failing_since for h in hosts), 8.0
            )
            follower = next(n for n in NAMES if n not in choose_watchers(NAMES))
            deployment.hosts_without_store.add(follower)
            deployment.store.is_down = False
            await deployment.add_endpoint("w1", "east-a", "engines")
            await deployment.wait_until(
                lambda: all(h.source_health.failing_since is None for h in hosts), 6.0
            )

    trio.run(main)
