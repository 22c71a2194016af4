"""Time line and status merged over processes.

Events are put in causal order by their hybrid logical clock stamps: what
an event caused, on any node, has a later stamp.
"""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable, Iterator
import enum
import heapq

import msgspec

from cyclamendale import events
from cyclamendale import ids
from cyclamendale.intents import explain

DEFAULT_LIMIT_EVENTS = 1000
MAX_LIMIT_EVENTS = 10_000


class TimelineQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Which events are wanted; each filter that is set must match.

    Attributes:
        request: Events of this root request.
        customer: Events of this customer.
        file: Events that this intent file decided.
        since_ms: Events from this wall time on, in ms since the epoch.
        limit_events: The newest events that are kept.
    """

    request: ids.RequestId | None = None
    customer: ids.CustomerId | None = None
    file: ids.IntentFileName | None = None
    since_ms: int = 0
    limit_events: int = DEFAULT_LIMIT_EVENTS


class MergedTimeline(msgspec.Struct, frozen=True):
    """Events of several processes in causal order.

    Attributes:
        events: The events, earliest first.
        unreachable: Nodes whose events are missing.
        truncated: Whether earlier events were left out for the limit.
    """

    events: list[events.RecordedEvent]
    unreachable: list[ids.NodeId] = []
    truncated: bool = False


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What one node says of itself.

    Attributes:
        node: The node.
        failure_domain: Its failure domain.
        version: Configuration version in force on it.
        confirmed_age_s: Time since that was known to be the latest; None
            when it never was.
        leaving: Whether it is shutting down.
        members: Nodes that it knows to be alive, itself included.
        service: Service of its host's upstream, if it has one.
        upstream_address: Where that upstream listens.
        upstream_state: State that the upstream announced.
        in_flight: Requests that the upstream runs now.
        queued: Requests that wait for the upstream.
        held_shards: Quota shards whose lease the node holds.
        table_reachable: Whether the platform's table answered last time;
            None when it was not asked yet.
    """

    node: ids.NodeId
    failure_domain: ids.FailureDomainName
    version: ids.ConfigVersion
    confirmed_age_s: float | None = None
    leaving: bool = False
    members: int = 0
    service: ids.ServiceName | None = None
    upstream_address: str | None = None
    upstream_state: str | None = None
    in_flight: int = 0
    queued: int = 0
    held_shards: int = 0
    table_reachable: bool | None = None


class Reach(enum.Enum):
    """How far a configuration version came in a failure domain."""

    IN_FORCE = "in-force"
    """On every node of the failure domain that is known."""
    NOT_YET_REACHED = "not-yet-reached"
    """Some known node has an earlier version."""
    UNKNOWN = "unknown"
    """Some node, or the whole failure domain, could not be asked."""


class FailureDomainStatus(msgspec.Struct, frozen=True):
    """Spread of a configuration version in one failure domain.

    Attributes:
        failure_domain: The failure domain.
        reach: How far the wanted version came.
        lowest_version: Lowest version in force on a reached node; None
            when none was reached.
    """

    failure_domain: ids.FailureDomainName
    reach: Reach
    lowest_version: ids.ConfigVersion | None = None


class FleetStatus(msgspec.Struct, frozen=True):
    """Status of all nodes that could be asked.

    Attributes:
        version: The version that the failure domains are compared with.
        nodes: Status of each reached node, in order of their ids.
        unreachable: Nodes that could not be asked.
        failure_domains: Spread of `version`.
    """

    version: ids.ConfigVersion
    nodes: list[NodeStatus]
    unreachable: list[ids.NodeId]
    failure_domains: list[FailureDomainStatus]


class ConfigurationInForce(msgspec.Struct, frozen=True):
    """The entries in force on one node, with their files."""

    node: ids.NodeId
    version: ids.ConfigVersion
    confirmed_age_s: float | None
    entries: list[explain.ExplainedEntry]


def causal_sort_key(
    event: events.RecordedEvent,
) -> tuple[events.HlcStamp, ids.NodeId]:
    """Returns the place of an event in the time line."""
    return event.stamp, event.node


def filter_events(
    recorded: Iterable[events.RecordedEvent], query: TimelineQuery
) -> Iterator[events.RecordedEvent]:
    """Yields the events that a query asks for.

    Args:
        recorded: Events in any order.
        query: The filters; its limit is not applied here.
    """
    chosen = _filter_since(recorded, query.since_ms)
    for field in ("request", "customer", "file"):
        wanted = getattr(query, field)
        if wanted is not None:
            chosen = _filter_field(chosen, field, wanted)
    return chosen


def _filter_since(
    recorded: Iterable[events.RecordedEvent], since_ms: int
) -> Iterator[events.RecordedEvent]:
    return (event for event in recorded if event.stamp.wall_ms >= since_ms)


def _filter_field(
    recorded: Iterable[events.RecordedEvent], field: str, wanted: str
) -> Iterator[events.RecordedEvent]:
    return (event for event in recorded if event.fields.get(field) == wanted)


class TimelineMerger:
    """Merges events as they arrive, and keeps the newest."""

    def __init__(self, limit_events: int) -> None:
        self._limit_events = limit_events
        self._kept: list[events.RecordedEvent] = []
        self._truncated = False

    def add(
        self, recorded: Iterable[events.RecordedEvent], truncated: bool = False
    ) -> None:
        """Adds the events of one node.

        Args:
            recorded: Its events, in any order.
            truncated: Whether the node left earlier ones out.
        """
        added = sorted(recorded, key=causal_sort_key)
        merged = list(heapq.merge(self._kept, added, key=causal_sort_key))
        self._truncated |= truncated or len(merged) > self._limit_events
        self._kept = merged[-self._limit_events :]

    def merged(self, unreachable: Iterable[ids.NodeId]) -> MergedTimeline:
        """Returns the time line.

        Args:
            unreachable: Nodes whose events are missing.
        """
        return MergedTimeline(
            self._kept, sorted(set(unreachable)), self._truncated
        )


def summarize_fleet(
    nodes: Iterable[NodeStatus],
    unreachable: Iterable[tuple[ids.NodeId, ids.FailureDomainName]],
    failure_domains: Collection[ids.FailureDomainName],
    wanted: ids.ConfigVersion | None = None,
) -> FleetStatus:
    """Compares the versions in force, failure domain by failure domain.

    Args:
        nodes: Status of the reached nodes.
        unreachable: The other known nodes, and where they are.
        failure_domains: Failure domains that the configuration defines;
            those of nodes are added.
        wanted: Version to compare with; the highest seen if None.
    """
    reached = sorted(nodes, key=lambda status: status.node)
    missing = sorted(set(unreachable))
    versions: dict[ids.FailureDomainName, list[ids.ConfigVersion]] = (
        collections.defaultdict(list)
    )
    for status in reached:
        versions[status.failure_domain].append(status.version)
    if wanted is None:
        wanted = max(
            (status.version for status in reached),
            default=ids.ConfigVersion(0),
        )
    unreachable_domains = {domain for _, domain in missing}
    names = {*failure_domains, *versions, *unreachable_domains}
    return FleetStatus(
        wanted,
        reached,
        [node for node, _ in missing],
        [
            _make_domain_status(
                name, versions[name], name in unreachable_domains, wanted
            )
            for name in sorted(names)
        ],
    )


def _make_domain_status(
    name: ids.FailureDomainName,
    versions: list[ids.ConfigVersion],
    has_unreachable: bool,
    wanted: ids.ConfigVersion,
) -> FailureDomainStatus:
    if not versions:
        return FailureDomainStatus(name, Reach.UNKNOWN)
    lowest = min(versions)
    if lowest < wanted:
        return FailureDomainStatus(name, Reach.NOT_YET_REACHED, lowest)
    reach = Reach.UNKNOWN if has_unreachable else Reach.IN_FORCE
    return FailureDomainStatus(name, reach, lowest)
