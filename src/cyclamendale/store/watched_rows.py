"""Interface of a store of tables whose changes can be watched."""

from __future__ import annotations

import abc
import enum
from typing import TypeAlias

from expression import Result
import msgspec


class RowsErrorKind(enum.Enum):
    """Why an operation failed and whether it may have taken effect."""

    UNAVAILABLE = "unavailable"
    """The operation certainly had no effect."""
    OUTCOME_UNKNOWN = "outcome-unknown"
    """The operation may have taken effect or may still do so."""
    CONFLICT = "conflict"
    """A row did not have the expected version; nothing was written."""
    HISTORY_GONE = "history-gone"
    """The requested changes are no longer stored; read the whole table."""
    MALFORMED = "malformed"
    """The response could not be decoded."""


class RowsError(msgspec.Struct, frozen=True):
    """A failed operation on the store."""

    kind: RowsErrorKind
    detail: str = ""


class TableRow(msgspec.Struct, frozen=True):
    """One row.

    Attributes:
        key: Key of the row.
        value: Value of the row; None if the row was removed.
        version: Version of the transaction that wrote the row.
    """

    key: str
    value: bytes | None
    version: int


class Rows(msgspec.Struct, frozen=True):
    """Rows of a table, or its changes, up to one version.

    Attributes:
        rows: The rows, ordered by key when read and by change when
            watched.
        version: Version up to which `rows` is complete.
    """

    rows: tuple[TableRow, ...]
    version: int


RowsResult: TypeAlias = Result[Rows, RowsError]


class WatchedRows(abc.ABC):
    """Store of watchable tables; every method returns a `Result`."""

    @abc.abstractmethod
    async def read(self, table: str) -> RowsResult:
        """Reads all rows of a table."""

    @abc.abstractmethod
    async def watch(
        self, table: str, after_version: int, wait_s: float
    ) -> RowsResult:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after_version: Version after which changes are returned.
            wait_s: Maximum wait; no rows are returned if none changed.
        """

    @abc.abstractmethod
    async def write(
        self, table: str, key: str, value: bytes, expected_version: int | None
    ) -> RowsResult:
        """Writes one row.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: New value.
            expected_version: Version that the row must have;
                `table.ABSENT_VERSION` if it must not exist; None to
                write unconditionally.
        """

    @abc.abstractmethod
    async def remove(
        self, table: str, key: str, expected_version: int
    ) -> RowsResult:
        """Removes one row if it has the expected version."""
