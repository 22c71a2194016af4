"""Time until goodput is back after a deep service was slow for 30 s.

Clients retry hard: each failed request is sent again up to four times
after about 50 ms, whatever Retry-After says.
"""

from __future__ import annotations

import bisect
from typing import Any

from measure import _call_graph_model
from measure import _call_graph_model_policies as policies
from measure import _call_graph_model_runs as runs

DEPTH = 3
LOAD = 0.75
SLOWNESS = 5.0
CALM_S = 3.0
SLOW_S = 30.0
OBSERVED_S = 14.0
WINDOW_S = 1.0
STEP_S = 0.1
SUSTAINED_S = 3.0
RECOVERED_SHARE = 0.95
CLIENT_RETRIES = 4
SEEDS = (1, 2, 3)
POLICIES = (
    policies.NO_CONTROL,
    policies.STATIC_FIFO,
    policies.GRADIENT,
    policies.AIMD,
)


def measure_cell(cell: tuple[policies.Policy, int]) -> dict[str, Any]:
    """Runs one policy with one seed."""
    policy, seed = cell
    services = _call_graph_model.chain(DEPTH, targets=2)
    capacity_per_s = _call_graph_model.capacity_per_s(services[-1])
    routes = [_call_graph_model.RouteSpec("route", services[0].name)]
    graph = _call_graph_model.Graph(services, routes, policy, seed)
    clients = [
        _call_graph_model.PoissonClients(
            graph,
            "route",
            f"customer-{customer}",
            capacity_per_s * LOAD / 4,
            seed=100 * seed + customer,
            retries=CLIENT_RETRIES,
        )
        for customer in range(4)
    ]
    end_s = CALM_S + SLOW_S
    graph.clock.run_until(CALM_S)
    graph.slow(services[-1].name, SLOWNESS)
    graph.clock.run_until(end_s)
    graph.slow(services[-1].name, 1.0)
    graph.clock.run_until(end_s + OBSERVED_S)
    roots = [root for client in clients for root in client.roots]
    first_s = sorted(at_s for client in clients for at_s in client.first_sent_s)
    served_s = sorted(root.ended_s for root in roots if root.succeeded)
    during = _ratio(served_s, first_s, CALM_S + 5.0, end_s)
    return {
        "policy": policy.name,
        "seed": seed,
        "recovery s": _recovery_s(served_s, first_s, end_s),
        "goodput while slow/capacity": during * LOAD * SLOWNESS,
    }


def _recovery_s(
    served_s: list[float], first_s: list[float], end_s: float
) -> float:
    """Returns when goodput came back for good, after the cause ended."""
    steps = int((OBSERVED_S - WINDOW_S) / STEP_S)
    sustained = int(SUSTAINED_S / STEP_S)
    good = 0
    for step in range(steps):
        start_s = end_s + step * STEP_S
        ratio = _ratio(served_s, first_s, start_s, start_s + WINDOW_S)
        good = good + 1 if ratio >= RECOVERED_SHARE else 0
        if good > sustained:
            return (step - sustained) * STEP_S
    return float("inf")


def _ratio(
    served_s: list[float],
    first_s: list[float],
    start_s: float,
    end_s: float,
) -> float:
    served = bisect.bisect(served_s, end_s) - bisect.bisect(served_s, start_s)
    sent = bisect.bisect(first_s, end_s) - bisect.bisect(first_s, start_s)
    return served / max(1, sent)


def main() -> None:
    """Measures all cells and prints them."""
    cells = [(policy, seed) for policy in POLICIES for seed in SEEDS]
    rows = runs.run_cells(measure_cell, cells)
    runs.print_results("recovery", runs.summarise(rows, ("policy",)))


if __name__ == "__main__":
    main()
