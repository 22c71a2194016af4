"""Departures of an upstream that persist across restarts of its node.

A late heartbeat must not reopen the gate after the node that confirmed the
departure was replaced by a new process.
"""

from __future__ import annotations

import random

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.fleet import announcements
from cyclamendale.fleet import departures
from cyclamendale.fleet import own_upstream
from cyclamendale.membership import directory
from cyclamendale.proxy import gate as gates
from cyclamendale.store import watched_rows
from tests.support import fake_log
from tests.support import memory_rows

READY = directory.UpstreamState.READY
DRAINING = directory.UpstreamState.DRAINING


class FakeGate:
    def __init__(self):
        self.state = gates.GateState.UNKNOWN
        self.on_leaving = None

    def open(self, upstream_id, service, address, slots):
        self.state = gates.GateState.OPEN

    def close(self, state):
        self.state = state


class NoConfiguration:
    current = None


def heartbeat(sequence=1, state=READY, started_at=5, upstream_id="i-1"):
    return announcements.Heartbeat(
        upstream_id=upstream_id,
        started_at_ms=started_at,
        sequence=sequence,
        service="wash",
        address="10.0.0.9:80",
        slots=10,
        state=state,
    )


class DepartureCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.rows = memory_rows.MemoryRows()
        self.log = fake_log.FakeLog()

    def start_node(self, host="10.0.0.9:7"):
        """Returns the own upstream of a new node process."""
        self.gate = FakeGate()
        started = own_upstream.OwnUpstream(
            "10.0.0.9",
            self.gate,
            NoConfiguration(),
            departures.DepartureStore(
                clocks.ReactorClock(self.reactor),
                random.Random(1),
                self.rows,
                host,
                self.log,
            ),
            self.log,
        )
        started.start(is_first_start=False)
        return started


class RestartTest(DepartureCase):
    scenarios = [
        ("draining", {
            "depart": lambda node: node.handle_heartbeat(
                heartbeat(7, DRAINING))}),
        ("deregistered", {
            "depart": lambda node: node.handle_departure("i-1", 5)}),
        ("deregistered without a start time", {
            "depart": lambda node: node.handle_departure("i-1", None)}),
        # Only announcements told that an upstream leaves.
        ("said so in a response", {
            "depart": lambda node: node._gate.on_leaving("i-1")}),
    ]  # fmt: skip

    def test_a_late_heartbeat_does_not_open_the_gate_after_a_restart(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.assertIs(gates.GateState.OPEN, self.gate.state)
        self.depart(node)
        self.assertIs(gates.GateState.LEAVING, self.gate.state)
        node = self.start_node()
        node.handle_heartbeat(heartbeat(3))
        self.assertIsNot(gates.GateState.OPEN, self.gate.state)

    # An odd entry ended the task that reads the rows, and the gate stayed
    # closed.
    def test_odd_rows_do_not_keep_the_gate_closed(self):
        self.rows.put(departures.TABLE, "10.0.0.9:7/i-1@\u00b2", b"")
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_a_process_started_later_opens_the_gate(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.depart(node)
        node = self.start_node()
        node.handle_heartbeat(heartbeat(started_at=9))
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_an_unavailable_store_does_not_keep_the_gate_closed(self):
        self.rows.error_kind = watched_rows.RowsErrorKind.UNAVAILABLE
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    # A node that restarted while the store was away never read the departure.
    def test_the_gate_closes_once_the_store_recovers(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.depart(node)
        self.rows.error_kind = watched_rows.RowsErrorKind.UNAVAILABLE
        node = self.start_node()
        node.handle_heartbeat(heartbeat(3))
        self.assertIs(gates.GateState.OPEN, self.gate.state)
        self.rows.error_kind = None
        self.reactor.pump([0.1] * 20)
        self.assertIs(gates.GateState.LEAVING, self.gate.state)

    # A node that restarted while the store was away opened its gate.
    def test_the_gate_closes_once_another_node_tells_of_the_departure(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.depart(node)
        told = node.recent_departures()
        self.rows.error_kind = watched_rows.RowsErrorKind.UNAVAILABLE
        node = self.start_node()
        node.handle_heartbeat(heartbeat(3))
        node.learn_departures(told)
        self.assertIs(gates.GateState.LEAVING, self.gate.state)
        self.assertEqual(told, node.recent_departures())
        node.handle_heartbeat(heartbeat(4))
        self.assertIsNot(gates.GateState.OPEN, self.gate.state)
        node.handle_heartbeat(heartbeat(1, started_at=1500))
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_a_departure_is_stored_once_the_store_recovers(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.rows.error_kind = watched_rows.RowsErrorKind.UNAVAILABLE
        self.depart(node)
        self.reactor.pump([0.5] * 2)
        self.rows.error_kind = None
        self.reactor.pump([0.5] * 4)
        node = self.start_node()
        node.handle_heartbeat(heartbeat(3))
        self.assertIsNot(gates.GateState.OPEN, self.gate.state)

    # The node gave up after a few seconds; its next process read no row.
    def test_a_departure_is_stored_after_a_long_absence_of_the_store(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.rows.error_kind = watched_rows.RowsErrorKind.UNAVAILABLE
        self.depart(node)
        self.reactor.pump([0.5] * 240)
        self.rows.error_kind = None
        self.reactor.pump([0.5] * 14)
        node = self.start_node()
        node.handle_heartbeat(heartbeat(3))
        self.assertIsNot(gates.GateState.OPEN, self.gate.state)

    def test_the_row_is_removed_after_the_retention_period(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.depart(node)
        self.assertEqual(1, len(self.rows.keys(departures.TABLE)))
        self.reactor.advance(departures.RETENTION_S + 1.0)
        self.assertEqual(set(), self.rows.keys(departures.TABLE))

    def test_the_row_is_removed_by_the_next_process_of_the_node(self):
        node = self.start_node()
        node.handle_heartbeat(heartbeat())
        self.depart(node)
        node.stop()
        self.start_node()
        self.reactor.advance(departures.RETENTION_S + 1.0)
        self.assertEqual(set(), self.rows.keys(departures.TABLE))


class BeforeTheFirstHeartbeatTest(DepartureCase):
    """A departure was confirmed and forgotten if no heartbeat was known."""

    scenarios = [
        ("of a process", {"started_at_ms": 5, "known": []}),
        ("without a start time", {"started_at_ms": None, "known": []}),
        ("after another upstream", {
            "started_at_ms": 5, "known": [heartbeat(9, READY, 3, "i-0")]}),
        ("after another upstream, without a start time", {
            "started_at_ms": None,
            "known": [heartbeat(9, READY, 3, "i-0")]}),
        ("after an earlier process of its id", {
            "started_at_ms": 5, "known": [heartbeat(9, started_at=4)]}),
    ]  # fmt: skip

    def setUp(self):
        super().setUp()
        self.reactor.advance(1.0)

    def check_late_heartbeat(self, node):
        node.handle_heartbeat(heartbeat())
        self.assertIsNot(gates.GateState.OPEN, self.gate.state)

    def test_a_late_heartbeat_does_not_open_the_gate(self):
        node = self.start_node()
        for each in self.known:
            node.handle_heartbeat(each)
        node.handle_departure("i-1", self.started_at_ms)
        self.check_late_heartbeat(node)

    def test_a_late_heartbeat_does_not_open_the_gate_after_a_restart(self):
        node = self.start_node()
        for each in self.known:
            node.handle_heartbeat(each)
        node.handle_departure("i-1", self.started_at_ms)
        self.check_late_heartbeat(self.start_node())

    def test_a_process_started_later_opens_the_gate(self):
        node = self.start_node()
        node.handle_departure("i-1", self.started_at_ms)
        node.handle_heartbeat(heartbeat(started_at=1500))
        self.assertIs(gates.GateState.OPEN, self.gate.state)
