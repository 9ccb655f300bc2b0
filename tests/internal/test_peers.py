"""What a host knows of another one from heartbeats on two links."""

import types

import pytest
import trio
import trio.testing

from cactusmill.internal import peers
from cactusmill.internal.host_process import HostProcess
from cactusmill.internal.peers import Peer, apply_heartbeat, heartbeat
from cactusmill.internal.wire.ttypes import Heartbeat, HeartbeatAck
from cactusmill.records import Host
from cactusmill.settings import parse_settings

from ..helpers import settings_data

OTHER = Host(name="o", zone="z", region="r", slot=0, callers="-", peers="-")


def new_hosts():
    """Return a host, the process of another one, and what the first knows of it."""
    host = HostProcess(parse_settings(settings_data()))
    other = HostProcess(parse_settings({**settings_data(), "host": OTHER.name}))
    peer = host.peers[OTHER.name] = Peer(OTHER)
    peer.link, peer.was_connected = types.SimpleNamespace(), True
    return host, other, peer


@pytest.mark.parametrize("kind", [Heartbeat, HeartbeatAck])
def test_older_heartbeat_that_is_read_later_does_not_list_a_leaving_host(kind):
    """An acknowledgement may have waited behind a response on the other link."""

    async def main():
        host, leaving, peer = new_hosts()
        older = heartbeat(leaving, 1, kind)
        leaving.leaving = True
        apply_heartbeat(host, peer, heartbeat(leaving, 2), leaving.incarnation)
        assert not host.accepts_callers(OTHER)
        apply_heartbeat(host, peer, older, leaving.incarnation)
        assert not host.accepts_callers(OTHER)
        assert host.count_zone_hosts() == 1

    trio.run(main)


def test_host_that_has_restarted_is_listed_again():
    async def main():
        host, before, peer = new_hosts()
        before.leaving = True
        apply_heartbeat(host, peer, heartbeat(before, 1), before.incarnation)
        assert not host.accepts_callers(OTHER)
        _, after, _ = new_hosts()
        apply_heartbeat(host, peer, heartbeat(after, 1), after.incarnation)
        assert host.accepts_callers(OTHER)

    trio.run(main)


def test_host_goes_on_when_a_link_fails_in_an_unexpected_way(monkeypatch):
    """Guards against the end of the process by what a peer sends."""

    async def main():
        host, _, peer = new_hosts()
        begun_at = []

        async def fail(*_):
            begun_at.append(trio.current_time())
            raise ExceptionGroup("two tasks", [OverflowError("int out of range")])

        monkeypatch.setattr(peers, "_run_link", fail)
        with trio.move_on_after(30) as scope:
            await peers.maintain_link(host, peer)
        assert scope.cancelled_caught and len(begun_at) >= 5
        assert host.faults == len(begun_at)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
