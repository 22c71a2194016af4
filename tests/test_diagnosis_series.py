"""Series over time that a report shows."""

from __future__ import annotations

import testscenarios
import testtools

from cyclamendale.cli import charts
from cyclamendale.diagnosis import series
from tests.support import log_samples

_line = log_samples.line
_started = log_samples.started


def collect(*lines):
    """Returns the series of lines."""
    collector = series.SeriesCollector()
    collector.add_lines(lines)
    return collector.series()


class SeriesTest(testtools.TestCase):
    def test_failures_are_counted_by_reason_and_time(self):
        found = collect(
            _line(0, "a-1", "refused", request="1", reason="shed"),
            _line(0.9, "a-2", "refused", request="2", reason="shed"),
            _line(2, "a-1", "refused", request="3", reason="quota"),
            _line(2, "a-1", "answered-with-failure", request="4", status=500),
            _line(3, "a-1", "lines-left-out", counts={"refused": 7, "x": "y"}),
        )
        self.assertEqual(
            {
                "shed": [2, 0, 0, 0],
                "quota": [0, 0, 1, 0],
                series.PASSED_ON: [0, 0, 1, 0],
                series.LEFT_OUT: [0, 0, 0, 7],
            },
            found.failures,
        )

    def test_processes_are_counted_by_version(self):
        found = collect(
            _started("a-1", 0),
            _started("a-2", 0),
            _line(1.5, "a-1", "configuration-in-force", version=9),
            _line(1.5, "a-2", "configuration-in-force", version=9),
            _line(3.5, "a-2", "configuration-in-force", version=10),
            _line(4, "a-1", "stop"),
            _line(5.5, "a-1", "stopped"),
        )
        self.assertEqual(
            {
                series.NO_VERSION: [2, 0, 0, 0, 0, 0],
                "9": [0, 2, 2, 1, 1, 0],
                "10": [0, 0, 0, 1, 1, 1],
            },
            found.versions,
        )
        self.assertEqual(["none", "9", "10"], list(found.versions))

    def test_hosts_are_counted_by_what_they_take(self):
        found = collect(
            _started("a-1", 0),
            _started("a-2", 0),
            _line(1.5, "a-2", "upstream-door", was="open", now="lost"),
            _line(2.5, "a-2", "upstream-door", was="lost", now="open"),
            _line(2.5, "a-1", "stop"),
            _line(3.5, "a-1", "stopped"),
            _started("a-1", 4.5, pid=99),
        )
        self.assertEqual(
            {
                "open": [2, 1, 1, 1, 2],
                "upstream lost": [0, 1, 0, 0, 0],
                "stopping": [0, 0, 1, 0, 0],
                "down": [0, 0, 0, 1, 0],
            },
            found.hosts,
        )

    def test_a_process_is_alive_until_its_last_line(self):
        refused = {"request": "1", "reason": "shed", "log": "log", "pid": 1}
        found = collect(
            _started("a-1", 0, pid=1, log="log"),
            _line(5, "a-1", "refused", **refused),
            _started("a-1", 7, pid=1, log="log"),
            _line(9, "a-1", "refused", **refused),
        )
        self.assertEqual(
            [5, 9], [life.last_s - log_samples.BEGIN_S for life in found.lives]
        )


_PERIODS = {
    "a moment": (0.0, 1, 1),
    "two minutes": (119.5, 1, 120),
    "a little more": (120.0, 2, 61),
    "an hour": (3600.0, 60, 61),
    "a day": (86_400.0, 1800, 49),
    "a clock that is off by years": (1e9, None, None),
}


class ColumnsTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (name, {"period_s": period, "step_s": step, "count": count})
        for name, (period, step, count) in _PERIODS.items()
    ]

    def test_a_period_has_a_bounded_number_of_columns(self):
        found = collect(
            _line(0, "a-1", "refused", request="1", reason="shed"),
            _line(self.period_s, "a-1", "refused", request="2", reason="shed"),
        )
        if self.step_s is not None:
            self.assertEqual(
                (self.step_s, self.count),
                (found.columns.step_s, found.columns.count),
            )
        self.assertLessEqual(found.columns.count, series.MAX_COLUMNS + 1)
        self.assertEqual(2, sum(found.failures["shed"]))


_VALUES = {
    "zero": ([0], 4),
    "one": ([1], 4),
    "five": ([5], 8),
    "thousands": ([1003], 2000),
    "stacked": ([30, 11], 80),
}


class ChartTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (name, {"values": values, "top": top})
        for name, (values, top) in _VALUES.items()
    ]

    def test_the_axis_ends_at_a_round_value_above_all(self):
        columns = series.Columns(log_samples.BEGIN_S, 1, 1)
        values = {str(index): [n] for index, n in enumerate(self.values)}
        chart = charts.render_chart(columns, values)
        self.assertIn(f">{self.top}</text>", chart)
        self.assertEqual(sum(map(bool, self.values)), chart.count("<rect"))
