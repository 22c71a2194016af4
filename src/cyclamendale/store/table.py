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
    """One row; `version` starts at 1 and increases with every write."""

    key: str
    value: bytes
    version: int


class TableErrorKind(enum.Enum):
    """Why a table operation failed and whether it may have taken effect."""

    UNAVAILABLE = "unavailable"
    """The operation certainly had no effect."""
    OUTCOME_UNKNOWN = "outcome-unknown"
    """The operation may have taken effect; read the row to find out."""
    CONFLICT = "conflict"
    """A row did not have the expected version; nothing was written."""
    MALFORMED = "malformed"
    """The request was invalid or the response could not be decoded."""


class TableError(msgspec.Struct, frozen=True):
    """A failed table operation.

    Attributes:
        kind: Why it failed and whether it may have taken effect.
        key: Key of the affected row.
        current: For a conflict, the existing row, if there is one.
    """

    kind: TableErrorKind
    key: str = ""
    current: Row | None = None


class Write(msgspec.Struct, frozen=True):
    """One conditional write of a transaction.

    Attributes:
        key: Key of the row.
        expected_version: Version the row must have, or `ABSENT_VERSION`.
        value: New value; None to delete the row or only check its version.
        delete: Whether to delete the row.
    """

    key: str
    expected_version: int
    value: bytes | None = None
    delete: bool = False


RowResult: TypeAlias = "defer.Deferred[Result[Row, TableError]]"


class Table(abc.ABC):
    """Transactional table with versioned rows.

    Every Deferred fires with a `Result`. It fails only on a programming
    error.
    """

    @abc.abstractmethod
    def read(self, key: str) -> defer.Deferred[Result[Row | None, TableError]]:
        """Reads one row; None if it does not exist."""

    @abc.abstractmethod
    def list_rows(
        self, prefix: str, limit: int
    ) -> defer.Deferred[Result[list[Row], TableError]]:
        """Reads up to `limit` rows whose keys start with `prefix`."""

    @abc.abstractmethod
    def insert_if_absent(self, key: str, value: bytes) -> RowResult:
        """Creates a row; a conflict error carries the existing row."""

    @abc.abstractmethod
    def compare_and_set(
        self, key: str, expected_version: int, value: bytes
    ) -> RowResult:
        """Replaces a row if its version is `expected_version`."""

    @abc.abstractmethod
    def transact(
        self, writes: list[Write]
    ) -> defer.Deferred[Result[list[Row], TableError]]:
        """Applies all writes, or none if any expected version differs.

        Returns:
            The new rows of the writes that have a value.
        """
