"""Cost of beats by the number of hosts and teams, on one host.

Prints bytes and processor time of one beat, and what they come to a second with
the numbers of receivers and senders that ``serving.gossip`` bounds.
"""

import argparse
import random
import time

from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire.ttypes import Frame
from cactusmill.records import Team
from cactusmill.serving import gossip
from cactusmill.serving.gateway_host import GatewayHost, HostSettings
from cactusmill.serving.membership import HostId

ROUNDS = 300
REGIONS = 10


def host_with(hosts, teams, endpoints):
    """Return a host that knows others, teams' demands and work."""
    cfg = HostSettings(
        host="host-0",
        ip="10.0.0.1",
        zone="zone-0",
        region="region-0",
        callers="10.0.0.1:1",
        peers="10.0.0.1:2",
        seeds=(),
        zones={f"zone-{n}": f"region-{n}" for n in range(REGIONS)},
    )
    host = GatewayHost(cfg, None, None, rng=random.Random(1), now=lambda: 1.0)
    for number in range(1, hosts):
        region = f"region-{number % REGIONS}"
        member = HostId(
            name=f"front-{region}-{number}",
            ip=f"10.0.{number // 250}.{number % 250}",
            zone=f"{region}-a",
            region=region,
            incarnation=f"{number:016x}",
        )
        # Met a while ago, and heard of just now.
        host.membership.record_host(member, False, 0.0, 0.0)
        host.membership.record_host(member, False, 0.0, 1.0)
    for number in range(teams):
        team = Team(name=f"team-{number}", rate_tokens_per_s=1e5, burst_tokens=1e5)
        host.quotas.bucket(team, 1.0).record_demand(1000.0, 1.0)
    host.quotas.snapshot_demands(1.0)
    for number in range(endpoints):
        view = host.placement.view(f"endpoint-{number}")
        view.in_flight, view.prompt_tokens = 3, 2000
    return host


def measure(hosts, teams, endpoints):
    """Return bytes of a near and a far beat, send and receive time of a near one.

    Times are in microseconds; the last is that of working out all teams' parts.
    """
    host = host_with(hosts, teams, endpoints)
    far = encode_frame(
        Frame(beat=host.gossip.build_heartbeat(1.0, is_same_region=False))
    )
    began = time.process_time()
    for _ in range(ROUNDS):
        data = encode_frame(
            Frame(beat=host.gossip.build_heartbeat(1.0, is_same_region=True))
        )
    send_us = (time.process_time() - began) / ROUNDS * 1e6
    began = time.process_time()
    for _ in range(ROUNDS // 10):
        host.quotas.update_shares(host.membership, 1.0)
    parts_us = (time.process_time() - began) / (ROUNDS // 10) * 1e6
    other = host_with(hosts, teams, 0)
    beat = decode(data).beat
    beat.sender.host = "front-region-0-10"
    began = time.process_time()
    for number in range(ROUNDS):
        again = decode(data).beat
        again.sender.host, again.sequence = beat.sender.host, number
        other.gossip.apply_heartbeat(again, 1.0)
    receive_us = (time.process_time() - began) / ROUNDS * 1e6
    return len(data), len(far), send_us, receive_us, parts_us


def main(argv=None):
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.parse_args(argv)
    print(
        "hosts teams endpoints | near B  far B  send us  receive us  parts us "
        "| core %  B/s"
    )
    for hosts, teams, endpoints in (
        (6, 5, 6),
        (77, 16, 30),
        (400, 16, 40),
        (400, 3200, 40),
    ):
        near_bytes, far_bytes, send_us, receive_us, parts_us = measure(
            hosts, teams, endpoints
        )
        near = min(gossip.MAX_REGION_RECEIVERS, max(0, hosts // REGIONS - 1))
        far = min(gossip.REMOTE_HEARTBEATS_PER_ROUND, hosts // REGIONS + 1) * (
            REGIONS - 1
        )
        rounds = 1 / gossip.REGION_HEARTBEAT_S
        received = near * rounds + far / gossip.CROSS_REGION_HEARTBEAT_S
        core = (
            rounds + 1 / gossip.CROSS_REGION_HEARTBEAT_S
        ) * send_us + received * receive_us
        core += rounds * parts_us
        sent = (
            near * rounds * near_bytes
            + far / gossip.CROSS_REGION_HEARTBEAT_S * far_bytes
        )
        print(
            f"{hosts:5} {teams:5} {endpoints:9} | {near_bytes:6}  {far_bytes:5}  "
            f"{send_us:7.0f}  {receive_us:10.0f}  {parts_us:8.0f} "
            f"| {core / 1e4:6.2f}  {sent:8.0f}"
        )


if __name__ == "__main__":
    main()
