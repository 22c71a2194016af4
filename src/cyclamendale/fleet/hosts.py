"""What a node knows of the other hosts of its fleet."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.overload import call_frequency
from cyclamendale.overload import fleet_retries
from cyclamendale.overload import placement
from cyclamendale.quotas import fleet_levels

REPORT_INTERVAL_S = 0.25
"""Time between two reports to each host of a small fleet; the delay with
which pressure, demand and a new configuration's version travel."""

INTERVAL_PER_HOST_S = 0.006
"""The same per known host. A node hears each host once an interval, so
about 160 reports a second at the most, nearly all of them in bundles."""

SUSPECT_AFTER_REPORTS = 3.0
"""Missed reports after which a host of the own failure domain is tried
last."""

FAR_SUSPECT_AFTER_REPORTS = 5.0
"""The same for hosts of other domains, whose reports pass two relays, each
of which may add an interval."""

LOST_AFTER_S = 5.0
"""Silence after which a host's upstream is not a candidate any more; more
than the pauses of hosts that come back with their state."""

DEMAND_KEPT_S = 60.0
"""Silence after which a host's share of the quotas is taken back. Longer
than any cut that was planned for: a share that was freed while its owner
still spends it would be spent twice."""

FORGET_AFTER_S = 600.0
"""Silence after which a host is sent no reports any more."""


class UpstreamStatus(msgspec.Struct, frozen=True):
    """What a host reports of its upstream.

    Attributes:
        upstream_id: Id of the upstream process.
        service: Its service.
        slots: Requests that it runs at once.
        is_open: Whether it takes new requests.
        cold_left_s: How much longer it is slow after its start.
        at_gate: Requests in service and waiting.
        pressure: How strongly roots should be refused.
        service_time_s: Mean time of a request.
        refused_share: What part it refuses while it has room.
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


class HostReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a node says of itself to the others.

    Attributes:
        address: Where the node listens for others.
        incarnation: Random number of the process.
        sequence: Rises with each report of a process.
        failure_domain: Failure domain of the host.
        configuration_version: Version in force; 0 before the first.
        is_leaving: Whether the node is shutting down.
        upstream: Its upstream, once that announced itself.
        spendings: Demand and admissions by customer.
        frequencies: What the node learned of calls; None in most reports.
        retries: Requests and repeats by service.
        is_introduction: Whether an answer is wanted at once.
    """

    address: ids.PeerAddress
    incarnation: int
    sequence: int
    failure_domain: ids.FailureDomainName
    configuration_version: ids.ConfigVersion
    is_leaving: bool = False
    upstream: UpstreamStatus | None = None
    spendings: dict[ids.CustomerId, fleet_levels.Spending] = {}
    frequencies: list[call_frequency.Frequency] | None = None
    retries: dict[ids.ServiceName, fleet_retries.RetryUsage] = {}
    is_introduction: bool = False


class KnownHost:
    """Another host, or the own one.

    Attributes:
        address: Where its node listens for others.
        failure_domain: Its failure domain.
        report: The last report, if any was heard.
        heard_s: Clock time of the last report; of the first mention
            before that.
        candidate: Its upstream as a candidate of placement.
    """

    def __init__(
        self,
        address: ids.PeerAddress,
        failure_domain: ids.FailureDomainName,
        now_s: float,
    ) -> None:
        self.address = address
        self.failure_domain = failure_domain
        self.report: HostReport | None = None
        self.heard_s = now_s
        self.candidate = placement.Candidate(address, failure_domain)
        self.past_incarnations: set[int] = set()

    def is_newer(self, report: HostReport) -> bool:
        """Returns whether a report is not older than what is known."""
        known = self.report
        if known is None:
            return True
        if report.incarnation == known.incarnation:
            return report.sequence > known.sequence
        return report.incarnation not in self.past_incarnations

    def take(self, report: HostReport, now_s: float) -> None:
        """Takes a newer report."""
        known = self.report
        if known is not None and known.incarnation != report.incarnation:
            self.past_incarnations.add(known.incarnation)
        self.report = report
        self.failure_domain = report.failure_domain
        self.heard_s = now_s
        candidate = self.candidate
        candidate.failure_domain = report.failure_domain
        candidate.is_suspect = False
        upstream = report.upstream
        if upstream is not None:
            if candidate.upstream_id != upstream.upstream_id:
                candidate.reset(upstream.upstream_id)
            candidate.slots = max(1, upstream.slots)
            candidate.service_time_s = upstream.service_time_s
            candidate.is_cold = upstream.cold_left_s > 0
            candidate.record_report(upstream.at_gate)


class HostView:
    """All known hosts, and what follows from their reports."""

    def __init__(
        self,
        clock: clocks.Clock,
        own: ids.PeerAddress,
        own_domain: ids.FailureDomainName,
    ) -> None:
        self._clock = clock
        self._own = own
        self._own_domain = own_domain
        self._hosts: dict[ids.PeerAddress, KnownHost] = {}
        self._candidates: dict[ids.ServiceName, list[placement.Candidate]] = {}
        self._pressures: dict[ids.ServiceName, float] = {}
        self._refused_shares: dict[ids.ServiceName, float] = {}
        self.mention(own, own_domain)

    def mention(
        self, address: ids.PeerAddress, domain: ids.FailureDomainName
    ) -> bool:
        """Adds a host that is known by name only; False if it was known."""
        if address in self._hosts:
            return False
        self._hosts[address] = KnownHost(address, domain, self._clock.now_s())
        return True

    def hear(self, report: HostReport) -> bool:
        """Takes a report; False if it is older than what is known."""
        self.mention(report.address, report.failure_domain)
        host = self._hosts[report.address]
        if not host.is_newer(report):
            return False
        before = host.report
        host.take(report, self._clock.now_s())
        if _offer(before) != _offer(report):
            self._rebuild()
        return True

    def refresh(self) -> None:
        """Follows the passing of time; called once a report interval."""
        now_s = self._clock.now_s()
        interval_s = self.report_interval_s()
        for host in tuple(self._hosts.values()):
            silent_s = now_s - host.heard_s
            if host.address == self._own:
                continue
            missed = (
                SUSPECT_AFTER_REPORTS
                if host.failure_domain == self._own_domain
                else FAR_SUSPECT_AFTER_REPORTS
            )
            host.candidate.is_suspect = silent_s > missed * interval_s
            if silent_s > FORGET_AFTER_S:
                del self._hosts[host.address]
        self._rebuild()

    def report_interval_s(self) -> float:
        """Returns the time between two reports to each host."""
        return max(REPORT_INTERVAL_S, len(self._hosts) * INTERVAL_PER_HOST_S)

    def others(self) -> Iterator[KnownHost]:
        """Yields all hosts but the own one."""
        for address, host in self._hosts.items():
            if address != self._own:
                yield host

    def near_others(self) -> Iterator[KnownHost]:
        """Yields the other hosts of the own failure domain."""
        for host in self.others():
            if host.failure_domain == self._own_domain:
                yield host

    def other_domains(self) -> Iterator[list[KnownHost]]:
        """Yields the hosts of each other failure domain, by address.

        Hosts that are leaving or were never heard of are left out.
        """
        domains: dict[ids.FailureDomainName, list[KnownHost]] = (
            collections.defaultdict(list)
        )
        for host in self.others():
            report = host.report
            if host.failure_domain != self._own_domain and (
                report is not None and not report.is_leaving
            ):
                domains[host.failure_domain].append(host)
        for found in domains.values():
            yield sorted(found, key=lambda host: host.address)

    def is_alone_in_domain(self) -> bool:
        """Returns whether no other host of the own domain is heard of."""
        return not any(
            not host.candidate.is_suspect
            and host.report is not None
            and not host.report.is_leaving
            for host in self.near_others()
        )

    def candidates(
        self, service: ids.ServiceName
    ) -> Sequence[placement.Candidate]:
        """Returns the upstreams of a service that take new requests."""
        return self._candidates.get(service, ())

    def candidate_at(
        self, address: ids.PeerAddress
    ) -> placement.Candidate | None:
        """Returns the candidate at a host, if the host is known."""
        host = self._hosts.get(address)
        return host.candidate if host else None

    def pressure(self, service: ids.ServiceName) -> float:
        """Returns the mean pressure of a service's open upstreams."""
        return self._pressures.get(service, 0.0)

    def refused_share(self, service: ids.ServiceName) -> float:
        """Returns what the best of a service's upstreams refuses."""
        return self._refused_shares.get(service, 0.0)

    def live_others(self) -> set[ids.PeerAddress]:
        """Returns the other hosts heard of lately."""
        return {
            host.address
            for host in self.others()
            if not host.candidate.is_suspect
        }

    def gone_others(self) -> set[ids.PeerAddress]:
        """Returns the hosts whose part of the quotas is taken back."""
        now_s = self._clock.now_s()
        return {
            host.address
            for host in self.others()
            if now_s - host.heard_s > DEMAND_KEPT_S
            or (host.report is not None and host.report.is_leaving)
        }

    def rank_in_domain(self) -> int:
        """Returns how many live hosts of the own domain come before."""
        return sum(
            1
            for host in self.near_others()
            if host.report is not None
            and not host.candidate.is_suspect
            and not host.report.is_leaving
            and host.address < self._own
        )

    def _rebuild(self) -> None:
        now_s = self._clock.now_s()
        candidates: dict[ids.ServiceName, list[placement.Candidate]] = (
            collections.defaultdict(list)
        )
        statuses: dict[ids.ServiceName, list[UpstreamStatus]] = (
            collections.defaultdict(list)
        )
        for host in self._hosts.values():
            offered = _offer(host.report)
            if offered is None:
                continue
            if host.address != self._own and (
                now_s - host.heard_s > LOST_AFTER_S
            ):
                continue
            service, _ = offered
            candidates[service].append(host.candidate)
            if host.report is not None and host.report.upstream is not None:
                statuses[service].append(host.report.upstream)
        self._candidates = candidates
        self._pressures = {
            service: _mean(status.pressure for status in each)
            for service, each in statuses.items()
        }
        self._refused_shares = {
            service: min(status.refused_share for status in each)
            for service, each in statuses.items()
        }


def _offer(
    report: HostReport | None,
) -> tuple[ids.ServiceName, str] | None:
    """Returns service and id of an upstream that takes new requests."""
    if report is None or report.is_leaving:
        return None
    upstream = report.upstream
    if upstream is None or not upstream.is_open:
        return None
    return upstream.service, upstream.upstream_id


def _mean(values: Iterable[float]) -> float:
    collected = list(values)
    return sum(collected) / len(collected)
