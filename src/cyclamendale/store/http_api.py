"""Wire shapes of the platform's HTTP interface, JSON by msgspec.

Operations on the table are POST requests to `TABLE_PATH` followed by the
operation's name. Objects are put to and read from `OBJECTS_PATH` followed
by their digest, as plain bytes. Binary values in JSON are base64.
"""

from __future__ import annotations

import msgspec

from cyclamendale.store import faults
from cyclamendale.store import table

TABLE_PATH = "/table/"
OBJECTS_PATH = "/objects/"
FAULTS_PATH = "/control/faults"
COUNTERS_PATH = "/control/counters"


class ReadRequest(msgspec.Struct, frozen=True):
    """Asks for one row."""

    key: str


class ReadResponse(msgspec.Struct, frozen=True):
    """One row, or None when it does not exist."""

    row: table.Row | None


class ListRequest(msgspec.Struct, frozen=True):
    """Asks for the first rows under a prefix."""

    prefix: str
    limit: int


class InsertRequest(msgspec.Struct, frozen=True):
    """Creates a row that must not exist."""

    key: str
    value: bytes


class CompareAndSetRequest(msgspec.Struct, frozen=True):
    """Replaces a row that must have a version."""

    key: str
    expected_version: int
    value: bytes


class TransactRequest(msgspec.Struct, frozen=True):
    """Applies all writes or none."""

    writes: list[table.Write]


class RowsResponse(msgspec.Struct, frozen=True):
    """Rows found, or the new rows of a write."""

    rows: list[table.Row]


class ErrorResponse(msgspec.Struct, frozen=True):
    """Why the platform did not do an operation on the table."""

    kind: table.TableErrorKind
    key: str = ""
    current: table.Row | None = None


class FaultsRequest(msgspec.Struct, frozen=True):
    """Replaces the faults of the stand-in."""

    rules: list[faults.FaultRule]


class CountersResponse(msgspec.Struct, frozen=True):
    """Operations that the stand-in has received."""

    operations: dict[faults.Operation, int]


HTTP_STATUS_BY_KIND: dict[table.TableErrorKind, int] = {
    table.TableErrorKind.UNAVAILABLE: 503,
    table.TableErrorKind.OUTCOME_UNKNOWN: 500,
    table.TableErrorKind.CONFLICT: 409,
    table.TableErrorKind.MALFORMED: 400,
}
