"""Command line of the soak: `python -m soak --help`."""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys

from soak import runner
from soak import sites

CROWD = "crowd"


def _is_no_cancellation(line: logging.LogRecord) -> bool:
    """Returns whether a line is about more than a connection's last task.

    Python 3.11 reports each such task that is cancelled at the end of a run.
    """
    return not line.exc_info or line.exc_info[0] is not asyncio.CancelledError


def main() -> int:
    """Runs one seed after the other; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "--site", choices=[*sites.SITES, CROWD], default="small"
    )
    parser.add_argument(
        "--processes", type=int, default=100, help=f"hosts of site {CROWD}"
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--clients", type=int, help="default: those of the site"
    )
    parser.add_argument(
        "--work",
        choices=[work.value for work in runner.Work],
        default=runner.Work.ALL.value,
        help="planned: without kills, freezes and upstreams that leave;"
        " faults: with those of the store and of links besides;"
        " stops: beside faults of the store and upstreams that leave or end",
    )
    parser.add_argument("--logs", help="folder that keeps the nodes' logs")
    options = parser.parse_args()
    site = (
        sites.make_crowd(options.processes)
        if options.site == CROWD
        else sites.SITES[options.site]
    )
    # Writes to connections that the other side has closed are expected.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    logging.getLogger("asyncio").addFilter(_is_no_cancellation)
    runner.build()
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        plan = runner.Plan(
            site,
            seed,
            options.seconds,
            options.clients or site.clients,
            runner.Work(options.work),
            options.logs,
        )
        findings, counts = asyncio.run(runner.run(plan))
        print(f"site={options.site} seed={seed} {counts}")
        for finding, text in findings:
            print(f"  {finding.value}: {text}")
        if findings:
            broken += 1
            size = f" --processes {options.processes}"
            print(
                f"  repeat: python -m soak --site {options.site}"
                f"{size * (options.site == CROWD)} --seed {seed}"
                f" --seconds {options.seconds:g} --clients {plan.clients}"
                f" --work {options.work}"
            )
        sys.stdout.flush()
    print(
        f"{options.seeds - broken} of {options.seeds} seeds kept all promises"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
