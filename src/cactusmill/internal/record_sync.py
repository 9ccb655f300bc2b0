"""How a host learns of records and hosts: platform, peers, and at its start."""

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
PULL_DELAY_S = 0.2
FIRST_CONTACT_S = 1.5
_SEED_RETRY_S = 0.5
_FIRST_RETRY_S = 0.2
_LAST_RETRY_S = 1.0


async def sync_initial_state(host):
    """Wait until the newest reachable records and host list are known."""
    for seed in host.cfg.seed_peers:
        host.nursery.start_soon(_sync_from_seed, host, str(seed))
    while not (host.records.version and host.host_list.version):
        await trio.sleep(0.05)
    # The platform's answer may be old. Whatever a reachable peer has
    # beyond it is pulled before the first caller is served.
    with trio.move_on_after(FIRST_CONTACT_S):
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
            stream, host.hello, host.cfg.link_secret, True, host.traffic
        )
        for number, name in enumerate(STORE_NAMES):
            await link.send(changes_pull=ChangesPull(number, name, 0))
            with trio.move_on_after(PULL_TIMEOUT_S):
                reply = (await link.receive()).changes_reply
                if reply is not None:
                    host.apply(name, parse_update(reply.update))
    finally:
        await trio.aclose_forcefully(stream)


async def watch_platform(host, name):
    """Keep asking a platform service for changes, for ever."""
    service, store = host.platform_clients[name], host.store_named(name)
    retry_s = _FIRST_RETRY_S
    while True:
        since, asked_at = store.version, host.now()
        try:
            update = await service.fetch(since, host.cfg.watch_s)
        except PlatformError as exc:
            logging.debug("platform: %s", exc)
            is_stuck = True
        else:
            host.apply(name, update)
            # A stale replica. Asking it again at once would gain nothing.
            is_stuck = update.version < since
        if not is_stuck:
            retry_s = _FIRST_RETRY_S
            continue
        # A watch that was silent has waited long enough by itself.
        pause_s = retry_s * (0.5 + host.rng.random() / 2)
        await trio.sleep(max(0.0, asked_at + pause_s - host.now()))
        retry_s = min(_LAST_RETRY_S, 2 * retry_s)


async def pull_from_peer(host, peer, name):
    """Fetch what a peer has of a book and this host lacks.

    Parameters
    ----------
    host : HostProcess
        This process.
    peer : Peer
        Who has a newer version.
    name : {"records", "hosts"}
        Which book.
    """
    store = host.store_named(name)
    try:
        if host.ready.is_set():
            # The platform's own answer is most likely on its way.
            await trio.sleep(PULL_DELAY_S)
        if store.version >= peer.version_of(name):
            return
        with trio.move_on_after(PULL_TIMEOUT_S):
            async with peer.call() as (number, link, answers):
                message = ChangesPull(number, name, store.version)
                await link.send(changes_pull=message)
                reply = (await next_frame(answers)).changes_reply
                host.apply(name, parse_update(reply.update))
    except (LinkClosedError, PlatformError):
        pass
