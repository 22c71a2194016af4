"""Tests of admission at a gate: order, deadlines, draining and slots."""

from __future__ import annotations

import random

from hypothesis import stateful
from hypothesis import strategies
import msgspec
import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import admission
from cyclamendale.overload import gate_admission
from cyclamendale.overload import limit as limits

SERVICE = model.Service("bookings", max_queue_s=0.1, slow_start_s=5.0)
QUEUE_FULL = refusals.RefusalReason.QUEUE_FULL
CAPACITY_REASONS = (QUEUE_FULL, refusals.RefusalReason.SHED)


class Request:
    """A ticket and its outcome."""

    def __init__(self, bench, importance, over_share, customer, deadline_s):
        self.bench = bench
        self.importance = importance
        self.customer = customer
        cohort = bench.random.getrandbits(16)
        key = importance << 24 | over_share << 16 | cohort
        self.ticket = admission.Ticket(
            customer, key, deadline_s, self.start, self.refuse
        )
        self.outcomes = []
        self.ended_s = None

    def start(self):
        self._end("started")
        self.bench.running.append(self)

    def refuse(self, refusal):
        self._end(refusal)

    def _end(self, outcome):
        self.outcomes.append(outcome)
        self.ended_s = self.bench.clock.now_s()
        if self in self.bench.waiting:
            self.bench.waiting.remove(self)
        self.bench.ended(self)

    @property
    def refusal(self):
        outcome = self.outcomes[0] if self.outcomes else None
        return outcome if isinstance(outcome, refusals.Refusal) else None


class Bench:
    """A gate on a virtual clock, with all its requests."""

    def __init__(self, slots=1, service=SERVICE):
        self.reactor = task.Clock()
        self.clock = clocks.ReactorClock(self.reactor)
        self.random = random.Random(1)
        self.gate = gate_admission.make_admission(
            self.clock,
            self.random,
            service,
            limit=limits.StaticLimit(self.clock, service.slow_start_s),
        )
        self.gate.set_capacity(slots, 1000)
        self.requests = []
        self.waiting = []
        self.running = []

    def submit(self, importance=2, over=0, customer="a", deadline_s=9.0):
        deadline_s += self.clock.now_s()
        request = Request(self, importance, over, customer, deadline_s)
        self.requests.append(request)
        self.waiting.append(request)
        self.gate.submit(request.ticket)
        return request

    def finish(self, request, own_time_s=0.01):
        self.running.remove(request)
        self.gate.finish(
            request.ticket, own_time_s, admission.Completion.ANSWERED
        )

    def ended(self, request):
        """Called when a request was started or refused."""


class OrderMachine(stateful.RuleBasedStateMachine):
    """Random sequences of arrivals and completions at one gate.

    Property: while a request waits that is later refused for lack of
    capacity, no strictly less important one starts. When the queue is full,
    no strictly less important request stays in it instead.
    """

    def __init__(self):
        super().__init__()
        self.bench = Bench(slots=3)
        self.bench.ended = self.check_order
        self.overtaken = set()

    def check_order(self, request):
        if request.refusal is None:
            self.overtaken.update(
                other
                for other in self.bench.waiting
                if other.importance < request.importance
            )
        elif request.refusal.reason in CAPACITY_REASONS:
            assert request not in self.overtaken
        if request.refusal and request.refusal.reason is QUEUE_FULL:
            assert all(
                other.importance <= request.importance
                for other in self.bench.waiting
            )

    @stateful.rule(
        importance=strategies.integers(0, 3),
        over=strategies.integers(0, 255),
        customer=strategies.sampled_from("abc"),
        deadline_s=strategies.floats(-0.01, 0.3),
        count=strategies.integers(1, 4),
    )
    def arrive(self, importance, over, customer, deadline_s, count):
        for _ in range(count):
            self.bench.submit(importance, over, customer, deadline_s)

    @stateful.precondition(lambda self: self.bench.running)
    @stateful.rule(index=strategies.integers(0, 100))
    def finish(self, index):
        running = self.bench.running
        self.bench.finish(running[index % len(running)])

    @stateful.precondition(lambda self: self.bench.waiting)
    @stateful.rule(index=strategies.integers(0, 100))
    def withdraw(self, index):
        waiting = self.bench.waiting
        request = waiting.pop(index % len(waiting))
        assert self.bench.gate.withdraw(request.ticket)
        assert not self.bench.gate.withdraw(request.ticket)
        request.outcomes.append("withdrawn")

    @stateful.rule(duration_s=strategies.floats(0.0, 0.15))
    def wait(self, duration_s):
        self.bench.reactor.advance(duration_s)

    @stateful.rule()
    def drain_and_reopen(self):
        self.bench.gate.close()
        assert not self.bench.waiting
        refused = self.bench.submit().refusal
        assert refused.reason is refusals.RefusalReason.LEAVING
        self.bench.gate.reopen(cold=False)

    @stateful.invariant()
    def slots_are_bounded_and_used(self):
        assert len(self.bench.running) <= 3
        assert len(self.bench.running) == 3 or not self.bench.waiting

    @stateful.invariant()
    def each_request_has_one_outcome_in_time(self):
        now_s = self.bench.clock.now_s()
        for request in self.bench.requests:
            assert len(request.outcomes) == (request not in self.bench.waiting)
        for request in self.bench.waiting:
            max_wait_s = 0.1 if request.importance else 0.4
            assert now_s - request.ticket.arrived_s <= max_wait_s + 1e-9
            assert now_s <= request.ticket.deadline_s + 1e-9

    @stateful.invariant()
    def refused_requests_were_not_started(self):
        for request in self.bench.requests:
            if request.refusal is not None:
                assert request.refusal.execution.value == "not-run"
                assert 0 < request.refusal.retry_after_s < 2
                assert request.ticket.started_s is None


class OrderTest(OrderMachine.TestCase):
    pass


class SingleRequestLimit(limits.StaticLimit):
    """Allows one active request, whatever the number of slots."""

    current = 1


class RefusalReasonTest(testtools.TestCase):
    scenarios = [
        ("expired", {"deadline_s": 0.0, "wait_s": 0.0, "reason": "deadline"}),
        (
            "expiring",
            {"deadline_s": 0.05, "wait_s": 0.06, "reason": "deadline"},
        ),
        (
            "waiting too long",
            {"deadline_s": 9.0, "wait_s": 0.11, "reason": "shed"},
        ),
    ]

    def test_a_request_without_a_slot_is_refused_with_a_reason(self):
        bench = Bench()
        bench.submit()
        request = bench.submit(deadline_s=self.deadline_s)
        bench.reactor.advance(self.wait_s)
        self.assertEqual(self.reason, request.refusal.reason.value)

    def test_a_deadline_sooner_than_the_own_time_is_refused_at_once(self):
        bench = Bench()
        bench.gate = gate_admission.make_admission(
            bench.clock, bench.random, SERVICE
        )
        for _ in range(40):
            bench.reactor.advance(0.2)
            bench.finish(bench.submit(), own_time_s=0.2)
        late = bench.submit(deadline_s=0.1)
        self.assertEqual("deadline", late.refusal.reason.value)
        self.assertIsNone(bench.submit(deadline_s=0.3).refusal)


class SlotTest(testtools.TestCase):
    def test_a_full_queue_refuses_the_highest_key_not_the_newest(self):
        bench = Bench()
        bench.submit()
        waiting = [bench.submit(importance=3) for _ in range(4)]
        important = bench.submit(importance=0)
        refused = [request for request in waiting if request.refusal]
        self.assertEqual(1, len(refused))
        self.assertEqual("queue-full", refused[0].refusal.reason.value)
        highest = max(waiting, key=lambda request: request.ticket.shed_key)
        self.assertIs(highest, refused[0])
        bench.finish(bench.running[0])
        self.assertEqual(["started"], important.outcomes)

    def test_a_changed_service_applies_to_later_requests(self):
        bench = Bench()
        bench.submit()
        bench.gate.set_service(
            msgspec.structs.replace(SERVICE, max_queue_s=1.0)
        )
        request = bench.submit()
        bench.reactor.advance(0.9)
        self.assertIsNone(request.refusal)
        bench.reactor.advance(0.2)
        self.assertEqual("shed", request.refusal.reason.value)

    def test_a_cancelled_request_gives_its_slot_back(self):
        bench = Bench()
        first, second = bench.submit(), bench.submit()
        bench.running.remove(first)
        bench.gate.finish(first.ticket, 0.0, admission.Completion.CANCELLED)
        self.assertEqual(["started"], second.outcomes)

    def test_a_request_waiting_for_onward_calls_holds_only_its_slot(self):
        bench = Bench()
        bench.gate = gate_admission.make_admission(
            bench.clock,
            bench.random,
            SERVICE,
            limit=SingleRequestLimit(bench.clock, 0.0),
        )
        bench.gate.set_capacity(3, 1000)
        requests = [bench.submit() for _ in range(4)]
        for held, request in enumerate(requests, start=1):
            self.assertEqual(min(held, 3), len(bench.running))
            if request in bench.running:
                bench.gate.pause(request.ticket)
        self.assertEqual(1, len(bench.waiting))
        for request in requests[:3]:
            bench.gate.resume(request.ticket)
            bench.finish(request)
        bench.submit()
        self.assertEqual(1, len(bench.running))

    def test_overuse_never_puts_a_request_behind_a_lower_class(self):
        bench = Bench()
        for _ in range(50):
            bench.finish(bench.submit(customer="greedy"))
        bench.finish(bench.submit(customer="modest"))
        bench.submit()
        greedy = bench.submit(importance=2, over=250, customer="greedy")
        bench.submit(importance=3, over=0, customer="modest")
        bench.finish(bench.running[0])
        self.assertEqual(["started"], greedy.outcomes)

    def test_requests_in_service_finish_during_a_drain(self):
        bench = Bench()
        running = bench.submit()
        bench.gate.close()
        self.assertEqual(["started"], running.outcomes)
        bench.gate.reopen(cold=False)
        bench.finish(running)
        self.assertEqual(["started"], bench.submit().outcomes)

    def test_a_cold_upstream_is_loaded_gradually(self):
        bench = Bench(slots=100)
        bench.gate.close()
        bench.gate.reopen(cold=True)
        running = []
        for _ in range(6):
            for _ in range(200):
                bench.submit()
            running.append(len(bench.running))
            bench.reactor.advance(1.0)
        self.assertEqual([10, 28, 46, 64, 82, 100], running)

    def test_one_customer_cannot_take_all_slots_of_a_class(self):
        bench = Bench(slots=4)
        for _ in range(400):
            for _ in range(4):
                bench.submit(customer="greedy")
            bench.submit(customer="modest")
            if bench.running:
                bench.reactor.advance(0.005)
                bench.finish(bench.running[0])
        modest = [r for r in bench.requests if r.customer == "modest"]
        served = sum(r.outcomes == ["started"] for r in modest)
        self.assertGreater(served, 0.95 * 400 / 2)
