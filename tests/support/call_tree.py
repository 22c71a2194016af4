"""Call trees run through real forwardings over a scripted transport."""

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
    """Runs calls; each run of a service makes `width` onward calls.

    Attributes:
        attempts: Attempts sent in all, per call.
        runs: Runs of a handler, per call.
        outcome_of: Decides what happens to each attempt.
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
        chooser = path_node.ListedChooser()
        chooser.members = [
            directory.Member(
                ids.NodeId(f"n{number}"),
                ids.PeerAddress(f"n{number}"),
                ids.FailureDomainName("north"),
                1,
            )
            for number in range(8)
        ]
        self.policy = path_node.FreePolicy()
        self.forwarder = forwarder.Forwarder(
            self.clock,
            chooser,
            path_node.NoShed(),
            self.policy,
            lambda target: _ScriptedTransport(self),
        )

    def call(self, budget, parent=None, caller=None) -> TreeCaller:
        """Forwards one call; returns what its caller heard."""
        caller = self.make_call(budget, parent, caller)
        self.forwarder.forward(caller.call, caller)
        return caller

    def make_context(self, budget):
        """Returns the context of a request that runs."""
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

    def make_call(self, budget, parent=None, caller=None) -> TreeCaller:
        """Returns the caller of a call that is not yet forwarded."""
        caller = caller or TreeCaller()
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

    def root(self, budget: int) -> TreeCaller:
        """Runs a root call to its end."""
        caller = self.call(retry_budget.RetryBudget(budget))
        for _ in range(400):
            if caller.heard:
                break
            self.reactor.advance(1.0)
        return caller


class TreeCaller(callers.Caller):
    """Keeps what the caller of one call heard."""

    def __init__(self, ended=lambda: None) -> None:
        self.heard = []
        self._ended = ended

    def filters_passed(self):
        self.heard.append("passed")

    def answer(self, answer):
        self._hear(answer)

    def chunk(self, data, last):
        self._hear(data)

    def refuse(self, refusal):
        self._hear(refusal)

    def abort(self):
        self._hear("abort")

    def request_upload(self):
        self._hear("upload")

    def last(self):
        """Returns reason and execution of the refusal heard last."""
        return self.heard[-1].reason, self.heard[-1].execution

    def _hear(self, what):
        self.heard.append(what)
        self._ended()


class _ScriptedTransport(exchange.CallTransport):
    def __init__(self, tree: Tree) -> None:
        self._tree = tree

    def open(self, envelope, receiver):
        return _ScriptedExchange(self._tree, envelope, receiver)


class _ScriptedExchange(exchange.Exchange):
    """One attempt: runs the handler and its onward calls, or fails."""

    def __init__(self, tree, envelope, receiver) -> None:
        self._tree = tree
        self._envelope = envelope
        self._receiver = receiver
        self._left = tree.width if envelope.depth < tree.depth else 0
        self._context = None
        tree.attempts += 1
        self._outcome = tree.outcome_of()
        tree.reactor.callLater(0.001, self._arrive)

    def _arrive(self):
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
        self._next_onward()

    def _next_onward(self):
        if self._left:
            self._left -= 1
            self._tree.call(
                self._context.budget,
                self._context,
                TreeCaller(self._next_onward),
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
    """Returns a source of outcomes, healthy with the given share."""
    rng = random.Random(seed)
    return lambda: (
        "answer" if rng.random() < healthy_share else rng.choice(OUTCOMES)
    )
