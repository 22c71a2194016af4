"""The checks of the soak: each finds made-up broken promises, and no others."""

from __future__ import annotations

import signal

import testtools

from soak import checks
from soak import ends
from soak import processes
from tests.support import soak_results as make


class ChecksTest(testtools.TestCase):
    scenarios = [
        ("served", {
            "request": make.request(), "runs": [make.run()], "found": []}),
        ("changed body", {
            "request": make.request(is_changed=True), "runs": [make.run()],
            "found": [checks.Finding.MIXED]}),
        ("success without an upstream", {
            "request": make.request(stamp=""), "runs": [make.run()],
            "found": [checks.Finding.MIXED]}),
        ("answer of another request", {
            "request": make.request(stamp="i-1.r2"), "runs": [make.run()],
            "found": [checks.Finding.MIXED]}),
        ("success though the upstream failed", {
            "request": make.request(), "runs": [make.run(status=500)],
            "found": [checks.Finding.MIXED]}),
        ("failure of the upstream with another status", {
            "request": make.request(502, stamp="i-1.r1"),
            "runs": [make.run(status=500)],
            "found": [checks.Finding.MIXED]}),
        ("failure of the upstream", {
            "request": make.request(500, stamp="i-1.r1"),
            "runs": [make.run(status=500)],
            "found": []}),
        ("own failure after one of the upstream", {
            "request": make.request(502), "runs": [make.run(status=500)],
            "found": []}),
        ("run twice", {
            "request": make.request(), "runs": [make.run(), make.run()],
            "found": [checks.Finding.TWICE]}),
        ("run twice beside a kill", {
            "request": make.request(), "runs": [make.run(), make.run()],
            "past": make.past(impairments=[([0, 1], 1.0, 1.2)]),
            "found": [checks.Finding.TWICE]}),
        ("idempotent, run twice", {
            "request": make.request(is_idempotent=True),
            "runs": [make.run(method="GET"), make.run(method="GET")],
            "found": []}),
        *(
            (f"{status} though run", {
                "request": make.request(status), "runs": [make.run()],
                "found": [checks.Finding.REFUSED]})
            for status in (408, 421, 429, 503)
        ),
        ("refused and run later", {
            "request": make.request(503), "runs": [make.run(3.0, 3.2)],
            "found": [checks.Finding.REFUSED]}),
        ("refused", {"request": make.request(503), "runs": [], "found": []}),
        ("other body", {
            "request": make.request(body=b"x"), "runs": [make.run()],
            "found": [checks.Finding.UNASKED]}),
        ("other method", {
            "request": make.request(), "runs": [make.run(method="GET")],
            "found": [checks.Finding.UNASKED]}),
        ("other path", {
            "request": make.request(),
            "runs": [make.run(path="/wash-write/r1/3")],
            "found": [checks.Finding.UNASKED]}),
        ("other tenant", {
            "request": make.request(key=""), "runs": [make.run()],
            "found": [checks.Finding.UNASKED]}),
        ("other caller", {
            "request": make.request(), "runs": [make.run(caller="wash")],
            "found": [checks.Finding.UNASKED]}),
        ("no answer", {
            "request": make.unanswered(), "runs": [make.run()],
            "found": [checks.Finding.LOST]}),
        ("no answer beside an impairment of another host", {
            "request": make.unanswered(), "runs": [make.run()],
            "past": make.past(impairments=[([2], 0.0, 2.0)]),
            "found": [checks.Finding.LOST]}),
        ("no answer beside an impairment of the store", {
            "request": make.unanswered(), "runs": [make.run()],
            "past": make.past(impairments=[(None, 0.0, 2.0)]),
            "found": [checks.Finding.LOST]}),
        ("no answer of a killed host", {
            "request": make.unanswered(), "runs": [make.run()],
            "past": make.past(impairments=[([0], 1.2, 1.3)]), "found": []}),
        ("no answer as the host of the upstream was killed", {
            "request": make.unanswered(), "runs": [make.run()],
            "past": make.past(impairments=[([1], 1.2, 1.3)]), "found": []}),
        ("no answer shortly after an impairment", {
            "request": make.unanswered(5.0, 5.5), "runs": [make.run(5.1, 5.4)],
            "past": make.past(impairments=[([0], 1.0, 2.1)]), "found": []}),
        ("no answer long after an impairment", {
            "request": make.unanswered(5.0, 5.5), "runs": [make.run(5.1, 5.4)],
            "past": make.past(impairments=[([0], 1.0, 1.9)]),
            "found": [checks.Finding.LOST]}),
        ("closed late, in calm", {
            "request": make.unanswered(), "runs": [],
            "found": [checks.Finding.UNREAD]}),
        ("closed late beside an impairment", {
            "request": make.unanswered(), "runs": [],
            "past": make.past(impairments=[([0], 0.5, 0.6)]), "found": []}),
        ("closed late after a stop", {
            "request": make.unanswered(), "runs": [], "past": make.past([0.9]),
            "found": [checks.Finding.UNREAD]}),
        ("closed in time, seen late", {
            "request": make.unanswered(), "runs": [],
            "past": make.past([0.9], late_s=[(1.1, 1.4)]), "found": []}),
        ("closed late, seen later", {
            "request": make.unanswered(), "runs": [],
            "past": make.past([0.9], late_s=[(1.4, 1.9)]),
            "found": [checks.Finding.UNREAD]}),
        ("closed late after the grace period", {
            "request": make.unanswered(8.0, 8.5), "runs": [],
            "past": make.past([0.9]),
            "found": [checks.Finding.UNREAD]}),
        ("closed late after a reload", {
            "request": make.unanswered(2.8, 3.5), "runs": [],
            "past": make.past(hangups_s=[0.9]),
            "found": [checks.Finding.UNREAD]}),
        ("closed late long after a reload", {
            "request": make.unanswered(3.0, 3.5), "runs": [],
            "past": make.past(hangups_s=[0.9]),
            "found": [checks.Finding.UNREAD]}),
        ("crossed the close", {
            "request": make.unanswered(1.0, 1.15), "runs": [],
            "past": make.past([0.9]), "found": []}),
        ("sent behind another and not run", {
            "request": make.unanswered(is_behind=True), "runs": [],
            "past": make.past([0.9]), "found": []}),
        ("not sent to its end", {
            "request": make.unanswered(is_whole=False), "runs": [],
            "past": make.past([0.9]), "found": []}),
        ("broken off", {
            "request": make.request(502), "runs": [make.run()],
            "found": [checks.Finding.BROKEN_OFF]}),
        ("broken off and the upstream crashed", {
            "request": make.request(502),
            "runs": [make.run(is_broken_off=True)],
            "found": []}),
        ("own failure after a stop while the upstream is at work", {
            "request": make.request(500, is_idempotent=True),
            "runs": [make.run(1.1, 3.0, method="GET")],
            "past": make.past([0.9]),
            "found": [checks.Finding.BROKEN_OFF]}),
        ("own failure while the upstream is at work", {
            "request": make.request(500, is_idempotent=True),
            "runs": [make.run(1.1, 3.0, method="GET")], "found": []}),
        ("timed out", {
            "request": make.request(504, ended_s=6.0),
            "runs": [make.run(1.1, 7.0)],
            "found": []}),
        ("dropped by its upstream after a stop", {
            "request": make.request(500, ended_s=3.0, is_idempotent=True),
            "runs": [make.run(1.1, 2.95, method="GET", is_dropped=True)],
            "past": make.past([0.9]),
            "found": [checks.Finding.BROKEN_OFF]}),
        ("given up", {
            "request": make.given_up(1.5),
            "runs": [make.run(method="GET")], "found": []}),
        ("given up, run on", {
            "request": make.given_up(1.5),
            "runs": [make.run(1.1, 2.2, method="GET")],
            "found": [checks.Finding.GONE]}),
        ("given up, dropped", {
            "request": make.given_up(1.5),
            "runs": [make.run(1.1, 2.0, method="GET", is_dropped=True)],
            "found": []}),
        ("given up, run later", {
            "request": make.given_up(1.5, is_idempotent=False),
            "runs": [make.run(2.2, 2.4)], "found": [checks.Finding.GONE]}),
        ("given up, not to be repeated, run on", {
            "request": make.given_up(1.5, is_idempotent=False),
            "runs": [make.run(1.1, 2.4)], "found": []}),
        ("given up, run on at a host that stops", {
            "request": make.given_up(1.5),
            "runs": [make.run(1.1, 2.2, method="GET")],
            "past": make.past([1.4]), "found": []}),
        ("held past its time-out", {
            "request": make.request(504, ended_s=6.7, is_idempotent=True),
            "runs": [], "found": [checks.Finding.HELD]}),
        ("never answered", {
            "request": make.unanswered(1.0, 12.0, is_idempotent=True),
            "runs": [], "found": [checks.Finding.HELD]}),
        ("answered in time, read slowly", {
            "request": make.request(
                ended_s=6.7, is_idempotent=True, answered_s=6.5),
            "runs": [make.run(method="GET")], "found": []}),
        ("held past its time-out while the soak hung", {
            "request": make.request(504, ended_s=6.7, is_idempotent=True),
            "runs": [], "past": make.past(late_s=[(6.5, 6.7)]), "found": []}),
        ("held past its time-out by a host that was frozen", {
            "request": make.request(504, ended_s=6.7, is_idempotent=True),
            "runs": [], "past": make.past(impairments=[([0], 1.2, 1.5)]),
            "found": []}),
        ("held past its time-out beside an impaired store", {
            "request": make.request(504, ended_s=6.7, is_idempotent=True),
            "runs": [], "past": make.past(impairments=[(None, 1.2, 1.5)]),
            "found": [checks.Finding.HELD]}),
        ("answered in time after it was sent slowly", {
            "request": make.request(
                504, sent_s=2.5, ended_s=7.6, started_s=1.0),
            "runs": [], "found": []}),
        ("held behind another", {
            "request": make.request(
                504, ended_s=6.7, is_idempotent=True, is_behind=True),
            "runs": [], "found": []}),
        ("in work at the end of the grace period", {
            "request": make.unanswered(1.5, 6.2), "runs": [make.run(1.6, 6.5)],
            "past": make.past([1.0]), "found": []}),
        ("sent late in the grace period", {
            "request": make.unanswered(4.5, 6.2), "runs": [make.run(4.6, 6.5)],
            "past": make.past([1.0]), "found": [checks.Finding.LOST]}),
        ("reached an upstream that left", {
            "request": make.request(), "runs": [make.run(6.1, 6.2, left_s=4.0)],
            "found": [checks.Finding.DRAIN]}),
        ("reached an upstream that leaves", {
            "request": make.request(), "runs": [make.run(5.9, 6.2, left_s=4.0)],
            "found": []}),
        ("reached an upstream that left, beside a start", {
            "request": make.request(), "runs": [make.run(6.1, 6.2, left_s=4.0)],
            "past": make.past(starts_s=[3.5]), "found": []}),
        ("reached an upstream that left, beside an impaired store", {
            "request": make.request(), "runs": [make.run(6.1, 6.2, left_s=4.0)],
            "past": make.past(impairments=[(None, 3.0, 3.2)]), "found": []}),
    ]  # fmt: skip
    past = make.past()

    def test_only_broken_promises_are_found(self):
        found = checks.find_broken_promises(
            [self.request], self.runs, self.past
        )
        self.assertEqual(self.found, [finding for finding, _ in found])


class UnaskedTest(testtools.TestCase):
    def test_a_run_without_a_request_is_found(self):
        found = checks.find_broken_promises([], [make.run()], make.past())
        self.assertEqual(
            [checks.Finding.UNASKED], [finding for finding, _ in found]
        )


def sent(number, at_s=1.0, is_handled=True):
    return processes.Sent(number, at_s, is_handled)


class EndsTest(testtools.TestCase):
    scenarios = [
        ("by itself", {"code": 0, "found": checks.Finding.OWN_END}),
        ("with an exit code", {"code": 2, "found": checks.Finding.OWN_END}),
        ("by a crash", {"code": -11, "found": checks.Finding.OWN_END}),
        ("killed from elsewhere", {
            "code": -9, "found": checks.Finding.OWN_END}),
        ("killed", {"code": -9, "sent": [sent(signal.SIGKILL)]}),
        ("stopped", {"code": 0, "sent": [sent(signal.SIGTERM)]}),
        ("stopped with an exit code", {
            "code": 1, "sent": [sent(signal.SIGTERM)],
            "found": checks.Finding.OWN_END}),
        ("stopped before its handlers", {
            "code": -15, "sent": [sent(signal.SIGTERM, is_handled=False)]}),
        ("stopped without its handlers", {
            "code": -15, "sent": [sent(signal.SIGTERM)],
            "found": checks.Finding.OWN_END}),
        ("stopped twice, ended by the second signal", {
            "code": -15,
            "sent": [
                sent(signal.SIGTERM),
                sent(signal.SIGTERM, 2.0, is_handled=False),
            ],
            "found": checks.Finding.OWN_END}),
        ("reloaded before its handlers", {
            "code": -1, "sent": [sent(signal.SIGHUP, is_handled=False)],
            "found": checks.Finding.EARLY_HANGUP}),
        ("reloaded after its handlers", {
            "code": -1,
            "sent": [
                sent(signal.SIGTERM),
                sent(signal.SIGHUP, 2.0, is_handled=False),
            ],
            "found": checks.Finding.OWN_END}),
        ("ended by a SIGHUP from elsewhere", {
            "code": -1, "found": checks.Finding.OWN_END}),
        ("reloaded beside an impairment", {
            "code": -1, "sent": [sent(signal.SIGHUP)],
            "impairments": [([0], 2.0, 3.0)],
            "found": checks.Finding.OWN_END}),
        ("beside an impairment", {
            "code": 1, "impairments": [([0], 1.5, 2.1)]}),
        ("after an impairment", {
            "code": 1, "impairments": [([0], 1.5, 1.9)],
            "found": checks.Finding.OWN_END}),
        ("beside an impairment of another host", {
            "code": 1, "impairments": [([1], 1.5, 3.0)],
            "found": checks.Finding.OWN_END}),
        ("beside an impairment of the store", {
            "code": 1, "impairments": [(None, 1.5, 3.0)],
            "found": checks.Finding.OWN_END}),
        ("after an impairment before its start", {
            "code": 1, "started_s": 2.5, "impairments": [([0], 2.2, 2.4)],
            "found": checks.Finding.OWN_END}),
    ]  # fmt: skip
    sent = ()
    impairments = ()
    started_s = 0.5
    found = None

    def test_only_own_ends_are_found(self):
        end = ends.End(0, self.code, self.sent, self.started_s, 3.0)
        found = ends.find_own_end(end, make.past(impairments=self.impairments))
        self.assertEqual(self.found, found and found[0])
