"""Connections to peers that are taken out of use."""

from __future__ import annotations

import testtools

from cyclamendale.peer import kinds
from cyclamendale.peer import network
from tests.support import gate_bench
from tests.support import peer_bench

KIND = kinds.MessageKind


class DetachTest(testtools.TestCase):
    """A detached connection stays open; later requests open a new one."""

    def setUp(self):
        super().setUp()
        self.bench = peer_bench.PeerBench()
        self.network = self.bench.network
        self.network.with_connection(peer_bench.PEER, lambda _: None)
        self.bench.accept_outgoing()
        self.used = []
        self.network.with_connection(peer_bench.PEER, self.used.append)
        self.detached = self.network.detach_connection(peer_bench.PEER)

    def test_its_loss_does_not_fail_the_new_connection(self):
        self.assertIs(self.used.pop(), self.detached)
        self.network.with_connection(peer_bench.PEER, self.used.append)
        self.detached.connectionLost(gate_bench.CLOSED)
        self.assertEqual([], self.used)
        self.bench.accept_outgoing()
        (connection,) = self.used
        self.assertIsNot(connection, self.detached)
        self.assertTrue(connection.is_open)

    def test_it_is_closed_with_the_network(self):
        self.network.close()
        self.assertTrue(self.detached.transport.half_closed)

    def test_the_end_of_a_closed_one_does_not_fail_the_new_connection(self):
        connection, peer = self.bench.accept_outgoing()
        replies = []
        connection.request(KIND.PING, 1, b"", replies.append)
        peer.close()
        peer_bench.pump(connection, peer)
        self.assertEqual([network.PeerErrorKind.UNREAD], replies)
        self.assertTrue(connection.transport.disconnecting)
        self.network.with_connection(peer_bench.PEER, self.used.append)
        connection.connectionLost(gate_bench.CLOSED)
        self.bench.accept_outgoing()
        self.assertIsNot(connection, self.used[-1])
        self.assertTrue(self.used[-1].is_open)

    def test_without_a_connection_there_is_none(self):
        self.assertIsNone(self.network.detach_connection(peer_bench.PEER))

    def test_only_an_idle_connection_is_discarded(self):
        connection, _ = self.bench.accept_outgoing()
        connection.request(KIND.PING, 1, b"", lambda _: None)
        discard = self.network.discard_idle_connection
        self.assertFalse(discard(peer_bench.PEER))
        connection.ignore_reply(KIND.PING, 1)
        self.assertTrue(discard(peer_bench.PEER))
        self.assertFalse(discard(peer_bench.PEER))
