"""Series over time from the logs of all nodes."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable, Iterator
import math

import msgspec

from cyclamendale.diagnosis import fleet_view
from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives

MAX_COLUMNS = 120

PASSED_ON = "failure passed on"
LEFT_OUT = "lines left out"
NO_VERSION = "none"

EVENTS = fleet_view.STATE_EVENTS | {
    log_lines.Event.REFUSED,
    log_lines.Event.ANSWERED_WITH_FAILURE,
    log_lines.Event.LINES_LEFT_OUT,
}
"""Events that series are made of."""

_STEPS_S = (1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 1800, 3600, 21600, 86400)

Series = dict[str, list[int]]
"""A value for each column, by name."""


class Columns(msgspec.Struct, frozen=True):
    """Equal parts of a period.

    Attributes:
        begin_s: Begin of the first part in seconds since the epoch.
        step_s: Length of a part.
        count: Number of parts.
    """

    begin_s: float
    step_s: float
    count: int

    def index(self, time_s: float) -> int:
        """Returns the column of a time; the nearest one if it has none."""
        index = int((time_s - self.begin_s) / self.step_s)
        return min(max(index, 0), self.count - 1)

    def ends_s(self) -> Iterator[float]:
        """Yields the end of each column."""
        return (
            self.begin_s + (index + 1) * self.step_s
            for index in range(self.count)
        )


class FleetSeries(msgspec.Struct, frozen=True):
    """What happened in the fleet over time.

    Attributes:
        columns: Parts of the period of the logs.
        failures: Requests refused or failed in a column, by reason.
        versions: Processes that run at the end of a column, by the version of
            the configuration in force.
        hosts: Hosts at the end of a column, by state.
        lives: All processes.
    """

    columns: Columns
    failures: Series
    versions: Series
    hosts: Series
    lives: list[process_lives.Life]


class SeriesCollector:
    """Makes series from the lines of logs, each in the order of its file."""

    def __init__(self) -> None:
        self._failures: dict[str, collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        self._states: list[log_lines.LogLine] = []
        self._latest: dict[tuple[object, ...], log_lines.LogLine] = {}
        self._begin_s, self._end_s = math.inf, -math.inf

    def add_lines(self, lines: Iterable[log_lines.LogLine]) -> None:
        """Takes account of lines."""
        for line in lines:
            self._begin_s = min(self._begin_s, line.time_s)
            self._end_s = max(self._end_s, line.time_s)
            process = line.log, line.node, line.pid
            if line.event in fleet_view.STATE_EVENTS:
                # Tells how long the process before this one was alive.
                latest = self._latest.pop(process, None)
                if latest is not None:
                    self._states.append(latest)
                self._states.append(line)
                continue
            self._latest[process] = line
            if line.event == log_lines.Event.REFUSED:
                self._count(line, line.text("reason"))
            elif line.event == log_lines.Event.ANSWERED_WITH_FAILURE:
                self._count(line, PASSED_ON)
            elif line.event == log_lines.Event.LINES_LEFT_OUT:
                self._count(line, LEFT_OUT, log_lines.count_left_out(line))

    def _count(
        self, line: log_lines.LogLine, name: str, count: int = 1
    ) -> None:
        self._failures[name][int(line.time_s)] += count

    def series(self) -> FleetSeries:
        """Returns the series; at least one line must have come."""
        columns = _make_columns(self._begin_s, self._end_s)
        states = [*self._states, *self._latest.values()]
        view = fleet_view.FleetView(states)
        versions = _VersionHistory(states, view)
        version_counts: Series = {}
        host_counts: Series = {}
        for index, end_s in enumerate(columns.ends_s()):
            _enter(version_counts, columns, index, versions.count_at(end_s))
            _enter(host_counts, columns, index, _count_hosts(view, end_s))
        return FleetSeries(
            columns,
            self._failures_by_column(columns),
            dict(sorted(version_counts.items(), key=_version_key)),
            host_counts,
            view.lives,
        )

    def _failures_by_column(self, columns: Columns) -> Series:
        series: Series = {}
        for name, counts in sorted(self._failures.items()):
            values = series.setdefault(name, [0] * columns.count)
            for second, count in counts.items():
                values[columns.index(second)] += count
        return series


class _VersionHistory:
    """Versions of the configuration in the processes over time."""

    def __init__(
        self, lines: Iterable[log_lines.LogLine], view: fleet_view.FleetView
    ) -> None:
        self._changes: dict[int, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self._lives = view.lives
        for line in sorted(lines, key=lambda line: line.time_s):
            if line.event == log_lines.Event.CONFIGURATION_IN_FORCE:
                life = view.life_of(line)
                self._changes[id(life)].append(
                    (line.time_s, line.text("version"))
                )

    def count_at(self, at_s: float) -> collections.Counter[str]:
        """Returns the number of running processes by version."""
        counts: collections.Counter[str] = collections.Counter()
        for life in self._lives:
            if life.state_at(at_s) in _IN_WORK:
                counts[self._version_at(life, at_s)] += 1
        return counts

    def _version_at(self, life: process_lives.Life, at_s: float) -> str:
        changes = self._changes[id(life)]
        index = bisect.bisect_right(changes, at_s, key=lambda change: change[0])
        return changes[index - 1][1] if index else NO_VERSION


_IN_WORK = frozenset(
    {process_lives.State.RUNNING, process_lives.State.STOPPING}
)


def _count_hosts(
    view: fleet_view.FleetView, at_s: float
) -> collections.Counter[str]:
    """Returns the number of hosts by state; "open" are all not closed."""
    closed = view.closed_hosts(at_s)
    counts = collections.Counter(host.state for host in closed.values())
    started = {
        life.node
        for life in view.lives
        if life.start_s is not None and life.start_s <= at_s
    }
    counts[fleet_view.OPEN_DOOR] += len(started - closed.keys())
    return counts


def _enter(
    series: Series,
    columns: Columns,
    index: int,
    counts: collections.Counter[str],
) -> None:
    for name, count in counts.items():
        series.setdefault(name, [0] * columns.count)[index] = count


def _version_key(entry: tuple[str, list[int]]) -> tuple[int, str]:
    name = entry[0]
    return (int(name) if name.isdecimal() else -1), name


def _make_columns(begin_s: float, end_s: float) -> Columns:
    period_s = end_s - begin_s
    step_s: float = next(
        (step for step in _STEPS_S if period_s < step * MAX_COLUMNS),
        math.ceil(period_s / MAX_COLUMNS) + 1,
    )
    first_s = math.floor(begin_s / step_s) * step_s
    return Columns(first_s, step_s, int((end_s - first_s) / step_s) + 1)
