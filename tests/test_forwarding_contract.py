"""Contract tests of a forwarding with its attempts and its caller."""

from __future__ import annotations

import testscenarios
import testtools

from cyclamendale import refusals
from cyclamendale.entry import retry_budget
from tests.support import call_tree
from tests.support import held_exchange

REASONS = refusals.RefusalReason
NOT_RUN = refusals.Execution.NOT_RUN
UNKNOWN = refusals.Execution.UNKNOWN


class ForwardingTest(testtools.TestCase):
    def start(self, more=False, never_sent=False, hedge_s=None, **fields):
        self.tree = call_tree.Tree(lambda: "answer", **fields)
        self.tree.policy.hedge_after_s = hedge_s
        self.attempts = []

        def open_(envelope, receiver):
            held = held_exchange.HeldExchange(envelope, receiver, never_sent)
            self.attempts.append(held)
            return held

        self.tree.forwarder.transport_for = lambda target: (
            held_exchange.HeldTransport(open_)
        )
        self.budget = retry_budget.RetryBudget(3)
        self.caller = self.tree.make_caller(self.budget)
        self.caller.call.more = more
        self.forwarding = self.tree.forwarder.forward(
            self.caller.call, self.caller
        )

    def refusal(self):
        """Returns the only event that the caller received, a refusal."""
        (refusal,) = self.caller.events
        return refusal.reason, refusal.execution

    def test_an_upload_not_yet_requested_is_retried_when_not_run(self):
        self.start(more=True, idempotent=False)
        self.attempts[0].refuse()
        self.assertEqual(2, len(self.attempts))
        self.assertEqual([], self.caller.events)

    def test_a_started_upload_is_never_retried(self):
        self.start(more=True)
        self.attempts[0].receiver.upload_requested()
        self.attempts[0].refuse()
        self.assertEqual(1, len(self.attempts))
        self.assertEqual((REASONS.LEAVING, NOT_RUN), self.caller.last_refusal())

    def test_an_upload_continues_while_its_answer_arrives(self):
        self.start(more=True)
        self.attempts[0].receiver.upload_requested()
        self.attempts[0].answer(more=True)
        self.attempts[0].receiver.upload_requested()
        self.assertEqual(2, self.caller.events.count("upload"))
        self.forwarding.push(b"rest", True)
        self.assertEqual([(b"rest", True)], self.attempts[0].pushes)

    def test_a_call_past_its_deadline_is_not_sent(self):
        self.start(deadline_s=0.0)
        self.assertEqual([], self.attempts)
        self.assertEqual((REASONS.DEADLINE, NOT_RUN), self.refusal())

    def test_a_call_whose_parent_ended_is_not_sent(self):
        self.start()
        parent = self.tree.make_context(self.budget)
        parent.ended = True
        caller = self.tree.make_caller(self.budget, parent)
        self.tree.forwarder.forward(caller.call, caller)
        self.assertEqual(1, len(self.attempts))
        self.assertEqual((REASONS.CANCELLED, NOT_RUN), caller.last_refusal())

    def test_the_deadline_aborts_a_streamed_answer(self):
        self.start(deadline_s=2.0)
        self.attempts[0].answer(more=True)
        self.tree.reactor.advance(2.1)
        self.assertTrue(self.attempts[0].cancelled)
        self.assertEqual("abort", self.caller.events[-1])

    def test_only_the_first_answer_of_a_hedged_call_is_forwarded(self):
        self.start(hedge_s=1.0, hedge=True)
        self.tree.reactor.advance(1.0)
        self.attempts[1].answer(unused=1)
        self.attempts[0].answer(unused=1)
        self.assertTrue(self.attempts[0].cancelled)
        self.assertEqual(1, len(self.caller.events))
        # The cancelled attempt keeps its loan of 2, the hedge cost 1.
        self.assertEqual(0, self.budget.remaining)

    def test_a_call_is_not_retried_after_its_answer_started(self):
        self.start()
        self.attempts[0].answer(status=503, more=True)
        self.attempts[0].receiver.lost(sent=True)
        self.assertEqual(1, len(self.attempts))
        self.assertEqual("abort", self.caller.events[-1])

    def test_an_attempt_has_one_outcome(self):
        self.start(idempotent=False)
        self.attempts[0].receiver.lost(sent=True)
        self.attempts[0].refuse()
        self.attempts[0].answer()
        self.assertEqual((REASONS.LOST, UNKNOWN), self.refusal())

    def test_an_upload_over_its_limit_cancels_the_attempt(self):
        self.start(more=True)
        self.attempts[0].receiver.upload_requested()
        self.forwarding.fail(refusals.Refusal(REASONS.TOO_LARGE))
        self.assertTrue(self.attempts[0].cancelled)
        self.assertEqual(
            (REASONS.TOO_LARGE, UNKNOWN), self.caller.last_refusal()
        )


class NotRunTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """An ended call is reported as not run only if no attempt may have run."""

    scenarios = testscenarios.multiply_scenarios(
        [
            ("cancelled", {"end": lambda self: self.forwarding.cancel()}),
            (
                "deadline",
                {"end": lambda self: self.tree.reactor.advance(9.0)},
            ),
        ],
        [
            ("never-sent", {"never_sent": True, "first": None, "want": True}),
            ("sent", {"never_sent": False, "first": None, "want": False}),
            (
                "retried",
                {"never_sent": True, "first": "lost", "want": False},
            ),
        ],
    )

    start = ForwardingTest.start

    def test_not_run_is_reported_correctly(self):
        self.start(never_sent=self.never_sent, deadline_s=8.0)
        if self.first:
            self.attempts[0].receiver.lost(sent=True)
            self.assertEqual(2, len(self.attempts))
        not_run = self.end(self)
        if not_run is None:
            not_run = self.caller.last_refusal()[1] is NOT_RUN
        self.assertEqual(self.want, not_run)
