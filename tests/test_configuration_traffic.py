"""Tests of the traffic that spreads configurations."""

from __future__ import annotations

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from cyclamendale.configuration import documents
from cyclamendale.configuration import polling
from cyclamendale.peer import kinds
from cyclamendale.store import faults
from cyclamendale.store import table
from tests import test_configuration_controller as controller_cases


def encoded_size_bytes(message):
    buffer = TTransport.TMemoryBuffer()
    message.write(TBinaryProtocol.TBinaryProtocolAccelerated(buffer))
    return len(buffer.getvalue())


class TrafficTest(controller_cases.ControllerTest):
    """Messages between nodes, and reads from the platform."""

    sizes = (8, 8)

    def setUp(self):
        super().setUp()
        self.sent = []
        peers = self.cluster.network.peers
        for peer in peers.values():
            for kind, handler in list(peer._handlers.items()):
                peer._handlers[kind] = self.recording(kind, handler)

    def recording(self, kind, handler):
        def handle(message):
            reply = handler(message)
            self.sent.append((kind, message, reply))
            return reply

        return handle

    def test_only_changed_files_are_sent(self):
        files = {f"f{i}": b"%d" % i * 400 for i in range(50)}
        self.settle(self.publish(0, files))
        self.sent.clear()
        self.settle(self.publish(1, {"f7": b"changed"}, {"f8"}))
        fetch = kinds.MessageKind.CONFIGURATION_FETCH
        replies = [reply for kind, _, reply in self.sent if kind is fetch]
        self.assertNotEqual([], replies)
        for reply in replies:
            names = [change.file for change in reply.changes]
            self.assertEqual(["f7", "f8"], names)

    def test_a_poller_reads_only_what_changed(self):
        files = {f"f{i:03}": b"%d" % i * 400 for i in range(200)}
        self.settle(self.publish(0, files))
        self.cluster.network.lose = lambda *_: True
        read = []
        get = self.platform.objects.get
        self.platform.objects.get = lambda d: read.append(d) or get(d)
        for version in (1, 2):
            self.publish(version, {"f007": b"%d" % version}, {f"f1{version}0"})
            read.clear()
            self.cluster.advance(3)
            versions = {node.version for node in self.cluster.all}
            self.assertIn(version + 1, versions)
            changed = documents.digest_of(b"%d" % version)
            self.assertEqual({changed}, set(read))

    def test_wrong_version_rows_cost_only_a_manifest(self):
        self.settle(self.publish(0, {"a": b"1"}))
        first = documents.version_key(1)
        misleading = self.platform.rows.read(first).value
        for version, value in ((1, None), (2, misleading), (3, b"{}")):
            self.publish(version, {"a": b"%d" % (version + 1)})
            write = table.Write(
                documents.version_key(version + 1), 1, value, value is None
            )
            self.platform.rows.transact([write])
            took_s = self.settle(version + 1)
            self.assertLess(took_s, controller_cases.SPREAD_TARGET_S)
            snapshot = self.node.controller._in_force.snapshot
            manifest = documents.encode(snapshot.folder.manifest)
            self.assertEqual(snapshot.digest, documents.digest_of(manifest))

    def test_a_digest_exchange_is_small(self):
        self.settle(self.publish(0, {"a": b"1"}))
        self.cluster.advance(3)
        digest = kinds.MessageKind.CONFIGURATION_DIGEST
        for kind, request, reply in self.sent:
            if kind is digest:
                total = encoded_size_bytes(request) + encoded_size_bytes(reply)
                self.assertLessEqual(total, 96)

    def test_a_large_folder_is_sent_in_pages(self):
        files = {f"f{i:03}": b"%03d" % i * 700 for i in range(300)}
        version = self.publish(0, files)
        self.settle(version)
        self.cluster.cut_from_platform("domain-0", "domain-1")
        self.sent.clear()
        self.node.start()
        self.cluster.advance(5)
        self.assertEqual(version, self.node.version)
        sizes = [
            encoded_size_bytes(reply)
            for kind, _, reply in self.sent
            if kind is kinds.MessageKind.CONFIGURATION_FETCH
        ]
        self.assertLess(max(sizes), 100_000)

    def test_few_nodes_poll_the_platform(self):
        reads = self.reads_per_s(60)
        fallback = len(self.cluster.all) * 2 / polling.FALLBACK_POLL_INTERVAL_S
        expected = 2 * polling.POLLERS_PER_DOMAIN + fallback
        self.assertLessEqual(reads, 1.2 * expected)

    def test_an_unreachable_platform_is_polled_rarely(self):
        self.cluster.cut_from_platform("domain-0", "domain-1")
        self.cluster.advance(10)
        reads = self.reads_per_s(60)
        often = len(self.cluster.all) * 2 / polling.UNCONFIRMED_POLL_INTERVAL_S
        expected = 2 * polling.POLLERS_PER_DOMAIN + often
        self.assertLessEqual(reads, 1.2 * expected)

    def reads_per_s(self, duration_s):
        for node in self.cluster.all:
            node.injector.operation_counts.clear()
        self.cluster.advance(duration_s)
        total = sum(
            node.injector.operation_counts[faults.Operation.READ]
            for node in self.cluster.all
        )
        return total / duration_s
