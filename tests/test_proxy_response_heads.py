"""Tests of upstreams whose responses have malformed heads.

Such a response was passed on, or its request waited until its deadline.
"""

from __future__ import annotations

from cyclamendale.proxy import upstream_connection as connections
from tests import test_proxy_upstream
from tests.support import heads

OWN = test_proxy_upstream.OWN


class MalformedHeadTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = heads.make_malformed_scenarios(OWN)

    def test_in_one_segment_it_fails_at_once(self):
        self.send()
        self.connection.dataReceived(self.data)
        self.check()

    def test_in_single_bytes_it_fails_at_once(self):
        self.send()
        for byte in heads.split(self.data):
            if self.transport.aborted:
                break
            self.connection.dataReceived(byte)
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


class TrailerTest(test_proxy_upstream.UpstreamConnectionCase):
    """Trailers were taken for lines of the head."""

    CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
    scenarios = [
        ("other", {"trailer": b"Set-Cookie: b\r\n"}),
        ("id of another request", {"trailer": test_proxy_upstream.OTHER}),
        ("not run", {"trailer": b"X-Cyclamendale-Not-Executed: 1\r\n"}),
        ("encoding", {"trailer": b"Content-Encoding: gzip\r\n"}),
        ("connection option", {"trailer": b"Connection: A\r\n"}),
    ]

    def test_it_does_not_change_the_head(self):
        self.send()
        self.connection.dataReceived(
            test_proxy_upstream.OK + OWN + b"A: b\r\n" + self.CHUNKED
            + self.trailer + b"\r\n"
        )  # fmt: skip
        self.assertEqual((200, b"ab", False), self.outcome())
        self.assertEqual(OWN + b"A: b\r\n", self.results[0].header_lines)


class MalformedTrailerTest(test_proxy_upstream.UpstreamConnectionCase):
    scenarios = [
        (name, {"line": line})
        for name, line in heads.BROKEN_LINES
        if name not in heads.BROKEN_IN_HEADS_ONLY
    ]

    def test_the_response_fails(self):
        self.send()
        self.connection.dataReceived(
            test_proxy_upstream.OK + OWN + TrailerTest.CHUNKED
            + self.line + b"\r\n\r\n"
        )  # fmt: skip
        self.assertEqual([connections.Failure.GARBLED], self.results)
