"""Types of the daemon's settings and converters from text."""

from __future__ import annotations

from collections.abc import Callable
import enum
import ipaddress
import pathlib
import re
from typing import Any, TypeAlias
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

MIN_SECRET_CHARS = 16
MAX_SECRET_FILE_BYTES = 4096
MAX_PORT = 65_535

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class Problem(enum.Enum):
    """What is wrong with a setting; the values are a public interface."""

    UNKNOWN = "unknown"
    MISSING = "missing"
    VALUE_MISSING = "value-missing"
    MALFORMED = "malformed"
    OUT_OF_RANGE = "out-of-range"
    NOT_LOOPBACK = "not-loopback"
    BEYOND_LOOPBACK = "beyond-loopback"
    ADDRESS_TWICE = "address-twice"
    SECRET_TOO_SHORT = "secret-too-short"
    SECRET_UNREADABLE = "secret-unreadable"
    SECRET_TWICE = "secret-twice"


_MESSAGES = {
    Problem.UNKNOWN: "unknown setting",
    Problem.MISSING: "is required",
    Problem.VALUE_MISSING: "requires a value",
    Problem.MALFORMED: "{value!r} is not {allowed}",
    Problem.OUT_OF_RANGE: "{value!r} is not {allowed}",
    Problem.NOT_LOOPBACK: "{value!r} is not a loopback address",
    Problem.BEYOND_LOOPBACK: "{value!r} is not loopback; this needs {allowed}",
    Problem.ADDRESS_TWICE: "{value!r} is already used by {allowed}",
    Problem.SECRET_TOO_SHORT: "has fewer than {allowed} characters",
    Problem.SECRET_UNREADABLE: "{value!r} cannot be read as text",
    Problem.SECRET_TWICE: "the secret is set both as text and as a file",
}


class ConversionError(msgspec.Struct, frozen=True):
    """Why a text cannot be converted; does not name the setting."""

    problem: Problem
    value: str = ""
    allowed: str = ""


class SettingError(msgspec.Struct, frozen=True):
    """One error in one setting.

    Attributes:
        setting: The flag or variable.
        problem: What is wrong with it.
        value: Its value; empty for secrets.
        allowed: Description of valid values.
    """

    setting: str
    problem: Problem
    value: str = ""
    allowed: str = ""

    @property
    def message(self) -> str:
        """Returns the error message, without the name of the setting."""
        return _MESSAGES[self.problem].format(
            value=self.value, allowed=self.allowed
        )

    def __str__(self) -> str:
        return f"{self.setting}: {self.message}"


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port; port 0 lets the kernel choose one."""

    host: str
    port: int

    def is_loopback(self) -> bool:
        """Returns whether the address is only reachable from this host."""
        return ipaddress.ip_address(self.host).is_loopback

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Secret:
    """A text that must not appear in logs, errors or `repr`."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> bytes:
        """Returns the secret in clear."""
        return self._text.encode()

    def __repr__(self) -> str:
        return "Secret(...)"


Converter: TypeAlias = Callable[[str], Result[Any, ConversionError]]


def to_address(text: str) -> Result[Any, ConversionError]:
    """Converts `IP:PORT`; an IPv6 address must be in brackets."""
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        host = ""
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        return _malformed(text, "an IP address and port, IP:PORT")
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        return _malformed(text, f"IP:PORT with a port up to {MAX_PORT}")
    return Ok(Address(str(number), int(port)))


def to_peer_address(text: str) -> Result[Any, ConversionError]:
    """Converts an address that other hosts can connect to."""
    return to_address(text).bind(_check_specified)


def _check_specified(address: Address) -> Result[Any, ConversionError]:
    if ipaddress.ip_address(address.host).is_unspecified:
        return _malformed(str(address), "an address that other hosts can reach")
    return Ok(address)


def to_loopback_address(text: str) -> Result[Any, ConversionError]:
    """Converts an address that only this host can connect to."""
    return to_address(text).bind(_check_loopback)


def _check_loopback(address: Address) -> Result[Any, ConversionError]:
    if not address.is_loopback():
        return Error(ConversionError(Problem.NOT_LOOPBACK, str(address)))
    return Ok(address)


def to_name(text: str) -> Result[Any, ConversionError]:
    """Checks the name of a failure domain or a prefix of metric names."""
    if not _NAME.fullmatch(text):
        return _malformed(text, f"a name like {_NAME.pattern}")
    return Ok(text)


def to_url(text: str) -> Result[Any, ConversionError]:
    """Checks the base URL of the platform."""
    allowed = "a URL like http://HOST:PORT"
    try:
        parts = urllib.parse.urlsplit(text)
        is_valid = parts.scheme == "http" and parts.hostname and parts.port != 0
    except ValueError:
        return _malformed(text, allowed)
    if parts.username or parts.password:
        # A password in the URL could be logged with it; the error does not
        # repeat it either.
        return _malformed("...", allowed + ", without user and password")
    if not is_valid or parts.query or parts.fragment:
        return _malformed(text, allowed)
    return Ok(text.rstrip("/"))


def to_secret(text: str) -> Result[Any, ConversionError]:
    """Checks the length of a secret."""
    if len(text) < MIN_SECRET_CHARS:
        return Error(
            ConversionError(
                Problem.SECRET_TOO_SHORT, allowed=str(MIN_SECRET_CHARS)
            )
        )
    return Ok(Secret(text))


def read_secret_file(path: str) -> Result[Any, ConversionError]:
    """Reads a secret from a file and strips surrounding whitespace."""
    try:
        with pathlib.Path(path).open("rb") as file:
            text = file.read(MAX_SECRET_FILE_BYTES).decode().strip()
    except (OSError, ValueError):
        return Error(ConversionError(Problem.SECRET_UNREADABLE, path))
    return to_secret(text)


def number_between(minimum: float, maximum: float) -> Converter:
    """Returns a converter for numbers within bounds."""
    allowed = f"{minimum:.15g} to {maximum:.15g}"

    def convert(text: str) -> Result[Any, ConversionError]:
        try:
            number = msgspec.convert(text, float, strict=False)
        except msgspec.ValidationError:
            return _malformed(text, f"a number, {allowed}")
        if not minimum <= number <= maximum:
            return Error(ConversionError(Problem.OUT_OF_RANGE, text, allowed))
        return Ok(number)

    return convert


def whole_number_between(minimum: int, maximum: int) -> Converter:
    """Returns a converter for integers within bounds."""
    in_bounds = number_between(minimum, maximum)

    def convert(text: str) -> Result[Any, ConversionError]:
        if not text.isdigit():
            return _malformed(text, f"an integer, {minimum} to {maximum}")
        return in_bounds(text).map(int)

    return convert


def one_of(choices: type[enum.Enum]) -> Converter:
    """Returns a converter from the values of an Enum to its members."""
    allowed = "one of " + ", ".join(choice.value for choice in choices)

    def convert(text: str) -> Result[Any, ConversionError]:
        try:
            return Ok(choices(text.lower()))
        except ValueError:
            return _malformed(text, allowed)

    return convert


def _malformed(text: str, allowed: str) -> Result[Any, ConversionError]:
    return Error(ConversionError(Problem.MALFORMED, text, allowed))
