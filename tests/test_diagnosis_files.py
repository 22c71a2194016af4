"""Reading of logs: what is chosen, and what can't be read."""

from __future__ import annotations

import json
import logging
import os
import pathlib
import re
import tempfile

import testscenarios
import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.diagnosis import log_blocks
from cyclamendale.diagnosis import log_files
from cyclamendale.fleet import journal
from tests.support import log_samples

_raw = log_samples.raw
_SELECTION = log_blocks.Selection(("start", "stop"), log_samples.REQUEST)


class FolderCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def read(self, *paths, selection=_SELECTION):
        self.files = log_files.LogFiles(paths or (self.folder,))
        return [line.event for line in self.files.lines(selection)]

    def problems(self):
        return {
            pathlib.Path(log.path).name: log.problem.value
            for log in self.files.unread
        }


_CHOICES = {
    "a request's lines": (
        [
            _raw(0, "a-1", "refused", request="other"),
            _raw(1, "a-1", "refused", request=log_samples.REQUEST),
            _raw(2, "a-1", "shed", request=log_samples.REQUEST),
            _raw(3, "a-1", "gave-up", request="other"),
        ],
        ["refused", "shed", "gave-up"],
    ),
    "events, and the line before a start": (
        [
            _raw(0, "a-1", "start"),
            _raw(1, "a-1", "host-met"),
            _raw(2, "a-1", "link-silent"),
            _raw(3, "a-1", "start"),
            _raw(4, "a-1", "host-met"),
            _raw(5, "a-1", "stop"),
        ],
        ["start", "link-silent", "start", "stop"],
    ),
    "no event of a longer name": (
        [_raw(0, "a-1", "started"), _raw(1, "a-1", "host-met")],
        ["host-met"],
    ),
    "no event that a field names": (
        [
            _raw(0, "a-1", "lines-left-out", counts={"stop": 1}),
            _raw(1, "a-1", "reload-failed", error='"event":"stop"'),
            _raw(2, "a-1", "host-met"),
        ],
        ["host-met"],
    ),
    "the last line that is not whole": (
        [_raw(0, "a-1", "start"), _raw(1, "a-1", "stop")[:-9]],
        ["start"],
    ),
    "a last line without its end": (
        [_raw(0, "a-1", "start"), _raw(1, "a-1", "host-met")[:-1]],
        ["start", "host-met"],
    ),
    "lines between those of other programs": (
        [
            "Traceback (most recent call last):\n",
            _raw(0, "a-1", "start"),
            '  File "x.py", line 1\n',
            _raw(1, "a-1", "host-met"),
            _raw(2, "a-1", "start"),
            '{"message": "no node"}\n',
            "\n",
        ],
        ["start", "host-met", "start"],
    ),
    "lines that another program wrote again": (
        [
            json.dumps(json.loads(_raw(0, "a-1", event))) + "\n"
            for event in ("start", "host-met", "stop")
        ],
        ["start", "host-met", "stop"],
    ),
}


class ChoiceTest(testscenarios.WithScenarios, FolderCase):
    scenarios = [
        (name, {"lines": lines, "events": events})
        for name, (lines, events) in _CHOICES.items()
    ]

    def test_lines_are_chosen(self):
        log_samples.write_log(self.folder, "a.log", *self.lines)
        self.assertEqual(self.events, self.read())

    def test_small_blocks_lose_no_line(self):
        self.patch(log_files, "BLOCK_BYTES", 16)
        log_samples.write_log(self.folder, "a.log", *self.lines)
        # The last line of each block is read, too.
        read = iter(self.read())
        for event in self.events:
            self.assertIn(event, read)


_DAMAGES = {
    "empty": (b"", "empty"),
    "blank": (b"\n\n", "empty"),
    "text": (b"nothing\nhere\n", "no-lines"),
    "binary": (bytes(range(256)) * 9, "no-lines"),
    "JSON without the fields of a line": (b'{"a":1}\n[]\n3\n', "no-lines"),
    "JSON over several lines": (b'{\n "time": 1\n}\n', "no-lines"),
    "wrong types": (b'{"time":"x","event":"stop"}\n', "no-lines"),
    "deep": (b"[" * 100_000 + b"\n", "no-lines"),
    "lines of another program": (
        _raw(0, "a-1", "start").encode()
        + b"Traceback:\n"
        + _raw(1, "a-1", "host-met").encode() * 2,
        "damaged",
    ),
    "half a line": (
        _raw(0, "a-1", "start").encode() + b'{"time":1,"event":"stop",',
        "damaged",
    ),
}


class UnreadTest(testscenarios.WithScenarios, FolderCase):
    scenarios = [
        (name, {"data": data, "problem": problem})
        for name, (data, problem) in _DAMAGES.items()
    ]

    def test_a_log_that_cannot_be_read_is_named(self):
        (self.folder / "bad.log").write_bytes(self.data)
        log_samples.write_log(self.folder, "good.log", _raw(0, "a-1", "start"))
        self.assertIn("start", self.read())
        self.assertEqual({"bad.log": self.problem}, self.problems())
        self.assertIn("bad.log: ", str(self.files.unread[0]))


class PathTest(FolderCase):
    def test_folders_are_read_with_their_folders(self):
        (self.folder / "north").mkdir()
        for name in ("b.log", "north/a.log.1", ".hidden"):
            log_samples.write_log(self.folder, name, _raw(0, name, "start"))
        self.assertEqual(["start", "start"], self.read())
        self.assertEqual(2, self.files.read_count)

    def test_a_log_named_twice_is_read_once(self):
        path = log_samples.write_log(
            self.folder, "a.log", _raw(0, "a-1", "start")
        )
        self.assertEqual(["start"], self.read(path, self.folder))

    def test_paths_that_are_no_files_are_named(self):
        os.mkfifo(self.folder / "pipe")
        (self.folder / "gone").symlink_to("nowhere")
        self.read(self.folder, self.folder / "absent", self.folder / "pipe")
        self.assertEqual(
            {"pipe": "not-a-file", "gone": "not-a-file", "absent": "not-found"},
            self.problems(),
        )
        self.assertEqual(0, self.files.read_count)

    def test_a_file_that_cannot_be_opened_is_named(self):
        path = log_samples.write_log(self.folder, "a.log")

        def refuse(*_):
            raise PermissionError("x")

        self.patch(pathlib.Path, "open", refuse)
        self.assertEqual([], self.read(path))
        self.assertEqual({"a.log": "not-readable"}, self.problems())


class JournalTest(FolderCase):
    """Fails when nodes write lines that the reader would not choose."""

    def test_lines_that_a_node_writes_are_chosen(self):
        path = self.folder / "a.log"
        clock = clocks.ReactorClock(task.Clock())
        with path.open("wb") as file:
            log = journal.make_journal(clock, "a-1", file.fileno())
            self.addCleanup(
                logging.getLogger("cyclamendale.fleet").handlers.clear
            )
            log.belief("start", address="10.0.0.1:7000")
            log.decision("refused", log_samples.REQUEST, reason="shed")
            log.decision("refused", "other", reason="shed")
            log.belief("stop", in_work=3)
        files = log_files.LogFiles([path])
        start, refused, stop = files.lines(_SELECTION)
        self.assertEqual(("a-1", os.getpid()), (start.node, start.pid))
        self.assertEqual("10.0.0.1:7000", start.text("address"))
        self.assertEqual(log_samples.REQUEST, refused.request)
        self.assertEqual(3, stop.number("in_work"))
        self.assertEqual([], files.unread)


class PeriodTest(FolderCase):
    def test_only_blocks_of_a_period_are_read_again(self):
        self.patch(log_files, "BLOCK_BYTES", 64)
        path = log_samples.write_log(
            self.folder,
            "a.log",
            *(_raw(second, "a-1", "stop", n=second) for second in range(100)),
        )
        self.read()
        # Lines outside would now be of the period, if they were read.
        data = path.read_bytes()
        begin = data.index(b'{"time"', data.index(b'"n":20}'))
        earlier = re.sub(
            rb'"time":[0-9.]+', b'"time":1796600051.0', data[:begin]
        )
        path.write_bytes(earlier + data[begin:])
        begin_s = log_samples.BEGIN_S + 50.5
        found = self.files.lines_between(_SELECTION, begin_s, begin_s + 3)
        self.assertEqual([51, 52, 53], [line.fields["n"] for line in found])

    def test_lines_out_of_order_are_found(self):
        log_samples.write_log(
            self.folder,
            "a.log",
            _raw(90, "a-1", "stop"),
            _raw(50, "a-1", "stop"),
            _raw(10, "a-1", "stop"),
        )
        self.read()
        begin_s = log_samples.BEGIN_S + 49
        found = self.files.lines_between(_SELECTION, begin_s, begin_s + 2)
        self.assertEqual(1, len(list(found)))
