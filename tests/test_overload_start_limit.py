"""Replays of load at an upstream that names the requests it takes."""

from __future__ import annotations

import itertools
import math
import random

import testtools

from cyclamendale.overload import start_limit

WINDOW_S = 4.0
WINDOW_FACTOR = 1.5
SLACK = 5
"""Bound of the arrivals in a window: factor x rate x window + slack."""

STEP_S = 0.005


def most_in_window(starts_s):
    """Returns the most starts within any window."""
    most, first = 0, 0
    for last, start_s in enumerate(starts_s):
        while starts_s[first] <= start_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


class Upstream:
    """Runs requests for a fixed time and names a limit in each response."""

    def __init__(self, limit_per_s, service_time_s):
        self.limit_per_s = limit_per_s
        self.service_time_s = service_time_s
        self.ends_s = []
        self.starts_s = []

    def run(self, limit, start_s, end_s):
        """Starts whatever the limit lets start; demand is unbounded."""
        for step in itertools.count():
            now_s = start_s + step * STEP_S
            if now_s >= end_s:
                return
            while self.ends_s and self.ends_s[0] <= now_s:
                self.ends_s.pop(0)
                limit.observe(self.limit_per_s, now_s)
            while (
                len(self.ends_s) < 100
                and limit.wait_s(len(self.ends_s), now_s) <= 0
            ):
                limit.record_start(now_s)
                self.starts_s.append(now_s)
                self.ends_s.append(now_s + self.service_time_s)


class RateTest(testtools.TestCase):
    scenarios = [
        (f"{limit} per second, {service_s} s each",
         {"limit_per_s": limit, "service_time_s": service_s})
        for limit in (0.0, 0.4, 2.0, 23.6, 55.2)
        for service_s in (0.02, 0.3)
    ]  # fmt: skip

    @property
    def bound(self):
        return WINDOW_FACTOR * self.limit_per_s * WINDOW_S + SLACK

    # An upstream got whatever callers sent, whatever limit it named.
    def test_the_starts_stay_within_the_bound(self):
        limit = start_limit.make_start_limit()
        limit.observe(self.limit_per_s, 0.0)
        upstream = Upstream(self.limit_per_s, self.service_time_s)
        upstream.run(limit, 0.0, 20.0)
        self.assertLessEqual(most_in_window(upstream.starts_s), self.bound)
        expected = 0.9 * self.limit_per_s * 20.0 - 1
        self.assertGreaterEqual(len(upstream.starts_s), expected)

    # A process that replaced another one knew no limit.
    def test_the_starts_of_two_processes_stay_within_the_bound(self):
        upstream = Upstream(self.limit_per_s, self.service_time_s)
        first = start_limit.make_start_limit()
        first.observe(self.limit_per_s, 0.0)
        upstream.run(first, 0.0, 8.0)
        upstream.ends_s.clear()
        second = start_limit.make_unproven_start_limit()
        upstream.run(second, 8.2, 16.0)
        self.assertLessEqual(most_in_window(upstream.starts_s), self.bound)


class StatementTest(testtools.TestCase):
    scenarios = [
        ("named once", {"named": [(0.0, 9.0)], "rate_per_s": 9.0}),
        ("never named", {"named": [(0.0, None)], "rate_per_s": None}),
        ("overtaken by an older response",
         {"named": [(0.0, 9.0), (0.3, None)], "rate_per_s": 9.0}),
        ("not named any more",
         {"named": [(0.0, 9.0), (1.2, None)], "rate_per_s": None}),
        ("changed", {"named": [(0.0, 9.0), (0.1, 4.5)], "rate_per_s": 4.5}),
        ("none at all",
         {"named": [(0.0, 0.0)], "rate_per_s": start_limit.MIN_RATE_PER_S}),
    ]  # fmt: skip

    def test_it_is_in_force(self):
        limit = start_limit.make_start_limit()
        for now_s, named in self.named:
            limit.observe(named, now_s)
        self.assertEqual(self.rate_per_s, limit.rate_per_s)


class CapacityTest(testtools.TestCase):
    """Hosts are told a capacity that fits the limit and rarely changes."""

    def test_small_changes_are_not_told(self):
        limit = start_limit.make_start_limit()
        random_source = random.Random(1)
        told = set()
        for step in range(100):
            limit.observe(20.0 * random_source.uniform(0.95, 1.05), step * 0.1)
            told.add(limit.capacity(100, 0.5))
        self.assertLessEqual(len(told), 2)
        self.assertLessEqual(
            abs(told.pop() - 10.0), 10.0 * start_limit.CAPACITY_CHANGE_FACTOR
        )

    def test_it_is_the_slots_without_a_limit(self):
        limit = start_limit.make_start_limit()
        limit.observe(2.0, 0.0)
        self.assertEqual(1, limit.capacity(100, 0.5))
        limit.observe(None, 2.0)
        self.assertEqual(100, limit.capacity(100, 0.5))


class UnprovenTest(testtools.TestCase):
    def test_a_response_ends_the_slow_start(self):
        limit = start_limit.make_unproven_start_limit()
        many = start_limit.UNPROVEN_IN_SERVICE
        self.assertEqual(0.0, limit.wait_s(many - 1, 0.0))
        self.assertEqual(math.inf, limit.wait_s(many, 0.0))
        limit.observe(None, 0.1)
        self.assertEqual(0.0, limit.wait_s(many, 0.1))
