"""Planned stops of complete nodes."""

from __future__ import annotations

import socket
import time

import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads

from cyclamendale.fleet import settings
from cyclamendale.fleet import shutdown
from tests.support import fleet_nodes


class FleetNodeStopTest(fleet_nodes.FleetNodeCase):
    @defer.inlineCallbacks
    def test_a_request_is_refused_while_a_stopping_node_closes(self):
        # It was passed on and lost its connection: its caller got a 502.
        self.publish(fleet_nodes.manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        node = self.nodes[0]
        stop_reporter, closing = node._reporter.stop, defer.Deferred()
        closing.addCallback(lambda _: stop_reporter())
        self.patch(node._reporter, "stop", lambda: closing)
        self.extend_grace(node)
        stopped = node.stop()
        caller = yield threads.deferToThread(self.connect)
        self.addCleanup(caller.close)
        yield self.until_stopped()
        runs = fleet_nodes.EchoUpstream.runs
        response = yield threads.deferToThread(self.exchange_raw, caller)
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Retry-After:", response)
        self.assertEqual(runs, fleet_nodes.EchoUpstream.runs)
        closing.callback(None)
        yield stopped
        self.nodes.remove(node)

    @defer.inlineCallbacks
    def test_a_stop_ends_within_the_grace_period(self):
        # A connection that can't be closed held it until the process was
        # killed.
        node = self.nodes[0]
        stop_reporter, close_peers = node._reporter.stop, node._peers.close
        self.patch(node._peers, "close", defer.Deferred)
        self.patch(node._reporter, "stop", defer.Deferred)
        stopped = node.stop().addTimeout(fleet_nodes.TIMEOUT_S, reactor)
        yield stopped
        yield defer.gatherResults([stop_reporter(), close_peers()])
        self.nodes.remove(node)

    @defer.inlineCallbacks
    def test_a_part_that_fails_at_a_stop_cuts_no_request(self):
        # The process ended at once.
        self.publish(fleet_nodes.manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        node = self.nodes[0]
        self.extend_grace(node)
        caller = yield threads.deferToThread(self.connect)
        self.addCleanup(caller.close)
        self.fail_after(node._reporter, "send_now")
        stopped = node.stop()
        response = yield threads.deferToThread(self.exchange_raw, caller)
        self.assertIn(b"HTTP/1.1 200 ", response)
        yield stopped
        self.assertIn("defect", self.log.events())
        self.nodes.remove(node)

    @defer.inlineCallbacks
    def test_a_part_that_fails_to_stop_keeps_no_other_from_it(self):
        node = self.nodes[0]
        self.fail_after(node._call_learner, "stop")
        self.fail_after(node._reporter, "stop")
        yield node.stop()
        self.assertIn("defect", self.log.events())
        # Its address is free.
        self.nodes[0] = self.make_node(1)
        self.nodes[0].start()

    def fail_after(self, part, name):
        """Lets a method of a part raise once, after it has run."""
        method = getattr(part, name)

        def fail():
            setattr(part, name, method)
            method()
            raise RuntimeError("a defect of this part")

        setattr(part, name, fail)

    def extend_grace(self, node):
        node.reload(
            msgspec.structs.replace(
                node._settings,
                bounds=settings.Bounds(grace_s=fleet_nodes.TIMEOUT_S),
            )
        )

    @defer.inlineCallbacks
    def until_stopped(self):
        for _ in range(int(fleet_nodes.TIMEOUT_S / 0.01)):
            if "stopped" in self.log.events():
                return
            yield task.deferLater(reactor, 0.01)
        self.fail("the node still serves")

    @defer.inlineCallbacks
    def test_a_kept_connection_is_served_while_its_node_stops(self):
        # It was closed at once, and a request that crossed the close was lost.
        self.publish(fleet_nodes.manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        node = self.nodes[0]
        self.extend_grace(node)
        caller = yield threads.deferToThread(self.connect)
        self.addCleanup(caller.close)
        response = yield threads.deferToThread(self.exchange_raw, caller)
        self.assertNotIn(b"Connection: close", response)
        stopped = node.stop()
        response = yield threads.deferToThread(self.exchange_raw, caller)
        self.assertIn(b"HTTP/1.1 200 ", response)
        self.assertIn(b"Connection: close", response)
        yield stopped
        self.nodes.remove(node)

    @defer.inlineCallbacks
    def test_a_request_that_waits_to_be_accepted_is_refused_at_a_stop(self):
        # The close of the listening port reset its connection.
        self.publish(fleet_nodes.manifest_bytes())
        yield self.until_status(lambda: self.get_readiness(1), 200)
        node = self.nodes[0]
        self.extend_grace(node)
        node._port.stopReading()
        caller = yield threads.deferToThread(self.connect)
        self.addCleanup(caller.close)
        exchanged = threads.deferToThread(self.exchange_raw, caller)
        yield node.stop()
        self.nodes.remove(node)
        response = yield exchanged
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Retry-After:", response)

    @defer.inlineCallbacks
    def test_what_came_while_a_process_stood_still_at_its_end_is_refused(self):
        # Kept and waiting connections were closed with the request unread.
        self.publish(fleet_nodes.manifest_bytes())
        yield self.until_status(lambda: self.get_readiness(1), 200)
        node = self.nodes[0]
        kept = yield threads.deferToThread(self.connect)
        self.addCleanup(kept.close)
        yield threads.deferToThread(self.exchange_raw, kept, b"/none")
        callers = [kept]

        def stand_still():
            callers.append(self.connect())
            self.addCleanup(callers[-1].close)
            for caller in callers:
                self.send_raw(caller)
            time.sleep(node._settings.bounds.grace_s)

        stop_learner = node._call_learner.stop
        self.patch(
            node._call_learner, "stop", lambda: (stand_still(), stop_learner())
        )
        yield node.stop()
        self.nodes.remove(node)
        for caller in callers:
            response = yield threads.deferToThread(caller.recv, 65536)
            self.assertIn(b"HTTP/1.1 503 ", response)

    @defer.inlineCallbacks
    def test_a_response_that_is_read_slowly_is_whole_after_a_stop(self):
        # The process ended with the part that its caller had not read.
        self.publish(fleet_nodes.manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        node = self.nodes[0]
        self.extend_grace(node)
        caller = yield threads.deferToThread(self.connect)
        self.addCleanup(caller.close)
        head = yield threads.deferToThread(
            self.exchange_raw, caller, b"/read/large"
        )
        self.assertIn(b"HTTP/1.1 200 ", head)
        stopped = node.stop()
        yield task.deferLater(reactor, shutdown.MIN_SERVING_S + 0.5)
        self.assertNotIn("stopped", self.log.events())
        rest_bytes = yield threads.deferToThread(self.read_all, caller)
        self.assertGreater(len(head) + rest_bytes, fleet_nodes.LARGE_BYTES)
        yield stopped
        self.nodes.remove(node)

    def read_all(self, caller):
        return sum(map(len, iter(lambda: caller.recv(1 << 20), b"")))

    def connect(self):
        return socket.create_connection(
            (f"{self.block}.1", 9001), fleet_nodes.TIMEOUT_S
        )

    def exchange_raw(self, caller, path=b"/read/x"):
        self.send_raw(caller, path)
        return caller.recv(65536)

    def send_raw(self, caller, path=b"/read/x"):
        caller.sendall(
            b"GET " + path + b" HTTP/1.1\r\nHost: one\r\n"
            b"X-Cyclamendale-Attempt-Id: r2\r\n"
            b"X-Cyclamendale-Deadline-Ms: 5000\r\n"
            b"X-Cyclamendale-Credential: k1\r\n\r\n"
        )
