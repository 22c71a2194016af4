"""Tests of upstreams that repeat a response or send bytes without end.

A second copy of an earlier response must not answer a later request, least of
all as a refusal that states "not run". What a node holds stays bounded.
"""

from __future__ import annotations

import itertools

from cyclamendale import buffer_budget
from cyclamendale.proxy import upstream_connection as connections
from tests import test_proxy_upstream

ID = b"X-Cyclamendale-Attempt-Id: %s\r\n"
NOT_RUN = b"X-Cyclamendale-Not-Executed: 1\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"
OK = test_proxy_upstream.OK
FULL = b"HTTP/1.1 503 Full\r\n" + NOT_RUN
OTHER_PROCESS = b"HTTP/1.1 421 Other\r\n" + NOT_RUN
GARBLED = connections.Failure.GARBLED
TOO_LARGE = connections.Failure.TOO_LARGE
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SEGMENT_BYTES = 64 * 1024


class RepeatedResponseTest(test_proxy_upstream.UpstreamConnectionCase):
    """The bytes of the first response arrive once more."""

    scenarios = [
        ("refusal with id", {
            "first": FULL + ID % b"r1" + EMPTY, "is_kept": True}),
        ("refusal without id", {"first": FULL + EMPTY, "is_kept": False}),
        ("misdirected, without id", {
            "first": OTHER_PROCESS + EMPTY, "is_kept": False}),
        ("success", {"first": OK + ID % b"r1" + EMPTY, "is_kept": True}),
        ("no content", {
            "first": b"HTTP/1.1 204 X\r\n" + ID % b"r1" + b"\r\n",
            "is_kept": True}),
    ]  # fmt: skip

    def test_in_the_same_segment_the_connection_is_not_kept(self):
        self.send()
        self.connection.dataReceived(self.first + self.first)
        self.assertEqual(1, len(self.results))
        self.assertEqual([], self.idle)

    def test_after_the_next_request_it_is_dropped(self):
        self.send()
        self.connection.dataReceived(self.first)
        self.assertEqual(self.is_kept, bool(self.idle))
        if not self.is_kept:
            self.assertTrue(self.transport.disconnecting)
            return
        self.results.clear()
        self.send(b"r2")
        self.connection.dataReceived(self.first)
        self.assertEqual([], self.results)
        self.connection.dataReceived(OK + ID % b"r2" + EMPTY)
        self.assertEqual((200, b"", False), self.outcome())

    def test_while_idle_it_closes_the_connection(self):
        self.send()
        self.connection.dataReceived(self.first)
        self.connection.dataReceived(self.first)
        self.assertEqual(1, len(self.results))
        self.assertTrue(self.transport.aborted or not self.idle)


class RefusalWithoutIdTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = [
        ("full", {"refusal": FULL + EMPTY}),
        ("misdirected", {"refusal": OTHER_PROCESS + EMPTY}),
    ]

    def test_is_not_believed_on_a_kept_connection(self):
        self.send()
        self.connection.dataReceived(OK + ID % b"r1" + EMPTY)
        self.results.clear()
        self.send(b"r2")
        self.connection.dataReceived(self.refusal)
        self.assertEqual(GARBLED, self.outcome())
        self.assertTrue(self.transport.aborted)


class RetryOnTheSameConnectionTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = [
        ("refused", {"status": FULL, "may_carry": False}),
        ("failed", {"status": b"HTTP/1.1 500 X\r\n", "may_carry": False}),
        ("succeeded", {"status": OK, "may_carry": True}),
    ]

    def test_only_if_a_copy_could_not_be_mistaken(self):
        self.send()
        self.connection.dataReceived(self.status + ID % b"r1" + EMPTY)
        self.assertEqual(self.may_carry, self.connection.may_carry(b"r1"))
        self.assertTrue(self.connection.may_carry(b"r2"))
        self.assertFalse(self.connection.may_carry(b""))


class EndlessResponseTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = [
        ("header lines", {
            "head": OK, "part": b"X-Filler: abc\r\n", "failure": GARBLED}),
        ("one header line", {
            "head": OK + b"X-Filler: ", "part": b"a", "failure": GARBLED}),
        ("status line", {
            "head": b"HTTP/1.1 200 ", "part": b"a", "failure": GARBLED}),
        ("interim responses", {
            "head": b"", "part": b"HTTP/1.1 100 Continue\r\n\r\n",
            "failure": GARBLED}),
        ("chunk extension", {
            "head": OK + ID % b"r1" + CHUNKED + b"2;a=", "part": b"b",
            "failure": GARBLED}),
        ("chunk size", {
            "head": OK + ID % b"r1" + CHUNKED, "part": b"0",
            "failure": GARBLED}),
        ("trailers", {
            "head": OK + ID % b"r1" + CHUNKED + b"0\r\n",
            "part": b"X-Filler: abc\r\n", "failure": GARBLED}),
        ("one trailer", {
            "head": OK + ID % b"r1" + CHUNKED + b"0\r\nX-Filler: ",
            "part": b"a", "failure": GARBLED}),
        ("late responses to others", {
            "head": b"", "part": OK + ID % b"r0" + EMPTY,
            "failure": GARBLED}),
        ("chunks", {
            "head": OK + ID % b"r1" + CHUNKED,
            "part": b"2000\r\n" + b"a" * 0x2000 + b"\r\n",
            "failure": TOO_LARGE}),
        ("body that ends with the connection", {
            "head": OK + ID % b"r1" + b"\r\n", "part": b"a",
            "failure": TOO_LARGE}),
        ("stated length", {
            "head": OK + ID % b"r1" + b"Content-Length: 99999999999\r\n\r\n",
            "part": b"a", "failure": TOO_LARGE}),
    ]  # fmt: skip

    def test_ends_within_the_bound(self):
        self.send()
        max_bytes = (
            buffer_budget.MAX_UNSTATED_BYTES + 2 * connections.MAX_FRAMING_BYTES
        )
        segment = self.part * (SEGMENT_BYTES // len(self.part))
        sent_bytes = 0
        for data in itertools.chain([self.head], itertools.repeat(segment)):
            if self.results or sent_bytes > 2 * max_bytes:
                break
            if data:
                self.connection.dataReceived(data)
            sent_bytes += len(data)
        self.assertEqual(self.failure, self.outcome())
        self.assertLessEqual(sent_bytes, max_bytes)
        self.assertTrue(self.transport.aborted)
        self.assertEqual(0, self.budget.unstated_bytes)
        self.assertEqual(0, self.budget.held_bytes)


class SharedBudgetTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = [
        ("length not stated", {
            "head": OK + ID % b"r1" + CHUNKED,
            "part": b"2000\r\n" + b"a" * 0x2000 + b"\r\n",
            "held": "unstated_bytes",
            "max_bytes": buffer_budget.MAX_UNSTATED_BYTES}),
        ("length stated", {
            "head": OK + ID % b"r1" + b"Content-Length: 30000000\r\n\r\n",
            "part": b"a" * 0x2000,
            "held": "held_bytes",
            "max_bytes": buffer_budget.BufferBudget().max_held_bytes}),
    ]  # fmt: skip

    def test_ten_connections_hold_no_more_than_one_budget(self):
        results = []
        open_connections = []
        for _ in range(10):
            connection = connections.UpstreamConnection(
                test_proxy_upstream.request_headers.HEADER_NAMES,
                lambda _: None,
                lambda _: None,
                lambda _: None,
                self.budget,
            )
            connection.makeConnection(test_proxy_upstream.Transport())
            connection.send(b"GET", b"r1", False, results.append)
            open_connections.append(connection)
            connection.dataReceived(self.head)
        for _ in range(1000):
            for connection in open_connections:
                if not connection.transport.aborted:
                    connection.dataReceived(self.part)
            self.assertLessEqual(
                getattr(self.budget, self.held), self.max_bytes
            )
        self.assertIn(TOO_LARGE, results)
