"""Settings of one host, read from a YAML file.

A settings file holds what the host cannot get from the platform: its name,
its availability zone, its addresses and the platform's addresses. Everything
else is published in records.
"""

import ipaddress
import os
import re

import attrs
import yaml

from .errors import SettingsError
from .fields import MAX_NUMBER, describe

_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_MAX_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Address:
    """An IP address and a TCP port.

    Attributes
    ----------
    ip : str
        IPv4 or IPv6 address.
    port : int
        TCP port, 1 to 65535.
    """

    ip: str
    port: int

    def __str__(self):
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse_address(place, text):
    """Parse ``"IP:PORT"``.

    Parameters
    ----------
    place : str
        Name of the field, for the error message.
    text : str
        The address as written.

    Returns
    -------
    Address

    Raises
    ------
    SettingsError
        If the text is not an IP address and port.
    """
    hint = 'write it as "IP:PORT", such as "127.0.0.1:8080"'
    if not isinstance(text, str) or ":" not in text:
        raise SettingsError(place, f"{text!r} is no address; {hint}")
    ip, _, port = text.rpartition(":")
    ip = ip.strip("[]")
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise SettingsError(place, f"{ip!r} is no IP number; {hint}") from None
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise SettingsError(place, f"{port!r} is no port; {hint}")
    return Address(ip, int(port))


@attrs.frozen(kw_only=True)
class Settings:
    """Validated settings of one host.

    Attributes
    ----------
    host : str
        Name of the host in the platform's host list.
    zone : str
        Availability zone of the host.
    region : str
        Region of the zone.
    callers, peers, operators : Address
        Listen addresses for callers, other hosts and operators.
    configuration, host_list : Address
        Addresses of the platform's two services.
    link_secret : str
        Secret shared by the hosts; a peer proves that it knows it when a link
        opens.
    seed_peers : tuple of Address
        Peer addresses of other hosts to get records from at start, in case the
        platform is unreachable.
    heartbeat_s : float
        Interval between heartbeats on a link, in seconds.
    peer_timeout_s : float
        Time without heartbeats after which a peer counts as unreachable, in
        seconds.
    watch_s : float
        Maximum duration of one long poll of a platform service, in seconds.
    drain_s : float
        Time for which a leaving host keeps accepting connections, in seconds.
    idle_timeout_s : float
        Time after which a caller's idle connection is closed, in seconds.
    identifier_ttl_s : float
        Lifetime of a minted request identifier, in seconds.
    max_head_bytes, max_body_bytes : int
        Maximum size of a request head and body, in bytes.
    slot_quarantine_s : float
        Time that a process waits before it uses its slot's share of the rates,
        unless it has proof that the slot's previous holder has stopped, in
        seconds.
    """

    host: str
    zone: str
    region: str
    callers: Address
    peers: Address
    operators: Address
    configuration: Address
    host_list: Address
    link_secret: str
    seed_peers: tuple = ()
    heartbeat_s: float = 0.5
    peer_timeout_s: float = 2.0
    watch_s: float = 1.5
    drain_s: float = 3.0
    idle_timeout_s: float = 15.0
    identifier_ttl_s: float = 600.0
    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    slot_quarantine_s: float = 0.0


_ADDRESS_FIELDS = {
    "callers",
    "peers",
    "operators",
    "configuration",
    "host_list",
}
_LISTEN_FIELDS = ("callers", "peers", "operators")
_MIN_SECRET_LENGTH = 16


def parse_settings(data):
    """Validate settings that were read from YAML.

    Parameters
    ----------
    data : object
        The YAML parser's result.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        Naming the first invalid field, the bad value and how to fix it.
    """
    if not isinstance(data, dict):
        raise SettingsError("settings", "the file must hold a mapping of fields")
    fields = {f.name: f for f in attrs.fields(Settings)}
    for name in data:
        if name not in fields:
            known = ", ".join(sorted(fields))
            raise SettingsError(str(name), f"unknown field; use one of: {known}")
    values = {}
    for name, field in fields.items():
        if name in data:
            values[name] = _parse_value(name, field, data[name])
        elif field.default is attrs.NOTHING:
            raise SettingsError(name, "the field is missing; add it")
    cfg = Settings(**values)
    _check_combinations(cfg)
    return cfg


def _parse_value(name, field, value):
    if name in _ADDRESS_FIELDS:
        return parse_address(name, value)
    if name == "seed_peers":
        if not isinstance(value, list):
            raise SettingsError(name, f"{value!r} must be a list of addresses")
        return tuple(parse_address(name, item) for item in value)
    if field.type is str:
        if not isinstance(value, str) or not value:
            raise SettingsError(name, f"{value!r} must be a non-empty text")
        return value
    if isinstance(value, bool) or not isinstance(value, int | float):
        unit = "bytes" if field.type is int else "seconds"
        raise SettingsError(
            name, f"{value!r} must be a plain number of {unit}, without a unit"
        )
    if value < 0 or (value == 0 and name != "slot_quarantine_s"):
        raise SettingsError(name, f"{value!r} must be greater than zero")
    if not value <= MAX_NUMBER:
        raise SettingsError(name, f"{describe(value)} must be at most {MAX_NUMBER}")
    return field.type(value)


def _check_combinations(cfg):
    seen = {}
    for name in _LISTEN_FIELDS:
        address = getattr(cfg, name)
        if address in seen:
            raise SettingsError(
                name, f"{address} is also used by {seen[address]}; give each its own"
            )
        seen[address] = name
    if len(cfg.link_secret) < _MIN_SECRET_LENGTH:
        raise SettingsError(
            "link_secret", f"must have at least {_MIN_SECRET_LENGTH} characters"
        )
    if cfg.peer_timeout_s < 2 * cfg.heartbeat_s:
        raise SettingsError(
            "peer_timeout_s",
            f"{cfg.peer_timeout_s} s is less than two heartbeats of "
            f"{cfg.heartbeat_s} s; raise it or lower heartbeat_s",
        )


def read_bytes(path):
    """Return the content of a settings file, without ever waiting for a writer.

    Parameters
    ----------
    path : str or pathlib.Path
        The file.

    Returns
    -------
    bytes

    Raises
    ------
    SettingsError
        If it cannot be read, or has more than `_MAX_BYTES`.
    """
    try:
        with open(path, "rb", opener=_open_without_waiting) as file:
            data = file.read(_MAX_BYTES + 1) or b""
    except OSError as exc:
        raise SettingsError(str(path), f"cannot be read: {exc.strerror}") from exc
    if len(data) > _MAX_BYTES:
        raise SettingsError(
            str(path), f"has more than {_MAX_BYTES} bytes; shorten it or check the path"
        )
    return data


def _open_without_waiting(path, flags):
    return os.open(path, flags | os.O_NONBLOCK)


def load_settings(path):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        The YAML file.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is invalid.
    """
    return decode_settings(read_bytes(path), path)


def decode_settings(data, path):
    """Validate the bytes of a settings file.

    Parameters
    ----------
    data : bytes
        YAML document.
    path : str or pathlib.Path
        The file, for errors.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        Naming the first invalid field, the bad value and how to fix it.
    """
    try:
        document = yaml.safe_load(data)
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        raise SettingsError(str(path), f"is not YAML: {exc}") from exc
    return parse_settings(document)
