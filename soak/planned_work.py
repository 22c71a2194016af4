"""Planned work: stops, restarts, reloads and changes, in series and at once."""

from __future__ import annotations

import abc
import asyncio
import random

from soak import supervision

Fleet = supervision.Fleet


class Action(abc.ABC):
    """Something that is done to a fleet."""

    @abc.abstractmethod
    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """Does it; returns once it is over."""


class RestartSome(Action):
    """Restarts processes in turn, at times while the old one drains."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        count = min(rng.choice((1, 1, 4)), len(fleet.nodes))
        for host in rng.sample(fleet.nodes, count):
            if host in fleet.nodes:
                await fleet.restart(host, rng.random() < 0.3)
                await asyncio.sleep(rng.uniform(0.0, 0.5))


class RestartFailureDomain(Action):
    """Restarts all processes of a failure domain at once."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        domain = rng.choice(fleet.hosts).domain
        await asyncio.gather(
            *(
                fleet.restart(host, rng.random() < 0.1)
                for host in fleet.nodes
                if host.domain == domain
            )
        )


class StopTwice(Action):
    """Stops a process twice, and the next one while it starts or waits."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        if not fleet.nodes:
            return
        host = rng.choice(fleet.nodes)
        with fleet.claimed(host):
            old = host.current
            fleet.terminate(old)
            if rng.random() < 0.5:
                # The next process waits for the addresses of this one.
                new = fleet.start_process(host)
                await asyncio.sleep(rng.uniform(0.0, 0.6))
                fleet.terminate(new)
            while old.is_running:
                await asyncio.sleep(rng.uniform(0.005, 0.5))
                fleet.terminate(old)
            while host.current is old:
                await asyncio.sleep(0.001)
            await asyncio.sleep(rng.uniform(0.0, 0.6))
            fleet.terminate(host.current)
            await asyncio.sleep(1.0)
            await fleet.wait_settled(host)


class HangUpSome(Action):
    """Sends SIGHUP to processes in any state, in series and to all at once."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        for _ in range(rng.randint(1, 12)):
            hosts = fleet.hosts
            if rng.random() < 0.8:
                hosts = [rng.choice(hosts)]
            for host in hosts:
                for process in host.processes[-2:]:
                    fleet.hang_up(process)
            await asyncio.sleep(rng.uniform(0.0, 0.3))


class RewriteSettings(Action):
    """Writes settings in two parts beside starts and reloads."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        host = rng.choice(fleet.hosts)
        writing = asyncio.create_task(
            host.rewrite_settings(rng.uniform(0.02, 1.2))
        )
        if rng.random() < 0.5 and host in fleet.nodes:
            await fleet.restart(host, rng.random() < 0.5)
        elif rng.random() < 0.5:
            fleet.hang_up(host.current)
        await writing
        if rng.random() < 0.5:
            fleet.hang_up(host.current)


class ChangeConfiguration(Action):
    """Publishes changes of the configuration in a row."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        for _ in range(rng.randint(1, 4)):
            fleet.configuration.change(rng)
            await asyncio.sleep(rng.uniform(0.1, 1.0))


def make_actions() -> list[Action]:
    """Returns the kinds of planned work, the more frequent ones repeatedly."""
    return [
        RestartSome(),
        RestartSome(),
        RestartSome(),
        RestartFailureDomain(),
        StopTwice(),
        HangUpSome(),
        HangUpSome(),
        RewriteSettings(),
        ChangeConfiguration(),
    ]


def make_stops() -> list[Action]:
    """Returns planned work that stops processes, one or many at once."""
    return [RestartSome(), RestartFailureDomain()]
