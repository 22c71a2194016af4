"""Fleets whose store serves only some nodes, or is away."""

from __future__ import annotations

import collections

from expression import Error
from expression import Ok
import testtools
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale.fleet import configuration
from cyclamendale.fleet import watch_role
from cyclamendale.intents import model
from cyclamendale.peer import network as peer_network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows
from tests.support import report_fleet

APPLY_S = 2.0
"""Time in which a confirmed version has to be in force."""

STRETCH_S = 5.0
"""Longer time that is allowed while the store turns some nodes away."""

POLL_S = 0.02


class Store:
    """One row. Nodes in `refused` are turned away."""

    def __init__(self):
        self.version = 1
        self.refused = set()
        self.calls = collections.Counter()


class NodeRows(watched_rows.WatchedRows):
    def __init__(self, store, clock, address):
        self.store, self.clock, self.address = store, clock, address

    async def read(self, table):
        return await self.watch(table, 0, 0.0)

    async def watch(self, table, after_version, wait_s):
        store = self.store
        store.calls[self.address] += 1
        ends_s = self.clock.now_s() + wait_s
        while True:
            if self.address in store.refused:
                return Error(
                    watched_rows.RowsError(
                        watched_rows.RowsErrorKind.UNAVAILABLE
                    )
                )
            if store.version > after_version or self.clock.now_s() >= ends_s:
                document = b"%d" % store.version
                row = watched_rows.TableRow("k", document, store.version)
                return Ok(watched_rows.Rows((row,), store.version))
            await load_limit.sleep(self.clock, POLL_S)

    async def write(self, table, key, value, expected_version):
        raise AssertionError("not used")

    async def remove(self, table, key, expected_version):
        raise AssertionError("not used")


class Peers:
    """Fetches documents from the nodes that can be reached."""

    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address

    def serve(self, kind, request_type, handler):
        pass

    def discard_idle_connection(self, peer):
        return False

    def request(self, peer, kind, message, reply_type, timeout_s):
        if not self.fleet.can_reach(self.address, peer):
            error = peer_network.PeerErrorKind.UNREACHABLE
            return defer.succeed(
                Error(peer_network.PeerError(error, self.address))
            )
        active = self.fleet.active[peer]
        return defer.succeed(
            Ok(
                ttypes.ConfigurationDocument(
                    version=active.version, document=active.document
                )
            )
        )


class Fleet:
    """Nodes with their configuration on a simulated network."""

    def __init__(self, sizes):
        self.network = report_fleet.Network(sizes)
        self.store = Store()
        self.active = {}
        for address, node in self.network.nodes.items():
            clock = clocks.ReactorClock(self.network.reactor)
            active = configuration.ActiveConfiguration(
                lambda document: Ok(model.Configuration(version=int(document))),
                node.log,
            )
            sync = configuration.ConfigurationSync(
                clock, self.network.random, active,
                NodeRows(self.store, clock, address), ("op", "k"),
                node.view, Peers(self, address), node.log,
            )  # fmt: skip
            self.active[address] = active
            node.get_version = lambda active=active: active.version
            node.get_store_silent_s = sync.store_silent_s
            node.on_version = sync.learn_version
            sync.start(is_first_start=False)
        self.network.run_for(5.0)

    def can_reach(self, sender, receiver):
        groups = self.network.partitions
        return groups is None or any(
            sender in group and receiver in group for group in groups
        )

    def watchers(self):
        """Returns the nodes with the lowest addresses of each domain."""
        for domain in set(self.network.domains.values()):
            members = sorted(self.network.hosts_of_domain(domain))
            yield from members[: watch_role.WATCHERS_PER_DOMAIN]

    def versions(self, *addresses):
        return {self.active[each].version for each in addresses or self.active}


class RefusedWatchersTest(testtools.TestCase):
    scenarios = [
        (f"{sizes}", {"sizes": sizes})
        for sizes in ({"1": 4, "2": 4}, {"1": 3}, {"1": 12, "2": 3})
    ]

    # Nodes that do not watch never asked the store, however long the
    # watchers were turned away.
    def test_other_nodes_stand_in_for_them(self):
        fleet = Fleet(self.sizes)
        fleet.store.refused = set(fleet.watchers())
        fleet.network.run_for(1.0)
        fleet.store.version = 2
        fleet.network.run_for(APPLY_S + STRETCH_S)
        self.assertEqual({2}, fleet.versions())

    def test_watchers_alone_ask_in_calm(self):
        fleet = Fleet(self.sizes)
        fleet.store.calls.clear()
        fleet.network.run_for(20.0)
        self.assertEqual(set(fleet.watchers()), set(fleet.store.calls))

    def test_only_watchers_ask_once_they_are_served_again(self):
        fleet = Fleet(self.sizes)
        fleet.store.refused = set(fleet.watchers())
        fleet.network.run_for(6.0)
        fleet.store.refused = set()
        fleet.network.run_for(6.0)
        fleet.store.calls.clear()
        fleet.network.run_for(10.0)
        self.assertEqual(set(fleet.watchers()), set(fleet.store.calls))


class CutOffNodeTest(testtools.TestCase):
    """A node is cut off from the others, but not from the store."""

    def test_it_asks_the_store_in_time(self):
        fleet = Fleet({"1": 6, "2": 4})
        alone = max(fleet.network.hosts_of_domain("1"))
        fleet.network.partitions = [{alone}, set(fleet.active) - {alone}]
        fleet.network.run_for(0.05)
        fleet.store.version = 2
        fleet.network.run_for(APPLY_S)
        self.assertEqual({2}, fleet.versions(alone))


class StoreAwayTest(testtools.TestCase):
    MAX_CALLS_PER_S = 2.0
    """Calls of one node that stands in."""

    def test_the_load_does_not_grow_with_the_fleet(self):
        fleet = Fleet({"1": 30})
        fleet.store.refused = set(fleet.active)
        fleet.network.run_for(2.0)
        fleet.store.calls.clear()
        fleet.network.run_for(10.0)
        watchers = set(fleet.watchers())
        calls = sum(
            count
            for address, count in fleet.store.calls.items()
            if address not in watchers
        )
        limit = 10.0 * self.MAX_CALLS_PER_S * watch_role.STAND_INS_PER_DOMAIN
        self.assertLessEqual(calls, limit)
