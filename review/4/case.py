"""Clients read large answers slowly; the node holds them all in memory.

One after the other, clients with kept connections ask for a large answer and
read it slowly, within their time budget and the timeout of the route (with
TROUBLE=0 they read at once). Other clients send small requests on kept
connections meanwhile. As on the platform, a process that exceeds `memory_mb`
is killed; only its resident memory is counted here.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
LARGE_CLIENTS = 14
"""The clients of a zone of sappaya-mesh, 56, divided by its four hosts."""
LARGE_BYTES = 24_000_000
START_INTERVAL_S = 0.12
READ_BYTES_PER_S = 3_200_000
SMALL_CLIENTS = 8
TIMEOUT_S = 8.0
DEADLINE_MS = 15_000
SERVICES = ["track", "wash"]


class _KeptConnection:
    """A connection of a client that carries one request after the other."""

    def __init__(
        self,
        record: standins.Record,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._record = record
        self._reader = reader
        self._writer = writer

    async def get(self, path: str, bytes_per_s: float = 0.0) -> standins.Answer:
        answer = standins.Answer(standins.make_id())
        answer.sent_s = self._record.now_s()
        self._record.line("sent", id=answer.attempt_id, path=path)
        try:
            self._writer.write(
                standins.encode_request(
                    "GET", path, answer.attempt_id, DEADLINE_MS
                )
            )
            await standins.read_answer(answer, self._reader, bytes_per_s)
        except ConnectionError as error:
            answer.detail = type(error).__name__
        answer.ended_s = self._record.now_s()
        self._record.line(
            "answered",
            id=answer.attempt_id,
            status=answer.status,
            bytes=answer.body_bytes,
            of=answer.expected_bytes,
            complete=answer.is_complete,
            detail=answer.detail or "-",
        )
        return answer

    def close(self) -> None:
        self._writer.close()


async def _connect(record: standins.Record, address: str) -> _KeptConnection:
    reader, writer = await standins.connect(address, limit=65_536)
    return _KeptConnection(record, reader, writer)


async def _send_small(
    record: standins.Record,
    address: str,
    stopped: asyncio.Event,
    answers: list[standins.Answer],
) -> None:
    kept = await _connect(record, address)
    while not stopped.is_set():
        answer = await kept.get("/mats/small")
        answers.append(answer)
        if not answer.is_complete:
            break
        await asyncio.sleep(0.02)
    kept.close()


async def _send_large(
    record: standins.Record, address: str, answers: list[standins.Answer]
) -> None:
    try:
        kept = await _connect(record, address)
    except (OSError, TimeoutError):
        return
    answers.append(await kept.get("/mats/small"))
    rate = READ_BYTES_PER_S if TROUBLE else 0.0
    answers.append(await kept.get("/mats/large", rate))
    kept.close()


async def _limit_memory(record: standins.Record, node: standins.Node) -> float:
    peak_mb = 0.0
    while node.is_running:
        memory_mb = node.memory_mb()
        if int(memory_mb / 50) > int(peak_mb / 50):
            record.line("memory", node=node.ip, mb=round(memory_mb))
        peak_mb = max(peak_mb, memory_mb)
        if memory_mb > MEMORY_MB:
            record.line("over-memory", node=node.ip, mb=round(memory_mb))
            node.signal(signal.SIGKILL)
            return peak_mb
        await asyncio.sleep(0.02)
    return peak_mb


def _make_body(path: str) -> bytes:
    return b"m" * (LARGE_BYTES if path.endswith("large") else 500)


async def _play(record: standins.Record, fleet: standins.Fleet) -> int:
    route = standins.make_route(
        "mat-status", "/mats/", "track", "idempotent", TIMEOUT_S
    )
    await fleet.start(standins.make_manifest(1, ["track", "wash"], [route]))
    for node in fleet.nodes:
        target = standins.Target(
            record, f"i-{node.number:08x}", node.service, 0.1, _make_body
        )
        fleet.targets.append(target)
        await target.start(node.app, node.control)
    await asyncio.sleep(standins.CONTACT_S + 2.0)
    entry = fleet.nodes[0]
    first = await standins.exchange(
        record, entry.outbound, "GET", "/mats/0", DEADLINE_MS
    )
    if not first.is_complete or first.status != 200:
        raise standins.CannotRunError("the fleet does not serve")
    limits = [
        asyncio.create_task(_limit_memory(record, node)) for node in fleet.nodes
    ]
    stopped = asyncio.Event()
    answers: list[standins.Answer] = []
    small = [
        asyncio.create_task(
            _send_small(record, entry.outbound, stopped, answers)
        )
        for _ in range(SMALL_CLIENTS)
    ]
    large = []
    for _ in range(LARGE_CLIENTS):
        large.append(
            asyncio.create_task(_send_large(record, entry.outbound, answers))
        )
        await asyncio.sleep(START_INTERVAL_S)
        if not entry.is_running:
            break
    await asyncio.gather(*large)
    stopped.set()
    await asyncio.gather(*small)
    killed = [node.ip for node in fleet.nodes if not node.is_running]
    for limit in limits:
        limit.cancel()
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
