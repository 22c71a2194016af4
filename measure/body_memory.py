"""Memory growth of the nodes while large bodies pass through them.

Clients, two nodes and an upstream run as separate processes on loopback. The
clients use one node, and the upstream belongs to the other. The growth of a
node is its peak resident memory during the transfers minus its resident
memory before them. Exits with 1 if a body did not arrive unchanged or a node
grew by more than the target.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile

from examples import fleet as fleets
from measure import _report

BODY_BYTES = 200 * 1000 * 1000
TARGET_GROWTH_MB = 16.0
CASES = ("answer", "upload", "slow-reader")
CONCURRENCIES = (1, 4)
LAYOUT = (("north", None, None), ("north", None, None))
API_KEY = "masons-key"
ROUTE_INTENT = (
    'kind = "route"\nname = "price"\nservice = "price"\n'
    'path_prefix = "/price"\ndeadline_s = 120\n'
)
KB_PER_MB = 1000
_NO_RESULT = '{"whole": false, "refused": 0, "s": 0}'
RESET_PEAK_RSS = "5"


class NodeMemory:
    """Resident memory of the process of one node."""

    def __init__(self, pid: int) -> None:
        self._proc_folder = pathlib.Path(f"/proc/{pid}")
        self._before_kb = 0

    def reset_peak(self) -> None:
        """Resets the recorded peak; growth counts from here."""
        (self._proc_folder / "clear_refs").write_text(RESET_PEAK_RSS)
        self._before_kb = self._read_kb("VmRSS")

    def growth_mb(self) -> float:
        """Returns the peak minus the memory at `reset_peak`."""
        return (self._read_kb("VmHWM") - self._before_kb) / KB_PER_MB

    def resident_mb(self) -> float:
        """Returns the current resident memory."""
        return self._read_kb("VmRSS") / KB_PER_MB

    def _read_kb(self, name: str) -> int:
        for line in (self._proc_folder / "status").read_text().splitlines():
            field, _, value = line.partition(":")
            if field == name:
                return int(value.split()[0])
        raise KeyError(name)


class Testbed:
    """Two nodes; the upstream runs on the host of the second."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._fleet = fleets.Fleet(folder, LAYOUT)
        self._upstream: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts all processes and waits until a request is served."""
        self._fleet.start()
        intents = self._folder / "intents"
        intents.mkdir()
        for path in fleets.QUICKSTART.glob("*.toml"):
            (intents / path.name).write_bytes(path.read_bytes())
        (intents / "30-route-price.toml").write_text(ROUTE_INTENT)
        self._fleet.run_command(
            "put", str(intents), f"--platform={self._fleet.platform_url}"
        )
        control = self._fleet.hosts[1].control
        self._upstream = subprocess.Popen(
            [sys.executable, "-m", "measure._body_upstream", "price", control]
        )
        fleets.wait_until(
            "a request is served",
            lambda: (
                fleets.get(
                    self._fleet.hosts[0].http, "/price/0", API_KEY
                ).status
                == 200
            ),
            20,
        )

    def stop(self) -> None:
        """Kills all processes."""
        if self._upstream is not None:
            self._upstream.kill()
            self._upstream.wait()
        self._fleet.kill()

    def run(self, case: str, concurrency: int) -> dict[str, object]:
        """Transfers bodies concurrently; returns a row of the report."""
        nodes = {
            name: NodeMemory(host.node.pid)
            for name, host in zip(
                ("caller's", "upstream's"), self._fleet.hosts, strict=True
            )
            if host.node is not None
        }
        for memory in nodes.values():
            memory.reset_peak()
        results = self._transfer_bodies(case, concurrency)
        row: dict[str, object] = {
            "case": case,
            "at once": concurrency,
            "MB each": BODY_BYTES / 1e6,
            "whole": sum(result["whole"] for result in results),
            "shed": sum(result["refused"] for result in results),
            "s": max(result["s"] for result in results),
        }
        for name, memory in nodes.items():
            row[f"{name} node grew MB"] = memory.growth_mb()
            row[f"{name} node now MB"] = memory.resident_mb()
        limit_mb = TARGET_GROWTH_MB * concurrency
        row["met"] = row["whole"] == concurrency and all(
            memory.growth_mb() <= limit_mb for memory in nodes.values()
        )
        return row

    def _transfer_bodies(self, case: str, concurrency: int) -> list[dict]:
        address = self._fleet.hosts[0].http
        clients = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "measure._body_client",
                    address,
                    API_KEY,
                    case,
                    str(BODY_BYTES),
                ],
                stdout=subprocess.PIPE,
            )
            for _ in range(concurrency)
        ]
        return [
            json.loads(client.communicate()[0] or _NO_RESULT)
            for client in clients
        ]


def main() -> int:
    """Runs all cases; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(pathlib.Path(folder))
        try:
            testbed.start()
            rows = [
                testbed.run(case, concurrency)
                for concurrency in CONCURRENCIES
                for case in CASES
            ]
        finally:
            testbed.stop()
    _report.print_report(
        "body_memory",
        rows,
        f"Target: whole, and no node grows by more than "
        f"{TARGET_GROWTH_MB:.0f} MB for each body.",
    )
    return 0 if all(row["met"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
