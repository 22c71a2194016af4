"""Call graph of services on a virtual clock, with the real decisions.

Each service has a few targets. A target has workers that do the work of a
request and slots for the requests that it holds, also while they wait for
an onward call. Gates, choosers, entries and budgets are the project's own
objects; only the network and the upstreams are modelled.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator, Mapping
import itertools
import random as random_module

import msgspec

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.entry import retry_budget
from cyclamendale.intents import model
from cyclamendale.membership import directory as directories
from cyclamendale.overload import admission
from cyclamendale.overload import fair_use
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.overload import hedge
from cyclamendale.overload import power_of_two
from cyclamendale.overload import retry_throttle
from cyclamendale.overload import shed_key
from cyclamendale.overload import threshold_shed
from measure import _call_graph_model_events as events
from measure import _call_graph_model_policies as policies

HOP_S = 0.0005
ROOT_RETRIES = 3
CONNECTIONS = 10_000


class ServiceSpec(msgspec.Struct, frozen=True):
    """One service of the graph.

    Attributes:
        name: Its name.
        targets: Number of its targets.
        workers: Requests that a target works on at once.
        slots: Requests that a target says it can hold.
        work_s: Mean work of a request.
        onward: Service that it calls, if any.
        onward_share: Share of its requests that make the onward call.
        straggler_share: Share of requests that take much longer.
        straggler_factor: How much longer.
    """

    name: str
    targets: int
    workers: int
    slots: int
    work_s: float
    onward: str | None = None
    onward_share: float = 1.0
    straggler_share: float = 0.0
    straggler_factor: float = 1.0


class RouteSpec(msgspec.Struct, frozen=True):
    """A route into the graph."""

    name: str
    service: str
    importance: model.Importance = model.Importance.NORMAL
    deadline_s: float = 1.0


class Root:
    """A root request and what became of it."""

    __slots__ = (
        "arrived_s",
        "call",
        "customer",
        "deadline",
        "ended_s",
        "on_end",
        "route",
        "shed_key",
        "succeeded",
        "work_s",
    )

    def __init__(
        self,
        route: RouteSpec,
        customer: ids.CustomerId,
        arrived_s: float,
        on_end: Callable[[Root], None],
    ) -> None:
        self.route = route
        self.customer = customer
        self.arrived_s = arrived_s
        self.on_end = on_end
        self.call: Call | None = None
        self.deadline: events.ScheduledCall | None = None
        self.shed_key = shed_key.MAX_SHED_KEY
        self.ended_s: float | None = None
        self.succeeded = False
        self.work_s = 0.0


class Upstream:
    """Workers of one target, with the queue inside the upstream."""

    def __init__(self, graph: Graph, spec: ServiceSpec) -> None:
        self._graph = graph
        self._spec = spec
        self._busy = 0
        self._queue: collections.deque[Attempt] = collections.deque()
        self.slowness = 1.0

    def run(self, attempt: Attempt) -> None:
        """Works on a request as soon as a worker is free."""
        if self._busy < self._spec.workers:
            self._begin(attempt)
        else:
            self._queue.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Ends the work on a request early."""
        if attempt.working is None:
            if attempt in self._queue:
                self._queue.remove(attempt)
            return
        attempt.working.cancel()
        self._end(attempt)

    def _begin(self, attempt: Attempt) -> None:
        self._busy += 1
        spec = self._spec
        random = self._graph.random
        duration_s = random.expovariate(1 / spec.work_s) * self.slowness
        if spec.straggler_share and random.random() < spec.straggler_share:
            duration_s *= spec.straggler_factor
        clock = self._graph.clock
        attempt.work_began_s = clock.now_s()
        attempt.working = clock.call_later(duration_s, self._done, attempt)

    def _done(self, attempt: Attempt) -> None:
        self._end(attempt)
        attempt.worked()

    def _end(self, attempt: Attempt) -> None:
        attempt.working = None
        duration_s = self._graph.clock.now_s() - attempt.work_began_s
        attempt.call.root.work_s += duration_s
        self._graph.work_s += duration_s
        self._busy -= 1
        if self._queue:
            self._begin(self._queue.popleft())


class ModelDirectory(directories.Directory):
    """A fixed list of members."""

    def __init__(
        self,
        own: directories.Member,
        by_service: Mapping[str, tuple[directories.Member, ...]],
    ) -> None:
        self._own = own
        self._by_service = by_service

    def own(self) -> directories.Member:
        """See base class."""
        return self._own

    def members(self) -> Iterator[directories.Member]:
        """See base class."""
        return itertools.chain.from_iterable(self._by_service.values())

    def targets(
        self, service: ids.ServiceName
    ) -> tuple[directories.Member, ...]:
        """See base class."""
        return self._by_service[service]

    def subscribe(self, listener: Callable[[directories.Member], None]) -> None:
        """See base class."""


class Node:
    """The decisions of one host; entries have no upstream."""

    def __init__(
        self,
        graph: Graph,
        member: directories.Member,
        spec: ServiceSpec | None,
    ) -> None:
        clock, random = graph.clock, graph.random
        directory = ModelDirectory(member, graph.members)
        self.chooser = power_of_two.make_target_chooser(
            clock, random, directory
        )
        self.throttle = retry_throttle.make_retry_throttle()
        self.hedging = hedge.make_hedge_policy()
        self.fair_use = fair_use.make_fair_use(
            clock, graph.weight_of, lambda route: graph.routes[route].service
        )
        self.early_shed = threshold_shed.make_early_shed(clock, random)
        if spec is not None:
            self.upstream = Upstream(graph, spec)
            self.admission = graph.policy.make_admission(
                clock, random, model.Service(spec.name)
            )
            self.admission.set_capacity(spec.slots, CONNECTIONS)


class Attempt:
    """One call as sent to one target."""

    __slots__ = (
        "call",
        "child",
        "graph",
        "live",
        "met",
        "node",
        "onward_began_s",
        "onward_s",
        "sent_s",
        "started_s",
        "ticket",
        "work_began_s",
        "working",
    )

    def __init__(self, call: Call, node: Node, node_id: str) -> None:
        self.call = call
        self.graph = call.graph
        self.node = node
        self.live = True
        self.child: Call | None = None
        self.met: list[feedbacks.Feedback] = []
        self.onward_s = 0.0
        self.started_s: float | None = None
        self.working: events.ScheduledCall | None = None
        root = call.root
        self.ticket = admission.Ticket(
            root.customer,
            root.shed_key,
            root.arrived_s + root.route.deadline_s,
            self._start,
            self._refused,
        )
        self.ticket.started_s = None
        self.sent_s = self.graph.clock.now_s()
        call.caller.chooser.sent(node_id)
        self.graph.clock.call_later(HOP_S, self._arrive)

    def cancel(self) -> None:
        """Gives up, freeing whatever this attempt holds."""
        if not self.live:
            return
        self.live = False
        if self.child is not None:
            self.child.cancel()
            self.node.admission.resume(self.ticket)
            self.onward_s = self.graph.clock.now_s() - self.onward_began_s
        if self.started_s is None:
            self.node.admission.withdraw(self.ticket)
        else:
            self.node.upstream.cancel(self)
            self._finish(admission.Completion.CANCELLED)
        self.call.caller.chooser.answered(
            self.call.node_id(self), self._duration_s(), True, None
        )

    def worked(self) -> None:
        """Called when the upstream's own work is done."""
        spec = self.call.spec
        if (
            spec.onward is None
            or self.graph.random.random() >= spec.onward_share
        ):
            self._answer(True)
            return
        self.onward_began_s = self.graph.clock.now_s()
        self.node.admission.pause(self.ticket)
        self.child = Call(
            self.graph,
            self.call.root,
            self.graph.services[spec.onward],
            self.node,
            self.call.budget,
            self._onward_done,
        )

    def _arrive(self) -> None:
        if self.live:
            self.node.admission.submit(self.ticket)

    def _start(self) -> None:
        self.started_s = self.graph.clock.now_s()
        self.node.upstream.run(self)

    def _refused(self, refusal: refusals.Refusal) -> None:
        self.live = False
        self.graph.refused_at_gates += 1
        self._reply(False, True, self.node.admission.feedback())

    def _onward_done(
        self,
        succeeded: bool,
        onward_feedback: feedbacks.Feedback | None,
    ) -> None:
        self.child = None
        self.node.admission.resume(self.ticket)
        self.onward_s = self.graph.clock.now_s() - self.onward_began_s
        if onward_feedback is not None:
            self.met.append(onward_feedback)
        self._answer(succeeded)

    def _answer(self, succeeded: bool) -> None:
        self.live = False
        self._finish(
            admission.Completion.ANSWERED
            if succeeded
            else admission.Completion.FAILED
        )
        own = self.node.admission.feedback()
        self._reply(succeeded, False, threshold_shed.combine(own, self.met))

    def _finish(self, completion: admission.Completion) -> None:
        total_s = self.graph.clock.now_s() - self.started_s
        self.node.admission.finish(
            self.ticket, total_s - self.onward_s, completion
        )

    def _reply(
        self,
        succeeded: bool,
        not_run: bool,
        answer_feedback: feedbacks.Feedback,
    ) -> None:
        self.graph.clock.call_later(
            HOP_S, self._replied, succeeded, not_run, answer_feedback
        )

    def _replied(
        self,
        succeeded: bool,
        not_run: bool,
        answer_feedback: feedbacks.Feedback,
    ) -> None:
        # A refusal, or a failure further down, is no fault of the target.
        self.call.caller.chooser.answered(
            self.call.node_id(self), self._duration_s(), True, answer_feedback
        )
        self.call.attempt_ended(self, succeeded, not_run, answer_feedback)

    def _duration_s(self) -> float:
        return self.graph.clock.now_s() - self.sent_s


class Call:
    """A call to a service: attempts until one succeeds or none is left."""

    __slots__ = (
        "_attempts",
        "_done",
        "_hedge",
        "_lender",
        "_lent",
        "_tried",
        "budget",
        "caller",
        "ended",
        "graph",
        "root",
        "spec",
    )

    def __init__(
        self,
        graph: Graph,
        root: Root,
        spec: ServiceSpec,
        caller: Node,
        lender: retry_budget.RetryBudget,
        done: Callable[[bool, feedbacks.Feedback | None], None],
    ) -> None:
        self.graph = graph
        self.root = root
        self.spec = spec
        self.caller = caller
        self.ended = False
        self._done = done
        self._lender = lender
        self._lent = lender.lend(lender.remaining)
        self.budget = retry_budget.RetryBudget(self._lent)
        self._attempts: dict[Attempt, str] = {}
        self._tried: set[str] = set()
        self._hedge: events.ScheduledCall | None = None
        caller.throttle.call_sent()
        if self._try():
            self._plan_hedge()

    def node_id(self, attempt: Attempt) -> str:
        """Returns the target of one attempt."""
        return self._attempts[attempt]

    def attempt_ended(
        self,
        attempt: Attempt,
        succeeded: bool,
        not_run: bool,
        answer_feedback: feedbacks.Feedback,
    ) -> None:
        """Called with the answer or refusal of one attempt."""
        if self.ended:
            return
        if self.graph.hedges and not not_run:
            self._observe(attempt)
        if succeeded:
            self._end(True, answer_feedback)
        elif not_run and self._may_retry() and self._try():
            self.graph.retries += 1
        elif not any(other.live for other in self._attempts):
            self._end(False, answer_feedback)

    def cancel(self) -> None:
        """Ends the call without an answer."""
        if not self.ended:
            self._close()

    def _may_retry(self) -> bool:
        return (
            self.graph.policy.retries
            and self.budget.remaining > 0
            and self.caller.throttle.may_retry(self.root.route.importance)
            and self.budget.spend()
        )

    def _try(self) -> bool:
        member = self.caller.chooser.choose(self.spec.name, self._tried)
        if member is None:
            if not self._attempts:
                self._end(False, None)
            return False
        self._tried.add(member.node)
        node = self.graph.nodes[member.node]
        attempt = Attempt(self, node, member.node)
        self._attempts[attempt] = member.node
        return True

    def _plan_hedge(self) -> None:
        if self.graph.hedges:
            delay_s = self.caller.hedging.call_sent(self.spec.name)
            if delay_s is not None:
                self._hedge = self.graph.clock.call_later(
                    delay_s, self._send_hedge
                )

    def _send_hedge(self) -> None:
        if (
            self.budget.remaining > 0
            and self.caller.hedging.may_hedge(self.spec.name)
            and self.budget.spend()
            and self._try()
        ):
            self.graph.hedges_sent += 1

    def _observe(self, ended: Attempt) -> None:
        first = next(iter(self._attempts))
        if ended is first or first.live:
            self.caller.hedging.observe(
                self.spec.name, self.graph.clock.now_s() - first.sent_s
            )

    def _end(
        self,
        succeeded: bool,
        answer_feedback: feedbacks.Feedback | None,
    ) -> None:
        self._close()
        self._done(succeeded, answer_feedback)

    def _close(self) -> None:
        self.ended = True
        if self._hedge is not None:
            self._hedge.cancel()
        for attempt in self._attempts:
            attempt.cancel()
        self._lender.take_back(self._lent, self.budget.remaining)


class Graph:
    """All services, nodes and entries of one run."""

    def __init__(
        self,
        services: list[ServiceSpec],
        routes: list[RouteSpec],
        policy: policies.Policy,
        seed: int,
        entries: int = 3,
        weight_of: fair_use.WeightOf = fair_use.equal_weight,
        hedges: bool = False,
    ) -> None:
        self.clock = events.EventClock()
        self.random = random_module.Random(seed)
        self.policy = policy
        self.weight_of = weight_of
        self.hedges = hedges
        self.hedges_sent = 0
        self.retries = 0
        self.refused_at_gates = 0
        self.work_s = 0.0
        self.services = {spec.name: spec for spec in services}
        self.routes = {route.name: route for route in routes}
        self.members = {spec.name: make_members(spec) for spec in services}
        self.nodes = {
            member.node: Node(self, member, spec)
            for spec in services
            for member in self.members[spec.name]
        }
        self._entries = [
            Node(self, _member(f"entry-{index}", None), None)
            for index in range(entries)
        ]
        self._request_ids = itertools.count()

    def slow(self, service: str, slowness: float) -> None:
        """Multiplies the work of a service's requests from now on."""
        for member in self.members[service]:
            self.nodes[member.node].upstream.slowness = slowness

    def send(
        self, route_name: str, customer: str, on_end: Callable[[Root], None]
    ) -> Root:
        """Sends a root request to a random entry."""
        route = self.routes[route_name]
        entry = self.random.choice(self._entries)
        root = Root(route, customer, self.clock.now_s(), on_end)
        over_share = entry.fair_use.note(customer, route_name)
        root.shed_key = shed_key.make_shed_key(
            route.importance,
            over_share,
            ids.RequestId(str(next(self._request_ids))),
        )
        if self.policy.early_shed and entry.early_shed.should_shed(
            route_name, root.shed_key
        ):
            self.clock.call_later(HOP_S, self._end, root, False)
            return root
        root.deadline = self.clock.call_later(
            route.deadline_s, self._expire, root
        )

        def done(
            succeeded: bool, answer_feedback: feedbacks.Feedback | None
        ) -> None:
            if answer_feedback is not None:
                entry.early_shed.observe(route_name, answer_feedback)
            self._end(root, succeeded)

        root.call = Call(
            self,
            root,
            self.services[route.service],
            entry,
            retry_budget.RetryBudget(ROOT_RETRIES),
            done,
        )
        return root

    def _expire(self, root: Root) -> None:
        if self.policy.cancels and root.call is not None:
            root.call.cancel()
        self._end(root, False)

    def _end(self, root: Root, succeeded: bool) -> None:
        if root.ended_s is not None:
            return
        root.ended_s = self.clock.now_s()
        root.succeeded = succeeded
        if root.deadline is not None:
            root.deadline.cancel()
        root.on_end(root)


def _member(name: str, spec: ServiceSpec | None) -> directories.Member:
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


def make_members(spec: ServiceSpec) -> tuple[directories.Member, ...]:
    """Returns the members whose upstreams serve a service."""
    return tuple(
        _member(f"{spec.name}-{index}", spec) for index in range(spec.targets)
    )


def chain(
    depth: int,
    targets: int = 3,
    workers: int = 4,
    slots: int = 96,
    work_s: float = 0.02,
    spare: int = 2,
) -> list[ServiceSpec]:
    """Returns a chain whose deepest service has the least capacity.

    Args:
        depth: Number of services.
        targets: Targets of each service.
        workers: Workers of the deepest service's targets.
        slots: Slots that each target announces.
        work_s: Mean work of a request at each service.
        spare: Workers that the other services have more.
    """
    return [
        ServiceSpec(
            f"service-{index}",
            targets,
            workers if index == depth - 1 else workers + spare,
            slots,
            work_s,
            f"service-{index + 1}" if index < depth - 1 else None,
        )
        for index in range(depth)
    ]


def capacity_per_s(spec: ServiceSpec) -> float:
    """Returns the requests a second that a service can work on."""
    return spec.targets * spec.workers / spec.work_s


class PoissonClients:
    """Open-loop callers of one route, which may retry failures.

    Attributes:
        roots: All requests sent, retries included.
        first_roots: The first attempts among them.
    """

    def __init__(
        self,
        graph: Graph,
        route: str,
        customer: str,
        rate_per_s: float,
        seed: int,
        retries: int = 0,
        retry_after_s: float = 0.05,
    ) -> None:
        self._graph = graph
        self._route = route
        self._customer = customer
        self._rate_per_s = rate_per_s
        self._random = random_module.Random(seed)
        self._retries = retries
        self._retry_after_s = retry_after_s
        self.roots: list[Root] = []
        self.first_roots: list[Root] = []
        self._arrive_later()

    def scale_rate(self, factor: float) -> None:
        """Multiplies the rate from the next arrival on."""
        self._rate_per_s *= factor

    def _arrive_later(self) -> None:
        self._graph.clock.call_later(
            self._random.expovariate(self._rate_per_s), self._arrive
        )

    def _arrive(self) -> None:
        self._arrive_later()
        self._send(self._retries)
        self.first_roots.append(self.roots[-1])

    def _send(self, retries: int) -> None:
        def ended(root: Root) -> None:
            if not root.succeeded and retries:
                delay_s = self._retry_after_s * (0.5 + self._random.random())
                self._graph.clock.call_later(delay_s, self._send, retries - 1)

        self.roots.append(self._graph.send(self._route, self._customer, ended))
