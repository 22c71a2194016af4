"""Tests of closes by the HTTP server for callers: none costs a response."""

from __future__ import annotations

from cyclamendale.proxy import caller_connection
from tests import test_proxy_server


class BufferingTransport(test_proxy_server.Transport):
    """A transport that sends what is written later, as a TCP one does."""

    dataBuffer = b""
    _tempDataLen = 0

    def write(self, data):
        super().write(data)
        self._tempDataLen += len(data)

    def writeSomeData(self, data):
        super().write(data)
        return len(data)


class CloseTest(test_proxy_server.ServerCase):
    def test_a_connection_opened_during_the_shutdown_closes_too(self):
        self.factory.begin_close()
        late = self.factory.buildProtocol(None)
        transport = test_proxy_server.Transport()
        late.makeConnection(transport)
        late.dataReceived(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"")
        self.assertIn(b"Connection: close\r\n", transport.value())
        self.assertTrue(transport.half_closed)

    def test_what_follows_the_last_response_does_not_reset_the_connection(self):
        # A close with unread bytes took responses from callers that pipeline.
        self.receive(test_proxy_server.GET)
        self.factory.begin_close()
        self.handler.exchanges[0].respond(200, b"", b"x")
        self.receive(test_proxy_server.GET * 3)
        self.assertEqual(1, len(self.handler.exchanges))
        self.assertTrue(self.transport.half_closed)
        self.assertFalse(self.transport.disconnecting)
        self.assertEqual(1, self.factory.in_flight)
        self.reactor.pump([0.25] * 5)
        self.assertFalse(self.transport.disconnecting)
        self.assertEqual(0, self.factory.in_flight)
        self.reactor.pump([0.25] * 60)
        self.assertTrue(self.transport.disconnecting)

    def test_a_large_response_is_waited_for_as_long_as_it_takes_to_read(self):
        self.receive(test_proxy_server.GET)
        self.factory.begin_close()
        size_bytes = 2 * caller_connection.MIN_READ_BYTES_PER_S
        self.handler.exchanges[0].respond(200, b"", b"x" * size_bytes)
        self.reactor.pump([0.25] * 11)
        self.assertEqual(1, self.factory.in_flight)
        self.reactor.pump([0.25] * 2)
        self.assertEqual(0, self.factory.in_flight)

    def test_a_response_behind_a_large_one_is_waited_for_as_long(self):
        # The process ended while its caller still read the one before.
        self.receive(test_proxy_server.GET * 2)
        self.factory.begin_close()
        size_bytes = 2 * caller_connection.MIN_READ_BYTES_PER_S
        self.handler.exchanges[0].respond(200, b"", b"x" * size_bytes)
        self.handler.exchanges[1].respond(200, b"", b"x")
        self.reactor.pump([0.25] * 11)
        self.assertEqual(1, self.factory.in_flight)

    def test_a_caller_that_closes_after_its_response_is_not_waited_for(self):
        self.receive(test_proxy_server.GET)
        self.factory.begin_close()
        self.handler.exchanges[0].respond(200, b"", b"x")
        self.assertEqual(1, self.factory.in_flight)
        self.lose()
        self.assertEqual(0, self.factory.in_flight)

    def test_a_paused_connection_reads_on_after_its_last_response(self):
        closing = b"GET / HTTP/1.1\r\nHost: one\r\nConnection: close\r\n\r\n"
        self.receive(
            test_proxy_server.GET * (caller_connection.MAX_PIPELINED - 1)
            + closing
            + test_proxy_server.GET
        )
        self.assertEqual("paused", self.transport.producerState)
        for held_exchange in list(self.handler.exchanges):
            held_exchange.respond(200, b"", b"")
        self.assertEqual("producing", self.transport.producerState)

    def test_a_full_pipeline_ends_with_the_requests_in_flight(self):
        # It went on until the process ended and cut what was unread.
        self.receive(test_proxy_server.GET * 3)
        self.factory.begin_close()
        for number in range(3):
            self.handler.exchanges[number].respond(200, b"", b"%d" % number)
            self.receive(test_proxy_server.GET)
        self.assertEqual(3, len(self.handler.exchanges))
        self.assertTrue(self.output().endswith(b"close\r\n\r\n2"))
        self.assertTrue(self.transport.half_closed)

    def test_nothing_is_passed_on_behind_another_request_at_a_stop(self):
        # The process ended while its caller still read the responses before.
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"small")
        self.factory.begin_close()
        self.receive(test_proxy_server.GET * 3)
        self.assertEqual(2, len(self.handler.exchanges))
        self.handler.exchanges[1].respond(200, b"", b"small")
        self.assertEqual(2, self.output().count(b"HTTP/1.1 "))
        self.assertTrue(self.output().endswith(b"close\r\n\r\nsmall"))
        self.assertTrue(self.transport.half_closed)

    def test_a_request_behind_a_response_that_was_ready_is_refused(self):
        # That response can't say any more that the connection closes.
        self.receive(test_proxy_server.GET * 2)
        self.handler.exchanges[1].respond(200, b"", b"")
        self.factory.begin_close()
        self.receive(test_proxy_server.GET * 2)
        self.assertEqual(2, len(self.handler.exchanges))
        self.handler.exchanges[0].respond(200, b"", b"")
        self.assert_ends_with_a_refusal(behind=2)

    def test_a_request_behind_a_response_that_is_unsent_is_refused(self):
        # The process ended while its caller still read that response.
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"large")
        self.transport._tempDataLen, self.transport.dataBuffer = 0, b"large"
        self.factory.begin_close()
        self.receive(test_proxy_server.GET * 2)
        self.assertEqual(1, len(self.handler.exchanges))
        self.assert_ends_with_a_refusal(behind=1)

    def test_a_request_that_asks_for_its_body_is_not_behind_a_response(self):
        # The interim response counted as one that is unsent.
        transport = BufferingTransport()
        connection = self.factory.buildProtocol(None)
        connection.makeConnection(transport)
        self.factory.begin_close()
        connection.dataReceived(
            b"POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
            b"Content-Length: 1\r\n\r\na"
        )
        self.assertEqual(1, len(self.handler.exchanges))
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", transport.value())

    def test_a_refusal_leaves_time_to_read_the_responses_before_it(self):
        # The connection was aborted a second later, and they were lost.
        self.receive(test_proxy_server.GET)
        read_s = 3.0
        size_bytes = int(read_s * caller_connection.MIN_READ_BYTES_PER_S)
        self.handler.exchanges[0].respond(200, b"", b"x" * size_bytes)
        self.receive(b"malformed\r\n\r\n")
        self.assertIn(b"HTTP/1.1 400 ", self.output())
        self.reactor.pump([0.25] * 15)
        self.assertFalse(self.transport.disconnecting)
        self.reactor.pump([0.25] * 3)
        self.assertTrue(self.transport.disconnecting)

    def test_a_refusal_behind_an_unsent_response_aborts_nothing(self):
        # The connection was aborted a second later, and they were lost.
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"large")
        self.transport._tempDataLen, self.transport.dataBuffer = 0, b"large"
        self.factory.begin_close()
        self.receive(test_proxy_server.GET)
        self.reactor.pump([0.25] * 12)
        self.assertFalse(self.transport.disconnecting)
        self.transport.dataBuffer = b""
        self.reactor.pump([0.25] * 2)
        self.assertTrue(self.transport.disconnecting)

    def assert_ends_with_a_refusal(self, behind):
        self.assertEqual(behind, self.output().count(b"HTTP/1.1 200 "))
        self.assertEqual(1, self.output().count(b"HTTP/1.1 503 "))
        self.assertIn(b"Retry-After: ", self.output())
        self.assertEqual(1, self.output().count(b"Connection: close\r\n"))
        self.assertTrue(self.transport.half_closed)

    def test_a_request_states_when_earlier_responses_are_read(self):
        self.receive(test_proxy_server.GET)
        read_s = 3.0
        size_bytes = int(read_s * caller_connection.MIN_READ_BYTES_PER_S)
        self.handler.exchanges[0].respond(200, b"", b"x" * size_bytes)
        self.receive(test_proxy_server.GET)
        held_exchange = self.handler.exchanges[1]
        self.assertAlmostEqual(
            held_exchange.request.arrived_s + read_s,
            held_exchange.earlier_read_by_s,
            places=2,
        )

    def test_a_graceful_close_answers_pipelined_requests(self):
        # The first response closed; the others were run and not answered.
        self.receive(test_proxy_server.GET * 4)
        self.factory.begin_close()
        for number in (2, 0, 1, 3):
            self.assertFalse(self.transport.half_closed)
            self.handler.exchanges[number].respond(200, b"", b"%d" % number)
        self.assertEqual(4, self.output().count(b"HTTP/1.1 200"))
        self.assertEqual(1, self.output().count(b"Connection: close\r\n"))
        self.assertTrue(self.output().endswith(b"close\r\n\r\n3"))
        self.assertTrue(self.transport.half_closed)

    def test_a_request_after_the_closing_response_is_not_passed_on(self):
        self.receive(test_proxy_server.GET * 2)
        self.factory.begin_close()
        self.handler.exchanges[1].respond(200, b"", b"")
        self.receive(test_proxy_server.GET * 2)
        self.assertEqual(2, len(self.handler.exchanges))
        self.handler.exchanges[0].respond(200, b"", b"")
        self.assertEqual(2, self.output().count(b"HTTP/1.1 200"))
        self.assertTrue(self.transport.half_closed)

    def test_a_close_begun_after_the_last_response_was_ready(self):
        self.receive(test_proxy_server.GET * 2)
        self.handler.exchanges[1].respond(200, b"", b"")
        self.factory.begin_close()
        self.handler.exchanges[0].respond(200, b"", b"")
        self.assertEqual(2, self.output().count(b"HTTP/1.1 200"))
        self.assert_next_response_closes()

    def assert_next_response_closes(self):
        self.assertFalse(self.transport.half_closed)
        self.assertFalse(self.transport.disconnecting)
        self.assertNotIn(b"Connection: close\r\n", self.output())
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[-1].respond(200, b"", b"last")
        self.assertTrue(self.output().endswith(b"close\r\n\r\nlast"))
        self.assertTrue(self.transport.half_closed)

    def test_a_request_that_follows_the_start_of_a_shutdown_is_answered(self):
        # It crossed the close of its idle connection and got no response.
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"")
        self.factory.begin_close()
        self.reactor.pump([0.25] * 10)
        self.assert_next_response_closes()

    def test_idle_connections_close_at_the_end_of_a_shutdown(self):
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"")
        self.factory.begin_close()
        self.reactor.advance(caller_connection.LINGER_S + 0.1)
        self.factory.end_close()
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual(0, self.factory.in_flight)

    def test_a_response_of_late_is_read_at_the_end_of_a_shutdown(self):
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"")
        self.factory.begin_close()
        self.factory.end_close()
        self.assertTrue(self.transport.half_closed)
        self.assertFalse(self.transport.disconnecting)
        self.assertEqual(1, self.factory.in_flight)

    def test_a_request_in_flight_is_answered_at_the_end_of_a_shutdown(self):
        self.receive(test_proxy_server.GET)
        self.factory.begin_close()
        self.factory.end_close()
        self.assertFalse(self.transport.half_closed)
        self.handler.exchanges[0].respond(200, b"", b"")
        self.assertIn(b"Connection: close\r\n", self.output())

    def test_an_incomplete_request_is_refused_at_the_end_of_a_shutdown(self):
        self.receive(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\na")
        self.factory.begin_close()
        self.assertEqual(b"", self.output())
        self.factory.end_close()
        self.assertIn(b"HTTP/1.1 503 ", self.output())
        self.assertIn(b"Retry-After: ", self.output())
        self.assertIn(b"Connection: close\r\n", self.output())
        self.assertTrue(self.transport.half_closed)

    def test_a_graceful_close_waits_for_requests_in_flight(self):
        self.receive(test_proxy_server.GET)
        self.factory.begin_close()
        self.assertFalse(self.transport.half_closed)
        self.handler.exchanges[0].respond(200, b"", b"x")
        self.assertIn(b"Connection: close\r\n", self.output())
        self.assertTrue(self.transport.half_closed)


class RefusalTest(test_proxy_server.ServerCase):
    """A request refused behind unread responses cut them after a second."""

    scenarios = [
        ("malformed", {"data": b"\0\r\n\r\n"}),
        ("too large", {"data": b"POST / HTTP/1.1\r\nHost: one\r\n"
            b"Content-Length: 60\r\n\r\n" + b"x" * 60}),
    ]  # fmt: skip

    def refuse_behind(self, size_bytes):
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"x" * size_bytes)
        self.receive(self.data)
        self.assertIn(b"Connection: close\r\n", self.output())

    def test_responses_before_a_refused_request_are_read_to_the_end(self):
        read_s = 3.0
        self.refuse_behind(int(read_s * caller_connection.MIN_READ_BYTES_PER_S))
        self.reactor.pump([0.25] * int(read_s / 0.25))
        self.assertFalse(self.transport.disconnecting)
        self.reactor.pump([0.25] * 6)
        self.assertTrue(self.transport.disconnecting)

    def test_responses_that_are_read_more_slowly_are_not_cut(self):
        self.refuse_behind(1)
        self.transport._tempDataLen, self.transport.dataBuffer = 0, b"x"
        self.reactor.pump([0.25] * 8)
        self.assertFalse(self.transport.disconnecting)

    def test_a_caller_that_never_reads_its_refusal_is_closed(self):
        self.refuse_behind(1)
        self.transport._tempDataLen, self.transport.dataBuffer = 0, b"x"
        self.reactor.pump([0.25] * 64)
        self.assertTrue(self.transport.disconnecting)


class IdleTest(test_proxy_server.ServerCase):
    """A caller counts from its last byte, the server did from its own."""

    def test_a_connection_is_not_idle_while_its_response_is_read(self):
        read_s = 3.0
        self.receive(test_proxy_server.GET)
        size_bytes = int(read_s * caller_connection.MIN_READ_BYTES_PER_S)
        self.handler.exchanges[0].respond(200, b"", b"x" * size_bytes)
        limit_s = test_proxy_server.LIMITS.idle_timeout_s
        self.reactor.pump([0.25] * int((read_s + limit_s) / 0.25))
        self.assertFalse(self.transport.disconnecting)
        self.reactor.pump([0.25] * 2)
        self.assertTrue(self.transport.disconnecting)

    def test_a_connection_with_unsent_data_is_not_idle(self):
        self.receive(test_proxy_server.GET)
        self.handler.exchanges[0].respond(200, b"", b"x")
        self.transport._tempDataLen, self.transport.dataBuffer = 0, b"x"
        self.reactor.pump([0.25] * 80)
        self.assertFalse(self.transport.disconnecting)
        self.transport.dataBuffer = b""
        self.reactor.pump([0.25] * 2)
        self.assertTrue(self.transport.disconnecting)
