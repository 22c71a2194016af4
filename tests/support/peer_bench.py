"""Test bench for peer connections over string transports."""

from __future__ import annotations

from cyclamendale import events
from cyclamendale import ids
from cyclamendale.peer import call_server
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.call import ttypes
from tests.support import gate_bench
from tests.support import path_node

PEER = ids.PeerAddress("127.0.0.1:9")


class PeerBench:
    """Network and gate of one node; the test plays the other node."""

    def __init__(self):
        self.gate_bench = gate_bench.GateBench()
        self.reactor = self.gate_bench.reactor
        self.clock = self.gate_bench.clock
        self.network = thrift_network.ThriftPeerNetwork(
            self.reactor, self.clock, path_node.SECRET
        )
        self.server = call_server.CallServer(
            self.network, self.clock, self.gate_bench.gate
        )
        self.network.listen("127.0.0.1", 0)

    def accept(self):
        """Returns the node's end of a new incoming connection."""
        acceptor = self.reactor.tcpServers[-1][1].buildProtocol(None)
        acceptor.makeConnection(gate_bench.StringTransport())
        return acceptor

    def make_peer(self, is_initiator=True, secret=path_node.SECRET):
        """Returns the other node's end; `requests` lists those it received."""
        requests = []
        peer = connections.PeerConnection(
            secret,
            is_initiator,
            lambda _, kind, call_id, payload: requests.append(
                (kind, call_id, payload)
            ),
            lambda _: None,
            lambda _: None,
            self.reactor.callLater,
            events.HybridLogicalClock(self.clock),
        )
        peer.requests = requests
        peer.makeConnection(gate_bench.StringTransport())
        return peer

    def connect_peer(self):
        """Connects to the node; returns both ends, the node's first."""
        acceptor, peer = self.accept(), self.make_peer()
        pump(acceptor, peer)
        return acceptor, peer

    def accept_outgoing(self):
        """Accepts the node's last connection; returns both ends likewise."""
        initiator = self.reactor.tcpClients[-1][2].buildProtocol(None)
        initiator.makeConnection(gate_bench.StringTransport())
        peer = self.make_peer(is_initiator=False)
        pump(initiator, peer)
        return initiator, peer

    def is_idle(self):
        """Returns whether the gate is idle and the server has no calls."""
        return self.gate_bench.is_idle() and not self.server._calls


def pump(one, other):
    """Transfers bytes in both directions until neither end writes."""
    moved = True
    while moved:
        moved = False
        for source, sink in ((one, other), (other, one)):
            data = source.transport.value()
            source.transport.clear()
            if data and not sink.transport.disconnected:
                moved = True
                sink.dataReceived(data)


def call_bytes(**fields):
    """Returns an encoded call; `fields` replace its values."""
    values = {
        "request_id": "r1",
        "customer": "masons",
        "route": "shop",
        "importance": 2,
        "shed_key": 7,
        "depth": 0,
        "budget": 3,
        "remaining_s": 5.0,
        "head": b"GET /shop HTTP/1.1\r\nHost: x\r\n",
        "body": b"",
        "more": False,
        "body_bytes": 0,
        **fields,
    }
    return codec.encode(ttypes.CallRequest(**values))


def answer_bytes(**fields):
    """Returns an encoded answer; `fields` replace its values."""
    values = {
        "status": 200,
        "head": b"A: b\r\n",
        "body": b"",
        "more": False,
        "body_bytes": 0,
        "unused_budget": 0,
        "threshold": 7,
        "load": 0.5,
        **fields,
    }
    return codec.encode(ttypes.CallAnswer(**values))
