"""Simulate three strategies for sharing connections: `python -m bramleyrill_core.pools [SEED]`."""

import sys

from bramleyrill_core.pools import SharingPlan, compare_sharing, format_sharing_results

PLANS = {
    "usual work": {},
    "80% of the work at one VM": {"skew": 0.8},
    "the same, busier": {"skew": 0.8, "loads": (0.35, 0.35, 0.2)},
    "least urgent work at twice the slots": {"loads": (0.25, 0.25, 2.0)},
    "platform down from 20 s to 40 s": {"outage": (20.0, 40.0)},
}


def main(seed: int) -> None:
    """Run each plan and print its results."""
    for name, fields in PLANS.items():
        print(f"{name}, seed {seed}:")
        for line in format_sharing_results(compare_sharing(SharingPlan(seed=seed, **fields))):
            print(f"  {line}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
