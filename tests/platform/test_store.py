"""What the store responds, and exports of its items that hosts fetch from others."""

import json
import urllib.parse
import zlib

import pytest
import trio

from cactusmill.errors import PlatformError
from cactusmill.platform.store import StoreClient
from cactusmill.serving.history import IncompleteExportError
from cactusmill.serving.positions import MAX_POSITION
from cactusmill.serving.source_sync import Export


def read_export(data, since=7):
    return trio.run(StoreClient("127.0.0.1:1", None, {}).read_export, data, since)


def test_export_that_unpacks_without_end_is_refused():
    text = b'{"revision": 1, "items": [' + b" " * 200_000_000
    with pytest.raises(PlatformError, match="over"):
        read_export(zlib.compress(text, 9))


def test_cut_export_is_refused():
    export = {"since": 7, "revision": 7, "items": []}
    data = zlib.compress(json.dumps(export).encode())
    assert read_export(data) == Export([], 7, is_copy=False)
    for size in range(len(data)):
        with pytest.raises(PlatformError):
            read_export(data[:size])


@pytest.mark.parametrize("revision", [-1, 2**70, MAX_POSITION + 1])
def test_export_with_a_revision_that_no_heartbeat_can_tell_is_refused(revision):
    """Guards against the end of a host that tells the others its revision."""
    for export in (
        {"since": 7, "revision": revision, "items": []},
        {"since": revision, "revision": 7, "items": []},
        {
            "since": 7,
            "revision": 7,
            "items": [{"key": "servers/e", "revision": revision}],
        },
    ):
        with pytest.raises(PlatformError, match="revision"):
            read_export(zlib.compress(json.dumps(export).encode()))


def test_export_that_is_nested_too_deep_is_refused():
    """Guards against the end of the host that fetches it."""
    with pytest.raises(PlatformError):
        read_export(zlib.compress(b'{"items": ' + b"[" * 100_000))


class ServiceStub:
    """Answers all calls of a client from a list of pages, and keeps the targets."""

    def __init__(self, *pages, era=b"1"):
        self.pages, self.era, self.targets = list(pages), era, []

    async def get(self, target, timeout_s):
        self.targets.append(target)
        body = self.pages.pop(0)
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return 200, [(b"store-era", self.era)], body


def list_all(service):
    client = StoreClient("127.0.0.1:1", None, {})
    client._client = service
    return trio.run(client.list_all)


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b'{"items": ' + b"[" * 100_000,
        b'{"items": [], "store_revision": Infinity}',
        b'{"items": [], "store_revision": 1e999}',
        b'{"items": [], "store_revision": %s}' % (b"9" * 5000),
        b'{"items": [[]], "store_revision": 1}',
        b'{"items": [{"key": "k", "revision": 1e999}], "store_revision": 1}',
        b"\xff\xfe\x00",
    ],
)
def test_response_that_cannot_be_read_is_a_platform_error(body):
    """Guards against the end of all hosts by one response of the store."""
    with pytest.raises(PlatformError):
        list_all(ServiceStub(body))


@pytest.mark.parametrize("era", [b"9" * 5000, b"-1", b"1e9", "²".encode("latin-1")])
def test_era_that_is_no_number_is_a_platform_error(era):
    """Guards against the end of all hosts by a header of the store."""
    page = {"items": [], "store_revision": 1}
    with pytest.raises(PlatformError, match="era"):
        list_all(ServiceStub(page, era=era))


def test_listing_goes_on_behind_a_key_that_is_no_text():
    """Guards against the end of all hosts by a key of another writer."""
    service = ServiceStub(
        {
            "items": [{"key": "k\ud800", "revision": 1, "value": ""}],
            "has_more": True,
            "store_revision": 1,
        },
        {"items": [], "store_revision": 1},
    )
    assert [change.key for change in list_all(service)[0]] == ["k\ud800"]
    query = urllib.parse.parse_qs(service.targets[1], errors="surrogatepass")
    assert query["after"] == ["k\ud800"]


ITEM = {"key": "op/evacuate/east-a", "revision": 5, "value": "e30="}


def client_that_listed(page):
    client = StoreClient("127.0.0.1:1", None, {})
    client._client = ServiceStub(page, era=b"0")
    trio.run(client.list_all)
    return client


def export_of(client, since, revision):
    data = trio.run(client.cache.export, since, revision)
    return trio.run(StoreClient("127.0.0.1:1", None, {}).read_export, data, since)


def test_host_that_listed_later_says_that_removals_before_are_missing():
    """Guards against requests to endpoints that have left, as in review/6."""
    client = client_that_listed({"items": [], "store_revision": 6})
    assert export_of(client, 6, 6) == Export([], 6, is_copy=False)
    for since in (1, 5):
        with pytest.raises(IncompleteExportError, match="after 6") as caught:
            export_of(client, since, 6)
        assert caught.value.complete_after == 6


def test_copy_of_all_items_tells_the_receiver_that_others_were_removed():
    client = client_that_listed({"items": [ITEM], "store_revision": 6})
    copy = trio.run(client.cache.export, 0, 6)
    receiver = client_that_listed(
        {"items": [{**ITEM, "key": "op/evacuate/west-a"}], "store_revision": 5}
    )
    export = trio.run(receiver.read_export, copy, 0)
    assert export.is_copy and export.revision == 6
    # What the copy lacks is passed on as removed in turn.
    changes = export_of(receiver, 5, 6).changes
    assert [(c.zone, c.is_evacuated) for c in changes] == [("west-a", False)]


def test_older_copy_removes_and_restores_nothing():
    client = client_that_listed({"items": [ITEM], "store_revision": 6})
    receiver = client_that_listed({"items": [], "store_revision": 9})
    export = trio.run(receiver.read_export, trio.run(client.cache.export, 0, 6), 0)
    assert export == Export([], 6, is_copy=False)
    assert ITEM["key"] not in receiver.cache.items


def test_export_of_a_build_that_does_not_say_from_where_it_is_complete_is_refused():
    with pytest.raises(PlatformError, match="since"):
        read_export(zlib.compress(b'{"revision": 9, "items": []}'))


def test_refusal_does_not_advance_a_build_that_reads_only_the_revision():
    client = client_that_listed({"items": [], "store_revision": 6})
    refusal = json.loads(zlib.decompress(trio.run(client.cache.export, 5, 6)))
    assert refusal == {"since": 6, "revision": 5, "items": []}
