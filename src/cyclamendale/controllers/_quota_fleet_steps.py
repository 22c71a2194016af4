"""Steps that need all lease rows: finding, creating and narrowing."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeAlias

from expression import Result

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.controllers import _quota_divisions
from cyclamendale.controllers import _quota_layout
from cyclamendale.quotas import lease
from cyclamendale.quotas import lease_rows
from cyclamendale.quotas import shard_row
from cyclamendale.store import table

MAX_ROWS = 65536
"""Most lease rows read at once."""

_LIST_RETRY_S = 1.0
_CREATE_RETRY_S = 0.05
_NARROW_RETRY_S = 1.0
_MAX_NARROW_RETRY_S = 8.0

RowsUse: TypeAlias = Callable[[_quota_layout.LeaseRows], None]
Leases: TypeAlias = dict[ids.ShardId, lease.ShardLease]


class FleetSteps:
    """Lists all lease rows when some are missing or a change can end.

    At most one step runs at a time. Leases that a step writes are in
    the set of busy ones meanwhile.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        domain: ids.FailureDomainName,
        platform_table: table.Table,
        divisions: _quota_divisions.DivisionStore,
        leases: Leases,
        busy: set[ids.ShardId],
        wish: Callable[[ids.ShardId], lease_rows.DesiredLease],
        on_rows: RowsUse,
        on_narrowed: Callable[[ids.ShardId], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._domain = domain
        self._table = platform_table
        self._divisions = divisions
        self._leases = leases
        self._busy = busy
        self._wish = wish
        self._on_rows = on_rows
        self._on_narrowed = on_narrowed
        self._listed = False
        self._running = False
        self._next_list_s = 0.0
        self._next_narrow_s = 0.0
        self._narrow_wait_s = _NARROW_RETRY_S

    def division_changed(self) -> None:
        """Looks for missing rows, and for the end of the change, soon."""
        division = self._divisions.current.division
        own = any(entry.name == self._domain for entry in division.domains)
        if own and not self._leases.keys() >= set(range(division.shard_count)):
            self._listed = False
        self._next_narrow_s = 0.0
        self._narrow_wait_s = _NARROW_RETRY_S

    def row_missing(self) -> None:
        """Looks for missing rows."""
        self._listed = False

    def step(self) -> None:
        """Starts the step that is due."""
        now_s = self._clock.now_s()
        if self._running:
            return
        if not self._listed and now_s >= self._next_list_s:
            wait_s = _LIST_RETRY_S * self._rng.uniform(0.5, 1.0)
            self._next_list_s = now_s + wait_s
            self._list(self._found)
        elif now_s >= self._next_narrow_s and self._to_narrow():
            wait_s = self._narrow_wait_s
            self._narrow_wait_s = min(2 * wait_s, _MAX_NARROW_RETRY_S)
            self._next_narrow_s = now_s + wait_s * self._rng.uniform(0.5, 1.0)
            self._list(self._narrow)

    def _list(self, use: RowsUse) -> None:
        """Reads the layout row, then all lease rows, in this order."""
        self._running = True
        reading = self._table.read(shard_row.LAYOUT_KEY)
        reading.addCallback(self._list_rows, use)

    def _list_rows(
        self, layout: Result[table.Row | None, table.TableError], use: RowsUse
    ) -> None:
        if layout.is_error():
            self._running = False
            return
        listing = self._table.list_rows(shard_row.LEASE_PREFIX, MAX_ROWS)
        listing.addCallback(self._listed_rows, layout.ok, use)

    def _listed_rows(
        self,
        result: Result[list[table.Row], table.TableError],
        layout: table.Row | None,
        use: RowsUse,
    ) -> None:
        self._running = False
        if result.is_error():
            return
        found = _quota_layout.decode_rows(layout, result.ok)
        if found is not None:
            use(found)

    def _found(self, found: _quota_layout.LeaseRows) -> None:
        """Takes the rows found; creates those that are missing."""
        self._on_rows(found)
        writes = _quota_layout.plan_creation(
            found,
            self._domain,
            self._divisions.current.division,
            self._wish(ids.ShardId(0)).kept_units,
            self._rng,
        )
        if not writes:
            self._listed = True
        elif self._divisions.is_stored():
            self._running = True
            self._table.transact(writes).addCallback(self._created)
        else:
            self._next_list_s = 0.0

    def _created(
        self, result: Result[list[table.Row], table.TableError]
    ) -> None:
        self._running = False
        self._next_list_s = 0.0
        wait_s = self._rng.uniform(0.0, _CREATE_RETRY_S)
        self._clock.call_later(wait_s, self.step)

    def _to_narrow(self) -> list[ids.ShardId]:
        """Returns held shards whose rows show more than the newest."""
        digest = self._divisions.digest
        return [
            shard
            for shard, shard_lease in self._leases.items()
            if shard_lease.state is lease.LeaseState.HELD
            and shard not in self._busy
            and shard_lease.divisions != (digest,)
            and shard_lease.row is not None
            and digest in shard_lease.row.divisions
        ]

    def _narrow(self, found: _quota_layout.LeaseRows) -> None:
        """Ends a change of division once all rows show the newest."""
        now_s = self._clock.now_s()
        planned = {
            shard: self._leases[shard].plan_renewal(
                lease.WritePurpose.NARROW, self._wish(shard), now_s
            )
            for shard in self._to_narrow()
        }
        if not planned:
            return
        writes = _quota_layout.plan_narrowing(
            found,
            {
                shard_row.lease_key(self._domain, shard): write
                for shard, write in planned.items()
            },
            self._divisions.digest,
            self._wish(ids.ShardId(0)).gone,
            self._rng,
        )
        if writes is None:
            return
        self._running = True
        self._busy.update(planned)
        self._table.transact(writes).addCallback(self._narrowed, planned)

    def _narrowed(
        self,
        result: Result[list[table.Row], table.TableError],
        planned: dict[ids.ShardId, lease.PlannedWrite],
    ) -> None:
        self._running = False
        now_s = self._clock.now_s()
        versions: dict[str, int] = {}
        if result.is_ok():
            versions = {row.key: row.version for row in result.ok}
        for shard, write in planned.items():
            self._busy.discard(shard)
            if result.is_ok():
                key = shard_row.lease_key(self._domain, shard)
                self._leases[shard].handle_write_success(
                    write, versions[key], now_s
                )
            else:
                self._leases[shard].handle_write_failure(
                    write, result.error.kind, now_s
                )
            self._on_narrowed(shard)
        self._divisions.forget_except(
            digest
            for shard_lease in self._leases.values()
            for digest in shard_lease.divisions
        )
