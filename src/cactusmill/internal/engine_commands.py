"""Orders to engines: which host gives them, and with what fencing number.

For each endpoint one host of its zone is the issuer, by the host list. The
fencing number rises with the host list's version and, below that, with the
record's, so that it needs no counter: two processes with the same number have
the same list and would give the same order. Engines that check the number
refuse an earlier issuer by themselves. For those that ignore it, an issuer
orders only while every other host of its list confirms that list, and a new
one first waits until the right of any earlier one must have lapsed.
"""

import json

import attrs
import h11
import trio
import xxhash
from absl import logging

from ..errors import ConnectError, ExchangeError
from .http import client_connection, perform_request

RIGHT_S = 5.0
# The wait of a new issuer exceeds the right of an earlier one by more than
# two clocks drift apart meanwhile.
LAPSE_S = RIGHT_S + 1.0
RECONCILE_S = 1.0
ORDER_TIMEOUT_S = 2.0
_STATE_PATH = "/v1/state"
_ORDERS_PATH = "/v1/orders"
_RECORD_BITS = 32
_OK = 200


def fencing_token(hosts_version, record_version):
    """Return the number of an order.

    Parameters
    ----------
    hosts_version : int
        Version of the host list that made the sender the issuer.
    record_version : int
        Version of the record that is ordered.

    Returns
    -------
    int
    """
    return (hosts_version << _RECORD_BITS) | record_version


def issuer_of(endpoint, host_list):
    """Return the host that gives an endpoint its orders.

    Parameters
    ----------
    endpoint : Endpoint
        Who is ordered.
    host_list : RecordStore
        The host list.

    Returns
    -------
    Host or None
        None if its zone has no live host.
    """
    hosts = [h for h in host_list.all("host") if h.zone == endpoint.zone and h.live]
    return max(hosts, key=lambda h: _rank(endpoint.name, h.name), default=None)


def _rank(endpoint_name, host_name):
    return xxhash.xxh3_64_intdigest(f"{endpoint_name}/{host_name}".encode())


def holds_lease(host, now):
    """Tell whether no other host can hold the right to order now.

    Parameters
    ----------
    host : HostProcess
        The issuer by its own list.
    now : float
        Present time, in seconds.

    Returns
    -------
    bool
    """
    if now < host.host_list_changed_at + LAPSE_S:
        return False
    others = [
        h
        for h in host.host_list.all("host")
        if h.zone == host.cfg.zone and h.name != host.cfg.host
    ]
    return all(_confirms(host, h.name, now) for h in others)


def _confirms(host, name, now):
    peer = host.peers.get(name)
    return (
        peer is not None
        and peer.hosts_version == host.host_list.version
        and now - peer.last_heartbeat_at < RIGHT_S
    )


async def reconcile_placements(host):
    """Bring the endpoints that this host orders to what is wanted, for ever."""
    while True:
        await trio.sleep(RECONCILE_S * (0.5 + host.rng.random()))
        for placement in host.records.all("placement"):
            endpoint = host.host_list.get("endpoint", placement.name)
            if endpoint is None or endpoint.zone != host.cfg.zone:
                continue
            issuer = issuer_of(endpoint, host.host_list)
            if issuer is not None and issuer.name == host.cfg.host:
                await _reconcile(host, endpoint, placement)


async def _reconcile(host, endpoint, placement):
    wanted = attrs.asdict(placement)
    try:
        with trio.move_on_after(ORDER_TIMEOUT_S):
            stream = await host.net.connect(endpoint.address, ORDER_TIMEOUT_S)
            try:
                await _order_if_differing(host, endpoint, wanted, stream)
            finally:
                await trio.aclose_forcefully(stream)
    except (ConnectError, ExchangeError, h11.ProtocolError, ValueError) as exc:
        logging.debug("order to %s: %s", endpoint.name, exc)


async def _order_if_differing(host, endpoint, wanted, stream):
    conn = client_connection(stream)
    headers = [(b"host", endpoint.address.encode())]
    status, _, body = await perform_request(conn, "GET", _STATE_PATH, headers)
    if status != _OK:
        return
    state = json.loads(body)
    if all(state.get(f) == _as_json(wanted[f]) for f in ("models", "role")):
        return
    conn.h11.start_next_cycle()
    # Decided again after the wait for the state, immediately before the
    # write: the process may have been paused, and the list may have changed.
    number = _number_if_allowed(host, endpoint, wanted["name"])
    if number is None:
        return
    order = {
        "fence": number,
        "models": list(wanted["models"]),
        "role": wanted["role"],
    }
    await perform_request(
        conn, "POST", _ORDERS_PATH, headers, json.dumps(order).encode()
    )


def _as_json(value):
    return list(value) if isinstance(value, tuple) else value


def _number_if_allowed(host, endpoint, name):
    issuer = issuer_of(endpoint, host.host_list)
    if issuer is None or issuer.name != host.cfg.host:
        return None
    if not endpoint.checks_fencing and not holds_lease(host, host.now()):
        return None
    return fencing_token(
        host.host_list.version, host.records.version_of("placement", name)
    )
