"""A multi-region inference gateway whose hosts share no state.

:func:`load_settings` reads settings, :func:`parse_record` validates records, and
:mod:`cactusmill.errors` defines all exceptions and refusals. The daemon is
``cactusmilld``; the command-line tool for operators is ``cactusmill``.
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
