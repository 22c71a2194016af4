"""Contract tests of the gate against correct and faulty upstreams."""

from __future__ import annotations

import testscenarios
import testtools

from tests.support import gate_bench

OK = b"HTTP/1.1 200 OK\r\n"
UNKNOWN = ("refused", "upstream-failed", "unknown")
POST = b"POST /shop HTTP/1.1\r\nHost: x\r\n"
BIG = b"x" * 200_000


def answered(body, status=200):
    return ("answered", status, body)


class AnswerTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """Each answer has an exact outcome and leaves no state behind."""

    scenarios = [
        (name, {"sent": sent, "head": head, "closes": closes, "want": want})
        for name, head, sent, closes, want in (
            ("complete", None, OK + b"Content-Length: 2\r\n\r\nhi", False,
             answered(b"hi")),
            ("chunked", None, OK + b"Transfer-Encoding: chunked\r\n\r\n"
             b"2\r\nhi\r\n0\r\n\r\n", False, answered(b"hi")),
            ("interim-first", None, b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
             + OK + b"Content-Length: 2\r\n\r\nhi", False, answered(b"hi")),
            # The length of an interim response was that of the final one.
            ("length-of-an-interim-response", None, b"HTTP/1.1 103 Early\r\n"
             b"Content-Length: 2\r\n\r\n" + OK + b"\r\nhi", True, UNKNOWN),
            ("chunks-of-an-interim-response", None, b"HTTP/1.1 103 Early\r\n"
             b"Transfer-Encoding: chunked\r\n\r\n" + OK
             + b"Content-Length: 2\r\n\r\nhi", False, answered(b"hi")),
            ("not-modified", None, b"HTTP/1.1 304 No\r\n\r\n", False,
             answered(b"", 304)),
            ("no-content", None, b"HTTP/1.1 204 No\r\n\r\n", False,
             answered(b"", 204)),
            ("head", b"HEAD /shop HTTP/1.1\r\n",
             OK + b"Content-Length: 9\r\n\r\n", False, answered(b"")),
            ("closes-before-answer", None, b"", True, UNKNOWN),
            ("closes-mid-head", None, OK + b"Content-", True, UNKNOWN),
            ("closes-mid-body", None, OK + b"Content-Length: 9\r\n\r\nhi",
             True, UNKNOWN),
            ("closes-mid-chunk", None, OK + b"Transfer-Encoding: chunked"
             b"\r\n\r\n5\r\nhi", True, UNKNOWN),
            ("no-length", None, OK + b"\r\nhi", True, UNKNOWN),
            ("garbage-status-line", None, b"nonsense\r\n", False, UNKNOWN),
            ("garbage-version", None, b"xHTTP/1.1 200 OK\r\n"
             b"Content-Length: 0\r\n\r\n", False, UNKNOWN),
            ("status-of-five-digits", None, b"HTTP/1.1 99999 OK\r\n"
             b"Content-Length: 0\r\n\r\n", False, UNKNOWN),
            ("status-negative", None, b"HTTP/1.1 -20 OK\r\n"
             b"Content-Length: 0\r\n\r\n", False, UNKNOWN),
            ("header-without-colon", None, OK + b"nonsense\r\n\r\n", False,
             UNKNOWN),
            ("bare-line-feed-in-header", None, OK + b"A: b\nSet-Cookie: c\r\n"
             b"Content-Length: 0\r\n\r\n", False, UNKNOWN),
            ("oversized-head", None, OK + b"A: " + b"b" * 40_000, False,
             UNKNOWN),
            ("oversized-heads", None, OK + b"A: b\r\n" * 9_000, False,
             UNKNOWN),
            ("endless-interim", None, b"HTTP/1.1 100 OK\r\n\r\n" * 3_000,
             False, UNKNOWN),
            ("two-lengths", None, OK + b"Content-Length: 2\r\n"
             b"Content-Length: 3\r\n\r\nhi", False, UNKNOWN),
            ("signed-length", None, OK + b"Content-Length: +2\r\n\r\nhi",
             False, UNKNOWN),
            ("length-of-many-digits", None, OK + b"Content-Length: "
             + b"9" * 5000 + b"\r\n\r\nhi", False, UNKNOWN),
            ("other-transfer-encoding", None, OK + b"Transfer-Encoding: gzip"
             b"\r\n\r\nhi", False, UNKNOWN),
            ("chunks-beside-a-length", None, OK + b"Content-Length: 2\r\n"
             b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
             False, UNKNOWN),
            ("chunked-twice", None, OK + b"Transfer-Encoding: chunked\r\n"
             b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
             False, UNKNOWN),
            ("wrong-chunk", None, OK + b"Transfer-Encoding: chunked\r\n\r\n"
             b"z\r\nhi\r\n", False, UNKNOWN),
            ("extra-bytes", None, OK + b"Content-Length: 2\r\n\r\nhi, more",
             False, UNKNOWN),
        )
    ]  # fmt: skip

    def test_the_outcome_is_exact_and_no_state_is_left(self):
        bench = gate_bench.GateBench()
        fields = {"head": self.head} if self.head else {}
        receiver, _ = bench.open(**fields)
        connection = bench.connect()
        connection.dataReceived(self.sent)
        if self.closes:
            connection.connectionLost(gate_bench.CLOSED)
        self.assertEqual([self.want], receiver.events)
        self.assertTrue(bench.is_idle())
        self.assertEqual(1, len(bench.admission.finished))


class CancelTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """A cancelled request releases its slot in every state."""

    scenarios = [
        (state, {"state": state})
        for state in ("connecting", "handed-over", "answering", "answered")
    ]

    def test_slot_and_context_are_released_once(self):
        bench = gate_bench.GateBench()
        receiver, handle = bench.open()
        if self.state != "connecting":
            connection = bench.connect()
        if self.state in ("answering", "answered"):
            connection.dataReceived(
                OK + b"Content-Length: 100000\r\n\r\n" + BIG[:70_000]
            )
        if self.state == "answered":
            connection.dataReceived(BIG[:30_000])
        heard = list(receiver.events)
        handle.cancel()
        handle.cancel()
        if self.state == "connecting":
            bench.connect()
        self.assertTrue(bench.is_idle())
        self.assertEqual(1, len(bench.admission.finished))
        self.assertEqual(heard, receiver.events)


class UpstreamTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bench = gate_bench.GateBench()

    def test_a_refused_connect_is_reported_as_not_run(self):
        receiver, _ = self.bench.open()
        self.bench.refuse_connect()
        self.assertEqual([("refused", "no-target", "not-run")], receiver.events)
        self.assertTrue(self.bench.is_idle())

    def test_an_upstream_without_answer_is_aborted_at_the_deadline(self):
        receiver, _ = self.bench.open()
        connection = self.bench.connect()
        self.bench.reactor.advance(5.0)
        self.assertEqual([("refused", "deadline", "unknown")], receiver.events)
        self.assertTrue(connection.transport.disconnected)
        self.assertTrue(self.bench.is_idle())

    def test_a_connect_that_exceeds_the_deadline_runs_nothing(self):
        receiver, _ = self.bench.open()
        self.bench.reactor.advance(5.5)
        connection = self.bench.connect()
        self.assertEqual(b"", connection.transport.value())
        self.assertEqual([("refused", "deadline", "not-run")], receiver.events)
        self.assertTrue(self.bench.is_idle())
        self.assertEqual(1, len(self.bench.admission.finished))

    def test_a_connection_paused_for_a_slow_reader_is_reused_resumed(self):
        receiver, handle = self.bench.open()
        connection = self.bench.connect()
        connection.dataReceived(OK + b"Content-Length: 200000\r\n\r\n" + BIG)
        for _ in range(4):
            handle.pull()
        self.assertEqual("chunk", receiver.events[-1][0])
        self.assertTrue(receiver.events[-1][2])
        self.assertEqual("producing", connection.transport.producerState)

    def test_bytes_after_a_bodyless_answer_are_no_answer_to_the_next(self):
        first, _ = self.bench.open(head=b"HEAD /shop HTTP/1.1\r\n")
        connection = self.bench.connect()
        second = []
        self.bench.admission.on_finish = lambda: second.append(
            self.bench.open()[0]
        )
        connection.dataReceived(
            OK + b"Content-Length: 2\r\n\r\nhi" + OK
            + b"Content-Length: 2\r\n\r\nno"
        )  # fmt: skip
        self.assertEqual([answered(b"")], first.events)
        self.assertEqual([], second[0].events)
        self.assertEqual(2, len(self.bench.reactor.tcpClients))

    def test_unsolicited_bytes_on_an_idle_connection_close_it(self):
        self.bench.open()
        connection = self.bench.connect()
        connection.dataReceived(OK + b"Content-Length: 2\r\n\r\nhi")
        connection.dataReceived(b"unasked")
        self.bench.open()
        self.assertEqual(2, len(self.bench.reactor.tcpClients))

    def test_a_connection_closed_while_idle_is_not_used_again(self):
        self.bench.open()
        connection = self.bench.connect()
        connection.dataReceived(OK + b"Content-Length: 2\r\n\r\nhi")
        connection.connectionLost(gate_bench.CLOSED)
        receiver, _ = self.bench.open()
        self.assertEqual(2, len(self.bench.reactor.tcpClients))
        self.assertEqual([], receiver.events)

    def test_a_connection_in_use_when_the_pool_closes_is_closed_later(self):
        self.bench.open()
        connection = self.bench.connect()
        self.bench.gate.close_connections()
        connection.dataReceived(OK + b"Content-Length: 2\r\n\r\nhi")
        self.assertTrue(connection.transport.disconnecting)

    def test_a_drain_waits_until_the_complete_answer_was_pulled(self):
        _, handle = self.bench.open()
        connection = self.bench.connect()
        connection.dataReceived(
            OK + b"Content-Length: 100000\r\n\r\n" + BIG[:100_000]
        )
        drained = []
        self.bench.gate.close(lambda: drained.append(True))
        self.assertEqual([], drained)
        handle.pull()
        self.assertEqual([True], drained)

    def test_an_unpulled_answer_is_dropped_at_the_deadline(self):
        receiver, _ = self.bench.open()
        connection = self.bench.connect()
        connection.dataReceived(
            OK + b"Content-Length: 100000\r\n\r\n" + BIG[:100_000]
        )
        self.bench.reactor.advance(5.0)
        self.assertEqual(("lost", True), receiver.events[-1])
        self.assertTrue(self.bench.is_idle())

    def test_an_upstream_may_answer_while_it_still_reads_the_upload(self):
        receiver, handle = self.bench.open(
            head=POST, more=True, body_bytes=200_000
        )
        connection = self.bench.connect()
        handle.push(BIG[:100_000], False)
        connection.dataReceived(
            OK + b"Content-Length: 200000\r\n\r\n" + BIG[:100_000]
        )
        receiver.events.clear()
        handle.push(BIG[:50_000], False)
        self.assertEqual([("pushed",)], receiver.events)
        handle.push(BIG[:50_000], True)
        connection.dataReceived(BIG[:100_000])
        while receiver.events[-1][-1] is not True:
            handle.pull()
        self.assertTrue(self.bench.is_idle())

    def test_an_answer_before_the_end_of_the_upload_closes_its_connection(self):
        receiver, handle = self.bench.open(head=POST, more=True, body_bytes=9)
        connection = self.bench.connect()
        connection.dataReceived(OK + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual(answered(b"hi"), receiver.events[-1])
        self.assertTrue(connection.transport.disconnected)
        handle.push(b"late", False)
        self.assertTrue(self.bench.is_idle())


class UploadTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upload that differs from its announced length is aborted."""

    scenarios = [
        ("longer", {"pushes": [(b"12345", False), (b"67890", True)]}),
        ("shorter", {"pushes": [(b"12345", True)]}),
        ("after-its-end", {"pushes": [(b"123456789", True), (b"x", True)]}),
    ]

    def test_it_cannot_reach_the_next_request(self):
        bench = gate_bench.GateBench()
        receiver, handle = bench.open(head=POST, more=True, body_bytes=9)
        connection = bench.connect()
        for data, last in self.pushes:
            handle.push(data, last)
        self.assertEqual(("refused", "lost", "unknown"), receiver.events[-1])
        self.assertTrue(connection.transport.disconnected)
        self.assertTrue(bench.is_idle())

    def test_an_unrequested_push_is_not_buffered(self):
        bench = gate_bench.GateBench()
        receiver, handle = bench.open(head=POST, more=True, body_bytes=10**9)
        connection = bench.connect()
        connection.pauseProducing()
        handle.push(b"x" * 65536, False)
        handle.push(b"x" * 65536, False)
        self.assertEqual(("refused", "lost", "unknown"), receiver.events[-1])
        self.assertTrue(bench.is_idle())
