"""HTTP client of the platform's table."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer
from twisted.web import http

from cyclamendale import decoding
from cyclamendale.store import faults
from cyclamendale.store import http_api
from cyclamendale.store import http_attempt
from cyclamendale.store import table

T = TypeVar("T")
Failure = http_attempt.AttemptFailure


class HttpTable(table.Table):
    """Table that is accessed over HTTP."""

    def __init__(self, send: http_attempt.SendOperation) -> None:
        self._send_operation = send

    def read(
        self, key: str
    ) -> defer.Deferred[Result[table.Row | None, table.TableError]]:
        """See base class."""
        return self._call(
            faults.Operation.READ,
            http_api.ReadRequest(key),
            http_api.ReadResponse,
            lambda response: response.row,
            key,
        )

    def list_rows(
        self, prefix: str, limit: int
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        """See base class."""
        return self._call(
            faults.Operation.LIST,
            http_api.ListRequest(prefix, limit),
            http_api.RowsResponse,
            lambda response: response.rows,
            prefix,
        )

    def insert_if_absent(self, key: str, value: bytes) -> table.RowResult:
        """See base class."""
        return self._call(
            faults.Operation.INSERT,
            http_api.InsertRequest(key, value),
            _SingleRowResponse,
            lambda response: response.rows[0],
            key,
        )

    def compare_and_set(
        self, key: str, expected_version: int, value: bytes
    ) -> table.RowResult:
        """See base class."""
        return self._call(
            faults.Operation.COMPARE_AND_SET,
            http_api.CompareAndSetRequest(key, expected_version, value),
            _SingleRowResponse,
            lambda response: response.rows[0],
            key,
        )

    def transact(
        self, writes: list[table.Write]
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        """See base class."""
        return self._call(
            faults.Operation.TRANSACT,
            http_api.TransactRequest(writes),
            http_api.RowsResponse,
            lambda response: response.rows,
            writes[0].key if writes else "",
        )

    def _call(
        self,
        operation: faults.Operation,
        message: msgspec.Struct,
        response_type: type[Any],
        extract: Callable[[Any], T],
        key: str,
    ) -> defer.Deferred[Result[T, table.TableError]]:
        call = _TableOperation(operation, response_type, extract, key)
        return defer.Deferred.fromCoroutine(self._send(call, message))

    async def _send(
        self, call: _TableOperation, message: msgspec.Struct
    ) -> Result[Any, table.TableError]:
        result = await self._send_operation(
            call.operation,
            "POST",
            http_api.TABLE_PATH + call.operation.value,
            msgspec.json.encode(message),
        )
        match result:
            case Result(tag="ok", ok=response):
                return call.convert_response(response)
            case Result(error=failure):
                return Error(call.convert_failure(failure))


class _SingleRowResponse(msgspec.Struct, frozen=True):
    """Response to a write of one row, with the new row."""

    rows: tuple[table.Row]


class _TableOperation:
    """Converts the response to one table operation, or its failure."""

    __slots__ = ("_extract", "_is_write", "_key", "_response_type", "operation")

    def __init__(
        self,
        operation: faults.Operation,
        response_type: type[Any],
        extract: Callable[[Any], Any],
        key: str,
    ) -> None:
        self.operation = operation
        self._response_type = response_type
        self._extract = extract
        self._key = key
        self._is_write = operation in faults.TABLE_WRITES

    def convert_failure(self, failure: Failure) -> table.TableError:
        """Returns the error for an operation that got no response."""
        if self._is_write and failure is Failure.LOST:
            return self._make_error(table.TableErrorKind.OUTCOME_UNKNOWN)
        return self._make_error(table.TableErrorKind.UNAVAILABLE)

    def convert_response(
        self, response: http_attempt.HttpResponse
    ) -> Result[Any, table.TableError]:
        """Returns the result or the error that a response carries."""
        if response.status == http.OK:
            return self._decode(response.body)
        return Error(self._decode_error(response.body))

    def _decode(self, body: bytes) -> Result[Any, table.TableError]:
        try:
            response = msgspec.json.decode(body, type=self._response_type)
        except decoding.ERRORS:
            return Error(self._make_undecodable_error())
        return Ok(self._extract(response))

    def _decode_error(self, body: bytes) -> table.TableError:
        try:
            response = msgspec.json.decode(body, type=http_api.ErrorResponse)
        except decoding.ERRORS:
            # Only an error response of the platform proves that the
            # operation had no effect; an error page of an intermediary
            # does not.
            return self._make_undecodable_error()
        return table.TableError(
            response.kind, response.key or self._key, response.current
        )

    def _make_undecodable_error(self) -> table.TableError:
        if self._is_write:
            return self._make_error(table.TableErrorKind.OUTCOME_UNKNOWN)
        return self._make_error(table.TableErrorKind.MALFORMED)

    def _make_error(self, kind: table.TableErrorKind) -> table.TableError:
        return table.TableError(kind, self._key)
