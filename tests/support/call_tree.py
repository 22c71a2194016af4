"""Call trees that run through the real forwarder over a scripted transport.

Each attempt succeeds or fails as a scripted outcome says, so that a test
can bound attempts and handler runs over a whole tree.
"""

from __future__ import annotations

import random

from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.entry import call as calls
from cyclamendale.entry import retry_budget
from cyclamendale.forwarding import caller as callers
from cyclamendale.forwarding import exchange
from cyclamendale.forwarding import forwarder
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.overload import feedback
from cyclamendale.upstream import contexts
from tests.support import path_node

OUTCOMES = (
    "answer",
    "fail",
    "refuse",
    "lose-request",
    "lose-answer",
    "silence",
)


class Tree:
    """Runs call trees in which each handler makes `width` onward calls.

    Attributes:
        outcome_of: Returns the outcome of the next attempt, one of
            `OUTCOMES`.
        width: Onward calls of each handler.
        depth: Depth at which handlers make no more onward calls.
        attempts: Attempts sent, over all calls.
        calls: Calls made.
        runs: Handler runs by request id.
    """

    def __init__(self, outcome_of, width=2, depth=3, **route_fields) -> None:
        self.reactor = task.Clock()
        self.clock = clocks.ReactorClock(self.reactor)
        self.outcome_of = outcome_of
        self.width = width
        self.depth = depth
        self.attempts = 0
        self.calls = 0
        self.runs = {}
        self.route = model.Route(
            ids.RouteName("shop"),
            ids.ServiceName("shop"),
            "/shop",
            **{"idempotent": True, "deadline_s": 60.0, **route_fields},
        )
        chooser = path_node.FirstTargetChooser()
        chooser.members = [
            directory.Member(
                ids.NodeId(f"n{number}"),
                ids.PeerAddress(f"n{number}"),
                ids.FailureDomainName("north"),
                1,
            )
            for number in range(8)
        ]
        self.policy = path_node.UnlimitedRetryPolicy()
        self.forwarder = forwarder.Forwarder(
            self.clock,
            chooser,
            path_node.NoShedder(),
            self.policy,
            lambda target: _ScriptedTransport(self),
        )

    def start_call(self, budget, parent=None, caller=None) -> RecordingCaller:
        """Forwards a new call; returns its caller."""
        caller = self.make_caller(budget, parent, caller)
        self.forwarder.forward(caller.call, caller)
        return caller

    def make_context(self, budget):
        """Returns the context of a running request."""
        return contexts.Context(
            ids.RequestId("parent"),
            ids.CustomerId("masons"),
            self.route.name,
            self.route.importance,
            60.0,
            0,
            0,
            budget,
        )

    def make_caller(self, budget, parent=None, caller=None) -> RecordingCaller:
        """Returns the caller of a new call that is not forwarded yet."""
        caller = caller or RecordingCaller()
        call = calls.Call(
            b"GET",
            b"/shop",
            [],
            model.Configuration(),
            self.clock.now_s(),
            caller,
        )
        call.parent = parent
        call.budget = budget
        call.depth = parent.depth + 1 if parent else 0
        call.route = self.route
        call.deadline_s = self.clock.now_s() + self.route.deadline_s
        call.request = ids.RequestId(f"call-{self.calls}")
        self.calls += 1
        caller.call = call
        return caller

    def run_root_call(self, budget: int) -> RecordingCaller:
        """Runs a root call until its first event, for at most 400 s."""
        caller = self.start_call(retry_budget.RetryBudget(budget))
        for _ in range(400):
            if caller.events:
                break
            self.reactor.advance(1.0)
        return caller


class RecordingCaller(callers.Caller):
    """Caller that records the events of one call.

    Attributes:
        events: What was received, in order: answers, refusals, chunks of
            data, or a name for an event without data.
        call: The call, set by `Tree.make_caller`.
    """

    def __init__(self, on_event=lambda: None) -> None:
        self.events = []
        self._on_event = on_event

    def filters_passed(self):
        self.events.append("passed")

    def answer(self, answer):
        self._record(answer)

    def chunk(self, data, last):
        self._record(data)

    def refuse(self, refusal):
        self._record(refusal)

    def abort(self):
        self._record("abort")

    def request_upload(self):
        self._record("upload")

    def last_refusal(self):
        """Returns reason and execution of the last event, a refusal."""
        return self.events[-1].reason, self.events[-1].execution

    def _record(self, event):
        self.events.append(event)
        self._on_event()


class _ScriptedTransport(exchange.CallTransport):
    """Opens scripted attempts."""

    def __init__(self, tree: Tree) -> None:
        self._tree = tree

    def open(self, envelope, receiver):
        return _ScriptedExchange(self._tree, envelope, receiver)


class _ScriptedExchange(exchange.Exchange):
    """Attempt that runs the handler and its onward calls, or fails."""

    def __init__(self, tree, envelope, receiver) -> None:
        self._tree = tree
        self._envelope = envelope
        self._receiver = receiver
        self._calls_left = tree.width if envelope.depth < tree.depth else 0
        self._context = None
        tree.attempts += 1
        self._outcome = tree.outcome_of()
        tree.reactor.callLater(0.001, self._deliver)

    def _deliver(self):
        if self._outcome == "lose-request":
            self._receiver.lost(sent=True)
        elif self._outcome == "refuse":
            self._receiver.refused(
                refusals.Refusal(refusals.RefusalReason.LEAVING),
                None,
                self._envelope.budget,
            )
        else:
            self._run()

    def _run(self):
        envelope = self._envelope
        runs = self._tree.runs
        runs[envelope.request] = runs.get(envelope.request, 0) + 1
        self._context = contexts.Context(
            envelope.request,
            envelope.customer,
            envelope.route,
            envelope.importance,
            envelope.deadline_s,
            envelope.depth,
            envelope.shed_key,
            retry_budget.RetryBudget(envelope.budget),
        )
        self._make_next_call()

    def _make_next_call(self):
        if self._calls_left:
            self._calls_left -= 1
            self._tree.start_call(
                self._context.budget,
                self._context,
                RecordingCaller(self._make_next_call),
            )
            return
        unused = self._context.budget.drain()
        if self._outcome == "lose-answer":
            self._receiver.lost(sent=True)
        elif self._outcome != "silence":
            status = 500 if self._outcome == "fail" else 200
            self._receiver.answered(
                exchange.Answer(
                    status, b"", b"", False, 0, unused, feedback.Feedback()
                )
            )

    def pull(self):
        raise AssertionError("short answers are not pulled")

    def push(self, data, last):
        raise AssertionError("short requests are not pushed")

    def cancel(self):
        self._outcome = "silence"
        return False


def random_outcomes(seed: int, healthy_share: float):
    """Returns a function that draws outcomes.

    Args:
        seed: Seed of the random numbers.
        healthy_share: Minimum probability of "answer"; the rest is drawn
            from all outcomes.
    """
    rng = random.Random(seed)
    return lambda: (
        "answer" if rng.random() < healthy_share else rng.choice(OUTCOMES)
    )
