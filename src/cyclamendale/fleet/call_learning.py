"""Keeps what the nodes learn of each other's calls up to date."""

from __future__ import annotations

from collections.abc import Callable

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import hosts
from cyclamendale.overload import call_frequency
from cyclamendale.proxy import messages

INTERVAL_S = 0.5
"""Interval over which runs and calls are compared."""


class CallLearning:
    """Fits the calls of the own upstream and follows those of the others.

    Attributes:
        frequencies: What this node learns from its own upstream.
        graph: What all nodes learned.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own: ids.PeerAddress,
        own_service: Callable[[], ids.ServiceName],
    ) -> None:
        self._clock = clock
        self._own = own
        self._own_service = own_service
        self._next: clocks.DelayedCall | None = None
        self.frequencies = call_frequency.CallFrequencyEstimator()
        self.graph = call_frequency.CallGraph()

    def start(self) -> None:
        """Begins to compare runs and calls."""
        self._next = self._clock.call_later(INTERVAL_S, self._end_interval)

    def stop(self) -> None:
        """Ends the comparison."""
        clocks.cancel(self._next)

    def ran(self, work: messages.Work) -> None:
        """Counts a request that the own upstream began to run."""
        self.frequencies.record_run(work.route)

    def told(self) -> list[call_frequency.Frequency]:
        """Returns what to report to the other nodes."""
        return list(self.frequencies.frequencies())

    def heard(self, report: hosts.HostReport) -> None:
        """Takes what another node learned, if its report says so."""
        if report.frequencies is not None and report.upstream is not None:
            self.graph.update_host(
                report.address, report.upstream.service, report.frequencies
            )

    def _end_interval(self) -> None:
        self.start()
        self.frequencies.end_interval()
        self.graph.end_interval()
        self.graph.update_host(self._own, self._own_service(), self.told())
