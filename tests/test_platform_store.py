"""Contract tests of the platform's store against a fake with faults."""

from __future__ import annotations

import socket

import testscenarios
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import tcp
from twisted.trial import unittest

from cyclamendale import clocks
from cyclamendale.platform import store
from cyclamendale.store import table
from cyclamendale.store import watched_rows
from tests.support import platform_store

KINDS = watched_rows.RowsErrorKind
FAULT = platform_store.Fault
LOOPBACK = "127.0.0.1"


class StoreCase(testscenarios.WithScenarios, unittest.TestCase):
    timeout = 20

    def setUp(self):
        super().setUp()
        self.store = platform_store.PlatformStore()
        self.port = reactor.listenTCP(
            0, platform_store.make_site(self.store), interface=LOOPBACK
        )
        # A virtual clock, so that time-outs don't depend on the host's load.
        # Connection attempts time out on the reactor's clock; a stall of the
        # process must not end them.
        self.patch(store, "CONNECT_TIMEOUT_S", self.timeout)
        self.clock = task.Clock()
        self.rows = store.make_rows(
            reactor,
            clocks.ReactorClock(self.clock),
            f"{LOOPBACK}:{self.port.getHost().port}",
        )

    @defer.inlineCallbacks
    def tearDown(self):
        yield self.call(self.rows.close())
        yield self.port.stopListening()
        yield task.deferLater(reactor, 0.02)

    def call(self, coroutine):
        return defer.Deferred.fromCoroutine(coroutine)


class MovedStoreTest(StoreCase):
    """A changed address of the store was ignored."""

    def setUp(self):
        super().setUp()
        self.other = platform_store.PlatformStore()
        port = reactor.listenTCP(
            0, platform_store.make_site(self.other), interface=LOOPBACK
        )
        self.addCleanup(port.stopListening)
        self.other_address = f"{LOOPBACK}:{port.getHost().port}"
        for number in range(3):
            self.store.write("t", "k", b"%d" % number)
        self.other.write("t", "k", b"other")

    @defer.inlineCallbacks
    def test_a_read_goes_to_the_other_store(self):
        yield self.call(self.rows.read("t"))
        self.rows.move(self.other_address)
        found = yield self.call(self.rows.read("t"))
        self.assertEqual(
            (1, b"other"), (found.ok.version, found.ok.rows[0].value)
        )

    @defer.inlineCallbacks
    def test_a_request_in_flight_ends(self):
        self.store.fault = FAULT.SILENT
        watched = self.call(self.rows.watch("t", 3, 15.0))
        yield task.deferLater(reactor, 0.05)
        self.assertFalse(watched.called)
        self.rows.move(self.other_address)
        result = yield watched
        self.assertEqual(KINDS.OUTCOME_UNKNOWN, result.error.kind)

    @defer.inlineCallbacks
    def test_versions_of_the_first_store_are_void(self):
        # Changes of a store with a shorter history would be missed.
        first = yield self.call(self.rows.read("t"))
        self.rows.move(self.other_address)
        result = yield self.call(self.rows.watch("t", first.ok.version, 0.5))
        self.assertEqual(KINDS.HISTORY_GONE, result.error.kind)
        found = yield self.call(self.rows.read("t"))
        self.other.write("t", "k", b"new")
        result = yield self.call(self.rows.watch("t", found.ok.version, 0.5))
        self.assertEqual(2, result.ok.version)


class RowsTest(StoreCase):
    @defer.inlineCallbacks
    def test_a_written_row_is_read(self):
        written = yield self.call(self.rows.write("t", "k", b"v", None))
        self.assertEqual(1, written.ok.version)
        found = yield self.call(self.rows.read("t"))
        self.assertEqual((watched_rows.TableRow("k", b"v", 1),), found.ok.rows)

    @defer.inlineCallbacks
    def test_writing_an_existing_row_as_new_conflicts(self):
        self.store.write("t", "k", b"v")
        written = yield self.call(
            self.rows.write("t", "k", b"w", table.ABSENT_VERSION)
        )
        self.assertEqual(KINDS.CONFLICT, written.error.kind)

    @defer.inlineCallbacks
    def test_a_row_is_removed_only_at_the_expected_version(self):
        self.store.write("t", "k", b"v")
        self.store.write("t", "k", b"w")
        removed = yield self.call(self.rows.remove("t", "k", 1))
        self.assertEqual(KINDS.CONFLICT, removed.error.kind)
        removed = yield self.call(self.rows.remove("t", "k", 2))
        self.assertTrue(removed.is_ok())
        found = yield self.call(self.rows.read("t"))
        self.assertEqual((), found.ok.rows)

    @defer.inlineCallbacks
    def test_all_pages_are_read(self):
        for index in range(1203):
            self.store.write("t", f"k{index:04}", b"v")
        found = yield self.call(self.rows.read("t"))
        self.assertEqual(1203, len(found.ok.rows))
        self.assertEqual(1203, len({row.key for row in found.ok.rows}))

    @defer.inlineCallbacks
    def test_a_watch_returns_the_changed_rows(self):
        self.store.write("t", "a", b"1")
        self.store.write("t", "b", b"2")
        found = yield self.call(self.rows.watch("t", 1, 0.5))
        self.assertEqual(["b"], [row.key for row in found.ok.rows])
        self.assertEqual(2, found.ok.version)


class FaultTest(StoreCase):
    scenarios = testscenarios.multiply_scenarios(
        [
            ("read", {"make": lambda rows: rows.read("t")}),
            ("watch", {"make": lambda rows: rows.watch("t", 0, 0.5)}),
            ("write", {"make": lambda rows: rows.write("t", "k", b"", None)}),
            ("remove", {"make": lambda rows: rows.remove("t", "k", 1)}),
        ],
        [
            ("busy", {"fault": FAULT.BUSY, "kind": KINDS.UNAVAILABLE}),
            ("many", {"fault": FAULT.RATE_LIMITED, "kind": KINDS.UNAVAILABLE}),
            ("reset", {"fault": FAULT.RESET, "kind": KINDS.OUTCOME_UNKNOWN}),
            ("silent", {"fault": FAULT.SILENT,
                        "kind": KINDS.OUTCOME_UNKNOWN}),
            ("lost", {"fault": FAULT.ANSWER_LOST,
                      "kind": KINDS.OUTCOME_UNKNOWN}),
            ("compacted", {"fault": FAULT.COMPACTED,
                           "kind": KINDS.HISTORY_GONE}),
            ("garbage", {"fault": FAULT.GARBAGE, "kind": KINDS.MALFORMED}),
            ("refused", {"fault": FAULT.REFUSED, "kind": KINDS.MALFORMED}),
        ],
    )  # fmt: skip

    @defer.inlineCallbacks
    def test_gives_a_typed_error(self):
        self.store.fault = self.fault
        result = self.call(self.make(self.rows))
        for _ in range(200):
            if result.called:
                break
            yield task.deferLater(reactor, 0.01)
            if self.fault in (FAULT.SILENT, FAULT.ANSWER_LOST):
                self.clock.advance(0.1)
        found = yield result
        self.assertEqual(self.kind, found.error.kind)

    @defer.inlineCallbacks
    def test_the_next_request_succeeds(self):
        yield self.test_gives_a_typed_error()
        self.store.fault = None
        self.store.version = 0
        self.store.write("t", "k", b"")
        found = yield self.call(self.make(self.rows))
        self.assertTrue(found.is_ok())


class SilentConnectionsTest(StoreCase):
    """Connections go silent without a reset while new ones work."""

    WAITS_S = (0.5, 0.6)

    @defer.inlineCallbacks
    def wait_for(self, result, step_s=0.1):
        for _ in range(100):
            yield task.deferLater(reactor, 0.01)
            if result.called:
                break
            self.clock.advance(step_s)
        found = yield result
        return found

    # A watch for each wait had connections of its own, which timed out one
    # after the other.
    @defer.inlineCallbacks
    def test_only_one_watch_times_out(self):
        self.store.write("t", "k", b"v")
        for wait_s in self.WAITS_S:
            yield self.call(self.rows.watch("t", 0, wait_s))
        yield self.call(self.rows.read("t"))
        self.store.silence_connections()
        watch = self.call(self.rows.watch("t", 0, self.WAITS_S[0]))
        found = yield self.wait_for(watch)
        self.assertEqual(KINDS.OUTCOME_UNKNOWN, found.error.kind)
        for wait_s in self.WAITS_S:
            found = yield self.call(self.rows.watch("t", 0, wait_s))
            self.assertTrue(found.is_ok())

    # A watch on a silent connection was given up only after its wait.
    @defer.inlineCallbacks
    def test_keep_alive_ends_a_silent_watch(self):
        self.store.fault = FAULT.SILENT
        watch = self.call(self.rows.watch("t", 0, 4.0))
        while not self.store.channels:
            yield task.deferLater(reactor, 0.01)
        port = self.port.getHost().port
        handle = next(
            each.getHandle()
            for each in reactor.getReaders()
            if isinstance(each, tcp.Client) and each.getPeer().port == port
        )
        idle_s, interval_s, probes = (
            handle.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
            )
        )
        is_on = handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        yield self.wait_for(watch, 1.0)
        self.assertTrue(is_on)
        self.assertLessEqual(idle_s + interval_s * probes, 2)
