"""The journal's rate limits, and the count of the lines that they drop."""

from __future__ import annotations

import json
import logging
import os
import tempfile

import testtools
from twisted.internet import task
from twisted.python import failure

from cyclamendale import clocks
from cyclamendale.fleet import journal


class RecordingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.setFormatter(journal.JsonFormatter("node-1"))
        self.lines = []

    def emit(self, record):
        self.lines.append(json.loads(self.format(record)))


class JournalTest(testtools.TestCase):
    scenarios = [
        ("decisions", {
            "write": lambda log: log.decision("refused", "r1", reason="shed"),
            "burst": journal.DECISION_BURST,
            "rate_per_s": journal.DECISIONS_PER_S}),
        ("beliefs", {
            "write": lambda log: log.belief("refused", reason="shed"),
            "burst": journal.BELIEF_BURST,
            "rate_per_s": journal.BELIEFS_PER_S}),
    ]  # fmt: skip

    def test_excess_lines_are_dropped_and_counted(self):
        reactor = task.Clock()
        handler = RecordingHandler()
        logger = logging.Logger("test", logging.INFO)
        logger.addHandler(handler)
        log = journal.Journal(clocks.ReactorClock(reactor), logger)
        for _ in range(self.burst + 50):
            self.write(log)
        self.assertEqual(self.burst, len(handler.lines))
        self.assertEqual("shed", handler.lines[0]["reason"])
        reactor.advance(journal.SUMMARY_INTERVAL_S)
        self.assertEqual({"refused": 50}, handler.lines[-1]["counts"])
        handler.lines.clear()
        for _ in range(1000):
            self.write(log)
        self.assertAlmostEqual(self.rate_per_s, len(handler.lines), delta=1)


class ProcessTest(testtools.TestCase):
    """Lines of two processes of one host could not be told apart."""

    def test_each_line_says_which_process_wrote_it(self):
        handler = RecordingHandler()
        logger = logging.Logger("test", logging.INFO)
        logger.addHandler(handler)
        log = journal.Journal(clocks.ReactorClock(task.Clock()), logger)
        log.belief("start")
        log.decision("refused", "r1", reason="shed")
        self.assertEqual(
            [os.getpid()] * 2, [line["pid"] for line in handler.lines]
        )


class LostLineTest(testtools.TestCase):
    def test_a_full_disk_costs_the_line_only(self):
        descriptor = os.open("/dev/full", os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        handler = journal.NonBlockingHandler(descriptor)
        handler.emit(logging.makeLogRecord({"msg": "start"}))
        self.assertEqual(1, handler.dropped)


class UnwritableLogTest(testtools.TestCase):
    """A line that could not be written failed what had logged it."""

    def make_descriptor_of_closed_pipe(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        return writer

    def make_descriptor_of_full_pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        try:
            while os.write(writer, bytes(65536)):
                pass
        except BlockingIOError:
            return writer

    def make_descriptor_of_full_disk(self):
        descriptor = os.open("/dev/full", os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        return descriptor

    def make_descriptor_for_reading(self):
        descriptor = os.open("/dev/null", os.O_RDONLY)
        self.addCleanup(os.close, descriptor)
        return descriptor

    def make_closed_descriptor(self):
        descriptor = os.dup(2)
        os.close(descriptor)
        return descriptor

    scenarios = [
        ("closed pipe", {"make": make_descriptor_of_closed_pipe}),
        ("full pipe", {"make": make_descriptor_of_full_pipe}),
        ("full disk", {"make": make_descriptor_of_full_disk}),
        ("not for writing", {"make": make_descriptor_for_reading}),
        ("closed descriptor", {"make": make_closed_descriptor}),
    ]

    def test_a_log_that_cannot_be_written_loses_its_lines_only(self):
        clock = clocks.ReactorClock(task.Clock())
        descriptor = self.make(self)
        log = journal.make_journal(clock, "node-1", descriptor)
        logger = logging.getLogger("cyclamendale.fleet")
        self.addCleanup(logger.handlers.clear)
        log.belief("start")
        log.decision("refused", "r1", reason="shed")
        log.defect("stop", failure.Failure(ValueError("x")))
        self.assertEqual(3, logger.handlers[0].dropped)


class OddFieldTest(testtools.TestCase):
    """A field that could not be encoded failed what had logged it."""

    scenarios = [
        ("undecodable path", {"value": "/etc/\udcff"}),
        ("large number", {"value": 2**70}),
        ("key of no text", {"value": {(1, 2): 3}}),
    ]

    def test_a_field_that_cannot_be_encoded_loses_its_line_only(self):
        clock = clocks.ReactorClock(task.Clock())
        with tempfile.TemporaryFile() as file:
            log = journal.make_journal(clock, "node-1", file.fileno())
            logger = logging.getLogger("cyclamendale.fleet")
            self.addCleanup(logger.handlers.clear)
            log.belief("odd", value=self.value)
            log.belief("next")
            file.seek(0)
            self.assertIn(b'"event":"next"', file.read())
