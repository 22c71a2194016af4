"""Platform-specific names and formats."""

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
        http_header_names: HTTP header names.
        decode_document: Decodes the operator's configuration document.
        document_location: Store table and key of that document.
        make_announcement_site: Creates the site that receives the
            upstream's announcements.
        make_readiness_site: Creates the site that answers readiness
            checks.
    """

    http_header_names: header_names.HeaderNames
    decode_document: Callable[[bytes], Result[model.Configuration, Any]]
    document_location: tuple[str, str]
    make_announcement_site: Callable[[Any], Any]
    make_readiness_site: Callable[[Callable[[], bool]], Any]
