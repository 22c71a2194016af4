"""A target leaves just after its node has started again; a heartbeat is late.

The node beside a target is stopped and started again on its own, as in planned
work. The target's next heartbeat is late by two seconds (with TROUBLE=0 it is
not). Meanwhile the target announces by Deregister that it leaves, the node
confirms this, and the target goes on serving for some seconds before it exits.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_LATE_S = 2.0
SERVES_ON_S = 6.0
"""From the confirmation to the exit: drain_s and a little longer."""
REQUESTS_PER_S = 40
DEADLINE_MS = 5_000
SERVICES = ["wash", "wash", "pickup", "pickup"]


async def _send_load(
    record: standins.Record,
    address: str,
    tasks: list[asyncio.Task],
) -> None:
    while True:
        tasks.append(
            asyncio.create_task(
                standins.exchange(
                    record,
                    address,
                    "POST",
                    "/batches/",
                    DEADLINE_MS,
                    b"batch " * 200,
                )
            )
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def _restart(node: standins.Node, fleet: standins.Fleet) -> None:
    node.signal(signal.SIGTERM)
    while node.is_running:
        await asyncio.sleep(0.05)
    node.start()
    await fleet.wait_ready(node, 20.0)


async def _play(record: standins.Record, fleet: standins.Fleet) -> int:
    route = standins.make_route(
        "batch-log", "/batches/", "wash", "non_idempotent", 1.0
    )
    await fleet.start(standins.make_manifest(1, ["wash", "pickup"], [route]))
    for node in fleet.nodes:
        target = standins.Target(
            record, f"i-{node.number:08x}", node.service, 0.16
        )
        fleet.targets.append(target)
        await target.start(node.app, node.control)
    await asyncio.sleep(standins.CONTACT_S + 2.0)
    leaving, beside = fleet.targets[0], fleet.nodes[0]
    entry = fleet.nodes[2]
    first = await standins.exchange(
        record, entry.outbound, "POST", "/batches/", DEADLINE_MS, b"batch"
    )
    if not first.is_complete or first.status != 200:
        raise standins.CannotRunError("the fleet does not serve")
    tasks: list[asyncio.Task] = []
    load = asyncio.create_task(_send_load(record, entry.outbound, tasks))
    leaving.stop_heartbeats()
    await _restart(beside, fleet)
    started_s = record.now_s()
    heartbeat = leaving.next_heartbeat()
    record.line("heartbeat-sent", target=leaving.id)
    if not TROUBLE:
        await leaving.post_heartbeat(heartbeat)
    await asyncio.sleep(0.2)
    status = await leaving.deregister()
    confirmed_s = record.now_s()
    record.line("departure-confirmed", target=leaving.id, status=status)
    if status != 200:
        raise standins.CannotRunError("the departure was not confirmed")
    if TROUBLE:
        await asyncio.sleep(HEARTBEAT_LATE_S - 0.2)
        await leaving.post_heartbeat(heartbeat)
    await asyncio.sleep(confirmed_s + SERVES_ON_S - record.now_s())
    await leaving.exit()
    await asyncio.sleep(1.0)
    load.cancel()
    answers = await asyncio.gather(*tasks)
    in_touch_s = started_s + standins.CONTACT_S
    from_s = max(confirmed_s + standins.DRAIN_S, in_touch_s)
    late = [run for run in leaving.runs if run.at_s > from_s]
    cut = {run.attempt_id for run in leaving.runs if not run.is_done}
    lost = [answer for answer in answers if answer.attempt_id in cut]
    record.line(
        "verdict",
        rule="DRAIN",
        reached_after_drain_s=len(late),
        counted_from_s=round(from_s, 3),
        first_s=round(late[0].at_s, 3) if late else "-",
        cut_off=len(lost),
        statuses=sorted({answer.status for answer in lost}),
    )
    return 1 if late else 0


async def _main() -> int:
    record = standins.Record(FOLDER / "record.txt")
    fleet = standins.Fleet(record, SERVICES, ("hatyai", "pattani"))
    try:
        return await asyncio.wait_for(_play(record, fleet), 100.0)
    except (standins.CannotRunError, TimeoutError) as error:
        record.line("cannot-run", reason=error)
        return 2
    finally:
        for target in fleet.targets:
            await target.exit()
        fleet.close()
        record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
