"""Latency of idempotent lookups with stragglers, with and without hedging."""

from __future__ import annotations

import itertools
from typing import Any

from measure import _call_graph_model
from measure import _call_graph_model_calls
from measure import _call_graph_model_policies as policies
from measure import _call_graph_model_runs as runs

WORK_S = 0.005
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 20.0
LOADS = (0.4, 0.7, 0.95, 1.2)
SETTLING_S = 3.0
MEASURED_S = 6.0
DEADLINE_S = 1.0
SEEDS = (1, 2, 3)


def measure_cell(cell: tuple[float, bool, int]) -> dict[str, Any]:
    """Simulates one load, with or without hedging, with one seed."""
    load, hedging_enabled, seed = cell
    service = _call_graph_model_calls.ServiceSpec(
        "lookup",
        targets=4,
        workers=4,
        slots=64,
        work_s=WORK_S,
        straggler_share=STRAGGLER_SHARE,
        straggler_factor=STRAGGLER_FACTOR,
    )
    mean_work_s = WORK_S * (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1))
    capacity_per_s = service.targets * service.workers / mean_work_s
    graph = _call_graph_model.Graph(
        [service],
        [
            _call_graph_model_calls.RouteSpec(
                "route", service.name, deadline_s=DEADLINE_S
            )
        ],
        policies.GRADIENT,
        seed,
        hedging_enabled=hedging_enabled,
    )
    client = _call_graph_model.PoissonClients(
        graph, "route", "customer", load * capacity_per_s, seed
    )
    end_s = SETTLING_S + MEASURED_S
    graph.clock.run_until(SETTLING_S)
    sent, work_s = graph.hedges_sent, graph.total_work_s
    graph.clock.run_until(end_s)
    measured = [root for root in client.roots if root.arrived_s >= SETTLING_S]
    durations_s = sorted(
        root.ended_s - root.arrived_s for root in measured if root.succeeded
    )
    return {
        "load": load,
        "hedging": hedging_enabled,
        "seed": seed,
        "p50 ms": 1000 * _quantile(durations_s, 0.5),
        "p99 ms": 1000 * _quantile(durations_s, 0.99),
        "served/offered": len(durations_s) / len(measured),
        "extra calls": (graph.hedges_sent - sent) / len(measured),
        "work/capacity": (graph.total_work_s - work_s)
        / (MEASURED_S * service.targets * service.workers),
    }


def _quantile(values: list[float], quantile: float) -> float:
    return values[int(quantile * (len(values) - 1))]


def main() -> None:
    """Runs all cells and prints the results."""
    cells = itertools.product(LOADS, (False, True), SEEDS)
    rows = runs.run_cells(measure_cell, cells)
    runs.print_results("stragglers", runs.summarise(rows, ("load", "hedging")))


if __name__ == "__main__":
    main()
