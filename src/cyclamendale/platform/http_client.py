"""Adapter of the table and object store interfaces over HTTP."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any, TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer
from twisted.web import http

from cyclamendale import clocks
from cyclamendale.platform import _http_attempt
from cyclamendale.platform import faults
from cyclamendale.platform import http_api
from cyclamendale.platform import load_limit
from cyclamendale.platform import object_store
from cyclamendale.platform import state as states
from cyclamendale.platform import table

DEFAULT_TIMEOUT_S = 1.0
"""Time allowed for one attempt, connection included."""

DEFAULT_CONNECT_TIMEOUT_S = 0.5
DEFAULT_ATTEMPTS = 3
"""Attempts of an operation that may be repeated."""

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0

T = TypeVar("T")
Failure = _http_attempt.AttemptFailure


class HttpSettings(msgspec.Struct, frozen=True):
    """How the adapter talks to the platform.

    Attributes:
        base_url: Address of the platform, `http://host:port`.
        timeout_s: Time allowed for one attempt.
        connect_timeout_s: Time allowed for its connection.
        attempts: Attempts of an operation that may be repeated.
        share: Load that this process may put on the platform.
    """

    base_url: str
    timeout_s: float = DEFAULT_TIMEOUT_S
    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    attempts: int = DEFAULT_ATTEMPTS
    share: load_limit.LoadShare = load_limit.make_node_share()


class HttpPlatform:
    """Sends operations within the load share, with retries.

    One instance is shared by a process's table and object store, so that
    the share covers both.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        randomness: random.Random,
        settings: HttpSettings,
    ) -> None:
        self._clock = clock
        self._random = randomness
        self._settings = settings
        self._limiter = load_limit.LoadLimiter(clock, settings.share)
        self._sender = _http_attempt.Sender(
            reactor,
            clock,
            settings.base_url,
            settings.timeout_s,
            settings.connect_timeout_s,
            settings.share.max_in_flight,
        )

    async def send(
        self,
        operation: faults.Operation,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Result[_http_attempt.HttpAnswer, Failure]:
        """Sends an operation until it is answered or must not be resent.

        A table write is sent again only while it certainly had no
        effect. A refusal for lack of a turn counts as not sent.
        """
        result = await self._attempt(operation, method, path, body)
        for attempt in range(1, self._settings.attempts):
            if not _may_repeat(operation, result):
                break
            await load_limit.pause(self._clock, self._backoff_s(attempt))
            result = await self._attempt(operation, method, path, body)
        return result

    async def _attempt(
        self,
        operation: faults.Operation,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Result[_http_attempt.HttpAnswer, Failure]:
        is_write = operation in faults.WRITES
        if not await self._limiter.acquire(is_write=is_write):
            return Error(Failure.NOT_SENT)
        try:
            return await self._sender.send(method, path, body)
        finally:
            self._limiter.release()

    def _backoff_s(self, attempt: int) -> float:
        longest_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**attempt)
        return self._random.uniform(0, longest_s)

    def close(self) -> defer.Deferred[Any]:
        """Closes the kept-open connections."""
        return self._sender.close()


class HttpTable(table.Table):
    """Table of the platform, over HTTP."""

    def __init__(self, platform: HttpPlatform) -> None:
        self._platform = platform

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
        result = await self._platform.send(
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
        self, answer: _http_attempt.HttpAnswer
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


class HttpObjectStore(object_store.ObjectStore):
    """Object store of the platform, over HTTP."""

    def __init__(self, platform: HttpPlatform) -> None:
        self._platform = platform

    def put(
        self, data: bytes
    ) -> defer.Deferred[Result[str, object_store.ObjectError]]:
        """See base class."""
        return defer.Deferred.fromCoroutine(self._put(data))

    def get(
        self, digest: str
    ) -> defer.Deferred[Result[bytes, object_store.ObjectError]]:
        """See base class."""
        return defer.Deferred.fromCoroutine(self._get(digest))

    async def _put(self, data: bytes) -> Result[str, object_store.ObjectError]:
        digest = states.digest_of(data)
        path = http_api.OBJECTS_PATH + digest
        operation = faults.Operation.PUT_OBJECT
        match await self._platform.send(operation, "PUT", path, data):
            case Result(tag="ok", ok=answer) if answer.status == http.OK:
                return Ok(digest)
            case _:
                return _object_error(digest, http.SERVICE_UNAVAILABLE)

    async def _get(
        self, digest: str
    ) -> Result[bytes, object_store.ObjectError]:
        path = http_api.OBJECTS_PATH + digest
        operation = faults.Operation.GET_OBJECT
        match await self._platform.send(operation, "GET", path, None):
            case Result(tag="ok", ok=answer) if answer.status == http.OK:
                return states.checked(answer.body, digest)
            case Result(tag="ok", ok=answer):
                return _object_error(digest, answer.status)
            case _:
                return _object_error(digest, http.SERVICE_UNAVAILABLE)


def _object_error(
    digest: str, status: int
) -> Result[Any, object_store.ObjectError]:
    kind = object_store.ObjectErrorKind.UNAVAILABLE
    if status == http.NOT_FOUND:
        kind = object_store.ObjectErrorKind.NOT_FOUND
    return Error(object_store.ObjectError(kind, digest))


def _may_repeat(
    operation: faults.Operation,
    result: Result[_http_attempt.HttpAnswer, Failure],
) -> bool:
    match result:
        case Result(tag="ok", ok=answer):
            return answer.status == http.SERVICE_UNAVAILABLE and (
                operation not in faults.TABLE_WRITES
                or _says_unavailable(answer.body)
            )
        case Result(error=failure):
            return (
                failure is Failure.NOT_SENT
                or operation not in faults.TABLE_WRITES
            )


def _says_unavailable(body: bytes) -> bool:
    try:
        answer = msgspec.json.decode(body, type=http_api.ErrorAnswer)
    except msgspec.MsgspecError:
        return False
    return answer.kind is table.TableErrorKind.UNAVAILABLE


def make_platform(
    reactor: Any,
    clock: clocks.Clock,
    randomness: random.Random,
    settings: HttpSettings,
) -> HttpPlatform:
    """Returns the connection that a table and an object store share."""
    return HttpPlatform(reactor, clock, randomness, settings)


def make_table(platform: HttpPlatform) -> table.Table:
    """Returns the platform's table."""
    return HttpTable(platform)


def make_object_store(platform: HttpPlatform) -> object_store.ObjectStore:
    """Returns the platform's object store."""
    return HttpObjectStore(platform)
