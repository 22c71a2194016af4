"""Snapshots of a configuration version, and deltas between them.

Nodes hold snapshots and exchange deltas. A delta is verified against the digest
of the resulting manifest, so a wrong base or an incomplete delta is detected.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import itertools

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import ids
from cyclamendale.configuration import documents
from cyclamendale.configuration import store


class FileChange(msgspec.Struct, frozen=True):
    """The last change of a file; `content` is None for a removed file."""

    file: ids.IntentFileName
    version: ids.ConfigVersion
    change_id: ids.ChangeId
    writer: str
    content: bytes | None


class Delta(msgspec.Struct, frozen=True):
    """File changes that turn one version into a later one.

    Attributes:
        version: The later version.
        manifest: Digest of its manifest.
        complete: Whether `changes` holds all files, not only changed ones.
        removals_since: `Manifest.removals_since` of its manifest.
        changes: Last changes of files.
    """

    version: ids.ConfigVersion
    manifest: str
    complete: bool
    removals_since: ids.ConfigVersion
    changes: tuple[FileChange, ...]


class DeltaMismatch(msgspec.Struct, frozen=True):
    """Applying a delta did not yield the manifest that the delta states."""

    version: ids.ConfigVersion


class Snapshot(msgspec.Struct, frozen=True):
    """A version with the contents of its files.

    Attributes:
        version: The version.
        digest: Digest of its manifest.
        folder: Its manifest and the contents of its files.
    """

    version: ids.ConfigVersion
    digest: str
    folder: store.Folder

    def has_pruned_tombstones(self, base_version: ids.ConfigVersion) -> bool:
        """Returns whether tombstones after a version may have been pruned."""
        return base_version < self.folder.manifest.removals_since

    def changes_since(
        self, base_version: ids.ConfigVersion
    ) -> Iterator[FileChange]:
        """Yields the last changes after a version, by file name.

        Yields all files if tombstones after that version may have been
        pruned, since the removals cannot then be listed.
        """
        manifest = self.folder.manifest
        if self.has_pruned_tombstones(base_version):
            base_version = documents.NO_VERSION
        states = {**manifest.removed, **manifest.files}
        for file, state in sorted(states.items()):
            if state.version > base_version:
                yield self._make_file_change(file, state)

    def apply(self, delta: Delta) -> Result[Snapshot, DeltaMismatch]:
        """Returns the snapshot of the later version that a delta yields."""
        base = documents.EMPTY_MANIFEST
        if not delta.complete:
            base = self.folder.manifest
        manifest = _apply_changes(base, delta)
        digest = documents.digest_of(documents.encode(manifest))
        contents = {
            **self.folder.contents,
            **dict(_iter_contents(delta.changes)),
        }
        wanted = {state.digest for state in manifest.files.values()}
        if (
            digest != delta.manifest
            or _find_version(manifest) != delta.version
            or not wanted <= contents.keys()
        ):
            return Error(DeltaMismatch(delta.version))
        kept = {d: contents[d] for d in wanted}
        return Ok(Snapshot(delta.version, digest, store.Folder(manifest, kept)))

    def _make_file_change(
        self, file: ids.IntentFileName, state: documents.FileState
    ) -> FileChange:
        content = self.folder.contents[state.digest] if state.digest else None
        return FileChange(
            file, state.version, state.change_id, state.writer, content
        )


def _apply_changes(
    base: documents.Manifest, delta: Delta
) -> documents.Manifest:
    files = dict(base.files)
    removed = dict(base.removed)
    for change in delta.changes:
        files.pop(change.file, None)
        removed.pop(change.file, None)
        digest = ""
        if change.content is not None:
            digest = documents.digest_of(change.content)
        state = documents.FileState(
            digest, change.version, change.change_id, change.writer
        )
        (files if digest else removed)[change.file] = state
    since = delta.removals_since
    kept = {f: state for f, state in removed.items() if state.version > since}
    return documents.Manifest(files, kept, since)


def _find_version(manifest: documents.Manifest) -> ids.ConfigVersion:
    """Returns the version of a manifest, which is that of its last change."""
    states = itertools.chain(manifest.files.values(), manifest.removed.values())
    versions = (state.version for state in states)
    return max(
        manifest.removals_since, max(versions, default=documents.NO_VERSION)
    )


def _iter_contents(
    changes: Iterable[FileChange],
) -> Iterator[tuple[str, bytes]]:
    for change in changes:
        if change.content is not None:
            yield documents.digest_of(change.content), change.content


def make_empty() -> Snapshot:
    """Returns the snapshot of the version before the first change."""
    return Snapshot(
        documents.NO_VERSION, "", store.Folder(documents.EMPTY_MANIFEST, {})
    )


def make_snapshot(head: documents.Head, folder: store.Folder) -> Snapshot:
    """Returns the snapshot of a version read from the platform."""
    return Snapshot(head.version, head.manifest, folder)
