"""An odd value in a document of the store costs no more than that document."""

import base64
import random

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.steps import Steps
from cactusmill.internal.wire.ttypes import Frame
from cactusmill.platform.dialect import DIALECT
from cactusmill.platform.items import change_from_item
from cactusmill.platform.store import StoreClient
from cactusmill.serving import source_sync
from cactusmill.serving.catalog import UnreadableItem
from cactusmill.serving.edge import choose_service
from cactusmill.serving.gateway_host import GatewayHost, HostSettings
from standins.loopback import ZONES, running_deployment

from .odd_values import (
    ENTRY,
    ODD_VALUES,
    full_configuration,
    paths_of,
    replace_field,
)

NUMBERS = ["slots", "cold_left_ms", "born", "seq"]
BEYOND_FLOATS = [
    "infinity",
    "minus infinity",
    "not a number",
    "float beyond its range",
    "400 digits",
    "minus 400 digits",
    "5000 digits",
    "70 bits",
]


def make_item(key, data, revision=7):
    return {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "revision": revision,
    }


def decode_item(item):
    async def run():
        return await change_from_item(item, ZONES, Steps())

    return trio.run(run)


def make_host(clock):
    cfg = HostSettings(
        host="h1",
        ip="127.0.0.1",
        zone="east-a",
        region="east",
        callers="127.0.0.1:1",
        peers="127.0.0.1:2",
        seeds=(),
        zones=ZONES,
    )
    source = StoreClient("127.0.0.1:3", None, ZONES).source()
    return GatewayHost(cfg, DIALECT, source, rng=random.Random(1), now=clock)


def use_everything(host, now):
    """Do what a host does with its configuration and entries, without requests."""
    host.gauges(now)
    host.hosts_for_callers("api.example", "east", now)
    host.waits(now)
    for route in host.catalog.configuration.routes:
        choose_service(route, host.rng)
    for team in host.catalog.configuration.teams.values():
        host.quotas.acquire(team, 10.0, host.membership, now)
        host.quotas.explain(team, now)
    host.quotas.snapshot_demands(now)
    host.quotas.update_shares(host.membership, now)
    for is_same_region in (True, False):
        beat = host.gossip.build_heartbeat(now, is_same_region, with_regions=True)
        decode(encode_frame(Frame(beat=beat)))


async def play(documents):
    """Apply each document to a host of its own, and use what it then has."""
    good = [
        make_item("servers/e1", replace_field(ENTRY, ("seq",), "1"), 3),
        make_item(
            "op/config", replace_field(full_configuration(), ("version",), "1"), 4
        ),
    ]
    for key, data in documents:
        host = make_host(trio.current_time)
        items = [*good, make_item(key, data)]
        changes = [await change_from_item(item, ZONES, Steps()) for item in items]
        await source_sync.apply_changes(host, changes)
        host.catalog.mark_synced_to(7)
        use_everything(host, trio.current_time())


@pytest.mark.parametrize("name", NUMBERS)
@pytest.mark.parametrize("value", BEYOND_FLOATS)
def test_entry_with_a_number_that_no_float_holds_is_unreadable(name, value):
    """Guards against the end of all hosts when such an entry is in the store."""
    data = replace_field(ENTRY, (name,), ODD_VALUES[value])
    assert isinstance(decode_item(make_item("servers/e1", data)), UnreadableItem)


@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_value_in_an_entry_harms_no_host(value):
    """Guards against errors in what reads an entry, and in what then uses it."""
    text = ODD_VALUES[value]
    places = [(), *((name,) for name in [*ENTRY, "a_field_of_tomorrow"])]
    documents = [("servers/i-odd", replace_field(ENTRY, p, text)) for p in places]
    trio.run(play, documents)


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(10**15, 10**400)
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.data())
def test_drawn_values_in_any_field_harm_no_host(data):
    path = data.draw(st.sampled_from(paths_of(ENTRY)))
    value = data.draw(json_values)
    text = replace_field({"v": value}, ("other",), "0").decode()
    value_text = text[len('{"v": ') : text.rindex(', "other"')]
    trio.run(play, [("servers/i-odd", replace_field(ENTRY, path, value_text))])


@pytest.mark.parametrize(
    "key", ["servers/", "servers/\ud800", "servers/a\r\nb", "op/evacuate/\ud800"]
)
def test_key_that_is_no_plain_text_harms_no_host(key):
    """Guards against names that can be neither hashed nor sent."""

    async def run():
        item = make_item(key, replace_field(ENTRY, ("seq",), "1"))
        removal = {"key": key, "revision": 8, "tombstone": True}
        host = make_host(trio.current_time)
        good = make_item(
            "op/config", replace_field(full_configuration(), ("version",), "1")
        )
        for one in (good, item, removal):
            change = await change_from_item(one, ZONES, Steps())
            await source_sync.apply_changes(host, [change])
            use_everything(host, trio.current_time())

    # The configuration comes first, as without one nothing is used.
    trio.run(run)


async def _serve_beside(documents):
    """Write each document into the store of three hosts, with requests at each."""
    hosts = tuple((f"h{n}", zone) for n, zone in enumerate(ZONES))
    endpoints = tuple((f"e{n}", zone, "desk") for n, zone in enumerate(ZONES))
    async with running_deployment(hosts, endpoints) as run:
        await run.wait_until_ready()
        for number, (key, data) in enumerate(documents):
            run.store.put(key, data)
            revision = run.store.revision
            await run.wait_until(
                lambda revision=revision: all(
                    h.catalog.revision >= revision for h in run.hosts.values()
                )
            )
            # All heartbeats and the maintenance run with it.
            await trio.sleep(0.7)
            for name in run.hosts:
                reply = await run.send_request(
                    name, "/look/1", request_id=f"r-{number}"
                )
                assert reply.status == 200 and reply.is_complete
            run.store.remove(key)


def test_hosts_serve_beside_an_entry_that_cannot_be_read():
    """Guards against the end of all hosts when one entry is not JSON."""
    documents = [
        ("servers/i-odd", replace_field(ENTRY, (name,), ODD_VALUES[value]))
        for name, value in [("seq", "infinity"), ("cold_left_ms", "400 digits")]
    ]
    trio.run(_serve_beside, documents)


def test_hosts_serve_beside_an_entry_with_slots_beyond_floats():
    """Guards against the end of a region's hosts in their predictions of waits."""
    data = replace_field(ENTRY, ("slots",), ODD_VALUES["400 digits"])
    trio.run(_serve_beside, [("servers/i-odd", data)])
