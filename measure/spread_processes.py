"""Time until a change is in force on tens of processes, and idle cost.

Nodes run as separate processes on loopback, without upstreams. In each round
a key is withdrawn, then the file of the withdrawal is removed. The time runs
from the end of the command until every node refuses the key, or reports the
new version. The duration of the command is reported separately.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import concurrent.futures
import http.client
import json
import pathlib
import statistics
import tempfile
import time

from examples import fleet as fleets
from measure import _report
from measure import latency

NODES = 24
FAILURE_DOMAINS = ("north", "south", "east")
ROUNDS = 5
IDLE_S = 20.0
TARGET_WITHDRAWN_S = 2.0
TARGET_IN_FORCE_S = 3.0
TARGET_CORE_SHARE = 0.012
TARGET_MEMORY_MB = 256
POLL_INTERVAL_S = 0.05
TIMEOUT_S = 60.0


Check = Callable[[fleets.Host], bool]


def get_json(address: str, path: str) -> dict:
    """Returns the decoded JSON answer of a control listener."""
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", path)
    answer = json.loads(connection.getresponse().read())
    connection.close()
    return answer


def measure_time_until(check: Check, hosts: Iterable[fleets.Host]) -> float:
    """Returns the seconds until `check` is true for every host."""
    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        pending = list(hosts)
        while pending:
            results = list(pool.map(check, pending))
            pending = [
                host
                for host, is_met in zip(pending, results, strict=True)
                if not is_met
            ]
            if time.monotonic() - started_s > TIMEOUT_S:
                raise fleets.StepFailedError(
                    "change not in force on all hosts before time-out"
                )
            if pending:
                time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s


def has_version(version: int) -> Check:
    """Returns a check that a host reports at least this version."""
    return lambda host: (
        get_json(host.control, "/configuration")["version"] >= version
    )


def refuses_key(key: str) -> Check:
    """Returns a check that a host refuses a withdrawn key."""
    return lambda host: fleets.get(host.http, "/price/mats", key).status == 403


def withdraw_and_grant(fleet: fleets.Fleet, version: int) -> list[dict]:
    """Withdraws a key and restores it; returns a row for each change."""
    platform = f"--platform={fleet.platform_url}"
    started_s = time.monotonic()
    fleet.run_command("withdraw", "--key=masons-key", platform)
    command_s = time.monotonic() - started_s
    withdrawn_s = measure_time_until(refuses_key("masons-key"), fleet.hosts)
    withdrawal_file = "99-withdraw-bcc38d2a6aafe0d1.toml"
    started_s = time.monotonic()
    fleet.run_command("remove", withdrawal_file, platform)
    remove_command_s = time.monotonic() - started_s
    in_force_s = measure_time_until(has_version(version + 2), fleet.hosts)
    return [
        {"change": "withdrawal", "command_s": command_s, "s": withdrawn_s},
        {
            "change": "file removed",
            "command_s": remove_command_s,
            "s": in_force_s,
        },
    ]


def measure_idle_cost(fleet: fleets.Fleet) -> dict:
    """Returns the processor share and the memory of nodes without calls."""
    nodes = [host.node for host in fleet.hosts if host.node is not None]
    cpu_before_s = [latency.used_cpu_s(node) for node in nodes]
    started_s = time.monotonic()
    time.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started_s
    shares = [
        (latency.used_cpu_s(node) - used_before_s) / elapsed_s
        for node, used_before_s in zip(nodes, cpu_before_s, strict=True)
    ]
    memories_mb = [resident_mb(node.pid) for node in nodes]
    return {
        "nodes": len(nodes),
        "core_share_median": statistics.median(shares),
        "core_share_max": max(shares),
        "memory_mb_median": statistics.median(memories_mb),
        "memory_mb_max": max(memories_mb),
    }


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> None:
    """Runs the benchmark and prints its tables."""
    layout = [
        (FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)], None, None)
        for n in range(NODES)
    ]
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(pathlib.Path(folder), layout)
        try:
            fleet.start()
            fleet.run_command(
                "put",
                str(fleets.QUICKSTART),
                f"--platform={fleet.platform_url}",
            )
            for host in fleet.hosts:
                fleets.wait_until(
                    "first version in force",
                    lambda h=host: has_version(1)(h),
                    TIMEOUT_S,
                )
                fleets.wait_until(
                    "HTTP requests answered",
                    lambda h=host: fleets.get(h.http, "/", "none").status,
                    TIMEOUT_S,
                )
            measurements = []
            for number in range(ROUNDS):
                measurements += withdraw_and_grant(fleet, 1 + 2 * number)
            rows = [
                {
                    "change": change,
                    "nodes": NODES,
                    "rounds": ROUNDS,
                    "command_s": statistics.median(
                        measurement["command_s"]
                        for measurement in measurements
                        if measurement["change"] == change
                    ),
                    "median_s": statistics.median(
                        measurement["s"]
                        for measurement in measurements
                        if measurement["change"] == change
                    ),
                    "worst_s": max(
                        measurement["s"]
                        for measurement in measurements
                        if measurement["change"] == change
                    ),
                }
                for change in ("withdrawal", "file removed")
            ]
            _report.print_report(
                "in force on real nodes",
                rows,
                f"targets: withdrawal {TARGET_WITHDRAWN_S} s, "
                f"configuration {TARGET_IN_FORCE_S} s",
            )
            _report.print_report(
                "idle cost of a node",
                [measure_idle_cost(fleet)],
                f"targets: {TARGET_CORE_SHARE} of a core, "
                f"{TARGET_MEMORY_MB} MB",
            )
        finally:
            fleet.kill()


if __name__ == "__main__":
    main()
