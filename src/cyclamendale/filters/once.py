"""Filter that runs a non-idempotent request at most once per key.

The platform's table holds one row per Idempotency-Key. The row is inserted
before the request is forwarded, so a repeat through any node finds it. If the
request certainly did not run, the row is deleted and a repeat may run.
"""

from __future__ import annotations

import hashlib
import secrets

from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import decoding
from cyclamendale import refusals
from cyclamendale.entry import call as calls
from cyclamendale.filters import base
from cyclamendale.intents import model
from cyclamendale.store import table as tables

IDEMPOTENCY_HEADER = b"Idempotency-Key"
ROW_PREFIX = "once/"
ROW_FORMAT = 1

_DeferredVerdict = defer.Deferred[base.Verdict]


class OnceRow(msgspec.Struct, frozen=True):
    """Value of the table row of one idempotency key.

    Attributes:
        format: Version of the row format.
        writer: Random id of the claim that inserted the row.
        answered: Whether the caller received the answer.
    """

    format: int
    writer: str
    answered: bool


class OnceFilter(base.Filter):
    """Claims the idempotency key of a request if its route requires it."""

    def __init__(self, table: tables.Table) -> None:
        self._table = table

    def apply(
        self, call: calls.Call
    ) -> base.Verdict | defer.Deferred[base.Verdict]:
        """See base class."""
        assert call.route is not None
        if call.route.once is not model.Once.TABLE:
            return None
        key = call.get_header(IDEMPOTENCY_HEADER)
        if key is None:
            return None
        claim = _Claim(self._table, call, key)
        return claim.insert()


class _Claim:
    """One attempt to claim an idempotency key."""

    def __init__(
        self, table: tables.Table, call: calls.Call, key: bytes
    ) -> None:
        assert call.route is not None
        self._table = table
        self._call = call
        self._writer = secrets.token_hex(8)
        self._version = tables.ABSENT_VERSION
        digest = hashlib.sha256(
            b"\0".join([call.customer.encode(), call.route.name.encode(), key])
        ).hexdigest()
        self._row_key = ROW_PREFIX + digest

    def insert(self) -> _DeferredVerdict:
        inserted = self._table.insert_if_absent(
            self._row_key, self._value(answered=False)
        )
        verdict: _DeferredVerdict = inserted.addCallback(self._handle_insert)
        return verdict

    def _value(self, answered: bool) -> bytes:
        return msgspec.json.encode(OnceRow(ROW_FORMAT, self._writer, answered))

    def _handle_insert(
        self, result: Result[tables.Row, tables.TableError]
    ) -> base.Verdict | _DeferredVerdict:
        if result.is_ok():
            return self._claim_succeeded(result.ok)
        kind = result.error.kind
        if kind is tables.TableErrorKind.CONFLICT:
            return self._resolve_conflict(result.error.current)
        if kind is tables.TableErrorKind.OUTCOME_UNKNOWN:
            return self._table.read(self._row_key).addCallback(
                self._resolve_by_read
            )
        return self._refuse_unavailable()

    def _resolve_by_read(
        self, result: Result[tables.Row | None, tables.TableError]
    ) -> base.Verdict:
        """Decides by the stored row after the answer to the insert was lost."""
        if result.is_error() or result.ok is None:
            return self._refuse_unavailable()
        return self._resolve_conflict(result.ok)

    def _resolve_conflict(self, row: tables.Row | None) -> base.Verdict:
        """Accepts the row if this claim wrote it; else refuses the repeat."""
        found = _decode(row) if row is not None else None
        if row is None or found is None or found.writer != self._writer:
            return self._refuse_repeat(row)
        return self._claim_succeeded(row)

    def _claim_succeeded(self, row: tables.Row) -> base.Verdict:
        self._version = row.version
        if self._call.ended:
            # The call ended during the insert, so the request never runs.
            self._delete_row()
        else:
            self._call.on_ended = self._record_outcome
        return None

    def _refuse_repeat(self, row: tables.Row | None) -> base.Verdict:
        found = _decode(row) if row is not None else None
        if found is not None and found.answered:
            # This repeat did not run, but the first request did.
            return self._refusal(
                refusals.RefusalReason.ALREADY_RUN, refusals.Execution.UNKNOWN
            )
        return self._refusal(
            refusals.RefusalReason.MAY_HAVE_RUN, refusals.Execution.UNKNOWN
        )

    def _refuse_unavailable(self) -> base.Verdict:
        return self._refusal(
            refusals.RefusalReason.ONCE_UNAVAILABLE,
            refusals.Execution.NOT_RUN,
        )

    def _refusal(
        self, reason: refusals.RefusalReason, execution: refusals.Execution
    ) -> refusals.Refusal:
        assert self._call.route is not None
        return refusals.Refusal(
            reason,
            execution,
            self._call.configuration.decider(
                "route", self._call.route.name, "once"
            ),
        )

    def _record_outcome(self, refusal: refusals.Refusal | None) -> None:
        """Records the outcome in the row.

        If the write is lost, the row stays and repeats are refused, which is
        the safe direction.

        Args:
            refusal: Refusal of the request, or None if its caller received
                an answer.
        """
        if refusal is None:
            self._table.compare_and_set(
                self._row_key, self._version, self._value(answered=True)
            )
        elif refusal.execution is refusals.Execution.NOT_RUN:
            self._delete_row()

    def _delete_row(self) -> None:
        """Deletes the row of a request that certainly did not run."""
        self._table.transact(
            [tables.Write(self._row_key, self._version, delete=True)]
        )


def _decode(row: tables.Row) -> OnceRow | None:
    """Returns the value of a row, or None if its format is unknown."""
    try:
        value = msgspec.json.decode(row.value, type=OnceRow)
    except decoding.ERRORS:
        return None
    return value if value.format == ROW_FORMAT else None
