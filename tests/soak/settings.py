"""Settings of small runs for tests."""

from soak.settings import SoakSettings

_SMALL = {
    "seconds": 20.0,
    "hosts": 3,
    "endpoints": 6,
    "callers": 4,
    "events": 10,
    "faults": ("endpoint_pause", "configuration"),
}


def small_settings(**changes):
    """Return the settings of a small run, with changes."""
    return SoakSettings(**{**_SMALL, **changes})
