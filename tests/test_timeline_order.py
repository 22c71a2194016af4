"""Tests of the causal order of events under clock skew."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import testtools
from testtools import twistedsupport
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.peer import kinds
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.timeline import ttypes

_NODES = 3


class SkewedClock(clocks.ReactorClock):
    """A clock whose wall time is off by a fixed offset."""

    def __init__(self, reactor, offset_s):
        super().__init__(reactor)
        self._offset_s = offset_s

    def wall_s(self):
        return 1_000.0 + self.now_s() + self._offset_s


class CausalOrderTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 10), min_size=3, max_size=3),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, _NODES - 1),
                strategies.integers(0, _NODES - 1),
                strategies.sampled_from([0.0, 0.0004, 3.0]),
            ),
            max_size=30,
        ),
        strategies.permutations(range(_NODES)),
    )
    def test_effects_come_after_their_causes(self, offsets, sends, order):
        virtual_clock = task.Clock()
        hlcs = [
            events.HybridLogicalClock(SkewedClock(virtual_clock, offset))
            for offset in offsets
        ]
        logs = [
            events.EventLog(ids.NodeId(f"n{number}"), hlc)
            for number, hlc in enumerate(hlcs)
        ]
        causes, known_events, last = [], [set() for _ in logs], 0

        def record(node):
            nonlocal last
            last += 1
            logs[node].record(
                events.ConfigurationInForce(version=ids.ConfigVersion(last))
            )
            causes.extend((cause, last) for cause in known_events[node])
            known_events[node].add(last)

        for sender, receiver, pause_s in sends:
            record(sender)
            hlcs[receiver].observe(hlcs[sender].tick())
            known_events[receiver] |= known_events[sender]
            record(receiver)
            virtual_clock.advance(pause_s)
        merger = timeline.TimelineMerger(limit_events=1000)
        for node in order:
            merger.add(reversed(list(logs[node].recorded_events())))
        position = {
            event.fields["version"]: index
            for index, event in enumerate(merger.merged([]).events)
        }
        self.assertEqual(last, len(position))
        for cause, effect in causes:
            self.assertLess(position[cause], position[effect])


class StampTest(testtools.TestCase):
    """Two nodes connected over loopback; the second one's clock is behind."""

    run_tests_with = (
        twistedsupport.AsynchronousDeferredRunTestForBrokenTwisted.make_factory(
            timeout=20
        )
    )

    def node(self, offset_s):
        clock = SkewedClock(reactor, offset_s)
        hlc = events.HybridLogicalClock(clock)
        peers = thrift_network.ThriftPeerNetwork(
            reactor, clock, b"secret", hlc=hlc
        )
        self.addCleanup(peers.close)
        return peers, events.EventLog(ids.NodeId(f"n{offset_s}"), hlc)

    @defer.inlineCallbacks
    def test_requests_and_replies_carry_stamps(self):
        (first, log), (second, other_log) = self.node(30.0), self.node(0.0)
        event = events.NodeStopping()

        def handle(_):
            other_log.record(event)
            return ttypes.StatusReply(status=b"")

        port = second.listen("127.0.0.1", 0)
        second.serve(kinds.MessageKind.STATUS, ttypes.StatusRequest, handle)
        log.record(event)
        result = yield first.request(
            ids.PeerAddress(f"127.0.0.1:{port}"),
            kinds.MessageKind.STATUS,
            ttypes.StatusRequest(),
            ttypes.StatusReply,
            10.0,
        )
        self.assertTrue(result.is_ok())
        log.record(event)
        before, after = (each.stamp for each in log.recorded_events())
        [between] = (each.stamp for each in other_log.recorded_events())
        self.assertLess(before, between)
        self.assertLess(between, after)

    def test_a_stamp_too_far_ahead_is_ignored(self):
        hlc = events.HybridLogicalClock(SkewedClock(task.Clock(), 0.0))
        wall_ms = 1_000_000 + events.MAX_CLOCK_AHEAD_MS + 1
        hlc.observe(events.HlcStamp(wall_ms, 0))
        self.assertEqual(1_000_000, hlc.tick().wall_ms)
