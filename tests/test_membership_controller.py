"""Tests of first contact, joining, leaving and the UDP port."""

from __future__ import annotations

import random

from expression import Error
from expression import Ok
import testtools
from testtools import twistedsupport
from twisted.internet import defer
from twisted.internet import reactor as real_reactor
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.controllers import membership
from cyclamendale.membership import contact_rows
from cyclamendale.membership import directory
from cyclamendale.membership import udp
from cyclamendale.store import table as tables
from tests.support import fake_members
from tests.support import fake_network

State = directory.MemberState


class FakeTable(tables.Table):
    """Rows in memory; while `error` is set, every operation fails."""

    def __init__(self):
        self.rows = {}
        self.error = None
        self.writes = 0

    def read(self, key):
        return self._done(Ok(self.rows.get(key)))

    def list_rows(self, prefix, limit):
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return self._done(Ok([self.rows[key] for key in keys[:limit]]))

    def insert_if_absent(self, key, value):
        return self.compare_and_set(key, tables.ABSENT_VERSION, value)

    def compare_and_set(self, key, expected_version, value):
        self.writes += 1
        return self._done(self._write(key, expected_version, value))

    def transact(self, writes):
        for write in writes:
            if not self.error and self._version(write) is not None:
                del self.rows[write.key]
        return self._done(Ok([]))

    def _version(self, write):
        row = self.rows.get(write.key)
        return row if row and row.version == write.expected_version else None

    def _write(self, key, expected_version, value):
        if self.error:
            return None
        held = self.rows.get(key)
        if (held.version if held else 0) != expected_version:
            kind = tables.TableErrorKind.CONFLICT
            return Error(tables.TableError(kind, key, held))
        self.rows[key] = tables.Row(key, value, expected_version + 1)
        return Ok(self.rows[key])

    def _done(self, result):
        failed = Error(tables.TableError(self.error)) if self.error else None
        return defer.succeed(failed or result)


class FakePort(udp.DatagramPort):
    """A port that delivers its datagrams to the other fake ports."""

    def __init__(self, ports, clock, address):
        self._ports, self._clock, self._address = ports, clock, address

    def open(self, receive):
        self._ports[self._address] = receive

    def transmit(self, receiver, data):
        self._clock.call_later(0.001, self._deliver, receiver, data)

    def close(self):
        del self._ports[self._address]
        return defer.succeed(None)

    def _deliver(self, receiver, data):
        self._ports.get(receiver, len)(data)


class ControllerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = fake_members.VirtualReactor()
        self.clock = clocks.ReactorClock(self.reactor)
        self.table = FakeTable()
        self.network = fake_network.FakeNetwork(self.clock)
        self.ports = {}
        self.logs = {}

    def start(self, number, domain="a"):
        address = ids.PeerAddress(f"10.0.0.{number}:700")
        own = directory.Member(
            ids.NodeId(f"{address}#{len(self.logs):x}"),
            address,
            ids.FailureDomainName(domain),
            1,
        )
        log = events.EventLog(own.node, events.HybridLogicalClock(self.clock))
        self.logs[address] = log
        controller = membership.make_membership_controller(
            self.clock,
            random.Random(number),
            own,
            self.table,
            self.network.add_peer(address),
            log,
            b"secret",
            FakePort(self.ports, self.clock, address),
        )
        controller.start()
        return controller

    def known(self, controller):
        return {member.address for member in controller.directory.members()}

    def changes(self, number):
        log = self.logs[f"10.0.0.{number}:700"]
        return [event.fields["state"] for event in log.recorded_events()]

    def test_nodes_find_each_other_through_the_table(self):
        nodes = [self.start(1), self.start(2), self.start(3, "b")]
        self.reactor.advance(10)
        for node in nodes:
            self.assertEqual(3, len(self.known(node)))
        self.assertEqual(["alive", "alive"], self.changes(1))

    def test_a_node_that_starts_while_the_table_is_down_joins_later(self):
        self.start(1)
        self.reactor.advance(5)
        for kind in (
            tables.TableErrorKind.UNAVAILABLE,
            tables.TableErrorKind.OUTCOME_UNKNOWN,
            tables.TableErrorKind.MALFORMED,
        ):
            self.table.error = kind
            late = self.start(2)
            self.reactor.advance(200)
            self.assertEqual(1, len(self.known(late)))
            self.table.error = None
            self.reactor.advance(400)
            self.assertEqual(2, len(self.known(late)))
            late.stop()
            self.reactor.advance(2)

    def test_members_stay_known_while_the_table_is_down(self):
        nodes = [self.start(1), self.start(2)]
        self.reactor.advance(10)
        self.table.error = tables.TableErrorKind.UNAVAILABLE
        self.reactor.advance(1_200)
        self.table.error = None
        self.reactor.advance(600)
        self.assertEqual([2, 2], [len(self.known(node)) for node in nodes])
        self.assertEqual(2, len(self.table.rows))

    def test_a_node_writes_about_once_a_minute(self):
        self.start(1)
        self.reactor.advance(3_600)
        self.assertLessEqual(self.table.writes, 80)
        self.assertGreaterEqual(self.table.writes, 48)

    def test_a_graceful_stop_spreads_at_once_and_removes_the_row(self):
        first, second = self.start(1), self.start(2)
        self.reactor.advance(10)
        stopped = []
        second.stop().addCallback(stopped.append)
        self.reactor.advance(0.9)
        self.assertEqual(1, len(self.known(first)))
        self.reactor.advance(1)
        self.assertEqual([None], stopped)
        self.assertEqual(["alive", "left"], self.changes(1))
        self.assertEqual(1, len(self.table.rows))

    def test_a_stop_completes_even_if_the_table_never_answers(self):
        node = self.start(1)
        self.reactor.advance(10)
        self.table.transact = lambda writes: defer.Deferred()
        stopped = []
        node.stop().addCallback(stopped.append)
        self.reactor.advance(2)
        self.assertEqual([None], stopped)

    def test_stale_rows_are_deleted_and_unreadable_ones_kept(self):
        self.start(1)
        newer = b'{"format": 2, "node": "x"}'
        for name, value in (("gone", None), ("newer", newer), ("bad", b"\xff")):
            key = contact_rows.row_key("a", f"{name}:1")
            value = value or b'{"format": 1, "node": "x"}'
            self.table.rows[key] = tables.Row(key, value, 1)
        self.reactor.advance(contact_rows.STALE_S - 10)
        self.assertIn("members/a/gone:1", self.table.rows)
        self.reactor.advance(800)
        left = {key.rpartition("/")[2] for key in self.table.rows}
        self.assertEqual({"10.0.0.1:700", "newer:1", "bad:1"}, left)

    def test_the_row_of_an_unreachable_node_that_writes_is_kept(self):
        self.start(1)
        key = contact_rows.row_key("a", "far:1")
        for minute in range(30):
            self.table.rows[key] = tables.Row(
                key, b'{"format": 1, "node": "x"}', minute + 1
            )
            self.reactor.advance(60)
            self.assertIn(key, self.table.rows)

    def test_known_members_are_not_contacted_again(self):
        self.start(1)
        self.start(2)
        self.reactor.advance(30)
        peers = self.network.peers.values()
        before = [peer.requests_sent for peer in peers]
        self.reactor.advance(3_600)
        self.assertEqual(before, [peer.requests_sent for peer in peers])

    def test_a_node_writes_its_row_again_after_it_was_deleted(self):
        self.start(1)
        self.reactor.advance(10)
        self.table.rows.clear()
        self.reactor.advance(200)
        self.assertEqual(1, len(self.table.rows))

    def test_the_upstream_and_leaving_are_spread(self):
        first, second = self.start(1), self.start(2)
        self.reactor.advance(10)
        second.set_upstream(fake_members.announcement())
        self.reactor.advance(1)
        targets = first.directory.targets("orders")
        self.assertEqual(["10.0.0.2:700"], [t.address for t in targets])
        second.set_leaving()
        self.reactor.advance(1)
        self.assertEqual((), first.directory.targets("orders"))


class UdpPortTest(testtools.TestCase):
    run_tests_with = twistedsupport.AsynchronousDeferredRunTest.make_factory(
        timeout=20
    )

    @defer.inlineCallbacks
    def test_datagrams_pass_over_loopback(self):
        received = defer.Deferred()
        one, other = (
            udp.UdpPort(real_reactor, "127.0.0.1", 0) for _ in range(2)
        )
        one.open(len)
        other.open(lambda data: received.called or received.callback(data))
        one.transmit("not an address", b"lost")
        one.transmit(f"127.0.0.1:{other.port}", b"x" * 60_000_000)
        self.assertEqual(2, one.failures)
        again = task.LoopingCall(
            one.transmit, f"127.0.0.1:{other.port}", b"hello"
        )
        again.start(0.05)
        data = yield received
        again.stop()
        yield one.close()
        yield other.close()
        self.assertEqual(b"hello", data)
