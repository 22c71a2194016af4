"""Typed errors of intent files, each with its file, line and field."""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import ids

MAX_SHOWN_VALUE_CHARS = 80


class Problem(enum.Enum):
    """What is wrong with an intent file; the value is stable and public."""

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
    Problem.FILE_NAME_MALFORMED: "file name is not like {allowed}",
    Problem.FILE_TOO_LARGE: "{value} bytes, allowed are {allowed}",
    Problem.TOO_MANY_FILES: "{value} files, allowed are {allowed}",
    Problem.NOT_TEXT: "is not UTF-8 text",
    Problem.NOT_TOML: "is not TOML: {value}",
    Problem.KIND_MISSING: "kind is missing, one of {allowed}",
    Problem.KIND_UNKNOWN: "unknown kind {value}, known are {allowed}",
    Problem.NAME_MISSING: "{field} is missing, it names the entry",
    Problem.NAME_EMPTY: "{field} is empty",
    Problem.NAME_MALFORMED: "{field} {value} is not like {allowed}",
    Problem.NAME_DANGLING: "{field} names {value}, and no file defines it",
    Problem.FIELD_UNKNOWN: "unknown field {field}, known are {allowed}",
    Problem.FIELD_MISSING: "{field} is missing, no file states it for {value}",
    Problem.UNIT_WRONG: "{field} has the wrong unit, use {allowed}",
    Problem.TYPE_WRONG: "{field} is {value}, expected {allowed}",
    Problem.OUT_OF_RANGE: "{field} is {value}, allowed is {allowed}",
    Problem.DIGEST_MALFORMED: "{field} is not like {allowed}",
    Problem.KEY_IN_CLEAR: "states a key in clear text, state its {allowed}",
    Problem.PREFIX_DUPLICATE: "{field} {value} is also that of {allowed}",
    Problem.CONTRADICTION: "{field} {value} needs {allowed}",
}


class IntentError(msgspec.Struct, frozen=True):
    """One fault in one intent file.

    Attributes:
        file: The file at fault; empty when it is the whole folder.
        problem: What is wrong.
        line: Line in the file, from 1; 0 when it is the whole file.
        field: The field at fault, if it is one.
        value: What the file says, shortened.
        allowed: What it may say.
    """

    file: ids.IntentFileName
    problem: Problem
    line: int = 0
    field: str = ""
    value: str = ""
    allowed: str = ""

    @property
    def message(self) -> str:
        """Returns the fault in words, without its place."""
        return _MESSAGES[self.problem].format(
            field=self.field, value=self.value, allowed=self.allowed
        )

    def __str__(self) -> str:
        place = self.file or "folder"
        if self.line:
            place = f"{place}:{self.line}"
        return f"{place}: {self.message}"


class IntentErrors(msgspec.Struct, frozen=True):
    """All faults found in a set of intent files."""

    errors: tuple[IntentError, ...]

    def __str__(self) -> str:
        return "\n".join(map(str, self.errors))


def shorten(value: object) -> str:
    """Returns a value as text of bounded length."""
    text = str(value).lower() if isinstance(value, bool) else repr(value)
    if len(text) > MAX_SHOWN_VALUE_CHARS:
        return text[: MAX_SHOWN_VALUE_CHARS - 1] + "…"
    return text
