"""Requests of the simulated call graph, and the upstreams that serve them."""

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

HOP_DELAY_S = 0.0005


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service of the call graph.

    Attributes:
        name: Name of the service.
        targets: Number of its targets.
        workers: Requests that a target processes concurrently.
        slots: Requests that a target announces it can hold.
        work_s: Mean work of a request.
        onward_service: Service that it calls, or None.
        onward_share: Share of its requests that make the onward call.
        straggler_share: Share of its requests that are stragglers.
        straggler_factor: Factor on the work of a straggler.
    """

    name: str
    targets: int
    workers: int
    slots: int
    work_s: float
    onward_service: str | None = None
    onward_share: float = 1.0
    straggler_share: float = 0.0
    straggler_factor: float = 1.0


class RouteSpec(msgspec.Struct, frozen=True):
    """A route to the first service of a call chain."""

    name: str
    service: str
    importance: model.Importance = model.Importance.NORMAL
    deadline_s: float = 1.0


class RootRequest:
    """A root request and its outcome."""

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
        "total_work_s",
    )

    def __init__(
        self,
        route: RouteSpec,
        customer: ids.CustomerId,
        arrived_s: float,
        on_end: Callable[[RootRequest], None],
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
        self.total_work_s = 0.0


class Upstream:
    """Upstream of one target: its workers and its internal queue."""

    def __init__(self, graph: graphs.Graph, spec: ServiceSpec) -> None:
        self._graph = graph
        self._spec = spec
        self._busy = 0
        self._queue: collections.deque[Attempt] = collections.deque()
        self.work_factor = 1.0

    def run(self, attempt: Attempt) -> None:
        """Processes a request as soon as a worker is free."""
        if self._busy < self._spec.workers:
            self._begin(attempt)
        else:
            self._queue.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Removes a request from the queue or aborts its work."""
        if attempt.work_timer is None:
            if attempt in self._queue:
                self._queue.remove(attempt)
            return
        attempt.work_timer.cancel()
        self._free_worker(attempt)

    def _begin(self, attempt: Attempt) -> None:
        self._busy += 1
        spec = self._spec
        random = self._graph.random
        duration_s = random.expovariate(1 / spec.work_s) * self.work_factor
        if spec.straggler_share and random.random() < spec.straggler_share:
            duration_s *= spec.straggler_factor
        clock = self._graph.clock
        attempt.work_started_s = clock.now_s()
        attempt.work_timer = clock.call_later(
            duration_s, self._complete, attempt
        )

    def _complete(self, attempt: Attempt) -> None:
        self._free_worker(attempt)
        attempt.handle_work_done()

    def _free_worker(self, attempt: Attempt) -> None:
        attempt.work_timer = None
        duration_s = self._graph.clock.now_s() - attempt.work_started_s
        attempt.call.root.total_work_s += duration_s
        self._graph.total_work_s += duration_s
        self._busy -= 1
        if self._queue:
            self._begin(self._queue.popleft())


class Attempt:
    """One attempt of a call, sent to one target."""

    __slots__ = (
        "call",
        "child",
        "graph",
        "is_live",
        "onward_feedbacks",
        "node",
        "onward_started_s",
        "onward_s",
        "sent_s",
        "started_s",
        "ticket",
        "work_started_s",
        "work_timer",
    )

    def __init__(self, call: Call, node: graphs.Node, node_id: str) -> None:
        self.call = call
        self.graph = call.graph
        self.node = node
        self.is_live = True
        self.child: Call | None = None
        self.onward_feedbacks: list[feedbacks.Feedback] = []
        self.onward_s = 0.0
        self.started_s: float | None = None
        self.work_timer: events.ScheduledCall | None = None
        root = call.root
        self.ticket = admission.Ticket(
            root.customer,
            root.shed_key,
            root.arrived_s + root.route.deadline_s,
            self._start,
            self._handle_refusal,
        )
        self.ticket.started_s = None
        self.sent_s = self.graph.clock.now_s()
        call.caller.target_chooser.record_sent(node_id)
        self.graph.clock.call_later(HOP_DELAY_S, self._submit)

    def cancel(self) -> None:
        """Cancels the attempt and releases everything that it holds."""
        if not self.is_live:
            return
        self.is_live = False
        if self.child is not None:
            self.child.cancel()
            self.node.admission.resume(self.ticket)
            self.onward_s = self.graph.clock.now_s() - self.onward_started_s
        if self.started_s is None:
            self.node.admission.withdraw(self.ticket)
        else:
            self.node.upstream.cancel(self)
            self._finish_ticket(admission.Completion.CANCELLED)
        self.call.caller.target_chooser.record_answer(
            self.call.node_id(self), self._elapsed_s(), True, None
        )

    def handle_work_done(self) -> None:
        """Answers when the own work is done, after the onward call if any."""
        spec = self.call.spec
        if (
            spec.onward_service is None
            or self.graph.random.random() >= spec.onward_share
        ):
            self._complete(True)
            return
        self.onward_started_s = self.graph.clock.now_s()
        self.node.admission.pause(self.ticket)
        self.child = Call(
            self.graph,
            self.call.root,
            self.graph.services[spec.onward_service],
            self.node,
            self.call.budget,
            self._handle_onward_result,
        )

    def _submit(self) -> None:
        if self.is_live:
            self.node.admission.submit(self.ticket)

    def _start(self) -> None:
        self.started_s = self.graph.clock.now_s()
        self.node.upstream.run(self)

    def _handle_refusal(self, refusal: refusals.Refusal) -> None:
        self.is_live = False
        self.graph.refused_at_gates += 1
        self._send_reply(False, True, self.node.admission.feedback())

    def _handle_onward_result(
        self,
        succeeded: bool,
        onward_feedback: feedbacks.Feedback | None,
    ) -> None:
        self.child = None
        self.node.admission.resume(self.ticket)
        self.onward_s = self.graph.clock.now_s() - self.onward_started_s
        if onward_feedback is not None:
            self.onward_feedbacks.append(onward_feedback)
        self._complete(succeeded)

    def _complete(self, succeeded: bool) -> None:
        self.is_live = False
        self._finish_ticket(
            admission.Completion.ANSWERED
            if succeeded
            else admission.Completion.FAILED
        )
        own_feedback = self.node.admission.feedback()
        self._send_reply(
            succeeded,
            False,
            threshold_shed.combine(own_feedback, self.onward_feedbacks),
        )

    def _finish_ticket(self, completion: admission.Completion) -> None:
        total_s = self.graph.clock.now_s() - self.started_s
        self.node.admission.finish(
            self.ticket, total_s - self.onward_s, completion
        )

    def _send_reply(
        self,
        succeeded: bool,
        not_run: bool,
        answer_feedback: feedbacks.Feedback,
    ) -> None:
        self.graph.clock.call_later(
            HOP_DELAY_S, self._handle_reply, succeeded, not_run, answer_feedback
        )

    def _handle_reply(
        self,
        succeeded: bool,
        not_run: bool,
        answer_feedback: feedbacks.Feedback,
    ) -> None:
        # Recorded as a success: the target is not to blame for a refusal or a
        # failed onward call.
        self.call.caller.target_chooser.record_answer(
            self.call.node_id(self), self._elapsed_s(), True, answer_feedback
        )
        self.call.handle_attempt_end(self, succeeded, not_run, answer_feedback)

    def _elapsed_s(self) -> float:
        return self.graph.clock.now_s() - self.sent_s


class Call:
    """A call to a service: attempts until one succeeds or none remains."""

    __slots__ = (
        "_attempts",
        "_on_result",
        "_hedge_timer",
        "_parent_budget",
        "_lent_retries",
        "_tried_nodes",
        "budget",
        "caller",
        "has_ended",
        "graph",
        "root",
        "spec",
    )

    def __init__(
        self,
        graph: graphs.Graph,
        root: RootRequest,
        spec: ServiceSpec,
        caller: graphs.Node,
        parent_budget: retry_budget.RetryBudget,
        on_result: Callable[[bool, feedbacks.Feedback | None], None],
    ) -> None:
        self.graph = graph
        self.root = root
        self.spec = spec
        self.caller = caller
        self.has_ended = False
        self._on_result = on_result
        self._parent_budget = parent_budget
        self._lent_retries = parent_budget.lend(parent_budget.remaining)
        self.budget = retry_budget.RetryBudget(self._lent_retries)
        self._attempts: dict[Attempt, str] = {}
        self._tried_nodes: set[str] = set()
        self._hedge_timer: events.ScheduledCall | None = None
        caller.retry_throttle.record_call()
        if self._send_attempt():
            self._schedule_hedge()

    def node_id(self, attempt: Attempt) -> str:
        """Returns the node id of the target of an attempt."""
        return self._attempts[attempt]

    def handle_attempt_end(
        self,
        attempt: Attempt,
        succeeded: bool,
        not_run: bool,
        answer_feedback: feedbacks.Feedback,
    ) -> None:
        """Ends the call, retries a refused attempt or waits for another."""
        if self.has_ended:
            return
        if self.graph.hedging_enabled and not not_run:
            self._observe_latency(attempt)
        if succeeded:
            self._finish(True, answer_feedback)
        elif not_run and self._acquire_retry() and self._send_attempt():
            self.graph.retries_sent += 1
        elif not any(other.is_live for other in self._attempts):
            self._finish(False, answer_feedback)

    def cancel(self) -> None:
        """Cancels the call; no result is reported."""
        if not self.has_ended:
            self._close()

    def _acquire_retry(self) -> bool:
        return (
            self.graph.policy.retries_refused_calls
            and self.budget.remaining > 0
            and self.caller.retry_throttle.try_acquire(
                self.root.route.importance
            )
            and self.budget.spend()
        )

    def _send_attempt(self) -> bool:
        member = self.caller.target_chooser.choose(
            self.spec.name, self._tried_nodes
        )
        if member is None:
            if not self._attempts:
                self._finish(False, None)
            return False
        self._tried_nodes.add(member.node)
        node = self.graph.nodes[member.node]
        attempt = Attempt(self, node, member.node)
        self._attempts[attempt] = member.node
        return True

    def _schedule_hedge(self) -> None:
        if self.graph.hedging_enabled:
            delay_s = self.caller.hedge_policy.record_call(self.spec.name)
            if delay_s is not None:
                self._hedge_timer = self.graph.clock.call_later(
                    delay_s, self._send_hedge
                )

    def _send_hedge(self) -> None:
        if (
            self.budget.remaining > 0
            and self.caller.hedge_policy.try_acquire(self.spec.name)
            and self.budget.spend()
            and self._send_attempt()
        ):
            self.graph.hedges_sent += 1

    def _observe_latency(self, ended: Attempt) -> None:
        first = next(iter(self._attempts))
        if ended is first or first.is_live:
            self.caller.hedge_policy.observe(
                self.spec.name, self.graph.clock.now_s() - first.sent_s
            )

    def _finish(
        self,
        succeeded: bool,
        answer_feedback: feedbacks.Feedback | None,
    ) -> None:
        self._close()
        self._on_result(succeeded, answer_feedback)

    def _close(self) -> None:
        self.has_ended = True
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for attempt in self._attempts:
            attempt.cancel()
        self._parent_budget.take_back(self._lent_retries, self.budget.remaining)
