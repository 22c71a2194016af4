"""Sums of the retry usage of all processes of a group of hosts."""

from __future__ import annotations

import collections
from collections.abc import Mapping, Set

import msgspec

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.overload import retry_usage


class _Reported(msgspec.Struct):
    """Last usage reported by one process."""

    usage: Mapping[ids.ServiceName, retry_usage.RetryUsage]
    received_s: float


class GroupUsage:
    """Usage of the hosts of one group, as reported by each."""

    def __init__(self, clock: clocks.Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._started_s = clock.now_s()
        self._reported: dict[ids.PeerAddress, dict[int, _Reported]] = (
            collections.defaultdict(dict)
        )

    @property
    def is_complete(self) -> bool:
        """Returns whether reports were received for a whole window."""
        return self._clock.now_s() - self._started_s >= self._window_s

    def restart(self) -> None:
        """Starts the window anew; called while hosts report to others."""
        self._started_s = self._clock.now_s()

    def record(
        self,
        host: ids.PeerAddress,
        incarnation: int,
        usage: Mapping[ids.ServiceName, retry_usage.RetryUsage],
    ) -> None:
        """Stores the usage reported by a process; the newest is told last."""
        processes = self._reported[host]
        processes.pop(incarnation, None)
        processes[incarnation] = _Reported(usage, self._clock.now_s())

    def sums(
        self, live: Set[ids.PeerAddress]
    ) -> dict[ids.ServiceName, retry_usage.RetryUsage]:
        """Returns the usage of the group, by service.

        Args:
            live: Hosts whose requests count. The repeats of all processes
                count for a window after their last report.
        """
        self._discard_expired()
        totals: dict[ids.ServiceName, list[int]] = collections.defaultdict(
            lambda: [0, 0, 0]
        )
        for host, processes in self._reported.items():
            if host in live:
                newest = next(reversed(processes.values()))
                for name, usage in newest.usage.items():
                    totals[name][0] += usage.requests
                    totals[name][1] += usage.before
            for reported in processes.values():
                for name, usage in reported.usage.items():
                    totals[name][2] += usage.repeats
        return {
            name: retry_usage.RetryUsage(*counts)
            for name, counts in totals.items()
        }

    def _discard_expired(self) -> None:
        oldest_s = self._clock.now_s() - self._window_s
        for host, processes in tuple(self._reported.items()):
            for incarnation, reported in tuple(processes.items()):
                if reported.received_s < oldest_s:
                    del processes[incarnation]
            if not processes:
                del self._reported[host]
