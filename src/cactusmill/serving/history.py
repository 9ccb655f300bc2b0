"""Which changes of the source a host has seen, and for whom they are complete.

A listing shows what exists, and not what was removed before it. A host that passes on
its changes therefore says from which revision they are complete. Whoever is at an
earlier revision may hold items whose removal is missing, and must not count itself as
up to date.
"""

import attrs

from ..errors import PlatformError

# Above this number the oldest two gaps count as one.
_MAX_GAPS = 16


class IncompleteExportError(PlatformError):
    """Another host may not have seen all requested changes.

    Attributes
    ----------
    complete_after : int
        Revision from which on it has.
    """

    def __init__(self, complete_after):
        super().__init__(f"changes are complete after {complete_after} only")
        self.complete_after = complete_after


@attrs.define(eq=False)
class ChangeHistory:
    """The changes that a host holds of the source.

    Attributes
    ----------
    synced_to : int
        Revision up to which the items of the host are those of the source; 0 before
        the first listing.
    """

    synced_to: int = 0
    # Pairs of revisions. What was both published and removed between them is unknown.
    _gaps: list = attrs.field(factory=list)

    def extend(self, since, revision):
        """Record that all changes after a revision, up to a later one, were received.

        Parameters
        ----------
        since, revision : int
            The revisions.
        """
        if since > self.synced_to:
            self._add_gap(self.synced_to, since)
        self._gaps = [
            (after, until)
            for after, until in self._gaps
            if after < since or until > revision
        ]
        self.synced_to = max(self.synced_to, revision)

    def replace(self, revision):
        """Record a complete listing, which lacks the removals before its revision."""
        if revision > self.synced_to:
            self._add_gap(self.synced_to, revision)
            self.synced_to = revision

    def discard(self, revision):
        """Record that removals up to a revision are no longer known."""
        self._add_gap(0, revision)

    def complete_after(self, since):
        """Return the first revision, from `since` on, after which no change is missing.

        Parameters
        ----------
        since : int
            Revision that another host has.

        Returns
        -------
        int
            `since` itself if this host can bring the other one up to date.
        """
        for after, until in self._gaps:
            if after < since < until:
                since = until
        return since

    def _add_gap(self, after, until):
        self._gaps = [g for g in self._gaps if not after <= g[0] <= g[1] <= until]
        self._gaps.append((after, until))
        self._gaps.sort()
        if len(self._gaps) > _MAX_GAPS:
            first, second, *others = self._gaps
            self._gaps = [(first[0], max(first[1], second[1])), *others]
