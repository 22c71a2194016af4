"""Conversion and validation of single values of an intent file."""

from __future__ import annotations

import enum
import re
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale.intents import errors
from cyclamendale.intents import kinds

_TYPE_NAMES = {
    bool: "true or false",
    float: "a number",
    int: "a whole number",
    str: "a text in quotes",
}


class InvalidValue(msgspec.Struct, frozen=True):
    """Why a value is invalid; its file and line are added by the parser."""

    problem: errors.Problem
    value: str
    allowed: str


def convert(
    spec: kinds.KindSpec, field: kinds.FieldSpec, raw: Any
) -> Result[Any, InvalidValue]:
    """Converts a TOML value to its type in the model and validates it.

    Args:
        spec: Kind of the entry.
        field: The field that has the value.
        raw: The value as decoded from TOML.

    Returns:
        The converted value, or why it is invalid.
    """
    converted = _convert_type(field.type, raw)
    return converted.bind(lambda value: _check(spec, field.name, value))


def _convert_type(field_type: Any, raw: Any) -> Result[Any, InvalidValue]:
    if isinstance(field_type, type) and issubclass(field_type, enum.Enum):
        return _convert_enum(field_type, raw)
    try:
        return Ok(msgspec.convert(raw, field_type))
    except (msgspec.ValidationError, OverflowError):
        return Error(
            InvalidValue(
                errors.Problem.TYPE_WRONG,
                errors.shorten(raw),
                _type_name(field_type),
            )
        )


def _convert_enum(
    choices: type[enum.Enum], raw: Any
) -> Result[Any, InvalidValue]:
    by_text = {kinds.to_file_value(choice): choice for choice in choices}
    if isinstance(raw, str) and raw in by_text:
        return Ok(by_text[raw])
    return Error(
        InvalidValue(
            errors.Problem.OUT_OF_RANGE
            if isinstance(raw, str)
            else errors.Problem.TYPE_WRONG,
            errors.shorten(raw),
            "one of " + ", ".join(map(repr, by_text)),
        )
    )


def _type_name(field_type: Any) -> str:
    plain = getattr(field_type, "__supertype__", field_type)
    return _TYPE_NAMES.get(plain, "a list of texts in quotes")


def _check(
    spec: kinds.KindSpec, name: str, value: Any
) -> Result[Any, InvalidValue]:
    allowed = spec.ranges.get(name)
    if allowed is not None and value not in allowed:
        return Error(
            InvalidValue(
                errors.Problem.OUT_OF_RANGE,
                errors.shorten(value),
                str(allowed),
            )
        )
    pattern = spec.patterns.get(name)
    if name == spec.name_field:
        pattern = spec.name_pattern
    if pattern is not None:
        return _check_texts(pattern, value)
    return Ok(value)


def _check_texts(
    pattern: re.Pattern[str], value: Any
) -> Result[Any, InvalidValue]:
    for text in value if isinstance(value, tuple) else (value,):
        if not pattern.fullmatch(text):
            return Error(_make_text_error(pattern, text))
    return Ok(value)


def _make_text_error(pattern: re.Pattern[str], text: str) -> InvalidValue:
    if not text:
        return InvalidValue(errors.Problem.NAME_EMPTY, "", pattern.pattern)
    if pattern is kinds.DIGEST_PATTERN:
        # The text may be the key itself, so the error does not contain it.
        return InvalidValue(
            errors.Problem.DIGEST_MALFORMED, "", pattern.pattern
        )
    return InvalidValue(
        errors.Problem.NAME_MALFORMED, errors.shorten(text), pattern.pattern
    )
