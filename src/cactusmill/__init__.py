"""A multi-region inference gateway whose hosts share no state.

:func:`load_settings` reads settings, :func:`parse_record` validates records, and
:mod:`cactusmill.errors` defines all exceptions and refusals. The daemon is
``cactusmilld``; the command-line tool for operators is ``cactusmill``.
"""

# Imported on first use: a daemon must hold signals before the long imports, and this
# module is run before it.
_MODULES = {
    "CactusmillError": "errors",
    "Outcome": "errors",
    "RecordError": "errors",
    "Refusal": "errors",
    "Settings": "settings",
    "SettingsError": "errors",
    "load_settings": "settings",
    "parse_record": "records",
}

__all__ = list(_MODULES)


def __getattr__(name):
    """Return a public name from the module that defines it."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    import importlib

    return getattr(importlib.import_module(f".{_MODULES[name]}", __name__), name)


def __dir__():
    """Return the public names."""
    return sorted([*globals(), *_MODULES])
