"""The platform's metadata store over HTTP."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterator, Sequence
from typing import Any
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.web import http

from cyclamendale import clocks
from cyclamendale.store import http_attempt
from cyclamendale.store import watched_rows

CALL_TIMEOUT_S = 1.5
"""Wait for an answer; the store answers in 4 ms when it is well, and its
slow times stretch that some seventyfold."""

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 2

PAGE_ROWS = 500
"""Most rows that the store returns at once."""

_UNAVAILABLE = (429, 503, 507)
"""Statuses that say that nothing was done."""


class _Row(msgspec.Struct):
    key: str
    record_version: int
    value: str | None = None
    deleted: bool = False


class _RowsAnswer(msgspec.Struct):
    record_version: int
    rows: list[_Row] = []
    has_more: bool = False


class PlatformRows(watched_rows.WatchedRows):
    """Rows of the store, by its calls `rows-get`, `rows-feed`, `rows-tx`."""

    def __init__(self, reactor: Any, clock: clocks.Clock, address: str) -> None:
        self._reactor = reactor
        self._clock = clock
        self._base_url = f"http://{address}"
        self._sender = self._make_sender(CALL_TIMEOUT_S)
        self._watchers: dict[float, http_attempt.Sender] = {}

    async def read(self, table: str) -> watched_rows.RowsResult:
        """See base class."""
        rows: list[watched_rows.TableRow] = []
        first_key = ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if first_key:
                query["range_start"] = first_key
            page = await self._call(
                self._sender, "GET", _path("rows-get", query), None
            )
            if page.is_error():
                return Error(page.error)
            rows.extend(_decode_rows(page.ok))
            if not page.ok.has_more or not rows:
                return Ok(
                    watched_rows.Rows(tuple(rows), page.ok.record_version)
                )
            first_key = rows[-1].key + "\0"

    async def watch(
        self, table: str, after_version: int, wait_s: float
    ) -> watched_rows.RowsResult:
        """See base class."""
        sender = self._watchers.get(wait_s)
        if sender is None:
            sender = self._make_sender(wait_s + CALL_TIMEOUT_S)
            self._watchers[wait_s] = sender
        query = {
            "table": table,
            "after": after_version,
            "wait_ms": int(wait_s * 1000),
        }
        answer = await self._call(
            sender, "GET", _path("rows-feed", query), None
        )
        return answer.map(_to_rows)

    async def write(
        self, table: str, key: str, value: bytes, expected_version: int | None
    ) -> watched_rows.RowsResult:
        """See base class."""
        row = _row(table, key)
        value_text = base64.b64encode(value).decode()
        return await self._transact(
            [] if expected_version is None else [(row, expected_version)],
            upserts=[{**row, "value": value_text}],
        )

    async def remove(
        self, table: str, key: str, expected_version: int
    ) -> watched_rows.RowsResult:
        """See base class."""
        row = _row(table, key)
        return await self._transact([(row, expected_version)], remove=[row])

    async def close(self) -> None:
        """Closes the kept-open connections."""
        for sender in (self._sender, *self._watchers.values()):
            await sender.close()

    async def _transact(
        self,
        preconditions: Sequence[tuple[dict[str, str], int]],
        upserts: Sequence[dict[str, str]] = (),
        remove: Sequence[dict[str, str]] = (),
    ) -> watched_rows.RowsResult:
        body = {
            "precondition": [
                {**row, "record_version": version}
                for row, version in preconditions
            ],
            "upserts": upserts,
            "remove": remove,
        }
        answer = await self._call(
            self._sender, "POST", "/-/rows-tx", msgspec.json.encode(body)
        )
        return answer.map(_to_rows)

    async def _call(
        self,
        sender: http_attempt.Sender,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Result[_RowsAnswer, watched_rows.RowsError]:
        result = await sender.send(method, path, body)
        match result:
            case Result(tag="ok", ok=answer):
                return _decode(answer)
            case Result(error=http_attempt.AttemptFailure.NOT_SENT):
                return _error(
                    watched_rows.RowsErrorKind.UNAVAILABLE, "not sent"
                )
        return _error(watched_rows.RowsErrorKind.OUTCOME_UNKNOWN, "no answer")

    def _make_sender(self, timeout_s: float) -> http_attempt.Sender:
        return http_attempt.Sender(
            self._reactor,
            self._clock,
            self._base_url,
            timeout_s,
            CONNECT_TIMEOUT_S,
            MAX_CONNECTIONS,
        )


def _row(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _path(call: str, query: dict[str, Any]) -> str:
    return f"/-/{call}?{urllib.parse.urlencode(query)}"


def _decode(
    answer: http_attempt.HttpResponse,
) -> Result[_RowsAnswer, watched_rows.RowsError]:
    kinds = watched_rows.RowsErrorKind
    if answer.status in _UNAVAILABLE:
        return _error(kinds.UNAVAILABLE, f"status {answer.status}")
    if answer.status == http.GONE:
        return _error(kinds.HISTORY_GONE, "")
    if answer.status == http.PRECONDITION_FAILED:
        return _error(kinds.CONFLICT, "")
    if answer.status != http.OK:
        return _error(kinds.MALFORMED, f"status {answer.status}")
    try:
        return Ok(msgspec.json.decode(answer.body, type=_RowsAnswer))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _error(kinds.MALFORMED, str(error))


def _error(
    kind: watched_rows.RowsErrorKind, detail: str
) -> Result[Any, watched_rows.RowsError]:
    return Error(watched_rows.RowsError(kind, detail))


def _to_rows(answer: _RowsAnswer) -> watched_rows.Rows:
    return watched_rows.Rows(tuple(_decode_rows(answer)), answer.record_version)


def _decode_rows(answer: _RowsAnswer) -> Iterator[watched_rows.TableRow]:
    for row in answer.rows:
        yield watched_rows.TableRow(
            row.key, _decode_value(row), row.record_version
        )


def _decode_value(row: _Row) -> bytes | None:
    if row.deleted or row.value is None:
        return None
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        # Another writer's; what reads it finds that it means nothing.
        return b""


def make_rows(reactor: Any, clock: clocks.Clock, address: str) -> PlatformRows:
    """Returns the rows of the store at `ip:port`."""
    return PlatformRows(reactor, clock, address)
