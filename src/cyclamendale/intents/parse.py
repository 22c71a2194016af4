"""Parses one intent file into a statement about one entry."""

from __future__ import annotations

from collections.abc import Iterator
import re
import tomllib
from typing import Any

import msgspec

from cyclamendale import ids
from cyclamendale.intents import _values
from cyclamendale.intents import errors
from cyclamendale.intents import kinds

MAX_FILE_BYTES = 8 * 1024

FILE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,120}\.toml")

_KIND_FIELD = "kind"
_PLAINTEXT_KEY_FIELD = "key"
_FIELD_LINE = re.compile(
    r"""\s*\[{0,2}\s*["']?([A-Za-z0-9_-]+)["']?\s*[=.\]]"""
)
_ERROR_LINE = re.compile(r" \(at line (\d+), column \d+\)$")
_UNIT_SUFFIX = re.compile(
    r"_(per_)?(ns|us|ms|s|sec|seconds|m|min|minute|minutes|h|hour|hours|"
    r"day|days|bytes|kb|mb|gb|kib|mib|gib|bits|percent)$"
)


class StatedField(msgspec.Struct, frozen=True):
    """A field's value as one file states it."""

    value: Any
    line: int


class Statement(msgspec.Struct, frozen=True):
    """The fields that one file states for one entry.

    Attributes:
        file: Name of the file.
        kind: Kind of the entry.
        name: Name of the entry.
        line: Line that names the entry.
        fields: The fields that the file states, with valid values.
        invalid_fields: Fields to which the file gives an invalid value.
    """

    file: ids.IntentFileName
    kind: kinds.Kind
    name: str
    line: int
    fields: dict[str, StatedField]
    invalid_fields: frozenset[str] = frozenset()


class ParsedFile(msgspec.Struct, frozen=True):
    """A file's statement, if its entry could be identified, and its errors."""

    statement: Statement | None
    errors: tuple[errors.IntentError, ...] = ()


def parse_file(file: ids.IntentFileName, data: bytes) -> ParsedFile:
    """Parses and validates one file in isolation.

    Args:
        file: Name of the file.
        data: Content of the file.

    Returns:
        The statement, and all errors that do not depend on other files.
    """
    return _FileParser(file).parse(data)


class _FileParser:
    """Parser of one file, which collects all errors."""

    def __init__(self, file: ids.IntentFileName) -> None:
        self._file = file
        self._lines: dict[str, int] = {}
        self._errors: list[errors.IntentError] = []

    def parse(self, data: bytes) -> ParsedFile:
        if not FILE_NAME_PATTERN.fullmatch(self._file):
            self._add_error(
                errors.Problem.FILE_NAME_MALFORMED,
                allowed=FILE_NAME_PATTERN.pattern,
            )
        document = self._decode_document(data)
        statement = (
            None if document is None else self._parse_statement(document)
        )
        return ParsedFile(statement, tuple(self._errors))

    def _add_error(
        self, problem: errors.Problem, field: str = "", **details: Any
    ) -> None:
        details.setdefault("line", self._lines.get(field, 0))
        self._errors.append(
            errors.IntentError(self._file, problem, field=field, **details)
        )

    def _decode_document(self, data: bytes) -> dict[str, Any] | None:
        if len(data) > MAX_FILE_BYTES:
            self._add_error(
                errors.Problem.FILE_TOO_LARGE,
                value=str(len(data)),
                allowed=str(MAX_FILE_BYTES),
            )
            return None
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            self._add_error(errors.Problem.NOT_TEXT, line=line)
            return None
        try:
            document = tomllib.loads(text)
        except (tomllib.TOMLDecodeError, RecursionError) as error:
            self._add_toml_error(text, str(error))
            return None
        self._lines = _find_field_lines(text)
        return document

    def _add_toml_error(self, text: str, message: str) -> None:
        found = _ERROR_LINE.search(message)
        self._add_error(
            errors.Problem.NOT_TOML,
            line=int(found.group(1)) if found else text.count("\n") + 1,
            value=_ERROR_LINE.sub("", message),
        )

    def _parse_statement(self, document: dict[str, Any]) -> Statement | None:
        kind = self._parse_kind(document)
        if kind is None:
            return None
        fields = dict(self._parse_fields(kind, document))
        name_field = kinds.SPECS[kind].name_field
        if name_field is None:
            name, line = kinds.DEFAULTS_NAME, self._lines[_KIND_FIELD]
        elif name_field in fields:
            name, line = fields[name_field].value, fields[name_field].line
        else:
            if name_field not in document:
                self._add_error(errors.Problem.NAME_MISSING, name_field)
            return None
        invalid_fields = frozenset(error.field for error in self._errors)
        return Statement(self._file, kind, name, line, fields, invalid_fields)

    def _parse_kind(self, document: dict[str, Any]) -> kinds.Kind | None:
        known = ", ".join(kind.value for kind in kinds.Kind)
        if _KIND_FIELD not in document:
            self._add_error(
                errors.Problem.KIND_MISSING, _KIND_FIELD, allowed=known
            )
            return None
        try:
            return kinds.Kind(document[_KIND_FIELD])
        except ValueError:
            self._add_error(
                errors.Problem.KIND_UNKNOWN,
                _KIND_FIELD,
                value=errors.shorten(document[_KIND_FIELD]),
                allowed=known,
            )
            return None

    def _parse_fields(
        self, kind: kinds.Kind, document: dict[str, Any]
    ) -> Iterator[tuple[str, StatedField]]:
        known = kinds.FIELDS[kind]
        for name, raw in document.items():
            if name == _KIND_FIELD:
                continue
            if name not in known:
                self._add_unknown_field_error(kind, name)
                continue
            converted = _values.convert(kinds.SPECS[kind], known[name], raw)
            if converted.is_ok():
                yield name, StatedField(converted.ok, self._lines.get(name, 0))
            else:
                invalid = converted.error
                self._add_error(
                    invalid.problem,
                    name,
                    value=invalid.value,
                    allowed=invalid.allowed,
                )

    def _add_unknown_field_error(self, kind: kinds.Kind, name: str) -> None:
        known = kinds.FIELDS[kind]
        if kind is kinds.Kind.KEY and name == _PLAINTEXT_KEY_FIELD:
            self._add_error(errors.Problem.KEY_IN_CLEAR, name, allowed="digest")
            return
        stem = _UNIT_SUFFIX.sub("", name)
        similar = [
            other for other in known if _UNIT_SUFFIX.sub("", other) == stem
        ]
        problem = (
            errors.Problem.UNIT_WRONG
            if similar
            else errors.Problem.FIELD_UNKNOWN
        )
        self._add_error(problem, name, allowed=", ".join(similar or known))


def _find_field_lines(text: str) -> dict[str, int]:
    lines: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        found = _FIELD_LINE.match(line)
        if found:
            lines.setdefault(found.group(1), number)
    return lines
