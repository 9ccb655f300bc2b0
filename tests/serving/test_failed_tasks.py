"""Errors that no task of a host expects."""

import h11
import pytest
import trio

from cactusmill.platform import directory
from cactusmill.serving import events, source_sync
from cactusmill.serving.catalog import Catalog
from cactusmill.serving.gateway_host import GatewayHost
from cactusmill.serving.gossip import Gossip
from cactusmill.serving.membership import Membership
from cactusmill.serving.quota import Quotas
from standins.loopback import configuration, running_deployment

from .test_head_requests import ask

HOSTS = (("h1", "east-a"), ("h2", "west-a"))
ENDPOINTS = (("e1", "east-a", "desk"), ("e2", "west-a", "desk"))


def fail_twice(monkeypatch, owner, name):
    """Let a function fail from now on, twice."""
    whole, left = getattr(owner, name), [2]

    def fail(*args, **options):
        if left[0]:
            left[0] -= 1
            raise OverflowError("int too large to convert to float")
        return whole(*args, **options)

    monkeypatch.setattr(owner, name, fail)
    return left


@pytest.mark.parametrize(
    ("task", "owner", "name"),
    [
        ("sync_from_source", Catalog, "apply"),
        ("sync_from_hosts", source_sync, "choose_sync_peer"),
        ("send_heartbeats", Quotas, "update_shares"),
        ("receive_heartbeats", Gossip, "apply_heartbeat"),
        ("maintain_members", Membership, "remove_expired"),
        ("maintain_host", GatewayHost, "_log_descriptors"),
    ],
)
def test_host_serves_on_when_a_task_fails(task, owner, name, monkeypatch):
    """Guards against the end of the process by an error in one of its tasks."""

    async def run():
        async with running_deployment(HOSTS, ENDPOINTS) as deployment:
            await deployment.wait_until_ready()
            for host in deployment.hosts.values():
                host.supervisor.is_strict = False
            failed_before = events.counts["task_failed"]
            left = fail_twice(monkeypatch, owner, name)
            deployment.store.put("op/config", configuration(2))
            await deployment.wait_until(lambda: not left[0])
            await deployment.wait_until(
                lambda: all(
                    h.catalog.configuration.version == 2
                    for h in deployment.hosts.values()
                )
            )
            for host_name in deployment.hosts:
                reply = await deployment.send_request(host_name, "/look/1")
                assert reply.status == 200
            failures = [h.supervisor.failures for h in deployment.hosts.values()]
            assert sum(f[task] for f in failures) == 2
            assert events.counts["task_failed"] == failed_before + 2
            gauges = [h.gauges(h.now()) for h in deployment.hosts.values()]
            assert sum(g["task_failures"] for g in gauges) == 2
            assert sum(g.get(f"task_failures_{task}", 0) for g in gauges) == 2
            await trio.sleep(0.5)
            assert len(deployment.hosts["h1"].membership.live(host.now())) == 1

    trio.run(run)


def test_failed_page_ends_its_connection_only(monkeypatch):
    """Guards against the end of the process by an error in the directory's page."""

    async def run():
        async with running_deployment(HOSTS, ENDPOINTS) as deployment:
            await deployment.wait_until_ready()
            address = f"{deployment.hosts['h1'].cfg.ip}:{deployment.port + 2}"
            left = fail_twice(monkeypatch, directory, "respond")
            for _ in range(2):
                with pytest.raises(h11.RemoteProtocolError):
                    await ask(address, "GET", "/cactusmill/ready")
            assert not left[0]
            status, _, _ = await ask(address, "GET", "/cactusmill/ready")
            assert status == 200

    trio.run(run)


def test_without_restarts_such_an_error_ends_the_host(monkeypatch):
    async def run():
        async with running_deployment(HOSTS, ENDPOINTS) as deployment:
            await deployment.wait_until_ready()
            fail_twice(monkeypatch, Quotas, "update_shares")
            await trio.sleep(5.0)

    with pytest.raises(ExceptionGroup) as caught:
        trio.run(run)
    assert caught.value.split(OverflowError)[0] is not None
