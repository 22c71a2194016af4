"""Runs one soak: a fleet, its upstreams, clients and planned work."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import random
import subprocess
import tempfile
import tomllib

from review import standins
from soak import checks
from soak import clients
from soak import planned_work
from soak import sites

SETTLE_S = 4.0
WORK_S = (0.02, 0.4)
LONG_WORK_S = 2.5
LANES = 3
"""Actions that may overlap."""

Result = list[tuple[checks.Finding, str]]


def build() -> None:
    """Runs the build command of the deploy file."""
    deploy = tomllib.loads(
        (standins.ROOT / "deploy" / "system.toml").read_text()
    )
    subprocess.run(deploy["build"], shell=True, check=True, cwd=standins.ROOT)


async def run(
    site: sites.Site,
    seed: int,
    length_s: float,
    client_count: int,
    log_folder: str | None = None,
) -> tuple[Result, dict[str, int]]:
    """Runs a soak.

    Args:
        site: Size of the fleet.
        seed: Seed of the plan and of the clients' choices.
        length_s: Time of planned work.
        client_count: Number of clients.
        log_folder: Where the logs of the processes are kept, if anywhere.

    Returns:
        Broken promises and counts of what happened.
    """
    if log_folder is not None:
        log_folder = f"{log_folder}/{seed}"
        pathlib.Path(log_folder).mkdir(parents=True, exist_ok=True)
        os.environ["KEEP_LOGS"] = log_folder
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        record = standins.Record(
            pathlib.Path(log_folder or folder) / f"record-{seed}.txt"
        )
        fleet = standins.Fleet(
            record, list(site.services), site.failure_domains
        )
        try:
            return await _Soak(
                site, seed, length_s, client_count, record, fleet
            ).play()
        finally:
            for target in fleet.targets:
                await target.exit()
            fleet.close()
            record.close()


class _Soak:
    def __init__(
        self,
        site: sites.Site,
        seed: int,
        length_s: float,
        client_count: int,
        record: standins.Record,
        fleet: standins.Fleet,
    ) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._length_s = length_s
        self._client_count = client_count
        self._record = record
        self._fleet = fleet
        self._requests: list[checks.Request] = []
        services = sorted(set(site.services))
        self._prefixes = [
            (f"/{service}-{kind}/", kind == "read")
            for service in services
            for kind in ("read", "write")
        ]
        self._processes = planned_work.Fleet(
            record,
            fleet,
            services,
            [
                standins.make_route(
                    prefix.strip("/"),
                    prefix,
                    prefix[1:].partition("-")[0],
                    "idempotent" if is_idempotent else "non_idempotent",
                    clients.ROUTE_TIMEOUT_S,
                )
                for prefix, is_idempotent in self._prefixes
            ],
        )

    async def play(self) -> tuple[Result, dict[str, int]]:
        """Starts everything, does the planned work and checks."""
        await self._processes.start()
        await self._start_targets()
        await asyncio.sleep(SETTLE_S)
        stopped = asyncio.Event()
        domain_count = len(self._site.failure_domains)
        domains = [
            clients.Domain(self._fleet.nodes[number::domain_count])
            for number in range(domain_count)
        ]
        watchers = [asyncio.create_task(each.watch()) for each in domains]
        senders = [
            asyncio.create_task(
                clients.Client(
                    random.Random(self._rng.random()),
                    self._record,
                    domains[number % domain_count],
                    self._prefixes,
                    self._requests,
                ).run(stopped)
            )
            for number in range(self._client_count)
        ]
        await asyncio.gather(*(self._work_in_series() for _ in range(LANES)))
        stopped.set()
        await asyncio.gather(*senders)
        for watcher in watchers:
            watcher.cancel()
        self._processes.note_own_ends()
        return self._judge()

    async def _start_targets(self) -> None:
        for node in self._fleet.nodes:
            work_s = self._rng.uniform(*WORK_S)
            if self._rng.random() < 0.1:
                work_s = LONG_WORK_S
            target = standins.Target(
                self._record,
                f"i-{node.number:08x}",
                node.service,
                work_s,
                clients.make_body,
            )
            self._fleet.targets.append(target)
            await target.start(node.app, node.control)

    async def _work_in_series(self) -> None:
        rng = random.Random(self._rng.random())
        actions = planned_work.make_actions(len(self._site.failure_domains))
        ends_s = self._record.now_s() + self._length_s
        while self._record.now_s() < ends_s:
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            action = rng.choice(actions)
            self._record.line("action", name=type(action).__name__)
            await action.run(rng, self._processes)
            self._processes.note_own_ends()

    def _judge(self) -> tuple[Result, dict[str, int]]:
        result = [
            (checks.Finding.OWN_END, text) for text in self._processes.own_ends
        ]
        runs = [run for each in self._fleet.targets for run in each.runs]
        result += checks.find_broken_promises(
            self._requests, runs, self._processes.stops_s
        )
        statuses = collections.Counter(
            str(request.answer.status or "none") for request in self._requests
        )
        counts = {
            "requests": len(self._requests),
            "stops": sum(map(len, self._processes.stops_s.values())),
            **dict(sorted(statuses.items())),
        }
        for request in self._requests:
            answer = request.answer
            if answer.status in (0, 502, 504):
                self._record.line(
                    "unanswered",
                    id=answer.attempt_id,
                    host=request.host,
                    sent_s=round(answer.sent_s, 3),
                    took_s=round(answer.ended_s - answer.sent_s, 3),
                    status=answer.status,
                    detail=answer.detail,
                )
        for finding, text in result:
            self._record.line("finding", rule=finding.value, text=text)
        return result, counts
