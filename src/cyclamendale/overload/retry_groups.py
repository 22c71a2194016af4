"""What groups of hosts told of their requests and retries.

A group is a failure domain. Its sums come from either of its aggregators; those
of one source replace each other, and the sources of a group are not added.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.overload import retry_usage

MAX_SUM_AGE_S = 2.0
"""Age of the newest sums of a group from which its requests no longer count;
its hosts may spend their share unseen."""


class _GroupSums(msgspec.Struct):
    """Sums of a group as one source told them last."""

    usage: Mapping[ids.ServiceName, retry_usage.RetryUsage]
    is_complete: bool
    received_s: float


class RetryGroups:
    """Sums of all groups, the own one included."""

    def __init__(self, clock: clocks.Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._groups: dict[str, dict[int, _GroupSums]] = (
            collections.defaultdict(dict)
        )

    def record(
        self,
        group: str,
        source: int,
        usage: Mapping[ids.ServiceName, retry_usage.RetryUsage],
        is_complete: bool,
    ) -> None:
        """Stores the sums that a source tells of a group.

        Args:
            group: The group.
            source: Process that tells the sums.
            usage: The sums, by service.
            is_complete: Whether the source has received reports for a whole
                window.
        """
        self._groups[group][source] = _GroupSums(
            usage, is_complete, self._clock.now_s()
        )

    def services(self) -> Iterator[ids.ServiceName]:
        """Yields the services that any sums name, some more than once."""
        for sources in self._groups.values():
            for sums in sources.values():
                yield from sums.usage

    def requests(
        self, name: ids.ServiceName, own: retry_usage.RetryUsage, own_group: str
    ) -> tuple[int, int]:
        """Returns the requests of all groups in this window and before it."""
        requests = before = 0
        oldest_s = self._clock.now_s() - MAX_SUM_AGE_S
        for group, sources in self._groups.items():
            newest = max(sources.values(), key=lambda sums: sums.received_s)
            usage = newest.usage.get(name)
            if newest.received_s < oldest_s or usage is None:
                usage = retry_usage.NO_USAGE
            if group == own_group:
                usage = _max_usage(usage, own)
            requests += usage.requests
            before += usage.before
        if own_group not in self._groups:
            requests += own.requests
            before += own.before
        return requests, before

    def repeats(self, name: ids.ServiceName) -> int:
        """Returns the repeats of all groups; never too few."""
        return sum(
            self._group_repeats(sources.values(), name)
            for sources in self._groups.values()
        )

    def discard_expired(self) -> None:
        """Removes sums that are older than a window."""
        oldest_s = self._clock.now_s() - self._window_s
        for group, sources in tuple(self._groups.items()):
            for source, sums in tuple(sources.items()):
                if sums.received_s < oldest_s:
                    del sources[source]
            if not sources:
                del self._groups[group]

    def _group_repeats(
        self, told: Iterable[_GroupSums], name: ids.ServiceName
    ) -> int:
        """Returns the repeats of a group.

        A source that started lately has not heard of all repeats, so those
        told by others before are added to its own.
        """
        sources = sorted(told, key=lambda sums: -sums.received_s)
        repeats = [_repeats_of(sums, name) for sums in sources]
        oldest_s = self._clock.now_s() - MAX_SUM_AGE_S
        complete = [
            count
            for count, sums in zip(repeats, sources, strict=True)
            if sums.is_complete and sums.received_s >= oldest_s
        ]
        if complete:
            return max(complete)
        return repeats[0] + max(repeats[1:], default=0)


def _max_usage(
    first: retry_usage.RetryUsage, second: retry_usage.RetryUsage
) -> retry_usage.RetryUsage:
    return retry_usage.RetryUsage(
        max(first.requests, second.requests),
        max(first.before, second.before),
        max(first.repeats, second.repeats),
    )


def _repeats_of(sums: _GroupSums, name: ids.ServiceName) -> int:
    usage = sums.usage.get(name)
    return usage.repeats if usage is not None else 0
