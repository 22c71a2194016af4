"""Tests of the request path between nodes over loopback sockets."""

from __future__ import annotations

import testtools
from testtools import twistedsupport
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import task
from twisted.web import http
from twisted.web import server

from tests.support import path_node


def get(path=b"/shop/a", key=path_node.KEY, close=True, extra=b""):
    return (
        b"GET "
        + path
        + b" HTTP/1.1\r\nHost: x\r\n"
        + (b"X-Api-Key: " + key + b"\r\n" if key else b"")
        + (b"Connection: close\r\n" if close else b"")
        + extra
        + b"\r\n"
    )


class RequestPathTest(testtools.TestCase):
    run_tests_with = (
        twistedsupport.AsynchronousDeferredRunTestForBrokenTwisted.make_factory(
            timeout=20
        )
    )

    def setUp(self):
        super().setUp()
        from twisted.internet import reactor

        self.reactor = reactor
        self.seen = []

    def start(self, render=None, nodes=2, **route_fields):
        """Starts nodes; the upstream of the last node runs `render`."""
        self.nodes = [
            path_node.PathNode(
                self.reactor, path_node.configuration(**route_fields)
            )
            for _ in range(nodes)
        ]
        self.upstream = path_node.ScriptedUpstream(
            lambda request: self._render(render, request)
        )
        port, address = path_node.listen_site(self.reactor, self.upstream)
        self.upstream_port = port
        self.nodes[-1].announce(address)
        self.nodes[0].chooser.members.append(self.nodes[-1].member())
        for node in self.nodes:
            self.addCleanup(node.close)
        self.addCleanup(port.stopListening)

    def _render(self, render, request):
        headers = dict(request.requestHeaders.getAllRawHeaders())
        self.seen.append((request, headers))
        if render is None:
            request.setHeader(b"X-Cyclamendale-Outcome", b"not-run")
            return b"answer " + request.uri
        return render(request)

    @defer.inlineCallbacks
    def exchange(self, data, node=None):
        client = yield self.connect(node)
        client.transport.write(data)
        received = yield client.closed
        return received

    @defer.inlineCallbacks
    def upload(self, data):
        """Sends an upload that is refused; waits until the entry closes."""
        received = yield self.exchange(data)
        while self.nodes[0].entry.channels:
            # The entry notices the close in the next reactor iteration.
            yield task.deferLater(self.reactor, 0)
        return received

    def connect(self, node=None):
        point = endpoints.TCP4ClientEndpoint(
            self.reactor, "127.0.0.1", (node or self.nodes[0]).http_port
        )
        return endpoints.connectProtocol(point, path_node.RawClient())

    @defer.inlineCallbacks
    def test_a_request_is_served_by_the_upstream_of_another_node(self):
        self.start()
        received = yield self.exchange(get())
        self.assertIn(b"HTTP/1.1 200 OK\r\n", received)
        self.assertTrue(received.endswith(b"answer /shop/a"))

    @defer.inlineCallbacks
    def test_the_upstream_gets_no_key_and_its_outcome_header_is_dropped(self):
        self.start()
        received = yield self.exchange(
            get(extra=b"Authorization: Bearer masons-key\r\n")
        )
        headers = self.seen[0][1]
        self.assertNotIn(b"masons-key", repr(headers).encode())
        self.assertIn(b"X-Cyclamendale-Outcome: answered", received)
        self.assertNotIn(b"not-run", received)

    @defer.inlineCallbacks
    def test_an_unknown_key_is_refused_as_not_run(self):
        self.start()
        received = yield self.exchange(get(key=b"other"))
        self.assertIn(b"HTTP/1.1 401", received)
        self.assertIn(b"X-Cyclamendale-Outcome: not-run", received)
        self.assertEqual([], self.seen)

    @defer.inlineCallbacks
    def test_a_token_authorises_onward_calls_only_while_its_request_runs(self):
        tokens = []

        def render(request):
            tokens.append(request.getHeader(b"x-cyclamendale-context"))
            self.request = request
            self.arrived.callback(None)
            return server.NOT_DONE_YET

        self.arrived = defer.Deferred()
        self.start(render, nodes=1)
        root = self.exchange(get())
        yield self.arrived
        self.arrived = defer.Deferred()
        onward = self.exchange(
            get(
                b"/shop/onward",
                None,
                extra=b"X-Cyclamendale-Context: " + tokens[0] + b"\r\n",
            )
        )
        root_request = self.request
        yield self.arrived
        gate = self.nodes[0].admissions[0]
        self.assertEqual(1, len(gate.paused))
        self.request.finish()
        received = yield onward
        self.assertIn(b"HTTP/1.1 200", received)
        self.assertEqual([], gate.paused)
        root_request.finish()
        yield root
        received = yield self.exchange(
            get(
                b"/shop/late",
                None,
                extra=b"X-Cyclamendale-Context: " + tokens[0] + b"\r\n",
            )
        )
        self.assertIn(b"HTTP/1.1 403", received)
        self.assertIn(b"context-invalid", received)

    @defer.inlineCallbacks
    def test_a_disconnected_caller_cancels_its_request(self):
        def render(request):
            request.notifyFinish().addErrback(
                lambda _: self.cancelled.callback(None)
            )
            self.arrived.callback(None)
            return server.NOT_DONE_YET

        self.arrived, self.cancelled = defer.Deferred(), defer.Deferred()
        self.start(render)
        client = yield self.connect()
        client.transport.write(get())
        yield self.arrived
        client.transport.abortConnection()
        yield self.cancelled

    @defer.inlineCallbacks
    def test_an_interrupted_answer_is_never_well_formed(self):
        def render(request):
            request.write(b"x" * 200_000)
            self.reactor.callLater(
                0.05, request.channel.transport.abortConnection
            )
            return server.NOT_DONE_YET

        self.start(render)
        received = yield self.exchange(get())
        self.assertIn(b"Transfer-Encoding: chunked", received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))

    @defer.inlineCallbacks
    def test_long_bodies_are_complete_in_both_directions(self):
        body = bytes(range(256)) * 4096

        def render(request):
            return request.content.read()

        self.start(render)
        received = yield self.exchange(
            b"POST /shop/echo HTTP/1.1\r\nHost: x\r\nX-Api-Key: masons-key\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n"
            % len(body)
            + body
        )
        head, _, answer = received.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Length: %d" % len(body), head)
        self.assertTrue(answer == body)

    @defer.inlineCallbacks
    def test_a_chunked_upload_is_complete(self):
        self.start(lambda request: request.content.read())
        received = yield self.exchange(
            b"POST /shop/echo HTTP/1.1\r\nHost: x\r\nX-Api-Key: masons-key\r\n"
            b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
        )
        self.assertTrue(received.endswith(b"\r\n\r\nhello world"))

    @defer.inlineCallbacks
    def test_a_persistent_connection_serves_pipelined_requests_in_order(self):
        self.start()
        received = yield self.exchange(
            get(b"/shop/1", close=False) + get(b"/shop/2")
        )
        self.assertLess(
            received.index(b"answer /shop/1"), received.index(b"answer /shop/2")
        )

    @defer.inlineCallbacks
    def test_a_lost_non_idempotent_request_is_not_run_again(self):
        def render(request):
            request.channel.transport.abortConnection()
            return server.NOT_DONE_YET

        self.start(render)
        self.nodes[0].chooser.members *= 2
        received = yield self.exchange(get())
        self.assertIn(b"HTTP/1.1 502", received)
        self.assertIn(b"X-Cyclamendale-Outcome: unknown", received)
        self.assertEqual(1, len(self.seen))

    @defer.inlineCallbacks
    def test_a_leaving_gate_refuses_as_not_run_and_another_serves(self):
        self.start(nodes=3)
        leaving = self.nodes[1]
        port, address = path_node.listen_site(self.reactor, self.upstream)
        self.addCleanup(port.stopListening)
        leaving.announce(address)
        leaving.gate.close(lambda: None)
        self.nodes[0].chooser.members.insert(0, leaving.member())
        received = yield self.exchange(get())
        self.assertIn(b"HTTP/1.1 200", received)
        self.assertEqual(1, self.nodes[0].policy.retries)

    @defer.inlineCallbacks
    def test_an_upstream_that_refuses_connections_is_skipped(self):
        self.start(nodes=3)
        port, address = path_node.listen_site(self.reactor, self.upstream)
        yield port.stopListening()
        self.nodes[1].announce(address)
        self.nodes[0].chooser.members.insert(0, self.nodes[1].member())
        received = yield self.exchange(get())
        self.assertIn(b"HTTP/1.1 200", received)
        self.assertEqual(1, len(self.seen))

    @defer.inlineCallbacks
    def test_a_refusal_reaches_a_caller_that_is_still_uploading(self):
        self.start(max_body_bytes=100_000)
        body = b"x" * 5_000_000
        received = yield self.upload(
            b"POST /shop HTTP/1.1\r\nHost: x\r\nX-Api-Key: masons-key\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        self.assertIn(b"X-Cyclamendale-Reason: too-large", received)
        self.assertTrue(received.endswith(b"}\n"))
        self.assertEqual([], self.seen)

    @defer.inlineCallbacks
    def test_a_chunked_upload_over_the_limit_is_aborted_at_the_upstream(self):
        lost = defer.Deferred()
        self.start(max_body_bytes=1_000_000)
        self.upstream_port.factory.protocol = lambda: LossReporter(lost)
        chunk = b"%x\r\n%s\r\n" % (100_000, b"x" * 100_000)
        received = yield self.upload(
            b"POST /shop HTTP/1.1\r\nHost: x\r\nX-Api-Key: masons-key\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 20
        )
        self.assertIn(b"X-Cyclamendale-Reason: too-large", received)
        yield lost
        self.assertEqual([], self.seen)
        self.assertEqual(0, len(self.nodes[-1].gate.running))

    @defer.inlineCallbacks
    def test_a_leaving_upstream_whose_answer_is_lost_is_not_run_again(self):
        """Two failures at once: the gate drains and its node is cut off."""

        def render(request):
            self.arrived.callback(None)
            return server.NOT_DONE_YET

        self.arrived = defer.Deferred()
        self.start(render, nodes=3)
        leaving, other = self.nodes[2], self.nodes[1]
        spare = path_node.ScriptedUpstream(lambda request: b"spare")
        port, address = path_node.listen_site(self.reactor, spare)
        self.addCleanup(port.stopListening)
        other.announce(address)
        self.nodes[0].chooser.members.append(other.member())
        pending = self.exchange(get())
        yield self.arrived
        leaving.gate.close(lambda: None)
        fresh = yield self.exchange(get())
        self.assertIn(b"HTTP/1.1 200", fresh)
        self.assertTrue(fresh.endswith(b"spare"))
        for connection in tuple(leaving.network._accepted):
            connection.transport.abortConnection()
        received = yield pending
        self.assertIn(b"HTTP/1.1 502", received)
        self.assertIn(b"X-Cyclamendale-Outcome: unknown", received)
        self.assertEqual(1, len(self.seen))


class LossReporter(http.HTTPChannel):
    """Reports the loss of a connection with an unfinished request."""

    def __init__(self, lost):
        super().__init__()
        self.requestFactory = server.Site(None).requestFactory
        self._lost = lost

    def connectionLost(self, reason):
        super().connectionLost(reason)
        self._lost.callback(None)
