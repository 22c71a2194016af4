"""Tests of upstream connections: complete responses to their own requests.

A response that is cut off, or that belongs to another request, must never
reach the caller.
"""

from __future__ import annotations

import testtools
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from cyclamendale import buffer_budget
from cyclamendale.platform import request_headers
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


class UpstreamConnectionCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.idle = []
        self.results = []
        self.budget = buffer_budget.BufferBudget()
        self.connection = connections.UpstreamConnection(
            request_headers.HEADER_NAMES,
            lambda _: None,
            self.idle.append,
            lambda _: None,
            self.budget,
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


class ResponseTest(UpstreamConnectionCase):
    scenarios = [
        ("complete", {"data": OK + OWN + BODY, "outcome": (200, b"ab", False),
                      "is_reused": True}),
        ("chunked", {
            "data": OK + OWN + b"Transfer-Encoding: chunked\r\n\r\n"
                    b"2\r\nab\r\n0\r\n\r\n",
            "outcome": (200, b"ab", False), "is_reused": True}),
        ("closes the connection", {
            "data": OK + OWN + b"Connection: close\r\n" + BODY,
            "outcome": (200, b"ab", False), "is_reused": False}),
        ("not run", {
            "data": b"HTTP/1.1 503 X\r\n" + OWN
                    + b"X-Cyclamendale-Not-Executed: 1\r\n" + BODY,
            "outcome": (503, b"ab", True), "is_reused": True}),
        ("after a late response to an earlier request", {
            "data": OK + OTHER + BODY + OK + OWN + BODY,
            "outcome": (200, b"ab", False), "is_reused": False}),
        ("before an unexpected second response", {
            "data": OK + OWN + BODY + OK + OWN + BODY,
            "outcome": (200, b"ab", False), "is_reused": False}),
        ("after an interim response", {
            "data": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + OWN + BODY,
            "outcome": (200, b"ab", False), "is_reused": True}),
        ("after an interim response with a length", {
            "data": b"HTTP/1.1 103 X\r\nContent-Length: 9\r\n\r\n"
                    + OK + OWN + BODY,
            "outcome": (200, b"ab", False), "is_reused": True}),
        ("without an id", {"data": OK + BODY, "outcome": GARBLED,
                           "is_reused": False}),
        ("not HTTP", {"data": b"\x00\x01\x02", "outcome": GARBLED,
                      "is_reused": False}),
        ("encoded", {"data": OK + OWN + b"Content-Encoding: gzip\r\n" + BODY,
                     "outcome": GARBLED, "is_reused": False}),
    ]  # fmt: skip

    def test_in_one_segment(self):
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
        self.assertEqual(self.outcome, UpstreamConnectionCase.outcome(self))
        # A second response may arrive when the connection is idle again.
        is_kept = bool(self.idle) and not self.transport.aborted
        self.assertEqual(self.is_reused, is_kept)


class ConnectionLostTest(UpstreamConnectionCase):
    scenarios = [
        ("clean close ends a body without length", {
            "data": OK + OWN + b"\r\nab", "reason": DONE,
            "outcome": (200, b"ab", False)}),
        ("reset within a body without length", {
            "data": OK + OWN + b"\r\nab", "reason": RESET,
            "outcome": BROKEN}),
        ("clean close after a response to another request", {
            "data": OK + OTHER + b"\r\nab", "reason": DONE,
            "outcome": BROKEN}),
        ("close before the stated length", {
            "data": OK + OWN + b"Content-Length: 3\r\n\r\nab", "reason": DONE,
            "outcome": BROKEN}),
        ("close before the last chunk", {
            "data": OK + OWN + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            "reason": DONE, "outcome": BROKEN}),
        ("close within the head", {"data": OK, "reason": DONE,
                                   "outcome": BROKEN}),
        ("close within the head, after the id", {
            "data": OK + OWN, "reason": DONE, "outcome": BROKEN}),
        ("close within a header", {
            "data": OK + OWN + b"Content-Length: 2", "reason": DONE,
            "outcome": BROKEN}),
        ("close before the empty line ends", {
            "data": OK + OWN + b"\r", "reason": DONE, "outcome": BROKEN}),
        # It was passed on as a complete response without a body.
        ("close after an interim response", {
            "data": b"HTTP/1.1 103 Early Hints\r\n" + OWN + b"\r\n",
            "reason": DONE, "outcome": BROKEN}),
        ("close within the head after an interim response", {
            "data": b"HTTP/1.1 103 Early Hints\r\n" + OWN + b"\r\n" + OK
                    + OWN, "reason": DONE, "outcome": BROKEN}),
        ("close before any byte", {"data": b"", "reason": DONE,
                                   "outcome": BROKEN}),
    ]  # fmt: skip

    def test_outcome_after_the_connection_is_lost(self):
        self.send()
        if self.data:
            self.connection.dataReceived(self.data)
        self.lose(self.reason)
        self.assertEqual(self.outcome, UpstreamConnectionCase.outcome(self))


class ReuseTest(UpstreamConnectionCase):
    def test_unexpected_bytes_abort_the_connection(self):
        self.connection.dataReceived(b"x")
        self.assertTrue(self.transport.aborted)

    def test_an_aborted_request_has_no_outcome(self):
        self.send()
        self.connection.abort()
        self.lose(RESET)
        self.assertEqual([], self.results)

    def test_keep_alive_time_out_of_the_upstream(self):
        self.send()
        self.connection.dataReceived(
            OK + OWN + b"Keep-Alive: timeout=7\r\n" + BODY
        )
        self.assertEqual(7.0, self.connection.keep_alive_s)


class LimitTest(UpstreamConnectionCase):
    """Only the final response to the own request names a limit."""

    LIMIT = b"Server-Limit: 23.6\r\n"
    scenarios = [
        ("final response", {
            "data": OK + OWN + LIMIT + BODY, "limit_per_s": 23.6}),
        ("interim response", {
            "data": b"HTTP/1.1 103 Early Hints\r\n" + LIMIT + b"\r\n"
                    + OK + OWN + BODY, "limit_per_s": None}),
        ("late response to another request", {
            "data": OK + OTHER + LIMIT + BODY + OK + OWN + BODY,
            "limit_per_s": None}),
        ("named twice", {
            "data": OK + OWN + LIMIT + b"server-limit: 9\r\n" + BODY,
            "limit_per_s": 9.0}),
    ]  # fmt: skip

    def test_limit(self):
        self.send()
        self.connection.dataReceived(self.data)
        (result,) = self.results
        self.assertEqual(self.limit_per_s, result.limit_per_s)

    def test_callers_see_the_header_as_sent(self):
        self.send()
        self.connection.dataReceived(OK + OWN + self.LIMIT + BODY)
        self.assertIn(self.LIMIT, self.results[0].header_lines)


class LeavingTest(UpstreamConnectionCase):
    """Only the final response to the own request says that it leaves."""

    LEAVING = b"Server-Leaving: 1\r\n"
    scenarios = [
        ("final response", {
            "data": OK + OWN + LEAVING + BODY, "is_leaving": True}),
        ("no such header", {"data": OK + OWN + BODY, "is_leaving": False}),
        ("another value", {
            "data": OK + OWN + b"Server-Leaving: 0\r\n" + BODY,
            "is_leaving": False}),
        ("interim response", {
            "data": b"HTTP/1.1 103 Early Hints\r\n" + LEAVING + b"\r\n"
                    + OK + OWN + BODY, "is_leaving": False}),
        ("late response to another request", {
            "data": OK + OTHER + LEAVING + BODY + OK + OWN + BODY,
            "is_leaving": False}),
    ]  # fmt: skip

    def test_is_leaving(self):
        self.send()
        self.connection.dataReceived(self.data)
        (result,) = self.results
        self.assertIs(self.is_leaving, result.is_leaving)
