"""Tests of the event log and the hybrid logical clock."""

from __future__ import annotations

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids


class EventLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        clock = clocks.ReactorClock(task.Clock())
        self.hlc = events.HybridLogicalClock(clock)

    def test_stamps_increase_while_the_wall_clock_is_constant(self):
        stamps = [self.hlc.tick() for _ in range(3)]
        self.assertEqual(sorted(set(stamps)), stamps)

    def test_a_stamp_is_later_than_any_observed_stamp(self):
        self.hlc.observe(events.HlcStamp(9_000, 4))
        self.assertGreater(self.hlc.tick(), events.HlcStamp(9_000, 4))

    def test_the_ring_keeps_the_newest_events(self):
        log = events.EventLog(ids.NodeId("n"), self.hlc, capacity=2)
        for version in (1, 2, 3):
            log.record(
                events.ConfigurationInForce(version=ids.ConfigVersion(version))
            )
        versions = [event.fields["version"] for event in log.recorded_events()]
        self.assertEqual([2, 3], versions)
