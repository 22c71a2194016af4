"""Tests of the memory that a node spends on bodies, over all connections."""

from __future__ import annotations

import tracemalloc

import testtools

from cyclamendale import buffer_budget
from cyclamendale import events
from cyclamendale.overload import gate_queue
from cyclamendale.peer import connection as peer_connections
from cyclamendale.peer import frames
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.platform import request_headers
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_codec
from cyclamendale.proxy import upstream_connection
from tests import test_proxy_upstream
from tests.support import peer_bench

MEMORY_BYTES = 300 * 1000 * 1000
MEGABYTE = 1000 * 1000
KIND = kinds.MessageKind
LOAD = gate_queue.GateLoad(1, 0, 10, 0.1, 0.0)


class ShareTest(testtools.TestCase):
    scenarios = [
        ("small host", {"memory_mb": 200}),
        ("usual host", {"memory_mb": 300}),
        ("large host", {"memory_mb": 552}),
    ]

    def test_the_largest_body_and_its_copies_fit_beside_what_is_held(self):
        budget = buffer_budget.BufferBudget(self.memory_mb * MEGABYTE)
        copies = buffer_budget.TRANSIENT_COPIES * budget.max_body_bytes
        self.assertLessEqual(
            buffer_budget.PROCESS_BYTES + budget.max_held_bytes + copies,
            self.memory_mb * MEGABYTE,
        )
        self.assertGreaterEqual(budget.max_held_bytes, budget.max_body_bytes)


class ReservationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.budget = buffer_budget.BufferBudget(MEMORY_BYTES)
        self.unsent_bytes = 0
        self.budget.add_unsent_source(lambda: self.unsent_bytes)

    def test_a_body_over_the_largest_is_refused(self):
        size_bytes = self.budget.max_body_bytes + 1
        reservation = self.budget.make_reservation()
        self.assertFalse(reservation.reserve_stated(size_bytes))
        self.assertEqual(0, self.budget.held_bytes)

    def test_the_parts_of_a_body_are_bounded_together(self):
        reservation = self.budget.make_reservation()
        added_bytes = 0
        while reservation.add(100_000):
            added_bytes += 100_000
            self.assertLessEqual(added_bytes, self.budget.max_body_bytes)
        reservation.release()
        self.assertEqual(0, self.budget.held_bytes)

    def test_unsent_data_leaves_no_room_for_large_bodies(self):
        # Callers who read slowly held answers beyond any bound.
        self.unsent_bytes = self.budget.max_held_bytes - 2 * MEGABYTE
        first = self.budget.make_reservation()
        self.assertFalse(first.reserve_stated(3 * MEGABYTE))
        self.assertTrue(first.reserve_stated(MEGABYTE))
        self.unsent_bytes = 0
        self.assertTrue(
            self.budget.make_reservation().reserve_stated(3 * MEGABYTE)
        )

    def test_parts_within_a_stated_length_are_counted_once(self):
        reservation = self.budget.make_reservation()
        reservation.reserve_stated(1000)
        reservation.add(400)
        reservation.add(600)
        self.assertEqual(1000, self.budget.held_bytes)


class SinkTransport(test_proxy_upstream.Transport):
    """Keeps what is written, as a transport does, and copies nothing."""

    def __init__(self):
        super().__init__()
        self.written = []

    def write(self, data):
        self.written.append(data)

    def writeSequence(self, parts):
        self.written.extend(parts)


class CopiesTest(testtools.TestCase):
    """A node held five copies of an answer that it passed on."""

    body_bytes = 16 * MEGABYTE

    def setUp(self):
        super().setUp()
        self.bench = peer_bench.PeerBench()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def check_copies(self):
        _, peak_bytes = tracemalloc.get_traced_memory()
        copies = 1 + buffer_budget.TRANSIENT_COPIES
        self.assertLessEqual(peak_bytes, (copies + 0.1) * self.body_bytes)

    def test_an_answer_of_the_upstream_is_sent_to_another_node(self):
        acceptor, _ = self.bench.connect_peer()
        acceptor.transport = SinkTransport()
        upstream = upstream_connection.UpstreamConnection(
            request_headers.HEADER_NAMES,
            lambda _: None,
            lambda _: None,
            lambda _: None,
            buffer_budget.BufferBudget(MEMORY_BYTES),
        )
        upstream.makeConnection(test_proxy_upstream.Transport())
        upstream.send(
            b"GET",
            b"r1",
            False,
            lambda outcome: acceptor.reply(
                KIND.RUN, 1, run_codec.encode_outcome(outcome, LOAD)
            ),
        )
        upstream.dataReceived(
            test_proxy_upstream.OK
            + test_proxy_upstream.OWN
            + b"Content-Length: %d\r\n\r\n" % self.body_bytes
        )
        for _ in range(self.body_bytes // 16_000):
            upstream.dataReceived(b"a" * 16_000)
        self.assertGreater(
            sum(map(len, acceptor.transport.written)), self.body_bytes
        )
        self.check_copies()

    def test_an_answer_of_another_node_is_received(self):
        replies = []
        _, peer = self.bench.connect_peer()
        peer._max_open_frame_bytes = 2 * self.body_bytes
        peer.expect_reply(
            KIND.RUN, 1, lambda payload: replies.append(len(payload))
        )
        data = encode_reply(b"a" * self.body_bytes)
        tracemalloc.reset_peak()
        base_bytes, _ = tracemalloc.get_traced_memory()
        for start in range(0, len(data), 64 * 1024):
            peer.dataReceived(data[start : start + 64 * 1024])
        self.assertGreater(replies[0], self.body_bytes)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLessEqual(peak_bytes - base_bytes, 2.1 * self.body_bytes)


def encode_reply(body):
    """Returns the frame of a reply whose answer has a body."""
    payload = run_codec.encode_outcome(messages.Response(200, b"", body), LOAD)
    header = frames.HEADER.pack(KIND.RUN, 1, 1, 1, 1)
    length = len(header) + len(payload)
    return length.to_bytes(4, "big") + header + payload


class LargeFrameTest(testtools.TestCase):
    body_bytes = 3 * MEGABYTE

    def setUp(self):
        super().setUp()
        self.replies, self.requests = [], []
        self.budget = buffer_budget.BufferBudget(MEMORY_BYTES)
        bench = peer_bench.PeerBench()
        acceptor = bench.accept()
        self.peer = peer_connections.PeerConnection(
            peer_bench.path_node.SECRET,
            True,
            lambda _, kind, call_id, payload: self.requests.append(payload),
            lambda _: None,
            lambda _: None,
            bench.reactor.callLater,
            events.HybridLogicalClock(bench.clock),
            2 * self.body_bytes,
            self.budget,
        )
        self.peer.makeConnection(peer_bench.gate_bench.StringTransport())
        peer_bench.pump(acceptor, self.peer)
        self.peer.expect_reply(KIND.RUN, 1, self.replies.append)
        self.data = encode_reply(b"a" * self.body_bytes)
        self.small = encode_reply(b"b")

    def receive(self, data, step_bytes):
        for start in range(0, len(data), step_bytes):
            self.peer.dataReceived(data[start : start + step_bytes])

    def test_it_is_whole_in_parts_of_any_size(self):
        for step_bytes in (17, 23, 64 * 1024, 1_000_003, len(self.data) * 2):
            self.replies.clear()
            for _ in range(2):
                self.peer.expect_reply(KIND.RUN, 1, self.replies.append)
                self.receive(self.data + self.small, max(step_bytes, 5000))
            self.receive(self.small, step_bytes)
            (first, second) = self.replies[:2]
            self.assertEqual(first, second)
            self.assertEqual(self.data[-len(first) :], first)
            self.assertEqual(0, self.budget.held_bytes)

    def test_a_reply_without_room_fails_at_once_and_is_skipped(self):
        blocked = self.budget.make_reservation()
        blocked.hold(self.budget.max_held_bytes - MEGABYTE)
        self.receive(self.data[:100], 100)
        self.assertEqual([network.PeerErrorKind.REJECTED], self.replies)
        self.receive(self.data[100:], 64 * 1024)
        self.peer.expect_reply(KIND.RUN, 1, self.replies.append)
        self.receive(self.small, 100)
        self.assertEqual(2, len(self.replies))
        self.assertTrue(self.peer.is_open)

    def test_a_request_without_room_is_rejected(self):
        blocked = self.budget.make_reservation()
        blocked.hold(self.budget.max_held_bytes)
        request = bytearray(self.data)
        request[5] = peer_connections.FrameFlag.REQUEST
        self.peer.transport.clear()
        self.receive(bytes(request), 64 * 1024)
        self.assertEqual([], self.requests)
        self.assertEqual(
            peer_connections.FrameFlag.REJECTION, self.peer.transport.value()[5]
        )

    def test_a_lost_connection_returns_its_memory(self):
        self.receive(self.data[:-1], 64 * 1024)
        self.assertGreater(self.budget.held_bytes, self.body_bytes)
        self.peer.connectionLost(peer_bench.gate_bench.CLOSED)
        self.assertEqual(0, self.budget.held_bytes)
