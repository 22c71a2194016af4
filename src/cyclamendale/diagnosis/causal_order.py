"""Puts the lines of one request in the order of cause and effect."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from cyclamendale.diagnosis import fleet_view
from cyclamendale.diagnosis import log_lines

_HOST_EVENTS = frozenset(
    {log_lines.Event.UPSTREAM_FAILED, log_lines.Event.UPSTREAM_REFUSED}
)
"""Events of a host whose outcome another node waits for."""

_CALLER_EVENTS = frozenset({log_lines.Event.REPEAT, log_lines.Event.GAVE_UP})
"""Events of the node that waits."""


def sort_lines(
    lines: Iterable[log_lines.LogLine], view: fleet_view.FleetView
) -> list[log_lines.LogLine]:
    """Returns lines of a request in causal order.

    The clocks of hosts differ, so that times alone don't tell what came
    first. What a host logged about an attempt comes before the line of the
    node that learned its outcome; each node's own lines stay in order.

    Args:
        lines: All lines of one request.
        view: Knows the nodes at the hosts that the lines name.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    outcomes: dict[str, collections.deque[log_lines.LogLine]] = (
        collections.defaultdict(collections.deque)
    )
    for line in ordered:
        if line.event in _HOST_EVENTS:
            outcomes[line.node].append(line)
    latest_s: dict[int, float] = {}
    for line in ordered:
        if line.event in _CALLER_EVENTS:
            host_lines = outcomes.get(view.node_at(line.text("host")) or "")
            if host_lines:
                latest_s[id(host_lines.popleft())] = line.time_s

    def key(line: log_lines.LogLine) -> tuple[float, bool]:
        before_s = latest_s.get(id(line))
        if before_s is None or line.time_s < before_s:
            return line.time_s, True
        return before_s, False

    return sorted(ordered, key=key)
