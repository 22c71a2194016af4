"""Choice of upstream, division of splits and the bound on repeats."""

from __future__ import annotations

import collections
import random

import testtools

from cyclamendale.intents import model
from cyclamendale.overload import placement
from cyclamendale.overload import split


def candidate(name, domain="north", slots=10, at_gate=0, **more):
    made = placement.Candidate(name, domain)
    made.slots = slots
    made.record_report(at_gate)
    for field, value in more.items():
        setattr(made, field, value)
    return made


def failing(name, domain="north"):
    made = candidate(name, domain)
    for _ in range(20):
        made.record_outcome(True, 0.0)
    return made


class PlacementTest(testtools.TestCase):
    scenarios = [
        ("own domain while it has room", {
            "candidates": [candidate("a", at_gate=7),
                           candidate("b", "south")], "chosen": "a"}),
        ("another when it is nearly full", {
            "candidates": [candidate("a", at_gate=9),
                           candidate("b", "south", at_gate=2)],
            "chosen": "b"}),
        ("own when all are as full", {
            "candidates": [candidate("a", at_gate=9),
                           candidate("b", "south", at_gate=9)],
            "chosen": "a"}),
        ("not a silent host", {
            "candidates": [candidate("a", is_suspect=True),
                           candidate("b", "south")], "chosen": "b"}),
        ("a silent host before none", {
            "candidates": [candidate("a", is_suspect=True)], "chosen": "a"}),
        ("not one that is too slow for the time left", {
            "candidates": [candidate("a", service_time_s=0.8),
                           candidate("b", "south", service_time_s=0.2)],
            "chosen": "b"}),
        ("not one that fails while its peer does not", {
            "candidates": [failing("a"), candidate("b", "south")],
            "chosen": "b"}),
        ("the own one when all fail alike", {
            "candidates": [failing("a"), failing("b", "south")],
            "chosen": "a"}),
        ("the less full of two near ones", {
            "candidates": [candidate("a", at_gate=6),
                           candidate("b", at_gate=2)], "chosen": "b"}),
        ("the own host of two as full", {
            "candidates": [candidate("a", at_gate=3),
                           candidate("own", at_gate=3)], "chosen": "own"}),
        ("the own host of many, the others a little less full", {
            "candidates": [*(candidate(f"h{index}", at_gate=3)
                             for index in range(20)),
                           candidate("own", at_gate=4)], "chosen": "own"}),
        ("another that is much less full than the own host", {
            "candidates": [candidate("a", at_gate=2),
                           candidate("own", at_gate=6)], "chosen": "a"}),
        ("none", {"candidates": [], "chosen": None}),
    ]  # fmt: skip

    def test_nearly_always_takes(self):
        chooser = placement.Placement(
            random.Random(3), "own", "north", lambda _: self.candidates
        )
        chosen = collections.Counter(
            found.host if found else None
            for found in (chooser.choose("s", (), 1.0, 0.0) for _ in range(300))
        )
        self.assertGreater(chosen[self.chosen], 270)

    def test_a_host_that_was_tried_is_left_out(self):
        chooser = placement.Placement(
            random.Random(3), "own", "north", lambda _: self.candidates
        )
        names = tuple(found.host for found in self.candidates)
        self.assertIsNone(chooser.choose("s", names, 1.0, 0.0))


class OwnRequestsTest(testtools.TestCase):
    def test_requests_sent_since_the_report_count(self):
        made = candidate("a", slots=10, at_gate=2)
        made.in_flight += 3
        self.assertAlmostEqual(0.5, made.utilization(0.0))
        made.record_end()
        self.assertAlmostEqual(0.4, made.utilization(0.0))

    def test_failures_are_forgotten(self):
        made = failing("a")
        self.assertGreater(made.failure_share(0.0), 0.8)
        self.assertLess(made.failure_share(10.0), 0.05)


class SplitTest(testtools.TestCase):
    scenarios = [
        ("nine to one", {"weights": [9, 1]}),
        ("even", {"weights": [1, 1, 1]}),
        ("one of nothing", {"weights": [3, 0, 1]}),
    ]

    def test_every_part_gets_its_share_even_of_few_requests(self):
        parts = tuple(
            model.WeightedService(f"s{index}", weight)
            for index, weight in enumerate(self.weights)
        )
        route = model.Route("r", "s0", "/", split=parts)
        round_robin = split.WeightedRoundRobin()
        counts = collections.Counter(
            round_robin.next_service(route) for _ in range(40)
        )
        total = sum(self.weights)
        for part in parts:
            self.assertAlmostEqual(
                part.weight / total, counts[part.service] / 40, delta=0.03
            )
