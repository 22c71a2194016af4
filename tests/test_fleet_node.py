"""Two complete nodes in one process, from discovery to served requests."""

from __future__ import annotations

import http.client
import itertools
import json
import os
import socket
import time

import msgspec
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads
from twisted.trial import unittest

from cyclamendale.fleet import node as nodes
from cyclamendale.fleet import settings
from cyclamendale.fleet import shutdown
from cyclamendale.platform import daemon
from cyclamendale.platform import manifest
from tests.support import fake_log
from tests.support import memory_rows

TIMEOUT_S = 20.0
LARGE_BYTES = 24_000_000
"""Size of a body that the buffers of the kernel do not hold."""
_address_blocks = itertools.count(1)


def manifest_bytes(version=7, service="wash"):
    return msgspec.json.encode(
        {
            "version": f"{version:08x}",
            "services": [{"name": "wash"}, {"name": "dry"}],
            "tenants": [{"name": "big", "api_keys": ["k1"]}],
            "virtual_hosts": [
                {
                    "host": "one",
                    "paths": [
                        {"name": "read", "prefix": "/read/",
                         "kind": "idempotent", "timeout_s": 5,
                         "service": service, "max_attempts": 2}
                    ],
                }
            ],
        }
    )  # fmt: skip


class EchoUpstream(protocol.Protocol):
    """Responds to each request with the header lines that it received."""

    open = set()
    runs = 0

    def __init__(self):
        self.data = b""

    def connectionMade(self):
        self.open.add(self)

    def connectionLost(self, reason=protocol.connectionDone):
        self.open.discard(self)

    def dataReceived(self, data):
        self.data += data
        while b"\r\n\r\n" in self.data:
            head, _, self.data = self.data.partition(b"\r\n\r\n")
            EchoUpstream.runs += 1
            lines = head.split(b"\r\n")
            echoed = [line for line in lines if b"attempt-id" in line.lower()]
            body = json.dumps([line.decode() for line in lines]).encode()
            body += b" " * (LARGE_BYTES if b"/large " in lines[0] else 0)
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n\r\n%s"
                % (len(body), b"\r\n".join(echoed), body)
            )


class FleetNodeTest(unittest.TestCase):
    timeout = 60

    def setUp(self):
        # A separate address block: nodes must not discover those of other
        # tests.
        self.block = f"127.{os.getpid() % 200 + 20}.{next(_address_blocks)}"
        self.rows = memory_rows.MemoryRows()
        self.log = fake_log.FakeLog()
        self.nodes = [self.make_node(index) for index in (1, 2)]
        factory = protocol.Factory.forProtocol(EchoUpstream)
        factory.noisy = False
        self.upstream = reactor.listenTCP(
            9009, factory, interface=f"{self.block}.2"
        )
        for node in self.nodes:
            node.start()

    @defer.inlineCallbacks
    def tearDown(self):
        for node in self.nodes:
            yield node.stop()
        yield self.upstream.stopListening()
        for connection in tuple(EchoUpstream.open):
            connection.transport.abortConnection()
        # Closed connections are reported in the next reactor iterations.
        yield task.deferLater(reactor, 0.05)

    def make_node(self, index):
        ip = f"{self.block}.{index}"
        return nodes.make_node(
            reactor,
            settings.HostSettings(
                host=f"host-{index}",
                ip=ip,
                failure_domain="north",
                failure_domains={"north": "r"},
                caller_address=f"{ip}:9001",
                readiness_address=f"{ip}:9002",
                announcement_address=f"{ip}:9003",
                peer_port=9004,
                metrics_port=9005,
                upstream_address=f"{ip}:9009",
                service="wash",
                heartbeat_interval_s=1.5,
                store_address="unused:1",
                bounds=settings.Bounds(grace_s=0.7),
                first_start=True,
            ),
            daemon.FORMATS,
            self.rows,
            self.log,
        )

    def send(self, index, port, method, path, headers=(), body=None):
        """Returns status and body; runs a blocking client in a thread."""

        def exchange():
            connection = http.client.HTTPConnection(
                f"{self.block}.{index}", port, timeout=TIMEOUT_S
            )
            try:
                connection.request(method, path, body, dict(headers))
                answer = connection.getresponse()
                return answer.status, answer.read()
            finally:
                connection.close()

        return threads.deferToThread(exchange)

    def send_read(self, index=1, key="k1"):
        headers = {
            "Host": "one",
            "X-Cyclamendale-Attempt-Id": "r1",
            "X-Cyclamendale-Deadline-Ms": "5000",
            "X-Cyclamendale-Credential": key,
        }
        return self.send(index, 9001, "GET", "/read/x", headers)

    def announce(self, state="ready", sequence=1):
        heartbeat = {"service": "wash", "address": f"{self.block}.2:9009",
                "slots": 10, "state": state, "sequence": sequence,
                "born": 5, "cold_left_s": 0}  # fmt: skip
        return self.send(
            2, 9003, "POST", "/-/Instances.Heartbeat/i-1",
            body=json.dumps(heartbeat),
        )  # fmt: skip

    @defer.inlineCallbacks
    def until_status(self, send, expected):
        """Repeats a request until it returns the expected status."""
        for _ in range(int(TIMEOUT_S / 0.1)):
            status, body = yield send()
            if status == expected:
                return body
            yield task.deferLater(reactor, 0.1)
        self.fail(f"status is still {status}")

    def publish(self, document):
        self.rows.put(manifest.TABLE, manifest.KEY, document)

    def get_readiness(self, index):
        return self.send(index, 9002, "GET", "/-/readiness")

    def test_a_start_says_at_which_address_others_name_the_node(self):
        # Lines of other nodes name hosts by address; no line told whose it is.
        starts = [
            fields for event, fields in self.log.lines if event == "start"
        ]
        self.assertEqual(
            [f"{self.block}.1:9004", f"{self.block}.2:9004"],
            [fields["address"] for fields in starts],
        )

    @defer.inlineCallbacks
    def test_a_request_is_served_by_the_upstream_of_another_host(self):
        status, _ = yield self.get_readiness(1)
        self.assertEqual(503, status)
        status, _ = yield self.send_read()
        self.assertEqual(503, status)
        self.publish(manifest_bytes())
        for index in (1, 2):
            yield self.until_status(
                lambda index=index: self.get_readiness(index), 200
            )
        status, _ = yield self.announce()
        self.assertEqual(200, status)
        body = yield self.until_status(self.send_read, 200)
        lines = json.loads(body)
        self.assertIn("X-Cyclamendale-Tenant-Id: big", lines)
        self.assertIn("X-Cyclamendale-Caller-Service: wash", lines)
        self.assertIn("X-Cyclamendale-Expected-Instance: i-1", lines)
        self.assertNotIn("k1", body.decode())
        status, _ = yield self.send_read(key="other")
        self.assertEqual(401, status)
        _, metrics = yield self.send(1, 9005, "GET", "/metrics")
        self.assertIn(b'outcome="answered",why="2xx"', metrics)

    @defer.inlineCallbacks
    def test_a_draining_upstream_gets_no_request_once_confirmed(self):
        self.publish(manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        status, _ = yield self.announce("draining", 2)
        self.assertEqual(200, status)
        status, _ = yield self.send_read()
        self.assertEqual(503, status)

    @defer.inlineCallbacks
    def test_a_request_is_refused_while_a_stopping_node_closes(self):
        # It was passed on and lost its connection: its caller got a 502.
        self.publish(manifest_bytes())
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
        runs = EchoUpstream.runs
        response = yield threads.deferToThread(self.exchange_raw, caller)
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Retry-After:", response)
        self.assertEqual(runs, EchoUpstream.runs)
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
        stopped = node.stop().addTimeout(TIMEOUT_S, reactor)
        yield stopped
        yield defer.gatherResults([stop_reporter(), close_peers()])
        self.nodes.remove(node)

    @defer.inlineCallbacks
    def test_a_part_that_fails_at_a_stop_cuts_no_request(self):
        # The process ended at once.
        self.publish(manifest_bytes())
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
                node._settings, bounds=settings.Bounds(grace_s=TIMEOUT_S)
            )
        )

    @defer.inlineCallbacks
    def until_stopped(self):
        for _ in range(int(TIMEOUT_S / 0.01)):
            if "stopped" in self.log.events():
                return
            yield task.deferLater(reactor, 0.01)
        self.fail("the node still serves")

    @defer.inlineCallbacks
    def test_a_kept_connection_is_served_while_its_node_stops(self):
        # It was closed at once, and a request that crossed the close was lost.
        self.publish(manifest_bytes())
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
        self.publish(manifest_bytes())
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
        self.publish(manifest_bytes())
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
        self.publish(manifest_bytes())
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
        self.assertGreater(len(head) + rest_bytes, LARGE_BYTES)
        yield stopped
        self.nodes.remove(node)

    def read_all(self, caller):
        return sum(map(len, iter(lambda: caller.recv(1 << 20), b"")))

    def connect(self):
        return socket.create_connection((f"{self.block}.1", 9001), TIMEOUT_S)

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

    @defer.inlineCallbacks
    def test_a_valid_change_is_applied_and_an_invalid_one_is_not(self):
        self.publish(manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        self.publish(manifest_bytes(9)[:-9])
        self.publish(manifest_bytes(8, service="dry"))
        # No upstream of the other service was announced.
        yield self.until_status(self.send_read, 503)
        self.assertIn("configuration-invalid", self.log.events())
        self.assertNotIn("defect", self.log.events())
