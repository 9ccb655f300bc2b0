"""What the store responds, and exports of its items that hosts fetch from others."""

import json
import urllib.parse
import zlib

import pytest
import trio

from cactusmill.errors import PlatformError
from cactusmill.platform.store import StoreClient
from cactusmill.serving.positions import MAX_POSITION


def read_export(data):
    return trio.run(StoreClient("127.0.0.1:1", None, {}).read_export, data)


def test_export_that_unpacks_without_end_is_refused():
    text = b'{"revision": 1, "items": [' + b" " * 200_000_000
    with pytest.raises(PlatformError, match="over"):
        read_export(zlib.compress(text, 9))


def test_cut_export_is_refused():
    data = zlib.compress(json.dumps({"revision": 7, "items": []}).encode())
    assert read_export(data) == ([], 7)
    for size in range(len(data)):
        with pytest.raises(PlatformError):
            read_export(data[:size])


@pytest.mark.parametrize("revision", [-1, 2**70, MAX_POSITION + 1])
def test_export_with_a_revision_that_no_heartbeat_can_tell_is_refused(revision):
    """Guards against the end of a host that tells the others its revision."""
    for export in (
        {"revision": revision, "items": []},
        {"revision": 7, "items": [{"key": "servers/e", "revision": revision}]},
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
