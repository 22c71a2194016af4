"""Processor time of the overload decisions for one request."""

from __future__ import annotations

from collections.abc import Callable
import random as random_module
import time
from typing import Any

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.membership import directory as directories
from cyclamendale.overload import admission
from cyclamendale.overload import fair_use
from cyclamendale.overload import feedback
from cyclamendale.overload import gate_admission
from cyclamendale.overload import power_of_two
from cyclamendale.overload import shed_key
from cyclamendale.overload import threshold_shed
from measure import _call_graph_model
from measure import _call_graph_model_calls
from measure import _call_graph_model_events as events
from measure import _call_graph_model_runs as runs

CALLS_PER_REPEAT = 20_000
REPEATS = 5
SLOTS = 150
TARGET_COUNTS = (3, 30)


def _ignore(refusal: refusals.Refusal | None = None) -> None:
    """Ignores the decision of the gate."""


def _min_time_us(function: Callable[[int], None]) -> float:
    """Returns the mean time of one call in the fastest repeat."""
    best_s = float("inf")
    for _ in range(REPEATS):
        started_s = time.process_time()
        for index in range(CALLS_PER_REPEAT):
            function(index)
        best_s = min(best_s, time.process_time() - started_s)
    return best_s / CALLS_PER_REPEAT * 1e6


def _make_gate(
    clock: events.EventClock, random: random_module.Random
) -> tuple[admission.Admission, Callable[[int], admission.Ticket]]:
    gate = gate_admission.make_admission(
        clock, random, model.Service(ids.ServiceName("service"))
    )
    gate.set_capacity(SLOTS, 1000)

    def submit(index: int) -> admission.Ticket:
        clock.run_until(clock.now_s() + 0.0005)
        ticket = admission.Ticket(
            ids.CustomerId(f"customer-{index % 8}"),
            shed_key.ShedKey(random.randrange(4 << 24)),
            clock.now_s() + 1.0,
            _ignore,
            _ignore,
        )
        gate.submit(ticket)
        return ticket

    return gate, submit


def _measure_gate() -> tuple[float, float]:
    clock, random = events.EventClock(), random_module.Random(1)
    gate, submit = _make_gate(clock, random)

    def serve(index: int) -> None:
        ticket = submit(index)
        gate.finish(ticket, 0.02, admission.Completion.ANSWERED)
        gate.feedback()

    served_us = _min_time_us(serve)
    clock = events.EventClock()
    gate, submit = _make_gate(clock, random)
    for index in range(SLOTS):
        submit(index)

    def refuse(index: int) -> None:
        submit(index)
        gate.feedback()

    return served_us, _min_time_us(refuse)


def _measure_entry() -> tuple[float, float]:
    clock, random = events.EventClock(), random_module.Random(1)
    fair_use_tracker = fair_use.make_fair_use_tracker(clock)
    shedder = threshold_shed.make_early_shedder(clock, random)
    route = ids.RouteName("route")
    report = feedback.Feedback(shed_key.ShedKey(1 << 24), 1.0)

    def decide(index: int) -> None:
        clock.run_until(clock.now_s() + 0.0005)
        customer = ids.CustomerId(f"customer-{index % 8}")
        over_share = fair_use_tracker.record_request(customer, route)
        key = shed_key.make_shed_key(
            model.Importance.NORMAL, over_share, ids.RequestId(str(index))
        )
        shedder.should_shed(route, key)

    admitted_us = _min_time_us(decide)

    def decide_and_observe(index: int) -> None:
        decide(index)
        if index % 10 == 0:
            shedder.observe(route, report)

    return admitted_us, _min_time_us(decide_and_observe)


def _measure_choice(targets: int) -> float:
    clock, random = events.EventClock(), random_module.Random(1)
    spec = _call_graph_model_calls.ServiceSpec("service", targets, 4, 96, 0.02)
    members = _call_graph_model.make_members(spec)
    directory: directories.Directory = _call_graph_model.StaticDirectory(
        members[0], {"service": members}
    )
    chooser = power_of_two.make_target_chooser(clock, random, directory)
    report = feedback.Feedback(load=0.5)

    def choose(index: int) -> None:
        target = chooser.choose(ids.ServiceName("service"), ())
        if target is not None:
            chooser.record_sent(target.node)
            chooser.record_answer(target.node, 0.02, True, report)

    return _min_time_us(choose)


def main() -> None:
    """Measures all decisions and prints the results."""
    rows: list[dict[str, Any]] = []
    for name, (served_us, refused_us) in (
        ("gate: serve, refuse", _measure_gate()),
        ("entry: pass, shed", _measure_entry()),
    ):
        rows.append(
            {
                "decision": name,
                "served us": served_us,
                "refused us": refused_us,
            }
        )
    for targets in TARGET_COUNTS:
        rows.append(
            {
                "decision": f"choice among {targets} targets",
                "served us": _measure_choice(targets),
                "refused us": 0.0,
            }
        )
    runs.print_results("overload_cost", rows)


if __name__ == "__main__":
    main()
