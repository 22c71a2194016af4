"""Tests of upstreams whose responses have malformed heads.

Such a response was passed on, or its request waited until its deadline.
"""

from __future__ import annotations

from cyclamendale.proxy import upstream_connection as connections
from tests import test_proxy_upstream
from tests.support import heads

OWN = test_proxy_upstream.OWN


class MalformedHeadTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = [
        (name, {"data": heads.make_response(line, OWN)})
        for name, line in heads.BROKEN_STATUSES + heads.BROKEN_VERSIONS
    ] + [
        (f"{name}, {place}", {
            "data": heads.make_response(lines=before + line + b"\r\n" + after)})
        for name, line in heads.BROKEN_LINES
        for place, before, after in (
            ("first line", b"", OWN), ("later line", OWN, b""))
    ]  # fmt: skip

    def test_in_one_segment_it_fails_at_once(self):
        self.send()
        self.connection.dataReceived(self.data)
        self.check()

    def test_in_single_bytes_it_fails_at_once(self):
        self.send()
        for index in range(len(self.data)):
            if self.transport.aborted:
                break
            self.connection.dataReceived(self.data[index : index + 1])
        self.check()

    def check(self):
        self.assertEqual([connections.Failure.GARBLED], self.results)
        self.assertTrue(self.transport.aborted)


class SoundHeadTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = [
        (name, {"line": line + b"\r\n"}) for name, line in heads.SOUND_LINES
    ]

    def test_it_is_passed_on(self):
        self.send()
        self.connection.dataReceived(heads.make_response(lines=OWN + self.line))
        self.assertEqual((200, heads.BODY, False), self.outcome())
