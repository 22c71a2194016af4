"""Drafts of entries, merged from the statements of several files.

A draft may be incomplete or have invalid fields; an entry of the model is built
only from a complete one.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, TypeAlias

import msgspec

from cyclamendale import ids
from cyclamendale.intents import errors
from cyclamendale.intents import kinds
from cyclamendale.intents import model
from cyclamendale.intents import parse

EntryKey: TypeAlias = tuple[kinds.Kind, str]


class DecidedField(msgspec.Struct, frozen=True):
    """A field's value with the file and line that decided it."""

    value: Any
    file: ids.IntentFileName
    line: int


class Draft(msgspec.Struct, frozen=True):
    """One entry, as merged from all files that state it.

    Attributes:
        kind: Kind of the entry.
        name: Name of the entry.
        first_statement: The first statement about the entry.
        last_file: The last file that states the entry.
        fields: The fields stated, with valid values.
        invalid_fields: Fields to which some file gives an invalid value.
    """

    kind: kinds.Kind
    name: str
    first_statement: parse.Statement
    last_file: ids.IntentFileName
    fields: dict[str, DecidedField]
    invalid_fields: frozenset[str]

    def get_value(self, field: str) -> Any:
        """Returns a field's value, or its default."""
        if field in self.fields:
            return self.fields[field].value
        return kinds.FIELDS[self.kind][field].default

    def is_withdrawn_key(self) -> bool:
        """Returns whether the entry is a withdrawn key."""
        return (
            self.kind is kinds.Kind.KEY
            and self.get_value("state") is model.KeyState.WITHDRAWN
        )

    def find_missing_fields(self) -> Iterator[errors.IntentError]:
        """Yields an error for each required field that no file states."""
        for field in kinds.FIELDS[self.kind].values():
            if field.required and not self._is_accounted_for(field.name):
                yield errors.IntentError(
                    self.first_statement.file,
                    errors.Problem.FIELD_MISSING,
                    line=self.first_statement.line,
                    field=field.name,
                    value=f"{self.kind.value} {self.name}",
                )

    def _is_accounted_for(self, field: str) -> bool:
        if field in self.fields or field in self.invalid_fields:
            return True
        # A withdrawal is valid without a customer, so that it stays in
        # force when the file that granted the key is removed.
        return field == "customer" and self.is_withdrawn_key()

    def build_entry(self) -> Any:
        """Builds the entry of the model; the draft must be complete."""
        values = {name: field.value for name, field in self.fields.items()}
        if self.is_withdrawn_key():
            values.setdefault("customer", "")
        return kinds.SPECS[self.kind].entry_type(**values)

    def iter_sources(
        self,
    ) -> Iterator[tuple[tuple[str, ...], ids.IntentFileName]]:
        """Yields the items of `Configuration.sources` for the entry."""
        yield (self.kind.value, self.name), self.last_file
        for field, decided in self.fields.items():
            yield (self.kind.value, self.name, field), decided.file


Drafts: TypeAlias = Mapping[kinds.Kind, Mapping[str, Draft]]


def merge_statements(statements: Sequence[parse.Statement]) -> Draft:
    """Merges the statements about one entry into a draft.

    Args:
        statements: All statements about the entry. A later one overrides an
            earlier one, field by field.
    """
    fields = {
        name: DecidedField(stated.value, statement.file, stated.line)
        for statement in statements
        for name, stated in statement.fields.items()
    }
    first = statements[0]
    return Draft(
        first.kind,
        first.name,
        first,
        last_file=statements[-1].file,
        fields=fields,
        invalid_fields=frozenset().union(
            *(each.invalid_fields for each in statements)
        ),
    )
