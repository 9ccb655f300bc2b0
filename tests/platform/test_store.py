"""Exports of published items that hosts fetch from one another."""

import json
import zlib

import pytest
import trio

from cactusmill.errors import PlatformError
from cactusmill.platform.store import StoreClient


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
