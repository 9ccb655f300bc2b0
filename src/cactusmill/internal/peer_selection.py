"""Which other hosts a host keeps links to."""

import trio
import xxhash

from .peers import Peer, maintain_link

PEERS_PER_OTHER_ZONE = 2
REACH_TIMEOUT_S = 1.0
REACH_POLL_S = 0.01
UNUSED_LINK_S = 60.0


def reconcile_peers(host):
    """Open links that are missing and close those that are no longer needed.

    Parameters
    ----------
    host : HostProcess
        This process.
    """
    wanted = {listed.name: listed for listed in select_peers(host)}
    for name, peer in list(host.peers.items()):
        is_used = peer.has_calls or host.now() < peer.used_at + UNUSED_LINK_S
        is_listed = host.host_list.get("host", name) == peer.host
        if not is_listed or not (name in wanted or is_used):
            peer.scope.cancel()
            del host.peers[name]
    for name, listed in wanted.items():
        if name not in host.peers:
            _add_peer(host, listed)


def _add_peer(host, listed):
    peer = host.peers[listed.name] = Peer(listed)
    host.nursery.start_soon(maintain_link, host, peer)
    return peer


def select_peers(host):
    """Yield all hosts of the own zone, and a few of each other zone.

    Which few differs from host to host, so that every host is somebody's
    peer and knowledge spreads through the whole fleet.
    """
    by_zone = {}
    for listed in host.host_list.all("host"):
        if listed.name != host.cfg.host:
            by_zone.setdefault(listed.zone, []).append(listed)
    for zone, hosts in by_zone.items():
        if zone == host.cfg.zone:
            yield from hosts
            continue
        nearest = sorted(hosts, key=lambda h: _distance(host.cfg.host, h.name))
        yield from nearest[:PEERS_PER_OTHER_ZONE]


def _distance(one, other):
    return xxhash.xxh3_64_intdigest(f"{one}/{other}".encode())


async def connect_peer(host, name):
    """Return the peer of a name with an open link, or None.

    A link to a host that is not among the usual peers is opened for the
    purpose, and closed when it has not been used for some time.

    Parameters
    ----------
    host : HostProcess
        This process.
    name : str
        Whom to reach.

    Returns
    -------
    Peer or None
    """
    peer = host.peers.get(name)
    if peer is None:
        listed = host.host_list.get("host", name)
        if listed is None or name == host.cfg.host:
            return None
        peer = _add_peer(host, listed)
    peer.used_at = host.now()
    with trio.move_on_after(REACH_TIMEOUT_S):
        while not peer.was_connected:
            await trio.sleep(REACH_POLL_S)
    return peer if peer.is_reachable else None
