"""Positions in the source's log: an era and a revision, as one number.

The source may come back from an older copy: what it published since is lost, revisions
are given out again, and a new era begins. Later eras come after all earlier ones, so
positions are ordered as their numbers are. A source without eras has the era 0.
"""

_REVISION_BITS = 40
MAX_REVISION = 2**_REVISION_BITS - 1
# The number fits into 63 bits.
MAX_ERA = 2**23 - 1
MAX_POSITION = MAX_ERA << _REVISION_BITS | MAX_REVISION


def position(era, revision):
    """Return the position of a revision in an era."""
    return era << _REVISION_BITS | revision


def era_of(pos):
    """Return the era of a position."""
    return pos >> _REVISION_BITS


def revision_of(pos):
    """Return the revision of a position in its era."""
    return pos & MAX_REVISION
