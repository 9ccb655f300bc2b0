"""Check at-most-once execution over many order histories with injected faults.

    python benchmarks/at_most_once.py --seeds 100 150

Prints one JSON line per seed. Exits with 1 if any history violates an invariant.
"""

import argparse
import json
import pathlib
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins.orders import commit_orders  # noqa: E402
from standins.simulation import run_simulation  # noqa: E402


def run(seed, args):
    """Run the history of one seed and return it."""

    async def scenario(sim):
        await sim.start()
        await trio.sleep(2)
        return await commit_orders(
            sim,
            orders=args.orders,
            duration_s=args.duration_s,
            mean_fault_gap_s=args.fault_gap_s,
        )

    return run_simulation(scenario, seed)


def main():
    """Run the histories of a range of seeds and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(100, 110))
    parser.add_argument("--orders", type=int, default=200)
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--fault-gap-s", type=float, default=1.5)
    args = parser.parse_args()
    violated = 0
    for seed in range(*args.seeds):
        history = run(seed, args)
        violated += bool(history.violations)
        line = {
            "seed": seed,
            "orders": len(history.orders),
            "sends": history.sends,
            "faults": sum(history.faults.values()),
            "final": {
                outcome: history.count_final(outcome)
                for outcome in ("ran", "not_run", "unknown", "lost", "never sent")
            },
            "violations": history.violations,
        }
        print(json.dumps(line), flush=True)
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
