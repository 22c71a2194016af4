"""Node discovery through rows in the platform's table.

Each node keeps one row with its address in the table. All nodes read the rows
now and then and contact nodes that they do not know as live members. So new
nodes join, and the sides of a partition find each other again.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any

from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.membership import member_list
from cyclamendale.store import table as tables

PREFIX = "members/"
ROW_FORMAT = 1
"""Rows of other formats, such as newer ones, are neither used nor deleted."""
WRITE_INTERVAL_S = 60.0
INITIAL_WRITE_RETRY_S = 2.0
"""Delay after the first failed write.

It doubles with each further failure, up to `WRITE_INTERVAL_S`.
"""
INITIAL_READ_INTERVAL_S = 1.0
"""Delay between the first two reads.

It doubles after each read, up to `MAX_READ_INTERVAL_S`.
"""
MAX_READ_INTERVAL_S = 300.0
STALE_S = 600.0
"""Time without a change of its version after which a row is deleted.

Rows of live members are not deleted.
"""
MAX_OWN_DOMAIN_ROWS = 1_024
MAX_SAMPLE_ROWS = 64
"""Rows read across all failure domains."""
CONTACTS_PER_READ = 3
"""Maximum number of unknown nodes contacted after each read."""
MAX_DELETIONS_PER_READ = 8
JITTER_RATIO = 0.25


class ContactRow(msgspec.Struct, frozen=True):
    """JSON value of a row.

    Attributes:
        format: Format version of the value.
        node: Identifier of the node.
    """

    format: int
    node: str


class _Observation(msgspec.Struct):
    version: int
    since_s: float


class ContactRows:
    """Refreshes the node's own row, reads other rows, deletes stale ones.

    Failed writes and reads are retried later. The age of a row is the time
    for which this node has observed the same row version, so clocks of
    different hosts are never compared.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        members: member_list.MemberList,
        table: tables.Table,
        contact: Callable[[ids.PeerAddress], None],
    ) -> None:
        """Creates the discovery of a node.

        Args:
            clock: Time source and scheduler.
            rng: Random source.
            members: The member list of the node.
            table: The platform's table.
            contact: Called with the address of each unknown node to contact.
        """
        self._clock = clock
        self._rng = rng
        self._members = members
        self._table = table
        self._contact = contact
        own = members.own()
        self._key = row_key(own.failure_domain, own.address)
        self._value = msgspec.json.encode(ContactRow(ROW_FORMAT, own.node))
        self._row_version = tables.ABSENT_VERSION
        self._write_retry_s = INITIAL_WRITE_RETRY_S
        self._read_interval_s = INITIAL_READ_INTERVAL_S
        self._observations: dict[str, _Observation] = {}
        self._delayed_calls: dict[Callable[[], Any], clocks.DelayedCall] = {}
        self._stopped = False

    def start(self) -> None:
        """Writes the own row, then starts the periodic writes and reads."""
        self._write().addBoth(lambda _: self._read_rows())

    def stop(self) -> defer.Deferred[None]:
        """Stops the periodic calls and tries to delete the own row."""
        self._stopped = True
        for call in self._delayed_calls.values():
            if call.active():
                call.cancel()
        if self._row_version == tables.ABSENT_VERSION:
            return defer.succeed(None)
        deletion = tables.Write(self._key, self._row_version, delete=True)
        done = self._table.transact([deletion])
        return done.addCallback(lambda _: None)

    def _write(self) -> defer.Deferred[None]:
        if self._row_version == tables.ABSENT_VERSION:
            pending = self._table.insert_if_absent(self._key, self._value)
        else:
            pending = self._table.compare_and_set(
                self._key, self._row_version, self._value
            )
        return pending.addCallback(self._handle_write_result)

    def _handle_write_result(
        self, result: Result[tables.Row, tables.TableError]
    ) -> None:
        if result.is_ok():
            self._row_version = result.ok.version
            self._write_retry_s = INITIAL_WRITE_RETRY_S
            self._schedule(WRITE_INTERVAL_S, self._write)
            return
        current = result.error.current
        # If the outcome is unknown, the next insert either succeeds or
        # reports the current version in its conflict.
        self._row_version = (
            current.version if current else tables.ABSENT_VERSION
        )
        self._schedule(self._write_retry_s, self._write)
        self._write_retry_s = min(WRITE_INTERVAL_S, self._write_retry_s * 2)

    @defer.inlineCallbacks
    def _read_rows(self) -> Any:
        own_prefix = f"{PREFIX}{self._members.own().failure_domain}/"
        rows: dict[str, tables.Row] = {}
        for prefix, limit in (
            (own_prefix, MAX_OWN_DOMAIN_ROWS),
            (PREFIX, MAX_SAMPLE_ROWS),
        ):
            result = yield self._table.list_rows(prefix, limit)
            if result.is_ok():
                rows.update((row.key, row) for row in result.ok)
        if self._stopped:
            return
        unknown = [row for row in rows.values() if self._is_unknown(row)]
        self._contact_unknown(unknown)
        yield self._delete_stale(unknown)
        self._schedule(self._read_interval_s, self._read_rows)
        self._read_interval_s = min(
            MAX_READ_INTERVAL_S, self._read_interval_s * 2
        )

    def _is_unknown(self, row: tables.Row) -> bool:
        address = row_address(row)
        if address is None or row.key == self._key:
            return False
        record = self._members.record(address)
        return record is None or not member_list.is_live(record.member)

    def _contact_unknown(self, rows: list[tables.Row]) -> None:
        own_prefix = f"{PREFIX}{self._members.own().failure_domain}/"
        self._rng.shuffle(rows)
        own_domain = [row for row in rows if row.key.startswith(own_prefix)]
        other_domains = [
            row for row in rows if not row.key.startswith(own_prefix)
        ]
        chosen = own_domain[: CONTACTS_PER_READ - 1]
        chosen += other_domains[: CONTACTS_PER_READ - len(chosen)]
        for row in chosen:
            address = row_address(row)
            if address is not None:
                self._contact(address)

    def _delete_stale(self, rows: list[tables.Row]) -> defer.Deferred[Any]:
        now_s = self._clock.now_s()
        observations = {row.key: self._observe(row, now_s) for row in rows}
        self._observations = observations
        stale = [
            tables.Write(row.key, row.version, delete=True)
            for row in rows
            if now_s - observations[row.key].since_s >= STALE_S
        ]
        return defer.DeferredList(
            [
                self._table.transact([write])
                for write in stale[:MAX_DELETIONS_PER_READ]
            ]
        )

    def _observe(self, row: tables.Row, now_s: float) -> _Observation:
        observation = self._observations.get(row.key)
        if observation is not None and observation.version == row.version:
            return observation
        return _Observation(row.version, now_s)

    def _schedule(self, delay_s: float, function: Callable[[], Any]) -> None:
        if self._stopped:
            return
        jitter = 1 + JITTER_RATIO * (2 * self._rng.random() - 1)
        self._delayed_calls[function] = self._clock.call_later(
            delay_s * jitter, function
        )


def row_key(domain: ids.FailureDomainName, address: ids.PeerAddress) -> str:
    """Returns the key of a node's row."""
    return f"{PREFIX}{domain}/{address}"


def row_address(row: tables.Row) -> ids.PeerAddress | None:
    """Returns the node address of a row, or None if it cannot be decoded."""
    try:
        value = msgspec.json.decode(row.value, type=ContactRow)
    except decoding.ERRORS:
        return None
    if value.format != ROW_FORMAT:
        return None
    return ids.PeerAddress(row.key.rpartition("/")[2])
