"""Goodput, critical requests and wasted work of call chains under overload.

Chains of 3 and 8 services are loaded to 0.7 of the capacity of their deepest
service, which has the least, and then, in one step, to 1.5, 3 or 10 times it.
"""

from __future__ import annotations

import itertools
from typing import Any

from cyclamendale.intents import model
from measure import _call_graph_model
from measure import _call_graph_model_calls
from measure import _call_graph_model_policies as policies
from measure import _call_graph_model_runs as runs

DEPTHS = (3, 8)
OVERLOAD_FACTORS = (1.5, 3.0, 10.0)
BASELINE_LOAD = 0.7
BASELINE_S = 1.0
SETTLING_S = 1.0
MEASURED_S = 2.5
DEADLINE_S = 1.0
CUSTOMER_COUNT = 4
SHARE_BY_IMPORTANCE = {
    model.Importance.CRITICAL: 0.08,
    model.Importance.HIGH: 0.22,
    model.Importance.NORMAL: 0.40,
    model.Importance.BACKGROUND: 0.30,
}
SEEDS_BY_POLICY = {
    policies.NO_CONTROL: (1, 2),
    policies.STATIC_FIFO: (1, 2, 3),
    policies.GATE_ONLY: (1, 2, 3),
    policies.GRADIENT: (1, 2, 3, 4, 5),
    policies.AIMD: (1, 2, 3, 4, 5),
}


def measure_cell(
    cell: tuple[policies.Policy, int, float, int],
) -> dict[str, Any]:
    """Simulates one policy with one chain, overload factor and seed."""
    policy, depth, factor, seed = cell
    services = _call_graph_model.make_chain(depth)
    capacity_per_s = _call_graph_model.service_capacity_per_s(services[-1])
    routes = [
        _call_graph_model_calls.RouteSpec(
            importance.name, services[0].name, importance, DEADLINE_S
        )
        for importance in SHARE_BY_IMPORTANCE
    ]
    graph = _call_graph_model.Graph(services, routes, policy, seed)
    clients = [
        _call_graph_model.PoissonClients(
            graph,
            importance.name,
            f"customer-{customer}",
            capacity_per_s * BASELINE_LOAD * share / CUSTOMER_COUNT,
            seed=1000 * seed + 10 * importance + customer,
        )
        for importance, share in SHARE_BY_IMPORTANCE.items()
        for customer in range(CUSTOMER_COUNT)
    ]
    graph.clock.run_until(BASELINE_S)
    for client in clients:
        client.scale_rate(factor / BASELINE_LOAD)
    start_s = BASELINE_S + SETTLING_S
    end_s = start_s + MEASURED_S
    graph.clock.run_until(end_s + DEADLINE_S)
    roots = [root for client in clients for root in client.roots]
    return {
        "policy": policy.name,
        "depth": depth,
        "overload": factor,
        "seed": seed,
        **_compute_metrics(roots, start_s, end_s, capacity_per_s),
    }


def _compute_metrics(
    roots: list[_call_graph_model_calls.RootRequest],
    start_s: float,
    end_s: float,
    capacity_per_s: float,
) -> dict[str, float]:
    arrived = [root for root in roots if start_s <= root.arrived_s < end_s]
    completed = sum(
        root.succeeded and start_s <= root.ended_s < end_s for root in roots
    )
    critical = [
        root
        for root in arrived
        if root.route.importance is model.Importance.CRITICAL
    ]
    work_s = sum(root.total_work_s for root in arrived)
    wasted_s = sum(root.total_work_s for root in arrived if not root.succeeded)
    return {
        "goodput/capacity": completed / MEASURED_S / capacity_per_s,
        "critical served": _success_share(critical),
        "wasted work": wasted_s / work_s if work_s else 1.0,
    }


def _success_share(roots: list[_call_graph_model_calls.RootRequest]) -> float:
    return sum(root.succeeded for root in roots) / len(roots)


def main() -> None:
    """Runs all cells and prints the results."""
    cells = [
        (policy, depth, factor, seed)
        for depth, factor in itertools.product(DEPTHS, OVERLOAD_FACTORS)
        for policy, seeds in SEEDS_BY_POLICY.items()
        for seed in seeds
    ]
    # The longest cells come first, so that both processes end together.
    cells.sort(key=lambda cell: -cell[1] * cell[2])
    rows = runs.run_cells(measure_cell, cells)
    rows.sort(key=lambda row: (row["depth"], row["overload"]))
    runs.print_results(
        "overload", runs.summarise(rows, ("policy", "depth", "overload"))
    )


if __name__ == "__main__":
    main()
