"""Tests of the store's client against malformed and broken responses.

The store is a stand-in on loopback, so that connections end as real ones do.
"""

from __future__ import annotations

import testscenarios
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from cyclamendale import clocks
from cyclamendale.store import http_attempt
from tests.support import heads

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 5.0
LONG_BODY = b"x" * 4_000_000
"""Is still being written when the response comes."""

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


class End:
    """How the stand-in ends its connection."""

    KEPT = staticmethod(lambda transport: None)
    CLOSED = staticmethod(lambda transport: transport.loseConnection())
    RESET = staticmethod(lambda transport: transport.abortConnection())


class StandIn(protocol.Protocol):
    """Answers the first bytes of a request, then ends the connection."""

    has_answered = False

    def dataReceived(self, data):
        if self.has_answered:
            return
        self.has_answered = True
        for segment in self.factory.segments:
            self.transport.write(segment)
        # An abort discards what is unsent.
        reactor.callLater(0.02, self.factory.end, self.transport)


class ResponseCase(testscenarios.WithScenarios, unittest.TestCase):
    timeout = 20

    @defer.inlineCallbacks
    def send(self, segments, end=End.KEPT, body=None):
        """Returns the result of an attempt that gets a response."""
        factory = protocol.Factory.forProtocol(StandIn)
        factory.noisy = False
        factory.segments = segments
        factory.end = end
        port = reactor.listenTCP(0, factory, interface=LOOPBACK)
        sender = http_attempt.Sender(
            reactor,
            clocks.ReactorClock(reactor),
            f"http://{LOOPBACK}:{port.getHost().port}",
            TIMEOUT_S,
            TIMEOUT_S,
            1,
        )
        started_s = reactor.seconds()
        result = yield defer.Deferred.fromCoroutine(
            sender.send("GET" if body is None else "POST", "/x", body)
        )
        self.assertLess(reactor.seconds() - started_s, TIMEOUT_S)
        yield sender.close()
        yield port.stopListening()
        # Closed connections are reported in the next reactor iterations.
        yield task.deferLater(reactor, 0.05)
        return result


class MalformedHeadTest(ResponseCase):
    scenarios = heads.make_malformed_scenarios()

    @defer.inlineCallbacks
    def test_it_may_have_taken_effect(self):
        for body in (None, LONG_BODY):
            result = yield self.send([self.data], body=body)
            self.assertTrue(result.is_error(), result)
            self.assertEqual(http_attempt.AttemptFailure.LOST, result.error)


class SoundHeadTest(ResponseCase):
    scenarios = [
        (name, {"line": line + b"\r\n"}) for name, line in heads.SOUND_LINES
    ]

    @defer.inlineCallbacks
    def test_it_is_a_response(self):
        data = heads.make_response(lines=self.line)
        result = yield self.send(heads.split(data))
        self.assertEqual((200, heads.BODY), (result.ok.status, result.ok.body))


class ConnectionEndTest(ResponseCase):
    scenarios = [
        (f"{name}, {end_name}", {"data": data, "end": end})
        for name, data in (
            ("no response", b""),
            ("within the status line", OK[:9]),
            ("within the head", OK + b"Content-Length: 2\r\n"),
            ("within a body with a length",
             OK + b"Content-Length: 3\r\n\r\nab"),
            ("within a chunk", CHUNKED + b"3\r\nab"),
            ("before the last chunk", CHUNKED + b"2\r\nab\r\n"),
            ("within the trailers", CHUNKED + b"2\r\nab\r\n0\r\nA: b\r\n"),
            ("a body without a length", OK + b"\r\nab"),
        )
        for end_name, end in (("closed", End.CLOSED), ("reset", End.RESET))
    ]  # fmt: skip

    @defer.inlineCallbacks
    def test_it_may_have_taken_effect(self):
        for body in (None, LONG_BODY):
            result = yield self.send([self.data], self.end, body)
            self.assertTrue(result.is_error(), result)
            self.assertEqual(http_attempt.AttemptFailure.LOST, result.error)
