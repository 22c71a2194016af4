"""Cache of quota divisions, backed by rows in the platform's table.

Besides the newest division it serves the older ones that lease rows still
refer to.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from expression import Result

from cyclamendale import ids
from cyclamendale.intents import model
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares
from cyclamendale.store import table

CustomersByShard = Mapping[ids.ShardId, Mapping[ids.CustomerId, model.Customer]]


class DivisionStore:
    """Stores divisions in the table, keyed by their digests.

    Attributes:
        current: Index of the newest division.
        digest: Digest of the newest division.
        customers: The customers of the newest configuration.
    """

    def __init__(
        self,
        platform_table: table.Table,
        on_fetched: Callable[[], None],
        on_stored: Callable[[], None],
    ) -> None:
        self._table = platform_table
        self._on_fetched = on_fetched
        self._on_stored = on_stored
        self._indexes: dict[shares.DivisionDigest, shares.DivisionIndex] = {}
        self._stored: set[shares.DivisionDigest] = set()
        self._pending: set[shares.DivisionDigest] = set()
        self._by_shard: dict[int, CustomersByShard] = {}
        self.customers: Mapping[ids.CustomerId, model.Customer] = {}
        self.current = shares.DivisionIndex(shares.Division(1, ()))
        self.digest = self.current.division.digest

    def set_current(self, division: shares.Division) -> bool:
        """Sets the newest division; returns whether it changed."""
        digest = division.digest
        index = self._indexes.get(digest)
        if index is None:
            index = self._indexes[digest] = shares.DivisionIndex(division)
        changed = digest != self.digest
        self.current = index
        self.digest = digest
        return changed

    def set_customers(
        self, customers: Mapping[ids.CustomerId, model.Customer]
    ) -> None:
        """Sets the customers of the newest configuration."""
        self.customers = customers
        self._by_shard = {}

    def get_or_fetch(
        self, digest: shares.DivisionDigest
    ) -> shares.DivisionIndex | None:
        """Returns a division, or None while it is being fetched."""
        index = self._indexes.get(digest)
        if index is None and digest not in self._pending:
            self._pending.add(digest)
            reading = self._table.read(shard_row.division_key(digest))
            reading.addCallback(self._handle_fetched, digest)
        return index

    def retain_only(self, digests: Iterable[shares.DivisionDigest]) -> None:
        """Drops all divisions but the newest and those with `digests`."""
        keep = {self.digest, *digests}
        for digest in self._indexes.keys() - keep:
            del self._indexes[digest]

    def ensure_stored(self) -> bool:
        """Returns whether the newest division is in the table.

        If it is not, starts writing it.
        """
        digest = self.digest
        if digest in self._stored:
            return True
        if digest not in self._pending:
            self._pending.add(digest)
            value = shares.encode_division(self.current.division)
            key = shard_row.division_key(digest)
            writing = self._table.insert_if_absent(key, value)
            writing.addCallback(self._handle_inserted, digest)
        return False

    def get_customers(
        self,
        shard: ids.ShardId,
        divisions: list[shares.DivisionIndex | None],
    ) -> Mapping[ids.CustomerId, model.Customer]:
        """Returns the customers of a shard, according to any of `divisions`."""
        found: dict[ids.CustomerId, model.Customer] = {}
        for division in divisions:
            if division is not None:
                count = division.division.shard_count
                found.update(self._group_by_shard(count).get(shard, {}))
        return found

    def _group_by_shard(self, count: int) -> CustomersByShard:
        by_shard = self._by_shard.get(count)
        if by_shard is None:
            grouped: dict[ids.ShardId, dict[ids.CustomerId, model.Customer]]
            grouped = {}
            for name, customer in self.customers.items():
                shard = shares.shard_of(name, count)
                grouped.setdefault(shard, {})[name] = customer
            by_shard = self._by_shard[count] = grouped
        return by_shard

    def _handle_fetched(
        self,
        result: Result[table.Row | None, table.TableError],
        digest: shares.DivisionDigest,
    ) -> None:
        self._pending.discard(digest)
        if result.is_error() or result.ok is None:
            return
        division = shares.decode_division(result.ok.value, digest)
        if division is not None:
            self._indexes[digest] = shares.DivisionIndex(division)
            self._stored.add(digest)
            self._on_fetched()

    def _handle_inserted(
        self,
        result: Result[table.Row, table.TableError],
        digest: shares.DivisionDigest,
    ) -> None:
        self._pending.discard(digest)
        if result.is_ok() or (
            result.error.kind is table.TableErrorKind.CONFLICT
        ):
            self._stored.add(digest)
            self._on_stored()
