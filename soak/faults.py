"""Faults of the store and of links, beside whatever else is done."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
import contextlib
import random

from review import standins
from soak import links as links_module
from soak import planned_work
from soak import processes
from soak import proxy
from soak import supervision

Fleet = planned_work.Fleet

STORE_FAULT_S = (0.5, 8.0)
UPSTREAM_FAULT_S = (0.2, 3.0)
WORK_AFTER_S = (0.0, 0.5)
"""Time until something is done beside a fault of the store."""

LINGER_S = 14.0
"""Time for which an upstream that leaves goes on beyond the drain time, so
that requests which reach it show once its host is in touch again."""

PROBE_INTERVAL_S = 0.25

LINK_MODES: dict[str, Callable[[random.Random], proxy.Mode]] = {
    "silent": lambda _: proxy.SILENT,
    "silent-to-server": lambda _: proxy.SILENT_TO_SERVER,
    "silent-to-client": lambda _: proxy.SILENT_TO_CLIENT,
    "delayed": lambda rng: proxy.both_ways(delay_s=rng.uniform(0.05, 1.0)),
    "limited": lambda rng: proxy.both_ways(bytes_per_s=rng.uniform(5e3, 1e5)),
}
MODES = LINK_MODES | {
    "answers-lost": lambda _: proxy.ANSWERS_LOST,
    "performed-late": lambda rng: proxy.performed_late(rng.uniform(0.5, 4.0)),
    "unavailable": lambda _: proxy.Mode(status=503),
    "too-many": lambda _: proxy.Mode(status=429),
}
ENDS: dict[str, Callable[[proxy.Proxy], None]] = {
    "reset": proxy.Proxy.reset_all,
    "closed": proxy.Proxy.refuse_new,
    "down": proxy.Proxy.close,
    "history-forgotten": proxy.Proxy.reset_all,
}
UPSTREAM_FAULTS = ("reset", *LINK_MODES)
STORE_FAULTS = (*MODES, *ENDS, "slow-transactions")
ABSENCES = ("closed", "closed", "down", "silent", "unavailable", "answers-lost")
"""Faults of the store in which a process that starts reads nothing."""


class Fault(planned_work.Action):
    """Plays faults and checks that the hosts are back after them."""

    def __init__(
        self,
        record: standins.Record,
        links: links_module.Links,
        serves: supervision.Serves,
    ) -> None:
        self._record = record
        self._links = links
        self._serves = serves

    def _begin(
        self, name: str, hit: Iterable[proxy.Proxy], rng: random.Random
    ) -> None:
        """Begins a fault on some links."""
        mode = MODES[name](rng) if name in MODES else proxy.PASS
        if name == "slow-transactions":
            self._links.store.transaction_s = rng.uniform(0.3, 3.0)
        if name == "history-forgotten":
            self._links.store.forget_history()
        for link in hit:
            link.set_mode(mode)
            if name in ENDS:
                ENDS[name](link)

    async def _check_back(
        self, fleet: Fleet, host: processes.Host, name: str
    ) -> None:
        """Checks that a host is ready and serves in time (RULES.md, RECOVER).

        A host that something else is done to meanwhile is not judged.
        """
        process = host.current

        def is_judged(healed_s: float) -> bool:
            return (
                host in fleet.nodes
                and host.current is process
                and not fleet.history.is_impaired(
                    host.number, healed_s, fleet.now_s()
                )
            )

        await fleet.check_serves(host, self._serves, f"after {name}", is_judged)


class StoreAction(Fault):
    """Does something beside a fault of the store; such faults take turns."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        if not self._links.store_lock.locked():
            async with self._links.store_lock:
                await self._play(rng, fleet)

    @abc.abstractmethod
    async def _play(self, rng: random.Random, fleet: Fleet) -> None:
        """Does it; returns when the store is sound again."""

    @contextlib.asynccontextmanager
    async def _fault(
        self,
        rng: random.Random,
        fleet: Fleet,
        name: str,
        hosts: Iterable[processes.Host],
    ) -> AsyncIterator[None]:
        """Impairs the store for some hosts; then checks that all are back."""
        from_s = fleet.now_s()
        numbers = sorted(host.number for host in hosts)
        self._record.line("fault", name=name, hosts=numbers)
        hit = [self._links.to_store[number] for number in numbers]
        self._begin(name, hit, rng)
        try:
            yield
        finally:
            await self._links.heal_store()
            self._record.line("fault-over", name=name)
            fleet.note_impairment(None, from_s, fleet.now_s())
        await asyncio.gather(
            *(self._check_back(fleet, host, name) for host in fleet.nodes)
        )


class StoreFault(StoreAction):
    """Impairs the store for all hosts, a failure domain or one host."""

    async def _play(self, rng: random.Random, fleet: Fleet) -> None:
        hosts = rng.choice(
            (
                fleet.hosts,
                fleet.hosts,
                _choose_domain(rng, fleet),
                [rng.choice(fleet.hosts)],
            )
        )
        name = rng.choice(STORE_FAULTS)
        async with self._fault(rng, fleet, name, hosts):
            await asyncio.sleep(rng.uniform(*STORE_FAULT_S))


class RestartDomainWithoutStore(StoreAction):
    """Restarts a failure domain while the store is away for it or for all."""

    async def _play(self, rng: random.Random, fleet: Fleet) -> None:
        domain = _choose_domain(rng, fleet)
        hosts = [host for host in domain if host in fleet.nodes]
        is_killed = rng.random() < 0.5
        hit = rng.choice((fleet.hosts, domain))
        async with self._fault(rng, fleet, rng.choice(ABSENCES), hit):
            await asyncio.sleep(rng.uniform(*WORK_AFTER_S))
            restarts = asyncio.gather(
                *(_restart(fleet, host, is_killed) for host in hosts)
            )
            await asyncio.sleep(rng.uniform(*STORE_FAULT_S))
            self._record.line(
                "restarted-without-store",
                killed=is_killed,
                hosts=[host.number for host in hosts],
                ready=[h.number for h in hosts if h.current.was_ready_s],
            )
        await restarts


class PublishBesideAbsence(StoreAction):
    """Publishes right before the store goes away, or while it is away."""

    async def _play(self, rng: random.Random, fleet: Fleet) -> None:
        is_before = rng.random() < 0.5
        if is_before:
            fleet.configuration.change(rng)
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        async with self._fault(rng, fleet, rng.choice(ABSENCES), fleet.hosts):
            if not is_before:
                await asyncio.sleep(rng.uniform(*WORK_AFTER_S))
                fleet.configuration.change(rng)
            await asyncio.sleep(rng.uniform(*STORE_FAULT_S))


class LeaveBesideAbsence(StoreAction):
    """An upstream leaves while the store is away; then its host restarts.

    An earlier heartbeat of the upstream arrives late, at the new process.
    """

    async def _play(self, rng: random.Random, fleet: Fleet) -> None:
        hosts = [h for h in fleet.nodes if h.number in fleet.targets.idle]
        if not hosts:
            return
        host = rng.choice(hosts)
        target = fleet.targets.current(host.number)
        heartbeat = target.next_heartbeat()
        async with self._fault(rng, fleet, rng.choice(ABSENCES), fleet.hosts):
            leaving = asyncio.create_task(
                fleet.targets.leave(host.number, False, LINGER_S)
            )
            await asyncio.sleep(rng.uniform(*WORK_AFTER_S))
            with fleet.claimed(host):
                await _replace(fleet, host, rng.random() < 0.5)
                while host.current.is_running and not (
                    await target.post_heartbeat(heartbeat)
                ):
                    await asyncio.sleep(PROBE_INTERVAL_S)
            await asyncio.sleep(rng.uniform(*STORE_FAULT_S))
        await leaving


class UpstreamLinkFault(Fault):
    """Impairs the links of some hosts to their upstreams."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        name = rng.choice(UPSTREAM_FAULTS)
        await asyncio.gather(
            *(
                self._impair(rng, fleet, name, host)
                for host in rng.sample(fleet.hosts, rng.randint(1, 3))
            )
        )

    async def _impair(
        self, rng: random.Random, fleet: Fleet, name: str, host: processes.Host
    ) -> None:
        async with self._links.upstream_locks[host.number]:
            from_s = fleet.now_s()
            link = self._links.to_upstream[host.number]
            self._record.line("upstream-fault", name=name, host=host.number)
            self._begin(name, [link], rng)
            try:
                await asyncio.sleep(rng.uniform(*UPSTREAM_FAULT_S))
            finally:
                link.set_mode(proxy.PASS)
                self._record.line("upstream-fault-over", host=host.number)
                fleet.note_impairment([host.number], from_s, fleet.now_s())
        if host in fleet.nodes:
            await self._check_back(fleet, host, f"upstream link {name}")


def _choose_domain(rng: random.Random, fleet: Fleet) -> list[processes.Host]:
    """Returns the hosts of a failure domain."""
    domain = rng.choice(fleet.hosts).domain
    return [host for host in fleet.hosts if host.domain == domain]


async def _replace(fleet: Fleet, host: processes.Host, is_killed: bool) -> None:
    """Ends a process, by either signal, and waits for the start of the next."""
    process = host.current
    end = fleet.kill if is_killed else fleet.terminate
    end(process)
    while host.current is process:
        await asyncio.sleep(0.02)


async def _restart(fleet: Fleet, host: processes.Host, is_killed: bool) -> None:
    """Restarts a process and waits until the next one is ready, or late."""
    with fleet.claimed(host):
        await _replace(fleet, host, is_killed)
        await fleet.wait_settled(host)


def make_actions(
    record: standins.Record,
    links: links_module.Links,
    serves: supervision.Serves,
) -> list[planned_work.Action]:
    """Returns the kinds of faults, the more frequent ones repeatedly."""
    kinds = (
        StoreFault,
        StoreFault,
        RestartDomainWithoutStore,
        PublishBesideAbsence,
        LeaveBesideAbsence,
        UpstreamLinkFault,
    )
    return [kind(record, links, serves) for kind in kinds]
