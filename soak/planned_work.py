"""Planned work: stops, restarts, reloads and changes, in series and at once."""

from __future__ import annotations

import abc
import asyncio
import collections
import json
import pathlib
import random
import signal
import subprocess

from review import standins

READY_TIMEOUT_S = 25.0
STOP_TIMEOUT_S = standins.GRACE_S + 1.0
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


class Fleet:
    """The processes of a fleet and what was done to them.

    Attributes:
        own_ends: Processes that ended though nobody stopped them, or with an
            exit code.
        stops_s: Times of SIGTERM, by host.
    """

    def __init__(
        self,
        record: standins.Record,
        fleet: standins.Fleet,
        services: list[str],
        routes: list[dict],
    ) -> None:
        self._record = record
        self._fleet = fleet
        self._services = services
        self._routes = routes
        self._version = 1
        self._busy: set[int] = set()
        self.own_ends: list[str] = []
        self.stops_s: dict[int, list[float]] = collections.defaultdict(list)

    @property
    def nodes(self) -> list[standins.Node]:
        """Returns the nodes that no other action works on."""
        return [
            node for node in self._fleet.nodes if node.number not in self._busy
        ]

    async def start(self) -> None:
        """Starts all processes and waits until they are ready."""
        await self._fleet.start(self._document())

    def note_own_ends(self) -> None:
        """Notes processes that ended while nothing is done to them."""
        for node in self.nodes:
            if not node.is_running and node.process is not None:
                self._note_end(node, node.process)

    async def restart(self, node: standins.Node, overlaps: bool) -> None:
        """Stops a process and starts the next one.

        Args:
            node: The node.
            overlaps: Whether the next one starts while this one drains.
        """
        self._busy.add(node.number)
        old = node.process
        assert old is not None
        self.stops_s[node.number].append(self._record.now_s())
        node.signal(signal.SIGTERM)
        if overlaps:
            await asyncio.sleep(0.2)
            node.start()
        await self._wait_end(node, old)
        if not overlaps:
            node.start()
        try:
            await self._fleet.wait_ready(node, READY_TIMEOUT_S)
        except standins.CannotRunError:
            self.own_ends.append(f"host {node.number} not ready after a start")
        self._busy.discard(node.number)

    async def reload(self, node: standins.Node) -> None:
        """Sends SIGHUP, also to a process that starts or drains."""
        process = node.process
        if process is None or process.poll() is not None:
            return
        # Until its first statement nothing can keep a signal from ending it.
        if _handles_reload(process):
            node.signal(signal.SIGHUP)

    def publish(self) -> None:
        """Adds a route to the configuration."""
        self._version += 1
        name = f"extra-{self._version}"
        self._routes.append(
            standins.make_route(
                name, f"/{name}/", self._services[0], "idempotent", 5.0
            )
        )
        del self._routes[8:-3]
        self._fleet.store.put("op", "config", self._document())

    def all_nodes(self) -> list[standins.Node]:
        """Returns all nodes, also those that are being restarted."""
        return self._fleet.nodes

    def _document(self) -> bytes:
        return standins.make_manifest(
            self._version, self._services, self._routes
        )

    async def _wait_end(
        self, node: standins.Node, process: subprocess.Popen
    ) -> None:
        ends_s = self._record.now_s() + STOP_TIMEOUT_S
        while process.poll() is None:
            if self._record.now_s() > ends_s:
                self.own_ends.append(f"host {node.number} outlived the grace")
                process.kill()
                process.wait()
                return
            await asyncio.sleep(0.02)
        if process.returncode != 0:
            self._note_end(node, process)

    def _note_end(self, node: standins.Node, process: subprocess.Popen) -> None:
        text = (
            f"host {node.number} pid {process.pid} ended with"
            f" {process.returncode} at {self._record.now_s():.3f}"
        )
        if not any(f"pid {process.pid} " in noted for noted in self.own_ends):
            self._record.line("own-end", what=json.dumps(text))
            self.own_ends.append(text)


def _handles_reload(process: subprocess.Popen) -> bool:
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return False
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask & SIGHUP_BIT for mask in masks)


class Action(abc.ABC):
    """One kind of planned work."""

    @abc.abstractmethod
    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """Does it; returns once it is over."""


class RestartOne(Action):
    """Restarts one process, at times while the old one drains."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        if fleet.nodes:
            await fleet.restart(rng.choice(fleet.nodes), rng.random() < 0.3)


class RestartInTurn(Action):
    """Restarts some processes one after the other."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        for node in rng.sample(fleet.nodes, min(4, len(fleet.nodes))):
            if node in fleet.nodes:
                await fleet.restart(node, False)
                await asyncio.sleep(rng.uniform(0.0, 0.5))


class RestartFailureDomain(Action):
    """Restarts all processes of a failure domain at once."""

    def __init__(self, domain_count: int) -> None:
        self._domain_count = domain_count

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        number = rng.randrange(self._domain_count)
        nodes = [
            node
            for node in fleet.nodes
            if node.number % self._domain_count == number
        ]
        await asyncio.gather(*(fleet.restart(node, False) for node in nodes))


class ReloadSome(Action):
    """Sends SIGHUP to some processes, some of them several times."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        for _ in range(rng.randint(1, 12)):
            await fleet.reload(rng.choice(fleet.all_nodes()))
            await asyncio.sleep(rng.uniform(0.0, 0.3))


class ChangeConfiguration(Action):
    """Publishes changes of the configuration in a row."""

    async def run(self, rng: random.Random, fleet: Fleet) -> None:
        """See base class."""
        for _ in range(rng.randint(1, 4)):
            fleet.publish()
            await asyncio.sleep(rng.uniform(0.1, 1.0))


def make_actions(domain_count: int) -> list[Action]:
    """Returns the kinds of planned work, the more frequent ones repeatedly."""
    return [
        RestartOne(),
        RestartOne(),
        RestartInTurn(),
        RestartFailureDomain(domain_count),
        ReloadSome(),
        ReloadSome(),
        ChangeConfiguration(),
    ]
