"""Large failure domains that the store turns away almost entirely."""

from __future__ import annotations

import random

from expression import Error
from expression import Ok
import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.fleet import configuration
from cyclamendale.fleet import watch_role
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows
from tests import test_fleet_configuration
from tests import test_fleet_store_watch
from tests.support import fake_log

IN_FORCE_S = test_fleet_store_watch.APPLY_S + test_fleet_store_watch.STRETCH_S
"""Time in which a confirmed version has to be in force while the store turns
some hosts away."""

SPREAD_S = test_fleet_configuration.SilentStoreTest.SPREAD_S

SIZES = (7, 16, 33, 157)

FLEET_DOMAINS = 7
"""Failure domains of 157 hosts make a fleet of 1,100."""

STEP_S = 0.01


class Place:
    """What a host of a domain knows that has no contact with the store."""

    store_contact_s = 0.0

    def __init__(self, rank, size):
        self.rank, self.size = rank, size

    def rank_in_domain(self):
        return self.rank

    def live_in_domain(self):
        return ["10.0.0.1:7"] * (self.size - 1)


class CountedRows(watched_rows.WatchedRows):
    """Records the time of each call; serves all hosts or none."""

    def __init__(self, clock, is_serving):
        self.clock, self.is_serving = clock, is_serving
        self.asked_s = []

    async def read(self, table):
        return await self.watch(table, 0, 0.0)

    async def watch(self, table, after_version, wait_s):
        self.asked_s.append(self.clock.now_s())
        if self.is_serving:
            await load_limit.sleep(self.clock, wait_s)
            row = watched_rows.TableRow("k", b"1", 1)
            return Ok(watched_rows.Rows((row,), 1))
        return Error(
            watched_rows.RowsError(watched_rows.RowsErrorKind.UNAVAILABLE)
        )

    async def write(self, table, key, value, expected_version):
        raise AssertionError("not used")

    async def remove(self, table, key, expected_version):
        raise AssertionError("not used")


def calls_of_domain(size, duration_s, is_serving=False, seed=1):
    """Returns the times at which each host asks, by rank."""
    reactor = task.Clock()
    clock = clocks.ReactorClock(reactor)
    chance = random.Random(seed)
    found = []
    for rank in range(size):
        log = fake_log.FakeLog()
        active = configuration.ActiveConfiguration(
            test_fleet_configuration.decode_version, log
        )
        active.apply_document(b"1", "disk")
        rows = CountedRows(clock, is_serving)
        sync = configuration.ConfigurationSync(
            clock, chance, active, rows, ("op", "k"), Place(rank, size),
            test_fleet_configuration.FakePeers(), log,
        )  # fmt: skip
        found.append(rows.asked_s)
        # Processes do not start at the same moment.
        reactor.callLater(
            chance.uniform(0.0, 1.0), sync.start, is_first_start=False
        )
    reactor.pump([STEP_S] * round(duration_s / STEP_S))
    return found


def longest_wait_s(asked_s, duration_s):
    """Returns the longest time in which a host does not ask."""
    moments = [0.0, *asked_s, duration_s]
    return max(
        following - each
        for each, following in zip(moments, moments[1:], strict=False)
    )


class TurnsTest(testtools.TestCase):
    """No host of a domain has known contact with the store."""

    DURATION_S = 90.0
    scenarios = [
        (f"{size} hosts, seed {seed}", {"size": size, "seed": seed})
        for size in SIZES
        for seed in (1, 2, 3)
    ]

    # Stand-ins took turns of 2 s, four at a time, however many there were.
    def test_each_host_asks_early_enough_to_be_the_only_one_served(self):
        calls = calls_of_domain(self.size, self.DURATION_S, seed=self.seed)
        waits = [longest_wait_s(each, self.DURATION_S) for each in calls]
        self.assertLessEqual(max(waits), IN_FORCE_S - SPREAD_S)


class LoadTest(testtools.TestCase):
    """All domains of a fleet of 1,100 hosts lack contact with the store."""

    DURATION_S = 60.0
    scenarios = [
        (f"served: {is_serving}", {"is_serving": is_serving})
        for is_serving in (False, True)
    ]

    def test_the_reads_stay_within_their_share(self):
        calls = calls_of_domain(157, self.DURATION_S, self.is_serving)
        reads = FLEET_DOMAINS * sum(map(len, calls)) / self.DURATION_S
        self.assertLessEqual(reads, load_limit.FLEET_READS_PER_S)

    def test_no_stand_in_is_held_up_by_its_own_share(self):
        share = load_limit.make_node_share()
        for size in SIZES:
            calls = calls_of_domain(size, self.DURATION_S, self.is_serving)
            stand_ins = calls[watch_role.WATCHERS_PER_DOMAIN :]
            reads = max(map(len, stand_ins)) / self.DURATION_S
            self.assertLessEqual(reads, share.reads_per_s)


class OnlyHostServedTest(testtools.TestCase):
    """A domain is cut off, and the store serves one of its hosts."""

    scenarios = [
        (f"{size} hosts, rank {rank}, after {silent_s} s",
         {"size": size, "rank": rank, "silent_s": silent_s})
        for size in (7, 16, 33)
        for rank in (2, size // 2, size - 3, size - 1)
        for silent_s in (0.02, 9.0)
    ] + [
        ("157 hosts, rank 156, after 0.02 s",
         {"size": 157, "rank": 156, "silent_s": 0.02})
    ]  # fmt: skip

    def test_its_domain_has_the_version_in_time(self):
        fleet = test_fleet_store_watch.Fleet({"1": self.size, "2": 3})
        members = sorted(fleet.network.hosts_of_domain("1"))
        others = set(fleet.active) - set(members)
        fleet.network.partitions = [set(members), others]
        fleet.store.refused = set(members) - {members[self.rank]}
        fleet.network.run_for(self.silent_s)
        fleet.store.version = 2
        fleet.network.run_for(IN_FORCE_S)
        self.assertEqual({2}, fleet.versions(*members))
