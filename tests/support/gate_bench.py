"""Test bench for one gate on a virtual clock.

The test plays the upstream: it accepts connections and sends answers.
"""

from __future__ import annotations

import random

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.forwarding import exchange
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.overload import shed_key as shed_keys
from cyclamendale.upstream import gate as gates
from tests.support import path_node

CLOSED = failure.Failure(error.ConnectionDone())


class StringTransport(testing.StringTransport):
    """Transport that records the bytes written to it, and a half-close."""

    half_closed = False

    def loseWriteConnection(self):
        self.half_closed = True

    def setTcpNoDelay(self, enabled):
        """Does nothing; writes are recorded at once."""

    def unregisterProducer(self):
        """Removes the producer, if any.

        The base class fails without a producer; a TCP transport does not.
        """
        self.producer = None


class RecordingReceiver(exchange.Receiver):
    """Records the events that the gate reports, in order."""

    def __init__(self):
        self.events = []

    def answered(self, answer):
        self.events.append(("answered", answer.status, answer.body))
        self.answer = answer

    def refused(self, refusal, answer_feedback, unused_budget):
        self.events.append(
            ("refused", refusal.reason.value, refusal.execution.value)
        )

    def chunk(self, data, last, unused_budget):
        self.events.append(("chunk", data, last))

    def upload_requested(self):
        self.events.append(("pushed",))

    def lost(self, sent):
        self.events.append(("lost", sent))


class GateBench:
    """Gate whose upstream connections are string transports."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.clock = clocks.ReactorClock(self.reactor)
        self.admission = path_node.OpenAdmission()
        self.gate = gates.Gate(
            self.reactor,
            self.clock,
            random.Random(1),
            lambda announced: self.admission,
            lambda own, context: own,
        )
        self.gate.set_upstream(
            directory.Announcement(
                ids.ServiceName("shop"),
                "127.0.0.1:9",
                10,
                100,
                directory.UpstreamState.READY,
            )
        )

    def make_envelope(self, **fields):
        """Returns the envelope of a request; `fields` replace attributes."""
        envelope = exchange.Envelope(
            ids.RequestId("r1"),
            ids.CustomerId("masons"),
            ids.RouteName("shop"),
            model.Importance.NORMAL,
            shed_keys.ShedKey(7),
            0,
            3,
            self.clock.now_s() + 5.0,
            b"GET /shop HTTP/1.1\r\nHost: x\r\n",
            b"",
            False,
            0,
        )
        for name, value in fields.items():
            setattr(envelope, name, value)
        return envelope

    def open(self, **fields):
        """Sends a request to the gate; returns its receiver and exchange."""
        receiver = RecordingReceiver()
        return receiver, self.gate.open(self.make_envelope(**fields), receiver)

    def connect(self):
        """Accepts the connection that the gate opened last."""
        connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(StringTransport())
        return connection

    def refuse_connect(self):
        """Refuses the connection that the gate opened last."""
        self.reactor.tcpClients[-1][2].clientConnectionFailed(
            None, failure.Failure(error.ConnectionRefusedError())
        )

    def is_idle(self):
        """Returns whether no request runs and no context is left."""
        return not (self.gate.running or self.gate.contexts._live)
