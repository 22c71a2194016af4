"""Time to find the cause of a failed request among the logs of 30 nodes.

Each node logs an hour at the most lines that its limit lets through. Times are
those of whole commands, with the start of their processes.
"""

from __future__ import annotations

from collections.abc import Callable
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time

from cyclamendale.fleet import journal
from measure import _report

NODES = 30
HOUR_S = 3600
ROUNDS = 5
TARGET_S = 2.0
BEGIN_S = 1_796_600_000.0
SOUGHT = "77aa01be00000001"
STATE_INTERVAL_S = 30
_EVENTS = (
    ("refused", {"reason": "no-target", "execution": "not-run"}),
    ("over-quota", {"wait_s": 0.2, "quota_level": None}),
    ("gave-up", {"reason": "queue-full", "execution": "not-run", "offers": 3}),
    ("shed", {"service": "wash", "pressure": 0.87, "calls": 5.2}),
)


def write_log(path: pathlib.Path, number: int, seed: random.Random) -> int:
    """Writes the log of one node; returns its size in bytes."""
    node = f"node-{number}"
    address = f"10.0.0.{number}:7000"
    with path.open("w") as file:

        def write(time_s: float, event: str, **fields: object) -> None:
            line = {
                "time": round(time_s, 3),
                "level": "INFO",
                "node": node,
                "pid": 100 + number,
                "event": event,
                **fields,
            }
            file.write(json.dumps(line, separators=(",", ":")) + "\n")

        write(BEGIN_S, "start", address=address, service="wash")
        for index in range(int(HOUR_S * journal.DECISIONS_PER_S)):
            time_s = BEGIN_S + index / journal.DECISIONS_PER_S
            event, fields = seed.choice(_EVENTS)
            write(
                time_s,
                event,
                request=f"{number:08x}{index:08x}",
                route="wash-read",
                customer=f"customer-{index % 40}",
                configuration=4,
                age_ms=0.2,
                **fields,
            )
            if index % int(STATE_INTERVAL_S * journal.DECISIONS_PER_S) == 0:
                write(time_s, "upstream-door", was="open", now="lost")
                write(time_s, "upstream-door", was="lost", now="open")
        _write_sought(write, number)
    return path.stat().st_size


def _write_sought(write: Callable[..., None], number: int) -> None:
    end_s = BEGIN_S + HOUR_S
    if number == 1:
        host = "10.0.0.2:7000"
        write(end_s, "gave-up", request=SOUGHT, reason="lost", host=host)
        write(end_s, "refused", request=SOUGHT, reason="lost", age_ms=900)
    elif number == 2:
        write(end_s + 0.5, "start", address="10.0.0.2:7000")


def time_command(*words: str) -> tuple[list[float], str]:
    """Runs a command several times; returns its times and last output."""
    times_s = []
    for _ in range(ROUNDS):
        begin_s = time.monotonic()
        completed = subprocess.run(
            [sys.executable, "-m", "cyclamendale.cli.application", *words],
            capture_output=True,
            text=True,
            check=True,
        )
        times_s.append(time.monotonic() - begin_s)
    return times_s, completed.stdout


def main() -> None:
    """Writes the logs, and times the commands that read them."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name, "logs")
        folder.mkdir()
        seed = random.Random(1)
        sizes = [
            write_log(folder / f"node-{number}.log", number, seed)
            for number in range(NODES)
        ]
        page = f"--output={pathlib.Path(name, 'report.html')}"
        commands = {
            "trace": ("trace", SOUGHT, str(folder)),
            "processes": ("processes", str(folder)),
            "report": ("report", str(folder), page),
        }
        found = {name: time_command(*words) for name, words in commands.items()}
    _report.print_report(
        "trace_logs",
        [
            {
                "command": command,
                "nodes": NODES,
                "lines": NODES * HOUR_S * int(journal.DECISIONS_PER_S),
                "size_mb": sum(sizes) / 1e6,
                "median_s": statistics.median(times_s),
                "worst_s": max(times_s),
                "target_s": TARGET_S if command == "trace" else "",
            }
            for command, (times_s, _) in found.items()
        ],
        found["trace"][1].splitlines()[-1],
    )


if __name__ == "__main__":
    main()
