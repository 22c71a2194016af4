"""Time until goodput recovers after the deepest service was slow for 30 s.

Clients retry aggressively: each failed request is sent again up to four times
after about 50 ms, regardless of Retry-After.
"""

from __future__ import annotations

import bisect
from typing import Any

from measure import _call_graph_model
from measure import _call_graph_model_calls
from measure import _call_graph_model_policies as policies
from measure import _call_graph_model_runs as runs

DEPTH = 3
LOAD = 0.75
WORK_FACTOR = 5.0
BASELINE_S = 3.0
SLOW_S = 30.0
OBSERVED_S = 14.0
WINDOW_S = 1.0
STEP_S = 0.1
SUSTAINED_S = 3.0
RECOVERED_SHARE = 0.95
CLIENT_RETRIES = 4
SEEDS = (1, 2, 3, 4, 5)
POLICIES = (
    policies.NO_CONTROL,
    policies.STATIC_FIFO,
    policies.GRADIENT,
    policies.AIMD,
)


def measure_cell(cell: tuple[policies.Policy, int]) -> dict[str, Any]:
    """Simulates one policy with one seed."""
    policy, seed = cell
    services = _call_graph_model.make_chain(DEPTH, targets=2)
    capacity_per_s = _call_graph_model.service_capacity_per_s(services[-1])
    routes = [_call_graph_model_calls.RouteSpec("route", services[0].name)]
    graph = _call_graph_model.Graph(services, routes, policy, seed)
    clients = [
        _call_graph_model.PoissonClients(
            graph,
            "route",
            f"customer-{customer}",
            capacity_per_s * LOAD / 4,
            seed=100 * seed + customer,
            max_retries=CLIENT_RETRIES,
        )
        for customer in range(4)
    ]
    end_s = BASELINE_S + SLOW_S
    graph.clock.run_until(BASELINE_S)
    graph.set_work_factor(services[-1].name, WORK_FACTOR)
    graph.clock.run_until(end_s)
    graph.set_work_factor(services[-1].name, 1.0)
    graph.clock.run_until(end_s + OBSERVED_S)
    original_roots = sorted(
        (root for client in clients for root in client.original_roots),
        key=lambda root: root.arrived_s,
    )
    served_while_slow = _served_share(original_roots, BASELINE_S + 5.0, end_s)
    recovery_s = _recovery_s(original_roots, end_s)
    return {
        "policy": policy.name,
        "seed": seed,
        "recovered": float(recovery_s < OBSERVED_S),
        "recovery s": recovery_s,
        "first attempts served while slow": served_while_slow,
    }


def _recovery_s(
    original_roots: list[_call_graph_model_calls.RootRequest], end_s: float
) -> float:
    """Returns the time from `end_s` until goodput recovered and stayed so.

    If it did not recover, this is the whole observation time.
    """
    sustained_steps = int(SUSTAINED_S / STEP_S)
    good_steps = 0
    for step in range(int((OBSERVED_S - 2 * WINDOW_S) / STEP_S)):
        start_s = end_s + step * STEP_S
        share = _served_share(original_roots, start_s, start_s + WINDOW_S)
        good_steps = good_steps + 1 if share >= RECOVERED_SHARE else 0
        if good_steps > sustained_steps:
            return (step - sustained_steps) * STEP_S
    return OBSERVED_S


def _served_share(
    original_roots: list[_call_graph_model_calls.RootRequest],
    start_s: float,
    end_s: float,
) -> float:
    """Returns the served share of the original requests of a time window."""
    start = bisect.bisect_left(original_roots, start_s, key=_arrived_s)
    end = bisect.bisect_left(original_roots, end_s, key=_arrived_s)
    served = sum(root.succeeded for root in original_roots[start:end])
    return served / max(1, end - start)


def _arrived_s(root: _call_graph_model_calls.RootRequest) -> float:
    return root.arrived_s


def main() -> None:
    """Runs all cells and prints the results."""
    cells = [(policy, seed) for policy in POLICIES for seed in SEEDS]
    rows = runs.run_cells(measure_cell, cells)
    runs.print_results("recovery", runs.summarise(rows, ("policy",)))


if __name__ == "__main__":
    main()
