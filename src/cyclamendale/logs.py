"""Structured logs: one JSON object per line on standard error."""

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
        stream: Stream to write to.
        node: Node id to include in each line, if any.
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
    """Sends the logs of this process, including Twisted's, to `stream`.

    Args:
        level_name: Least severe level to log, such as "info".
        node: Node id to include in each line, if any.
        stream: Stream to write to.
    """
    level = logging.getLevelNamesMapping()[level_name.upper()]
    logging.basicConfig(
        handlers=[make_handler(stream, node)], level=level, force=True
    )
    # Twisted logs each connection at the info level; a busy node would
    # spend more time on these lines than on the requests.
    logging.getLogger(TWISTED_LOGGER).setLevel(max(level, logging.WARNING))
    logging.captureWarnings(True)
    # The stubs of zope.interface do not declare what a class implements.
    observer = cast(Any, STDLibLogObserver(TWISTED_LOGGER))
    globalLogBeginner.beginLoggingTo(
        [observer],
        redirectStandardIO=False,
        discardBuffer=True,
    )
