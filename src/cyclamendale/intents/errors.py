"""Typed errors of intent files, each with file, line and field."""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import ids

MAX_SHOWN_VALUE_CHARS = 80


class Problem(enum.Enum):
    """Kind of an error; the value is part of the public interface."""

    FILE_NAME_MALFORMED = "file-name-malformed"
    FILE_TOO_LARGE = "file-too-large"
    TOO_MANY_FILES = "too-many-files"
    NOT_TEXT = "not-text"
    NOT_TOML = "not-toml"
    KIND_MISSING = "kind-missing"
    KIND_UNKNOWN = "kind-unknown"
    NAME_MISSING = "name-missing"
    NAME_EMPTY = "name-empty"
    NAME_MALFORMED = "name-malformed"
    NAME_DANGLING = "name-dangling"
    FIELD_UNKNOWN = "field-unknown"
    FIELD_MISSING = "field-missing"
    UNIT_WRONG = "unit-wrong"
    TYPE_WRONG = "type-wrong"
    OUT_OF_RANGE = "out-of-range"
    DIGEST_MALFORMED = "digest-malformed"
    KEY_IN_CLEAR = "key-in-clear"
    PREFIX_DUPLICATE = "prefix-duplicate"
    CONTRADICTION = "contradiction"


_MESSAGES = {
    Problem.FILE_NAME_MALFORMED: "file name does not match {allowed}",
    Problem.FILE_TOO_LARGE: "file has {value} bytes, the limit is {allowed}",
    Problem.TOO_MANY_FILES: "{value} files, the limit is {allowed}",
    Problem.NOT_TEXT: "is not valid UTF-8",
    Problem.NOT_TOML: "is not TOML: {value}",
    Problem.KIND_MISSING: "kind is missing, expected one of {allowed}",
    Problem.KIND_UNKNOWN: "unknown kind {value}, expected one of {allowed}",
    Problem.NAME_MISSING: "{field} is missing, it identifies the entry",
    Problem.NAME_EMPTY: "{field} is empty",
    Problem.NAME_MALFORMED: "{field} {value} does not match {allowed}",
    Problem.NAME_DANGLING: "{field} names {value}, which no file defines",
    Problem.FIELD_UNKNOWN: "unknown field {field}, expected one of {allowed}",
    Problem.FIELD_MISSING: "{field} is missing, no file sets it for {value}",
    Problem.UNIT_WRONG: "{field} has the wrong unit, use {allowed}",
    Problem.TYPE_WRONG: "{field} is {value}, expected {allowed}",
    Problem.OUT_OF_RANGE: "{field} is {value}, allowed is {allowed}",
    Problem.DIGEST_MALFORMED: "{field} does not match {allowed}",
    Problem.KEY_IN_CLEAR: "contains a plaintext key, specify its {allowed}",
    Problem.PREFIX_DUPLICATE: "{field} {value} is already used by {allowed}",
    Problem.CONTRADICTION: "{field} {value} requires {allowed}",
}


class IntentError(msgspec.Struct, frozen=True):
    """One error in one intent file.

    Attributes:
        file: The file; empty for an error of the whole folder.
        problem: Kind of the error.
        line: Line in the file, from 1; 0 for an error of the whole file.
        field: The field, if the error concerns one.
        value: The invalid value, shortened.
        allowed: Description of the values allowed.
    """

    file: ids.IntentFileName
    problem: Problem
    line: int = 0
    field: str = ""
    value: str = ""
    allowed: str = ""

    @property
    def message(self) -> str:
        """Returns the error message, without file and line."""
        return _MESSAGES[self.problem].format(
            field=self.field, value=self.value, allowed=self.allowed
        )

    def __str__(self) -> str:
        place = self.file or "folder"
        if self.line:
            place = f"{place}:{self.line}"
        return f"{place}: {self.message}"


class IntentErrors(msgspec.Struct, frozen=True):
    """All errors found in a set of intent files."""

    errors: tuple[IntentError, ...]

    def __str__(self) -> str:
        return "\n".join(map(str, self.errors))


def shorten(value: object) -> str:
    """Formats a value as text of bounded length."""
    text = str(value).lower() if isinstance(value, bool) else repr(value)
    if len(text) > MAX_SHOWN_VALUE_CHARS:
        return text[: MAX_SHOWN_VALUE_CHARS - 1] + "…"
    return text
