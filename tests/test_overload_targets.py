"""Tests of target choice, outlier ejection, retry throttling and hedging."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies
import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.intents import model
from cyclamendale.membership import directory as directories
from cyclamendale.overload import feedback
from cyclamendale.overload import hedge
from cyclamendale.overload import power_of_two
from cyclamendale.overload import retry_throttle

SERVICE = ids.ServiceName("catalogue")


def member(name, domain="near", slots=10):
    upstream = directories.Announcement(
        SERVICE, name, slots, 100, directories.UpstreamState.READY
    )
    return directories.Member(name, name, domain, 1, upstream=upstream)


class ListDirectory(directories.Directory):
    """Directory backed by a list that tests may change."""

    def __init__(self, members):
        self.list = members

    def own(self):
        return member("own")

    def members(self):
        return self.list

    def targets(self, service):
        return tuple(self.list)

    def subscribe(self, listener):
        pass


class TargetTest(testtools.TestCase):
    def make(self, *members):
        self.reactor = task.Clock()
        self.directory = ListDirectory(list(members))
        self.chooser = power_of_two.make_target_chooser(
            clocks.ReactorClock(self.reactor),
            random.Random(4),
            self.directory,
        )

    def count_choices(self, count=200, excluded=()):
        names = (
            self.chooser.choose(SERVICE, excluded).node for _ in range(count)
        )
        return collections.Counter(names)

    def complete_calls(self, node, succeeded=True, load=None, count=1):
        for _ in range(count):
            self.chooser.record_sent(node)
            report = None if load is None else feedback.Feedback(load=load)
            self.chooser.record_answer(node, 0.01, succeeded, report)

    def test_the_less_loaded_targets_are_preferred(self):
        self.make(member("a"), member("b"))
        self.complete_calls("a", load=0.8)
        self.complete_calls("b", load=0.1)
        self.assertGreater(self.count_choices()["b"], 120)

    def test_calls_in_flight_count_as_load(self):
        self.make(member("a"), member("b"))
        for _ in range(5):
            self.chooser.record_sent("a")
        self.assertGreater(self.count_choices()["b"], 120)

    def test_the_own_domain_is_preferred_unless_saturated(self):
        self.make(member("a"), member("b"), member("c", "far"))
        self.assertEqual(0, self.count_choices()["c"])
        self.complete_calls("a", load=1.5)
        self.complete_calls("b", load=1.5)
        self.assertEqual(200, self.count_choices()["c"])
        self.complete_calls("a", load=0.2)
        self.complete_calls("b", load=0.2)
        self.assertEqual(0, self.count_choices()["c"])

    def test_a_saturated_domain_does_not_spill_over_to_a_worse_one(self):
        self.make(member("a"), member("c", "far"))
        self.complete_calls("a", load=1.5)
        self.complete_calls("c", load=1.5)
        self.assertEqual(0, self.count_choices()["c"])

    def test_an_empty_own_domain_spills_over(self):
        self.make(member("c", "far"))
        self.assertEqual(200, self.count_choices()["c"])

    def test_reported_load_decays(self):
        self.make(member("a"), member("c", "far"))
        self.complete_calls("a", load=1.5)
        self.assertEqual(200, self.count_choices()["c"])
        self.reactor.advance(2.0)
        self.assertEqual(0, self.count_choices()["c"])

    def test_excluded_targets_are_never_chosen(self):
        self.make(member("a"), member("b"), member("c", "far"))
        self.assertEqual(200, self.count_choices(excluded={"a", "b"})["c"])
        everyone = {"a", "b", "c"}
        self.assertIsNone(self.chooser.choose(SERVICE, everyone))

    def test_a_failing_target_is_ejected_probed_and_restored(self):
        self.make(member("a"), member("b"))
        self.complete_calls("a", succeeded=False, count=5)
        self.assertEqual(0, self.count_choices()["a"])
        self.reactor.advance(1.1)
        self.chooser.record_sent("a")
        self.assertEqual(0, self.count_choices()["a"])
        self.chooser.record_answer("a", 0.01, True, None)
        self.assertGreater(self.count_choices()["a"], 0)

    def test_a_failed_probe_doubles_the_ejection(self):
        self.make(member("a"), member("b"))
        self.complete_calls("a", succeeded=False, count=5)
        self.reactor.advance(1.1)
        self.complete_calls("a", succeeded=False)
        self.reactor.advance(1.1)
        self.assertEqual(0, self.count_choices()["a"])
        self.reactor.advance(1.0)
        self.assertGreater(self.count_choices()["a"], 0)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 5), strategies.booleans())
        )
    )
    def test_no_more_than_half_is_ever_ejected(self, outcomes):
        self.make(*(member(str(index)) for index in range(6)))
        for index, succeeded in outcomes:
            self.complete_calls(str(index), succeeded, count=5)
            self.assertGreaterEqual(len(self.count_choices(100)), 3)


class RetryThrottleTest(testtools.TestCase):
    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=500))
    def test_retries_stay_within_a_tenth_of_the_calls(self, steps):
        throttle = retry_throttle.make_retry_throttle()
        calls = retries = 0
        for is_call in steps:
            if is_call:
                throttle.record_call()
                calls += 1
            else:
                retries += throttle.try_acquire()
            self.assertLessEqual(retries, 10 + 0.1 * calls + 1e-6)

    def test_less_important_requests_leave_a_reserve(self):
        throttle = retry_throttle.make_retry_throttle()
        taken = [
            sum(throttle.try_acquire(importance) for _ in range(20))
            for importance in sorted(model.Importance, reverse=True)
        ]
        self.assertEqual([2, 3, 2, 3], taken)


class HedgeTest(testtools.TestCase):
    def test_the_delay_follows_the_95th_percentile(self):
        policy = hedge.make_hedge_policy()
        source = random.Random(6)
        for scale in (0.01, 0.1, 0.01):
            for _ in range(3000):
                policy.record_call("r")
                policy.observe("r", source.uniform(0.0, scale))
            self.assertAlmostEqual(
                0.95 * scale, policy.record_call("r"), delta=0.15 * scale
            )

    def test_a_new_route_is_not_hedged(self):
        policy = hedge.make_hedge_policy()
        self.assertIsNone(policy.record_call("r"))
        self.assertFalse(policy.try_acquire("unknown"))

    def test_hedges_stay_within_their_share_of_the_calls(self):
        policy = hedge.make_hedge_policy()
        hedges = 0
        for _ in range(10_000):
            policy.record_call("r")
            hedges += policy.try_acquire("r")
        self.assertLessEqual(hedges, 0.06 * 10_000 + 5)
