"""The daemon as a process, as the deploy file starts it."""

from __future__ import annotations

import itertools
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
WAIT_S = 30.0
_numbers = itertools.count(1)


class DaemonCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "node.json"
        block = os.getpid() % 200 + 20
        ip = f"127.{block}.77.{next(_numbers)}"
        self.settings = {
            "node_name": "node-1",
            "ip": ip,
            "zone": "north",
            "zones": {"north": "r"},
            "listen": {
                "outbound": f"{ip}:9001",
                "ready": f"{ip}:9002",
                "control": f"{ip}:9003",
            },
            "internal_ports": [9004, 9005],
            "app_addr": f"{ip}:9009",
            "service": "wash",
            "platform": {"address": f"{ip}:9010"},
            "bounds": ["grace_s=6"],
            "first_start": True,
        }
        self.write_settings()

    def write_settings(self, **changes):
        self.path.write_text(json.dumps(self.settings | changes))

    def start(
        self,
        preamble="",
        environment=None,
        root=ROOT,
        stderr=subprocess.STDOUT,
    ):
        """Starts the deploy file's program; `preamble` runs before it."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split(" ")
        program = str(root / words[-1])
        command = [sys.executable, *words[1:-1], program]
        if preamble:
            command = [
                sys.executable,
                *words[1:-1],
                "-c",
                f"import runpy; {preamble};"
                f" runpy.run_path({program!r}, run_name='__main__')",
            ]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=stderr,
            env={
                "CYCLAMENDALE_BOOT": str(self.path),
                "PYTHONPATH": os.pathsep.join(sys.path),
                **(environment or {}),
            },
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def wait_event(self, process, event):
        """Returns the log up to an event; fails if the process ends."""
        ends_s = time.monotonic() + WAIT_S
        data = b""
        while f'"event":"{event}"'.encode() not in data:
            left_s = max(0.0, ends_s - time.monotonic())
            if not select.select([process.stdout], [], [], left_s)[0]:
                self.fail(f"no {event}: {data!r}")
            part = os.read(process.stdout.fileno(), 65536)
            if not part:
                self.fail(f"ended with {process.wait(WAIT_S)}: {data!r}")
            data += part
        return data.decode()

    def wait_listening(self):
        """Waits until callers can connect."""
        ip, _, port = self.settings["listen"]["outbound"].rpartition(":")
        ends_s = time.monotonic() + WAIT_S
        while time.monotonic() < ends_s:
            with socket.socket() as probe:
                if probe.connect_ex((ip, int(port))) == 0:
                    return
            time.sleep(0.05)
        self.fail("the node does not listen")

    def stop(self, process):
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(WAIT_S))
