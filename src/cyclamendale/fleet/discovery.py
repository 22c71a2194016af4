"""Discovers the other hosts through rows of the store.

Each node writes its own row, unless it is there already, and then reads all
rows, so of any two nodes at least one sees the other's row. It introduces
itself to the hosts of its own failure domain and to a few of every other, whose
aggregators pass the news on. Only a few hosts of a domain read the rows again.
While the store is away, a node asks those that contact it for the hosts.
Rows of hosts that have left permanently are removed by the live host with the
lowest address in their failure domain.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Iterator, Sequence
import random as random_module
from typing import Any

import msgspec
from twisted.internet import defer

from cyclamendale import addresses
from cyclamendale import clocks
from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.fleet import host_lists
from cyclamendale.fleet import hosts
from cyclamendale.fleet import loops
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows

TABLE = "hosts"

RETRY_DELAY_RANGE_S = (0.2, 0.8)
"""Range of the random delay after a store error; the randomness keeps the
nodes from retrying in step."""

READERS_PER_DOMAIN = 2
"""Hosts of a failure domain that read the rows again; tolerates the loss of
one."""

INTRODUCTIONS_PER_DOMAIN = 3
"""Hosts of another failure domain that a node introduces itself to: the likely
aggregators and one more."""

FIRST_REREAD_DELAY_S = 3.0
"""First delay until the rows are read again; it grows by the factor below
up to the maximum."""

REREAD_DELAY_FACTOR = 4.0
MAX_REREAD_DELAY_S = 300.0

ROW_EXPIRY_S = 900.0
"""Silence after which a host's row is removed; longer than any partition
within a failure domain that the design covers. A host that is alive after
all finds its row missing and writes it again."""


class _HostRow(msgspec.Struct):
    failure_domain: str


class Discovery:
    """Maintains the own row and introduces the node to all other hosts."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        rows: watched_rows.WatchedRows,
        own_address: ids.PeerAddress,
        failure_domain: ids.FailureDomainName,
        view: hosts.HostView,
        introduce: Callable[[ids.PeerAddress], None],
        lists: host_lists.HostLists,
        log: Any,
    ) -> None:
        self._clock = clock
        self._random = random
        self._rows = rows
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._view = view
        self._introduce = introduce
        self._lists = lists
        lists.on_hosts = self._meet
        self._log = log
        self._loop: defer.Deferred[None] | None = None
        self._silent_since_s: dict[str, float] = {}

    def start(self, is_first_start: bool) -> None:
        """Starts to write the own row and read the others.

        Args:
            is_first_start: Whether the fleet starts for the first time, so
                that the own row can't be there yet.
        """
        self._loop = loops.start(
            self._clock,
            lambda: self._run(is_first_start),
            "discovery",
            self._log,
        )

    def stop(self) -> None:
        """Stops discovery."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self, is_first_start: bool) -> None:
        if is_first_start:
            await self._retry_until_ok(self._write_own_row)
        delay_s = FIRST_REREAD_DELAY_S
        is_known = False
        while True:
            if not is_known or self._view.rank_in_domain() < READERS_PER_DOMAIN:
                rows = await self._retry_until_ok(self._read_rows)
                is_known = self._own_address in {row.key for row in rows}
                if not is_known:
                    await self._retry_until_ok(self._write_own_row)
                    continue
                for row in self._expired_rows(rows):
                    await self._remove_row(row)
            await load_limit.sleep(
                self._clock, delay_s * self._random.uniform(0.8, 1.2)
            )
            delay_s = min(MAX_REREAD_DELAY_S, delay_s * REREAD_DELAY_FACTOR)

    async def _retry_until_ok(
        self, step: Callable[[], Any]
    ) -> tuple[watched_rows.TableRow, ...]:
        while True:
            result = await step()
            if result.is_ok():
                return result.ok.rows
            self._log.belief(
                "discovery-failed",
                error=result.error.kind.value,
                detail=result.error.detail,
            )
            self._lists.need()
            await load_limit.sleep(
                self._clock, self._random.uniform(*RETRY_DELAY_RANGE_S)
            )

    async def _write_own_row(self) -> watched_rows.RowsResult:
        value = msgspec.json.encode(_HostRow(self._failure_domain))
        return await self._rows.write(TABLE, self._own_address, value, None)

    async def _read_rows(self) -> watched_rows.RowsResult:
        result = await self._rows.read(TABLE)
        if result.is_ok():
            self._lists.conclude()
            rows = sorted(result.ok.rows, key=lambda row: row.key)
            self._meet(list(self._listed_hosts(rows)))
        return result

    def _meet(self, listed: Sequence[host_lists.ListedHost]) -> None:
        """Adds hosts that are new and introduces this one to some of them."""
        added: collections.Counter[str] = collections.Counter()
        for host in listed:
            domain = host.failure_domain
            if not self._view.add_host(host.address, domain, host.silent_s):
                continue
            added[domain] += 1
            is_own = domain == self._failure_domain
            if is_own or added[domain] <= INTRODUCTIONS_PER_DOMAIN:
                self._introduce(host.address)

    def _expired_rows(
        self, rows: Iterable[watched_rows.TableRow]
    ) -> list[watched_rows.TableRow]:
        """Returns the rows of the own domain that this node should remove."""
        now_s = self._clock.now_s()
        live = {
            host.address
            for host in self._view.others()
            if host.report is not None and not host.candidate.is_suspect
        } | {self._own_address}
        previous, self._silent_since_s = self._silent_since_s, {}
        expired = []
        for row in rows:
            if ids.PeerAddress(row.key) in live:
                continue
            since_s = previous.get(row.key, now_s)
            self._silent_since_s[row.key] = since_s
            if now_s - since_s > ROW_EXPIRY_S and self._is_in_own_domain(row):
                expired.append(row)
        return expired if self._view.rank_in_domain() == 0 else []

    def _is_in_own_domain(self, row: watched_rows.TableRow) -> bool:
        known = _decode_row(row)
        return known is not None and (
            known.failure_domain == self._failure_domain
        )

    async def _remove_row(self, row: watched_rows.TableRow) -> None:
        result = await self._rows.remove(TABLE, row.key, row.version)
        self._log.belief(
            "host-row-removed",
            host=row.key,
            error=result.error.kind.value if result.is_error() else None,
        )

    def _listed_hosts(
        self, rows: Iterable[watched_rows.TableRow]
    ) -> Iterator[host_lists.ListedHost]:
        for row in rows:
            if row.value is None:
                continue
            known = _decode_row(row)
            if known is None or not addresses.is_valid(row.key):
                self._log.belief("host-row-malformed", key=row.key)
                continue
            yield host_lists.ListedHost(
                ids.PeerAddress(row.key),
                ids.FailureDomainName(known.failure_domain),
            )


def _decode_row(row: watched_rows.TableRow) -> _HostRow | None:
    if row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=_HostRow)
    except decoding.ERRORS:
        return None
