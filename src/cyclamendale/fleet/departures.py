"""Persists the departures of upstreams across restarts of their node.

A node that confirmed a departure must not send requests to that upstream
process again, even if the node restarts and its new process receives an old
heartbeat late. Each departure is therefore a row of the store, and a
starting node reads these rows first. Reports tell other nodes of the last ones,
which tell the node's next process in case the store was away.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
import random as random_module
from typing import Any

from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import host_report
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows

TABLE = "departures"

FAST_WRITE_ATTEMPTS = 8
RETRY_DELAY_RANGE_S = (0.2, 0.8)
SLOW_RETRY_DELAY_RANGE_S = (2.0, 6.0)
"""First attempts to write a departure, and ranges of the random delays after
these and after later ones. They end with the retention period: until then the
next process of the node may need the row."""

REREAD_DELAY_RANGE_S = (0.8, 1.6)
"""Range of the random delay until the rows are read again after an error."""

RETENTION_S = 900.0
"""Retention period of a departure; a heartbeat delayed by a partition
arrives long before it ends."""


class DepartureStore:
    """Departures of the upstreams of one host.

    Attributes:
        is_loaded: Whether the initial read has finished, successfully or
            not. The gate stays closed until then.
        recent: The last departures, which reports tell.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        rows: watched_rows.WatchedRows,
        own_address: ids.PeerAddress,
        log: Any,
    ) -> None:
        self._clock = clock
        self._random = random
        self._rows = rows
        self._own_address = own_address
        self._log = log
        # Latest start time of a departed process, by upstream id.
        self._departed: dict[str, int] = {}
        self._tasks: set[defer.Deferred[None]] = set()
        self.is_loaded = False
        self.recent: tuple[host_report.Departure, ...] = ()

    def start(self, on_loaded: Callable[[], None], is_needless: bool) -> None:
        """Starts to read the rows.

        Args:
            on_loaded: Called once the first read has succeeded or failed, and
                in the latter case again once a later one has succeeded.
            is_needless: Whether there can be no rows yet.
        """
        if is_needless:
            self.is_loaded = True
            on_loaded()
        else:
            self._start_task(self._load(on_loaded))

    def stop(self) -> None:
        """Cancels all running tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    def has_departed(self, upstream_id: str, started_at_ms: int) -> bool:
        """Returns whether a process, or a later one of its id, departed."""
        return started_at_ms <= self._departed.get(upstream_id, -1)

    def record(self, upstream_id: str, started_at_ms: int | None) -> None:
        """Records and stores a departure, once per process.

        Args:
            upstream_id: Id of the upstream process.
            started_at_ms: Its start time; None if unknown, which means every
                process of the id that has started until now.
        """
        if started_at_ms is None:
            started_at_ms = int(self._clock.wall_s() * 1000.0)
        if not self.has_departed(upstream_id, started_at_ms):
            self._remember(upstream_id, started_at_ms)
            self._start_task(self._write(upstream_id, started_at_ms))

    def learn(self, departures: Sequence[host_report.Departure]) -> None:
        """Takes departures that an earlier process told other nodes of."""
        for each in departures:
            self._remember(each.upstream_id, each.started_at_ms)

    def _remember(self, upstream_id: str, started_at_ms: int) -> None:
        known_ms = self._departed.get(upstream_id, -1)
        self._departed[upstream_id] = max(started_at_ms, known_ms)
        self.recent = host_report.merge_departures(
            self.recent, (host_report.Departure(upstream_id, started_at_ms),)
        )

    async def _load(self, on_loaded: Callable[[], None]) -> None:
        result = await self._rows.read(TABLE)
        while result.is_error():
            if not self.is_loaded:
                # Start serving anyway: late heartbeats are the exception.
                self._log.belief(
                    "departures-unread", error=result.error.kind.value
                )
                self.is_loaded = True
                on_loaded()
            await load_limit.sleep(
                self._clock, self._random.uniform(*REREAD_DELAY_RANGE_S)
            )
            result = await self._rows.read(TABLE)
        for row in result.ok.rows:
            self._load_row(row)
        self.is_loaded = True
        on_loaded()

    def _load_row(self, row: watched_rows.TableRow) -> None:
        host, _, process = row.key.partition("/")
        upstream_id, _, start_time = process.rpartition("@")
        if (
            host == self._own_address
            and row.value is not None
            and start_time.isdecimal()
        ):
            self._remember(upstream_id, int(start_time))
            self._schedule_removal(row.key, row.version)

    async def _write(self, upstream_id: str, started_at_ms: int) -> None:
        key = f"{self._own_address}/{upstream_id}@{started_at_ms}"
        give_up_s = self._clock.now_s() + RETENTION_S
        attempts = 0
        while True:
            result = await self._rows.write(TABLE, key, b"", None)
            if result.is_ok():
                self._schedule_removal(key, result.ok.version)
                return
            attempts += 1
            if attempts == FAST_WRITE_ATTEMPTS:
                self._log.belief(
                    "departure-not-stored",
                    upstream=upstream_id,
                    error=result.error.kind.value,
                )
            if self._clock.now_s() >= give_up_s:
                return
            delay_range_s = (
                RETRY_DELAY_RANGE_S
                if attempts < FAST_WRITE_ATTEMPTS
                else SLOW_RETRY_DELAY_RANGE_S
            )
            await load_limit.sleep(
                self._clock, self._random.uniform(*delay_range_s)
            )

    def _schedule_removal(self, key: str, version: int) -> None:
        self._start_task(self._remove_after_retention(key, version))

    async def _remove_after_retention(self, key: str, version: int) -> None:
        await load_limit.sleep(self._clock, RETENTION_S)
        result = await self._rows.remove(TABLE, key, version)
        if result.is_error():
            # The node's next process reads the row and retries.
            self._log.belief(
                "departure-not-removed", error=result.error.kind.value
            )

    def _start_task(self, coroutine: Any) -> None:
        task = defer.Deferred.fromCoroutine(coroutine)
        self._tasks.add(task)
        task.addErrback(self._log_defect)
        task.addBoth(lambda _: self._tasks.discard(task))

    def _log_defect(self, failure: Any) -> None:
        if failure.check(defer.CancelledError) is None:
            self._log.defect("departures", failure)
