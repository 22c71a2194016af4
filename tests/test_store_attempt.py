"""Test of an attempt that times out while its body is being sent."""

from __future__ import annotations

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from cyclamendale import clocks
from cyclamendale.store import http_attempt

LOOPBACK = "127.0.0.1"
LONG_BODY = b"x" * (64 * 1024 * 1024)
"""Exceeds the socket buffers of both ends."""


class NonReadingServer(protocol.Protocol):
    """Accepts a connection and reads no data."""

    def connectionMade(self):
        self.transport.pauseProducing()
        self.factory.connected.callback(self)


class AttemptTimeoutTest(unittest.TestCase):
    timeout = 20

    @defer.inlineCallbacks
    def test_it_may_have_taken_effect(self):
        factory = protocol.Factory.forProtocol(NonReadingServer)
        factory.connected = defer.Deferred()
        port = reactor.listenTCP(0, factory, interface=LOOPBACK)
        clock = task.Clock()
        sender = http_attempt.Sender(
            reactor,
            clocks.ReactorClock(clock),
            f"http://{LOOPBACK}:{port.getHost().port}",
            1.0,
            10.0,
            1,
        )
        sent = defer.Deferred.fromCoroutine(
            sender.send("POST", "/x", LONG_BODY)
        )
        server = yield factory.connected
        yield task.deferLater(reactor, 0.05)
        clock.advance(2.0)
        result = yield sent
        self.assertEqual(http_attempt.AttemptFailure.LOST, result.error)
        server.transport.abortConnection()
        yield port.stopListening()
        yield sender.close()
        yield task.deferLater(reactor, 0.05)
