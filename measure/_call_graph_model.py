"""Simulation of a service call graph on a virtual clock.

Each service has a few targets. A target has workers that process requests,
and slots for the requests that it holds, including those that wait for an
onward call. Admission, target choice, early shedding and retry budgets are
the production objects; only the network and the upstreams are modelled.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
import itertools
import random as random_module

from cyclamendale import ids
from cyclamendale.entry import retry_budget
from cyclamendale.intents import model
from cyclamendale.membership import directory as directories
from cyclamendale.overload import fair_use
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.overload import hedge
from cyclamendale.overload import power_of_two
from cyclamendale.overload import retry_throttle
from cyclamendale.overload import shed_key
from cyclamendale.overload import threshold_shed
from measure import _call_graph_model_calls as calls
from measure import _call_graph_model_events as events
from measure import _call_graph_model_policies as policies

ROOT_RETRY_BUDGET = 3
CONNECTIONS = 10_000


class StaticDirectory(directories.Directory):
    """Directory with a fixed list of members."""

    def __init__(
        self,
        own: directories.Member,
        members_by_service: Mapping[str, tuple[directories.Member, ...]],
    ) -> None:
        self._own = own
        self._members_by_service = members_by_service

    def own(self) -> directories.Member:
        """See base class."""
        return self._own

    def members(self) -> Iterator[directories.Member]:
        """See base class."""
        return itertools.chain.from_iterable(self._members_by_service.values())

    def targets(
        self, service: ids.ServiceName
    ) -> tuple[directories.Member, ...]:
        """See base class."""
        return self._members_by_service[service]

    def subscribe(self, listener: Callable[[directories.Member], None]) -> None:
        """See base class."""


class Node:
    """Decisions of one host; entry nodes have no upstream."""

    def __init__(
        self,
        graph: Graph,
        member: directories.Member,
        spec: calls.ServiceSpec | None,
    ) -> None:
        clock, random = graph.clock, graph.random
        directory = StaticDirectory(member, graph.members)
        self.target_chooser = power_of_two.make_target_chooser(
            clock, random, directory
        )
        self.retry_throttle = retry_throttle.make_retry_throttle()
        self.hedge_policy = hedge.make_hedge_policy()
        self.fair_use_tracker = fair_use.make_fair_use_tracker(
            clock, graph.weight_of, lambda route: graph.routes[route].service
        )
        self.early_shedder = threshold_shed.make_early_shedder(clock, random)
        if spec is not None:
            self.upstream = calls.Upstream(graph, spec)
            self.admission = graph.policy.make_admission(
                clock, random, model.Service(spec.name)
            )
            self.admission.set_capacity(spec.slots, CONNECTIONS)


class Graph:
    """All services and nodes of one run."""

    def __init__(
        self,
        services: list[calls.ServiceSpec],
        routes: list[calls.RouteSpec],
        policy: policies.Policy,
        seed: int,
        entry_count: int = 3,
        weight_of: fair_use.WeightOf = fair_use.equal_weight,
        hedging_enabled: bool = False,
    ) -> None:
        self.clock = events.EventClock()
        self.random = random_module.Random(seed)
        self.policy = policy
        self.weight_of = weight_of
        self.hedging_enabled = hedging_enabled
        self.hedges_sent = 0
        self.retries_sent = 0
        self.refused_at_gates = 0
        self.total_work_s = 0.0
        self.services = {spec.name: spec for spec in services}
        self.routes = {route.name: route for route in routes}
        self.members = {spec.name: make_members(spec) for spec in services}
        self.nodes = {
            member.node: Node(self, member, spec)
            for spec in services
            for member in self.members[spec.name]
        }
        self._entries = [
            Node(self, _make_member(f"entry-{index}", None), None)
            for index in range(entry_count)
        ]
        self._request_ids = itertools.count()

    def set_work_factor(self, service: str, work_factor: float) -> None:
        """Sets the factor on the work of a service's requests from now on."""
        for member in self.members[service]:
            self.nodes[member.node].upstream.work_factor = work_factor

    def send(
        self,
        route_name: str,
        customer: str,
        on_end: Callable[[calls.RootRequest], None],
    ) -> calls.RootRequest:
        """Sends a root request to a random entry node."""
        route = self.routes[route_name]
        entry = self.random.choice(self._entries)
        root = calls.RootRequest(route, customer, self.clock.now_s(), on_end)
        over_share = entry.fair_use_tracker.record_request(customer, route_name)
        root.shed_key = shed_key.make_shed_key(
            route.importance,
            over_share,
            ids.RequestId(str(next(self._request_ids))),
        )
        if self.policy.sheds_early and entry.early_shedder.should_shed(
            route_name, root.shed_key
        ):
            self.clock.call_later(calls.HOP_DELAY_S, self._end, root, False)
            return root
        root.deadline = self.clock.call_later(
            route.deadline_s, self._expire, root
        )

        def on_result(
            succeeded: bool, answer_feedback: feedbacks.Feedback | None
        ) -> None:
            if answer_feedback is not None:
                entry.early_shedder.observe(route_name, answer_feedback)
            self._end(root, succeeded)

        root.call = calls.Call(
            self,
            root,
            self.services[route.service],
            entry,
            retry_budget.RetryBudget(ROOT_RETRY_BUDGET),
            on_result,
        )
        return root

    def _expire(self, root: calls.RootRequest) -> None:
        if self.policy.cancels_expired and root.call is not None:
            root.call.cancel()
        self._end(root, False)

    def _end(self, root: calls.RootRequest, succeeded: bool) -> None:
        if root.ended_s is not None:
            return
        root.ended_s = self.clock.now_s()
        root.succeeded = succeeded
        if root.deadline is not None:
            root.deadline.cancel()
        root.on_end(root)


def _make_member(
    name: str, spec: calls.ServiceSpec | None
) -> directories.Member:
    announcement = None
    if spec is not None:
        announcement = directories.Announcement(
            spec.name,
            name,
            spec.slots,
            CONNECTIONS,
            directories.UpstreamState.READY,
        )
    return directories.Member(
        ids.NodeId(name), name, "domain", 1, upstream=announcement
    )


def make_members(spec: calls.ServiceSpec) -> tuple[directories.Member, ...]:
    """Returns one member for each target of a service."""
    return tuple(
        _make_member(f"{spec.name}-{index}", spec)
        for index in range(spec.targets)
    )


def make_chain(
    depth: int,
    targets: int = 3,
    workers: int = 4,
    slots: int = 96,
    work_s: float = 0.02,
    spare_workers: int = 2,
) -> list[calls.ServiceSpec]:
    """Returns a chain whose deepest service has the least capacity.

    Args:
        depth: Number of services.
        targets: Targets of each service.
        workers: Workers of each target of the deepest service.
        slots: Slots that each target announces.
        work_s: Mean work of a request at each service.
        spare_workers: Additional workers of each other target.
    """
    return [
        calls.ServiceSpec(
            f"service-{index}",
            targets,
            workers if index == depth - 1 else workers + spare_workers,
            slots,
            work_s,
            f"service-{index + 1}" if index < depth - 1 else None,
        )
        for index in range(depth)
    ]


def service_capacity_per_s(spec: calls.ServiceSpec) -> float:
    """Returns the request rate that saturates the workers of a service."""
    return spec.targets * spec.workers / spec.work_s


class PoissonClients:
    """Open-loop Poisson arrivals on one route, with optional retries.

    Attributes:
        roots: All root requests, including client retries.
        original_roots: Root requests without the client retries.
    """

    def __init__(
        self,
        graph: Graph,
        route: str,
        customer: str,
        rate_per_s: float,
        seed: int,
        max_retries: int = 0,
        mean_retry_delay_s: float = 0.05,
    ) -> None:
        self._graph = graph
        self._route = route
        self._customer = customer
        self._rate_per_s = rate_per_s
        self._random = random_module.Random(seed)
        self._max_retries = max_retries
        self._mean_retry_delay_s = mean_retry_delay_s
        self.roots: list[calls.RootRequest] = []
        self.original_roots: list[calls.RootRequest] = []
        self._schedule_arrival()

    def scale_rate(self, factor: float) -> None:
        """Multiplies the rate; takes effect after the next arrival."""
        self._rate_per_s *= factor

    def _schedule_arrival(self) -> None:
        self._graph.clock.call_later(
            self._random.expovariate(self._rate_per_s), self._arrive
        )

    def _arrive(self) -> None:
        self._schedule_arrival()
        self._send(self._max_retries)
        self.original_roots.append(self.roots[-1])

    def _send(self, retries_left: int) -> None:
        def retry_if_failed(root: calls.RootRequest) -> None:
            if not root.succeeded and retries_left:
                delay_s = self._mean_retry_delay_s * (
                    0.5 + self._random.random()
                )
                self._graph.clock.call_later(
                    delay_s, self._send, retries_left - 1
                )

        self.roots.append(
            self._graph.send(self._route, self._customer, retry_if_failed)
        )
