"""What differs from platform to platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from expression import Result
import msgspec

from cyclamendale.intents import model
from cyclamendale.proxy import header_names


class Formats(msgspec.Struct, frozen=True):
    """Names and formats of one platform.

    Attributes:
        dialect: Header names.
        decode: Decodes the operator's document.
        place: Table and key of that document.
        announcement_site: Makes the site that upstreams announce to.
        readiness_site: Makes the site that answers readiness.
    """

    dialect: header_names.HeaderNames
    decode: Callable[[bytes], Result[model.Configuration, Any]]
    place: tuple[str, str]
    announcement_site: Callable[[Any], Any]
    readiness_site: Callable[[Callable[[], bool]], Any]
