"""Heartbeats and departures of one host's upstream, in various orders."""

from __future__ import annotations

import testtools

from cyclamendale.fleet import announcements
from cyclamendale.membership import directory

READY = directory.UpstreamState.READY
DRAINING = directory.UpstreamState.DRAINING
ACCEPTED = announcements.Verdict.ACCEPTED
STALE = announcements.Verdict.STALE
FOREIGN = announcements.Verdict.FOREIGN


def heartbeat(name="a", started_at=1, sequence=1, state=READY, ip="10.0.0.9"):
    return announcements.Heartbeat(
        upstream_id=name,
        started_at_ms=started_at,
        sequence=sequence,
        service="wash",
        address=f"{ip}:80",
        slots=10,
        state=state,
    )


class AnnouncedUpstreamTest(testtools.TestCase):
    scenarios = [
        ("in order", {
            "heartbeats": [heartbeat(), heartbeat(sequence=2)],
            "verdicts": [ACCEPTED, ACCEPTED], "accepts": True}),
        ("late heartbeat of the same process", {
            "heartbeats": [heartbeat(sequence=2, state=DRAINING), heartbeat()],
            "verdicts": [ACCEPTED, STALE], "accepts": False}),
        ("late heartbeat of an earlier process", {
            "heartbeats": [heartbeat(started_at=2),
                           heartbeat(name="z", started_at=1, sequence=9)],
            "verdicts": [ACCEPTED, STALE], "accepts": True}),
        ("a draining process does not come back", {
            "heartbeats": [heartbeat(state=DRAINING), heartbeat(sequence=2)],
            "verdicts": [ACCEPTED, ACCEPTED], "accepts": False}),
        ("new process with the same id", {
            "heartbeats": [heartbeat(sequence=50, state=DRAINING),
                           heartbeat(started_at=2, sequence=1)],
            "verdicts": [ACCEPTED, ACCEPTED], "accepts": True}),
        ("address of another host", {
            "heartbeats": [heartbeat(), heartbeat(ip="10.0.0.8", started_at=9)],
            "verdicts": [ACCEPTED, FOREIGN], "accepts": True}),
        ("another id with the same start time", {
            "heartbeats": [heartbeat(), heartbeat(name="b", sequence=2)],
            "verdicts": [ACCEPTED, FOREIGN], "accepts": True}),
    ]  # fmt: skip

    def test_only_the_latest_heartbeat_counts(self):
        upstream = announcements.AnnouncedUpstream("10.0.0.9")
        verdicts = [upstream.apply_heartbeat(each) for each in self.heartbeats]
        self.assertEqual(self.verdicts, verdicts)
        self.assertEqual(self.accepts, upstream.accepts_requests)


class DepartureTest(testtools.TestCase):
    scenarios = [
        ("of this process", {
            "departure": ("a", 5), "verdict": ACCEPTED, "accepts": False}),
        ("without a start time", {
            "departure": ("a", None), "verdict": ACCEPTED, "accepts": False}),
        ("of an earlier process", {
            "departure": ("a", 4), "verdict": STALE, "accepts": True}),
        ("of another upstream", {
            "departure": ("b", 9), "verdict": FOREIGN, "accepts": True}),
    ]  # fmt: skip

    def test_closes_only_for_the_process_that_departs(self):
        upstream = announcements.AnnouncedUpstream("10.0.0.9")
        upstream.apply_heartbeat(heartbeat(started_at=5))
        self.assertEqual(
            self.verdict, upstream.record_departure(*self.departure)
        )
        self.assertEqual(self.accepts, upstream.accepts_requests)

    def test_a_heartbeat_after_the_departure_does_not_reopen_it(self):
        upstream = announcements.AnnouncedUpstream("10.0.0.9")
        upstream.apply_heartbeat(heartbeat(started_at=5))
        upstream.record_departure("a", 5)
        upstream.apply_heartbeat(heartbeat(started_at=5, sequence=2))
        self.assertFalse(upstream.accepts_requests)
