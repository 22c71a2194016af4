"""The checks of routes and keys of the soak, with made-up requests."""

from __future__ import annotations

import testtools

from review import standins
from soak import checks
from soak import version_checks
from tests.support import soak_results as make

FIRST = (1, 0.0, {"/wash-write/": "wash"})
ADDED = (3, 10.0, {"/wash-write/": "wash", "/x/": "wash"}, "key")
MOVED = (4, 20.0, {"/wash-write/": "wash", "/x/": "track"})
REMOVED = (9, 30.0, {"/wash-write/": "wash"})
VERSIONS = (FIRST, ADDED, MOVED, REMOVED)


def probe(sent_s, service="", **fields):
    """Returns a request for a route that comes and goes, and its runs."""
    made = make.request(
        200 if service else 404,
        True,
        sent_s,
        sent_s + 0.1,
        path="/x/r1/2",
        is_idempotent=True,
        **fields,
    )
    return made, [make.run(sent_s, sent_s + 0.1, service=service)] * bool(
        service
    )


def probe_key(sent_s, status, key="key"):
    """Returns a request with a key that comes and goes, and its runs."""
    made = make.request(status, sent_s=sent_s, ended_s=sent_s + 0.1, key=key)
    return made, [make.run(sent_s, sent_s + 0.1)] * (status == 200)


class VersionChecksTest(testtools.TestCase):
    scenarios = [
        ("not there yet", {"probe": probe(5.0), "found": []}),
        ("run before it is published", {
            "probe": probe(5.0, "wash"), "found": [checks.Finding.ROUTE]}),
        ("run by a service that no version names", {
            "probe": probe(15.0, "pickup"), "found": [checks.Finding.ROUTE]}),
        ("not applied yet", {"probe": probe(11.9), "found": []}),
        ("not applied in time", {
            "probe": probe(12.1), "found": [checks.Finding.OLD_VERSION]}),
        ("applied at once", {"probe": probe(10.1, "wash"), "found": []}),
        ("not applied in time beside a start", {
            "probe": probe(12.1), "past": make.past(starts_s=[9.5]),
            "found": []}),
        ("not applied in time beside an impaired store", {
            "probe": probe(12.1),
            "past": make.past(impairments=[(None, 9.0, 9.5)]), "found": []}),
        ("not applied in time long after a start", {
            "probe": probe(12.1), "past": make.past(starts_s=[9.0]),
            "found": [checks.Finding.OLD_VERSION]}),
        ("run by the old service", {
            "probe": probe(22.1, "wash"),
            "found": [checks.Finding.OLD_VERSION]}),
        ("run by the new service", {
            "probe": probe(22.1, "track"), "found": []}),
        ("served though removed", {
            "probe": probe(32.1, "track"),
            "found": [checks.Finding.OLD_VERSION]}),
        ("removed", {"probe": probe(32.1), "found": []}),
        ("run with a key that no version had", {
            "probe": probe_key(15.0, 200, "never"),
            "found": [checks.Finding.ROUTE]}),
        ("key refused that no version had", {
            "probe": probe_key(15.0, 401, "never"), "found": []}),
        ("route refused for a key that no version had", {
            "probe": probe_key(15.0, 404, "never"),
            "found": [checks.Finding.CONFIG]}),
        ("key not applied yet", {
            "probe": probe_key(11.9, 401), "found": []}),
        ("key not applied in time", {
            "probe": probe_key(12.1, 401),
            "found": [checks.Finding.OLD_VERSION]}),
        ("run with a key", {"probe": probe_key(12.1, 200), "found": []}),
        ("run with a key that is gone", {
            "probe": probe_key(22.1, 200),
            "found": [checks.Finding.OLD_VERSION]}),
        ("key refused that is gone", {
            "probe": probe_key(20.1, 401), "found": []}),
        ("key of all versions refused", {
            "probe": probe_key(20.1, 401, standins.KEY),
            "found": [checks.Finding.CONFIG]}),
        *(
            (f"{status} for a route of all versions", {
                "probe": (make.request(status), []),
                "found": [checks.Finding.CONFIG]})
            for status in (401, 403, 404)
        ),
    ]  # fmt: skip
    past = make.past()

    def test_only_broken_promises_are_found(self):
        made, runs = self.probe
        self.past.versions[:] = make.past(versions=VERSIONS).versions
        found = version_checks.find_broken_promises([made], runs, self.past)
        self.assertEqual(self.found, [finding for finding, _ in found])


class RegressionChecksTest(testtools.TestCase):
    scenarios = [
        ("later", {"sent_s": 10.6, "found": [checks.Finding.REGRESSED]}),
        ("within the slack", {"sent_s": 10.3, "found": []}),
        ("by another process", {"sent_s": 10.6, "process": 8, "found": []}),
        ("within the slack of a slowed host", {
            "sent_s": 10.6, "impairments": [([0], 10.0, 10.1)], "found": []}),
        ("later by a slowed host", {
            "sent_s": 11.9 + 0.3, "impairments": [([0], 10.0, 12.2)],
            "found": [checks.Finding.REGRESSED]}),
    ]  # fmt: skip
    process = 7
    impairments = ()

    def test_a_process_does_not_go_back_to_an_older_version(self):
        newer, runs = probe(10.1, "wash")
        older, _ = probe(self.sent_s, process=self.process)
        older.answer.attempt_id = "r2"
        found = version_checks.find_broken_promises(
            [older, newer],
            runs,
            make.past(versions=VERSIONS, impairments=self.impairments),
        )
        self.assertEqual(
            self.found,
            [
                finding
                for finding, _ in found
                if finding is checks.Finding.REGRESSED
            ],
        )
