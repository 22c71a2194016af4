"""Failures that nothing else handles, as lines of the journal.

Twisted would write them to standard error, and wait if nobody reads it.
"""

from __future__ import annotations

import contextlib
import io
import os
import select
from typing import Any, cast

from twisted.logger import globalLogBeginner

from cyclamendale.fleet import journal

STANDARD_ERROR = 2


class FailureObserver:
    """Observer of Twisted's log that passes on failures only.

    Attributes:
        log: Where the failures are logged.
    """

    def __init__(self, log: journal.Journal) -> None:
        self.log = log

    def __call__(self, event: dict[str, Any]) -> None:
        """Logs an event if it is a failure."""
        failure = event.get("log_failure")
        if failure is not None:
            self.log.defect(event.get("log_namespace", ""), failure)


class ErrorStream(io.TextIOBase):
    """Standard error that drops what it does not take at once."""

    def write(self, text: str) -> int:
        """See base class."""
        with contextlib.suppress(OSError):
            writable = select.poll()
            writable.register(STANDARD_ERROR, select.POLLOUT)
            if writable.poll(0):
                # What is writable takes so many bytes without a wait.
                data = text.encode(errors="replace")[: select.PIPE_BUF]
                os.write(STANDARD_ERROR, data)
        return len(text)


def install(log: journal.Journal) -> FailureObserver:
    """Sends all later failures of the reactor to a log.

    Returns:
        The observer, whose log may be replaced.
    """
    observer = FailureObserver(log)
    globalLogBeginner.beginLoggingTo(
        [cast(Any, observer)], redirectStandardIO=False, discardBuffer=True
    )
    return observer
