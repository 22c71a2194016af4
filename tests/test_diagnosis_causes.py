"""The cause that a trace names, for each way in which a request fails."""

from __future__ import annotations

import testscenarios
import testtools

from tests.support import log_samples

_HOST = {"host": log_samples.ADDRESSES["a-2"]}
_LOST = {"reason": "lost", "execution": "unknown", **_HOST}
_about = log_samples.about
_line = log_samples.line
_refused = log_samples.refused
_started = log_samples.started

_SCENARIOS = {
    "over its quota": (
        [
            _about(0, "a-1", "over-quota", customer="bahu773", wait_s=0.2,
                   rate_per_s=31, quota_level=-4.2, reachable=1),
            _refused(0, "a-1", "quota"),
        ],
        "quota", "is over its rate of 31 per second (level -4.2); it did not",
    ),
    "a burst within its quota, told by another home": (
        [
            _about(0, "a-1", "over-quota", customer="bahu773", wait_s=0.2),
            _refused(0, "a-1", "quota"),
            _line(1, "a-2", "over-quota", request="r2", customer="other",
                  rate_per_s=9, quota_level=-1, reachable=1),
            _line(1.5, "a-2", "over-quota", request="r2", customer="bahu773",
                  rate_per_s=31, quota_level=2, reachable=1),
        ],
        "quota", "is within its rate of 31 per second",
    ),
    "a part of its quota out of reach": (
        [
            _about(0, "a-1", "over-quota", customer="bahu773", wait_s=0.2,
                   rate_per_s=31, quota_level=0.5, reachable=0.5),
            _refused(0, "a-1", "quota"),
        ],
        "quota", "only 50% of its quota can be reached",
    ),
    "a silent home": (
        [
            _line(-0.3, "a-1", "quota-home-silent", home="10.0.0.9:7000"),
            _refused(0, "a-1", "quota"),
        ],
        "quota", "the home of customer bahu773 did not answer",
    ),
    "an unknown route": (
        [_refused(0, "a-1", "route-unknown")],
        "refused", "its route is not in force (configuration 4 in force)",
    ),
    "a reason that no rule knows": (
        [_refused(0, "a-1", "new-reason")], "refused", "a-1: new-reason",
    ),
    "shed at its first node": (
        [
            _about(0, "a-1", "shed", service="wash", pressure=0.87,
                   refused_share=0.97, rank=2),
            _refused(0, "a-1", "shed"),
        ],
        "shed", "service wash has no room (pressure 0.87, 97% of rank 2",
    ),
    "a queue without room": (
        [
            _about(0, "a-1", "gave-up", reason="queue-full", **_HOST),
            _refused(0, "a-1", "queue-full"),
        ],
        "shed", "at host 10.0.0.12:7000 (a-2), whose queue",
    ),
    "no open upstream": (
        [
            _line(-9, "a-2", "upstream-door", was="open", now="lost"),
            _line(-9, "b-3", "upstream-door", was="open", now="lost"),
            _line(-8, "b-3", "upstream-door", was="lost", now="open"),
            _refused(0, "a-1", "no-target"),
        ],
        "no-target", "of route wash-read (closed then: a-2 upstream lost)",
    ),
    "no host that runs": (
        [
            _line(-9, "a-2", "stop", in_work=1),
            _line(-4, "a-2", "stopped", in_work=0),
            _started("a-2", 5, pid=99),
            _line(-1, "b-3", "stop", in_work=1),
            _refused(0, "a-1", "no-target"),
        ],
        "no-target", "(closed then: a-2 down, b-3 stopping)",
    ),
    "the own node stops": (
        [
            _line(-0.3, "a-1", "stop", in_work=3),
            _refused(0, "a-1", "leaving", age_ms=0.1),
        ],
        "leaving", "a-1, which was stopping since 0.3 s; it did not run.",
    ),
    "the other host stops": (
        [
            _line(-0.3, "a-2", "stop", in_work=3),
            _about(0, "a-1", "gave-up", reason="leaving", **_HOST),
            _refused(0, "a-1", "leaving", age_ms=0.1),
        ],
        "leaving", "at host 10.0.0.12:7000 (a-2), which was leaving",
    ),
    "its connection to the upstream broke": (
        [
            _about(0.1, "a-2", "upstream-failed", failure="broken",
                   upstream="i-1"),
            _about(0, "a-1", "gave-up", **_LOST),
            _refused(0, "a-1", "upstream-failed", "unknown"),
        ],
        "upstream-failed",
        "Upstream i-1 of a-2: its connection ended during the response; it "
        "may have run.",
    ),
    "the upstream refused": (
        [
            _about(0, "a-2", "upstream-refused", status=503, upstream="i-1"),
            _refused(0, "a-1", "upstream-refused"),
        ],
        "upstream-failed", "i-1 of a-2: it refused with status 503",
    ),
    "the upstream failed and the repeat found no room": (
        [
            _about(0, "a-1", "repeat", after_status=500, **_HOST),
            _about(0.1, "a-1", "gave-up", reason="queue-full",
                   execution="not-run", host=log_samples.ADDRESSES["b-3"]),
            _refused(0.1, "a-1", "lost", "unknown"),
        ],
        "upstream-failed",
        "Lost at host 10.0.0.12:7000 (a-2): its upstream answered with status "
        "500",
    ),
    "an upstream's own failure": (
        [
            _about(0, "a-1", "answered-with-failure", status=500,
                   upstream="i-1", latency_ms=2500),
        ],
        "upstream-failed", "i-1 answered with status 500 after 2.5 s",
    ),
    "the process that had it was killed": (
        [
            _line(-0.2, "a-2", "refused", request="r2"),
            _about(0, "a-1", "gave-up", **_LOST),
            _refused(0, "a-1", "lost", "unknown"),
            _started("a-2", 2.5, pid=99),
        ],
        "process-ended",
        "process 12 of a-2 ended by itself or was killed; its last line came "
        "0.2 s earlier; it may",
    ),
    "the process that had it was cut while it stopped": (
        [
            _line(-3, "a-2", "stop", in_work=2),
            _about(0, "a-1", "gave-up", **_LOST),
            _refused(0, "a-1", "lost", "unknown"),
            _started("a-2", 2.5, pid=99),
        ],
        "process-ended", "a-2 ended while it stopped",
    ),
    "the process that had it stopped": (
        [
            _line(-3, "a-2", "stop", in_work=2),
            _line(-0.1, "a-2", "stopped", in_work=1),
            _about(0, "a-1", "gave-up", **_LOST),
            _refused(0, "a-1", "lost", "unknown"),
        ],
        "process-ended", "process 12 of a-2 stopped 0.1 s earlier",
    ),
    "a process that ended later, or elsewhere": (
        [
            _about(0, "a-1", "gave-up", **_LOST),
            _refused(0, "a-1", "lost", "unknown"),
            _line(4, "a-2", "host-met"),
            _started("a-2", 5, pid=99),
            _started("b-3", 0.1, pid=98),
        ],
        "lost-at-host", "(a-2): the connection to it ended, and no log",
    ),
    "a silent way to the host": (
        [
            _line(-0.1, "a-1", "link-silent", peer=_HOST["host"], in_work=2),
            _about(0, "a-1", "gave-up", **_LOST),
            _refused(0, "a-1", "lost", "unknown", age_ms=900.0),
        ],
        "lost-at-host", "the host or the way to it was silent",
    ),
    "silent ways of others, and to others": (
        [
            _line(-0.1, "b-3", "link-silent", peer=_HOST["host"], in_work=2),
            _line(-0.1, "a-1", "link-silent", peer="10.9.9.9:1", in_work=2),
            _about(0, "a-1", "gave-up", **_LOST),
            _refused(0, "a-1", "lost", "unknown", age_ms=900.0),
        ],
        "lost-at-host", "(a-2): the connection to it ended, and no log",
    ),
    "a host whose log was not given": (
        [
            _about(0, "a-1", "gave-up", reason="lost", execution="unknown",
                   host="10.9.9.9:7000"),
            _refused(0, "a-1", "lost", "unknown"),
        ],
        "lost-at-host", "host 10.9.9.9:7000 (no log tells its node)",
    ),
    "a silent upstream": (
        [
            _refused(0, "a-1", "deadline", "unknown", age_ms=5000.0),
            _about(0.2, "a-2", "upstream-silent", upstream="i-1", in_a_row=1),
        ],
        "deadline", "over after 5.0 s: upstream i-1 of a-2 gave no response",
    ),
    "a silent way until the deadline": (
        [
            _line(-2, "a-1", "link-silent", peer=_HOST["host"], in_work=2),
            _refused(0, "a-1", "deadline", "unknown", age_ms=5000.0),
        ],
        "lost-at-host", "no word came from host 10.0.0.12:7000 (a-2)",
    ),
    "a process that was killed before the deadline": (
        [
            _line(-2, "a-2", "host-met"),
            _started("a-2", -1, pid=99),
            _refused(0, "a-1", "deadline", "unknown", age_ms=5000.0),
        ],
        "process-ended", "meanwhile process 12 of a-2 ended by itself",
    ),
    "a slow upstream": (
        [_refused(0, "a-1", "deadline", "unknown", age_ms=5000.0)],
        "deadline", "no host logged a failure: probably it was at work; it may",
    ),
    "its caller left": (
        [_about(0, "a-1", "caller-left", route="wash-read")],
        "caller-left", "Its caller left a-1",
    ),
    "its caller's node was killed": (
        [
            _about(0, "a-1", "repeat", **_LOST),
            _started("a-1", 2, pid=99),
            _started("b-3", 2, pid=98),
        ],
        "process-ended",
        "No node logged what its caller got: process 11 of a-1 ended by",
    ),
    "an unknown node was killed": (
        [
            _about(0, "a-2", "upstream-silent", upstream="i-1", in_a_row=1),
            _started("b-3", 2, pid=98),
        ],
        "process-ended", "process 13 of b-3 ended by itself",
    ),
    "the grace period of its caller's node ended": (
        [
            _line(-5.4, "a-1", "stop", in_work=3),
            _refused(0, "a-1", "lost", "unknown", age_ms=4000.0),
            _line(0, "a-1", "stopped", in_work=1),
            _about(1, "a-2", "upstream-silent", upstream="i-1", in_a_row=1),
        ],
        "process-ended",
        "a-1, which was stopping since 5.4 s, gave it up at the end of its "
        "grace period; upstream i-1 of a-2 had it; it may have run.",
    ),
    "repeated by a node that stopped afterwards": (
        [
            _about(0, "a-1", "repeat", **_LOST),
            _line(1, "a-1", "stop", in_work=3),
            _line(4, "a-1", "stopped", in_work=0),
            _started("a-1", 5, pid=99),
        ],
        "no-failure", "after a-1 sent it elsewhere",
    ),
    "repeated and answered": (
        [_about(0, "a-1", "repeat", **_LOST)],
        "no-failure", "(lost at host 10.0.0.12:7000 (a-2)): it was answered",
    ),
    "known to its gate only": (
        [_about(0, "a-2", "upstream-silent", upstream="i-1", in_a_row=1)],
        "unknown", "Only a-2 logged it",
    ),
}  # fmt: skip


class CauseTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (name, {"lines": lines, "kind": kind, "text": text})
        for name, (lines, kind, text) in _SCENARIOS.items()
    ]

    def test_a_failure_has_its_cause(self):
        for lines in (self.lines, self.lines[::-1]):
            found = log_samples.trace(lines + log_samples.fleet())
            self.assertEqual(self.kind, found.cause.kind.value)
            self.assertIn(self.text, found.cause.sentence)
            self.assertTrue(found.cause.sentence.endswith("."))


class TraceTest(testtools.TestCase):
    def test_the_lines_that_show_the_cause_are_among_those_of_the_request(self):
        found = log_samples.trace(
            [
                *log_samples.fleet(),
                _refused(0, "a-1", "lost", "unknown"),
                _about(0, "a-1", "gave-up", **_LOST),
                _started("a-2", 2.5, pid=99),
                _started("b-3", 2.6, pid=98),
            ]
        )
        self.assertEqual(
            ["refused", "gave-up", "start"],
            [line.event for line in found.lines],
        )
        self.assertEqual("a-2", found.lines[-1].node)

    def test_lines_that_were_left_out_meanwhile_are_counted(self):
        counts = {"counts": {"refused": 7, "gave-up": 2}}
        found = log_samples.trace(
            [
                _line(-60, "a-1", "lines-left-out", **counts),
                _refused(0, "a-1", "deadline"),
                _line(0.5, "a-1", "lines-left-out", **counts),
                _line(0.6, "a-2", "lines-left-out", counts=None),
            ]
        )
        self.assertEqual({"a-1": 9}, found.left_out)

    def test_a_request_without_a_line_has_no_cause(self):
        lines = [*log_samples.fleet(), _started("a-2", 1, pid=99)]
        found = log_samples.trace(lines)
        self.assertIsNone(found.cause)
        self.assertEqual(["a-2"], [life.node for life in found.ended])

    def test_a_line_that_two_selections_chose_counts_once(self):
        line = _refused(0, "a-1", "shed")
        self.assertEqual(1, len(log_samples.trace([line, line]).lines))


_ORDERS = {
    "a host whose clock is fast": (
        [
            _about(0.0, "a-1", "gave-up", **_LOST),
            _about(0.0, "a-1", "refused"),
            _about(0.7, "a-2", "upstream-failed"),
        ],
        ["upstream-failed", "gave-up", "refused"],
    ),
    "a host whose clock is slow": (
        [
            _about(0.0, "a-1", "gave-up", **_LOST),
            _about(-0.7, "a-2", "upstream-failed"),
        ],
        ["upstream-failed", "gave-up"],
    ),
    "two attempts at one host": (
        [
            _about(0.0, "a-1", "repeat", **_LOST),
            _about(1.0, "a-1", "gave-up", **_LOST),
            _about(0.5, "a-2", "upstream-failed"),
            _about(1.5, "a-2", "upstream-refused"),
        ],
        ["upstream-failed", "repeat", "upstream-refused", "gave-up"],
    ),
    "a gate that notices after the caller's node": (
        [
            _about(0.0, "a-1", "refused"),
            _about(0.2, "a-2", "upstream-silent"),
        ],
        ["refused", "upstream-silent"],
    ),
    "an unknown host": (
        [
            _about(0.0, "a-1", "gave-up", host="10.9.9.9:1"),
            _about(0.7, "a-2", "upstream-failed"),
        ],
        ["gave-up", "upstream-failed"],
    ),
}


class OrderTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (name, {"lines": lines, "events": events})
        for name, (lines, events) in _ORDERS.items()
    ]

    def test_lines_are_in_the_order_of_cause_and_effect(self):
        found = log_samples.trace(log_samples.fleet() + self.lines)
        events = [line.event for line in found.lines if line.request]
        self.assertEqual(self.events, events)
