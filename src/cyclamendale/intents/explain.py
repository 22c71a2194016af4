"""Lists the configuration in force by field, with the deciding files."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from cyclamendale import ids
from cyclamendale.intents import kinds
from cyclamendale.intents import model


class ExplainedField(msgspec.Struct, frozen=True):
    """A field in force; `file` is None if the value is the default."""

    name: str
    value: Any
    file: ids.IntentFileName | None


class ExplainedEntry(msgspec.Struct, frozen=True):
    """An entry in force; `file` is the last one that states it."""

    kind: str
    name: str
    file: ids.IntentFileName | None
    fields: tuple[ExplainedField, ...]


def explain_entries(
    configuration: model.Configuration,
) -> Iterator[ExplainedEntry]:
    """Yields all entries in force, by kind and name."""
    for kind, spec in kinds.SPECS.items():
        collection = getattr(configuration, spec.collection)
        if spec.name_field is None:
            collection = {kinds.DEFAULTS_NAME: collection}
        for name in sorted(collection):
            yield _explain(configuration, kind, name, collection[name])


def _explain(
    configuration: model.Configuration,
    kind: kinds.Kind,
    name: str,
    entry: msgspec.Struct,
) -> ExplainedEntry:
    sources = configuration.sources
    return ExplainedEntry(
        kind.value,
        name,
        sources.get((kind.value, name)),
        tuple(
            ExplainedField(
                field,
                kinds.to_file_value(getattr(entry, field)),
                sources.get((kind.value, name, field)),
            )
            for field in kinds.FIELDS[kind]
        ),
    )
