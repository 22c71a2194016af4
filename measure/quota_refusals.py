"""Refusals of customers that stay within their rate and burst.

Runs on a virtual clock: `python -m measure.quota_refusals`. All policies get
the same requests, which conform to the rate and burst of each customer.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterator
import json
import random
import sys

import msgspec

from cyclamendale import refusals
from cyclamendale.quotas import lease
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import token_bucket
from tests.support import quota_fleet

STEP_S = 0.004
DOMAINS = ("north", "south", "west")
NODES_PER_DOMAIN = 4
SHARDS = 4
RATE_AND_BURST = (
    ("c0", 120.0, 120.0),
    ("c1", 60.0, 60.0),
    ("c2", 30.0, 45.0),
    ("c3", 20.0, 20.0),
    ("c4", 10.0, 20.0),
    ("c5", 5.0, 10.0),
    ("c6", 2.0, 4.0),
    ("c7", 1.0, 5.0),
)
"""Name, rate per second and burst of eight customers, a few of them large."""


class Arrival(msgspec.Struct, frozen=True, order=True):
    """One request of a customer at one node."""

    at_s: float
    customer: str
    node: int


class Outcome(msgspec.Struct):
    """Requests and refusals under one policy."""

    requests: int = 0
    refused: int = 0
    worst_customer: float = 0.0

    @property
    def refused_share(self) -> float:
        """Returns the refused share of all requests."""
        return self.refused / max(1, self.requests)


class Scenario(msgspec.Struct, frozen=True):
    """A load, and a fault that occurs under it.

    Attributes:
        name: Name in the printed table.
        load: Offered request rate relative to the rate of each customer.
        fault: "none", "crash" or "outage".
        begin_s: Start of counting, from the time of the fault.
        end_s: End of counting, from the time of the fault.
        retained_share: Share that a holder retains when its lease lapses.
    """

    name: str
    load: float
    fault: str = "none"
    begin_s: float = 10.0
    end_s: float = 70.0
    retained_share: float = 0.75


def generate_arrivals(
    load: float, seconds: float, rng: random.Random
) -> list[Arrival]:
    """Returns Poisson arrivals, without those that exceed rate or burst.

    Each customer sends half of its requests to one failure domain and spreads
    the others evenly over all nodes.
    """
    nodes = len(DOMAINS) * NODES_PER_DOMAIN
    arrivals = []
    for index, (name, rate_per_s, burst) in enumerate(RATE_AND_BURST):
        level, at_s, last_s = burst, 0.0, 0.0
        while True:
            at_s += rng.expovariate(rate_per_s * load)
            if at_s >= seconds:
                break
            level = min(burst, level + (at_s - last_s) * rate_per_s)
            last_s = at_s
            if level < 1:
                continue
            level -= 1
            node = rng.randrange(nodes)
            if rng.random() < 0.5:
                home_domain = index % len(DOMAINS)
                node = node % NODES_PER_DOMAIN * len(DOMAINS) + home_domain
            arrivals.append(Arrival(at_s, name, node))
    return sorted(arrivals)


def make_configuration(
    retained_share: float,
) -> quota_fleet.model.Configuration:
    """Returns the configuration of the simulated fleet."""
    return quota_fleet.make_configuration(
        customers=RATE_AND_BURST,
        domains=[(name, 1.0) for name in DOMAINS],
        quota_shards=SHARDS,
        retained_share=retained_share,
    )


def run_fleet(scenario: Scenario, requests: list[Arrival]) -> Outcome:
    """Simulates the policy of the project."""
    fleet = quota_fleet.QuotaFleet(
        make_configuration(scenario.retained_share), seed=7, delay_s=0.0005
    )
    for index in range(len(DOMAINS) * NODES_PER_DOMAIN):
        fleet.add(DOMAINS[index % len(DOMAINS)])
    fleet.run(5.0, STEP_S)
    start_s = fleet.reactor.seconds()
    _apply_fault(fleet, scenario.fault)
    if scenario.begin_s > 60:
        fleet.run(scenario.begin_s - 30.0, 0.1)
        skipped_s = scenario.begin_s - 30.0
    else:
        skipped_s = 0.0
    nodes = list(fleet.nodes)
    counts_by_customer: dict[str, list[int]] = {}
    for arrival in requests:
        if arrival.at_s < skipped_s:
            continue
        while fleet.reactor.seconds() - start_s < arrival.at_s:
            fleet.reactor.advance(STEP_S)
        node = nodes[arrival.node]
        if node.clock.dead:
            node = nodes[(arrival.node + len(DOMAINS)) % len(nodes)]
        is_counted = arrival.at_s >= scenario.begin_s
        _admit(node, arrival.customer, is_counted, counts_by_customer)
    fleet.run(2.0, STEP_S)
    return _summarise(counts_by_customer)


def _admit(
    node: quota_fleet.FleetNode,
    customer: str,
    is_counted: bool,
    counts_by_customer: dict[str, list[int]],
) -> None:
    def record_result(refusal: refusals.Refusal | None) -> None:
        if is_counted:
            counts = counts_by_customer.setdefault(customer, [0, 0])
            counts[0] += 1
            counts[1] += refusal is not None

    result = node.quotas.admit(customer, node.clock.now_s() + 1.0)
    if result is None or isinstance(result, refusals.Refusal):
        record_result(result)
    else:
        result.addCallback(record_result)


def _summarise(counts_by_customer: dict[str, list[int]]) -> Outcome:
    return Outcome(
        sum(total for total, _ in counts_by_customer.values()),
        sum(refused for _, refused in counts_by_customer.values()),
        max(
            (refused / total for total, refused in counts_by_customer.values()),
            default=0.0,
        ),
    )


def _apply_fault(fleet: quota_fleet.QuotaFleet, fault: str) -> None:
    if fault == "outage":
        fleet.table.down = True
    elif fault == "crash":
        held: dict[str, int] = {}
        for key, row in fleet.table.rows.items():
            if key.startswith(shard_row.LEASE_PREFIX):
                holder = shard_row.decode_row(row.value).ok.holder
                held[holder] = held.get(holder, 0) + 1
        crashed_holder = max(held, key=lambda holder: held[holder])
        for node in fleet.nodes:
            if node.member.node == crashed_holder:
                node.crash()


def run_static(scenario: Scenario, requests: list[Arrival]) -> Outcome:
    """Simulates an equal, fixed division of each quota among the nodes."""
    nodes = len(DOMAINS) * NODES_PER_DOMAIN
    limits = {
        name: token_bucket.BucketLimits(rate_per_s / nodes, burst / nodes)
        for name, rate_per_s, burst in RATE_AND_BURST
    }
    return _run_buckets(
        requests, scenario, limits, lambda arrival: arrival.node
    )


def run_central(scenario: Scenario, requests: list[Arrival]) -> Outcome:
    """Simulates one holder of all quotas; it stops when its lease lapses.

    After a crash, a successor starts with empty buckets after one and a
    quarter lease durations. In a store outage of minutes, no node can take
    over.
    """
    limits = {
        name: token_bucket.BucketLimits(
            rate_per_s / (1 + token_bucket.MAX_CLOCK_DRIFT), burst
        )
        for name, rate_per_s, burst in RATE_AND_BURST
    }
    settings = lease.LeaseSettings()
    down_until_s = {
        "none": 0.0,
        "crash": settings.lease_duration_s * settings.takeover_factor,
        "outage": scenario.end_s,
    }[scenario.fault]
    return _run_buckets(
        requests, scenario, limits, lambda arrival: 0, down_until_s
    )


def _run_buckets(
    requests: list[Arrival],
    scenario: Scenario,
    limits: dict[str, token_bucket.BucketLimits],
    bucket_index: Callable[[Arrival], int],
    down_until_s: float = 0.0,
) -> Outcome:
    buckets: dict[tuple[str, int], token_bucket.TokenBucket] = {}
    counts_by_customer: dict[str, list[int]] = {}
    for arrival in requests:
        key = (arrival.customer, bucket_index(arrival))
        if key not in buckets:
            limit = limits[arrival.customer]
            level = 0.0 if down_until_s else limit.capacity
            buckets[key] = token_bucket.TokenBucket(limit, level, down_until_s)
        is_up = arrival.at_s >= down_until_s
        taken = is_up and buckets[key].take(1, arrival.at_s) is not None
        if arrival.at_s >= scenario.begin_s:
            counts = counts_by_customer.setdefault(arrival.customer, [0, 0])
            counts[0] += 1
            counts[1] += not taken
    return _summarise(counts_by_customer)


POLICIES = {
    "shared": run_fleet,
    "static": run_static,
    "central": run_central,
}


def generate_scenarios(quick: bool) -> Iterator[Scenario]:
    """Yields the scenarios; `quick` leaves out those of the retained share."""
    for load in (0.5, 0.7, 0.9):
        yield Scenario(f"calm, load {load}", load)
    for load in (0.5, 0.7):
        yield Scenario(
            f"holder crashed, load {load}", load, "crash", 20.0, 60.0
        )
        yield Scenario(
            f"first 20 s of a crash, {load}", load, "crash", 0.0, 20.0
        )
    if quick:
        return
    for retained_share in (0.5, 0.625, 0.75, 0.875):
        for fault, begin_s, end_s in (
            ("outage", 570.0, 600.0),
            ("crash", 20.0, 60.0),
        ):
            for load in (0.5, 0.7, 0.9):
                yield Scenario(
                    f"kept {retained_share}, {fault}, load {load}",
                    load,
                    fault,
                    begin_s,
                    end_s,
                    retained_share,
                )


def main() -> int:
    """Runs the scenarios; prints a table and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    results = []
    print(f"{'scenario':34}" + "".join(f"{name:>20}" for name in POLICIES))
    print(f"{'':34}" + f"{'refused %, worst %':>20}" * len(POLICIES))
    for scenario in generate_scenarios(options.quick):
        if options.only not in scenario.name:
            continue
        rng = random.Random(options.seed)
        requests = generate_arrivals(scenario.load, scenario.end_s, rng)
        line = f"{scenario.name:34}"
        for name, run in POLICIES.items():
            outcome = run(scenario, requests)
            line += (
                f"{100 * outcome.refused_share:10.3f}"
                f"{100 * outcome.worst_customer:10.2f}"
            )
            results.append(
                {
                    "scenario": scenario.name,
                    "policy": name,
                    "requests": outcome.requests,
                    "refused": outcome.refused,
                    "refused_share": outcome.refused_share,
                    "worst_customer": outcome.worst_customer,
                }
            )
        print(line, flush=True)
    print(json.dumps(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
