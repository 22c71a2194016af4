"""Tests of the gate: which requests it forwards or refuses, and when."""

from __future__ import annotations

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.platform import request_headers
from cyclamendale.proxy import gate as gates
from cyclamendale.proxy import upstream_connection as connections
from tests.support import fake_log
from tests.support import upstream_requests

REASON = refusals.RefusalReason
NOT_RUN = refusals.Execution.NOT_RUN
UNKNOWN = refusals.Execution.UNKNOWN


class FakeLease:
    is_sent = True

    def __init__(self, sent):
        self.sent = sent
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True
        return True


class FakePool:
    """Records sent requests; the test delivers the results."""

    def __init__(self):
        self.sent = []
        self.is_closed = False

    def send(self, encode_request, request_id, is_head, idempotent, receiver):
        lease = FakeLease(encode_request())
        self.sent.append((lease, receiver))
        return lease

    def close(self):
        self.is_closed = True

    def respond(self, index=0, status=200, not_run=False, **stated):
        _, receiver = self.sent[index]
        receiver(
            connections.UpstreamResponse(status, b"", b"x", not_run, **stated)
        )

    def fail(self, failure, index=0):
        _, receiver = self.sent[index]
        receiver(failure)


class GateCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.log = fake_log.FakeLog()
        self.gate = self.build_gate(lambda: None)
        self.pool = FakePool()
        self.gate._sender._make_pool = lambda address: self.pool
        self.gate._queue.replace_upstream = lambda: None
        self.gate.start()
        self.outcomes = []

    def build_gate(self, on_state_change):
        return gates.Gate(
            None,
            clocks.ReactorClock(self.reactor),
            request_headers.HEADER_NAMES,
            self.log,
            on_state_change,
        )

    def open(self, slots=10):
        self.gate.open("i-1", "wash", "10.0.0.9:80", slots)

    def run_request(self, **values):
        return self.gate.run(
            upstream_requests.make_request(**values),
            self.outcomes.append,
        )

    def refused(self):
        (refusal,) = self.outcomes
        return refusal.reason, refusal.execution

    def advance(self, duration_s):
        self.reactor.pump([0.05] * round(duration_s / 0.05))


class ClosedGateTest(GateCase):
    scenarios = [
        (
            "unknown",
            {"state": gates.GateState.UNKNOWN, "reason": REASON.NO_TARGET},
        ),
        (
            "leaving",
            {"state": gates.GateState.LEAVING, "reason": REASON.LEAVING},
        ),
        ("lost", {"state": gates.GateState.LOST, "reason": REASON.NO_TARGET}),
    ]

    def test_a_closed_gate_forwards_nothing(self):
        self.open()
        self.gate.close(self.state)
        self.run_request()
        self.assertEqual((self.reason, NOT_RUN), self.refused())
        self.assertEqual([], self.pool.sent)

    def test_queued_requests_are_refused_when_it_stops(self):
        # Their senders took them for requests that may have run.
        self.open(slots=1)
        self.run_request()
        self.run_request()
        self.gate.stop()
        self.assertEqual((REASON.LEAVING, NOT_RUN), self.refused())

    def test_queued_requests_are_refused_and_running_ones_complete(self):
        self.open(slots=1)
        self.run_request()
        self.run_request()
        self.gate.close(self.state)
        self.assertEqual((self.reason, NOT_RUN), self.refused())
        self.pool.respond()
        self.assertEqual(200, self.outcomes[1].status)
        self.assertEqual(0, self.gate.in_flight)


class ForwardingTest(GateCase):
    def test_the_upstream_receives_the_complete_request(self):
        self.open()
        self.run_request(head=b"POST /a HTTP/1.1\r\nA: 1\r\n", body=b"xyz")
        (lease, _) = self.pool.sent[0]
        self.assertEqual(
            b"POST /a HTTP/1.1\r\nA: 1\r\n"
            b"X-Cyclamendale-Deadline-Ms: 10000\r\n"
            b"X-Cyclamendale-Expected-Instance: i-1\r\n"
            b"Content-Length: 3\r\n\r\nxyz",
            lease.sent,
        )

    def test_queueing_time_is_subtracted_from_the_remaining_time(self):
        self.open(slots=1)
        self.run_request()
        self.run_request(deadline_s=2.0)
        self.advance(0.5)
        self.pool.respond()
        self.assertIn(b"Deadline-Ms: 1500\r\n", self.pool.sent[1][0].sent)

    def test_a_request_for_an_earlier_process_is_refused(self):
        self.open()
        self.run_request(upstream_id="i-0")
        self.assertEqual((REASON.NO_TARGET, NOT_RUN), self.refused())


class FailureTest(GateCase):
    scenarios = [
        ("not connected", {
            "failure": connections.Failure.NOT_CONNECTED,
            "outcome": (REASON.NO_TARGET, NOT_RUN),
            "state": gates.GateState.LOST}),
        ("broken", {
            "failure": connections.Failure.BROKEN,
            "outcome": (REASON.UPSTREAM_FAILED, UNKNOWN),
            "state": gates.GateState.OPEN}),
        ("garbled", {
            "failure": connections.Failure.GARBLED,
            "outcome": (REASON.UPSTREAM_FAILED, UNKNOWN),
            "state": gates.GateState.OPEN}),
    ]  # fmt: skip

    def test_outcome_and_state(self):
        self.open()
        self.run_request()
        self.pool.fail(self.failure)
        self.assertEqual(self.outcome, self.refused())
        self.assertIs(self.state, self.gate.state)


class RefusedByUpstreamTest(GateCase):
    scenarios = [
        ("full", {"status": 503, "state": gates.GateState.OPEN}),
        ("another process", {"status": 421, "state": gates.GateState.UNKNOWN}),
    ]

    def test_is_not_run(self):
        self.open()
        self.run_request()
        self.pool.respond(status=self.status, not_run=True)
        self.assertEqual((REASON.UPSTREAM_REFUSED, NOT_RUN), self.refused())
        self.assertIs(self.state, self.gate.state)


class LeavingResponseTest(GateCase):
    scenarios = [
        ("response", {"status": 200, "not_run": False, "departures": ["i-1"]}),
        ("failure", {"status": 500, "not_run": False, "departures": ["i-1"]}),
        ("refusal", {"status": 503, "not_run": True, "departures": ["i-1"]}),
        ("another process", {"status": 421, "not_run": True, "departures": []}),
    ]

    def setUp(self):
        super().setUp()
        self.reported = []
        self.gate.on_leaving = self.reported.append

    # Only announcements told that an upstream leaves.
    def test_is_reported(self):
        self.open()
        self.run_request()
        self.pool.respond(
            status=self.status, not_run=self.not_run, is_leaving=True
        )
        self.assertEqual(self.departures, self.reported)

    def test_of_an_earlier_process_is_not_reported(self):
        self.open()
        self.run_request()
        self.gate.open("i-2", "wash", "10.0.0.9:80", 10)
        self.pool.respond(is_leaving=True)
        self.assertEqual([], self.reported)


class RandomRefusalTest(GateCase):
    """An upstream that refuses most requests even when it has free slots."""

    def test_keeps_its_slots(self):
        self.open(slots=100)
        for index in range(50):
            self.run_request()
            self.pool.respond(index, status=503, not_run=True)
        self.assertEqual(94, self.gate.load().capacity)

    def test_an_upstream_that_refuses_when_full_gets_fewer_slots(self):
        self.open(slots=100)
        for _ in range(94):
            self.run_request(deadline_s=1000.0)
        for index in range(90):
            self.run_request(deadline_s=1000.0)
            self.pool.respond(index, status=503, not_run=True)
        room = self.gate.load().capacity
        self.assertLess(room, 94)
        self.assertGreaterEqual(room, 47)


class RefusedShareTest(GateCase):
    scenarios = [
        ("refuses three of four at random", {
            "in_flight": 1, "refused_count": 3, "period": 4, "expected": 0.75}),
        ("responds to all", {
            "in_flight": 1, "refused_count": 0, "period": 4, "expected": 0.0}),
        ("refuses because it is full", {
            "in_flight": 9, "refused_count": 4, "period": 4, "expected": 0.0}),
    ]  # fmt: skip

    def test_counts_only_refusals_while_slots_are_free(self):
        self.open(slots=10)
        for _ in range(self.in_flight - 1):
            self.run_request(deadline_s=1000.0)
        for index in range(200):
            self.run_request(deadline_s=1000.0)
            is_refused = index % self.period < self.refused_count
            self.pool.respond(
                len(self.pool.sent) - 1,
                status=503 if is_refused else 200,
                not_run=is_refused,
            )
        self.assertAlmostEqual(
            self.expected, self.gate.refused_share, delta=0.1
        )


class CancelTest(GateCase):
    scenarios = [
        ("idempotent", {"idempotent": True, "is_aborted": True}),
        ("not idempotent", {"idempotent": False, "is_aborted": False}),
    ]

    def test_only_an_idempotent_run_is_aborted(self):
        self.open()
        handle = self.run_request(idempotent=self.idempotent)
        handle.cancel()
        lease, _ = self.pool.sent[0]
        self.assertEqual(self.is_aborted, lease.is_cancelled)

    def test_a_queued_request_never_runs(self):
        self.open(slots=1)
        self.run_request()
        self.run_request(idempotent=self.idempotent).cancel()
        self.pool.respond()
        self.assertEqual(1, len(self.pool.sent))
        self.assertEqual(0, self.gate.in_flight)


class TimeoutTest(GateCase):
    def test_a_silent_upstream_gives_an_unknown_outcome(self):
        self.open()
        self.run_request(deadline_s=1.0)
        self.advance(1.2)
        self.assertEqual([], self.outcomes)
        self.advance(0.2)
        self.assertEqual((REASON.LOST, UNKNOWN), self.refused())

    def test_consecutive_time_outs_close_the_gate(self):
        self.open()
        for _ in range(gates.MAX_CONSECUTIVE_TIMEOUTS):
            self.run_request(deadline_s=1.0)
        self.advance(1.5)
        self.assertIs(gates.GateState.LOST, self.gate.state)
        self.open()
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_a_queued_request_is_refused_before_its_deadline(self):
        self.open(slots=1)
        self.run_request(deadline_s=100.0)
        self.run_request(deadline_s=1.0)
        self.advance(0.9)
        self.assertEqual((REASON.QUEUE_FULL, NOT_RUN), self.refused())
