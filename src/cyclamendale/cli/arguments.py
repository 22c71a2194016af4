"""Converts command-line arguments to typed values."""

from __future__ import annotations

from collections.abc import Callable
import datetime
import re
from typing import Any
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result

from cyclamendale.cli import faults

NODE_VARIABLE = "CYCLAMENDALE_NODE_URL"
PLATFORM_VARIABLE = "CYCLAMENDALE_PLATFORM_URL"
WRITER_VARIABLE = "CYCLAMENDALE_WRITER"
DEFAULT_NODE_URL = "http://127.0.0.1:8082"

MAX_DIGITS = 18

_RELATIVE_TIME = re.compile(r"([0-9]{1,9})([smhd])")
_UNIT_S = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_SHORT_TEXT = re.compile(r"[!-~][ -~]{0,63}")

ConversionResult = Result[Any, faults.Fault]


def malformed_argument(name: str, value: str, allowed: str) -> ConversionResult:
    """Returns the fault for an argument that cannot be converted."""
    problem = faults.ArgumentProblem.MALFORMED
    return Error(faults.WrongArgument(name, problem, value, allowed))


def missing_argument(name: str, allowed: str) -> ConversionResult:
    """Returns the fault for a missing argument."""
    problem = faults.ArgumentProblem.MISSING
    return Error(faults.WrongArgument(name, problem, allowed=allowed))


def to_url(name: str, text: str) -> ConversionResult:
    """Checks the URL of a node or of the platform."""
    allowed = "a URL like http://IP:PORT"
    try:
        parts = urllib.parse.urlsplit(text)
        is_valid = parts.scheme == "http" and parts.hostname and parts.port != 0
    except ValueError:
        return malformed_argument(name, text, allowed)
    if not is_valid or parts.username or parts.query or parts.fragment:
        return malformed_argument(name, text, allowed)
    return Ok(text.rstrip("/"))


def integer_between(
    minimum: int, maximum: int
) -> Callable[[str, str], ConversionResult]:
    """Returns a converter for integers within bounds."""

    def convert(name: str, text: str) -> ConversionResult:
        is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
        if not is_valid or not minimum <= int(text) <= maximum:
            return malformed_argument(
                name, text, f"a number, {minimum} to {maximum}"
            )
        return Ok(int(text))

    return convert


def to_short_text(name: str, text: str) -> ConversionResult:
    """Checks a short printable text, such as an operator's name."""
    if not _SHORT_TEXT.fullmatch(text):
        return malformed_argument(name, text, "up to 64 printable characters")
    return Ok(text)


def to_since_ms(name: str, text: str, now_s: float) -> ConversionResult:
    """Converts a duration before now, such as 90s, or an ISO 8601 time.

    Args:
        name: The argument's name.
        text: The argument's value.
        now_s: Current time in seconds since the epoch.
    """
    relative = _RELATIVE_TIME.fullmatch(text)
    if relative:
        seconds = int(relative.group(1)) * _UNIT_S[relative.group(2)]
        return Ok(max(0, int((now_s - seconds) * 1000)))
    try:
        moment = datetime.datetime.fromisoformat(text)
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=datetime.UTC)
        return Ok(max(0, int(moment.timestamp() * 1000)))
    except (ValueError, OverflowError):
        return malformed_argument(
            name, text, "a time ago (90s, 5m, 2h, 1d) or an ISO 8601 time"
        )


def to_entry(name: str, text: str) -> ConversionResult:
    """Splits `kind/name`."""
    kind, slash, entry = text.partition("/")
    if not (kind and slash and entry):
        return malformed_argument(
            name, text, "kind/name, such as customer/masons"
        )
    return Ok((kind, entry))
