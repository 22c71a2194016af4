"""In-memory peer network on a virtual clock, with message loss."""

from __future__ import annotations

from expression import Error
from expression import Ok
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.peer import kinds
from cyclamendale.peer import network


class FakeNetwork:
    """Network between the fake peers.

    Attributes:
        delay_s: One-way delay of each message.
        lose: Predicate over (source, target, kind, is_reply) that returns
            whether to lose a message.
        peers: Peers by address.
    """

    def __init__(self, clock: clocks.Clock, delay_s: float = 0.001) -> None:
        self.clock = clock
        self.delay_s = delay_s
        self.lose = lambda source, target, kind, is_reply: False
        self.peers: dict[ids.PeerAddress, FakePeer] = {}

    def add_peer(self, address: ids.PeerAddress) -> FakePeer:
        """Adds a peer that listens at `address`."""
        self.peers[address] = FakePeer(self, address)
        return self.peers[address]


class FakePeer(network.PeerNetwork):
    """Peer network of one node.

    Attributes:
        requests_sent: Requests sent, also those that were lost.
    """

    def __init__(
        self, fake_network: FakeNetwork, address: ids.PeerAddress
    ) -> None:
        self._network = fake_network
        self.address = address
        self._handlers = {}
        self.requests_sent = 0

    def serve(self, kind, message_type, handler):
        self._handlers[kind] = handler

    def request(self, peer, kind, message, reply_type, timeout_s):
        self.requests_sent += 1
        answer = defer.Deferred()
        timeout = self._network.clock.call_later(
            timeout_s, self._time_out, answer, peer
        )

        def reply(result):
            if not answer.called:
                timeout.cancel()
                answer.callback(Ok(result))

        if not self._network.lose(self.address, peer, kind, False):
            self._network.clock.call_later(
                self._network.delay_s, self._deliver, peer, kind, message, reply
            )
        return answer

    def _time_out(self, answer, peer):
        answer.callback(
            Error(network.PeerError(network.PeerErrorKind.TIMEOUT, peer))
        )

    def _deliver(self, peer, kind: kinds.MessageKind, message, reply):
        target = self._network.peers.get(peer)
        if target is None or kind not in target._handlers:
            return
        handled = defer.maybeDeferred(target._handlers[kind], message)
        handled.addCallback(self._send_reply, peer, kind, reply)

    def _send_reply(self, result, peer, kind, reply):
        if not self._network.lose(peer, self.address, kind, True):
            self._network.clock.call_later(self._network.delay_s, reply, result)
