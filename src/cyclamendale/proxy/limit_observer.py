"""Takes the limits that an upstream names, and tells other hosts of changes."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Any

from cyclamendale import clocks
from cyclamendale.overload import gate_queue
from cyclamendale.proxy import upstream_connection as connections

MIN_NEWS_INTERVAL_S = 0.5
"""Shortest interval between urgent reports; an upstream may change its limit
with each response."""


class LimitObserver:
    """Applies the limits in the responses of one upstream to its queue."""

    def __init__(
        self,
        clock: clocks.Clock,
        queue: gate_queue.GateQueue,
        on_change: Callable[[], None],
        log: Any,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._on_change = on_change
        self._log = log
        self._told_s = -math.inf
        self._told_capacity: int | None = None

    def observe(
        self, upstream_id: str, response: connections.UpstreamResponse
    ) -> None:
        """Takes the limit of a response.

        A refusal may name a limit, but only a run can end it.

        Args:
            upstream_id: Id of the current upstream process, which responded.
            response: The response.
        """
        limit_per_s = response.limit_per_s
        if limit_per_s is None and response.not_run:
            return
        now_s = self._clock.now_s()
        self._queue.observe_limit(limit_per_s, now_s)
        capacity = None
        if self._queue.limit_per_s is not None:
            capacity = self._queue.load().capacity
        is_due = now_s - self._told_s >= MIN_NEWS_INTERVAL_S
        if capacity == self._told_capacity or not is_due:
            return
        self._told_s, self._told_capacity = now_s, capacity
        self._log.belief(
            "upstream-limit",
            upstream=upstream_id,
            limit_per_s=self._queue.limit_per_s,
            capacity=capacity,
        )
        self._on_change()
