"""Planned stops of the only node of a failure domain, under a light load.

Clients of the node go on sending while it stops, since fewer than half of the
nodes of their zone are ready. Each request is a new connection. The node is
stopped and started again several times (with TROUBLE=0 it is not stopped, and
the same load is sent for as long).
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
STOPS = 14
REQUESTS_PER_S = 80
WORK_S = 0.01
TIMEOUT_S = 1.0
DEADLINE_MS = 5_000
SERVICES = ["wash", "pickup"]


async def _send_load(
    record: standins.Record, address: str, tasks: list[asyncio.Task]
) -> None:
    while True:
        tasks.append(
            asyncio.create_task(
                standins.exchange(
                    record, address, "POST", "/batches/", DEADLINE_MS, b"batch"
                )
            )
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)


def _is_broken_off(answer: standins.Answer, run: standins.Run | None) -> bool:
    """Returns whether the node ended a request at which a target worked."""
    if run is None or answer.is_complete and answer.status not in (502, 504):
        return False
    return (
        run.at_s <= answer.ended_s
        and (run.ended_s is None or answer.ended_s < run.ended_s)
        and answer.ended_s - answer.sent_s < TIMEOUT_S
    )


async def _stop(record: standins.Record, node: standins.Node) -> None:
    """Stops the node with SIGTERM and waits until it has ended."""
    signalled_s = record.now_s()
    node.signal(signal.SIGTERM)
    while node.is_running:
        await asyncio.sleep(0.005)
    took_s = record.now_s() - signalled_s
    record.line("node-ended", node=node.ip, after_s=round(took_s, 3))


async def _play(record: standins.Record, fleet: standins.Fleet) -> int:
    route = standins.make_route(
        "batch-log", "/batches/", "wash", "non_idempotent", TIMEOUT_S
    )
    await fleet.start(standins.make_manifest(1, ["wash", "pickup"], [route]))
    for node in fleet.nodes:
        target = standins.Target(
            record, f"i-{node.number:08x}", node.service, WORK_S
        )
        fleet.targets.append(target)
        await target.start(node.app, node.control)
    await asyncio.sleep(standins.CONTACT_S + 2.0)
    node = fleet.nodes[1]
    first = await standins.exchange(
        record, node.outbound, "POST", "/batches/", DEADLINE_MS, b"batch"
    )
    if not first.is_complete or first.status != 200:
        raise standins.CannotRunError("the fleet does not serve")
    answers: list[standins.Answer] = []
    for _ in range(STOPS):
        tasks: list[asyncio.Task] = []
        load = asyncio.create_task(_send_load(record, node.outbound, tasks))
        await asyncio.sleep(1.0)
        if TROUBLE:
            await _stop(record, node)
        else:
            await asyncio.sleep(2.4)
        load.cancel()
        answers += await asyncio.gather(*tasks)
        if TROUBLE:
            node.start()
            await fleet.wait_ready(node, 20.0)
        await asyncio.sleep(1.0)
    runs = {run.attempt_id: run for t in fleet.targets for run in t.runs}
    broken_off = [
        answer
        for answer in answers
        if _is_broken_off(answer, runs.get(answer.attempt_id))
    ]
    for answer in broken_off:
        record.line(
            "broken-off", id=answer.attempt_id, status=answer.status or "-"
        )
    record.line(
        "verdict",
        rule="LOST",
        broken_off=len(broken_off),
        of=len(answers),
        stops=STOPS if TROUBLE else 0,
    )
    return 1 if broken_off else 0


async def _main() -> int:
    record = standins.Record(FOLDER / "record.txt")
    fleet = standins.Fleet(record, SERVICES, ("hatyai", "pattani"))
    try:
        return await asyncio.wait_for(_play(record, fleet), 110.0)
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
