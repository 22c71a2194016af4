"""Follows one request over the logs of all nodes to its cause."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

import msgspec

from cyclamendale import ids
from cyclamendale.diagnosis import causal_order
from cyclamendale.diagnosis import causes
from cyclamendale.diagnosis import findings
from cyclamendale.diagnosis import fleet_view
from cyclamendale.diagnosis import log_blocks
from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives
from cyclamendale.diagnosis import request_case

SUMMARY_INTERVAL_S = 1.0
"""Delay of the lines that count what a node left out."""


class Trace(msgspec.Struct, frozen=True):
    """What the logs tell of one request.

    Attributes:
        request: The request.
        lines: Its lines and those that show the cause, in causal order.
        cause: Its cause; None if no line is about the request.
        left_out: Number of lines that nodes left out at the time, by node.
        ended: Processes that ended without being told to stop.
    """

    request: ids.RequestId
    lines: tuple[log_lines.LogLine, ...]
    cause: findings.Cause | None
    left_out: dict[ids.NodeId, int]
    ended: tuple[process_lives.Life, ...]


class RequestTracer:
    """Finds the cause of what became of a request.

    Takes the lines of `selection` first, then those of `moment_selection` in
    the `period` that results.

    Attributes:
        selection: The lines about the request and about lasting states.
        moment_selection: Lines that matter close to their time only.
    """

    def __init__(self, request: ids.RequestId) -> None:
        self._request = request
        self._own: list[log_lines.LogLine] = []
        self._others: list[log_lines.LogLine] = []
        self.selection = log_blocks.Selection(fleet_view.STATE_EVENTS, request)
        self.moment_selection = log_blocks.Selection(fleet_view.MOMENT_EVENTS)

    def add_lines(self, lines: Iterable[log_lines.LogLine]) -> None:
        """Takes lines in any order."""
        for line in lines:
            is_own = line.request == self._request
            (self._own if is_own else self._others).append(line)

    def period(self) -> tuple[float, float] | None:
        """Returns the times between which the fleet matters to the request.

        Returns:
            Begin and end in seconds since the epoch; None if no line is about
            the request.
        """
        if not self._own:
            return None
        begin_s, end_s = request_case.find_period(self._own)
        margin_s = request_case.MARGIN_S
        return begin_s - margin_s, end_s + margin_s

    def trace(self) -> Trace:
        """Returns what the lines tell of the request."""
        view = fleet_view.FleetView(_without_repeats(self._others))
        ended = tuple(
            life
            for life in view.lives
            if life.end is process_lives.End.BY_ITSELF
        )
        if not self._own:
            return Trace(self._request, (), None, {}, ended)
        ordered = causal_order.sort_lines(_without_repeats(self._own), view)
        case = request_case.Case(ordered, view)
        cause = causes.find_cause(case)
        begin_s, end_s = case.begin_s, case.end_s + SUMMARY_INTERVAL_S
        return Trace(
            self._request,
            tuple(_add_evidence(ordered, cause.evidence)),
            cause,
            _count_left_out(view, begin_s, end_s),
            ended,
        )


def _without_repeats(
    lines: Iterable[log_lines.LogLine],
) -> Iterator[log_lines.LogLine]:
    """Yields lines once that several selections chose."""
    seen: dict[tuple[object, ...], list[log_lines.LogLine]] = {}
    for line in lines:
        same = seen.setdefault((line.log, line.time_s, line.event), [])
        if line not in same:
            same.append(line)
            yield line


def _add_evidence(
    ordered: list[log_lines.LogLine], evidence: Iterable[log_lines.LogLine]
) -> list[log_lines.LogLine]:
    """Puts evidence among lines, which stay in their order."""
    added = list(ordered)
    for line in sorted(evidence, key=lambda line: line.time_s):
        later = (
            index
            for index, other in enumerate(added)
            if other.time_s > line.time_s
        )
        added.insert(next(later, len(added)), line)
    return added


def _count_left_out(
    view: fleet_view.FleetView, begin_s: float, end_s: float
) -> dict[ids.NodeId, int]:
    counts: collections.Counter[ids.NodeId] = collections.Counter()
    for line in view.between(log_lines.Event.LINES_LEFT_OUT, begin_s, end_s):
        counts[line.node] += log_lines.count_left_out(line)
    return dict(+counts)
