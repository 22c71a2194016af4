"""What a node reports of its host to the other nodes."""

from __future__ import annotations

import msgspec

from cyclamendale import ids
from cyclamendale.overload import call_frequency
from cyclamendale.overload import retry_usage

MAX_DEPARTURES = 3
"""Departures of a host's upstreams that other nodes remember."""


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Status of a host's upstream.

    Attributes:
        upstream_id: Id of the upstream process.
        service: Service that the upstream runs.
        slots: Requests that it runs concurrently.
        is_open: Whether it accepts new requests.
        cold_left_s: Remaining time of its cold start.
        at_gate: Requests in service and queued.
        pressure: How strongly root requests should be refused.
        service_time_s: Mean service time of a request.
        refused_share: Fraction of requests that it refuses while it has
            capacity.
    """

    upstream_id: str
    service: ids.ServiceName
    slots: int
    is_open: bool
    cold_left_s: float
    at_gate: int
    pressure: float
    service_time_s: float
    refused_share: float = 0.0


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """An upstream process that announced that it leaves.

    Attributes:
        upstream_id: Id of the process; a restarted one may reuse it.
        started_at_ms: Its start time, Unix milliseconds. Processes of the id
            that started earlier have departed too.
    """

    upstream_id: str
    started_at_ms: int


class HostReport(msgspec.Struct, frozen=True, kw_only=True):
    """State that a node reports to the other nodes.

    Attributes:
        address: Address on which the node listens for other nodes.
        incarnation: Random number that identifies the process.
        sequence: Increases with each report of a process.
        failure_domain: Failure domain of the host.
        configuration_version: Active version; 0 before the first.
        is_leaving: Whether the node is shutting down.
        upstream: Status of its upstream, once it has announced itself.
        frequencies: Call frequencies that the node learned; None in most
            reports.
        retries: Requests and retries by service.
        is_introduction: Whether the receiver should reply at once.
        profile: Number that changes with what digests do not tell of the
            upstream.
        departures: The last departures of the host's upstreams, which its
            next process asks other nodes for if the store is away.
    """

    address: ids.PeerAddress
    incarnation: int
    sequence: int
    failure_domain: ids.FailureDomainName
    configuration_version: ids.ConfigVersion
    is_leaving: bool = False
    upstream: UpstreamStatus | None = None
    frequencies: list[call_frequency.Frequency] | None = None
    retries: dict[ids.ServiceName, retry_usage.RetryUsage] = {}
    is_introduction: bool = False
    profile: int = 0
    departures: tuple[Departure, ...] = ()


def profile_key(
    upstream: UpstreamStatus | None, departures: tuple[Departure, ...]
) -> tuple[object, ...]:
    """Returns what digests do not tell of a host's upstreams."""
    if upstream is None:
        return (departures,)
    return upstream.upstream_id, upstream.service, upstream.slots, departures


def merge_departures(
    known: tuple[Departure, ...], added: tuple[Departure, ...]
) -> tuple[Departure, ...]:
    """Returns the last departures, each id once, later added ones last."""
    latest = {each.upstream_id: each for each in known}
    for each in added:
        previous = latest.pop(each.upstream_id, each)
        latest[each.upstream_id] = max(
            previous, each, key=lambda departure: departure.started_at_ms
        )
    return tuple(latest.values())[-MAX_DEPARTURES:]
