"""Changes submitted by operators, and their application to a manifest.

Conflicts are detected per file: a change is rejected if another change touched
one of its files after its base version.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
import enum
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import ids
from cyclamendale.configuration import documents

MAX_TOMBSTONES = 256
"""Maximum number of removed files that a manifest keeps as tombstones."""


class Change(msgspec.Struct, frozen=True):
    """A change to the intent files, as submitted by an operator.

    Attributes:
        base_version: Version that the operator read before the change.
        puts: New contents of files.
        removes: Files to remove.
        writer: Name of the operator.
        change_id: Idempotency key; the same when the change is repeated.
    """

    base_version: ids.ConfigVersion
    puts: Mapping[ids.IntentFileName, bytes]
    removes: frozenset[ids.IntentFileName]
    writer: str
    change_id: ids.ChangeId

    def files(self) -> Iterator[ids.IntentFileName]:
        """Yields the files that the change writes or removes, by name."""
        yield from sorted({*self.puts, *self.removes})


class Published(msgspec.Struct, frozen=True):
    """An accepted change.

    Attributes:
        version: Version that the change created.
        repeated: Whether the change had been accepted before this attempt.
    """

    version: ids.ConfigVersion
    repeated: bool = False


class PublishErrorKind(enum.Enum):
    """Reason for which a change was not accepted."""

    EMPTY = "empty"
    """The change names no file."""
    AMBIGUOUS = "ambiguous"
    """The change both writes and removes a file."""
    CONFLICT = "conflict"
    """Another change touched the same file since the base version."""
    INVALID = "invalid"
    """The folder with this change applied is not valid."""
    FILE_UNKNOWN = "file-unknown"
    """The change removes a file that does not exist."""
    BASE_UNKNOWN = "base-unknown"
    """The base version is higher than the version in force."""
    BASE_TOO_OLD = "base-too-old"
    """Tombstones since the base version were pruned, so a conflict on the file
    cannot be ruled out."""
    CONTENTION = "contention"
    """Concurrent changes won every attempt; nothing was changed."""
    UNAVAILABLE = "unavailable"
    """The platform did not answer; nothing was changed."""
    OUTCOME_UNKNOWN = "outcome-unknown"
    """The change may have been accepted; repeat it with its change id."""
    FORMAT_UNKNOWN = "format-unknown"
    """The stored documents were written by another version of this program."""
    DAMAGED = "damaged"
    """An object is missing or does not match its digest."""


class ConflictingChange(msgspec.Struct, frozen=True):
    """The accepted change that a rejected change conflicts with."""

    writer: str
    change_id: ids.ChangeId
    version: ids.ConfigVersion
    file: ids.IntentFileName


class PublishError(msgspec.Struct, frozen=True):
    """A change that was not accepted.

    Attributes:
        kind: Reason of the rejection.
        conflicting: The accepted change, for a conflict.
        file: The file that caused the error, if it is one file.
        invalid: Errors of the validation.
    """

    kind: PublishErrorKind
    conflicting: ConflictingChange | None = None
    file: ids.IntentFileName | None = None
    invalid: Any = None


def find_applied(
    head: documents.Head | None,
    manifest: documents.Manifest,
    change: Change,
) -> Published | None:
    """Returns the earlier publication of a repeated change, or None."""
    if head is None:
        return None
    for recent in head.recent:
        if recent.change_id == change.change_id:
            return Published(recent.version, repeated=True)
    for file in change.files():
        last = manifest.last_change(file)
        if last is not None and last.change_id == change.change_id:
            return Published(last.version, repeated=True)
    return None


def apply_change(
    head: documents.Head | None,
    manifest: documents.Manifest,
    change: Change,
) -> Result[documents.Manifest, PublishError]:
    """Returns the manifest of the next version, with the change applied."""
    version = head.version if head else documents.NO_VERSION
    error = next(_find_errors(version, manifest, change), None)
    if error is not None:
        return Error(error)
    return Ok(_build_manifest(ids.ConfigVersion(version + 1), manifest, change))


def _find_errors(
    version: ids.ConfigVersion,
    manifest: documents.Manifest,
    change: Change,
) -> Iterator[PublishError]:
    kinds = PublishErrorKind
    if not change.puts and not change.removes:
        yield PublishError(kinds.EMPTY)
    for file in sorted(change.removes & change.puts.keys()):
        yield PublishError(kinds.AMBIGUOUS, file=file)
    if change.base_version > version:
        yield PublishError(kinds.BASE_UNKNOWN)
    for file in change.files():
        last = manifest.last_change(file)
        if last is not None and last.version > change.base_version:
            yield _make_conflict(file, last)
        elif last is None and change.base_version < manifest.removals_since:
            yield PublishError(kinds.BASE_TOO_OLD, file=file)
        elif file in change.removes and file not in manifest.files:
            yield PublishError(kinds.FILE_UNKNOWN, file=file)


def _make_conflict(
    file: ids.IntentFileName, last: documents.FileState
) -> PublishError:
    other = ConflictingChange(last.writer, last.change_id, last.version, file)
    return PublishError(PublishErrorKind.CONFLICT, other, file)


def replay(
    manifest: documents.Manifest, entry: documents.HistoryEntry
) -> documents.Manifest:
    """Applies the history entry of a version to the preceding manifest."""
    changed = _update_files(
        manifest,
        entry.puts,
        entry.removes,
        documents.FileState("", entry.version, entry.change_id, entry.writer),
    )
    return _prune_tombstones_until(changed, entry.removals_since)


def _build_manifest(
    version: ids.ConfigVersion,
    manifest: documents.Manifest,
    change: Change,
) -> documents.Manifest:
    digests = {
        file: documents.digest_of(data) for file, data in change.puts.items()
    }
    changed = _update_files(
        manifest,
        digests,
        change.removes,
        documents.FileState("", version, change.change_id, change.writer),
    )
    return _prune_tombstones(changed)


def _update_files(
    manifest: documents.Manifest,
    puts: Mapping[ids.IntentFileName, str],
    removes: Iterable[ids.IntentFileName],
    state: documents.FileState,
) -> documents.Manifest:
    files = dict(manifest.files)
    removed = dict(manifest.removed)
    for file, digest in puts.items():
        removed.pop(file, None)
        files[file] = msgspec.structs.replace(state, digest=digest)
    for file in removes:
        files.pop(file, None)
        removed[file] = state
    return documents.Manifest(files, removed, manifest.removals_since)


def _prune_tombstones(manifest: documents.Manifest) -> documents.Manifest:
    if len(manifest.removed) <= MAX_TOMBSTONES:
        return manifest
    versions = sorted(state.version for state in manifest.removed.values())
    since = versions[-MAX_TOMBSTONES - 1]
    return _prune_tombstones_until(manifest, since)


def _prune_tombstones_until(
    manifest: documents.Manifest, since: ids.ConfigVersion
) -> documents.Manifest:
    kept = {
        file: state
        for file, state in manifest.removed.items()
        if state.version > since
    }
    return documents.Manifest(manifest.files, kept, since)
