"""Unplanned ends and freezes of processes; ends of upstreams."""

from __future__ import annotations

import asyncio
import random

from soak import planned_work
from soak import supervision


class KillOne(planned_work.Action):
    """Kills a process in any state, at times several times in a row."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        host = rng.choice(fleet.hosts)
        for _ in range(rng.choice((1, 1, 1, 2, 3))):
            fleet.kill(host.current)
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        await fleet.wait_settled(host)


class KillMany(planned_work.Action):
    """Kills many processes, or all of a failure domain, at once."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        hosts = fleet.hosts
        if rng.random() < 0.5:
            domain = rng.choice(hosts).domain
            killed = [host for host in hosts if host.domain == domain]
        else:
            killed = rng.sample(hosts, rng.randint(2, len(hosts) // 2))
        for host in killed:
            fleet.kill(host.current)
        await asyncio.sleep(1.0)
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


class CrashMachine(planned_work.Action):
    """Ends a process and its upstream at the same moment."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        if not fleet.targets.idle:
            return
        host = fleet.hosts[rng.choice(fleet.targets.idle)]
        fleet.kill(host.current)
        await fleet.targets.crash(host.number, keeps_id=False)
        await fleet.wait_settled(host)


class LeaveTarget(planned_work.Action):
    """Lets some upstreams leave as planned; others follow."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        idle = fleet.targets.idle
        await asyncio.gather(
            *(
                fleet.targets.leave(host, rng.random() < 0.7)
                for host in rng.sample(idle, min(len(idle), rng.randint(1, 2)))
            )
        )


class CrashTarget(planned_work.Action):
    """Ends an upstream at once; it comes back, at times under its id."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        if fleet.targets.idle:
            await fleet.targets.crash(
                rng.choice(fleet.targets.idle), rng.random() < 0.5
            )


class LeaveMachine(planned_work.Action):
    """Lets an upstream leave, then stops its process."""

    async def run(self, rng: random.Random, fleet: supervision.Fleet) -> None:
        """See base class."""
        idle = {host.number for host in fleet.nodes} & {*fleet.targets.idle}
        if not idle:
            return
        host = fleet.hosts[rng.choice(sorted(idle))]
        await fleet.targets.leave(host.number, rng.random() < 0.7)
        if host in fleet.nodes:
            await fleet.restart(host, overlaps=False)


def make_actions() -> list[planned_work.Action]:
    """Returns the kinds of departures, the more frequent ones repeatedly."""
    return [
        KillOne(),
        KillMany(),
        FreezeSome(),
        CrashMachine(),
        LeaveTarget(),
        LeaveTarget(),
        CrashTarget(),
        LeaveMachine(),
    ]


def make_ends_of_upstreams() -> list[planned_work.Action]:
    """Returns departures that impair no process."""
    return [LeaveTarget(), LeaveTarget(), CrashTarget(), LeaveMachine()]
