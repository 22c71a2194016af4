"""Clients that pipeline, send and read slowly, and keep their connections."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import random

from soak import checks
from soak import connections
from soak import processes
from soak import sites

EXCHANGE_REQUESTS = 12
"""Requests without a pause of a client that keeps its pipeline full."""

DEPTHS = {
    sites.Habit.PIPELINE: (2, 3, 3, 6, 12),
    sites.Habit.POOL: (1, 1, 1, 1, 3, 3),
    sites.Habit.FRESH: (1,),
}
"""Requests that a client sends before the first answer."""

IN_AFTER_S = 1.0
"""Interval of the readiness checks that decide where new work goes."""

SLOW_BYTES_PER_S = 900_000
LARGE_BYTES = (800_000, 2_500_000)
UPLOAD_BYTES = (2_000, 60_000)
UPLOAD_S = (0.1, 3.0)
PROBE_INTERVAL_S = (0.05, 0.4)
GIVE_UP_SHARE = 0.02
GIVE_UP_S = (0.0, 0.6)


class Domain:
    """Where the clients of a failure domain send new work.

    A host is out after two failed readiness checks, unless fewer than half
    of the hosts are in (PROTOCOL.md, Ingress).
    """

    def __init__(self, hosts: list[processes.Host]) -> None:
        self.hosts = hosts
        self._misses = {host.number: 0 for host in hosts}

    async def watch(self) -> None:
        """Checks the readiness of all hosts until it is cancelled."""
        while True:
            results = await asyncio.gather(
                *(host.is_ready() for host in self.hosts)
            )
            for host, is_ready in zip(self.hosts, results, strict=True):
                misses = self._misses[host.number]
                self._misses[host.number] = 0 if is_ready else misses + 1
            await asyncio.sleep(IN_AFTER_S)

    def choose(self, rng: random.Random) -> processes.Host:
        """Returns the host for a new connection."""
        hosts = [host for host in self.hosts if self._misses[host.number] < 2]
        if 2 * len(hosts) < len(self.hosts):
            hosts = self.hosts
        return rng.choice(hosts)


class Client:
    """A client of one service."""

    def __init__(
        self,
        rng: random.Random,
        connect: Callable[[processes.Host], connections.Connection],
        domain: Domain,
        kinds: list[connections.Kind],
        habit: sites.Habit,
        interval_s: float,
    ) -> None:
        self._rng = rng
        self._connect = connect
        self._domain = domain
        self._kinds = [kind for kind in kinds if kind.key]
        self._habit = habit
        self._interval_s = interval_s
        self._reads_slowly = rng.random() < 0.15
        self._sends_slowly = rng.random() < 0.25
        # Sends to one host and doesn't look whether it says that it is ready.
        self._only_host = rng.choice(domain.hosts)
        self._stays = rng.random() < 0.4
        self._depth = rng.choice(DEPTHS[habit])
        self._keeps_pipeline_full = rng.random() < 0.5

    async def run(self, stopped: asyncio.Event) -> None:
        """Sends requests until told to stop."""
        await asyncio.sleep(self._rng.uniform(0.0, self._interval_s))
        while not stopped.is_set():
            host = self._only_host
            if not self._stays:
                host = self._domain.choose(self._rng)
            connection = self._connect(host)
            if not await connection.open(self._reads_slowly):
                await asyncio.sleep(0.1)
                continue
            try:
                while not stopped.is_set():
                    if not await self._exchange(connection):
                        break
            finally:
                connection.close()

    async def _exchange(self, connection: connections.Connection) -> bool:
        """Sends some requests; returns whether the connection stays."""
        started_s = asyncio.get_running_loop().time()
        if self._sends_slowly and self._rng.random() < 0.5:
            count, stays = 1, await self._upload(connection)
        else:
            count, stays = await self._send_several(connection)
        pause_s = self._rng.uniform(0.5, 1.5) * self._interval_s * count
        spent_s = asyncio.get_running_loop().time() - started_s
        await asyncio.sleep(max(0.0, pause_s - spent_s))
        return stays and self._habit is not sites.Habit.FRESH

    async def _upload(self, connection: connections.Connection) -> bool:
        kind = next(kind for kind in self._kinds if not kind.is_idempotent)
        request = await connection.upload(
            kind,
            self._choose_size(),
            self._rng.randbytes(self._rng.randint(*UPLOAD_BYTES)),
            self._rng.uniform(*UPLOAD_S),
            self._rng.random() < 0.5,
        )
        head = request.answer.head
        return (
            request.is_whole
            and request.answer.is_complete
            and head is not None
            and head.get("connection").lower() != "close"
        )

    async def _send_several(
        self, connection: connections.Connection
    ) -> tuple[int, bool]:
        waiting = collections.deque(
            self._send(connection) for _ in range(self._depth)
        )
        count = self._depth
        if self._rng.random() < GIVE_UP_SHARE:
            await asyncio.sleep(self._rng.uniform(*GIVE_UP_S))
            connection.close()
            return count, False
        while waiting:
            request = waiting.popleft()
            speed = SLOW_BYTES_PER_S if self._reads_slowly else 0.0
            if not await connection.read(request, speed):
                for later in waiting:
                    later.answer.ended_s = request.answer.ended_s
                    later.answer.detail = "behind the last answer"
                return count, False
            if self._keeps_pipeline_full and (
                count + self._depth <= EXCHANGE_REQUESTS
            ):
                waiting.append(self._send(connection))
                count += 1
        return count, True

    def _send(self, connection: connections.Connection) -> checks.Request:
        kind = self._rng.choice(self._kinds)
        body = b"" if kind.is_idempotent else self._rng.randbytes(30)
        return connection.send(kind, self._choose_size(), body)

    def _choose_size(self) -> int:
        if self._rng.random() < (0.5 if self._reads_slowly else 0.03):
            return self._rng.randint(*LARGE_BYTES)
        return self._rng.randint(20, 2_000)


async def probe(
    rng: random.Random,
    connect: Callable[[processes.Host], connections.Connection],
    hosts: list[processes.Host],
    choose_kind: Callable[[], connections.Kind],
    stopped: asyncio.Event,
) -> None:
    """Asks for routes, with keys, that come and go until told to stop."""
    while not stopped.is_set():
        await asyncio.sleep(rng.uniform(*PROBE_INTERVAL_S))
        await connections.exchange(connect(rng.choice(hosts)), choose_kind())
