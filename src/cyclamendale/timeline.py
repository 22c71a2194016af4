"""Merges the events and the status of several nodes.

Events are put in causal order by their hybrid logical clock stamps: an
event that was caused by another one, on any node, has a later stamp.
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
    """Filters for events; all filters that are set must match.

    Attributes:
        request: Selects events of this root request.
        customer: Selects events of this customer.
        file: Selects events that this intent file decided.
        since_ms: Selects events from this wall time on, in ms since the
            epoch.
        limit_events: Maximum number of events; the newest are kept.
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
        truncated: Whether earlier events were dropped because of the limit.
    """

    events: list[events.RecordedEvent]
    unreachable: list[ids.NodeId] = []
    truncated: bool = False


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one node, as reported by the node itself.

    Attributes:
        node: The node.
        failure_domain: Its failure domain.
        version: Configuration version in force on it.
        confirmed_age_s: Time since the version was last confirmed to be
            the latest; None if it never was.
        leaving: Whether it is shutting down.
        members: Number of nodes that it considers alive or suspect, itself
            included.
        service: Service of its host's upstream, if it has one.
        upstream_address: Address on which that upstream listens.
        upstream_state: State that the upstream announced last.
        in_flight: Number of requests that were admitted to the upstream and
            are not yet answered completely.
        queued: Number of requests that wait for the upstream.
        held_shards: Number of quota shards whose lease the node holds.
        table_reachable: Whether the platform's table answered the last
            operation; None before the first one.
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
    """Rollout state of a configuration version in a failure domain."""

    IN_FORCE = "in-force"
    """In force on every known node of the failure domain."""
    NOT_YET_REACHED = "not-yet-reached"
    """At least one known node has an earlier version."""
    UNKNOWN = "unknown"
    """At least one node, or the whole failure domain, was not reachable."""


class FailureDomainStatus(msgspec.Struct, frozen=True):
    """Rollout of a configuration version in one failure domain.

    Attributes:
        failure_domain: The failure domain.
        reach: Rollout state of the requested version.
        lowest_version: Lowest version in force on a reachable node; None
            if no node was reachable.
    """

    failure_domain: ids.FailureDomainName
    reach: Reach
    lowest_version: ids.ConfigVersion | None = None


class FleetStatus(msgspec.Struct, frozen=True):
    """Status of all reachable nodes.

    Attributes:
        version: The version that the failure domains are compared with.
        nodes: Status of each reachable node, ordered by node id.
        unreachable: Nodes that did not answer.
        failure_domains: Rollout of `version` in each failure domain.
    """

    version: ids.ConfigVersion
    nodes: list[NodeStatus]
    unreachable: list[ids.NodeId]
    failure_domains: list[FailureDomainStatus]


class ConfigurationInForce(msgspec.Struct, frozen=True):
    """The configuration entries in force on one node, with their files."""

    node: ids.NodeId
    version: ids.ConfigVersion
    confirmed_age_s: float | None
    entries: list[explain.ExplainedEntry]


def causal_sort_key(
    event: events.RecordedEvent,
) -> tuple[events.HlcStamp, ids.NodeId]:
    """Returns the key that sorts events into the timeline."""
    return event.stamp, event.node


def filter_events(
    recorded: Iterable[events.RecordedEvent], query: TimelineQuery
) -> Iterator[events.RecordedEvent]:
    """Yields the events that match a query.

    Args:
        recorded: Events in any order.
        query: The filters; the limit is not applied here.
    """
    selected = _filter_since(recorded, query.since_ms)
    for field in ("request", "customer", "file"):
        value = getattr(query, field)
        if value is not None:
            selected = _filter_field(selected, field, value)
    return selected


def _filter_since(
    recorded: Iterable[events.RecordedEvent], since_ms: int
) -> Iterator[events.RecordedEvent]:
    return (event for event in recorded if event.stamp.wall_ms >= since_ms)


def _filter_field(
    recorded: Iterable[events.RecordedEvent], field: str, value: str
) -> Iterator[events.RecordedEvent]:
    return (event for event in recorded if event.fields.get(field) == value)


class TimelineMerger:
    """Merges events as they arrive and keeps the newest."""

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
            truncated: Whether the node dropped earlier events.
        """
        added = sorted(recorded, key=causal_sort_key)
        merged = list(heapq.merge(self._kept, added, key=causal_sort_key))
        self._truncated |= truncated or len(merged) > self._limit_events
        self._kept = merged[-self._limit_events :]

    def merged(self, unreachable: Iterable[ids.NodeId]) -> MergedTimeline:
        """Returns the merged timeline.

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
    target_version: ids.ConfigVersion | None = None,
) -> FleetStatus:
    """Compares the versions in force in each failure domain.

    Args:
        nodes: Status of the reachable nodes.
        unreachable: The other known nodes, with their failure domains.
        failure_domains: Failure domains that the configuration defines;
            those of the nodes are added.
        target_version: Version to compare with; the highest one in force
            if None.
    """
    reached = sorted(nodes, key=lambda status: status.node)
    unreachable_nodes = sorted(set(unreachable))
    versions: dict[ids.FailureDomainName, list[ids.ConfigVersion]] = (
        collections.defaultdict(list)
    )
    for status in reached:
        versions[status.failure_domain].append(status.version)
    if target_version is None:
        target_version = max(
            (status.version for status in reached),
            default=ids.ConfigVersion(0),
        )
    unreachable_domains = {domain for _, domain in unreachable_nodes}
    names = {*failure_domains, *versions, *unreachable_domains}
    return FleetStatus(
        target_version,
        reached,
        [node for node, _ in unreachable_nodes],
        [
            _make_domain_status(
                name,
                versions[name],
                name in unreachable_domains,
                target_version,
            )
            for name in sorted(names)
        ],
    )


def _make_domain_status(
    name: ids.FailureDomainName,
    versions: list[ids.ConfigVersion],
    has_unreachable: bool,
    target_version: ids.ConfigVersion,
) -> FailureDomainStatus:
    if not versions:
        return FailureDomainStatus(name, Reach.UNKNOWN)
    lowest = min(versions)
    if lowest < target_version:
        return FailureDomainStatus(name, Reach.NOT_YET_REACHED, lowest)
    reach = Reach.UNKNOWN if has_unreachable else Reach.IN_FORCE
    return FailureDomainStatus(name, reach, lowest)
