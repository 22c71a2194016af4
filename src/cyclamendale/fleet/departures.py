"""Upstreams that said that they leave, kept over a restart of their node.

A node that confirmed a departure is bound by it, also when its process is
replaced meanwhile and an old heartbeat arrives late at the new one. So each
departure is a row of the store, which a starting node reads first.
"""

from __future__ import annotations

from collections.abc import Callable
import random as random_module
from typing import Any

from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows

TABLE = "departures"

WRITE_ATTEMPTS = 8
RETRY_DELAY_RANGE_S = (0.2, 0.8)
"""Attempts to write a departure, and bounds of the pauses between: some
four seconds, in which the upstream is gone in any case."""


RETENTION_S = 900.0
"""Time for which a departure is kept; a heartbeat that a partition held up
arrives long before."""


class DepartureStore:
    """Departures of the upstreams of one host.

    Attributes:
        is_loaded: Whether the rows were read, or could not be read at the
            start. Nothing is handed over before that.
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
        self._departed: set[tuple[str, int]] = set()
        self._tasks: set[defer.Deferred[None]] = set()
        self.is_loaded = False

    def start(self, on_loaded: Callable[[], None]) -> None:
        """Reads the rows.

        Args:
            on_loaded: Called once they are read, or can't be read now.
        """
        self._start_task(self._load(on_loaded))

    def stop(self) -> None:
        """Ends what is under way."""
        for task in tuple(self._tasks):
            task.cancel()

    def has_departed(self, upstream_id: str, started_at_ms: int) -> bool:
        """Returns whether a process said that it leaves."""
        return (upstream_id, started_at_ms) in self._departed

    def record(self, upstream_id: str, started_at_ms: int) -> None:
        """Notes and stores a departure; once for each process."""
        if not self.has_departed(upstream_id, started_at_ms):
            self._departed.add((upstream_id, started_at_ms))
            self._start_task(self._write(upstream_id, started_at_ms))

    async def _load(self, on_loaded: Callable[[], None]) -> None:
        result = await self._rows.read(TABLE)
        if result.is_ok():
            for row in result.ok.rows:
                self._load_row(row)
        else:
            # Serving goes first: a heartbeat that is not late is the rule.
            self._log.belief("departures-unread", error=result.error.kind.value)
        self.is_loaded = True
        on_loaded()

    def _load_row(self, row: watched_rows.TableRow) -> None:
        host, _, process = row.key.partition("/")
        upstream_id, _, born = process.rpartition("@")
        if (
            host == self._own_address
            and row.value is not None
            and born.isdigit()
        ):
            self._departed.add((upstream_id, int(born)))
            self._schedule_removal(row.key, row.version)

    async def _write(self, upstream_id: str, started_at_ms: int) -> None:
        key = f"{self._own_address}/{upstream_id}@{started_at_ms}"
        for _ in range(WRITE_ATTEMPTS):
            result = await self._rows.write(TABLE, key, b"", None)
            if result.is_ok():
                self._schedule_removal(key, result.ok.version)
                return
            await load_limit.pause(
                self._clock, self._random.uniform(*RETRY_DELAY_RANGE_S)
            )
        self._log.belief(
            "departure-not-stored",
            upstream=upstream_id,
            error=result.error.kind.value,
        )

    def _schedule_removal(self, key: str, version: int) -> None:
        self._start_task(self._remove_after_retention(key, version))

    async def _remove_after_retention(self, key: str, version: int) -> None:
        await load_limit.pause(self._clock, RETENTION_S)
        result = await self._rows.remove(TABLE, key, version)
        if result.is_error():
            # The next process of this host reads it and tries again.
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
