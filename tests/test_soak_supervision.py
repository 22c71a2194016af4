"""The supervision of processes in the soak, with programs made for it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib
import random
import signal
import sys
import tempfile

import testtools

from review import standins
from soak import checks
from soak import configuration
from soak import history
from soak import processes
from soak import sites
from soak import supervision

GRACE_S = 1.0
LEFT_AFTER_S = 0.4
SITE = sites.Site((("north", "wash"),), (), clients=0, requests_per_s=1.0)

SERVES = """
import http.server, json, os, signal, sys

class Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200)
        self.end_headers()

    def log_message(self, *args):
        pass

with open(os.environ["CYCLAMENDALE_BOOT"]) as file:
    ip, port = json.load(file)["listen"]["ready"].split(":")
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
"""
LISTENS = """
http.server.HTTPServer((ip, int(port)), Handler).serve_forever()
"""
IGNORES_TERM = "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
WAITS = "signal.pause()\n"


@contextlib.asynccontextmanager
async def running(program: str) -> AsyncIterator[supervision.Fleet]:
    """Runs a program as the process of a fleet of one host."""
    with tempfile.TemporaryDirectory() as folder:
        record = standins.Record(pathlib.Path(folder) / "record.txt")
        hosts = processes.Hosts(record, SITE)
        hosts.command = [sys.executable, "-S", "-c", program]
        published = configuration.Configuration(
            hosts, SITE, [], history.History()
        )
        fleet = supervision.Fleet(
            record, hosts, published, None, random.Random(1)
        )
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.close()
            hosts.close()
            record.close()


class SupervisionTest(testtools.TestCase):
    scenarios = [
        ("stops", {"program": SERVES + LISTENS, "found": set()}),
        ("ignores SIGTERM and says that it is ready", {
            "program": SERVES + IGNORES_TERM + LISTENS,
            "found": {checks.Finding.OVERRUN, checks.Finding.DRAIN}}),
        ("is never ready", {
            "program": SERVES + WAITS, "recovery_s": 0.5,
            "found": {checks.Finding.NOT_READY}}),
        ("uses more memory than it may", {
            "program": SERVES + "held = b'x' * 310_000_000\n" + LISTENS,
            "found": {checks.Finding.MEMORY}}),
        ("ends with an exit code at SIGTERM", {
            "program": SERVES.replace("exit(0)", "exit(3)") + LISTENS,
            "found": {checks.Finding.OWN_END}}),
        ("is ended by SIGHUP at its end", {
            "program": SERVES.replace(
                "sys.exit(0)",
                "(signal.signal(signal.SIGHUP, signal.SIG_DFL), WAIT())",
            ).replace("WAIT", "signal.pause") + LISTENS,
            "hangs_up": True, "found": {checks.Finding.OWN_END}}),
    ]  # fmt: skip
    hangs_up = False
    recovery_s = 5.0

    def test_only_broken_promises_are_found(self):
        self.patch(standins, "GRACE_S", GRACE_S)
        self.patch(supervision, "RECOVERY_S", self.recovery_s)
        self.patch(supervision, "LEFT_AFTER_S", LEFT_AFTER_S)
        fleet = asyncio.run(self._stop_one())
        self.assertEqual(self.found, {each for each, _ in fleet.findings})

    async def _stop_one(self) -> supervision.Fleet:
        async with running(self.program) as fleet:
            (host,) = fleet.hosts
            process = host.current
            fleet.terminate(process)
            await asyncio.sleep(LEFT_AFTER_S)
            if self.hangs_up:
                fleet.hang_up(process)
            await process.ended.wait()
            await asyncio.sleep(0.05)
            return fleet


class ServesTest(testtools.TestCase):
    scenarios = [
        ("serves later", {"results": [False, True], "found": []}),
        ("never serves", {
            "results": [], "found": [checks.Finding.NOT_SERVING]}),
    ]  # fmt: skip

    def test_a_host_that_does_not_serve_is_found(self):
        fleet = asyncio.run(self._check(iter(self.results)))
        self.assertEqual(self.found, [each for each, _ in fleet.findings])

    async def _check(self, results) -> supervision.Fleet:
        async def serves(_) -> bool:
            return next(results, False)

        async with running(SERVES + LISTENS) as fleet:
            # Only now: the start, which it bounds too, is not what is tested.
            self.patch(supervision, "RECOVERY_S", 0.5)
            await fleet.check_serves(fleet.hosts[0], serves, "wash-read")
            return fleet


class RestartTest(testtools.TestCase):
    def test_a_killed_process_is_started_again(self):
        fleet = asyncio.run(self._kill_one())
        (host,) = fleet.hosts
        self.assertEqual([], fleet.findings)
        self.assertEqual(-signal.SIGKILL, host.processes[0].code)
        self.assertEqual(2, len(host.processes))
        self.assertTrue(
            fleet.history.is_impaired(
                0, host.processes[0].ended_s, host.processes[1].started_s
            )
        )

    async def _kill_one(self) -> supervision.Fleet:
        async with running(SERVES + LISTENS) as fleet:
            (host,) = fleet.hosts
            fleet.kill(host.current)
            await host.current.ended.wait()
            await fleet.wait_settled(host)
            return fleet
