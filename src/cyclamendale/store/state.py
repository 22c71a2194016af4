"""In-memory rows and objects, without latency or fault injection."""

from __future__ import annotations

import bisect
import hashlib

from expression import Error
from expression import Ok
from expression import Result

from cyclamendale.store import object_store
from cyclamendale.store import table


class TableState:
    """Rows of a table; every method is atomic."""

    def __init__(self) -> None:
        self._rows: dict[str, table.Row] = {}
        self._keys: list[str] = []
        # Kept after a deletion so that versions are never reused: a
        # delayed write must not match a later row with the same key.
        self._last_versions: dict[str, int] = {}

    def read(self, key: str) -> table.Row | None:
        """Returns a row, or None if it does not exist."""
        return self._rows.get(key)

    def list_rows(self, prefix: str, limit: int) -> list[table.Row]:
        """Returns up to `limit` rows with a key prefix, in key order."""
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
        """Applies all writes, or none if an expected version differs."""
        if len({write.key for write in writes}) < len(writes):
            return Error(table.TableError(table.TableErrorKind.MALFORMED))
        for write in writes:
            current = self._rows.get(write.key)
            version = current.version if current else table.ABSENT_VERSION
            if version != write.expected_version:
                return Error(self.make_conflict(write.key))
        return Ok([row for write in writes for row in self._apply(write)])

    def make_conflict(self, key: str) -> table.TableError:
        """Returns a conflict error with the current row of `key`."""
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
    """Objects of an object store, by digest."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    def put(self, data: bytes) -> str:
        """Stores an object and returns its digest."""
        digest = digest_of(data)
        self.objects[digest] = data
        return digest

    def get(self, digest: str) -> Result[bytes, object_store.ObjectError]:
        """Returns an object after verifying its digest."""
        data = self.objects.get(digest)
        if data is None:
            kind = object_store.ObjectErrorKind.NOT_FOUND
            return Error(object_store.ObjectError(kind, digest))
        return verify_digest(data, digest)


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 digest of an object, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def verify_digest(
    data: bytes, digest: str
) -> Result[bytes, object_store.ObjectError]:
    """Returns `data`, or an error if its digest is not `digest`."""
    if digest_of(data) == digest:
        return Ok(data)
    kind = object_store.ObjectErrorKind.CORRUPT
    return Error(object_store.ObjectError(kind, digest))
