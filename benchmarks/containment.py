"""Ways of finding the prompt part that crashes engines, on the same modelled fleets.

Usage: python -m benchmarks.containment [--ways NAME ...] [--scenarios NAME ...]
    [--seeds N] [--fleets]

Prints, for each way and scenario, the crashes until containment, the requests with the
part that reached engines later than the users' window after the fifth crash, and the
share of sound requests served at the first attempt from that window on.
"""

import argparse
import math
import statistics
import time
from unittest import mock

import attrs

from cactusmill.internal.containment.suspicion import Finding, Suspicion
from standins.containment_model import SCENARIOS, Scenario, play

_WINDOW_S = 6.0
_TAIL_S = 4.0
_COUNT = 3
_PRIOR_LOG_ODDS = math.log(1e-4)
_FLEETS = {
    "70 hosts": {
        "hosts": 70,
        "regions": 5,
        "engines": 140,
        "requests_per_s": 300.0,
        "bad_per_s": 4.0,
    },
    "400 hosts": {
        "hosts": 400,
        "regions": 10,
        "engines": 1000,
        "requests_per_s": 800.0,
        "bad_per_s": 20.0,
    },
}


def _as_finding(parts, crashes):
    return Finding(tuple(sorted(parts)), tuple(crashes)) if parts else None


def _find_nothing(self, parts, held, now):
    return None


def _find_by_count(self, parts, held, now):
    """Return a part from its third crash on, whatever was served."""
    for part in sorted(set(parts) - set(held)):
        crashes = self.crashes_with(part)
        if len(crashes) >= _COUNT:
            return _as_finding([part], crashes)
    return None


def _find_by_exoneration(self, parts, held, now):
    """Return what is left of two crashes once what was served is cleared."""
    suspects = {
        part: crashes
        for part in set(parts) - set(held)
        if len(crashes := self.crashes_of(part)) > 1 and part not in crashes[-1].proven
    }
    if len(suspects) != 1:
        return None
    ((part, crashes),) = suspects.items()
    return _as_finding([part], crashes)


def _find_by_posterior(self, parts, held, now):
    """Return a part by its odds against chance, by how rarely it stands in a batch."""
    known = self.crashes()
    for part in sorted(set(parts) - set(held)):
        crashes = self.crashes_of(part)
        candidates = [c for crash in known for c in crash.candidates.values()]
        share = sum(part in c.parts for c in candidates) / max(1, len(candidates))
        odds = _PRIOR_LOG_ODDS
        for crash in crashes:
            present = 1 - (1 - share) ** len(crash.candidates)
            odds -= math.log(max(present, 1e-6))
        if odds > 0:
            return _as_finding([part], crashes)
    return None


def _keep(self, thing, served_at):
    return False


WAYS = {
    "none": ({"find": _find_nothing}, {}),
    "count": ({"find": _find_by_count, "clear": _keep}, {}),
    "exoneration": ({"find": _find_by_exoneration}, {}),
    "posterior": ({"find": _find_by_posterior}, {}),
    "quarantine": ({}, {"has_quarantine": True}),
    "taken": ({}, {}),
}


def measure(way, scenario, seeds):
    """Print one row: a way on a scenario, over seeds."""
    changed, options = WAYS[way]
    scenario = attrs.evolve(scenario, **options)
    changed = {"find": Suspicion.find, **changed}
    with mock.patch.multiple(Suspicion, **changed):
        began = time.process_time()
        seen = [play(scenario, seed) for seed in range(1, seeds + 1)]
    from_s = scenario.bad_from_s + _WINDOW_S
    shares = [o.served_share(from_s, scenario.for_s - _TAIL_S) for o in seen]
    news = max(max(o.news_bytes) for o in seen) / scenario.for_s
    crashes = [len(o.crashes) for o in seen]
    late = [o.arrivals_after(_WINDOW_S) for o in seen]
    print(
        f"crashes {statistics.median(crashes):.0f} ({min(crashes)} to {max(crashes)}), "
        f"late {statistics.median(late):.0f} ({max(late)}), "
        f"sound {min(shares):.3f} to {max(shares):.3f}, "
        f"news {news / 1000:.1f} KB/s, "
        f"{time.process_time() - began:.0f} s",
        flush=True,
    )


def main(argv=None):
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ways", nargs="+", default=list(WAYS), choices=list(WAYS))
    parser.add_argument("--scenarios", nargs="+", help="default: all")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--fleets", action="store_true", help="large fleets only")
    args = parser.parse_args(argv)
    scenarios = _FLEETS if args.fleets else SCENARIOS
    for way in args.ways:
        for name in args.scenarios or scenarios:
            options = scenarios[name]
            print(f"{way:12} {name:28}", end=" ")
            measure(way, attrs.evolve(Scenario(for_s=26.0), **options), args.seeds)


if __name__ == "__main__":
    main()
