"""Tests of the gate against upstreams whose responses have malformed heads.

Some were passed on, with the line or with a body that is not the upstream's.
"""

from __future__ import annotations

import testscenarios
import testtools

from tests.support import gate_bench
from tests.support import heads

UNKNOWN = ("refused", "upstream-failed", "unknown")


class HeadCase(testscenarios.TestWithScenarios, testtools.TestCase):
    def outcomes(self, segments):
        """Returns what the gate reports for a response in segments."""
        bench = gate_bench.GateBench()
        receiver, _ = bench.open()
        connection = bench.connect()
        for segment in segments:
            if connection.transport.disconnected:
                break
            connection.dataReceived(segment)
        self.assertTrue(bench.is_idle())
        return receiver.events


class MalformedHeadTest(HeadCase):
    scenarios = heads.make_malformed_scenarios()

    def test_in_one_segment_it_fails_at_once(self):
        self.assertEqual([UNKNOWN], self.outcomes([self.data]))

    def test_in_single_bytes_it_fails_at_once(self):
        self.assertEqual([UNKNOWN], self.outcomes(heads.split(self.data)))

    def test_in_an_unfinished_head_it_fails_at_once(self):
        # It was held until the deadline, as the head never ended.
        lines, _, _ = self.data.rpartition(b"\r\n\r\n")
        self.assertEqual([UNKNOWN], self.outcomes([lines + b"\r\n"]))


class SoundHeadTest(HeadCase):
    scenarios = [
        (name, {"line": line + b"\r\n"}) for name, line in heads.SOUND_LINES
    ]

    def test_it_is_passed_on(self):
        self.assertEqual(
            [("answered", 200, heads.BODY)],
            self.outcomes([heads.make_response(lines=self.line)]),
        )
