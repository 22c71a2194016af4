"""State of a request at the caller's node, and what its steps need."""

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
from cyclamendale.proxy import dialect as dialects
from cyclamendale.proxy import exchange as exchanges
from cyclamendale.proxy import messages
from cyclamendale.quotas import fleet_levels


class DispatcherParts:
    """What the dispatcher and its steps ask other parts of the node.

    Attributes:
        chain_of: Returns the mean calls that a route's requests make.
        runner: Returns the way to a host's gate.
        caller_service: Returns the service of the own host.
        shutdown: Says what a stopping node still takes.
        observer: Notes what becomes of requests.
        log: Journal of decisions.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        dialect: dialects.Dialect,
        placement: placement.Placement,
        admission: root_admission.RootAdmission,
        retries: fleet_retries.FleetRetryBudget,
        quotas: fleet_levels.FleetQuotas,
        frequencies: call_frequency.CallFrequencyEstimator,
        chain_of: root_admission.CallsByService,
        runner: Callable[[ids.PeerAddress], messages.Runner],
        caller_service: Callable[[], ids.ServiceName],
        shutdown: shutdowns.Shutdown,
        observer: Any,
        log: Any,
    ) -> None:
        self.clock = clock
        self.random = random
        self.dialect = dialect
        self.placement = placement
        self.admission = admission
        self.retries = retries
        self.quotas = quotas
        self.frequencies = frequencies
        self.chain_of = chain_of
        self.runner = runner
        self.caller_service = caller_service
        self.shutdown = shutdown
        self.observer = observer
        self.log = log


class Call:
    """One request between its arrival and its answer.

    Attributes:
        exchange: The request and the way back to its caller.
        route: Its route; None until it is known.
        customer: Whose key came with it, if any.
        work: What travels to the upstream, once it is prepared.
        deadline_s: Clock time of the final answer.
        candidate: Upstream that it was last offered to.
        handle: The offer without an outcome, if there is one.
        tried: Hosts that it was offered to.
        refusing: Hosts whose upstream refused it without running it, and
            may be asked again.
        reached: Hosts whose upstream it may have reached.
        offers: Number of offers that went no further than a gate.
        sends: Number of sends that may have reached an upstream.
        may_have_run: Whether an upstream may have run it.
        is_over: Whether it was answered, or its caller is gone.
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
        "refusing",
        "route",
        "sends",
        "tried",
        "work",
    )

    def __init__(self, exchange: exchanges.Exchange) -> None:
        self.exchange = exchange
        # Set by the first steps of the chain, before any use.
        self.route: Any = None
        self.customer: model.Customer | None = None
        self.work: Any = None
        self.deadline_s = 0.0
        self.handle: messages.Handle | None = None
        self.candidate: placement.Candidate | None = None
        self.tried: tuple[ids.PeerAddress, ...] = ()
        self.refusing: tuple[ids.PeerAddress, ...] = ()
        self.reached: frozenset[ids.PeerAddress] = frozenset()
        self.offers = 0
        self.sends = 0
        self.may_have_run = False
        self.is_over = False

    def has_reached(self, host: ids.PeerAddress) -> None:
        """Notes a send that may have reached the upstream of a host."""
        self.sends += 1
        self.reached |= {host}
