"""The daemon as a process whose log can't be written."""

from __future__ import annotations

import os
import signal
import time

from cyclamendale.fleet import shutdown
from tests.support import daemon_process


class UnreadLogTest(daemon_process.DaemonCase):
    """Each line of the log raised an error in the part that wrote it."""

    def test_a_node_starts_although_nobody_reads_its_log(self):
        # It never was ready, and found its own ports in use.
        process = self.start()
        process.stdout.close()
        self.wait_listening()
        # Its ports are open before it writes its first line.
        time.sleep(1.0)
        self.check_stop(process)

    def test_a_node_serves_while_it_stops_although_nobody_reads_its_log(self):
        # It ended at once, and cut the requests in work.
        process = self.start()
        self.wait_event(process, "start")
        process.stdout.close()
        self.check_stop(process)

    def check_stop(self, process):
        began_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(daemon_process.WAIT_S))
        self.assertGreaterEqual(
            time.monotonic() - began_s, shutdown.MIN_SERVING_S
        )


class ClosedStreamsTest(daemon_process.DaemonCase):
    """The log was written to whatever had taken its descriptor's number."""

    scenarios = [
        ("output", {"closed": (1,)}),
        ("errors", {"closed": (2,)}),
        ("all", {"closed": (0, 1, 2)}),
    ]

    def test_descriptors_of_closed_streams_are_not_used_for_others(self):
        process = self.start(
            f"import os; [os.close(number) for number in {self.closed}]"
        )
        self.wait_listening()
        for number in self.closed:
            path = f"/proc/{process.pid}/fd/{number}"
            self.assertEqual("/dev/null", os.readlink(path))
        self.stop(process)
