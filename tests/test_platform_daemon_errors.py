"""The daemon as a process: failures that nothing else handles."""

from __future__ import annotations

import os

from tests.support import daemon_process


class FullStandardErrorTest(daemon_process.DaemonCase):
    """A process waited for a reader of its standard error without end."""

    def make_full_pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        try:
            while os.write(writer, bytes(65536)):
                pass
        except BlockingIOError:
            os.set_blocking(writer, True)
        return writer

    def test_unusable_settings_do_not_hold_the_start(self):
        self.path.write_text("{")
        process = self.start(stderr=self.make_full_pipe())
        self.wait_event(process, "settings-unusable")
        self.write_settings()
        self.wait_event(process, "start")
        self.stop(process)

    def test_a_failure_in_the_reactor_does_not_hold_the_process(self):
        code = """
from cyclamendale.fleet import node
start = node.Node.start
def fail():
    raise ValueError("no such thing")
def start_and_fail(self):
    start(self)
    for _ in range(3):
        self._reactor.callLater(0, fail)
node.Node.start = start_and_fail
"""
        process = self.start(
            f"exec({code!r}, {{}})", stderr=self.make_full_pipe()
        )
        log = self.wait_event(process, "start")
        self.write_settings(service="dry")
        log += self.wait_event(process, "reload")
        self.assertIn("ValueError: no such thing", log)
        self.stop(process)
