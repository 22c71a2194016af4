"""Two complete nodes in one process, with an upstream that echoes."""

from __future__ import annotations

import http.client
import itertools
import json
import os

import msgspec
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads
from twisted.trial import unittest

from cyclamendale.fleet import node as nodes
from cyclamendale.fleet import settings
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


class FleetNodeCase(unittest.TestCase):
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
