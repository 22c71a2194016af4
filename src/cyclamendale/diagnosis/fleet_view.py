"""What the logs tell of the hosts around the time of a request."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator
import itertools

import msgspec

from cyclamendale import ids
from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives

OPEN_DOOR = "open"

STATE_EVENTS = log_lines.PROCESS_EVENTS | {log_lines.Event.UPSTREAM_DOOR}
"""Events whose effect lasts until another one of the same host."""

MOMENT_EVENTS = frozenset(
    {
        log_lines.Event.LINK_SILENT,
        log_lines.Event.QUOTA_HOME_SILENT,
        log_lines.Event.LINES_LEFT_OUT,
        log_lines.Event.OVER_QUOTA,
    }
)
"""Events that matter close to their time only."""

_TAKES = (
    process_lives.State.NOT_STARTED,
    process_lives.State.ENDED,
    process_lives.State.PERHAPS_ENDED,
    process_lives.State.STOPPING,
    process_lives.State.RUNNING,
)
"""States of a process, in rising order of what requests a host then takes."""

_CLOSED = _TAKES[1:4]
_ENDS = frozenset({log_lines.Event.STOP, log_lines.Event.STOPPED})


class ClosedHost(msgspec.Struct, frozen=True):
    """A host that takes no requests.

    Attributes:
        state: Why.
        line: The line that shows it.
    """

    state: str
    line: log_lines.LogLine


class FleetView:
    """Processes, doors and links of all hosts."""

    def __init__(self, lines: Iterable[log_lines.LogLine]) -> None:
        """Initializes the view.

        Args:
            lines: Lines of the events above, in any order.
        """
        self._lines = sorted(lines, key=lambda line: line.time_s)
        self._lines_by_node: dict[ids.NodeId, list[log_lines.LogLine]] = (
            collections.defaultdict(list)
        )
        for line in self._lines:
            self._lines_by_node[line.node].append(line)
        self.lives = process_lives.collect_lives(self._lines)
        self._lives_by_process: dict[
            tuple[ids.NodeId, int], list[process_lives.Life]
        ] = collections.defaultdict(list)
        for life in self.lives:
            self._lives_by_process[life.node, life.pid].append(life)
        self._nodes = {
            life.address: life.node for life in self.lives if life.address
        }

    def node_at(self, address: str) -> ids.NodeId | None:
        """Returns the node at an address of a host, if its log tells it."""
        return self._nodes.get(ids.PeerAddress(address))

    def life_of(self, line: log_lines.LogLine) -> process_lives.Life | None:
        """Returns the process that wrote a line."""
        lives = [
            life
            for life in self._lives_by_process[line.node, line.pid]
            if life.first_s <= line.time_s
            and (line.pid or life.log == line.log)
        ]
        return lives[-1] if lives else None

    def stopping_life(
        self, node: ids.NodeId, at_s: float
    ) -> process_lives.Life | None:
        """Returns the process of a node that was stopping at a time."""
        for life in self.lives:
            if (
                life.node == node
                and life.state_at(at_s) is process_lives.State.STOPPING
            ):
                return life
        return None

    def end_lines(
        self, life: process_lives.Life
    ) -> Iterator[log_lines.LogLine]:
        """Yields the lines that tell of the end of a process."""
        for line in self._lines_by_node[life.node]:
            if line.event in _ENDS and line.time_s in (
                life.stop_s,
                life.stopped_s,
            ):
                yield line
            elif (
                line.event == log_lines.Event.START
                and life.next_s is not None
                and line.time_s >= life.next_s
            ):
                yield line
                return

    def between(
        self, event: str, begin_s: float, end_s: float
    ) -> Iterator[log_lines.LogLine]:
        """Yields the lines of an event between two times."""
        return (
            line
            for line in self._lines
            if line.event == event and begin_s <= line.time_s <= end_s
        )

    def closed_hosts(self, at_s: float) -> dict[ids.NodeId, ClosedHost]:
        """Returns the hosts that took no requests at a time, by node."""
        closed: dict[ids.NodeId, ClosedHost] = {}
        for line in self.between(log_lines.Event.UPSTREAM_DOOR, 0.0, at_s):
            door = line.text("now")
            if door == OPEN_DOOR:
                closed.pop(line.node, None)
            else:
                closed[line.node] = ClosedHost(f"upstream {door}", line)
        for node, lives in itertools.groupby(
            self.lives, key=lambda life: life.node
        ):
            states = {life.state_at(at_s): life for life in lives}
            state = max(states, key=_TAKES.index)
            if state not in _CLOSED:
                continue
            end_line = next(self.end_lines(states[state]), None)
            if end_line is not None:
                closed[node] = ClosedHost(state.value, end_line)
        return closed

    def quota_lines(
        self, customer: str, begin_s: float, end_s: float
    ) -> Iterator[log_lines.LogLine]:
        """Yields what homes of a customer's quota knew between two times."""
        return (
            line
            for line in self.between(log_lines.Event.OVER_QUOTA, begin_s, end_s)
            if line.text("customer") == customer
            and line.number("quota_level") is not None
        )
