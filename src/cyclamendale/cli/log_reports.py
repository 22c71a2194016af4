"""Reports of the commands that read logs."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

import msgspec

from cyclamendale import ids
from cyclamendale.cli import reports
from cyclamendale.diagnosis import log_files
from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives
from cyclamendale.diagnosis import request_trace


class Process(msgspec.Struct, frozen=True):
    """The life of a process, with how it ended."""

    life: process_lives.Life
    end: process_lives.End

    def describe(self) -> str:
        """Returns its end in a few words."""
        life = self.life
        when = format_time(life.last_s)
        name = life.node or life.log
        return f"process {life.pid} of {name} {self.end.value} after {when}"


def make_process(life: process_lives.Life) -> Process:
    """Returns the life of a process as it is reported."""
    return Process(life, life.end)


class TraceReport(reports.Report, frozen=True):
    """The lines about a request and its cause."""

    trace: request_trace.Trace
    unread: tuple[log_files.UnreadLog, ...]

    def lines(self) -> Iterator[str]:
        """See base class."""
        for line in self.trace.lines:
            mark = "  " if line.request == self.trace.request else "* "
            yield mark + _format_line(line)
        yield ""
        yield from left_out_lines(self.trace.left_out)
        yield from unread_lines(self.unread)
        cause = self.trace.cause
        if cause is not None:
            yield f"cause ({cause.kind.value}): {cause.sentence}"


class ProcessesReport(reports.Report, frozen=True):
    """The lives of processes, by host and time."""

    processes: tuple[Process, ...]
    unread: tuple[log_files.UnreadLog, ...]

    def lines(self) -> Iterator[str]:
        """See base class."""
        rows = [HEADINGS, *map(process_cells, self.processes)]
        yield from _align(rows)
        yield from unread_lines(self.unread)


class FleetReport(reports.Report, frozen=True):
    """A page about the fleet was written.

    Attributes:
        path: The page.
        begin: Time of its first column.
        step_s: Length of a column.
        failures: Requests refused or failed, by reason.
        processes: Number of processes.
        unread: Logs that could not be read.
    """

    path: str
    begin: str
    step_s: float
    failures: dict[str, int]
    processes: int
    unread: tuple[log_files.UnreadLog, ...]

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield f"{self.path}: from {self.begin}, {self.processes} processes"
        for reason, count in self.failures.items():
            yield f"{reason}: {count}"
        yield from unread_lines(self.unread)


HEADINGS = (
    "node",
    "pid",
    "first line",
    "waited",
    "ready",
    "store",
    "reloads",
    "stop",
    "in work",
    "left",
    "last line",
    "end",
)


def process_cells(process: Process) -> tuple[str, ...]:
    """Returns the cells of a process below the headings."""
    life = process.life
    started_s = life.start_s
    waits = ",".join(dict.fromkeys(wait.event for wait in life.waits))
    return (
        life.node or f"({life.log})",
        str(life.pid or "-"),
        format_time(life.first_s),
        f"{life.waited_s:.1f} s {waits}" if waits else "-",
        _format_duration(started_s, life.ready_s),
        _format_duration(started_s, life.store_s),
        str(life.reload_count),
        "-" if life.stop_s is None else format_time(life.stop_s),
        _format_count(life.in_work),
        _format_count(life.left_in_work),
        format_time(life.last_s),
        _format_end(process),
    )


def _format_end(process: Process) -> str:
    life = process.life
    took = _format_duration(life.stop_s, life.stopped_s)
    end = process.end.value if took == "-" else f"{process.end.value} in {took}"
    if life.next_s is None:
        return end
    if life.next_s < life.last_s:
        return f"{end}, beside the next process"
    return f"{end}, next after {life.next_s - life.last_s:.1f} s"


def _format_duration(begin_s: float | None, end_s: float | None) -> str:
    if begin_s is None or end_s is None:
        return "-"
    return f"{end_s - begin_s:.1f} s"


def _format_count(count: int | None) -> str:
    return "-" if count is None else str(count)


def _align(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        yield "  ".join(cell.ljust(width) for cell, width in cells).rstrip()


def _format_line(line: log_lines.LogLine) -> str:
    fields = reports.format_fields(line.fields)
    time = format_time(line.time_s)
    return f"{time} {line.node} {line.event} {fields}".rstrip()


def format_time(time_s: float) -> str:
    """Returns a time in seconds since the epoch as ISO 8601 text."""
    return reports.format_time(int(round(time_s * 1000)))


def left_out_lines(left_out: Mapping[ids.NodeId, int]) -> Iterator[str]:
    """Yields a line for each node that left lines out."""
    for node, count in sorted(left_out.items()):
        yield f"left out by {node}: {count} lines"


def unread_lines(unread: Sequence[log_files.UnreadLog]) -> Iterator[str]:
    """Yields a line for each log that could not be read."""
    return (f"not read: {log}" for log in unread)
