"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any, cast, TextIO

from pythonjsonlogger import json as json_logs
from twisted.logger import globalLogBeginner
from twisted.logger import STDLibLogObserver

from cyclamendale import ids

ROOT_LOGGER = "cyclamendale"
TWISTED_LOGGER = "twisted"

_FORMAT = "%(levelname)s %(name)s %(message)s"
_RENAMED_FIELDS = {"levelname": "level", "name": "logger"}


def make_handler(
    stream: TextIO, node: ids.NodeId | None = None
) -> logging.Handler:
    """Returns a handler that writes JSON lines.

    Args:
        stream: Where the lines go.
        node: Node id that each line carries, if any.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        json_logs.JsonFormatter(
            _FORMAT,
            rename_fields=_RENAMED_FIELDS,
            timestamp="time",
            static_fields={"node": node} if node else {},
        )
    )
    return handler


def configure(
    level_name: str,
    node: ids.NodeId | None = None,
    stream: TextIO = sys.stderr,
) -> None:
    """Sends the logs of this process, twisted's too, to `stream`.

    Args:
        level_name: Least severe level that is logged, such as "info".
        node: Node id that each line carries, if any.
        stream: Where the lines go.
    """
    level = logging.getLevelNamesMapping()[level_name.upper()]
    logging.basicConfig(
        handlers=[make_handler(stream, node)], level=level, force=True
    )
    # Twisted reports each connection at this level, and busy nodes would
    # spend more on these lines than on the requests.
    logging.getLogger(TWISTED_LOGGER).setLevel(max(level, logging.WARNING))
    logging.captureWarnings(True)
    # The stubs of zope.interface do not know what a class implements.
    observer = cast(Any, STDLibLogObserver(TWISTED_LOGGER))
    globalLogBeginner.beginLoggingTo(
        [observer],
        redirectStandardIO=False,
        discardBuffer=True,
    )
