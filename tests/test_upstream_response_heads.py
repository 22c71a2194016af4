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
    scenarios = [
        (name, {"data": heads.make_response(line)})
        for name, line in heads.BROKEN_STATUSES + heads.BROKEN_VERSIONS
    ] + [
        (f"{name}, {place}", {
            "data": heads.make_response(lines=before + line + b"\r\n" + after)})
        for name, line in heads.BROKEN_LINES
        for place, before, after in (
            ("first line", b"", b"B: c\r\n"), ("later line", b"B: c\r\n", b""))
    ]  # fmt: skip

    def test_in_one_segment_it_fails_at_once(self):
        self.assertEqual([UNKNOWN], self.outcomes([self.data]))

    def test_in_single_bytes_it_fails_at_once(self):
        segments = [
            self.data[index : index + 1] for index in range(len(self.data))
        ]
        self.assertEqual([UNKNOWN], self.outcomes(segments))


class SoundHeadTest(HeadCase):
    scenarios = [
        (name, {"line": line + b"\r\n"}) for name, line in heads.SOUND_LINES
    ]

    def test_it_is_passed_on(self):
        self.assertEqual(
            [("answered", 200, heads.BODY)],
            self.outcomes([heads.make_response(lines=self.line)]),
        )
