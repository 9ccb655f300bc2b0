"""What hosts conclude when the store comes back from an older copy."""

import random

import attrs
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusmill.errors import PlatformError
from cactusmill.platform import store as store_module
from cactusmill.platform.store import StoreClient
from cactusmill.serving import catalog, source_sync
from cactusmill.serving.positions import era_of, position, revision_of
from standins.followers import StoreLink
from standins.loopback import ZONES, Store, configuration

from .test_source_sync import Clock, new_host
from .test_whole_path import on_deployment

ZONE = "east-a"
# Endpoints and the operator publish again within this time of the store's return.
REPUBLISHED_S = 2.0
# By then each host has listed again and heard the others.
AGREED_S = 8.0


def test_positions_are_ordered_by_era_first():
    assert position(1, 5) > position(0, 10**9) > position(0, 10**9 - 1)
    assert (era_of(position(3, 7)), revision_of(position(3, 7))) == (3, 7)


@attrs.define
class Writers:
    """The operator and the endpoints, who publish again what the store lost.

    Attributes
    ----------
    store : Store
    version : int
        Version of the newest configuration.
    evacuated : set of str
        Zones that the operator has evacuated.
    entries : dict of str to dict
        Entry of each endpoint that lives; its `seq` rises with each writing.
    """

    store: Store
    version: int = 0
    evacuated: set = attrs.field(factory=set)
    entries: dict = attrs.field(factory=dict)
    starts: int = 0
    orders: int = 0

    def _next_start(self):
        self.starts += 1
        return 1_700_000_000_000 + self.starts

    def configure(self, step=1):
        self.version += step
        self.store.put("op/config", configuration(self.version))

    def evacuate(self, zone, is_evacuated):
        if is_evacuated != (zone in self.evacuated):
            self.orders += 1
        key = f"op/evacuate/{zone}"
        if is_evacuated:
            self.evacuated.add(zone)
            self.store.put(key, {})
        else:
            self.evacuated.discard(zone)
            if key in self.store.items:
                self.store.remove(key)

    def write(self, name, state="ready"):
        entry = self.entries.setdefault(
            name,
            {
                "service": "engines",
                "address": "127.0.0.1:9",
                "zone": ZONE,
                "slots": 8,
                "seq": 0,
                "born": self._next_start(),
            },
        )
        entry["seq"] += 1
        entry["state"] = state
        self.store.put(f"servers/{name}", entry)

    def end(self, name):
        if self.entries.pop(name, None):
            self.store.remove(f"servers/{name}")

    async def publish_again(self, rng):
        """Publish in random order what is true, and remove what is not."""
        steps = [lambda name=name: self._write_again(name) for name in self.entries]
        steps.append(lambda: self.configure(step=0))
        steps += [lambda z=z: self.evacuate(z, z in self.evacuated) for z in ZONES]
        rng.shuffle(steps)
        for step in steps:
            await trio.sleep(rng.uniform(0, REPUBLISHED_S / len(steps)))
            step()
        for key in list(self.store.items):
            kind, _, name = key.partition("/")
            if kind == "servers" and name not in self.entries:
                self.store.remove(key)

    def _write_again(self, name):
        if name in self.entries:
            self.write(name, self.entries[name]["state"])


def usable(host):
    return {e.endpoint.name for e in host.catalog.listed() if is_usable(e)}


def is_usable(listed):
    return listed.removed_at is None and listed.endpoint.live


async def play(store, operations, seed, *, hosts=3):
    """Play operations against hosts that watch or hear one another.

    Returns
    -------
    list of str
        What was broken.
    """
    rng = random.Random(seed)
    writers, broken = Writers(store), []
    writers.configure()
    for name in ("a", "b"):
        writers.write(name)
    running = [new_host(f"h{n}", Clock()) for n in range(hosts)]
    links = {}
    for host in running:
        host.now = trio.current_time
        host.catalog.configuration = None
        client = StoreClient("127.0.0.1:1", None, ZONES)
        client._client = StoreLink(store)
        host.source = client.source()
        links[host] = client._client
    versions, lives, evacuations = {}, {}, set()

    async def fetch_items(host, other, since):
        await trio.sleep(0.01)
        return await other.source.export(since, other.catalog.revision)

    peers = {(h, o): Peer(o) for h in running for o in running if o is not h}

    def choose_sync_peer(host, now):
        newer = [
            peer
            for (h, other), peer in peers.items()
            if h is host and other.catalog.revision > host.catalog.revision
        ]
        if host.source_health.is_responding(now):
            return None
        complete = [p for p in newer if p.history_since <= host.catalog.revision]
        if not complete and source_sync._lacks_history(host, now):
            complete = newer
        return rng.choice(complete) if complete else None

    def check(host):
        known = host.catalog.configuration
        version = known.version if known else 0
        name = host.cfg.host
        if version < versions.get(name, 0):
            broken.append(f"{name} went back to version {version}")
        versions[name] = version
        if ZONE in writers.evacuated:
            if host.catalog.is_evacuated(ZONE):
                evacuations.add((name, writers.orders))
            elif (name, writers.orders) in evacuations:
                broken.append(f"{name} forgot an evacuation")
        for listed in host.catalog.listed():
            key = (name, listed.endpoint.name)
            newest, was_usable = lives.get(key, ((0, 0), True))
            life = (listed.endpoint.started_ms, listed.endpoint.sequence)
            if is_usable(listed) and (
                life < newest or not was_usable and life == newest
            ):
                broken.append(f"{name} uses {listed.endpoint.name} of {life} again")
            if life >= newest:
                lives[key] = life, is_usable(listed)

    async def watch_invariants():
        while True:
            for host in running:
                check(host)
            await trio.sleep(0.05)

    patch = pytest.MonkeyPatch()
    patch.setattr(source_sync, "fetch_items", lambda h, m, s: fetch_items(h, m.host, s))
    patch.setattr(source_sync, "choose_sync_peer", choose_sync_peer)
    copies = []
    try:
        async with trio.open_nursery() as nursery:
            for host in running:
                nursery.start_soon(source_sync.sync_from_source, host, host.source)
                nursery.start_soon(source_sync.sync_from_hosts, host, host.source)
            await trio.sleep(0.5)
            nursery.start_soon(watch_invariants)
            for operation, wait_s, number in operations:
                copies.append(store.copy())
                host = running[number % hosts]
                name = "abcd"[number % 4]
                if operation == "drill":
                    store.is_down = True
                    await trio.sleep(0.3)
                    store.restore(copies[-1 - number % len(copies)])
                    store.is_down = False
                    nursery.start_soon(writers.publish_again, rng)
                elif operation == "cut":
                    links[host].is_cut = True
                elif operation == "heal":
                    links[host].is_cut = False
                elif operation == "configure":
                    writers.configure()
                elif operation == "evacuate":
                    writers.evacuate(ZONE, number % 2 == 0)
                elif operation == "write":
                    writers.write(name)
                elif operation == "drain" and name in writers.entries:
                    writers.write(name, "draining")
                elif operation == "end":
                    writers.end(name)
                await trio.sleep(wait_s)
            for host in running:
                links[host].is_cut = False
            await trio.sleep(AGREED_S)
            for host in running:
                check_agreement(host, writers, broken)
            nursery.cancel_scope.cancel()
    finally:
        patch.undo()
    return broken


@attrs.define
class Peer:
    """Stands for the member that is the host to fetch from."""

    host: object
    history_since: int = 0

    @property
    def id(self):
        return self.host.membership.own_id


def check_agreement(host, writers, broken):
    """Compare what a host has with what was acknowledged last."""
    name = host.cfg.host
    expected = {n for n, e in writers.entries.items() if e["state"] == "ready"}
    if usable(host) != expected:
        broken.append(f"{name} uses {usable(host)}, not {expected}")
    if host.catalog.configuration.version != writers.version:
        broken.append(f"{name} has an old version")
    if host.catalog.is_evacuated(ZONE) != (ZONE in writers.evacuated):
        broken.append(f"{name} errs on the evacuation")
    if host.catalog.is_evacuated("west-a"):
        broken.append(f"{name} takes another zone for evacuated")


def run_play(operations, seed, era=1):
    return trio.run(
        play,
        Store(era=era),
        operations,
        seed,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["drill", "drill", "cut", "heal", "configure", "evacuate"]
            + ["write", "drain", "end"]
        ),
        st.sampled_from([0.05, 0.4, 1.0, 3.0]),
        st.integers(0, 11),
    ),
    min_size=1,
    max_size=12,
)


@settings(max_examples=150, deadline=10_000, derandomize=True)
@given(operations=OPERATIONS, seed=st.integers(0, 99))
def test_hosts_agree_with_what_is_published_after_drills(operations, seed):
    assert run_play(operations, seed) == []


DRILL = [
    ("write", 1.0, 2),
    ("end", 0.5, 1),
    ("configure", 0.5, 0),
    ("evacuate", 0.5, 0),
    ("drill", 4.0, 4),
]


def test_two_drills_in_a_row_lose_nothing():
    assert run_play([*DRILL, ("drill", 0.4, 3), ("drill", 4.0, 2)], 1) == []


def test_without_eras_hosts_do_not_notice_that_the_store_is_older(monkeypatch):
    operations = [("write", 0.05, 0)] * 40 + [("drill", 4.0, 40), ("end", 0.4, 0)]
    assert run_play(operations, 1) == []
    monkeypatch.setattr(store_module, "_parse_era", lambda text: 0)
    assert run_play(operations, 1) != []


def test_without_time_to_settle_an_evacuation_is_forgotten(monkeypatch):
    monkeypatch.setattr(catalog, "SETTLE_S", 0.0)
    assert "h0 forgot an evacuation" in run_play(DRILL, 1)


def test_without_the_own_order_of_entries_a_leaving_endpoint_is_used_again(monkeypatch):
    operations = [("write", 0.4, 0), ("drain", 0.4, 0), ("drill", 4.0, 2)]
    assert run_play(operations, 1) == []
    monkeypatch.setattr(catalog, "_life", lambda endpoint: None)
    assert any("again" in problem for problem in run_play(operations, 1))


def test_evacuation_and_entries_that_the_copy_lacks_stay_until_they_are_back():
    async def scenario(deployment):
        store, host = deployment.store, deployment.hosts["e1"]
        store.era = 4
        copy = store.copy()
        new = deployment.endpoints["desk-1"].entry(address="127.0.0.1:9")
        store.put("servers/desk-2", new)
        store.put("op/evacuate/west-a", {})
        store.put("op/config", configuration(3))
        await deployment.wait_until(lambda: host.catalog.is_evacuated("west-a"))
        store.restore(copy)
        await deployment.wait_until(lambda: era_of(host.catalog.revision) == 5)
        names = {e.endpoint.name for e in host.catalog.listed() if not e.removed_at}
        assert names == {"desk-1", "desk-2"}
        assert host.catalog.is_evacuated("west-a")
        assert host.catalog.configuration.version == 3
        # What is not published again is gone, and the configuration stays.
        await deployment.wait_until(lambda: not host.catalog.is_evacuated("west-a"))
        assert host.catalog.is_settled(host.now())
        left = {e.endpoint.name for e in host.catalog.listed() if not e.removed_at}
        assert left == {"desk-1"}
        assert host.catalog.configuration.version == 3
        assert (await deployment.send_request("e1", "/look/1")).status == 200

    on_deployment(scenario, endpoints=(("desk-1", "east-a", "desk"),))


@pytest.mark.parametrize("text", ["-1", "x", "1.5", str(2**23), "9" * 400, "²"])
def test_era_that_is_no_number_is_refused(text):
    with pytest.raises(PlatformError, match="era"):
        store_module._parse_era(text)
