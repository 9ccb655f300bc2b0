"""A multi-region inference gateway whose hosts share no state.

The public surface is small: settings are read with :func:`load_settings`,
records are checked with :func:`parse_record`, and every failure is one of the
types in :mod:`cactusmill.errors`. The daemon is ``cactusmilld`` and the
operators' tool is ``cactusmill``.
"""

from .errors import CactusmillError, Outcome, RecordError, Refusal, SettingsError
from .records import parse_record
from .settings import Settings, load_settings

__all__ = [
    "CactusmillError",
    "Outcome",
    "RecordError",
    "Refusal",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_record",
]
