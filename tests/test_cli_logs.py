"""Commands that read logs, as an operator runs them."""

from __future__ import annotations

import pathlib
import tempfile
from xml.etree import ElementTree

import testtools

from tests.support import fake_operator
from tests.support import log_samples

_raw = log_samples.raw
_HOST = log_samples.ADDRESSES["a-2"]


class LogCommandCase(testtools.TestCase):
    """Two nodes, one of which was killed with a request."""

    def setUp(self):
        super().setUp()
        self.operator = fake_operator.Operator()
        self.addCleanup(self.operator.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        request = {"request": log_samples.REQUEST}
        lost = {"reason": "lost", "execution": "unknown"}
        self.write(
            "a-1.log",
            _raw(0, "a-1", "start", address=log_samples.ADDRESSES["a-1"]),
            _raw(9, "a-1", "gave-up", host=_HOST, **lost, **request),
            _raw(9, "a-1", "refused", age_ms=90.0, **lost, **request),
        )
        self.write(
            "a-2.log",
            _raw(0, "a-2", "addresses-in-use", address=_HOST, waited_s=1.0),
            _raw(2, "a-2", "start", address=_HOST),
            _raw(2.25, "a-2", "configuration-in-force", version=1),
            _raw(8, "a-2", "refused", request="x\x1b[2J"),
            _raw(11, "a-2", "start", address=_HOST, pid=99),
            _raw(20, "a-2", "stop", in_work=3, pid=99),
            _raw(22, "a-2", "stopped", in_work=0, pid=99),
        )
        self.write("notes.txt", "host a-2 looked odd\n")

    def write(self, name, *lines):
        return str(log_samples.write_log(self.folder, name, *lines))

    def run_trace(self, *words, request=log_samples.REQUEST):
        return self.operator.run("trace", request, *words)


class TraceTest(LogCommandCase):
    def test_the_last_line_names_the_cause(self):
        self.assertEqual(0, self.run_trace(str(self.folder)))
        lines = self.operator.output.splitlines()
        self.assertEqual(
            "cause (process-ended): Lost at host 10.0.0.12:7000 (a-2): process "
            "12 of a-2 ended by itself or was killed; its last line came 1.0 s "
            "earlier; it may have run.",
            lines[-1],
        )
        for line, event in zip(
            lines, ("gave-up", "refused", "start"), strict=False
        ):
            self.assertIn(f" {event} ", line)

    def test_lines_of_hosts_and_processes_are_marked(self):
        self.run_trace(str(self.folder))
        lines = self.operator.output.splitlines()
        self.assertEqual([" ", " ", "*"], [line[0] for line in lines[:3]])

    def test_logs_that_cannot_be_read_are_named(self):
        absent = str(self.folder / "absent.log")
        self.assertEqual(0, self.run_trace(str(self.folder), absent))
        self.assertIn("notes.txt: contains no line", self.operator.output)
        self.assertIn("absent.log: does not exist", self.operator.output)

    def test_json_has_lines_cause_and_unread_logs(self):
        code, report = self.operator.json(
            "trace", log_samples.REQUEST, str(self.folder)
        )
        self.assertEqual(0, code)
        self.assertEqual("process-ended", report["trace"]["cause"]["kind"])
        self.assertEqual(3, len(report["trace"]["lines"]))
        self.assertEqual("no-lines", report["unread"][0]["problem"])

    def test_an_unknown_request_names_processes_that_ended(self):
        self.assertEqual(7, self.run_trace(str(self.folder), request="r9"))
        self.assertIn("no line of 2 logs is about", self.operator.errors)
        self.assertIn("process 12 of a-2 by-itself", self.operator.errors)
        self.assertIn("notes.txt", self.operator.errors)

    def test_no_readable_log_is_a_usage_error(self):
        path = str(self.folder / "notes.txt")
        self.assertEqual(2, self.run_trace(path))
        self.assertIn("no log was read", self.operator.errors)
        code, fault = self.operator.json("trace", "r", path)
        self.assertEqual((2, "no-log-read"), (code, fault["fault"]))

    def test_an_id_that_none_can_have_is_a_usage_error(self):
        self.assertEqual(2, self.run_trace(str(self.folder), request=""))
        self.assertEqual(2, self.run_trace())

    def test_control_characters_are_shown_escaped(self):
        self.run_trace(str(self.folder), request="x[2J")
        self.assertNotIn("\x1b", self.operator.output + self.operator.errors)


class ProcessesTest(LogCommandCase):
    def test_each_process_has_a_line(self):
        self.assertEqual(0, self.operator.run("processes", str(self.folder)))
        heading, *lines = self.operator.output.splitlines()
        self.assertTrue(heading.startswith("node"))
        expected = [
            ("a-1", "11", "-", "open"),
            ("a-2", "12", "3.0 s addresses-in-use", "next after 3.0 s"),
            ("a-2", "99", "-", "stopped in 2.0 s"),
        ]  # fmt: skip
        for line, (node, pid, waited, end) in zip(
            lines, expected, strict=False
        ):
            self.assertEqual([node, pid], line.split()[:2])
            self.assertIn(waited, line)
            self.assertTrue(line.endswith(end), line)
        self.assertIn("0.2 s", lines[1])
        self.assertIn("notes.txt: contains no line", lines[-1])

    def test_json_has_each_life_and_its_end(self):
        code, report = self.operator.json("processes", str(self.folder))
        self.assertEqual(0, code)
        self.assertEqual(
            ["open", "by-itself", "stopped"],
            [process["end"] for process in report["processes"]],
        )
        self.assertEqual(3, report["processes"][2]["life"]["in_work"])

    def test_no_readable_log_is_a_usage_error(self):
        path = str(self.folder / "absent")
        self.assertEqual(2, self.operator.run("processes", path))


class ReportTest(LogCommandCase):
    def setUp(self):
        super().setUp()
        self.page = self.folder.parent / f"{self.folder.name}.html"
        self.addCleanup(self.page.unlink, missing_ok=True)

    def run_report(self, *words):
        return self.operator.run(
            "report", str(self.folder), f"--output={self.page}", *words
        )

    def test_the_page_has_plots_processes_and_unread_logs(self):
        self.assertEqual(0, self.run_report())
        page = self.page.read_text()
        self.assertEqual(3, page.count("<svg"))
        for text in (
            "23:33:29 lost: 1<",
            "by-itself, next after 3.0 s",
            "notes.txt",
        ):
            self.assertIn(text, page)
        for line in ("from 2026-12-06T23:33:20.000Z, 3 processes", "lost: 1"):
            self.assertIn(line, self.operator.output)

    def test_the_page_needs_no_other_file(self):
        self.run_report()
        page = self.page.read_text()
        for text in ("http:", "https:", "<script", "<link", "src=", "url("):
            self.assertNotIn(text, page)

    def test_text_from_logs_is_no_markup(self):
        self.write(
            "b-3.log",
            _raw(0, "<b>b-3</b>", "start"),
            _raw(1, "b-3", "refused", reason="<script>alert(1)</script>\x1b"),
        )
        self.run_report()
        page = self.page.read_text()
        self.assertNotIn("<script", page)
        self.assertNotIn("<b>", page)
        self.assertNotIn("\x1b", page)
        self.assertIn("&lt;script&gt;", page)

    def test_a_page_is_whole_markup(self):
        self.run_report()
        page = self.page.read_text().removeprefix("<!DOCTYPE html>")
        page = page.replace('<meta charset="utf-8">', "")
        self.assertEqual("html", ElementTree.fromstring(page).tag)

    def test_json_names_page_and_counts(self):
        code, report = self.operator.json(
            "report", str(self.folder), f"--output={self.page}"
        )
        self.assertEqual((0, str(self.page)), (code, report["path"]))
        self.assertEqual(1, report["failures"]["lost"])

    def test_a_page_that_cannot_be_written_is_a_usage_error(self):
        code = self.operator.run(
            "report", str(self.folder), f"--output={self.folder}"
        )
        self.assertEqual(2, code)
        self.assertIn(str(self.folder), self.operator.errors)

    def test_no_readable_log_leaves_no_page(self):
        code = self.operator.run(
            "report", str(self.folder / "absent"), f"--output={self.page}"
        )
        self.assertEqual(2, code)
        self.assertFalse(self.page.exists())
