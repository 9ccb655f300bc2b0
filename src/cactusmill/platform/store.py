"""Client of the platform's key-value store: listings, watches, exports of hosts."""

import functools
import urllib.parse

import attrs

from ..errors import PlatformError, RecordError
from ..internal.http import header, parse_count
from ..internal.service_client import ServiceClient
from ..internal.steps import Steps, parse_json
from ..serving.catalog import UnreadableItem
from ..serving.connections import IDLE_SILENCE_MS, enable_dead_peer_detection
from ..serving.item_cache import ItemCache, get_field, get_revision, unpack_export
from ..serving.positions import (
    MAX_ERA,
    era_of,
    position,
    revision_of,
)
from ..serving.source_sync import Export, HistoryLostError, Source
from .items import CONFIGURATION_KEY, change_from_item

# Responses normally take milliseconds, and up to 60 times that when the store is slow.
_RESPONSE_TIMEOUT_S = 1.5
_OK, _GONE = 200, 410
# Rises when the store comes back from an older copy.
_ERA_HEADER = b"store-era"
_MAX_PAGES = 100


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
    cache : ItemCache
        What other hosts may fetch.
    """

    address: str
    net: object
    zones: dict
    cache: ItemCache = attrs.field(factory=ItemCache)
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
            export=self.cache.export,
            read_export=self.read_export,
            count_calls=lambda: self._client.request_count,
        )

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
        items, revision = await unpack_export(data, since)
        is_copy = since == 0 and revision > self.cache.history.synced_to
        if since == 0 and not is_copy:
            # What this host lacks of an older copy has been removed since, but for a
            # configuration that it could not read.
            items = [i for i in items if _has_key(i, CONFIGURATION_KEY)]
        changes = await self._decode_items(items, is_from_host=True)
        if is_copy:
            self.cache.record_copy({item["key"] for item in items}, revision)
        elif since:
            self.cache.history.extend(since, revision)
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
            items = get_field(page, "items", list)
            # Pages are not a consistent snapshot: watch from the first page's revision.
            if start is None:
                start = position(era, get_revision(page, "store_revision"))
            if era != era_of(start):
                raise PlatformError(f"era {era} began during the listing")
            changes += await self._decode_items(_locate_items(items, era))
            keys.update(item["key"] for item in items)
            if not page.get("has_more") or not items:
                self.cache.record_listing(keys, start)
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
        events = _locate_items(get_field(page, "events", list), era)
        changes = await self._decode_items(events)
        newest = max(revision, position(era, get_revision(page, "store_revision")))
        self.cache.history.extend(revision, newest)
        return changes, newest

    async def _decode_items(self, items, is_from_host=False):
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
                is_configuration = item["key"] == CONFIGURATION_KEY
                if not isinstance(change, UnreadableItem):
                    self.cache.add(item, is_from_host and not is_configuration)
            await steps.pause()
        return changes

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
        {**item, "revision": position(era, get_revision(item, "revision"))}
        if isinstance(item, dict)
        else item
        for item in items
    ]


def _has_key(item, key):
    return isinstance(item, dict) and item.get("key") == key
