"""Merges intent files, in the order of their names, and checks them."""

from __future__ import annotations

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

Merged = Result[model.Configuration, errors.IntentErrors]


def merge(
    files: Mapping[ids.IntentFileName, bytes], version: ids.ConfigVersion
) -> Merged:
    """Merges and checks a set of intent files.

    Files count in the order of their names; a later file overrides an
    earlier one field by field.

    Args:
        files: Contents by file name.
        version: Version that the result carries.

    Returns:
        The whole configuration, or all errors of all files at once.
    """
    if len(files) > MAX_FILES:
        return Error(errors.IntentErrors((_too_many(len(files)),)))
    parsed = [parse.parse_file(name, files[name]) for name in sorted(files)]
    drafts = _drafts.overlay(
        file.statement for file in parsed if file.statement
    )
    found = [
        *(error for file in parsed for error in file.errors),
        *_drafts.missing(drafts.values()),
        *_references.check(drafts),
    ]
    if found:
        found.sort(key=lambda error: (error.file, error.line))
        return Error(errors.IntentErrors(tuple(found)))
    return Ok(_configuration(drafts, version))


def validate(files: Mapping[ids.IntentFileName, bytes]) -> Merged:
    """Checks a set of files; the result carries version 0."""
    return merge(files, ids.ConfigVersion(0))


def _too_many(count: int) -> errors.IntentError:
    return errors.IntentError(
        ids.IntentFileName(""),
        errors.Problem.TOO_MANY_FILES,
        value=str(count),
        allowed=str(MAX_FILES),
    )


def _configuration(
    drafts: _drafts.Drafts, version: ids.ConfigVersion
) -> model.Configuration:
    collections: dict[str, Any] = {
        spec.collection: {}
        for spec in kinds.SPECS.values()
        if spec.name_field is not None
    }
    for draft in drafts.values():
        spec = kinds.SPECS[draft.kind]
        entry = draft.build()
        if spec.name_field is None:
            collections[spec.collection] = entry
        else:
            collections[spec.collection][draft.name] = entry
    return model.Configuration(
        version=version, sources=dict(_sources(drafts)), **collections
    )


def _sources(
    drafts: _drafts.Drafts,
) -> Iterator[tuple[tuple[str, ...], ids.IntentFileName]]:
    for draft in drafts.values():
        kind = draft.kind.value
        yield (kind, draft.name), draft.last_file
        for field, decided in draft.fields.items():
            yield (kind, draft.name, field), decided.file
