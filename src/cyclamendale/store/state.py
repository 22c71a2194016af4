"""Rows and objects of the stand-ins, without time or faults."""

from __future__ import annotations

import bisect
import hashlib

from expression import Error
from expression import Ok
from expression import Result

from cyclamendale.store import object_store
from cyclamendale.store import table


class TableState:
    """The rows of a table; every method is atomic."""

    def __init__(self) -> None:
        self._rows: dict[str, table.Row] = {}
        self._keys: list[str] = []
        # Kept after a deletion, so that a version never comes back and
        # a delayed write cannot hit a later row of the same key.
        self._last_versions: dict[str, int] = {}

    def read(self, key: str) -> table.Row | None:
        """Returns a row, or None when it does not exist."""
        return self._rows.get(key)

    def list_rows(self, prefix: str, limit: int) -> list[table.Row]:
        """Returns up to `limit` rows under a prefix, in key order."""
        found: list[table.Row] = []
        start = bisect.bisect_left(self._keys, prefix)
        for key in self._keys[start:]:
            if len(found) >= limit or not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    def transact(
        self, writes: list[table.Write]
    ) -> Result[list[table.Row], table.TableError]:
        """Applies all writes, or none when an expectation fails."""
        if len({write.key for write in writes}) < len(writes):
            return Error(table.TableError(table.TableErrorKind.MALFORMED))
        for write in writes:
            current = self._rows.get(write.key)
            version = current.version if current else table.ABSENT_VERSION
            if version != write.expected_version:
                return Error(self.make_conflict(write.key))
        return Ok([row for write in writes for row in self._apply(write)])

    def make_conflict(self, key: str) -> table.TableError:
        """Returns the conflict that the present row of `key` causes."""
        kind = table.TableErrorKind.CONFLICT
        return table.TableError(kind, key, self._rows.get(key))

    def _apply(self, write: table.Write) -> list[table.Row]:
        if write.delete:
            if self._rows.pop(write.key, None):
                self._keys.remove(write.key)
            return []
        if write.value is None:
            return []
        version = self._last_versions.get(write.key, table.ABSENT_VERSION) + 1
        if write.key not in self._rows:
            bisect.insort(self._keys, write.key)
        self._last_versions[write.key] = version
        self._rows[write.key] = table.Row(write.key, write.value, version)
        return [self._rows[write.key]]


class ObjectState:
    """The objects of an object store."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    def put(self, data: bytes) -> str:
        """Stores an object; returns its digest."""
        digest = digest_of(data)
        self.objects[digest] = data
        return digest

    def get(self, digest: str) -> Result[bytes, object_store.ObjectError]:
        """Returns an object that matches its digest."""
        data = self.objects.get(digest)
        if data is None:
            kind = object_store.ObjectErrorKind.NOT_FOUND
            return Error(object_store.ObjectError(kind, digest))
        return verify_digest(data, digest)


def digest_of(data: bytes) -> str:
    """Returns the name of an object: its SHA-256, hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def verify_digest(
    data: bytes, digest: str
) -> Result[bytes, object_store.ObjectError]:
    """Returns `data`, or the error that it is not what was asked for."""
    if digest_of(data) == digest:
        return Ok(data)
    kind = object_store.ObjectErrorKind.CORRUPT
    return Error(object_store.ObjectError(kind, digest))
