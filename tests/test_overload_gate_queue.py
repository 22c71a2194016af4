"""Tests of the priority queue at a gate, also under simulated overload."""

from __future__ import annotations

import heapq
import itertools
import random

import testtools

from cyclamendale.overload import gate_queue
from cyclamendale.overload import start_limit
from tests.support import upstream_requests

START = gate_queue.Verdict.START
WAIT = gate_queue.Verdict.WAIT
REFUSE = gate_queue.Verdict.REFUSE


def filled_queue(slots=10, service_time_s=0.1):
    """Returns a queue whose slots are all in use, and the tickets in them."""
    queue = gate_queue.make_gate_queue()
    queue.set_slots(slots)
    first = gate_queue.Ticket(upstream_requests.make_request(), 0.0)
    queue.submit(first, 0.0)
    queue.finish(first, service_time_s, True)
    taken = []
    while True:
        ticket = gate_queue.Ticket(upstream_requests.make_request(), 1.0)
        if queue.submit(ticket, 1.0) is not START:
            queue.withdraw(ticket)
            return queue, taken
        taken.append(ticket)


class OrderTest(testtools.TestCase):
    scenarios = [
        ("importance before arrival", {
            "arrivals": [{"rank": 2}, {"rank": 0}, {"rank": 1}],
            "order": [1, 2, 0]}),
        ("onward calls before roots", {
            "arrivals": [{"rank": 0}, {"rank": 3, "onward": True}],
            "order": [1, 0]}),
        ("arrival within one importance", {
            "arrivals": [{}, {}, {}], "order": [0, 1, 2]}),
        ("requests that will miss their aim behind the others", {
            "arrivals": [{"aim_s": 1.01}, {"aim_s": 5.0}], "order": [1, 0]}),
    ]  # fmt: skip

    def test_requests_start_in_order(self):
        queue, taken = filled_queue()
        tickets = [
            gate_queue.Ticket(upstream_requests.make_request(**arrival), 1.0)
            for arrival in self.arrivals
        ]
        for ticket in tickets:
            self.assertIs(WAIT, queue.submit(ticket, 1.0))
        order = []
        for ended in taken[: len(tickets)]:
            queue.finish(ended, 1.1, True)
            order.extend(map(tickets.index, queue.pop_startable(1.1)))
        self.assertEqual(self.order, order)


class LimitTest(testtools.TestCase):
    def test_some_slots_are_left_free(self):
        for slots, most in ((100, 94), (20, 18), (1, 1)):
            _, taken = filled_queue(slots)
            self.assertEqual(most, len(taken))

    def test_a_request_that_cannot_finish_is_refused_at_once(self):
        queue, _ = filled_queue(service_time_s=1.0)
        ticket = gate_queue.Ticket(
            upstream_requests.make_request(deadline_s=1.2), 1.0
        )
        self.assertIs(REFUSE, queue.submit(ticket, 1.0))

    def test_a_request_that_can_no_longer_finish_expires(self):
        queue, _ = filled_queue()
        work = upstream_requests.make_request(deadline_s=1.3, onward=True)
        ticket = gate_queue.Ticket(work, 1.0)
        self.assertIs(WAIT, queue.submit(ticket, 1.0))
        self.assertEqual([], list(queue.pop_expired(1.1)))
        self.assertEqual([ticket], list(queue.pop_expired(1.29)))
        self.assertEqual([], list(queue.pop_expired(1.4)))

    def test_a_root_does_not_wait_for_most_of_its_time(self):
        queue, _ = filled_queue()
        ticket = gate_queue.Ticket(
            upstream_requests.make_request(deadline_s=2.0), 1.0
        )
        self.assertIs(WAIT, queue.submit(ticket, 1.0))
        self.assertEqual([], list(queue.pop_expired(1.4)))
        self.assertEqual([ticket], list(queue.pop_expired(1.5)))

    def test_a_withdrawn_request_does_not_start(self):
        queue, taken = filled_queue()
        ticket = gate_queue.Ticket(upstream_requests.make_request(), 1.0)
        queue.submit(ticket, 1.0)
        self.assertTrue(queue.withdraw(ticket))
        queue.finish(taken[0], 1.1, True)
        self.assertEqual([], list(queue.pop_startable(1.1)))

    def test_a_started_request_cannot_be_withdrawn(self):
        queue, taken = filled_queue()
        self.assertFalse(queue.withdraw(taken[0]))

    def test_a_request_that_ran_into_its_deadline_counts_as_slow(self):
        queue, taken = filled_queue(service_time_s=0.1)
        queue.finish(taken[0], 9.0, False)
        self.assertGreater(queue.load().service_time_s, 0.3)
        before_s = queue.load().service_time_s
        queue.finish(taken[1], 1.01, False)
        self.assertEqual(before_s, queue.load().service_time_s)


class OverloadSimulation:
    """Simulates an upstream above its capacity, whose callers do not cancel."""

    SLOTS = 20
    SERVICE_TIME_S = 0.05
    AIM_S = 0.15
    DEADLINE_S = 0.6

    def __init__(self, load, queue):
        self.queue = queue
        self.random = random.Random(5)
        self.rate_per_s = load * self.SLOTS / self.SERVICE_TIME_S
        self.events = []
        self.order = itertools.count()
        self.on_time = 0
        self.offered = 0

    def run(self, duration_s):
        self.schedule(0.0, self.on_arrival)
        while self.events:
            now_s, _, function, *args = heapq.heappop(self.events)
            if now_s < duration_s or function != self.on_arrival:
                function(now_s, *args)
        return self.on_time / self.offered

    def schedule(self, time_s, function, *args):
        heapq.heappush(self.events, (time_s, next(self.order), function, *args))

    def on_arrival(self, now_s):
        self.offered += 1
        work = upstream_requests.make_request(
            deadline_s=now_s + self.DEADLINE_S, aim_s=now_s + self.AIM_S
        )
        ticket = gate_queue.Ticket(work, now_s)
        if self.queue.submit(ticket, now_s) is START:
            self.start(ticket, now_s)
        self.schedule(
            now_s + self.random.expovariate(self.rate_per_s), self.on_arrival
        )

    def start(self, ticket, now_s):
        duration_s = self.random.gammavariate(4.0, self.SERVICE_TIME_S / 4.0)
        self.schedule(now_s + duration_s, self.on_end, ticket)

    def on_end(self, now_s, ticket):
        self.on_time += now_s <= ticket.request.aim_s
        self.queue.finish(ticket, now_s, True)
        list(self.queue.pop_expired(now_s))
        for waiting in list(self.queue.pop_startable(now_s)):
            self.start(waiting, now_s)


class DeepServiceSimulation(OverloadSimulation):
    """Nearly all requests are onward calls, as at the end of a call path.

    Attributes:
        root_share: Share of the requests that are roots.
        roots_on_time: Roots that were answered within their aim.
    """

    DEADLINE_S = 0.6

    def __init__(self, load, queue, root_share):
        super().__init__(load, queue)
        self.root_share = root_share
        self.asked, self.answered = [0, 0], [0, 0]
        self.roots_on_time = 0

    def on_arrival(self, now_s):
        self.offered += 1
        is_root = self.random.random() < self.root_share
        self.asked[is_root] += 1
        work = upstream_requests.make_request(
            deadline_s=now_s + self.DEADLINE_S,
            aim_s=now_s + self.AIM_S,
            onward=not is_root,
        )
        ticket = gate_queue.Ticket(work, now_s)
        if self.queue.submit(ticket, now_s) is START:
            self.start(ticket, now_s)
        self.schedule(
            now_s + self.random.expovariate(self.rate_per_s), self.on_arrival
        )

    def on_end(self, now_s, ticket):
        in_time = now_s <= ticket.request.deadline_s
        self.answered[not ticket.request.onward] += in_time
        if not ticket.request.onward:
            self.roots_on_time += now_s <= ticket.request.aim_s
        super().on_end(now_s, ticket)

    def shares(self):
        self.run(20.0)
        return [
            answered / asked
            for answered, asked in zip(self.answered, self.asked, strict=True)
        ]


class RootsLastQueue(gate_queue.GateQueue):
    """Baseline: roots wait behind onward calls, however few they are."""

    def submit(self, ticket, now_s):
        self._root_share = 1.0
        return super().submit(ticket, now_s)


class FewRootsTest(testtools.TestCase):
    def shares(self, make, root_share):
        queue = make()
        queue.set_slots(OverloadSimulation.SLOTS)
        return DeepServiceSimulation(1.15, queue, root_share).shares()

    def test_few_roots_are_served_at_little_cost_to_the_calls(self):
        calls, roots = self.shares(gate_queue.GateQueue, 0.03)
        calls_before, roots_before = self.shares(RootsLastQueue, 0.03)
        self.assertLess(roots_before, 0.2)
        self.assertGreater(roots, 0.75)
        self.assertGreater(calls, calls_before - 0.04)

    def test_few_roots_are_served_on_time(self):
        """The aim of the roots leaves no time to wait for a queue of calls."""
        for root_share in (0.04, 0.12):
            queue = gate_queue.GateQueue()
            queue.set_slots(OverloadSimulation.SLOTS)
            simulation = DeepServiceSimulation(1.15, queue, root_share)
            served = simulation.shares()
            served_before = self.shares(RootsLastQueue, root_share)
            self.assertGreater(
                simulation.roots_on_time, 0.95 * simulation.asked[True]
            )
            # The calls lose no more than the roots gain.
            whole, whole_before = (
                (1.0 - root_share) * calls + root_share * roots
                for calls, roots in (served, served_before)
            )
            self.assertGreater(whole, whole_before - 0.01)

    def test_many_roots_wait_behind_the_calls(self):
        calls, _ = self.shares(gate_queue.GateQueue, 0.3)
        self.assertGreater(calls, 0.95)


class FifoQueue(gate_queue.GateQueue):
    """Baseline: order of arrival only."""

    def _assign_priority(self, ticket, now_s):
        ticket.priority = (0, 0)
        return True


class OverloadTest(testtools.TestCase):
    scenarios = [
        ("1.5 times the capacity", {"load": 1.5}),
        ("twice the capacity", {"load": 2.0}),
    ]

    def test_more_is_answered_on_time_than_with_a_fifo_queue(self):
        shares = []
        for queue in (gate_queue.GateQueue(), FifoQueue()):
            queue.set_slots(OverloadSimulation.SLOTS)
            shares.append(OverloadSimulation(self.load, queue).run(20.0))
        own, baseline = shares
        self.assertGreater(own, 0.75 / self.load)
        self.assertGreater(own, 2.0 * baseline)


class ReplacedUpstreamTest(testtools.TestCase):
    """A new process of the upstream whose limit is not known yet."""

    def start_all(self, queue, now_s):
        started = []
        for _ in range(10):
            ticket = gate_queue.Ticket(upstream_requests.make_request(), now_s)
            if queue.submit(ticket, now_s) is START:
                started.append(ticket)
        return started

    # Requests that still ran on the earlier process kept the new one idle.
    def test_it_gets_few_requests_until_it_responds(self):
        queue, taken = filled_queue()
        for ticket in taken[:6]:
            queue.finish(ticket, 1.1, True)
        queue.replace_upstream()
        started = self.start_all(queue, 1.2)
        self.assertEqual(start_limit.UNPROVEN_IN_SERVICE, len(started))
        for ticket in taken[6:]:
            queue.finish(ticket, 1.3, True)
        self.assertEqual([], list(queue.pop_startable(1.3)))
        queue.observe_limit(None, 1.4)
        self.assertEqual(5, len(list(queue.pop_startable(1.4))))


class InstantServiceTest(testtools.TestCase):
    # The wait was divided by a service time of zero.
    def test_a_service_time_of_zero_gives_no_wait(self):
        queue, taken = filled_queue(slots=10, service_time_s=0.0)
        self.assertEqual(0.0, queue.load().wait_s)
