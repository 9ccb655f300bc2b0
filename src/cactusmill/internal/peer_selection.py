"""Selection of the hosts to which a host keeps links open."""

import trio
import xxhash

from .peers import Peer, maintain_link

PEERS_PER_OTHER_ZONE = 2
# Longest wait for the first link to a peer, and the interval at which it is checked.
CONNECT_TIMEOUT_S = 1.0
CONNECT_POLL_S = 0.01
# Time after which an unused link to a host that is not selected is closed.
UNUSED_LINK_S = 60.0


def reconcile_peers(host):
    """Open missing links and close those that are no longer needed.

    A link is needed if its host is selected by :func:`select_peers`, has open
    calls or was used within the last `UNUSED_LINK_S` seconds. A link to a host
    whose entry in the host list changed is closed, and opened again if selected.

    Parameters
    ----------
    host : HostProcess
        This process.
    """
    selected = {listed.name: listed for listed in select_peers(host)}
    for name, peer in list(host.peers.items()):
        is_used = peer.has_calls or host.now() < peer.used_at + UNUSED_LINK_S
        is_listed = host.host_list.get("host", name) == peer.host
        if not is_listed or not (name in selected or is_used):
            peer.scope.cancel()
            del host.peers[name]
    for name, listed in selected.items():
        if name not in host.peers:
            _add_peer(host, listed)


def _add_peer(host, listed):
    peer = host.peers[listed.name] = Peer(listed)
    host.nursery.start_soon(maintain_link, host, peer)
    return peer


def select_peers(host):
    """Yield all hosts of this zone and `PEERS_PER_OTHER_ZONE` of each other zone.

    The hosts of other zones are chosen by a hash of both names. Different hosts thus
    choose different peers, so that each host is likely the peer of some host in another
    zone, and changes of records reach the whole fleet.
    """
    by_zone = {}
    for listed in host.host_list.all("host"):
        if listed.name != host.cfg.host:
            by_zone.setdefault(listed.zone, []).append(listed)
    for zone, hosts in by_zone.items():
        if zone == host.cfg.zone:
            yield from hosts
            continue
        ranked = sorted(hosts, key=lambda h: _pair_hash(host.cfg.host, h.name))
        yield from ranked[:PEERS_PER_OTHER_ZONE]


def _pair_hash(host_name, other_name):
    return xxhash.xxh3_64_intdigest(f"{host_name}/{other_name}".encode())


async def connect_peer(host, name):
    """Return the named host as a peer with an open link, or None.

    A link to a host that is not among the selected peers is opened on demand and
    closed by :func:`reconcile_peers` after `UNUSED_LINK_S` seconds without use.

    Parameters
    ----------
    host : HostProcess
        This process.
    name : str
        Name of the host.

    Returns
    -------
    Peer or None
        None if the host is not listed, is this host, or has no open link. A first
        link is awaited for at most `CONNECT_TIMEOUT_S` seconds.
    """
    peer = host.peers.get(name)
    if peer is None:
        listed = host.host_list.get("host", name)
        if listed is None or name == host.cfg.host:
            return None
        peer = _add_peer(host, listed)
    peer.used_at = host.now()
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        while not peer.was_connected:
            await trio.sleep(CONNECT_POLL_S)
    return peer if peer.is_reachable else None
