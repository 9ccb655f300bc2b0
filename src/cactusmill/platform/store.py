"""Client of the platform's key-value store: listings, watches, exports.

An export contains items in the store's format, from which a host that cannot reach the
store updates its configuration and endpoints.
"""

import functools
import json
import urllib.parse
import zlib

import attrs

from ..errors import PlatformError, RecordError
from ..internal.service_client import ServiceClient
from ..serving.connections import IDLE_SILENCE_MS, enable_dead_peer_detection
from ..serving.source_sync import HistoryLostError, Source
from .items import change_from_item

# Responses normally take milliseconds, and up to 60 times that when the store is slow.
_RESPONSE_TIMEOUT_S = 1.5
_OK, _GONE = 200, 410
_MAX_PAGES = 100
# Configurations are repetitive: the fastest level shrinks them to about a tenth.
_COMPRESSION_LEVEL = 1
# Above this number of cached items, tombstones of removed items are dropped, oldest
# first.
_MAX_CACHED_ITEMS = 4096
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
    _items: dict = attrs.field(factory=dict)
    _last_export: tuple | None = None
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

    def export(self, since, revision):
        """Return the items newer than a revision, as compressed JSON.

        Items keep the store's own format. They are compressed because links
        between hosts carry a few Mbit/s. The last export is cached, since several
        hosts request the same revisions after a change.
        """
        key = (since, revision)
        if self._last_export is None or self._last_export[0] != key:
            items = [i for i in self._items.values() if i["revision"] > since]
            text = json.dumps({"revision": revision, "items": items})
            data = zlib.compress(text.encode(), _COMPRESSION_LEVEL)
            self._last_export = (key, data)
        return self._last_export[1]

    def read_export(self, data):
        """Decode another host's export into its changes and the revision it is up to.

        Raises
        ------
        PlatformError
            If the export is malformed.
        """
        try:
            unpacker = zlib.decompressobj()
            text = unpacker.decompress(data, _MAX_EXPORT_BYTES)
            if not unpacker.eof:
                raise PlatformError(
                    f"export is cut or over {_MAX_EXPORT_BYTES} bytes unpacked"
                )
            export = json.loads(text)
        except (ValueError, zlib.error) as exc:
            raise PlatformError("export is not valid JSON") from exc
        if not isinstance(export, dict):
            raise PlatformError("export is not a JSON object")
        items = _get_field(export, "items", list)
        return self._decode_items(items), _get_field(export, "revision", int)

    async def list_all(self):
        """Return all items as changes, and the revision to watch from."""
        changes, after, revision = [], "", None
        keys = set()
        for _ in range(_MAX_PAGES):
            query = {"path_prefix": ""}
            if after:
                query["after"] = after
            page = await self._get("kv-range", query, _RESPONSE_TIMEOUT_S)
            items = _get_field(page, "items", list)
            # Pages are not a consistent snapshot: watch from the first page's revision.
            if revision is None:
                revision = _get_field(page, "store_revision", int)
            changes += self._decode_items(items)
            keys.update(item["key"] for item in items)
            if not page.get("has_more") or not items:
                self._record_removed(keys, revision)
                return changes, revision
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
        query = {"path_prefix": "", "after": revision, "wait_ms": int(wait_s * 1000)}
        page = await self._get("kv-watch", query, wait_s + _RESPONSE_TIMEOUT_S)
        changes = self._decode_items(_get_field(page, "events", list))
        return changes, max(revision, _get_field(page, "store_revision", int))

    def _decode_items(self, items):
        changes = []
        for item in items:
            try:
                change = change_from_item(item, self.zones)
            except RecordError as exc:
                # One malformed item must not block the others from being applied.
                raise PlatformError(str(exc)) from exc
            if change is not None:
                changes.append(change)
                self._cache_item(item)
        return changes

    def _record_removed(self, keys, revision):
        """Record cached items missing from a listing as removed, for exports."""
        for key, item in list(self._items.items()):
            if key not in keys and item["revision"] <= revision:
                self._cache_item({"key": key, "revision": revision, "tombstone": True})

    def _cache_item(self, item):
        """Cache an item for export to hosts that cannot reach the store."""
        cached = self._items.pop(item["key"], None)
        newest = max(cached or item, item, key=lambda i: i["revision"])
        self._items[item["key"]] = newest
        if len(self._items) > _MAX_CACHED_ITEMS:
            removed = [k for k, i in self._items.items() if i.get("tombstone")]
            for key in removed[: len(removed) // 2 + 1]:
                del self._items[key]

    async def _get(self, name, query, timeout_s):
        target = f"/cactusmill/{name}?{urllib.parse.urlencode(query)}"
        status, body = await self._client.get(target, timeout_s)
        if status == _GONE:
            raise HistoryLostError(f"{name}: history was compacted")
        if status != _OK:
            raise PlatformError(f"{name}: status {status}")
        try:
            page = json.loads(body)
        except ValueError as exc:
            raise PlatformError(f"{name}: response is not valid JSON") from exc
        if not isinstance(page, dict):
            raise PlatformError(f"{name}: response is not a JSON object")
        return page


def _get_field(page, name, kind):
    value = page.get(name)
    if not isinstance(value, kind):
        raise PlatformError(f"missing or invalid field {name}")
    return value
