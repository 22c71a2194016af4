"""The daemon as a process: signals at any moment of its life."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import socket
import time

from tests.support import daemon_process


class EarlySignalTest(daemon_process.DaemonCase):
    """A signal before the handlers were set ended the process."""

    scenarios = [
        ("while modules are imported", {
            "moment": "name == 'import'"
            " and args[0] == 'twisted.internet.protocol'"}),
        ("while the settings are read", {
            "moment": "name == 'open'"
            " and str(args[0]).endswith('node.json')"}),
    ]  # fmt: skip

    def start_with(self, name):
        """Starts a process that gets a signal at the moment."""
        return self.start(
            "import sys, os, signal;"
            " sys.addaudithook(lambda name, args: os.kill(os.getpid(),"
            f" signal.{name}) if {self.moment} else None)"
        )

    def test_a_stop_signal_ends_the_process_without_a_failure(self):
        for name in ("SIGTERM", "SIGINT"):
            self.assertEqual(
                0, self.start_with(name).wait(daemon_process.WAIT_S)
            )

    def test_a_reload_signal_does_not_end_the_process(self):
        process = self.start_with("SIGHUP")
        self.wait_event(process, "start")
        process.send_signal(signal.SIGHUP)
        self.stop(process)


class LateSignalTest(daemon_process.DaemonCase):
    """A signal after the interpreter had taken the handlers back ended it."""

    scenarios = [
        ("reload", {"name": "SIGHUP"}),
        ("stop", {"name": "SIGTERM"}),
        ("interrupt", {"name": "SIGINT"}),
    ]

    def test_a_signal_in_the_last_moment_does_not_change_the_exit_code(self):
        process = self.start(
            "import os, signal, sys;"
            " sys.last = type('Last', (), {'__del__': lambda _, kill=os.kill,"
            f" pid=os.getpid(), number=signal.{self.name}: kill(pid, number)"
            "})()"
        )
        self.wait_event(process, "start")
        self.stop(process)


class ChangeAtTheStartTest(daemon_process.DaemonCase):
    def test_settings_that_change_while_the_process_starts_are_applied(self):
        # Only changes after the first look at the file were noticed.
        new = self.settings | {"service": "dry"}
        pathlib.Path(f"{self.path}.new").write_text(json.dumps(new))
        process = self.start(
            "import sys, os;"
            f" path = {str(self.path)!r};"
            " sys.addaudithook(lambda name, args: os.path.exists(path + '.new')"
            " and os.rename(path + '.new', path) if name == 'socket.bind'"
            " else None)"
        )
        self.wait_event(process, "reload")
        self.stop(process)


class ReloadTest(daemon_process.DaemonCase):
    def test_half_written_settings_leave_the_old_ones_until_they_are_whole(
        self,
    ):
        process = self.start()
        self.wait_event(process, "start")
        self.path.write_text('{"node_name": "node-1", "ip"')
        self.wait_event(process, "reload-failed")
        self.write_settings(service="dry")
        self.wait_event(process, "reload")
        self.stop(process)

    def test_a_change_that_keeps_size_and_time_is_noticed(self):
        # Changes were known by size and time only.
        process = self.start()
        self.wait_event(process, "start")
        new = pathlib.Path(f"{self.path}.new")
        new.write_text(self.path.read_text().replace("wash", "iron"))
        status = self.path.stat()
        os.utime(new, ns=(status.st_atime_ns, status.st_mtime_ns))
        new.rename(self.path)
        self.wait_event(process, "reload")
        self.stop(process)

    def test_a_changed_address_of_the_store_is_used(self):
        # It was ignored until the process ended.
        process = self.start()
        self.wait_event(process, "start")
        ip = self.settings["ip"]
        other = socket.create_server((ip, 9020))
        self.addCleanup(other.close)
        other.settimeout(daemon_process.WAIT_S)
        self.write_settings(platform={"address": f"{ip}:9020"})
        other.accept()[0].close()
        self.stop(process)


class OverlappingProcessesTest(daemon_process.DaemonCase):
    def test_a_process_started_while_another_drains_takes_its_place(self):
        # It ended with code 1, since the addresses were in use.
        old = self.start()
        self.wait_event(old, "start")
        old.send_signal(signal.SIGTERM)
        self.wait_event(old, "stop")
        new = self.start()
        self.wait_event(new, "addresses-in-use")
        self.assertEqual(0, old.wait(daemon_process.WAIT_S))
        self.wait_event(new, "start")
        self.stop(new)

    def test_a_process_that_waits_for_its_addresses_can_be_stopped(self):
        old = self.start()
        self.wait_event(old, "start")
        new = self.start()
        self.wait_event(new, "addresses-in-use")
        self.stop(new)
        self.stop(old)


class LogTest(daemon_process.DaemonCase):
    def test_a_process_serves_without_a_reader_of_its_log(self):
        # The error of the write ended the start, and a stop.
        process = self.start()
        process.stdout.close()
        ready = (self.settings["ip"], 9002)
        ends_s = time.monotonic() + daemon_process.WAIT_S
        is_open = False
        while not is_open and time.monotonic() < ends_s:
            with contextlib.suppress(OSError):
                socket.create_connection(ready).close()
                is_open = True
        self.assertTrue(is_open)
        self.stop(process)


class ClockStepTest(daemon_process.DaemonCase):
    """A step back of the time of day stopped all timers for as long."""

    STEP_S = 10.0

    def test_a_process_ends_in_time_though_the_time_of_day_steps_back(self):
        stepped = self.path.with_name("stepped")
        process = self.start(
            "import os, time; now = time.time; time.time = lambda:"
            f" now() - {self.STEP_S} * os.path.exists({str(stepped)!r})"
        )
        self.wait_event(process, "start")
        stopped_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        # While a timer of the stop is set.
        self.wait_event(process, "stop")
        time.sleep(0.5)
        stepped.touch()
        self.assertEqual(0, process.wait(daemon_process.WAIT_S))
        # The grace period of the settings.
        self.assertLess(time.monotonic() - stopped_s, 6.0)
