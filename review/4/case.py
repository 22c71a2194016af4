"""One answer of a target in trouble, whose body does not end.

Clients send requests for `wash` on kept connections of one host. Once, the
target of that host, which serves `track`, answers a request of a client of
another host with a length of 67 MB and bytes without end, until its connection
is closed (with TROUBLE=0 it answers as always). As on the platform, a process
that exceeds `memory_mb` is killed; only its resident memory is counted here.
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
MEMORY_MB = 300
STATED_BYTES = 67_000_000
CLIENTS = 14
"""The clients of a zone of sappaya-mesh, 56, divided by its four hosts."""
WATCH_S = 4.0
TIMEOUT_S = 2.0
DEADLINE_MS = 5_000
SERVICES = ["track", "track", "wash", "wash"]


class _TargetInTrouble(standins.Target):
    """A target that answers one request with a body that does not end."""

    async def answer_at_length(
        self, run: standins.Run, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the head of an answer, then bytes until it is closed."""
        self._record.line("endless-answer", target=self.id, id=run.attempt_id)
        writer.write(
            "HTTP/1.1 200 OK\r\n"
            f"X-Cyclamendale-Attempt-Id: {run.attempt_id}\r\n"
            f"X-Cyclamendale-Server-Stamp: {self.id}.{run.attempt_id}\r\n"
            f"Content-Length: {STATED_BYTES}\r\n\r\n".encode()
        )
        sent = 0
        while sent < 4 * STATED_BYTES:
            writer.write(b"m" * 65_536)
            await writer.drain()
            sent += 65_536


async def _send_small(
    record: standins.Record,
    address: str,
    stopped: asyncio.Event,
    answers: list[standins.Answer],
) -> None:
    """Sends one request after the other on a kept connection."""
    reader, writer = await standins.connect(address)
    while not stopped.is_set():
        answer = standins.Answer(standins.make_id())
        answer.sent_s = record.now_s()
        record.line("sent", id=answer.attempt_id, to=address, path="/batches/")
        answers.append(answer)
        try:
            writer.write(
                standins.encode_request(
                    "GET", "/batches/", answer.attempt_id, DEADLINE_MS
                )
            )
            await standins.read_answer(answer, reader)
        except ConnectionError as error:
            answer.detail = type(error).__name__
        answer.ended_s = record.now_s()
        record.line(
            "answered",
            id=answer.attempt_id,
            status=answer.status,
            complete=answer.is_complete,
            detail=answer.detail or "-",
        )
        if not answer.is_complete:
            break
    writer.close()


async def _limit_memory(record: standins.Record, node: standins.Node) -> None:
    while node.is_running:
        memory_mb = node.peak_memory_mb()
        if memory_mb > MEMORY_MB:
            record.line("over-memory", node=node.ip, mb=round(memory_mb))
            node.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.01)


async def _play(record: standins.Record, fleet: standins.Fleet) -> int:
    routes = [
        standins.make_route(
            "mat-status", "/mats/", "track", "idempotent", TIMEOUT_S
        ),
        standins.make_route(
            "batch-lookup", "/batches/", "wash", "idempotent", TIMEOUT_S
        ),
    ]
    await fleet.start(standins.make_manifest(1, ["track", "wash"], routes))
    for node in fleet.nodes:
        target = _TargetInTrouble(
            record, f"i-{node.number:08x}", node.service, 0.1
        )
        fleet.targets.append(target)
        await target.start(node.app, node.control)
    await asyncio.sleep(standins.CONTACT_S + 2.0)
    busy, other = fleet.nodes[0], fleet.nodes[2]
    for path in ("/mats/", "/batches/"):
        first = await standins.exchange(
            record, other.outbound, "GET", path, DEADLINE_MS
        )
        if not first.is_complete or first.status != 200:
            raise standins.CannotRunError("the fleet does not serve")
    limits = [
        asyncio.create_task(_limit_memory(record, node)) for node in fleet.nodes
    ]
    stopped = asyncio.Event()
    answers: list[standins.Answer] = []
    clients = [
        asyncio.create_task(
            _send_small(record, busy.outbound, stopped, answers)
        )
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(1.0)
    fleet.targets[0].is_in_trouble = TROUBLE
    await standins.exchange(record, other.outbound, "GET", "/mats/", 5_000)
    await asyncio.sleep(WATCH_S)
    stopped.set()
    await asyncio.gather(*clients)
    for limit in limits:
        limit.cancel()
    killed = [node.ip for node in fleet.nodes if not node.is_running]
    run_ids = {run.attempt_id for each in fleet.targets for run in each.runs}
    lost = [
        answer
        for answer in answers
        if not answer.is_complete
        and answer.attempt_id in run_ids
        and answer.ended_s - answer.sent_s < TIMEOUT_S
    ]
    record.line(
        "verdict",
        rule="LOST",
        lost=len(lost),
        of=len(answers),
        killed=killed or "-",
        peak_mb=[round(node.peak_memory_mb()) for node in fleet.nodes],
    )
    return 1 if len(lost) > 3 else 0


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
