"""Watched rows in memory that fail on request."""

from __future__ import annotations

from expression import Error
from expression import Ok
from twisted.internet import defer

from cyclamendale.store import watched_rows


class MemoryRows(watched_rows.WatchedRows):
    """Tables shared by all nodes of a test.

    Attributes:
        error_kind: Kind of the error that every call returns, or None.
        calls: Names of the calls made, in order.
    """

    def __init__(self):
        self.error_kind = None
        self.calls = []
        self._tables = {}
        self._version = 0
        self._watchers = []

    def put(self, table, key, value):
        """Writes a row as the operator does and notifies the watchers."""
        self._version += 1
        rows = self._tables.setdefault(table, {})
        rows[key] = watched_rows.TableRow(key, value, self._version)
        watchers, self._watchers = self._watchers, []
        for changed in watchers:
            changed.callback(None)

    async def read(self, table):
        self.calls.append("read")
        if self.error_kind is not None:
            return Error(watched_rows.RowsError(self.error_kind))
        return Ok(self._rows_since(table, 0))

    async def watch(self, table, after_version, wait_s):
        self.calls.append("watch")
        if self.error_kind is not None:
            return Error(watched_rows.RowsError(self.error_kind))
        found = self._rows_since(table, after_version)
        if not found.rows:
            changed = defer.Deferred()
            self._watchers.append(changed)
            await changed
            found = self._rows_since(table, after_version)
        return Ok(found)

    async def write(self, table, key, value, expected_version):
        self.calls.append("write")
        if self.error_kind is not None:
            return Error(watched_rows.RowsError(self.error_kind))
        self.put(table, key, value)
        return Ok(watched_rows.Rows((), self._version))

    async def remove(self, table, key, expected_version):
        self.calls.append("remove")
        if self.error_kind is not None:
            return Error(watched_rows.RowsError(self.error_kind))
        rows = self._tables.get(table, {})
        if key not in rows or rows[key].version != expected_version:
            conflict = watched_rows.RowsErrorKind.CONFLICT
            return Error(watched_rows.RowsError(conflict))
        self._version += 1
        del rows[key]
        return Ok(watched_rows.Rows((), self._version))

    def keys(self, table):
        """Returns the keys of a table's rows."""
        return set(self._tables.get(table, {}))

    def _rows_since(self, table, version):
        rows = self._tables.get(table, {}).values()
        return watched_rows.Rows(
            tuple(row for row in rows if row.version > version),
            self._version,
        )
