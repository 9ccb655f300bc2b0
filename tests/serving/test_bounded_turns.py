"""Configurations and listings of any size are applied in short turns, each as a whole.

Work pauses between its pieces. The size of a piece, counted in bytecode instructions,
must not grow with the number of teams, keys or endpoints.
"""

import base64
import gc
import json
import sys
import zlib

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.errors import RecordError
from cactusmill.internal.configuration import RecordStore
from cactusmill.internal.platform_client import parse_update
from cactusmill.internal.steps import Steps
from cactusmill.platform import items
from cactusmill.platform.store import StoreClient
from cactusmill.serving.catalog import Catalog, EndpointChange
from cactusmill.serving.source_sync import _apply_listing, apply_changes
from standins.loopback import ZONES, EndpointStub, configuration

from .test_source_sync import Clock, new_host

SMALL, LARGE = 100, 1000
MAX_RATIO = 1.5


def store_item(key, revision, value):
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "revision": revision, "value": text}


def configuration_item(version, teams=3):
    tenants = [
        {
            "name": f"team-{version}-{t}",
            "rate_per_s": 1,
            "burst": 1,
            "api_keys": [f"key-{version}-{t}"],
        }
        for t in range(teams)
    ]
    value = configuration(version, tenants=tenants)
    value["routes"][0]["path_prefix"] = f"/version-{version}/"
    return store_item("op/config", version, value)


def endpoint_item(number, revision):
    entry = EndpointStub(f"e{number}", "east-a", "engines", address="127.0.0.1:9")
    return store_item(f"servers/e{number}", revision, entry.entry())


def packed(items):
    export = {"since": 1, "revision": 9, "items": items}
    return zlib.compress(json.dumps(export).encode())


def new_store():
    return StoreClient("127.0.0.1:1", None, ZONES)


def run_with_pauses(function, *args, on_pause):
    """Run an async function; call `on_pause` wherever it may pause."""

    async def pause(self):
        on_pause()

    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(Steps, "pause", pause)
        return trio.run(function, *args)


def largest_piece(function, *args):
    """Return the most instructions that a function executes between two pauses.

    Without garbage collections: whatever they call, of Hypothesis for example, would
    count for the piece in which they happen to run.
    """
    counts = [0]

    def trace(frame, event, _):
        if frame.f_globals.get("__name__", "").startswith("trio."):
            # The event loop runs meanwhile.
            return None
        frame.f_trace_lines, frame.f_trace_opcodes = False, True
        counts[-1] += event == "opcode"
        return trace

    async def traced():
        gc.disable()
        sys.settrace(trace)
        try:
            return await function(*args)
        finally:
            sys.settrace(None)
            gc.enable()

    result = run_with_pauses(traced, on_pause=lambda: counts.append(0))
    return max(counts), result


def piece_sizes(size):
    """Return the largest piece of each work on `size` teams, endpoints or keys."""
    store, host = new_store(), new_host("h0", Clock())
    teams = packed([configuration_item(2, size)])
    entries = packed([endpoint_item(n, 10 + n) for n in range(size)])
    rows = [
        {
            "kind": "key",
            "name": f"key-{n}",
            "schema": 1,
            "version": n + 1,
            "body": {"digest": f"{n:064x}", "team": "t", "state": "active"},
        }
        for n in range(size)
    ]
    update = json.dumps({"version": size, "changes": rows}).encode()
    sizes = {}
    sizes["read teams"], export = largest_piece(store.read_export, teams, 1)
    sizes["apply teams"], _ = largest_piece(apply_changes, host, export.changes)
    sizes["read endpoints"], export = largest_piece(store.read_export, entries, 1)
    sizes["apply endpoints"], _ = largest_piece(apply_changes, host, export.changes)
    sizes["export"], _ = largest_piece(store.cache.export, 0, 9)
    sizes["read records"], update = largest_piece(parse_update, update)
    records = RecordStore()
    records.apply(update.changes, update.version, update.checked)
    row = {**rows[-1], "version": size + 1}
    change = json.dumps({"version": size + 1, "changes": [row]}).encode()
    _, update = largest_piece(parse_update, change)

    async def apply_one():
        records.apply(update.changes, update.version, update.checked)

    sizes["apply one record"], _ = largest_piece(apply_one)
    return sizes


def test_pieces_do_not_grow_with_teams_endpoints_or_keys():
    small, large = piece_sizes(SMALL), piece_sizes(LARGE)
    ratios = {name: large[name] / small[name] for name in small}
    assert {name: ratio for name, ratio in ratios.items() if ratio >= MAX_RATIO} == {}


def test_pieces_grow_when_every_entry_rebuilds_the_index(monkeypatch):
    def rebuild(self, change, now):
        result = real(self, change, now)
        names = {}
        for name, listed in self._endpoints.items():
            names.setdefault(listed.endpoint.serves[0], {})[name] = None
        return result

    real = Catalog._apply_endpoint
    monkeypatch.setattr(Catalog, "_apply_endpoint", rebuild)
    name = "apply endpoints"
    assert piece_sizes(LARGE)[name] / piece_sizes(SMALL)[name] > MAX_RATIO


def versions_seen(host):
    """Return the versions of which a request would see a part."""
    cfg = host.catalog.configuration
    parts = {name.split("-")[1] for name in cfg.teams}
    parts |= {name.split("-")[1] for name in cfg.team_by_key.values()}
    parts |= {
        r.prefix.split("-")[1].strip("/")
        for r in host.catalog.routes_of("api.example")
        if r.prefix.startswith("/version-")
    }
    return parts


@given(st.integers(0, 40), st.booleans())
def test_request_sees_one_version_and_the_newest_wins(pause_number, is_newer):
    host, store = new_host("h0", Clock()), new_store()
    other = 4 if is_newer else 2
    first = packed([configuration_item(1)])
    _, export = largest_piece(store.read_export, first, 1)
    host.catalog.configuration = None
    host.catalog.apply(export.changes[0], 0.0)
    _, export = largest_piece(store.read_export, packed([configuration_item(other)]), 1)
    meanwhile = export.changes
    seen, pauses = [], 0

    def on_pause():
        nonlocal pauses
        if pauses == pause_number:
            # Another host supplies this version.
            host.catalog.apply(meanwhile[0], 0.0)
        pauses += 1
        seen.append(versions_seen(host))

    async def read_and_apply():
        export = await store.read_export(packed([configuration_item(3)]), 1)
        await apply_changes(host, export.changes)

    run_with_pauses(read_and_apply, on_pause=on_pause)
    assert all(len(versions) == 1 for versions in seen)
    order = [int(min(versions)) for versions in seen]
    assert order == sorted(order)
    was_newer_applied = is_newer and pauses > pause_number
    assert versions_seen(host) == {"4" if was_newer_applied else "3"}


def test_host_is_ready_only_with_all_endpoints_of_its_first_listing():
    host, store = new_host("h0", Clock()), new_store()
    host.catalog.configuration = None
    page = packed([configuration_item(1)] + [endpoint_item(n, 2 + n) for n in range(5)])
    _, export = largest_piece(store.read_export, page, 1)
    changes = export.changes
    assert not isinstance(changes[0], EndpointChange)
    counts = []

    def on_pause():
        if host.is_ready(0.0):
            counts.append(len(host.catalog.listed_for("engines")))

    run_with_pauses(_apply_listing, host, changes, 9, on_pause=on_pause)
    assert host.is_ready(0.0) and counts and set(counts) == {5}


def test_configuration_that_is_nested_too_deep_is_unreadable():
    text = b'{"routes": [' + b"[" * 100_000
    item = {
        "key": "op/config",
        "revision": 3,
        "value": base64.b64encode(text).decode(),
    }

    async def decode():
        return await items.change_from_item(item, ZONES, Steps())

    assert "nested too deep" in trio.run(decode).problem
    with pytest.raises(RecordError):
        item["revision"] = None
        trio.run(decode)
