"""Merges intent files, in the order of their names, and validates them."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from cyclamendale import ids
from cyclamendale.intents import _drafts
from cyclamendale.intents import _references
from cyclamendale.intents import errors
from cyclamendale.intents import kinds
from cyclamendale.intents import model
from cyclamendale.intents import parse

MAX_FILES = 10_000

Files = Mapping[ids.IntentFileName, bytes]
MergeResult = Result[model.Configuration, errors.IntentErrors]


class Merger:
    """Merges successive sets of files incrementally.

    Parsed files and drafts that did not change are cached, so that a change
    costs little on a node with thousands of files. The result equals that of
    a merge from scratch.
    """

    def __init__(self) -> None:
        self._contents: dict[ids.IntentFileName, bytes] = {}
        self._parsed: dict[ids.IntentFileName, parse.ParsedFile] = {}
        self._statements: dict[
            _drafts.EntryKey, dict[ids.IntentFileName, parse.Statement]
        ] = collections.defaultdict(dict)
        self._drafts: dict[kinds.Kind, dict[str, _drafts.Draft]] = {
            kind: {} for kind in kinds.Kind
        }
        self._incomplete: set[_drafts.EntryKey] = set()
        self._invalid_files: set[ids.IntentFileName] = set()
        self._entries: dict[kinds.Kind, dict[str, Any]] = {
            kind: {} for kind in kinds.Kind
        }
        self._sources: dict[tuple[str, ...], ids.IntentFileName] = {}

    def merge(self, files: Files, version: ids.ConfigVersion) -> MergeResult:
        """Merges and validates a set of intent files.

        Files are merged in the order of their names; a later file overrides
        an earlier one field by field.

        Args:
            files: Contents by file name.
            version: Version of the resulting configuration.

        Returns:
            The configuration, or all errors of all files.
        """
        if len(files) > MAX_FILES:
            return Error(
                errors.IntentErrors((_make_too_many_error(len(files)),))
            )
        for key in self._update_files(files):
            self._rebuild_draft(key)
        found = sorted(self._find_errors(), key=_sort_key)
        if found:
            return Error(errors.IntentErrors(tuple(found)))
        return Ok(self._build_configuration(version))

    def _update_files(self, files: Files) -> set[_drafts.EntryKey]:
        """Parses the changed files; returns the keys of affected entries."""
        affected: set[_drafts.EntryKey] = set()
        for name in self._contents.keys() - files.keys():
            affected.update(self._remove_file(name))
        for name, data in files.items():
            if self._contents.get(name) != data:
                affected.update(self._remove_file(name))
                affected.update(self._add_file(name, data))
        return affected

    def _remove_file(
        self, name: ids.IntentFileName
    ) -> Iterator[_drafts.EntryKey]:
        self._contents.pop(name, None)
        self._invalid_files.discard(name)
        parsed = self._parsed.pop(name, None)
        if parsed is not None and parsed.statement is not None:
            key = parsed.statement.kind, parsed.statement.name
            del self._statements[key][name]
            yield key

    def _add_file(
        self, name: ids.IntentFileName, data: bytes
    ) -> Iterator[_drafts.EntryKey]:
        parsed = parse.parse_file(name, data)
        self._contents[name] = data
        self._parsed[name] = parsed
        if parsed.errors:
            self._invalid_files.add(name)
        if parsed.statement is not None:
            key = parsed.statement.kind, parsed.statement.name
            self._statements[key][name] = parsed.statement
            yield key

    def _rebuild_draft(self, key: _drafts.EntryKey) -> None:
        kind, name = key
        old = self._drafts[kind].pop(name, None)
        if old is not None:
            self._incomplete.discard(key)
            self._entries[kind].pop(name, None)
            for source, _ in old.iter_sources():
                del self._sources[source]
        statements = self._statements[key]
        if not statements:
            del self._statements[key]
            return
        draft = _drafts.merge_statements(
            [statements[f] for f in sorted(statements)]
        )
        self._drafts[kind][name] = draft
        self._sources.update(draft.iter_sources())
        if any(draft.find_missing_fields()):
            self._incomplete.add(key)
        elif not draft.invalid_fields:
            self._entries[kind][name] = draft.build_entry()

    def _find_errors(self) -> Iterator[errors.IntentError]:
        for name in self._invalid_files:
            yield from self._parsed[name].errors
        for kind, entry in self._incomplete:
            yield from self._drafts[kind][entry].find_missing_fields()
        yield from _references.check(self._drafts)

    def _build_configuration(
        self, version: ids.ConfigVersion
    ) -> model.Configuration:
        fields: dict[str, Any] = {}
        for kind, spec in kinds.SPECS.items():
            entries = self._entries[kind]
            if spec.name_field is not None:
                fields[spec.collection] = dict(entries)
            elif entries:
                fields[spec.collection] = entries[kinds.DEFAULTS_NAME]
        return model.Configuration(
            version=version, sources=dict(self._sources), **fields
        )


def make_merger() -> Merger:
    """Returns a merger for repeated merges on a node."""
    return Merger()


def merge(files: Files, version: ids.ConfigVersion) -> MergeResult:
    """Merges and validates a set of files once; see `Merger.merge`."""
    return Merger().merge(files, version)


def validate(files: Files) -> MergeResult:
    """Validates a set of files; the resulting version is 0."""
    return merge(files, ids.ConfigVersion(0))


def _sort_key(error: errors.IntentError) -> tuple[str, int, str, str]:
    return error.file, error.line, error.field, error.problem.value


def _make_too_many_error(count: int) -> errors.IntentError:
    return errors.IntentError(
        ids.IntentFileName(""),
        errors.Problem.TOO_MANY_FILES,
        value=str(count),
        allowed=str(MAX_FILES),
    )
