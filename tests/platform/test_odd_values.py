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
from cactusmill.serving.catalog import ConfigurationChange, UnreadableItem
from cactusmill.serving.edge import choose_service
from cactusmill.serving.gateway_host import GatewayHost, HostSettings
from standins.loopback import ZONES, configuration, running_deployment

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


def decode_item(item, zones=ZONES):
    async def run():
        return await change_from_item(item, zones, Steps())

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


def test_entry_is_unreadable_where_no_zone_is_known():
    data = replace_field(ENTRY, ("seq",), "1")
    assert isinstance(decode_item(make_item("servers/e1", data), {}), UnreadableItem)


@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_value_in_an_entry_harms_no_host(value):
    """Guards against errors in what reads an entry, and in what then uses it."""
    text = ODD_VALUES[value]
    places = [(), *((name,) for name in [*ENTRY, "a_field_of_tomorrow"])]
    documents = [("servers/i-odd", replace_field(ENTRY, p, text)) for p in places]
    trio.run(play, documents)


@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_value_in_a_configuration_harms_no_host(value):
    """Guards against errors in what reads a configuration, and in what uses it."""
    document = full_configuration(2)
    documents = [
        ("op/config", replace_field(document, path, ODD_VALUES[value]))
        for path in [(), *paths_of(document)]
    ]
    trio.run(play, documents)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("routes", 0, "timeout_ms"), "400 digits"),
        (("routes", 0, "timeout_ms"), "not a number"),
        (("routes", 0, "timeout_ms"), "negative"),
        (("routes", 0, "timeout_ms"), "true"),
        (("routes", 0, "target_latency_ms"), "minus infinity"),
        (("routes", 0, "name"), "lone surrogate"),
        (("routes", 0, "allowed_regions"), "text"),
        (("routes", 0, "traffic_split", 0, "weight"), "zero"),
        (("services", 0, "max_conns"), "float beyond its range"),
        (("services", 0, "engine", "kv_capacity"), "400 digits"),
        (("tenants", 0, "rate_per_s"), "400 digits"),
        (("tenants", 0, "api_keys"), "text"),
        (("tenants", 0, "name"), "control characters"),
        (("limits", "idle_timeout_ms"), "infinity"),
        (("version",), "64 bits"),
    ],
)
def test_configuration_with_a_value_out_of_range_is_refused_as_a_whole(path, value):
    """Guards against requests that end without an answer under such a version."""
    document = full_configuration(2)
    data = replace_field(document, path, ODD_VALUES[value])
    change = decode_item(make_item("op/config", data))
    assert isinstance(change, UnreadableItem)
    assert str(path[-1]) in change.problem or "JSON" in change.problem


def test_fields_that_are_null_or_missing_have_their_defaults():
    document = full_configuration(2)
    for name in ("priority", "traffic_split", "allowed_regions", "resumable"):
        document["routes"][0][name] = None
    document["services"][0]["engine"] = None
    document["limits"] = None
    data = replace_field(document, ("a_field_of_tomorrow",), "Infinity")
    assert isinstance(decode_item(make_item("op/config", data)), UnreadableItem)
    data = replace_field(document, ("a_field_of_tomorrow",), "[1]")
    change = decode_item(make_item("op/config", data))
    assert isinstance(change, ConfigurationChange)
    assert change.configuration.routes[0].priority == 0
    assert not change.configuration.services["engines"].is_engine


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
    kind = data.draw(st.sampled_from(["servers/i-odd", "op/config"]))
    document = ENTRY if kind != "op/config" else full_configuration(2)
    path = data.draw(st.sampled_from(paths_of(document)))
    value = data.draw(json_values)
    text = replace_field({"v": value}, ("other",), "0").decode()
    value_text = text[len('{"v": ') : text.rindex(', "other"')]
    trio.run(play, [(kind, replace_field(document, path, value_text))])


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
        version = 1
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
            if key == "op/config":
                version += 2
                run.store.put(key, configuration(version))
            else:
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


def test_hosts_serve_beside_a_configuration_with_a_time_beyond_floats():
    """Guards against the end of all hosts when an operator's tool writes such a one."""
    documents = [
        ("op/config", replace_field(configuration(version), path, ODD_VALUES[value]))
        for version, path, value in [
            (2, ("routes", 3, "timeout_ms"), "400 digits"),
            (4, ("tenants", 0, "rate_per_s"), "float beyond its range"),
        ]
    ]
    trio.run(_serve_beside, documents)


def test_host_that_starts_beside_an_unreadable_configuration_gets_the_former_one():
    """Guards against hosts that restart and serve nobody until it is mended."""

    async def run():
        hosts = (("h1", "east-a"), ("h2", "west-a"))
        endpoints = (("e1", "east-a", "desk"), ("e2", "west-a", "desk"))
        async with running_deployment(hosts, endpoints) as deployment:
            await deployment.wait_until_ready()
            path = ("routes", 3, "timeout_ms")
            odd = replace_field(configuration(2), path, ODD_VALUES["400 digits"])
            deployment.store.put("op/config", odd)
            await deployment.add_host("h3", "north-a", 3, seeds=(1, 2))
            await deployment.wait_until(
                lambda: deployment.hosts["h3"].has_configuration()
            )
            assert deployment.hosts["h3"].catalog.configuration.version == 1
            deployment.store.put("op/config", configuration(3))
            await deployment.wait_until(
                lambda: all(
                    h.catalog.configuration.version == 3
                    for h in deployment.hosts.values()
                )
            )

    trio.run(run)
