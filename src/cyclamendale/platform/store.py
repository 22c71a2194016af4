"""Client of the platform's metadata store over HTTP."""

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
from cyclamendale import decoding
from cyclamendale.store import http_attempt
from cyclamendale.store import watched_rows

REQUEST_TIMEOUT_S = 1.5
"""Longest wait for a response.

The store normally answers in 4 ms, and about seventy times slower during
its slow periods.
"""

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 2

MAX_PAGE_ROWS = 500
"""Maximum number of rows that the store returns per response."""

_UNAVAILABLE_STATUSES = (429, 503, 507)
"""Statuses that guarantee that the store did not execute the request."""


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
    """Accesses rows through `rows-get`, `rows-feed` and `rows-tx`."""

    def __init__(self, reactor: Any, clock: clocks.Clock, address: str) -> None:
        self._sender = http_attempt.Sender(
            reactor,
            clock,
            f"http://{address}",
            REQUEST_TIMEOUT_S,
            CONNECT_TIMEOUT_S,
            MAX_CONNECTIONS,
        )
        self._address = address
        self._addresses_read: dict[str, str] = {}

    def move(self, address: str) -> None:
        """Uses the store at another address from now on.

        Versions are those of one store, so that tables are read anew.
        """
        if address != self._address:
            self._address = address
            self._sender.move(f"http://{address}")

    async def read(self, table: str) -> watched_rows.RowsResult:
        """See base class."""
        self._addresses_read[table] = self._address
        rows: list[watched_rows.TableRow] = []
        first_key = ""
        while True:
            query = {"table": table, "part": "", "limit": MAX_PAGE_ROWS}
            if first_key:
                query["range_start"] = first_key
            page = await self._send_request(
                "GET", _make_path("rows-get", query), None
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
        if self._addresses_read.get(table, self._address) != self._address:
            return _make_error(
                watched_rows.RowsErrorKind.HISTORY_GONE, "another store"
            )
        query = {
            "table": table,
            "after": after_version,
            "wait_ms": int(wait_s * 1000),
        }
        answer = await self._send_request(
            "GET", _make_path("rows-feed", query), None, wait_s
        )
        return answer.map(_to_rows)

    async def write(
        self, table: str, key: str, value: bytes, expected_version: int | None
    ) -> watched_rows.RowsResult:
        """See base class."""
        row_key = _make_row_key(table, key)
        value_text = base64.b64encode(value).decode()
        return await self._transact(
            [] if expected_version is None else [(row_key, expected_version)],
            upserts=[{**row_key, "value": value_text}],
        )

    async def remove(
        self, table: str, key: str, expected_version: int
    ) -> watched_rows.RowsResult:
        """See base class."""
        row_key = _make_row_key(table, key)
        return await self._transact(
            [(row_key, expected_version)], remove=[row_key]
        )

    async def close(self) -> None:
        """Closes the persistent connections."""
        await self._sender.close()

    async def _transact(
        self,
        preconditions: Sequence[tuple[dict[str, str], int]],
        upserts: Sequence[dict[str, str]] = (),
        remove: Sequence[dict[str, str]] = (),
    ) -> watched_rows.RowsResult:
        body = {
            "precondition": [
                {**row_key, "record_version": version}
                for row_key, version in preconditions
            ],
            "upserts": upserts,
            "remove": remove,
        }
        answer = await self._send_request(
            "POST", "/-/rows-tx", msgspec.json.encode(body)
        )
        return answer.map(_to_rows)

    async def _send_request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        wait_s: float = 0.0,
    ) -> Result[_RowsAnswer, watched_rows.RowsError]:
        result = await self._sender.send(method, path, body, wait_s)
        match result:
            case Result(tag="ok", ok=answer):
                return _decode_answer(answer)
            case Result(error=http_attempt.AttemptFailure.NOT_SENT):
                return _make_error(
                    watched_rows.RowsErrorKind.UNAVAILABLE, "not sent"
                )
        return _make_error(
            watched_rows.RowsErrorKind.OUTCOME_UNKNOWN, "no answer"
        )


def _make_row_key(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _make_path(call: str, query: dict[str, Any]) -> str:
    return f"/-/{call}?{urllib.parse.urlencode(query)}"


def _decode_answer(
    answer: http_attempt.HttpResponse,
) -> Result[_RowsAnswer, watched_rows.RowsError]:
    kinds = watched_rows.RowsErrorKind
    if answer.status in _UNAVAILABLE_STATUSES:
        return _make_error(kinds.UNAVAILABLE, f"status {answer.status}")
    if answer.status == http.GONE:
        return _make_error(kinds.HISTORY_GONE, "")
    if answer.status == http.PRECONDITION_FAILED:
        return _make_error(kinds.CONFLICT, "")
    if answer.status != http.OK:
        return _make_error(kinds.MALFORMED, f"status {answer.status}")
    try:
        return Ok(msgspec.json.decode(answer.body, type=_RowsAnswer))
    except decoding.ERRORS as error:
        return _make_error(kinds.MALFORMED, str(error))


def _make_error(
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
        # Not written by a node. Readers that expect a value treat an
        # empty one as malformed.
        return b""


def make_rows(reactor: Any, clock: clocks.Clock, address: str) -> PlatformRows:
    """Returns a client of the rows of the store at `address`, `ip:port`."""
    return PlatformRows(reactor, clock, address)
