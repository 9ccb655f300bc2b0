"""Client of the platform's key-value store: listings, watches, exports.

An export contains items in the store's format, from which a host that follows others or
cannot reach the store updates its configuration and endpoints. It says after which
revision its changes are complete (:mod:`..serving.history`).
"""

import functools
import json
import urllib.parse
import zlib

import attrs
import trio

from ..errors import PlatformError, RecordError
from ..fields import describe
from ..internal.http import header, parse_count
from ..internal.service_client import ServiceClient
from ..internal.steps import Steps, parse_json
from ..serving.catalog import UnreadableItem
from ..serving.connections import IDLE_SILENCE_MS, enable_dead_peer_detection
from ..serving.history import ChangeHistory
from ..serving.positions import (
    MAX_ERA,
    MAX_POSITION,
    MAX_REVISION,
    era_of,
    position,
    revision_of,
)
from ..serving.source_sync import (
    Export,
    HistoryLostError,
    IncompleteExportError,
    Source,
)
from .items import CONFIGURATION_KEY, change_from_item

# Responses normally take milliseconds, and up to 60 times that when the store is slow.
_RESPONSE_TIMEOUT_S = 1.5
_OK, _GONE = 200, 410
# Rises when the store comes back from an older copy.
_ERA_HEADER = b"store-era"
_MAX_PAGES = 100
# Configurations are repetitive: the fastest level shrinks them to about a tenth.
_COMPRESSION_LEVEL = 1
# Cached tombstones of removed items; above this number the oldest is dropped.
_MAX_TOMBSTONES = 4096
# Exports are packed and unpacked this many bytes at a time.
_PART_BYTES = 64 * 1024
_MAX_EXPORT_BYTES = 32 * 1024 * 1024


@attrs.define(eq=False)
class StoreClient:
    """Lists and watches the store over one connection at a time.

    Attributes
    ----------
    address : str
        ``"IP:PORT"`` of the store.
    net : Network
        Network used to connect to the store.
    zones : dict of str to str
        Region of each availability zone.
    """

    address: str
    net: object
    zones: dict
    _listed_era: int = -1
    _items: dict = attrs.field(factory=dict)
    _tombstones: dict = attrs.field(factory=dict)
    _history: ChangeHistory = attrs.field(factory=ChangeHistory)
    _last_export: tuple | None = None
    _export_lock: trio.Lock = attrs.field(factory=trio.Lock)
    _client: ServiceClient = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the HTTP client."""
        prepare = functools.partial(
            enable_dead_peer_detection, silence_ms=IDLE_SILENCE_MS
        )
        self._client = ServiceClient(self.address, self.net, prepare)

    def source(self):
        """Return this client as the source of configuration and endpoint changes."""
        return Source(
            list_all=self.list_all,
            wait_for_changes=self.wait_for_changes,
            export=self.export,
            read_export=self.read_export,
            count_calls=lambda: self._client.request_count,
        )

    async def export(self, since, revision):
        """Return the items newer than a revision, as compressed JSON.

        Items keep the store's own format. They are compressed because links
        between hosts carry a few Mbit/s. The last export is cached, since several
        hosts request the same revisions after a change. If a change after `since` may
        be missing here, the export is empty and has the revision from which none is.

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
        complete_after = self._history.complete_after(since)
        if since and complete_after > since:
            return await self._pack_export(complete_after, since, ())
        if not since:
            revision = min(revision, self._history.synced_to)
        key = (since, revision)
        async with self._export_lock:
            if self._last_export is None or self._last_export[0] != key:
                items = list(self._items.values())
                export = await self._pack_export(since, revision, items)
                self._last_export = (key, export)
            return self._last_export[1]

    async def _pack_export(self, since, revision, items):
        steps = Steps()
        packer = zlib.compressobj(_COMPRESSION_LEVEL)
        head = f'{{"since": {since}, "revision": {revision}, "items": ['
        parts = [packer.compress(head.encode())]
        separator = ""
        for item in items:
            await steps.pause()
            is_obsolete = since == 0 and item.get("tombstone")
            if item["revision"] <= since or is_obsolete:
                continue
            text = separator + json.dumps(item)
            separator = ", "
            for start in range(0, len(text), _PART_BYTES):
                part = text[start : start + _PART_BYTES]
                parts.append(packer.compress(part.encode()))
                await steps.pause()
        parts += [packer.compress(b"]}"), packer.flush()]
        return b"".join(parts)

    async def read_export(self, data, since):
        """Decode another host's export.

        Parameters
        ----------
        data : bytes
            The export.
        since : int
            Revision for which it was requested; 0 for a copy of all items.

        Returns
        -------
        Export

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
        items = _get_field(export, "items", list)
        revision = _get_revision(export, "revision", MAX_POSITION)
        complete_after = _get_revision(export, "since", MAX_POSITION)
        if complete_after > since:
            raise IncompleteExportError(complete_after)
        is_copy = since == 0 and revision > self._history.synced_to
        if since == 0 and not is_copy:
            # What this host lacks of an older copy has been removed since, but for a
            # configuration that it could not read.
            items = [i for i in items if _has_key(i, CONFIGURATION_KEY)]
        changes = await self._decode_items(items)
        if is_copy:
            self._record_removed({item["key"] for item in items}, revision)
            self._history.replace(revision)
        elif since:
            self._history.extend(since, revision)
        return Export(changes, revision, is_copy)

    async def list_all(self):
        """Return all items as changes, and the revision to watch from."""
        changes, after, start = [], "", None
        keys = set()
        for _ in range(_MAX_PAGES):
            query = {"path_prefix": ""}
            if after:
                query["after"] = after
            page, era = await self._get("kv-range", query, _RESPONSE_TIMEOUT_S)
            items = _get_field(page, "items", list)
            # Pages are not a consistent snapshot: watch from the first page's revision.
            if start is None:
                start = position(era, _get_revision(page, "store_revision"))
            if era != era_of(start):
                raise PlatformError(f"era {era} began during the listing")
            changes += await self._decode_items(_locate_items(items, era))
            keys.update(item["key"] for item in items)
            if not page.get("has_more") or not items:
                self._record_removed(keys, start)
                self._history.replace(start)
                self._listed_era = era
                return changes, start
            after = items[-1].get("key", "")
        raise PlatformError(f"listing has more than {_MAX_PAGES} pages")

    async def wait_for_changes(self, revision, wait_s):
        """Return the changes after a revision; block until there is one or a timeout.

        Parameters
        ----------
        revision : int
            Newest revision of the changes already received.
        wait_s : float
            Longest time that the store holds the request, in seconds.

        Returns
        -------
        changes : list
        revision : int
            Revision from which to wait next.
        """
        query = {
            "path_prefix": "",
            "after": revision_of(revision),
            "wait_ms": int(wait_s * 1000),
        }
        page, era = await self._get("kv-watch", query, wait_s + _RESPONSE_TIMEOUT_S)
        if era > era_of(revision):
            raise HistoryLostError(f"era {era} has begun")
        if era < era_of(revision):
            raise PlatformError(f"the response is of era {era}, which has ended")
        events = _locate_items(_get_field(page, "events", list), era)
        changes = await self._decode_items(events)
        newest = max(revision, position(era, _get_revision(page, "store_revision")))
        self._history.extend(revision, newest)
        return changes, newest

    async def _decode_items(self, items):
        changes, steps = [], Steps()
        for item in items:
            try:
                change = await change_from_item(item, self.zones, steps)
            except RecordError as exc:
                # One malformed item must not block the others from being applied.
                raise PlatformError(str(exc)) from exc
            if change is not None:
                changes.append(change)
                # Other hosts may still need what an unreadable item has replaced.
                if not isinstance(change, UnreadableItem):
                    self._cache_item(item)
            await steps.pause()
        return changes

    def _record_removed(self, keys, revision):
        """Record cached items missing from a listing as removed, for exports.

        The first listing of an era may lack items that are about to be published again.
        """
        era = era_of(revision)
        first = 0 if era == self._listed_era else position(era, 0)
        for key, item in list(self._items.items()):
            if key not in keys and first <= item["revision"] <= revision:
                self._cache_item({"key": key, "revision": revision, "tombstone": True})

    def _cache_item(self, item):
        """Cache an item for export to hosts that cannot reach the store."""
        key = item["key"]
        cached = self._items.pop(key, None)
        newest = max(cached or item, item, key=lambda i: i["revision"])
        self._items[key] = newest
        self._tombstones.pop(key, None)
        if newest.get("tombstone"):
            self._tombstones[key] = None
            if len(self._tombstones) > _MAX_TOMBSTONES:
                oldest = next(iter(self._tombstones))
                self._history.discard(self._items.pop(oldest)["revision"])
                del self._tombstones[oldest]

    async def _get(self, name, query, timeout_s):
        """Return the decoded body of a response, and its era."""
        # A key may hold lone surrogates.
        text = urllib.parse.urlencode(query, errors="surrogatepass")
        target = f"/cactusmill/{name}?{text}"
        status, headers, body = await self._client.get(target, timeout_s)
        if status == _GONE:
            raise HistoryLostError(f"{name}: history was compacted")
        if status != _OK:
            raise PlatformError(f"{name}: status {status}")
        try:
            page = await parse_json(body, Steps())
        except ValueError as exc:
            raise PlatformError(f"{name}: response is not valid JSON") from exc
        if not isinstance(page, dict):
            raise PlatformError(f"{name}: response is not a JSON object")
        return page, _parse_era(header(headers, _ERA_HEADER, "0"))


def _parse_era(text):
    era = parse_count(text)
    if era is None or era > MAX_ERA:
        raise PlatformError(f"the era {text[:40]!r} is no number up to {MAX_ERA}")
    return era


def _locate_items(items, era):
    """Return items of the store with the positions of their revisions."""
    return [
        {**item, "revision": position(era, _get_revision(item, "revision"))}
        if isinstance(item, dict)
        else item
        for item in items
    ]


def _has_key(item, key):
    return isinstance(item, dict) and item.get("key") == key


def _get_revision(data, name, high=MAX_REVISION):
    revision = _get_field(data, name, int)
    if not 0 <= revision <= high:
        raise PlatformError(f"{name}: {describe(revision)} is no revision")
    return revision


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


def _get_field(page, name, kind):
    value = page.get(name)
    if not isinstance(value, kind):
        raise PlatformError(f"missing or invalid field {name}")
    return value
