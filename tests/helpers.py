"""What several tests need."""

from cactusmill.internal.configuration import Change


def change(kind, name, body, version, schema=1):
    """Return a published change."""
    return Change(kind=kind, name=name, schema=schema, version=version, body=body)
