"""What was done to a fleet, by the times of the soak."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable
import dataclasses

CONTACT_S = 3.0
"""Time after an impairment in which its hosts aren't in touch (RULES.md)."""


NOTED_WAIT_S = 0.1
"""Wait for a processor from which on a finding names it."""


@dataclasses.dataclass(frozen=True)
class Impairment:
    """Time in which something unplanned was done to hosts or to the store.

    Attributes:
        hosts: Numbers of the hosts; None for the store, which all hosts use.
        from_s: Start.
        until_s: End.
    """

    hosts: frozenset[int] | None
    from_s: float
    until_s: float


@dataclasses.dataclass(frozen=True)
class Version:
    """A configuration, confirmed at once.

    Attributes:
        number: Its version.
        published_s: When it was published.
        services: Service of each route, by prefix.
        keys: Keys of tenants.
    """

    number: int
    published_s: float
    services: dict[str, str]
    keys: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Wait:
    """Time in which a process waited for a processor of the machine.

    Attributes:
        host: Number of its host.
        from_s: Start of the time.
        until_s: End of the time.
        waited_s: How long it waited in this time.
    """

    host: int
    from_s: float
    until_s: float
    waited_s: float


@dataclasses.dataclass
class History:
    """What was done to a fleet.

    Attributes:
        impairments: What was done unplanned.
        starts_s: Times of starts, by host.
        stops_s: Times of SIGTERM, by host.
        hangups_s: Times of SIGHUP, by host.
        versions: All configurations, oldest first.
        waits: Long waits for a processor.
        late_s: Start and end of times in which the soak itself hung.
    """

    impairments: list[Impairment] = dataclasses.field(default_factory=list)
    starts_s: dict[int, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    stops_s: dict[int, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    hangups_s: dict[int, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    versions: list[Version] = dataclasses.field(default_factory=list)
    waits: list[Wait] = dataclasses.field(default_factory=list)
    late_s: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def late_between_s(self, from_s: float, until_s: float) -> float:
        """Returns how long the soak itself hung within a time."""
        return sum(
            max(0.0, min(end_s, until_s) - max(start_s, from_s))
            for start_s, end_s in self.late_s
        )

    def describe_waits(
        self, hosts: Iterable[int], from_s: float, until_s: float
    ) -> str:
        """Returns how long hosts waited for a processor around a time."""
        waited_s: dict[int, float] = collections.defaultdict(float)
        for wait in self.waits:
            if (
                wait.host in hosts
                and wait.from_s <= until_s
                and wait.until_s >= from_s
            ):
                waited_s[wait.host] += wait.waited_s
        return "".join(
            f"; host {host} waited {each_s:.2f} s for a processor"
            for host, each_s in waited_s.items()
            if each_s >= NOTED_WAIT_S
        )

    def is_impaired(
        self, host: int | None, from_s: float, until_s: float
    ) -> bool:
        """Returns whether something unplanned was done in a time.

        Args:
            host: Number of the host; None for the store.
            from_s: Start of the time.
            until_s: End of the time.
        """
        return any(
            each.from_s <= until_s
            and each.until_s >= from_s
            and (
                each.hosts is None
                if host is None
                else each.hosts is not None and host in each.hosts
            )
            for each in self.impairments
        )

    def is_in_touch(self, host: int, at_s: float) -> bool:
        """Returns whether a host is in touch, apart from the store."""
        from_s = at_s - CONTACT_S
        return not (
            self.is_impaired(host, from_s, at_s)
            or any(from_s <= each <= at_s for each in self.starts_s[host])
            or any(from_s <= each <= at_s for each in self.stops_s[host])
        )

    def is_store_stable(self, at_s: float) -> bool:
        """Returns whether the store has been sound for long enough."""
        return not self.is_impaired(None, at_s - CONTACT_S, at_s)

    def versions_until(self, at_s: float) -> list[Version]:
        """Returns the versions that were published up to a time."""
        end = bisect.bisect_right(
            self.versions, at_s, key=lambda version: version.published_s
        )
        return self.versions[:end]
