"""Cost and speed of the membership protocol by number of members.

Runs the protocol with its production encoding and authentication on a virtual
clock, without sockets. The cost of a UDP port is measured separately.

Usage: python -m measure.membership_slopes [--sizes 25,50,...] [--json FILE]
"""

from __future__ import annotations

import argparse
import datetime
import functools
import gc
import json
import os
import random
import subprocess
import sys
import time
import tracemalloc
from typing import Any

from twisted.internet import reactor

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.membership import link
from cyclamendale.membership import member_list
from cyclamendale.membership import protocol as protocols
from cyclamendale.membership import udp
from tests.support import fake_members

SIZES = (25, 50, 100, 200, 400)
DOMAINS = tuple("abcdefg")
STABLE_S = 20.0
LOSSY_S = 60.0
LEAVE_COUNT = 10
CRASH_COUNT = 3
PARTITION_S = 60.0
UDP_IP_HEADER_BYTES = 28
UDP_DATAGRAM_COUNT = 20_000


class MeasuredMember(fake_members.FakeMember):
    """Member that measures its processor time."""

    def __init__(self, cluster: Any, own: directory.Member) -> None:
        self.cpu_s = 0.0
        super().__init__(cluster, own)

    def receive(self, data: bytes) -> None:
        """Receives a datagram and adds the processor time used."""
        started_s = time.thread_time()
        super().receive(data)
        self.cpu_s += time.thread_time() - started_s

    def _tick(self) -> None:
        started_s = time.thread_time()
        super()._tick()
        self.cpu_s += time.thread_time() - started_s


class MeasuredCluster(fake_members.FakeCluster):
    """Cluster of measured members."""

    member_type = MeasuredMember


class Totals:
    """Sums over the running members at one point in time."""

    def __init__(self, cluster: MeasuredCluster) -> None:
        self.taken_at_s = cluster.clock.now_s()
        members = list(cluster.running.values())
        self.members = len(members)
        self.datagrams = sum(
            m.link.counters.sent + m.link.counters.received for m in members
        )
        self.bytes = self.datagrams * UDP_IP_HEADER_BYTES + sum(
            m.link.counters.sent_bytes
            + m.link.counters.received_bytes
            + 2 * m.sync.bytes_sent
            for m in members
        )
        self.cpu_s = sum(m.cpu_s for m in members)


def start_settled(size: int, seed: int = 1) -> MeasuredCluster:
    """Returns a cluster whose members know each other from the start."""
    cluster = MeasuredCluster(seed)
    upstream = fake_members.announcement()
    for number in range(size):
        address = f"10.0.{number // 250}.{number % 250}:700"
        cluster.add(address, DOMAINS[number % len(DOMAINS)], upstream)
    entries = [m.members.own() for m in cluster.running.values()]
    for member in cluster.running.values():
        for entry in entries:
            if entry.address != member.address:
                member.members.put(entry, 0.0)
    cluster.run(30)
    return cluster


def rate_per_node(before: Totals, after: Totals, field: str) -> float:
    """Returns the growth of a total per member and second."""
    growth = getattr(after, field) - getattr(before, field)
    return growth / before.members / (after.taken_at_s - before.taken_at_s)


def measure_stable(cluster: MeasuredCluster) -> dict[str, float]:
    """Measures the cost while no member changes."""
    before = Totals(cluster)
    cluster.run(STABLE_S)
    after = Totals(cluster)
    return {
        "datagrams_per_s": rate_per_node(before, after, "datagrams"),
        "bytes_per_s": rate_per_node(before, after, "bytes"),
        "processor_us_per_s": 1e6 * rate_per_node(before, after, "cpu_s"),
    }


def measure_leaves(cluster: MeasuredCluster) -> dict[str, float]:
    """Measures how fast a leave is known and its cost for each node."""
    stable_before = Totals(cluster)
    cluster.run(STABLE_S)
    before = Totals(cluster)
    stable_bytes_per_s = rate_per_node(stable_before, before, "bytes")
    times_s = []
    members = list(cluster.running.values())
    for member in members[:LEAVE_COUNT]:
        member.protocol.set_leaving()
        is_known = functools.partial(
            _is_leaving_for_all, cluster, member.address
        )
        times_s.append(cluster.run_until(is_known, 30, 0.1) or float("inf"))
        cluster.run(5)
    after = Totals(cluster)
    extra_bytes_per_s = (
        rate_per_node(before, after, "bytes") - stable_bytes_per_s
    )
    return {
        "leave_known_mean_s": sum(times_s) / len(times_s),
        "leave_known_max_s": max(times_s),
        "bytes_per_change": extra_bytes_per_s
        * (after.taken_at_s - before.taken_at_s)
        / LEAVE_COUNT,
    }


def measure_loss(cluster: MeasuredCluster) -> dict[str, float]:
    """Counts suspicions and deaths of healthy members at 1% packet loss."""
    observer = next(iter(cluster.running.values()))
    states = []
    observer.members.subscribe(lambda member: states.append(member.state))
    cluster.loss = 0.01
    cluster.run(LOSSY_S)
    cluster.loss = 0.0
    return {
        "false_suspicions_per_h": states.count(directory.MemberState.SUSPECT)
        * 3600
        / LOSSY_S,
        "false_deaths": states.count(directory.MemberState.DEAD),
    }


def measure_crashes(cluster: MeasuredCluster) -> dict[str, float]:
    """Measures the time until all members know of a crash."""
    times_s = []
    for _ in range(CRASH_COUNT):
        crashed = cluster.rng.choice(list(cluster.running.values()))
        cluster.crash(crashed)
        is_known = functools.partial(_is_dead_for_all, cluster, crashed.address)
        times_s.append(cluster.run_until(is_known, 120, 0.1) or float("inf"))
    return {
        "crash_known_mean_s": sum(times_s) / len(times_s),
        "crash_known_max_s": max(times_s),
    }


def measure_heal(cluster: MeasuredCluster) -> dict[str, float]:
    """Measures the time until members agree after a network partition.

    One failure domain is cut off for `PARTITION_S`.
    """
    cluster.cut_off(DOMAINS[0])
    cluster.run(PARTITION_S)
    cluster.cuts.clear()
    before = Totals(cluster)
    heal_s = cluster.run_until(cluster.agrees, 300, 0.5)
    after = Totals(cluster)
    return {
        "heal_s": heal_s or float("inf"),
        "heal_bytes_per_s": rate_per_node(before, after, "bytes"),
    }


def measure_memory(size: int) -> dict[str, float]:
    """Measures the memory of one node that knows `size` members."""
    clock = clocks.ReactorClock(fake_members.VirtualReactor())
    gc.collect()
    tracemalloc.start()
    protocol = protocols.Protocol(
        clock,
        random.Random(1),
        _make_member(0),
        _NullSender(),
        lambda peer: None,
    )
    for number in range(1, size):
        protocol.apply_synced(
            [member_list.Record(_make_member(number), 0.0).encoded]
        )
    protocol.members.targets(ids.ServiceName("orders"))
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"memory_kb": size_bytes / 1024}


def measure_port() -> dict[str, float]:
    """Measures the processor time of a datagram over a UDP port."""
    received = []
    sender = udp.UdpPort(reactor, "127.0.0.1", 0)
    receiver = udp.UdpPort(reactor, "127.0.0.1", 0)
    sender.open(received.append)
    receiver.open(received.append)
    target = ids.PeerAddress(f"127.0.0.1:{receiver.port}")
    data = b"x" * 150

    def send(remaining: int) -> None:
        if remaining == 0:
            reactor.callLater(0.1, reactor.stop)
            return
        for _ in range(20):
            sender.transmit(target, data)
        reactor.callLater(0, send, remaining - 20)

    reactor.callLater(0, send, UDP_DATAGRAM_COUNT)
    started_s = time.process_time()
    reactor.run()
    cpu_used_s = time.process_time() - started_s
    return {
        "port_us_per_datagram": 1e6 * cpu_used_s / len(received),
        "port_lost": UDP_DATAGRAM_COUNT - len(received),
    }


def _is_leaving_for_all(cluster: Any, address: ids.PeerAddress) -> bool:
    return all(
        member.members.record(address).member.leaving
        for member in cluster.running.values()
    )


def _is_dead_for_all(cluster: Any, address: ids.PeerAddress) -> bool:
    return not any(
        member_list.is_live(member.members.record(address).member)
        for member in cluster.running.values()
    )


class _NullSender(link.DatagramSender):
    def send(self, receiver: ids.PeerAddress, datagram: Any) -> None:
        """Sends nothing."""


def _make_member(number: int) -> directory.Member:
    node = ids.NodeId(f"10.0.{number // 250}.{number % 250}:700#{number:012x}")
    return directory.Member(
        node=node,
        address=ids.address_of(node),
        failure_domain=ids.FailureDomainName(DOMAINS[number % len(DOMAINS)]),
        incarnation=1,
        upstream=fake_members.announcement(),
    )


def measure_size(size: int, with_heal: bool) -> dict[str, float]:
    """Returns all results for one number of members."""
    started_s = time.monotonic()
    results: dict[str, float] = {"members": size}
    cluster = start_settled(size)
    results |= measure_stable(cluster)
    results |= measure_leaves(cluster)
    results |= measure_loss(cluster)
    results |= measure_crashes(cluster)
    if with_heal:
        results |= measure_heal(cluster)
    results |= measure_memory(size)
    results["wall_s"] = time.monotonic() - started_s
    return results


def main(arguments: list[str]) -> None:
    """Measures all sizes; prints the results and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--heal-up-to", type=int, default=400)
    parser.add_argument("--json", default="")
    options = parser.parse_args(arguments)
    rows = []
    for size in map(int, options.sizes.split(",")):
        row = measure_size(size, size <= options.heal_up_to)
        rows.append(row)
        for name, value in row.items():
            print(f"{name:24} {value:12.2f}", flush=True)
        print()
    result = {
        "date": datetime.datetime.now(datetime.UTC).isoformat("T", "seconds"),
        "commit": _describe_commit(),
        "processors": os.cpu_count(),
        "sizes": rows,
        "port": measure_port(),
    }
    print(json.dumps(result))
    if options.json:
        with open(options.json, "w") as file:
            json.dump(result, file, indent=1)


def _describe_commit() -> str:
    completed = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    )
    return completed.stdout.strip()


if __name__ == "__main__":
    main(sys.argv[1:])
