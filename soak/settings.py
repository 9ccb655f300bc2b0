"""Settings of a soak: read from YAML, overridden by the command line, checked."""

import errno
import pathlib

import attrs
import yaml

from cactusmill.errors import SettingsError

from .excuses import EFFECTS

PATHS = ("platform", "own")
# Lowest and highest value of each number.
_RANGES = {
    "seed": (0, 2**63),
    "seconds": (1, 86400),
    "hosts": (2, 60),
    "zones": (3, 10),
    "endpoints": (1, 200),
    "callers": (1, 1000),
    "grace_s": (1, 60),
    "events": (1, 10000),
    "event_gap_s": (0, 10),
    "deadline_s": (0.5, 600),
}
# Room that the logs of a run take at least, in bytes.
_PROBE_BYTES = 1 << 20


class SoakSettingsError(SettingsError):
    """A setting of the soak is invalid; the message says how to fix it."""


@attrs.frozen(kw_only=True)
class SoakSettings:
    """Settings of one run.

    Attributes
    ----------
    seed : int
        Seed of the schedule and of the callers.
    seconds : float
        Time during which faults strike, in seconds.
    hosts, zones, endpoints, callers : int
        Size of the fleet; each zone has a host or more.
    grace_s : float
        Grace time of hosts, in seconds.
    faults : tuple of str
        Kinds of faults to draw from.
    events : int
        Events of a stream.
    event_gap_s : float
        Time between them, in seconds.
    deadline_s : float
        Time budget of callers and time-out of routes, in seconds.
    proxies : bool
        Whether connections pass through proxies that can fail.
    path : str
        ``"platform"`` or ``"own"``: the interface under test.
    source, old_source : str
        Folders `src` of the code that hosts run, and of an older one that some
        begin with; empty for this repository's, and for none.
    folder : str
        Folder for the history and the logs.
    """

    seed: int = 1
    seconds: float = 60.0
    hosts: int = 6
    zones: int = 3
    endpoints: int = 9
    callers: int = 48
    grace_s: float = 8.0
    faults: tuple = attrs.field(default=tuple(EFFECTS), converter=tuple)
    events: int = 40
    event_gap_s: float = 0.05
    deadline_s: float = 15.0
    proxies: bool = False
    path: str = "platform"
    source: str = ""
    old_source: str = ""
    folder: str = "soak-logs"


def load_settings(path=None, **changes):
    """Return checked settings from a YAML file, or the defaults, with changes.

    Parameters
    ----------
    path : str or None
        YAML file.
    **changes : object
        Values that replace those of the file, by field.

    Returns
    -------
    SoakSettings

    Raises
    ------
    SoakSettingsError
        Names the field, its value and how to fix it.
    """
    values = {}
    if path is not None:
        try:
            values = yaml.safe_load(pathlib.Path(path).read_text("utf-8")) or {}
        except OSError as exc:
            raise SoakSettingsError(
                str(path), f"cannot be read: {exc.strerror}"
            ) from exc
        except (yaml.YAMLError, UnicodeDecodeError) as exc:
            raise SoakSettingsError(str(path), f"is not YAML: {exc}") from exc
        if not isinstance(values, dict):
            raise SoakSettingsError(
                str(path), "is no mapping; write lines of `name: value`"
            )
    values = {**values, **changes}
    fields = attrs.fields_dict(SoakSettings)
    for name, value in values.items():
        if name not in fields:
            raise SoakSettingsError(
                str(name), f"is no setting; known are {', '.join(fields)}"
            )
        _check_value(name, value, fields[name].type)
    cfg = SoakSettings(**values)
    if cfg.hosts < cfg.zones:
        raise SoakSettingsError(
            "zones", f"{cfg.zones} need as many hosts; got {cfg.hosts}: raise `hosts`"
        )
    return cfg


def _check_value(name, value, kind):
    if kind is tuple:
        if not isinstance(value, list | tuple):
            raise SoakSettingsError(name, f"{value!r} is no list; write [a, b]")
        for entry in value:
            if entry not in EFFECTS:
                raise SoakSettingsError(
                    name, f"{entry!r} is no fault; known are {', '.join(EFFECTS)}"
                )
        return
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    fits = is_number if kind is float else isinstance(value, kind)
    if not fits or (kind is int and isinstance(value, bool)):
        raise SoakSettingsError(name, f"{value!r} is no {kind.__name__}; write one")
    if name in _RANGES:
        low, high = _RANGES[name]
        if not low <= value <= high:
            raise SoakSettingsError(
                name, f"{value} is out of range; use {low} to {high}"
            )
    if name == "path" and value not in PATHS:
        raise SoakSettingsError(name, f"{value!r} is none of {', '.join(PATHS)}")
    if name in ("source", "old_source") and value:
        if not (pathlib.Path(value) / "cactusmill").is_dir():
            raise SoakSettingsError(
                name, f"{value!r} has no cactusmill; name a checkout's `src`"
            )


def prepare_folder(folder):
    """Create the folder for the history and logs, and check that it can be written.

    Raises
    ------
    SoakSettingsError
        If it holds files, cannot be written, or its disk is full.
    """
    probe = pathlib.Path(folder) / ".probe"
    try:
        probe.parent.mkdir(parents=True, exist_ok=True)
        if any(probe.parent.iterdir()):
            raise SoakSettingsError(
                "folder", f"{str(folder)!r} is not empty; name another or remove it"
            )
        try:
            probe.write_bytes(bytes(_PROBE_BYTES))
        finally:
            probe.unlink(missing_ok=True)
    except OSError as exc:
        fix = "free some space" if exc.errno == errno.ENOSPC else "name another"
        raise SoakSettingsError(
            "folder", f"{str(folder)!r} cannot be written: {exc.strerror}; {fix}"
        ) from exc
