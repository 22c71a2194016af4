"""Tests of thresholds, early shedding and fair use."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies
import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.intents import model
from cyclamendale.overload import _demand
from cyclamendale.overload import _threshold_control
from cyclamendale.overload import fair_use
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys
from cyclamendale.overload import threshold_shed

MAX = shed_keys.MAX_SHED_KEY
CRITICAL_END = 1 << 24


def normal_keys():
    """Yields shed keys of NORMAL requests as an entry node sets them."""
    source = random.Random(5)
    while True:
        yield 2 << 24 | source.randrange(32) << 16 | source.getrandbits(16)


class ThresholdControlTest(testtools.TestCase):
    """A gate that serves 200/s; entry nodes apply thresholds at once."""

    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.control = _threshold_control.ThresholdControl(
            clocks.ReactorClock(self.reactor)
        )
        self.keys = normal_keys()
        self.waiting = []

    def run_for(self, duration_s, offered_per_s, served_per_s=200):
        arrived = 0
        for _ in range(int(duration_s * 100)):
            self.reactor.advance(0.01)
            for _ in range(int(offered_per_s / 100)):
                key = next(self.keys)
                if key <= self.control.threshold:
                    self.control.record_offered(key, len(self.waiting) / 20)
                    self.waiting.append(key)
                    arrived += 1
            self.waiting.sort(reverse=True)
            while len(self.waiting) > 20:
                self.control.record_refused(self.waiting.pop(0))
            for _ in range(min(len(self.waiting), int(served_per_s / 100))):
                self.waiting.pop()
                self.control.record_finished()
            self.control.update()
        return arrived / duration_s

    def test_without_overload_nothing_is_excluded(self):
        self.run_for(3.0, 100)
        self.assertEqual(MAX, self.control.threshold)

    def test_under_overload_about_the_capacity_is_let_through(self):
        self.run_for(2.0, 600)
        admitted_per_s = self.run_for(5.0, 600)
        self.assertGreater(admitted_per_s, 0.95 * 200)
        self.assertLess(admitted_per_s, 1.3 * 200)

    def test_the_threshold_is_lifted_within_2_s_of_the_overload(self):
        self.run_for(30.0, 600)
        self.assertLess(self.control.threshold, MAX)
        self.run_for(2.0, 100)
        self.assertEqual(MAX, self.control.threshold)

    def test_the_threshold_rises_faster_after_a_greater_overload(self):
        self.run_for(5.0, 3000)
        self.run_for(2.0, 100)
        self.assertEqual(MAX, self.control.threshold)

    def test_the_threshold_never_excludes_what_the_gate_still_serves(self):
        for _ in range(20):
            for index in range(10):
                self.control.record_offered(index << 16, 1.0)
                self.control.record_offered((3 << 24) + index, 1.0)
                self.control.record_refused((3 << 24) + index)
            self.control.record_finished()
            self.reactor.advance(0.05)
            self.control.update()
            self.assertGreaterEqual(self.control.threshold, CRITICAL_END)

    def test_demand_that_entry_nodes_shed_is_kept(self):
        demand = _demand.DemandHistogram()
        keys = [next(self.keys) for _ in range(400)]
        for _ in range(40):
            for key in keys:
                demand.record_arrival(key)
            demand.end_window(1.0, MAX)
        cut = demand.key_at_rate(200)
        self.assertLess(cut, demand.key_at_rate(390))
        above = demand.key_at_rate(390)
        for _ in range(40):
            for key in keys:
                if key <= cut:
                    demand.record_arrival(key)
            demand.end_window(1.0, cut)
        self.assertEqual(above, demand.key_at_rate(390))


class EarlyShedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.shed = threshold_shed.make_early_shedder(
            clocks.ReactorClock(self.reactor), random.Random(2)
        )

    def observe_threshold(self, threshold, count=10, route="r"):
        for _ in range(count):
            self.shed.observe(route, feedback.Feedback(threshold, 1.0))
        self.reactor.advance(threshold_shed.REFRESH_INTERVAL_S)
        self.shed.should_shed(route, 0)

    def shed_share(self, key, count=1000, route="r"):
        return (
            sum(self.shed.should_shed(route, key) for _ in range(count)) / count
        )

    def test_requests_above_the_threshold_are_shed_but_for_probes(self):
        self.observe_threshold(2 << 24)
        self.assertEqual(0.0, self.shed_share(2 << 24))
        share = self.shed_share((2 << 24) + 1)
        self.assertLess(share, 1.0)
        self.assertGreater(share, 0.97)

    def test_other_routes_are_not_affected(self):
        self.observe_threshold(2 << 24)
        self.assertEqual(0.0, self.shed_share(3 << 24, route="other"))

    def test_critical_requests_pass_while_others_are_excluded(self):
        self.observe_threshold(CRITICAL_END)
        self.assertEqual(0.0, self.shed_share(CRITICAL_END - 1))
        self.observe_threshold(CRITICAL_END // 2, count=50)
        self.assertGreater(self.shed_share(CRITICAL_END - 1), 0.97)

    def test_a_gate_that_few_requests_reach_does_not_decide(self):
        self.observe_threshold(MAX, count=8)
        self.observe_threshold(2 << 24, count=2)
        self.assertEqual(0.0, self.shed_share(3 << 24))

    def test_a_probe_passes_at_least_every_half_second(self):
        self.observe_threshold(2 << 24)
        self.shed._random.random = lambda: 1.0
        last_s = self.reactor.seconds()
        for _ in range(1000):
            self.reactor.advance(0.01)
            self.shed.observe("r", feedback.Feedback(2 << 24, 1.0))
            if not self.shed.should_shed("r", 3 << 24):
                last_s = self.reactor.seconds()
            self.assertLess(self.reactor.seconds() - last_s, 0.52)

    def test_a_threshold_expires_after_one_second(self):
        self.observe_threshold(2 << 24)
        self.reactor.advance(1.01)
        self.assertEqual(0.0, self.shed_share(3 << 24))

    def test_the_admitted_demand_rises_gradually(self):
        keys = [next(normal_keys()) + i * 65536 // 8 for i in range(256)]
        for key in keys:
            self.shed.should_shed("r", key)
        lowest = sorted(keys)[16]
        self.observe_threshold(lowest, count=24)
        for _ in range(24):
            self.shed.observe("r", feedback.Feedback(MAX, 0.0))
        self.reactor.advance(0.05)
        self.shed.should_shed("r", 0)
        self.assertGreater(self.shed_share(sorted(keys)[64]), 0.97)

    @hypothesis.given(
        strategies.integers(0, MAX),
        strategies.lists(strategies.integers(0, MAX), max_size=4),
    )
    def test_the_lowest_threshold_is_returned(self, own, met):
        combined = threshold_shed.combine(
            feedback.Feedback(own, 0.5),
            [feedback.Feedback(threshold, 2.0) for threshold in met],
        )
        self.assertEqual(min([own, *met]), combined.threshold)
        self.assertEqual(0.5, combined.load)


class FairUseTest(testtools.TestCase):
    scenarios = [
        (
            "one at 5 times the rate",
            {"rates": [50, 10, 10, 10], "weights": [1] * 4},
        ),
        (
            "all above their share",
            {"rates": [50, 20, 20, 20], "weights": [1] * 4},
        ),
        ("by weight", {"rates": [50, 30, 30, 10], "weights": [1, 3, 3, 1]}),
        ("two small customers", {"rates": [40, 40, 2, 2], "weights": [1] * 4}),
    ]

    def max_min_shares(self, capacity):
        """Returns the weighted max-min fair shares by water filling."""
        level, left = 0.0, set(range(len(self.rates)))
        while left:
            weight = sum(self.weights[i] for i in left)
            fixed = sum(self.rates[i] for i in range(4) if i not in left)
            level = (capacity - fixed) / weight
            full = {i for i in left if self.rates[i] <= level * self.weights[i]}
            if not full:
                break
            left -= full
        return [
            min(rate, level * weight)
            for rate, weight in zip(self.rates, self.weights, strict=True)
        ]

    def test_serving_in_order_gives_max_min_fair_shares(self):
        reactor = task.Clock()
        fair = fair_use.make_fair_use_tracker(
            clocks.ReactorClock(reactor),
            lambda customer: self.weights[customer],
        )
        requests = []
        for step in range(3000):
            reactor.advance(0.01)
            for customer, rate in enumerate(self.rates):
                if (step * rate) // 100 != ((step + 1) * rate) // 100:
                    over_share = fair.record_request(customer, "route")
                    if step >= 1000:
                        requests.append((over_share, customer))
        for capacity in (15, 30, 40):
            order = sorted(requests)[: capacity * 20]
            served = collections.Counter(customer for _, customer in order)
            for customer, share in enumerate(self.max_min_shares(capacity)):
                self.assertGreater(served[customer] / 20, 0.9 * share)

    def test_over_share_fits_its_bits_after_any_idle_time(self):
        reactor = task.Clock()
        fair = fair_use.make_fair_use_tracker(clocks.ReactorClock(reactor))
        for idle_s in (0.0, 9.0, 11.0, 1e6, 1e9):
            reactor.advance(idle_s)
            for customer in "abbbbbbbbbbbbbbbbbbbbbb":
                self.assertIn(
                    fair.record_request(customer, "route"), range(256)
                )

    def test_the_shed_key_puts_importance_before_fair_use(self):
        important = shed_keys.make_shed_key(
            model.Importance.HIGH, 255, "request"
        )
        fair = shed_keys.make_shed_key(model.Importance.NORMAL, 0, "request")
        self.assertLess(important, fair)
