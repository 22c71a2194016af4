"""Bound on the repeated sends of one node to each service.

All nodes together may send a service, in any window, repeats of a given
ratio of the requests for it and a fixed slack. Each node keeps to the
ratio of its own requests and to its part of the slack, so the sum holds
without agreement.
"""

from __future__ import annotations

import collections

from cyclamendale import clocks
from cyclamendale import ids

SLICES = 10
"""Parts of the window; the bound is kept to a tenth of it."""

RATIO_SHARE = 0.7
"""Part of the allowed ratio that is used: calls made by repeated runs are
repeats too, further down, and no node counts those."""

SLACK_SHARE = 0.6
"""Part of the slack that is divided among the nodes."""


class _Counts:
    __slots__ = ("repeats", "requests")

    def __init__(self) -> None:
        self.requests: collections.deque[int] = collections.deque(
            [0] * SLICES, SLICES
        )
        self.repeats: collections.deque[int] = collections.deque(
            [0] * SLICES, SLICES
        )


class RetryWindow:
    """Counts requests and repeats by service in slices of the window."""

    def __init__(
        self,
        clock: clocks.Clock,
        ratio: float,
        window_s: float,
        slack: float,
    ) -> None:
        self._clock = clock
        self._ratio = ratio * RATIO_SHARE
        self._slice_s = window_s / SLICES
        self._slack = slack * SLACK_SHARE
        self._counts: dict[ids.ServiceName, _Counts] = {}
        self._slice_began_s = clock.now_s()
        self._nodes = 1

    def set_nodes(self, nodes: int) -> None:
        """Takes the number of nodes that share the slack."""
        self._nodes = max(1, nodes)

    def request(self, service: ids.ServiceName) -> None:
        """Counts a request for a service."""
        self._of(service).requests[-1] += 1

    def may_repeat(
        self, service: ids.ServiceName, reserve_share: float = 0.0
    ) -> bool:
        """Counts a repeat if there is leave for it.

        Args:
            service: Where it would go.
            reserve_share: Part of the allowance left to others.
        """
        counts = self._of(service)
        allowed = self._ratio * sum(counts.requests) + self._slack / self._nodes
        if sum(counts.repeats) + 1 > allowed * (1 - reserve_share):
            return False
        counts.repeats[-1] += 1
        return True

    def _of(self, service: ids.ServiceName) -> _Counts:
        self._advance()
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = _Counts()
        return counts

    def _advance(self) -> None:
        now_s = self._clock.now_s()
        passed = int((now_s - self._slice_began_s) / self._slice_s)
        if passed <= 0:
            return
        self._slice_began_s += passed * self._slice_s
        for counts in self._counts.values():
            for _ in range(min(passed, SLICES)):
                counts.requests.append(0)
                counts.repeats.append(0)
