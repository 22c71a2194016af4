"""The chain of steps between a whole request and its first send."""

from __future__ import annotations

import abc
from collections.abc import Iterable
from typing import TypeAlias

from cyclamendale import refusals
from cyclamendale.fleet import routing
from cyclamendale.overload import split
from cyclamendale.proxy import calls
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages

DEFAULT_REMAINING_S = 30.0
"""Time of callers that state none."""

Verdict: TypeAlias = refusals.Refusal | None
"""A refusal that ends the chain, or None to go on."""


class Step(abc.ABC):
    """One step; fills in the call or refuses it."""

    @abc.abstractmethod
    def apply(self, call: calls.Call, table: routing.RoutingTable) -> Verdict:
        """Applies the step.

        Args:
            call: The call.
            table: Routes and keys in force.
        """


class MatchRouteStep(Step):
    """Finds the route."""

    def apply(self, call: calls.Call, table: routing.RoutingTable) -> Verdict:
        """See base class."""
        request = call.exchange.request
        route = table.route(request.host, request.path)
        if route is None:
            return refusals.Refusal(refusals.RefusalReason.ROUTE_UNKNOWN)
        call.route = route
        return None


class IdentifyStep(Step):
    """Finds the customer whose key came with the request."""

    def apply(self, call: calls.Call, table: routing.RoutingTable) -> Verdict:
        """See base class."""
        if call.route.open or not table.configuration.customers:
            return None
        key = call.exchange.request.key
        if key is None:
            return refusals.Refusal(refusals.RefusalReason.KEY_MISSING)
        call.customer = table.customer(key)
        if call.customer is None:
            return refusals.Refusal(refusals.RefusalReason.KEY_UNKNOWN)
        return None


class PrepareStep(Step):
    """Makes what travels to the upstream, and counts the request."""

    def __init__(self, parts: calls.DispatcherParts) -> None:
        self._parts = parts
        self._split = split.SplitWheel()

    def apply(self, call: calls.Call, table: routing.RoutingTable) -> Verdict:
        """See base class."""
        request, route = call.exchange.request, call.route
        remaining_s = request.remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_REMAINING_S
        limit_s = min(remaining_s, route.deadline_s)
        call.deadline_s = request.arrived_s + limit_s
        # Whoever sends no key on an open route is an upstream.
        is_onward = route.open and call.customer is None
        call.work = messages.Work(
            request.request_id.decode("latin-1"),
            route.name,
            self._split.service_for(route),
            self._head(call),
            request.body,
            call.deadline_s,
            request.arrived_s + (route.aim_s or limit_s),
            routing.shedding_rank(route, call.customer),
            route.idempotent,
            is_onward,
        )
        parts = self._parts
        parts.retries.request(call.work.service)
        if is_onward:
            parts.frequencies.called(route.name)
        return None

    def _head(self, call: calls.Call) -> bytes:
        request, dialect = call.exchange.request, self._parts.dialect
        service = self._parts.caller_service().encode()
        lines = [
            b"%s %s HTTP/1.1\r\n" % (request.method, request.path),
            request.lines,
            heads.line(dialect.caller_service, service),
        ]
        if call.customer is not None:
            lines.append(
                heads.line(dialect.customer, call.customer.name.encode())
            )
        return b"".join(lines)


class ShutdownStep(Step):
    """Refuses what a stopping node could not answer any more."""

    def __init__(self, parts: calls.DispatcherParts) -> None:
        self._parts = parts

    def apply(self, call: calls.Call, table: routing.RoutingTable) -> Verdict:
        """See base class."""
        if self._parts.shutdown.accepts(call.deadline_s):
            return None
        return refusals.Refusal(refusals.RefusalReason.LEAVING)


class AdmitRootStep(Step):
    """Refuses roots whose chain would meet a service without room."""

    def __init__(self, parts: calls.DispatcherParts) -> None:
        self._parts = parts

    def apply(self, call: calls.Call, table: routing.RoutingTable) -> Verdict:
        """See base class."""
        work = call.work
        if work.onward:
            return None
        admission = self._parts.admission
        cause = admission.refused_by(work.route, work.service, work.rank)
        if cause is None:
            return None
        self._parts.observer.record_shedding(work, cause)
        return refusals.Refusal(
            refusals.RefusalReason.SHED,
            retry_after_s=admission.retry_after_s(),
        )


class QuotaStep(Step):
    """Spends one request of the customer; last, so that none is wasted."""

    def __init__(self, parts: calls.DispatcherParts) -> None:
        self._parts = parts

    def apply(self, call: calls.Call, table: routing.RoutingTable) -> Verdict:
        """See base class."""
        if call.customer is None:
            return None
        name, quotas = call.customer.name, self._parts.quotas
        wait_s = quotas.admit(name)
        if wait_s is None:
            return None
        self._parts.observer.record_over_quota(
            call.work, name, quotas.get_state(name)
        )
        return refusals.Refusal(
            refusals.RefusalReason.QUOTA, retry_after_s=wait_s
        )


def make_steps(parts: calls.DispatcherParts) -> Iterable[Step]:
    """Returns the steps in their order."""
    return (
        MatchRouteStep(),
        IdentifyStep(),
        PrepareStep(parts),
        ShutdownStep(parts),
        AdmitRootStep(parts),
        QuotaStep(parts),
    )
