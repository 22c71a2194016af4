"""Publication of one change, attempt by attempt.

A version is published with optimistic concurrency: its objects are stored
first, then one transaction replaces the head row, if that is unchanged, and
inserts the row of the version.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.configuration import changes
from cyclamendale.configuration import documents
from cyclamendale.configuration import store as stores
from cyclamendale.store import object_store
from cyclamendale.store import table

Files: TypeAlias = "Mapping[ids.IntentFileName, bytes]"
Validate: TypeAlias = "Callable[[Files], Result[Any, Any]]"
PublishResult: TypeAlias = "Result[changes.Published, changes.PublishError]"

_KIND_BY_STORE_ERROR = {
    stores.StoreErrorKind.UNAVAILABLE: changes.PublishErrorKind.UNAVAILABLE,
    stores.StoreErrorKind.FORMAT_UNKNOWN: (
        changes.PublishErrorKind.FORMAT_UNKNOWN
    ),
    stores.StoreErrorKind.DAMAGED: changes.PublishErrorKind.DAMAGED,
}


class _UnresolvedWrite(msgspec.Struct, frozen=True):
    """A write with unknown outcome.

    Attributes:
        row_version: Version of the head row that the write is conditional on.
            It can take effect only while the row has this version.
        version: Configuration version that the write creates.
    """

    row_version: int
    version: ids.ConfigVersion


class Publication:
    """State of one change that is kept between attempts."""

    def __init__(
        self,
        rows: table.Table,
        objects: object_store.ObjectStore,
        clock: clocks.Clock,
        validate: Validate,
        change: changes.Change,
    ) -> None:
        self._rows = rows
        self._objects = objects
        self._clock = clock
        self._validate = validate
        self._change = change
        self._store = stores.ConfigurationStore(rows, objects)
        self._known_contents = {
            documents.digest_of(data): data for data in change.puts.values()
        }
        self._unresolved: _UnresolvedWrite | None = None

    async def attempt(self) -> PublishResult:
        """Reads the head and makes one attempt to publish on top of it."""
        head_result = await self._store.read_head()
        if head_result.is_error():
            return Error(to_publish_error(head_result.error))
        head = head_result.ok
        folder = await self._store.read_folder(head.head, self._known_contents)
        if folder.is_error():
            return Error(to_publish_error(folder.error))
        self._known_contents.update(folder.ok.contents)
        manifest = folder.ok.manifest
        applied = changes.find_applied(head.head, manifest, self._change)
        if applied is not None:
            return Ok(applied)
        resolved = await self._resolve_write(head)
        if resolved is not None:
            return resolved
        updated = changes.apply_change(head.head, manifest, self._change)
        if updated.is_error():
            return Error(updated.error)
        return await self._publish_version(head, updated.ok)

    async def _resolve_write(
        self, head: stores.HeadRow
    ) -> PublishResult | None:
        """Finds out what became of a write once the head row has moved on.

        Returns:
            The result of the publication, or None if it is to go on. The head
            remembers only some changes, so the row of the version decides.
        """
        write = self._unresolved
        if write is None or head.row_version == write.row_version:
            return None
        entry = await self._store.read_history_entry(write.version)
        if entry.is_error():
            return Error(to_publish_error(entry.error))
        if entry.ok is None:
            kind = changes.PublishErrorKind.OUTCOME_UNKNOWN
            return Error(changes.PublishError(kind))
        self._unresolved = None
        if entry.ok.change_id == self._change.change_id:
            return Ok(changes.Published(write.version, repeated=True))
        return None

    def should_retry(self, error: changes.PublishError) -> bool:
        """Returns whether another attempt can still succeed."""
        kinds = changes.PublishErrorKind
        if error.kind is kinds.UNAVAILABLE:
            return self._unresolved is not None
        return error.kind in (kinds.CONTENTION, kinds.OUTCOME_UNKNOWN)

    def to_final_error(
        self, error: changes.PublishError
    ) -> changes.PublishError:
        """Returns the error to report when no further attempt is made.

        While the outcome of a write is unresolved, the change may still take
        effect, so any error is reported as `OUTCOME_UNKNOWN`.
        """
        if self._unresolved is None:
            return error
        return changes.PublishError(changes.PublishErrorKind.OUTCOME_UNKNOWN)

    async def _publish_version(
        self, head: stores.HeadRow, manifest: documents.Manifest
    ) -> PublishResult:
        # Validates the folder merged with concurrent changes, since the
        # operator validated only the folder of the base version.
        files = stores.Folder(manifest, self._known_contents).files()
        validated = self._validate(files)
        if validated.is_error():
            kind = changes.PublishErrorKind.INVALID
            return Error(changes.PublishError(kind, invalid=validated.error))
        encoded_manifest = documents.encode(manifest)
        new_head = self._make_next_head(head.head, manifest, encoded_manifest)
        if not await self._put_objects(
            head.head, new_head, manifest, encoded_manifest
        ):
            kind = changes.PublishErrorKind.UNAVAILABLE
            return Error(changes.PublishError(kind))
        return await self._commit(head, new_head, manifest)

    def _make_next_head(
        self,
        old: documents.Head | None,
        manifest: documents.Manifest,
        encoded_manifest: bytes,
    ) -> documents.Head:
        change_id = self._change.change_id
        last_version = old.version if old else documents.NO_VERSION
        version = ids.ConfigVersion(last_version + 1)
        recent = (
            documents.RecentChange(change_id, version),
            *(old.recent if old else ()),
        )
        bundle = old.bundle if old else ""
        bundle_version = old.bundle_version if old else documents.NO_VERSION
        if (
            _count_unbundled_files(manifest, bundle_version)
            > stores.MAX_UNBUNDLED_FILES
        ):
            bundle = documents.digest_of(self._encode_bundle(manifest))
            bundle_version = version
        return documents.Head(
            version=version,
            manifest=documents.digest_of(encoded_manifest),
            writer=self._change.writer,
            change_id=change_id,
            recent=recent[: documents.MAX_RECENT_CHANGES],
            bundle=bundle,
            bundle_version=bundle_version,
        )

    def _encode_bundle(self, manifest: documents.Manifest) -> bytes:
        digests = {state.digest for state in manifest.files.values()}
        return documents.encode_bundle(
            {d: self._known_contents[d] for d in digests}
        )

    async def _put_objects(
        self,
        old: documents.Head | None,
        new: documents.Head,
        manifest: documents.Manifest,
        encoded_manifest: bytes,
    ) -> bool:
        objects = [*self._change.puts.values(), encoded_manifest]
        if new.bundle != (old.bundle if old else ""):
            objects.append(self._encode_bundle(manifest))
        stored = await defer.gatherResults(
            [self._objects.put(each) for each in objects]
        )
        return all(result.is_ok() for result in stored)

    async def _commit(
        self,
        head: stores.HeadRow,
        new: documents.Head,
        manifest: documents.Manifest,
    ) -> PublishResult:
        written = await self._rows.transact(
            [
                table.Write(
                    documents.HEAD_KEY,
                    head.row_version,
                    documents.encode(new),
                ),
                table.Write(
                    documents.version_key(new.version),
                    table.ABSENT_VERSION,
                    documents.encode(self._make_history_entry(new, manifest)),
                ),
            ]
        )
        match written:
            case Result(tag="ok"):
                return Ok(changes.Published(new.version))
            case Result(error=error):
                return Error(self._make_commit_error(error, head, new.version))

    def _make_commit_error(
        self,
        error: table.TableError,
        head: stores.HeadRow,
        version: ids.ConfigVersion,
    ) -> changes.PublishError:
        kinds = changes.PublishErrorKind
        if error.kind is table.TableErrorKind.CONFLICT:
            if error.key == documents.HEAD_KEY:
                return changes.PublishError(kinds.CONTENTION)
            # This program writes a version row and the head together. A
            # row beyond the head is from another version of the program.
            return changes.PublishError(kinds.FORMAT_UNKNOWN)
        if error.kind is table.TableErrorKind.OUTCOME_UNKNOWN:
            self._unresolved = _UnresolvedWrite(head.row_version, version)
            return changes.PublishError(kinds.OUTCOME_UNKNOWN)
        if error.kind is table.TableErrorKind.MALFORMED:
            return changes.PublishError(kinds.FORMAT_UNKNOWN)
        return changes.PublishError(kinds.UNAVAILABLE)

    def _make_history_entry(
        self, new: documents.Head, manifest: documents.Manifest
    ) -> documents.HistoryEntry:
        return documents.HistoryEntry(
            version=new.version,
            manifest=new.manifest,
            writer=new.writer,
            change_id=new.change_id,
            base_version=self._change.base_version,
            puts={f: manifest.files[f].digest for f in self._change.puts},
            removes=tuple(sorted(self._change.removes)),
            removals_since=manifest.removals_since,
            written_ms=int(self._clock.wall_s() * 1000),
        )


def _count_unbundled_files(
    manifest: documents.Manifest, bundle_version: ids.ConfigVersion
) -> int:
    states = manifest.files.values()
    return sum(state.version > bundle_version for state in states)


def to_publish_error(error: stores.StoreError) -> changes.PublishError:
    """Returns the publication error for a failed read."""
    return changes.PublishError(_KIND_BY_STORE_ERROR[error.kind])
