"""Unplanned ends and freezes of processes; ends of upstreams."""

from __future__ import annotations

import asyncio
import random

from soak import planned_work
from soak import supervision

LINGER_S = 6.0
"""Time for which an upstream goes on beyond the drain time, so that requests
that reach it show once its host is in touch again."""

RETURNS_AFTER_S = (0.05, 2.0)
REPLACED_AFTER_S = (2.0, 3.0)
"""Time after which an address may be used again (`addr_reuse_s`)."""


class Kill(planned_work.Action):
    """Kills one process, many, a failure domain or all, at times in a row."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        hosts = fleet.hosts
        domain = rng.choice(hosts).domain
        killed = rng.choice(
            (
                rng.sample(hosts, 1),
                rng.sample(hosts, 1),
                rng.sample(hosts, rng.randint(2, len(hosts))),
                [host for host in hosts if host.domain == domain],
            )
        )
        for _ in range(rng.choice((1, 1, 1, 2, 3))):
            for host in killed:
                fleet.kill(host.current)
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        await asyncio.gather(*map(fleet.wait_settled, killed))


class FreezeSome(planned_work.Action):
    """Freezes some processes for seconds."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        hosts = rng.sample(fleet.hosts, rng.choice((1, 1, 2)))
        await asyncio.gather(
            *(
                fleet.freeze(host.current, rng.uniform(0.5, 5.0))
                for host in hosts
            )
        )


class EndTargets(planned_work.Action):
    """Ends some upstreams, planned or not; others follow, or the same ones."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        targets = fleet.targets
        count = min(len(targets.idle), rng.randint(1, 2))
        await asyncio.gather(
            *(
                targets.leave(host, rng.random() < 0.7)
                if rng.random() < 0.6
                else targets.crash(host, rng.random() < 0.5)
                for host in rng.sample(targets.idle, count)
            )
        )


class KillAfterConfirmation(planned_work.Action):
    """Kills a process, or all, right after it confirmed a departure."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        if not fleet.targets.idle:
            return
        host = fleet.hosts[rng.choice(fleet.targets.idle)]
        target = fleet.targets.current(host.number)
        leaving = asyncio.create_task(
            fleet.targets.leave(host.number, rng.random() < 0.5, LINGER_S)
        )
        while target.left_s is None and not leaving.done():
            await asyncio.sleep(0.001)
        await asyncio.sleep(rng.choice((0.0, 0.01, 0.1)))
        for killed in rng.choice(([host], [host], fleet.hosts)):
            fleet.kill(killed.current)
        await leaving


class ReplaceMachine(planned_work.Action):
    """Takes a machine away; it comes back, or another one takes its place.

    The other one has a new address, or the same one and another service.
    """

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        idle = {host.number for host in fleet.nodes} & {*fleet.targets.idle}
        if not idle:
            return
        host = fleet.hosts[rng.choice(sorted(idle))]
        leaves = rng.random() < 0.5
        services = [each.service for each in fleet.hosts]
        moves = host.upstream_link is None and rng.random() < 0.3
        service = host.service
        if not moves and services.count(service) > 1:
            service = rng.choice([service, *services])
        returns = service == host.service and not moves

        async def replace() -> None:
            host.is_away = True
            (fleet.terminate if leaves else fleet.kill)(host.current)
            await host.current.ended.wait()
            after_s = RETURNS_AFTER_S if returns else REPLACED_AFTER_S
            await asyncio.sleep(rng.uniform(*after_s))
            await host.become_another(service, moves)
            fleet.start_process(host)
            host.is_away = False

        with fleet.claimed(host):
            await fleet.targets.replace(host.number, leaves, replace())
            await fleet.wait_settled(host)


def make_actions() -> list[planned_work.Action]:
    """Returns the kinds of departures, the more frequent ones repeatedly."""
    return [
        Kill(),
        Kill(),
        FreezeSome(),
        EndTargets(),
        EndTargets(),
        EndTargets(),
        KillAfterConfirmation(),
        ReplaceMachine(),
        ReplaceMachine(),
    ]


def make_ends_of_upstreams() -> list[planned_work.Action]:
    """Returns departures that impair no process."""
    return [EndTargets()]
