"""Contract tests of the entry with correct and faulty callers."""

from __future__ import annotations

import testscenarios
import testtools

from cyclamendale import refusals
from cyclamendale.entry import _channel
from cyclamendale.entry import http_entry
from cyclamendale.intents import model
from tests.support import entry_bench
from tests.support import path_node

LINE = b"GET /shop HTTP/1.1\r\n"
KEY = b"X-Api-Key: masons-key\r\n"
END = b"\r\n"
GET = LINE + KEY + END
POST = b"POST /shop HTTP/1.1\r\n" + KEY
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BAD = (400, "not-run", "bad-request")


class RefusedTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """Invalid input gets exactly one typed refusal, and nothing runs."""

    scenarios = [
        (name, {"sent": sent, "want": want})
        for name, sent, want in (
            ("oversized-line", b"GET /" + b"a" * 20_000 + END, BAD),
            ("oversized-head", LINE + b"A: b\r\n" * 6_000 + END, BAD),
            ("too-many-headers", LINE + b"A:b\r\n" * 501 + END, BAD),
            ("malformed-request-line", b"GET\r\n", BAD),
            ("unknown-version", b"GET /shop HTTP/3.0\r\n", BAD),
            ("header-without-colon", LINE + b"nonsense\r\n\r\n", BAD),
            ("bad-header-name", LINE + b"a b: c\r\n\r\n", BAD),
            ("bad-length", POST + b"Content-Length: -1\r\n\r\n", BAD),
            ("length-of-many-digits", POST + b"Content-Length: "
             + b"9" * 5000 + b"\r\n\r\n", BAD),
            ("length-and-chunked", POST + b"Content-Length: 2\r\n" + CHUNKED,
             BAD),
            ("two-lengths", POST + b"Content-Length: 2\r\n"
             b"Content-Length: 3\r\n\r\n", BAD),
            ("other-transfer-encoding", POST
             + b"Transfer-Encoding: gzip\r\n\r\n", BAD),
            ("deadline-not-a-number", LINE + KEY
             + b"X-Cyclamendale-Deadline-Ms: soon\r\n\r\n", BAD),
            ("deadline-of-many-digits", LINE + KEY
             + b"X-Cyclamendale-Deadline-Ms: " + b"9" * 5000 + b"\r\n\r\n",
             BAD),
            ("deadline-zero", LINE + KEY
             + b"X-Cyclamendale-Deadline-Ms: 0\r\n\r\n",
             (504, "not-run", "deadline")),
            ("dot-segments", b"GET /shop/../x HTTP/1.1\r\n" + KEY + END, BAD),
            ("encoded-dot-segments", b"GET /shop/%2E%2e/x HTTP/1.1\r\n" + KEY
             + END, BAD),
            ("dot-segments-with-parameter", b"GET /shop/..;a/x HTTP/1.1\r\n"
             + KEY + END, BAD),
            ("forged-token", LINE + KEY
             + b"X-Cyclamendale-Context: guess\r\n\r\n",
             (403, "not-run", "context-invalid")),
            ("no-key", LINE + END, (401, "not-run", "key-missing")),
            ("unknown-key", LINE + b"X-Api-Key: other\r\n\r\n",
             (401, "not-run", "key-unknown")),
            ("first-of-two-keys-unknown", LINE + b"X-Api-Key: other\r\n" + KEY
             + END, (401, "not-run", "key-unknown")),
            ("good-bearer-beside-bad-key", LINE + b"X-Api-Key: other\r\n"
             b"Authorization: Bearer masons-key\r\n\r\n",
             (401, "not-run", "key-unknown")),
            ("no-route", b"GET /other HTTP/1.1\r\n" + KEY + END,
             (404, "not-run", "route-unknown")),
            ("announced-too-large", POST + b"Content-Length: 300000\r\n\r\n",
             (413, "not-run", "too-large")),
            ("short-body-too-large", POST + b"Content-Length: 201\r\n\r\n"
             + b"x" * 201, (413, "not-run", "too-large")),
        )
    ]  # fmt: skip

    def test_one_typed_refusal_and_nothing_runs(self):
        bench = entry_bench.EntryBench(max_body_bytes=200)
        caller = bench.connect()
        caller.send(self.sent)
        self.assertEqual([self.want], caller.outcomes)
        self.assertEqual([], bench.attempts)
        self.assertEqual(set(), bench.entry.active_requests)


class BrokenUploadTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """An error in a running upload cancels the call and its attempt."""

    scenarios = [
        ("bad-chunk", {"sent": b"zz\r\n", "want": (400, "bad-request")}),
        (
            "over-the-limit",
            {
                "sent": b"fffff\r\n" + b"x" * 70_000,
                "want": (413, "too-large"),
            },
        ),
    ]

    def setUp(self):
        super().setUp()
        self.bench = entry_bench.EntryBench(max_body_bytes=65_536)
        self.caller = self.bench.connect()
        self.caller.send(POST + CHUNKED)

    def test_before_the_answer_the_caller_gets_a_typed_refusal(self):
        self.caller.send(self.sent)
        self.assertTrue(self.bench.attempts[0].cancelled)
        status, reason = self.want
        self.assertEqual([(status, "unknown", reason)], self.caller.outcomes)

    def test_an_attempt_not_sent_is_refused_as_not_run(self):
        self.bench.attempts[0].never_sent = True
        self.caller.send(self.sent)
        status, reason = self.want
        self.assertEqual([(status, "not-run", reason)], self.caller.outcomes)

    def test_an_answer_that_has_started_is_aborted(self):
        self.bench.attempts[0].answer(more=True, body_bytes=100)
        before = self.caller.received
        self.caller.send(self.sent)
        self.assertEqual(before, self.caller.received)
        self.assertTrue(self.caller.transport.disconnected)
        self.assertTrue(self.bench.attempts[0].cancelled)


class SlowSenderTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """A head or short body that arrives too slowly is refused."""

    scenarios = [
        ("first-line", {"pieces": [b"G"] * 100}),
        ("headers", {"pieces": [LINE] + [b"A: b\r\n"] * 100}),
        ("between-lines", {"pieces": [LINE]}),
        ("second-request", {"pieces": [GET, b"G"] + [b"E"] * 100}),
        (
            "short-body",
            {"pieces": [POST + b"Content-Length: 99\r\n\r\n"] + [b"x"] * 98},
        ),
    ]

    def test_the_request_is_refused_and_its_connection_closed(self):
        bench = entry_bench.EntryBench()
        caller = bench.connect()
        for piece in self.pieces:
            caller.send(piece)
            if bench.attempts and not caller.received:
                bench.attempts[0].answer()
            bench.reactor.advance(1.0)
            if caller.outcomes and caller.outcomes[-1] == BAD:
                break
        bench.reactor.pump([1.0] * int(http_entry.IDLE_TIMEOUT_S + 1))
        self.assertEqual(BAD, caller.outcomes[-1])
        self.assertTrue(caller.transport.disconnected)


class CallerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bench = entry_bench.EntryBench()
        self.caller = self.bench.connect()

    def sent_head(self, request):
        """Sends a request; returns the head that the target receives."""
        self.caller.send(request)
        return self.bench.attempts[-1].envelope.head

    def test_no_form_of_key_reaches_the_upstream(self):
        head = self.sent_head(
            LINE + KEY + b"X-Api-Key: second-key\r\n"
            b"Authorization: Basic dXNlcg==\r\n"
            b"authorization: bearer  third-key\r\n"
            b"Authorization: Bearer\tfourth-key\r\n\r\n"
        )  # fmt: skip
        self.assertNotIn(b"-key", head)
        self.assertIn(b"Authorization: Basic dXNlcg==\r\n", head)

    def test_a_bearer_key_after_other_credentials_is_found(self):
        self.sent_head(
            LINE + b"Authorization: Basic dXNlcg==\r\n"
            b"Authorization: Bearer masons-key\r\n\r\n"
        )  # fmt: skip
        self.assertEqual([], self.caller.outcomes)

    def test_spoofed_internal_headers_are_dropped(self):
        head = self.sent_head(
            LINE + KEY + b"x-cyclamendale-outcome: answered\r\n"
            b"X-Cyclamendale-Customer: other\r\n\r\n"
        )  # fmt: skip
        self.assertNotIn(b"cyclamendale", head.lower())

    def test_a_token_is_invalid_after_its_request_ended(self):
        running = self.bench.add_context()
        request = (
            LINE + b"X-Cyclamendale-Context: " + running.token.encode()
        ) + b"\r\n\r\n"
        self.sent_head(request)
        self.bench.attempts[0].answer()
        self.bench.contexts.end(running)
        self.caller.send(request)
        self.assertEqual(
            (403, "not-run", "context-invalid"), self.caller.outcomes[-1]
        )
        self.assertEqual(1, len(self.bench.attempts))

    def test_a_token_of_another_host_is_invalid(self):
        elsewhere = entry_bench.EntryBench().add_context()
        self.caller.send(
            LINE + b"X-Cyclamendale-Context: " + elsewhere.token.encode()
            + b"\r\n\r\n"
        )  # fmt: skip
        self.assertEqual(
            [(403, "not-run", "context-invalid")], self.caller.outcomes
        )

    def test_a_caller_that_closes_within_its_head_leaves_no_state(self):
        self.caller.send(LINE)
        self.caller.close()
        self.assertEqual([], self.bench.outcomes)
        self.assertEqual([], self.bench.reactor.getDelayedCalls())
        self.assertEqual(set(), self.bench.entry.channels)

    def test_an_answer_before_the_end_of_the_upload_is_complete(self):
        self.caller.send(POST + b"Content-Length: 100000\r\n\r\n")
        self.bench.attempts[0].answer(body=b"enough")
        self.caller.send(b"x" * 50_000)
        self.assertEqual([(200, "answered", None)], self.caller.outcomes)
        self.assertIn(b"Connection: close\r\n", self.caller.received)
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\nenough"))
        self.assertTrue(self.caller.is_write_closed)

    def test_uploads_of_different_lengths_are_not_counted_as_retries(self):
        running = self.bench.add_context()
        for body_bytes in (70_000, 70_001, 70_001):
            caller = self.bench.connect()
            caller.send(
                b"POST /shop HTTP/1.1\r\nX-Cyclamendale-Context: %s\r\n"
                b"Content-Length: %d\r\n\r\n"
                % (running.token.encode(), body_bytes)
            )
            self.bench.attempts[-1].answer(unused=9)
        self.assertEqual(2, running.budget.remaining)

    def test_http_1_0_gets_an_unchunked_body_and_a_close(self):
        self.caller.send(b"GET /shop HTTP/1.0\r\n" + KEY + END)
        self.bench.attempts[0].answer(more=True, body=b"hi")
        self.bench.attempts[0].receiver.chunk(b", all", True, 0)
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\nhi, all"))
        self.assertNotIn(b"chunked", self.caller.received)
        self.assertTrue(self.caller.transport.disconnecting)

    def test_head_has_the_length_and_no_body(self):
        self.caller.send(b"HEAD /shop HTTP/1.1\r\n" + KEY + END)
        self.bench.attempts[0].answer(body_bytes=99)
        self.assertIn(b"Content-Length: 99\r\n", self.caller.received)
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\n"))

    def test_204_and_304_have_neither_length_nor_body(self):
        for status in (204, 304):
            self.caller.send(GET)
            self.bench.attempts[-1].answer(status)
        self.assertNotIn(b"Content-Length", self.caller.received)
        self.assertEqual([204, 304], [o[0] for o in self.caller.outcomes])

    def test_the_observer_gets_the_status_of_a_streamed_answer(self):
        self.caller.send(GET)
        self.bench.attempts[0].answer(404, more=True, body=b"no")
        self.bench.attempts[0].receiver.chunk(b"", True, 0)
        self.assertEqual([404], self.bench.outcomes)

    def test_the_last_part_of_a_streamed_answer_may_be_empty(self):
        self.caller.send(GET)
        self.bench.attempts[0].answer(more=True, body=b"hi", body_bytes=5)
        self.bench.attempts[0].receiver.chunk(b"all", False, 0)
        self.bench.attempts[0].receiver.chunk(b"", True, 0)
        self.assertEqual([200], self.bench.outcomes)
        self.assertFalse(self.caller.transport.disconnected)

    def test_a_streamed_answer_of_the_wrong_length_is_aborted(self):
        self.caller.send(GET)
        self.bench.attempts[0].answer(more=True, body=b"hi", body_bytes=9)
        self.bench.attempts[0].receiver.chunk(b"short", True, 0)
        self.assertTrue(self.caller.transport.disconnected)

    def test_a_refused_upload_is_not_told_to_continue(self):
        self.caller.send(
            b"POST /shop HTTP/1.1\r\nContent-Length: 100000\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        self.assertNotIn(b"100 Continue", self.caller.received)

    def test_a_refused_upload_is_discarded_before_the_close(self):
        self.caller.send(
            b"POST /shop HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
        )
        self.caller.send(b"x" * 100_000)
        self.assertTrue(self.caller.is_write_closed)
        self.assertFalse(self.caller.transport.disconnecting)
        self.bench.reactor.advance(_channel.LINGER_S)
        self.assertTrue(self.caller.transport.disconnected)

    def test_a_long_upload_may_pause_longer_than_an_idle_connection(self):
        bench = entry_bench.EntryBench(deadline_s=500.0)
        caller = bench.connect()
        caller.send(POST + b"Content-Length: 100000\r\n\r\n")
        bench.reactor.pump([10.0] * 12)
        self.assertFalse(caller.transport.disconnecting)
        self.assertFalse(bench.attempts[0].cancelled)

    def test_a_caller_that_does_not_read_its_answer_is_disconnected(self):
        self.caller.send(
            b"GET /shop HTTP/1.1\r\nConnection: close\r\n" + KEY + END
        )
        self.bench.attempts[0].answer()
        self.bench.reactor.pump([1.0] * 100)
        self.assertTrue(self.caller.transport.disconnected)

    def test_an_upload_stays_paused_when_the_answer_resumes(self):
        self.caller.send(POST + CHUNKED)
        self.caller.send(b"fffff\r\n" + b"x" * 70_000)
        self.assertEqual("paused", self.caller.transport.producerState)
        self.caller.channel.pauseProducing()
        self.caller.channel.resumeProducing()
        self.caller.send(b"x" * 70_000)
        self.assertEqual("paused", self.caller.transport.producerState)

    def test_a_disconnected_caller_is_observed_as_cancelled(self):
        self.caller.send(GET)
        self.caller.close()
        self.assertTrue(self.bench.attempts[0].cancelled)
        self.assertEqual(
            [
                refusals.Refusal(
                    refusals.RefusalReason.CANCELLED,
                    refusals.Execution.UNKNOWN,
                )
            ],
            self.bench.outcomes,
        )
        self.bench.attempts[0].answer()
        self.assertEqual(set(), self.bench.entry.active_requests)

    def test_a_disconnect_after_the_answer_is_no_second_outcome(self):
        self.caller.send(GET)
        self.bench.attempts[0].answer()
        self.caller.close()
        self.assertEqual([200], self.bench.outcomes)

    def test_a_drain_waits_for_a_request_that_still_arrives(self):
        self.caller.send(POST + b"Content-Length: 2\r\n\r\n")
        drained = []
        self.bench.entry.close(lambda: drained.append(True))
        self.assertEqual([], drained)
        self.caller.send(b"hi")
        self.bench.attempts[0].answer()
        self.caller.close()
        self.assertEqual([True], drained)

    def test_a_drain_waits_until_a_slow_reader_has_the_complete_answer(self):
        self.caller.send(GET)
        self.bench.attempts[0].answer(more=True, body=b"hi", body_bytes=5)
        drained = []
        self.bench.entry.close(lambda: drained.append(True))
        self.bench.attempts[0].receiver.chunk(b"all", True, 0)
        self.assertTrue(self.caller.transport.disconnecting)
        self.assertEqual([], drained)
        self.caller.close()
        self.assertEqual([True], drained)


class OpenRouteTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """No encoding of a path with a key matches the route open to all."""

    scenarios = [
        (path.decode(), {"path": path})
        for path in (b"/%73hop/a", b"//shop/a", b"/shop%2fa", b"/%2Fshop/a")
    ]

    def test_the_key_is_required(self):
        configured = path_node.configuration()
        everything = model.Route("all", "shop", "/", open=True, deadline_s=5.0)
        bench = entry_bench.EntryBench(
            configuration=model.Configuration(
                routes={**configured.routes, "all": everything}
            )
        )
        caller = bench.connect()
        caller.send(b"GET " + self.path + b" HTTP/1.1\r\n\r\n")
        self.assertEqual([(401, "not-run", "key-missing")], caller.outcomes)
