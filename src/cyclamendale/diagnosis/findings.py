"""Causes, and the ends of processes and links that show them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import enum

import msgspec

from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives
from cyclamendale.diagnosis import request_case


class CauseKind(enum.Enum):
    """Classes of causes."""

    QUOTA = "quota"
    SHED = "shed"
    REFUSED = "refused"
    NO_TARGET = "no-target"
    LEAVING = "leaving"
    LOST_AT_HOST = "lost-at-host"
    PROCESS_ENDED = "process-ended"
    UPSTREAM_FAILED = "upstream-failed"
    DEADLINE = "deadline"
    CALLER_LEFT = "caller-left"
    NO_FAILURE = "no-failure"
    UNKNOWN = "unknown"


class Cause(msgspec.Struct, frozen=True):
    """The cause of a failure.

    Attributes:
        kind: Its class.
        sentence: What happened.
        evidence: Lines about hosts and processes that show it.
    """

    kind: CauseKind
    sentence: str
    evidence: tuple[log_lines.LogLine, ...] = ()


def silent_links(
    case: request_case.Case, final: log_lines.LogLine, host: str | None
) -> tuple[log_lines.LogLine, ...]:
    """Returns the silences of a host that the caller's node noticed.

    Args:
        case: The request.
        final: The line of the caller's node.
        host: Address of the host; None for any.
    """
    lines: Iterator[log_lines.LogLine] = case.view.between(
        log_lines.Event.LINK_SILENT, case.begin_s, final.time_s
    )
    return tuple(
        line
        for line in lines
        if line.node == final.node and host in (None, line.text("peer"))
    )


def killed_lives(
    case: request_case.Case, begin_s: float, end_s: float
) -> list[process_lives.Life]:
    """Returns lives that may have ended in a period without a whole stop."""
    return [
        life
        for life in process_lives.ended_within(case.view.lives, begin_s, end_s)
        if life.end is not process_lives.End.STOPPED
    ]


def end_lines(
    case: request_case.Case, lives: Iterable[process_lives.Life]
) -> tuple[log_lines.LogLine, ...]:
    """Returns the lines that tell of the ends of processes."""
    return tuple(line for life in lives for line in case.view.end_lines(life))


def describe_end(life: process_lives.Life, at_s: float) -> str:
    """Returns how a process ended, and how long before or after a time."""
    process = f"process {life.pid} of {life.node}"
    if life.stopped_s is not None:
        when = _relative(life.stopped_s, at_s)
        return f"{process} stopped {when}"
    if life.stop_s is not None:
        return f"{process} ended while it stopped, without a line `stopped`"
    when = _relative(life.last_s, at_s)
    return f"{process} ended by itself or was killed; its last line came {when}"


def _relative(time_s: float, at_s: float) -> str:
    if time_s <= at_s:
        return f"{seconds(time_s, at_s)} earlier"
    return f"{seconds(at_s, time_s)} later"


def seconds(begin_s: float, end_s: float) -> str:
    """Returns the time between two times as text."""
    return f"{end_s - begin_s:.1f} s"
