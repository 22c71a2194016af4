"""Runs one soak: a fleet, its upstreams, clients and what is done to them."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import functools
import os
import pathlib
import random
import subprocess
import tempfile
import tomllib

from review import standins
from soak import checks
from soak import clients
from soak import configuration
from soak import connections
from soak import departures
from soak import faults
from soak import history
from soak import links
from soak import planned_work
from soak import processes
from soak import scheduling
from soak import sites
from soak import supervision
from soak import targets
from soak import version_checks

SETTLE_S = 4.0
LAST_ANSWERS_S = standins.GRACE_S + 2.0
"""Time after which clients that still wait or read give up."""

LAST_RUNS_S = 1.0
"""Time in which a request that was refused could still reach an upstream."""

WORK_S = (0.02, 0.4)
LONG_WORK_S = 2.5
FAULTY_SHARE = 0.1
"""Share of upstreams with wrong answers."""

PAUSE_S = 2.0
FIRST_VERSION_S = (0.1, 3.0)
"""Time from the first starts to a first configuration that comes late."""

PLANNED_LANES = 2
"""Planned actions that may overlap."""

CALL_DEADLINE_MS = 4_000
CALL_CHECK_S = 0.05
CALL_SHARE = 0.15
"""Share of runs of a service that call another one."""

Result = list[tuple[checks.Finding, str]]


class Work(enum.Enum):
    """What is done to a fleet; the values are those of the command line."""

    PLANNED = "planned"
    ALL = "all"
    FAULTS = "faults"
    STOPS = "stops"


@dataclasses.dataclass(frozen=True)
class Plan:
    """A soak.

    Attributes:
        site: The fleet and its load.
        seed: Seed of the plan and of the clients' choices.
        length_s: Time in which actions start.
        clients: Number of clients.
        work: What is done to the fleet.
        log_folder: Where logs and record are kept, if anywhere.
    """

    site: sites.Site
    seed: int
    length_s: float
    clients: int
    work: Work = Work.ALL
    log_folder: str | None = None


def build() -> None:
    """Runs the build command of the deploy file."""
    deploy = tomllib.loads(
        (standins.ROOT / "deploy" / "system.toml").read_text()
    )
    subprocess.run(deploy["build"], shell=True, check=True, cwd=standins.ROOT)


async def run(plan: Plan) -> tuple[Result, dict[str, int]]:
    """Runs a soak.

    Args:
        plan: The soak.

    Returns:
        Broken promises and counts of what happened.
    """
    os.environ.pop("KEEP_LOGS", None)
    if plan.log_folder is not None:
        kept = pathlib.Path(plan.log_folder) / str(plan.seed)
        kept.mkdir(parents=True, exist_ok=True)
        os.environ["KEEP_LOGS"] = str(kept)
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        record = standins.Record(
            pathlib.Path(os.environ.get("KEEP_LOGS", folder))
            / f"record-{plan.seed}.txt"
        )
        hosts = processes.Hosts(record, plan.site)
        try:
            return await _Soak(plan, record, hosts).play()
        finally:
            hosts.close()
            record.close()


class _Soak:
    def __init__(
        self, plan: Plan, record: standins.Record, hosts: processes.Hosts
    ) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._record = record
        self._hosts = hosts
        self._requests: list[checks.Request] = []
        self._links: links.Links | None = None
        if plan.work in (Work.FAULTS, Work.STOPS):
            self._links = links.Links(hosts)
        self._kinds = connections.make_kinds(plan.site)
        self._history = history.History()
        self._configuration = configuration.Configuration(
            hosts, plan.site, self._kinds, self._history
        )
        self._targets = targets.Targets(
            record,
            hosts.hosts,
            self._make_rng(),
            self._make_call,
            WORK_S,
            LONG_WORK_S,
            0.0 if plan.work is Work.PLANNED else FAULTY_SHARE,
        )
        self._fleet = supervision.Fleet(
            record,
            hosts,
            self._configuration,
            self._targets,
            self._make_rng(),
        )

    async def play(self) -> tuple[Result, dict[str, int]]:
        """Starts everything, does the work and checks."""
        await self._hosts.start_store()
        if self._links is not None:
            await self._links.listen()
        watchers = [
            asyncio.create_task(each)
            for each in (
                scheduling.watch_soak(self._record, self._history),
                scheduling.watch_hosts(
                    self._record, self._history, self._hosts.hosts
                ),
            )
        ]
        try:
            await asyncio.gather(self._fleet.start(), self._publish_first())
            await self._targets.start()
            await asyncio.sleep(SETTLE_S)
            await self._work()
            await asyncio.sleep(LAST_RUNS_S)
            await self._wait_for_calls()
            return self._judge()
        finally:
            for watcher in watchers:
                watcher.cancel()
            await self._fleet.close()
            await self._targets.exit()
            if self._links is not None:
                self._links.close()

    async def _wait_for_calls(self) -> None:
        """Waits until calls of upstreams, which go on, have their answers."""
        ends_s = self._record.now_s() + CALL_DEADLINE_MS / 1000 + LAST_RUNS_S
        while self._record.now_s() < ends_s and any(
            not request.answer.ended_s for request in self._requests
        ):
            await asyncio.sleep(CALL_CHECK_S)

    async def _publish_first(self) -> None:
        """Publishes the first configuration, at times after the starts."""
        rng = self._make_rng()
        await asyncio.sleep(rng.choice((0.0, rng.uniform(*FIRST_VERSION_S))))
        self._configuration.publish()

    async def _work(self) -> None:
        """Lets clients send while the fleet is worked on."""
        stopped = asyncio.Event()
        domains = [
            clients.Domain([h for h in self._hosts.hosts if h.domain == name])
            for name in self._plan.site.failure_domains
        ]
        watchers = [asyncio.create_task(each.watch()) for each in domains]
        senders = [
            asyncio.create_task(
                self._make_client(domains[number % len(domains)]).run(stopped)
            )
            for number in range(self._plan.clients)
        ]
        rng = self._make_rng()
        senders.append(
            asyncio.create_task(
                clients.probe(
                    rng,
                    self._connect,
                    self._hosts.hosts,
                    lambda: self._configuration.choose_kind(rng),
                    stopped,
                )
            )
        )
        await asyncio.gather(*map(self._work_in_series, self._make_lanes()))
        await self._check_end()
        stopped.set()
        await asyncio.wait(senders, timeout=LAST_ANSWERS_S)
        for task in (*senders, *watchers):
            task.cancel()
        results = await asyncio.gather(*senders, return_exceptions=True)
        for error in results:
            if isinstance(error, Exception):
                raise error

    async def _check_end(self) -> None:
        """Checks that all hosts serve all kinds once all work is over."""
        await asyncio.gather(
            *(
                self._fleet.check_serves(
                    host, functools.partial(self._serves, kind=kind), kind.name
                )
                for host in self._hosts.hosts
                for kind in self._kinds
                if kind.is_idempotent
            )
        )

    def _make_lanes(self) -> list[list[planned_work.Action]]:
        """Returns the kinds of actions that follow one another, by lane."""
        if self._plan.work is Work.STOPS:
            assert self._links is not None
            return [
                *[planned_work.make_stops()] * PLANNED_LANES,
                departures.make_ends_of_upstreams(),
                [faults.StoreFault(self._record, self._links, self._serves)],
            ]
        lanes = [planned_work.make_actions()] * PLANNED_LANES
        if self._plan.work is not Work.PLANNED:
            lanes.append(departures.make_actions())
        if self._links is not None:
            lanes.append(
                faults.make_actions(self._record, self._links, self._serves)
            )
        return lanes

    def _make_client(self, domain: clients.Domain) -> clients.Client:
        loads = self._plan.site.loads
        (load,) = self._rng.choices(loads, [each.share for each in loads])
        return clients.Client(
            self._make_rng(),
            self._connect,
            domain,
            [kind for kind in self._kinds if kind.service == load.service],
            load.habit,
            self._plan.site.clients / self._plan.site.requests_per_s,
        )

    def _connect(self, host: processes.Host) -> connections.Connection:
        return connections.Connection(self._record, self._requests, host)

    async def _serves(
        self, host: processes.Host, kind: connections.Kind | None = None
    ) -> bool:
        return await connections.exchange(
            self._connect(host), kind or self._kinds[0]
        )

    def _make_call(self, host: int, service: str) -> targets.Call | None:
        load = next(
            each for each in self._plan.site.loads if each.service == service
        )
        if not load.calls:
            return None
        kind = connections.Kind(f"{load.calls}-call", load.calls, True, "")
        rng = self._make_rng()

        async def call() -> bool:
            return rng.random() >= CALL_SHARE or await connections.exchange(
                self._connect(self._hosts.hosts[host]),
                kind,
                CALL_DEADLINE_MS,
            )

        return call

    async def _work_in_series(self, actions: list[planned_work.Action]) -> None:
        rng = self._make_rng()
        ends_s = self._record.now_s() + self._plan.length_s
        while True:
            await asyncio.sleep(rng.uniform(0.0, PAUSE_S))
            if self._record.now_s() > ends_s:
                return
            action = rng.choice(actions)
            self._record.line("action", name=type(action).__name__)
            await action.run(rng, self._fleet)

    def _make_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    def _judge(self) -> tuple[Result, dict[str, int]]:
        runs = [run for each in self._targets.all for run in each.own_runs]
        result = [
            *self._fleet.findings,
            *checks.find_broken_promises(self._requests, runs, self._history),
            *version_checks.find_broken_promises(
                self._requests, runs, self._history
            ),
        ]
        for finding, text in result:
            self._record.line("finding", rule=finding.value, text=text)
        runs_by_id = checks.group(runs)
        for request in self._requests:
            answer = request.answer
            own_runs = runs_by_id.get(answer.attempt_id, [])
            if answer.status in (0, 502, 504):
                self._record.line(
                    "unanswered",
                    id=answer.attempt_id,
                    host=request.host,
                    sent_s=round(answer.sent_s, 3),
                    took_s=round(answer.ended_s - answer.sent_s, 3),
                    status=answer.status,
                    is_whole=request.is_whole,
                    is_behind=request.is_behind,
                    runs=len(own_runs),
                    excuse=checks.find_excuse(request, own_runs, self._history),
                    detail=answer.detail,
                )
        return result, self._count()

    def _count(self) -> dict[str, int]:
        past = self._history
        statuses = collections.Counter(
            str(request.answer.status or "none") for request in self._requests
        )
        return {
            "requests": len(self._requests),
            "starts": sum(map(len, past.starts_s.values())),
            "stops": sum(map(len, past.stops_s.values())),
            "hangups": sum(map(len, past.hangups_s.values())),
            "impairments": len(past.impairments),
            "upstreams": len(self._targets.all),
            "versions": len(past.versions),
            "store_refusals": self._hosts.store.refused,
            **dict(sorted(statuses.items())),
        }
