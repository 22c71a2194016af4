"""Share served of the other customers while one sends five times its rate.

Quotas are not simulated, so that admission under load alone has to protect
the other customers.
"""

from __future__ import annotations

import itertools
from typing import Any

from measure import _call_graph_model
from measure import _call_graph_model_calls
from measure import _call_graph_model_policies as policies
from measure import _call_graph_model_runs as runs

DEPTH = 3
EXCESS_FACTOR = 5.0
SETTLING_S = 2.0
MEASURED_S = 6.0
DEADLINE_S = 1.0
SEEDS = (1, 2, 3, 4, 5)
POLICIES = (
    policies.NO_CONTROL,
    policies.STATIC_FIFO,
    policies.GRADIENT,
    policies.AIMD,
)
WEIGHTS_BY_CASE = {
    "equal weights": (1, 1, 1, 1, 1, 1, 1, 1),
    "weights 1 and 3": (1, 1, 1, 1, 3, 3, 3, 3),
}
"""Weights of the customers; the first exceeds its share."""


def measure_cell(cell: tuple[str, policies.Policy, int]) -> dict[str, Any]:
    """Simulates one case and policy with one seed."""
    case, policy, seed = cell
    weights = {
        f"customer-{index}": weight
        for index, weight in enumerate(WEIGHTS_BY_CASE[case])
    }
    services = _call_graph_model.make_chain(DEPTH)
    capacity_per_s = _call_graph_model.service_capacity_per_s(services[-1])
    graph = _call_graph_model.Graph(
        services,
        [
            _call_graph_model_calls.RouteSpec(
                "route", services[0].name, deadline_s=DEADLINE_S
            )
        ],
        policy,
        seed,
        weight_of=weights.__getitem__,
    )
    share_per_s = capacity_per_s / sum(weights.values())
    clients = {
        name: _call_graph_model.PoissonClients(
            graph,
            "route",
            name,
            share_per_s
            * weight
            * (EXCESS_FACTOR if name == "customer-0" else 1),
            seed=100 * seed + index,
        )
        for index, (name, weight) in enumerate(weights.items())
    }
    graph.clock.run_until(SETTLING_S + MEASURED_S + DEADLINE_S)
    served = {
        name: _served_share(client.roots) for name, client in clients.items()
    }
    overloading_share = served.pop("customer-0")
    return {
        "case": case,
        "policy": policy.name,
        "seed": seed,
        "worst other": min(served.values()),
        "mean other": sum(served.values()) / len(served),
        "greedy/share": overloading_share * EXCESS_FACTOR,
    }


def _served_share(roots: list[_call_graph_model_calls.RootRequest]) -> float:
    # The other customers send exactly their fair share, so the served part
    # of their requests is the served part of that share.
    counted = [
        root
        for root in roots
        if SETTLING_S <= root.arrived_s < SETTLING_S + MEASURED_S
    ]
    return sum(root.succeeded for root in counted) / len(counted)


def main() -> None:
    """Runs all cells and prints the results."""
    cells = itertools.product(WEIGHTS_BY_CASE, POLICIES, SEEDS)
    rows = runs.run_cells(measure_cell, cells)
    runs.print_results("fairness", runs.summarise(rows, ("case", "policy")))


if __name__ == "__main__":
    main()
