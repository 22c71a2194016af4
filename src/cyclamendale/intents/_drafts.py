"""Entries with the statements of several files laid over one another."""

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
    """A field's value with the place that decided it."""

    value: Any
    file: ids.IntentFileName
    line: int


class Draft(msgspec.Struct, frozen=True):
    """One entry as far as the files that speak of it say.

    Attributes:
        kind: Its kind.
        name: Its name.
        first_statement: The first statement about it.
        last_file: The last file that says something about it.
        fields: The fields stated.
        invalid_fields: Fields that some file states wrongly.
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
        """Returns whether this is a key that may no longer be used."""
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
        # A withdrawal stands by itself, also when the file that granted
        # the key is gone.
        return field == "customer" and self.is_withdrawn_key()

    def build_entry(self) -> Any:
        """Returns the entry of the model; only of a complete draft."""
        values = {name: field.value for name, field in self.fields.items()}
        if self.is_withdrawn_key():
            values.setdefault("customer", "")
        return kinds.SPECS[self.kind].entry_type(**values)

    def iter_sources(
        self,
    ) -> Iterator[tuple[tuple[str, ...], ids.IntentFileName]]:
        """Yields the deciding files, as the configuration holds them."""
        yield (self.kind.value, self.name), self.last_file
        for field, decided in self.fields.items():
            yield (self.kind.value, self.name, field), decided.file


Drafts: TypeAlias = Mapping[kinds.Kind, Mapping[str, Draft]]


def merge_statements(statements: Sequence[parse.Statement]) -> Draft:
    """Returns the draft of one entry.

    Args:
        statements: All statements about it, a later one overriding.
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
