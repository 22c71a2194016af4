"""Records completed calls and reports the node's status."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import metrics
from cyclamendale import refusals
from cyclamendale import timeline
from cyclamendale.configuration import source
from cyclamendale.controllers import base
from cyclamendale.controllers import quotas
from cyclamendale.entry import call as calls
from cyclamendale.membership import directory
from cyclamendale.upstream import gate as gates


class CallObserver:
    """Records each completed call as an event and in the metrics."""

    def __init__(
        self,
        clock: clocks.Clock,
        event_log: events.EventLog,
        node_metrics: metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._event_log = event_log
        self._metrics = node_metrics

    def record_call(
        self, call: calls.Call, outcome: refusals.Refusal | int
    ) -> None:
        """Records a call.

        Args:
            call: The completed call.
            outcome: The HTTP status of the response, or the refusal.
        """
        if isinstance(outcome, refusals.Refusal):
            self._record_refused(call, outcome)
        else:
            self._record_served(call, outcome)

    def _record_served(self, call: calls.Call, status: int) -> None:
        assert call.route is not None
        duration_ms = (self._clock.now_s() - call.arrived_s) * 1000
        self._metrics.count("calls.served")
        self._metrics.timing("calls.duration", duration_ms)
        self._event_log.record(
            events.RequestServed(
                request=call.request,
                customer=call.customer,
                route=call.route.name,
                status=status,
                duration_ms=duration_ms,
            )
        )

    def _record_refused(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        self._metrics.count("calls.refused." + refusal.reason.value)
        decider = refusal.decider
        self._event_log.record(
            events.RequestRefused(
                request=call.request,
                customer=call.customer,
                route=call.route.name if call.route else None,
                reason=refusal.reason.value,
                execution=refusal.execution.value,
                file=decider.file if decider else None,
                version=decider.version if decider else None,
            )
        )


class GaugeSampler(base.Controller):
    """Exports the node's status as gauges, once per interval."""

    def __init__(
        self,
        clock: clocks.Clock,
        node_metrics: metrics.Metrics,
        status: Callable[[], timeline.NodeStatus],
        interval_s: float,
    ) -> None:
        self._clock = clock
        self._metrics = node_metrics
        self._status = status
        self._interval_s = interval_s
        self._next_sample: clocks.DelayedCall | None = None

    def start(self) -> None:
        """See base class."""
        self._next_sample = self._clock.call_later(
            self._interval_s, self._sample
        )

    def stop(self) -> defer.Deferred[None]:
        """See base class."""
        clocks.cancel(self._next_sample)
        return defer.succeed(None)

    def _sample(self) -> None:
        status = self._status()
        gauge = self._metrics.gauge
        gauge("configuration.version", status.version)
        gauge("members", status.members)
        gauge("quota.held_shards", status.held_shards)
        gauge("upstream.in_flight", status.in_flight)
        gauge("upstream.queued", status.queued)
        self.start()


def make_node_status(
    members: directory.Directory,
    configuration: source.ConfigurationSource,
    gate: gates.Gate,
    quota_controller: quotas.QuotaController,
    is_table_reachable: bool | None,
) -> timeline.NodeStatus:
    """Returns the status that a node reports to operators."""
    own = members.own()
    age_s = configuration.confirmed_age_s()
    upstream = own.upstream
    return timeline.NodeStatus(
        node=own.node,
        failure_domain=own.failure_domain,
        version=configuration.current.version,
        confirmed_age_s=age_s if age_s != float("inf") else None,
        leaving=own.leaving,
        members=sum(1 for _ in members.members()),
        service=upstream.service if upstream else None,
        upstream_address=upstream.address if upstream else None,
        upstream_state=upstream.state.value if upstream else None,
        in_flight=len(gate.running),
        queued=gate.queued,
        table_reachable=is_table_reachable,
        held_shards=len(quota_controller.held_shards()),
    )
