"""Interface of the platform's transactional table."""

from __future__ import annotations

import abc
import enum
from typing import TypeAlias

from expression import Result
import msgspec
from twisted.internet import defer

ABSENT_VERSION = 0
"""Expected version of a row that must not exist."""


class Row(msgspec.Struct, frozen=True):
    """One row; `version` starts at 1 and rises with every write."""

    key: str
    value: bytes
    version: int


class TableErrorKind(enum.Enum):
    """What is known after a table operation failed."""

    UNAVAILABLE = "unavailable"
    """The operation certainly had no effect."""
    OUTCOME_UNKNOWN = "outcome-unknown"
    """The operation may have taken effect; read back to settle it."""
    CONFLICT = "conflict"
    """A row did not have the expected version; nothing was written."""
    MALFORMED = "malformed"
    """The answer or the request was not understood."""


class TableError(msgspec.Struct, frozen=True):
    """A failed table operation.

    Attributes:
        kind: What is known about the effect.
        key: The row concerned.
        current: The row in the way, for a conflict, if it exists.
    """

    kind: TableErrorKind
    key: str = ""
    current: Row | None = None


class Write(msgspec.Struct, frozen=True):
    """One conditional write of a transaction.

    Attributes:
        key: The row.
        expected_version: Version the row must have, or `ABSENT_VERSION`.
        value: New value, or None to only check or delete the row.
        delete: Whether to delete the row.
    """

    key: str
    expected_version: int
    value: bytes | None = None
    delete: bool = False


RowResult: TypeAlias = "defer.Deferred[Result[Row, TableError]]"


class Table(abc.ABC):
    """Transactional table.

    Every Deferred fires with a `Result`; it fails only on a defect.
    """

    @abc.abstractmethod
    def read(self, key: str) -> defer.Deferred[Result[Row | None, TableError]]:
        """Reads one row, or None when it does not exist."""

    @abc.abstractmethod
    def list_rows(
        self, prefix: str, limit: int
    ) -> defer.Deferred[Result[list[Row], TableError]]:
        """Reads up to `limit` rows whose keys start with `prefix`."""

    @abc.abstractmethod
    def insert_if_absent(self, key: str, value: bytes) -> RowResult:
        """Creates a row; a conflict carries the existing row."""

    @abc.abstractmethod
    def compare_and_set(
        self, key: str, expected_version: int, value: bytes
    ) -> RowResult:
        """Replaces a row that still has `expected_version`."""

    @abc.abstractmethod
    def transact(
        self, writes: list[Write]
    ) -> defer.Deferred[Result[list[Row], TableError]]:
        """Applies all writes, or none when any expectation fails.

        Returns:
            The new rows of the writes that carried a value.
        """
