"""The gate: what is handed over, what is refused, and when it says so."""

from __future__ import annotations

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.platform import exchange
from cyclamendale.proxy import gate as gates
from cyclamendale.proxy import upstream_connection as connections
from tests.support import fake_log
from tests.support import works

REASON = refusals.RefusalReason
NOT_RUN = refusals.Execution.NOT_RUN
UNKNOWN = refusals.Execution.UNKNOWN


class FakeLease:
    def __init__(self, sent):
        self.sent = sent
        self.is_over = False

    def cancel(self):
        self.is_over = True
        return True


class FakePool:
    """Keeps what is sent; the test gives the results."""

    def __init__(self):
        self.sent = []
        self.is_closed = False

    def send(self, make_data, request_id, is_head, repeatable, receiver):
        lease = FakeLease(make_data())
        self.sent.append((lease, receiver))
        return lease

    def close(self):
        self.is_closed = True

    def answer(self, index=0, status=200, not_run=False):
        _, receiver = self.sent[index]
        receiver(connections.UpstreamAnswer(status, b"", b"x", not_run))

    def fail(self, failure, index=0):
        _, receiver = self.sent[index]
        receiver(failure)


class GateCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.log = fake_log.FakeLog()
        self.gate = gates.Gate(
            None,
            clocks.ReactorClock(self.reactor),
            exchange.DIALECT,
            self.log,
            lambda: None,
        )
        self.pool = FakePool()
        self.gate._replace = self.use_fake_pool
        self.gate.start()
        self.outcomes = []

    def use_fake_pool(self, upstream_id, address):
        self.gate.upstream_id = upstream_id
        self.gate._pool = self.pool

    def open(self, slots=10):
        self.gate.open("i-1", "10.0.0.9:80", slots)

    def run_work(self, **values):
        return self.gate.run(works.make_work(**values), self.outcomes.append)

    def refused(self):
        (refusal,) = self.outcomes
        return refusal.reason, refusal.execution

    def wait(self, duration_s):
        self.reactor.pump([0.05] * round(duration_s / 0.05))


class DoorTest(GateCase):
    scenarios = [
        ("unknown", {"door": gates.Door.UNKNOWN, "reason": REASON.NO_TARGET}),
        ("leaving", {"door": gates.Door.LEAVING, "reason": REASON.LEAVING}),
        ("lost", {"door": gates.Door.LOST, "reason": REASON.NO_TARGET}),
    ]

    def test_a_closed_door_hands_nothing_over(self):
        self.open()
        self.gate.close(self.door)
        self.run_work()
        self.assertEqual((self.reason, NOT_RUN), self.refused())
        self.assertEqual([], self.pool.sent)

    def test_what_waits_is_refused_and_what_runs_ends(self):
        self.open(slots=1)
        self.run_work()
        self.run_work()
        self.gate.close(self.door)
        self.assertEqual((self.reason, NOT_RUN), self.refused())
        self.pool.answer()
        self.assertEqual(200, self.outcomes[1].status)
        self.assertEqual(0, self.gate.in_work)


class HandOverTest(GateCase):
    def test_what_the_upstream_receives(self):
        self.open()
        self.run_work(head=b"POST /a HTTP/1.1\r\nA: 1\r\n", body=b"xyz")
        (lease, _) = self.pool.sent[0]
        self.assertEqual(
            b"POST /a HTTP/1.1\r\nA: 1\r\n"
            b"X-Cyclamendale-Deadline-Ms: 10000\r\n"
            b"X-Cyclamendale-Expected-Instance: i-1\r\n"
            b"Content-Length: 3\r\n\r\nxyz",
            lease.sent,
        )

    def test_time_spent_waiting_is_taken_off(self):
        self.open(slots=1)
        self.run_work()
        self.run_work(deadline_s=2.0)
        self.wait(0.5)
        self.pool.answer()
        self.assertIn(b"Deadline-Ms: 1500\r\n", self.pool.sent[1][0].sent)

    def test_a_request_for_an_earlier_process_is_refused(self):
        self.open()
        self.run_work(upstream_id="i-0")
        self.assertEqual((REASON.NO_TARGET, NOT_RUN), self.refused())


class OutcomeTest(GateCase):
    scenarios = [
        ("not connected", {
            "failure": connections.Failure.NOT_CONNECTED,
            "outcome": (REASON.NO_TARGET, NOT_RUN),
            "door": gates.Door.LOST}),
        ("broken", {
            "failure": connections.Failure.BROKEN,
            "outcome": (REASON.UPSTREAM_FAILED, UNKNOWN),
            "door": gates.Door.OPEN}),
        ("garbled", {
            "failure": connections.Failure.GARBLED,
            "outcome": (REASON.UPSTREAM_FAILED, UNKNOWN),
            "door": gates.Door.OPEN}),
    ]  # fmt: skip

    def test_of_a_failed_exchange(self):
        self.open()
        self.run_work()
        self.pool.fail(self.failure)
        self.assertEqual(self.outcome, self.refused())
        self.assertIs(self.door, self.gate.door)


class RefusedByUpstreamTest(GateCase):
    scenarios = [
        ("full", {"status": 503, "door": gates.Door.OPEN}),
        ("another process", {"status": 421, "door": gates.Door.UNKNOWN}),
    ]

    def test_is_not_run(self):
        self.open()
        self.run_work()
        self.pool.answer(status=self.status, not_run=True)
        self.assertEqual((REASON.UPSTREAM_REFUSED, NOT_RUN), self.refused())
        self.assertIs(self.door, self.gate.door)


class GreyUpstreamTest(GateCase):
    """An upstream that refuses most requests however few it has."""

    def test_keeps_its_room(self):
        self.open(slots=100)
        for index in range(50):
            self.run_work()
            self.pool.answer(index, status=503, not_run=True)
        self.assertEqual(94, self.gate.load().capacity)

    def test_one_that_refuses_when_it_is_full_gets_fewer_but_not_none(self):
        self.open(slots=100)
        for _ in range(94):
            self.run_work(deadline_s=1000.0)
        for index in range(90):
            self.run_work(deadline_s=1000.0)
            self.pool.answer(index, status=503, not_run=True)
        room = self.gate.load().capacity
        self.assertLess(room, 94)
        self.assertGreaterEqual(room, 47)


class RefusedShareTest(GateCase):
    scenarios = [
        ("refuses three of four at random", {
            "in_work": 1, "refuses": 3, "of": 4, "wanted": 0.75}),
        ("answers all", {
            "in_work": 1, "refuses": 0, "of": 4, "wanted": 0.0}),
        ("refuses because it is full", {
            "in_work": 9, "refuses": 4, "of": 4, "wanted": 0.0}),
    ]  # fmt: skip

    def test_counts_only_what_was_refused_with_room(self):
        self.open(slots=10)
        for _ in range(self.in_work - 1):
            self.run_work(deadline_s=1000.0)
        for index in range(200):
            self.run_work(deadline_s=1000.0)
            is_refused = index % self.of < self.refuses
            self.pool.answer(
                len(self.pool.sent) - 1,
                status=503 if is_refused else 200,
                not_run=is_refused,
            )
        self.assertAlmostEqual(self.wanted, self.gate.refused_share, delta=0.1)


class GivenUpTest(GateCase):
    scenarios = [
        ("idempotent", {"idempotent": True, "is_broken_off": True}),
        ("not idempotent", {"idempotent": False, "is_broken_off": False}),
    ]

    def test_only_an_idempotent_run_is_broken_off(self):
        self.open()
        handle = self.run_work(idempotent=self.idempotent)
        handle.cancel()
        lease, _ = self.pool.sent[0]
        self.assertEqual(self.is_broken_off, lease.is_over)

    def test_a_waiting_request_never_runs(self):
        self.open(slots=1)
        self.run_work()
        self.run_work(idempotent=self.idempotent).cancel()
        self.pool.answer()
        self.assertEqual(1, len(self.pool.sent))
        self.assertEqual(0, self.gate.in_work)


class TimeTest(GateCase):
    def test_a_silent_upstream_gives_an_unknown_outcome(self):
        self.open()
        self.run_work(deadline_s=1.0)
        self.wait(1.2)
        self.assertEqual([], self.outcomes)
        self.wait(0.2)
        self.assertEqual((REASON.LOST, UNKNOWN), self.refused())

    def test_several_silent_requests_close_the_door(self):
        self.open()
        for _ in range(gates.LOST_IN_A_ROW):
            self.run_work(deadline_s=1.0)
        self.wait(1.5)
        self.assertIs(gates.Door.LOST, self.gate.door)
        self.open()
        self.assertIs(gates.Door.OPEN, self.gate.door)

    def test_a_waiting_request_is_refused_before_its_deadline(self):
        self.open(slots=1)
        self.run_work(deadline_s=100.0)
        self.run_work(deadline_s=1.0)
        self.wait(0.9)
        self.assertEqual((REASON.QUEUE_FULL, NOT_RUN), self.refused())
