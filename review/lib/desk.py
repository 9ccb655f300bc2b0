"""A small deployment in three regions, and the checks that several scripts share."""

import asyncio
import collections

from .callers import call_in_loop
from .platform import Network, Store, Worker, start_machines

PLACES = [
    ("front-a-1", "a", "region-a"),
    ("front-b-1", "b", "region-b"),
    ("front-c-1", "c", "region-c"),
]
SLOTS, WORK_S = 6, 0.15
BUDGET_S, PAUSE_S = 2.5, 0.05
# RULES.md, LOST and Fault.
MOST_LOST, MOST_ENDS, LEAST_MACHINES = 3, 2, 2
_KEY = "caller-key-1"
_HEADERS = {"Host": "desk.example", "Authorization": f"Token {_KEY}"}


def configuration(version, service, services):
    """Return a configuration with a safe and an unsafe route to a service."""

    def route(name, kind, attempts):
        return {
            "name": name,
            "host": "desk.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 2500,
            "target_latency_ms": 425,
            "priority": 0,
            "service": service,
            "max_attempts": attempts,
            "public": False,
        }

    return {
        "version": version,
        "routes": [route("look", "safe", 2), route("book", "unsafe", 1)],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 96}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "one",
                "api_keys": [_KEY],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 330000,
                "burst": 330000,
            }
        ],
    }


async def start_deployment(record, work, machines, config, places):
    """Start the store, a worker of each service in some places, and all machines.

    Parameters
    ----------
    record : Record
        What is written down.
    work : str
        Folder for settings and logs.
    machines : list
        Is filled with the machines.
    config : dict
        The first configuration.
    places : list of tuple
        The places that have workers.

    Returns
    -------
    Store, list of Worker, or None if a machine is not ready in time
    """
    net, store = Network(), Store()
    store.put("op/config", config)
    workers = [
        Worker(record, store, service["name"], zone, net.address(), SLOTS, WORK_S)
        for _, zone, _ in places
        for service in config["services"]
    ]
    for worker in workers:
        await worker.start()
    if not await start_machines(record, net, store, PLACES, work, machines):
        return None
    return store, workers


def start_calls(record, machine, sents, route, count):
    """Start callers of a route; return their tasks."""
    what = ("POST" if route == "book" else "GET", f"/{route}/1")
    return [
        asyncio.create_task(
            call_in_loop(
                record, machine, sents, *what, _HEADERS, b"", BUDGET_S, PAUSE_S
            )
        )
        for _ in range(count)
    ]


def judge_ends(record, machines, workers, sents, since):
    """Return 1 if LOST or the fault of processes that end is there, else 0.

    Parameters
    ----------
    record : Record
        What is written down.
    machines, workers : list
        All of them.
    sents : list of Sent
        All requests.
    since : float
        When the disruption began, in seconds.
    """
    ran = {run["id"] for worker in workers for run in worker.runs}
    lost = collections.Counter(
        s.machine for s in sents if s.is_kept and s.problem == "closed" and s.id in ran
    )
    ends = {m.name: len(m.ends) for m in machines}
    later = [s for s in sents if s.at >= since]
    served = sum(200 <= s.status < 300 for s in later)
    record.write("judged", lost=dict(lost), ends=ends, sent=len(later), served=served)
    print(
        "LOST, passed on from a kept connection and closed without an answer: "
        f"{dict(lost)} ({MOST_LOST} a machine allowed); processes that ended by "
        f"themselves: {ends}; served since then: {served} of {len(later)}"
    )
    is_lost = any(count > MOST_LOST for count in lost.values())
    ended = sum(count > MOST_ENDS for count in ends.values())
    return 1 if is_lost or ended >= LEAST_MACHINES else 0
