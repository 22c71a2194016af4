"""Requests in the modelled call graph, and the upstreams that do them."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.entry import retry_budget
from cyclamendale.intents import model
from cyclamendale.overload import admission
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.overload import shed_key
from cyclamendale.overload import threshold_shed
from measure import _call_graph_model_events as events

if TYPE_CHECKING:
    from measure import _call_graph_model as graphs

HOP_S = 0.0005


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

    def __init__(self, graph: graphs.Graph, spec: ServiceSpec) -> None:
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

    def __init__(self, call: Call, node: graphs.Node, node_id: str) -> None:
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
        call.caller.chooser.record_sent(node_id)
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
        self.call.caller.chooser.record_answer(
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
        self.call.caller.chooser.record_answer(
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
        graph: graphs.Graph,
        root: Root,
        spec: ServiceSpec,
        caller: graphs.Node,
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
        caller.throttle.record_call()
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
            and self.caller.throttle.try_acquire(self.root.route.importance)
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
            delay_s = self.caller.hedging.record_call(self.spec.name)
            if delay_s is not None:
                self._hedge = self.graph.clock.call_later(
                    delay_s, self._send_hedge
                )

    def _send_hedge(self) -> None:
        if (
            self.budget.remaining > 0
            and self.caller.hedging.try_acquire(self.spec.name)
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
