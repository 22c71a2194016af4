"""A request whose cause is sought, and when the fleet matters for it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.diagnosis import fleet_view
from cyclamendale.diagnosis import log_lines

MAX_REQUEST_S = 10.0
"""Time after which the process of a caller's node has answered."""

CLOCK_DIFFERENCE_S = 1.0
"""Difference of the hosts' clocks that is taken to be possible."""

MARGIN_S = 2.0
"""Time around a request in which the state of others is taken to be the same.
"""

FINAL_EVENTS = frozenset(
    {
        log_lines.Event.REFUSED,
        log_lines.Event.ANSWERED_WITH_FAILURE,
        log_lines.Event.CALLER_LEFT,
    }
)
FORWARDING_EVENTS = (log_lines.Event.REPEAT, log_lines.Event.GAVE_UP)


class Case:
    """A request, the line that ended it, and the state of the fleet.

    Attributes:
        lines: All lines about the request, in causal order.
        view: What the logs tell of the hosts.
        final: The line that says what the caller got, if there is one.
        begin_s: When the request came, as far as the lines tell.
        end_s: When its last line was written.
    """

    def __init__(
        self, lines: list[log_lines.LogLine], view: fleet_view.FleetView
    ) -> None:
        self.lines = lines
        self.view = view
        self.final = _final_line(lines)
        self.begin_s, self.end_s = find_period(lines)

    def last(self, *events: str) -> log_lines.LogLine | None:
        """Returns the last line of some events."""
        found = [line for line in self.lines if line.event in events]
        return found[-1] if found else None

    @property
    def sent(self) -> log_lines.LogLine | None:
        """Returns the line about the host that had the request last."""
        return self.last(*FORWARDING_EVENTS)

    @property
    def ran(self) -> log_lines.LogLine | None:
        """Returns the line about the host at which it may have run last."""
        ran = [
            line
            for line in self.lines
            if line.event in FORWARDING_EVENTS
            and (
                line.text("execution") == refusals.Execution.UNKNOWN.value
                or line.text("after_status")
            )
        ]
        return ran[-1] if ran else None

    def node_of(self, line: log_lines.LogLine | None) -> ids.NodeId | None:
        """Returns the node of the host that a line names, if it is known."""
        return self.view.node_at(line.text("host")) if line else None

    def host_text(
        self, line: log_lines.LogLine | None, field: str = "host"
    ) -> str:
        """Returns the host that a line names and its node, for a sentence."""
        if line is None:
            return "a host that is not logged"
        address = line.text(field)
        node = self.view.node_at(address) or "no log tells its node"
        return f"host {address} ({node})"


def _final_line(
    lines: Iterable[log_lines.LogLine],
) -> log_lines.LogLine | None:
    finals = [line for line in lines if line.event in FINAL_EVENTS]
    return finals[-1] if finals else None


def find_period(lines: Sequence[log_lines.LogLine]) -> tuple[float, float]:
    """Returns when a request came and when its last line was written.

    Args:
        lines: All lines about the request, at least one.
    """
    last = _final_line(lines) or lines[-1]
    age_ms = last.number("age_ms") or last.number("latency_ms") or 0.0
    first_s = min(line.time_s for line in lines)
    last_s = max(line.time_s for line in lines)
    return min(first_s, last.time_s - age_ms / 1000), last_s
