"""Structured log of a node: rate limited, and never blocks the reactor."""

from __future__ import annotations

import collections
import contextlib
import fcntl
import logging
import os
from typing import Any

import msgspec

from cyclamendale import clocks
from cyclamendale.store import load_limit

DECISIONS_PER_S = 20.0
DECISION_BURST = 200
"""Rate limit of lines about requests: about 4 KB per second, which costs less
than a thousandth of a core."""

BELIEFS_PER_S = 20.0
BELIEF_BURST = 300
"""Rate limit of lines about changes of the node's state."""

SUMMARY_INTERVAL_S = 1.0
"""Interval between lines that count the dropped lines."""


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor; drops those that it does not take.

    A reader may be too slow or gone, a disk full, or a field of no form that
    can be written. None of it concerns the part of the node that logs.

    Attributes:
        dropped: Number of lines dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        with contextlib.suppress(OSError):
            flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
            fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        self._descriptor = descriptor
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """See base class."""
        try:
            os.write(self._descriptor, self.format(record).encode() + b"\n")
        except Exception:
            self.dropped += 1


class JsonFormatter(logging.Formatter):
    """Formats a record and its extra fields as one JSON object."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node
        self._pid = os.getpid()

    def format(self, record: logging.LogRecord) -> str:
        """See base class."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "node": self._node,
            "pid": self._pid,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class Journal:
    """Logs request decisions and state changes, each within its rate limit."""

    def __init__(self, clock: clocks.Clock, logger: logging.Logger) -> None:
        self._clock = clock
        self._logger = logger
        self._decisions = load_limit.TokenBucket(
            DECISIONS_PER_S, DECISION_BURST
        )
        self._beliefs = load_limit.TokenBucket(BELIEFS_PER_S, BELIEF_BURST)
        self._dropped_counts: collections.Counter[str] = collections.Counter()
        self._summary_timer: clocks.DelayedCall | None = None

    def decision(self, event: str, request_id: str, **fields: Any) -> None:
        """Logs a decision about a request."""
        if self._may_write(self._decisions):
            self._write(event, {"request": request_id, **fields})
        else:
            self._count_dropped(event)

    def belief(self, event: str, **fields: Any) -> None:
        """Logs a change of the node's state or of its view of the fleet."""
        if self._may_write(self._beliefs):
            self._write(event, fields)
        else:
            self._count_dropped(event)

    def defect(self, where: str, failure: Any) -> None:
        """Logs an unexpected failure; not rate limited."""
        self._logger.error(
            "defect",
            extra={"fields": {"where": where, "error": failure.getTraceback()}},
        )

    def _may_write(self, lines: load_limit.TokenBucket) -> bool:
        return lines.reserve(self._clock.now_s(), 0.0) is not None

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        self._logger.info(event, extra={"fields": fields})

    def _count_dropped(self, event: str) -> None:
        self._dropped_counts[event] += 1
        if self._summary_timer is None:
            self._summary_timer = self._clock.call_later(
                SUMMARY_INTERVAL_S, self._write_summary
            )

    def _write_summary(self) -> None:
        self._summary_timer = None
        counts = dict(self._dropped_counts)
        self._dropped_counts.clear()
        self._write("lines-left-out", {"counts": counts})


def make_journal(
    clock: clocks.Clock, node: str, descriptor: int = 1
) -> Journal:
    """Returns a journal that writes JSON lines to a file descriptor."""
    handler = NonBlockingHandler(descriptor)
    handler.setFormatter(JsonFormatter(node))
    logger = logging.getLogger("cyclamendale.fleet")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.handlers = [handler]
    return Journal(clock, logger)
