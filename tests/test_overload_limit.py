"""Tests of the adaptive concurrency limits on simulated own times."""

from __future__ import annotations

import random

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.overload import admission
from cyclamendale.overload import limit as limits

WORKERS = 8
SLOTS = 96
WORK_S = 0.02


class LimitTest(testtools.TestCase):
    scenarios = [
        ("aimd", {"limit_type": limits.AimdLimit}),
        ("gradient", {"limit_type": limits.GradientLimit}),
    ]

    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.random = random.Random(3)
        clock = clocks.ReactorClock(self.reactor)
        self.limit = self.limit_type(clock, 5.0)
        self.limit.set_capacity(SLOTS, 1000)

    def run_for(self, duration_s, slowness=1.0, offered=SLOTS):
        """Simulates an upstream that always has `offered` requests."""
        end_s = self.reactor.seconds() + duration_s
        while self.reactor.seconds() < end_s:
            active = min(offered, self.limit.current)
            mean_s = WORK_S * slowness * max(1.0, active / WORKERS)
            own_time_s = self.random.gammavariate(4.0, mean_s / 4.0)
            self.reactor.advance(mean_s / active)
            self.limit.observe(
                own_time_s, active, admission.Completion.ANSWERED
            )

    def test_congestion_lowers_the_limit_but_not_below_the_capacity(self):
        self.run_for(5.0, offered=2)
        self.run_for(5.0)
        self.assertLess(self.limit.current, SLOTS / 2)
        self.run_for(30.0)
        self.assertGreaterEqual(self.limit.current, WORKERS)
        self.assertLess(self.limit.current, SLOTS / 2)

    def test_the_limit_recovers_after_a_slow_period(self):
        self.run_for(5.0, offered=2)
        self.run_for(5.0)
        self.run_for(30.0, slowness=5.0)
        self.run_for(2.0)
        self.assertGreaterEqual(self.limit.current, WORKERS)

    def test_the_baseline_adapts_to_slower_work(self):
        self.run_for(5.0, offered=2)
        self.run_for(30.0, slowness=3.0)
        self.assertGreater(self.limit.expected_own_time_s, 1.5 * WORK_S)

    def test_a_slow_service_further_down_does_not_lower_the_limit(self):
        self.run_for(5.0, offered=2)
        # Many requests are held for long, but their own time is unchanged.
        for _ in range(2000):
            self.reactor.advance(0.01)
            self.limit.observe(WORK_S, 90, admission.Completion.ANSWERED)
        self.assertEqual(SLOTS, self.limit.current)

    def test_quick_failures_do_not_count(self):
        self.run_for(5.0, offered=2)
        expected_s = self.limit.expected_own_time_s
        for _ in range(1000):
            self.reactor.advance(0.01)
            self.limit.observe(0.0001, 90, admission.Completion.FAILED)
        self.assertEqual(expected_s, self.limit.expected_own_time_s)

    def test_cancelled_requests_that_took_long_lower_the_limit(self):
        self.run_for(5.0, offered=2)
        for _ in range(500):
            self.reactor.advance(0.01)
            self.limit.observe(1.0, 90, admission.Completion.CANCELLED)
        self.assertLess(self.limit.current, SLOTS / 2)

    def test_the_announced_bounds_cap_the_limit(self):
        for slots, connections, expected in [
            (50, 300, 50),
            (300, 40, 40),
            (0, 0, 1),
        ]:
            self.limit.set_capacity(slots, connections)
            self.run_for(1.0, offered=2)
            self.assertEqual(expected, self.limit.current)
