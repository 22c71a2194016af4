"""Simulates how long a change takes to be in force on all nodes.

The production controllers run on a virtual clock with a simulated network and
platform: 7 failure domains in 2 regions, first all connected, then with one
domain cut off from the platform only. In the baseline, each node polls the
platform every second and nodes do not communicate with each other.

Usage: python -m measure.configuration_spread [nodes ...]
"""

from __future__ import annotations

import dataclasses
import json
import random
import sys
import time
from typing import Any

from expression import Ok

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.configuration import changes
from cyclamendale.configuration import publisher
from cyclamendale.controllers import configuration
from cyclamendale.intents import model
from cyclamendale.membership import directory as directories
from cyclamendale.store import faults
from cyclamendale.store import memory
from cyclamendale.store import state as states
from measure import _configuration_model as configuration_model

NODE_COUNTS = (10, 40, 160, 1100)
DOMAIN_COUNT = 7
PLATFORM_LATENCY_S = 0.005
FILE_COUNT = 200
FILE_BYTES = 300
CHANGE_COUNT = 10
WARM_UP_S = 60.0
"""Time until the infrequent polls of the nodes are spread evenly."""

QUIET_S = 30.0
TIMEOUT_S = 60.0
CHANGES_PER_DAY = 3500
SEED = 1


@dataclasses.dataclass
class RunResult:
    """Results of one run; the field names are column titles."""

    way: str
    nodes: int
    cut_off_domains: int
    worst_s: float
    median_s: float
    reached: float
    reads_per_s: float
    quiet_bytes_per_s: float
    change_bytes: float
    total_bytes_per_s: float
    quiet_cpu_share: float


class Fleet:
    """All nodes of one run and their platform."""

    def __init__(
        self, nodes: int, cut_off_domains: int, *, uses_peers: bool
    ) -> None:
        self.scheduler = configuration_model.Scheduler()
        self.clock = clocks.ReactorClock(self.scheduler)
        self.random = random.Random(SEED)
        self.rows, self.objects = states.TableState(), states.ObjectState()
        self.injector = faults.FaultInjector()
        down_injector = faults.FaultInjector()
        down_injector.set_rules([faults.FaultRule(faults.Fault.DOWN)])
        addresses = [
            ids.PeerAddress(f"10.{index // 250}.{index % 250}.1:7000")
            for index in range(nodes)
        ]
        domains = {a: index % DOMAIN_COUNT for index, a in enumerate(addresses)}
        self.network_model = configuration_model.NetworkModel(
            self.clock, domains
        )
        members = [
            directories.Member(
                ids.NodeId(f"{address}#1"),
                address,
                ids.FailureDomainName(str(domains[address])),
                1,
            )
            for address in addresses
        ]
        self.versions_in_force = [0] * nodes
        for index, member in enumerate(members):
            is_cut_off = domains[member.address] < cut_off_domains
            known_members = members if uses_peers else [member]
            injector = down_injector if is_cut_off else self.injector
            self.start_node(
                index,
                configuration_model.StaticDirectory(member, known_members),
                injector,
            )
        self.publisher = publisher.make_publisher(
            *self.make_stores(faults.FaultInjector(), 0.0),
            self.clock,
            self.random,
            lambda files: Ok(files),
        )
        self.version = ids.ConfigVersion(0)

    def make_stores(
        self, injector: faults.FaultInjector, latency_s: float
    ) -> tuple[memory.MemoryTable, memory.MemoryObjectStore]:
        """Returns the table and the object store as one process sees them."""
        return (
            memory.make_memory_table(
                self.clock, injector, self.rows, latency_s
            ),
            memory.make_memory_object_store(
                self.clock, injector, self.objects, latency_s
            ),
        )

    def start_node(
        self,
        index: int,
        members: configuration_model.StaticDirectory,
        injector: faults.FaultInjector,
    ) -> None:
        """Starts a node at a random time within the first second."""
        own = members.own()
        hlc = events.HybridLogicalClock(self.clock)
        rows, objects = self.make_stores(injector, PLATFORM_LATENCY_S)
        controller = configuration.make_configuration_controller(
            configuration.Dependencies(
                rows=rows,
                objects=objects,
                peers=configuration_model.ModelPeerNetwork(
                    self.network_model, own.address
                ),
                directory=members,
                clock=self.clock,
                rng=random.Random(index),
                merge=lambda files, version: Ok(
                    model.Configuration(version=version)
                ),
                event_log=events.EventLog(own.node, hlc, capacity=4),
            )
        )
        controller.subscribe(
            lambda current: self.versions_in_force.__setitem__(
                index, current.version
            )
        )
        self.clock.call_later(self.random.random(), controller.start)

    def publish(self, puts: dict[ids.IntentFileName, bytes]) -> None:
        """Publishes a change without advancing the virtual clock."""
        change = changes.Change(
            self.version,
            puts,
            frozenset(),
            "operator",
            ids.ChangeId(str(self.version)),
        )
        answer: Any = self.publisher.publish(change)
        self.version = answer.result.ok.version

    def time_until_reached(self, required_nodes: int) -> float:
        """Returns the seconds until enough nodes have the latest version."""
        start_s = self.scheduler.now_s
        self.scheduler.run_until(
            start_s + TIMEOUT_S, lambda: self.count_reached() >= required_nodes
        )
        return self.scheduler.now_s - start_s

    def count_reached(self) -> int:
        """Returns the number of nodes with the latest version."""
        return self.versions_in_force.count(self.version)

    def run_for(self, duration_s: float) -> None:
        """Advances the virtual clock."""
        self.scheduler.run_until(self.scheduler.now_s + duration_s)


def measure_fleet(
    nodes: int, cut_off_domains: int, *, uses_peers: bool
) -> RunResult:
    """Runs one fleet and returns its results."""
    fleet = Fleet(nodes, cut_off_domains, uses_peers=uses_peers)
    fleet.publish(
        {_file_name(number): b"x" * FILE_BYTES for number in range(FILE_COUNT)}
    )
    fleet.run_for(WARM_UP_S)
    before = (
        fleet.network_model.sent_bytes,
        fleet.injector.operation_counts.total(),
    )
    cpu_s = time.process_time()
    fleet.run_for(QUIET_S)
    cpu_share = (time.process_time() - cpu_s) / QUIET_S / nodes
    quiet_bytes_per_s = (
        (fleet.network_model.sent_bytes - before[0]) / QUIET_S / nodes
    )
    reads_per_s = (
        fleet.injector.operation_counts.total() - before[1]
    ) / QUIET_S
    times_s, change_bytes, reached = [], [], nodes
    # Without peers a domain that is cut off receives no change, so the time
    # is measured over the others.
    required_nodes = (
        nodes if uses_peers else nodes - _count_cut_off(nodes, cut_off_domains)
    )
    for number in range(CHANGE_COUNT):
        start_s, sent_before_bytes = (
            fleet.scheduler.now_s,
            fleet.network_model.sent_bytes,
        )
        fleet.publish({_file_name(number): b"%03d" % number * 100})
        times_s.append(fleet.time_until_reached(required_nodes))
        fleet.run_for(5.0 + fleet.random.random())
        reached = min(reached, fleet.count_reached())
        elapsed_s = fleet.scheduler.now_s - start_s
        bytes_sent = (
            fleet.network_model.sent_bytes - sent_before_bytes
        ) / nodes
        change_bytes.append(
            max(0.0, bytes_sent - quiet_bytes_per_s * elapsed_s)
        )
    times_s.sort()
    bytes_per_change = sum(change_bytes) / len(change_bytes)
    return RunResult(
        way="spread" if uses_peers else "every node polls",
        nodes=nodes,
        cut_off_domains=cut_off_domains,
        worst_s=round(times_s[-1], 3),
        median_s=round(times_s[len(times_s) // 2], 3),
        reached=round(reached / nodes, 3),
        reads_per_s=round(reads_per_s, 1),
        quiet_bytes_per_s=round(quiet_bytes_per_s),
        change_bytes=round(bytes_per_change),
        total_bytes_per_s=round(
            quiet_bytes_per_s + bytes_per_change * CHANGES_PER_DAY / 86400
        ),
        quiet_cpu_share=round(cpu_share, 5),
    )


def _file_name(number: int) -> ids.IntentFileName:
    return ids.IntentFileName(f"{number:03}.toml")


def _count_cut_off(nodes: int, cut_off_domains: int) -> int:
    return sum(index % DOMAIN_COUNT < cut_off_domains for index in range(nodes))


def main(arguments: list[str]) -> None:
    """Prints the results as a table and as JSON."""
    sizes = [int(argument) for argument in arguments] or NODE_COUNTS
    results = [
        measure_fleet(nodes, cut_off_domains, uses_peers=uses_peers)
        for nodes in sizes
        for cut_off_domains in (0, 1)
        for uses_peers in (True, False)
    ]
    names = [field.name for field in dataclasses.fields(RunResult)]
    print(" | ".join(names))
    for result in results:
        print(" | ".join(str(getattr(result, name)) for name in names))
    print(json.dumps([dataclasses.asdict(result) for result in results]))


if __name__ == "__main__":
    main(sys.argv[1:])
