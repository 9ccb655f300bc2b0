"""Parser for the platform's settings file.

The names of its fields are the platform's; they are mapped to
:class:`~cactusmill.serving.gateway_host.HostSettings`.
"""

import ipaddress

import attrs

from ..errors import SettingsError
from ..fields import MAX_NUMBER, describe, is_plain_text
from ..internal.steps import loads
from ..serving.gateway_host import HostSettings
from ..serving.quota import RateExcess
from ..settings import parse_address, read_bytes

SETTINGS_VARIABLE = "CACTUSMILL_CONFIG"
# Must match deploy/system.toml, which scrapers read.
METRICS_PORT = 7610


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Settings of one gateway process.

    Attributes
    ----------
    host : HostSettings
        Settings of the gateway itself.
    ready, directory : str
        ``"IP:PORT"`` to serve the readiness check and the directory on.
    store : str
        ``"IP:PORT"`` of the platform's store.
    metrics : str
        ``"IP:PORT"`` to serve metrics on.
    """

    host: HostSettings
    ready: str
    directory: str
    store: str
    metrics: str


def load_platform_settings(path):
    """Load and validate a settings file; unknown fields are ignored.

    Parameters
    ----------
    path : str
        JSON file.

    Returns
    -------
    PlatformSettings

    Raises
    ------
    SettingsError
        Names the invalid field, its value and how to fix it.
    """
    return decode_platform_settings(read_bytes(path), path)


def decode_platform_settings(data, path):
    """Validate the bytes of a settings file.

    Parameters
    ----------
    data : bytes
        JSON document.
    path : str
        The file, for errors.

    Returns
    -------
    PlatformSettings

    Raises
    ------
    SettingsError
        Names the invalid field, its value and how to fix it.
    """
    try:
        document = loads(data)
    except ValueError as exc:
        raise SettingsError(str(path), f"is not JSON: {exc}") from exc
    return parse_platform_settings(document)


def parse_platform_settings(data):
    """Validate settings decoded from JSON.

    Parameters
    ----------
    data : object
        Decoded JSON document.

    Returns
    -------
    PlatformSettings

    Raises
    ------
    SettingsError
        Names the invalid field, its value and how to fix it.
    """
    bounds = _get_field(data, "bounds", dict, {})
    peers = _get_address(data, "listen.control")
    seeds = [
        parse_address(f"seeds.{index}", seed).ip
        for index, seed in enumerate(_get_field(data, "seeds", list, []))
    ]
    host = HostSettings(
        host=_get_field(data, "node", str),
        ip=_get_ip(data),
        zone=_get_field(data, "zone", str),
        region=_get_field(data, "region", str),
        callers=_get_address(data, "listen.front"),
        peers=peers,
        seeds=tuple(seeds),
        zones=_get_zones(data),
        grace_s=_get_field(bounds, "grace_s", int | float, 8.0, "bounds."),
        retry_ratio=_get_field(
            bounds, "retry_budget_ratio", int | float, 0.1, "bounds."
        ),
        retry_slack=_get_field(bounds, "retry_slack", int | float, 20.0, "bounds."),
        rate_excess=RateExcess(
            window_s=_get_field(bounds, "quota_window_s", int | float, 8.0, "bounds."),
            fraction=_get_field(bounds, "quota_overage", int | float, 0.0, "bounds."),
            tokens=_get_field(bounds, "quota_slack", int | float, 0.0, "bounds."),
        ),
    )
    cfg = PlatformSettings(
        host=host,
        ready=_get_address(data, "listen.ready_address"),
        directory=_get_address(data, "listen.directory"),
        store=_get_address(data, "platform.address"),
        metrics=f"{host.ip}:{METRICS_PORT}",
    )
    # The readiness check and the directory may share an address.
    listeners = [host.callers, peers, *{cfg.ready, cfg.directory}]
    if len(set(listeners)) < len(listeners):
        raise SettingsError(
            "listen", f"{', '.join(listeners)}: give each listener its own address"
        )
    return cfg


_MISSING = object()


def _get_field(data, name, kind, default=_MISSING, prefix=""):
    """Return a field of a type; `prefix` precedes its name in errors."""
    if not isinstance(data, dict):
        raise SettingsError(prefix or "settings", "must hold a mapping of fields")
    value = data.get(name)
    if value is None:
        if default is _MISSING:
            raise SettingsError(prefix + name, "the field is missing; add it")
        return default
    if not isinstance(value, kind) or isinstance(value, bool):
        raise SettingsError(prefix + name, f"{describe(value)} has an unexpected type")
    if isinstance(value, int | float) and not 0 <= value <= MAX_NUMBER:
        raise SettingsError(
            prefix + name, f"{describe(value)} must be a number, 0 to {MAX_NUMBER}"
        )
    if isinstance(value, str) and not is_plain_text(value):
        raise SettingsError(prefix + name, f"{describe(value)} is no plain text")
    return value


def _get_ip(data):
    text = _get_field(data, "ip", str)
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError:
        raise SettingsError("ip", f"{describe(text)} is no IPv4 address") from None


def _get_zones(data):
    zones = _get_field(data, "zones", dict)
    for zone in zones:
        _get_field(zones, zone, str, prefix="zones.")
    return zones


def _get_address(data, place):
    """Return the address in a field given as ``SECTION.NAME``, as ``"IP:PORT"``."""
    section, _, name = place.partition(".")
    text = _get_field(_get_field(data, section, dict), name, str, prefix=section + ".")
    return str(parse_address(place, text))
