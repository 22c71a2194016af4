"""The lives of processes, as their logs tell them."""

from __future__ import annotations

import testscenarios
import testtools

from cyclamendale.diagnosis import process_lives
from tests.support import log_samples

_line = log_samples.line
_started = log_samples.started

_SCENARIOS = {
    "it runs": ([_started("a-1", 0)], ["open"]),
    "it stopped": (
        [
            _started("a-1", 0),
            _line(5, "a-1", "stop", in_work=3),
            _line(7, "a-1", "stopped", in_work=1),
        ],
        ["stopped"],
    ),
    "it stops and no process followed": (
        [_started("a-1", 0), _line(5, "a-1", "stop", in_work=3)],
        ["open"],
    ),
    "it ended while it stopped": (
        [
            _started("a-1", 0),
            _line(5, "a-1", "stop", in_work=3),
            _started("a-1", 9, pid=99),
        ],
        ["cut-in-stop", "open"],
    ),
    "it ended by itself": (
        [_started("a-1", 0), _started("a-1", 9, pid=99)],
        ["by-itself", "open"],
    ),
    "the next one has the same number, as in a container": (
        [_started("a-1", 0, pid=1), _started("a-1", 9, pid=1)],
        ["by-itself", "open"],
    ),
    "the next one waits with the same number": (
        [
            _started("a-1", 0, pid=1),
            _line(3, "a-1", "addresses-in-use", pid=1, waited_s=0.1),
            _started("a-1", 9, pid=1),
        ],
        ["by-itself", "open"],
    ),
    "the next one starts while it still serves": (
        [
            _started("a-1", 0),
            _line(5, "a-1", "stop", in_work=3),
            _line(5.5, "a-1", "addresses-in-use", pid=99, waited_s=0.1),
            _line(7, "a-1", "stopped", in_work=1),
            _line(7.1, "a-1", "refused", request="r"),
            _started("a-1", 7.2, pid=99),
        ],
        ["stopped", "open"],
    ),
    "its log was rotated": (
        [
            _started("a-1", 0, log="a.log.1"),
            _line(5, "a-1", "stop", log="a.log"),
            _line(7, "a-1", "stopped", log="a.log"),
        ],
        ["stopped"],
    ),
    "logs without numbers of processes": (
        [
            _started("a-1", 0, pid=0, log="a.1"),
            _started("a-1", 9, pid=0, log="a.2"),
            _line(10, "a-1", "stop", pid=0, log="a.1"),
            _line(11, "a-1", "stopped", pid=0, log="a.1"),
        ],
        ["stopped", "open"],
    ),
    "its settings could not be used at first": (
        [
            _line(0, "", "settings-unusable", pid=11, log="a-1.log"),
            _started("a-1", 3),
        ],
        ["open"],
    ),
    "its settings could never be used": (
        [_line(0, "", "settings-unusable", pid=11), _started("b-3", 3)],
        ["open", "open"],
    ),
    "two hosts whose settings could never be used": (
        [
            _line(0, "", "settings-unusable", pid=11, log="a.log"),
            _line(1, "", "settings-unusable", pid=12, log="b.log"),
        ],
        ["open", "open"],
    ),
    "two hosts with the same number": (
        [_started("a-1", 0, pid=1), _started("a-2", 1, pid=1)],
        ["open", "open"],
    ),
}


class EndTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (name, {"lines": lines, "ends": ends})
        for name, (lines, ends) in _SCENARIOS.items()
    ]

    def test_each_process_has_its_end(self):
        for lines in (self.lines, self.lines[::-1]):
            lives = process_lives.collect_lives(lines)
            self.assertEqual(self.ends, [life.end.value for life in lives])


class LifeTest(testtools.TestCase):
    def test_a_life_has_its_times(self):
        [life] = process_lives.collect_lives(
            [
                _line(1, "", "settings-unusable", pid=11, log="a-1.log",
                      path="/node.json", error="absent", waited_s=1.0),
                _line(4, "a-1", "addresses-in-use", waited_s=4.0),
                _line(34, "a-1", "addresses-in-use", waited_s=34.0),
                _started("a-1", 40),
                _line(41, "a-1", "configuration-in-force", version=3),
                _line(42, "a-1", "store-reachable"),
                _line(50, "a-1", "configuration-in-force", version=4),
                _line(51, "a-1", "store-reachable"),
                _line(60, "a-1", "reload"),
                _line(70, "a-1", "stop", in_work=5),
                _line(73, "a-1", "stopped", in_work=2),
            ]
        )  # fmt: skip
        times = (life.start_s, life.ready_s, life.store_s, life.stop_s)
        self.assertEqual(
            [40, 41, 42, 70], [t - log_samples.BEGIN_S for t in times]
        )
        self.assertEqual(40, life.waited_s)
        self.assertEqual(
            [("settings-unusable", "/node.json absent"),
             ("addresses-in-use", "")],
            [(wait.event, wait.detail) for wait in life.waits],
        )  # fmt: skip
        self.assertEqual((5, 2, 1), (
            life.in_work, life.left_in_work, life.reload_count))  # fmt: skip
        self.assertEqual(log_samples.ADDRESSES["a-1"], life.address)

    def test_fields_of_another_type_are_left_out(self):
        [life] = process_lives.collect_lives(
            [_started("a-1", 0), _line(1, "a-1", "stop", in_work="many")]
        )
        self.assertIsNone(life.in_work)


_STATES = {
    "running": ([], 0, "running"),
    "before its start": ([], -101, "not started"),
    "stopping": ([_line(-3, "a-1", "stop")], -1, "stopping"),
    "before it stops": ([_line(-3, "a-1", "stop")], -4, "running"),
    "stopped": (
        [_line(-3, "a-1", "stop"), _line(-2, "a-1", "stopped")],
        -1,
        "down",
    ),
    "after its last line": ([_started("a-1", 9, pid=99)], 1, "perhaps down"),
    "after the next start": ([_started("a-1", 9, pid=99)], 10, "down"),
    "stopping beside the next one": (
        [
            _line(-3, "a-1", "stop"),
            _started("a-1", -2, pid=99),
            _line(2, "a-1", "stopped"),
        ],
        0,
        "stopping",
    ),
}


class StateTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (name, {"lines": lines, "at_s": at_s, "state": state})
        for name, (lines, at_s, state) in _STATES.items()
    ]

    def test_a_process_has_a_state_at_each_time(self):
        lives = process_lives.collect_lives([_started("a-1"), *self.lines])
        at_s = log_samples.BEGIN_S + self.at_s
        self.assertEqual(self.state, lives[0].state_at(at_s).value)
