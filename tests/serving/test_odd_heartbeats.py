"""Datagrams that no host of this version has sent."""

import socket

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from cactusmill.errors import LinkClosedError
from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire import ttypes
from cactusmill.internal.wire.ttypes import (
    Beat,
    Clearance,
    ContainmentNews,
    ConvictionEntry,
    CrashCandidate,
    CrashReport,
    EndpointPace,
    EndpointWork,
    Frame,
    MemberNote,
    RankDemand,
    RegionSummary,
    ServiceRoom,
    ServiceWait,
    TeamDemand,
    ZoneReopening,
)
from cactusmill.serving.heartbeat_checks import check_heartbeat
from cactusmill.serving.membership import RegionTotals
from standins.loopback import running_deployment

from .test_gossip import make_host

EDGES = {
    TType.I32: [-(2**31), -1, 0, 1, 2**31 - 1],
    TType.I64: [-(2**63), -1, 0, 1, 2**53, 2**63 - 1],
    TType.STRING: ["", "x", "\0", "10.0.0.1", "x" * 300],
    TType.BOOL: [True, False],
}


def sound_heartbeat():
    """Return a heartbeat with every field that there is."""
    return Beat(
        sender=MemberNote("h2", "127.0.0.2", "west-a", "west", "i2", 0, False),
        sequence=1,
        ready=True,
        configuration_version=1,
        revision=7,
        members=[MemberNote("h3", "127.0.0.3", "east-a", "east", "i3", 10, False)],
        demands=[TeamDemand(1, 100)],
        paces=[EndpointPace(1, 250, 40)],
        work=[EndpointWork(1, 2, 300, 200, 400)],
        regions=[
            RegionSummary(
                "west",
                2,
                10,
                10,
                [TeamDemand(1, 5)],
                [ServiceWait("desk", 100)],
                rooms=[ServiceRoom("desk", 50)],
                forwards=[ServiceRoom("desk", 7)],
            )
        ],
        source_age_ms=10,
        source_failing=False,
        reopened=[ZoneReopening("east-a", 5, 100)],
        lag_ms=30,
        containment=ContainmentNews(
            known=1,
            crashes=[CrashReport(1, 10, [CrashCandidate(2, [3, 4], 50)], [3])],
            clearances=[Clearance(5, 10)],
            convictions=[ConvictionEntry(6, 1, True, 10, 20, 1, 2, [3])],
        ),
        forwards=[ServiceRoom("desk", 9)],
        ranks=[RankDemand("engines", 2, 100, 50, 800)],
    )


def messages_in(message):
    """Return a message and all messages inside it."""
    found = [message]
    for name in message.__slots__:
        value = getattr(message, name)
        for inner in value if isinstance(value, list) else [value]:
            if hasattr(inner, "thrift_spec"):
                found += messages_in(inner)
    return found


def receive(host, beat, now):
    """Receive a heartbeat as from a datagram; return whether it was applied."""
    data = encode_frame(Frame(beat=beat))
    try:
        decoded = decode(data).beat
        check_heartbeat(decoded)
    except LinkClosedError:
        return False
    host.gossip.apply_heartbeat(decoded, now)
    return True


def use_everything(host, now):
    """Do what a host does with the others' heartbeats, without requests."""
    host.quotas.snapshot_demands(now)
    host.quotas.update_shares(host.membership, now)
    host.membership.oldest_last_seen()
    host.membership.estimate_hosts(3)
    host.hosts_for_callers("api.example", "east", now)
    host.update_rank_levels(now)
    host.containment.review(now)
    host.containment.interruptions.expire(now)
    host.membership.remove_expired(now)
    for is_same_region in (True, False):
        beat = host.gossip.build_heartbeat(now, is_same_region, with_regions=True)
        check_heartbeat(decode(encode_frame(Frame(beat=beat))).beat)


def test_sound_heartbeat_is_applied():
    host = make_host()
    assert receive(host, sound_heartbeat(), 5.0)
    assert len(host.membership.known()) == 2
    use_everything(host, 5.0)


@given(st.data())
def test_field_that_is_missing_or_extreme_harms_no_host(data):
    """Guards against the end of a host by one datagram."""
    beat = sound_heartbeat()
    message = data.draw(st.sampled_from(messages_in(beat)))
    spec = data.draw(st.sampled_from([s for s in message.thrift_spec if s]))
    edges = EDGES.get(spec[1], [[]] if spec[1] == TType.LIST else [])
    setattr(message, spec[2], data.draw(st.sampled_from([None, *edges])))
    host = make_host()
    receive(host, beat, 5.0)
    use_everything(host, 5.1)
    use_everything(host, 30.0)


@pytest.mark.parametrize(
    ("place", "name", "value"),
    [
        ("sender", "host", None),
        ("sender", "ip", "no address"),
        ("sender", "ip", "\0"),
        ("sender", "age_ms", None),
        ("sender", "zone", "a\nb"),
        (None, "members", None),
        (None, "revision", -1),
        (None, "configuration_version", None),
        ("paces", "key", None),
        ("paces", "percent", None),
        ("paces", "percent", -1),
        ("paces", "age_ms", -1),
        ("regions", "hosts", 0),
        ("regions", "hosts", -7),
        ("regions", "demands", None),
        ("regions", "rooms", [ServiceRoom("desk", -1)]),
        ("regions", "forwards", [ServiceRoom("a\nb", 1)]),
        ("forwards", "tokens_per_s", -1),
        ("forwards", "serves", None),
        ("ranks", "serves", None),
        ("ranks", "priority", None),
        ("ranks", "asked_tokens_per_s", -1),
        ("ranks", "refused_tokens_per_s", None),
        ("ranks", "admitted_permille", 1001),
        ("ranks", "admitted_permille", -1),
    ],
)
def test_heartbeat_with_an_invalid_field_is_ignored(place, name, value):
    beat = sound_heartbeat()
    message = getattr(beat, place) if place else beat
    message = message[0] if isinstance(message, list) else message
    setattr(message, name, value)
    host = make_host()
    assert not receive(host, beat, 5.0) and not host.membership.known()


def test_ages_and_loads_beyond_32_bits_are_told_as_the_largest():
    """Guards against the end of all hosts 25 days after the loss of a region."""
    host, days_s = make_host(), 60 * 86_400.0
    totals = RegionTotals(
        region="west",
        hosts=1,
        last_seen_at=0.0,
        reported_at=0.0,
        demands={1: 10**12},
        waits={"desk": float("inf")},
    )
    host.membership.record_region(totals)
    view = host.placement.view("e1")
    view.in_flight, view.prompt_tokens = 3, 2**53
    beat = host.gossip.build_heartbeat(days_s, True, with_regions=True)
    decoded = decode(encode_frame(Frame(beat=beat))).beat
    check_heartbeat(decoded)
    largest = 2**31 - 1
    assert decoded.work[0].prompt_tokens == largest
    assert decoded.regions[0].told_age_ms == largest
    assert decoded.regions[0].waits[0].wait_ms == largest


def make_datagrams():
    empty = encode_frame(Frame(beat=Beat()))
    buffer = TMemoryBuffer()
    wrong = ttypes.Frame(heartbeat=ttypes.Heartbeat())
    wrong.write(TCompactProtocol(buffer))
    sound = encode_frame(Frame(beat=sound_heartbeat()))
    cut = [sound[:size] for size in range(0, len(sound), 7)]
    return [b"", b"x", b"\0" * 60_000, empty, buffer.getvalue(), *cut]


def test_datagrams_that_are_no_heartbeats_end_no_host():
    """Guards against the end of a host by whoever sends to its port."""

    async def run():
        hosts, endpoints = (("h1", "east-a"),), (("e1", "east-a", "desk"),)
        async with running_deployment(hosts, endpoints) as deployment:
            await deployment.wait_until_ready()
            host = deployment.hosts["h1"]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for data in make_datagrams():
                    sock.sendto(data, (host.cfg.ip, deployment.port + 1))
                    await trio.sleep(0.005)
            await trio.sleep(0.7)
            reply = await deployment.send_request("h1", "/look/1")
            assert reply.status == 200

    trio.run(run)
