"""Requests with a body whose client offers to upgrade the connection.

Some HTTP clients offer HTTP/2 with `Connection: Upgrade` and `Upgrade: h2c` in
each request without TLS; a server that doesn't want to upgrade ignores this.
Both headers concern one connection only. With TROUBLE=0 the same requests are
sent without them.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 20
DEADLINE_MS = 5_000
SERVICES = ["wash", "wash", "pickup", "pickup"]
UPGRADE = "Connection: Upgrade\r\nUpgrade: h2c\r\n"


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:16]


class _Exchange:
    """One request of a client, and what was answered on its connection."""

    def __init__(self, number: int) -> None:
        self.attempt_id = standins.make_id()
        self.body = f"batch {number}: 14 mats, hatyai".encode()
        self.answers: list[int] = []

    async def run(self, record: standins.Record, address: str) -> None:
        """Sends the request on a new connection; reads until it is idle."""
        reader, writer = await standins.connect(address)
        record.line(
            "sent",
            id=self.attempt_id,
            method="POST",
            body_bytes=len(self.body),
            body=_digest(self.body),
        )
        head = standins.encode_request(
            "POST", "/batches/", self.attempt_id, DEADLINE_MS, self.body
        )
        if TROUBLE:
            start, _, rest = head.partition(b"\r\n")
            head = start + b"\r\n" + UPGRADE.encode() + rest
        writer.write(head)
        try:
            while True:
                answer = standins.Answer(self.attempt_id)
                # A second answer would belong to no request.
                wait_s = 0.5 if self.answers else DEADLINE_MS / 1000
                await asyncio.wait_for(
                    standins.read_answer(answer, reader), wait_s
                )
                if answer.head is None:
                    break
                self.answers.append(answer.status)
        except (OSError, TimeoutError):
            pass
        writer.close()
        record.line("answered", id=self.attempt_id, statuses=self.answers)


async def _play(record: standins.Record, fleet: standins.Fleet) -> int:
    route = standins.make_route(
        "batch-log", "/batches/", "wash", "non_idempotent", 2.0
    )
    await fleet.start(standins.make_manifest(1, ["wash", "pickup"], [route]))
    for node in fleet.nodes:
        target = standins.Target(
            record, f"i-{node.number:08x}", node.service, 0.05
        )
        fleet.targets.append(target)
        await target.start(node.app, node.control)
    await asyncio.sleep(standins.CONTACT_S + 2.0)
    address = fleet.nodes[3].outbound
    first = await standins.exchange(
        record, address, "POST", "/batches/", DEADLINE_MS, b"batch 0"
    )
    if not first.is_complete or first.status != 200:
        raise standins.CannotRunError("the fleet does not serve")
    exchanges = [_Exchange(number) for number in range(1, REQUESTS + 1)]
    for exchange in exchanges:
        await exchange.run(record, address)
    runs = {run.attempt_id: run for t in fleet.targets for run in t.runs}
    changed = [
        exchange
        for exchange in exchanges
        if exchange.attempt_id in runs
        and runs[exchange.attempt_id].body != exchange.body
    ]
    record.line(
        "verdict",
        rule="UNASKED",
        run=sum(exchange.attempt_id in runs for exchange in exchanges),
        of=len(exchanges),
        run_with_changed_body=len(changed),
        of_these_answered_200=sum(200 in each.answers for each in changed),
        with_a_second_answer=sum(len(each.answers) > 1 for each in exchanges),
    )
    return 1 if changed else 0


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
