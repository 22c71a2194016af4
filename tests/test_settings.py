"""Tests of settings, logs and metrics."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import pathlib
import tempfile

import testscenarios
import testtools
from twisted.internet import task

from cyclamendale import _setting_definitions as definitions
from cyclamendale import clocks
from cyclamendale import logs
from cyclamendale import metrics
from cyclamendale import settings

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_NEEDED = {
    "CYCLAMENDALE_FAILURE_DOMAIN": "north",
    "CYCLAMENDALE_PLATFORM_URL": "http://127.0.0.1:9000/",
}
_SECRET = "a secret of the fleet"


def wrong(arguments, *expected, **variables):
    """A row: flags and variables with their (setting, problem) faults."""
    return {
        "arguments": arguments.split(),
        "environment": {f"CYCLAMENDALE_{k}": v for k, v in variables.items()},
        "expected": set(expected),
    }


_WRONG = {
    "unknown flag": wrong("--colour", ("--colour", "unknown")),
    "shortened flag": wrong("--http=1", ("--http", "unknown")),
    "secret as flag": wrong(
        "--fleet-secret hush", ("--fleet-secret", "unknown")
    ),
    "stray word": wrong("serve", ("serve", "unknown")),
    "unknown variable": wrong(
        "", ("CYCLAMENDALE_HTP", "unknown"), HTP="127.0.0.1:1"
    ),
    "no value": wrong("--http-address", ("--http-address", "value-missing")),
    "name as host": wrong(
        "--http-address localhost:1", ("--http-address", "malformed")
    ),
    "port too high": wrong(
        "--http-address 127.0.0.1:65536", ("--http-address", "malformed")
    ),
    "bare IPv6": wrong(
        "--http-address ::1:80", ("--http-address", "malformed")
    ),
    "peer cannot be reached": wrong(
        "--peer-address 0.0.0.0:1", ("--peer-address", "malformed")
    ),
    "control beyond loopback": wrong(
        "--control-address 10.0.0.1:1", ("--control-address", "not-loopback")
    ),
    "listen beyond loopback without secret": wrong(
        "--http-address 0.0.0.0:80 --peer-address 10.0.0.1:81",
        ("--http-address", "beyond-loopback"),
        ("--peer-address", "beyond-loopback"),
    ),
    "same address": wrong(
        "--http-address 127.0.0.1:5 --peer-address 127.0.0.1:5",
        ("--peer-address", "address-twice"),
    ),
    "empty domain": wrong(
        "--failure-domain=", ("--failure-domain", "malformed")
    ),
    "other scheme": wrong(
        "--platform-url ftp://x", ("--platform-url", "malformed")
    ),
    "password in url": wrong(
        "--platform-url http://u:hush@x", ("--platform-url", "malformed")
    ),
    "level": wrong("--log-level loud", ("--log-level", "malformed")),
    "time with unit": wrong(
        "--shutdown-timeout-s 3s", ("--shutdown-timeout-s", "malformed")
    ),
    "time out of range": wrong(
        "--shutdown-timeout-s -1", ("--shutdown-timeout-s", "out-of-range")
    ),
    "time not a number": wrong(
        "--shutdown-timeout-s nan", ("--shutdown-timeout-s", "out-of-range")
    ),
    "variable": wrong(
        "",
        ("CYCLAMENDALE_SHUTDOWN_TIMEOUT_S", "out-of-range"),
        SHUTDOWN_TIMEOUT_S="1e9",
    ),
    "short secret": wrong(
        "",
        ("CYCLAMENDALE_FLEET_SECRET", "secret-too-short"),
        FLEET_SECRET="hush",
    ),
    "no secret file": wrong(
        "--fleet-secret-file /nowhere/secret",
        ("--fleet-secret-file", "secret-unreadable"),
    ),
    "all at once": wrong(
        "--log-level loud --platform-url x --peer-address y --z",
        ("--log-level", "malformed"),
        ("--platform-url", "malformed"),
        ("--peer-address", "malformed"),
        ("--z", "unknown"),
        ("CYCLAMENDALE_HTTP_IDLE_TIMEOUT_S", "malformed"),
        HTTP_IDLE_TIMEOUT_S="long",
    ),
}


class WrongSettingsTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = list(_WRONG.items())

    def test_every_fault_names_its_setting(self):
        errors = settings.load(
            self.arguments, _NEEDED | self.environment
        ).error.errors
        found = {(error.setting, error.problem.value) for error in errors}
        self.assertEqual(self.expected, found)
        self.assertNotIn("hush", "".join(map(str, errors)))


class SettingsTest(testtools.TestCase):
    def test_required_settings_are_all_named(self):
        errors = settings.load([], {}).error.errors
        self.assertEqual(
            [
                ("--failure-domain", "missing"),
                ("--platform-url", "missing"),
            ],
            [(error.setting, error.problem.value) for error in errors],
        )

    def test_a_flag_goes_before_its_variable(self):
        environment = _NEEDED | {"CYCLAMENDALE_LOG_LEVEL": "debug"}
        for arguments, level in (
            ([], "debug"),
            (["--log-level=error"], "error"),
        ):
            loaded = settings.load(arguments, environment).ok
            self.assertEqual(level, loaded.log_level.value)

    def test_a_secret_of_variable_or_file_allows_other_addresses(self):
        flags = ["--peer-address", "[fd00::7]:81"]
        file = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        file = file / "secret"
        file.write_text(_SECRET + "\n")
        variable = _NEEDED | {"CYCLAMENDALE_FLEET_SECRET": _SECRET}
        by_file = [*flags, "--fleet-secret-file", str(file)]
        for arguments, environment in ((flags, variable), (by_file, _NEEDED)):
            loaded = settings.load(arguments, environment).ok
            self.assertEqual(_SECRET.encode(), loaded.fleet_secret.reveal())
            self.assertEqual("[fd00::7]:81", str(loaded.peer_address))
            self.assertNotIn(_SECRET, repr(loaded))
        errors = settings.load(by_file, variable).error.errors
        self.assertEqual(
            ["secret-twice"], [error.problem.value for error in errors]
        )

    def test_the_help_shows_no_value_of_the_environment(self):
        shown = io.StringIO()
        environment = _NEEDED | {"CYCLAMENDALE_FLEET_SECRET": _SECRET}
        with contextlib.redirect_stdout(shown):
            caught = self.assertRaises(
                SystemExit, settings.load, ["--help"], environment
            )
        self.assertEqual(0, caught.code)
        self.assertNotIn(_SECRET, shown.getvalue())
        self.assertIn("--failure-domain", shown.getvalue())

    def test_the_operators_page_describes_every_setting(self):
        page = (_ROOT / "docs/operators/settings.md").read_text()
        for definition in definitions.DEFINITIONS:
            with self.subTest(setting=definition.name):
                flag = definition.flag if definition.has_flag else "none"
                self.assertIn(
                    f"| `{flag}` | `{definition.variable}` "
                    f"| {_default(definition)} |",
                    page,
                )


def _default(definition):
    if definition.default is None:
        return "required"
    return f"`{definition.default}`" if definition.default else "none"


class LogsTest(testtools.TestCase):
    def test_a_line_is_one_json_object_with_node_and_fields(self):
        stream = io.StringIO()
        handler = logs.make_handler(stream, "127.0.0.1:1#ab")
        record = logging.makeLogRecord(
            {
                "name": "x",
                "levelname": "INFO",
                "msg": "up\n",
                "version": 3,
                "created": 1.5,
            }
        )
        handler.emit(record)
        line = json.loads(stream.getvalue())
        self.assertEqual("1970-01-01T00:00:01.500000+00:00", line["time"])
        self.assertEqual(
            ("up\n", "INFO", "x", "127.0.0.1:1#ab", 3),
            tuple(
                line[key]
                for key in ("message", "level", "logger", "node", "version")
            ),
        )


class FakeStatsd:
    """Records what a pipeline sends, one list a send."""

    def __init__(self):
        self.sent = []
        self._noted = []

    def pipeline(self):
        self._noted = []
        return self

    def incr(self, stat, count=1):
        self._noted.append((stat, count))

    gauge = timing = incr

    def send(self):
        self.sent.append(self._noted)


class MetricsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.client = FakeStatsd()
        self.metrics = metrics.StatsdMetrics(
            clocks.ReactorClock(self.reactor), self.client, interval_s=1.0
        )

    def test_an_interval_is_one_send_however_many_requests(self):
        self.metrics.start()
        for duration_ms in (1.0, 2.0, 6.0):
            self.metrics.count("served")
            self.metrics.gauge("queue", duration_ms)
            self.metrics.timing("request", duration_ms)
        self.assertEqual([], self.client.sent)
        self.reactor.advance(1.0)
        self.reactor.advance(1.0)
        expected = [
            ("served", 3),
            ("queue", 6.0),
            ("request.mean", 3.0),
            ("request.max", 6.0),
        ]
        self.assertEqual([expected, []], self.client.sent)

    def test_stopping_sends_what_is_left_and_ends(self):
        self.metrics.start()
        self.metrics.count("served", 2)
        self.metrics.stop()
        self.assertEqual([[("served", 2)]], self.client.sent)
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_endless_names_are_counted_under_one(self):
        for number in range(metrics.MAX_METRIC_NAMES + 5):
            self.metrics.count(f"n{number}")
        self.metrics.stop()
        counters = dict(self.client.sent[0])
        self.assertEqual(metrics.MAX_METRIC_NAMES + 1, len(counters))
        self.assertEqual(5, counters[metrics.OVERFLOW_NAME])
