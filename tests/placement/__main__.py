"""Print the measures of all read policies: `python -m tests.placement [USE [AGE_S...]]`."""

import sys

from bramleyrill_core.placement import read_policies

from tests.placement.fleet import Fleet

DURATION_S = 48
SLOW = {"d1z-b": (12.0, 36.0, 5.0)}


def main():
    use = float(sys.argv[1]) if len(sys.argv) > 1 else 0.6
    ages_s = [float(age) for age in sys.argv[2:]] or [1.0]
    for age_s in ages_s:
        for name in read_policies.by_name:
            result = Fleet(name, age_s, use=use, slow=SLOW).run(DURATION_S)
            shares = result.on_time_shares()
            print(
                f"| `{name}` | {age_s:g} | {result.on_time_share:.4f} | {min(shares):.4f}"
                f" | {max(shares):.4f} | {result.percentile_ms(0.5):.0f}"
                f" | {result.percentile_ms(0.99):.0f} | {result.idle_while_queued_s:.0f}"
                f" | {result.idle_while_overrun_s:.0f}"
                f" | {result.bytes_between_regions / 1e6:.1f} |",
                flush=True,
            )


main()
