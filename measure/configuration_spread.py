"""Models how long a change takes to be in force on all nodes.

Real controllers run on a virtual clock over a modelled network and
platform: 7 failure domains in 2 regions, whole and with one domain cut
off from the platform only. The baseline is nodes that each poll the
platform every second and do not talk to each other.

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
from measure import _configuration_model as virtual

NODES = (10, 40, 160, 1100)
DOMAINS = 7
PLATFORM_LATENCY_S = 0.005
FILES = 200
FILE_BYTES = 300
CHANGES = 10
WARM_UP_S = 60.0
"""Time after which the rare polls of the nodes are spread out."""

QUIET_S = 30.0
GIVE_UP_S = 60.0
CHANGES_PER_DAY = 3500
SEED = 1


@dataclasses.dataclass
class Figures:
    """Figures of one run."""

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
        self, nodes: int, cut_off_domains: int, *, spreads: bool
    ) -> None:
        self.scheduler = virtual.Scheduler()
        self.clock = clocks.ReactorClock(self.scheduler)
        self.random = random.Random(SEED)
        self.rows, self.objects = states.TableState(), states.ObjectState()
        self.injector = faults.FaultInjector()
        down = faults.FaultInjector()
        down.set_rules([faults.FaultRule(faults.Fault.DOWN)])
        addresses = [
            ids.PeerAddress(f"10.{n // 250}.{n % 250}.1:7000")
            for n in range(nodes)
        ]
        domains = {a: n % DOMAINS for n, a in enumerate(addresses)}
        self.wires = virtual.Wires(self.clock, domains)
        members = [
            directories.Member(
                ids.NodeId(f"{address}#1"),
                address,
                ids.FailureDomainName(str(domains[address])),
                1,
            )
            for address in addresses
        ]
        self.in_force = [0] * nodes
        for n, member in enumerate(members):
            is_cut = domains[member.address] < cut_off_domains
            known = members if spreads else [member]
            injector = down if is_cut else self.injector
            self.start_node(n, virtual.Members(member, known), injector)
        self.publisher = publisher.make_publisher(
            *self.link(faults.FaultInjector(), 0.0),
            self.clock,
            self.random,
            lambda files: Ok(files),
        )
        self.version = ids.ConfigVersion(0)

    def link(
        self, injector: faults.FaultInjector, latency_s: float
    ) -> tuple[memory.MemoryTable, memory.MemoryObjectStore]:
        """Returns one process's way to the platform."""
        return (
            memory.make_memory_table(
                self.clock, injector, self.rows, latency_s
            ),
            memory.make_memory_object_store(
                self.clock, injector, self.objects, latency_s
            ),
        )

    def start_node(
        self, n: int, members: virtual.Members, injector: faults.FaultInjector
    ) -> None:
        """Starts a node at a random time of the first second."""
        own = members.own()
        hlc = events.HybridLogicalClock(self.clock)
        rows, objects = self.link(injector, PLATFORM_LATENCY_S)
        controller = configuration.make_configuration_controller(
            configuration.Dependencies(
                rows=rows,
                objects=objects,
                peers=virtual.Peer(self.wires, own.address),
                directory=members,
                clock=self.clock,
                rng=random.Random(n),
                merge=lambda files, version: Ok(
                    model.Configuration(version=version)
                ),
                event_log=events.EventLog(own.node, hlc, capacity=4),
            )
        )
        controller.subscribe(
            lambda current: self.in_force.__setitem__(n, current.version)
        )
        self.clock.call_later(self.random.random(), controller.start)

    def publish(self, puts: dict[ids.IntentFileName, bytes]) -> None:
        """Publishes a change; takes no virtual time."""
        change = changes.Change(
            self.version,
            puts,
            frozenset(),
            "operator",
            ids.ChangeId(str(self.version)),
        )
        answer: Any = self.publisher.publish(change)
        self.version = answer.result.ok.version

    def seconds_to_all(self, wanted: int) -> float:
        """Runs until that many nodes have the latest version."""
        start_s = self.scheduler.now_s
        self.scheduler.run_until(
            start_s + GIVE_UP_S, lambda: self.reached() >= wanted
        )
        return self.scheduler.now_s - start_s

    def reached(self) -> int:
        """Returns how many nodes have the latest version."""
        return self.in_force.count(self.version)

    def run_for(self, duration_s: float) -> None:
        """Lets virtual time pass."""
        self.scheduler.run_until(self.scheduler.now_s + duration_s)


def run(nodes: int, cut_off_domains: int, *, spreads: bool) -> Figures:
    """Runs one fleet; returns its figures."""
    fleet = Fleet(nodes, cut_off_domains, spreads=spreads)
    fleet.publish({_file(number): b"x" * FILE_BYTES for number in range(FILES)})
    fleet.run_for(WARM_UP_S)
    before = fleet.wires.sent_bytes, fleet.injector.operation_counts.total()
    cpu_s = time.process_time()
    fleet.run_for(QUIET_S)
    cpu_share = (time.process_time() - cpu_s) / QUIET_S / nodes
    quiet_bytes = (fleet.wires.sent_bytes - before[0]) / QUIET_S / nodes
    reads = (fleet.injector.operation_counts.total() - before[1]) / QUIET_S
    times, change_bytes, reached = [], [], nodes
    # Without peers a domain that is cut off hears nothing, so the time
    # is that of the others.
    wanted = nodes if spreads else nodes - _cut_off(nodes, cut_off_domains)
    for number in range(CHANGES):
        start_s, sent = fleet.scheduler.now_s, fleet.wires.sent_bytes
        fleet.publish({_file(number): b"%03d" % number * 100})
        times.append(fleet.seconds_to_all(wanted))
        fleet.run_for(5.0 + fleet.random.random())
        reached = min(reached, fleet.reached())
        passed_s = fleet.scheduler.now_s - start_s
        sent_bytes = (fleet.wires.sent_bytes - sent) / nodes
        change_bytes.append(max(0.0, sent_bytes - quiet_bytes * passed_s))
    times.sort()
    per_change = sum(change_bytes) / len(change_bytes)
    return Figures(
        way="spread" if spreads else "every node polls",
        nodes=nodes,
        cut_off_domains=cut_off_domains,
        worst_s=round(times[-1], 3),
        median_s=round(times[len(times) // 2], 3),
        reached=round(reached / nodes, 3),
        reads_per_s=round(reads, 1),
        quiet_bytes_per_s=round(quiet_bytes),
        change_bytes=round(per_change),
        total_bytes_per_s=round(
            quiet_bytes + per_change * CHANGES_PER_DAY / 86400
        ),
        quiet_cpu_share=round(cpu_share, 5),
    )


def _file(number: int) -> ids.IntentFileName:
    return ids.IntentFileName(f"{number:03}.toml")


def _cut_off(nodes: int, cut_off_domains: int) -> int:
    return sum(n % DOMAINS < cut_off_domains for n in range(nodes))


def main(arguments: list[str]) -> None:
    """Prints a table and then the same figures as JSON."""
    sizes = [int(argument) for argument in arguments] or NODES
    results = [
        run(nodes, cut_off_domains, spreads=spreads)
        for nodes in sizes
        for cut_off_domains in (0, 1)
        for spreads in (True, False)
    ]
    names = [field.name for field in dataclasses.fields(Figures)]
    print(" | ".join(names))
    for result in results:
        print(" | ".join(str(getattr(result, name)) for name in names))
    print(json.dumps([dataclasses.asdict(result) for result in results]))


if __name__ == "__main__":
    main(sys.argv[1:])
