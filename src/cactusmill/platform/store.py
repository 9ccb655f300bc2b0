"""The one client of the platform's store."""

import json
import urllib.parse
import zlib

import attrs

from ..errors import PlatformError, RecordError
from ..internal.service_client import ServiceClient
from ..serving.connections import enable_dead_peer_detection
from ..serving.source_sync import HistoryLostError, Source
from .items import change_from_item

# Answers take milliseconds, and 60 times that on bad days.
_ANSWER_TIMEOUT_S = 1.5
_OK, _GONE = 200, 410
_MAX_PAGES = 100
# Configurations repeat their words: the fastest level leaves about a tenth.
_COMPRESSION_LEVEL = 1
# Beyond this, the traces of removed items are dropped, oldest first.
_MAX_KEPT_ITEMS = 4096


@attrs.define(eq=False)
class StoreClient:
    """Reads and watches the store over one connection at a time.

    Attributes
    ----------
    address : str
        ``"IP:PORT"`` of the store.
    net : Network
        How to reach it.
    zones : dict of str to str
        Region of each availability zone.
    """

    address: str
    net: object
    zones: dict
    _items: dict = attrs.field(factory=dict)
    _last_export: tuple | None = None
    _calls: ServiceClient = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the connection's holder."""
        self._calls = ServiceClient(self.address, self.net, enable_dead_peer_detection)

    def source(self):
        """Return this client as a source of changes."""
        return Source(
            list_all=self.list_all,
            wait_for_changes=self.wait_for_changes,
            export=self.export,
            read_export=self.read_export,
            count_calls=lambda: self._calls.request_count,
        )

    def export(self, since, revision):
        """Return the items behind a revision, in the store's own form.

        Hosts have links of a few Mbit/s, so it is compressed. Several hosts ask
        for the same after a change.
        """
        asked = (since, revision)
        if self._last_export is None or self._last_export[0] != asked:
            items = [i for i in self._items.values() if i["revision"] > since]
            text = json.dumps({"revision": revision, "items": items})
            data = zlib.compress(text.encode(), _COMPRESSION_LEVEL)
            self._last_export = (asked, data)
        return self._last_export[1]

    def read_export(self, data):
        """Return the changes in another host's export, and its revision.

        Raises
        ------
        PlatformError
            If it has another shape.
        """
        try:
            export = json.loads(zlib.decompress(data))
        except (ValueError, zlib.error) as exc:
            raise PlatformError("an export that is no JSON") from exc
        if not isinstance(export, dict):
            raise PlatformError("an export of another shape")
        items = _member(export, "items", list)
        return self._changes(items), _member(export, "revision", int)

    async def list_all(self):
        """Return all items as changes, and the revision to go on from."""
        changes, after, revision = [], "", None
        keys = set()
        for _ in range(_MAX_PAGES):
            query = {"path_prefix": ""}
            if after:
                query["after"] = after
            page = await self._call("kv-range", query, _ANSWER_TIMEOUT_S)
            items = _member(page, "items", list)
            # Pages are no snapshot: go on from before the first of them.
            if revision is None:
                revision = _member(page, "store_revision", int)
            changes += self._changes(items)
            keys.update(item["key"] for item in items)
            if not page.get("has_more") or not items:
                self._note_absent(keys, revision)
                return changes, revision
            after = items[-1].get("key", "")
        raise PlatformError(f"a listing of over {_MAX_PAGES} pages")

    async def wait_for_changes(self, revision, wait_s):
        """Return the changes behind a revision as soon as there is one."""
        query = {"path_prefix": "", "after": revision, "wait_ms": int(wait_s * 1000)}
        page = await self._call("kv-watch", query, wait_s + _ANSWER_TIMEOUT_S)
        changes = self._changes(_member(page, "events", list))
        return changes, max(revision, _member(page, "store_revision", int))

    def _changes(self, items):
        changes = []
        for item in items:
            try:
                change = change_from_item(item, self.zones)
            except RecordError as exc:
                # One unreadable member must not keep the others out of force.
                raise PlatformError(str(exc)) from exc
            if change is not None:
                changes.append(change)
                self._keep(item)
        return changes

    def _note_absent(self, keys, revision):
        """Remember what a listing lacks as removed, for hosts that ask this one."""
        for key, item in list(self._items.items()):
            if key not in keys and item["revision"] <= revision:
                self._keep({"key": key, "revision": revision, "tombstone": True})

    def _keep(self, item):
        """Remember an item for hosts that the store does not answer."""
        held = self._items.pop(item["key"], None)
        newest = max(held or item, item, key=lambda i: i["revision"])
        self._items[item["key"]] = newest
        if len(self._items) > _MAX_KEPT_ITEMS:
            gone = [k for k, i in self._items.items() if i.get("tombstone")]
            for key in gone[: len(gone) // 2 + 1]:
                del self._items[key]

    async def _call(self, name, query, timeout_s):
        target = f"/cactusmill/{name}?{urllib.parse.urlencode(query)}"
        status, body = await self._calls.get(target, timeout_s)
        if status == _GONE:
            raise HistoryLostError(f"{name}: the history is gone")
        if status != _OK:
            raise PlatformError(f"{name}: status {status}")
        try:
            page = json.loads(body)
        except ValueError as exc:
            raise PlatformError(f"{name}: an answer that is no JSON") from exc
        if not isinstance(page, dict):
            raise PlatformError(f"{name}: an answer of another shape")
        return page


def _member(page, name, kind):
    value = page.get(name)
    if not isinstance(value, kind):
        raise PlatformError(f"an answer without {name}")
    return value
