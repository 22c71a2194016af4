"""Maintains the call graph of the services from what the nodes learn.

Each node estimates how often the routes of its own upstream call other
routes, and merges the estimates that other nodes report.
"""

from __future__ import annotations

from collections.abc import Callable

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import hosts
from cyclamendale.overload import call_frequency
from cyclamendale.proxy import messages

FIT_INTERVAL_S = 0.5
"""Interval over which request starts and calls are compared."""


class CallGraphLearner:
    """Estimates calls of the own upstream and merges those of other nodes.

    Attributes:
        frequencies: Call frequencies observed at the own upstream.
        graph: Call graph merged from all nodes.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own_address: ids.PeerAddress,
        own_service: Callable[[], ids.ServiceName],
    ) -> None:
        self._clock = clock
        self._own_address = own_address
        self._own_service = own_service
        self._timer: clocks.DelayedCall | None = None
        self.frequencies = call_frequency.CallFrequencyEstimator()
        self.graph = call_frequency.CallGraph()

    def start(self) -> None:
        """Starts the periodic estimation."""
        self._timer = self._clock.call_later(FIT_INTERVAL_S, self._end_interval)

    def stop(self) -> None:
        """Stops the periodic estimation."""
        clocks.cancel(self._timer)

    def record_run(self, request: messages.UpstreamRequest) -> None:
        """Counts a request that the own upstream started to run."""
        self.frequencies.record_run(request.route)

    def reported_frequencies(self) -> list[call_frequency.Frequency]:
        """Returns the call frequencies to report to other nodes."""
        return list(self.frequencies.frequencies())

    def apply_report(self, report: hosts.HostReport) -> None:
        """Merges the call frequencies of a report, if it carries any."""
        if report.frequencies is not None and report.upstream is not None:
            self.graph.update_host(
                report.address, report.upstream.service, report.frequencies
            )

    def _end_interval(self) -> None:
        self.start()
        self.frequencies.end_interval()
        self.graph.end_interval()
        self.graph.update_host(
            self._own_address, self._own_service(), self.reported_frequencies()
        )
