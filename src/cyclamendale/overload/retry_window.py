"""Bound on the repeated sends of one node to each service.

All nodes together may send a service, in any window, repeats of a given
ratio of the requests for it and a fixed slack. Each node keeps to the
ratio of its own requests and to its part of the slack, so the sum holds
without agreement.

A run that is a repeat makes its calls again, and these are repeats at the
services below. They are charged to the node that repeats the run, against
the calls that its requests were expected to make there.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping

from cyclamendale import clocks
from cyclamendale import ids

SLICES = 10
"""Parts of the window; the bound is kept to a tenth of it."""

DIRECT_SHARE = 0.4
"""Part of the ratio and of the slack for repeats of one's own requests."""

INDUCED_SHARE = 0.12
"""Part of them for the calls that repeated runs make again. Each service
above another in a chain may use it: with four levels a half in all."""


class _Counts:
    __slots__ = ("repeats", "requests")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque(
            [0.0] * SLICES, SLICES
        )
        self.repeats: collections.deque[float] = collections.deque(
            [0.0] * SLICES, SLICES
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
        self._ratio = ratio
        self._slice_s = window_s / SLICES
        self._slack = slack
        self._direct: dict[ids.ServiceName, _Counts] = {}
        self._induced: dict[ids.ServiceName, _Counts] = {}
        self._slice_began_s = clock.now_s()
        self._nodes = 1

    def set_nodes(self, nodes: int) -> None:
        """Takes the number of nodes that share the slack."""
        self._nodes = max(1, nodes)

    def request(
        self,
        service: ids.ServiceName,
        chain: Mapping[ids.ServiceName, float],
    ) -> None:
        """Counts a request for a service and the calls expected of it.

        Args:
            service: Service that is to run it.
            chain: Mean calls to each service below.
        """
        self._advance()
        _of(self._direct, service).requests[-1] += 1
        for below, calls in chain.items():
            _of(self._induced, below).requests[-1] += calls

    def may_repeat(
        self,
        service: ids.ServiceName,
        chain: Mapping[ids.ServiceName, float],
        reserve_share: float = 0.0,
    ) -> bool:
        """Counts a repeat if there is leave for it.

        Args:
            service: Where it would go.
            chain: Mean calls that it would make to each service below.
            reserve_share: Part of the allowance left to others.
        """
        self._advance()
        direct = _of(self._direct, service)
        if not self._has_room(direct, 1.0, DIRECT_SHARE, reserve_share):
            return False
        for below, calls in chain.items():
            induced = _of(self._induced, below)
            if not self._has_room(induced, calls, INDUCED_SHARE, 0.0):
                return False
        direct.repeats[-1] += 1
        for below, calls in chain.items():
            _of(self._induced, below).repeats[-1] += calls
        return True

    def _has_room(
        self, counts: _Counts, more: float, share: float, reserve: float
    ) -> bool:
        whole = self._ratio * sum(counts.requests) + self._slack / self._nodes
        allowed = whole * share * (1.0 - reserve)
        return sum(counts.repeats) + more <= allowed

    def _advance(self) -> None:
        now_s = self._clock.now_s()
        passed = int((now_s - self._slice_began_s) / self._slice_s)
        if passed <= 0:
            return
        self._slice_began_s += passed * self._slice_s
        for counts in (*self._direct.values(), *self._induced.values()):
            for _ in range(min(passed, SLICES)):
                counts.requests.append(0.0)
                counts.repeats.append(0.0)


def _of(
    table: dict[ids.ServiceName, _Counts], service: ids.ServiceName
) -> _Counts:
    counts = table.get(service)
    if counts is None:
        counts = table[service] = _Counts()
    return counts
