"""Steps that need all lease rows of the fleet.

They find lease rows, create missing ones, and narrow rows to the newest
division once a change of division has reached all of them.
"""

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

MAX_LEASE_ROWS = 65536
"""Maximum number of lease rows read at once."""

_LIST_RETRY_S = 1.0
_CREATE_RETRY_S = 0.05
_NARROW_RETRY_S = 1.0
_MAX_NARROW_RETRY_S = 8.0

RowsCallback: TypeAlias = Callable[[_quota_layout.LeaseRows], None]
LeasesByShard: TypeAlias = dict[ids.ShardId, lease.ShardLease]


class FleetSteps:
    """Reads all lease rows when some are missing or a change can end.

    At most one step runs at a time. While a step writes leases, their shards
    are in the set of busy shards.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        domain: ids.FailureDomainName,
        platform_table: table.Table,
        divisions: _quota_divisions.DivisionStore,
        leases: LeasesByShard,
        busy_shards: set[ids.ShardId],
        make_desired_lease: Callable[[ids.ShardId], lease_rows.DesiredLease],
        on_rows: RowsCallback,
        on_narrowed: Callable[[ids.ShardId], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._domain = domain
        self._table = platform_table
        self._divisions = divisions
        self._leases = leases
        self._busy_shards = busy_shards
        self._make_desired_lease = make_desired_lease
        self._on_rows = on_rows
        self._on_narrowed = on_narrowed
        self._has_all_rows = False
        self._is_running = False
        self._next_list_s = 0.0
        self._next_narrow_s = 0.0
        self._narrow_wait_s = _NARROW_RETRY_S

    def handle_division_change(self) -> None:
        """Schedules a check for missing rows and for the end of the change."""
        division = self._divisions.current.division
        is_included = any(
            entry.name == self._domain for entry in division.domains
        )
        if is_included and not self._leases.keys() >= set(
            range(division.shard_count)
        ):
            self._has_all_rows = False
        self._next_narrow_s = 0.0
        self._narrow_wait_s = _NARROW_RETRY_S

    def handle_missing_row(self) -> None:
        """Schedules a check for missing rows."""
        self._has_all_rows = False

    def run_due_step(self) -> None:
        """Starts the step that is due, if any."""
        now_s = self._clock.now_s()
        if self._is_running:
            return
        if not self._has_all_rows and now_s >= self._next_list_s:
            wait_s = _LIST_RETRY_S * self._rng.uniform(0.5, 1.0)
            self._next_list_s = now_s + wait_s
            self._read_rows(self._create_missing_rows)
        elif now_s >= self._next_narrow_s and self._list_narrowable():
            wait_s = self._narrow_wait_s
            self._narrow_wait_s = min(2 * wait_s, _MAX_NARROW_RETRY_S)
            self._next_narrow_s = now_s + wait_s * self._rng.uniform(0.5, 1.0)
            self._read_rows(self._narrow)

    def _read_rows(self, callback: RowsCallback) -> None:
        """Reads the layout row, then all lease rows.

        In this order, rows that are created between the two reads make the
        transaction conflict on the layout row.
        """
        self._is_running = True
        reading = self._table.read(shard_row.LAYOUT_KEY)
        reading.addCallback(self._handle_layout, callback)

    def _handle_layout(
        self,
        layout: Result[table.Row | None, table.TableError],
        callback: RowsCallback,
    ) -> None:
        if layout.is_error():
            self._is_running = False
            return
        listing = self._table.list_rows(shard_row.LEASE_PREFIX, MAX_LEASE_ROWS)
        listing.addCallback(self._handle_rows, layout.ok, callback)

    def _handle_rows(
        self,
        result: Result[list[table.Row], table.TableError],
        layout: table.Row | None,
        callback: RowsCallback,
    ) -> None:
        self._is_running = False
        if result.is_error():
            return
        fleet_rows = _quota_layout.decode_rows(layout, result.ok)
        if fleet_rows is not None:
            callback(fleet_rows)

    def _create_missing_rows(self, fleet_rows: _quota_layout.LeaseRows) -> None:
        """Reports the rows that were read and creates the missing ones."""
        self._on_rows(fleet_rows)
        writes = _quota_layout.plan_creation(
            fleet_rows,
            self._domain,
            self._divisions.current.division,
            self._make_desired_lease(ids.ShardId(0)).kept_units,
            self._rng,
        )
        if not writes:
            self._has_all_rows = True
        elif self._divisions.ensure_stored():
            self._is_running = True
            self._table.transact(writes).addCallback(self._handle_created)
        else:
            self._next_list_s = 0.0

    def _handle_created(
        self, result: Result[list[table.Row], table.TableError]
    ) -> None:
        self._is_running = False
        self._next_list_s = 0.0
        wait_s = self._rng.uniform(0.0, _CREATE_RETRY_S)
        self._clock.call_later(wait_s, self.run_due_step)

    def _list_narrowable(self) -> list[ids.ShardId]:
        """Returns the held shards that can be narrowed to the newest division.

        Their rows name the newest division and others besides.
        """
        digest = self._divisions.digest
        return [
            shard
            for shard, shard_lease in self._leases.items()
            if shard_lease.state is lease.LeaseState.HELD
            and shard not in self._busy_shards
            and shard_lease.divisions != (digest,)
            and shard_lease.row is not None
            and digest in shard_lease.row.divisions
        ]

    def _narrow(self, fleet_rows: _quota_layout.LeaseRows) -> None:
        """Ends a change of division once all rows name the newest division."""
        now_s = self._clock.now_s()
        planned = {
            shard: self._leases[shard].plan_renewal(
                lease.WritePurpose.NARROW,
                self._make_desired_lease(shard),
                now_s,
            )
            for shard in self._list_narrowable()
        }
        if not planned:
            return
        writes = _quota_layout.plan_narrowing(
            fleet_rows,
            {
                shard_row.lease_key(self._domain, shard): write
                for shard, write in planned.items()
            },
            self._divisions.digest,
            self._make_desired_lease(ids.ShardId(0)).gone,
            self._rng,
        )
        if writes is None:
            return
        self._is_running = True
        self._busy_shards.update(planned)
        self._table.transact(writes).addCallback(self._handle_narrowed, planned)

    def _handle_narrowed(
        self,
        result: Result[list[table.Row], table.TableError],
        planned: dict[ids.ShardId, lease.PlannedWrite],
    ) -> None:
        self._is_running = False
        now_s = self._clock.now_s()
        versions: dict[str, int] = {}
        if result.is_ok():
            versions = {row.key: row.version for row in result.ok}
        for shard, write in planned.items():
            self._busy_shards.discard(shard)
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
        self._divisions.retain_only(
            digest
            for shard_lease in self._leases.values()
            for digest in shard_lease.divisions
        )
