"""Departures that outlive the node that confirmed them."""

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

    def open(self, upstream_id, address, slots):
        self.state = gates.GateState.OPEN

    def close(self, state):
        self.state = state


class NothingInForce:
    current = None


def beat(sequence=1, state=READY, born=5):
    return announcements.Heartbeat(
        upstream_id="i-1",
        born_ms=born,
        sequence=sequence,
        service="wash",
        address="10.0.0.9:80",
        slots=10,
        state=state,
    )


class RestartTest(testtools.TestCase):
    scenarios = [
        ("draining", {"leave": lambda node: node.heard(beat(7, DRAINING))}),
        ("deregistered", {"leave": lambda node: node.left("i-1", 5)}),
        ("deregistered without a birth", {
            "leave": lambda node: node.left("i-1", None)}),
    ]  # fmt: skip

    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.rows = memory_rows.MemoryRows()
        self.log = fake_log.FakeLog()

    def start_node(self, host="10.0.0.9:7"):
        """Returns the own upstream of a process that starts now."""
        self.gate = FakeGate()
        started = own_upstream.OwnUpstream(
            "10.0.0.9",
            self.gate,
            NothingInForce(),
            departures.Departures(
                clocks.ReactorClock(self.reactor),
                random.Random(1),
                self.rows,
                host,
                self.log,
            ),
            self.log,
        )
        started.start()
        return started

    def test_a_late_heartbeat_does_not_open_the_next_process(self):
        node = self.start_node()
        node.heard(beat())
        self.assertIs(gates.GateState.OPEN, self.gate.state)
        self.leave(node)
        self.assertIs(gates.GateState.LEAVING, self.gate.state)
        node = self.start_node()
        node.heard(beat(3))
        self.assertIsNot(gates.GateState.OPEN, self.gate.state)

    def test_a_process_born_later_opens_it(self):
        node = self.start_node()
        node.heard(beat())
        self.leave(node)
        node = self.start_node()
        node.heard(beat(born=9))
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_a_store_that_is_away_does_not_keep_it_closed(self):
        self.rows.failing = watched_rows.RowsErrorKind.UNAVAILABLE
        node = self.start_node()
        node.heard(beat())
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_a_departure_is_stored_when_the_store_is_back(self):
        node = self.start_node()
        node.heard(beat())
        self.rows.failing = watched_rows.RowsErrorKind.UNAVAILABLE
        self.leave(node)
        self.reactor.pump([0.5] * 2)
        self.rows.failing = None
        self.reactor.pump([0.5] * 4)
        node = self.start_node()
        node.heard(beat(3))
        self.assertIsNot(gates.GateState.OPEN, self.gate.state)

    def test_its_row_is_removed_when_no_heartbeat_can_be_under_way(self):
        node = self.start_node()
        node.heard(beat())
        self.leave(node)
        self.assertEqual(1, len(self.rows.keys(departures.TABLE)))
        self.reactor.advance(departures.KEPT_S + 1.0)
        self.assertEqual(set(), self.rows.keys(departures.TABLE))

    def test_the_next_process_removes_it_too(self):
        node = self.start_node()
        node.heard(beat())
        self.leave(node)
        node.stop()
        self.start_node()
        self.reactor.advance(departures.KEPT_S + 1.0)
        self.assertEqual(set(), self.rows.keys(departures.TABLE))
