"""Filter that sets the deadline and refuses expired requests."""

from __future__ import annotations

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.entry import call as calls
from cyclamendale.filters import base

DEADLINE_HEADER = b"X-Cyclamendale-Deadline-Ms"
"""Header with the time in milliseconds that the caller will wait."""

MAX_DEADLINE_MS = 24 * 3600 * 1000
_MAX_DIGITS = len(str(MAX_DEADLINE_MS))


class DeadlineFilter(base.Filter):
    """Sets the earliest of the route, caller and parent deadlines."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock

    def apply(self, call: calls.Call) -> base.Verdict:
        """See base class."""
        assert call.route is not None
        deadline_s = call.arrived_s + call.route.deadline_s
        header_value = call.take_header(DEADLINE_HEADER)
        if header_value is not None:
            if not _is_valid(header_value):
                return refusals.Refusal(refusals.RefusalReason.BAD_REQUEST)
            deadline_s = min(
                deadline_s, call.arrived_s + int(header_value) / 1000
            )
        if call.parent is not None:
            deadline_s = min(deadline_s, call.parent.deadline_s)
        call.deadline_s = deadline_s
        if deadline_s <= self._clock.now_s():
            return refusals.Refusal(refusals.RefusalReason.DEADLINE)
        return None


def _is_valid(header_value: bytes) -> bool:
    # The length is checked first: int() raises on thousands of digits.
    return (
        header_value.isdigit()
        and len(header_value) <= _MAX_DIGITS
        and int(header_value) <= MAX_DEADLINE_MS
    )
