"""Placement commands to inference engines, with fencing tokens and leases.

A placement record says which models an engine loads and in which role it runs; a
command makes the engine do so. The host list determines one host of an endpoint's zone
as the issuer of its commands.
The fencing token is ordered by the version of the host list, then by the version of the
placement record, so it needs no counter: two processes with equal tokens have the same
host list and placement, and send the same command. Engines that check the token reject
commands of earlier issuers. For engines that ignore it, an issuer needs a lease: every
other host of the zone must have confirmed the issuer's version of the host list within
`LEASE_S`, and a new issuer first waits until any earlier lease must have expired.
"""

import json

import attrs
import h11
import trio
import xxhash
from absl import logging

from ..errors import ConnectError, ExchangeError
from .http import client_connection, perform_request

LEASE_S = 5.0
# Wait of a new issuer after a change of the host list. Exceeds the lease of an earlier
# issuer by more than the clocks of two hosts can drift apart in that time.
LEASE_TAKEOVER_S = LEASE_S + 1.0
RECONCILE_INTERVAL_S = 1.0
COMMAND_TIMEOUT_S = 2.0
_STATE_PATH = "/v1/state"
_COMMANDS_PATH = "/v1/orders"
_RECORD_BITS = 32
_OK = 200


def fencing_token(hosts_version, record_version):
    """Return the fencing token of a command.

    Parameters
    ----------
    hosts_version : int
        Version of the host list that determines the issuer.
    record_version : int
        Version of the placement record in the command.

    Returns
    -------
    int
    """
    return (hosts_version << _RECORD_BITS) | record_version


def issuer_of(endpoint, host_list):
    """Return the host that issues the commands to an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Receiver of the commands.
    host_list : RecordStore
        The host list.

    Returns
    -------
    Host or None
        None if its zone has no live host.
    """
    hosts = [h for h in host_list.all("host") if h.zone == endpoint.zone and h.live]
    return max(
        hosts, key=lambda h: _rendezvous_score(endpoint.name, h.name), default=None
    )


def _rendezvous_score(endpoint_name, host_name):
    return xxhash.xxh3_64_intdigest(f"{endpoint_name}/{host_name}".encode())


def holds_lease(host, now):
    """Return whether no other host can hold a lease to send commands now.

    Parameters
    ----------
    host : HostProcess
        Issuer according to its own host list.
    now : float
        Current time, in seconds.

    Returns
    -------
    bool
    """
    if now < host.host_list_changed_at + LEASE_TAKEOVER_S:
        return False
    others = [
        h
        for h in host.host_list.all("host")
        if h.zone == host.cfg.zone and h.name != host.cfg.host
    ]
    return all(_confirms_host_list(host, h.name, now) for h in others)


def _confirms_host_list(host, name, now):
    peer = host.peers.get(name)
    return (
        peer is not None
        and peer.hosts_version == host.host_list.version
        and now - peer.last_heartbeat_at < LEASE_S
    )


async def reconcile_placements(host):
    """Bring the engines that this host issues commands to into their placement.

    Compares the state of each with its placement record in a loop, which never ends.
    """
    while True:
        await trio.sleep(RECONCILE_INTERVAL_S * (0.5 + host.rng.random()))
        for placement in host.records.all("placement"):
            endpoint = host.host_list.get("endpoint", placement.name)
            if endpoint is None or endpoint.zone != host.cfg.zone:
                continue
            issuer = issuer_of(endpoint, host.host_list)
            if issuer is not None and issuer.name == host.cfg.host:
                await _reconcile_endpoint(host, endpoint, placement)


async def _reconcile_endpoint(host, endpoint, placement):
    desired = attrs.asdict(placement)
    try:
        with trio.move_on_after(COMMAND_TIMEOUT_S):
            stream = await host.net.connect(endpoint.address, COMMAND_TIMEOUT_S)
            try:
                await _send_command_if_state_differs(host, endpoint, desired, stream)
            finally:
                await trio.aclose_forcefully(stream)
    except (ConnectError, ExchangeError, h11.ProtocolError, ValueError) as exc:
        logging.debug("placement command to %s failed: %s", endpoint.name, exc)


async def _send_command_if_state_differs(host, endpoint, desired, stream):
    conn = client_connection(stream)
    headers = [(b"host", endpoint.address.encode())]
    status, _, body = await perform_request(conn, "GET", _STATE_PATH, headers)
    if status != _OK:
        return
    state = json.loads(body)
    if all(state.get(f) == _as_json(desired[f]) for f in ("models", "role")):
        return
    conn.h11.start_next_cycle()
    # Checked again after the wait for the state, immediately before the write: the
    # process may have been suspended, and the host list may have changed.
    token = _token_if_allowed(host, endpoint, desired["name"])
    if token is None:
        return
    command = {
        "fence": token,
        "models": list(desired["models"]),
        "role": desired["role"],
    }
    await perform_request(
        conn, "POST", _COMMANDS_PATH, headers, json.dumps(command).encode()
    )


def _as_json(value):
    return list(value) if isinstance(value, tuple) else value


def _token_if_allowed(host, endpoint, name):
    issuer = issuer_of(endpoint, host.host_list)
    if issuer is None or issuer.name != host.cfg.host:
        return None
    if not endpoint.checks_fencing and not holds_lease(host, host.now()):
        return None
    return fencing_token(
        host.host_list.version, host.records.version_of("placement", name)
    )
