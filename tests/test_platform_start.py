"""The daemon as a process: what it finds when it starts."""

from __future__ import annotations

import pathlib
import shutil
import signal
import socket

import msgspec

from tests.support import daemon_process


class UnfinishedSettingsTest(daemon_process.DaemonCase):
    """Settings that were still being written ended the process."""

    scenarios = [
        ("empty", {"content": ""}),
        ("half-written", {"content": '{"node_name": "node-1", "ip"'}),
        ("absent", {"content": None}),
        ("without an address", {"content": '{"node_name": "node-1"}'}),
    ]

    def start_too_early(self):
        self.path.unlink()
        if self.content is not None:
            self.path.write_text(self.content)
        process = self.start()
        log = self.wait_event(process, "settings-unusable")
        self.assertIn(str(self.path), log)
        return process

    def test_the_process_starts_once_they_are_whole(self):
        process = self.start_too_early()
        self.write_settings()
        self.wait_event(process, "start")
        self.stop(process)

    def test_a_process_that_waits_for_them_can_be_stopped(self):
        process = self.start_too_early()
        process.send_signal(signal.SIGHUP)
        self.stop(process)


class PackagesTest(daemon_process.DaemonCase):
    """Without `target/deps` on the path the process ended at once."""

    def setUp(self):
        super().setUp()
        self.checkout = self.path.parent / "checkout"
        (self.checkout / "deploy").mkdir(parents=True)
        (self.checkout / "target").mkdir()
        (self.checkout / "src").symlink_to(daemon_process.ROOT / "src")
        (self.checkout / "target" / "deps").symlink_to(
            pathlib.Path(msgspec.__file__).parent.parent
        )
        launcher = "deploy/cyclamendaled.py"
        shutil.copy(daemon_process.ROOT / launcher, self.checkout / launcher)

    def test_a_path_without_the_packages_of_the_build_is_enough(self):
        process = self.start(environment={"PYTHONPATH": ""}, root=self.checkout)
        self.wait_event(process, "start")
        self.stop(process)

    def test_packages_on_the_path_from_outside_come_first(self):
        outside = self.path.parent / "outside"
        outside.mkdir()
        (outside / "msgspec.py").write_text("import os; os._exit(77)")
        process = self.start(
            environment={"PYTHONPATH": str(outside)}, root=self.checkout
        )
        self.assertEqual(77, process.wait(daemon_process.WAIT_S))


class NoSettingsTest(daemon_process.DaemonCase):
    def test_an_environment_without_the_path_ends_the_process(self):
        process = self.start(environment={"CYCLAMENDALE_BOOT": ""})
        self.assertEqual(2, process.wait(daemon_process.WAIT_S))
        self.assertIn(b"CYCLAMENDALE_BOOT", process.stdout.read())


class AddressesOfOthersTest(daemon_process.DaemonCase):
    """Addresses that were in use for long ended the process."""

    def occupy(self, port):
        other = socket.create_server((self.settings["ip"], port))
        self.addCleanup(other.close)
        return other

    def test_they_are_waited_for_beyond_the_grace_period(self):
        self.write_settings(bounds=["grace_s=-2"])
        first, second = self.occupy(9003), self.occupy(9001)
        process = self.start()
        self.assertIn(":9003", self.wait_event(process, "addresses-in-use"))
        first.close()
        self.assertIn(":9001", self.wait_event(process, "addresses-in-use"))
        second.close()
        self.wait_event(process, "start")
        self.stop(process)

    def test_changed_settings_give_other_addresses(self):
        self.occupy(9001)
        process = self.start()
        self.wait_event(process, "addresses-in-use")
        listen = self.settings["listen"]
        outbound = f"{self.settings['ip']}:9021"
        self.write_settings(listen=listen | {"outbound": outbound})
        self.wait_event(process, "start")
        socket.create_connection((self.settings["ip"], 9021)).close()
        self.stop(process)


class FailedListenTest(daemon_process.DaemonCase):
    """A listen that failed once ended the process."""

    TAKE_PORT = """
import socket, sys
binds, opens, taken = [], [], []
def hook(name, args):
    if name == "open" and str(args[0]).endswith("node.json"):
        opens.append(args)
        if taken:
            taken.pop().close()
    if name != "socket.bind" or args[1][1] != {port}:
        return
    if args[0].type != socket.{kind}:
        return
    binds.append(args)
    if len(binds) == 2:  # The first one is the probe.
        other = socket.socket(socket.AF_INET, socket.{kind})
        other.bind(args[1])
        if args[0].type == socket.SOCK_STREAM:
            other.listen()
        taken.append(other)
sys.addaudithook(hook)
"""
    FEW_DESCRIPTORS = """
import resource, sys
opens = []
hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
def hook(name, args):
    if name == "open" and str(args[0]).endswith("node.json"):
        opens.append(args)
        soft = 9 if len(opens) < 4 else hard
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
sys.addaudithook(hook)
"""
    scenarios = [
        ("stream port taken after the probe", {
            "code": TAKE_PORT.format(port=9001, kind="SOCK_STREAM")}),
        ("datagram port taken after the probe", {
            "code": TAKE_PORT.format(port=9004, kind="SOCK_DGRAM")}),
        ("no descriptors left", {"code": FEW_DESCRIPTORS}),
    ]  # fmt: skip

    def test_the_process_tries_again(self):
        process = self.start(f"exec({self.code!r}, {{}})")
        self.wait_event(process, "start-failed")
        self.wait_event(process, "start")
        for port in (9001, 9002, 9003, 9004, 9005):
            socket.create_connection((self.settings["ip"], port)).close()
        self.stop(process)


class DefectAtTheStartTest(daemon_process.DaemonCase):
    def test_a_start_says_what_it_failed_of(self):
        # Other errors than those of listening were neither logged nor fatal.
        code = """
from cyclamendale.fleet import node
make_node, calls = node.make_node, []
def fail_once(*args):
    calls.append(args)
    if len(calls) == 1:
        raise ValueError("no such thing")
    return make_node(*args)
node.make_node = fail_once
"""
        process = self.start(f"exec({code!r}, {{}})")
        log = self.wait_event(process, "start-failed")
        self.assertIn("ValueError: no such thing", log)
        self.wait_event(process, "start")
        self.stop(process)


class FailedPartTest(daemon_process.DaemonCase):
    """A node of which a part did not start kept its own ports in use."""

    scenarios = [
        ("gate", {"part": "proxy.gate.Gate.start"}),
        ("first report", {"part": "fleet.reporter.Reporter._tick"}),
        (
            "call learner",
            {"part": "fleet.call_learning.CallGraphLearner.start"},
        ),
    ]

    def test_the_next_try_finds_the_ports_free(self):
        module, name, method = self.part.rsplit(".", 2)
        code = f"""
from cyclamendale.{module} import {name} as part
method, calls = part.{method}, []
def fail_once(self, *args):
    calls.append(args)
    if len(calls) == 1:
        raise ValueError("no such thing")
    return method(self, *args)
part.{method} = fail_once
"""
        process = self.start(f"exec({code!r}, {{}})")
        log = self.wait_event(process, "start-failed")
        self.assertIn("ValueError: no such thing", log)
        self.wait_event(process, "start")
        self.stop(process)
