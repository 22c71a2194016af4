"""Latency that the nodes add to a call, and their processor time.

Client, two nodes and a minimal upstream run as separate processes on
loopback. Each round sends the same load directly to the upstream, then
through the node on the upstream's host, then through the node of another
host. The added latency is the difference from the direct load of the same
round.
"""

from __future__ import annotations

import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

from examples import fleet as fleets
from measure import _report

RATES_PER_S = (100, 355, 1000)
LOAD_DURATION_S = 6.0
ROUNDS = 3
TARGET_ADDED_P99_MS = 0.57
TARGET_REFUSAL_SHARE = 0.1
LAYOUT = (("north", None, None), ("north", None, None))
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PRICE_PATH = "/price/mats"


class Testbed:
    """Two nodes; the upstream runs on the host of the second."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.fleet = fleets.Fleet(folder, LAYOUT)
        self.upstream: subprocess.Popen | None = None
        self.upstream_address = ""

    def start(self) -> None:
        """Starts all processes and waits until requests are served."""
        self.fleet.start()
        intents = self._folder / "intents"
        intents.mkdir()
        for path in fleets.QUICKSTART.glob("*.toml"):
            (intents / path.name).write_bytes(path.read_bytes())
        (intents / "90-rate.toml").write_text(
            'kind = "customer"\nname = "masons"\n'
            "rate_per_s = 20000\nburst = 40000\n"
        )
        self.fleet.run_command(
            "put", str(intents), f"--platform={self.fleet.platform_url}"
        )
        self.upstream = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "measure._upstream",
                "price",
                self.fleet.hosts[1].control,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.upstream.stdout is not None
        self.upstream_address = self.upstream.stdout.readline().strip()
        for host in self.fleet.hosts:
            fleets.wait_until(
                "a request is served",
                lambda host=host: (
                    fleets.get(host.http, PRICE_PATH, "masons-key").status
                    == 200
                ),
                20,
            )

    def addresses(self) -> dict[str, str]:
        """Returns the address that the load is sent to, by call path."""
        return {
            "direct": self.upstream_address,
            "own host": self.fleet.hosts[1].http,
            "other host": self.fleet.hosts[0].http,
        }

    def stop(self) -> None:
        """Kills all processes."""
        if self.upstream is not None:
            self.upstream.kill()
            self.upstream.wait()
        self.fleet.kill()


def run_load(
    address: str, key: str, rate_per_s: float, path: str = PRICE_PATH
) -> dict:
    """Runs the load client; returns its decoded output."""
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "measure._load_client",
            address,
            path,
            key,
            str(rate_per_s),
            str(LOAD_DURATION_S),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(completed.stdout)


def used_cpu_s(process: subprocess.Popen) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def measure_rate(testbed: Testbed, rate_per_s: int) -> list[dict]:
    """Measures all call paths at one rate in several rounds."""
    rounds = [
        {
            call_path: run_load(address, "masons-key", rate_per_s)
            for call_path, address in testbed.addresses().items()
        }
        for _ in range(ROUNDS)
    ]
    rows = []
    for call_path in testbed.addresses():
        row: dict[str, object] = {"rate_per_s": rate_per_s, "way": call_path}
        for percentile in ("50", "90", "99"):
            values_ms = [
                results_by_path[call_path]["us"][percentile] / 1000
                for results_by_path in rounds
            ]
            added_ms = [
                (
                    results_by_path[call_path]["us"][percentile]
                    - results_by_path["direct"]["us"][percentile]
                )
                / 1000
                for results_by_path in rounds
            ]
            row[f"p{percentile}_ms"] = statistics.median(values_ms)
            row[f"added_p{percentile}_ms"] = statistics.median(added_ms)
        row["p99_spread_ms"] = _format_p99_range(rounds, call_path)
        row["answers"] = _format_statuses(rounds, call_path)
        rows.append(row)
    return rows


def _format_p99_range(rounds: list[dict], call_path: str) -> str:
    values_ms = [
        results_by_path[call_path]["us"]["99"] / 1000
        for results_by_path in rounds
    ]
    return f"{min(values_ms):.2f}-{max(values_ms):.2f}"


def _format_statuses(rounds: list[dict], call_path: str) -> str:
    counts: dict[str, int] = {}
    for results_by_path in rounds:
        for status, count in results_by_path[call_path]["statuses"].items():
            counts[status] = counts.get(status, 0) + count
    return " ".join(f"{key}:{count}" for key, count in counts.items())


def measure_cost(testbed: Testbed) -> list[dict]:
    """Measures the processor time of the node per served and refused call."""
    rows = []
    node = testbed.fleet.hosts[1].node
    assert node is not None
    rate_per_s = 355
    for name, key, path in (
        ("served", "masons-key", PRICE_PATH),
        ("refused: key", "no-such-key", PRICE_PATH),
        ("refused: quota", "visitors-key", PRICE_PATH),
        ("idle", None, None),
    ):
        cpu_before_s = used_cpu_s(node)
        started_s = time.monotonic()
        if key is None:
            time.sleep(LOAD_DURATION_S)
            calls = 0
        else:
            load = run_load(testbed.fleet.hosts[1].http, key, rate_per_s, path)
            # The load client also sends during its warm-up second.
            calls = int(rate_per_s * (LOAD_DURATION_S + 1))
        cpu_used_s = used_cpu_s(node) - cpu_before_s
        rows.append(
            {
                "outcome": name,
                "calls": calls,
                "answers": "" if key is None else str(load["statuses"]),
                "cpu_ms": cpu_used_s * 1000,
                "cpu_us_per_call": cpu_used_s * 1e6 / calls if calls else "",
                "core_share": cpu_used_s / (time.monotonic() - started_s),
            }
        )
    idle_share = rows[-1]["core_share"]
    for row in rows[:-1]:
        busy_us = (row["core_share"] - idle_share) * (LOAD_DURATION_S + 1) * 1e6
        row["us_per_call_less_idle"] = busy_us / row["calls"]
    return rows


def main() -> None:
    """Runs the benchmark and prints its tables."""
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(pathlib.Path(folder))
        try:
            testbed.start()
            rows = []
            for rate_per_s in RATES_PER_S:
                rows += measure_rate(testbed, rate_per_s)
            _report.print_report(
                "latency",
                rows,
                f"target: added p99 {TARGET_ADDED_P99_MS} ms at 355/s",
            )
            _report.print_report(
                "cost on the upstream's own host",
                measure_cost(testbed),
                f"target: a refusal costs {TARGET_REFUSAL_SHARE} of a serving",
            )
        finally:
            testbed.stop()


if __name__ == "__main__":
    main()
