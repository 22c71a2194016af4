"""Tests of the last close of a stopping server, on real sockets."""

from __future__ import annotations

import socket

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads
from twisted.trial import unittest

from cyclamendale import clocks
from cyclamendale.platform import request_headers
from cyclamendale.proxy import caller_connection
from cyclamendale.proxy import server
from tests import test_proxy_server
from tests.support import fake_log

TIMEOUT_S = 5.0


class LastCloseTest(unittest.TestCase):
    timeout = 30

    @defer.inlineCallbacks
    def setUp(self):
        self.patch(caller_connection, "LINGER_S", 0.0)
        self.handler = test_proxy_server.RecordingHandler()
        self.factory = server.make_caller_server(
            clocks.SystemClock(reactor),
            self.handler,
            request_headers.HEADER_NAMES,
            fake_log.FakeLog(),
        )
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.addCleanup(self.port.stopListening)
        self.callers = []
        for _ in range(3):
            caller = yield threads.deferToThread(
                socket.create_connection,
                ("127.0.0.1", self.port.getHost().port),
                TIMEOUT_S,
            )
            self.addCleanup(caller.close)
            self.callers.append(caller)
            yield self.exchange(caller)
        self.factory.begin_close()

    @defer.inlineCallbacks
    def exchange(self, caller):
        count = len(self.handler.exchanges)
        caller.sendall(test_proxy_server.GET)
        while len(self.handler.exchanges) == count:
            yield task.deferLater(reactor, 0.01)
        self.handler.exchanges[-1].respond(200, b"", b"")
        response = yield threads.deferToThread(caller.recv, 1024)
        self.assertIn(b"HTTP/1.1 200 ", response)

    @defer.inlineCallbacks
    def test_a_request_that_has_arrived_at_the_last_close_is_answered(self):
        # The close reset its connection: the reactor had not read it yet.
        caller = self.callers[1]
        caller.sendall(test_proxy_server.GET)
        self.factory.end_close()
        yield task.deferLater(reactor, 0.0)
        self.assertEqual(4, len(self.handler.exchanges))
        self.handler.exchanges[3].respond(503, b"", b"")
        response = yield threads.deferToThread(caller.recv, 1024)
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Connection: close\r\n", response)
        rest = yield threads.deferToThread(caller.recv, 1024)
        self.assertEqual(b"", rest)

    def test_an_idle_connection_closes_as_soon_as_it_was_read(self):
        # It stayed open, unread, until the reactor had run once more.
        self.factory.end_close()
        for caller in self.callers:
            caller.setblocking(False)
            self.assertEqual(b"", caller.recv(1024))
        self.assertFalse(self.factory.connections)

    def test_an_idle_connection_whose_caller_has_left_is_closed(self):
        # Reading it finds its end, which must not keep it from being closed.
        self.callers[0].close()
        self.factory.end_close()
        self.assertFalse(self.factory.connections)
