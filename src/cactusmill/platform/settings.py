"""The platform's settings file, read into the product's settings."""

import json
import pathlib

import attrs

from ..errors import SettingsError
from ..serving.gateway_host import HostSettings
from ..serving.quota import RateExcess
from ..settings import parse_address

SETTINGS_VARIABLE = "CACTUSMILL_CONFIG"
# The same as in deploy/system.toml, where scrapers learn it.
METRICS_PORT = 7610


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Settings of one process.

    Attributes
    ----------
    host : HostSettings
        What the product needs.
    ready, directory : str
        ``"IP:PORT"`` of the readiness check and of the directory.
    store : str
        ``"IP:PORT"`` of the platform's store.
    metrics : str
        ``"IP:PORT"`` of the metrics.
    """

    host: HostSettings
    ready: str
    directory: str
    store: str
    metrics: str


def load_platform_settings(path):
    """Read and check a settings file; unknown fields are left alone.

    Parameters
    ----------
    path : str
        The file, in JSON.

    Returns
    -------
    PlatformSettings

    Raises
    ------
    SettingsError
        Naming the place at fault, the bad value and the mend.
    """
    try:
        data = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(str(path), f"cannot be read: {exc.strerror}") from exc
    except ValueError as exc:
        raise SettingsError(str(path), f"is not JSON: {exc}") from exc
    return parse_platform_settings(data)


def parse_platform_settings(data):
    """Check settings that were read from JSON.

    Parameters
    ----------
    data : object
        What the JSON parser returned.

    Returns
    -------
    PlatformSettings

    Raises
    ------
    SettingsError
        Naming the place at fault, the bad value and the mend.
    """
    bounds = _take(data, "bounds", dict, {})
    peers = _address(data, "listen.control")
    seeds = [
        parse_address(f"seeds.{at}", seed).ip
        for at, seed in enumerate(_take(data, "seeds", list, []))
    ]
    host = HostSettings(
        host=_take(data, "node", str),
        ip=_take(data, "ip", str),
        zone=_take(data, "zone", str),
        region=_take(data, "region", str),
        callers=_address(data, "listen.front"),
        peers=peers,
        seeds=tuple(seeds),
        zones=_take(data, "zones", dict),
        grace_s=_take(bounds, "grace_s", int | float, 8.0, "bounds."),
        retry_ratio=_take(bounds, "retry_budget_ratio", int | float, 0.1, "bounds."),
        retry_slack=_take(bounds, "retry_slack", int | float, 20.0, "bounds."),
        rate_excess=RateExcess(
            window_s=_take(bounds, "quota_window_s", int | float, 8.0, "bounds."),
            fraction=_take(bounds, "quota_overage", int | float, 0.0, "bounds."),
            tokens=_take(bounds, "quota_slack", int | float, 0.0, "bounds."),
        ),
    )
    return PlatformSettings(
        host=host,
        ready=_address(data, "listen.ready_address"),
        directory=_address(data, "listen.directory"),
        store=_address(data, "platform.address"),
        metrics=f"{host.ip}:{METRICS_PORT}",
    )


_MISSING = object()


def _take(data, name, kind, default=_MISSING, prefix=""):
    if not isinstance(data, dict):
        raise SettingsError(prefix or "settings", "must hold a mapping of fields")
    value = data.get(name)
    if value is None:
        if default is _MISSING:
            raise SettingsError(prefix + name, "the field is missing; add it")
        return default
    if not isinstance(value, kind) or isinstance(value, bool):
        raise SettingsError(prefix + name, f"{value!r} has another type than expected")
    return value


def _address(data, place):
    section, _, name = place.partition(".")
    text = _take(_take(data, section, dict), name, str, prefix=section + ".")
    return str(parse_address(place, text))
