"""Cache of the source's items, and exports of it to other hosts.

From an export, a host that follows others or cannot reach the source updates its
configuration and endpoints. It holds items in the source's format, each a dictionary
with a `key`, a `revision` (a position, see :mod:`.positions`) and either a `value` or a
`tombstone`, and says after which revision they are complete (:mod:`.history`).
"""

import json
import zlib

import attrs
import trio

from ..errors import PlatformError
from ..fields import describe
from ..internal.steps import Steps, parse_json
from .history import ChangeHistory, IncompleteExportError
from .positions import MAX_POSITION, MAX_REVISION, era_of, position

# Configurations are repetitive: the fastest level shrinks them to about a tenth.
_COMPRESSION_LEVEL = 1
# Cached tombstones of removed items; above this number the oldest is dropped.
_MAX_TOMBSTONES = 4096
# Exports are packed and unpacked this many bytes at a time.
_PART_BYTES = 64 * 1024
_MAX_EXPORT_BYTES = 32 * 1024 * 1024


@attrs.define(eq=False)
class ItemCache:
    """Newest version of each item that this host has received.

    Attributes
    ----------
    items : dict of str to dict
        By key, with tombstones of removed ones.
    history : ChangeHistory
        From where these are complete.
    listed_to : int
        Revision of the newest listing of the source; -1 before the first.
    """

    items: dict = attrs.field(factory=dict)
    history: ChangeHistory = attrs.field(factory=ChangeHistory)
    listed_to: int = -1
    _tombstones: dict = attrs.field(factory=dict)
    _last_export: tuple | None = None
    _export_lock: trio.Lock = attrs.field(factory=trio.Lock)

    def add(self, item, may_be_outdated=False):
        """Add an item if it is newer than the cached one of its key.

        Parameters
        ----------
        item : dict
            As received.
        may_be_outdated : bool
            True if it comes from another host and may have been removed before the
            listing of this one, which then says so.
        """
        key = item["key"]
        if may_be_outdated and key not in self.items:
            if item["revision"] <= self.listed_to:
                return
        cached = self.items.pop(key, None)
        newest = max(cached or item, item, key=lambda i: i["revision"])
        self.items[key] = newest
        self._tombstones.pop(key, None)
        if newest.get("tombstone"):
            self._tombstones[key] = None
            if len(self._tombstones) > _MAX_TOMBSTONES:
                oldest = next(iter(self._tombstones))
                self.history.discard(self.items.pop(oldest)["revision"])
                del self._tombstones[oldest]

    def record_listing(self, keys, revision):
        """Record a complete listing of the source.

        Parameters
        ----------
        keys : set of str
            Keys of all items.
        revision : int
            Revision of the source before the listing began.
        """
        self._remove_others(keys, revision)
        self.history.replace(revision)
        self.listed_to = revision

    def record_copy(self, keys, revision):
        """Record a copy of all items of another host, as :meth:`record_listing` does.

        What it lacks may still be found by a listing of the source.
        """
        self._remove_others(keys, revision)
        self.history.replace(revision)

    def _remove_others(self, keys, revision):
        """Record cached items missing from a listing as removed.

        The first listing of an era may lack items that are about to be published again.
        """
        era = era_of(revision)
        first = 0 if era == era_of(self.listed_to) else position(era, 0)
        for key, item in list(self.items.items()):
            if key not in keys and first <= item["revision"] <= revision:
                self.add({"key": key, "revision": revision, "tombstone": True})

    async def export(self, since, revision):
        """Return the items newer than a revision, as compressed JSON.

        They are compressed because links between hosts carry a few Mbit/s. The last
        export is cached, since several hosts request the same revisions after a change.
        If a change after `since` may be missing here, the export is empty and has the
        revision from which none is.

        Parameters
        ----------
        since : int
            Revision that the other host has; 0 for a copy of all items.
        revision : int
            Revision up to which this host has applied all changes.

        Returns
        -------
        bytes
        """
        complete_after = self.history.complete_after(since)
        if since and complete_after > since:
            return await _pack_export(complete_after, since, ())
        if not since:
            revision = min(revision, self.history.synced_to)
        key = (since, revision)
        async with self._export_lock:
            if self._last_export is None or self._last_export[0] != key:
                items = list(self.items.values())
                self._last_export = (key, await _pack_export(since, revision, items))
            return self._last_export[1]


async def _pack_export(since, revision, items):
    steps = Steps()
    packer = zlib.compressobj(_COMPRESSION_LEVEL)
    head = f'{{"since": {since}, "revision": {revision}, "items": ['
    parts = [packer.compress(head.encode())]
    separator = ""
    for item in items:
        await steps.pause()
        is_needless = since == 0 and item.get("tombstone")
        if item["revision"] <= since or is_needless:
            continue
        text = separator + json.dumps(item)
        separator = ", "
        for start in range(0, len(text), _PART_BYTES):
            part = text[start : start + _PART_BYTES]
            parts.append(packer.compress(part.encode()))
            await steps.pause()
    parts += [packer.compress(b"]}"), packer.flush()]
    return b"".join(parts)


async def unpack_export(data, since):
    """Return the items of another host's export, and the revision it is up to.

    Parameters
    ----------
    data : bytes
        The export.
    since : int
        Revision for which it was requested.

    Raises
    ------
    IncompleteExportError
        If a change after `since` may be missing.
    PlatformError
        If the export is malformed.
    """
    try:
        export = await _unpack(data, Steps())
    except (ValueError, zlib.error) as exc:
        raise PlatformError("export is not valid JSON") from exc
    if not isinstance(export, dict):
        raise PlatformError("export is not a JSON object")
    items = get_field(export, "items", list)
    revision = get_revision(export, "revision", MAX_POSITION)
    complete_after = get_revision(export, "since", MAX_POSITION)
    if complete_after > since:
        raise IncompleteExportError(complete_after)
    return items, revision


async def _unpack(data, steps):
    unpacker, parts, size = zlib.decompressobj(), [], 0
    while not unpacker.eof and size <= _MAX_EXPORT_BYTES:
        parts.append(unpacker.decompress(data, _PART_BYTES))
        size += len(parts[-1])
        data = unpacker.unconsumed_tail
        if not (parts[-1] or data):
            break
        await steps.pause()
    if not unpacker.eof or size > _MAX_EXPORT_BYTES:
        raise PlatformError(f"export is cut or over {_MAX_EXPORT_BYTES} bytes unpacked")
    return await parse_json(b"".join(parts), steps)


def get_field(page, name, kind):
    """Return a field of a decoded page, checked for its type.

    Raises
    ------
    PlatformError
        If it is missing or of another type.
    """
    value = page.get(name)
    if not isinstance(value, kind):
        raise PlatformError(f"missing or invalid field {name}")
    return value


def get_revision(data, name, high=MAX_REVISION):
    """Return a revision from 0 to `high`, as :func:`get_field` does."""
    revision = get_field(data, name, int)
    if not 0 <= revision <= high:
        raise PlatformError(f"{name}: {describe(revision)} is no revision")
    return revision
