"""Synchronization of records and the host list with the platform and with peers.

Each host watches the platform's services. It also pulls from any peer that reports a
newer version, so that changes spread while the platform cannot be reached.
"""

import contextlib

import trio
from absl import logging

from ..errors import ConnectError, LinkClosedError, PlatformError
from .link import open_link
from .peers import next_frame
from .platform_client import parse_update
from .wire.ttypes import ChangesPull

STORE_NAMES = ("records", "hosts")
PULL_TIMEOUT_S = 2.0
# Wait before a pull, in which the same change normally arrives from the platform.
PULL_DELAY_S = 0.2
# Longest wait of a starting host for the first heartbeats of all peers.
FIRST_HEARTBEAT_TIMEOUT_S = 1.5
_SEED_RETRY_S = 0.5
_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 1.0


async def sync_initial_state(host):
    """Wait until the newest reachable records and host list are applied.

    Seed peers are asked as well as the platform, so that a host can start during
    an outage of the platform.
    """
    for seed in host.cfg.seed_peers:
        run = host.supervisor.run
        host.nursery.start_soon(run, "sync_from_seed", _sync_from_seed, host, str(seed))
    while not (host.records.version and host.host_list.version):
        await trio.sleep(0.05)
    # The platform's response may come from a stale replica. Newer changes that a
    # reachable peer has are pulled before the first caller is served.
    with trio.move_on_after(FIRST_HEARTBEAT_TIMEOUT_S):
        while not all(p.heartbeat_received for p in host.peers.values()):
            await trio.sleep(0.05)
    with trio.move_on_after(PULL_TIMEOUT_S):
        while _has_older_version(host):
            await trio.sleep(0.02)


def _has_older_version(host):
    return any(
        p.records_version > host.records.version
        or p.hosts_version > host.host_list.version
        for p in host.peers.values()
    )


async def _sync_from_seed(host, address):
    while not (host.records.version and host.host_list.version):
        with contextlib.suppress(ConnectError, LinkClosedError, PlatformError):
            await _pull_from_address(host, address)
        await trio.sleep(_SEED_RETRY_S)


async def _pull_from_address(host, address):
    stream = await host.net.connect(address, PULL_TIMEOUT_S)
    try:
        link = await open_link(
            stream, host.hello, host.cfg.link_secret, True, host.traffic, host.buffers
        )
        for call_id, name in enumerate(STORE_NAMES):
            await link.send(changes_pull=ChangesPull(call_id, name, 0))
            reply = None
            with trio.move_on_after(PULL_TIMEOUT_S):
                reply = (await link.receive()).changes_reply
            if reply is not None:
                host.apply(name, await parse_update(reply.update))
    finally:
        await trio.aclose_forcefully(stream)


async def watch_platform(host, name):
    """Watch a platform service for changes until cancelled.

    Parameters
    ----------
    host : HostProcess
        This process.
    name : {"records", "hosts"}
        Store to keep up to date.
    """
    client, store = host.platform_clients[name], host.store_named(name)
    retry_s = _MIN_RETRY_S
    while True:
        since, requested_at = store.version, host.now()
        try:
            update = await client.fetch(since, host.cfg.watch_s)
        except PlatformError as exc:
            logging.debug("platform: %s", exc)
            must_pause = True
        else:
            host.apply(name, update)
            # A lower version means a stale replica; an immediate retry is useless.
            must_pause = update.version < since
        if not must_pause:
            retry_s = _MIN_RETRY_S
            continue
        # The time that a failed watch took counts towards the pause.
        pause_s = retry_s * (0.5 + host.rng.random() / 2)
        await trio.sleep(max(0.0, requested_at + pause_s - host.now()))
        retry_s = min(_MAX_RETRY_S, 2 * retry_s)


async def pull_from_peer(host, peer, name):
    """Pull the changes of a store that a peer has and this host lacks.

    Parameters
    ----------
    host : HostProcess
        This process.
    peer : Peer
        Peer that reported a newer version.
    name : {"records", "hosts"}
        Store to update.
    """
    store = host.store_named(name)
    try:
        if host.ready.is_set():
            # The platform has most likely sent the change to this host already.
            await trio.sleep(PULL_DELAY_S)
        if store.version >= peer.version_of(name):
            return
        reply = None
        with trio.move_on_after(PULL_TIMEOUT_S):
            async with peer.call() as (call_id, link, frames):
                message = ChangesPull(call_id, name, store.version)
                await link.send(changes_pull=message)
                reply = (await next_frame(frames)).changes_reply
        if reply is not None:
            host.apply(name, await parse_update(reply.update))
    except (LinkClosedError, PlatformError):
        pass
