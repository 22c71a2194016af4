"""Entries while the statements of several files are laid over them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, TypeAlias

import msgspec

from cyclamendale import ids
from cyclamendale.intents import errors
from cyclamendale.intents import kinds
from cyclamendale.intents import model
from cyclamendale.intents import parse


class DecidedField(msgspec.Struct, frozen=True):
    """A field's value with the place that decided it."""

    value: Any
    file: ids.IntentFileName
    line: int


class Draft(msgspec.Struct):
    """One entry as far as the files laid over it say.

    Attributes:
        kind: Its kind.
        name: Its name.
        first: The first statement about it.
        last_file: The last file that says something about it.
        fields: The fields stated so far.
        faulty: Fields that some file states wrongly.
    """

    kind: kinds.Kind
    name: str
    first: parse.Statement
    last_file: ids.IntentFileName
    fields: dict[str, DecidedField]
    faulty: set[str]

    def value(self, field: str) -> Any:
        """Returns a field's value, or its default."""
        if field in self.fields:
            return self.fields[field].value
        return kinds.FIELDS[self.kind][field].default

    def is_withdrawn_key(self) -> bool:
        """Returns whether this is a key that may no longer be used."""
        return (
            self.kind is kinds.Kind.KEY
            and self.value("state") is model.KeyState.WITHDRAWN
        )

    def build(self) -> Any:
        """Returns the entry of the model; call it on complete drafts."""
        values = {name: field.value for name, field in self.fields.items()}
        if self.is_withdrawn_key():
            values.setdefault("customer", "")
        return kinds.SPECS[self.kind].entry(**values)


Drafts: TypeAlias = dict[tuple[kinds.Kind, str], Draft]


def overlay(statements: Iterable[parse.Statement]) -> Drafts:
    """Lays statements over one another; a later one overrides."""
    drafts: Drafts = {}
    for statement in statements:
        key = (statement.kind, statement.name)
        if key not in drafts:
            drafts[key] = Draft(
                statement.kind,
                statement.name,
                first=statement,
                last_file=statement.file,
                fields={},
                faulty=set(),
            )
        _lay_over(drafts[key], statement)
    return drafts


def _lay_over(draft: Draft, statement: parse.Statement) -> None:
    draft.last_file = statement.file
    draft.faulty |= statement.faulty
    for name, stated in statement.fields.items():
        draft.fields[name] = DecidedField(
            stated.value, statement.file, stated.line
        )


def missing(drafts: Iterable[Draft]) -> Iterator[errors.IntentError]:
    """Yields an error for each required field that no file states."""
    for draft in drafts:
        for field in kinds.FIELDS[draft.kind].values():
            if field.required and not _is_settled(draft, field.name):
                yield errors.IntentError(
                    draft.first.file,
                    errors.Problem.FIELD_MISSING,
                    line=draft.first.line,
                    field=field.name,
                    value=f"{draft.kind.value} {draft.name}",
                )


def _is_settled(draft: Draft, field: str) -> bool:
    if field in draft.fields or field in draft.faulty:
        return True
    # A withdrawal stands by itself, also when the file that granted the
    # key is gone.
    return field == "customer" and draft.is_withdrawn_key()
