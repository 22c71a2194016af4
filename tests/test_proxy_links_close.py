"""Requests between two nodes, of which the one that runs them stops."""

from __future__ import annotations

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import shutdown
from cyclamendale.overload import gate_queue
from cyclamendale.peer import thrift_network
from cyclamendale.proxy import links
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_server
from tests.support import fake_log
from tests.support import upstream_requests

IP = "127.0.0.1"
LOAD = gate_queue.GateLoad(3, 1, 10, 0.1, 0.0)
LARGE_BYTES = 1_000_000
"""Size of a body that the buffers of the kernel hold."""
LEAVING = refusals.RefusalReason.LEAVING


class HeldGate(messages.Runner):
    """Holds requests until the test ends them."""

    def __init__(self):
        self.receivers = []
        self.cancelled = 0

    def run(self, request, receiver):
        self.receivers.append(receiver)
        return self

    def cancel(self):
        self.cancelled += 1


class StopTest(unittest.TestCase):
    timeout = 30

    @defer.inlineCallbacks
    def setUp(self):
        clock = clocks.SystemClock(reactor)
        self.caller, self.stopping = (
            thrift_network.ThriftPeerNetwork(
                reactor, clock, b"", max_frame_bytes=links.MAX_FRAME_BYTES
            )
            for _ in range(2)
        )
        self.addCleanup(self.caller.close)
        self.shutdown = shutdown.Shutdown(clock)
        self.gate = HeldGate()
        self.run_server = run_server.RunServer(
            self.stopping, clock, self.gate, lambda: LOAD, self.shutdown
        )
        self.address = f"{IP}:{self.stopping.listen(IP, 0)}"
        self.links = links.Links(
            self.caller,
            clock,
            lambda host, at_gate: None,
            shutdown.Shutdown(clock),
            fake_log.FakeLog(),
        )
        self.now_s = clock.now_s
        self.outcomes = []
        self.run_request()
        yield self.until(lambda: self.gate.receivers)

    @defer.inlineCallbacks
    def until(self, condition):
        while not condition():
            yield task.deferLater(reactor, 0.01)

    def run_request(self):
        request = upstream_requests.make_request(
            idempotent=False, deadline_s=self.now_s() + 5.0
        )
        self.links.runner(self.address).run(request, self.outcomes.append)

    def stop(self):
        self.shutdown.begin(0.0)
        self.shutdown.end()
        self.run_server.stop()
        return self.stopping.close()

    @defer.inlineCallbacks
    def test_a_request_that_crosses_the_close_of_a_link_has_not_run(self):
        # Its caller was told that it may have run (502).
        self.gate.receivers[0](messages.Response(200, b"", b""))
        yield self.until(lambda: self.outcomes)
        self.run_request()
        yield self.stop()
        yield self.until(lambda: len(self.outcomes) == 2)
        self.assertEqual(1, len(self.gate.receivers))
        refusal = self.outcomes[1]
        self.assertEqual(
            (LEAVING, refusals.Execution.NOT_RUN),
            (refusal.reason, refusal.execution),
        )

    @defer.inlineCallbacks
    def test_a_request_at_the_gate_of_a_host_that_stops_may_have_run(self):
        self.run_request()
        yield self.until(lambda: len(self.gate.receivers) == 2)
        yield self.stop()
        yield self.until(lambda: len(self.outcomes) == 2)
        self.assertEqual(2, self.gate.cancelled)
        for refusal in self.outcomes:
            self.assertIs(refusals.Execution.UNKNOWN, refusal.execution)

    @defer.inlineCallbacks
    def test_a_request_that_crosses_the_close_costs_no_earlier_response(self):
        # The close reset the connection, and the response on it was lost.
        connections = []
        self.caller.with_connection(self.address, connections.append)
        transport = connections[0].transport
        transport.pauseProducing()
        self.gate.receivers[0](messages.Response(200, b"", b"x" * LARGE_BYTES))
        yield self.until(lambda: not self.stopping.unsent_bytes)
        self.run_request()
        closed = self.stop()
        yield task.deferLater(reactor, 0.2)
        transport.resumeProducing()
        yield self.until(lambda: len(self.outcomes) == 2)
        yield closed
        response = self.outcomes[0]
        self.assertIsInstance(response, messages.Response)
        self.assertEqual(LARGE_BYTES, len(response.body))
        self.assertIs(refusals.Execution.NOT_RUN, self.outcomes[1].execution)
