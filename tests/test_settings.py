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
_REQUIRED = {
    "CYCLAMENDALE_FAILURE_DOMAIN": "north",
    "CYCLAMENDALE_PLATFORM_URL": "http://127.0.0.1:9000/",
}
_SECRET = "a secret of the fleet"


def make_invalid_scenario(arguments, *expected, **variables):
    """Returns a scenario: flags, variables and expected (setting, problem)."""
    return {
        "arguments": arguments.split(),
        "environment": {f"CYCLAMENDALE_{k}": v for k, v in variables.items()},
        "expected": set(expected),
    }


_INVALID_SCENARIOS = {
    "unknown flag": make_invalid_scenario("--colour", ("--colour", "unknown")),
    "shortened flag": make_invalid_scenario("--http=1", ("--http", "unknown")),
    "secret as flag": make_invalid_scenario(
        "--fleet-secret hush", ("--fleet-secret", "unknown")
    ),
    "positional argument": make_invalid_scenario("serve", ("serve", "unknown")),
    "unknown variable": make_invalid_scenario(
        "", ("CYCLAMENDALE_HTP", "unknown"), HTP="127.0.0.1:1"
    ),
    "flag without value": make_invalid_scenario(
        "--http-address", ("--http-address", "value-missing")
    ),
    "host name instead of IP address": make_invalid_scenario(
        "--http-address localhost:1", ("--http-address", "malformed")
    ),
    "port too high": make_invalid_scenario(
        "--http-address 127.0.0.1:65536", ("--http-address", "malformed")
    ),
    "IPv6 address without brackets": make_invalid_scenario(
        "--http-address ::1:80", ("--http-address", "malformed")
    ),
    "unspecified peer address": make_invalid_scenario(
        "--peer-address 0.0.0.0:1", ("--peer-address", "malformed")
    ),
    "control address not loopback": make_invalid_scenario(
        "--control-address 10.0.0.1:1", ("--control-address", "not-loopback")
    ),
    "listeners not loopback without secret": make_invalid_scenario(
        "--http-address 0.0.0.0:80 --peer-address 10.0.0.1:81",
        ("--http-address", "beyond-loopback"),
        ("--peer-address", "beyond-loopback"),
    ),
    "same address": make_invalid_scenario(
        "--http-address 127.0.0.1:5 --peer-address 127.0.0.1:5",
        ("--peer-address", "address-twice"),
    ),
    "empty failure domain": make_invalid_scenario(
        "--failure-domain=", ("--failure-domain", "malformed")
    ),
    "unsupported URL scheme": make_invalid_scenario(
        "--platform-url ftp://x", ("--platform-url", "malformed")
    ),
    "password in URL": make_invalid_scenario(
        "--platform-url http://u:hush@x", ("--platform-url", "malformed")
    ),
    "unknown log level": make_invalid_scenario(
        "--log-level loud", ("--log-level", "malformed")
    ),
    "time with unit": make_invalid_scenario(
        "--shutdown-timeout-s 3s", ("--shutdown-timeout-s", "malformed")
    ),
    "time out of range": make_invalid_scenario(
        "--shutdown-timeout-s -1", ("--shutdown-timeout-s", "out-of-range")
    ),
    "time not a number": make_invalid_scenario(
        "--shutdown-timeout-s nan", ("--shutdown-timeout-s", "out-of-range")
    ),
    "variable out of range": make_invalid_scenario(
        "",
        ("CYCLAMENDALE_SHUTDOWN_TIMEOUT_S", "out-of-range"),
        SHUTDOWN_TIMEOUT_S="1e9",
    ),
    "short secret": make_invalid_scenario(
        "",
        ("CYCLAMENDALE_FLEET_SECRET", "secret-too-short"),
        FLEET_SECRET="hush",
    ),
    "missing secret file": make_invalid_scenario(
        "--fleet-secret-file /nowhere/secret",
        ("--fleet-secret-file", "secret-unreadable"),
    ),
    "several errors": make_invalid_scenario(
        "--log-level loud --platform-url x --peer-address y --z",
        ("--log-level", "malformed"),
        ("--platform-url", "malformed"),
        ("--peer-address", "malformed"),
        ("--z", "unknown"),
        ("CYCLAMENDALE_HTTP_IDLE_TIMEOUT_S", "malformed"),
        HTTP_IDLE_TIMEOUT_S="long",
    ),
}


class InvalidSettingsTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = list(_INVALID_SCENARIOS.items())

    def test_each_error_names_its_setting(self):
        errors = settings.load(
            self.arguments, _REQUIRED | self.environment
        ).error.errors
        found = {(error.setting, error.problem.value) for error in errors}
        self.assertEqual(self.expected, found)
        self.assertNotIn("hush", "".join(map(str, errors)))


class SettingsTest(testtools.TestCase):
    def test_all_missing_settings_are_reported(self):
        errors = settings.load([], {}).error.errors
        self.assertEqual(
            [
                ("--failure-domain", "missing"),
                ("--platform-url", "missing"),
            ],
            [(error.setting, error.problem.value) for error in errors],
        )

    def test_a_flag_takes_precedence_over_its_variable(self):
        environment = _REQUIRED | {"CYCLAMENDALE_LOG_LEVEL": "debug"}
        for arguments, level in (
            ([], "debug"),
            (["--log-level=error"], "error"),
        ):
            loaded = settings.load(arguments, environment).ok
            self.assertEqual(level, loaded.log_level.value)

    def test_a_secret_from_variable_or_file_allows_non_loopback_addresses(self):
        flags = ["--peer-address", "[fd00::7]:81"]
        file = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        file = file / "secret"
        file.write_text(_SECRET + "\n")
        variable = _REQUIRED | {"CYCLAMENDALE_FLEET_SECRET": _SECRET}
        by_file = [*flags, "--fleet-secret-file", str(file)]
        for arguments, environment in ((flags, variable), (by_file, _REQUIRED)):
            loaded = settings.load(arguments, environment).ok
            self.assertEqual(_SECRET.encode(), loaded.fleet_secret.reveal())
            self.assertEqual("[fd00::7]:81", str(loaded.peer_address))
            self.assertNotIn(_SECRET, repr(loaded))
        errors = settings.load(by_file, variable).error.errors
        self.assertEqual(
            ["secret-twice"], [error.problem.value for error in errors]
        )

    def test_the_help_shows_no_values_from_the_environment(self):
        shown = io.StringIO()
        environment = _REQUIRED | {"CYCLAMENDALE_FLEET_SECRET": _SECRET}
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
    def test_a_log_line_is_one_json_object_with_node_and_fields(self):
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


class FakeStatsdClient:
    """Records the values that a pipeline sends, one list per send."""

    def __init__(self):
        self.sent = []
        self._recorded = []

    def pipeline(self):
        self._recorded = []
        return self

    def incr(self, stat, count=1):
        self._recorded.append((stat, count))

    gauge = timing = incr

    def send(self):
        self.sent.append(self._recorded)


class MetricsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.client = FakeStatsdClient()
        self.metrics = metrics.StatsdMetrics(
            clocks.ReactorClock(self.reactor), self.client, interval_s=1.0
        )

    def test_metrics_are_sent_once_per_interval(self):
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

    def test_stop_sends_pending_values_and_cancels_the_timer(self):
        self.metrics.start()
        self.metrics.count("served", 2)
        self.metrics.stop()
        self.assertEqual([[("served", 2)]], self.client.sent)
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_names_beyond_the_limit_share_one_counter(self):
        for number in range(metrics.MAX_METRIC_NAMES + 5):
            self.metrics.count(f"n{number}")
        self.metrics.stop()
        counters = dict(self.client.sent[0])
        self.assertEqual(metrics.MAX_METRIC_NAMES + 1, len(counters))
        self.assertEqual(5, counters[metrics.OVERFLOW_NAME])
