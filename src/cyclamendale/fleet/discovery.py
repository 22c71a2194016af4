"""Finds the other hosts through rows of the store.

Each node writes a row of its own and then reads all rows, so of any two
nodes at least one sees the other's; its introduction does the rest.
"""

from __future__ import annotations

from collections.abc import Callable
import random as random_module
from typing import Any

import msgspec
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import hosts
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows

TABLE = "hosts"

RETRY_S = (0.2, 0.8)
"""Bounds of the pause after the store failed, spread over the nodes."""

READ_AGAIN_S = 3.0
"""First pause until the rows are read again, and its growth by factors."""

READ_AGAIN_FACTOR = 4.0
MOST_PAUSE_S = 300.0


class _HostRow(msgspec.Struct):
    failure_domain: str


class Discovery:
    """Keeps the own row and introduces the node to all others."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        rows: watched_rows.WatchedRows,
        own: ids.PeerAddress,
        failure_domain: ids.FailureDomainName,
        view: hosts.HostView,
        introduce: Callable[[ids.PeerAddress], None],
        log: Any,
    ) -> None:
        self._clock = clock
        self._random = random
        self._rows = rows
        self._own = own
        self._failure_domain = failure_domain
        self._view = view
        self._introduce = introduce
        self._log = log
        self._loop: defer.Deferred[None] | None = None
        self.has_read = False

    def start(self) -> None:
        """Begins to write and read."""
        self._loop = defer.Deferred.fromCoroutine(self._run())
        self._loop.addErrback(self._ended)

    def stop(self) -> None:
        """Ends the work."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        await self._until_done(self._write)
        pause_s = READ_AGAIN_S
        while True:
            await self._until_done(self._read)
            self.has_read = True
            await load_limit.pause(
                self._clock, pause_s * self._random.uniform(0.8, 1.2)
            )
            pause_s = min(MOST_PAUSE_S, pause_s * READ_AGAIN_FACTOR)

    async def _until_done(self, step: Callable[[], Any]) -> None:
        while True:
            result = await step()
            if result.is_ok():
                return
            self._log.belief(
                "discovery-failed",
                error=result.error.kind.value,
                detail=result.error.detail,
            )
            await load_limit.pause(self._clock, self._random.uniform(*RETRY_S))

    async def _write(self) -> watched_rows.RowsResult:
        value = msgspec.json.encode(_HostRow(self._failure_domain))
        return await self._rows.write(TABLE, self._own, value, None)

    async def _read(self) -> watched_rows.RowsResult:
        result = await self._rows.read(TABLE)
        if result.is_ok():
            for row in result.ok.rows:
                self._take(row)
        return result

    def _take(self, row: watched_rows.TableRow) -> None:
        if row.value is None or row.key == self._own:
            return
        try:
            known = msgspec.json.decode(row.value, type=_HostRow)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._log.belief(
                "host-row-malformed", key=row.key, error=str(error)
            )
            return
        address = ids.PeerAddress(row.key)
        if self._view.mention(
            address, ids.FailureDomainName(known.failure_domain)
        ):
            self._introduce(address)

    def _ended(self, failure: Any) -> None:
        if failure.check(defer.CancelledError) is None:
            self._log.defect("discovery", failure)
