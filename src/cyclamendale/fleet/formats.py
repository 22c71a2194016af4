"""What differs from platform to platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from expression import Result
import msgspec

from cyclamendale.intents import model
from cyclamendale.proxy import dialect as dialects


class Formats(msgspec.Struct, frozen=True):
    """Names and formats of one platform.

    Attributes:
        dialect: Header names.
        decode_document: Decodes the operator's document.
        document_location: Table and key of that document.
        make_announcement_site: Makes the site that upstreams announce to.
        make_readiness_site: Makes the site that answers readiness.
    """

    dialect: dialects.Dialect
    decode_document: Callable[[bytes], Result[model.Configuration, Any]]
    document_location: tuple[str, str]
    make_announcement_site: Callable[[Any], Any]
    make_readiness_site: Callable[[Callable[[], bool]], Any]
