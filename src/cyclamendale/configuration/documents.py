"""Stored documents of the configuration, and their encoding.

The head row holds the version in force and the digest of its manifest.
The manifest is an object with the digest and the last change of each file.
Each version also has an immutable row of its own.
"""

from __future__ import annotations

from collections.abc import Mapping
import hashlib
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import decoding
from cyclamendale import ids

FORMAT = 1
"""Document format that this program reads and writes."""

HEAD_KEY = "configuration/head"
VERSION_KEY_PREFIX = "configuration/version/"
VERSION_KEY_DIGITS = 12
MAX_RECENT_CHANGES = 8
"""Change ids kept in the head row, to recognise a repeated change whose
files were changed again. Bounded, since the row is read every second."""

NO_VERSION = ids.ConfigVersion(0)
"""Version of the empty configuration before the first change."""


class FileState(msgspec.Struct, frozen=True):
    """A file in a manifest, or one that was removed.

    Attributes:
        digest: Digest of its contents; empty for a removed file.
        version: Version that last changed it.
        change_id: Change that created that version.
        writer: Operator who submitted the change.
    """

    digest: str
    version: ids.ConfigVersion
    change_id: ids.ChangeId
    writer: str


class Manifest(msgspec.Struct, frozen=True):
    """The files of one version.

    Attributes:
        files: State of each file.
        removed: Tombstones: removed files with the change that removed them.
        removals_since: Tombstones up to this version may have been pruned
            from `removed`.
        format: Format of this document.
    """

    files: Mapping[ids.IntentFileName, FileState] = {}
    removed: Mapping[ids.IntentFileName, FileState] = {}
    removals_since: ids.ConfigVersion = NO_VERSION
    format: int = FORMAT

    def last_change(self, file: ids.IntentFileName) -> FileState | None:
        """Returns the last known change of a file, or None."""
        return self.files.get(file) or self.removed.get(file)


class RecentChange(msgspec.Struct, frozen=True, array_like=True):
    """A change id and the version that the change created."""

    change_id: ids.ChangeId
    version: ids.ConfigVersion


class Head(msgspec.Struct, frozen=True):
    """Value of the head row.

    Attributes:
        version: Version in force.
        manifest: Digest of its manifest.
        writer: Operator who submitted the change.
        change_id: Change that created the version.
        recent: Latest changes, newest first.
        bundle: Digest of an object that holds the contents of many files,
            so that they are read in one operation; empty if there is none.
        bundle_version: Version whose files the bundle holds.
        format: Format of this document.
    """

    version: ids.ConfigVersion
    manifest: str
    writer: str
    change_id: ids.ChangeId
    recent: tuple[RecentChange, ...]
    bundle: str = ""
    bundle_version: ids.ConfigVersion = NO_VERSION
    format: int = FORMAT


class HistoryEntry(msgspec.Struct, frozen=True):
    """Value of the row of one version.

    Attributes:
        version: The version.
        manifest: Digest of its manifest.
        writer: Operator who submitted the change.
        change_id: Change that created the version.
        base_version: Version that the operator read before the change.
        puts: Digests of the files written.
        removes: Files removed.
        removals_since: `Manifest.removals_since` of the version.
        written_ms: Wall-clock time of the writer, for display only.
        format: Format of this document.
    """

    version: ids.ConfigVersion
    manifest: str
    writer: str
    change_id: ids.ChangeId
    base_version: ids.ConfigVersion
    puts: Mapping[ids.IntentFileName, str]
    removes: tuple[ids.IntentFileName, ...]
    removals_since: ids.ConfigVersion
    written_ms: int
    format: int = FORMAT


class FormatUnknown(msgspec.Struct, frozen=True):
    """A document that this program cannot decode.

    Attributes:
        format: Format that the document states, if any.
    """

    format: int | None = None


class _FormatHeader(msgspec.Struct, frozen=True):
    format: int


EMPTY_MANIFEST = Manifest()

DocumentT = TypeVar("DocumentT")


def decode(
    data: bytes, kind: type[DocumentT]
) -> Result[DocumentT, FormatUnknown]:
    """Decodes a document; fails unless its format is `FORMAT`."""
    try:
        found_format = msgspec.json.decode(data, type=_FormatHeader).format
    except decoding.ERRORS:
        return Error(FormatUnknown())
    if found_format != FORMAT:
        return Error(FormatUnknown(found_format))
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except decoding.ERRORS:
        return Error(FormatUnknown(found_format))


def encode(document: msgspec.Struct) -> bytes:
    """Encodes a document deterministically, since digests depend on it."""
    return msgspec.json.encode(document, order="sorted")


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 digest under which an object is stored."""
    return hashlib.sha256(data).hexdigest()


def version_key(version: ids.ConfigVersion) -> str:
    """Returns the key of a version's row; keys sort by version."""
    return f"{VERSION_KEY_PREFIX}{version:0{VERSION_KEY_DIGITS}d}"


def encode_bundle(contents: Mapping[str, bytes]) -> bytes:
    """Encodes file contents, keyed by digest, as one object."""
    return msgspec.msgpack.encode(contents, order="sorted")


def decode_bundle(data: bytes) -> Mapping[str, bytes]:
    """Decodes a bundle; a malformed one decodes to no files."""
    try:
        return msgspec.msgpack.decode(data, type=dict[str, bytes])
    except decoding.ERRORS:
        return {}
