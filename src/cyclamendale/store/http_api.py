"""Request and response messages of the platform's HTTP interface.

Table operations are POST requests to `TABLE_PATH` followed by the name of
the operation, with JSON bodies. Objects are written to and read from
`OBJECTS_PATH` followed by their digest, as raw bytes. Binary values in
JSON are encoded as base64.
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
    """Reads one row."""

    key: str


class ReadResponse(msgspec.Struct, frozen=True):
    """Response with one row, or None if it does not exist."""

    row: table.Row | None


class ListRequest(msgspec.Struct, frozen=True):
    """Reads the first rows with a key prefix."""

    prefix: str
    limit: int


class InsertRequest(msgspec.Struct, frozen=True):
    """Creates a row that must not exist."""

    key: str
    value: bytes


class CompareAndSetRequest(msgspec.Struct, frozen=True):
    """Replaces a row that must have the expected version."""

    key: str
    expected_version: int
    value: bytes


class TransactRequest(msgspec.Struct, frozen=True):
    """Applies all writes atomically."""

    writes: list[table.Write]


class RowsResponse(msgspec.Struct, frozen=True):
    """Response with the rows read, or the new rows of a write."""

    rows: list[table.Row]


class ErrorResponse(msgspec.Struct, frozen=True):
    """Response to a table operation that failed."""

    kind: table.TableErrorKind
    key: str = ""
    current: table.Row | None = None


class FaultsRequest(msgspec.Struct, frozen=True):
    """Replaces the fault rules of the stand-in server."""

    rules: list[faults.FaultRule]


class CountersResponse(msgspec.Struct, frozen=True):
    """Number of operations that the stand-in received, by type."""

    operations: dict[faults.Operation, int]


HTTP_STATUS_BY_KIND: dict[table.TableErrorKind, int] = {
    table.TableErrorKind.UNAVAILABLE: 503,
    table.TableErrorKind.OUTCOME_UNKNOWN: 500,
    table.TableErrorKind.CONFLICT: 409,
    table.TableErrorKind.MALFORMED: 400,
}
