"""Growth of the quota costs with customers, shards and calls.

Run with `python -m measure.quota_slopes`. Messages are encoded and counted on
a virtual clock. Processor time is that of this process, including the fake
network and clock, so it is an upper bound.
"""

from __future__ import annotations

from collections.abc import Callable
import gc
import json
import sys
import time
import tracemalloc
from typing import Any

import msgspec
from thrift import TSerialization
from thrift.protocol import TBinaryProtocol

from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import shares
from cyclamendale.quotas import token_cache
from tests.support import quota_fleet

STEP_S = 0.005
DURATION_S = 10.0
FRAME_OVERHEAD_BYTES = 16
"""Allowance for the length, kind and call id of a frame."""

_PROTOCOL = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()


class Sample(msgspec.Struct, frozen=True):
    """Measured values at one size."""

    size: int
    values: dict[str, float]


def encoded_bytes(message: Any) -> int:
    """Returns the size of a message on the wire."""
    return (
        len(TSerialization.serialize(message, _PROTOCOL)) + FRAME_OVERHEAD_BYTES
    )


def fit_line(samples: list[Sample], name: str) -> tuple[float, float]:
    """Returns the least-squares slope and intercept over the sizes."""
    sizes = [sample.size for sample in samples]
    values = [sample.values[name] for sample in samples]
    mean_size = sum(sizes) / len(sizes)
    mean = sum(values) / len(values)
    variance = sum((size - mean_size) ** 2 for size in sizes)
    covariance = sum(
        (size - mean_size) * (value - mean)
        for size, value in zip(sizes, values, strict=True)
    )
    return covariance / variance, mean - covariance / variance * mean_size


class MessageCounter:
    """Counts the requests of one node, and the bytes in both directions."""

    def __init__(self, node: quota_fleet.FleetNode) -> None:
        self.messages = 0
        self.bytes = 0
        self._request = node.peer.request
        node.peer.request = self.request

    def request(self, peer, kind, message, reply_type, timeout_s):  # noqa: ANN001, ANN201
        """Counts a request and its reply."""
        self.messages += 1
        self.bytes += encoded_bytes(message)
        answer = self._request(peer, kind, message, reply_type, timeout_s)
        return answer.addCallback(self._count_reply)

    def _count_reply(self, result):  # noqa: ANN001, ANN202
        if result.is_ok():
            self.bytes += encoded_bytes(result.ok)
        return result


def make_fleet(
    customers: int, shard_count: int, rate_per_s: float, nodes: int = 2
) -> quota_fleet.QuotaFleet:
    """Returns a fleet of one failure domain whose leases are all held."""
    configuration = quota_fleet.make_configuration(
        customers=[
            (f"customer-{index}", rate_per_s, rate_per_s)
            for index in range(customers)
        ],
        domains=[("east", 1.0)],
        quota_shards=shard_count,
    )
    fleet = quota_fleet.QuotaFleet(configuration)
    for _ in range(nodes):
        fleet.add("east")
    fleet.run(3.0, STEP_S)
    return fleet


def add_client(fleet: quota_fleet.QuotaFleet) -> quota_fleet.FleetNode:
    """Adds and returns a node that holds no lease."""
    node = fleet.add("east")
    fleet.run(1.0, STEP_S)
    return node


def measure_per_customer(size: int) -> Sample:
    """Measures a node with `size` customers at five calls a second each."""
    fleet = make_fleet(size, 8, 50.0)
    node = add_client(fleet)
    counter = MessageCounter(node)
    calls_per_step = size * 5.0 * STEP_S
    due_calls = 0.0
    sent_calls = 0
    started_s = time.process_time()
    for _ in range(round(DURATION_S / STEP_S)):
        due_calls += calls_per_step
        while sent_calls < due_calls:
            node.ask(f"customer-{sent_calls % size}")
            sent_calls += 1
        fleet.reactor.advance(STEP_S)
    cpu_used_s = time.process_time() - started_s
    return Sample(
        size,
        {
            "messages_per_s": counter.messages / DURATION_S,
            "bytes_per_s": counter.bytes / DURATION_S,
            "processor_ms_per_s": 1000 * cpu_used_s / DURATION_S,
        },
    )


def measure_per_shard(size: int) -> Sample:
    """Measures two idle nodes that hold `size` leases."""
    fleet = make_fleet(8, size, 50.0)
    writes, reads = fleet.table.writes, fleet.table.reads
    started_s = time.process_time()
    fleet.run(60.0, 0.02)
    cpu_used_s = time.process_time() - started_s
    row_bytes = sum(len(row.value) for row in fleet.table.rows.values())
    return Sample(
        size,
        {
            "table_writes_per_s": (fleet.table.writes - writes) / 60.0,
            "table_reads_per_s": (fleet.table.reads - reads) / 60.0,
            "table_bytes": row_bytes,
            "processor_ms_per_s": 1000 * cpu_used_s / 60.0,
        },
    )


def measure_per_call(size: int) -> Sample:
    """Measures a node with `size` calls a second of one customer."""
    fleet = make_fleet(1, 1, size * 1.5)
    node = add_client(fleet)
    counter = MessageCounter(node)
    due_calls = 0.0
    sent_calls = 0
    started_s = time.process_time()
    for _ in range(round(DURATION_S / STEP_S)):
        due_calls += size * STEP_S
        while sent_calls < due_calls:
            node.ask("customer-0")
            sent_calls += 1
        fleet.reactor.advance(STEP_S)
    cpu_used_s = time.process_time() - started_s
    refused = len(fleet.refused["customer-0"])
    return Sample(
        size,
        {
            "messages_per_s": counter.messages / DURATION_S,
            "bytes_per_s": counter.bytes / DURATION_S,
            "processor_ms_per_s": 1000 * cpu_used_s / DURATION_S,
            "refused": refused,
        },
    )


def measure_hot_admit(size: int) -> Sample:
    """Measures one admission with tokens available, for `size` customers."""
    fleet = make_fleet(size, 1, 50.0, nodes=1)
    node = fleet.nodes[0]
    names = [f"customer-{index}" for index in range(size)]
    calls = 100_000
    for name in names:
        tokens = node.quotas._drawer.get_tokens(name)
        grant = ttypes.QuotaGrant(0, 0, 1, 1, calls, 10**12)
        tokens.add(node.member.node, grant, 0.0)
    admit = node.quotas.admit
    admitted = 0
    started_s = time.perf_counter()
    for call in range(calls):
        admitted += admit(names[call % size], 1.0) is None
    elapsed_s = time.perf_counter() - started_s
    assert admitted == calls
    return Sample(size, {"microseconds_per_call": 1e6 * elapsed_s / calls})


def measure_refused_admit(size: int) -> Sample:
    """Measures one refusal of a customer without tokens."""
    fleet = make_fleet(size, 1, 0.001, nodes=1)
    node = fleet.nodes[0]
    names = [f"customer-{index}" for index in range(size)]
    for name in names:
        for _ in range(3):
            node.ask(name)
    fleet.run(0.05, STEP_S)
    calls = 20_000
    started_s = time.perf_counter()
    for call in range(calls):
        admit = node.quotas.admit(names[call % size], 1.0)
        assert admit is not None
    elapsed_s = time.perf_counter() - started_s
    return Sample(size, {"microseconds_per_call": 1e6 * elapsed_s / calls})


def measure_memory(size: int) -> Sample:
    """Measures the memory of `size` customers at their holder and a node."""
    fleet = make_fleet(1, 1, 50.0, nodes=1)
    configuration = make_configuration(size)
    gc.collect()
    tracemalloc.start()
    fleet.replace(configuration)
    gc.collect()
    holder_bytes = tracemalloc.get_traced_memory()[0]
    caches = [
        token_cache.CustomerTokens(name, lambda tokens: None)
        for name in configuration.customers
    ]
    for cache in caches:
        cache.add("", ttypes.QuotaGrant(0, 0, 1, 1, 5, 10**6), 0.0)
    gc.collect()
    node_bytes = tracemalloc.get_traced_memory()[0] - holder_bytes
    tracemalloc.stop()
    return Sample(
        size,
        {"holder_bytes": float(holder_bytes), "node_bytes": float(node_bytes)},
    )


def make_configuration(customers: int) -> quota_fleet.model.Configuration:
    """Returns a configuration with all customers in one shard."""
    return quota_fleet.make_configuration(
        2,
        [(f"customer-{index}", 50.0, 50.0) for index in range(customers)],
        [("east", 1.0)],
        quota_shards=1,
    )


MEASUREMENTS: dict[str, tuple[Callable[[int], Sample], tuple[int, ...]]] = {
    "customer": (measure_per_customer, (10, 50, 100, 200)),
    "shard": (measure_per_shard, (4, 8, 16, 32)),
    "call": (measure_per_call, (50, 200, 500, 1000)),
    "hot admit": (measure_hot_admit, (1, 10, 100, 1000)),
    "refused admit": (measure_refused_admit, (1, 10, 100, 1000)),
    "memory of a customer": (measure_memory, (100, 500, 1000, 2000)),
}


def main() -> int:
    """Runs all measurements; prints tables, slopes and JSON."""
    results: dict[str, Any] = {"share_units": shares.SHARE_UNITS}
    for title, (measure, sizes) in MEASUREMENTS.items():
        samples = [measure(size) for size in sizes]
        print(f"\nper {title}")
        for name in samples[0].values:
            values = "".join(
                f"{sample.size:>7}: {sample.values[name]:<12.4g}"
                for sample in samples
            )
            slope, intercept = fit_line(samples, name)
            print(f"{name:24}{values} slope {slope:.4g} + {intercept:.4g}")
        results[title] = msgspec.to_builtins(samples)
    print(json.dumps(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
