"""Contract of connections to the upstream: only whole, own answers."""

from __future__ import annotations

import testtools
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from cyclamendale.platform import exchange
from cyclamendale.proxy import upstream_connection as connections

OWN = b"X-Cyclamendale-Attempt-Id: r1\r\n"
OTHER = b"X-Cyclamendale-Attempt-Id: r0\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 2\r\n\r\nab"
GARBLED = connections.Failure.GARBLED
BROKEN = connections.Failure.BROKEN
DONE = error.ConnectionDone
RESET = error.ConnectionLost


class Transport(testing.StringTransport):
    def __init__(self):
        super().__init__()
        self.aborted = False

    def setTcpNoDelay(self, enabled):
        pass

    def abortConnection(self):
        self.aborted = True


class Case(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.idle = []
        self.results = []
        self.connection = connections.UpstreamConnection(
            exchange.DIALECT, lambda _: None, self.idle.append, lambda _: None
        )
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def send(self, request_id=b"r1", is_head_request=False):
        self.connection.send(
            b"GET", request_id, is_head_request, self.results.append
        )

    def lose(self, reason):
        self.connection.connectionLost(failure.Failure(reason()))

    def outcome(self):
        (result,) = self.results
        if isinstance(result, connections.Failure):
            return result
        return result.status, result.body, result.not_run


class AnswerTest(Case):
    scenarios = [
        ("whole", {"data": OK + OWN + BODY, "outcome": (200, b"ab", False),
                   "reused": True}),
        ("chunked", {
            "data": OK + OWN + b"Transfer-Encoding: chunked\r\n\r\n"
                    b"2\r\nab\r\n0\r\n\r\n",
            "outcome": (200, b"ab", False), "reused": True}),
        ("that closes", {
            "data": OK + OWN + b"Connection: close\r\n" + BODY,
            "outcome": (200, b"ab", False), "reused": False}),
        ("not run", {
            "data": b"HTTP/1.1 503 X\r\n" + OWN
                    + b"X-Cyclamendale-Not-Executed: 1\r\n" + BODY,
            "outcome": (503, b"ab", True), "reused": True}),
        ("late answer to an earlier request first", {
            "data": OK + OTHER + BODY + OK + OWN + BODY,
            "outcome": (200, b"ab", False), "reused": False}),
        ("second answer behind it", {
            "data": OK + OWN + BODY + OK + OWN + BODY,
            "outcome": (200, b"ab", False), "reused": False}),
        ("interim answer first", {
            "data": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + OWN + BODY,
            "outcome": (200, b"ab", False), "reused": True}),
        ("without an id", {"data": OK + BODY, "outcome": GARBLED,
                           "reused": False}),
        ("no http", {"data": b"\x00\x01\x02", "outcome": GARBLED,
                     "reused": False}),
        ("encoded", {"data": OK + OWN + b"Content-Encoding: gzip\r\n" + BODY,
                     "outcome": GARBLED, "reused": False}),
    ]  # fmt: skip

    def test_in_one_piece(self):
        self.send()
        self.connection.dataReceived(self.data)
        self.check()

    def test_in_single_bytes(self):
        self.send()
        for index in range(len(self.data)):
            if self.transport.aborted:
                break
            self.connection.dataReceived(self.data[index : index + 1])
        self.check()

    def check(self):
        self.assertEqual(self.outcome, Case.outcome(self))
        # A second answer may come when the connection is idle again.
        is_kept = bool(self.idle) and not self.transport.aborted
        self.assertEqual(self.reused, is_kept)


class EndTest(Case):
    scenarios = [
        ("clean end of a body without length", {
            "data": OK + OWN + b"\r\nab", "reason": DONE,
            "outcome": (200, b"ab", False)}),
        ("reset within it", {
            "data": OK + OWN + b"\r\nab", "reason": RESET,
            "outcome": BROKEN}),
        ("clean end of another's answer", {
            "data": OK + OTHER + b"\r\nab", "reason": DONE,
            "outcome": BROKEN}),
        ("short of its length", {
            "data": OK + OWN + b"Content-Length: 3\r\n\r\nab", "reason": DONE,
            "outcome": BROKEN}),
        ("short of its last chunk", {
            "data": OK + OWN + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            "reason": DONE, "outcome": BROKEN}),
        ("within the head", {"data": OK, "reason": DONE, "outcome": BROKEN}),
        ("before any byte", {"data": b"", "reason": DONE,
                             "outcome": BROKEN}),
    ]  # fmt: skip

    def test_the_end_of_the_connection(self):
        self.send()
        if self.data:
            self.connection.dataReceived(self.data)
        self.lose(self.reason)
        self.assertEqual(self.outcome, Case.outcome(self))


class IdleTest(Case):
    def test_bytes_that_nobody_waits_for_end_the_connection(self):
        self.connection.dataReceived(b"x")
        self.assertTrue(self.transport.aborted)

    def test_an_aborted_request_has_no_outcome(self):
        self.send()
        self.connection.abort()
        self.lose(RESET)
        self.assertEqual([], self.results)

    def test_the_idle_time_that_the_upstream_states(self):
        self.send()
        self.connection.dataReceived(
            OK + OWN + b"Keep-Alive: timeout=7\r\n" + BODY
        )
        self.assertEqual(7.0, self.connection.keep_alive_s)
