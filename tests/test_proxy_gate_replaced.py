"""Gate whose upstream process is replaced while requests wait for it."""

from __future__ import annotations

import testtools
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.platform import request_headers
from cyclamendale.proxy import gate as gates
from tests.support import fake_log
from tests.support import gate_bench
from tests.support import upstream_requests

NOT_RUN = refusals.Execution.NOT_RUN
NO_TARGET = refusals.RefusalReason.NO_TARGET
ADDRESS = "10.0.0.9:80"


class Transport(gate_bench.StringTransport):
    def abortConnection(self):
        self.loseConnection()


class ReplacedCase(testtools.TestCase):
    """A gate on a reactor in memory; the test opens the connections."""

    def setUp(self):
        super().setUp()
        self.reactor = testing.MemoryReactorClock()
        self.gate = gates.Gate(
            self.reactor,
            clocks.ReactorClock(self.reactor),
            request_headers.HEADER_NAMES,
            fake_log.FakeLog(),
            lambda: None,
        )
        self.gate.start()
        self.outcomes = []
        self.slots = 2
        self.open_gate()

    def open_gate(self, upstream_id="i-1", service="wash", address=ADDRESS):
        self.gate.open(upstream_id, service, address, self.slots)

    def run_request(self, **values):
        return self.gate.run(
            upstream_requests.make_request(
                **{"upstream_id": "i-1", "deadline_s": 1000.0, **values}
            ),
            self.outcomes.append,
        )

    def connect(self, index=-1):
        """Accepts a connection, and returns it."""
        connection = self.reactor.tcpClients[index][2].buildProtocol(None)
        connection.makeConnection(Transport())
        return connection

    def refuse_connect(self, index=-1):
        self.reactor.tcpClients[index][2].clientConnectionFailed(
            None, failure.Failure(error.ConnectionRefusedError())
        )

    def respond(self, connection):
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nX-Cyclamendale-Attempt-Id: r1\r\n"
            b"Content-Length: 1\r\n\r\nx"
        )

    def statuses(self):
        return [outcome.status for outcome in self.outcomes]

    def refused(self):
        return [
            (outcome.reason, outcome.execution) for outcome in self.outcomes
        ]


_OTHERS = [
    ("another service", {"successor": {"upstream_id": "i-2",
                                       "service": "drying"}}),
    ("another process", {"successor": {"upstream_id": "i-2"}}),
    ("its id with another service", {"successor": {"service": "drying"}}),
    ("another service elsewhere", {
        "successor": {"upstream_id": "i-2", "service": "drying",
                      "address": "10.0.0.9:81"}}),
]  # fmt: skip


class SuccessorTest(ReplacedCase):
    """Requests admitted for a lost upstream ran on its successor."""

    scenarios = _OTHERS

    def test_gets_no_request_that_was_queued(self):
        self.run_request()
        self.run_request(deadline_s=1.0)
        self.run_request()
        first = self.connect(0)
        self.open_gate(**self.successor)
        self.assertEqual([(NO_TARGET, NOT_RUN)] * 2, self.refused())
        self.reactor.pump([0.1] * 20)
        self.assertEqual(1, len(self.reactor.tcpClients))
        self.assertEqual(1, first.transport.value().count(b"GET / "))

    def test_gets_no_request_that_waited_for_a_connection(self):
        self.run_request()
        self.open_gate(**self.successor)
        self.assertEqual([(NO_TARGET, NOT_RUN)], self.refused())
        self.assertEqual(b"", self.connect().transport.value())
        self.assertEqual(1, len(self.outcomes))
        self.assertEqual(0, self.gate.load().at_gate)

    def test_stays_open_when_a_connection_to_the_earlier_one_fails(self):
        self.run_request()
        self.open_gate(**self.successor)
        self.refuse_connect()
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_gets_no_request_that_arrives_for_the_earlier_one(self):
        self.open_gate(**self.successor)
        self.run_request()
        self.assertEqual([(NO_TARGET, NOT_RUN)], self.refused())

    def test_gets_its_own_requests(self):
        self.run_request()
        self.open_gate(**self.successor)
        self.outcomes.clear()
        self.run_request(
            upstream_id=self.successor.get("upstream_id", "i-1"),
            service=self.successor.get("service", "wash"),
        )
        self.respond(self.connect())
        self.assertEqual([200], self.statuses())


class RestartedTest(ReplacedCase):
    """An upstream that starts again under its id keeps what waits for it."""

    scenarios = [
        ("same address", {"address": ADDRESS}),
        ("another port", {"address": "10.0.0.9:81"}),
    ]

    def test_queued_requests_run(self):
        self.run_request()
        first = self.connect()
        self.run_request()
        self.open_gate(address=self.address)
        self.respond(first)
        if self.address != ADDRESS:
            self.respond(self.connect())
        else:
            self.respond(first)
        self.assertEqual([200] * 2, self.statuses())


class MovedTest(ReplacedCase):
    def test_nothing_is_written_to_the_address_it_has_left(self):
        self.run_request()
        self.open_gate(address="10.0.0.9:81")
        self.assertEqual(b"", self.connect().transport.value())
        self.assertEqual([(NO_TARGET, NOT_RUN)], self.refused())
        self.assertIs(gates.GateState.OPEN, self.gate.state)


class PredecessorTest(ReplacedCase):
    """Requests of a lost upstream closed or filled its successor's gate."""

    scenarios = _OTHERS

    def setUp(self):
        super().setUp()
        self.own = {
            "upstream_id": self.successor.get("upstream_id", "i-1"),
            "service": self.successor.get("service", "wash"),
        }
        self.slots = 10
        self.open_gate()
        self.sent = []
        for _ in range(gates.MAX_CONSECUTIVE_TIMEOUTS):
            self.run_request(deadline_s=1.0)
            self.sent.append(self.connect())
        self.open_gate(**self.successor)

    def test_its_time_outs_do_not_close_the_gate(self):
        self.reactor.pump([0.1] * 15)
        self.assertEqual(
            [refusals.RefusalReason.LOST] * len(self.sent),
            [outcome.reason for outcome in self.outcomes],
        )
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_a_421_to_its_request_does_not_close_the_gate(self):
        self.sent[0].dataReceived(
            b"HTTP/1.1 421 X\r\nX-Cyclamendale-Attempt-Id: r1\r\n"
            b"X-Cyclamendale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(
            [(refusals.RefusalReason.UPSTREAM_REFUSED, NOT_RUN)],
            self.refused(),
        )
        self.assertIs(gates.GateState.OPEN, self.gate.state)

    def test_its_requests_take_no_room(self):
        before = len(self.reactor.tcpClients)
        for _ in range(gates.MAX_CONSECUTIVE_TIMEOUTS):
            self.run_request(**self.own)
        self.assertEqual(
            gates.MAX_CONSECUTIVE_TIMEOUTS,
            len(self.reactor.tcpClients) - before,
        )
        self.assertEqual(
            gates.MAX_CONSECUTIVE_TIMEOUTS, self.gate.load().at_gate
        )
