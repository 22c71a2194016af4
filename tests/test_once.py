"""Tests of at-most-once execution with `once = "table"` on two nodes."""

from __future__ import annotations

import testscenarios
import testtools
from twisted.internet import defer

from cyclamendale import refusals
from cyclamendale.filters import once
from cyclamendale.intents import model
from cyclamendale.store import faults
from cyclamendale.store import table as tables
from tests.support import entry_bench
from tests.support import fake_platform

POST = (
    b"POST /shop HTTP/1.1\r\nX-Api-Key: masons-key\r\n"
    b"Idempotency-Key: %s\r\nContent-Length: 0\r\n\r\n"
)
MAY_HAVE_RUN = (409, "unknown", "may-have-run")
ALREADY_RUN = (409, "unknown", "already-run")
UNAVAILABLE = (503, "not-run", "once-unavailable")
SLOW_INSERT = faults.FaultRule(
    faults.Fault.SLOW, (faults.Operation.INSERT,), delay_s=0.5
)
SERVED = (200, "answered", None)


class TwoNodes(testtools.TestCase):
    """Two nodes with a shared table, on virtual clocks."""

    def setUp(self):
        super().setUp()
        self.platform = fake_platform.MemoryPlatform()
        self.nodes = [self.make_node() for _ in range(2)]

    def make_node(self):
        return entry_bench.EntryBench(
            self.platform.table, once=model.Once.TABLE
        )

    def send(self, node=0, key=b"booking-1"):
        """Sends the request through one node; returns its connection."""
        caller = self.nodes[node].connect()
        caller.send(POST % key)
        return caller

    def settle(self):
        """Advances the clock until the table has answered all requests."""
        for _ in range(200):
            self.platform.task_clock.advance(0.1)

    def send_and_settle(self, node=0, key=b"booking-1"):
        caller = self.send(node, key)
        self.settle()
        return caller

    def rows(self):
        """Returns the rows of all idempotency keys."""
        found = []
        self.platform.table.list_rows(once.ROW_PREFIX, 10).addCallback(
            lambda result: found.extend(result.ok)
        )
        self.settle()
        return found

    def attempts(self):
        return [held for node in self.nodes for held in node.attempts]


class OnceTest(TwoNodes):
    def test_one_of_two_concurrent_requests_through_two_nodes_runs(self):
        callers = [self.send(0), self.send(1)]
        self.settle()
        (attempt,) = self.attempts()
        attempt.answer()
        self.assertEqual(
            [SERVED, MAY_HAVE_RUN],
            sorted(outcome for c in callers for outcome in c.outcomes),
        )

    def test_a_repeat_of_an_answered_request_is_refused_as_already_run(self):
        self.send_and_settle()
        self.attempts()[0].answer()
        self.settle()
        self.assertEqual([ALREADY_RUN], self.send_and_settle(1).outcomes)
        self.assertEqual(1, len(self.attempts()))

    def test_a_repeat_of_a_lost_request_is_refused_as_may_have_run(self):
        self.send_and_settle()
        self.attempts()[0].receiver.lost(sent=True)
        self.settle()
        self.assertEqual([MAY_HAVE_RUN], self.send_and_settle(1).outcomes)
        self.assertEqual(1, len(self.attempts()))

    def test_a_request_refused_at_the_gate_may_be_repeated(self):
        self.send_and_settle()
        self.attempts()[0].refuse(refusals.RefusalReason.SHED)
        self.settle()
        self.assertEqual([], self.rows())
        self.send_and_settle(1)
        self.assertEqual(2, len(self.attempts()))

    def test_different_keys_do_not_conflict(self):
        self.send_and_settle(key=b"booking-1")
        self.send_and_settle(key=b"booking-2")
        self.assertEqual(2, len(self.attempts()))

    def test_a_row_of_a_newer_format_prevents_a_second_run(self):
        self.send_and_settle()
        (row,) = self.rows()
        self.platform.table.compare_and_set(
            row.key, row.version, b'{"format": 9, "state": "new"}'
        )
        self.settle()
        self.assertEqual([MAY_HAVE_RUN], self.send_and_settle(1).outcomes)
        self.assertEqual(1, len(self.attempts()))

    def test_a_disconnect_during_the_insert_leaves_no_claim(self):
        self.platform.injector.set_rules([SLOW_INSERT])
        self.send().close()
        self.settle()
        self.assertEqual([], self.attempts())
        self.assertEqual([], self.rows())

    def test_a_disconnect_before_hand_over_leaves_no_claim(self):
        self.nodes[0].never_sent = True
        caller = self.send_and_settle()
        caller.close()
        self.assertEqual([], self.rows())

    def test_a_disconnect_after_hand_over_keeps_the_claim(self):
        caller = self.send_and_settle()
        caller.close()
        self.settle()
        self.assertEqual([MAY_HAVE_RUN], self.send_and_settle(1).outcomes)
        self.assertEqual(1, len(self.attempts()))

    def test_a_slow_table_delays_no_caller_beyond_the_deadline(self):
        self.platform.injector.set_rules([SLOW_INSERT])
        caller = self.send()
        self.nodes[0].reactor.advance(5.0)
        self.assertEqual([(504, "not-run", "deadline")], caller.outcomes)
        self.settle()
        self.assertEqual([], self.attempts())
        self.assertEqual([], self.rows())

    def test_a_deadline_that_passes_within_a_filter_is_refused(self):
        class Slow(tables.Table):
            def insert_if_absent(self, key, value):
                node.reactor.rightNow += 6.0
                return defer.Deferred()

            read = list_rows = compare_and_set = transact = None

        node = entry_bench.EntryBench(Slow(), once=model.Once.TABLE)
        caller = node.connect()
        caller.send(POST % b"booking-1")
        node.reactor.advance(0.0)
        self.assertEqual([(504, "not-run", "deadline")], caller.outcomes)

    def test_an_exception_in_a_filter_is_refused_as_not_run(self):
        class Broken(tables.Table):
            def insert_if_absent(self, key, value):
                return defer.fail(ZeroDivisionError())

            read = list_rows = compare_and_set = transact = None

        node = entry_bench.EntryBench(Broken(), once=model.Once.TABLE)
        caller = node.connect()
        with self.assertLogs("cyclamendale", "ERROR"):
            caller.send(POST % b"booking-1")
        self.assertEqual([(503, "not-run", "not-ready")], caller.outcomes)
        self.assertEqual([], node.attempts)


class TableFaultTest(testscenarios.TestWithScenarios, TwoNodes):
    """Each table fault gives a correct outcome, and the key recovers."""

    scenarios = [
        (name, {"rules": rules, "outcomes": outcomes, "runs": runs})
        for name, rules, outcomes, runs in (
            ("down", [faults.FaultRule(faults.Fault.DOWN)], [UNAVAILABLE], 0),
            ("insert-lost", [faults.FaultRule(
                faults.Fault.REQUEST_LOST, (faults.Operation.INSERT,))],
             [UNAVAILABLE], 0),
            ("answer-lost", [faults.FaultRule(
                faults.Fault.ANSWER_LOST, (faults.Operation.INSERT,))],
             [], 1),
            ("answer-lost-then-down", [
                faults.FaultRule(
                    faults.Fault.ANSWER_LOST, (faults.Operation.INSERT,)),
                faults.FaultRule(
                    faults.Fault.DOWN, (faults.Operation.READ,))],
             [UNAVAILABLE], 0),
        )
    ]  # fmt: skip

    def test_the_outcome_is_correct_and_a_repeat_runs_at_most_once(self):
        self.platform.injector.set_rules(self.rules)
        caller = self.send_and_settle()
        self.assertEqual(self.outcomes, caller.outcomes)
        self.assertEqual(self.runs, len(self.attempts()))
        self.platform.injector.set_rules()
        repeat = self.send_and_settle(1)
        self.assertGreaterEqual(1, len(self.attempts()))
        if repeat.outcomes:
            self.assertEqual([MAY_HAVE_RUN], repeat.outcomes)
        else:
            self.assertEqual([UNAVAILABLE], caller.outcomes)
