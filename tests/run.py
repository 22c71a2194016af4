"""Runs all tests, passes over KNOWN-RED entries and prints the count.

Usage: python -m tests.run [name-part ...]
"""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import sys
import time
import unittest

import hypothesis
import testscenarios

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SLOW_TEST_S = 5.0


def known_red(path: pathlib.Path) -> dict[str, str]:
    """Reads KNOWN-RED.txt: one entry a line, `test id | the rest`."""
    entries = {}
    for line in path.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            test_id, _, rest = line.partition("|")
            entries[test_id.strip()] = rest.strip()
    return entries


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yields the single tests of a suite, scenarios applied."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield from testscenarios.generate_scenarios(test)


class CountingResult(unittest.TextTestResult):
    """Sorts failures into expected (known red) and unexpected ones."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.red: dict[str, str] = {}
        self.passed = 0
        self.failed_ids: list[str] = []
        self.known_failed_ids: list[str] = []
        self._failed_now = False
        self._started_s = 0.0

    def startTest(self, test):
        super().startTest(test)
        self._failed_now = False
        self._started_s = time.monotonic()

    def _failed(self, test):
        if not self._failed_now:
            self._failed_now = True
            known = test.id() in self.red
            (self.known_failed_ids if known else self.failed_ids).append(
                test.id()
            )

    def addError(self, test, err, *args, **kwargs):
        super().addError(test, err)
        self._failed(test)

    def addFailure(self, test, err, *args, **kwargs):
        super().addFailure(test, err)
        self._failed(test)

    def addUnexpectedSuccess(self, test, *args, **kwargs):
        super().addUnexpectedSuccess(test)
        self._failed(test)

    def stopTest(self, test):
        super().stopTest(test)
        if not self._failed_now:
            self.passed += 1
        took_s = time.monotonic() - self._started_s
        if took_s > _SLOW_TEST_S:
            self.stream.writeln(f"slow: {test.id()} {took_s:.1f} s")


def main(arguments: list[str]) -> int:
    """Runs the tests; returns the exit code."""
    hypothesis.settings.register_profile(
        "ci", derandomize=True, deadline=None, database=None
    )
    hypothesis.settings.load_profile("ci")
    red = known_red(_ROOT / "KNOWN-RED.txt")
    loader = unittest.TestLoader()
    found = loader.discover(str(_ROOT / "tests"), top_level_dir=str(_ROOT))
    chosen = [
        test
        for test in flatten(found)
        if not arguments or any(part in test.id() for part in arguments)
    ]
    runner = unittest.TextTestRunner(
        resultclass=CountingResult, verbosity=1, stream=sys.stdout
    )
    runner.resultclass = lambda *args, **kwargs: _with_red(
        CountingResult(*args, **kwargs), red
    )
    result = runner.run(unittest.TestSuite(chosen))
    ids_run = {test.id() for test in chosen}
    passing_again = [
        test_id
        for test_id in red
        if test_id in ids_run and test_id not in result.known_failed_ids
    ]
    missing = [r for r in red if r not in ids_run and not arguments]
    for test_id in result.known_failed_ids:
        print(f"known red, passed over: {test_id} | {red[test_id]}")
    for test_id in passing_again + missing:
        print(f"KNOWN-RED entry passes or is gone, take it off: {test_id}")
    for test_id in result.failed_ids:
        print(f"failed: {test_id}")
    failed = len(result.failed_ids) + len(passing_again) + len(missing)
    passed = result.passed - len(passing_again)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


def _with_red(result: CountingResult, red: dict[str, str]) -> CountingResult:
    result.red = red
    return result


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
