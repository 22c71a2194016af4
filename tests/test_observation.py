"""Tests of the gauges that a node exports."""

from __future__ import annotations

import testtools
from twisted.internet import task

from cyclamendale import _observation
from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import metrics
from cyclamendale import timeline


class RecordingGauges(metrics.NullMetrics):
    """Records the last value of each gauge."""

    def __init__(self):
        self.values = {}

    def gauge(self, name, value):
        self.values[name] = value


class GaugeSamplerTest(testtools.TestCase):
    def test_gauges_follow_the_status_until_stop(self):
        reactor = task.Clock()
        recorded = RecordingGauges()
        queued = iter([3, 5, 8])
        sampler = _observation.GaugeSampler(
            clocks.ReactorClock(reactor),
            recorded,
            lambda: timeline.NodeStatus(
                node=ids.NodeId("n"),
                failure_domain=ids.FailureDomainName("north"),
                version=ids.ConfigVersion(7),
                queued=next(queued),
            ),
            1.0,
        )
        sampler.start()
        reactor.pump([1.0, 1.0])
        self.assertEqual(
            (7, 5),
            (
                recorded.values["configuration.version"],
                recorded.values["upstream.queued"],
            ),
        )
        sampler.stop()
        reactor.advance(5.0)
        self.assertEqual(5, recorded.values["upstream.queued"])
