"""Tests of failures of real processes: kills, freezes, outages, drains.

Each test starts a small fleet on loopback. The assertions don't depend on
the speed of the machine; the time-outs only end a broken run.
"""

from __future__ import annotations

import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import fixtures
import testtools

from examples import fleet as fleets

WAIT_S = 30.0
KEY = "masons-key"
PRICE = "/price/mats"


class Caller(threading.Thread):
    """Sends requests one after another and records the responses."""

    def __init__(self, address: str, path: str, key: str = KEY) -> None:
        super().__init__(daemon=True)
        self._address = address
        self._path = path
        self._key = key
        self._stopping = threading.Event()
        self.answers: list[tuple[float, int, str]] = []
        self.errors: list[Exception] = []

    def run(self) -> None:
        while not self._stopping.wait(0.01):
            try:
                answer = fleets.get(self._address, self._path, self._key)
            except (OSError, http.client.HTTPException) as error:
                self.errors.append(error)
                continue
            self.answers.append(
                (
                    time.monotonic(),
                    answer.status,
                    answer.headers["X-Cyclamendale-Reason"] or "",
                )
            )

    def stop(self) -> None:
        self._stopping.set()
        self.join(WAIT_S)

    def outcomes(self) -> set[tuple[int, str]]:
        return {(status, reason) for _, status, reason in self.answers}


class FleetTest(testtools.TestCase):
    def start_fleet(self, *layout, put=True, without_upstream=()):
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        self.fleet = fleets.Fleet(folder, layout)
        self.addCleanup(self.fleet.kill)
        self.addOnException(
            lambda _: self.addDetail(
                "logs",
                testtools.content.text_content(self.fleet.read_log_tails()),
            )
        )
        self.fleet.start(without_upstream)
        if put:
            self.put_intents(fleets.QUICKSTART)

    def put_intents(self, path, expect=0):
        return self.fleet.run_command(
            "put",
            str(path),
            f"--platform={self.fleet.platform_url}",
            expect=expect,
        )

    def write_intent(self, name: str, text: str) -> pathlib.Path:
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        (folder / name).write_text(text)
        return folder / name

    def wait_served(self, number, path=PRICE, key=KEY, status=200):
        host = self.fleet.hosts[number]
        return fleets.wait_until(
            f"{status} from host {number}",
            lambda: fleets.get(host.http, path, key).status == status,
            WAIT_S,
        )

    def test_requests_fail_over_to_another_failure_domain(self):
        self.start_fleet(
            ("north", None, None),
            ("north", "price", None),
            ("south", "price", None),
        )
        self.wait_served(0)
        killed = self.fleet.hosts[1]
        for process in (killed.upstream, killed.node):
            process.kill()
            process.wait()
        self.wait_served(0)
        caller = Caller(self.fleet.hosts[0].http, PRICE)
        caller.start()
        time.sleep(1.0)
        caller.stop()
        self.assertEqual([], caller.errors)
        self.assertIn((200, ""), caller.outcomes())

    def test_a_graceful_stop_fails_no_request(self):
        self.start_fleet(
            ("north", None, None),
            ("north", "price", None),
            ("south", "price", None),
            without_upstream=[1],
        )
        # The south has served so far, so the entry node knows that target.
        self.wait_served(0)
        self.fleet.start_upstream(1)
        fleets.wait_until("ready", lambda: self.ready_upstreams() == 2, WAIT_S)
        caller = Caller(self.fleet.hosts[0].http, PRICE)
        caller.start()
        time.sleep(1.0)
        leaving = self.fleet.hosts[1].node
        leaving.send_signal(signal.SIGTERM)
        self.assertEqual(0, leaving.wait(WAIT_S))
        caller.stop()
        self.assertEqual([], caller.errors)
        self.assertEqual({(200, "")}, caller.outcomes())

    def ready_upstreams(self):
        status = json.loads(self.get_control(1, "/status"))
        return sum(
            node["upstream_state"] == "ready" for node in status["nodes"]
        )

    def test_a_request_in_flight_on_a_stopping_node_is_answered(self):
        self.start_fleet(("north", "price", None))
        self.wait_served(0)
        host = self.fleet.hosts[0]
        connection = http.client.HTTPConnection(host.http, timeout=WAIT_S)
        connection.request(
            "GET", PRICE + "?delay_s=3", headers={"X-Api-Key": KEY}
        )
        fleets.wait_until("in flight", lambda: self.in_flight(0), WAIT_S)
        host.node.send_signal(signal.SIGTERM)
        self.assertEqual(200, connection.getresponse().status)
        self.assertEqual(0, host.node.wait(WAIT_S))

    def in_flight(self, number):
        status = json.loads(self.get_control(number, "/status"))
        return sum(node["in_flight"] for node in status["nodes"])

    def get_control(self, number, path):
        connection = http.client.HTTPConnection(
            self.fleet.hosts[number].control, timeout=WAIT_S
        )
        connection.request("GET", path)
        return connection.getresponse().read()

    def test_requests_are_served_while_the_platform_is_down(self):
        self.start_fleet(("north", None, None), ("south", "price", None))
        self.wait_served(0)
        self.fleet.set_faults([{"fault": "down"}])
        caller = Caller(self.fleet.hosts[0].http, PRICE)
        caller.start()
        time.sleep(2.0)
        caller.stop()
        self.assertEqual([], caller.errors)
        self.assertEqual({(200, "")}, caller.outcomes())

    def test_a_node_restarted_in_an_outage_gets_keys_from_its_peers(self):
        self.start_fleet(("north", None, None), ("south", "price", None))
        self.wait_served(0)
        self.put_intents(
            self.write_intent(
                "99-withdraw.toml",
                'kind = "key"\ndigest = "bcc38d2a6aafe0d1d02d146d5d5ca15291ab'
                '5531f10a34196c52659139d75ec1"\nstate = "withdrawn"\n',
            )
        )
        self.wait_served(0, status=403)
        self.fleet.set_faults([{"fault": "down"}])
        host = self.fleet.hosts[0]
        host.node.kill()
        host.node.wait()
        self.fleet.start_node(0)
        # Refused as not ready at first, but never served with the old key.
        statuses = []
        fleets.wait_until(
            "the withdrawal to take effect",
            lambda: (
                statuses.append(fleets.get(host.http, PRICE, KEY).status)
                or statuses[-1] == 403
            ),
            WAIT_S,
        )
        self.assertEqual({403}, set(statuses) - {503})

    def test_a_node_without_configuration_refuses_and_can_be_stopped(self):
        self.start_fleet(("north", None, None), put=False)
        host = self.fleet.hosts[0]
        self.fleet.set_faults([{"fault": "down"}])
        host.node.kill()
        host.node.wait()
        self.fleet.start_node(0)
        answer = fleets.wait_until(
            "an answer", lambda: fleets.get(host.http, PRICE, KEY), WAIT_S
        )
        self.assertEqual(
            (503, "not-ready", "not-run"),
            (
                answer.status,
                answer.headers["X-Cyclamendale-Reason"],
                answer.headers["X-Cyclamendale-Outcome"],
            ),
        )
        host.node.send_signal(signal.SIGTERM)
        self.assertEqual(0, host.node.wait(WAIT_S))

    def test_a_frozen_quota_holder_does_not_exceed_the_quota(self):
        rate_per_s, burst = 2, 10
        self.start_fleet(
            ("north", "price", None),
            ("north", None, None),
            ("south", None, None),
        )
        self.put_intents(
            self.write_intent(
                "90-rate.toml",
                'kind = "customer"\nname = "masons"\n'
                f"rate_per_s = {rate_per_s}\nburst = {burst}\n",
            )
        )
        for number in range(3):
            fleets.wait_until(
                "the new rate",
                lambda n=number: (
                    b"90-rate.toml" in self.get_control(n, "/configuration")
                ),
                WAIT_S,
            )
        callers = [Caller(host.http, PRICE) for host in self.fleet.hosts]
        for caller in callers:
            caller.start()
        time.sleep(3.0)
        frozen = self.fleet.hosts[1].node
        frozen.send_signal(signal.SIGSTOP)
        time.sleep(16.0)
        frozen.send_signal(signal.SIGCONT)
        time.sleep(4.0)
        for caller in callers:
            caller.stop()
        admitted_s = sorted(
            at_s
            for caller in callers
            for at_s, status, _ in caller.answers
            if status == 200
        )
        self.assertNotEqual([], admitted_s)
        # A response arrives later than its admission by the duration of the
        # request, so each window is one second longer than the time between
        # the responses.
        for first, from_s in enumerate(admitted_s):
            for last in range(first, len(admitted_s)):
                window_s = admitted_s[last] - from_s + 1.0
                self.assertLessEqual(
                    last - first + 1, burst + rate_per_s * window_s
                )

    def test_a_node_whose_port_is_in_use_reports_it_and_exits(self):
        self.start_fleet(put=False)
        for setting in ("http", "peer", "control"):
            with socket.socket() as taken:
                taken.bind((fleets.LOOPBACK, 0))
                taken.listen()
                port = taken.getsockname()[1]
                host = fleets.Host("north", None, None)
                setattr(host, setting, f"{fleets.LOOPBACK}:{port}")
                done = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "cyclamendale.daemon",
                        *self.fleet.node_flags(host),
                    ],
                    capture_output=True,
                    text=True,
                    timeout=WAIT_S,
                    check=False,
                )
            self.assertEqual(1, done.returncode, done.stderr)
            self.assertIn(str(port), done.stderr)

    def test_one_of_two_concurrent_changes_is_a_conflict(self):
        self.start_fleet(put=True)
        commands = [
            subprocess.Popen(
                self.fleet.tool_command_line(
                    "put",
                    str(
                        self.write_intent(
                            "40-customer-masons.toml",
                            'kind = "customer"\nname = "masons"\n'
                            f"rate_per_s = {rate}\nburst = 10\n",
                        )
                    ),
                    "--base-version=1",
                    f"--platform={self.fleet.platform_url}",
                ),
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            for rate in (11, 22)
        ]
        outputs = [
            command.communicate(timeout=WAIT_S)[0] for command in commands
        ]
        codes = [command.returncode for command in commands]
        self.assertEqual([0, 3], sorted(codes))
        self.assertIn("40-customer-masons.toml", outputs[codes.index(3)])

    def test_a_write_whose_answer_is_lost_is_applied_once(self):
        self.start_fleet(put=False)
        self.fleet.set_faults(
            [
                {
                    "fault": "answer-lost",
                    "operations": ["transact", "compare-and-set"],
                    "count": 1,
                }
            ]
        )
        self.put_intents(fleets.QUICKSTART)
        history = json.loads(
            self.fleet.run_command(
                "history", "--json", f"--platform={self.fleet.platform_url}"
            )
        )
        self.assertEqual(1, len(history["versions"]), history)

    def test_an_invalid_file_changes_nothing(self):
        self.start_fleet(("north", "price", None))
        self.wait_served(0)
        bad = self.write_intent(
            "95-bad.toml", 'kind = "customer"\nname = "masons"\nrate = 5\n'
        )
        self.put_intents(bad, expect=1)
        self.assertNotIn(b"95-bad", self.get_control(0, "/configuration"))
        self.wait_served(0)
