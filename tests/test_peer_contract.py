"""Contract tests of the TCP protocol between nodes with invalid input."""

from __future__ import annotations

import math

import testscenarios
import testtools

from cyclamendale.peer import call_client
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.call import ttypes
from tests.support import gate_bench
from tests.support import peer_bench

KIND = kinds.MessageKind
OK = b"HTTP/1.1 200 OK\r\n"
SIGNAL = codec.encode(ttypes.Signal())


def frame(payload):
    return len(payload).to_bytes(4, "big") + payload


def reflect_messages(bench, acceptor):
    """Sends the acceptor's own messages back to it."""
    for _ in range(3):
        said = acceptor.transport.value()
        acceptor.transport.clear()
        acceptor.dataReceived(said)


def replay_handshake(bench, acceptor):
    """Replays what a genuine peer sent on an earlier connection."""
    first, peer = bench.accept(), bench.make_peer()
    sent = b""
    for _ in range(3):
        data = peer.transport.value()
        peer.transport.clear()
        sent += data
        first.dataReceived(data)
        peer.dataReceived(first.transport.value())
        first.transport.clear()
    acceptor.dataReceived(sent)


def use_wrong_secret(bench, acceptor):
    peer_bench.pump(acceptor, bench.make_peer(secret=b"other-secret"))


def send_nothing(bench, acceptor):
    bench.reactor.advance(connections.HANDSHAKE_TIMEOUT_S)


def sending(data):
    return lambda bench, acceptor: acceptor.dataReceived(data)


CHALLENGE = frame(connections.PROTOCOL_VERSION + b"c" * 16)


class HandshakeTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """A peer without the secret gets no connection and uses little memory."""

    scenarios = [
        (name, {"attack": attack})
        for name, attack in (
            ("garbage", sending(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")),
            ("other-version", sending(frame(b"other-protocol-1" + b"c" * 16))),
            ("short-challenge",
             sending(frame(connections.PROTOCOL_VERSION + b"c" * 15))),
            ("long-challenge",
             sending(frame(connections.PROTOCOL_VERSION + b"c" * 17))),
            ("no-proof", sending(CHALLENGE + frame(b""))),
            ("frame-for-proof", sending(CHALLENGE + frame(b"\x01\x00" * 20))),
            ("large-before-proof", sending((500_000).to_bytes(4, "big"))),
            ("wrong-secret", use_wrong_secret),
            ("reflected-proof", reflect_messages),
            ("replayed-handshake", replay_handshake),
            ("no-handshake", send_nothing),
        )
    ]  # fmt: skip

    def test_the_connection_is_dropped(self):
        bench = peer_bench.PeerBench()
        acceptor = bench.accept()
        self.attack(bench, acceptor)
        self.assertTrue(acceptor.transport.disconnected)
        self.assertNotIn(acceptor, bench.network._accepted)


class FrameTest(testtools.TestCase):
    """Malformed frames of a genuine peer affect only that peer."""

    def setUp(self):
        super().setUp()
        self.bench = peer_bench.PeerBench()
        self.acceptor, self.peer = self.bench.connect_peer()
        self.replies = []

    def request(self, kind, payload, call_id=1):
        self.peer.request(kind, call_id, payload, self.replies.append)
        peer_bench.pump(self.acceptor, self.peer)

    def test_an_oversized_frame_ends_the_connection(self):
        self.acceptor.dataReceived(
            (connections.MAX_FRAME_BYTES + 1).to_bytes(4, "big")
        )
        self.assertTrue(self.acceptor.transport.disconnected)

    def test_a_frame_without_header_ends_the_connection(self):
        self.acceptor.dataReceived(frame(b"\x01\x00"))
        self.assertTrue(self.acceptor.transport.disconnected)

    def test_a_partial_frame_is_buffered(self):
        self.peer.request(
            KIND.CALL, 1, peer_bench.call_bytes(), self.replies.append
        )
        sent = self.peer.transport.value()
        self.acceptor.dataReceived(sent[:20])
        self.assertEqual({}, self.bench.server._calls)
        self.acceptor.dataReceived(sent[20:])
        self.assertEqual(1, len(self.bench.server._calls))

    def test_unknown_kinds_and_malformed_structs_are_rejected(self):
        for kind, payload in (
            (99, b""),
            (KIND.CALL, b"nonsense"),
            (KIND.CALL, SIGNAL),
            (KIND.CALL, peer_bench.call_bytes()[:-9]),
            (KIND.PULL, SIGNAL),
            (KIND.PUSH, codec.encode(ttypes.Chunk(b"", True, 0))),
        ):
            self.request(kind, payload)
        self.assertEqual([network.PeerErrorKind.REJECTED] * 6, self.replies)
        self.assertTrue(self.acceptor.is_open)
        self.assertTrue(self.bench.is_idle())

    def test_cancelling_an_unknown_call_does_nothing(self):
        self.peer.request(KIND.CANCEL, 9, SIGNAL, None)
        peer_bench.pump(self.acceptor, self.peer)
        self.assertTrue(self.acceptor.is_open)

    def test_a_reused_call_id_is_rejected(self):
        self.request(KIND.CALL, peer_bench.call_bytes())
        self.request(KIND.CALL, peer_bench.call_bytes())
        self.assertEqual(1, len(self.bench.gate_bench.gate.running))
        self.assertEqual([network.PeerErrorKind.REJECTED], self.replies)

    def test_a_malformed_push_is_rejected(self):
        self.request(
            KIND.CALL,
            peer_bench.call_bytes(
                head=b"POST / HTTP/1.1\r\n", more=True, body_bytes=9
            ),
        )
        self.request(KIND.PUSH, b"nonsense")
        self.assertEqual([network.PeerErrorKind.REJECTED], self.replies)

    def test_pushing_without_acknowledgements_cancels_the_call(self):
        self.request(
            KIND.CALL,
            peer_bench.call_bytes(
                head=b"POST / HTTP/1.1\r\n", more=True, body_bytes=10**8
            ),
        )
        self.bench.gate_bench.connect().pauseProducing()
        chunk = codec.encode(ttypes.Chunk(b"x" * 65536, False, 0))
        for _ in range(2):
            self.peer.request(KIND.PUSH, 1, chunk, None)
        peer_bench.pump(self.acceptor, self.peer)
        self.assertEqual(1, len(self.replies))
        self.assertTrue(self.bench.is_idle())


class CloseTest(testtools.TestCase):
    """Closing waits a bounded time until written data is sent."""

    def setUp(self):
        super().setUp()
        self.bench = peer_bench.PeerBench()
        self.acceptor, _ = self.bench.connect_peer()
        self.bench.network.with_connection(peer_bench.PEER, lambda _: None)
        self.initiator, _ = self.bench.accept_outgoing()
        self.closed = []
        self.bench.network.close().addCallback(self.closed.append)

    def test_it_waits_for_incoming_and_outgoing_connections(self):
        for connection in (self.acceptor, self.initiator):
            self.assertTrue(connection.transport.half_closed)
            self.assertFalse(connection.transport.disconnecting)
            self.assertEqual([], self.closed)
            connection.connectionLost(gate_bench.CLOSED)
        self.assertEqual(1, len(self.closed))

    def test_connections_to_stalled_peers_are_aborted(self):
        self.bench.reactor.advance(thrift_network.CLOSE_TIMEOUT_S)
        self.assertTrue(self.acceptor.transport.disconnected)
        self.assertTrue(self.initiator.transport.disconnected)


class InvalidCallTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """A call with invalid values is rejected and runs nothing."""

    scenarios = [
        (f"{name}-{value!r:.40}", {"fields": {name: value, **others}})
        for name, value, others in (
            ("budget", -1, {}),
            ("importance", 99, {}),
            ("importance", -1, {}),
            ("shed_key", -1, {}),
            ("shed_key", 1 << 40, {}),
            ("depth", -1, {}),
            ("remaining_s", math.nan, {}),
            ("remaining_s", math.inf, {}),
            ("remaining_s", 1e300, {}),
            ("body_bytes", -7, {}),
            ("body_bytes", 2, {"body": b"hi!"}),
            ("body_bytes", 9, {"body": b"short"}),
            ("head", b"", {}),
            ("head", b"GET / HTTP/1.1", {}),
            ("head", b"GET / HTTP/1.1\r\n\r\n", {}),
            ("head", b"GET / HTTP/1.1\r\nA: b\r\n\r\nGET /x HTTP/1.1\r\n", {}),
            ("head", b"GET / HTTP/1.1\r\nA: b\nContent-Length: 9\r\n", {}),
            ("head", b"GET / HTTP/1.1\r\ncontent-Length: 9\r\n", {}),
            ("head", b"GET / HTTP/1.1\r\nTransfer-encoding: chunked\r\n", {}),
            ("head", b"GET / HTTP/1.1\r\nx-Cyclamendale-Context: t\r\n", {}),
            ("head", b"GET / HTTP/1.1\r\nX-API-Key: k\r\n", {}),
        )
    ]  # fmt: skip

    def test_it_is_rejected(self):
        bench = peer_bench.PeerBench()
        acceptor, peer = bench.connect_peer()
        replies = []
        peer.request(
            KIND.CALL, 1, peer_bench.call_bytes(**self.fields), replies.append
        )
        peer_bench.pump(acceptor, peer)
        self.assertEqual([network.PeerErrorKind.REJECTED], replies)
        self.assertTrue(bench.is_idle())
        self.assertEqual([], bench.reactor.tcpClients)


class InvalidAnswerTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """A call with an invalid answer counts as lost and is cancelled."""

    scenarios = [
        (name, {"reply": reply})
        for name, reply in (
            ("unreadable", b"nonsense"),
            ("status", peer_bench.answer_bytes(status=0)),
            ("interim-status", peer_bench.answer_bytes(status=101)),
            ("length", peer_bench.answer_bytes(body_bytes=-7)),
            ("load", peer_bench.answer_bytes(load=math.nan)),
            ("threshold", peer_bench.answer_bytes(threshold=-1)),
            ("split", peer_bench.answer_bytes(head=b"A: b\r\n\r\nbody\r\n")),
            ("line-feed", peer_bench.answer_bytes(head=b"A: b\nC: d\r\n")),
            ("cut-line", peer_bench.answer_bytes(head=b"A: b")),
            ("framing", peer_bench.answer_bytes(
                head=b"Transfer-Encoding: chunked\r\n")),
        )
    ]  # fmt: skip

    def test_it_counts_as_lost(self):
        bench = peer_bench.PeerBench()
        receiver = gate_bench.RecordingReceiver()
        call_client.RemoteCallTransport(
            bench.network, bench.clock, peer_bench.PEER
        ).open(bench.gate_bench.make_envelope(), receiver)
        initiator, peer = bench.accept_outgoing()
        peer.reply(KIND.CALL, 1, self.reply)
        peer_bench.pump(initiator, peer)
        self.assertEqual([("lost", True)], receiver.events)
        self.assertEqual(
            [KIND.CALL, KIND.CANCEL], [request[0] for request in peer.requests]
        )


class ClientConnectionLostTest(
    testscenarios.TestWithScenarios, testtools.TestCase
):
    """A lost connection ends its calls in every state."""

    scenarios = [
        (state, {"state": state})
        for state in ("connecting", "called", "answering", "uploading")
    ]

    def test_the_caller_is_notified_once_and_a_retry_does_not_hang(self):
        bench = peer_bench.PeerBench()
        receiver = gate_bench.RecordingReceiver()
        transport = call_client.RemoteCallTransport(
            bench.network, bench.clock, peer_bench.PEER
        )
        retried = gate_bench.RecordingReceiver()
        lost = receiver.lost

        def retry(sent):
            lost(sent)
            transport.open(bench.gate_bench.make_envelope(), retried)

        receiver.lost = retry
        fields = {"more": True, "body_bytes": 9, "head": b"POST / HTTP/1.1\r\n"}
        uploads = self.state == "uploading"
        transport.open(
            bench.gate_bench.make_envelope(**(fields if uploads else {})),
            receiver,
        )
        if self.state == "connecting":
            initiator = bench.reactor.tcpClients[-1][2].buildProtocol(None)
            initiator.makeConnection(gate_bench.StringTransport())
        else:
            initiator, peer = bench.accept_outgoing()
        if self.state == "answering":
            peer.reply(
                KIND.CALL, 1, peer_bench.answer_bytes(more=True, body_bytes=9)
            )
        elif uploads:
            peer.reply(KIND.PUSH, 1, SIGNAL)
        if self.state != "connecting":
            peer_bench.pump(initiator, peer)
        initiator.connectionLost(gate_bench.CLOSED)
        sent = self.state != "connecting"
        self.assertEqual(("lost", sent), receiver.events[-1])
        if sent:
            self.assertEqual(2, len(bench.reactor.tcpClients))
            initiator, peer = bench.accept_outgoing()
            peer.reply(KIND.CALL, 1, peer_bench.answer_bytes())
            peer_bench.pump(initiator, peer)
            self.assertEqual([("answered", 200, b"")], retried.events)
        else:
            self.assertEqual([("lost", False)], retried.events)


class ServerConnectionLostTest(
    testscenarios.TestWithScenarios, testtools.TestCase
):
    """The server releases a call's resources when its connection is lost."""

    scenarios = [
        (state, {"state": state})
        for state in ("waiting", "connecting", "handed-over", "answering")
    ]

    def test_slots_contexts_and_calls_are_released(self):
        bench = peer_bench.PeerBench()
        admission = bench.gate_bench.admission
        admission.holds_requests = self.state == "waiting"
        acceptor, peer = bench.connect_peer()
        peer.request(KIND.CALL, 1, peer_bench.call_bytes(), lambda _: None)
        peer_bench.pump(acceptor, peer)
        if self.state in ("handed-over", "answering"):
            connection = bench.gate_bench.connect()
        if self.state == "answering":
            connection.dataReceived(
                OK + b"Content-Length: 99999\r\n\r\n" + b"x" * 70_000
            )
        acceptor.connectionLost(gate_bench.CLOSED)
        if self.state == "connecting":
            bench.gate_bench.connect()
        self.assertTrue(bench.is_idle())
        self.assertEqual([], admission.waiting)
        started = 0 if self.state == "waiting" else 1
        self.assertEqual(started, len(admission.finished))
