"""Typed events, a hybrid logical clock and a bounded event log."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
import heapq
from typing import Any

import msgspec

from cyclamendale import clocks
from cyclamendale import ids

MAX_CLOCK_AHEAD_MS = 600_000
"""Largest lead of a received stamp over this host's clock.

Stamps further ahead are not adopted, so that one host with a wrong clock
does not move the time of all others.
"""

DEFAULT_RING_EVENTS = 4096
"""Capacity of each ring of events that a node keeps in memory."""


class HlcStamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Hybrid logical clock stamp: wall time and a logical counter."""

    wall_ms: int
    counter: int


class HybridLogicalClock:
    """Issues stamps that respect causality between communicating processes."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last = HlcStamp(0, 0)

    def tick(self) -> HlcStamp:
        """Returns a stamp later than all stamps issued or observed before."""
        wall_ms = int(self._clock.wall_s() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = HlcStamp(wall_ms, 0)
        else:
            self._last = HlcStamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: HlcStamp) -> None:
        """Advances past a stamp received from another process."""
        if stamp <= self._last:
            return
        wall_ms = int(self._clock.wall_s() * 1000)
        if stamp.wall_ms <= wall_ms + MAX_CLOCK_AHEAD_MS:
            self._last = stamp


class Event(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of events; one subclass for each kind of event."""

    request: ids.RequestId | None = None
    customer: ids.CustomerId | None = None
    file: ids.IntentFileName | None = None


class NodeStarted(Event, frozen=True, kw_only=True):
    """A node process started to serve."""

    failure_domain: ids.FailureDomainName


class NodeStopping(Event, frozen=True, kw_only=True):
    """A node process started a graceful shutdown."""


class RequestServed(Event, frozen=True, kw_only=True):
    """A caller received a complete response."""

    route: ids.RouteName
    status: int
    duration_ms: float


class RequestRefused(Event, frozen=True, kw_only=True):
    """A caller received a typed refusal."""

    reason: str
    execution: str
    route: ids.RouteName | None = None
    version: ids.ConfigVersion | None = None


class ConfigurationInForce(Event, frozen=True, kw_only=True):
    """A configuration version took effect on this node."""

    version: ids.ConfigVersion


class UpstreamChanged(Event, frozen=True, kw_only=True):
    """The node's own upstream announced a new state."""

    service: ids.ServiceName
    state: str


class MemberChanged(Event, frozen=True, kw_only=True):
    """Another node's membership state changed."""

    member: ids.NodeId
    state: str


class LeaseChanged(Event, frozen=True, kw_only=True):
    """This node acquired, lost or released a quota shard lease."""

    shard: ids.ShardId
    epoch: ids.Epoch
    state: str


class StoreReachabilityChanged(Event, frozen=True, kw_only=True):
    """The platform's table became reachable or unreachable."""

    reachable: bool


class RecordedEvent(msgspec.Struct, frozen=True):
    """An event with its stamp and the node that recorded it."""

    stamp: HlcStamp
    node: ids.NodeId
    kind: str
    fields: dict[str, Any]


class EventLog:
    """Bounded in-memory log of the events of one node.

    Events of single requests have a ring of their own, so that traffic
    does not evict the rarer changes of state.
    """

    def __init__(
        self,
        node: ids.NodeId,
        hlc: HybridLogicalClock,
        capacity: int = DEFAULT_RING_EVENTS,
    ) -> None:
        self._node = node
        self.hlc = hlc
        self._state_changes: collections.deque[tuple[HlcStamp, Event]] = (
            collections.deque(maxlen=capacity)
        )
        self._request_events: collections.deque[tuple[HlcStamp, Event]] = (
            collections.deque(maxlen=capacity)
        )
        self._listeners: list[Callable[[Event], None]] = []

    def record(self, event: Event) -> None:
        """Stamps and stores an event; a full ring evicts its oldest event."""
        ring = self._request_events if event.request else self._state_changes
        ring.append((self.hlc.tick(), event))
        for listener in self._listeners:
            listener(event)

    def subscribe(self, listener: Callable[[Event], None]) -> None:
        """Calls `listener` with every event recorded from now on."""
        self._listeners.append(listener)

    def recorded_events(self) -> Iterator[RecordedEvent]:
        """Yields the stored events, oldest first."""
        merged = heapq.merge(
            tuple(self._state_changes),
            tuple(self._request_events),
            key=lambda entry: entry[0],
        )
        for stamp, event in merged:
            fields = msgspec.to_builtins(event)
            kind = fields.pop("type")
            yield RecordedEvent(stamp, self._node, kind, fields)
