"""One host of the fleet, as a node knows it from reports and digests."""

from __future__ import annotations

import math

from cyclamendale import ids
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_report
from cyclamendale.overload import placement


class KnownHost:
    """A host of the fleet, including the own one.

    Attributes:
        address: Address on which its node listens for other nodes.
        failure_domain: Failure domain of the host.
        report: The last whole report, if any was received. Parts of it may
            be outdated by digests.
        sequence: Sequence of the newest report that its state is taken from.
        is_open: Whether its upstream accepts new requests.
        is_leaving: Whether its node is shutting down.
        last_heard_s: Clock time at which it was last known to be alive, or
            of when the host was added.
        last_report_s: Clock time of the last report from the host itself.
        candidate: Its upstream as a placement candidate.
        past_incarnations: Incarnations of its earlier processes.
        departures: The last departures of its upstreams, also those that an
            earlier process reported.
    """

    def __init__(
        self,
        address: ids.PeerAddress,
        failure_domain: ids.FailureDomainName,
        now_s: float,
    ) -> None:
        self.address = address
        self.failure_domain = failure_domain
        self.report: host_report.HostReport | None = None
        self.sequence = 0
        self.is_open = False
        self.is_leaving = False
        self.last_heard_s = now_s
        self.last_report_s = -math.inf
        self.candidate = placement.Candidate(address, failure_domain)
        self.past_incarnations: set[int] = set()
        self.departures: tuple[host_report.Departure, ...] = ()

    def is_newer(self, report: host_report.HostReport) -> bool:
        """Returns whether a report is newer than the last one.

        Incarnations have no order. One that others still tell of counts as
        past until the process that seemed to replace it is silent.
        """
        known = self.report
        if known is None:
            return True
        if report.incarnation == known.incarnation:
            return report.sequence > self.sequence
        return (
            report.incarnation not in self.past_incarnations
            or self.candidate.is_suspect
        )

    def has_profile(self, number: int) -> bool:
        """Returns whether the last report has the profile of a number."""
        report = self.report
        return (
            report is not None and report.profile % digests.PROFILES == number
        )

    def offered_service(self) -> tuple[ids.ServiceName, str] | None:
        """Returns service and id of an upstream that accepts new requests."""
        if self.report is None or self.is_leaving or not self.is_open:
            return None
        upstream = self.report.upstream
        if upstream is None:
            return None
        return upstream.service, upstream.upstream_id

    def update(self, report: host_report.HostReport, now_s: float) -> None:
        """Replaces the last report by a newer one."""
        known = self.report
        if known is not None and known.incarnation != report.incarnation:
            self.past_incarnations.add(known.incarnation)
        self.report = report
        self.departures = host_report.merge_departures(
            self.departures, report.departures
        )
        self.sequence = report.sequence
        self.failure_domain = report.failure_domain
        self.is_leaving = report.is_leaving
        self.last_heard_s = now_s
        candidate = self.candidate
        candidate.failure_domain = report.failure_domain
        candidate.is_suspect = False
        upstream = report.upstream
        self.is_open = upstream is not None and upstream.is_open
        if upstream is not None:
            if candidate.upstream_id != upstream.upstream_id:
                candidate.reset(upstream.upstream_id)
            candidate.slots = max(1, upstream.slots)
            candidate.service_time_s = upstream.service_time_s
            candidate.is_cold = upstream.cold_left_s > 0
            candidate.record_report(upstream.at_gate)

    def update_entry(self, entry: digests.HostEntry, now_s: float) -> None:
        """Applies an entry of a digest that has the same profile."""
        self.last_heard_s = now_s
        self.candidate.is_suspect = False
        if not digests.is_newer_sequence(entry.sequence, self.sequence):
            return
        self.sequence += (entry.sequence - self.sequence) % digests.SEQUENCES
        self.is_open = entry.is_open
        self.is_leaving = entry.is_leaving
        candidate = self.candidate
        candidate.service_time_s = entry.service_time_s
        candidate.is_cold = entry.is_cold
        candidate.record_report(entry.at_gate)
