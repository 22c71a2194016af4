"""Time until a change is in force on tens of real nodes, and idle cost.

Nodes run as separate processes on loopback, without upstreams. A key is
withdrawn and a file is changed, several times in turn; each is timed from
the moment its command has ended until every node refuses the key, or
reports the new version. The command's own duration is given beside it.
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
DOMAINS = ("north", "south", "east")
ROUNDS = 5
IDLE_S = 20.0
TARGET_WITHDRAWN_S = 2.0
TARGET_IN_FORCE_S = 3.0
TARGET_CORE_SHARE = 0.012
TARGET_MEMORY_MB = 256
POLL_S = 0.05
WAIT_S = 60.0


Check = Callable[[fleets.Host], bool]


def get_json(address: str, path: str) -> dict:
    """Returns a JSON answer of a control listener."""
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", path)
    answer = json.loads(connection.getresponse().read())
    connection.close()
    return answer


def time_until(check: Check, hosts: Iterable[fleets.Host]) -> float:
    """Returns the seconds until `check` holds for every host."""
    began_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        waiting = list(hosts)
        while waiting:
            held = list(pool.map(check, waiting))
            waiting = [
                host
                for host, holds in zip(waiting, held, strict=True)
                if not holds
            ]
            if time.monotonic() - began_s > WAIT_S:
                raise fleets.StepFailedError("not in force everywhere")
            if waiting:
                time.sleep(POLL_S)
    return time.monotonic() - began_s


def in_force(version: int) -> Check:
    """Returns a check that a host has at least this version."""
    return lambda host: (
        get_json(host.control, "/configuration")["version"] >= version
    )


def refuses(key: str) -> Check:
    """Returns a check that a host refuses a key as withdrawn."""
    return lambda host: fleets.get(host.http, "/price/mats", key).status == 403


def withdraw_and_grant(fleet: fleets.Fleet, version: int) -> list[dict]:
    """Withdraws a key and grants it again; returns the two times."""
    platform = f"--platform={fleet.platform_url}"
    began_s = time.monotonic()
    fleet.command("withdraw", "--key=masons-key", platform)
    command_s = time.monotonic() - began_s
    withdrawn_s = time_until(refuses("masons-key"), fleet.hosts)
    name = "99-withdraw-bcc38d2a6aafe0d1.toml"
    began_s = time.monotonic()
    fleet.command("remove", name, platform)
    removed_s = time.monotonic() - began_s
    in_force_s = time_until(in_force(version + 2), fleet.hosts)
    return [
        {"change": "withdrawal", "command_s": command_s, "s": withdrawn_s},
        {"change": "file removed", "command_s": removed_s, "s": in_force_s},
    ]


def idle_cost(fleet: fleets.Fleet) -> dict:
    """Returns processor share and memory of nodes without calls."""
    nodes = [host.node for host in fleet.hosts if host.node is not None]
    before = [latency.cpu_s(node) for node in nodes]
    began_s = time.monotonic()
    time.sleep(IDLE_S)
    took_s = time.monotonic() - began_s
    shares = [
        (latency.cpu_s(node) - used_s) / took_s
        for node, used_s in zip(nodes, before, strict=True)
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
    """Runs the rig and prints its tables."""
    layout = [(DOMAINS[n % len(DOMAINS)], None, None) for n in range(NODES)]
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(pathlib.Path(folder), layout)
        try:
            fleet.start()
            fleet.command(
                "put",
                str(fleets.QUICKSTART),
                f"--platform={fleet.platform_url}",
            )
            for host in fleet.hosts:
                fleets.wait_until(
                    "serving", lambda h=host: in_force(1)(h), WAIT_S
                )
                fleets.wait_until(
                    "listening",
                    lambda h=host: fleets.get(h.http, "/", "none").status,
                    WAIT_S,
                )
            times = []
            for number in range(ROUNDS):
                times += withdraw_and_grant(fleet, 1 + 2 * number)
            rows = [
                {
                    "change": change,
                    "nodes": NODES,
                    "rounds": ROUNDS,
                    "command_s": statistics.median(
                        one["command_s"]
                        for one in times
                        if one["change"] == change
                    ),
                    "median_s": statistics.median(
                        one["s"] for one in times if one["change"] == change
                    ),
                    "worst_s": max(
                        one["s"] for one in times if one["change"] == change
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
                [idle_cost(fleet)],
                f"targets: {TARGET_CORE_SHARE} of a core, "
                f"{TARGET_MEMORY_MB} MB",
            )
        finally:
            fleet.kill()


if __name__ == "__main__":
    main()
