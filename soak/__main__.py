"""Command line of the soak: `python -m soak --help`."""

from __future__ import annotations

import argparse
import asyncio
import sys

from soak import runner
from soak import sites


def main() -> int:
    """Runs one seed after the other; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--site", choices=sites.SITES, default="small")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--clients", type=int, default=60)
    parser.add_argument("--logs", help="folder that keeps the nodes' logs")
    options = parser.parse_args()
    runner.build()
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        findings, counts = asyncio.run(
            runner.run(
                sites.SITES[options.site],
                seed,
                options.seconds,
                options.clients,
                options.logs,
            )
        )
        print(f"site={options.site} seed={seed} {counts}")
        for finding, text in findings:
            print(f"  {finding.value}: {text}")
        broken += bool(findings)
        sys.stdout.flush()
    print(
        f"{options.seeds - broken} of {options.seeds} seeds kept all promises"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
