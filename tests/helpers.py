"""Helpers shared by several tests."""

from cactusmill.internal.configuration import Change


def change(kind, name, body, version, schema=1):
    """Return a published change."""
    return Change(kind=kind, name=name, schema=schema, version=version, body=body)


def settings_data():
    """Return valid settings of a host, as parsed from YAML."""
    return {
        "host": "h",
        "zone": "z",
        "region": "r",
        "callers": "127.0.0.1:1001",
        "peers": "127.0.0.1:1002",
        "operators": "127.0.0.1:1003",
        "configuration": "127.0.0.1:1004",
        "host_list": "127.0.0.1:1005",
        "link_secret": "a-secret-of-the-links",
    }
