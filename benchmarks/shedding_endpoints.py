"""Replay of endpoints that turn requests away with a pause, at 1.6 times capacity.

    python -m benchmarks.shedding_endpoints

Compares hosts that ignore the pauses, that heed those which they heard themselves, and
that tell each other. An endpoint whose places are taken turns a request away, with a
pause that it means for the sending host. Load comes at 1.6 times the capacity for 10 s
and at 0.7 times before and after. Times are seconds, with one step each millisecond.
"""

import heapq
import random

import attrs

from cactusmill.records import Endpoint
from cactusmill.serving.dialect import ResponseMetadata
from cactusmill.serving.endpoint_notices import EndpointNotices

_SLOTS = 16
_WORK_S = 0.2
_PAUSE_S = 2.0
_ENDPOINTS_PER_HOST = 0.4
_PEAK = (4.0, 14.0)
_DURATION_S = 20.0
_ATTEMPTS = 2


@attrs.define
class Result:
    """Outcome of a replay.

    Attributes
    ----------
    sent, served : int
        Requests of callers, and those that an endpoint ran.
    during_pause : int
        Arrivals at an endpoint from a host that it had paused over 0.5 s before.
    worst_after : float
        Smallest fraction of the requests of a second that were served, in the five
        seconds after the peak.
    """

    sent: int = 0
    served: int = 0
    during_pause: int = 0
    worst_after: float = 1.0


def _metadata(pause_s):
    return ResponseMetadata(
        request_id=None,
        is_not_run=True,
        is_misdirected=False,
        is_signed=False,
        work=None,
        idle_s=None,
        will_close=False,
        pause_s=pause_s,
    )


def replay(host_count, mode, seed=1):
    """Replay one fleet.

    Parameters
    ----------
    host_count : int
        Hosts that share the endpoints.
    mode : str
        ``"ignore"``, ``"heed"`` or ``"tell"``.
    seed : int
        Seed of the random choices.

    Returns
    -------
    Result
    """
    rng = random.Random(seed)
    count = max(2, int(host_count * _ENDPOINTS_PER_HOST))
    endpoints = [
        Endpoint(
            name=f"e{n}",
            zone="z",
            region="r",
            address="",
            serves=("s",),
            capacity=_SLOTS,
        )
        for n in range(count)
    ]
    running = [0] * count
    own = [[0] * count for _ in range(host_count)]
    notices = [EndpointNotices(random.Random(n)) for n in range(host_count)]
    paused_at, ends, result = {}, [], Result()
    by_second = {}
    now, capacity_per_s = 0.0, count * _SLOTS / _WORK_S
    while now < _DURATION_S:
        load = 1.6 if _PEAK[0] <= now < _PEAK[1] else 0.7
        now += rng.expovariate(load * capacity_per_s)
        while ends and ends[0][0] <= now:
            _, host, index = heapq.heappop(ends)
            running[index] -= 1
            own[host][index] -= 1
        host, is_served = rng.randrange(host_count), False
        for _ in range(_ATTEMPTS):
            sample = rng.sample(range(count), min(5, count))
            if mode != "ignore":
                sample = [
                    n
                    for n in sample
                    if notices[host].may_send(endpoints[n], own[host][n], now)
                ]
            if not sample:
                break
            index = min(sample, key=lambda n: own[host][n])
            heard_at = paused_at.get((host, index))
            if heard_at is not None and 0.5 < now - heard_at < _PAUSE_S:
                result.during_pause += 1
            if running[index] < _SLOTS:
                running[index] += 1
                own[host][index] += 1
                heapq.heappush(ends, (now + _WORK_S, host, index))
                is_served = True
                break
            paused_at[host, index] = now
            hearers = range(host_count) if mode == "tell" else [host]
            for hearer in hearers:
                notices[hearer].record(endpoints[index], _metadata(_PAUSE_S), now)
        result.sent += 1
        result.served += is_served
        second = by_second.setdefault(int(now), [0, 0])
        second[0] += 1
        second[1] += is_served
    after = [by_second[n] for n in range(int(_PEAK[1]), int(_PEAK[1]) + 5)]
    result.worst_after = min(served / sent for sent, served in after)
    return result


def main():
    """Print the results of all modes and sizes."""
    print("hosts  mode    served  to paused endpoints  worst second after")
    for host_count in (20, 195, 400):
        for mode in ("ignore", "heed", "tell"):
            result = replay(host_count, mode)
            print(
                f"{host_count:5}  {mode:6}  {result.served / result.sent:6.3f}"
                f"  {result.during_pause:19}  {result.worst_after:18.3f}"
            )


if __name__ == "__main__":
    main()
