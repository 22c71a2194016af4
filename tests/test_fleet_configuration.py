"""Watching the store for new configurations while it falls silent."""

from __future__ import annotations

import random

from expression import Error
from expression import Ok
import testtools
from twisted.internet import defer
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.fleet import configuration
from cyclamendale.fleet import hosts
from cyclamendale.intents import model
from cyclamendale.peer import network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.platform import store
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows
from tests.support import fake_log

APPLY_S = 2.0
"""Time in which a confirmed version has to be in force."""


class SilentRows(watched_rows.WatchedRows):
    """One row; calls that begin or wait in an outage get no answer at all."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.is_silent = False
        self.is_lost = False
        self.calls = 0
        self.watchers = []

    def set_silent(self, is_silent):
        self.is_silent = is_silent
        if is_silent:
            self.watchers.clear()

    def lose_connections(self):
        """Ends all watches without an answer; later ones are answered."""
        for lost in self.watchers:
            lost.errback(ConnectionError())
        self.watchers.clear()

    def put(self, version):
        self.version = version
        for changed in self.watchers:
            changed.callback(None)
        self.watchers.clear()

    async def read(self, table):
        return await self.answer(0, 0.0)

    async def watch(self, table, after_version, wait_s):
        return await self.answer(after_version, wait_s)

    async def answer(self, after_version, wait_s):
        self.calls += 1
        if self.is_silent:
            return await self.time_out(wait_s)
        if self.version <= after_version and wait_s > 0:
            changed = defer.Deferred()
            self.watchers.append(changed)
            ended = load_limit.sleep(self.clock, wait_s)
            silent = load_limit.sleep(
                self.clock, wait_s + store.REQUEST_TIMEOUT_S
            )
            first = [changed, silent]
            ended.addCallback(
                lambda _: changed in self.watchers and changed.callback(None)
            )
            try:
                await defer.DeferredList(
                    first,
                    fireOnOneCallback=True,
                    fireOnOneErrback=True,
                    consumeErrors=True,
                )
            except defer.FirstError:
                self.is_lost = True
            if self.is_lost or not changed.called:
                self.is_lost = False
                return Error(
                    watched_rows.RowsError(
                        watched_rows.RowsErrorKind.OUTCOME_UNKNOWN
                    )
                )
            if changed in self.watchers:
                self.watchers.remove(changed)
        document = b"%d" % self.version
        row = watched_rows.TableRow("k", document, self.version)
        rows = (row,) if self.version > after_version else ()
        return Ok(watched_rows.Rows(rows, self.version))

    async def time_out(self, wait_s):
        await load_limit.sleep(self.clock, wait_s + store.REQUEST_TIMEOUT_S)
        return Error(
            watched_rows.RowsError(watched_rows.RowsErrorKind.OUTCOME_UNKNOWN)
        )

    async def write(self, table, key, value, expected_version):
        raise AssertionError("not used")

    async def remove(self, table, key, expected_version):
        raise AssertionError("not used")


class FakePeers:
    def serve(self, kind, request_type, handler):
        pass


class SilentPeers(FakePeers):
    """Peers whose connections are silent until they are replaced."""

    def __init__(self, clock, is_idle):
        self.clock = clock
        self.is_idle = is_idle
        self.is_silent = True

    async def time_out(self, timeout_s):
        await load_limit.sleep(self.clock, timeout_s)
        return Error(network.PeerError(network.PeerErrorKind.TIMEOUT, "p"))

    def request(self, peer, kind, message, reply_type, timeout_s):
        if self.is_silent:
            return defer.Deferred.fromCoroutine(self.time_out(timeout_s))
        return defer.succeed(
            Ok(ttypes.ConfigurationDocument(version=2, document=b"2"))
        )

    def discard_idle_connection(self, peer):
        if self.is_idle:
            self.is_silent = False
        return self.is_idle


def decode_version(document):
    return Ok(model.Configuration(version=int(document)))


def make_sync(clock, rows, peers, seed=1):
    """Returns the configuration of a node and what keeps it up to date."""
    log = fake_log.FakeLog()
    active = configuration.ActiveConfiguration(decode_version, log)
    sync = configuration.ConfigurationSync(
        clock, random.Random(seed), active, rows, ("op", "k"),
        hosts.HostView(clock, "10.0.0.1:7", "north"), peers, log,
    )  # fmt: skip
    return active, sync


class SilentPeerConnectionTest(testtools.TestCase):
    """A connection between two nodes is silent when a version is known."""

    # The fetch was repeated on the same connection for as long as nothing
    # else was sent on it.
    def test_the_version_is_fetched_on_a_new_connection(self):
        reactor = task.Clock()
        clock = clocks.ReactorClock(reactor)
        active, sync = make_sync(
            clock, SilentRows(clock), SilentPeers(clock, is_idle=True)
        )
        sync.learn_version(2, "10.0.0.2:7")
        reactor.pump([0.05] * round(APPLY_S / 2 / 0.05))
        self.assertEqual(2, active.version)

    def test_requests_in_flight_keep_their_connection(self):
        reactor = task.Clock()
        clock = clocks.ReactorClock(reactor)
        peers = SilentPeers(clock, is_idle=False)
        active, sync = make_sync(clock, SilentRows(clock), peers)
        sync.learn_version(2, "10.0.0.2:7")
        reactor.pump([0.05] * round(APPLY_S / 0.05))
        self.assertEqual(0, active.version)
        peers.is_silent = False
        sync.learn_version(2, "10.0.0.2:7")
        self.assertEqual(2, active.version)


class LostWatchTest(testtools.TestCase):
    # A watcher paused after a lost connection as after a refusal.
    def test_a_watcher_asks_again_at_once(self):
        reactor = task.Clock()
        clock = clocks.ReactorClock(reactor)
        rows = SilentRows(clock)
        active, sync = make_sync(clock, rows, FakePeers())
        sync.start(is_first_start=False)
        reactor.pump([0.05] * 10)
        rows.version = 2
        rows.lose_connections()
        self.assertEqual(2, active.version)


class SilentStoreTest(testtools.TestCase):
    """What one watcher knows, the others of the fleet learn from reports."""

    WATCHERS = 6
    SPREAD_S = 1.0
    """Time in which a version spreads from any watcher."""

    scenarios = [
        (f"outage from {start_s} s for {length_s} s",
         {"start_s": start_s, "length_s": length_s})
        for start_s in (4.1, 5.3, 6.5, 7.9)
        for length_s in (1.0, 2.4, 5.2, 9.7, 14.4)
    ]  # fmt: skip

    def start_watcher(self, clock, rows, seed):
        active, sync = make_sync(clock, rows, FakePeers(), seed)
        sync.start(is_first_start=False)
        return active

    def test_a_version_after_an_outage_is_in_force_in_time(self):
        reactor = task.Clock()
        clock = clocks.ReactorClock(reactor)
        rows = SilentRows(clock)
        watchers = [
            self.start_watcher(clock, rows, seed)
            for seed in range(self.WATCHERS)
        ]

        def run_for(duration_s):
            reactor.pump([0.05] * round(duration_s / 0.05))

        run_for(self.start_s)
        calls = rows.calls
        rows.set_silent(True)
        run_for(self.length_s)
        self.assertLessEqual(
            rows.calls - calls, self.WATCHERS * (1 + self.length_s)
        )
        rows.set_silent(False)
        run_for(1.0)
        rows.put(2)
        run_for(APPLY_S - self.SPREAD_S)
        self.assertEqual(2, max(active.version for active in watchers))
