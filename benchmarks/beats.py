"""Cost of gossip heartbeats for one host, by number of hosts and teams.

Prints the size and CPU time of one heartbeat, and the resulting CPU load and
bytes per second with the numbers of senders and receivers that
``serving.gossip`` permits.
"""

import argparse
import random
import time

from cactusmill.internal.link import decode, encode_frame
from cactusmill.internal.wire.ttypes import Frame
from cactusmill.records import Team
from cactusmill.serving import gossip, heartbeats
from cactusmill.serving.gateway_host import GatewayHost, HostSettings
from cactusmill.serving.heartbeat_checks import check_heartbeat
from cactusmill.serving.membership import HostId

ROUNDS = 300
REGIONS = 10


def build_host(hosts, teams, endpoints):
    """Return a host that knows other hosts, teams' demands and endpoint load."""
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
        # First seen a while ago, last seen just now.
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
    """Measure one size of fleet.

    Returns
    -------
    tuple
        Bytes of a same-region and of a cross-region heartbeat; then, in
        microseconds of CPU time, to send a same-region heartbeat, to receive
        one, and to update all teams' shares.
    """
    host = build_host(hosts, teams, endpoints)
    cross_region_data = encode_frame(
        Frame(beat=host.gossip.build_heartbeat(1.0, is_same_region=False))
    )
    start_s = time.process_time()
    for _ in range(ROUNDS):
        data = encode_frame(
            Frame(beat=host.gossip.build_heartbeat(1.0, is_same_region=True))
        )
    send_us = (time.process_time() - start_s) / ROUNDS * 1e6
    start_s = time.process_time()
    for _ in range(ROUNDS // 10):
        host.quotas.update_shares(host.membership, 1.0)
    shares_us = (time.process_time() - start_s) / (ROUNDS // 10) * 1e6
    receiver = build_host(hosts, teams, 0)
    heartbeat = decode(data).beat
    heartbeat.sender.host = "front-region-0-10"
    start_s = time.process_time()
    for number in range(ROUNDS):
        copy = decode(data).beat
        copy.sender.host, copy.sequence = heartbeat.sender.host, number
        check_heartbeat(copy)
        receiver.gossip.apply_heartbeat(copy, 1.0)
    receive_us = (time.process_time() - start_s) / ROUNDS * 1e6
    return len(data), len(cross_region_data), send_us, receive_us, shares_us


def main(argv=None):
    """Print a row for each size of fleet."""
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
        same_region_bytes, cross_region_bytes, send_us, receive_us, shares_us = measure(
            hosts, teams, endpoints
        )
        same_region_receivers = min(
            heartbeats.MAX_REGION_RECEIVERS, max(0, hosts // REGIONS - 1)
        )
        cross_region_receivers = min(
            gossip.REMOTE_HEARTBEATS_PER_ROUND, hosts // REGIONS + 1
        ) * (REGIONS - 1)
        rounds_per_s = 1 / heartbeats.REGION_HEARTBEAT_S
        received_per_s = (
            same_region_receivers * rounds_per_s
            + cross_region_receivers / gossip.CROSS_REGION_HEARTBEAT_S
        )
        cpu_us_per_s = (
            rounds_per_s + 1 / gossip.CROSS_REGION_HEARTBEAT_S
        ) * send_us + received_per_s * receive_us
        cpu_us_per_s += rounds_per_s * shares_us
        sent_bytes_per_s = (
            same_region_receivers * rounds_per_s * same_region_bytes
            + cross_region_receivers
            / gossip.CROSS_REGION_HEARTBEAT_S
            * cross_region_bytes
        )
        print(
            f"{hosts:5} {teams:5} {endpoints:9} | "
            f"{same_region_bytes:6}  {cross_region_bytes:5}  "
            f"{send_us:7.0f}  {receive_us:10.0f}  {shares_us:8.0f} "
            f"| {cpu_us_per_s / 1e4:6.2f}  {sent_bytes_per_s:8.0f}"
        )


if __name__ == "__main__":
    main()
