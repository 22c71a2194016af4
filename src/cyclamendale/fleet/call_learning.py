"""Maintains the call graph of the services from what the nodes learn.

Each node estimates how often the routes of its own upstream call other routes.
Aggregators take the medians over the hosts of their failure domain, and each
node those over the domains.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Mapping

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_report
from cyclamendale.overload import call_frequency
from cyclamendale.proxy import messages

FIT_INTERVAL_S = 0.5
"""Interval over which request starts and calls are compared."""


class CallGraphLearner:
    """Estimates calls of the own upstream and merges those of other nodes.

    Attributes:
        frequencies: Call frequencies observed at the own upstream.
        graph: Call graph of the fleet.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own_address: ids.PeerAddress,
        own_domain: ids.FailureDomainName,
        own_service: Callable[[], ids.ServiceName],
    ) -> None:
        self._clock = clock
        self._own_address = own_address
        self._own_domain = own_domain
        self._own_service = own_service
        self._timer: clocks.DelayedCall | None = None
        self.frequencies = call_frequency.CallFrequencyEstimator()
        self.graph = call_frequency.CallGraph()
        self._domain_graph = call_frequency.CallGraph()

    def start(self) -> None:
        """Starts the periodic estimation."""
        self._timer = clocks.call_at_tick(
            self._clock, FIT_INTERVAL_S, self._end_interval
        )

    def stop(self) -> None:
        """Stops the periodic estimation."""
        clocks.cancel(self._timer)

    def record_run(self, request: messages.UpstreamRequest) -> None:
        """Counts a request that the own upstream started to run."""
        self.frequencies.record_run(request.route)

    def reported_frequencies(self) -> list[call_frequency.Frequency]:
        """Returns the call frequencies to report to other nodes."""
        return list(self.frequencies.frequencies())

    def set_services(
        self, services: Mapping[ids.RouteName, ids.ServiceName]
    ) -> None:
        """Sets the service that runs each route."""
        self.graph.set_services(services)
        self._domain_graph.set_services(services)

    def apply_report(self, report: host_report.HostReport) -> None:
        """Merges what a host of the own domain learned, if it reports any."""
        if report.frequencies is not None and report.upstream is not None:
            self._domain_graph.update_source(
                report.address, report.upstream.service, report.frequencies
            )

    def domain_calls(self) -> tuple[digests.DomainCall, ...]:
        """Returns the medians over the hosts of the own domain."""
        return tuple(
            digests.DomainCall(service, call.caller, call.callee, call.calls)
            for service, call in self._domain_graph.medians()
        )

    def apply_digest(self, digest: digests.Digest) -> None:
        """Merges what a failure domain learned, if the digest tells it."""
        if digest.calls is None:
            return
        by_service: dict[ids.ServiceName, list[call_frequency.Frequency]] = (
            collections.defaultdict(list)
        )
        for call in digest.calls:
            by_service[call.service].append(
                call_frequency.Frequency(call.caller, call.callee, call.calls)
            )
        for sums in digest.services:
            if sums.open_count:
                by_service[sums.service]
        for service, frequencies in by_service.items():
            self.graph.update_source(
                _source(digest.failure_domain, service), service, frequencies
            )

    def _end_interval(self) -> None:
        self.start()
        self.frequencies.end_interval()
        self.graph.end_interval()
        self._domain_graph.end_interval()
        own_service = self._own_service()
        source = _source(self._own_domain, own_service)
        if not self.graph.has_source(source):
            self.graph.update_source(
                source, own_service, self.reported_frequencies()
            )


def _source(domain: ids.FailureDomainName, service: ids.ServiceName) -> str:
    """Returns the name of a service's hosts in one domain."""
    return f"{domain} {service}"
