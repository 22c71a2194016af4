"""Dependencies of the dispatcher and the state of its pending requests."""

from __future__ import annotations

from collections.abc import Callable
import random as random_module
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import shutdown as shutdowns
from cyclamendale.intents import model
from cyclamendale.overload import call_frequency
from cyclamendale.overload import fleet_retries
from cyclamendale.overload import placement
from cyclamendale.overload import root_admission
from cyclamendale.proxy import exchange as exchanges
from cyclamendale.proxy import header_names
from cyclamendale.proxy import messages
from cyclamendale.quotas import permits


class DispatcherDependencies:
    """Other parts of the node that the dispatcher and its steps use.

    Attributes:
        quotas: Source of permits within the customers' quotas.
        expected_calls: Returns the mean number of calls to each service that
            one request of a route causes.
        runner_for: Returns the runner that forwards to a host's gate.
        caller_service: Returns the service of this host's upstream.
        shutdown: Decides which requests a stopping node still accepts.
        observer: Records the outcomes of requests.
        log: Log of decisions.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        header_names: header_names.HeaderNames,
        placement: placement.Placement,
        admission: root_admission.RootAdmission,
        retries: fleet_retries.FleetRetryBudget,
        quotas: permits.PermitSource,
        frequencies: call_frequency.CallFrequencyEstimator,
        expected_calls: root_admission.CallsByService,
        runner_for: Callable[[ids.PeerAddress], messages.Runner],
        caller_service: Callable[[], ids.ServiceName],
        shutdown: shutdowns.Shutdown,
        observer: Any,
        log: Any,
    ) -> None:
        self.clock = clock
        self.random = random
        self.header_names = header_names
        self.placement = placement
        self.admission = admission
        self.retries = retries
        self.quotas = quotas
        self.frequencies = frequencies
        self.expected_calls = expected_calls
        self.runner_for = runner_for
        self.caller_service = caller_service
        self.shutdown = shutdown
        self.observer = observer
        self.log = log


class PendingRequest:
    """One request from its arrival to its response.

    Attributes:
        exchange: The caller's request, on which the response is sent.
        route: The matched route; None until it is known.
        customer: Customer that the request's key belongs to, if any.
        upstream_request: The request for the upstream; None until built.
        deadline_s: Clock time by which the response is due.
        candidate: Upstream that the request was last offered to.
        handle: Handle of the current offer; None if there is none.
        tried: Hosts that the request was offered to.
        refused_by: Hosts whose upstream refused the request without running
            it; they may be tried again.
        reached: Hosts whose upstream the request may have reached.
        offers: Number of offers that were refused by a gate.
        sends: Number of sends that may have reached an upstream.
        may_have_run: Whether an upstream may have run the request.
        is_over: Whether a response was sent or the caller disconnected.
    """

    __slots__ = (
        "candidate",
        "customer",
        "deadline_s",
        "exchange",
        "handle",
        "is_over",
        "may_have_run",
        "offers",
        "reached",
        "refused_by",
        "route",
        "sends",
        "tried",
        "upstream_request",
    )

    def __init__(self, exchange: exchanges.Exchange) -> None:
        self.exchange = exchange
        # Set by the first steps, before any use.
        self.route: Any = None
        self.customer: model.Customer | None = None
        self.upstream_request: Any = None
        self.deadline_s = 0.0
        self.handle: messages.Handle | None = None
        self.candidate: placement.Candidate | None = None
        self.tried: tuple[ids.PeerAddress, ...] = ()
        self.refused_by: tuple[ids.PeerAddress, ...] = ()
        self.reached: frozenset[ids.PeerAddress] = frozenset()
        self.offers = 0
        self.sends = 0
        self.may_have_run = False
        self.is_over = False

    def record_reached(self, host: ids.PeerAddress) -> None:
        """Records a send that may have reached the upstream of a host."""
        self.sends += 1
        self.reached |= {host}
