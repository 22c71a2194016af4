"""Table of the platform, over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer
from twisted.web import http

from cyclamendale.store import faults
from cyclamendale.store import http_api
from cyclamendale.store import http_attempt
from cyclamendale.store import table

T = TypeVar("T")
Failure = http_attempt.AttemptFailure


class HttpTable(table.Table):
    """Table of the platform, over HTTP."""

    def __init__(self, send: http_attempt.Send) -> None:
        self._send_operation = send

    def read(
        self, key: str
    ) -> defer.Deferred[Result[table.Row | None, table.TableError]]:
        """See base class."""
        return self._call(
            faults.Operation.READ,
            http_api.ReadRequest(key),
            http_api.ReadAnswer,
            lambda answer: answer.row,
            key,
        )

    def list_rows(
        self, prefix: str, limit: int
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        """See base class."""
        return self._call(
            faults.Operation.LIST,
            http_api.ListRequest(prefix, limit),
            http_api.RowsAnswer,
            lambda answer: answer.rows,
            prefix,
        )

    def insert_if_absent(self, key: str, value: bytes) -> table.RowResult:
        """See base class."""
        return self._call(
            faults.Operation.INSERT,
            http_api.InsertRequest(key, value),
            _OneRowAnswer,
            lambda answer: answer.rows[0],
            key,
        )

    def compare_and_set(
        self, key: str, expected_version: int, value: bytes
    ) -> table.RowResult:
        """See base class."""
        return self._call(
            faults.Operation.COMPARE_AND_SET,
            http_api.CompareAndSetRequest(key, expected_version, value),
            _OneRowAnswer,
            lambda answer: answer.rows[0],
            key,
        )

    def transact(
        self, writes: list[table.Write]
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        """See base class."""
        return self._call(
            faults.Operation.TRANSACT,
            http_api.TransactRequest(writes),
            http_api.RowsAnswer,
            lambda answer: answer.rows,
            writes[0].key if writes else "",
        )

    def _call(
        self,
        operation: faults.Operation,
        message: msgspec.Struct,
        answer_type: type[Any],
        pick: Callable[[Any], T],
        key: str,
    ) -> defer.Deferred[Result[T, table.TableError]]:
        call = _TableCall(operation, answer_type, pick, key)
        return defer.Deferred.fromCoroutine(self._send(call, message))

    async def _send(
        self, call: _TableCall, message: msgspec.Struct
    ) -> Result[Any, table.TableError]:
        result = await self._send_operation(
            call.operation,
            "POST",
            http_api.TABLE_PATH + call.operation.value,
            msgspec.json.encode(message),
        )
        match result:
            case Result(tag="ok", ok=answer):
                return call.settle(answer)
            case Result(error=failure):
                return Error(call.failed(failure))


class _OneRowAnswer(msgspec.Struct, frozen=True):
    """The new row of a write of one row."""

    rows: tuple[table.Row]


class _TableCall:
    """What an answer, or its lack, means for one table operation."""

    __slots__ = ("_answer_type", "_is_write", "_key", "_pick", "operation")

    def __init__(
        self,
        operation: faults.Operation,
        answer_type: type[Any],
        pick: Callable[[Any], Any],
        key: str,
    ) -> None:
        self.operation = operation
        self._answer_type = answer_type
        self._pick = pick
        self._key = key
        self._is_write = operation in faults.TABLE_WRITES

    def failed(self, failure: Failure) -> table.TableError:
        """Returns the error of an operation without an answer."""
        if self._is_write and failure is Failure.LOST:
            return self._error(table.TableErrorKind.OUTCOME_UNKNOWN)
        return self._error(table.TableErrorKind.UNAVAILABLE)

    def settle(
        self, answer: http_attempt.HttpAnswer
    ) -> Result[Any, table.TableError]:
        """Returns the meaning of an answer."""
        if answer.status == http.OK:
            return self._decode(answer.body)
        return Error(self._refused(answer.body))

    def _decode(self, body: bytes) -> Result[Any, table.TableError]:
        try:
            answer = msgspec.json.decode(body, type=self._answer_type)
        except msgspec.MsgspecError:
            return Error(self._not_understood())
        return Ok(self._pick(answer))

    def _refused(self, body: bytes) -> table.TableError:
        try:
            answer = msgspec.json.decode(body, type=http_api.ErrorAnswer)
        except msgspec.MsgspecError:
            # Only the platform's own words prove that nothing happened;
            # an error page of something in between does not.
            return self._not_understood()
        return table.TableError(
            answer.kind, answer.key or self._key, answer.current
        )

    def _not_understood(self) -> table.TableError:
        if self._is_write:
            return self._error(table.TableErrorKind.OUTCOME_UNKNOWN)
        return self._error(table.TableErrorKind.MALFORMED)

    def _error(self, kind: table.TableErrorKind) -> table.TableError:
        return table.TableError(kind, self._key)
