"""Contract of heartbeats, departures and readiness."""

from __future__ import annotations

import io

import msgspec
import testtools

from cyclamendale.fleet import announcements
from cyclamendale.membership import directory
from cyclamendale.platform import interfaces

BEAT = {
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
    return {key: value for key, value in BEAT.items() if key != name}


class DecodeBeatTest(testtools.TestCase):
    scenarios = [
        ("service missing", {"beat": without("service")}),
        ("address missing", {"beat": without("address")}),
        ("sequence missing", {"beat": without("sequence")}),
        ("birth missing", {"beat": without("born")}),
        ("slots of another type", {"beat": {**BEAT, "slots": "many"}}),
        ("no slots", {"beat": {**BEAT, "slots": 0}}),
        ("sequence as text", {"beat": {**BEAT, "sequence": "4"}}),
        ("birth with a fraction", {"beat": {**BEAT, "born": 1.5}}),
        ("unknown state", {"beat": {**BEAT, "state": "warming"}}),
        ("a list", {"beat": [1, 2]}),
        ("text", {"beat": "ready"}),
    ]

    def test_another_writers_beat_names_no_upstream(self):
        self.assertIsNone(
            interfaces.decode_beat("i-1", msgspec.json.encode(self.beat))
        )


class ReadableBeatTest(testtools.TestCase):
    scenarios = [
        ("ready", {"state": "ready",
                   "expected": directory.UpstreamState.READY}),
        ("draining", {"state": "draining",
                      "expected": directory.UpstreamState.DRAINING}),
    ]  # fmt: skip

    def test_every_field_is_decoded_once(self):
        body = msgspec.json.encode({**BEAT, "state": self.state})
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
            interfaces.decode_beat("i-1", body),
        )

    def test_bytes_that_are_no_json_name_no_upstream(self):
        for body in (b"", b"\xff\x00", b"{", b"null"):
            self.assertIsNone(interfaces.decode_beat("i-1", body))


class RecordingListener(interfaces.UpstreamListener):
    def __init__(self):
        self.calls = []
        self.confirms = True

    def heard(self, heartbeat):
        self.calls.append(("heard", heartbeat.upstream_id))
        return self.confirms

    def left(self, upstream_id, born_ms):
        self.calls.append(("left", upstream_id, born_ms))

    def malformed(self, detail):
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


class AnnouncementCallsTest(testtools.TestCase):
    scenarios = [
        ("heartbeat", {"call": b"Instances.Heartbeat", "confirms": True,
                       "body": msgspec.json.encode(BEAT),
                       "code": 200, "calls": [("heard", "i-1")]}),
        ("not confirmed", {"call": b"Instances.Heartbeat", "confirms": False,
                           "body": msgspec.json.encode(BEAT),
                           "code": 400, "calls": [("heard", "i-1")]}),
        ("malformed", {"call": b"Instances.Heartbeat", "confirms": True,
                       "body": b"{}", "code": 400,
                       "calls": [("malformed",)]}),
        ("departure", {"call": b"Instances.Deregister", "confirms": True,
                       "body": b"", "code": 200,
                       "calls": [("left", "i-1", None)]}),
        ("departure with birth", {
            "call": b"Instances.Deregister", "confirms": True,
            "body": b'{"born": 7}', "code": 200,
            "calls": [("left", "i-1", 7)]}),
        ("departure with garbage", {
            "call": b"Instances.Deregister", "confirms": True,
            "body": b"{", "code": 200,
            "calls": [("malformed",), ("left", "i-1", None)]}),
    ]  # fmt: skip

    def test_the_listener_hears_it(self):
        listener = RecordingListener()
        listener.confirms = self.confirms
        site = interfaces.make_announcement_site(listener)
        calls = site.resource.children[b"-"]
        request = FakeRequest(b"i-1", self.body)
        calls.children[self.call].render_POST(request)
        self.assertEqual(
            (self.code, self.calls), (request.code, listener.calls)
        )
