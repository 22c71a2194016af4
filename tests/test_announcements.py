"""Tests of the announcements of the upstream on the node's own host."""

from __future__ import annotations

import io

import msgspec
import testscenarios
import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.controllers import announcements

GOOD = {
    "service": "orders",
    "address": "127.0.0.1:8080",
    "slots": 8,
    "connections": 100,
    "state": "ready",
}


class FakeRequest:
    """The parts of a twisted.web request that the resource uses."""

    def __init__(self, body):
        self.content = io.BytesIO(body)
        self.status = 200
        self.headers = {}

    def setResponseCode(self, status):
        self.status = status

    def setHeader(self, name, value):
        self.headers[name] = value


class AnnouncementsCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        clock = clocks.ReactorClock(self.reactor)
        self.log = events.EventLog(
            ids.NodeId("n"), events.HybridLogicalClock(clock)
        )
        self.changes = []
        self.has_connect_failed = False
        self.controller = announcements.make_announcements_controller(
            clock,
            self.log,
            self.changes.append,
            lambda: self.has_connect_failed,
        )
        self.controller.start()
        self.addCleanup(self.controller.stop)

    def post(self, body):
        if isinstance(body, dict):
            body = msgspec.json.encode(body)
        request = FakeRequest(body)
        answer = self.controller.make_resource().render_POST(request)
        return request.status, msgspec.json.decode(answer or b"{}")

    def wait(self, seconds):
        self.reactor.pump([0.25] * int(seconds * 4))

    def states(self):
        return [
            announced and announced.state.value for announced in self.changes
        ]


class RefusedAnnouncementTest(testscenarios.WithScenarios, AnnouncementsCase):
    scenarios = [
        (name, {"body": body, "status": status, "kind": kind})
        for name, body, status, kind in (
            ("empty", b"", 400, "malformed"),
            ("binary", b"\xff\x00{", 400, "malformed"),
            ("not utf-8", b'{"service": "\xff"}', 400, "malformed"),
            ("list", b"[1]", 400, "malformed"),
            ("oversized", b" " * 4097, 413, "too-large"),
            ("deeply nested", b"[" * 4000, 400, "malformed"),
            ("field missing", {"service": "orders"}, 400, "malformed"),
            ("unknown state", GOOD | {"state": "x"}, 400, "malformed"),
            (
                "text instead of a number",
                GOOD | {"slots": "8"},
                400,
                "malformed",
            ),
            ("no slots", GOOD | {"slots": 0}, 400, "out-of-range"),
            ("too many slots", GOOD | {"slots": 10**9}, 400, "out-of-range"),
            (
                "negative connections",
                GOOD | {"connections": -1},
                400,
                "out-of-range",
            ),
            ("no service", GOOD | {"service": ""}, 400, "out-of-range"),
            ("long name", GOOD | {"service": "x" * 65}, 400, "out-of-range"),
            ("host name", GOOD | {"address": "a.b:80"}, 400, "out-of-range"),
            ("no port", GOOD | {"address": "127.0.0.1"}, 400, "out-of-range"),
            ("high port", GOOD | {"address": "::1:70000"}, 400, "out-of-range"),
            (
                "non-ascii digit",
                GOOD | {"address": "127.0.0.1:٨"},
                400,
                "out-of-range",
            ),
        )
    ]

    def test_bad_input_gets_a_typed_error_and_changes_nothing(self):
        self.post(GOOD)
        status, error = self.post(self.body)
        self.assertEqual((self.status, self.kind), (status, error["kind"]))
        self.assertEqual(["ready"], self.states())


class AnnouncementsTest(AnnouncementsCase):
    def test_a_repeated_announcement_is_no_change(self):
        self.assertEqual(204, self.post(GOOD)[0])
        self.post(GOOD)
        self.assertEqual(["ready"], self.states())

    def test_state_changes_are_recorded_and_slot_changes_only_reported(self):
        for change in ({"state": "starting"}, {}, {"slots": 9}):
            self.post(GOOD | change)
        states = [event.fields["state"] for event in self.log.recorded_events()]
        self.assertEqual(["starting", "ready"], states)
        self.assertEqual(9, self.changes[-1].slots)

    def test_another_upstream_on_the_host_is_refused(self):
        self.post(GOOD)
        for change in ({"service": "stock"}, {"address": "127.0.0.1:81"}):
            status, error = self.post(GOOD | change)
            self.assertEqual((409, "host-taken"), (status, error["kind"]))
        self.assertEqual(["ready"], self.states())

    def test_another_upstream_may_replace_one_that_stopped(self):
        self.post(GOOD | {"state": "stopped"})
        self.assertEqual(204, self.post(GOOD | {"service": "stock"})[0])

    def test_another_upstream_may_replace_one_that_is_gone(self):
        self.post(GOOD)
        self.wait(announcements.MAX_SILENCE_S + 1)
        self.assertEqual(204, self.post(GOOD | {"service": "stock"})[0])

    def test_a_short_silence_alone_does_not_remove_the_upstream(self):
        self.post(GOOD)
        self.wait(announcements.SILENCE_TIMEOUT_S + 2)
        self.assertEqual(["ready"], self.states())

    def test_failed_connections_alone_do_not_remove_the_upstream(self):
        self.has_connect_failed = True
        for _ in range(10):
            self.post(GOOD)
            self.wait(1)
        self.assertEqual(["ready"], self.states())

    def test_silence_with_failed_connections_removes_the_upstream(self):
        self.post(GOOD)
        self.has_connect_failed = True
        self.wait(announcements.SILENCE_TIMEOUT_S + 0.5)
        self.assertEqual(["ready", None], self.states())
        states = [event.fields["state"] for event in self.log.recorded_events()]
        self.assertEqual(["ready", "gone"], states)

    def test_a_long_silence_alone_removes_the_upstream(self):
        self.post(GOOD)
        self.wait(announcements.MAX_SILENCE_S + 0.5)
        self.assertEqual(["ready", None], self.states())

    def test_a_pause_of_the_node_does_not_count_as_silence(self):
        self.post(GOOD)
        self.has_connect_failed = True
        self.reactor.advance(60)
        self.assertEqual(["ready"], self.states())

    def test_the_next_announcement_restores_the_upstream(self):
        self.post(GOOD)
        self.wait(announcements.MAX_SILENCE_S + 0.5)
        self.post(GOOD)
        self.assertEqual(["ready", None, "ready"], self.states())
