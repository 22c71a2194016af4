"""Tests that ended calls are freed without the garbage collector.

The pauses of the collector grow with the number of objects that it has to
free, and add to the latency of calls.
"""

from __future__ import annotations

import collections
import gc

import testscenarios
import testtools
from testtools import twistedsupport
from twisted.internet import defer
from twisted.internet import endpoints

from tests.support import path_node

REQUESTS = 5


def request(key):
    return b"GET /shop HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + key + b"\r\n\r\n"


class RequestGarbageTest(testscenarios.WithScenarios, testtools.TestCase):
    run_tests_with = (
        twistedsupport.AsynchronousDeferredRunTestForBrokenTwisted.make_factory(
            timeout=20
        )
    )
    scenarios = [
        ("own host", {"nodes": 1, "key": path_node.KEY, "leaving": False}),
        ("other host", {"nodes": 2, "key": path_node.KEY, "leaving": False}),
        ("refused key", {"nodes": 1, "key": b"other", "leaving": False}),
        ("refused gate", {"nodes": 2, "key": path_node.KEY, "leaving": True}),
    ]

    def setUp(self):
        super().setUp()
        from twisted.internet import reactor

        self.reactor = reactor
        gc.collect()
        self.addCleanup(gc.garbage.clear)
        self.addCleanup(gc.set_debug, gc.get_debug())

    @defer.inlineCallbacks
    def test_an_ended_call_leaves_no_reference_cycle(self):
        nodes = [
            path_node.PathNode(self.reactor, path_node.configuration())
            for _ in range(self.nodes)
        ]
        upstream = path_node.ScriptedUpstream(lambda _: b"answer")
        port, address = path_node.listen_site(self.reactor, upstream)
        self.addCleanup(port.stopListening)
        for node in nodes:
            self.addCleanup(node.close)
        nodes[-1].announce(address)
        nodes[0].chooser.members.append(nodes[-1].member())
        if self.leaving:
            nodes[-1].gate.close(lambda: None)
        point = endpoints.TCP4ClientEndpoint(
            self.reactor, "127.0.0.1", nodes[0].http_port
        )
        client = yield endpoints.connectProtocol(point, path_node.RawClient())
        gc.collect()
        gc.set_debug(gc.DEBUG_SAVEALL)
        for number in range(1, REQUESTS + 1):
            client.transport.write(request(self.key))
            yield client.wait_for(
                lambda received, n=number: received.count(b"HTTP/1.1 ") == n
            )
        gc.collect()
        left = collections.Counter(
            type(item).__qualname__
            for item in gc.garbage
            if type(item).__module__.startswith("cyclamendale")
        )
        client.transport.loseConnection()
        self.assertEqual({}, dict(left))
