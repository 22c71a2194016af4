"""Decodes the limit that an upstream names in its responses."""

from __future__ import annotations

from collections.abc import Iterable
import re

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
"""Longer numbers, signs, exponents, `nan` and `inf` are not limits."""


def decode(values: Iterable[bytes]) -> float | None:
    """Returns the lowest valid limit in requests per second, if any.

    Args:
        values: Values of the header, one for each time it was sent.
    """
    return min(
        (
            float(part)
            for value in values
            for part in map(bytes.strip, value.split(b","))
            if _DECIMAL.fullmatch(part)
        ),
        default=None,
    )
