"""Read access to the configuration stored in the platform."""

from __future__ import annotations

from collections.abc import Mapping
import enum

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import ids
from cyclamendale.configuration import changes
from cyclamendale.configuration import documents
from cyclamendale.store import object_store
from cyclamendale.store import table

MAX_UNBUNDLED_FILES = 16
"""Files changed since the last bundle above which a new bundle is written.
A reader with more files missing reads the bundle first."""

MAX_REPLAYED_VERSIONS = 8
"""Largest version difference at which a reader replays history entries
instead of reading the manifest."""


class StoreErrorKind(enum.Enum):
    """Reason for which the configuration could not be read."""

    UNAVAILABLE = "unavailable"
    FORMAT_UNKNOWN = "format-unknown"
    DAMAGED = "damaged"


class StoreError(msgspec.Struct, frozen=True):
    """A failed read; `key` is that of the row or object."""

    kind: StoreErrorKind
    key: str


class HeadRow(msgspec.Struct, frozen=True):
    """The head row as read; `head` is None before the first change."""

    head: documents.Head | None
    row_version: int

    @property
    def version(self) -> ids.ConfigVersion:
        """Returns the version in force."""
        return self.head.version if self.head else documents.NO_VERSION


class Folder(msgspec.Struct, frozen=True):
    """A version's manifest and the contents of its files, by digest."""

    manifest: documents.Manifest
    contents: Mapping[str, bytes]

    def files(self) -> dict[ids.IntentFileName, bytes]:
        """Returns the contents of each file."""
        return {
            file: self.contents[state.digest]
            for file, state in self.manifest.files.items()
        }


class ConfigurationStore:
    """Reads heads, manifests and files; stateless."""

    def __init__(
        self, rows: table.Table, objects: object_store.ObjectStore
    ) -> None:
        self._rows = rows
        self._objects = objects

    async def read_head(self) -> Result[HeadRow, StoreError]:
        """Reads the head row."""
        match await self._rows.read(documents.HEAD_KEY):
            case Result(tag="ok", ok=None):
                return Ok(HeadRow(None, table.ABSENT_VERSION))
            case Result(tag="ok", ok=table.Row() as row):
                return _decode_head(row)
            case Result(error=error):
                return Error(_convert_table_error(error))

    async def read_folder(
        self, head: documents.Head | None, known_contents: Mapping[str, bytes]
    ) -> Result[Folder, StoreError]:
        """Reads the files of a version.

        Args:
            head: The version's head; None for the empty folder.
            known_contents: Contents, by digest, that are not read again.
        """
        if head is None:
            return Ok(Folder(documents.EMPTY_MANIFEST, {}))
        match await self._read_manifest(head.manifest):
            case Result(tag="ok", ok=manifest):
                return await self._read_files(head, manifest, known_contents)
            case Result(error=error):
                return Error(error)

    async def read_folder_from(
        self,
        head: documents.Head,
        base_version: ids.ConfigVersion,
        base_folder: Folder,
    ) -> Result[Folder, StoreError]:
        """Reads a version incrementally from an earlier one.

        Up to a distance of `MAX_REPLAYED_VERSIONS`, only the rows of the
        versions after it and the files that they changed are read.

        Args:
            head: Head of the version to read.
            base_version: The earlier version.
            base_folder: Folder of the earlier version.
        """
        manifest = await self._replay_manifest(
            head, base_version, base_folder.manifest
        )
        if manifest is None:
            return await self.read_folder(head, base_folder.contents)
        return await self._read_files(head, manifest, base_folder.contents)

    async def read_history(
        self, limit: int
    ) -> Result[list[documents.HistoryEntry], StoreError]:
        """Reads the history entries of the latest versions, newest first."""
        match await self.read_head():
            case Result(tag="ok", ok=head):
                return await self._read_history_entries(head.version, limit)
            case Result(error=error):
                return Error(error)

    async def read_history_entry(
        self, version: ids.ConfigVersion
    ) -> Result[documents.HistoryEntry | None, StoreError]:
        """Reads the history entry of one version; None if there is none."""
        match await self._rows.read(documents.version_key(version)):
            case Result(tag="ok", ok=None):
                return Ok(None)
            case Result(tag="ok", ok=table.Row() as row):
                return _decode_entry(row)
            case Result(error=error):
                return Error(_convert_table_error(error))

    async def _replay_manifest(
        self,
        head: documents.Head,
        base_version: ids.ConfigVersion,
        manifest: documents.Manifest,
    ) -> documents.Manifest | None:
        if (
            not base_version
            or head.version - base_version > MAX_REPLAYED_VERSIONS
        ):
            return None
        versions = range(base_version + 1, head.version + 1)
        keys = [documents.version_key(ids.ConfigVersion(v)) for v in versions]
        rows = await defer.gatherResults([self._rows.read(key) for key in keys])
        for row in rows:
            match row:
                case Result(tag="ok", ok=table.Row() as found):
                    entry = _decode_entry(found)
                case _:
                    return None
            if entry.is_error():
                return None
            manifest = changes.replay(manifest, entry.ok)
        digest = documents.digest_of(documents.encode(manifest))
        return manifest if digest == head.manifest else None

    async def _read_manifest(
        self, digest: str
    ) -> Result[documents.Manifest, StoreError]:
        match await self._objects.get(digest):
            case Result(tag="ok", ok=data):
                decoded = documents.decode(data, documents.Manifest)
                return decoded.map_error(lambda _: _make_format_error(digest))
            case Result(error=error):
                return Error(_convert_object_error(error))

    async def _read_files(
        self,
        head: documents.Head,
        manifest: documents.Manifest,
        known_contents: Mapping[str, bytes],
    ) -> Result[Folder, StoreError]:
        needed = {state.digest for state in manifest.files.values()}
        contents = {d: known_contents[d] for d in needed if d in known_contents}
        if head.bundle and len(needed) - len(contents) > MAX_UNBUNDLED_FILES:
            bundle = await self._read_bundle(head.bundle)
            contents.update(
                (digest, bundle[digest]) for digest in needed & bundle.keys()
            )
        missing = sorted(needed - contents.keys())
        answers = await defer.gatherResults(
            [self._objects.get(digest) for digest in missing]
        )
        for digest, answer in zip(missing, answers, strict=True):
            match answer:
                case Result(tag="ok", ok=data):
                    contents[digest] = data
                case Result(error=error):
                    return Error(_convert_object_error(error))
        return Ok(Folder(manifest, contents))

    async def _read_bundle(self, digest: str) -> Mapping[str, bytes]:
        match await self._objects.get(digest):
            case Result(tag="ok", ok=data):
                return documents.decode_bundle(data)
            case _:
                # The files are then read one by one.
                return {}

    async def _read_history_entries(
        self, newest: ids.ConfigVersion, limit: int
    ) -> Result[list[documents.HistoryEntry], StoreError]:
        entries: list[documents.HistoryEntry] = []
        # The table lists rows in ascending order only, so they are read in
        # blocks of 100, whose keys share all but the last two digits.
        for block in range(newest // 100, -1, -1):
            key = documents.version_key(ids.ConfigVersion(block * 100))
            match await self._rows.list_rows(key[:-2], 100):
                case Result(tag="ok", ok=rows):
                    decoded = [_decode_entry(row) for row in reversed(rows)]
                case Result(error=error):
                    return Error(_convert_table_error(error))
            for entry in decoded:
                match entry:
                    case Result(tag="ok", ok=known):
                        entries.append(known)
                    case Result(error=unknown):
                        return Error(unknown)
            if len(entries) >= limit:
                break
        return Ok(entries[:limit])


def _decode_head(row: table.Row) -> Result[HeadRow, StoreError]:
    decoded = documents.decode(row.value, documents.Head)
    return decoded.map(lambda head: HeadRow(head, row.version)).map_error(
        lambda _: _make_format_error(row.key)
    )


def _decode_entry(
    row: table.Row,
) -> Result[documents.HistoryEntry, StoreError]:
    decoded = documents.decode(row.value, documents.HistoryEntry)
    return decoded.map_error(lambda _: _make_format_error(row.key))


def _make_format_error(key: str) -> StoreError:
    return StoreError(StoreErrorKind.FORMAT_UNKNOWN, key)


def _convert_table_error(error: table.TableError) -> StoreError:
    if error.kind is table.TableErrorKind.MALFORMED:
        return StoreError(StoreErrorKind.FORMAT_UNKNOWN, error.key)
    return StoreError(StoreErrorKind.UNAVAILABLE, error.key)


def _convert_object_error(error: object_store.ObjectError) -> StoreError:
    if error.kind is object_store.ObjectErrorKind.UNAVAILABLE:
        return StoreError(StoreErrorKind.UNAVAILABLE, error.digest)
    return StoreError(StoreErrorKind.DAMAGED, error.digest)
