"""Admission steps that a complete request passes before its first send."""

from __future__ import annotations

import abc
from collections.abc import Iterable
from typing import TypeAlias

from cyclamendale import refusals
from cyclamendale.fleet import routing
from cyclamendale.overload import split
from cyclamendale.proxy import dispatch_state
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages

DEFAULT_REMAINING_S = 30.0
"""Remaining time of callers that state none."""

StepResult: TypeAlias = refusals.Refusal | None
"""A refusal that ends the processing, or None to continue."""


class Step(abc.ABC):
    """One step, which fills in the pending request or refuses it."""

    @abc.abstractmethod
    def apply(
        self,
        pending: dispatch_state.PendingRequest,
        table: routing.RoutingTable,
    ) -> StepResult:
        """Applies the step.

        Args:
            pending: The pending request.
            table: Routes and keys in force.
        """


class MatchRouteStep(Step):
    """Matches the route."""

    def apply(
        self,
        pending: dispatch_state.PendingRequest,
        table: routing.RoutingTable,
    ) -> StepResult:
        """See base class."""
        request = pending.exchange.request
        route = table.route(request.host, request.path)
        if route is None:
            return refusals.Refusal(refusals.RefusalReason.ROUTE_UNKNOWN)
        pending.route = route
        return None


class IdentifyCustomerStep(Step):
    """Identifies the customer by the key of the request."""

    def apply(
        self,
        pending: dispatch_state.PendingRequest,
        table: routing.RoutingTable,
    ) -> StepResult:
        """See base class."""
        if pending.route.open or not table.configuration.customers:
            return None
        key = pending.exchange.request.key
        if key is None:
            return refusals.Refusal(refusals.RefusalReason.KEY_MISSING)
        pending.customer = table.customer(key)
        if pending.customer is None:
            return refusals.Refusal(refusals.RefusalReason.KEY_UNKNOWN)
        return None


class BuildRequestStep(Step):
    """Builds the request for the upstream and counts it."""

    def __init__(
        self, dependencies: dispatch_state.DispatcherDependencies
    ) -> None:
        self._dependencies = dependencies
        self._split = split.WeightedRoundRobin()

    def apply(
        self,
        pending: dispatch_state.PendingRequest,
        table: routing.RoutingTable,
    ) -> StepResult:
        """See base class."""
        request, route = pending.exchange.request, pending.route
        remaining_s = request.remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_REMAINING_S
        limit_s = min(remaining_s, route.deadline_s)
        pending.deadline_s = request.arrived_s + limit_s
        # A request without a key on an open route comes from an upstream.
        is_onward = route.open and pending.customer is None
        pending.upstream_request = messages.UpstreamRequest(
            request.request_id.decode("latin-1"),
            route.name,
            self._split.next_service(route),
            self._head(pending),
            request.body,
            pending.deadline_s,
            request.arrived_s + (route.aim_s or limit_s),
            routing.shedding_rank(route, pending.customer),
            route.idempotent,
            is_onward,
        )
        dependencies = self._dependencies
        dependencies.retries.record_request(pending.upstream_request.service)
        if is_onward:
            dependencies.frequencies.record_call(route.name)
        return None

    def _head(self, pending: dispatch_state.PendingRequest) -> bytes:
        request, header_names = (
            pending.exchange.request,
            self._dependencies.header_names,
        )
        service = self._dependencies.caller_service().encode()
        lines = [
            b"%s %s HTTP/1.1\r\n" % (request.method, request.path),
            request.header_lines,
            heads.line(header_names.caller_service, service),
        ]
        if pending.customer is not None:
            lines.append(
                heads.line(
                    header_names.customer, pending.customer.name.encode()
                )
            )
        return b"".join(lines)


class ShutdownStep(Step):
    """Refuses requests that a stopping node could not answer in time."""

    def __init__(
        self, dependencies: dispatch_state.DispatcherDependencies
    ) -> None:
        self._dependencies = dependencies

    def apply(
        self,
        pending: dispatch_state.PendingRequest,
        table: routing.RoutingTable,
    ) -> StepResult:
        """See base class."""
        shutdown = self._dependencies.shutdown
        if not shutdown.has_begun or shutdown.accepts(
            pending.deadline_s, pending.exchange.earlier_read_by_s
        ):
            return None
        return refusals.Refusal(refusals.RefusalReason.LEAVING)


class AdmitRootStep(Step):
    """Refuses root requests whose call chain reaches an overloaded service."""

    def __init__(
        self, dependencies: dispatch_state.DispatcherDependencies
    ) -> None:
        self._dependencies = dependencies

    def apply(
        self,
        pending: dispatch_state.PendingRequest,
        table: routing.RoutingTable,
    ) -> StepResult:
        """See base class."""
        upstream_request = pending.upstream_request
        if upstream_request.onward:
            return None
        admission = self._dependencies.admission
        cause = admission.decide(
            upstream_request.route,
            upstream_request.service,
            upstream_request.rank,
        )
        if cause is None:
            return None
        self._dependencies.observer.record_shedding(upstream_request, cause)
        return refusals.Refusal(
            refusals.RefusalReason.SHED,
            retry_after_s=admission.retry_after_s(),
        )


def make_steps(
    dependencies: dispatch_state.DispatcherDependencies,
) -> Iterable[Step]:
    """Returns the steps in the order of their application."""
    return (
        MatchRouteStep(),
        IdentifyCustomerStep(),
        BuildRequestStep(dependencies),
        ShutdownStep(dependencies),
        AdmitRootStep(dependencies),
    )
