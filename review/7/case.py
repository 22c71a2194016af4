"""All processes are killed after a departure was confirmed.

The node confirms a departure that it could not store. After the restart a late
heartbeat opens the way to the target that has left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import itertools
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import standins_2 as standins  # noqa: E402

SLOTS = 20
WORK_S = 0.05
BUDGET_MS = 2500
RATE_PER_S = 40.0
DOWN_BEFORE_S = 1.0
RESTART_DELAY_S = 0.5
DOWN_AFTER_S = 1.5
"""The store is away for about three seconds; the site files use 4.5 s."""

IN_TOUCH_S = standins.CONTACT_S + 0.2


async def play(record: standins.Record, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule DRAIN held."""
    fleet = standins.Fleet(record)
    try:
        return await _play(fleet, record, has_trouble)
    finally:
        fleet.close()


async def send_traffic(fleet: standins.Fleet, ids: Iterator[str]) -> None:
    """Sends requests to all nodes in turn until it is cancelled."""
    async with asyncio.TaskGroup() as group:
        for node in itertools.cycle(fleet.nodes):
            request = fleet.request(node, "/lookup/a", next(ids), BUDGET_MS)
            group.create_task(request)
            await asyncio.sleep(1.0 / RATE_PER_S)


async def refuse(path: str, body: bytes) -> int | None:
    """Answers a call of the store with 503: nothing was done."""
    return 503


async def _play(
    fleet: standins.Fleet, record: standins.Record, has_trouble: bool
) -> bool:
    await fleet.start_store()
    routes = [standins.make_route("lookup", "wash", 2.5, 1.0)]
    manifest = standins.make_manifest(1, routes, ["wash", "drying"])
    fleet.store.put("op", "config", manifest)
    services = ("wash", "wash", "drying")
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
    traffic = asyncio.create_task(send_traffic(fleet, ids))
    leaving = targets[0]

    async def is_served() -> bool:
        return bool(leaving.runs)

    await fleet.wait_until("requests are served", is_served)
    await asyncio.sleep(3.0)
    late_heartbeat = leaving.heartbeat()
    if has_trouble:
        record.line("store-down")
        fleet.store.on_call = refuse
        await asyncio.sleep(DOWN_BEFORE_S)
    leaving.stop_beats()
    status = await leaving.leave()
    if status != 200:
        raise standins.CannotRunError(f"the departure was answered {status}")
    confirmed_s = record.now_s()
    if has_trouble:
        for node in nodes:
            node.send_signal(signal.SIGKILL)
            node.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        for node in nodes:
            node.start()
        await asyncio.sleep(DOWN_AFTER_S)
        record.line("store-back")
        fleet.store.on_call = None
    await fleet.wait_ready()
    in_touch_s = record.now_s() + IN_TOUCH_S
    await leaving.announce("Heartbeat", late_heartbeat)
    await asyncio.sleep(IN_TOUCH_S + 3.0)
    traffic.cancel()
    late = [
        run
        for run in leaving.runs
        if run.at_s > max(confirmed_s + standins.DRAIN_S, in_touch_s)
    ]
    for run in late:
        record.line("broken", rule="DRAIN", id=run.id, by=leaving.id)
    return not late


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).parent, play))
