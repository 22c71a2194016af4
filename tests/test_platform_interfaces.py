"""Contract tests of heartbeats and departures."""

from __future__ import annotations

import io

import msgspec
import testtools

from cyclamendale.fleet import announcements
from cyclamendale.membership import directory
from cyclamendale.platform import interfaces

HEARTBEAT = {
    "service": "wash",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 108,
    "state": "ready",
    "cold_left_s": 2.5,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def without(name):
    return {key: value for key, value in HEARTBEAT.items() if key != name}


class MalformedHeartbeatTest(testtools.TestCase):
    scenarios = [
        ("service missing", {"heartbeat": without("service")}),
        ("address missing", {"heartbeat": without("address")}),
        ("sequence missing", {"heartbeat": without("sequence")}),
        ("start time missing", {"heartbeat": without("born")}),
        (
            "slots of another type",
            {"heartbeat": {**HEARTBEAT, "slots": "many"}},
        ),
        ("zero slots", {"heartbeat": {**HEARTBEAT, "slots": 0}}),
        ("sequence as text", {"heartbeat": {**HEARTBEAT, "sequence": "4"}}),
        (
            "start time with a fraction",
            {"heartbeat": {**HEARTBEAT, "born": 1.5}},
        ),
        ("unknown state", {"heartbeat": {**HEARTBEAT, "state": "warming"}}),
        (
            "port out of range",
            {"heartbeat": {**HEARTBEAT, "address": "10.0.0.9:65536"}},
        ),
        ("port zero", {"heartbeat": {**HEARTBEAT, "address": "10.0.0.9:0"}}),
        ("no port", {"heartbeat": {**HEARTBEAT, "address": "10.0.0.9"}}),
        (
            "port as a word",
            {"heartbeat": {**HEARTBEAT, "address": "10.0.0.9:http"}},
        ),
        ("too many slots", {"heartbeat": {**HEARTBEAT, "slots": 2**40}}),
        ("sequence too large", {"heartbeat": {**HEARTBEAT, "sequence": 2**63}}),
        ("start time too large", {"heartbeat": {**HEARTBEAT, "born": 2**63}}),
        (
            "endless cold start",
            {"heartbeat": {**HEARTBEAT, "cold_left_s": 1e300}},
        ),
        ("a list", {"heartbeat": [1, 2]}),
        ("text", {"heartbeat": "ready"}),
    ]

    def test_a_malformed_heartbeat_is_rejected(self):
        self.assertIsNone(
            interfaces.decode_heartbeat(
                "i-1", msgspec.json.encode(self.heartbeat)
            )
        )


class ValidHeartbeatTest(testtools.TestCase):
    scenarios = [
        ("ready", {"state": "ready",
                   "expected": directory.UpstreamState.READY}),
        ("draining", {"state": "draining",
                      "expected": directory.UpstreamState.DRAINING}),
    ]  # fmt: skip

    def test_every_field_is_decoded(self):
        body = msgspec.json.encode({**HEARTBEAT, "state": self.state})
        self.assertEqual(
            announcements.Heartbeat(
                upstream_id="i-1",
                started_at_ms=1_700_000_000_000,
                sequence=4,
                service="wash",
                address="10.0.0.9:8080",
                slots=108,
                state=self.expected,
                cold_left_s=2.5,
            ),
            interfaces.decode_heartbeat("i-1", body),
        )

    def test_bytes_that_are_not_json_are_rejected(self):
        deep = b"[" * 8_000 + b"]" * 8_000
        for body in (b"", b"\xff\x00", b"{", b"null", b'{"x":%s}' % deep):
            self.assertIsNone(interfaces.decode_heartbeat("i-1", body))


class RecordingListener(interfaces.UpstreamListener):
    def __init__(self):
        self.calls = []
        self.confirms = True

    def handle_heartbeat(self, heartbeat):
        self.calls.append(("heartbeat", heartbeat.upstream_id))
        return self.confirms

    def handle_departure(self, upstream_id, started_at_ms):
        self.calls.append(("departure", upstream_id, started_at_ms))

    def handle_malformed(self, detail):
        self.calls.append(("malformed",))


class FakeRequest:
    def __init__(self, upstream_id, body):
        self.postpath = [upstream_id]
        self.content = io.BytesIO(body)
        self.code = 200

    def setHeader(self, name, value):
        pass

    def setResponseCode(self, code):
        self.code = code


class AnnouncementSiteTest(testtools.TestCase):
    scenarios = [
        ("heartbeat", {"call": b"Instances.Heartbeat", "confirms": True,
                       "body": msgspec.json.encode(HEARTBEAT),
                       "code": 200, "calls": [("heartbeat", "i-1")]}),
        ("not confirmed", {"call": b"Instances.Heartbeat", "confirms": False,
                           "body": msgspec.json.encode(HEARTBEAT),
                           "code": 400, "calls": [("heartbeat", "i-1")]}),
        ("malformed", {"call": b"Instances.Heartbeat", "confirms": True,
                       "body": b"{}", "code": 400,
                       "calls": [("malformed",)]}),
        ("departure", {"call": b"Instances.Deregister", "confirms": True,
                       "body": b"", "code": 200,
                       "calls": [("departure", "i-1", None)]}),
        ("departure with start time", {
            "call": b"Instances.Deregister", "confirms": True,
            "body": b'{"born": 7}', "code": 200,
            "calls": [("departure", "i-1", 7)]}),
        ("departure with malformed body", {
            "call": b"Instances.Deregister", "confirms": True,
            "body": b"{", "code": 200,
            "calls": [("malformed",), ("departure", "i-1", None)]}),
    ]  # fmt: skip

    def test_the_listener_is_called(self):
        listener = RecordingListener()
        listener.confirms = self.confirms
        site = interfaces.make_announcement_site(listener)
        calls = site.resource.children[b"-"]
        request = FakeRequest(b"i-1", self.body)
        calls.children[self.call].render_POST(request)
        self.assertEqual(
            (self.code, self.calls), (request.code, listener.calls)
        )
