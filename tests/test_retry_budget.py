"""Tests that the retry budget bounds the retries of a whole call tree."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools

from cyclamendale import refusals
from cyclamendale.forwarding import exchange
from tests.support import call_tree


class RetryBudgetTest(testtools.TestCase):
    @settings(max_examples=300)
    @given(
        budget=strategies.integers(0, 6),
        width=strategies.integers(1, 3),
        depth=strategies.integers(0, 3),
        seed=strategies.integers(0, 10_000),
        healthy_share=strategies.sampled_from([0.0, 0.3, 0.7, 0.95]),
        hedge_after_s=strategies.sampled_from([None, 0.0005, 0.01]),
    )
    def test_attempts_beyond_the_calls_never_exceed_the_budget(
        self, budget, width, depth, seed, healthy_share, hedge_after_s
    ):
        tree = call_tree.Tree(
            call_tree.random_outcomes(seed, healthy_share),
            width,
            depth,
            hedge=hedge_after_s is not None,
        )
        tree.policy.hedge_after_s = hedge_after_s
        tree.run_root_call(budget)
        self.assertLessEqual(tree.attempts - tree.calls, budget)

    @settings(max_examples=200)
    @given(
        seed=strategies.integers(0, 10_000),
        healthy_share=strategies.sampled_from([0.0, 0.5, 0.9]),
        width=strategies.integers(0, 2),
    )
    def test_a_non_idempotent_request_runs_at_most_once(
        self, seed, healthy_share, width
    ):
        tree = call_tree.Tree(
            call_tree.random_outcomes(seed, healthy_share),
            width,
            depth=2,
            idempotent=False,
        )
        tree.run_root_call(budget=6)
        self.assertLessEqual(max(tree.runs.values(), default=0), 1)

    @settings(max_examples=200)
    @given(
        seed=strategies.integers(0, 10_000),
        idempotent=strategies.booleans(),
        healthy_share=strategies.sampled_from([0.0, 0.5]),
    )
    def test_a_request_refused_as_not_run_did_not_run(
        self, seed, idempotent, healthy_share
    ):
        tree = call_tree.Tree(
            call_tree.random_outcomes(seed, healthy_share),
            width=0,
            depth=0,
            idempotent=idempotent,
        )
        heard = tree.run_root_call(budget=3).events
        self.assertEqual(1, len(heard))
        if isinstance(heard[0], refusals.Refusal) and (
            heard[0].execution is refusals.Execution.NOT_RUN
        ):
            self.assertEqual({}, tree.runs)

    def test_unused_lent_budget_is_available_to_a_later_call(self):
        outcomes = iter(["answer", "answer", "fail", "answer", "answer"])
        tree = call_tree.Tree(lambda: next(outcomes), width=2, depth=1)
        caller = tree.run_root_call(budget=1)
        self.assertIsInstance(caller.events[0], exchange.Answer)
        self.assertEqual((3, 4), (tree.calls, tree.attempts))

    def test_a_child_cannot_return_more_than_it_was_lent(self):
        tree = call_tree.Tree(lambda: "answer", width=0, depth=0)
        caller = tree.run_root_call(budget=3)
        budget = caller.call.budget
        lent = budget.lend(2)
        budget.take_back(lent, 50)
        self.assertEqual(3, budget.remaining)
