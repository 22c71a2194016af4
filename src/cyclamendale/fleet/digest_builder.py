"""Makes the digests of a failure domain from the reports of its hosts."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
import itertools

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_report
from cyclamendale.fleet import hosts
from cyclamendale.fleet import known_host
from cyclamendale.overload import group_usage
from cyclamendale.overload import retry_usage

DIGESTS_PER_CALL_UPDATE = 8
"""Number of digests of which one includes the calls. Newly learned ones are
told at once: after a restart of all nodes, root requests cannot be refused for
the sake of the services they call before it is known."""


class DigestBuilder:
    """Makes digests of the own failure domain."""

    def __init__(
        self,
        clock: clocks.Clock,
        view: hosts.HostView,
        own_address: ids.PeerAddress,
        own_domain: ids.FailureDomainName,
        incarnation: int,
        usage_window_s: float,
        configuration_version: Callable[[], ids.ConfigVersion],
        calls: Callable[[], tuple[digests.DomainCall, ...]],
        store_silent_s: Callable[[], float],
    ) -> None:
        self._store_silent_s = store_silent_s
        self._view = view
        self._own_address = own_address
        self._own_domain = own_domain
        self._incarnation = incarnation
        self._usage = group_usage.GroupUsage(clock, usage_window_s)
        self._configuration_version = configuration_version
        self._calls = calls
        self._sequence = itertools.count(1)
        self._told_calls: set[tuple[ids.RouteName, ids.RouteName]] = set()

    def record(self, report: host_report.HostReport) -> None:
        """Takes the retry usage of a report."""
        self._usage.record(report.address, report.incarnation, report.retries)

    def pause(self) -> None:
        """Called while hosts report to others, so that sums are incomplete."""
        self._usage.restart()

    def build(self) -> digests.Digest:
        """Returns the next digest."""
        sequence = next(self._sequence)
        listed = list(self._view.reporting_hosts())
        usage = self._usage.sums({host.address for host in listed})
        return digests.Digest(
            self._own_address,
            self._incarnation,
            sequence,
            self._own_domain,
            self._configuration_version(),
            self._usage.is_complete,
            digests.pack_entries(_entries(listed)),
            tuple(_service_sums(listed, usage)),
            self._due_calls(sequence),
            round(self._store_silent_s() * 1000),
        )

    def _due_calls(
        self, sequence: int
    ) -> tuple[digests.DomainCall, ...] | None:
        calls = self._calls()
        edges = {(each.caller, each.callee) for each in calls}
        if (
            sequence % DIGESTS_PER_CALL_UPDATE != 1
            and edges <= self._told_calls
        ):
            return None
        self._told_calls = edges
        return calls


def _entries(
    listed: list[known_host.KnownHost],
) -> Iterator[digests.HostEntry]:
    for host in listed:
        report = host.report
        if report is None:
            continue
        upstream = report.upstream
        yield digests.HostEntry(
            report.incarnation,
            report.sequence,
            report.profile,
            upstream.at_gate if upstream else 0,
            upstream.service_time_s if upstream else 0.0,
            host.is_open,
            upstream is not None and upstream.cold_left_s > 0,
            host.is_leaving,
        )


def _service_sums(
    listed: list[known_host.KnownHost],
    usage: dict[ids.ServiceName, retry_usage.RetryUsage],
) -> Iterator[digests.ServiceSums]:
    statuses: dict[ids.ServiceName, list[host_report.UpstreamStatus]] = (
        collections.defaultdict(list)
    )
    for host in listed:
        upstream = host.report.upstream if host.report is not None else None
        if upstream is not None and host.offered_service() is not None:
            statuses[upstream.service].append(upstream)
    for name in usage.keys() | statuses.keys():
        counts = usage.get(name, retry_usage.RetryUsage(0, 0, 0))
        is_open = statuses[name]
        slots = sum(each.slots for each in is_open)
        yield digests.ServiceSums(
            name,
            counts.requests,
            counts.before,
            counts.repeats,
            len(is_open),
            digests.to_per_mille(
                sum(each.slots * each.pressure for each in is_open) / slots
            )
            if slots
            else 0,
            digests.to_per_mille(min(each.refused_share for each in is_open))
            if is_open
            else 0,
            slots,
        )
