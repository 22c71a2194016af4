"""The soak: its checks, and a short run of real processes."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import testtools

from review import standins
from soak import checks

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 5.0


def request(status=200, is_complete=True, sent_s=1.0, ended_s=1.5, **fields):
    answer = standins.Answer("r1")
    answer.status, answer.is_complete = status, is_complete
    answer.sent_s, answer.ended_s = sent_s, ended_s
    values = {"is_idempotent": False, "received": b"ab"} | fields
    return checks.Request(
        answer, 0, expected=b"ab", timeout_s=TIMEOUT_S, **values
    )


def run(at_s=1.1, ended_s=1.4):
    made = standins.Run("r1", at_s, b"")
    made.ended_s = ended_s
    return made


class ChecksTest(testtools.TestCase):
    scenarios = [
        ("served", {"request": request(), "runs": [run()], "found": []}),
        ("cut body", {
            "request": request(received=b"a"), "runs": [run()],
            "found": [checks.Finding.MIXED]}),
        ("run twice", {
            "request": request(), "runs": [run(), run()],
            "found": [checks.Finding.TWICE]}),
        ("idempotent, run twice", {
            "request": request(is_idempotent=True), "runs": [run(), run()],
            "found": []}),
        ("refused though run", {
            "request": request(503), "runs": [run()],
            "found": [checks.Finding.REFUSED]}),
        ("refused", {"request": request(503), "runs": [], "found": []}),
        ("route not found", {
            "request": request(404), "runs": [],
            "found": [checks.Finding.CONFIG]}),
        ("no answer", {
            "request": request(0, False), "runs": [run()],
            "found": [checks.Finding.LOST]}),
        ("no answer and not run", {
            "request": request(0, False), "runs": [], "found": []}),
        ("broken off", {
            "request": request(502), "runs": [run()],
            "found": [checks.Finding.BROKEN_OFF]}),
        ("timed out", {
            "request": request(504, ended_s=6.0), "runs": [run(1.1, 7.0)],
            "found": []}),
        ("in work at the end of the grace period", {
            "request": request(0, False, 1.5, 6.2), "runs": [run(1.6, 6.5)],
            "stops_s": [1.0], "found": []}),
        ("sent late in the grace period", {
            "request": request(0, False, 4.5, 6.2), "runs": [run(4.6, 6.5)],
            "stops_s": [1.0], "found": [checks.Finding.LOST]}),
    ]  # fmt: skip
    stops_s = ()

    def test_only_broken_promises_are_found(self):
        found = checks.find_broken_promises(
            [self.request], self.runs, {0: list(self.stops_s)}
        )
        self.assertEqual(self.found, [finding for finding, _ in found])


class SoakTest(testtools.TestCase):
    def test_a_short_run_keeps_all_promises(self):
        done = subprocess.run(
            [sys.executable, "-m", "soak", "--seed=1", "--seconds=20"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=240,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
