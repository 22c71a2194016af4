"""A target falls silent; its address goes to a target of another service.

Requests that wait at the node for the lost target are run by its successor.
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import standins_2 as standins  # noqa: E402

SLOTS = 20
WORK_S = 0.3
SUCCESSOR_WORK_S = 0.05
BUDGET_MS = 3000
RATE_PER_S = 40.0
TRAFFIC_S = 12.0
LOST_AT_S = 3.0


async def play(record: standins.Record, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule ROUTE held."""
    fleet = standins.Fleet(record)
    try:
        return await _play(fleet, record, has_trouble)
    finally:
        fleet.close()


async def _play(
    fleet: standins.Fleet, record: standins.Record, has_trouble: bool
) -> bool:
    await fleet.start_store()
    fleet.store.put(
        "op",
        "config",
        standins.make_manifest(
            1,
            [
                standins.make_route("status", "track", 3.0, 0.8),
                standins.make_route("view", "drying", 3.0, 0.8),
            ],
            ["track", "drying"],
        ),
    )
    services = ("track", "drying", "drying")
    nodes = [fleet.add_node(service) for service in services]
    targets = [
        standins.Target(record, f"i-{n}", service, SLOTS, WORK_S)
        for n, service in enumerate(services)
    ]
    for node, target in zip(nodes, targets, strict=True):
        node.start()
        await target.start(node.app, node.control)
    await fleet.wait_ready()
    ids = (f"r{n:06x}" for n in itertools.count(1))

    async def is_served() -> bool:
        answers = [
            await fleet.request(nodes[2], path, next(ids), BUDGET_MS)
            for path in ("/status/a", "/view/a")
        ]
        return all(answer.status == 200 for answer in answers)

    await fleet.wait_until("requests are served", is_served)
    sent: list[asyncio.Task] = []
    begin_s = record.now_s()
    successor: standins.Target | None = None

    async def replace() -> None:
        nonlocal successor
        await asyncio.sleep(LOST_AT_S)
        targets[0].fall_silent()
        await asyncio.sleep(standins.ADDRESS_REUSE_S + 0.05)
        targets[0].release_address()
        successor = standins.Target(
            record, "i-new", "drying", SLOTS, SUCCESSOR_WORK_S
        )
        nodes[0].service = "drying"
        nodes[0].write_settings()
        nodes[0].send_signal(signal.SIGHUP)
        await successor.start(nodes[0].app, nodes[0].control)

    trouble = asyncio.create_task(replace()) if has_trouble else None
    while record.now_s() - begin_s < TRAFFIC_S:
        request = fleet.request(nodes[2], "/status/a", next(ids), BUDGET_MS)
        sent.append(asyncio.create_task(request))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*sent)
    if trouble is not None:
        await trouble
    wrong = [
        run
        for target in (*targets, *((successor,) if successor else ()))
        for run in target.runs
        if run.target.service == "drying"
        and run.head.start.startswith("GET /status/")
    ]
    for run in wrong:
        record.line("broken", rule="ROUTE", id=run.id, by=run.target.id)
    return not wrong


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).parent, play))
